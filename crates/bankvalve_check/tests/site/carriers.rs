//! Carriers, which hold the workers' connections for a leader that has many, and hubs.

use bankvalve_check::site::{
    job_of, run_short_episode, SiteBurden, SiteFault, SiteWorld, WorkerRestart, QUEUE, URGENT_QUEUE,
};

use crate::{assert_kept, plan_of_strengths};

/// A site whose instances have little processor for their workers.
fn carried_world(seed: u64, entries: usize, strong: usize) -> SiteWorld {
    let strength = |node| if node < strong { 14 } else { 10 };
    let strengths = (0..entries).map(strength).collect();
    let mut world = SiteWorld::new(plan_of_strengths(seed, strengths, 12));
    world.looks_wait = true;
    world.run_until(1_500);
    world
}

fn submit_some(world: &mut SiteWorld, jobs: std::ops::Range<u64>) {
    for job in jobs {
        let queue = if job % 2 == 0 { QUEUE } else { URGENT_QUEUE };
        world.submit(job_of(job, queue, &[3], job % 5 == 0));
        let until = world.now_ms + 60;
        world.run_until(until);
    }
}

#[test]
fn standbys_carry_the_calls_of_a_leader_with_many_workers() {
    let mut world = carried_world(3, 5, 5);
    submit_some(&mut world, 1..60);
    world.run_until(20_000);
    assert_kept(&world);
    assert_eq!(world.shown.len(), 59);
    let leader = world.leader().expect("an instance leads");
    let carried: Vec<u64> = (0..5)
        .filter(|node| *node != leader)
        .map(|node| world.counter_of(node, "calls", "carried"))
        .collect();
    assert!(carried.iter().all(|count| *count > 20), "{carried:?}");
    let wait = world.rules.end_waits_ms().iter().max().copied();
    assert!(wait < Some(200), "an end was kept after {wait:?} ms");
}

#[test]
fn the_loss_of_a_carrier_loses_nothing() {
    for seed in 1..7 {
        let mut world = carried_world(seed, 5, 5);
        submit_some(&mut world, 1..15);
        let leader = world.leader().expect("an instance leads");
        let carrier = (0..5).find(|node| *node != leader).expect("another");
        match seed % 3 {
            0 => world.kill(carrier, 4_000),
            1 => world.nodes[carrier].frozen_until = world.now_ms + 3_000,
            _ => world.nodes[carrier].cut_from_peers_until = world.now_ms + 3_000,
        }
        submit_some(&mut world, 15..60);
        world.run_until(40_000);
        assert_kept(&world);
        assert_eq!(world.shown.len(), 59, "seed {seed}");
    }
}

/// Guards against acknowledgements that a carrier sends to the next process of a worker.
#[test]
fn ends_are_acknowledged_to_their_process_alone_while_calls_are_carried() {
    for restart_ms in (0..300).step_by(10) {
        let mut world = carried_world(3, 5, 5);
        world.store_delay_ms = 100;
        let restart = WorkerRestart {
            silent: restart_ms % 20 == 0,
            ..WorkerRestart::default()
        };
        for (index, address) in world.workers.clone().keys().enumerate() {
            let at_ms = 2_000 + restart_ms + 100 * index as u64;
            world.restart_worker_at(at_ms, address, restart);
        }
        for job in 1..60 {
            world.work_ms.insert(job, 5);
        }
        submit_some(&mut world, 1..60);
        world.store_delay_ms = 0;
        world.run_until(12_000);
        assert_kept(&world);
        assert_eq!(world.shown.len(), 59, "restarts from {restart_ms} ms on");
    }
}

#[test]
fn troubles_break_no_rule_while_calls_are_carried() {
    for seed in 1..9 {
        let report = run_short_episode(seed, &SiteFault::ALL, SiteBurden::Carried);
        assert_eq!(report.breaches, [], "seed {seed}");
        assert!(report.starts > 400, "seed {seed}: {} starts", report.starts);
    }
}

#[test]
fn messages_of_many_members_go_through_hubs() {
    // Which instances callers reach is drawn, so relayed messages are counted over several worlds.
    let relayed: u64 = (4..8).map(messages_through_hubs).sum();
    assert!(
        relayed > 400,
        "{relayed} messages through hubs in four worlds"
    );
}

/// Plays a site of many members and returns how many messages went through hubs.
fn messages_through_hubs(seed: u64) -> u64 {
    let mut world = carried_world(seed, 66, 6);
    // By then all have heard each other.
    world.run_until(4_500);
    let leader = world.leader().expect("an instance leads");
    let before = world.peer_messages.get(&leader).copied().unwrap_or(0);
    let began = world.now_ms;
    world.run_until(began + 4_000);
    let idle = world.peer_messages.get(&leader).copied().unwrap_or(0) - before;
    // Each near one every 160 ms, the others every two seconds, and looks; 662 without hubs.
    assert!(idle < 450, "{idle} messages in 4 s without work");
    submit_some(&mut world, 1..60);
    world.run_until(20_000);
    assert_kept(&world);
    assert_eq!(world.shown.len(), 59);
    (0..6)
        .map(|node| world.counter_of(node, "calls", "relayed"))
        .sum()
}

#[test]
fn far_members_serve_on_when_the_near_ones_are_lost() {
    for seed in 1..4 {
        let mut world = carried_world(seed, 66, 6);
        submit_some(&mut world, 1..10);
        for node in 0..6 {
            world.kill(node, 10_000);
        }
        submit_some(&mut world, 10..60);
        world.run_until(50_000);
        assert_kept(&world);
        assert_eq!(world.shown.len(), 59, "seed {seed}");
    }
}

#[test]
fn troubles_break_no_rule_among_many_members() {
    for seed in 1..3 {
        let report = run_short_episode(seed, &SiteFault::ALL, SiteBurden::Hubs);
        assert_eq!(report.breaches, [], "seed {seed}");
        assert!(report.starts > 300, "seed {seed}: {} starts", report.starts);
    }
}
