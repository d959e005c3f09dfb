//! Who leads, and what a successor finds.

use bankvalve_check::site::{job_of, SitePlan, SiteWorld, QUEUE};
use bankvalve_queue::SiteGuard;

use crate::{assert_kept, unlike_world, world, world_without};

#[test]
fn the_strongest_instances_lead() {
    let mut world = unlike_world(31, 12);
    for downs in 0..3 {
        let leader = world.leader().expect("an instance leads");
        assert!(leader >= 9, "instance {leader} leads after {downs} deaths");
        world.kill(leader, 60_000);
        let until = world.now_ms + 1_500;
        world.run_until(until);
    }
    assert!(world.leader().is_some_and(|leader| leader < 9));
    // Once a strong one is back, it is let lead.
    world.run_until(70_000);
    assert!(world.leader().is_some_and(|leader| leader >= 9));
    assert_kept(&world);
}

#[test]
fn on_a_large_site_a_weak_instance_hears_the_leader_and_few_others() {
    let mut world = unlike_world(32, 40);
    world.run_until(2_000);
    let before = world.peer_messages.clone();
    world.run_until(12_000);
    let sent = |node: usize| world.peer_messages[&node] - before[&node];
    // A heartbeat from each to each would be some 244 messages a second.
    assert!(sent(3) < 10 * 30, "{} messages in 10 s", sent(3));
    for job in 1..20 {
        world.submit(job_of(job, QUEUE, &[2], false));
    }
    let leader = world.leader().expect("an instance leads");
    world.kill(leader, 5_000);
    world.run_until(60_000);
    assert_kept(&world);
    assert_eq!(world.shown.len(), 19);
}

#[test]
fn a_large_site_whose_near_members_all_die_goes_on() {
    let mut world = unlike_world(33, 20);
    world.run_until(3_000);
    for job in 1..20 {
        world.submit(job_of(job, QUEUE, &[2], false));
    }
    world.run_until(3_500);
    for node in (0..3).chain(17..20) {
        world.kill(node, 90_000);
    }
    world.run_until(60_000);
    assert_kept(&world);
    assert!(world.leader().is_some());
    assert_eq!(world.shown.len(), 19);
}

#[test]
fn a_takeover_after_a_kill_takes_under_half_a_second() {
    let mut world = world(7);
    let leader = world.leader().expect("an instance leads");
    world.kill(leader, 10_000);
    world.run_until(1_500);
    let next = world.leader().expect("another instance leads");
    assert_ne!(next, leader);
}

#[test]
fn a_leader_is_found_within_half_a_second_of_a_start_of_all() {
    let mut world = world(20);
    world.submit(job_of(1, QUEUE, &[2], false));
    world.run_until(1_500);
    for node in 0..3 {
        world.kill(node, 1_000);
    }
    world.run_until(2_500);
    assert_eq!(world.leader(), None);
    world.run_until(3_000);
    assert!(world.leader().is_some());
}

#[test]
fn after_the_loss_of_all_the_first_in_rank_leads_at_once_and_has_its_book() {
    for seed in 36..46 {
        let mut world = world(seed);
        for job in 1..=200 {
            world.submit(job_of(job, QUEUE, &[2], false));
            let until = world.now_ms + 13;
            world.run_until(until);
        }
        let lost_at = world.now_ms;
        let leader = world.leader().expect("an instance leads");
        for node in 0..3 {
            // The others start a little later, when its first heartbeat has found nobody.
            world.kill(node, if node == leader { 1_000 } else { 1_040 });
        }
        world.run_until(lost_at + 1_130);
        assert!(world.leader().is_some(), "seed {seed}: nobody leads");
        world.run_until(lost_at + 60_000);
        assert_kept(&world);
        assert_eq!(world.shown.len(), 200);
    }
}

#[test]
fn a_leader_that_alone_misses_the_table_lets_a_peer_lead() {
    let mut world = world(11);
    let leader = world.leader().expect("an instance leads");
    world.nodes[leader].cut_from_store_until = 60_000;
    world.run_until(4_500);
    assert_ne!(world.leader(), Some(leader));
    world.submit(job_of(1, QUEUE, &[2], false));
    world.run_until(20_000);
    assert_kept(&world);
    assert_eq!(world.shown.len(), 1);
}

#[test]
fn a_leader_that_the_table_alone_turns_away_lets_a_peer_lead_under_load() {
    let mut world = world(19);
    let leader = world.leader().expect("an instance leads");
    for job in 1..100 {
        world.submit(job_of(job, QUEUE, &[2], false));
        let until = world.now_ms + 40;
        world.run_until(until);
        if job == 10 {
            world.nodes[leader].turned_away_until = 60_000;
        }
    }
    assert_ne!(world.leader(), Some(leader));
    world.run_until(90_000);
    assert_kept(&world);
    assert_eq!(world.shown.len(), 99);
}

#[test]
fn a_table_away_for_all_changes_no_leader() {
    let mut world = world(10);
    let leader = world.leader().expect("an instance leads");
    world.store_away_until = 7_000;
    world.store_silent = true;
    for step in 1..12 {
        world.run_until(1_000 + step * 500);
        assert_eq!(world.leader(), Some(leader));
    }
    world.submit(job_of(1, QUEUE, &[1], false));
    world.run_until(30_000);
    assert_kept(&world);
    assert_eq!(world.shown.len(), 1);
}

#[test]
fn a_successor_counts_what_its_predecessor_started() {
    let mut world = world(6);
    // Four workers of four cores: sixteen tasks fill them.
    for job in 1..30 {
        world.submit(job_of(job, QUEUE, &[4], false));
    }
    world.run_until(1_600);
    let leader = world.leader().expect("an instance leads");
    world.kill(leader, 5_000);
    world.run_until(90_000);
    assert_kept(&world);
    assert_eq!(world.shown.len(), 29);
}

#[test]
fn ends_are_not_forgotten_before_the_ledger_is_read() {
    let mut world = world(3);
    for job in 1..60 {
        world.submit(job_of(job, QUEUE, &[2], false));
    }
    world.run_until(2_500);
    for node in 0..3 {
        world.kill(node, 900);
    }
    world.run_until(60_000);
    assert_kept(&world);
    assert_eq!(world.shown.len(), 59);
}

#[test]
fn a_new_leader_does_not_connect_to_all_workers_of_a_large_site_at_once() {
    let mut world = SiteWorld::new(SitePlan {
        seed: 49,
        entries: 3,
        strengths: Vec::new(),
        broken: None,
        without: None,
        workers: 700,
        good_percent: None,
    });
    let mut looks = world.counter("calls", "look");
    while looks == 0 {
        let until = world.now_ms + 1;
        world.run_until(until);
        looks = world.counter("calls", "look");
    }
    assert!(looks <= 150, "{looks} looks in a millisecond");
    let until = world.now_ms + 500;
    world.run_until(until);
    assert!(world.counter("calls", "look") >= 700);
}

/// A site of six strong instances and six weak ones on thin links, with a ledger of some 1.5 MB.
fn world_of_thin_links() -> SiteWorld {
    let mut world = SiteWorld::new(SitePlan {
        seed: 57,
        entries: 12,
        strengths: (0..12)
            .map(|node| if node < 6 { 500 } else { 120 })
            .collect(),
        broken: None,
        without: None,
        workers: 4,
        good_percent: None,
    });
    world.run_until(1_000);
    for node in 6..12 {
        // 2 Mbit/s.
        world.nodes[node].link_bytes_per_ms = Some(250);
    }
    for job in 1..=400 {
        let mut spec = job_of(job, QUEUE, &[1], false);
        spec.payload = "x".repeat(3_900);
        world.submit(spec);
        let until = world.now_ms + 10;
        world.run_until(until);
    }
    world
}

#[test]
fn a_weak_instance_on_a_thin_link_reads_the_ledger_when_it_must_lead() {
    let mut world = world_of_thin_links();
    for node in 0..6 {
        world.kill(node, 120_000);
    }
    let starts = world.rules.starts;
    let until = world.now_ms + 14_000;
    world.run_until(until);
    assert!(world.rules.starts > starts, "nothing is started");
    world.run_until(110_000);
    assert_kept(&world);
    assert_eq!(world.shown.len(), 400);
}

#[test]
fn a_leader_without_the_table_waits_for_one_that_has_the_book() {
    let mut world = world_of_thin_links();
    let leader = world.leader().expect("an instance leads");
    let cut_at = world.now_ms;
    world.nodes[leader].cut_from_store_until = cut_at + 9_000;
    // Of the others that have the book, one is told late that the table is in trouble.
    for node in (0..6).filter(|node| *node != leader) {
        world.nodes[node].cut_from_peers_until = cut_at + 1_000;
    }
    let starts = world.rules.starts;
    world.run_until(cut_at + 1_900);
    let next = world.leader().expect("an instance leads");
    assert!(next < 6, "instance {next} leads");
    assert!(world.rules.starts > starts, "nothing is started for 1.9 s");
    world.run_until(60_000);
    assert_kept(&world);
}

/// Looks that a leader sends right after it wakes up from 20 s, before it can have asked anybody
/// whether it still leads. Answers that came before are read first.
fn looks_on_waking_up(seed: u64, broken: Option<SiteGuard>) -> u64 {
    let mut world = world_without(seed, 4, broken);
    for job in 1..=40 {
        world.submit(job_of(job, QUEUE, &[2], false));
        let until = world.now_ms + 20;
        world.run_until(until);
    }
    let leader = world.leader().expect("an instance leads");
    let before = world.counter_of(leader, "calls", "look");
    world.suspend(leader, 20_000);
    let until = world.now_ms + 20_000;
    world.run_until(until);
    let looks = world.counter_of(leader, "calls", "look") - before;
    world.run_until(90_000);
    assert_eq!(world.shown.len(), 40);
    looks
}

#[test]
fn a_leader_that_wakes_up_commands_nobody_until_it_knows_that_it_leads() {
    for seed in 31..41 {
        assert_eq!(looks_on_waking_up(seed, None), 0, "seed {seed}");
    }
    let noticed = (31..41).any(|seed| looks_on_waking_up(seed, Some(SiteGuard::BootTime)) > 0);
    assert!(noticed, "nothing notices a clock that stands still");
}

/// Guards against worlds in which a planned stop ends before the leadership is handed over, or never.
#[test]
fn a_rolled_instance_ends_once_it_has_handed_over_and_is_back_in_time() {
    let mut world = world(5);
    let leader = world.leader().expect("an instance leads");
    let stopped_at = world.now_ms;
    world.roll(leader, 3_000);
    world.run_until(stopped_at + 2_200);
    assert!(world.nodes[leader].is_up());
    assert_ne!(world.leader(), Some(leader));
    world.run_until(stopped_at + 2_400);
    assert!(!world.nodes[leader].is_up());
    world.run_until(stopped_at + 3_100);
    assert!(world.nodes[leader].is_up());
    // Nobody takes over from the only instance that is left, so that it is killed in the end.
    for node in 0..3 {
        if node != leader {
            world.kill(node, 60_000);
        }
    }
    world.run_until(stopped_at + 10_000);
    assert_eq!(world.leader(), Some(leader));
    world.roll(leader, 8_000);
    world.run_until(stopped_at + 15_900);
    assert!(world.nodes[leader].is_up());
    world.run_until(stopped_at + 16_100);
    assert!(!world.nodes[leader].is_up());
    world.run_until(stopped_at + 18_100);
    assert!(world.nodes[leader].is_up());
    assert_kept(&world);
}
