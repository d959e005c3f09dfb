//! Workers that are lost for good, with the leader lost some seconds before or after.
//!
//! Seen on a site of three entry instances: a task that lasts was away for 20 s, though there was room
//! for it all the while. Its worker had ended for good. Some seconds later, just before the leader
//! would have given the run up, that leader was lost as well. The worker's entry had gone by then, so
//! the successor could not ask it and took it for one that the old leader might still command: it
//! waited for the longest hold that could be, from the moment when the old leader was known to have
//! ended, and, where nothing was heard of that one, from 15 s after its own begin. What the old leader
//! knew of the worker, how long its hold could still last, had died with it.

use std::collections::BTreeSet;

use bankvalve_check::site::{
    job_of, play_losses, run_loss_episode, LeaderLoss, LossJob, LossPlan, SiteFault, SitePlan,
    SiteWorld, WorkerLoss, QUEUE,
};
use bankvalve_queue::{JobId, TaskKey};

use crate::{assert_kept, follower, world_without};

/// Longest hold on the users' sites, in milliseconds.
const HOLD_LIMIT_MS: u64 = 10_000;
/// Longest time for which a task that lasts may be away, in milliseconds: the users' rule.
const AWAY_MS: u64 = 9_000;
/// Calm after which it must run, in milliseconds: the same rule.
const CALM_MS: u64 = 7_000;
/// The job whose tasks last.
const LASTING: JobId = 1;
/// Its tasks, each on a worker of its own.
const TASKS: u32 = 4;
/// Time from one look at the workers to the next, in milliseconds.
const STEP_MS: u64 = 10;

/// A site of three entry instances and eight workers, on which a job of tasks that last runs.
fn site(seed: u64) -> SiteWorld {
    let plan = SitePlan {
        seed,
        entries: 3,
        strengths: Vec::new(),
        broken: None,
        without: None,
        workers: 8,
        good_percent: None,
    };
    let mut world = SiteWorld::with_hold_limit(plan, HOLD_LIMIT_MS);
    world.looks_wait = true;
    world.run_until(1_000);
    let mut spec = job_of(LASTING, QUEUE, &[TASKS], false);
    spec.steps[0].lasting = true;
    spec.steps[0].per_worker_limit = 1;
    world.submit(spec);
    world.run_until(20_000);
    assert_eq!(running(&world, LASTING).len(), TASKS as usize);
    world
}

/// Tasks of a job that run on some worker.
fn running(world: &SiteWorld, job: JobId) -> BTreeSet<TaskKey> {
    let workers = world.workers.values().flatten();
    let tasks = workers.flat_map(|worker| worker.runs().keys());
    tasks.filter(|task| task.step.job == job).copied().collect()
}

/// A worker that runs a task of the job that lasts.
fn victim(world: &SiteWorld) -> String {
    let lasts = |task: &TaskKey| task.step.job == LASTING;
    let runs = |address: &&String| {
        let worker = world.workers[*address].as_ref();
        worker.is_some_and(|worker| worker.runs().keys().any(lasts))
    };
    let address = world.workers.keys().find(runs);
    address.expect("a worker runs a task that lasts").clone()
}

/// Runs until all tasks that last run; the time at which they do.
fn back_at(world: &mut SiteWorld) -> u64 {
    let limit = world.now_ms + 60_000;
    while world.now_ms < limit && running(world, LASTING).len() < TASKS as usize {
        let until = world.now_ms + STEP_MS;
        world.run_until(until);
    }
    world.now_ms
}

#[test]
fn a_task_that_lasts_is_back_in_time_though_its_worker_and_then_the_leader_are_lost() {
    for (seed, silent) in [(1, false), (2, true)] {
        let mut world = site(seed);
        let lost_at = world.now_ms;
        let address = victim(&world);
        world.lose_worker(&address, silent);
        world.run_until(lost_at + 4_000);
        let leader = world.leader().expect("an instance leads");
        let dark_at = world.now_ms;
        world.darken(leader, None);
        let away = back_at(&mut world) - lost_at;
        let limit = AWAY_MS.max(dark_at - lost_at + CALM_MS);
        assert!(
            away <= limit,
            "seed {seed}, silent {silent}: away for {away} ms, {limit} ms are allowed"
        );
        assert_kept(&world);
    }
}

#[test]
fn a_task_that_lasts_is_back_in_time_after_its_worker_alone_is_lost() {
    for (seed, silent) in [(1, false), (2, true)] {
        let mut world = site(seed);
        let lost_at = world.now_ms;
        let address = victim(&world);
        world.lose_worker(&address, silent);
        let away = back_at(&mut world) - lost_at;
        assert_kept(&world);
        assert!(
            away <= AWAY_MS,
            "seed {seed}, silent {silent}: away for {away} ms"
        );
    }
}

/// Time from when workers are cut off, whose entries stand, until all tasks that last run elsewhere.
fn away_of_cut_workers(seed: u64, count: usize) -> u64 {
    let mut world = site(seed);
    let cut_at = world.now_ms;
    let runs_it = |address: &&String| {
        let worker = world.workers[*address].as_ref();
        worker.is_some_and(|worker| !worker.runs().is_empty())
    };
    let busy: Vec<String> = world.workers.keys().filter(runs_it).cloned().collect();
    for address in busy.iter().take(count) {
        world.worker_cut_until.insert(address.clone(), u64::MAX);
    }
    // Until their holds are over they run on.
    let lapsed_by = cut_at + AWAY_MS;
    while world.now_ms < lapsed_by && running(&world, LASTING).len() == TASKS as usize {
        let until = world.now_ms + STEP_MS;
        world.run_until(until);
    }
    let away = back_at(&mut world) - cut_at;
    assert_kept(&world);
    away
}

#[test]
fn a_task_that_lasts_is_back_in_time_though_its_silent_workers_entry_stands() {
    // Found by reading, while tasks that last were away for too long after losses of many workers. A
    // worker that is silent while its entry stands is waited for, 10 s, or 30 s while many are silent,
    // also when its hold is over: it lives as a rule, and its lists will tell which runs ended well
    // meanwhile. But a task that lasts never ends well. What was waited for could not come, while its
    // worker had surely ended it: 10 s away for one worker, and 30 s for three of four.
    for (seed, count) in [(1, 1), (2, 1), (3, 3), (4, 3)] {
        let away = away_of_cut_workers(seed, count);
        assert!(
            away <= AWAY_MS,
            "seed {seed}, {count} workers: away for {away} ms"
        );
    }
}

/// Longest time until a task is done whose order went to a worker that was cut off right before, in
/// milliseconds: a look that prolongs its hold for the last time comes 1.6 s later at most, the hold lasts
/// 5 s more, a start takes 1.2 s, and the task works for half a second.
const REORDERED_MS: u64 = 8_500;

#[test]
fn a_task_whose_order_never_arrived_starts_elsewhere_once_the_hold_is_over() {
    // Found by reading. An order without an answer may never have arrived, and its worker may have been
    // cut off before it was sent. Such a task was waited for as one that was seen to run there: 10 s while
    // the worker's entry stood, or 30 s while many were silent, for lists that had nothing to tell of it.
    for (seed, cut) in [(1, 1), (2, 1), (3, 4), (4, 4)] {
        let mut world = world_without(seed, 8, None);
        world.run_until(5_000);
        let addresses: Vec<String> = world.workers.keys().take(cut).cloned().collect();
        for address in addresses {
            world.worker_cut_until.insert(address, u64::MAX);
        }
        let cut_at = world.now_ms;
        let job = 5;
        world.work_ms.insert(job, 500);
        world.submit(job_of(job, QUEUE, &[24], false));
        let limit = cut_at + 60_000;
        while world.now_ms < limit && !world.shown.contains_key(&job) {
            let until = world.now_ms + STEP_MS;
            world.run_until(until);
        }
        let took = world.now_ms - cut_at;
        assert_kept(&world);
        assert!(
            took <= REORDERED_MS,
            "seed {seed}, {cut} workers: done after {took} ms"
        );
    }
}

/// Distances from a worker's loss to the leader's, in seconds; below zero the leader is lost first.
const DISTANCES_S: std::ops::RangeInclusive<i64> = -15..=15;
/// Some of them, for what is like the pairs above, in milliseconds.
const FEW_DISTANCES: [i64; 5] = [-6_000, -1_000, 2_000, 4_000, 7_000];
/// Kinds of which one each stands for those after which the successor knows that the leader before
/// has ended, never hears of it, or hears of it as one that may still lead.
const FEW_LOSSES: [LeaderLoss; 3] = [
    LeaderLoss::Killed,
    LeaderLoss::DarkForGood,
    LeaderLoss::Frozen,
];

/// Plays losses, each in a world of its own; all rules must hold in each of them.
fn assert_all_kept(plans: impl IntoIterator<Item = LossPlan>) {
    let mut count = 0;
    let mut wrong = Vec::new();
    for plan in plans {
        count += 1;
        let report = play_losses(&plan);
        if let Some(breach) = report.breaches.first() {
            let away = report.away_ms as f64 / 1_000.0;
            let (rule, text) = (breach.rule, &breach.text);
            wrong.push(format!("{plan}: away for {away:.1} s; {rule}: {text}"));
        }
    }
    let wrong_count = wrong.len();
    assert!(
        wrong.is_empty(),
        "{wrong_count} of {count}:\n{}",
        wrong.join("\n")
    );
}

/// A worker's loss with each of the leader's at all distances; its port refuses or is silent by
/// turns.
fn pairs(leader: LeaderLoss) -> impl Iterator<Item = LossPlan> {
    DISTANCES_S.map(move |distance| {
        let number = (distance - DISTANCES_S.start()) as u64;
        let worker = match (number + leader as u64) % 2 {
            0 => WorkerLoss::Refusing,
            _ => WorkerLoss::Silent,
        };
        let pair = LossPlan::pair(number, Some(leader), distance * 1_000);
        LossPlan { worker, ..pair }
    })
}

/// A smaller set of pairs, which are made into something else.
fn few_pairs(seed: u64, change: impl Fn(LossPlan) -> LossPlan) -> Vec<LossPlan> {
    let losses = FEW_LOSSES.into_iter();
    let pairs = losses.flat_map(|leader| {
        let distances = FEW_DISTANCES.into_iter();
        distances.map(move |at| LossPlan::pair(seed, Some(leader), at))
    });
    pairs.map(change).collect()
}

/// A smaller set of pairs for jobs of three kinds.
fn few_jobs(seed: u64, worker: WorkerLoss) -> impl Iterator<Item = LossPlan> {
    let jobs = [LossJob::Lasting, LossJob::Batch, LossJob::Gang].into_iter();
    jobs.flat_map(move |job| {
        few_pairs(seed, |pair| LossPlan {
            worker,
            job,
            ..pair
        })
    })
}

#[test]
fn what_a_worker_runs_that_alone_is_lost_is_back_in_time() {
    let jobs = [
        LossJob::Lasting,
        LossJob::Batch,
        LossJob::Gang,
        LossJob::Repeated,
    ];
    assert_all_kept(jobs.into_iter().flat_map(|job| {
        let alone = LossPlan::pair(3, None, 0);
        WorkerLoss::ALL.map(|worker| LossPlan {
            worker,
            job,
            ..alone
        })
    }));
}

#[test]
fn a_lasting_task_is_back_in_time_beside_a_leader_that_is_killed() {
    assert_all_kept(pairs(LeaderLoss::Killed));
}

#[test]
fn a_lasting_task_is_back_in_time_beside_a_leader_without_power_for_four_seconds() {
    assert_all_kept(pairs(LeaderLoss::DarkShort));
}

#[test]
fn a_lasting_task_is_back_in_time_beside_a_leader_without_power_for_long() {
    assert_all_kept(pairs(LeaderLoss::DarkLong));
}

#[test]
fn a_lasting_task_is_back_in_time_beside_a_leader_without_power_for_good() {
    assert_all_kept(pairs(LeaderLoss::DarkForGood));
}

#[test]
fn a_lasting_task_is_back_in_time_beside_a_leader_that_stands_still() {
    assert_all_kept(pairs(LeaderLoss::Frozen));
}

#[test]
fn a_lasting_task_is_back_in_time_beside_a_leader_that_is_replaced() {
    assert_all_kept(pairs(LeaderLoss::Replaced));
}

#[test]
fn a_lasting_task_is_back_in_time_beside_a_leader_cut_off_from_peers_and_the_table() {
    assert_all_kept(pairs(LeaderLoss::CutOff));
}

#[test]
fn a_lasting_task_is_back_in_time_beside_a_leader_cut_off_from_all() {
    assert_all_kept(pairs(LeaderLoss::CutFromAll));
}

#[test]
fn a_lasting_task_is_back_in_time_beside_a_leader_that_is_stopped_as_planned() {
    assert_all_kept(pairs(LeaderLoss::Stopped));
}

#[test]
fn a_lasting_task_is_back_in_time_beside_the_loss_of_all_instances() {
    assert_all_kept(pairs(LeaderLoss::AllKilled));
}

#[test]
fn a_lasting_task_is_back_in_time_though_two_leaders_are_lost_in_a_row() {
    let losses = [
        LeaderLoss::Killed,
        LeaderLoss::DarkForGood,
        LeaderLoss::Replaced,
    ];
    assert_all_kept((1..).zip(losses).flat_map(|(seed, leader)| {
        let first = LossPlan::pair(seed, Some(leader), 3_000);
        [2_000, 3_500, 5_000, 6_000].map(|again_ms| LossPlan {
            again_ms: Some(again_ms),
            ..first
        })
    }));
}

#[test]
fn a_lasting_task_is_back_in_time_though_the_table_forgets_its_history_meanwhile() {
    // Before the worker's entry runs out, and after it.
    let times = [(4, 500), (5, 2_900), (6, 5_000)];
    assert_all_kept(times.into_iter().flat_map(|(seed, forgets_ms)| {
        let forgets_ms = Some(forgets_ms);
        few_pairs(seed, |pair| LossPlan { forgets_ms, ..pair })
    }));
}

#[test]
fn a_task_with_an_end_is_back_in_time_and_ends_well() {
    let jobs = [(7, LossJob::Batch), (8, LossJob::Repeated)];
    assert_all_kept(
        jobs.into_iter()
            .flat_map(|(seed, job)| few_pairs(seed, |pair| LossPlan { job, ..pair })),
    );
}

#[test]
fn a_gang_of_which_one_member_is_gone_is_back_in_time_and_ends_well() {
    let job = LossJob::Gang;
    assert_all_kept(few_pairs(9, |pair| LossPlan { job, ..pair }));
}

#[test]
fn what_a_worker_runs_that_lost_only_the_table_is_not_started_twice() {
    assert_all_kept(few_jobs(10, WorkerLoss::OffTable));
}

#[test]
fn what_a_worker_runs_that_only_the_leader_reached_is_not_started_twice() {
    assert_all_kept(few_jobs(11, WorkerLoss::OffAllButLeader));
}

/// Whether the rule finds a task missing.
fn is_found_missing(world: &SiteWorld) -> bool {
    let lost = |rule: &str| rule == "LOST";
    world.rules.breaches.iter().any(|breach| lost(breach.rule))
}

#[test]
fn the_rule_finds_a_task_that_nobody_starts_again_once_the_time_is_over() {
    let mut world = site(1);
    let lost_at = world.now_ms;
    let address = victim(&world);
    world.lose_worker(&address, false);
    for node in 0..3 {
        world.darken(node, None);
    }
    world.run_until(lost_at + AWAY_MS);
    assert!(!is_found_missing(&world));
    world.run_until(lost_at + AWAY_MS + 200);
    assert!(is_found_missing(&world));
}

#[test]
fn the_rule_waits_for_calm() {
    let mut world = site(1);
    let lost_at = world.now_ms;
    let address = victim(&world);
    world.lose_worker(&address, false);
    for node in 0..3 {
        world.darken(node, None);
    }
    // The last trouble is over two seconds after the task could have been found missing.
    world.store_away_until = lost_at + AWAY_MS - CALM_MS + 2_000;
    world.run_until(lost_at + AWAY_MS + 2_000);
    assert!(!is_found_missing(&world));
    world.run_until(lost_at + AWAY_MS + 2_200);
    assert!(is_found_missing(&world));
}

#[test]
fn the_rule_asks_for_nothing_where_there_is_no_room_or_nobody_wants_it() {
    for cancelled in [false, true] {
        let mut world = site(1);
        if cancelled {
            world.cancel(LASTING);
        }
        let address = victim(&world);
        world.lose_worker(&address, false);
        for node in 0..3 {
            world.darken(node, None);
        }
        if !cancelled {
            // One worker is left: room for one copy of each task, not for two.
            let others: Vec<String> = world.workers.keys().cloned().collect();
            for other in &others[1..] {
                world.lose_worker(other, false);
            }
        }
        world.run_until(60_000);
        assert!(!is_found_missing(&world), "cancelled: {cancelled}");
    }
}

#[test]
fn troubles_break_no_rule_while_workers_and_leaders_are_lost() {
    for seed in 1..7 {
        let report = run_loss_episode(seed, &SiteFault::ALL, None);
        assert_eq!(report.breaches, [], "seed {seed}");
        let pairs: u64 = report.pairs.values().sum();
        assert_eq!(pairs, 3, "seed {seed}");
        assert!(report.starts > 100, "seed {seed}: {} starts", report.starts);
        assert!(!report.away_ms.is_empty(), "seed {seed}: no task was away");
    }
}

#[test]
fn a_worker_that_the_new_leader_heard_is_not_waited_for_by_holds_that_it_has_outlived() {
    // Found with this seed: a worker answered a new leader and was lost soon after; its tasks waited for
    // the holds that a leader before might still ask for, whose orders it took no more.
    let report = run_loss_episode(15, &SiteFault::ALL, None);
    assert_eq!(report.breaches, []);
}

#[test]
fn a_run_that_was_found_in_the_ledger_gives_no_job_up_as_one_that_had_just_begun() {
    // Found with this seed: a run of 21 s was taken for a young one by a new leader, and its job was
    // given up.
    let report = run_loss_episode(222, &SiteFault::ALL, None);
    assert_eq!(report.breaches, []);
}

#[test]
fn a_leader_that_reaches_nobody_does_not_show_a_job_as_open_that_another_has_cancelled() {
    // Found with this seed: a leader that was cut off from peers and table told callers of its own.
    let report = run_loss_episode(162, &SiteFault::ALL, None);
    assert_eq!(report.breaches, []);
}

/// Drawn losses with these seeds break no rule.
fn assert_drawn_kept(seeds: &[u64]) {
    for seed in seeds {
        let report = run_loss_episode(*seed, &SiteFault::ALL, None);
        assert_eq!(report.breaches, [], "seed {seed}");
    }
}

#[test]
fn what_other_seeds_showed_as_well_is_mended_there_too() {
    // Found with these seeds: like the second and the last of the three above.
    assert_drawn_kept(&[2_143, 2_038]);
}

#[test]
fn a_bound_that_was_kept_while_it_was_assumed_gives_way_to_what_is_known_since() {
    // Found with these seeds: an instance that had just started led while nothing was heard of the
    // leader before, and kept in the ledger that a worker's hold may last for 23 s more. It held to
    // that when the old leader's next life was heard some seconds later, and so did its successor.
    assert_drawn_kept(&[18, 2_013, 2_049, 3_011, 3_021]);
}

#[test]
fn a_lasting_task_is_back_in_time_though_instances_come_back_one_after_the_other() {
    let mut late = Vec::new();
    for (seed, (first_s, last_s)) in (1..).zip([(1, 4), (1, 6), (1, 8), (2, 6), (3, 8)]) {
        let mut world = site(seed);
        // Leaders have changed before, so that one which starts later does not know of all.
        for _ in 0..2 {
            let leader = world.leader().expect("an instance leads");
            world.kill(leader, 1_000);
            let until = world.now_ms + 10_000;
            world.run_until(until);
        }
        let lost_at = world.now_ms;
        let address = victim(&world);
        world.lose_worker(&address, false);
        world.run_until(lost_at + 500);
        let leader = world.leader().expect("an instance leads");
        let first = follower(&world);
        for node in 0..3 {
            let down_s = if node == first { first_s } else { last_s };
            world.kill(node, down_s * 1_000);
        }
        let back = world.now_ms + last_s * 1_000;
        let away = back_at(&mut world) - lost_at;
        let limit = AWAY_MS.max(back - lost_at + CALM_MS);
        if away > limit || !world.rules.breaches.is_empty() {
            let breaches = &world.rules.breaches;
            late.push(format!(
                "leader {leader}, back after {first_s} and {last_s} s, seed {seed}: away for \
                 {away} ms, {limit} ms are allowed: {breaches:?}"
            ));
        }
    }
    assert!(late.is_empty(), "{}", late.join("\n"));
}
