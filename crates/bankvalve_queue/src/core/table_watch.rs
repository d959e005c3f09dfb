//! The operator's configuration: how an instance learns of a newer version and reads it.
//!
//! Each instance watches the table. Heartbeats contain the version that a peer has in force. An
//! instance that is behind sends a separate query to the table, since its watch may no longer deliver
//! anything. It asks a peer only if the table does not answer (`table_pull`). Peers send a configuration
//! only on request, since a large one fills a slow link for a second.

use std::fmt;
use std::time::Duration;

use super::denials::DenialLookup;
use super::store_link::{StorePurpose, WatchState, RELAXED_WATCH_WAIT, RETRY_PAUSE};
use super::table_pull::{OutgoingCopy, PeerPull};
use super::EntryCore;
use crate::core::CoreAction;
use crate::guard::SiteGuard;
use crate::ids::{CoreTime, Ticket};
use crate::queue_table::QueueTable;
use crate::store::{OperatorNews, StoreOutcome, StoreRequest};

/// Maximum wait of a watch. A connection on which an answer was lost delivers nothing more, so this
/// bounds how old the configuration can get.
const WATCH_WAIT: Duration = Duration::from_millis(1_000);
/// Wait that a query allows the table, in milliseconds: the minimum, so the table answers at once.
const QUERY_WAIT_MS: u64 = 1;
/// Time without an answer to a query after which a peer may be asked as well.
const QUERY_UNANSWERED_AFTER: Duration = Duration::from_millis(500);
/// Time within which the watch usually delivers a version that a peer has announced. The table answers
/// all watches at once, and a second copy of a large row would compete with the first for the link.
const ANNOUNCED_GRACE: Duration = Duration::from_millis(250);
/// Minimum delay between reads of two changes of the configuration. A large one takes a small instance
/// about 0.1 s, and in a quick series only the last one counts.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_millis(300);
/// Delay after a configuration that could not be read.
const UNREADABLE_RETRY_DELAY: Duration = Duration::from_millis(1_000);
/// Age of the last confirmation that the configuration is the newest from which a leader queries the table.
/// Its watch usually confirms that each second.
const LEADER_QUERY_AGE: Duration = Duration::from_millis(2_000);
/// Maximum age of that confirmation for a leader to start tasks. A configuration that has since been written
/// may have lower limits.
const MAX_START_CONFIG_AGE: Duration = Duration::from_millis(4_000);
/// Delay after a query that was answered. Each call costs money, and the table can handle about 6,000
/// a second from all instances together.
const QUERY_INTERVAL: Duration = Duration::from_millis(50);

/// Where a configuration came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TableSource {
    /// The platform's table.
    Table,
    /// A peer.
    Peer,
}

/// A request for the configuration, as it was sent.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ConfigRequest {
    /// Its ticket. Requests of callers with lower tickets came before it.
    pub(super) ticket: Ticket,
    pub(super) sent_at: CoreTime,
    /// Version of the table after which it asks for changes; `None` if it reads the complete configuration.
    after: Option<u64>,
    /// Newest version of the configuration that peers had announced by then.
    announced: u64,
}

impl ConfigRequest {
    /// Describes the request for the log.
    pub(super) fn text(&self) -> String {
        let asked = match self.after {
            Some(after) => format!("changes after {after}"),
            None => "all rows".to_owned(),
        };
        format!("{asked}, version {} was announced", self.announced)
    }
}

/// State of watching and querying the operator's configuration.
#[derive(Debug, Default)]
pub(super) struct TableWatch {
    watch: WatchState,
    /// The watch in flight, or the last one.
    watch_request: ConfigRequest,
    query: Option<ConfigRequest>,
    query_failures: u32,
    next_query_at: CoreTime,
    /// Request whose answer has begun to arrive.
    arriving: Option<Ticket>,
    /// Newest version that a peer has announced.
    announced: u64,
    /// Since when this instance has been behind an announced version.
    behind_since: CoreTime,
    /// The configuration as the operator wrote it.
    pub(super) raw: Vec<u8>,
    /// When the configuration in force arrived.
    pub(super) in_force_since: CoreTime,
    /// When the table last answered a watch or a query of the configuration.
    pub(super) confirmed: Option<CoreTime>,
    pub(super) pull: PeerPull,
    pub(super) outgoing: Option<OutgoingCopy>,
    pub(super) lookups: Vec<DenialLookup>,
    /// When the configuration in force was last known to be the newest, from the table or from a peer
    /// with the same version.
    pub(super) newest_at: Option<CoreTime>,
}

impl TableWatch {
    /// Returns the version of the table up to which changes of the operator's rows are known.
    pub(super) fn watched_after(&self) -> Option<u64> {
        self.watch.after
    }

    /// Returns whether the last query failed or has been unanswered for too long, while no answer is
    /// arriving.
    pub(super) fn is_unanswered(&self, now: CoreTime) -> bool {
        let is_late = |query: &ConfigRequest| {
            let age = now.saturating_sub(query.sent_at);
            self.query_failures > 0 || age >= QUERY_UNANSWERED_AFTER
        };
        let unanswered = match &self.query {
            Some(query) => is_late(query),
            None => self.query_failures > 0,
        };
        self.arriving.is_none() && unanswered
    }

    fn new_request(&self, now: CoreTime) -> ConfigRequest {
        ConfigRequest {
            ticket: Ticket::default(),
            sent_at: now,
            after: self.watch.after,
            announced: self.announced,
        }
    }

    /// Records that all changes up to a version of the table are known, after an answer to `request`.
    ///
    /// Changes since a version show nothing about those before it. So after a reset, only a complete read
    /// sets the version again.
    fn advance_position(&mut self, request: &ConfigRequest, version: u64) {
        let known = self.watch.after;
        let adjoins = match request.after {
            None => true,
            Some(after) => known.is_some_and(|known| after <= known),
        };
        if adjoins {
            self.watch.after = Some(known.unwrap_or(0).max(version));
        }
    }
}

impl EntryCore {
    /// Watches the configuration, and queries it if the watch is not enough.
    pub(super) fn run_table(&mut self) {
        self.watch_config();
        self.query_config();
        self.run_evacuation_read();
        self.run_pull();
        self.expire_lookups();
    }

    /// Returns whether the configuration was known to be the newest recently enough to start tasks by it.
    ///
    /// After an outage of the table, a leader may have one that is many versions behind.
    pub(super) fn may_start_by_config(&self) -> bool {
        let recent = |at| self.age(at) < MAX_START_CONFIG_AGE;
        !self.enforces(SiteGuard::RecentConfig) || self.tables.newest_at.is_some_and(recent)
    }

    /// Returns whether this instance leads and has not known for a while whether its configuration is the
    /// newest.
    fn leads_by_old_config(&self) -> bool {
        let old = |at| self.age(at) >= LEADER_QUERY_AGE;
        self.lead.is_some() && self.table.is_some() && self.tables.newest_at.is_none_or(old)
    }

    fn watch_config(&mut self) {
        let now = self.now;
        let wait = if self.relies_on_others() {
            RELAXED_WATCH_WAIT
        } else {
            WATCH_WAIT
        };
        let tables = &mut self.tables;
        // The answer to a query contains the same changes.
        if !tables.watch.is_due(now) || tables.query.is_some() {
            return;
        }
        tables.watch.busy = true;
        tables.watch_request = tables.new_request(now);
        let request = match tables.watch.after {
            None => StoreRequest::ReadOperator,
            Some(after) => {
                let wait_ms = wait.as_millis() as u64;
                StoreRequest::WatchOperator { after, wait_ms }
            }
        };
        let ticket = self.send_store_request(StorePurpose::WatchConfig, request);
        self.tables.watch_request.ticket = ticket;
    }

    /// Queries the table for a newer version, if a peer has announced one or the configuration in force
    /// denies a caller's request. Only one query is in flight at a time.
    fn query_config(&mut self) {
        let now = self.now;
        let behind = self.is_behind_announced();
        let leads_by_old_config = self.leads_by_old_config();
        let tables = &mut self.tables;
        let watch_fresh = tables.watch.busy && now < tables.watch_request.sent_at + ANNOUNCED_GRACE;
        let announced_due = now >= tables.behind_since + ANNOUNCED_GRACE
            && now >= tables.in_force_since + MIN_CHANGE_INTERVAL
            && !watch_fresh;
        let wanted = (behind && announced_due) || !tables.lookups.is_empty() || leads_by_old_config;
        let idle = tables.query.is_none() && tables.arriving.is_none();
        if !wanted || !idle || now < tables.next_query_at {
            return;
        }
        let request = match tables.watch.after {
            None => StoreRequest::ReadOperator,
            Some(after) => {
                let wait_ms = QUERY_WAIT_MS;
                StoreRequest::WatchOperator { after, wait_ms }
            }
        };
        let query = tables.new_request(now);
        self.counters.count("config", "question");
        let ticket = self.send_store_request(StorePurpose::QueryConfig, request);
        self.tables.query = Some(ConfigRequest { ticket, ..query });
    }

    /// Returns whether a peer has announced a newer version than the one in force here.
    pub(super) fn is_behind_announced(&self) -> bool {
        self.tables.announced > self.table_version()
    }

    /// Records that the configuration in force was the newest at a time.
    fn record_newest_at(&mut self, at: CoreTime) {
        let newest = &mut self.tables.newest_at;
        *newest = (*newest).max(Some(at));
    }

    /// Records that a peer with this version in force knew it to be the newest `age_ms` ago.
    pub(super) fn record_newest_version(&mut self, version: u64, age_ms: Option<u64>) {
        let Some(age_ms) = age_ms.filter(|_| version == self.table_version()) else {
            return;
        };
        let at = self.now.checked_sub(Duration::from_millis(age_ms));
        if let Some(at) = at {
            self.record_newest_at(at);
        }
    }

    /// Returns whether the configuration was known to be the newest recently enough to rely on its keys.
    /// Always true unless the operator has set a limit.
    pub(super) fn knows_keys(&self) -> bool {
        let limit = self.settings.key_age_limit;
        let fresh = |limit| self.tables.newest_at.is_some_and(|at| self.age(at) < limit);
        limit.is_none_or(fresh)
    }

    /// Records a version that a peer has in force, or that the ledger names.
    pub(super) fn record_announced_version(&mut self, source: impl fmt::Display, version: u64) {
        let in_force = self.table_version();
        if version <= in_force || version <= self.tables.announced {
            return;
        }
        if !self.is_behind_announced() {
            self.tables.behind_since = self.now;
        }
        self.tables.announced = version;
        let detail = format!("by {source}, {in_force} is in force");
        self.log("config", "announced", version.to_string(), detail);
    }

    /// Records that an answer about the configuration has begun to arrive.
    pub(super) fn store_begins(&mut self, ticket: Ticket) {
        let request = self.open_store_requests.get(&ticket);
        let purpose = request.map(|request| &request.purpose);
        if matches!(
            purpose,
            Some(StorePurpose::WatchConfig | StorePurpose::QueryConfig)
        ) {
            self.extend_store_request(ticket);
            self.tables.arriving = Some(ticket);
            self.store_last_contact = Some(self.now);
        }
    }

    /// Records that an answer has arrived completely, or will not.
    pub(super) fn store_arrived(&mut self, ticket: Ticket) {
        if self.tables.arriving == Some(ticket) {
            self.tables.arriving = None;
        }
    }

    /// Handles the result of the watch on the configuration.
    pub(super) fn end_config_watch(&mut self, outcome: StoreOutcome) {
        let now = self.now;
        self.tables.watch.busy = false;
        match outcome {
            StoreOutcome::Operator { news, version } => {
                let changed = news.table.is_some();
                let request = self.tables.watch_request;
                let read = self.handle_config_news(news, version, &request);
                // The table answers again, so a query that failed before says nothing any more.
                self.tables.query_failures = 0;
                let watch = &mut self.tables.watch;
                watch.failures = 0;
                if !read {
                    watch.next_at = now + UNREADABLE_RETRY_DELAY;
                } else if changed {
                    watch.next_at = now + MIN_CHANGE_INTERVAL;
                }
            }
            StoreOutcome::HistoryGone => self.tables.watch.after = None,
            _ => self.tables.watch.back_off(now),
        }
        self.run_watches();
    }

    /// Handles the result of a configuration query.
    pub(super) fn end_config_query(&mut self, outcome: StoreOutcome) {
        let now = self.now;
        let Some(query) = self.tables.query.take() else {
            return;
        };
        match outcome {
            StoreOutcome::Operator { news, version } => {
                self.tables.query_failures = 0;
                self.tables.next_query_at = now + QUERY_INTERVAL;
                if !self.handle_config_news(news, version, &query) {
                    self.tables.next_query_at = now + UNREADABLE_RETRY_DELAY;
                } else if !self.is_disproved(&query) {
                    self.end_lookups(&query);
                }
            }
            // The complete configuration is read at once, since a caller may be waiting.
            StoreOutcome::HistoryGone => self.tables.watch.after = None,
            _ => {
                let pause = RETRY_PAUSE * 2_u32.pow(self.tables.query_failures.min(3));
                self.tables.query_failures += 1;
                self.tables.next_query_at = now + pause;
            }
        }
        self.run_watches();
    }

    /// Returns whether the answer to a request for changes does not prove that the configuration in force is
    /// the newest: peers had announced a newer version before the request was sent.
    fn is_disproved(&self, request: &ConfigRequest) -> bool {
        let lacks_announced = self.table_version() < request.announced;
        lacks_announced && request.after.is_some() && self.enforces(SiteGuard::AnnouncedNewest)
    }

    /// Handles the answer to a request that lacks a version that peers had announced before.
    fn handle_missing_version(&mut self, request: &ConfigRequest) {
        let version = request.announced.to_string();
        let tables = &mut self.tables;
        if request.after.is_some() {
            // The version up to which changes were known is wrong, so the next request reads all. It is sent
            // at once, since a caller may be waiting.
            tables.watch.after = None;
            tables.next_query_at = self.now;
            self.log("config", "missed", version, request.text());
            return;
        }
        if tables.announced == request.announced {
            tables.announced = 0;
        }
        tables.next_query_at = self.now + UNREADABLE_RETRY_DELAY;
        if let Some(lead) = self.lead.as_deref_mut() {
            // The operator has begun again with lower versions.
            lead.former_table_version = 0;
        }
        self.log("config", "not_there", version, String::new());
    }

    /// Handles the table's answer to a request. Returns whether the configuration in it could be read.
    fn handle_config_news(
        &mut self,
        news: OperatorNews,
        version: u64,
        request: &ConfigRequest,
    ) -> bool {
        self.handle_evacuation_news(news.evacuations, version);
        if news.table.is_none() && !news.raw.is_empty() {
            let detail = format!("{} bytes at version {version}", news.raw.len());
            self.log("config", "unreadable", String::new(), detail);
            self.counters.count("config", "unreadable");
            return false;
        }
        self.tables.confirmed = Some(self.now);
        self.tables.advance_position(request, version);
        if let Some(table) = news.table {
            self.use_table(table, news.raw, TableSource::Table);
        }
        if self.table_version() < request.announced {
            self.handle_missing_version(request);
        } else {
            self.record_newest_at(request.sent_at);
        }
        true
    }

    /// Puts a configuration in force, unless it is older than or the same as the one in force.
    pub(super) fn use_table(&mut self, table: QueueTable, raw: Vec<u8>, source: TableSource) {
        let version = table.version;
        let known = self.table_version();
        let older = known > version;
        if older {
            let detail = format!("from {source:?}, {known} is in force");
            self.log("config", "older", version.to_string(), detail);
        }
        // The same version arrives again if the table has dropped its history and all is read again.
        let same = self.table.is_some() && known == version;
        if same || (older && self.enforces(SiteGuard::NewerTable)) {
            return;
        }
        let detail = format!(
            "from {source:?} after {known}, {} queues, {} bytes",
            table.queues().count(),
            raw.len()
        );
        self.log("config", "in_force", version.to_string(), detail);
        self.actions.push(CoreAction::UseTable(table.clone()));
        self.apply_limits(&table);
        let services: Vec<String> = table
            .queues()
            .map(|queue| queue.terms.service.clone())
            .collect();
        self.add_services_in_use(services);
        self.table = Some(table);
        self.tables.raw = raw;
        self.tables.in_force_since = self.now;
        if let Some(lead) = self.lead.as_deref_mut() {
            lead.placement_due = true;
        }
    }
}
