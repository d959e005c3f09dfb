//! Workers that answer polls, but at which orders do not arrive.

use bankvalve_check::site::{job_of, SiteWorld, QUEUE};
use bankvalve_queue::{JobId, JobSpec, WorkerId};

use crate::{assert_kept, world_without};

const JOB: JobId = 900;
/// Run time of its task, in milliseconds.
const WORK_MS: u64 = 20_000;
/// Time that the table takes for each request, so that the orders can be lost before the start, in milliseconds.
const TABLE_MS: u64 = 40;
/// Time after the end of the traffic from which the users expect each task to run, in milliseconds.
const FINISH_MS: u64 = 14_000;
/// Time within which the users expect an urgent task to start, in milliseconds.
const MAX_START_MS: u64 = 4_900;
/// Time for which the users allow a long-running task to be away, in milliseconds.
const MAX_AWAY_MS: u64 = 9_000;

/// Returns the worker for which the job's task was last placed.
fn placed_on(world: &SiteWorld) -> Option<WorkerId> {
    let id = format!("{JOB:016x}.0.0.0");
    let mut lines = world.lines.iter().flatten().rev();
    let place = lines.find(|(.., line)| line.event == "place" && line.id == id);
    let worker = place?.2.detail.split(" on ").nth(1)?.split(',').next()?;
    Some(worker.into())
}

fn run_for(world: &mut SiteWorld, ms: u64) {
    let until = world.now_ms + ms;
    world.run_until(until);
}

fn is_running(world: &SiteWorld) -> bool {
    let workers = world.workers.values().flatten();
    let mut tasks = workers.flat_map(|worker| worker.runs().keys());
    tasks.any(|task| task.step.job == JOB)
}

/// Returns a site on which the job's task has just been placed, its worker and that worker's address.
fn placed_world() -> (SiteWorld, WorkerId, String) {
    world_with_placed(8, job_of(JOB, QUEUE, &[1], false))
}

/// Returns a site of so many workers on which the first task of a job has just been placed, its worker and that
/// worker's address.
fn world_with_placed(workers: usize, job: JobSpec) -> (SiteWorld, WorkerId, String) {
    let mut world = world_without(1, workers, None);
    world.looks_wait = true;
    world.store_delay_ms = TABLE_MS;
    run_for(&mut world, 4_000);
    world.lines = Some(Vec::new());
    world.work_ms.insert(JOB, WORK_MS);
    world.submit(job);
    while placed_on(&world).is_none() {
        run_for(&mut world, 1);
    }
    let id = placed_on(&world).expect("the task is placed");
    let mut workers = world.workers.values().flatten();
    let worker = workers.find(|worker| worker.id == id);
    let address = worker.expect("the worker lives").entry.address.clone();
    (world, id, address)
}

/// Returns the number of the job's tasks that run.
fn running_tasks(world: &SiteWorld) -> usize {
    let workers = world.workers.values().flatten();
    let tasks = workers.flat_map(|worker| worker.runs().keys());
    tasks.filter(|task| task.step.job == JOB).count()
}

/// Returns the time until so many of the job's tasks run, in milliseconds, 30 s at most.
fn time_until_running(world: &mut SiteWorld, tasks: usize) -> u64 {
    let began = world.now_ms;
    while running_tasks(world) < tasks && world.now_ms < began + 30_000 {
        run_for(world, 5);
    }
    world.now_ms - began
}

/// Asserts that all tasks run in time and none runs twice.
fn assert_runs_within(world: &mut SiteWorld, tasks: usize, limit_ms: u64) {
    let delay_ms = time_until_running(world, tasks);
    assert!(delay_ms <= limit_ms, "{delay_ms} ms");
    run_for(world, 3_000);
    assert_kept(world);
}

fn assert_runs(world: &mut SiteWorld) {
    run_for(world, FINISH_MS);
    assert!(is_running(world), "nothing runs after {FINISH_MS} ms");
    assert_kept(world);
}

/// Guards against a placed task whose start order is repeated without end.
#[test]
fn a_task_whose_start_order_never_arrives_runs_elsewhere() {
    let (mut world, _, address) = placed_world();
    world.starts_lost_at.insert(address);
    assert_runs(&mut world);
}

/// Guards against a run that may not have started and whose stop order is repeated without end.
#[test]
fn a_task_whose_start_and_stop_orders_never_arrive_runs_elsewhere() {
    let (mut world, id, address) = placed_world();
    world.starts_lost_at.insert(address.clone());
    world.stops_lost_at.insert(address);
    run_for(&mut world, 500);
    world.spoil_entry(&id);
    assert_runs(&mut world);
}

/// The same where the stop order arrives: then the worker's lists show that the task may be placed again.
#[test]
fn a_task_whose_start_order_never_arrives_runs_elsewhere_once_it_is_stopped() {
    let (mut world, id, address) = placed_world();
    world.starts_lost_at.insert(address);
    run_for(&mut world, 500);
    world.spoil_entry(&id);
    assert_runs(&mut world);
}

/// Guards against a bound that is too long for urgent tasks.
#[test]
fn an_urgent_task_whose_start_order_never_arrives_starts_elsewhere_in_time() {
    let (mut world, id, address) = placed_world();
    world.starts_lost_at.insert(address);
    assert_runs_within(&mut world, 1, MAX_START_MS);
    assert_ne!(placed_on(&world), Some(id));
}

/// Guards against starts to one worker that wait for each other's time-outs, each for the whole bound.
#[test]
fn all_tasks_of_a_worker_at_which_no_start_order_arrives_start_elsewhere_in_time() {
    let (mut world, id, address) = world_with_placed(8, job_of(JOB, QUEUE, &[20], false));
    world.starts_lost_at.insert(address);
    let count = |line: &str| line.contains(&format!(" on {id},"));
    let lines = world.lines.iter().flatten();
    let there = lines.filter(|(.., line)| line.event == "place" && count(&line.detail));
    assert!(there.count() > 2, "several tasks are placed on the worker");
    assert_runs_within(&mut world, 20, MAX_START_MS);
}

/// Guards against a gang whose members wait for one whose start order never arrives.
#[test]
fn a_gang_of_which_one_start_order_never_arrives_starts_elsewhere_in_time() {
    let (mut world, _, address) = world_with_placed(8, job_of(JOB, QUEUE, &[12], true));
    world.starts_lost_at.insert(address);
    run_for(&mut world, 1_000);
    let running = running_tasks(&world);
    assert!((1..12).contains(&running), "{running} members run");
    assert_runs_within(&mut world, 12, MAX_START_MS);
}

/// The same for a task that is down until it runs elsewhere.
#[test]
fn a_long_running_task_whose_start_order_never_arrives_runs_elsewhere() {
    let mut job = job_of(JOB, QUEUE, &[1], false);
    job.steps[0].lasting = true;
    let (mut world, _, address) = world_with_placed(8, job);
    world.starts_lost_at.insert(address);
    assert_runs_within(&mut world, 1, MAX_AWAY_MS);
}

/// The same if the leader is lost at any time between the order and the start elsewhere.
#[test]
fn a_task_whose_start_order_never_arrives_runs_under_the_next_leader() {
    let mut late = Vec::new();
    for killed_ms in (0..4_000).step_by(250) {
        let (mut world, _, address) = placed_world();
        world.starts_lost_at.insert(address);
        run_for(&mut world, killed_ms);
        let leader = world.leader().expect("an instance leads");
        world.kill(leader, 3_000);
        let delay_ms = time_until_running(&mut world, 1);
        late.extend((delay_ms > FINISH_MS).then_some((killed_ms, delay_ms)));
        run_for(&mut world, 3_000);
        assert_kept(&world);
    }
    assert_eq!(late, [], "time of the kill, delay");
}

/// Guards against a second run where orders arrive again at any time before and after the run is stopped.
#[test]
fn a_task_whose_start_order_arrives_late_runs_once() {
    let mut late = Vec::new();
    for lost_ms in (0..4_000).step_by(100) {
        let (mut world, _, address) = placed_world();
        world.starts_lost_at.insert(address.clone());
        run_for(&mut world, lost_ms);
        world.starts_lost_at.remove(&address);
        let delay_ms = lost_ms + time_until_running(&mut world, 1);
        late.extend((delay_ms > MAX_START_MS).then_some((lost_ms, delay_ms)));
        run_for(&mut world, 3_000);
        assert_kept(&world);
    }
    assert_eq!(late, [], "time until orders arrive, delay");
}

/// Guards against a run that is stopped because its orders had no answer while its worker answered nothing at all.
#[test]
fn a_worker_that_was_cut_off_gets_its_start_order_again() {
    for cut_ms in [1_500, 2_600, 3_500] {
        let (mut world, id, address) = placed_world();
        let until = world.now_ms + cut_ms;
        world.worker_cut_until.insert(address, until);
        run_for(&mut world, cut_ms);
        let delay_ms = time_until_running(&mut world, 1);
        assert!(
            delay_ms <= 1_000,
            "{delay_ms} ms after a cut of {cut_ms} ms"
        );
        assert_eq!(placed_on(&world), Some(id), "after a cut of {cut_ms} ms");
        run_for(&mut world, 3_000);
        assert_kept(&world);
    }
}
