//! Tests of the plan of capacity: when a worker has room, how a planned start is reviewed, and what reserved
//! capacity may stand idle.

use std::time::Duration;

use bankvalve_queue::{
    earliest_on_all, CapacityProfile, CoreTime, IdleReserve, PlanReview, PlannedStart,
    ReplanReason, TaskSize,
};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn cores(cores: u64) -> TaskSize {
    TaskSize {
        millicores: cores * 1_000,
        ..TaskSize::default()
    }
}

/// Returns a start that was planned at `now` on one worker.
fn start_after(now: CoreTime, after: Duration) -> PlannedStart {
    PlannedStart::new(now, after, vec![("w-1".into(), 2)])
}

#[test]
fn capacity_is_free_once_enough_runs_have_ended() {
    let ends = [
        (ms(800), cores(3)),
        (ms(200), cores(1)),
        (ms(500), cores(2)),
    ];
    let profile = CapacityProfile::new(cores(1), ends);
    assert_eq!(profile.earliest(&cores(1)), Some(ms(0)));
    assert_eq!(profile.earliest(&cores(2)), Some(ms(200)));
    assert_eq!(profile.earliest(&cores(4)), Some(ms(500)));
    assert_eq!(profile.earliest(&cores(7)), Some(ms(800)));
    assert_eq!(profile.earliest(&cores(8)), None);
}

#[test]
fn memory_is_waited_for_as_cpu_is() {
    let memory = |memory_mib| TaskSize {
        memory_mib,
        ..cores(1)
    };
    let profile = CapacityProfile::new(cores(4), [(ms(300), memory(500))]);
    assert_eq!(profile.earliest(&memory(500)), Some(ms(300)));
    assert_eq!(profile.earliest(&memory(501)), None);
}

#[test]
fn a_gang_waits_for_the_last_of_its_workers() {
    let soon = CapacityProfile::new(cores(0), [(ms(100), cores(2))]);
    let late = CapacityProfile::new(cores(0), [(ms(900), cores(2))]);
    let wanted = cores(2);
    let all = earliest_on_all([(&soon, &wanted), (&late, &wanted)]);
    assert_eq!(all, Some(ms(900)));
    let too_much = cores(3);
    assert_eq!(
        earliest_on_all([(&soon, &wanted), (&late, &too_much)]),
        None
    );
}

/// Guards against reservations that are given up shortly before their capacity is free, because the run that
/// takes it exceeds its estimate.
#[test]
fn a_start_is_kept_while_its_capacity_comes_nearer() {
    let mut start = start_after(ms(1_000), ms(500));
    // Each second that passes brings the capacity only half a second nearer.
    for step in 0..8 {
        let now = ms(1_400 + step * 400);
        let left = ms(400 - step * 40);
        let review = start.review(now, Some(left));
        assert!(
            !matches!(review, PlanReview::Replan(_)),
            "{now:?}: {review:?}"
        );
        assert!(start.until > now + left);
    }
}

/// Guards against capacity that stays reserved behind a run that never ends.
#[test]
fn a_start_whose_capacity_comes_no_nearer_is_planned_again() {
    for left in [ms(600), ms(0)] {
        assert_replanned_if_left_stays(left);
    }
}

fn assert_replanned_if_left_stays(left: Duration) {
    let mut start = start_after(ms(1_000), ms(500));
    let mut now = ms(1_100);
    let replanned_at = loop {
        match start.review(now, Some(left)) {
            PlanReview::Replan(reason) => {
                assert_eq!(reason, ReplanReason::Stalled);
                break now;
            }
            _ => now += ms(100),
        }
        assert!(now < ms(10_000), "the start is never planned again");
    };
    assert!(replanned_at <= ms(4_500), "only after {replanned_at:?}");
}

#[test]
fn a_start_with_a_lost_worker_is_planned_again() {
    let mut start = start_after(ms(1_000), ms(500));
    let review = start.review(ms(1_200), None);
    assert_eq!(review, PlanReview::Replan(ReplanReason::WorkerUnusable));
}

/// Guards against a plan from before an outage of the table that is taken for a current one.
#[test]
fn a_start_that_has_passed_during_an_outage_is_planned_again() {
    let mut start = start_after(ms(1_000), ms(500));
    let review = start.review(ms(8_000), Some(ms(0)));
    assert_eq!(review, PlanReview::Replan(ReplanReason::Expired));
}

/// Guards against stops long before the start: the capacity would stand idle until then.
#[test]
fn runs_are_stopped_shortly_before_the_start() {
    let start = start_after(ms(1_000), ms(2_000));
    assert!(!start.stops_are_due(ms(1_400)));
    assert!(start.stops_are_due(ms(1_600)));
}

/// Guards against permits that expire before the capacity is free.
#[test]
fn advice_is_requested_so_that_it_is_there_at_the_start() {
    let start = start_after(ms(1_000), ms(2_000));
    assert!(!start.advice_is_due(ms(1_500), ms(900)));
    assert!(start.advice_is_due(ms(2_100), ms(900)));
}

#[test]
fn capacity_stays_reserved_until_permits_are_expected() {
    let mut start = start_after(ms(1_000), ms(100));
    start.await_permits(ms(2_500));
    assert_eq!(start.from, ms(2_500));
    assert!(start.until > ms(2_500));
    let review = start.review(ms(2_400), Some(ms(0)));
    assert_eq!(review, PlanReview::Keep);
}

/// Guards against reservations that leave much of a site idle: 22 claims left a quarter of it unused.
#[test]
fn no_more_is_reserved_while_much_of_it_stands_idle() {
    let mut idle = IdleReserve::new(1_000_000);
    idle.add(100_000);
    assert!(idle.allows_more());
    idle.add(100_000);
    assert!(!idle.allows_more());
    assert_eq!(idle.millicores(), 200_000);
}
