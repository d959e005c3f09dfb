//! Customers of a site: what their keys open, and what they may have running.

use std::sync::Arc;

use bankvalve_check::site::{
    job_of, run_customer_episode, run_short_episode, RuleBreach, SiteBurden, SiteFault, SitePlan,
    SiteWorld, QUEUE, URGENT_QUEUE,
};
use bankvalve_queue::{CallerAnswer, JobId, JobSpec, PolicySwitch, RunLimit, SiteGuard};

use crate::{assert_kept, follower, plan_of};

const NORTH: &str = "north";
const SOUTH: &str = "south";

fn cores(count: u64) -> RunLimit {
    RunLimit {
        millicores: Some(count * 1_000),
        ..RunLimit::default()
    }
}

fn job(id: JobId, customer: &str, counts: &[u32], gang: bool) -> JobSpec {
    JobSpec {
        customer: Some(customer.into()),
        ..job_of(id, QUEUE, counts, gang)
    }
}

/// A site of so many workers of four cores each with two customers, after its first second.
fn world_of(seed: u64, workers: usize, limit: RunLimit, broken: Option<SiteGuard>) -> SiteWorld {
    let mut world = SiteWorld::new(SitePlan {
        broken,
        ..plan_of(seed, workers)
    });
    world.set_customer(NORTH, 10.0, limit);
    world.set_customer(SOUTH, 10.0, RunLimit::default());
    world.configure(2);
    world.run_until(1_000);
    world
}

fn submit_at(world: &mut SiteWorld, node: usize, spec: JobSpec) {
    world.submit_at(node, &Arc::new(spec));
}

fn run_for(world: &mut SiteWorld, ms: u64) {
    let until = world.now_ms + ms;
    world.run_until(until);
}

fn most_cores(world: &SiteWorld, customer: &str) -> u64 {
    world.peak_of(customer).millicores / 1_000
}

#[test]
fn drawn_customers_keys_and_limits_break_no_rule() {
    for seed in 1..13 {
        let report = run_customer_episode(seed, None);
        assert_eq!(report.breaches, [], "seed {seed}");
        assert!(report.starts > 300, "seed {seed}: {} starts", report.starts);
    }
}

/// What a drawn world breaks in which the table leaves some requests without an answer.
fn unanswered_breaches(seed: u64) -> Vec<RuleBreach> {
    run_short_episode(seed, &SiteFault::UNANSWERED, SiteBurden::Customers).breaches
}

/// Guards against a customer's sum that lacks a run which the book has placed.
#[test]
fn the_sums_of_customers_agree_with_the_book_after_each_event_of_drawn_worlds() {
    let reports = [64_089, 74_023].map(|seed| (seed, unanswered_breaches(seed)));
    let wrong: Vec<_> = reports
        .iter()
        .filter(|(_, found)| !found.is_empty())
        .collect();
    assert!(wrong.is_empty(), "{wrong:?}");
}

/// Guards against a leader that does not tell what customers have running until it has a configuration, and
/// against starts by such a leader, which knows no limits.
#[test]
fn a_leader_without_a_configuration_tells_what_runs_and_starts_nothing() {
    for down_ms in (100..1_600).step_by(50) {
        let mut world = world_of(1, 4, cores(4), None);
        world.work_ms.insert(1, 30_000);
        submit_at(&mut world, 0, job(1, NORTH, &[4], false));
        run_for(&mut world, 1_000);
        submit_at(&mut world, 0, job(2, NORTH, &[4], false));
        let lost_until = world.now_ms + down_ms + 2_000;
        for node in 0..world.nodes.len() {
            world.nodes[node].config_lost_until = lost_until;
            world.kill(node, down_ms);
        }
        let starts = world.rules.starts;
        for _ in 0..100 {
            run_for(&mut world, 50);
            world.check_usage();
        }
        assert_kept(&world);
        assert_eq!(world.rules.starts, starts, "down for {down_ms} ms");
    }
}

/// Guards against a site that leads again after the loss of all instances and accepts no jobs.
#[test]
fn jobs_are_accepted_again_after_the_loss_of_all_in_a_drawn_world() {
    assert_eq!(unanswered_breaches(64_009), []);
}

/// Guards against a site that refuses all jobs of a customer after the loss of all instances, with free workers.
#[test]
fn jobs_of_a_customer_are_accepted_again_after_the_loss_of_all_in_a_drawn_world() {
    assert_eq!(run_customer_episode(730_276, None).breaches, []);
}

/// Guards against a new leader that starts tasks beyond a customer's limit by an outdated configuration.
#[test]
fn a_new_leader_keeps_the_customers_limits_of_the_configuration_in_force_in_a_drawn_world() {
    assert_eq!(unanswered_breaches(730_057), []);
}

#[test]
fn a_limit_that_is_not_kept_is_noticed() {
    let report = run_customer_episode(1, Some(SiteGuard::CustomerLimit));
    assert!(report.breaches.iter().any(|breach| breach.rule == "QUOTA"));
}

// Guards against requests that run with keys nobody was ever given.
#[test]
fn a_key_that_never_was_runs_nothing() {
    let mut world = world_of(1, 4, RunLimit::default(), None);
    world.forge_key(7);
    submit_at(&mut world, 0, job(7, NORTH, &[2], false));
    run_for(&mut world, 2_000);
    assert!(!world.rules.accepted().contains(&7));
    assert_eq!((world.rules.starts, world.callers_denied()), (0, 1));
}

// Guards against "unknown key" from an instance that has not heard yet of a configuration with it.
#[test]
fn a_key_that_was_just_added_is_not_denied() {
    let mut world = world_of(2, 4, RunLimit::default(), None);
    world.set_customer("east", 1.0, RunLimit::default());
    world.configure(3);
    for node in 0..3 {
        submit_at(&mut world, node, job(node as u64 + 1, "east", &[1], false));
    }
    run_for(&mut world, 2_000);
    assert_eq!(world.rules.accepted().len(), 3);
    assert_eq!(world.callers_denied(), 0);
    assert_kept(&world);
}

/// A job is handed in with a key that was taken away, at an instance that the table turns away.
fn hand_in_behind(broken: Option<SiteGuard>) -> SiteWorld {
    let mut world = world_of(3, 4, RunLimit::default(), broken);
    let node = follower(&world);
    world.use_key_of(9, NORTH);
    world.nodes[node].turned_away_until = world.now_ms + 5_000;
    run_for(&mut world, 1_200);
    world.drop_key(NORTH);
    world.configure(3);
    run_for(&mut world, 40);
    assert_eq!(world.table_version(node), 2);
    submit_at(&mut world, node, job(9, NORTH, &[1], false));
    run_for(&mut world, 600);
    world
}

// Guards against work for a customer whose key is gone, taken up through an instance that is behind.
#[test]
fn a_leader_with_a_newer_configuration_has_the_last_word_on_a_key() {
    assert!(!hand_in_behind(None).rules.accepted().contains(&9));
    let broken = Some(SiteGuard::LeaderKeys);
    assert!(hand_in_behind(broken).rules.accepted().contains(&9));
}

// Guards against keys that live on where the table turns an instance away and serves the others.
#[test]
fn an_instance_that_the_table_turns_away_learns_from_peers_that_a_key_is_gone() {
    let mut world = world_of(4, 4, RunLimit::default(), None);
    let node = follower(&world);
    world.nodes[node].turned_away_until = world.now_ms + 9_000;
    world.use_key_of(9, NORTH);
    run_for(&mut world, 1_000);
    world.drop_key(NORTH);
    world.configure(3);
    run_for(&mut world, 2_500);
    assert_eq!(world.table_version(node), 3);
    submit_at(&mut world, node, job(9, NORTH, &[1], false));
    run_for(&mut world, 2_000);
    assert!(!world.rules.accepted().contains(&9));
}

// Guards against strangers who learn that a job is there, see how it stands, or cancel it.
#[test]
fn another_customers_job_is_neither_shown_nor_cancelled_nor_taken_for_ones_own() {
    let mut world = world_of(5, 4, RunLimit::default(), None);
    submit_at(&mut world, 0, job(9, NORTH, &[1], false));
    run_for(&mut world, 50);
    world.use_key_of(9, SOUTH);
    for node in 0..3 {
        world.ask_at(node, 9);
    }
    world.cancel(9);
    submit_at(&mut world, 1, job(9, SOUTH, &[2], false));
    run_for(&mut world, 3_000);
    let told: Vec<&CallerAnswer> = world.answers.iter().map(|told| &told.answer).collect();
    assert_eq!(told, [&CallerAnswer::NoSuchJob; 3]);
    assert!(!world.rules.is_cancelled(9));
    assert_eq!(world.rules.starts, 1);
}

// Guards against strangers who keep a job from starting by cancelling its id before it is submitted.
#[test]
fn a_cancel_by_another_customer_before_a_job_is_submitted_does_not_cancel_it() {
    let mut world = world_of(7, 4, RunLimit::default(), None);
    world.use_key_of(9, SOUTH);
    world.cancel_at(0, 9);
    run_for(&mut world, 500);
    world.use_key_of(9, NORTH);
    submit_at(&mut world, 1, job(9, NORTH, &[1], false));
    run_for(&mut world, 3_000);
    assert_eq!(world.counter("jobs", "cancelled_unknown"), 1);
    assert_eq!(world.counter("jobs", "accepted_cancelled"), 0);
    assert_eq!(world.rules.starts, 1);
}

// Guards against a customer that takes more than it may, by whichever way its starts come.
#[test]
fn a_customer_has_no_more_running_than_it_may() {
    let mut world = world_of(6, 8, cores(6), None);
    for id in 1..12 {
        world.submit(job(id, NORTH, &[3, 2], id % 3 == 0));
        world.submit(job(100 + id, SOUTH, &[2], false));
    }
    run_for(&mut world, 3_000);
    let leader = world.leader().expect("an instance leads");
    world.kill(leader, 500);
    run_for(&mut world, 30_000);
    assert_eq!(most_cores(&world, NORTH), 6);
    assert!(most_cores(&world, SOUTH) > 6);
    assert_eq!(world.shown.len(), 22);
    assert_kept(&world);
}

// Guards against a limit that a successor takes for unused while the lists of workers are still to come.
#[test]
fn a_new_leader_counts_what_runs_before_it_has_heard_of_it() {
    let mut world = world_of(7, 8, cores(4), None);
    world.submit(job(1, NORTH, &[4], false));
    world.work_ms.insert(1, 12_000);
    run_for(&mut world, 1_500);
    world.submit(job(2, NORTH, &[4], false));
    let leader = world.leader().expect("an instance leads");
    world.nodes[leader].cut_from_workers_until = world.now_ms + 60_000;
    world.kill(leader, 20_000);
    for node in 0..3 {
        world.nodes[node].cut_from_workers_until = world.now_ms + 3_000;
    }
    run_for(&mut world, 40_000);
    assert_eq!(most_cores(&world, NORTH), 4);
    assert_eq!(world.shown.len(), 2);
}

/// A limit is lowered while starts wait for a table that is away.
fn lower_while_kept(broken: Option<SiteGuard>) -> SiteWorld {
    let mut world = world_of(8, 8, cores(12), broken);
    world.store_delay_ms = 1_500;
    run_for(&mut world, 500);
    world.submit(job(1, NORTH, &[12], false));
    run_for(&mut world, 300);
    world.set_customer(NORTH, 10.0, cores(3));
    world.configure(3);
    run_for(&mut world, 6_000);
    world.store_delay_ms = 0;
    run_for(&mut world, 30_000);
    world
}

// Guards against starts that were decided on under a higher limit and are sent under a lower one.
#[test]
fn a_start_that_waited_is_weighed_against_the_limit_of_now() {
    let lowered = lower_while_kept(None);
    assert_eq!(most_cores(&lowered, NORTH), 3);
    assert_eq!(lowered.shown.len(), 1);
    let unguarded = lower_while_kept(Some(SiteGuard::LimitOfNow));
    assert!(most_cores(&unguarded, NORTH) > 3);
}

// Guards against jobs that are accepted and can never run.
#[test]
fn a_gang_that_is_larger_than_its_customer_may_run_is_refused_at_once() {
    let mut world = world_of(9, 8, cores(6), None);
    submit_at(&mut world, 0, job(1, NORTH, &[7], true));
    submit_at(&mut world, 1, job(2, NORTH, &[7], false));
    submit_at(&mut world, 2, job(3, SOUTH, &[7], true));
    run_for(&mut world, 10_000);
    let accepted: Vec<JobId> = world.rules.accepted().iter().copied().collect();
    assert_eq!(accepted, [2, 3]);
    assert_eq!(world.refusal_waits_ms.len(), 1);
    assert!(world.refusal_waits_ms[0] < 100);
}

// Guards against gangs that wait for ever among small work of their own customer.
#[test]
fn a_gang_gets_its_turn_among_small_work_of_its_customer() {
    let mut world = world_of(10, 8, cores(6), None);
    for id in 1..40 {
        world.submit(job(id, NORTH, &[2], false));
    }
    run_for(&mut world, 300);
    world.submit(job(100, NORTH, &[6], true));
    for id in 200..260 {
        run_for(&mut world, 150);
        world.submit(job(id, NORTH, &[1], false));
    }
    assert!(world.shown.contains_key(&100), "{}", world.describe(100));
    assert_eq!(most_cores(&world, NORTH), 6);
}

// Guards against gangs that a limit, lowered after they were accepted, shuts out, and that shut out
// the rest of their customer's work in turn.
#[test]
fn a_gang_beyond_a_lowered_limit_waits_and_lets_others_pass() {
    let mut world = world_of(11, 8, cores(8), None);
    world.submit(job(1, NORTH, &[8], false));
    world.work_ms.insert(1, 3_000);
    run_for(&mut world, 500);
    world.submit(job(2, NORTH, &[8], true));
    run_for(&mut world, 500);
    world.set_customer(NORTH, 10.0, cores(4));
    world.configure(3);
    world.submit(job(3, NORTH, &[4], false));
    run_for(&mut world, 15_000);
    assert!(world.shown.contains_key(&3) && !world.shown.contains_key(&2));
    assert!(world.counter("placements", "beyond_limit") > 0);
    world.set_customer(NORTH, 10.0, cores(8));
    world.configure(4);
    run_for(&mut world, 8_000);
    assert!(world.shown.contains_key(&2));
    assert_kept(&world);
}

// Guards against public queues that ask for a key, and against urgent ones that do not.
#[test]
fn queues_that_are_public_are_asked_without_a_key() {
    let mut world = world_of(12, 4, RunLimit::default(), None);
    world.add_queue("open", 1);
    world.configure(3);
    run_for(&mut world, 1_500);
    world.ask_queue(0, "open");
    world.ask_queue(1, URGENT_QUEUE);
    run_for(&mut world, 500);
    let told: Vec<&str> = world.told.iter().map(|told| &*told.queue).collect();
    assert_eq!(told, ["open", URGENT_QUEUE]);
    assert_kept(&world);
}

/// Jobs of two customers that are done in time beside a third one that sends so many times its usual,
/// which is 4 jobs a second; in all they ask for four fifths of the room as long as it sends that.
fn served_beside(times: u64, without: Option<PolicySwitch>) -> usize {
    const SECONDS: u64 = 15;
    const IN_TIME_MS: u64 = 2_500;
    let mut world = SiteWorld::new(SitePlan {
        without,
        ..plan_of(20 + times, 12)
    });
    for (name, weight) in [("hot", 5.0), ("east", 13.0), ("west", 13.0)] {
        world.set_customer(name, weight, RunLimit::default());
    }
    world.configure(2);
    world.run_until(1_000);
    world.callers_leave = true;
    let mut due = Vec::new();
    let mut served = 0;
    let hand_in = |world: &mut SiteWorld, id: JobId, name: &str| {
        world.work_ms.insert(id, 800);
        let spec = JobSpec {
            customer: Some(name.into()),
            ..job_of(id, QUEUE, &[2], false)
        };
        world.submit(spec);
    };
    for tenth in 0..SECONDS * 10 {
        hand_in(&mut world, 1_000 + tenth, "east");
        hand_in(&mut world, 2_000 + tenth, "west");
        due.extend([1_000 + tenth, 2_000 + tenth].map(|id| (world.now_ms + IN_TIME_MS, id)));
        for number in (0..times * 4).filter(|number| number % 10 == tenth % 10) {
            hand_in(&mut world, 10_000 + tenth * 100 + number, "hot");
        }
        run_for(&mut world, 100);
        let (over, open): (Vec<_>, Vec<_>) = due.drain(..).partition(|(at, _)| *at <= world.now_ms);
        served += over
            .iter()
            .filter(|(_, id)| world.shown.contains_key(id))
            .count();
        due = open;
    }
    assert_kept(&world);
    served
}

// Guards against customers that pay for what another one sends beyond its share.
#[test]
fn a_customer_that_sends_many_times_its_usual_takes_nothing_from_others() {
    let usual = served_beside(1, None);
    for times in [2, 4, 8] {
        let served = served_beside(times, None);
        assert!(
            served * 100 >= usual * 95,
            "{times} times: {served} of {usual}"
        );
    }
    let unguarded = served_beside(8, Some(PolicySwitch::CustomerShares));
    assert!(
        unguarded * 100 < usual * 95,
        "{unguarded} of {usual} by order of arrival"
    );
}

// Guards against a sum that differs from what it is the sum of, by whichever event.
#[test]
fn what_counts_against_a_limit_is_what_the_book_has_at_each_moment() {
    let mut world = world_of(30, 6, cores(9), None);
    world.lost_percent = 10;
    world.late_orders_percent = 10;
    world.fail_percent = 10;
    for id in 1..30 {
        world.submit(job(id, NORTH, &[2, 2], id % 3 == 0));
    }
    for moment in 0..12_000 {
        match moment {
            2_000 => world.crash_worker("10.9.0.1:80", 700),
            3_500 => world.cancel(7),
            5_000 | 8_000 => {
                let leader = world.leader().unwrap_or(0);
                world.kill(leader, 900);
            }
            _ => {}
        }
        run_for(&mut world, 1);
        world.check_usage();
    }
    assert!(most_cores(&world, NORTH) <= 9);
    assert_kept(&world);
}

// Guards against jobs beyond their customer's share that never run while others fill the site.
#[test]
fn a_job_beyond_its_customers_share_has_its_turn_though_the_others_leave_no_room() {
    let mut world = world_of(40, 4, RunLimit::default(), None);
    world.set_customer(SOUTH, 1.0, RunLimit::default());
    world.configure(3);
    run_for(&mut world, 1_500);
    let hand_in = |world: &mut SiteWorld, id: JobId, name: &str| {
        world.work_ms.insert(id, 1_000);
        world.submit(job(id, name, &[2], false));
    };
    // North's ten jobs a second, all within its weight, would take more than all 16 cores.
    for tenth in 0..300 {
        hand_in(&mut world, 1_000 + tenth, NORTH);
        if (20..24).contains(&tenth) {
            for number in 0..3 {
                hand_in(&mut world, tenth * 10 + number, SOUTH);
            }
        }
        run_for(&mut world, 100);
    }
    // Four of South's twelve are within its bucket; the last one has its turn eight seconds later.
    let south = (200..240).filter(|id| world.rules.accepted().contains(id));
    let open: Vec<JobId> = south.filter(|id| !world.shown.contains_key(id)).collect();
    assert!(open.is_empty(), "{open:?} are open after 30 s");
    let begun = world
        .rules
        .accepted()
        .iter()
        .filter(|id| **id < 1_000)
        .count();
    assert!(begun >= 4, "{begun} jobs accepted");
}

/// Worlds in which a customer's limit is lowered during an outage of the table, and the leader is lost so long
/// before the table is back.
fn worlds_of_an_outage(broken: Option<SiteGuard>) -> Vec<SiteWorld> {
    let mut worlds = Vec::new();
    for distance_ms in (600..1_300).step_by(100) {
        let outage_ms = 14_000;
        let mut world = world_of(12, 8, cores(8), broken);
        for id in 1..9 {
            world.work_ms.insert(id, 4_000);
            world.submit(job(id, NORTH, &[4], false));
        }
        run_for(&mut world, 1_000);
        world.store_away_until = world.now_ms + outage_ms;
        world.store_silent = true;
        run_for(&mut world, 1_000);
        world.set_customer(NORTH, 10.0, cores(2));
        world.configure(3);
        // Reads of the configuration that were lost in the outage are missed only after it.
        let missed_until = world.store_away_until + 600;
        for node in &mut world.nodes {
            node.config_lost_until = missed_until;
        }
        run_for(&mut world, outage_ms - 1_000 - distance_ms);
        let leader = world.leader().expect("an instance leads");
        world.kill(leader, 5_000);
        run_for(&mut world, 8_000);
        worlds.push(world);
    }
    worlds
}

/// Guards against a leader that starts tasks by the configuration from before an outage of the table.
#[test]
fn a_leader_does_not_start_tasks_by_a_configuration_from_before_an_outage() {
    for world in worlds_of_an_outage(None) {
        assert_kept(&world);
    }
    let unguarded = worlds_of_an_outage(Some(SiteGuard::RecentConfig));
    let exceeds = |world: &SiteWorld| {
        world
            .rules
            .breaches
            .iter()
            .any(|breach| breach.rule == "QUOTA")
    };
    assert!(
        unguarded.iter().any(exceeds),
        "nothing notices that the guard is gone"
    );
}
