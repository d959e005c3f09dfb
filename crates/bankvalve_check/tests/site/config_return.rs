//! Within one life of an instance, no request is handled by an older configuration than an earlier one was.

use std::sync::Arc;

use bankvalve_check::site::{job_of, QueueTold, RuleBreach, SitePlan, SiteWorld, QUEUE};
use bankvalve_queue::SiteGuard;

use crate::plan_of_strengths;

/// Instances of a site; the last two are strong ones.
const ENTRIES: usize = 5;
/// A weak instance.
const WEAK: usize = 0;
/// Time after which no watch of the configuration is open that was sent before, in milliseconds.
const OPEN_WATCH_MS: u64 = 1_500;

fn world_without(seed: u64, broken: Option<SiteGuard>) -> SiteWorld {
    let strength = |node| if node + 2 >= ENTRIES { 500 } else { 120 };
    let strengths = (0..ENTRIES).map(strength).collect();
    let mut world = SiteWorld::new(SitePlan {
        broken,
        ..plan_of_strengths(seed, strengths, 4)
    });
    world.run_until(4_000);
    world
}

fn run_for(world: &mut SiteWorld, span_ms: u64) {
    let until = world.now_ms + span_ms;
    world.run_until(until);
}

/// No watch of the configuration is answered for a time. Meanwhile, a version adds one queue and drops another;
/// a caller asks for the added one, and another caller, some time later, for the dropped one. The first query
/// for the added one is lost.
fn breaches_of_waiting_request(later_ms: u64, broken: Option<SiteGuard>) -> Vec<RuleBreach> {
    let mut world = world_without(91, broken);
    world.add_queue("dropped", 1);
    world.configure(2);
    run_for(&mut world, 1_000);
    let until = world.now_ms + OPEN_WATCH_MS + 750;
    for node in &mut world.nodes {
        node.watch_lost_until = until;
    }
    run_for(&mut world, OPEN_WATCH_MS);
    world.nodes[WEAK].cut_from_store_until = until;
    world.add_queue("added", 1);
    world.drop_queue("dropped");
    world.configure(3);
    world.ask_queue(WEAK, "added");
    run_for(&mut world, later_ms);
    world.ask_queue(WEAK, "dropped");
    run_for(&mut world, 5_000);
    assert_eq!(world.open_calls(), 0);
    world.rules.breaches
}

/// Guards against a request that waits for a newer configuration and is handled by it, while later requests
/// are still handled by the older one.
#[test]
fn a_request_that_waits_for_a_configuration_does_not_pass_later_ones() {
    let broken: Vec<_> = (0..1_000)
        .step_by(50)
        .map(|later_ms| (later_ms, breaches_of_waiting_request(later_ms, None)))
        .filter(|(_, breaches)| !breaches.is_empty())
        .collect();
    assert!(broken.is_empty(), "{} distances: {broken:#?}", broken.len());
}

#[test]
fn a_request_that_passes_later_ones_would_be_noticed() {
    let broken = Some(SiteGuard::ChangeInTime);
    assert_ne!(breaches_of_waiting_request(500, broken), []);
}

/// The leader accepts a job of a weak instance by a newer configuration than that instance has, and is lost.
/// The next leader learns of that configuration only later; jobs are handed in at the weak instance meanwhile.
fn breaches_of_leader_change(behind_ms: u64, broken: Option<SiteGuard>) -> Vec<RuleBreach> {
    let mut world = world_without(92, broken);
    let leader = world.leader().expect("an instance leads");
    let until = world.now_ms + OPEN_WATCH_MS + behind_ms;
    for node in (0..ENTRIES).filter(|node| *node != leader) {
        world.nodes[node].watch_lost_until = until;
        world.nodes[node].config_lost_until = until;
    }
    run_for(&mut world, OPEN_WATCH_MS);
    world.add_queue(QUEUE, 7);
    world.configure(2);
    run_for(&mut world, 50);
    world.submit_at(WEAK, &Arc::new(job_of(1, QUEUE, &[1], false)));
    run_for(&mut world, 100);
    assert_eq!(world.terms_of(1).map(|terms| terms.priority), Some(7));
    world.darken(leader, None);
    for job in 2..80 {
        run_for(&mut world, 100);
        world.submit_at(WEAK, &Arc::new(job_of(job, QUEUE, &[1], false)));
    }
    run_for(&mut world, 8_000);
    assert!(world.rules.accepted().len() > 1, "no later job is accepted");
    world.rules.breaches
}

/// Guards against a leader that accepts jobs by an older configuration than the leader before it did.
#[test]
fn a_new_leader_does_not_accept_jobs_by_an_older_configuration_than_the_one_before() {
    let broken: Vec<_> = (500..6_000)
        .step_by(500)
        .map(|behind_ms| (behind_ms, breaches_of_leader_change(behind_ms, None)))
        .filter(|(_, breaches)| !breaches.is_empty())
        .collect();
    assert!(broken.is_empty(), "{} times: {broken:#?}", broken.len());
}

#[test]
fn a_leader_that_accepts_by_an_older_configuration_would_be_noticed() {
    let broken = Some(SiteGuard::FormerConfig);
    assert_ne!(breaches_of_leader_change(3_000, broken), []);
}

/// Guards against a refusal of callers that ask for a queue shortly before it is added.
#[test]
fn a_queue_that_is_added_while_its_caller_waits_is_found_at_once() {
    let mut world = world_without(93, None);
    world.nodes[WEAK].watch_lost_until = u64::MAX;
    run_for(&mut world, 1_500);
    world.add_queue("added", 1);
    world.configure(2);
    world.ask_queue(WEAK, "added");
    run_for(&mut world, 1_000);
    let told: Vec<QueueTold> = world.told.iter().map(|answer| answer.told).collect();
    assert_eq!(told, [QueueTold::Found]);
}

/// Guards against a site that accepts nothing because its ledger names a version that the operator has not
/// written since it began again with lower ones.
#[test]
fn a_site_whose_operator_begins_again_with_lower_versions_accepts_jobs() {
    let mut world = world_without(94, None);
    world.configure(7);
    run_for(&mut world, 1_000);
    world.submit_at(WEAK, &Arc::new(job_of(1, QUEUE, &[1], false)));
    run_for(&mut world, 1_000);
    for node in 0..ENTRIES {
        world.kill(node, 500);
    }
    world.configure(1);
    run_for(&mut world, 12_000);
    world.submit_at(WEAK, &Arc::new(job_of(2, QUEUE, &[1], false)));
    run_for(&mut world, 3_000);
    assert_eq!(world.table_version(WEAK), 1);
    let accepted: Vec<_> = world.rules.accepted().iter().copied().collect();
    assert_eq!(accepted, [1, 2]);
}
