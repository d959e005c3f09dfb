//! Admission credits: which share of a queue's jobs the leader wants to see, and what an instance that callers reach
//! makes of its table.

use std::sync::Arc;
use std::time::Duration;

use bankvalve_queue::{
    AdmissionCredits, CallerAnswer, CallerRequest, CoreAction, CoreEvent, CoreTime, CreditMeter,
    EntryCore, EntrySettings, HeartbeatBody, JobSpec, LedgerBatch, LedgerEvent, PeerAddress,
    PeerMessage, PolicySwitch, QueueCredit, RefusalReason, ResolvedRequest, SiteGuard, StepSpec,
};

const QUEUE: &str = "batches";
const OTHER: &str = "urgent";
const EPOCH: u64 = 4;
/// Time of the last change of the credits and of the heartbeats in these tests, in milliseconds.
const START_MS: u64 = 1_000;

fn address(last: u8) -> PeerAddress {
    PeerAddress::from(([10, 0, 0, last], 7_300))
}

fn millis(ms: u64) -> CoreTime {
    Duration::from_millis(ms)
}

/// Returns the credit of a queue in percent.
fn percent(meter: &CreditMeter, queue: &str) -> u32 {
    let credits = meter.credits();
    let credit = credits.iter().find(|credit| credit.queue == queue);
    credit.map_or(100, |credit| credit.percent)
}

/// Hands in jobs for a second at a rate above what the leader accepts of them, of which the meter's share reaches it.
/// Returns how many reached it.
fn offer(meter: &mut CreditMeter, at_ms: &mut u64, offered: u64, accepted: u64) -> u64 {
    let mut seen = 0;
    for _ in 0..4 {
        let reaching = offered * u64::from(percent(meter, QUEUE)) / 400;
        let taken = reaching.min(accepted / 4);
        (0..taken).for_each(|_| meter.record_accepted(QUEUE));
        (taken..reaching).for_each(|_| meter.record_refused(QUEUE, 3_000));
        meter.record_accepted(OTHER);
        *at_ms += 250;
        meter.update(millis(*at_ms));
        seen += reaching;
    }
    seen
}

/// Guards against a leader that has to refuse each job of a burst by itself.
#[test]
fn the_share_of_a_queue_falls_until_the_leader_refuses_about_half() {
    let (mut meter, mut at_ms) = (CreditMeter::default(), START_MS);
    meter.update(millis(at_ms));
    offer(&mut meter, &mut at_ms, 800, 100);
    let seen = offer(&mut meter, &mut at_ms, 800, 100);
    assert!((110..=400).contains(&seen), "{seen} of 800 jobs seen");
    assert_eq!(percent(&meter, OTHER), 100);
    assert!(meter.credits()[0].retry_ms >= 3_000);
}

/// Guards against credits that refuse jobs after the burst, or while no job is refused by the leader.
#[test]
fn the_share_is_whole_as_soon_as_the_leader_refuses_none() {
    let (mut meter, mut at_ms) = (CreditMeter::default(), START_MS);
    meter.update(millis(at_ms));
    offer(&mut meter, &mut at_ms, 800, 100);
    assert!(percent(&meter, QUEUE) < 50);
    offer(&mut meter, &mut at_ms, 100, 100);
    assert_eq!(meter.credits(), []);
}

/// Guards against a queue of which no job reaches the leader, so that it never learns that it could accept some.
#[test]
fn some_jobs_always_reach_the_leader() {
    let (mut meter, mut at_ms) = (CreditMeter::default(), START_MS);
    meter.update(millis(at_ms));
    for _ in 0..10 {
        offer(&mut meter, &mut at_ms, 8_000, 0);
    }
    assert!(percent(&meter, QUEUE) >= 5);
}

/// Guards against heartbeats that grow with the number of queues.
#[test]
fn a_table_has_at_most_64_queues() {
    let mut meter = CreditMeter::default();
    meter.update(millis(START_MS));
    for queue in 0..100 {
        (0..20).for_each(|_| meter.record_refused(&format!("queue-{queue}"), 500));
    }
    meter.update(millis(START_MS + 250));
    assert_eq!(meter.credits().len(), 64);
}

/// An instance that follows a leader whose heartbeats it gets, without a table.
struct Follower {
    core: EntryCore,
    next_job: u64,
}

impl Follower {
    fn new(broken: Option<SiteGuard>, without: Option<PolicySwitch>) -> Self {
        let settings = EntrySettings {
            broken,
            without,
            ..EntrySettings::example(address(1))
        };
        Self {
            core: EntryCore::new(settings),
            next_job: 1,
        }
    }

    fn step(&mut self, at_ms: u64, event: CoreEvent) -> Vec<CoreAction> {
        self.core.step(millis(at_ms), 1_000 + at_ms, event)
    }

    /// A heartbeat of a leader arrives, with the credits that the leader of another epoch may have calculated.
    fn hear(&mut self, at_ms: u64, leader: u8, epoch: u64, credits: Option<AdmissionCredits>) {
        let body = HeartbeatBody {
            life: 9,
            epoch,
            leader: Some(address(leader)),
            leading: true,
            credits,
            ..HeartbeatBody::default()
        };
        let message = PeerMessage::Heartbeat(body);
        let from = address(leader);
        self.step(at_ms, CoreEvent::Peer { from, message });
    }

    /// A job arrives. Returns the time after which its caller may retry if the credits refuse it.
    fn refused(&mut self, at_ms: u64, queue: &str) -> Option<u64> {
        self.next_job += 1;
        self.refused_again(at_ms, queue, self.next_job)
    }

    fn refused_again(&mut self, at_ms: u64, queue: &str, job: u64) -> Option<u64> {
        let ticket = self.core.new_ticket();
        let request = ResolvedRequest {
            caller: Default::default(),
            request: CallerRequest::Submit {
                spec: Arc::new(job_of(queue, job)),
                terms: Default::default(),
            },
            patience_ms: 3_000,
            table_version: 0,
        };
        let actions = self.step(at_ms, CoreEvent::Caller { ticket, request });
        actions.iter().find_map(|action| match action {
            CoreAction::Answer {
                answer: CallerAnswer::Refused { reason, retry_ms },
                ..
            } if *reason == RefusalReason::Forecast => Some(*retry_ms),
            _ => None,
        })
    }
}

fn job_of(queue: &str, id: u64) -> JobSpec {
    let step = StepSpec {
        count: 1,
        ..StepSpec::default()
    };
    JobSpec {
        id,
        queue: queue.into(),
        steps: vec![step],
        ..JobSpec::default()
    }
}

/// A table that passes a share of the jobs of `QUEUE` on.
fn table(epoch: u64, age_ms: u64, percent: u32) -> Option<AdmissionCredits> {
    let queues = vec![QueueCredit {
        queue: QUEUE.into(),
        percent,
        retry_ms: 4_000,
    }];
    Some(AdmissionCredits {
        epoch,
        age_ms,
        queues,
    })
}

/// Guards against an instance that passes all jobs of a burst on to the leader.
#[test]
fn an_instance_refuses_by_the_leaders_table() {
    let mut follower = Follower::new(None, None);
    follower.hear(START_MS, 2, EPOCH, table(EPOCH, 0, 25));
    let jobs: Vec<Option<u64>> = (0..100)
        .map(|_| follower.refused(START_MS + 10, QUEUE))
        .collect();
    let retries: Vec<u64> = jobs.into_iter().flatten().collect();
    assert!((73..=77).contains(&retries.len()), "{} jobs", retries.len());
    let in_range = |retry_ms: &u64| (2_000..=4_000).contains(retry_ms);
    assert!(retries.iter().all(in_range), "{retries:?}");
    assert_eq!(follower.refused(START_MS + 10, OTHER), None);
    let view = follower.core.view();
    assert_eq!(
        view.counters.of("refusals", "forecast"),
        retries.len() as u64
    );
    follower.hear(START_MS + 20, 2, EPOCH, None);
    assert_eq!(follower.refused(START_MS + 20, QUEUE), None);
}

/// Shows that the test above notices a site without the policy.
#[test]
fn an_instance_without_the_policy_passes_all_jobs_on() {
    let mut follower = Follower::new(None, Some(PolicySwitch::AdmissionForecast));
    follower.hear(START_MS, 2, EPOCH, table(EPOCH, 0, 0));
    assert_eq!(follower.refused(START_MS + 10, QUEUE), None);
}

/// Guards against an instance that passes all jobs on since one heartbeat was lost.
#[test]
fn the_last_table_stays_in_use_while_heartbeats_are_lost() {
    let mut follower = Follower::new(None, None);
    follower.hear(START_MS, 2, EPOCH, table(EPOCH, 0, 0));
    assert!(follower.refused(START_MS + 500, QUEUE).is_some());
}

/// Guards against refusals by the table of a leader that is frozen, or that a hub hears no more.
#[test]
fn an_old_table_refuses_nothing() {
    for (broken, refuses) in [(None, false), (Some(SiteGuard::CreditAge), true)] {
        // Heard over a hub that has had the table for 1.8 s.
        let mut follower = Follower::new(broken, None);
        follower.hear(START_MS, 2, EPOCH, table(EPOCH, 1_800, 0));
        assert!(follower.refused(START_MS + 100, QUEUE).is_some());
        let refused = follower.refused(START_MS + 300, QUEUE);
        assert_eq!(refused.is_some(), refuses, "without {broken:?}");
    }
}

/// Guards against refusals by the table of a former leader.
#[test]
fn a_former_leaders_table_refuses_nothing() {
    for (broken, refuses) in [(None, false), (Some(SiteGuard::CreditEpoch), true)] {
        let mut follower = Follower::new(broken, None);
        follower.hear(START_MS, 2, EPOCH, table(EPOCH, 0, 0));
        assert!(follower.refused(START_MS + 10, QUEUE).is_some());
        follower.hear(START_MS + 20, 3, EPOCH + 1, table(EPOCH, 20, 0));
        let refused = follower.refused(START_MS + 30, QUEUE);
        assert_eq!(refused.is_some(), refuses, "without {broken:?}");
    }
}

/// Guards against an operator who cannot see by which shares an instance refuses.
#[test]
fn the_credits_in_force_are_shown_with_their_age() {
    let mut follower = Follower::new(None, None);
    assert_eq!(follower.core.view().credits, None);
    follower.hear(START_MS, 2, EPOCH, table(EPOCH, 100, 25));
    follower.step(START_MS + 300, CoreEvent::Tick);
    assert_eq!(follower.core.view().credits, table(EPOCH, 400, 25));
    follower.step(START_MS + 2_000, CoreEvent::Tick);
    assert_eq!(follower.core.view().credits, None);
}

/// Guards against a caller that is told that its job has not run, though it was accepted before.
#[test]
fn a_job_that_was_accepted_is_not_refused_when_it_is_submitted_again() {
    let mut follower = Follower::new(None, None);
    let accepted = LedgerEvent::Accepted {
        spec: Arc::new(job_of(QUEUE, 7)),
        terms: Default::default(),
        at: 1,
    };
    let batch = LedgerBatch {
        events: vec![accepted],
    };
    follower.hear(START_MS, 2, EPOCH, table(EPOCH, 0, 0));
    let message = PeerMessage::Committed {
        epoch: EPOCH,
        sequence: 1,
        batch: batch.encode(),
        onward: Vec::new(),
    };
    let from = address(2);
    follower.step(START_MS, CoreEvent::Peer { from, message });
    assert_eq!(follower.refused_again(START_MS + 10, QUEUE, 7), None);
    assert!(follower.refused_again(START_MS + 10, QUEUE, 8).is_some());
}
