//! Refusals: a caller that receives one can be certain that its job never runs.

use std::sync::Arc;
use std::time::Duration;

use bankvalve_queue::{
    CallerAnswer, CallerRequest, CoreAction, CoreEvent, EntryCore, EntrySettings, HeartbeatBody,
    JobSpec, JobState, OptionalPolicies, PeerAddress, PeerMessage, RefusalReason, ResolvedRequest,
    RowWrite, StepSpec, StoreOutcome, StoreRequest, StoredRow, Ticket,
};

fn address(last: u8) -> PeerAddress {
    PeerAddress::from(([10, 0, 0, last], 7_300))
}

/// An instance with a simulated table. The table is empty at first and answers at once, except writes of
/// ledger batches, which the test answers itself.
struct InstanceWithTable {
    core: EntryCore,
    at_ms: u64,
    /// Writes of ledger batches that have no answer yet.
    unanswered_batches: Vec<Ticket>,
    rows: Vec<StoredRow>,
    /// Messages to peers, answers to callers, and all other actions that are not requests to the table.
    other_actions: Vec<CoreAction>,
}

impl InstanceWithTable {
    fn new(policies: OptionalPolicies) -> Self {
        Self {
            core: EntryCore::new(EntrySettings {
                policies,
                ..EntrySettings::example(address(1))
            }),
            at_ms: 0,
            unanswered_batches: Vec::new(),
            rows: Vec::new(),
            other_actions: Vec::new(),
        }
    }

    fn run_until_leading(&mut self) {
        while !self.core.view().leading {
            assert!(
                self.at_ms < 10_000,
                "the instance does not become the leader"
            );
            self.run_for(10);
        }
    }

    /// Sends a caller's request, and returns its ticket.
    fn request(&mut self, request: CallerRequest) -> Ticket {
        let ticket = self.core.new_ticket();
        let request = ResolvedRequest {
            request,
            ..submission()
        };
        self.step(CoreEvent::Caller { ticket, request });
        ticket
    }

    /// Answers all writes of ledger batches, and runs until the next ones are sent.
    fn answer_batches(&mut self, outcome: &StoreOutcome) {
        for ticket in std::mem::take(&mut self.unanswered_batches) {
            let outcome = outcome.clone();
            self.step(CoreEvent::Store { ticket, outcome });
        }
        self.run_for(50);
    }

    fn step(&mut self, event: CoreEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let now = Duration::from_millis(self.at_ms);
            for action in self.core.step(now, self.at_ms, event) {
                let CoreAction::Store {
                    ticket, request, ..
                } = action
                else {
                    self.other_actions.push(action);
                    continue;
                };
                let outcome = match request {
                    StoreRequest::Transact { ref writes, .. } if writes_batch(writes) => {
                        self.unanswered_batches.push(ticket);
                        continue;
                    }
                    StoreRequest::Transact { writes, .. } => {
                        let written = writes.into_iter().map(|write| StoredRow {
                            key: write.key,
                            value: write.value,
                            version: 7,
                        });
                        self.rows.extend(written);
                        StoreOutcome::Applied { version: 7 }
                    }
                    StoreRequest::Read { table, part, .. } => {
                        let of_part =
                            |row: &&StoredRow| row.key.table == table && row.key.part == part;
                        StoreOutcome::Rows {
                            rows: self.rows.iter().filter(of_part).cloned().collect(),
                            more: false,
                            version: 7,
                        }
                    }
                    // Watches stay open.
                    _ => continue,
                };
                events.push(CoreEvent::Store { ticket, outcome });
            }
        }
    }

    fn run_for(&mut self, span_ms: u64) {
        let until = self.at_ms + span_ms;
        while self.at_ms < until {
            self.at_ms += 10;
            self.step(CoreEvent::Tick);
        }
    }

    fn answer_to(&self, wanted: Ticket) -> Option<&CallerAnswer> {
        self.other_actions.iter().find_map(|action| match action {
            CoreAction::Answer { ticket, answer } if *ticket == wanted => Some(answer),
            _ => None,
        })
    }
}

fn writes_batch(writes: &[RowWrite]) -> bool {
    writes.iter().any(|write| write.key.table == "ledger")
}

fn submission() -> ResolvedRequest {
    let spec = Arc::new(JobSpec {
        id: 7,
        queue: "batch".into(),
        steps: vec![StepSpec {
            count: 1,
            ..StepSpec::default()
        }],
        ..JobSpec::default()
    });
    let terms = Default::default();
    ResolvedRequest {
        caller: Default::default(),
        request: CallerRequest::Submit { spec, terms },
        patience_ms: 60_000,
        table_version: 0,
    }
}

#[test]
fn a_late_refusal_by_the_former_leader_does_not_refuse_a_job_that_this_leader_commits() {
    let mut instance = InstanceWithTable::new(OptionalPolicies::ALL);
    instance.run_for(50);
    let body = HeartbeatBody {
        life: 9,
        epoch: 4,
        leader: Some(address(2)),
        leading: true,
        ..HeartbeatBody::default()
    };
    instance.step(CoreEvent::Peer {
        from: address(2),
        message: PeerMessage::Heartbeat(body),
    });
    let ticket = instance.core.new_ticket();
    let request = submission();
    instance.step(CoreEvent::Caller { ticket, request });
    let is_sent_to_leader = |action: &CoreAction| {
        let to_leader = matches!(action, CoreAction::Peer { to, .. } if *to == address(2));
        let is_request = matches!(
            action,
            CoreAction::Peer {
                message: PeerMessage::Ask { .. },
                ..
            }
        );
        to_leader && is_request
    };
    assert!(
        instance.other_actions.iter().any(is_sent_to_leader),
        "the request is sent to the leader"
    );
    // The leader is unreachable, so this instance takes over leadership and serves the request itself.
    instance.step(CoreEvent::PeerUnreached {
        peer: address(2),
        refused: true,
    });
    instance.run_until_leading();
    instance.run_for(200);
    assert_eq!(
        instance.unanswered_batches.len(),
        1,
        "the job is being committed"
    );
    // The late refusal concerns only the former leader's copy of the request, not the one served here.
    instance.step(CoreEvent::Peer {
        from: address(2),
        message: PeerMessage::Reply {
            ticket,
            answer: Some(CallerAnswer::Refused {
                reason: RefusalReason::StoreAway,
                retry_ms: 2_000,
            }),
        },
    });
    assert_eq!(instance.answer_to(ticket), None);
    let outcome = StoreOutcome::Applied { version: 8 };
    let write = instance.unanswered_batches[0];
    instance.step(CoreEvent::Store {
        ticket: write,
        outcome,
    });
    assert_eq!(instance.answer_to(ticket), Some(&CallerAnswer::Accepted));
}

const APPLIED: StoreOutcome = StoreOutcome::Applied { version: 8 };

/// Guards against an acknowledged cancel that the next leader does not find in the ledger.
#[test]
fn a_cancel_of_an_unknown_job_is_answered_only_once_it_is_recorded() {
    let mut instance = InstanceWithTable::new(OptionalPolicies::default());
    instance.run_until_leading();
    let cancel = instance.request(CallerRequest::Cancel { job: 7 });
    instance.run_for(100);
    assert_eq!(instance.answer_to(cancel), None);
    assert_eq!(instance.unanswered_batches.len(), 1);
    instance.answer_batches(&APPLIED);
    assert_eq!(instance.answer_to(cancel), Some(&CallerAnswer::NoSuchJob));
    // A repeated cancel needs no other record.
    let repeated = instance.request(CallerRequest::Cancel { job: 7 });
    instance.run_for(500);
    assert_eq!(instance.unanswered_batches.len(), 0);
    assert_eq!(instance.answer_to(repeated), Some(&CallerAnswer::NoSuchJob));
}

/// Guards against a cancel that is forgotten with a submission that the table did not take.
#[test]
fn a_recorded_cancel_outlives_a_submission_that_is_withdrawn() {
    let mut instance = InstanceWithTable::new(OptionalPolicies::default());
    instance.run_until_leading();
    let cancel = instance.request(CallerRequest::Cancel { job: 7 });
    let submit = instance.request(submission().request);
    for _ in 0..40 {
        instance.answer_batches(&StoreOutcome::Busy);
    }
    let refused = instance.answer_to(submit);
    assert!(
        matches!(refused, Some(CallerAnswer::Refused { .. })),
        "{refused:?}"
    );
    for _ in 0..10 {
        instance.answer_batches(&APPLIED);
    }
    assert_eq!(instance.answer_to(cancel), Some(&CallerAnswer::NoSuchJob));
    let again = instance.request(submission().request);
    for _ in 0..10 {
        instance.answer_batches(&APPLIED);
    }
    assert_eq!(instance.answer_to(again), Some(&CallerAnswer::Accepted));
    let status = instance.request(CallerRequest::Status { job: 7 });
    instance.run_for(500);
    let cancelled = CallerAnswer::State(JobState::Cancelled);
    assert_eq!(instance.answer_to(status), Some(&cancelled));
}

/// Guards against a promise that is not kept: where no more cancels can be recorded, none is acknowledged.
#[test]
fn a_cancel_that_cannot_be_recorded_is_refused() {
    let mut instance = InstanceWithTable::new(OptionalPolicies::default());
    instance.run_until_leading();
    let mut accepted = 0;
    let refused = loop {
        let ticket = instance.request(CallerRequest::Cancel {
            job: 1_000 + accepted,
        });
        if let Some(answer) = instance.answer_to(ticket) {
            break answer.clone();
        }
        accepted += 1;
        if accepted % 1_000 == 0 {
            instance.answer_batches(&APPLIED);
        }
    };
    let reason = RefusalReason::CancelsFull;
    assert!(matches!(refused, CallerAnswer::Refused { reason: found, .. } if found == reason));
    assert_eq!(accepted, 8_192);
    // One that is recorded already is acknowledged all the same.
    instance.answer_batches(&APPLIED);
    instance.answer_batches(&APPLIED);
    let repeated = instance.request(CallerRequest::Cancel { job: 1_000 });
    instance.answer_batches(&APPLIED);
    assert_eq!(instance.answer_to(repeated), Some(&CallerAnswer::NoSuchJob));
}
