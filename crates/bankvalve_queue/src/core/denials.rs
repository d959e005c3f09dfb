//! Denials: what the configuration in force does not have is denied only once it is known that no
//! newer one has it.
//!
//! The pattern that it answers: callers that ask for queues, or with keys, that an instance does not
//! know. Those who are told so are gone, although the queue or the key may have been added a moment
//! ago; each of them asked about by itself, one caller with a wrong key would fill the table's reads.
//! So all that come meanwhile wait for one question to the table, and the next follows after a pause.

use std::time::Duration;

use super::callers::{PATIENCE_PERCENT, RETRY_MS};
use super::EntryCore;
use crate::caller::{CallerAnswer, CallerRequest, DenialReason, RefusalReason};
use crate::core::CoreAction;
use crate::customer::CallerIdentity;
use crate::guard::SiteGuard;
use crate::ids::{CoreTime, Ticket};

/// Longest that a caller waits until it is known whether there is a newer configuration: the table
/// answers within some milliseconds, a slow one in half a second.
const LOOKUP_LIMIT: Duration = Duration::from_millis(1_000);
/// Most callers that wait for it.
const LOOKUP_COUNT: usize = 2_000;

/// A caller whose request the configuration in force denies.
#[derive(Debug)]
pub(super) struct DenialLookup {
    ticket: Ticket,
    /// Host and path that it named.
    asked: String,
    reason: DenialReason,
    at: CoreTime,
    until: CoreTime,
}

impl EntryCore {
    /// A caller's request is denied by the configuration in force. It is told so only once the
    /// table has said, after the request came, which configuration is the newest.
    pub(super) fn handle_denial(
        &mut self,
        ticket: Ticket,
        asked: String,
        reason: DenialReason,
        patience_ms: u64,
    ) {
        let patience = Duration::from_millis(patience_ms * PATIENCE_PERCENT / 100);
        let lookup = DenialLookup {
            ticket,
            asked,
            reason,
            at: self.now,
            until: self.now + patience.min(LOOKUP_LIMIT),
        };
        if !self.enforces(SiteGuard::KnownNewest) {
            self.deny(lookup);
            return;
        }
        if self.tables.lookups.len() >= LOOKUP_COUNT {
            self.refuse_lookup(lookup, "too many wait");
            return;
        }
        self.tables.lookups.push(lookup);
        self.run_table();
    }

    /// The configuration in force is as new as the table's was at a time.
    pub(super) fn end_lookups(&mut self, asked_at: CoreTime) {
        let lookups = std::mem::take(&mut self.tables.lookups);
        let (ready, later): (Vec<_>, Vec<_>) = lookups
            .into_iter()
            .partition(|lookup| lookup.at <= asked_at);
        self.tables.lookups = later;
        for lookup in ready {
            self.deny(lookup);
        }
    }

    /// Gives up those that the table does not answer in time.
    pub(super) fn end_old_lookups(&mut self) {
        let now = self.now;
        if self.tables.lookups.iter().all(|lookup| now < lookup.until) {
            return;
        }
        let lookups = std::mem::take(&mut self.tables.lookups);
        let (over, waiting): (Vec<_>, Vec<_>) =
            lookups.into_iter().partition(|lookup| now >= lookup.until);
        self.tables.lookups = waiting;
        for lookup in over {
            self.refuse_lookup(lookup, "the table does not tell");
        }
    }

    fn deny(&mut self, lookup: DenialLookup) {
        let ticket = lookup.ticket;
        let answer = CallerAnswer::TableIsNewest;
        let version = self.table_version();
        let reason = lookup.reason.as_str();
        self.counters.count("callers", reason);
        self.log_often("callers", reason, || {
            (
                lookup.asked,
                format!("{reason}, version {version} is the newest"),
            )
        });
        self.actions.push(CoreAction::Answer { ticket, answer });
    }

    fn refuse_lookup(&mut self, lookup: DenialLookup, why: &str) {
        let reason = RefusalReason::TableUnsure;
        self.counters.count("callers", "denial_unsure");
        self.counters.refuse(reason);
        let version = self.table_version();
        let denial = lookup.reason.as_str();
        let ticket = lookup.ticket;
        self.log_often("callers", "denial_unsure", || {
            let detail = format!("{denial}, version {version} may be old: {why}");
            (lookup.asked, detail)
        });
        let answer = CallerAnswer::Refused {
            reason,
            retry_ms: RETRY_MS,
        };
        self.actions.push(CoreAction::Answer { ticket, answer });
    }

    /// What the leader's own configuration makes of a request that was read under another.
    ///
    /// A newer one here gives its terms, and has the last word on whether the queue and the key are
    /// there.
    pub(super) fn read_anew(
        &self,
        request: CallerRequest,
        caller: &CallerIdentity,
        version: u64,
    ) -> Result<CallerRequest, RefusalReason> {
        let Some(table) = self.table.as_ref().filter(|table| table.version > version) else {
            return Ok(request);
        };
        let dropped = |key| table.customer_of(key) != caller.customer.as_ref();
        let key_dropped = caller.key.as_ref().is_some_and(dropped);
        match request {
            _ if key_dropped && self.enforces(SiteGuard::LeaderKeys) => {
                Err(RefusalReason::KeyDropped)
            }
            // A copy of one that may be taken up already must not be told that it never runs.
            CallerRequest::Submit { spec, .. } if self.book.job(spec.id).is_none() => {
                let rule = table
                    .queue(&spec.queue)
                    .ok_or(RefusalReason::QueueDropped)?;
                let terms = rule.terms.clone();
                Ok(CallerRequest::Submit { spec, terms })
            }
            CallerRequest::Count { queue } if table.queue(&queue).is_none() => {
                Err(RefusalReason::QueueDropped)
            }
            request => Ok(request),
        }
    }
}
