//! Steps that cannot start and rank before steps that can.

use std::collections::BTreeMap;

use bankvalve_check::site::{job_of, SitePlan, SiteWorld, QUEUE, URGENT_QUEUE};
use bankvalve_queue::{JobId, JobSpec, TaskKey};

use crate::{assert_kept, plan_of};

/// Service of the steps that cannot start, in some of the worlds.
const FULL_SERVICE: &str = "full";
/// Workers of the usual service, of four cores each, which are free at first.
const FREE_WORKERS: usize = 12;
/// Steps of each job that cannot start.
const STEPS_PER_JOB: usize = 50;
/// First id of the jobs that can start, and their number.
const SOUND: JobId = 1_000_000;
const SOUND_JOBS: u64 = 10;
/// Time in which each job that can start must run, in milliseconds.
const START_MS: u64 = 1_000;
/// Time that the jobs that can start work, in milliseconds.
const WORK_MS: u64 = 5_000;
/// Time for the jobs that cannot start to be accepted and considered, in milliseconds.
const SETTLE_MS: u64 = 10_000;

/// Jobs whose order of starts is compared, the time that each works, and the time by which a start may be late
/// because its job was committed or its order sent later than that of a later job, in milliseconds.
const ORDERED_JOBS: u64 = 300;
const ORDERED_WORK_MS: u64 = 600;
const ORDER_TOLERANCE_MS: u64 = 200;

/// Why steps cannot start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Obstacle {
    /// Their service has no worker that is free.
    Service,
    /// No worker has the label that they need.
    Label,
    /// No worker has accelerators.
    Accelerators,
    /// The workers have no capacity for all members of the gang.
    WideGang,
    /// The policy service has refused all workers.
    Advice,
}

impl Obstacle {
    /// Returns a job of so many steps that cannot start, independent of each other.
    fn job(self, id: JobId, steps: usize) -> JobSpec {
        let tasks = match self {
            Obstacle::WideGang => 4 * FREE_WORKERS as u32 + 1,
            _ => 1,
        };
        let counts = vec![tasks; steps];
        let mut spec = job_of(id, URGENT_QUEUE, &counts, self == Obstacle::WideGang);
        for step in &mut spec.steps {
            step.after.clear();
            match self {
                Obstacle::Label => step.required_label = Some("absent".into()),
                Obstacle::Accelerators => step.size.accelerators = 1,
                _ => {}
            }
        }
        spec
    }
}

fn run_for(world: &mut SiteWorld, ms: u64) {
    let until = world.now_ms + ms;
    world.run_until(until);
}

/// A site with free workers of the usual service, on which so many steps of the first priority cannot start.
fn blocked_world(seed: u64, obstacle: Obstacle, steps: usize) -> SiteWorld {
    let mut world = SiteWorld::new(SitePlan {
        good_percent: (obstacle == Obstacle::Advice).then_some(100),
        ..plan_of(seed, FREE_WORKERS + 1)
    });
    world.run_until(1_000);
    let busy = world.workers.keys().next().cloned();
    let busy = busy.expect("the site has workers");
    world.set_worker_service(&busy, FULL_SERVICE);
    match obstacle {
        Obstacle::Service => world.set_queue_service(URGENT_QUEUE, FULL_SERVICE),
        Obstacle::Advice => {
            world.refused_queues.insert(URGENT_QUEUE.into());
        }
        _ => {}
    }
    world.configure(2);
    run_for(&mut world, 1_000);
    let jobs = steps.div_ceil(STEPS_PER_JOB) as JobId;
    for id in 1..=jobs {
        let left = steps - STEPS_PER_JOB * (id as usize - 1);
        let spec = obstacle.job(id, left.min(STEPS_PER_JOB));
        // Those that start fill the worker of their service.
        world.work_ms.insert(id, 10 * SETTLE_MS);
        world.submit(spec);
        if id % 10 == 0 {
            run_for(&mut world, 100);
        }
    }
    run_for(&mut world, SETTLE_MS);
    let accepted = world.rules.accepted().len();
    assert_eq!(accepted, jobs as usize, "{obstacle:?}: jobs accepted");
    world
}

/// Returns the longest time from the submission of a job that can start to the start of its task, over several
/// jobs, in milliseconds.
fn longest_wait_ms(world: &mut SiteWorld) -> u64 {
    let mut longest = 0;
    for id in SOUND..SOUND + SOUND_JOBS {
        world.work_ms.insert(id, WORK_MS);
        let submitted = world.now_ms;
        world.submit(job_of(id, QUEUE, &[1], false));
        while !runs(world, id) && world.now_ms < submitted + 3 * START_MS {
            run_for(world, 10);
        }
        longest = longest.max(world.now_ms - submitted);
    }
    longest
}

/// Returns whether a worker runs a task of a job.
fn runs(world: &SiteWorld, job: JobId) -> bool {
    let is_of_job = |task: &TaskKey| task.step.job == job;
    let mut workers = world.workers.values().flatten();
    workers.any(|worker| worker.runs().keys().any(is_of_job))
}

fn assert_starts_in_time(obstacle: Obstacle, backlogs: &[usize]) {
    for steps in backlogs {
        let mut world = blocked_world(1, obstacle, *steps);
        let longest = longest_wait_ms(&mut world);
        assert!(
            longest <= START_MS,
            "{obstacle:?}, {steps} steps: {longest} ms"
        );
        assert_kept(&world);
    }
}

/// Guards against a service whose workers stay idle while the steps of a full service wait.
#[test]
fn steps_start_beside_a_backlog_of_another_service() {
    assert_starts_in_time(Obstacle::Service, &[150, 1_000]);
}

/// Guards against passes that skip a fixed number of the steps that cannot start.
#[test]
fn steps_start_beside_a_deep_backlog_of_another_service() {
    assert_starts_in_time(Obstacle::Service, &[10_000]);
}

/// Guards against idle workers beside steps that need a label that no worker has.
#[test]
fn steps_start_beside_a_backlog_that_needs_an_absent_label() {
    assert_starts_in_time(Obstacle::Label, &[150, 1_000]);
}

/// Guards against idle workers beside steps that need resources that no worker has.
#[test]
fn steps_start_beside_a_backlog_that_needs_absent_accelerators() {
    assert_starts_in_time(Obstacle::Accelerators, &[150, 1_000]);
}

/// Guards against idle workers beside gangs that are wider than the site.
#[test]
fn steps_start_beside_a_backlog_of_gangs_that_are_too_wide() {
    assert_starts_in_time(Obstacle::WideGang, &[150, 1_000]);
}

/// Guards against idle workers beside steps that the policy service has refused on all workers.
#[test]
fn steps_start_beside_a_backlog_that_advice_has_refused() {
    assert_starts_in_time(Obstacle::Advice, &[150, 1_000]);
}

/// Guards against a selection by free capacity that lets later steps of a service pass earlier ones.
#[test]
fn steps_of_one_service_keep_their_order_beside_a_backlog_of_another() {
    let mut world = blocked_world(1, Obstacle::Service, 150);
    let jobs = SOUND..SOUND + ORDERED_JOBS;
    for id in jobs.clone() {
        world.work_ms.insert(id, ORDERED_WORK_MS);
        let mut spec = job_of(id, QUEUE, &[1], false);
        // None of them becomes late, which would change the order.
        spec.steps[0].estimate_ms = 10 * SETTLE_MS;
        world.submit(spec);
        run_for(&mut world, 2);
    }
    let mut started_ms = BTreeMap::new();
    let until = world.now_ms + SETTLE_MS;
    while world.now_ms < until && started_ms.len() < ORDERED_JOBS as usize {
        for id in jobs.clone().filter(|id| runs(&world, *id)) {
            started_ms.entry(id).or_insert(world.now_ms);
        }
        run_for(&mut world, 10);
    }
    assert_eq!(started_ms.len(), ORDERED_JOBS as usize, "jobs started");
    let overtaken = started_ms.iter().filter(|(id, at)| {
        let mut later = started_ms.range(*id + 1..);
        later.any(|(_, later_at)| later_at + ORDER_TOLERANCE_MS < **at)
    });
    assert_eq!(overtaken.collect::<Vec<_>>(), [], "jobs overtaken");
    assert_kept(&world);
}
