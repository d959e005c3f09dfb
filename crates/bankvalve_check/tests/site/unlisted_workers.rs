//! Workers that run on without entries while the leader changes.

use bankvalve_check::site::{job_of, SitePlan, SiteWorld, QUEUE};
use bankvalve_queue::{JobId, WorkerEntry};

use crate::assert_kept;

const ENTRIES: usize = 5;
const TASKS: u32 = 3;
const JOB: JobId = 1;
/// When a worker loses its entry, in milliseconds.
const UNLISTED_MS: u64 = 8_000;
const AFTER_MS: u64 = 15_000;

/// Returns a site whose long-running tasks run, and the address of a worker with one of them.
fn site(seed: u64) -> (SiteWorld, String) {
    let mut world = SiteWorld::new(SitePlan {
        seed,
        entries: ENTRIES,
        strengths: Vec::new(),
        broken: None,
        without: None,
        workers: 8,
        good_percent: None,
    });
    world.looks_wait = true;
    world.configure(2);
    world.run_until(1_000);
    let mut job = job_of(JOB, QUEUE, &[TASKS], false);
    job.steps[0].lasting = true;
    job.steps[0].per_worker_limit = 1;
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
            let (mut world, address) = site(seed);
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
