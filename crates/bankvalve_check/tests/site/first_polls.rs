//! A new leader's first polls to workers.

use bankvalve_check::site::{job_of, SiteWorld, QUEUE};
use bankvalve_queue::WorkerId;

use crate::{assert_kept, plan_of};

/// Workers of the site, and how many of them no instance can reach: more than a new leader polls at once for the
/// first time, twice over.
const WORKERS: usize = 330;
const SILENT: usize = 320;
/// Time for the first leader to reach all workers, time without the unreachable ones, and time in which a job
/// starts after a change of leader, in milliseconds.
const SETTLE_MS: u64 = 3_000;
const CUT_MS: u64 = 60_000;
const START_MS: u64 = 3_000;

/// Guards against a new leader that polls the same unreachable workers again and again and never reaches the
/// others.
#[test]
fn a_new_leader_reaches_workers_behind_many_unreachable_ones() {
    let mut world = SiteWorld::new(plan_of(1, WORKERS));
    world.run_until(SETTLE_MS);
    let present = world.workers.iter();
    let present = present
        .filter_map(|(address, worker)| Some((worker.as_ref()?.id.clone(), address.clone())));
    let mut by_id: Vec<(WorkerId, String)> = present.collect();
    by_id.sort_unstable();
    let (silent, reachable) = by_id.split_at(SILENT);
    for (_, address) in silent {
        world.cut_worker(address, CUT_MS);
    }
    let leader = world.leader().expect("an instance leads");
    world.kill(leader, CUT_MS);
    let killed_ms = world.now_ms;
    let starts = |world: &SiteWorld| {
        reachable.iter().any(|(_, address)| {
            let worker = world.workers[address].as_ref();
            worker.is_some_and(|worker| !worker.runs().is_empty())
        })
    };
    world.submit(job_of(1, QUEUE, &[1], false));
    while !starts(&world) && world.now_ms < killed_ms + 2 * START_MS {
        world.run_until(world.now_ms + 20);
    }
    let waited = world.now_ms - killed_ms;
    assert!(waited <= START_MS, "the first start takes {waited} ms");
    assert_kept(&world);
}
