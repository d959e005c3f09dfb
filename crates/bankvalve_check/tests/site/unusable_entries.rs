//! Workers whose entry becomes unusable between the placement of a task and its start.

use std::collections::BTreeSet;

use bankvalve_check::site::{job_of, SiteWorld, QUEUE};
use bankvalve_queue::{JobId, ProcessStart, StepKey, TaskKey, WorkerEntry, WorkerId};
use bankvalve_standin::site::SiteWorker;

use crate::{assert_kept, world_without};

/// The job whose first task is placed on the worker.
const JOB: JobId = 900;
/// Run time of its tasks, in milliseconds.
const WORK_MS: u64 = 10_000;
/// Time within which each task runs elsewhere, in milliseconds.
const MAX_DELAY_MS: u64 = 1_000;
/// Time for which the users allow a long-running task to be away, in milliseconds.
const MAX_AWAY_MS: u64 = 9_000;
/// Time for which a new leader waits for a worker that it does not reach while its entry stands, and a takeover, in
/// milliseconds.
const MAX_UNREACHED_MS: u64 = 12_000;
/// Time that the table takes for each request, so that the entry can change before the start, in milliseconds.
const TABLE_MS: u64 = 40;

/// How the entry changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    /// Its service is not in use.
    Service,
    /// It names another address.
    Address,
    /// It was written by another process.
    Process,
    /// It cannot be decoded.
    Unreadable,
    /// It is gone, and the worker writes it again after so many milliseconds.
    GoneAndBack(u64),
}

impl Change {
    /// Time until the worker writes its entry again, in milliseconds.
    fn gone_ms(self) -> Option<u64> {
        match self {
            Change::GoneAndBack(gone_ms) => Some(gone_ms),
            _ => None,
        }
    }
}

const CHANGES: [Change; 4] = [
    Change::Service,
    Change::Address,
    Change::Process,
    Change::Unreadable,
];
/// Entries that are back before the start is sent, and only after that.
const RETURNS: [Change; 3] = [
    Change::GoneAndBack(10),
    Change::GoneAndBack(60),
    Change::GoneAndBack(400),
];

/// What is started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Single,
    Gang,
    Lasting,
}

/// What happens besides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    Nothing,
    /// The worker is cut off as its entry changes.
    WorkerCut,
    /// The leader is killed right after the change.
    LeaderKilled,
}

/// Returns the worker for which a task was last placed.
fn placed_on(world: &SiteWorld, task: TaskKey) -> Option<WorkerId> {
    let id = task.to_string();
    let lines = world.lines.iter().flatten();
    let place = lines
        .rev()
        .find(|(_, _, line)| (line.part, line.event) == ("placer", "place") && line.id == id);
    let (.., line) = place?;
    let worker = line.detail.split(" on ").nth(1)?.split(',').next()?;
    Some(worker.into())
}

fn running(world: &SiteWorld) -> BTreeSet<TaskKey> {
    let workers = world.workers.values().flatten();
    let tasks = workers.flat_map(|worker| worker.runs().keys().copied());
    tasks.filter(|task| task.step.job == JOB).collect()
}

fn run_for(world: &mut SiteWorld, ms: u64) {
    let until = world.now_ms + ms;
    world.run_until(until);
}

fn living_worker<'a>(world: &'a SiteWorld, id: &WorkerId) -> &'a SiteWorker {
    let mut workers = world.workers.values().flatten();
    let worker = workers.find(|worker| worker.id == *id);
    worker.expect("the worker lives")
}

fn change_entry(world: &mut SiteWorld, id: &WorkerId, change: Change) {
    let entry = living_worker(world, id).entry.clone();
    let entry = match change {
        Change::Service => WorkerEntry {
            service: "none of ours".into(),
            ..entry
        },
        Change::Address => WorkerEntry {
            address: "10.9.9.9:80".into(),
            ..entry
        },
        Change::Process => WorkerEntry {
            started: Some(ProcessStart(7)),
            ..entry
        },
        Change::Unreadable => return world.spoil_entry(id),
        Change::GoneAndBack(_) => return world.unlist_worker(&entry.address),
    };
    world.overwrite_with(id, entry);
}

/// Writes a worker's entry again if it is time.
fn write_again(world: &mut SiteWorld, id: &WorkerId, back_at: &mut Option<u64>) {
    if back_at.is_some_and(|at| world.now_ms >= at) {
        *back_at = None;
        let entry = living_worker(world, id).entry.clone();
        world.overwrite_with(id, entry);
    }
}

/// Changes the entry of the worker for which a task is placed, some time after that. Returns the time until all
/// tasks of the job run, in milliseconds.
fn time_until_running(kind: Kind, change: Change, trouble: Trouble, after_ms: u64) -> u64 {
    let mut world = world_without(after_ms + 1, 8, None);
    world.looks_wait = true;
    world.store_delay_ms = TABLE_MS;
    run_for(&mut world, 4_000);
    world.lines = Some(Vec::new());
    let tasks = if kind == Kind::Gang { 3 } else { 1 };
    let mut job = job_of(JOB, QUEUE, &[tasks], kind == Kind::Gang);
    job.steps[0].lasting = kind == Kind::Lasting;
    let first = StepKey {
        job: JOB,
        time: 0,
        step: 0,
    }
    .task(0);
    world.work_ms.insert(JOB, WORK_MS);
    world.submit(job);
    while placed_on(&world, first).is_none() {
        run_for(&mut world, 1);
    }
    run_for(&mut world, after_ms);
    let worker = placed_on(&world, first).expect("the task is placed");
    change_entry(&mut world, &worker, change);
    if trouble == Trouble::WorkerCut {
        let address = living_worker(&world, &worker).entry.address.clone();
        world.worker_cut_until.insert(address, u64::MAX);
    }
    let changed_at = world.now_ms;
    if trouble == Trouble::LeaderKilled {
        let leader = world.leader().expect("an instance leads");
        world.kill(leader, 3_000);
    }
    let mut back_at = change.gone_ms().map(|gone_ms| changed_at + gone_ms);
    while world.now_ms < changed_at + 30_000 && running(&world).len() < tasks as usize {
        write_again(&mut world, &worker, &mut back_at);
        run_for(&mut world, 5);
    }
    let delay_ms = world.now_ms - changed_at;
    for _ in 0..30 {
        write_again(&mut world, &worker, &mut back_at);
        run_for(&mut world, 100);
    }
    assert_kept(&world);
    delay_ms
}

/// Plays each of these changes before the start. Returns the plays in which the tasks do not run in time.
fn late_plays(
    changes: &[Change],
    trouble: Trouble,
    limit_ms: impl Fn(Kind) -> u64,
) -> Vec<(Kind, Change, u64, u64)> {
    let mut late = Vec::new();
    for kind in [Kind::Single, Kind::Gang, Kind::Lasting] {
        for change in changes.iter().copied() {
            for after_ms in (0..50).step_by(10) {
                let delay_ms = time_until_running(kind, change, trouble, after_ms);
                late.extend(
                    (delay_ms > limit_ms(kind)).then_some((kind, change, after_ms, delay_ms)),
                );
            }
        }
    }
    late
}

/// Guards against a placed task that waits for as long as its worker's entry is not usable.
#[test]
fn a_task_whose_workers_entry_becomes_unusable_before_its_start_runs_elsewhere() {
    let late = late_plays(&CHANGES, Trouble::Nothing, |_| MAX_DELAY_MS);
    assert_eq!(late, [], "kind, change, time after the placement, delay");
}

/// The same where the worker does not answer.
#[test]
fn a_task_whose_cut_off_workers_entry_becomes_unusable_runs_elsewhere() {
    let late = late_plays(&CHANGES, Trouble::WorkerCut, |_| MAX_DELAY_MS);
    assert_eq!(late, [], "kind, change, time after the placement, delay");
}

/// The same under the next leader, which waits for the leases of a worker that it cannot reach.
#[test]
fn a_task_whose_workers_entry_becomes_unusable_runs_under_the_next_leader() {
    let late = late_plays(&CHANGES, Trouble::LeaderKilled, |kind| match kind {
        Kind::Lasting => MAX_AWAY_MS,
        _ => MAX_UNREACHED_MS,
    });
    assert_eq!(late, [], "kind, change, time after the placement, delay");
}

/// Guards against a start that waits, or comes twice, though its worker's entry was away for a moment only.
#[test]
fn a_task_whose_workers_entry_is_gone_and_back_before_its_start_runs() {
    let late = late_plays(&RETURNS, Trouble::Nothing, |_| MAX_DELAY_MS);
    assert_eq!(late, [], "kind, change, time after the placement, delay");
}

/// The same under the next leader, which has read the entries while this one was away.
#[test]
fn a_task_whose_workers_entry_is_gone_and_back_runs_under_the_next_leader() {
    let late = late_plays(&RETURNS, Trouble::LeaderKilled, |kind| match kind {
        Kind::Lasting => MAX_AWAY_MS,
        _ => MAX_UNREACHED_MS,
    });
    assert_eq!(late, [], "kind, change, time after the placement, delay");
}
