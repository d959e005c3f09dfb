//! Long-running tasks whose workers leave while instances are rolled: how long they are down, by the number of
//! planned changes of leader.

use std::collections::BTreeMap;
use std::sync::LazyLock;

use bankvalve_check::site::RuleBreach;
use bankvalve_queue::AdviceRule;

use crate::rolling_site::{
    downtimes, AdviserFate, Departure, Downtimes, Play, BACK_MS, SLOW_POLICY,
};

/// Advice that takes 0.3 s and 3 s for a request about 35 workers.
const QUICKER_POLICY: AdviceRule = AdviceRule {
    decide_ms: 230.0,
    each_ms: 2.0,
    ..SLOW_POLICY
};
const SLOWEST_POLICY: AdviceRule = AdviceRule {
    decide_ms: 2_300.0,
    each_ms: 20.0,
    ..SLOW_POLICY
};
/// Time until an address is used again, in milliseconds, and one after each play.
const REUSED_MS: u64 = 2_000;
const NEVER_MS: u64 = 100_000;
/// Most planned changes of leader.
const MAX_CHANGES: u64 = 5;
/// Longest downtime, in milliseconds: the users allow six seconds after the last run, and three in which it is
/// watched.
const MAX_DOWN_MS: u64 = 9_000;
/// The same after an announced departure.
const ANNOUNCED_MS: u64 = 2_000;
/// How much longer it may be with changes of leader than without, in milliseconds.
const MAX_GROWTH_MS: u64 = 1_000;
/// Time after the last unplanned loss before which a longer one is allowed, in milliseconds: four seconds, and
/// three in which the task is watched.
const CALM_MS: u64 = 7_000;
/// Times from one instance to the next if all are rolled in turn, in milliseconds.
const ROLL_GAPS_MS: [u64; 3] = [1_000, 1_500, 3_000];
/// For each seed: distance and offset of the changes of leader, advice, lease limit, and the time until an address
/// is used again.
const SWEPT: [(u64, i64, AdviceRule, u64, u64); 4] = [
    (1_000, -2_000, SLOW_POLICY, 6_000, NEVER_MS),
    (2_000, 0, SLOW_POLICY, 10_000, REUSED_MS),
    (0, 1_000, SLOWEST_POLICY, 6_000, REUSED_MS),
    (3_000, -1_000, QUICKER_POLICY, 10_000, NEVER_MS),
];

/// Downtimes by number of planned changes of leader.
type Sweep = BTreeMap<u64, Downtimes>;

static ANNOUNCED: LazyLock<Sweep> = LazyLock::new(|| sweep(Departure::Announced));
static UNANNOUNCED: LazyLock<Sweep> = LazyLock::new(|| sweep(Departure::Unannounced));
static CRASHES: LazyLock<Sweep> = LazyLock::new(|| sweep(Departure::Crash));
static CRASHES_OF_SOUND: LazyLock<Downtimes> =
    LazyLock::new(|| downtimes_by_fate(AdviserFate::Sound));

fn sweep(departure: Departure) -> Sweep {
    let mut sweep = Sweep::new();
    for changes in 0..=MAX_CHANGES {
        let times = played(|seed| Play {
            changes,
            ..swept(seed, departure)
        });
        println!("{departure:?}, {changes} changes: {}", times.figures());
        sweep.insert(changes, times);
    }
    sweep
}

/// Returns a play without changes of leader.
fn swept(seed: u64, departure: Departure) -> Play {
    let (distance_ms, offset_ms, policy, lease_limit_ms, replaced_ms) = SWEPT[seed as usize - 1];
    Play {
        seed,
        departure,
        changes: 0,
        planned: true,
        distance_ms,
        offset_ms,
        roll_gap_ms: None,
        fate: AdviserFate::Sound,
        policy,
        lease_limit_ms,
        replaced_ms,
    }
}

/// Returns the downtimes of a play on all seeds.
fn played(play: impl Fn(u64) -> Play) -> Downtimes {
    let mut times = Downtimes::default();
    for seed in 1..=SWEPT.len() as u64 {
        let of_seed = downtimes(&play(seed));
        println!("seed {seed}: {}", of_seed.figures());
        times.add(of_seed);
    }
    times
}

/// Asserts that the downtime, by a measure of it, does not grow with the number of changes of leader.
fn assert_flat(sweep: &Sweep, measure: fn(&Downtimes) -> u64) {
    let by_changes: Vec<u64> = sweep.values().map(measure).collect();
    let limit = by_changes[0] + MAX_GROWTH_MS;
    assert!(
        by_changes.iter().all(|time| *time <= limit),
        "{by_changes:?}"
    );
}

fn assert_within(sweep: &Sweep, limit_ms: u64) {
    let breaches: Vec<&RuleBreach> = sweep.values().flat_map(|times| &times.breaches).collect();
    let by_changes: Vec<u64> = sweep.values().map(Downtimes::longest).collect();
    assert!(
        by_changes.iter().all(|time| *time <= limit_ms),
        "{by_changes:?}"
    );
    assert!(breaches.is_empty(), "{breaches:?}");
}

/// Guards against a departure that was announced in time and is not used until the worker has ended.
#[test]
fn announced_departures_keep_long_running_tasks_down_for_less_than_two_seconds() {
    assert_within(&ANNOUNCED, ANNOUNCED_MS);
}

/// Guards against a task on a leaving worker whose only permit is too old for a stop and a start, but not renewed as
/// long as it would do for a start alone.
#[test]
fn long_running_tasks_move_within_a_short_notice() {
    for seed in 11..=18 {
        let times = downtimes(&Play {
            seed,
            ..swept(4, Departure::Unannounced)
        });
        assert!(
            times.longest() <= ANNOUNCED_MS,
            "seed {seed}: {}",
            times.figures()
        );
    }
}

/// Guards against long-running tasks that are down for too long while instances are rolled.
#[test]
fn long_running_tasks_are_back_in_time_after_announced_departures() {
    assert_within(&ANNOUNCED, MAX_DOWN_MS);
}

/// The same without announcement.
#[test]
fn long_running_tasks_are_back_in_time_after_unannounced_departures() {
    assert_within(&UNANNOUNCED, MAX_DOWN_MS);
}

/// The same after crashes.
#[test]
fn long_running_tasks_are_back_in_time_after_crashes() {
    assert_within(&CRASHES, MAX_DOWN_MS);
}

/// Guards against answers and requests for advice that are lost with each leader.
#[test]
fn changes_of_leader_do_not_prolong_downtimes_after_announced_departures() {
    assert_flat(&ANNOUNCED, Downtimes::mean);
    assert_flat(&ANNOUNCED, Downtimes::longest);
}

/// The same without announcement.
#[test]
fn changes_of_leader_do_not_prolong_downtimes_after_unannounced_departures() {
    assert_flat(&UNANNOUNCED, Downtimes::mean);
    assert_flat(&UNANNOUNCED, Downtimes::longest);
}

/// The same after crashes.
#[test]
fn changes_of_leader_do_not_prolong_downtimes_after_crashes() {
    assert_flat(&CRASHES, Downtimes::mean);
    assert_flat(&CRASHES, Downtimes::longest);
}

/// The same on further seeds, with advice that takes 3 s.
#[test]
fn changes_of_leader_do_not_prolong_downtimes_after_crashes_with_slow_advice() {
    let mut sweep = Sweep::new();
    for changes in 0..=MAX_CHANGES {
        let mut times = Downtimes::default();
        for seed in 11..=18 {
            times.add(downtimes(&Play {
                seed,
                changes,
                ..swept(3, Departure::Crash)
            }));
        }
        println!("Crash, slow advice, {changes} changes: {}", times.figures());
        sweep.insert(changes, times);
    }
    assert_flat(&sweep, Downtimes::mean);
    assert_flat(&sweep, Downtimes::longest);
}

/// Returns the downtimes after crashes if an adviser meets its fate.
fn downtimes_by_fate(fate: AdviserFate) -> Downtimes {
    played(|seed| Play {
        fate,
        replaced_ms: REUSED_MS,
        ..swept(seed, Departure::Crash)
    })
}

/// Asserts that the fate of an adviser costs no more than a request that is sent again.
fn assert_harmless(fate: AdviserFate) {
    let sound = CRASHES_OF_SOUND.longest();
    let time = downtimes_by_fate(fate).longest();
    assert!(
        time <= sound + MAX_GROWTH_MS,
        "{time} ms, {sound} ms if it is sound"
    );
}

/// Guards against a request for advice that is lost because its adviser is stopped as planned.
#[test]
fn an_adviser_that_leaves_does_not_prolong_downtimes() {
    assert_harmless(AdviserFate::Leaving);
}

/// Guards against a request for advice to a former process of an instance, for whose answer the leader waits.
#[test]
fn an_adviser_that_starts_again_does_not_prolong_downtimes() {
    assert_harmless(AdviserFate::Started);
}

/// Guards against a request for advice to a killed instance, for whose answer the leader waits.
#[test]
fn an_adviser_that_is_killed_does_not_prolong_downtimes() {
    assert_harmless(AdviserFate::Gone);
}

/// Guards against long-running tasks that are down for too long because each leader is killed with the requests
/// for advice that it waits for.
#[test]
fn long_running_tasks_are_back_in_time_though_leaders_are_killed_during_requests() {
    for changes in [1, 2] {
        let times = played(|seed| Play {
            changes,
            planned: false,
            distance_ms: 500,
            offset_ms: 300,
            ..swept(seed, Departure::Crash)
        });
        let last_trouble_ms = 300 + (changes - 1) * 500 + BACK_MS;
        let limit_ms = MAX_DOWN_MS.max(last_trouble_ms + CALM_MS);
        assert!(
            times.longest() <= limit_ms,
            "{changes}: {}",
            times.figures()
        );
        assert_eq!(times.breaches, [], "{changes}");
    }
}

/// Asserts that long-running tasks are back in time while all instances are rolled in turn.
fn assert_rolled_in_time(departure: Departure) {
    let mut by_gap = Sweep::new();
    for gap_ms in ROLL_GAPS_MS {
        let times = played(|seed| Play {
            roll_gap_ms: Some(gap_ms),
            ..swept(seed, departure)
        });
        println!(
            "{departure:?}, rolled each {gap_ms} ms: {}",
            times.figures()
        );
        by_gap.insert(gap_ms, times);
    }
    assert_within(&by_gap, MAX_DOWN_MS);
}

/// Guards against requests that are lost one after the other because each instance is stopped in its turn.
#[test]
fn long_running_tasks_are_back_in_time_after_announced_departures_while_all_instances_are_rolled() {
    assert_rolled_in_time(Departure::Announced);
}

/// The same without announcement.
#[test]
fn long_running_tasks_are_back_in_time_after_unannounced_departures_while_all_instances_are_rolled()
{
    assert_rolled_in_time(Departure::Unannounced);
}

/// The same after crashes.
#[test]
fn long_running_tasks_are_back_in_time_after_crashes_while_all_instances_are_rolled() {
    assert_rolled_in_time(Departure::Crash);
}
