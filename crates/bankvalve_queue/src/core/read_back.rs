//! Unanswered writes: reads back whether they were applied, and sends them again if they were lost.
//!
//! At first, a slow table looks like one that loses answers. Another copy of the write helps if the
//! first was lost. It does harm if the table is slow, since the writes to one part of a table are
//! applied one after the other. So the row is read back first, and the write is sent again only if the
//! row is missing and reads are fast.

use std::time::Duration;

use super::commit::{batch_row, InFlightCommit};
use super::follower::batch_key;
use super::lead_state::LeadState;
use super::store_link::{StorePurpose, LEAD_PART, LEDGER_TABLE};
use super::EntryCore;
use crate::ids::CoreTime;
use crate::policy::PolicySwitch;
use crate::store::{StoreOutcome, StoreRequest};

/// Minimum and maximum delay before an unanswered write is read back.
const MIN_CHECK_DELAY: Duration = Duration::from_millis(120);
const MAX_CHECK_DELAY: Duration = Duration::from_millis(450);
/// Multiple of the usual duration of a write after which an unanswered one is read back.
const CHECK_DELAY_FACTOR: u32 = 4;
/// Timeout of the read. A slow table takes about 0.4 s.
const CHECK_TIMEOUT: Duration = Duration::from_millis(700);
/// A write that a read did not find counts as lost once it is older than this multiple of the duration
/// of the read. A slow table takes twice as long for a write as for a read, and longer if other writes
/// wait.
const LOST_AGE_FACTOR: u32 = 6;
/// Minimum age of a write that counts as lost.
const MIN_LOST_AGE: Duration = Duration::from_millis(200);
/// Maximum number of unanswered copies. They are harmless, since each requires that the batch's row
/// does not exist yet, but a slow table processes them one after the other.
const MAX_COPIES: u32 = 3;

impl EntryCore {
    /// Returns the in-flight write.
    fn in_flight_commit(&mut self) -> Option<&mut InFlightCommit> {
        self.lead.as_deref_mut()?.in_flight_commit.as_mut()
    }

    /// Sends the in-flight write again, reads it back, or withdraws its jobs, whichever is due.
    pub(super) fn pursue_commit(&mut self) {
        let now = self.now;
        let unavailable = self.store_is_unavailable();
        let read_back = self.uses(PolicySwitch::ReadBack);
        let Some(commit) = self.in_flight_commit() else {
            return;
        };
        if commit.copies == 0 {
            if now >= commit.next_at {
                self.send_copy();
            }
            return;
        }
        if unavailable && !commit.uncertain {
            commit.uncertain = true;
            self.withdraw_uncommitted();
            return;
        }
        if !commit.checking && now >= commit.check_at {
            if read_back {
                self.check_commit();
            } else if commit.copies < MAX_COPIES {
                self.send_copy();
            }
        }
    }

    /// Reads the row of the first batch in flight to find out whether the write was applied.
    fn check_commit(&mut self) {
        let now = self.now;
        let Some(commit) = self.in_flight_commit() else {
            return;
        };
        commit.checking = true;
        let sequence = commit.sequence;
        let request = StoreRequest::Read {
            table: LEDGER_TABLE.to_owned(),
            part: LEAD_PART.to_owned(),
            from: batch_key(sequence),
            limit: Some(1),
        };
        self.counters.count("commits", "read_back");
        let purpose = StorePurpose::CheckCommit {
            sequence,
            sent_at: now,
        };
        self.send_store_request_within(purpose, request, CHECK_TIMEOUT);
    }

    pub(super) fn end_commit_check(
        &mut self,
        sequence: u64,
        sent_at: CoreTime,
        outcome: &StoreOutcome,
    ) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let is_current = |commit: &&mut InFlightCommit| commit.sequence == sequence;
        let Some(commit) = lead.in_flight_commit.as_mut().filter(is_current) else {
            return;
        };
        commit.checking = false;
        commit.check_at = now + MIN_CHECK_DELAY;
        let StoreOutcome::Rows { rows, .. } = outcome else {
            return;
        };
        lead.unanswered_since = None;
        let key = batch_row(sequence);
        match rows.iter().find(|row| row.key == key) {
            Some(row) if row.value == commit.rows[0] => {
                let begun_at = commit.since;
                self.log("ledger", "read_back", sequence.to_string(), "done".into());
                self.finish_commit(begun_at);
            }
            Some(_) => {
                self.step_down("another leader has written this batch of the ledger");
                self.read_leader_row();
            }
            None => {
                let took = now.saturating_sub(sent_at);
                let age = now.saturating_sub(commit.sent_at);
                let lost = age > MIN_LOST_AGE.max(took * LOST_AGE_FACTOR);
                if lost && commit.copies < MAX_COPIES {
                    let detail = format!("not applied after {age:?}, the read took {took:?}");
                    self.log("ledger", "copy", sequence.to_string(), detail);
                    self.send_copy();
                }
            }
        }
    }

    /// Sends another copy of the in-flight write.
    fn send_copy(&mut self) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let pause = lead.commit_check_delay();
        if let Some(commit) = lead.in_flight_commit.as_mut() {
            commit.copies += 1;
            commit.sent_at = now;
            commit.check_at = now + pause;
            self.send_commit();
        }
    }
}

impl LeadState {
    /// Returns the delay before an unanswered write is read back.
    pub(super) fn commit_check_delay(&self) -> Duration {
        (self.commit_time * CHECK_DELAY_FACTOR).clamp(MIN_CHECK_DELAY, MAX_CHECK_DELAY)
    }
}
