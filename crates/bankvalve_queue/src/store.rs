//! What is asked of the platform's table.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::WorkerId;
use crate::queue_table::QueueTable;
use crate::worker::WorkerEntry;

/// Where a row stands.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RowKey {
    /// Table.
    pub table: String,
    /// Part; rows of one part can be changed together.
    pub part: String,
    /// Key.
    pub key: String,
}

impl RowKey {
    /// Names a row.
    pub fn new(table: &str, part: &str, key: impl Into<String>) -> Self {
        Self {
            table: table.into(),
            part: part.into(),
            key: key.into(),
        }
    }
}

/// A row as it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRow {
    /// Where.
    pub key: RowKey,
    /// Content.
    pub value: Vec<u8>,
    /// Version at which it was last changed.
    pub version: u64,
}

/// Version that a row must have; 0 asks that it is not there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowCondition {
    /// Where.
    pub key: RowKey,
    /// Version.
    pub version: u64,
}

/// A row to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowWrite {
    /// Where.
    pub key: RowKey,
    /// New content.
    pub value: Vec<u8>,
}

/// A row that changed; without a value it was dropped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowChange {
    /// Where.
    pub key: RowKey,
    /// New content.
    pub value: Option<Vec<u8>>,
    /// Version of the change.
    pub version: u64,
}

/// Something asked of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRequest {
    /// Changes rows, all or none.
    Transact {
        /// What must hold.
        conditions: Vec<RowCondition>,
        /// Rows to write.
        writes: Vec<RowWrite>,
        /// Rows to drop.
        removals: Vec<RowKey>,
    },
    /// Reads rows of a part in the order of their keys.
    Read {
        /// Table.
        table: String,
        /// Part.
        part: String,
        /// Least key.
        from: String,
        /// Most rows; none for as many as the table gives.
        limit: Option<u32>,
    },
    /// Waits for changes in one of our own tables.
    Watch {
        /// Table.
        table: String,
        /// Version after which changes count.
        after: u64,
        /// Longest wait in milliseconds.
        wait_ms: u64,
    },
    /// Reads what the operator wrote.
    ReadOperator,
    /// Waits for changes by the operator.
    WatchOperator {
        /// Version after which changes count.
        after: u64,
        /// Longest wait in milliseconds.
        wait_ms: u64,
    },
    /// Reads the workers' own entries.
    ReadWorkers {
        /// Least id, where the list goes on.
        from: String,
    },
    /// Waits for changes of them.
    WatchWorkers {
        /// Version after which changes count.
        after: u64,
        /// Longest wait in milliseconds.
        wait_ms: u64,
    },
}

/// What the operator wrote.
#[derive(Clone, Default, PartialEq)]
pub struct OperatorNews {
    /// The newest configuration, if it is among the rows.
    pub table: Option<QueueTable>,
    /// The configuration as it is passed on to peers, with digests in place of keys.
    pub raw: Vec<u8>,
}

impl fmt::Debug for OperatorNews {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let version = self.table.as_ref().map(|table| table.version);
        f.debug_struct("OperatorNews")
            .field("version", &version)
            .field("bytes", &self.raw.len())
            .finish()
    }
}

/// What a row among the workers' entries tells.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerRow {
    /// The worker's own account of itself.
    Entry(WorkerEntry),
    /// The entry went.
    Gone,
    /// No worker can be made of it, and why: another program may write there too.
    Unusable(&'static str),
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreOutcome {
    /// The transaction took effect.
    Applied {
        /// Its version.
        version: u64,
    },
    /// A condition did not hold; nothing changed.
    Conflict {
        /// The rows of the conditions as they stand.
        rows: Vec<StoredRow>,
    },
    /// Rows of one moment.
    Rows {
        /// The rows.
        rows: Vec<StoredRow>,
        /// Whether there are more.
        more: bool,
        /// Newest version.
        version: u64,
    },
    /// Changes, in order.
    Changes {
        /// The changes.
        changes: Vec<RowChange>,
        /// Version up to which they are whole.
        version: u64,
    },
    /// What the operator wrote.
    Operator {
        /// The news.
        news: OperatorNews,
        /// Version up to which they are whole.
        version: u64,
    },
    /// Workers' entries.
    Workers {
        /// The entries.
        entries: Vec<(WorkerId, WorkerRow)>,
        /// Whether there are more, from the last id on.
        more: bool,
        /// Version up to which they are whole.
        version: u64,
    },
    /// The changes asked for are forgotten; read anew.
    HistoryGone,
    /// The table did nothing and may be asked again later.
    Busy,
    /// No answer: done, not done, or done later.
    Lost,
}
