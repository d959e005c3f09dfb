//! Workers whose process ends and starts again under the same id: what belongs to one process of a worker
//! must not be taken for the other's.

use std::collections::{BTreeMap, BTreeSet};

use bankvalve_check::site::{
    job_of, run_restart_episode, LossMoment, SitePlan, SiteWorld, TaskCrash, WorkerRestart, QUEUE,
    URGENT_QUEUE,
};
use bankvalve_queue::{JobId, JobState, SiteGuard, StepKey, TaskKey};
use bankvalve_standin::site::MAX_ENDS_PER_REPORT;

use crate::{assert_kept, follower, plan_of};

/// Workers of the site.
const WORKERS: usize = 8;
/// Time in which the runs of a lost worker are given up and start again elsewhere, in milliseconds: the
/// longest hold on the users' sites, by a clock that is 2% slow, the silence before, and a start.
const GIVEN_UP_MS: u64 = 13_000;
/// Drawn worlds that are played, and in how many of them each kind of cut comes once on average, or more often.
const DRAWN_WORLDS: u64 = 24;
const WORLDS_PER_CUT: u64 = 8;
/// Pause of a leader in which another one takes over, in milliseconds.
const PAUSE_MS: u64 = 1_800;

fn site(seed: u64) -> SiteWorld {
    site_with(seed, None, None)
}

fn site_with(seed: u64, good_percent: Option<u64>, broken: Option<SiteGuard>) -> SiteWorld {
    let mut world = SiteWorld::new(SitePlan {
        seed,
        entries: 3,
        strengths: Vec::new(),
        broken,
        without: None,
        workers: WORKERS,
        good_percent,
    });
    world.looks_wait = true;
    world.run_until(1_000);
    world
}

/// Hands jobs of two tasks in, one each `pace_ms`.
fn submit(world: &mut SiteWorld, jobs: std::ops::Range<JobId>, pace_ms: u64) {
    for job in jobs {
        let queue = if job % 2 == 0 { QUEUE } else { URGENT_QUEUE };
        world.submit(job_of(job, queue, &[2], false));
        let until = world.now_ms + pace_ms;
        world.run_until(until);
    }
}

fn addresses(world: &SiteWorld) -> Vec<String> {
    world.workers.keys().cloned().collect()
}

fn restart_all(world: &mut SiteWorld, restart: WorkerRestart) {
    for address in addresses(world) {
        world.restart_worker(&address, restart);
    }
}

/// All jobs have succeeded, and no rule was broken.
fn assert_all_done(world: &SiteWorld, jobs: usize) {
    assert_kept(world);
    let done = world.shown.values();
    let done = done.filter(|state| **state == JobState::Succeeded).count();
    assert_eq!(done, jobs);
}

/// A restart without a pause, whose entry is written at once.
const AT_ONCE: WorkerRestart = WorkerRestart {
    down_ms: 0,
    silent: false,
    entry_after_ms: 0,
    behind_ms: 0,
    clock_ms: 0,
    other_kind: false,
};

/// Guards against ends that are passed over, and their runs repeated, since a restarted worker
/// numbers its ends from 1 again.
#[test]
fn ends_of_a_restarted_worker_are_taken_by_its_own_numbers() {
    for down_ms in [0, 5, 100, 1_300, 4_000] {
        let mut world = site(1);
        submit(&mut world, 1..60, 100);
        let until = world.now_ms + 3_000;
        world.run_until(until);
        let starts = world.rules.starts;
        restart_all(&mut world, WorkerRestart { down_ms, ..AT_ONCE });
        let until = world.now_ms + down_ms + 200;
        world.run_until(until);
        submit(&mut world, 60..100, 100);
        world.run_until(60_000);
        assert_all_done(&world, 99);
        assert_eq!(world.rules.starts - starts, 80, "down for {down_ms} ms");
    }
}

/// A world in which ends wait to be kept, so that looks are far apart, while workers start again in no time
/// and runs are short.
fn restarts_between_far_looks(seed: u64) -> SiteWorld {
    restarts_with_reports_of(seed, MAX_ENDS_PER_REPORT, None)
}

/// The same with workers that list so many ends at once, and with a guard taken away if asked.
fn restarts_with_reports_of(seed: u64, max_ends: usize, broken: Option<SiteGuard>) -> SiteWorld {
    let mut world = site_with(seed, None, broken);
    world.limit_end_reports(max_ends);
    for job in 1..400 {
        world.work_ms.insert(job, 15);
    }
    submit(&mut world, 1..100, 30);
    world.store_delay_ms = 250;
    for round in 0..20 {
        let first = 100 + round * 10;
        submit(&mut world, first..first + 10, 30);
        let all = addresses(&world);
        let address = &all[round as usize % all.len()];
        let silent = round % 2 == 0;
        let restart = WorkerRestart {
            silent,
            entry_after_ms: 1_500,
            ..AT_ONCE
        };
        world.restart_worker(address, restart);
    }
    world.store_delay_ms = 0;
    world.run_until(60_000);
    world
}

/// Guards against ends that are acknowledged unread, by a look that bears the number which the process
/// before had reached.
#[test]
fn ends_of_a_restarted_worker_are_not_acknowledged_by_the_numbers_of_the_process_before() {
    for seed in 1..9 {
        assert_all_done(&restarts_between_far_looks(seed), 299);
    }
}

/// Guards against taking a run for lost with its worker's process although the next process has it, and its
/// end stands behind those that this process lists first.
#[test]
fn a_restarted_worker_with_more_ends_than_it_lists_repeats_no_run() {
    for max_ends in [1, 2, 4] {
        for seed in 1..9 {
            assert_all_done(&restarts_with_reports_of(seed, max_ends, None), 299);
        }
    }
    let broken = Some(SiteGuard::AllEnds);
    let noticed = |seed| {
        !restarts_with_reports_of(seed, 1, broken)
            .rules
            .breaches
            .is_empty()
    };
    assert!((1..9).any(noticed));
}

/// The same where a run ends within 150 ms of the last list of the process before.
#[test]
fn an_end_right_after_a_list_of_the_process_before_is_not_acknowledged_unread() {
    for seed in [92, 125, 184] {
        assert_all_done(&restarts_between_far_looks(seed), 299);
    }
}

/// A site of one worker that starts again some time after a job was handed in, while more come and ends wait
/// 100 ms to be kept.
fn restart_between_ends(restart_ms: u64) -> SiteWorld {
    let mut world = SiteWorld::new(plan_of(1, 1));
    world.looks_wait = true;
    world.run_until(1_000);
    world.store_delay_ms = 100;
    let address = addresses(&world)[0].clone();
    let restart = WorkerRestart {
        silent: true,
        entry_after_ms: 1_500,
        ..AT_ONCE
    };
    world.restart_worker_at(2_000 + restart_ms, &address, restart);
    for job in 1..60 {
        world.work_ms.insert(job, 5);
        world.submit(job_of(job, URGENT_QUEUE, &[2], false));
        let until = world.now_ms + 50;
        world.run_until(until);
    }
    world.store_delay_ms = 0;
    world.run_until(12_000);
    world
}

/// The same at each distance of the restart from the ends around it.
#[test]
fn an_end_of_the_next_process_is_not_acknowledged_unread_whenever_it_starts() {
    for restart_ms in (0..300).step_by(2) {
        assert_all_done(&restart_between_ends(restart_ms), 59);
    }
}

/// Tasks of a job that run on some worker.
fn running(world: &SiteWorld, job: JobId) -> BTreeSet<TaskKey> {
    let workers = world.workers.values().flatten();
    let tasks = workers.flat_map(|worker| worker.runs().keys());
    tasks.filter(|task| task.step.job == job).copied().collect()
}

/// Address of the worker that runs a task of a job.
fn place_of(world: &SiteWorld, job: JobId) -> String {
    let runs = |address: &&String| {
        let worker = world.workers[*address].as_ref();
        worker.is_some_and(|worker| worker.runs().keys().any(|task| task.step.job == job))
    };
    let address = world.workers.keys().find(runs);
    address.expect("a worker runs a task of the job").clone()
}

/// Time for which a task is away whose worker starts again with a clock, and is lost 5 s later.
fn away_after_a_restart(clock_ms: u64, broken: Option<SiteGuard>) -> u64 {
    let mut world = site_with(2, None, broken);
    submit(&mut world, 1..20, 100);
    let until = world.now_ms + 3_000;
    world.run_until(until);
    let restart = WorkerRestart {
        clock_ms,
        ..AT_ONCE
    };
    restart_all(&mut world, restart);
    let until = world.now_ms + 300;
    world.run_until(until);
    world.work_ms.insert(1_000, 600_000);
    world.submit(job_of(1_000, QUEUE, &[1], false));
    let until = world.now_ms + 5_000;
    world.run_until(until);
    let address = place_of(&world, 1_000);
    world.lose_worker(&address, true);
    let lost_at = world.now_ms;
    while running(&world, 1_000).is_empty() && world.now_ms < lost_at + 120_000 {
        let until = world.now_ms + 20;
        world.run_until(until);
    }
    assert_kept(&world);
    world.now_ms - lost_at
}

/// Guards against a hold that is reckoned by the clock of the process before, so that the runs of a
/// worker that is lost later are waited for until the new clock has reached the old one.
#[test]
fn the_hold_of_a_restarted_worker_is_reckoned_by_its_own_clock() {
    for clock_ms in [0, 1_000_000] {
        let away = away_after_a_restart(clock_ms, None);
        assert!(
            away <= GIVEN_UP_MS,
            "clock from {clock_ms}: away for {away} ms"
        );
    }
}

#[test]
fn a_hold_by_the_clock_of_the_process_before_is_noticed() {
    let away = away_after_a_restart(0, Some(SiteGuard::OwnClock));
    assert!(away > GIVEN_UP_MS, "away for {away} ms");
}

#[test]
fn ends_by_the_numbers_of_the_process_before_are_noticed() {
    let broken = Some(SiteGuard::OwnNumbers);
    let noticed = (1..9).any(|seed| !run_restart_episode(seed, broken).breaches.is_empty());
    assert!(noticed);
}

/// Guards against a run that starts elsewhere while an order of it, which had no answer, is carried out by
/// the next process of the worker that it was meant for.
#[test]
fn an_order_that_the_next_process_carries_out_late_starts_nothing_twice() {
    for seed in 1..13 {
        let mut world = site(seed);
        world.late_orders_percent = 40;
        for round in 0..30 {
            submit(&mut world, round * 5 + 1..round * 5 + 6, 40);
            let all = addresses(&world);
            let address = &all[round as usize % all.len()];
            let silent = round % 3 == 0;
            world.restart_worker(address, WorkerRestart { silent, ..AT_ONCE });
        }
        world.late_orders_percent = 0;
        world.run_until(90_000);
        assert_all_done(&world, 150);
    }
}

/// Guards against an order by the start's time of day: the clock of a machine may have stepped back.
#[test]
fn a_restart_is_seen_though_the_time_of_day_stepped_back() {
    let mut world = site(4);
    submit(&mut world, 1..60, 100);
    for behind_ms in [5_000, 0, 60_000] {
        let restart = WorkerRestart {
            behind_ms,
            ..AT_ONCE
        };
        restart_all(&mut world, restart);
        let until = world.now_ms + 200;
        world.run_until(until);
        let first = 60 + world.now_ms;
        submit(&mut world, first..first + 20, 100);
    }
    world.run_until(60_000);
    assert_all_done(&world, 119);
}

/// Guards against entries and lists that disagree for a while: the entry of the process before is read
/// after the list of the next one, and the reverse.
#[test]
fn entries_and_lists_of_different_processes_break_no_rule() {
    for entry_after_ms in [0, 400, 3_000] {
        for silent in [false, true] {
            let mut world = site(5);
            submit(&mut world, 1..60, 100);
            let restart = WorkerRestart {
                down_ms: 40,
                silent,
                entry_after_ms,
                ..AT_ONCE
            };
            restart_all(&mut world, restart);
            submit(&mut world, 60..100, 100);
            world.run_until(60_000);
            assert_all_done(&world, 99);
        }
    }
}

/// Guards against a worker that gets no work any more: its runs were given up on silence, its next entry
/// was read while it was still silent, and then it answered.
#[test]
fn a_worker_that_was_given_up_gets_work_again_once_it_answers() {
    for keeps_process in [false, true] {
        let mut world = site(7);
        submit(&mut world, 1..20, 100);
        let address = place_of(&world, 19);
        world.work_ms.insert(1_000, 600_000);
        let silent_ms = 14_000;
        let cut_until = world.now_ms + silent_ms;
        world.worker_cut_until.insert(address.clone(), cut_until);
        let until = world.now_ms + 12_000;
        world.run_until(until);
        if keeps_process {
            world.detach_worker(&address, Some(10));
        } else {
            world.restart_worker(&address, AT_ONCE);
        }
        world.run_until(cut_until + 1_000);
        for job in 2_000..2_064 {
            world.work_ms.insert(job, 5_000);
        }
        submit(&mut world, 2_000..2_064, 10);
        let runs = world.workers[&address]
            .as_ref()
            .map(|worker| worker.runs().len());
        assert!(runs > Some(0), "keeps its process: {keeps_process}");
        world.run_until(90_000);
        assert_kept(&world);
    }
}

/// Guards against starts by the entry of the process before, whose labels the next one may lack.
#[test]
fn nothing_starts_by_the_entry_of_the_process_before() {
    for silent in [false, true] {
        let mut world = site(8);
        submit(&mut world, 1..20, 100);
        world.run_until(10_000);
        assert_all_done(&world, 19);
        let restart = WorkerRestart {
            silent,
            entry_after_ms: 3_000,
            other_kind: true,
            ..AT_ONCE
        };
        restart_all(&mut world, restart);
        // The next looks tell of the other processes.
        let until = world.now_ms + 2_000;
        world.run_until(until);
        let starts = world.rules.starts;
        let mut spec = job_of(1_000, QUEUE, &[2], false);
        spec.steps[0].required_label = Some("a".into());
        world.submit(spec);
        world.run_until(30_000);
        assert_eq!(world.rules.starts - starts, 0, "silent: {silent}");
        assert_kept(&world);
    }
}

/// Guards against permits that outlive the process that they were given for.
#[test]
fn permits_of_the_process_before_are_not_used() {
    for seed in 1..5 {
        let mut world = site_with(seed, Some(85), None);
        submit(&mut world, 1..60, 60);
        for round in 0..6 {
            restart_all(&mut world, AT_ONCE);
            let first = 60 + round * 10;
            submit(&mut world, first..first + 10, 60);
        }
        world.run_until(60_000);
        assert_all_done(&world, 119);
        let refused = world.permit_refusals;
        assert!(
            refused <= 12,
            "seed {seed}: {refused} starts without a permit"
        );
    }
}

/// Guards against evidence that is counted by the worker's id: two processes that a task ends are two.
#[test]
fn a_task_that_ends_processes_of_one_id_is_given_up_and_no_other_is_blamed() {
    for seed in 1..6 {
        let mut world = site(seed);
        world.crashed_keep_ids = true;
        submit(&mut world, 1..21, 100);
        let crashing: JobId = 900;
        let step = StepKey {
            job: crashing,
            time: 0,
            step: 0,
        };
        let crash = TaskCrash {
            after_ms: 10,
            down_ms: 1_300,
        };
        world.crashing.insert(step.task(0), crash);
        world.submit(job_of(crashing, URGENT_QUEUE, &[2], false));
        submit(&mut world, 21..120, 100);
        world.run_until(60_000);
        assert_kept(&world);
        assert_eq!(world.shown.get(&crashing), Some(&JobState::Failed));
        let done = world.shown.values();
        let done = done.filter(|state| **state == JobState::Succeeded).count();
        assert_eq!(done, 119, "seed {seed}");
    }
}

/// Guards against a successor that takes the ledger's rows, which name a worker, for runs of whichever
/// process answers now.
#[test]
fn a_leader_that_takes_over_between_an_end_and_a_start_breaks_no_rule() {
    for (seed, down_ms) in [(1, 0), (2, 300), (3, 1_500), (4, 3_000), (5, 6_000)] {
        let mut world = site(seed);
        submit(&mut world, 1..60, 50);
        restart_all(&mut world, WorkerRestart { down_ms, ..AT_ONCE });
        let until = world.now_ms + down_ms / 2;
        world.run_until(until);
        let leader = world.leader().expect("an instance leads");
        world.kill(leader, 1_000);
        submit(&mut world, 60..100, 100);
        world.run_until(90_000);
        assert_all_done(&world, 99);
    }
}

/// The same where all instances are lost while the workers start again.
#[test]
fn a_loss_of_all_instances_while_workers_start_again_breaks_no_rule() {
    let mut world = site(6);
    submit(&mut world, 1..60, 50);
    let other = follower(&world);
    for node in 0..world.nodes.len() {
        let down_ms = if node == other { 1_000 } else { 1_500 };
        world.kill(node, down_ms);
    }
    let restart = WorkerRestart {
        down_ms: 700,
        ..AT_ONCE
    };
    restart_all(&mut world, restart);
    let until = world.now_ms + 4_000;
    world.run_until(until);
    submit(&mut world, 60..100, 100);
    world.run_until(90_000);
    assert_all_done(&world, 99);
}

/// Guards against all of these together, mixed with lost leaders, slow and absent tables, late
/// orders and cut connections.
#[test]
fn drawn_series_of_restarts_break_no_rule() {
    for seed in 1..9 {
        let report = run_restart_episode(seed, None);
        assert_eq!(report.breaches, [], "seed {seed}");
        let restarts = report.restarts.count;
        assert!(restarts > 10, "seed {seed}: {restarts}");
    }
}

/// Guards against drawn restarts that are seldom or never followed by a cut, with a leader lost before, between or after.
#[test]
fn drawn_restarts_are_followed_by_cuts_and_lost_leaders_at_all_moments() {
    let mut played: BTreeMap<(Option<LossMoment>, bool), u64> = BTreeMap::new();
    for seed in 1..=DRAWN_WORLDS {
        for (cut, count) in run_restart_episode(seed, None).restarts.cuts {
            let moment = cut.loss.map(|(_, moment)| moment);
            *played.entry((moment, cut.twice)).or_default() += count;
        }
    }
    let losses = LossMoment::ALL.into_iter().map(Some);
    for moment in losses.chain([None]) {
        for twice in [false, true] {
            let count = played.get(&(moment, twice)).copied().unwrap_or(0);
            println!("{moment:?}, twice: {twice}: {count}");
            assert!(
                count * WORLDS_PER_CUT >= DRAWN_WORLDS,
                "{moment:?}, twice: {twice}: {played:?}"
            );
        }
    }
}

/// Guards against a healthy job that is given up for restarts which it did not bring about.
#[test]
fn no_healthy_job_is_given_up_while_workers_start_again_in_series() {
    let report = run_restart_episode(29_261, None);
    assert_eq!(report.breaches, []);
}

/// A site that is busy but for one worker, under which a healthy task starts and which restarts each time some
/// time after that.
fn restarts_under_each_start(after_ms: u64) -> SiteWorld {
    let mut world = site(1);
    let first = addresses(&world)[0].clone();
    for job in 1..(4 * WORKERS as JobId + 1) {
        world.work_ms.insert(job, 30_000);
        world.submit(job_of(job, QUEUE, &[1], false));
    }
    let until = world.now_ms + 1_000;
    world.run_until(until);
    let ended = world.workers[&first]
        .as_ref()
        .map(|worker| worker.runs().len());
    assert_eq!(ended, Some(4));
    world.restart_worker(&first, AT_ONCE);
    let healthy: JobId = 900;
    world.work_ms.insert(healthy, 2_000);
    world.submit(job_of(healthy, URGENT_QUEUE, &[1], false));
    let mut restarted = 0;
    while world.now_ms < 30_000 {
        let until = world.now_ms + 5;
        world.run_until(until);
        let worker = world.workers[&first].as_ref();
        let runs = worker.map(|worker| worker.runs());
        let began = runs.is_some_and(|runs| runs.keys().any(|task| task.step.job == healthy));
        if began && world.rules.starts > restarted {
            restarted = world.rules.starts;
            world.restart_worker_at(world.now_ms + after_ms, &first, AT_ONCE);
        }
    }
    world.run_until(60_000);
    world
}

/// Guards against a healthy job that is given up for a worker which restarts under each of its trials.
#[test]
fn a_healthy_job_is_not_given_up_for_the_restarts_of_one_worker() {
    for after_ms in (50..1_000).step_by(50) {
        let world = restarts_under_each_start(after_ms);
        assert_kept(&world);
        assert_eq!(
            world.shown.get(&900),
            Some(&JobState::Succeeded),
            "after {after_ms} ms"
        );
    }
}

/// The same in a series with other troubles.
#[test]
fn no_healthy_job_is_given_up_while_workers_start_again_beside_other_troubles() {
    assert_eq!(run_restart_episode(71_136, None).breaches, []);
}

/// Guards against an instance that stays some versions of the configuration behind.
#[test]
fn each_instance_has_the_configuration_in_force_in_time_while_workers_start_again() {
    assert_eq!(run_restart_episode(71_132, None).breaches, []);
}

/// A leader pauses at a moment of a start, another one leads, and all workers are restarted just before the
/// first one goes on.
fn worlds_of_a_paused_leader(
    broken: Option<SiteGuard>,
    orders_reach_any_process: bool,
) -> Vec<SiteWorld> {
    let mut worlds = Vec::new();
    for freeze_after_ms in 1..24 {
        for before_ms in [1, 2, 4] {
            let mut world = site_with(freeze_after_ms, None, broken);
            world.orders_reach_any_process = orders_reach_any_process;
            world.work_ms.insert(1, 150);
            world.submit(job_of(1, QUEUE, &[2], false));
            let until = world.now_ms + freeze_after_ms;
            world.run_until(until);
            let leader = world.leader().expect("an instance leads");
            let ends_at = world.now_ms + PAUSE_MS;
            world.freeze(leader, PAUSE_MS);
            world.run_until(ends_at - before_ms);
            restart_all(&mut world, WorkerRestart::default());
            let until = world.now_ms + 15_000;
            world.run_until(until);
            worlds.push(world);
        }
    }
    worlds
}

/// Guards against a leader that was paused and sends an order which a restarted worker accepts, though the
/// run has ended under the next leader. Either of two mechanisms prevents it: the leader confirms that it leads,
/// and the link sends the order to the process that it is for.
#[test]
fn a_leader_that_was_paused_sends_no_start_before_it_knows_that_it_leads() {
    let guard = Some(SiteGuard::ConfirmedStart);
    for (broken, any_process) in [(None, false), (None, true), (guard, false)] {
        for world in worlds_of_a_paused_leader(broken, any_process) {
            assert_kept(&world);
        }
    }
    let unguarded = worlds_of_a_paused_leader(guard, true);
    let twice = |world: &SiteWorld| {
        world
            .rules
            .breaches
            .iter()
            .any(|breach| breach.rule == "TWICE")
    };
    assert!(
        unguarded.iter().any(twice),
        "nothing notices that the guard is gone"
    );
}

/// Guards against the same in a drawn world.
#[test]
fn no_run_starts_again_after_its_good_end_in_a_drawn_world() {
    assert_eq!(run_restart_episode(870_085, None).breaches, []);
}

/// Guards against an order that asks a restarted worker for a lease as long as a leader has to wait for it, which a
/// successor does not assume: the worker's answers are lost, and the order is repeated.
#[test]
fn an_order_repeated_to_a_restarted_worker_asks_for_no_longer_lease() {
    for wait_ms in (1_000..2_400).step_by(100) {
        let mut world = SiteWorld::with_hold_limit(plan_of(1, WORKERS), 10_000);
        world.run_until(1_000);
        submit(&mut world, 1..20, 50);
        restart_all(&mut world, AT_ONCE);
        let until = world.now_ms + 200;
        world.run_until(until);
        world.late_orders_percent = 100;
        submit(&mut world, 20..40, 5);
        world.lost_looks_percent = 100;
        let until = world.now_ms + wait_ms;
        world.run_until(until);
        world.late_orders_percent = 0;
        let until = world.now_ms + 400;
        world.run_until(until);
        world.lost_looks_percent = 0;
        world.run_until(60_000);
        assert_kept(&world);
    }
}
