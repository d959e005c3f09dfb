//! Entry instances on the users' platform, under virtual time: each fault found once stays found.

use std::sync::Arc;

use bankvalve_check::site::{
    job_of, run_broken_episode, run_site_episode, SiteFault, SitePlan, SiteWorld, QUEUE,
    URGENT_QUEUE,
};
use bankvalve_queue::{JobState, SiteGuard, StepSpec};

fn world(seed: u64) -> SiteWorld {
    let mut world = SiteWorld::new(SitePlan {
        seed,
        entries: 3,
        strengths: Vec::new(),
        broken: None,
        workers: 4,
        good_percent: None,
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

#[test]
fn a_calm_site_ends_all_jobs() {
    let mut world = world(1);
    for job in 1..40 {
        world.submit(job_of(job, QUEUE, &[3, 2], job % 3 == 0));
        let until = world.now_ms + 150;
        world.run_until(until);
    }
    world.run_until(60_000);
    assert_kept(&world);
    assert_eq!(world.shown.len(), 39);
    assert!(world
        .shown
        .values()
        .all(|state| *state == JobState::Succeeded));
}

#[test]
fn troubles_of_all_kinds_break_no_rule() {
    for seed in 1..9 {
        let report = run_site_episode(seed, &SiteFault::ALL);
        assert_eq!(report.breaches, [], "seed {seed}");
        assert!(report.starts > 500, "seed {seed}: {} starts", report.starts);
    }
}

#[test]
fn the_same_id_at_two_instances_at_once_runs_once() {
    let mut world = world(2);
    let spec = Arc::new(job_of(7, QUEUE, &[2], false));
    for node in 0..3 {
        world.submit_at(node, &spec);
    }
    world.run_until(20_000);
    assert_kept(&world);
    assert_eq!(world.rules.starts, 2);
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
fn an_order_carried_out_late_starts_nothing_twice() {
    let mut world = world(5);
    world.late_orders_percent = 60;
    for job in 1..30 {
        world.submit(job_of(job, URGENT_QUEUE, &[2], false));
        let until = world.now_ms + 100;
        world.run_until(until);
    }
    let leader = world.leader().expect("an instance leads");
    world.kill(leader, 500);
    world.run_until(60_000);
    assert_kept(&world);
    assert_eq!(world.shown.len(), 29);
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
fn a_takeover_after_a_kill_takes_under_half_a_second() {
    let mut world = world(7);
    let leader = world.leader().expect("an instance leads");
    world.kill(leader, 10_000);
    world.run_until(1_500);
    let next = world.leader().expect("another instance leads");
    assert_ne!(next, leader);
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
fn looks_go_on_as_soon_as_ends_are_kept() {
    let mut world = world(12);
    for job in 1..4 {
        world.submit(job_of(job, URGENT_QUEUE, &[4], false));
    }
    world.run_until(20_000);
    assert_kept(&world);
    let waits = world.rules.end_waits_ms();
    assert_eq!(waits.len(), 12);
    let longest = waits.iter().max().copied().unwrap_or(0);
    assert!(longest < 120, "an end was kept only after {longest} ms");
}

#[test]
fn a_cancelled_job_starts_nothing_more() {
    let mut world = world(13);
    // More than fits, so that some tasks wait.
    world.submit(job_of(1, QUEUE, &[60], false));
    world.run_until(1_400);
    world.cancel(1);
    world.run_until(2_000);
    let starts = world.rules.starts;
    assert!(starts >= 16);
    world.run_until(20_000);
    assert_eq!(world.rules.starts, starts);
    assert_eq!(world.shown.get(&1), Some(&JobState::Cancelled));
}

#[test]
fn steps_wait_for_earlier_ones_and_limits_of_a_worker_hold() {
    let mut world = world(14);
    for job in 1..10 {
        let mut spec = job_of(job, QUEUE, &[4, 4, 2], false);
        for step in &mut spec.steps {
            step.per_worker_limit = 1;
        }
        world.submit(spec);
    }
    world.run_until(60_000);
    assert_kept(&world);
    assert_eq!(world.shown.len(), 9);
}

#[test]
fn a_required_label_decides_the_worker() {
    let mut world = world(15);
    let mut spec = job_of(1, QUEUE, &[1], false);
    spec.steps[0] = StepSpec {
        required_label: Some("missing".into()),
        ..spec.steps[0].clone()
    };
    world.submit(spec);
    world.run_until(5_000);
    assert_eq!(world.rules.starts, 0);
}

#[test]
fn a_task_that_always_fails_fails_its_job_within_its_attempts() {
    let mut world = world(16);
    world.fail_percent = 100;
    world.submit(job_of(1, QUEUE, &[1], false));
    world.run_until(20_000);
    assert_kept(&world);
    assert_eq!(world.rules.starts, 3);
    assert_eq!(world.shown.get(&1), Some(&JobState::Failed));
}

#[test]
fn a_repeated_job_starts_each_time_when_it_is_due() {
    let mut world = world(17);
    let mut spec = job_of(1, QUEUE, &[1], false);
    spec.repeats = 3;
    spec.first_due_ms = world.wall_ms() + 1_000;
    spec.period_ms = 2_000;
    world.submit(spec);
    world.run_until(1_700);
    assert_eq!(world.rules.starts, 0);
    world.run_until(2_100);
    assert_eq!(world.rules.starts, 1);
    world.run_until(20_000);
    assert_eq!(world.rules.starts, 3);
    assert_eq!(world.shown.get(&1), Some(&JobState::Succeeded));
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
fn orders_without_an_answer_do_not_keep_a_silent_worker_alive() {
    let mut world = world(21);
    for job in 1..60 {
        world.submit(job_of(job, QUEUE, &[1], false));
        let until = world.now_ms + 120;
        world.run_until(until);
        if job == 20 {
            let address = "10.9.0.1:80".to_owned();
            world.worker_cut_until.insert(address, 200_000);
        }
    }
    world.run_until(30_000);
    assert_kept(&world);
    assert_eq!(world.shown.len(), 59);
}

#[test]
fn tasks_that_fill_and_tasks_that_serve_never_share_a_worker() {
    let mut world = world(22);
    for job in 1..40 {
        let mut spec = job_of(job, QUEUE, &[2], false);
        spec.steps[0].fills = job % 2 == 0;
        spec.steps[0].latency_target_ms = 40 * (job % 2);
        world.submit(spec);
    }
    let mut shared = 0;
    for _ in 0..200 {
        let until = world.now_ms + 50;
        world.run_until(until);
        shared += world.workers_shared_by(|job| job % 2 == 0);
    }
    assert_eq!(shared, 0);
    world.run_until(60_000);
    assert_eq!(world.shown.len(), 39);
}

/// A site of many weak instances and three strong ones, the last ones.
fn unlike_world(seed: u64, entries: usize) -> SiteWorld {
    let strength = |node| if node + 3 < entries { 120 } else { 500 };
    let mut world = SiteWorld::new(SitePlan {
        seed,
        entries,
        strengths: (0..entries).map(strength).collect(),
        broken: None,
        workers: 4,
        good_percent: None,
    });
    world.run_until(1_000);
    world
}

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
fn a_guard_that_is_taken_away_is_noticed() {
    // With the first seed that notices it; some of the next ones do if the drawn world changes.
    let guards = [
        (SiteGuard::LedgerFirst, 5),
        (SiteGuard::OwnRow, 17),
        (SiteGuard::KeptEnds, 1),
        (SiteGuard::HoldOver, 1),
        (SiteGuard::StopsCount, 1),
        (SiteGuard::SureRefusal, 18),
        (SiteGuard::NewerList, 1),
    ];
    assert_eq!(guards.map(|(guard, _)| guard), SiteGuard::ALL);
    for (guard, first) in guards {
        let noticed = (first..first + 40).any(|seed| {
            let report = run_broken_episode(seed, &SiteFault::ALL, Some(guard));
            !report.breaches.is_empty()
        });
        assert!(noticed, "nothing notices that {} is gone", guard.as_str());
    }
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
fn permits_outlast_a_slow_write() {
    let mut world = SiteWorld::new(SitePlan {
        seed: 47,
        entries: 3,
        strengths: Vec::new(),
        broken: None,
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
fn a_long_queue_is_looked_at_no_more_often_than_the_processor_bears() {
    let mut world = SiteWorld::new(SitePlan {
        seed: 48,
        entries: 3,
        strengths: Vec::new(),
        broken: None,
        workers: 100,
        good_percent: None,
    });
    world.run_until(1_000);
    // Some ten times what the workers hold; a task ends each two milliseconds.
    for job in 1..=4_000 {
        world.submit(job_of(job, QUEUE, &[1], false));
    }
    world.run_until(2_500);
    let before = world.counter("placements", "steps_looked_at");
    world.run_until(4_500);
    let looked = world.counter("placements", "steps_looked_at") - before;
    // Three looks a millisecond are a tenth of a core, as measured on the bench.
    assert!(looked < 2 * 3_300, "{looked} steps in 2 s");
}

#[test]
fn a_new_leader_does_not_connect_to_all_workers_of_a_large_site_at_once() {
    let mut world = SiteWorld::new(SitePlan {
        seed: 49,
        entries: 3,
        strengths: Vec::new(),
        broken: None,
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
