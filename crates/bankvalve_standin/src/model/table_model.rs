//! Table service: versioned rows, changed by conditional transactions.

use std::collections::BTreeMap;

use bankvalve_cell::ids::RowVersion;
use bankvalve_cell::link::{RowImage, StoreOutcome, StoreRequest, TableTransaction};

/// In-memory table service.
///
/// # Examples
///
/// ```
/// use bankvalve_cell::link::{StoreOutcome, StoreRequest, TableTransaction};
/// use bankvalve_standin::model::TableModel;
///
/// let mut table = TableModel::default();
/// let mut txn = TableTransaction::default();
/// txn.require("greeting", 0).put("greeting", b"hello".to_vec());
/// let request = StoreRequest::Apply(txn);
/// assert!(matches!(table.handle(&request), StoreOutcome::Applied { .. }));
/// assert!(matches!(table.handle(&request), StoreOutcome::Conflict { .. }));
/// ```
#[derive(Clone, Debug, Default)]
pub struct TableModel {
    rows: BTreeMap<String, (RowVersion, Vec<u8>)>,
    /// Content of each row before its last change, for stale reads.
    previous: BTreeMap<String, (RowVersion, Vec<u8>)>,
    last_version: RowVersion,
    /// Number of transactions that were applied.
    pub writes: u64,
    /// Number of rows that these transactions wrote or removed.
    pub rows_written: u64,
    /// Number of reads and scans.
    pub reads: u64,
}

impl TableModel {
    /// Handles a request and returns its outcome.
    pub fn handle(&mut self, request: &StoreRequest) -> StoreOutcome {
        match request {
            StoreRequest::Apply(txn) => self.apply(txn),
            StoreRequest::Read { key } => {
                self.reads += 1;
                let row = self.rows.get(key);
                StoreOutcome::Rows(row.map(|row| image(key, row)).into_iter().collect())
            }
            StoreRequest::Scan { prefix } => {
                self.reads += 1;
                StoreOutcome::Rows(self.rows_with(prefix))
            }
        }
    }

    /// Handles a read like a replica that lags one change behind on every row. Writes are handled normally.
    pub fn handle_stale(&mut self, request: &StoreRequest) -> StoreOutcome {
        let old = |row: RowImage| match self.previous.get(&row.key) {
            Some(previous) => image(&row.key, previous),
            None => row,
        };
        let rows = match request {
            StoreRequest::Apply(_) => return self.handle(request),
            StoreRequest::Read { key } => {
                let row = self.rows.get(key).map(|row| image(key, row));
                row.into_iter().map(old).collect()
            }
            StoreRequest::Scan { prefix } => self.rows_with(prefix).into_iter().map(old).collect(),
        };
        self.reads += 1;
        StoreOutcome::Rows(rows)
    }

    /// Returns all rows whose key starts with a prefix, in key order.
    pub fn rows_with(&self, prefix: &str) -> Vec<RowImage> {
        self.rows
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, row)| image(key, row))
            .collect()
    }

    /// Returns the total size of all values in bytes.
    pub fn bytes(&self) -> usize {
        self.rows.values().map(|(_, value)| value.len()).sum()
    }

    fn apply(&mut self, txn: &TableTransaction) -> StoreOutcome {
        let version_of = |key: &str| self.rows.get(key).map_or(0, |row| row.0);
        let keys: Vec<String> = txn
            .conditions
            .iter()
            .filter(|condition| version_of(&condition.key) != condition.version)
            .map(|condition| condition.key.clone())
            .collect();
        if !keys.is_empty() {
            return StoreOutcome::Conflict { keys };
        }
        self.last_version += 1;
        self.writes += 1;
        let version = self.last_version;
        for write in &txn.writes {
            self.rows_written += 1;
            let old = match &write.value {
                Some(value) => self
                    .rows
                    .insert(write.key.clone(), (version, value.clone())),
                None => self.rows.remove(&write.key),
            };
            if let Some(old) = old {
                self.previous.insert(write.key.clone(), old);
            }
        }
        StoreOutcome::Applied { version }
    }
}

fn image(key: &str, row: &(RowVersion, Vec<u8>)) -> RowImage {
    RowImage {
        key: key.to_owned(),
        version: row.0,
        value: row.1.clone(),
    }
}
