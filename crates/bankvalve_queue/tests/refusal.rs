//! Refusals, which say that a job surely never runs.

use std::sync::Arc;
use std::time::Duration;

use bankvalve_queue::{
    CallerAnswer, CallerRequest, CoreAction, CoreEvent, EntryCore, EntrySettings, HeartbeatBody,
    JobSpec, PeerAddress, PeerMessage, RefusalReason, ResolvedRequest, RowWrite, StepSpec,
    StoreOutcome, StoreRequest, StoredRow, Ticket,
};

fn address(last: u8) -> PeerAddress {
    PeerAddress::from(([10, 0, 0, last], 7_300))
}

/// An instance beside a table that is empty at first and answers at once, but for the ledger's
/// batches, which are held.
struct Served {
    core: EntryCore,
    at_ms: u64,
    held: Vec<Ticket>,
    rows: Vec<StoredRow>,
    /// Messages to peers and answers to callers.
    out: Vec<CoreAction>,
}

impl Served {
    fn step(&mut self, event: CoreEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let now = Duration::from_millis(self.at_ms);
            for action in self.core.step(now, self.at_ms, event) {
                let CoreAction::Store {
                    ticket, request, ..
                } = action
                else {
                    self.out.push(action);
                    continue;
                };
                let outcome = match request {
                    StoreRequest::Transact { ref writes, .. } if is_batch(writes) => {
                        self.held.push(ticket);
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

    fn pass(&mut self, span_ms: u64) {
        let until = self.at_ms + span_ms;
        while self.at_ms < until {
            self.at_ms += 10;
            self.step(CoreEvent::Tick);
        }
    }

    fn answer_to(&self, wanted: Ticket) -> Option<&CallerAnswer> {
        self.out.iter().find_map(|action| match action {
            CoreAction::Answer { ticket, answer } if *ticket == wanted => Some(answer),
            _ => None,
        })
    }
}

fn is_batch(writes: &[RowWrite]) -> bool {
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
fn a_late_refusal_by_the_leader_before_does_not_refuse_what_this_one_keeps() {
    let mut served = Served {
        core: EntryCore::new(EntrySettings::example(address(1))),
        at_ms: 0,
        held: Vec::new(),
        rows: Vec::new(),
        out: Vec::new(),
    };
    served.pass(50);
    let news = HeartbeatBody {
        life: 9,
        epoch: 4,
        leader: Some(address(2)),
        leading: true,
        ..HeartbeatBody::default()
    };
    served.step(CoreEvent::Peer {
        from: address(2),
        message: PeerMessage::Heartbeat(news),
    });
    let ticket = served.core.new_ticket();
    let request = submission();
    served.step(CoreEvent::Caller { ticket, request });
    let is_asked = |action: &CoreAction| {
        let to_leader = matches!(action, CoreAction::Peer { to, .. } if *to == address(2));
        let ask = matches!(
            action,
            CoreAction::Peer {
                message: PeerMessage::Ask { .. },
                ..
            }
        );
        to_leader && ask
    };
    assert!(served.out.iter().any(is_asked), "the leader is asked");
    // The leader is gone, so this one leads and takes the job up itself.
    served.step(CoreEvent::PeerUnreached {
        peer: address(2),
        refused: true,
    });
    while !served.core.view().leading {
        assert!(served.at_ms < 10_000, "it does not lead");
        served.pass(10);
    }
    served.pass(200);
    assert_eq!(served.held.len(), 1, "the job is being kept");
    // What the one before says of its own copy is late, and says nothing of this one.
    served.step(CoreEvent::Peer {
        from: address(2),
        message: PeerMessage::Reply {
            ticket,
            answer: Some(CallerAnswer::Refused {
                reason: RefusalReason::StoreAway,
                retry_ms: 2_000,
            }),
        },
    });
    assert_eq!(served.answer_to(ticket), None);
    let outcome = StoreOutcome::Applied { version: 8 };
    let write = served.held[0];
    served.step(CoreEvent::Store {
        ticket: write,
        outcome,
    });
    assert_eq!(served.answer_to(ticket), Some(&CallerAnswer::Accepted));
}
