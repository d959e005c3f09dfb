//! What bankvalve asks of the platform's table service and object store.

use serde::{Deserialize, Serialize};

use crate::ids::RowVersion;

/// A row as read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowImage {
    /// Key of the row.
    pub key: String,
    /// Version; each write raises it.
    pub version: RowVersion,
    /// Content.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}

/// A condition of a transaction: the row stands at this version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowCondition {
    /// Key of the row.
    pub key: String,
    /// Version that it must stand at; zero means that it must be absent.
    pub version: RowVersion,
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowWrite {
    /// Key of the row.
    pub key: String,
    /// New content; none deletes the row.
    #[serde(with = "serde_bytes")]
    pub value: Option<Vec<u8>>,
}

/// A transaction: all writes take effect if all conditions hold, else none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableTransaction {
    /// What must hold.
    pub conditions: Vec<RowCondition>,
    /// What to write.
    pub writes: Vec<RowWrite>,
}

impl TableTransaction {
    /// Adds the condition that a row stands at a version.
    pub fn require(&mut self, key: impl Into<String>, version: RowVersion) -> &mut Self {
        let key = key.into();
        self.conditions.push(RowCondition { key, version });
        self
    }

    /// Adds a write.
    pub fn put(&mut self, key: impl Into<String>, value: Vec<u8>) -> &mut Self {
        self.writes.push(RowWrite {
            key: key.into(),
            value: Some(value),
        });
        self
    }

    /// Adds a deletion.
    pub fn delete(&mut self, key: impl Into<String>) -> &mut Self {
        self.writes.push(RowWrite {
            key: key.into(),
            value: None,
        });
        self
    }
}

/// A request to the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreRequest {
    /// Apply a transaction.
    Apply(TableTransaction),
    /// Read one row.
    Read {
        /// Key of the row.
        key: String,
    },
    /// Read all rows whose key starts with a prefix, in key order.
    Scan {
        /// The prefix.
        prefix: String,
    },
}

/// What became of a request to the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreOutcome {
    /// The transaction took effect; its rows now stand at this version.
    Applied {
        /// Version given to all rows that it wrote.
        version: RowVersion,
    },
    /// A condition did not hold; nothing was written.
    Conflict {
        /// Keys whose condition failed.
        keys: Vec<String>,
    },
    /// The rows read.
    Rows(Vec<RowImage>),
    /// No answer: a write may have taken effect, or may yet.
    Lost,
    /// Refused before it was looked at; nothing was written.
    Busy,
}

/// A request to the object store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ObjectRequest {
    /// Write an object; writing the same object again changes nothing.
    Put {
        /// Its name.
        name: String,
        /// Its content.
        #[serde(with = "serde_bytes")]
        value: Vec<u8>,
    },
    /// Read an object.
    Get {
        /// Its name.
        name: String,
    },
    /// Name all objects with a prefix, in order.
    List {
        /// The prefix.
        prefix: String,
    },
}

/// What became of a request to the object store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ObjectOutcome {
    /// Written.
    Stored,
    /// Content of the object, if it exists.
    Content(#[serde(with = "serde_bytes")] Option<Vec<u8>>),
    /// Names of objects.
    Names(Vec<String>),
    /// No answer, or an error.
    Failed,
}
