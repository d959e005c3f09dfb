//! Workers that answer polls, but at which orders do not arrive.

use bankvalve_check::site::{job_of, SiteWorld, QUEUE};
use bankvalve_queue::{JobId, WorkerId};

use crate::{assert_kept, world_without};

const JOB: JobId = 900;
/// Run time of its task, in milliseconds.
const WORK_MS: u64 = 20_000;
/// Time that the table takes for each request, so that the orders can be lost before the start, in milliseconds.
const TABLE_MS: u64 = 40;
/// Time after the end of the traffic from which the users expect each task to run, in milliseconds.
const FINISH_MS: u64 = 14_000;

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
    let mut world = world_without(1, 8, None);
    world.looks_wait = true;
    world.store_delay_ms = TABLE_MS;
    run_for(&mut world, 4_000);
    world.lines = Some(Vec::new());
    world.work_ms.insert(JOB, WORK_MS);
    world.submit(job_of(JOB, QUEUE, &[1], false));
    while placed_on(&world).is_none() {
        run_for(&mut world, 1);
    }
    let id = placed_on(&world).expect("the task is placed");
    let mut workers = world.workers.values().flatten();
    let worker = workers.find(|worker| worker.id == id);
    let address = worker.expect("the worker lives").entry.address.clone();
    (world, id, address)
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
