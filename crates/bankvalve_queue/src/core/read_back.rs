//! Writes without an answer: read back whether they were done, and sent again if they were lost.
//!
//! A table that is slow and one that loses answers look alike at first. Copies help with the second
//! and harm with the first, since the writes of a part are carried out in turn; so it is read back
//! whether a write was done, and it is sent again only if reads are quick and it was not.

use std::time::Duration;

use super::commit::{batch_row, InFlightCommit};
use super::follower::batch_key;
use super::lead_state::LeadState;
use super::store_link::{StorePurpose, LEAD_PART, LEDGER_TABLE};
use super::EntryCore;
use crate::ids::CoreTime;
use crate::policy::PolicySwitch;
use crate::store::{StoreOutcome, StoreRequest};

/// Least and longest time after which it is read back whether a write without an answer was done.
const CHECK_LEAST: Duration = Duration::from_millis(120);
const CHECK_MOST: Duration = Duration::from_millis(450);
/// The usual time of a write, times this, after which it is read back.
const CHECK_FACTOR: u32 = 4;
/// A read-back takes this long at most; a slow table takes some 0.4 s.
const CHECK_TIME: Duration = Duration::from_millis(700);
/// A write that is not done though reads take less than this share of its age is lost rather than
/// slow: a slow table takes twice as long for a write as for a read, and longer if others wait.
const LOST_FACTOR: u32 = 6;
/// Least age of a write that counts as lost.
const LOST_LEAST: Duration = Duration::from_millis(200);
/// Most copies without an answer; they do no harm, since the row of the batch must not be there,
/// but a slow table carries them out in turn.
const MOST_COPIES: u32 = 3;

impl EntryCore {
    /// The write that is on its way.
    fn open_flight(&mut self) -> Option<&mut InFlightCommit> {
        self.lead.as_deref_mut()?.flight.as_mut()
    }

    /// Sees to a write that has no answer yet.
    pub(super) fn pursue_commit(&mut self) {
        let now = self.now;
        let away = self.store_is_unavailable();
        let read_back = self.uses(PolicySwitch::ReadBack);
        let Some(flight) = self.open_flight() else {
            return;
        };
        if flight.copies == 0 {
            if now >= flight.next_at {
                self.send_copy();
            }
            return;
        }
        if away && !flight.uncertain {
            flight.uncertain = true;
            self.withdraw_uncommitted();
            return;
        }
        if !flight.checking && now >= flight.check_at {
            if read_back {
                self.check_flight();
            } else if flight.copies < MOST_COPIES {
                self.send_copy();
            }
        }
    }

    /// Reads back whether a write without an answer was done.
    fn check_flight(&mut self) {
        let now = self.now;
        let Some(flight) = self.open_flight() else {
            return;
        };
        flight.checking = true;
        let sequence = flight.sequence;
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
        self.send_store_request_within(purpose, request, CHECK_TIME);
    }

    pub(super) fn end_check(&mut self, sequence: u64, sent_at: CoreTime, outcome: &StoreOutcome) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let same = |flight: &&mut InFlightCommit| flight.sequence == sequence;
        let Some(flight) = lead.flight.as_mut().filter(same) else {
            return;
        };
        flight.checking = false;
        flight.check_at = now + CHECK_LEAST;
        let StoreOutcome::Rows { rows, .. } = outcome else {
            return;
        };
        lead.unanswered_since = None;
        let key = batch_row(sequence);
        match rows.iter().find(|row| row.key == key) {
            Some(row) if row.value == flight.rows[0] => {
                let begun_at = flight.since;
                self.log("ledger", "read_back", sequence.to_string(), "done".into());
                self.finish_commit(begun_at);
            }
            Some(_) => {
                self.step_down("another leader wrote the ledger on");
                self.read_leader_row();
            }
            None => {
                let took = now.saturating_sub(sent_at);
                let age = now.saturating_sub(flight.sent_at);
                let lost = age > LOST_LEAST.max(took * LOST_FACTOR);
                if lost && flight.copies < MOST_COPIES {
                    let detail = format!("not done after {age:?}, reads take {took:?}");
                    self.log("ledger", "copy", sequence.to_string(), detail);
                    self.send_copy();
                }
            }
        }
    }

    /// Sends the write that is on its way once more.
    fn send_copy(&mut self) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let pause = lead.check_pause();
        if let Some(flight) = lead.flight.as_mut() {
            flight.copies += 1;
            flight.sent_at = now;
            flight.check_at = now + pause;
            self.send_commit();
        }
    }
}

impl LeadState {
    /// Wait for a write's answer before it is read back.
    pub(super) fn check_pause(&self) -> Duration {
        (self.commit_time * CHECK_FACTOR).clamp(CHECK_LEAST, CHECK_MOST)
    }
}
