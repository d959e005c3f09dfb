//! The bundle in force: polls of its row, and writes of new versions.

use super::store_requests::StorePurpose;
use super::InstanceCore;
use crate::contract::CellBundle;
use crate::ids::{BundleVersion, CellTime, RowVersion, Ticket};
use crate::link::{
    CallerAnswer, PeerMessage, Refusal, RowImage, StoreOutcome, StoreRequest, TableTransaction,
};
use crate::owner::GuardName;
use crate::refusal::RefusalReason;
use crate::tally::InvariantKind;

/// Key of the row that holds the bundle in force.
pub(super) const BUNDLE_KEY: &str = "bundle";
/// Time after which a refused operator may retry, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// A command to put a bundle in force that has no answer yet.
#[derive(Clone, Debug)]
struct OpenAccept {
    ticket: Ticket,
    bundle: CellBundle,
    txn: TableTransaction,
    /// Whether a write got no answer and may have taken effect.
    uncertain: bool,
}

/// The bundle in force, and the requests that read or replace it.
#[derive(Clone, Debug, Default)]
pub(super) struct BundleState {
    bundle: CellBundle,
    row_version: RowVersion,
    /// When the row was last read.
    confirmed: Option<CellTime>,
    next_poll: CellTime,
    polling: bool,
    accepting: Option<OpenAccept>,
}

impl BundleState {
    pub(super) fn in_force(&self) -> &CellBundle {
        &self.bundle
    }

    pub(super) fn is_known(&self) -> bool {
        self.bundle.version > 0
    }
}

impl InstanceCore {
    /// Returns the version of the bundle in force, or zero if none is known.
    pub fn bundle_version(&self) -> BundleVersion {
        self.bundle.bundle.version
    }

    /// Reads the bundle's row if a poll is due.
    pub(super) fn run_bundle(&mut self) {
        if self.bundle.polling || self.now < self.bundle.next_poll {
            return;
        }
        self.bundle.polling = true;
        self.bundle.next_poll = self.now + self.settings.timings.bundle_poll;
        let key = BUNDLE_KEY.to_owned();
        self.send_store_request(StorePurpose::ReadBundle, StoreRequest::Read { key });
    }

    /// Makes the next poll due now if a peer has a newer version in force.
    pub(super) fn poll_newer_bundle(&mut self, version: BundleVersion) {
        if version > self.bundle.bundle.version {
            self.bundle.next_poll = self.now;
        }
    }

    pub(super) fn handle_bundle_row(&mut self, outcome: StoreOutcome) {
        self.bundle.polling = false;
        let StoreOutcome::Rows(rows) = outcome else {
            return;
        };
        self.bundle.confirmed = Some(self.now);
        if let Some(row) = rows.first() {
            self.record_bundle_row(row);
        }
    }

    fn record_bundle_row(&mut self, row: &RowImage) {
        let Ok(bundle) = rmp_serde::from_slice::<CellBundle>(&row.value) else {
            return;
        };
        let rises = bundle.version > self.bundle.bundle.version;
        if rises || !self.settings.guards.enforces(GuardName::BundleRises) {
            self.put_in_force(bundle, row.version);
        }
    }

    fn put_in_force(&mut self, bundle: CellBundle, row_version: RowVersion) {
        let previous = self.bundle.bundle.version;
        let rises = bundle.version >= previous;
        self.tally.assert(InvariantKind::BundleRises, rises, || {
            format!("bundle {} replaces bundle {previous}", bundle.version)
        });
        self.bundle.bundle = bundle;
        self.bundle.row_version = row_version;
        self.send_to_all_peers(&PeerMessage::Heartbeat);
    }

    pub(super) fn bundle_answer(&self) -> CallerAnswer {
        let confirmed = self.bundle.confirmed;
        CallerAnswer::Bundle {
            bundle: Box::new(self.bundle.bundle.clone()),
            confirmed_ms_ago: confirmed.map(|at| self.now.saturating_sub(at).as_millis() as u64),
        }
    }

    /// Writes a new bundle, whose version must be one higher than that in force.
    pub(super) fn accept_bundle(&mut self, ticket: Ticket, bundle: CellBundle) {
        if let Err(problem) = bundle.check() {
            self.answer_bundle(ticket, CallerAnswer::NotRun(Refusal::field(problem)));
            return;
        }
        if self.bundle.accepting.is_some() {
            let detail = "another bundle is being accepted through this instance";
            let refusal = Refusal::temporary(RefusalReason::QueueFull, detail, RETRY_AFTER_MS);
            self.answer_bundle(ticket, CallerAnswer::NotRun(refusal));
            return;
        }
        if bundle.version != self.bundle.bundle.version + 1 {
            let answer = self.version_conflict();
            self.answer_bundle(ticket, answer);
            return;
        }
        let value = rmp_serde::to_vec_named(&bundle).expect("a bundle can be encoded");
        let mut txn = TableTransaction::default();
        txn.require(BUNDLE_KEY, self.bundle.row_version);
        txn.put(BUNDLE_KEY, value);
        self.bundle.accepting = Some(OpenAccept {
            ticket,
            bundle,
            txn: txn.clone(),
            uncertain: false,
        });
        self.send_store_request(StorePurpose::AcceptBundle, StoreRequest::Apply(txn));
    }

    fn version_conflict(&self) -> CallerAnswer {
        let known = &self.bundle.bundle;
        let detail = format!(
            "expected version {}: version {} of {} is in force",
            known.version + 1,
            known.version,
            known.author
        );
        CallerAnswer::NotRun(Refusal::permanent(RefusalReason::VersionConflict, detail))
    }

    pub(super) fn handle_bundle_accepted(&mut self, outcome: &StoreOutcome) {
        let Some(open) = &mut self.bundle.accepting else {
            return;
        };
        match outcome {
            StoreOutcome::Applied { version } => {
                let bundle = open.bundle.clone();
                self.finish_accept(bundle, *version);
            }
            StoreOutcome::Lost if self.settings.guards.enforces(GuardName::ReadBack) => {
                open.uncertain = true;
                let request = StoreRequest::Apply(open.txn.clone());
                self.send_store_request(StorePurpose::AcceptBundle, request);
            }
            StoreOutcome::Conflict { .. } | StoreOutcome::Lost | StoreOutcome::Rows(_) => {
                let key = BUNDLE_KEY.to_owned();
                self.send_store_request(StorePurpose::ReadAccepted, StoreRequest::Read { key });
            }
            StoreOutcome::Busy => {
                let open = self.bundle.accepting.take().expect("checked");
                let reason = RefusalReason::StoreUnavailable;
                let detail = "the table service is busy; nothing was written";
                let refusal = Refusal::temporary(reason, detail, RETRY_AFTER_MS);
                let answer = if open.uncertain {
                    CallerAnswer::Unknown {
                        detail: detail.into(),
                    }
                } else {
                    CallerAnswer::NotRun(refusal)
                };
                self.answer_bundle(open.ticket, answer);
            }
        }
    }

    /// Handles the bundle's row, read after a write met a conflict.
    ///
    /// If an earlier write of the same bundle got no answer, the row shows whether it took effect.
    pub(super) fn handle_accepted_row(&mut self, outcome: StoreOutcome) {
        let StoreOutcome::Rows(rows) = outcome else {
            let key = BUNDLE_KEY.to_owned();
            self.send_store_request(StorePurpose::ReadAccepted, StoreRequest::Read { key });
            return;
        };
        let Some(row) = rows.first() else {
            self.bundle.accepting = None;
            return;
        };
        let stored = rmp_serde::from_slice::<CellBundle>(&row.value).ok();
        let is_ours = self
            .bundle
            .accepting
            .as_ref()
            .is_some_and(|open| open.uncertain && stored.as_ref() == Some(&open.bundle));
        if let (true, Some(bundle)) = (is_ours, stored) {
            self.finish_accept(bundle, row.version);
            return;
        }
        self.record_bundle_row(row);
        if let Some(open) = self.bundle.accepting.take() {
            let answer = self.version_conflict();
            self.answer_bundle(open.ticket, answer);
        }
    }

    fn finish_accept(&mut self, bundle: CellBundle, row_version: RowVersion) {
        let version = bundle.version;
        if version > self.bundle.bundle.version {
            self.put_in_force(bundle, row_version);
        }
        if let Some(open) = self.bundle.accepting.take() {
            self.answer_bundle(open.ticket, CallerAnswer::BundleAccepted(version));
        }
    }

    fn answer_bundle(&mut self, ticket: Ticket, answer: CallerAnswer) {
        if let CallerAnswer::NotRun(refusal) = &answer {
            self.tally.refuse(refusal.reason);
        }
        let here = self.settings.detail.name.clone();
        self.answer(&here, ticket, answer);
    }
}
