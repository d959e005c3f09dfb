//! Workers that leave as planned: how soon the long-running tasks that run there run elsewhere.

use bankvalve_check::site::{job_of, SitePlan, SiteWorld, QUEUE};
use bankvalve_queue::{AdviceRule, JobId, ProcessStart, WorkerEntry};

use crate::rolling_site::SLOW_POLICY;
use crate::{assert_kept, plan_of};

/// A policy service whose answers take longer than a task may be down.
const SLOWER_POLICY: AdviceRule = AdviceRule {
    decide_ms: 3_000.0,
    ..SLOW_POLICY
};
const ENTRIES: usize = 5;
const WORKERS: usize = 20;
/// Share of workers that may run a step, in percent.
const GOOD_PERCENT: u64 = 40;
/// The job with long-running tasks, and their number.
const LASTING: JobId = 1;
const TASKS: u32 = 4;
/// Time until the tasks run, and from the worker's announcement until it ends, in milliseconds.
const START_MS: u64 = 15_000;
const NOTICE_MS: u64 = 7_000;
/// Shorter times from an announcement to the end of a worker, in milliseconds: the users name one and two seconds.
const SHORT_NOTICES_MS: [u64; 3] = [1_000, 1_500, 2_000];
/// Time after its end during which the site is observed, in milliseconds.
const AFTER_MS: u64 = 15_000;
/// Longest downtime of a task whose worker announced its departure, in milliseconds: a stop and a start.
const MAX_DOWNTIME_MS: u64 = 2_000;

/// Returns a site whose long-running tasks all run, and the address of a worker with one of them.
fn site(
    seed: u64,
    lease_limit_ms: u64,
    policy: AdviceRule,
    estimate_ms: u64,
) -> (SiteWorld, String) {
    let plan = SitePlan {
        entries: ENTRIES,
        good_percent: Some(GOOD_PERCENT),
        ..plan_of(seed, WORKERS)
    };
    let mut world = SiteWorld::with_hold_limit(plan, lease_limit_ms);
    world.looks_wait = true;
    world.slow_advice = Some(policy);
    world.configure(2);
    world.run_until(1_000);
    let mut job = job_of(LASTING, QUEUE, &[TASKS], false);
    job.steps[0].lasting = true;
    job.steps[0].per_worker_limit = 1;
    job.steps[0].estimate_ms = estimate_ms;
    world.submit(job);
    world.run_until(START_MS);
    let address = busy_worker(&world);
    (world, address)
}

/// Returns the address of a worker with a run.
fn busy_worker(world: &SiteWorld) -> String {
    let is_busy = |address: &&String| is_busy(world, address);
    world
        .workers
        .keys()
        .find(is_busy)
        .expect("a task runs")
        .clone()
}

fn is_busy(world: &SiteWorld, address: &str) -> bool {
    let worker = world.workers[address].as_ref();
    worker.is_some_and(|worker| !worker.runs().is_empty())
}

/// Returns the longest downtime of a long-running task, in milliseconds.
fn longest_downtime(world: &SiteWorld) -> u64 {
    let spans = world.lasting.all_spans();
    let downtimes = spans
        .iter()
        .map(|span| span.until_ms.unwrap_or(world.now_ms) - span.from_ms);
    downtimes.max().expect("a task was down")
}

/// Plays the announced end of a worker with a long-running task, which is down for a stop and a start at most.
fn assert_moves_in_time(seed: u64, lease_limit_ms: u64, policy: AdviceRule, estimate_ms: u64) {
    let (world, address) = site(seed, lease_limit_ms, policy, estimate_ms);
    let downtime_ms = downtime_after(world, &address, NOTICE_MS);
    assert!(
        downtime_ms < MAX_DOWNTIME_MS,
        "seed {seed}: {downtime_ms} ms"
    );
}

/// Plays the announced end of a worker with a long-running task. Returns the longest downtime, in milliseconds.
fn downtime_after(mut world: SiteWorld, address: &str, notice_ms: u64) -> u64 {
    world.drain_worker(address, notice_ms);
    world.run_until(START_MS + notice_ms);
    world.crash_worker(address, 2 * AFTER_MS);
    world.run_until(START_MS + notice_ms + AFTER_MS);
    assert!(world.lasting.all_run());
    assert_kept(&world);
    longest_downtime(&world)
}

// Guards against long-running tasks that stay on a worker until it ends, although it announced its departure.
#[test]
fn a_long_running_task_moves_before_its_worker_leaves() {
    for (seed, lease_limit_ms) in [(1, 6_000), (2, 10_000), (3, 6_000), (4, 10_000)] {
        assert_moves_in_time(seed, lease_limit_ms, SLOW_POLICY, 800);
    }
}

// Guards against a long-running task with a long estimate that is stopped as soon as its worker leaves, before
// there are permits and capacity elsewhere.
#[test]
fn a_long_running_task_with_a_long_estimate_runs_until_it_can_move() {
    for seed in 1..5 {
        assert_moves_in_time(seed, 6_000, SLOWER_POLICY, 10 * NOTICE_MS);
    }
}

// Guards against a lease that is waited for, although the worker could still have reported the end of the run before
// it left.
#[test]
fn a_long_running_task_is_stopped_in_time_on_a_worker_that_leaves_soon() {
    for seed in 1..5 {
        for notice_ms in SHORT_NOTICES_MS {
            let (world, address) = site(seed, 6_000, SLOW_POLICY, 800);
            let downtime_ms = downtime_after(world, &address, notice_ms);
            assert!(
                downtime_ms < MAX_DOWNTIME_MS,
                "seed {seed}, {notice_ms} ms of notice: {downtime_ms} ms"
            );
            let (world, address) = site(seed, 6_000, SLOWER_POLICY, 800);
            let downtime_ms = downtime_after(world, &address, notice_ms);
            let limit_ms = SLOWER_POLICY.decide_ms as u64 + MAX_DOWNTIME_MS - notice_ms;
            assert!(
                downtime_ms < limit_ms,
                "seed {seed}, {notice_ms} ms of notice, slower policy: {downtime_ms} ms, limit {limit_ms} ms"
            );
        }
    }
}

/// Plays a worker that announces that it leaves. Returns whether its run, which outlasts it, is stopped in time.
fn is_stopped_before_its_worker_ends(seed: u64, leader_ends: bool) -> bool {
    let mut world = SiteWorld::new(SitePlan {
        entries: ENTRIES,
        ..plan_of(seed, WORKERS)
    });
    world.configure(2);
    world.run_until(1_000);
    let mut job = job_of(LASTING, QUEUE, &[1], false);
    job.steps[0].estimate_ms = 10 * NOTICE_MS;
    world.work_ms.insert(LASTING, 10 * NOTICE_MS);
    world.submit(job);
    world.run_until(5_000);
    let address = busy_worker(&world);
    if leader_ends {
        let leader = world.leader().expect("an instance leads");
        world.kill(leader, AFTER_MS);
    }
    world.drain_worker(&address, NOTICE_MS);
    world.run_until(5_000 + NOTICE_MS);
    let stopped = !is_busy(&world, &address);
    assert_kept(&world);
    stopped
}

// Guards against a run that stays on a leaving worker until both end, because its leader has never known the worker
// otherwise.
#[test]
fn a_run_that_outlasts_its_leaving_worker_is_stopped_by_a_new_leader() {
    for seed in 1..5 {
        for leader_ends in [false, true] {
            let stopped = is_stopped_before_its_worker_ends(seed, leader_ends);
            assert!(stopped, "seed {seed}, the leader ends: {leader_ends}");
        }
    }
}

// Guards against a long-running task that is stopped on a sound worker because its entry holds the announcement of a
// former process, as a late write leaves it.
#[test]
fn a_long_running_task_stays_where_another_process_announced_its_departure() {
    for seed in 1..4 {
        let (mut world, address) = site(seed, 6_000, SLOW_POLICY, 800);
        let worker = world.workers[&address].clone().expect("a worker");
        let entry = WorkerEntry {
            leaving: true,
            remaining_ms: Some(NOTICE_MS),
            started: Some(ProcessStart(7)),
            ..worker.entry.clone()
        };
        world.overwrite_with(&worker.id, entry);
        world.run_until(START_MS + NOTICE_MS);
        let runs = world.workers[&address].as_ref().map(|it| it.runs().keys());
        let runs: Vec<_> = runs.into_iter().flatten().collect();
        assert_eq!(
            runs,
            worker.runs().keys().collect::<Vec<_>>(),
            "seed {seed}"
        );
        assert_kept(&world);
    }
}
