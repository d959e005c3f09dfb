//! Workers that are lost for good, with the leader lost some seconds before or after.
//!
//! Seen on a site of three entry instances: a task that lasts was away for 20 s, though there was room
//! for it all the while. Its worker had ended for good. Some seconds later, just before the leader
//! would have given the run up, that leader was lost as well. The worker's entry had gone by then, so
//! the successor could not ask it and took it for one that the old leader might still command: it
//! waited for the longest hold that could be, from the moment when the old leader was known to have
//! ended, and, where nothing was heard of that one, from 15 s after its own begin. What the old leader
//! knew of the worker, how long its hold could still last, had died with it.

use std::collections::BTreeSet;

use bankvalve_check::site::{job_of, SitePlan, SiteWorld, QUEUE};
use bankvalve_queue::{JobId, TaskKey};

use crate::assert_kept;

/// Longest hold on the users' sites, in milliseconds.
const HOLD_LIMIT_MS: u64 = 10_000;
/// Longest time for which a task that lasts may be away, in milliseconds: the users' rule.
const AWAY_MS: u64 = 9_000;
/// Calm after which it must run, in milliseconds: the same rule.
const CALM_MS: u64 = 7_000;
/// The job whose tasks last.
const LASTING: JobId = 1;
/// Its tasks, each on a worker of its own.
const TASKS: u32 = 4;
/// Time from one look at the workers to the next, in milliseconds.
const STEP_MS: u64 = 10;

/// A site of three entry instances and eight workers, on which a job of tasks that last runs.
fn site(seed: u64) -> SiteWorld {
    let plan = SitePlan {
        seed,
        entries: 3,
        strengths: Vec::new(),
        broken: None,
        without: None,
        workers: 8,
        good_percent: None,
    };
    let mut world = SiteWorld::with_hold_limit(plan, HOLD_LIMIT_MS);
    world.looks_wait = true;
    world.run_until(1_000);
    let mut spec = job_of(LASTING, QUEUE, &[TASKS], false);
    spec.steps[0].lasting = true;
    spec.steps[0].per_worker_limit = 1;
    world.submit(spec);
    world.run_until(20_000);
    assert_eq!(running(&world, LASTING).len(), TASKS as usize);
    world
}

/// Tasks of a job that run on some worker.
fn running(world: &SiteWorld, job: JobId) -> BTreeSet<TaskKey> {
    let workers = world.workers.values().flatten();
    let tasks = workers.flat_map(|worker| worker.runs().keys());
    tasks.filter(|task| task.step.job == job).copied().collect()
}

/// A worker that runs a task of the job that lasts.
fn victim(world: &SiteWorld) -> String {
    let lasts = |task: &TaskKey| task.step.job == LASTING;
    let runs = |address: &&String| {
        let worker = world.workers[*address].as_ref();
        worker.is_some_and(|worker| worker.runs().keys().any(lasts))
    };
    let address = world.workers.keys().find(runs);
    address.expect("a worker runs a task that lasts").clone()
}

/// Runs until all tasks that last run; the time at which they do.
fn back_at(world: &mut SiteWorld) -> u64 {
    let limit = world.now_ms + 60_000;
    while world.now_ms < limit && running(world, LASTING).len() < TASKS as usize {
        let until = world.now_ms + STEP_MS;
        world.run_until(until);
    }
    world.now_ms
}

#[test]
fn a_task_that_lasts_is_back_in_time_though_its_worker_and_then_the_leader_are_lost() {
    for (seed, silent) in [(1, false), (2, true)] {
        let mut world = site(seed);
        let lost_at = world.now_ms;
        let address = victim(&world);
        world.lose_worker(&address, silent);
        world.run_until(lost_at + 4_000);
        let leader = world.leader().expect("an instance leads");
        let dark_at = world.now_ms;
        world.darken(leader, None);
        let away = back_at(&mut world) - lost_at;
        assert_kept(&world);
        let limit = AWAY_MS.max(dark_at - lost_at + CALM_MS);
        assert!(
            away <= limit,
            "seed {seed}, silent {silent}: away for {away} ms, {limit} ms are allowed"
        );
    }
}

#[test]
fn a_task_that_lasts_is_back_in_time_after_its_worker_alone_is_lost() {
    for (seed, silent) in [(1, false), (2, true)] {
        let mut world = site(seed);
        let lost_at = world.now_ms;
        let address = victim(&world);
        world.lose_worker(&address, silent);
        let away = back_at(&mut world) - lost_at;
        assert_kept(&world);
        assert!(
            away <= AWAY_MS,
            "seed {seed}, silent {silent}: away for {away} ms"
        );
    }
}
