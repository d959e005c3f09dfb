//! Tasks that last whose workers are lost: permits and room for them, among short work in plenty.
//!
//! Seen: two fifths of the workers had gone, then the table was away for six seconds. When it was back,
//! the runs had been given up for long, and their tasks still waited for 17 s: for permits, asked for one
//! or two workers at a time, 0.6 s and more each, and then for room, which short runs had by then.

use bankvalve_check::site::{job_of, SitePlan, SiteWorld, QUEUE, URGENT_QUEUE};
use bankvalve_queue::{AdviceRule, JobId, SiteGuard};

use crate::assert_kept;

/// What the policy service takes for an answer about tasks that last, as by a customer's sheet.
const SLOW_POLICY: AdviceRule = AdviceRule {
    decide_ms: 560.0,
    each_ms: 8.0,
    valid_ms: 2_000,
};
/// The same about short work.
const QUICK_POLICY: AdviceRule = AdviceRule {
    decide_ms: 13.0,
    each_ms: 0.2,
    valid_ms: 2_000,
};
/// Share of workers that may run a step, in percent.
const GOOD_PERCENT: u64 = 30;
/// Longest hold on the users' sites, in milliseconds.
const HOLD_LIMIT_MS: u64 = 10_000;
/// Entry instances and workers.
const ENTRIES: usize = 12;
const WORKERS: usize = 40;
/// Jobs whose tasks last, and the tasks of each.
const LASTING_JOBS: JobId = 6;
const LASTING_TASKS: u32 = 3;
/// Processor of a task that lasts, in millicores; one of a short job takes a core.
const LASTING_MILLICORES: u64 = 1_500;
/// When short jobs begin to come, and the time from one to the next, in milliseconds.
const SHORT_FROM: u64 = 12_000;
const PACE_MS: u64 = 50;
/// Tasks of each that take just all the room that is left in the end.
const FULL: u32 = 4;
/// Tasks of each that take more than all.
const OVERFULL: u32 = 6;
/// Seeds that are played.
const SEEDS: std::ops::Range<u64> = 1..25;
/// When workers are lost for good, in milliseconds, and one of how many: two fifths in all.
const LOST: [(u64, usize); 2] = [(20_000, 4), (21_500, 5)];
/// When the table goes away after that, and for how long, in milliseconds.
const TABLE_AWAY_AT: u64 = 25_000;
const TABLE_AWAY_MS: u64 = 6_000;
/// Time for which a killed leader is down, in milliseconds.
const LEADER_DOWN_MS: u64 = 1_000;
/// End of the run, in milliseconds.
const END_MS: u64 = 50_000;
/// Longest for which a task may be away, and for how long after the last trouble, in milliseconds: the
/// users' rule.
const AWAY_MS: u64 = 9_000;
const CALM_MS: u64 = 7_000;

/// What is lost besides two fifths of the workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Beside {
    /// Nothing.
    Nothing,
    /// The leader, with the second loss of workers.
    Leader,

    /// The table, for some seconds.
    Table,
}

/// What is played.
#[derive(Clone, Copy, Debug)]
struct Play {
    seed: u64,
    beside: Beside,
    /// Tasks of each short job.
    short_tasks: u32,
    /// Guard that all instances lack.
    broken: Option<SiteGuard>,
}

/// A site on which tasks that last run, and nothing else yet.
fn lasting_world(play: Play) -> SiteWorld {
    let plan = SitePlan {
        seed: play.seed,
        entries: ENTRIES,
        strengths: Vec::new(),
        broken: play.broken,
        without: None,
        workers: WORKERS,
        good_percent: Some(GOOD_PERCENT),
    };
    let mut world = SiteWorld::with_hold_limit(plan, HOLD_LIMIT_MS);
    world.looks_wait = true;
    world.slow_advice = Some(SLOW_POLICY);
    world.urgent_advice = Some(QUICK_POLICY);
    world.configure(2);
    world.run_until(2_000);
    for job in 1..=LASTING_JOBS {
        let mut spec = job_of(job, QUEUE, &[LASTING_TASKS], false);
        spec.steps[0].lasting = true;
        spec.steps[0].per_worker_limit = 1;
        spec.steps[0].size.millicores = LASTING_MILLICORES;
        world.submit(spec);
    }
    world.run_until(SHORT_FROM);
    world
}

/// Loses one of so many workers that are up, for good.
fn lose_workers(world: &mut SiteWorld, first: usize, one_of: usize) {
    let up = world.workers.iter().filter(|(_, worker)| worker.is_some());
    let up: Vec<String> = up.map(|(address, _)| address.clone()).collect();
    for address in up.iter().skip(first % one_of).step_by(one_of) {
        world.lose_worker(address, false);
    }
}

/// Plays losses of workers among short jobs; tells how long tasks that last were away at most, in
/// milliseconds, and how many of them for longer than the users allow.
fn away_among_short_work(play: Play) -> (u64, usize) {
    let mut world = lasting_world(play);
    let mut trouble_at = 0;
    let mut job = 1_000;
    while world.now_ms < END_MS {
        job += 1;
        world.submit(job_of(job, URGENT_QUEUE, &[play.short_tasks], false));
        let until = world.now_ms + PACE_MS;
        world.run_until(until);
        let now = world.now_ms;
        for (_, one_of) in LOST.iter().filter(|(at, _)| *at == now) {
            lose_workers(&mut world, play.seed as usize, *one_of);
            trouble_at = now;
        }
        if now == LOST[1].0 && play.beside == Beside::Leader {
            let leader = world.leader().expect("an instance leads");
            world.kill(leader, LEADER_DOWN_MS);
            trouble_at = now + LEADER_DOWN_MS;
        }
        if now == TABLE_AWAY_AT && play.beside == Beside::Table {
            world.store_silent = true;
            world.store_away_until = now + TABLE_AWAY_MS;
            trouble_at = world.store_away_until;
        }
    }
    let mut spans = world.lasting.all_spans();
    // Workers must be left that may run all tasks of the step, and one of them twice over, as by the
    // users' rule.
    let able = |task| world.able_workers(task) > LASTING_TASKS as usize + 1;
    spans.retain(|span| span.from_ms >= LOST[0].0 && able(span.task));
    assert!(!spans.is_empty(), "{play:?}: nothing that lasts was lost");
    let until = |until_ms: Option<u64>| until_ms.unwrap_or(END_MS);
    let late = spans.iter().filter(|span| {
        let due = (span.from_ms + AWAY_MS).max(trouble_at + CALM_MS);
        until(span.until_ms) > due
    });
    let late = late.count();
    let away = spans.iter().map(|span| until(span.until_ms) - span.from_ms);
    let away_ms = away.max().unwrap_or(0);
    println!(
        "{play:?}: {} tasks away, {late} for too long, {away_ms} ms at most",
        spans.len()
    );
    if late == 0 {
        assert_kept(&world);
    }
    (away_ms, late)
}

/// Asserts that no task is away for longer than the users allow.
fn assert_back_in_time(beside: Beside, short_tasks: u32) {
    let mut longest = 0;
    let mut late = 0;
    for seed in SEEDS {
        let play = Play {
            seed,
            beside,
            short_tasks,
            broken: None,
        };
        let (away_ms, late_tasks) = away_among_short_work(play);
        longest = longest.max(away_ms);
        late += late_tasks;
    }
    assert_eq!(late, 0, "away for too long, up to {longest} ms");
}

#[test]
fn a_task_that_lasts_is_back_in_time_among_short_work_though_the_table_was_away() {
    assert_back_in_time(Beside::Table, FULL);
}

#[test]
fn a_task_that_lasts_is_back_in_time_among_more_short_work_than_there_is_room_for() {
    assert_back_in_time(Beside::Table, OVERFULL);
}

#[test]
fn a_task_that_lasts_is_back_in_time_among_short_work_though_many_workers_are_lost() {
    assert_back_in_time(Beside::Nothing, FULL);
    assert_back_in_time(Beside::Nothing, OVERFULL);
}

#[test]
fn a_task_that_lasts_is_back_in_time_among_short_work_though_the_leader_is_lost_as_well() {
    assert_back_in_time(Beside::Leader, FULL);
    assert_back_in_time(Beside::Leader, OVERFULL);
}

#[test]
fn that_nothing_is_at_hand_for_a_task_that_lasts_is_noticed() {
    let late = |beside: Beside| -> usize {
        let plays = (1..4).map(|seed| Play {
            seed,
            beside,
            short_tasks: FULL,
            broken: Some(SiteGuard::ReadyReturn),
        });
        plays.map(|play| away_among_short_work(play).1).sum()
    };
    assert!(late(Beside::Nothing) > 0);
    assert!(late(Beside::Table) > 0);
}

/// Guards against a policy service of the virtual site that lets any number of questions wait.
#[test]
fn questions_that_the_policy_service_turns_away_are_asked_again() {
    let plan = SitePlan {
        good_percent: Some(90),
        ..crate::plan_of(1, 40)
    };
    let mut world = SiteWorld::new(plan);
    world.slow_advice = Some(AdviceRule {
        decide_ms: 20.0,
        each_ms: 0.2,
        valid_ms: 1_500,
    });
    world.configure(2);
    world.run_until(2_000);
    for job in 1..400 {
        world.submit(job_of(job, QUEUE, &[1], false));
    }
    world.run_until(60_000);
    assert!(world.advice_refusals > 0);
    assert_eq!(world.shown.len(), 399);
    assert_kept(&world);
}
