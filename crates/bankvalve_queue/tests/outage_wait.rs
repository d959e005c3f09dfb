//! Which submits wait for the table, for how long, and in which order they are sent.

use std::time::Duration;

use bankvalve_queue::{HoldDecision, HoldTerms, OutageForecast, OutageWait};

const fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// A submit that has just arrived, whose caller gets its answer after 2,550 ms.
fn arrived(now: Duration, slack: u64) -> HoldTerms {
    HoldTerms {
        arrived_at: now,
        answer_due: now + ms(2_550),
        latest_start: Some(now + ms(slack)),
        urgent: false,
        bytes: 500,
    }
}

/// A wait in an outage that has lasted for some time at `now`.
fn wait_after(now: Duration, lasted: u64) -> OutageWait {
    let mut wait = OutageWait::default();
    wait.update(now, Some(now - ms(lasted)));
    wait
}

#[test]
fn a_job_is_held_only_once_the_outage_is_likely_to_end_in_time() {
    // Held too early, nearly all requests would be refused late.
    let now = ms(100_000);
    for (lasted, held) in [(0, false), (1_500, false), (2_600, true), (6_500, true)] {
        let decision = wait_after(now, lasted).consider(now, 1, arrived(now, 8_000));
        assert_eq!(decision == HoldDecision::Hold, held, "after {lasted} ms");
    }
}

#[test]
fn a_job_with_little_slack_is_refused_at_once_until_the_outage_is_almost_over() {
    // Urgent jobs would lose all of their value while they wait.
    let now = ms(100_000);
    for (lasted, held) in [(2_600, false), (4_500, false), (6_400, true)] {
        let decision = wait_after(now, lasted).consider(now, 1, arrived(now, 750));
        assert_eq!(decision == HoldDecision::Hold, held, "after {lasted} ms");
    }
}

#[test]
fn nothing_is_held_in_an_outage_longer_than_all_known_ones() {
    // Such an outage gives no reason to expect its end.
    let now = ms(100_000);
    let mut wait = wait_after(now, 7_100);
    let decision = wait.consider(now, 1, arrived(now, 8_000));
    assert!(matches!(decision, HoldDecision::Refuse { .. }));
    assert!(wait.is_empty());
}

#[test]
fn nothing_is_held_without_an_outage() {
    let now = ms(100_000);
    let mut wait = OutageWait::default();
    let decision = wait.consider(now, 1, arrived(now, 8_000));
    assert!(matches!(decision, HoldDecision::Refuse { .. }));
}

#[test]
fn outages_that_were_seen_change_the_forecast() {
    let mut forecast = OutageForecast::default();
    assert!(!forecast.ends_within(ms(100), ms(2_400)));
    for _ in 0..12 {
        forecast.record(ms(1_200));
    }
    assert!(forecast.ends_within(ms(100), ms(2_400)));
    // One that is longer than these is again judged by the initial lengths.
    assert!(!forecast.ends_within(ms(1_300), ms(2_400)));
    // Old ones are forgotten.
    for _ in 0..16 {
        forecast.record(ms(9_000));
    }
    assert!(!forecast.ends_within(ms(4_000), ms(2_400)));
    assert!(forecast.ends_within(ms(7_500), ms(2_400)));
}

#[test]
fn an_outage_that_ends_is_recorded_with_its_length() {
    let mut wait = wait_after(ms(100_000), 500);
    assert_eq!(wait.update(ms(100_700), Some(ms(99_500))), None);
    assert_eq!(wait.update(ms(101_000), None), Some(ms(1_500)));
    assert_eq!(wait.update(ms(101_100), None), None);
}

#[test]
fn a_refused_caller_is_told_to_come_back_when_it_would_be_held() {
    let now = ms(100_000);
    let HoldDecision::Refuse { retry, .. } =
        wait_after(now, 0).consider(now, 1, arrived(now, 8_000))
    else {
        panic!("it is held");
    };
    let later = now + retry;
    let decision =
        wait_after(later, retry.as_millis() as u64).consider(later, 2, arrived(later, 8_000));
    assert_eq!(decision, HoldDecision::Hold, "after {retry:?}");
}

#[test]
fn a_wait_ends_in_time_for_a_final_answer_or_with_the_slack() {
    let now = ms(100_000);
    let mut wait = wait_after(now, 6_000);
    wait.consider(now, 1, arrived(now, 8_000));
    wait.consider(now, 2, arrived(now, 1_500));
    assert_eq!(wait.overdue(now + ms(1_499)), []);
    assert_eq!(wait.overdue(now + ms(1_500)), [2]);
    assert_eq!(wait.overdue(now + ms(2_400)), [1, 2]);
}

#[test]
fn held_requests_are_sent_urgent_first_then_by_latest_start() {
    let now = ms(100_000);
    let mut wait = wait_after(now, 6_400);
    let lasting = HoldTerms {
        latest_start: None,
        ..arrived(now, 0)
    };
    let urgent = HoldTerms {
        urgent: true,
        ..arrived(now, 2_000)
    };
    for (ticket, terms) in [
        (1, lasting),
        (2, arrived(now, 8_000)),
        (3, arrived(now, 4_000)),
        (4, urgent),
    ] {
        assert_eq!(wait.consider(now, ticket, terms), HoldDecision::Hold);
    }
    assert_eq!(wait.release_all(now), [4, 3, 2, 1]);
    assert!(wait.is_empty());
}

#[test]
fn the_number_of_held_requests_is_bounded() {
    // Without a bound, a long queue of callers would fill the memory of a small instance.
    let now = ms(100_000);
    let mut wait = wait_after(now, 4_000);
    let held = (0..1_500)
        .filter(|ticket| wait.consider(now, *ticket, arrived(now, 8_000)) == HoldDecision::Hold);
    assert_eq!(held.count(), 1_000);
    wait.release(now, 3);
    let decision = wait.consider(now, 2_000, arrived(now, 8_000));
    assert_eq!(decision, HoldDecision::Hold);
}

#[test]
fn the_bytes_of_held_jobs_are_bounded() {
    let now = ms(100_000);
    let mut wait = wait_after(now, 4_000);
    let large = HoldTerms {
        bytes: 48 * 1024,
        ..arrived(now, 8_000)
    };
    let decisions: Vec<_> = (0..200)
        .map(|ticket| wait.consider(now, ticket, large))
        .collect();
    let held = decisions
        .iter()
        .filter(|decision| **decision == HoldDecision::Hold);
    assert_eq!(held.count(), 170);
    assert!(matches!(
        decisions[170],
        HoldDecision::Refuse { full: true, .. }
    ));
    // All of their memory is free again afterwards.
    wait.release_all(now);
    assert_eq!(wait.consider(now, 300, large), HoldDecision::Hold);
}

#[test]
fn callers_with_long_timeouts_do_not_wait_through_a_long_outage() {
    // An outage that is much longer than all known ones may last for minutes.
    let now = ms(100_000);
    let mut wait = wait_after(now, 4_000);
    let patient = HoldTerms {
        answer_due: now + ms(51_000),
        ..arrived(now, 60_000)
    };
    assert_eq!(wait.consider(now, 1, patient), HoldDecision::Hold);
    assert_eq!(wait.overdue(now + ms(4_500)), []);
    assert_eq!(wait.overdue(now + ms(4_600)), [1]);
}
