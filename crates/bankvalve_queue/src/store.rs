//! Requests to the platform's table and their outcomes.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{DomainName, WorkerId};
use crate::queue_table::QueueTable;
use crate::worker::WorkerEntry;

/// Location of a row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RowKey {
    /// Name of the table.
    pub table: String,
    /// Part of the table. One transaction can change several rows of the same part.
    pub part: String,
    /// Key of the row within its part.
    pub key: String,
}

impl RowKey {
    /// Creates the key of a row.
    pub fn new(table: &str, part: &str, key: impl Into<String>) -> Self {
        Self {
            table: table.into(),
            part: part.into(),
            key: key.into(),
        }
    }
}

/// A row that was read from the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRow {
    /// Location of the row.
    pub key: RowKey,
    /// Content of the row.
    pub value: Vec<u8>,
    /// Version of the table at which the row was last changed.
    pub version: u64,
}

/// A condition of a transaction: the version that a row must have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowCondition {
    /// Location of the row.
    pub key: RowKey,
    /// Required version; 0 requires that the row does not exist.
    pub version: u64,
}

/// A row to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowWrite {
    /// Location of the row.
    pub key: RowKey,
    /// New content of the row.
    pub value: Vec<u8>,
}

/// A change of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowChange {
    /// Location of the row.
    pub key: RowKey,
    /// New content; `None` if the row was removed.
    pub value: Option<Vec<u8>>,
    /// Version of the table at the change.
    pub version: u64,
}

/// A request to the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRequest {
    /// Changes rows in one transaction: all of them or none.
    Transact {
        /// Conditions that must all be met.
        conditions: Vec<RowCondition>,
        /// Rows to write.
        writes: Vec<RowWrite>,
        /// Rows to remove.
        removals: Vec<RowKey>,
    },
    /// Reads rows of a part in the order of their keys.
    Read {
        /// Name of the table.
        table: String,
        /// Part of the table.
        part: String,
        /// Smallest key to return.
        from: String,
        /// Maximum number of rows; `None` for as many as the table returns.
        limit: Option<u32>,
    },
    /// Waits for changes in one of bankvalve's own tables.
    Watch {
        /// Name of the table.
        table: String,
        /// Version after which changes are returned.
        after: u64,
        /// Maximum wait for a change, in milliseconds.
        wait_ms: u64,
    },
    /// Reads the operator's rows, which contain the configuration.
    ReadOperator,
    /// Reads the operator's rows that contain evacuations. Needed only if the answer to
    /// [`StoreRequest::ReadOperator`] did not contain them all.
    ReadEvacuations,
    /// Waits for changes of the operator's rows.
    WatchOperator {
        /// Version after which changes are returned.
        after: u64,
        /// Maximum wait for a change, in milliseconds.
        wait_ms: u64,
    },
    /// Reads the workers' own entries.
    ReadWorkers {
        /// Smallest worker id to return; empty for the first page.
        from: String,
    },
    /// Waits for changes of the workers' own entries.
    WatchWorkers {
        /// Version after which changes are returned.
        after: u64,
        /// Maximum wait for a change, in milliseconds.
        wait_ms: u64,
    },
}

/// A failure domain that the operator has evacuated, or whose evacuation was withdrawn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainEvacuation {
    /// Name of the failure domain.
    pub domain: DomainName,
    /// Whether the evacuation was withdrawn.
    pub withdrawn: bool,
    /// Version of the table at which this was written.
    pub version: u64,
}

/// Evacuations in the operator's rows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationNews {
    /// What has changed since the version in the request, in order.
    Changes(Vec<DomainEvacuation>),
    /// All evacuations in force.
    All(Vec<DomainEvacuation>),
    /// The page that was read ends before the last of these rows.
    Incomplete,
}

impl Default for EvacuationNews {
    fn default() -> Self {
        EvacuationNews::Changes(Vec::new())
    }
}

/// Configuration and evacuations in the operator's rows.
#[derive(Clone, Default, PartialEq)]
pub struct OperatorNews {
    /// The decoded configuration; `None` if the rows contain none that can be decoded.
    pub table: Option<QueueTable>,
    /// The configuration as it is sent to peers, with digests in place of keys; if it cannot be decoded, the
    /// bytes that were read.
    pub raw: Vec<u8>,
    /// Evacuated failure domains.
    pub evacuations: EvacuationNews,
}

impl fmt::Debug for OperatorNews {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let version = self.table.as_ref().map(|table| table.version);
        f.debug_struct("OperatorNews")
            .field("version", &version)
            .field("bytes", &self.raw.len())
            .field("evacuations", &self.evacuations)
            .finish()
    }
}

/// A row of the table that contains the workers' entries.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerRow {
    /// The entry that the worker has written.
    Entry(WorkerEntry),
    /// The entry was removed.
    Gone,
    /// The row is not a valid entry, for this reason. Other programs may also write to the table.
    Unusable(&'static str),
}

/// Outcome of a request to the table.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreOutcome {
    /// The transaction was applied.
    Applied {
        /// Version of the table after the transaction.
        version: u64,
    },
    /// A condition was not met, and nothing was changed.
    Conflict {
        /// Current rows of the conditions, without those that do not exist.
        rows: Vec<StoredRow>,
    },
    /// Rows from one consistent read.
    Rows {
        /// The rows.
        rows: Vec<StoredRow>,
        /// Whether there are more rows after these.
        more: bool,
        /// Version of the table at the read.
        version: u64,
    },
    /// Changes, in order.
    Changes {
        /// The changes.
        changes: Vec<RowChange>,
        /// Version up to which the changes are complete.
        version: u64,
    },
    /// Configuration in the operator's rows.
    Operator {
        /// The configuration.
        news: OperatorNews,
        /// Version up to which changes of the rows are included.
        version: u64,
    },
    /// Workers' entries, or changes of them.
    Workers {
        /// The entries.
        entries: Vec<(WorkerId, WorkerRow)>,
        /// Whether there are more entries, from the last id on.
        more: bool,
        /// Version up to which changes of the entries are included.
        version: u64,
    },
    /// The table no longer has the requested changes, so all rows must be read again.
    HistoryGone,
    /// The request had no effect and may be repeated later.
    Busy,
    /// No answer arrived. The request may have been applied, or may still be.
    Lost,
}
