//! Workers that end with many new runs each: how soon their tasks run again, and how many workers guilty tasks
//! among them end at the same time.

use std::collections::BTreeMap;

use bankvalve_check::site::{job_of, LeaderLoss, SiteWorld, TaskCrash, QUEUE};
use bankvalve_queue::{JobId, JobSpec, JobState, StepKey, TaskSize};

use crate::{assert_kept, world_without};

/// Capacity of each worker: sixteen tasks.
const ROOM: TaskSize = TaskSize {
    millicores: 16_000,
    memory_mib: 64_000,
    accelerators: 0,
};
/// Workers of the site.
const WORKERS: usize = 16;
/// Run time of each task, in milliseconds. Less than the age up to which an end counts as an early crash.
const WORK_MS: u64 = 400;
/// Jobs submitted each second, of two tasks each, and for how long, in milliseconds.
const JOBS_PER_S: u64 = 60;
const TRAFFIC_MS: u64 = 14_000;
/// Ends of workers, in milliseconds after the start of the traffic.
const ENDS_MS: [u64; 5] = [9_000, 10_000, 11_000, 12_000, 13_000];
/// Time after the traffic by which each accepted job must have run, in milliseconds: the users ask for all jobs
/// 14 s after it, and 3 s later none may still be idle while there is capacity.
const FINISH_MS: u64 = 17_000;
/// Run time of a guilty task that does not end its worker first, in milliseconds.
const GUILTY_WORK_MS: u64 = 5_000;
/// First id of jobs with a guilty task.
const GUILTY: JobId = 900_000;
/// First id of gangs and of jobs with long-running tasks, in turn.
const MIXED: JobId = 800_000;
/// Largest number of workers that a guilty task may end: the users allow two starts after three ends.
const MAX_ENDS: u32 = 4;
/// Time for which the address of a worker that a guilty task has ended is dead, in milliseconds.
const DOWN_MS: u64 = 3_000;
/// Time after a worker's end within which another one counts as ended at the same time, in milliseconds.
const AT_ONCE_MS: u64 = 400;

/// Returns a site whose workers have capacity for sixteen tasks.
fn site(seed: u64) -> SiteWorld {
    let mut world = world_without(seed, WORKERS, None);
    world.looks_wait = true;
    let addresses: Vec<String> = world.workers.keys().cloned().collect();
    for address in &addresses {
        world.resize_worker(address, ROOM);
    }
    run_for(&mut world, 1_000);
    world
}

fn run_for(world: &mut SiteWorld, ms: u64) {
    let until = world.now_ms + ms;
    world.run_until(until);
}

fn short_job(world: &mut SiteWorld, id: JobId, tasks: u32) -> JobSpec {
    world.work_ms.insert(id, WORK_MS);
    let mut spec = job_of(id, QUEUE, &[tasks], false);
    spec.steps[0].size.memory_mib = 100;
    spec.steps[0].estimate_ms = WORK_MS;
    spec
}

/// Loses the worker with the most runs for good.
fn lose_fullest_worker(world: &mut SiteWorld) {
    let runs = |address: &&String| world.workers[*address].as_ref().map(|it| it.runs().len());
    let fullest = world.workers.keys().max_by_key(runs).cloned();
    let address = fullest.expect("the site has workers");
    world.lose_worker(&address, false);
}

/// Submits short jobs while five workers end, each with the runs that it has. `during` is called each 10 ms.
fn play_traffic(world: &mut SiteWorld, mut during: impl FnMut(&mut SiteWorld, u64)) -> u64 {
    let began = world.now_ms;
    let (mut jobs, mut ends) = (0, ENDS_MS.iter().peekable());
    while world.now_ms < began + TRAFFIC_MS {
        let passed = world.now_ms - began;
        while jobs * 1_000 < passed * JOBS_PER_S {
            jobs += 1;
            let job = short_job(world, jobs, 2);
            world.submit(job);
        }
        if ends.next_if(|at| **at <= passed).is_some() {
            lose_fullest_worker(world);
        }
        during(world, passed);
        run_for(world, 10);
    }
    jobs
}

/// Returns the jobs up to a number that have not succeeded.
fn unfinished(world: &SiteWorld, jobs: u64) -> Vec<JobId> {
    let succeeded = |job: &JobId| world.shown.get(job) == Some(&JobState::Succeeded);
    (1..=jobs).filter(|job| !succeeded(job)).collect()
}

/// Guards against innocent suspects of a few ended workers that wait for each other beside idle workers.
#[test]
fn tasks_of_five_ended_workers_run_again_in_time_beside_idle_workers() {
    let mut late = Vec::new();
    for seed in 1..6 {
        let mut world = site(seed);
        let jobs = play_traffic(&mut world, |_, _| {});
        run_for(&mut world, FINISH_MS);
        let waiting = unfinished(&world, jobs).len();
        late.extend((waiting > 0).then_some((seed, waiting)));
        assert_kept(&world);
    }
    assert_eq!(late, [], "seeds, each with its number of unfinished jobs");
}

/// Ends of workers during trials of guilty tasks, each with its time. The first end by each task is none: nothing
/// was known of the task.
#[derive(Default)]
struct TrialEnds {
    /// Ends by each task.
    seen: BTreeMap<JobId, u32>,
    at_ms: Vec<u64>,
}

impl TrialEnds {
    /// Records the ends since the last call.
    fn record(&mut self, world: &SiteWorld, guilty: u64) {
        for job in GUILTY..GUILTY + guilty {
            let ends = world.rules.crashes_of(job);
            let before = self.seen.insert(job, ends).unwrap_or(0);
            let trials = (before.max(1)..ends).map(|_| world.now_ms);
            self.at_ms.extend(trials);
        }
    }

    /// Returns the largest number of workers that ended at about the same time.
    fn most_at_once(&self) -> usize {
        let within = |from: &u64| {
            let ends = self.at_ms.iter();
            ends.filter(|at| (*from..from + AT_ONCE_MS).contains(at))
                .count()
        };
        self.at_ms.iter().map(within).max().unwrap_or(0)
    }
}

/// What guilty tasks did, and what became of the others.
#[derive(Debug)]
struct GuiltyFigures {
    /// Guilty jobs that were given up.
    given_up: usize,
    /// Other jobs that have not succeeded.
    unfinished: usize,
    /// Largest number of workers that ended during trials at about the same time.
    most_at_once: usize,
    /// Largest number of workers that ended by one task.
    most_by_one: u32,
    /// Broken rules.
    breaches: usize,
}

/// Submits a job whose only task ends each worker that runs it.
fn submit_guilty(world: &mut SiteWorld, id: JobId, crash: TaskCrash) {
    let step = StepKey {
        job: id,
        time: 0,
        step: 0,
    };
    world.crashing.insert(step.task(0), crash);
    let job = short_job(world, id, 1);
    world.work_ms.insert(id, GUILTY_WORK_MS);
    world.submit(job);
}

/// Plays guilty tasks among short jobs for a minute, submitted at these times after the start of the traffic.
fn play_guilty(seed: u64, submitted_ms: &[u64], after_ms: u64) -> GuiltyFigures {
    let mut world = site(seed);
    let mut ends = TrialEnds::default();
    let guilty = submitted_ms.len() as u64;
    let crash = TaskCrash {
        after_ms,
        down_ms: DOWN_MS,
    };
    let mut next = submitted_ms.iter().zip(GUILTY..).peekable();
    let began = world.now_ms;
    let mut jobs = 0;
    while world.now_ms < began + 60_000 {
        let passed = world.now_ms - began;
        while passed < TRAFFIC_MS && jobs * 1_000 < passed * JOBS_PER_S {
            jobs += 1;
            let job = short_job(&mut world, jobs, 2);
            world.submit(job);
        }
        while let Some((_, id)) = next.next_if(|(at, _)| **at <= passed) {
            submit_guilty(&mut world, id, crash);
        }
        run_for(&mut world, 10);
        ends.record(&world, guilty);
    }
    let failed = |job: &JobId| world.shown.get(job) == Some(&JobState::Failed);
    GuiltyFigures {
        given_up: (GUILTY..GUILTY + guilty).filter(failed).count(),
        unfinished: unfinished(&world, jobs).len(),
        most_at_once: ends.most_at_once(),
        most_by_one: ends.seen.values().copied().max().unwrap_or(0),
        breaches: world.rules.breaches.len(),
    }
}

/// All guilty jobs are given up in time, and no other job is.
fn assert_given_up(figures: &GuiltyFigures, guilty: usize, text: &str) {
    assert!(figures.most_by_one <= MAX_ENDS, "{text}");
    assert_eq!(figures.given_up, guilty, "{text}");
    assert_eq!((figures.unfinished, figures.breaches), (0, 0), "{text}");
}

/// Guards against trials of several guilty tasks that end most of the other workers at the same time.
#[test]
fn trials_of_guilty_tasks_end_one_worker_in_four_at_once_at_most() {
    for after_ms in [300, 700] {
        for seed in 1..6 {
            let figures = play_guilty(seed, &[TRAFFIC_MS - 100; 7], after_ms);
            let text = format!("seed {seed}, ends after {after_ms} ms: {figures:?}");
            assert!(figures.most_at_once <= WORKERS / 4, "{text}");
            assert_given_up(&figures, 7, &text);
        }
    }
}

/// Guards against guilty tasks that are not found because innocent suspects of the same ended workers start at
/// the same time.
#[test]
fn guilty_tasks_among_many_suspects_are_given_up() {
    let one_at_a_time = [9_000, 10_000, 11_000, 12_000, 13_000];
    for submitted_ms in [&one_at_a_time[..], &[5_000; 10]] {
        for after_ms in [10, 300, 700] {
            for seed in 1..4 {
                let figures = play_guilty(seed, submitted_ms, after_ms);
                let text = format!("seed {seed}, ends after {after_ms} ms: {figures:?}");
                assert_given_up(&figures, submitted_ms.len(), &text);
            }
        }
    }
}

/// Guards against suspects that wait for each other again under each new leader.
#[test]
fn suspects_run_again_in_time_though_the_leader_is_lost_while_they_wait() {
    let mut late = Vec::new();
    for after_ms in (500..8_000).step_by(1_500) {
        let mut world = site(after_ms);
        let jobs = play_traffic(&mut world, |_, _| {});
        run_for(&mut world, after_ms);
        world.lose_leader(LeaderLoss::Killed);
        run_for(&mut world, FINISH_MS - after_ms);
        let waiting = unfinished(&world, jobs).len();
        late.extend((waiting > 0).then_some((after_ms, waiting)));
        assert_kept(&world);
    }
    assert_eq!(
        late,
        [],
        "times of the loss, each with its number of unfinished jobs"
    );
}

/// Guards against gangs and long-running tasks of ended workers that wait behind many other suspects.
#[test]
fn gangs_and_long_running_tasks_of_ended_workers_run_again_in_time_among_suspects() {
    for seed in 1..4 {
        let mut world = site(seed);
        let mut next = MIXED;
        let jobs = play_traffic(&mut world, |world, passed| {
            // Right before each end, so that they are new on the worker that ends.
            if ENDS_MS.iter().any(|at| *at == passed + 200) {
                let mut gang = short_job(world, next, 3);
                gang.steps[0].gang = true;
                world.submit(gang);
                let mut lasting = short_job(world, next + 1, 2);
                lasting.steps[0].lasting = true;
                world.submit(lasting);
                next += 2;
            }
        });
        run_for(&mut world, FINISH_MS);
        let gangs = (MIXED..next).step_by(2);
        let succeeded = |job: &JobId| world.shown.get(job) == Some(&JobState::Succeeded);
        let waiting: Vec<JobId> = gangs.filter(|job| !succeeded(job)).collect();
        assert_eq!(
            (waiting, unfinished(&world, jobs)),
            (vec![], vec![]),
            "seed {seed}"
        );
        assert!(world.lasting.all_run(), "seed {seed}");
        assert_kept(&world);
    }
}

/// Guards against a gang that never starts again because its members were lost with more workers than may be at
/// risk.
#[test]
fn a_gang_whose_members_are_lost_with_several_workers_runs_again() {
    let mut late = Vec::new();
    for seed in 1..6 {
        let mut world = world_without(seed, 8, None);
        world.looks_wait = true;
        let mut gang = short_job(&mut world, MIXED, 3);
        gang.steps[0].gang = true;
        gang.steps[0].per_worker_limit = 1;
        world.work_ms.insert(MIXED, GUILTY_WORK_MS);
        world.submit(gang);
        let has_run = |world: &SiteWorld| {
            let workers = world.workers.values().flatten();
            workers.filter(|worker| !worker.runs().is_empty()).count()
        };
        while has_run(&world) < 3 {
            run_for(&mut world, 10);
        }
        run_for(&mut world, 300);
        for _ in 0..3 {
            lose_fullest_worker(&mut world);
        }
        run_for(&mut world, FINISH_MS);
        let succeeded = world.shown.get(&MIXED) == Some(&JobState::Succeeded);
        late.extend((!succeeded).then_some(seed));
        assert_kept(&world);
    }
    assert!(late.is_empty(), "seeds {late:?}");
}
