//! Large configurations in quick series over thin links: no copy that is of no use delays the next.

use bankvalve_check::site::SiteWorld;

use crate::plan_of_strengths;

/// Size of a large configuration, in bytes.
const LARGE: usize = 1_050_000;
/// Bytes that a link of 10 Mbit/s carries in a millisecond.
const THIN: u64 = 1_250;
/// The same of one of 200 Mbit/s.
const WIDE: u64 = 25_000;
/// Strengths of the instances; the strong ones are on wide links.
const STRENGTHS: [u64; 9] = [120, 120, 500, 120, 120, 500, 120, 500, 120];
/// A weak instance.
const WEAK: usize = 3;
/// Bytes of a job's text in the ledger: near the longest.
const PAYLOAD: usize = 3_900;
/// Batches of the ledger: the first ones are large, and small ones follow.
const LARGE_BATCHES: u64 = 120;
const SMALL_BATCHES: u64 = 1_000;
/// Time between two looks at the versions in force, in milliseconds.
const LOOK_MS: u64 = 20;

fn world_of_links(seed: u64, large_batches: u64) -> SiteWorld {
    let mut world = SiteWorld::new(plan_of_strengths(seed, STRENGTHS.to_vec(), 4));
    world.links_carry_all = true;
    for (node, strength) in STRENGTHS.into_iter().enumerate() {
        let rate = if strength == 500 { WIDE } else { THIN };
        world.nodes[node].link_bytes_per_ms = Some(rate);
    }
    if large_batches > 0 {
        // Pages of small batches grow, so that one page later holds all of the large ones.
        world.fill_ledger(SMALL_BATCHES, 10);
        world.fill_ledger(large_batches, PAYLOAD);
    }
    world.run_until(5_000);
    world.set_config_bytes(LARGE);
    world
}

/// Runs for a time and checks the versions in force all the while.
fn watch_for(world: &mut SiteWorld, span_ms: u64) {
    let until = world.now_ms + span_ms;
    while world.now_ms < until {
        let next = until.min(world.now_ms + LOOK_MS);
        world.run_until(next);
        world.check_versions();
    }
}

/// Writes versions from 2 on, so far apart in milliseconds.
fn write_series(world: &mut SiteWorld, gaps_ms: &[u64]) {
    for (number, gap_ms) in gaps_ms.iter().enumerate() {
        world.configure(2 + number as u64);
        watch_for(world, *gap_ms);
    }
}

/// Guards against a query that the table refused once, and that makes an instance pull each later
/// version from a peer although its watch delivers it.
#[test]
fn a_refused_query_does_not_double_later_versions() {
    let mut late = Vec::new();
    for gap_ms in (200..1_500).step_by(50) {
        let mut world = world_of_links(81, 0);
        world.nodes[WEAK].turned_away_until = world.now_ms + 4_000;
        world.ask_queue(WEAK, "none");
        watch_for(&mut world, 9_000);
        let pulled = world.tables_passed;
        write_series(&mut world, &[gap_ms; 6]);
        watch_for(&mut world, 5_000);
        if !world.rules.breaches.is_empty() || world.tables_passed > pulled {
            late.push((gap_ms, world.tables_passed - pulled, world.rules.breaches));
        }
    }
    assert!(late.is_empty(), "{} gaps: {late:#?}", late.len());
}

/// Guards against a deposed leader that reads the ledger again in so large a page that the page and the
/// configurations behind it are given up, requested again, and transferred once more each.
#[test]
fn a_deposed_leader_reads_its_ledger_again_without_holding_configurations_up() {
    let mut late = Vec::new();
    for cut_ms in (700..1_900).step_by(200) {
        for ask_ms in (0..1_500).step_by(100) {
            let mut world = world_of_links(82, LARGE_BATCHES);
            for node in [2, 5, 7] {
                world.kill(node, 200_000);
            }
            watch_for(&mut world, 8_000);
            let leader = world.leader().expect("an instance leads");
            world.nodes[leader].cut_from_store_until = world.now_ms + cut_ms;
            watch_for(&mut world, cut_ms - 10);
            world.configure(2);
            let mut asked = false;
            for number in 3..12 {
                watch_for(&mut world, 150);
                world.configure(number);
                if !asked && ask_ms <= 150 * (number - 2) {
                    asked = true;
                    world.ask_queue(leader, "none");
                }
            }
            watch_for(&mut world, 6_000);
            if !world.rules.breaches.is_empty() {
                late.push((
                    cut_ms,
                    ask_ms,
                    world.rules.breaches.len(),
                    world.rules.breaches[0].text.clone(),
                ));
            }
        }
    }
    assert!(late.is_empty(), "{} distances: {late:?}", late.len());
}
