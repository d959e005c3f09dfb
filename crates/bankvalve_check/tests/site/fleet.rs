//! Sites of so many instances that not every one of them knows all others.

use bankvalve_check::site::{job_of, play_fleet, SiteWorld, QUEUE};

use crate::{assert_kept, plan_of, plan_of_strengths};

/// CPU of the instances that rank first and of the others, in thousandths of a core.
const STRONG: u64 = 500;
const WEAK: u64 = 120;
/// Table of the members' rows.
const MEMBERS: &str = "members";

/// A site with so many instances, of which the first ones are strong, after its start.
fn fleet(seed: u64, entries: usize, strong: usize) -> SiteWorld {
    let strength = |node| if node < strong { STRONG } else { WEAK };
    let strengths = (0..entries).map(strength).collect();
    let mut world = SiteWorld::new(plan_of_strengths(seed, strengths, 12));
    world.run_until(6_000);
    world
}

fn run_jobs(world: &mut SiteWorld, first: u64, count: u64) {
    for job in first..first + count {
        world.submit(job_of(job, QUEUE, &[2], false));
        let until = world.now_ms + 50;
        world.run_until(until);
    }
}

/// Guards against members that all read the rows of all others.
#[test]
fn the_table_costs_as_much_for_each_instance_however_many_there_are() {
    let each = |instances: usize| {
        let figures = play_fleet(instances, 30);
        assert_eq!(figures.broken, 0, "{instances} instances");
        let (_, start) = figures.start.whole();
        let (calls, _) = figures.calm.whole();
        let (_, back) = figures.back.whole();
        [start, calls, back].map(|sum| sum as f64 / instances as f64)
    };
    let (small, large) = (each(100), each(300));
    for (small, large) in small.iter().zip(&large) {
        assert!(*large < small * 1.25, "{small} at 100, {large} at 300");
    }
}

/// Guards against a site that nobody leads once all members whose rows the others know are gone.
#[test]
fn a_weak_instance_leads_after_the_loss_of_all_that_rank_first() {
    for lost in [70, 100] {
        let mut world = fleet(1, 150, 100);
        run_jobs(&mut world, 1, 20);
        for node in 0..lost {
            world.kill(node, 120_000);
        }
        let until = world.now_ms + 8_000;
        world.run_until(until);
        let leader = world.leader().expect("an instance leads");
        assert!(leader >= lost);
        run_jobs(&mut world, 100, 40);
        let until = world.now_ms + 20_000;
        world.run_until(until);
        assert_eq!(world.shown.len(), world.rules.accepted().len());
        assert!(world.shown.len() > 40, "{} jobs", world.shown.len());
        assert_kept(&world);
    }
}

/// Guards against a member that is not known any more since its row was removed while it was cut off.
#[test]
fn a_member_whose_row_was_removed_writes_it_again() {
    let mut world = fleet(2, 80, 6);
    assert_eq!(world.store.count_rows(MEMBERS), 80);
    let last = world.nodes.len() - 1;
    let until = world.now_ms + 75_000;
    world.nodes[last].cut_from_peers_until = until;
    world.nodes[last].cut_from_store_until = until;
    world.run_until(until);
    assert_eq!(world.store.count_rows(MEMBERS), 79);
    world.run_until(until + 35_000);
    assert_eq!(world.store.count_rows(MEMBERS), 80);
}

/// Guards against members that do not learn of an instance that joins them, or of a leader that it became.
#[test]
fn instances_that_join_a_large_site_are_known_and_serve() {
    let mut world = fleet(3, 90, 6);
    for _ in 0..10 {
        world.add_instance();
    }
    let until = world.now_ms + 3_000;
    world.run_until(until);
    assert_eq!(world.store.count_rows(MEMBERS), 100);
    for node in 0..90 {
        world.kill(node, 60_000);
    }
    let until = world.now_ms + 8_000;
    world.run_until(until);
    assert!(world.leader().is_some_and(|leader| leader >= 90));
    run_jobs(&mut world, 1, 20);
    let until = world.now_ms + 10_000;
    world.run_until(until);
    assert!(world.shown.len() > 10, "{} jobs", world.shown.len());
    assert_kept(&world);
}

/// Workers that the leader's scans visit for each start on a site of so many workers.
fn scanned_for_each_start(workers: usize) -> u64 {
    let mut world = SiteWorld::new(plan_of(4, workers));
    world.run_until(5_000);
    run_jobs(&mut world, 1, 60);
    let scanned = world.counter("placements", "workers_scanned");
    assert!(world.rules.starts >= 100, "{} starts", world.rules.starts);
    assert_kept(&world);
    scanned / world.rules.starts
}

/// Guards against a leader whose cost for each start grows with the workers.
#[test]
fn a_start_costs_as_many_looks_at_workers_however_many_there_are() {
    let [small, large, twice] = [1_500, 6_000, 12_000].map(scanned_for_each_start);
    assert!(large <= small, "{large} at 6,000 workers, {small} at 1,500");
    assert!(
        twice <= small,
        "{twice} at 12,000 workers, {small} at 1,500"
    );
}
