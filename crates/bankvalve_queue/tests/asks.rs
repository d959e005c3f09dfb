//! How often an instance sends a caller's request to a leader that is still loading the ledger.

use std::sync::Arc;
use std::time::Duration;

use bankvalve_queue::{
    CallerAnswer, CallerRequest, CoreAction, CoreEvent, EntryCore, EntrySettings, HeartbeatBody,
    JobSpec, PeerAddress, PeerMessage, ResolvedRequest, Ticket,
};

/// Time that the leader takes to load the ledger, in milliseconds: 2 MB on an otherwise idle link of
/// 10 Mbit/s take 1.6 s.
const LOADING_MS: u64 = 2_000;
/// Time between two heartbeats of the leader, in milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 160;
/// Time between two ticks, in milliseconds.
const TICK_INTERVAL_MS: u64 = 20;
/// Maximum number of copies of a request while the leader loads the ledger: one for each 0.7 s without an
/// answer, plus one spare.
const MAX_COPIES: usize = 4;
/// The caller's timeout, in milliseconds.
const CALLER_TIMEOUT_MS: u64 = 3_000;

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

/// An instance with one caller that submits a job.
struct SubmittingInstance {
    core: EntryCore,
    /// Ticket of the last copy sent to the leader, until the leader has rejected that copy.
    unanswered_copy: Option<Ticket>,
    copies: usize,
    answer: Option<CallerAnswer>,
}

impl SubmittingInstance {
    fn new() -> Self {
        Self {
            core: EntryCore::new(EntrySettings::example(address(1))),
            unanswered_copy: None,
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
                    self.unanswered_copy = Some(ticket);
                    self.copies += 1;
                }
                CoreAction::Answer { answer, .. } => self.answer = Some(answer),
                _ => {}
            }
        }
    }

    fn submit(&mut self, at_ms: u64) {
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
            patience_ms: CALLER_TIMEOUT_MS,
            table_version: 0,
        };
        self.step(at_ms, CoreEvent::Caller { ticket, request });
    }

    /// Runs the instance while the leader loads the ledger. The leader rejects each copy at once, and its
    /// heartbeats report that it is loading.
    fn run_while_loading(&mut self, from_ms: u64, until_ms: u64) {
        for at_ms in (from_ms..until_ms).step_by(TICK_INTERVAL_MS as usize) {
            if at_ms % HEARTBEAT_INTERVAL_MS == 0 {
                self.step(at_ms, heartbeat(true));
            }
            if let Some(ticket) = self.unanswered_copy.take() {
                let answer = None;
                self.step(at_ms, from_leader(PeerMessage::Reply { ticket, answer }));
            }
            self.step(at_ms, CoreEvent::Tick);
        }
    }
}

#[test]
fn a_request_is_resent_only_a_few_times_while_the_leader_loads_the_ledger() {
    // The first heartbeat may come before the leader begins to load the ledger, or while it does.
    for loading in [false, true] {
        let mut instance = SubmittingInstance::new();
        instance.step(10, heartbeat(loading));
        instance.submit(20);
        instance.run_while_loading(40, LOADING_MS);
        let copies = instance.copies;
        assert!(copies <= MAX_COPIES, "{copies} copies in {LOADING_MS} ms");
    }
}

#[test]
fn a_request_is_sent_as_soon_as_the_leader_has_loaded_the_ledger() {
    let mut instance = SubmittingInstance::new();
    instance.step(10, heartbeat(true));
    instance.submit(20);
    instance.run_while_loading(40, 1_000);
    let copies_before = instance.copies;
    instance.step(1_000, heartbeat(false));
    instance.step(1_000, CoreEvent::Tick);
    assert_eq!(instance.copies, copies_before + 1);
}

#[test]
fn a_request_that_no_leader_accepts_in_time_is_refused_with_a_retry_time() {
    let mut instance = SubmittingInstance::new();
    instance.step(10, heartbeat(true));
    instance.submit(20);
    instance.run_while_loading(40, CALLER_TIMEOUT_MS);
    let answer = instance.answer;
    assert!(
        matches!(answer, Some(CallerAnswer::Refused { retry_ms, .. }) if retry_ms > 0),
        "{answer:?}"
    );
}
