//! Logging of the time without a working leader, and of what this instance waits for meanwhile.

use std::time::Duration;

use super::lead_state::LeadState;
use super::EntryCore;
use crate::ids::CoreTime;

/// Interval between two log lines about a leader that is missing or reads the ledger. About fifteen lines of
/// each kind cover an entire recovery.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The current period without a working leader, if there is one.
#[derive(Debug, Default)]
pub(super) struct LeaderGap {
    since: Option<CoreTime>,
    next_line_at: CoreTime,
}

impl EntryCore {
    /// Logs at most once a second that there is no working leader, and what this instance waits for.
    pub(super) fn log_leader_gap(&mut self) {
        let loaded = self.lead.as_deref().map(|lead| lead.loaded);
        let works = loaded.unwrap_or_else(|| self.has_leader_contact());
        if works {
            if let Some(since) = self.leader_gap.since.take() {
                let detail = format!("after {:?}", self.age(since));
                self.log("election", "leader_back", String::new(), detail);
            }
            return;
        }
        let (now, log_at) = (self.now, self.now + LOG_INTERVAL);
        let gap = &mut self.leader_gap;
        if gap.since.is_none() {
            // Shorter gaps are normal during a takeover or a start.
            gap.next_line_at = log_at;
        }
        let since = *gap.since.get_or_insert(now);
        if now < gap.next_line_at {
            return;
        }
        gap.next_line_at = log_at;
        let waited = self.age(since);
        self.counters.count("elections", "seconds_without_leader");
        match self.lead.as_deref() {
            Some(lead) => {
                let detail = self.loading_detail(lead);
                self.log("ledger", "loading", self.applied.to_string(), detail);
            }
            None => {
                let detail = format!("for {waited:?}: {}", self.waiting_reason());
                self.log("election", "without_leader", String::new(), detail);
            }
        }
    }

    /// Returns the milliseconds for which this instance has known no working leader.
    pub(super) fn leaderless_ms(&self) -> u64 {
        let since = self.leader_gap.since;
        since.map_or(0, |since| self.age(since).as_millis() as u64)
    }

    fn loading_detail(&self, lead: &LeadState) -> String {
        let page = self.ledger_page;
        format!(
            "for {:?}, page of {} rows requested {:?} ago, timeout {:?}",
            self.age(lead.began_at),
            page.rows,
            self.age(page.sent_at),
            page.time
        )
    }

    /// Describes what this instance waits for until there is a leader.
    fn waiting_reason(&self) -> String {
        let table = match self.store_last_contact {
            Some(at) => format!("table answered {:?} ago", self.age(at)),
            None => "table never answered".to_owned(),
        };
        let step = if self.stopping {
            "stopping".to_owned()
        } else if !self.members_known {
            "members not read".to_owned()
        } else if !self.registered {
            "own row not written".to_owned()
        } else if let Some(claim) = &self.claim {
            let unanswered = self.claims_unanswered;
            format!(
                "claiming epoch {}, {unanswered} claims unanswered",
                claim.epoch
            )
        } else if let Some(since) = self.suspect_since {
            let (preferred, others) = self.higher_ranked_members();
            format!(
                "waiting {:?} to claim, {preferred} preferred and {others} other members first",
                self.age(since)
            )
        } else {
            let gap = self
                .leader
                .as_ref()
                .map(|leader| self.age(leader.last_contact));
            format!("no contact with the leader for {gap:?}, not suspected")
        };
        format!("{step}, {table}")
    }
}
