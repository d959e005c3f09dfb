//! Sight: how long there has been no leader that works, as far as is known, and what for.

use std::time::Duration;

use super::lead_state::LeadState;
use super::EntryCore;
use crate::ids::CoreTime;

/// Time between two log lines about a leader that is missing or reads the ledger: some fifteen of
/// each tell a whole recovery.
const TELL_EVERY: Duration = Duration::from_secs(1);

/// Since when there has been no leader that works.
#[derive(Debug, Default)]
pub(super) struct LeaderGap {
    since: Option<CoreTime>,
    next_line: CoreTime,
}

impl EntryCore {
    /// Logs, once a second at most, that no leader works and what is waited for.
    pub(super) fn watch_leader(&mut self) {
        let loaded = self.lead.as_deref().map(|lead| lead.loaded);
        let works = loaded.unwrap_or_else(|| self.has_leader_contact());
        if works {
            if let Some(since) = self.leader_gap.since.take() {
                let detail = format!("after {:?}", self.age(since));
                self.log("election", "leader_back", String::new(), detail);
            }
            return;
        }
        let (now, tell_at) = (self.now, self.now + TELL_EVERY);
        let gap = &mut self.leader_gap;
        if gap.since.is_none() {
            // Shorter gaps are usual: a takeover, or a start.
            gap.next_line = tell_at;
        }
        let since = *gap.since.get_or_insert(now);
        if now < gap.next_line {
            return;
        }
        gap.next_line = tell_at;
        let waited = self.age(since);
        self.counters.count("elections", "seconds_without_leader");
        match self.lead.as_deref() {
            Some(lead) => {
                let detail = self.loading_detail(lead);
                self.log("ledger", "loading", self.applied.to_string(), detail);
            }
            None => {
                let detail = format!("for {waited:?}: {}", self.waits_for());
                self.log("election", "without_leader", String::new(), detail);
            }
        }
    }

    /// Milliseconds for which there has been no leader that works, as far as is known.
    pub(super) fn leaderless_ms(&self) -> u64 {
        let since = self.leader_gap.since;
        since.map_or(0, |since| self.age(since).as_millis() as u64)
    }

    fn loading_detail(&self, lead: &LeadState) -> String {
        let page = self.ledger_page;
        format!(
            "since {:?}, page of {} rows asked {:?} ago, time {:?}",
            self.age(lead.began_at),
            page.rows,
            self.age(page.asked_at),
            page.time
        )
    }

    /// What stands between this instance and a leader.
    fn waits_for(&self) -> String {
        let table = match self.store_last_contact {
            Some(at) => format!("table heard {:?} ago", self.age(at)),
            None => "table never heard".to_owned(),
        };
        let step = if self.stopping {
            "stops".to_owned()
        } else if !self.members_known {
            "members not read".to_owned()
        } else if !self.registered {
            "own row not written".to_owned()
        } else if let Some(claim) = &self.claim {
            let lost = self.claims_unanswered;
            format!("claim of epoch {}, {lost} unanswered", claim.epoch)
        } else if let Some(since) = self.suspect_since {
            let (near, far) = self.higher_ranked_members();
            format!(
                "turn to claim, {:?} so far, {near} near and {far} others first",
                self.age(since)
            )
        } else {
            let silence = self
                .leader
                .as_ref()
                .map(|leader| self.age(leader.last_contact));
            format!("leader silent for {silence:?}, not suspected")
        };
        format!("{step}, {table}")
    }
}
