//! Backlogs of steps that cannot start, ahead of steps that can.

use bankvalve_check::site::{job_of, SitePlan, SiteWorld, QUEUE};
use bankvalve_queue::{CustomerName, JobId, JobSpec, RunLimit, StepKey, StepSpec};

use crate::{assert_kept, plan_of};

/// Queue of the steps that cannot start. It has the first priority, so that they rank first however late.
const BLOCKED_QUEUE: &str = "blocked";
const OTHER_SERVICE: &str = "other-service";
const NORTH: &str = "north";
const SOUTH: &str = "south";
const WORKERS: usize = 12;
/// Steps of one job of a backlog.
const STEPS_PER_JOB: u64 = 50;
/// Numbers of the backlog's jobs begin after this one.
const BACKLOG_JOBS: JobId = 100_000;
/// Work of a task that can start, and the pause between two such jobs, in milliseconds.
const WORK_MS: u64 = 200;
const PACE_MS: u64 = 100;
const JOBS: JobId = 30;
/// Longest wait for a start beside free workers, in milliseconds.
const MAX_WAIT_MS: u64 = 1_000;
/// Time for which the policy service refuses a backlog before other steps come, in milliseconds for each step.
const REFUSAL_MS_PER_STEP: u64 = 8;

/// Why the steps of a backlog cannot start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Blocked {
    /// All workers of their service are busy.
    Service,
    /// No worker has an accelerator.
    Accelerator,
    /// No worker has the label.
    Label,
    /// Their customer is at its limit.
    CustomerLimit,
    /// No worker has room for each member of the gang.
    WideGang,
    /// The policy service refuses all workers.
    Advice,
}

fn blocked_step(reason: Blocked) -> StepSpec {
    let mut step = job_of(0, BLOCKED_QUEUE, &[1], false).steps.remove(0);
    match reason {
        Blocked::Service | Blocked::Advice => (),
        Blocked::CustomerLimit => step.size.millicores = 2_000,
        Blocked::Accelerator => step.size.accelerators = 1,
        Blocked::Label => step.required_label = Some("absent".into()),
        Blocked::WideGang => {
            step.gang = true;
            step.count = 4 * WORKERS as u32 + 1;
        }
    }
    step
}

fn world_of(reason: Blocked) -> SiteWorld {
    let advice = reason == Blocked::Advice;
    let mut world = SiteWorld::new(SitePlan {
        good_percent: advice.then_some(100),
        ..plan_of(7, WORKERS)
    });
    if reason == Blocked::Service {
        world.add_queue_of(BLOCKED_QUEUE, 0, OTHER_SERVICE);
        let addresses: Vec<String> = world.workers.keys().cloned().collect();
        for address in &addresses[..WORKERS / 2] {
            world.change_worker(address, |entry| entry.service = OTHER_SERVICE.into());
        }
    } else {
        world.add_queue(BLOCKED_QUEUE, 0);
    }
    if reason == Blocked::CustomerLimit {
        let limit = RunLimit {
            millicores: Some(1_000),
            ..RunLimit::default()
        };
        world.set_customer(NORTH, 2.0, limit);
        world.set_customer(SOUTH, 2.0, RunLimit::default());
    }
    world.refused_queues.insert(BLOCKED_QUEUE.into());
    world.configure(2);
    world.run_until(1_000);
    world
}

/// Submits a backlog and lets it settle.
fn submit_backlog(world: &mut SiteWorld, reason: Blocked, steps: u64) {
    for number in 0..steps.div_ceil(STEPS_PER_JOB) {
        let id = BACKLOG_JOBS + number;
        let count = STEPS_PER_JOB.min(steps - number * STEPS_PER_JOB);
        let customer = (reason == Blocked::CustomerLimit).then(|| NORTH.into());
        // Longer than any run of the test, where tasks of the backlog start at all.
        world.work_ms.insert(id, 1_000_000);
        world.submit(JobSpec {
            customer,
            steps: vec![blocked_step(reason); count as usize],
            ..job_of(id, BLOCKED_QUEUE, &[], false)
        });
        let until = world.now_ms + 5;
        world.run_until(until);
    }
    let refused = if reason == Blocked::Advice { steps } else { 0 };
    let until = world.now_ms + 1_000 + refused * REFUSAL_MS_PER_STEP;
    world.run_until(until);
    let jobs = BACKLOG_JOBS..BACKLOG_JOBS + steps.div_ceil(STEPS_PER_JOB);
    let accepted = world.rules.accepted();
    let refused = jobs.filter(|job| !accepted.contains(job)).count();
    assert_eq!(refused, 0, "jobs of the backlog refused");
}

/// Submits jobs that free workers can start, and returns how many waited for too long.
fn late_starts(world: &mut SiteWorld, reason: Blocked) -> Vec<JobId> {
    let customer: Option<CustomerName> = (reason == Blocked::CustomerLimit).then(|| SOUTH.into());
    let mut late = Vec::new();
    let first = world.now_ms;
    for turn in 0..JOBS + MAX_WAIT_MS / PACE_MS {
        if turn < JOBS {
            let id = 1 + turn;
            world.work_ms.insert(id, WORK_MS);
            world.submit(JobSpec {
                customer: customer.clone(),
                ..job_of(id, QUEUE, &[2], false)
            });
        }
        world.run_until(first + (turn + 1) * PACE_MS);
        let due = (turn + 1).checked_sub(MAX_WAIT_MS / PACE_MS);
        let step = |job| StepKey {
            job,
            time: 0,
            step: 0,
        };
        let waits = |job: &JobId| {
            let tasks = (0..2).map(|index| step(*job).task(index));
            let known = world.shown.contains_key(job);
            !known && tasks.into_iter().any(|task| world.is_waiting(task))
        };
        late.extend(due.filter(|job| (1..=JOBS).contains(job) && waits(job)));
    }
    late
}

fn assert_others_start(reason: Blocked) {
    for steps in [150, 1_000, 10_000] {
        let mut world = world_of(reason);
        submit_backlog(&mut world, reason, steps);
        let late = late_starts(&mut world, reason);
        assert_eq!(late, [0; 0], "beside {steps} steps: jobs not started");
        let shown = (1..=JOBS).filter(|job| world.shown.contains_key(job));
        assert!(shown.count() >= JOBS as usize - 2, "beside {steps} steps");
        assert_kept(&world);
    }
}

/// Guards against a backlog at one service that keeps workers of another service idle.
#[test]
fn a_backlog_at_one_service_leaves_no_worker_of_another_idle() {
    assert_others_start(Blocked::Service);
}

/// Guards against steps that wait for accelerators and keep others from free CPU.
#[test]
fn steps_that_wait_for_accelerators_do_not_block_others() {
    assert_others_start(Blocked::Accelerator);
}

/// Guards against steps that wait for a label and keep others from free workers.
#[test]
fn steps_that_wait_for_a_label_do_not_block_others() {
    assert_others_start(Blocked::Label);
}

/// Guards against steps that wait for their customer's limit and keep others from free workers.
#[test]
fn steps_that_wait_for_a_customers_limit_do_not_block_others() {
    assert_others_start(Blocked::CustomerLimit);
}

/// Guards against gangs wider than the site that keep others from free workers.
#[test]
fn gangs_that_are_too_wide_do_not_block_others() {
    assert_others_start(Blocked::WideGang);
}

/// Guards against steps that the policy service refuses on all workers and that keep others from free ones.
#[test]
fn steps_that_are_refused_on_all_workers_do_not_block_others() {
    assert_others_start(Blocked::Advice);
}
