//! Entry instances on the users' platform, under virtual time: each fault found once stays found.

mod admission;
mod advice_handover;
mod answers;
mod carriers;
mod config;
mod config_return;
mod config_series;
mod crashing;
mod customer_backlog;
mod customers;
mod cut_reports;
mod departures;
mod drawn_series;
mod early_cancels;
mod evacuations;
mod failing_workers;
mod first_polls;
mod fleet;
mod former_leader;
mod guilty_tasks;
mod guilty_worlds;
mod hard_load;
mod holds;
mod jobs;
mod lasting;
mod leading;
mod lost_orders;
mod lost_workers;
mod missed_leaders;
mod other_writers;
mod outage;
mod overload;
mod permits;
mod placement_backlog;
mod priorities;
mod random;
mod recover;
mod reserved_capacity;
mod restart_deadline;
mod restart_handovers;
mod restart_then_cut;
mod restarts;
mod rolling_site;
mod run_times;
mod sight;
mod storms;
mod suspect_backlog;
mod table;
mod takeover;
mod unlisted_workers;
mod unusable_entries;
mod wide_gangs;
mod workers;

use bankvalve_check::site::{SitePlan, SiteWorld};
use bankvalve_queue::SiteGuard;

fn world(seed: u64) -> SiteWorld {
    world_without(seed, 4, None)
}

/// Three instances and so many workers, with all guards and policies.
fn plan_of(seed: u64, workers: usize) -> SitePlan {
    SitePlan {
        seed,
        entries: 3,
        strengths: Vec::new(),
        broken: None,
        without: None,
        workers,
        good_percent: None,
    }
}

/// Instances of these strengths, in thousandths of a core, and so many workers.
fn plan_of_strengths(seed: u64, strengths: Vec<u64>, workers: usize) -> SitePlan {
    SitePlan {
        entries: strengths.len(),
        strengths,
        ..plan_of(seed, workers)
    }
}

/// A site of so many workers, after its first second, with a guard taken away if asked.
fn world_without(seed: u64, workers: usize, broken: Option<SiteGuard>) -> SiteWorld {
    let mut world = SiteWorld::new(SitePlan {
        broken,
        ..plan_of(seed, workers)
    });
    world.run_until(1_000);
    world
}

fn follower(world: &SiteWorld) -> usize {
    let leader = world.leader().expect("an instance leads");
    (0..world.nodes.len())
        .find(|node| *node != leader)
        .expect("another instance")
}

fn assert_kept(world: &SiteWorld) {
    assert_eq!(world.rules.breaches, []);
}

/// A site of many weak instances and three strong ones, the last ones.
fn unlike_world(seed: u64, entries: usize) -> SiteWorld {
    let strength = |node| if node + 3 < entries { 120 } else { 500 };
    let strengths = (0..entries).map(strength).collect();
    let mut world = SiteWorld::new(plan_of_strengths(seed, strengths, 4));
    world.run_until(1_000);
    world
}
