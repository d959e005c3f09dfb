//! The table in trouble: slow, away, answers lost, history forgotten.

use std::sync::Arc;

use bankvalve_check::site::{job_of, SitePlan, SiteWorld, QUEUE};

use crate::{assert_kept, follower, unlike_world, world};

#[test]
fn an_end_whose_write_has_no_answer_is_kept_once() {
    let mut world = world(4);
    world.lost_percent = 40;
    for job in 1..20 {
        world.submit(job_of(job, QUEUE, &[2, 1], false));
    }
    world.run_until(40_000);
    world.lost_percent = 0;
    world.run_until(90_000);
    assert_kept(&world);
    assert_eq!(world.shown.len(), 19);
}

#[test]
fn a_forgotten_history_is_read_anew() {
    let mut world = world(8);
    for round in 0..10 {
        world.store.forget_history();
        world.submit(job_of(round + 1, QUEUE, &[2], false));
        world.crash_worker("10.9.0.0:80", 400);
        let until = world.now_ms + 1_500;
        world.run_until(until);
    }
    world.run_until(60_000);
    assert_kept(&world);
    assert_eq!(world.shown.len(), 10);
}

#[test]
fn jobs_are_refused_at_once_while_the_table_is_away() {
    let mut world = world(9);
    world.store_away_until = 7_000;
    world.run_until(1_200);
    let spec = Arc::new(job_of(9, QUEUE, &[1], false));
    let node = follower(&world);
    world.submit_at(node, &spec);
    // The first copies show that the table is away; then the answer is final.
    world.run_until(1_800);
    assert_eq!(world.open_calls(), 0);
    world.run_until(30_000);
    assert_kept(&world);
    assert_eq!(world.rules.starts, 0);
}

#[test]
fn an_older_configuration_is_not_taken_after_a_newer_one() {
    let mut world = world(18);
    world.configure(5);
    world.run_until(1_500);
    let node = follower(&world);
    world.kill(node, 100);
    world.run_until(2_500);
    assert_eq!(world.table_version(node), 5);
    world.give_table(node, 3);
    world.run_until(3_000);
    assert_eq!(world.table_version(node), 5);
}

#[test]
fn a_slow_table_keeps_all_that_waits_in_one_write() {
    let mut world = world(35);
    world.store_delay_ms = 480;
    // Some 2,600 events: more than one row holds, and more than a few slow writes of one row.
    for job in 1..=1_300 {
        world.submit(job_of(job, QUEUE, &[1], false));
    }
    world.run_until(3_000);
    assert_eq!(world.rules.accepted().len(), 1_300);
    world.store_delay_ms = 0;
    world.run_until(4_000);
    assert_kept(&world);
}

#[test]
fn permits_outlast_a_slow_write() {
    let mut world = SiteWorld::new(SitePlan {
        seed: 47,
        entries: 3,
        strengths: Vec::new(),
        broken: None,
        without: None,
        workers: 6,
        good_percent: Some(70),
    });
    world.run_until(1_000);
    // Full workers: tasks wait for room while their permits, which last 1.5 s, grow old.
    world.store_delay_ms = 300;
    for job in 1..=120 {
        world.submit(job_of(job, QUEUE, &[2], false));
        let until = world.now_ms + 40;
        world.run_until(until);
    }
    world.run_until(60_000);
    assert_kept(&world);
    assert_eq!(world.shown.len(), 120);
    let share = world.permit_refusals * 100 / world.rules.starts;
    assert!(
        share < 5,
        "{} of {} starts",
        world.permit_refusals,
        world.rules.starts
    );
}

#[test]
fn a_slow_write_is_not_sent_again() {
    let mut world = world(51);
    // Each write takes its turn of half a second, and 0.4 s on its way.
    world.store_delay_ms = 400;
    world.store_turn_ms = 495;
    let leader = world.leader();
    for job in 1..=100 {
        world.submit(job_of(job, QUEUE, &[1], false));
        let until = world.now_ms + 50;
        world.run_until(until);
    }
    assert_eq!(world.leader(), leader);
    let sent = world.counter("commits", "sent");
    let kept = world.counter("commits", "kept");
    assert!(kept >= 4 && sent <= kept + 1, "{sent} sent, {kept} kept");
    world.store_delay_ms = 0;
    world.store_turn_ms = 0;
    world.run_until(60_000);
    assert_kept(&world);
    assert_eq!(world.shown.len(), 100);
}

#[test]
fn a_write_whose_answer_is_lost_is_read_back_at_once() {
    let mut world = world(52);
    world.lost_percent = 100;
    let accepted_by = world.now_ms + 400;
    world.submit(job_of(1, QUEUE, &[1], false));
    world.run_until(accepted_by);
    assert_eq!(world.rules.accepted().len(), 1);
    world.lost_percent = 0;
    world.run_until(20_000);
    assert_kept(&world);
    assert_eq!(world.shown.len(), 1);
}

#[test]
fn a_series_of_configurations_is_passed_on_seldom() {
    let mut world = unlike_world(53, 12);
    let cut = (0..12).find(|node| !world.nodes[*node].leads());
    let cut = cut.expect("an instance follows");
    world.nodes[cut].cut_from_store_until = 60_000;
    for version in 2..=30 {
        world.configure(version);
        let until = world.now_ms + 200;
        world.run_until(until);
    }
    // From each peer at each heartbeat it would be some 30 a second.
    assert!(world.tables_passed <= 7, "{}", world.tables_passed);
    let until = world.now_ms + 3_000;
    world.run_until(until);
    assert!(world.tables_passed >= 1);
    assert_kept(&world);
}
