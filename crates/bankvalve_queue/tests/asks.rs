//! How often a caller's request goes over the link to a leader that cannot take it up yet.

use std::sync::Arc;
use std::time::Duration;

use bankvalve_queue::{
    CallerAnswer, CallerRequest, CoreAction, CoreEvent, EntryCore, EntrySettings, HeartbeatBody,
    JobSpec, PeerAddress, PeerMessage, ResolvedRequest, Ticket,
};

/// Time for which the leader reads the ledger, in milliseconds: 2 MB on a link of 10 Mbit/s take
/// 1.6 s if nothing else passes over it.
const READING_MS: u64 = 2_000;
/// Time between two heartbeats of the leader, and between two ticks, in milliseconds.
const HEARTBEAT_MS: u64 = 160;
const TICK_MS: u64 = 20;
/// Copies that may go out in that time: one for each 0.7 s that a question waits for its answer,
/// and one to spare.
const MOST_COPIES: usize = 4;
/// Time that the caller waits, in milliseconds.
const PATIENCE_MS: u64 = 3_000;

fn address(last: u8) -> PeerAddress {
    PeerAddress::from(([10, 0, 0, last], 7_300))
}

fn from_leader(message: PeerMessage) -> CoreEvent {
    let from = address(2);
    CoreEvent::Peer { from, message }
}

fn heartbeat(loading: bool) -> CoreEvent {
    from_leader(PeerMessage::Heartbeat(HeartbeatBody {
        life: 9,
        epoch: 4,
        leader: Some(address(2)),
        leading: true,
        loading,
        ..HeartbeatBody::default()
    }))
}

/// An instance with one caller that hands a job in.
struct AskingInstance {
    core: EntryCore,
    /// The last copy that went to the leader, until the leader has turned it away.
    asked: Option<Ticket>,
    copies: usize,
    answer: Option<CallerAnswer>,
}

impl AskingInstance {
    fn new() -> Self {
        Self {
            core: EntryCore::new(EntrySettings::example(address(1))),
            asked: None,
            copies: 0,
            answer: None,
        }
    }

    fn step(&mut self, at_ms: u64, event: CoreEvent) {
        let at = Duration::from_millis(at_ms);
        for action in self.core.step(at, 1_000 + at_ms, event) {
            match action {
                CoreAction::Peer {
                    message: PeerMessage::Ask { ticket, .. },
                    ..
                } => {
                    self.asked = Some(ticket);
                    self.copies += 1;
                }
                CoreAction::Answer { answer, .. } => self.answer = Some(answer),
                _ => {}
            }
        }
    }

    fn hand_in(&mut self, at_ms: u64) {
        let spec = JobSpec {
            id: 7,
            payload: "x".repeat(4_000),
            ..JobSpec::default()
        };
        let ticket = self.core.new_ticket();
        let request = ResolvedRequest {
            caller: Default::default(),
            request: CallerRequest::Submit {
                spec: Arc::new(spec),
                terms: Default::default(),
            },
            patience_ms: PATIENCE_MS,
            table_version: 0,
        };
        self.step(at_ms, CoreEvent::Caller { ticket, request });
    }

    /// The leader reads the ledger all the while: it turns each copy away at once, and says so in
    /// its heartbeats.
    fn run_loading(&mut self, from_ms: u64, until_ms: u64) {
        for at_ms in (from_ms..until_ms).step_by(TICK_MS as usize) {
            if at_ms % HEARTBEAT_MS == 0 {
                self.step(at_ms, heartbeat(true));
            }
            if let Some(ticket) = self.asked.take() {
                let answer = None;
                self.step(at_ms, from_leader(PeerMessage::Reply { ticket, answer }));
            }
            self.step(at_ms, CoreEvent::Tick);
        }
    }
}

#[test]
fn a_leader_that_reads_the_ledger_is_not_sent_the_same_job_over_and_over() {
    // Whether the instance hears first of the lead or that the ledger is being read.
    for loading in [false, true] {
        let mut instance = AskingInstance::new();
        instance.step(10, heartbeat(loading));
        instance.hand_in(20);
        instance.run_loading(40, READING_MS);
        let copies = instance.copies;
        assert!(copies <= MOST_COPIES, "{copies} copies in {READING_MS} ms");
    }
}

#[test]
fn a_request_goes_out_as_soon_as_the_leader_has_the_ledger() {
    let mut instance = AskingInstance::new();
    instance.step(10, heartbeat(true));
    instance.hand_in(20);
    instance.run_loading(40, 1_000);
    let before = instance.copies;
    instance.step(1_000, heartbeat(false));
    instance.step(1_000, CoreEvent::Tick);
    assert_eq!(instance.copies, before + 1);
}

#[test]
fn a_request_that_no_leader_took_up_in_time_is_refused_with_a_time_to_come_back() {
    let mut instance = AskingInstance::new();
    instance.step(10, heartbeat(true));
    instance.hand_in(20);
    instance.run_loading(40, PATIENCE_MS);
    let answer = instance.answer;
    assert!(
        matches!(answer, Some(CallerAnswer::Refused { retry_ms, .. }) if retry_ms > 0),
        "{answer:?}"
    );
}
