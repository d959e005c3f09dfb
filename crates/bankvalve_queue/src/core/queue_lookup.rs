//! Queues that are asked for and not known: whether a newer configuration may have them.

use std::time::Duration;

use super::callers::{PATIENCE_PERCENT, RETRY_MS};
use super::EntryCore;
use crate::caller::{CallerAnswer, CallerRequest, RefusalReason};
use crate::core::CoreAction;
use crate::guard::SiteGuard;
use crate::ids::{CoreTime, Ticket};

/// Longest that a caller waits until it is known whether there is a newer configuration: the table
/// answers within some milliseconds, a slow one in half a second.
const LOOKUP_LIMIT: Duration = Duration::from_millis(1_000);
/// Most callers that wait for it.
const LOOKUP_COUNT: usize = 2_000;

/// A caller that asked for a queue that the configuration in force does not have.
#[derive(Debug)]
pub(super) struct QueueLookup {
    ticket: Ticket,
    /// Host and path that it named.
    asked: String,
    at: CoreTime,
    until: CoreTime,
}

impl EntryCore {
    /// A caller asks for a queue that is not known here. It is told that only once the table has
    /// said, after the request came, which configuration is the newest.
    pub(super) fn take_lookup(&mut self, ticket: Ticket, asked: String, patience_ms: u64) {
        let patience = Duration::from_millis(patience_ms * PATIENCE_PERCENT / 100);
        if !self.keeps(SiteGuard::KnownNewest) {
            self.tell_newest(ticket, asked);
            return;
        }
        if self.tables.lookups.len() >= LOOKUP_COUNT {
            self.refuse_lookup(ticket, asked, "too many wait");
            return;
        }
        self.tables.lookups.push(QueueLookup {
            ticket,
            asked,
            at: self.now,
            until: self.now + patience.min(LOOKUP_LIMIT),
        });
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
            self.tell_newest(lookup.ticket, lookup.asked);
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
            self.refuse_lookup(lookup.ticket, lookup.asked, "the table does not tell");
        }
    }

    fn tell_newest(&mut self, ticket: Ticket, asked: String) {
        let answer = CallerAnswer::TableIsNewest;
        let version = self.table_version();
        self.counters.count("callers", "no_queue");
        let detail = format!("version {version} is the newest");
        self.log("callers", "no_queue", asked, detail);
        self.actions.push(CoreAction::Answer { ticket, answer });
    }

    fn refuse_lookup(&mut self, ticket: Ticket, asked: String, why: &str) {
        let reason = RefusalReason::TableUnsure;
        self.counters.count("callers", "queue_unsure");
        self.counters.refuse(reason);
        let version = self.table_version();
        let detail = format!("version {version} may be old: {why}");
        self.log("callers", "queue_unsure", asked, detail);
        let answer = CallerAnswer::Refused {
            reason,
            retry_ms: RETRY_MS,
        };
        self.actions.push(CoreAction::Answer { ticket, answer });
    }

    /// What the leader's own configuration makes of a request that was read under another.
    ///
    /// A newer one here gives its terms, and has the last word on whether the queue is there.
    pub(super) fn read_anew(
        &self,
        request: CallerRequest,
        version: u64,
    ) -> Result<CallerRequest, RefusalReason> {
        let Some(table) = self.table.as_ref().filter(|table| table.version > version) else {
            return Ok(request);
        };
        match request {
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
