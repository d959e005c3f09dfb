//! The operator's configuration: in force in time, never an older one, and what is not in it.

use std::sync::Arc;

use bankvalve_check::site::{job_of, run_crash_episode, QueueTold, SiteFault, SiteWorld, QUEUE};

use bankvalve_queue::SiteGuard;

use crate::{assert_kept, follower, plan_of_strengths, world, world_without};

/// Size of a large configuration: 1,400 queues more, as the users saw.
const LARGE: usize = 1_100_000;
/// Time in which a configuration must be in force on all instances in touch, in milliseconds.
const APPLY_MS: u64 = 3_000;
/// Bytes that a link of 10 Mbit/s carries in a millisecond.
const THIN: u64 = 1_250;
/// The same of one of 40 Mbit/s.
const MIDDLE: u64 = 5_000;
/// The same of one of 200 Mbit/s.
const WIDE: u64 = 25_000;
/// Instances of the large site; the last three are strong ones on wide links.
const ENTRIES: usize = 30;

/// A large site of unlike instances on links that carry everything, one after the other.
fn world_of_links(seed: u64) -> SiteWorld {
    let strong = |node| node + 3 >= ENTRIES;
    let strength = |node| if strong(node) { 500 } else { 120 };
    let strengths = (0..ENTRIES).map(strength).collect();
    let mut world = SiteWorld::new(plan_of_strengths(seed, strengths, 4));
    world.links_carry_all = true;
    for node in 0..ENTRIES {
        let rate = if strong(node) { WIDE } else { THIN };
        world.nodes[node].link_bytes_per_ms = Some(rate);
    }
    world.run_until(4_000);
    world
}

fn run_for(world: &mut SiteWorld, span_ms: u64) {
    let until = world.now_ms + span_ms;
    world.run_until(until);
}

/// Live instances that do not have a version in force.
fn behind(world: &SiteWorld, version: u64) -> Vec<usize> {
    let late = |node: &usize| world.nodes[*node].is_up() && world.table_version(*node) < version;
    (0..world.nodes.len()).filter(late).collect()
}

fn bytes_of(world: &SiteWorld, node: usize) -> u64 {
    world.peer_bytes.get(&node).copied().unwrap_or(0)
}

/// Writes three large configurations; each must be in force in time, under the same leader, which
/// sends its peers little beside heartbeats.
fn large_configurations_come(world: &mut SiteWorld) {
    let leader = world.leader().expect("an instance leads");
    world.set_config_bytes(LARGE);
    for version in 2..5 {
        let sent = bytes_of(world, leader);
        world.configure(version);
        run_for(world, APPLY_MS);
        assert_eq!(behind(world, version).len(), 0, "version {version}");
        assert_eq!(world.leader(), Some(leader), "version {version}");
        let sent = bytes_of(world, leader) - sent;
        assert!(sent < LARGE as u64 / 2, "{sent} bytes to peers");
    }
}

/// The large site without its strong instances, some weak ones of which have other links.
fn world_of_weak(seed: u64, links: &[u64]) -> SiteWorld {
    let mut world = world_of_links(seed);
    for (node, rate) in links.iter().enumerate() {
        world.nodes[node].link_bytes_per_ms = Some(*rate);
    }
    for node in ENTRIES - 3..ENTRIES {
        world.kill(node, 200_000);
    }
    run_for(&mut world, 10_000);
    world
}

#[test]
fn a_weak_leader_bears_a_large_configuration() {
    let mut world = world_of_weak(61, &[MIDDLE; 3]);
    large_configurations_come(&mut world);
    assert_kept(&world);
}

#[test]
fn a_weak_leader_on_a_thin_link_bears_a_large_configuration() {
    let mut world = world_of_weak(69, &[]);
    large_configurations_come(&mut world);
    assert_kept(&world);
}

#[test]
fn a_strong_leader_does_not_send_a_large_configuration_to_all() {
    let mut world = world_of_links(62);
    large_configurations_come(&mut world);
    assert_kept(&world);
}

/// Milliseconds until a version is in force at an instance.
fn time_to_apply(world: &mut SiteWorld, node: usize, version: u64) -> u64 {
    let written = world.now_ms;
    world.configure(version);
    while world.table_version(node) < version && world.now_ms < written + 30_000 {
        run_for(world, 10);
    }
    world.now_ms - written
}

#[test]
fn an_instance_whose_watch_has_no_answer_asks_when_peers_know_a_newer_version() {
    let mut world = world_of_links(63);
    world.set_config_bytes(LARGE);
    world.nodes[3].watch_lost_until = 60_000;
    run_for(&mut world, 2_000);
    for version in 2..6 {
        let took = time_to_apply(&mut world, 3, version);
        assert!(took < APPLY_MS, "version {version} after {took} ms");
        run_for(&mut world, 700);
    }
    assert_kept(&world);
}

#[test]
fn a_slow_table_does_not_keep_a_large_configuration_away() {
    let mut world = world_of_links(64);
    world.set_config_bytes(2 * LARGE);
    world.store_delay_ms = 300;
    run_for(&mut world, 2_000);
    // 2.2 MB take 1.8 s on the thin link, and the request 0.3 s.
    for version in 2..5 {
        let took = time_to_apply(&mut world, 3, version);
        assert!(took < APPLY_MS, "version {version} after {took} ms");
        run_for(&mut world, 700);
    }
    assert_kept(&world);
}

#[test]
fn an_instance_that_the_table_does_not_answer_has_the_configuration_from_a_peer() {
    let mut world = world_of_links(65);
    world.set_config_bytes(LARGE);
    let leader = world.leader().expect("an instance leads");
    for node in 3..7 {
        world.nodes[node].cut_from_store_until = 60_000;
    }
    run_for(&mut world, 2_000);
    let sent = bytes_of(&world, leader);
    world.configure(2);
    run_for(&mut world, 5_000);
    assert_eq!(behind(&world, 2).len(), 0);
    let sent = bytes_of(&world, leader) - sent;
    assert!(sent < LARGE as u64, "{sent} bytes from the leader");
    assert_kept(&world);
}

/// What an instance tells a caller that asks for a queue, once it has told.
fn told(world: &mut SiteWorld, node: usize, queue: &str) -> QueueTold {
    let before = world.told.len();
    world.ask_queue(node, queue);
    let until = world.now_ms + 3_000;
    while world.told.len() == before {
        assert!(world.now_ms < until, "no answer");
        run_for(world, 5);
    }
    world.told[before].told
}

#[test]
fn an_instance_does_not_deny_a_queue_that_a_newer_version_has() {
    let mut world = world(66);
    let node = follower(&world);
    world.nodes[node].watch_lost_until = 60_000;
    world.run_until(3_000);
    world.add_queue("added-1", 1);
    world.configure(2);
    assert_eq!(world.table_version(node), 1);
    assert_eq!(told(&mut world, node, "added-1"), QueueTold::Found);
    world.drop_queue("added-1");
    world.configure(3);
    run_for(&mut world, 2_000);
    assert_eq!(told(&mut world, node, "added-1"), QueueTold::NoQueue);
    assert_kept(&world);
}

#[test]
fn a_queue_is_not_denied_while_the_table_cannot_tell() {
    let mut world = world(67);
    let node = follower(&world);
    assert_eq!(told(&mut world, node, "none"), QueueTold::NoQueue);
    world.nodes[node].cut_from_store_until = 20_000;
    assert_eq!(told(&mut world, node, "none"), QueueTold::ComeBack);
    world.nodes[node].cut_from_store_until = 0;
    world.nodes[node].turned_away_until = 20_000;
    assert_eq!(told(&mut world, node, "none"), QueueTold::ComeBack);
    world.nodes[node].turned_away_until = 0;
    run_for(&mut world, 1_500);
    assert_eq!(told(&mut world, node, "none"), QueueTold::NoQueue);
    assert_kept(&world);
}

#[test]
fn an_instance_that_starts_without_the_table_has_the_configuration_from_a_peer() {
    let mut world = world_of_links(70);
    world.nodes[3].cut_from_store_until = 60_000;
    world.kill(3, 500);
    run_for(&mut world, 5_000);
    assert_eq!(world.table_version(3), 1);
    assert_kept(&world);
}

/// Rules broken when an instance that has a newer configuration is given an older one.
fn breaches_of_older(broken: Option<SiteGuard>) -> usize {
    let mut world = world_without(71, 4, broken);
    world.configure(5);
    world.run_until(2_000);
    world.give_table(1, 3);
    world.run_until(3_000);
    world.rules.breaches.len()
}

#[test]
fn an_older_configuration_would_be_noticed() {
    assert_eq!(breaches_of_older(None), 0);
    assert!(breaches_of_older(Some(SiteGuard::NewerTable)) > 0);
}

#[test]
fn a_queue_that_is_denied_without_asking_would_be_noticed() {
    let mut world = world_without(72, 4, Some(SiteGuard::KnownNewest));
    let node = follower(&world);
    world.nodes[node].watch_lost_until = 60_000;
    world.run_until(3_000);
    world.add_queue("added-1", 1);
    world.configure(2);
    assert_eq!(told(&mut world, node, "added-1"), QueueTold::NoQueue);
}

#[test]
fn a_job_is_taken_under_the_leaders_newer_configuration() {
    let mut world = world(68);
    let node = follower(&world);
    world.add_queue("other", 1);
    world.configure(2);
    world.run_until(2_000);
    world.nodes[node].watch_lost_until = 60_000;
    world.nodes[node].cut_from_store_until = 60_000;
    world.run_until(4_000);
    world.add_queue(QUEUE, 7);
    world.drop_queue("other");
    world.configure(3);
    run_for(&mut world, 20);
    assert_eq!(world.table_version(node), 2);
    world.submit_at(node, &Arc::new(job_of(1, QUEUE, &[1], false)));
    world.submit_at(node, &Arc::new(job_of(2, "other", &[1], false)));
    world.ask_queue(node, "other");
    run_for(&mut world, 40);
    assert_eq!(world.table_version(node), 2);
    assert_eq!(world.open_calls(), 0);
    assert_eq!(world.terms_of(1).map(|terms| terms.priority), Some(7));
    assert_eq!(world.terms_of(2), None);
    assert_eq!(world.told[0].told, QueueTold::ComeBack);
    world.run_until(20_000);
    assert_kept(&world);
    assert!(!world.rules.accepted().contains(&2));
}

/// Guards against an instance that counts as in touch while it stands still, once other troubles have ended.
#[test]
fn an_instance_that_stands_still_past_the_calm_is_not_held_to_a_time() {
    let report = run_crash_episode(810_017, &SiteFault::UNANSWERED, None);
    assert_eq!(report.breaches, []);
}
