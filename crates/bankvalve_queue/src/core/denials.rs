//! Denials: a queue or a key that is not in the configuration in force is denied only once it is
//! known that no newer configuration has it.
//!
//! Problem: callers name queues, or send keys, that an instance does not know. A caller that is denied
//! does not retry, although the queue or the key may have been added a moment ago. But with a query of
//! its own for each request, one caller with a wrong key would use up the table's reads. So all
//! requests that arrive in the meantime wait for one configuration query, and the next query follows
//! after a pause.
//!
//! A request that waited is handled by a newer configuration only if that came into force soon after the
//! request had arrived. Otherwise requests that came after it may have been handled by the older one, and
//! the instance would go back from one to the other.

use std::time::Duration;

use super::callers::{RETRY_MS, TIMEOUT_PERCENT};
use super::table_watch::ConfigRequest;
use super::EntryCore;
use crate::caller::{CallerAnswer, CallerRequest, DenialReason, RefusalReason};
use crate::core::CoreAction;
use crate::customer::CallerIdentity;
use crate::guard::SiteGuard;
use crate::ids::{CoreTime, Ticket};

/// Maximum time that a caller waits until it is known whether there is a newer configuration. The
/// table answers within a few milliseconds, or half a second if it is slow.
const MAX_LOOKUP_WAIT: Duration = Duration::from_millis(1_000);
/// Maximum time between a request's arrival and the time when a configuration comes into force that handles
/// it. Requests that arrived after it may have been handled by the configuration before.
const MAX_CHANGE_DELAY: Duration = Duration::from_millis(150);
/// Maximum number of callers that wait for a configuration query.
const MAX_LOOKUPS: usize = 2_000;

/// A caller whose request would be denied by the configuration in force.
#[derive(Debug)]
pub(super) struct DenialLookup {
    ticket: Ticket,
    /// Host and path that the caller named.
    host_and_path: String,
    reason: DenialReason,
    at: CoreTime,
    until: CoreTime,
}

impl EntryCore {
    /// Handles a request that the configuration in force denies. The caller is denied only once the table
    /// has reported, to a query sent after the request arrived, which configuration is the newest.
    pub(super) fn handle_denial(
        &mut self,
        ticket: Ticket,
        host_and_path: String,
        reason: DenialReason,
        patience_ms: u64,
    ) {
        let timeout = Duration::from_millis(patience_ms * TIMEOUT_PERCENT / 100);
        let lookup = DenialLookup {
            ticket,
            host_and_path,
            reason,
            at: self.now,
            until: self.now + timeout.min(MAX_LOOKUP_WAIT),
        };
        if !self.enforces(SiteGuard::KnownNewest) {
            self.deny(lookup, &ConfigRequest::default());
            return;
        }
        if self.tables.lookups.len() >= MAX_LOOKUPS {
            self.refuse_lookup(lookup, "too many callers wait");
            return;
        }
        self.tables.lookups.push(lookup);
        self.run_table();
    }

    /// Denies the callers that came before a request for the configuration was sent: its answer shows that the
    /// configuration in force was the newest then.
    pub(super) fn end_lookups(&mut self, proof: &ConfigRequest) {
        let lookups = std::mem::take(&mut self.tables.lookups);
        let (ready, later): (Vec<_>, Vec<_>) = lookups
            .into_iter()
            .partition(|lookup| lookup.ticket < proof.ticket);
        self.tables.lookups = later;
        for lookup in ready {
            self.deny(lookup, proof);
        }
    }

    /// Refuses the callers for which the table has not answered in time.
    pub(super) fn expire_lookups(&mut self) {
        let now = self.now;
        if self.tables.lookups.iter().all(|lookup| now < lookup.until) {
            return;
        }
        let lookups = std::mem::take(&mut self.tables.lookups);
        let (timed_out, waiting): (Vec<_>, Vec<_>) =
            lookups.into_iter().partition(|lookup| now >= lookup.until);
        self.tables.lookups = waiting;
        for lookup in timed_out {
            self.refuse_lookup(lookup, "the table does not answer");
        }
    }

    fn deny(&mut self, lookup: DenialLookup, proof: &ConfigRequest) {
        let ticket = lookup.ticket;
        let changed_late = self.tables.in_force_since > lookup.at + MAX_CHANGE_DELAY;
        let answer = if changed_late && self.enforces(SiteGuard::ChangeInTime) {
            self.counters.count("callers", "config_changed");
            let retry_ms = RETRY_MS;
            CallerAnswer::TableChanged { retry_ms }
        } else {
            CallerAnswer::TableIsNewest
        };
        let version = self.table_version();
        let reason = lookup.reason.as_str();
        let (waited, proof_age) = (self.age(lookup.at), self.age(proof.sent_at));
        self.counters.count("callers", reason);
        self.log_often("callers", reason, || {
            let detail = format!(
                "{reason} after {waited:?}, version {version} is the newest, by a request {proof_age:?} ago \
                 for {}",
                proof.text()
            );
            (lookup.host_and_path, detail)
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
            let detail = format!("{denial}, version {version} may be outdated: {why}");
            (lookup.host_and_path, detail)
        });
        let answer = CallerAnswer::Refused {
            reason,
            retry_ms: RETRY_MS,
        };
        self.actions.push(CoreAction::Answer { ticket, answer });
    }

    /// Returns whether a request would be handled by an older configuration than a former leader accepted a job
    /// by: both this leader and the instance that interpreted the request have older ones.
    fn is_by_outdated_config(&self, request: &CallerRequest, version: u64) -> bool {
        let depends_on_config = match request {
            CallerRequest::Submit { spec, .. } => self.book.job(spec.id).is_none(),
            CallerRequest::Count { .. } => true,
            CallerRequest::Status { .. } | CallerRequest::Cancel { .. } => false,
        };
        let lead = self.lead.as_deref();
        let former = lead.map_or(0, |lead| lead.former_table_version);
        let newest = version.max(self.table_version());
        depends_on_config && newest < former && self.enforces(SiteGuard::FormerConfig)
    }

    /// Applies the leader's configuration to a request that an instance interpreted under `version`.
    ///
    /// If the leader's configuration is newer, the job gets its terms, and it decides whether the queue and
    /// the key exist.
    pub(super) fn reinterpret(
        &self,
        request: CallerRequest,
        caller: &CallerIdentity,
        version: u64,
    ) -> Result<CallerRequest, RefusalReason> {
        if self.is_by_outdated_config(&request, version) {
            return Err(RefusalReason::ConfigOutdated);
        }
        let Some(table) = self.table.as_ref().filter(|table| table.version > version) else {
            return Ok(request);
        };
        let dropped = |key| table.customer_of(key) != caller.customer.as_ref();
        let key_dropped = caller.key.as_ref().is_some_and(dropped);
        match request {
            _ if key_dropped && self.enforces(SiteGuard::LeaderKeys) => {
                Err(RefusalReason::KeyDropped)
            }
            // A copy of a job that is known already must not be refused, since the job may run.
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
