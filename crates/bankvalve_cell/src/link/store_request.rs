//! Requests to the platform's table service and object store, and their outcomes.

use serde::{Deserialize, Serialize};

use crate::ids::RowVersion;

/// A row as read from the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowImage {
    /// Key of the row.
    pub key: String,
    /// Version of the row, which increases with each write.
    pub version: RowVersion,
    /// Content of the row.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}

/// A condition of a transaction: the row is at this version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowCondition {
    /// Key of the row.
    pub key: String,
    /// Version that the row must be at. Zero means that the row must not exist.
    pub version: RowVersion,
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowWrite {
    /// Key of the row.
    pub key: String,
    /// New content, or `None` to delete the row.
    #[serde(with = "serde_bytes")]
    pub value: Option<Vec<u8>>,
}

/// A transaction. If all conditions hold, all writes take effect; otherwise none does.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableTransaction {
    /// Conditions that must hold.
    pub conditions: Vec<RowCondition>,
    /// Rows to write or delete.
    pub writes: Vec<RowWrite>,
}

impl TableTransaction {
    /// Adds the condition that a row is at a version.
    pub fn require(&mut self, key: impl Into<String>, version: RowVersion) -> &mut Self {
        let key = key.into();
        self.conditions.push(RowCondition { key, version });
        self
    }

    /// Adds a write of a row.
    pub fn put(&mut self, key: impl Into<String>, value: Vec<u8>) -> &mut Self {
        self.writes.push(RowWrite {
            key: key.into(),
            value: Some(value),
        });
        self
    }

    /// Adds a deletion of a row.
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

/// Outcome of a request to the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreOutcome {
    /// The transaction took effect.
    Applied {
        /// Version that all rows written by the transaction are at now.
        version: RowVersion,
    },
    /// A condition did not hold; nothing was written.
    Conflict {
        /// Keys of the rows whose conditions failed.
        keys: Vec<String>,
    },
    /// The rows read.
    Rows(Vec<RowImage>),
    /// No answer came: a write may have taken effect or may still do so.
    Lost,
    /// The service refused the request without processing it; nothing was written.
    Busy,
}

/// A request to the object store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ObjectRequest {
    /// Write an object. Writing the same object again changes nothing.
    Put {
        /// Name of the object.
        name: String,
        /// Content of the object.
        #[serde(with = "serde_bytes")]
        value: Vec<u8>,
    },
    /// Read an object.
    Get {
        /// Name of the object.
        name: String,
    },
    /// List the names of all objects that start with a prefix, in order.
    List {
        /// The prefix.
        prefix: String,
    },
}

/// Outcome of a request to the object store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ObjectOutcome {
    /// The object was written.
    Stored,
    /// Content of the object, if it exists.
    Content(#[serde(with = "serde_bytes")] Option<Vec<u8>>),
    /// Names of objects.
    Names(Vec<String>),
    /// No answer came, or the answer was an error.
    Failed,
}
