//! Workers that run on without entries while the leader changes.

use bankvalve_check::site::{job_of, SitePlan, SiteWorld, QUEUE};
use bankvalve_queue::{JobId, WorkerEntry};

use crate::{assert_kept, plan_of};

const ENTRIES: usize = 5;
const WORKERS: usize = 8;
const TASKS: u32 = 3;
const JOB: JobId = 1;
/// When a worker loses its entry, in milliseconds.
const UNLISTED_MS: u64 = 8_000;
const AFTER_MS: u64 = 15_000;

/// Returns a site whose tasks run for long, and the address of a worker with one of them.
fn site(seed: u64, lasting: bool) -> (SiteWorld, String) {
    let mut world = SiteWorld::new(SitePlan {
        entries: ENTRIES,
        ..plan_of(seed, WORKERS)
    });
    world.looks_wait = true;
    world.lines = Some(Vec::new());
    world.configure(2);
    world.run_until(1_000);
    let mut job = job_of(JOB, QUEUE, &[TASKS], false);
    job.steps[0].lasting = lasting;
    job.steps[0].per_worker_limit = 1;
    world.work_ms.insert(JOB, 10 * AFTER_MS);
    world.submit(job);
    world.run_until(UNLISTED_MS);
    let mut busy = world.workers.iter();
    let busy = busy.find(|(_, worker)| worker.as_ref().is_some_and(|it| !it.runs().is_empty()));
    let address = busy.expect("a task runs").0.clone();
    (world, address)
}

fn end_leader(world: &mut SiteWorld) {
    let leader = world.leader().expect("an instance leads");
    world.kill(leader, AFTER_MS);
}

// Guards against a task that runs twice because a successor takes the answer at an address where the worker has never
// listened for its end.
#[test]
fn a_worker_without_entry_is_called_where_it_has_answered() {
    for seed in 1..3 {
        for after_ms in (400..2_400).step_by(100) {
            let (mut world, address) = site(seed, true);
            let mut others = world.workers.keys().filter(|other| **other != address);
            let other = others.next_back().expect("another worker").clone();
            let worker = world.workers[&address].clone().expect("a worker");
            let entry = WorkerEntry {
                address: other,
                ..worker.entry.clone()
            };
            world.overwrite_with(&worker.id, entry);
            world.run_until(UNLISTED_MS + 300);
            let cut_until = world.now_ms + after_ms + 3_000;
            world.worker_cut_until.insert(address.clone(), cut_until);
            world.unlist_worker(&address);
            world.run_until(UNLISTED_MS + 300 + after_ms);
            end_leader(&mut world);
            world.run_until(UNLISTED_MS + AFTER_MS);
            assert_kept(&world);
        }
    }
}

/// Plays a worker that runs on without its entry and ends. Returns how often a task is blamed for that.
fn blamed(seed: u64, leader_ends: bool) -> usize {
    let (mut world, address) = site(seed, false);
    world.unlist_worker(&address);
    world.run_until(UNLISTED_MS + 3_000);
    if leader_ends {
        end_leader(&mut world);
    }
    world.crash_worker(&address, 2 * AFTER_MS);
    world.run_until(UNLISTED_MS + AFTER_MS);
    assert_kept(&world);
    let lines = world.lines.iter().flatten();
    let crashes = lines.filter(|(at, _, line)| *at > UNLISTED_MS && line.event == "crash");
    crashes.count()
}

// Guards against tasks that become suspects because a successor does not know that their worker left as announced.
#[test]
fn tasks_are_not_blamed_for_a_departure_before_a_change_of_leader() {
    for seed in 1..5 {
        for leader_ends in [false, true] {
            let blamed = blamed(seed, leader_ends);
            assert_eq!(blamed, 0, "seed {seed}, the leader ends: {leader_ends}");
        }
    }
}

/// Plays a worker that is back at another address after it has run without an entry, and starts a task there. The
/// leader ends; the worker's next entry goes so many milliseconds before, or stays.
fn assert_runs_once_elsewhere(seed: u64, leader_ends: u64, gone_before_ms: Option<u64>) {
    let (mut world, address) = site(seed, false);
    world.store_delay_ms = 40;
    let idle = world.workers.iter();
    let mut idle = idle.filter(|(_, it)| it.as_ref().is_some_and(|it| it.runs().is_empty()));
    let mut next_idle = || idle.next().expect("an idle worker").0.clone();
    let (other, spare) = (next_idle(), next_idle());
    // The spare worker takes tasks under the next leader only.
    world.worker_cut_until.insert(spare, leader_ends);
    world.unlist_worker(&address);
    world.run_until(UNLISTED_MS + 1_000);
    world.swap_addresses(&address, &other);
    let mut job = job_of(JOB + 1, QUEUE, &[WORKERS as u32 - 1], false);
    job.steps[0].per_worker_limit = 1;
    world.work_ms.insert(JOB + 1, 10 * AFTER_MS);
    world.submit(job);
    world.run_until(leader_ends - gone_before_ms.unwrap_or(0));
    let back = world.workers[&other].as_ref().expect("a worker");
    assert!(!back.runs().is_empty(), "a task runs there");
    if gone_before_ms.is_some() {
        world.unlist_worker(&other);
    }
    world.run_until(leader_ends);
    end_leader(&mut world);
    world.run_until(UNLISTED_MS + 2 * AFTER_MS);
    assert_kept(&world);
}

// Guards against a task that runs twice because a successor takes the answer at the address of a worker's former
// process for the end of the process that runs the task.
#[test]
fn a_worker_that_is_back_elsewhere_is_not_called_at_its_former_address() {
    for seed in 1..4 {
        for after_ms in (2_000..5_000).step_by(500) {
            assert_runs_once_elsewhere(seed, UNLISTED_MS + after_ms, None);
        }
    }
}

// The same where the entry of the later process goes before the leader has told its address.
#[test]
fn a_worker_that_is_back_elsewhere_without_entry_is_not_called_at_its_former_address() {
    for seed in 1..4 {
        for gone_before_ms in (5..300).step_by(25) {
            assert_runs_once_elsewhere(seed, UNLISTED_MS + 3_000, Some(gone_before_ms));
        }
    }
}

// Guards against a task that runs twice because a successor that was told where a worker has answered takes the answer
// at the address in a changed entry for its end, once that entry is gone.
#[test]
fn a_worker_whose_changed_entry_goes_after_a_handover_is_called_where_it_has_answered() {
    for seed in 1..3 {
        for after_ms in (400..2_400).step_by(200) {
            let (mut world, address) = site(seed, true);
            let mut others = world.workers.keys().filter(|other| **other != address);
            let other = others.next_back().expect("another worker").clone();
            let worker = world.workers[&address].clone().expect("a worker");
            let entry = WorkerEntry {
                address: other,
                ..worker.entry.clone()
            };
            world.overwrite_with(&worker.id, entry);
            world.run_until(UNLISTED_MS + 300);
            let cut_until = world.now_ms + after_ms + 3_000;
            world.worker_cut_until.insert(address.clone(), cut_until);
            let leader = world.leader().expect("an instance leads");
            world.roll(leader, AFTER_MS);
            world.run_until(UNLISTED_MS + 300 + after_ms);
            world.unlist_worker(&address);
            world.run_until(UNLISTED_MS + AFTER_MS);
            assert_kept(&world);
        }
    }
}
