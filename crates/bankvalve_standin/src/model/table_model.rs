//! The table service: rows with versions, changed by conditional transactions.

use std::collections::BTreeMap;

use bankvalve_cell::ids::RowVersion;
use bankvalve_cell::link::{RowImage, StoreOutcome, StoreRequest, TableTransaction};

/// The table service.
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
    /// Content that rows had before, for reads that answer from before.
    before: BTreeMap<String, (RowVersion, Vec<u8>)>,
    last_version: RowVersion,
    /// Transactions that took effect.
    pub writes: u64,
    /// Rows written by them.
    pub rows_written: u64,
    /// Reads and scans.
    pub reads: u64,
}

impl TableModel {
    /// Handles a request.
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

    /// Handles a read as a replica that lags behind would; writes are handled as usual.
    pub fn handle_stale(&mut self, request: &StoreRequest) -> StoreOutcome {
        let old = |row: RowImage| match self.before.get(&row.key) {
            Some(before) => image(&row.key, before),
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

    /// All rows whose key starts with a prefix, in key order.
    pub fn rows_with(&self, prefix: &str) -> Vec<RowImage> {
        self.rows
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, row)| image(key, row))
            .collect()
    }

    /// Bytes of all rows.
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
                self.before.insert(write.key.clone(), old);
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
