//! Property test of the version up to which an instance knows the changes of the operator's rows: a table
//! that answers in any order, drops its history, leaves changes out or does not answer at all never makes
//! the instance deny a queue by an outdated configuration.

use std::collections::BTreeMap;
use std::time::Duration;

use bankvalve_queue::{
    CallerAnswer, CoreAction, CoreEvent, DenialReason, EntryCore, EntrySettings, HeartbeatBody,
    OperatorNews, PeerAddress, PeerMessage, QueueTable, StoreOutcome, StoreRequest, Ticket,
};
use proptest::prelude::*;

/// Something that happens to the instance or to the table.
#[derive(Clone, Debug)]
enum TableEvent {
    /// Time passes, in milliseconds.
    Wait(u64),
    /// The operator writes the next configuration.
    Write,
    /// Another row of the table changes.
    OtherWrite,
    /// The table answers one of the open requests, with what it held at some moment since it was sent.
    Answer {
        open: prop::sample::Index,
        moment: prop::sample::Index,
        leaves_out: bool,
    },
    /// An open request gets no answer.
    Lose(prop::sample::Index),
    /// The table drops its history.
    Forget,
    /// A peer announces a configuration that the operator has written.
    Announce(prop::sample::Index),
    /// A caller asks for an unknown queue.
    Ask,
}

fn table_events(may_leave_out: bool) -> impl Strategy<Value = Vec<TableEvent>> {
    let index = any::<prop::sample::Index>;
    let answer = (index(), index(), any::<bool>()).prop_map(move |(open, moment, leaves_out)| {
        let leaves_out = leaves_out && may_leave_out;
        TableEvent::Answer {
            open,
            moment,
            leaves_out,
        }
    });
    let event = prop_oneof![
        4 => (1_u64..400).prop_map(TableEvent::Wait),
        2 => Just(TableEvent::Write),
        1 => Just(TableEvent::OtherWrite),
        8 => answer,
        1 => index().prop_map(TableEvent::Lose),
        1 => Just(TableEvent::Forget),
        2 => index().prop_map(TableEvent::Announce),
        3 => Just(TableEvent::Ask),
    ];
    prop::collection::vec(event, 1..120)
}

/// A request for the operator's rows that the table has not answered.
#[derive(Debug)]
struct OpenQuery {
    ticket: Ticket,
    request: StoreRequest,
    /// Version of the table when it was sent.
    sent_at: u64,
}

/// An instance, and the table that it asks.
struct TableWorld {
    core: EntryCore,
    at_ms: u64,
    version: u64,
    /// Version up to which the history is dropped.
    forgotten: u64,
    /// Versions of the table at which the operator wrote each configuration, from version 1 on.
    written_at: Vec<u64>,
    announced: u64,
    open: Vec<OpenQuery>,
    /// Least configuration by which each caller may be denied.
    callers: BTreeMap<Ticket, u64>,
    denials: Vec<(u64, u64)>,
    /// Whether answers may leave changes out, so that only what peers announced is known.
    may_leave_out: bool,
}

impl TableWorld {
    fn new(may_leave_out: bool) -> Self {
        let address = PeerAddress::from(([10, 0, 0, 1], 7_300));
        let mut world = Self {
            core: EntryCore::new(EntrySettings::example(address)),
            at_ms: 0,
            version: 1,
            forgotten: 0,
            written_at: vec![1],
            announced: 0,
            open: Vec::new(),
            callers: BTreeMap::new(),
            denials: Vec::new(),
            may_leave_out,
        };
        world.step(CoreEvent::Tick);
        world
    }

    fn step(&mut self, event: CoreEvent) {
        let now = Duration::from_millis(self.at_ms);
        for action in self.core.step(now, self.at_ms, event) {
            match action {
                CoreAction::Store {
                    ticket,
                    request:
                        request @ (StoreRequest::ReadOperator | StoreRequest::WatchOperator { .. }),
                    ..
                } => self.open.push(OpenQuery {
                    ticket,
                    request,
                    sent_at: self.version,
                }),
                CoreAction::Answer { ticket, answer } => {
                    let least = self.callers.remove(&ticket).expect("a caller");
                    if answer == CallerAnswer::TableIsNewest {
                        self.denials.push((self.core.table_version(), least));
                    }
                }
                _ => {}
            }
        }
    }

    /// Returns what the table answers to a request by what it held at one of its versions.
    fn outcome(&self, request: &StoreRequest, moment: u64, leaves_out: bool) -> StoreOutcome {
        let after = match request {
            StoreRequest::WatchOperator { after, .. } if *after < self.forgotten => {
                return StoreOutcome::HistoryGone;
            }
            StoreRequest::WatchOperator { after, .. } => *after,
            _ => 0,
        };
        let written = self.written_at.iter().take_while(|at| **at <= moment);
        let newest = written.count();
        let changed = self.written_at[newest - 1] > after;
        let hidden = leaves_out && matches!(request, StoreRequest::WatchOperator { .. });
        let shown = changed && !hidden;
        let table = shown.then(|| QueueTable::new(newest as u64, Vec::new(), BTreeMap::new()));
        let news = OperatorNews {
            raw: table.iter().map(|table| table.version as u8).collect(),
            table,
            ..OperatorNews::default()
        };
        StoreOutcome::Operator {
            news,
            version: moment,
        }
    }

    fn happen(&mut self, event: &TableEvent) {
        match event {
            TableEvent::Wait(span_ms) => {
                self.at_ms += span_ms;
                self.step(CoreEvent::Tick);
            }
            TableEvent::Write => {
                self.version += 1;
                self.written_at.push(self.version);
            }
            TableEvent::OtherWrite => self.version += 1,
            TableEvent::Answer {
                open,
                moment,
                leaves_out,
            } if !self.open.is_empty() => {
                let query = self.open.remove(open.index(self.open.len()));
                let moment = query.sent_at
                    + moment.index((self.version - query.sent_at + 1) as usize) as u64;
                let outcome = self.outcome(&query.request, moment, *leaves_out);
                let ticket = query.ticket;
                self.step(CoreEvent::Store { ticket, outcome });
            }
            TableEvent::Lose(open) if !self.open.is_empty() => {
                let ticket = self.open.remove(open.index(self.open.len())).ticket;
                let outcome = StoreOutcome::Lost;
                self.step(CoreEvent::Store { ticket, outcome });
            }
            TableEvent::Answer { .. } | TableEvent::Lose(_) => {}
            TableEvent::Forget => self.forgotten = self.version,
            TableEvent::Announce(version) => {
                let version = 1 + version.index(self.written_at.len()) as u64;
                self.announced = self.announced.max(version);
                let body = HeartbeatBody {
                    life: 9,
                    table_version: version,
                    ..HeartbeatBody::default()
                };
                self.step(CoreEvent::Peer {
                    from: PeerAddress::from(([10, 0, 0, 2], 7_300)),
                    message: PeerMessage::Heartbeat(body),
                });
            }
            TableEvent::Ask => self.ask(),
        }
    }

    fn ask(&mut self) {
        let ticket = self.core.new_ticket();
        let least = match self.may_leave_out {
            true => self.announced,
            false => self.written_at.len() as u64,
        };
        self.callers.insert(ticket, least);
        self.step(CoreEvent::RequestDenied {
            ticket,
            asked: "host/added/".into(),
            reason: DenialReason::NoQueue,
            patience_ms: 3_000,
        });
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: prop::test_runner::RngSeed::Fixed(60),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The configuration that proves a denial is at least the newest one at the time of the request.
    #[test]
    fn a_denial_is_by_the_newest_configuration_in_any_order_of_answers(
        events in table_events(false),
    ) {
        let mut world = TableWorld::new(false);
        for event in &events {
            world.happen(event);
        }
        for (in_force, least) in &world.denials {
            prop_assert!(in_force >= least, "denied by {in_force}, {least} was written");
        }
    }

    /// Even if the table leaves changes out, it is at least the newest one that a peer had announced.
    #[test]
    fn a_denial_is_by_no_older_configuration_than_peers_have_announced(
        events in table_events(true),
    ) {
        let mut world = TableWorld::new(true);
        for event in &events {
            world.happen(event);
        }
        for (in_force, least) in &world.denials {
            prop_assert!(in_force >= least, "denied by {in_force}, {least} was announced");
        }
    }
}
