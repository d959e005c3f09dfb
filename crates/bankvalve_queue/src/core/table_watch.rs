//! The operator's configuration: how an instance hears of a newer one and reads it.
//!
//! Each instance watches the table. Heartbeats tell which version a peer has in force: an instance
//! that is behind asks the table with a question of its own, since its watch may have gone silent.
//! Only if the table does not answer does it ask a peer, which `table_pull` does; nobody is sent a
//! configuration unasked, since a large one fills a thin link for a second.

use std::time::Duration;

use super::denials::DenialLookup;
use super::store_link::{StorePurpose, WatchState, RETRY_PAUSE};
use super::table_pull::{OutgoingCopy, PeerPull};
use super::EntryCore;
use crate::core::CoreAction;
use crate::guard::SiteGuard;
use crate::ids::{CoreTime, Ticket};
use crate::peer::PeerAddress;
use crate::queue_table::QueueTable;
use crate::store::{OperatorNews, StoreOutcome, StoreRequest};

/// Longest that a watch waits; a connection on which an answer was lost says nothing more,
/// so this bounds how old the configuration can get.
const WATCH_WAIT: Duration = Duration::from_millis(1_000);
/// Wait that a question allows the table, in milliseconds: the least, so that it answers at once.
const QUESTION_WAIT_MS: u64 = 1;
/// Silence of the table after which a peer may be asked as well.
const QUESTION_SILENT: Duration = Duration::from_millis(500);
/// Time in which the watch tells of a version that a peer has told of, as a rule: the table answers
/// all watches at once, and a second copy of a large row would take the link from the first.
const ANNOUNCED_GRACE: Duration = Duration::from_millis(250);
/// Pause between two changes of the configuration that are read: a large one takes a small
/// instance some 0.1 s, and in a quick series only the last one counts.
const OPERATOR_PAUSE: Duration = Duration::from_millis(300);
/// Pause after a configuration that could not be read.
const UNREADABLE_PAUSE: Duration = Duration::from_millis(1_000);
/// Pause after a question that was answered: each call is paid for, and the table bears some
/// 6,000 a second from all instances together.
const QUESTION_PAUSE: Duration = Duration::from_millis(50);

/// Where a configuration came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TableSource {
    /// The platform's table.
    Table,
    /// A peer.
    Peer,
}

/// A question about the configuration that is on its way.
#[derive(Clone, Copy, Debug)]
struct TableQuestion {
    sent_at: CoreTime,
    /// Whether its answer can tell that the own version is the newest one told of.
    whole: bool,
}

/// How an instance stands with the operator's configuration.
#[derive(Debug, Default)]
pub(super) struct TableWatch {
    watch: WatchState,
    watch_sent: CoreTime,
    question: Option<TableQuestion>,
    question_failures: u32,
    next_question: CoreTime,
    /// Request whose answer has begun to arrive.
    arriving: Option<Ticket>,
    /// Newest version that a peer told of, when it did, and since when this instance is behind.
    announced: u64,
    announced_at: CoreTime,
    behind_since: CoreTime,
    /// The configuration as the operator wrote it.
    pub(super) raw: Vec<u8>,
    /// When the configuration in force came.
    since: CoreTime,
    /// When the table last answered a question about the configuration.
    pub(super) confirmed: Option<CoreTime>,
    pub(super) pull: PeerPull,
    pub(super) outgoing: Option<OutgoingCopy>,
    pub(super) lookups: Vec<DenialLookup>,
    /// When the configuration in force was last known to be the newest, by the table or by a peer
    /// with the same one.
    pub(super) newest_at: Option<CoreTime>,
}

impl TableWatch {
    /// Tells whether the table has left a question about the configuration unanswered, or turned
    /// the last one away, while no answer is arriving.
    pub(super) fn is_unanswered(&self, now: CoreTime) -> bool {
        let waits = |question: &TableQuestion| {
            let age = now.saturating_sub(question.sent_at);
            self.question_failures > 0 || age >= QUESTION_SILENT
        };
        let unanswered = match &self.question {
            Some(question) => waits(question),
            None => self.question_failures > 0,
        };
        self.arriving.is_none() && unanswered
    }
}

impl EntryCore {
    /// Watches the configuration, and asks for it where the watch does not do.
    pub(super) fn run_table(&mut self) {
        self.watch_operator();
        self.ask_operator();
        self.run_pull();
        self.end_old_lookups();
    }

    fn watch_operator(&mut self) {
        let now = self.now;
        let tables = &mut self.tables;
        // The answer to a question tells the same.
        if !tables.watch.is_due(now) || tables.question.is_some() {
            return;
        }
        tables.watch.busy = true;
        tables.watch_sent = now;
        let request = match tables.watch.after {
            None => StoreRequest::ReadOperator,
            Some(after) => {
                let wait_ms = WATCH_WAIT.as_millis() as u64;
                StoreRequest::WatchOperator { after, wait_ms }
            }
        };
        self.send_store_request(StorePurpose::Operator, request);
    }

    /// Asks the table now whether there is a newer version, if a peer told of one or a caller asks
    /// for a queue that is not known; one question at a time.
    fn ask_operator(&mut self) {
        let now = self.now;
        let behind = self.is_behind_announced();
        let tables = &mut self.tables;
        let watch_fresh = tables.watch.busy && now < tables.watch_sent + ANNOUNCED_GRACE;
        let heard_due = now >= tables.behind_since + ANNOUNCED_GRACE
            && now >= tables.since + OPERATOR_PAUSE
            && !watch_fresh;
        let wanted = (behind && heard_due) || !tables.lookups.is_empty();
        let free = tables.question.is_none() && tables.arriving.is_none();
        if !wanted || !free || now < tables.next_question {
            return;
        }
        let (request, whole) = match tables.watch.after {
            None => (StoreRequest::ReadOperator, true),
            Some(after) => {
                let wait_ms = QUESTION_WAIT_MS;
                (StoreRequest::WatchOperator { after, wait_ms }, false)
            }
        };
        tables.question = Some(TableQuestion {
            sent_at: now,
            whole,
        });
        self.counters.count("config", "question");
        self.send_store_request(StorePurpose::AskOperator, request);
    }

    /// Tells whether a peer told of a version that is not in force here.
    pub(super) fn is_behind_announced(&self) -> bool {
        self.tables.announced > self.table_version()
    }

    /// The configuration in force was the newest at a time.
    fn note_newest(&mut self, at: CoreTime) {
        let newest = &mut self.tables.newest_at;
        *newest = (*newest).max(Some(at));
    }

    /// A peer has a version in force that it knew to be the newest so long ago.
    pub(super) fn note_newest_version(&mut self, version: u64, age_ms: Option<u64>) {
        let Some(age_ms) = age_ms.filter(|_| version == self.table_version()) else {
            return;
        };
        let at = self.now.checked_sub(Duration::from_millis(age_ms));
        if let Some(at) = at {
            self.note_newest(at);
        }
    }

    /// Whether it has been known lately enough that keys still hold, where the operator wants no
    /// request taken up otherwise.
    pub(super) fn knows_keys(&self) -> bool {
        let limit = self.settings.key_age_limit;
        let fresh = |limit| self.tables.newest_at.is_some_and(|at| self.age(at) < limit);
        limit.is_none_or(fresh)
    }

    /// A peer has a version in force, as it told.
    pub(super) fn note_announced_version(&mut self, from: PeerAddress, version: u64) {
        let own = self.table_version();
        if version <= own || version <= self.tables.announced {
            return;
        }
        if !self.is_behind_announced() {
            self.tables.behind_since = self.now;
        }
        self.tables.announced = version;
        self.tables.announced_at = self.now;
        let detail = format!("by {from}, {own} is in force");
        self.log("config", "announced", version.to_string(), detail);
    }

    /// The answer to a request has begun to arrive.
    pub(super) fn store_begins(&mut self, ticket: Ticket) {
        let question = self.open_store_requests.get(&ticket);
        let purpose = question.map(|question| &question.purpose);
        if matches!(
            purpose,
            Some(StorePurpose::Operator | StorePurpose::AskOperator)
        ) {
            self.extend_store_request(ticket);
            self.tables.arriving = Some(ticket);
            self.store_last_contact = Some(self.now);
        }
    }

    /// The answer to a request has arrived, or will not.
    pub(super) fn store_arrived(&mut self, ticket: Ticket) {
        if self.tables.arriving == Some(ticket) {
            self.tables.arriving = None;
        }
    }

    /// The watch on the configuration has ended.
    pub(super) fn end_operator(&mut self, outcome: StoreOutcome) {
        let now = self.now;
        self.tables.watch.busy = false;
        match outcome {
            StoreOutcome::Operator { news, version } => {
                let changed = news.table.is_some();
                let sent_at = self.tables.watch_sent;
                let read = self.take_news(news, version, sent_at);
                let watch = &mut self.tables.watch;
                watch.failures = 0;
                if !read {
                    watch.next_at = now + UNREADABLE_PAUSE;
                } else if changed {
                    watch.next_at = now + OPERATOR_PAUSE;
                }
            }
            StoreOutcome::HistoryGone => self.tables.watch.after = None,
            _ => self.tables.watch.back_off(now),
        }
        self.run_watches();
    }

    /// A question about the configuration has ended.
    pub(super) fn end_ask_operator(&mut self, outcome: StoreOutcome) {
        let now = self.now;
        let Some(question) = self.tables.question.take() else {
            return;
        };
        match outcome {
            StoreOutcome::Operator { news, version } => {
                let read = self.take_news(news, version, question.sent_at);
                let tables = &mut self.tables;
                tables.question_failures = 0;
                tables.next_question = now
                    + if read {
                        QUESTION_PAUSE
                    } else {
                        UNREADABLE_PAUSE
                    };
                if read {
                    self.end_lookups(question.sent_at);
                    self.doubt_announced(question);
                }
            }
            // Read whole at once: a caller may wait.
            StoreOutcome::HistoryGone => self.tables.watch.after = None,
            _ => {
                let pause = RETRY_PAUSE * 2_u32.pow(self.tables.question_failures.min(3));
                self.tables.question_failures += 1;
                self.tables.next_question = now + pause;
            }
        }
        self.run_watches();
    }

    /// The table was asked after a peer told of a version, and does not have it.
    fn doubt_announced(&mut self, question: TableQuestion) {
        if !self.is_behind_announced() || question.sent_at < self.tables.announced_at {
            return;
        }
        let version = self.tables.announced.to_string();
        if question.whole {
            self.log("config", "not_there", version, String::new());
            self.tables.announced = 0;
            self.tables.next_question = self.now + UNREADABLE_PAUSE;
        } else {
            // What was known of the changes is wrong.
            self.log("config", "missed", version, String::new());
            self.tables.watch.after = None;
        }
    }

    /// Takes what the table told to a question of a time; returns whether it could be read.
    fn take_news(&mut self, news: OperatorNews, version: u64, asked_at: CoreTime) -> bool {
        if news.table.is_none() && !news.raw.is_empty() {
            let detail = format!("{} bytes at version {version}", news.raw.len());
            self.log("config", "unreadable", String::new(), detail);
            self.counters.count("config", "unreadable");
            return false;
        }
        self.tables.confirmed = Some(self.now);
        let after = self.tables.watch.after.unwrap_or(0);
        self.tables.watch.after = Some(after.max(version));
        if let Some(table) = news.table {
            self.use_table(table, news.raw, TableSource::Table);
        }
        self.note_newest(asked_at);
        true
    }

    /// Puts a configuration in force, unless it is older than the one that is.
    pub(super) fn use_table(&mut self, table: QueueTable, raw: Vec<u8>, source: TableSource) {
        let version = table.version;
        let known = self.table_version();
        let older = known > version;
        if older {
            let detail = format!("from {source:?}, {known} is in force");
            self.log("config", "older", version.to_string(), detail);
        }
        // The whole row is read again when the history is forgotten.
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
        self.note_limits(&table);
        let services: Vec<String> = table
            .queues()
            .map(|queue| queue.terms.service.clone())
            .collect();
        self.note_services_in_use(services);
        self.table = Some(table);
        self.tables.raw = raw;
        self.tables.since = self.now;
        if let Some(lead) = self.lead.as_deref_mut() {
            lead.placement_due = true;
        }
    }
}
