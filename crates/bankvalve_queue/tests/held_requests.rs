//! What an instance does with a submit that its leader refused because the table is unavailable.

use std::sync::Arc;
use std::time::Duration;

use bankvalve_queue::{
    CallerAnswer, CallerRequest, CoreAction, CoreEvent, EntryCore, EntrySettings, HeartbeatBody,
    JobSpec, PeerAddress, PeerMessage, PolicySwitch, RefusalReason, ResolvedRequest, SiteGuard,
    StepSpec, Ticket,
};

/// When the caller's final answer is due, after its request.
const ANSWER_DUE_MS: u64 = 2_550;

fn address(last: u8) -> PeerAddress {
    PeerAddress::from(([10, 0, 0, last], 7_300))
}

/// An instance with a caller, and what it has sent and answered.
struct HoldingInstance {
    core: EntryCore,
    at_ms: u64,
    /// The present leader, and how long the outage that it reports had lasted at time 0.
    leader: u8,
    away_ms: Option<u64>,
    ticket: Ticket,
    /// Leaders that the request was sent to.
    sent_to: Vec<PeerAddress>,
    answers: Vec<(u64, CallerAnswer)>,
    /// Lines about callers: event and detail.
    lines: Vec<(&'static str, String)>,
}

impl HoldingInstance {
    /// An instance that has sent its caller's submit to the leader.
    fn new(broken: Option<SiteGuard>, without: Option<PolicySwitch>) -> Self {
        let mut core = EntryCore::new(EntrySettings {
            broken,
            without,
            ..EntrySettings::example(address(1))
        });
        let ticket = core.new_ticket();
        let mut instance = Self {
            core,
            at_ms: 0,
            leader: 2,
            away_ms: None,
            ticket,
            sent_to: Vec::new(),
            answers: Vec::new(),
            lines: Vec::new(),
        };
        instance.run_until(20);
        let spec = Arc::new(JobSpec {
            id: 7,
            steps: vec![StepSpec {
                count: 1,
                ..StepSpec::default()
            }],
            ..JobSpec::default()
        });
        let request = ResolvedRequest {
            caller: Default::default(),
            request: CallerRequest::Submit {
                spec,
                terms: Default::default(),
            },
            patience_ms: 3_000,
            table_version: 0,
        };
        instance.step(CoreEvent::Caller { ticket, request });
        assert_eq!(instance.sent_to, [address(2)]);
        instance
    }

    fn step(&mut self, event: CoreEvent) {
        let at = Duration::from_millis(self.at_ms);
        for action in self.core.step(at, 1_000 + self.at_ms, event) {
            match action {
                CoreAction::Peer {
                    to,
                    message: PeerMessage::Ask { .. },
                } => self.sent_to.push(to),
                CoreAction::Log(line) if line.part == "callers" => {
                    self.lines.push((line.event, line.detail));
                }
                CoreAction::Answer { answer, .. } => self.answers.push((self.at_ms, answer)),
                _ => {}
            }
        }
    }

    fn run_until(&mut self, until_ms: u64) {
        while self.at_ms < until_ms {
            if self.at_ms % 160 == 0 {
                let body = HeartbeatBody {
                    life: 9,
                    epoch: u64::from(self.leader),
                    leader: Some(address(self.leader)),
                    leading: true,
                    store_away_ms: self.away_ms.map(|lasted| lasted + self.at_ms),
                    ..HeartbeatBody::default()
                };
                let (from, message) = (address(self.leader), PeerMessage::Heartbeat(body));
                self.step(CoreEvent::Peer { from, message });
            }
            self.step(CoreEvent::Tick);
            self.at_ms += 10;
        }
    }

    /// The leader answers the request.
    fn reply(&mut self, answer: CallerAnswer) {
        let (from, ticket) = (address(self.leader), self.ticket);
        let answer = Some(answer);
        let message = PeerMessage::Reply { ticket, answer };
        self.step(CoreEvent::Peer { from, message });
    }
}

fn store_away() -> CallerAnswer {
    CallerAnswer::Refused {
        reason: RefusalReason::StoreAway,
        retry_ms: 2_000,
    }
}

/// An instance that holds its caller's submit, in an outage that has lasted for 4 s.
fn holding() -> HoldingInstance {
    let mut instance = HoldingInstance::new(None, None);
    instance.away_ms = Some(4_000);
    instance.run_until(200);
    instance.reply(store_away());
    assert_eq!(instance.answers, []);
    instance
}

#[test]
fn a_held_submit_is_sent_again_once_the_table_is_back() {
    let mut instance = holding();
    // Nothing is sent meanwhile, although requests without an answer are sent again after 0.7 s.
    instance.run_until(1_500);
    assert_eq!(instance.sent_to.len(), 1);
    instance.away_ms = None;
    instance.run_until(1_800);
    assert_eq!(instance.sent_to, [address(2), address(2)]);
    instance.reply(CallerAnswer::Accepted);
    let answer = instance.answers.last().map(|(_, answer)| answer);
    assert_eq!(answer, Some(&CallerAnswer::Accepted));
}

#[test]
fn a_held_submit_is_surely_refused_before_its_caller_leaves() {
    // The answer at the end of the wait must not be "unknown".
    let mut instance = holding();
    instance.run_until(3_000);
    let [(at_ms, answer)] = &instance.answers[..] else {
        panic!("{:?}", instance.answers);
    };
    assert!(*at_ms <= 20 + ANSWER_DUE_MS, "after {at_ms} ms");
    let CallerAnswer::Refused { reason, retry_ms } = answer else {
        panic!("{answer:?}");
    };
    assert_eq!(*reason, RefusalReason::StoreAway);
    assert!(*retry_ms >= 300);
    assert_eq!(instance.sent_to.len(), 1);
}

#[test]
fn a_held_submit_is_sent_to_the_next_leader() {
    // Held at the leader, it would be lost with it.
    let mut instance = holding();
    instance.run_until(1_000);
    instance.leader = 3;
    instance.away_ms = None;
    instance.run_until(1_400);
    assert_eq!(instance.sent_to, [address(2), address(3)]);
    instance.reply(CallerAnswer::Accepted);
    let answer = instance.answers.last().map(|(_, answer)| answer);
    assert_eq!(answer, Some(&CallerAnswer::Accepted));
}

#[test]
fn a_submit_that_is_refused_again_after_a_short_return_waits_on() {
    let mut instance = holding();
    instance.away_ms = None;
    instance.run_until(400);
    assert_eq!(instance.sent_to.len(), 2);
    instance.away_ms = Some(4_000);
    instance.run_until(800);
    instance.reply(store_away());
    instance.run_until(1_000);
    assert_eq!(instance.answers, []);
    instance.away_ms = None;
    instance.run_until(1_300);
    assert_eq!(instance.sent_to.len(), 3);
}

#[test]
fn without_the_policy_the_refusal_is_passed_on() {
    let mut instance = HoldingInstance::new(None, Some(PolicySwitch::OutageWait));
    instance.away_ms = Some(4_000);
    instance.run_until(200);
    instance.reply(store_away());
    assert_eq!(instance.answers, [(200, store_away())]);
}

#[test]
fn nothing_is_held_under_a_leader_of_an_older_version() {
    // It does not report outages, so their end would not be noticed.
    let mut instance = HoldingInstance::new(None, None);
    instance.run_until(200);
    instance.reply(store_away());
    assert_eq!(instance.answers.len(), 1);
}

/// The answer to a submit of which two copies were sent, and one was refused.
fn answer_to_two_copies(broken: Option<SiteGuard>) -> CallerAnswer {
    let mut instance = HoldingInstance::new(broken, None);
    instance.away_ms = Some(4_000);
    instance.run_until(1_000);
    assert_eq!(instance.sent_to.len(), 2);
    instance.reply(store_away());
    instance.run_until(3_000);
    instance.answers[0].1.clone()
}

#[test]
fn a_submit_of_which_another_copy_is_open_is_not_held() {
    // The other copy may be committed, so the caller must not be told that the job does not run.
    assert_eq!(answer_to_two_copies(None), CallerAnswer::Unknown);
    let unguarded = answer_to_two_copies(Some(SiteGuard::HeldAlone));
    assert!(
        matches!(unguarded, CallerAnswer::Refused { .. }),
        "{unguarded:?}"
    );
}

#[test]
fn the_log_and_the_counters_tell_who_waited() {
    // An operator must be able to tell a wait from a lost request.
    let mut instance = holding();
    instance.run_until(1_500);
    instance.away_ms = None;
    instance.run_until(1_800);
    let events: Vec<_> = instance.lines.iter().map(|(event, _)| *event).collect();
    assert_eq!(events, ["wait", "wait_end"]);
    let detail = &instance.lines[1].1;
    assert!(
        detail.contains("1 wait") && detail.contains("1 held"),
        "{detail}"
    );
    let counters = instance.core.view().counters;
    assert_eq!(counters.of("outage_wait", "held"), 1);
    assert_eq!(counters.of("outage_wait", "sent"), 1);
    assert_eq!(counters.of("outage_wait", "refused_late"), 0);
}
