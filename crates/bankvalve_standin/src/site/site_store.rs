//! Table of the users' platform: versioned rows, conditional writes and a history of changes.

use std::collections::BTreeMap;

use bankvalve_queue::{
    DomainEvacuation, EvacuationNews, OperatorNews, QueueTable, RowChange, RowKey, StoreOutcome,
    StoreRequest, StoredRow, WorkerEntry, WorkerId, WorkerRow,
};

/// Maximum number of rows in one answer.
const MAX_PAGE_ROWS: usize = 500;
/// Maximum size of the rows in one answer, and of a transaction, in bytes as encoded.
const MAX_BYTES: usize = 1_000_000;
/// Maximum number of conditions, writes and removals of a transaction.
const MAX_TRANSACTION_ENTRIES: usize = 100;
/// Maximum size of a row's value in bytes.
const MAX_ROW_BYTES: usize = 64 * 1024;
/// Maximum size of a key in bytes.
const MAX_KEY_BYTES: usize = 200;
/// Encoded size of a row without its key and value, in bytes.
const ROW_OVERHEAD_BYTES: usize = 64;

/// Returns the encoded size of a row in bytes. Values are encoded as base64.
fn encoded_bytes(key: &RowKey, value: &[u8]) -> usize {
    ROW_OVERHEAD_BYTES + key.key.len() + value.len().div_ceil(3) * 4
}

/// In-memory table, including the rows of the operator and of the workers.
#[derive(Clone, Debug, Default)]
pub struct SiteStore {
    version: u64,
    rows: BTreeMap<RowKey, (Vec<u8>, u64)>,
    changes: Vec<RowChange>,
    config: Option<(QueueTable, Vec<u8>, u64)>,
    /// Evacuated failure domains, each with the version at which it was evacuated.
    evacuated: BTreeMap<String, u64>,
    evacuation_changes: Vec<DomainEvacuation>,
    workers: BTreeMap<WorkerId, WorkerRow>,
    worker_changes: Vec<(u64, WorkerId, WorkerRow)>,
    /// Version up to which the history of changes has been discarded.
    forgotten: u64,
    /// Maximum number of worker entries in one answer; `None` for the same maximum as for rows.
    pub worker_page: Option<usize>,
    /// Whether the first page of the operator's rows ends after the configuration.
    pub short_operator_page: bool,
}

impl SiteStore {
    /// Handles a request. Returns `None` for a watch that has no changes to return yet.
    pub fn handle(&mut self, request: &StoreRequest) -> Option<StoreOutcome> {
        match request {
            StoreRequest::Transact { .. } => Some(self.transact(request)),
            StoreRequest::Read {
                table,
                part,
                from,
                limit,
            } => Some(self.read(table, part, from, *limit)),
            StoreRequest::Watch { table, after, .. } => {
                let changed =
                    |change: &&RowChange| change.key.table == *table && change.version > *after;
                let changes: Vec<RowChange> =
                    self.changes.iter().filter(changed).cloned().collect();
                self.watched(*after, !changes.is_empty(), |version| {
                    StoreOutcome::Changes { changes, version }
                })
            }
            StoreRequest::ReadOperator => {
                let evacuations = match self.short_operator_page {
                    true => EvacuationNews::Incomplete,
                    false => self.all_evacuations(),
                };
                Some(self.operator(0, evacuations))
            }
            StoreRequest::ReadEvacuations => Some(StoreOutcome::Operator {
                news: OperatorNews {
                    evacuations: self.all_evacuations(),
                    ..OperatorNews::default()
                },
                version: self.version,
            }),
            StoreRequest::WatchOperator { after, .. } => {
                let changes = self.evacuation_changes.iter();
                let changes: Vec<DomainEvacuation> = changes
                    .filter(|change| change.version > *after)
                    .cloned()
                    .collect();
                let configured = self.config.as_ref().is_some_and(|(.., at)| at > after);
                let changed = configured || !changes.is_empty();
                let outcome = self.operator(*after, EvacuationNews::Changes(changes));
                self.watched(*after, changed, |_| outcome)
            }
            // A key that is too long is refused like any other call that the table does not take.
            StoreRequest::ReadWorkers { from } if from.len() > MAX_KEY_BYTES => {
                Some(StoreOutcome::Busy)
            }
            StoreRequest::ReadWorkers { from } => Some(self.read_workers(from)),
            StoreRequest::WatchWorkers { after, .. } => {
                let entries: Vec<_> = self
                    .worker_changes
                    .iter()
                    .filter(|(version, _, _)| version > after)
                    .map(|(_, id, entry)| (id.clone(), entry.clone()))
                    .collect();
                self.watched(*after, !entries.is_empty(), |version| {
                    StoreOutcome::Workers {
                        entries,
                        more: false,
                        version,
                    }
                })
            }
        }
    }

    /// Returns a page of the current worker entries in the order of their keys.
    fn read_workers(&self, from: &str) -> StoreOutcome {
        let page = self.worker_page.unwrap_or(MAX_PAGE_ROWS);
        let mut entries: Vec<(WorkerId, WorkerRow)> = self
            .workers
            .iter()
            .filter(|(id, _)| id.to_string().as_str() >= from)
            .map(|(id, row)| (id.clone(), row.clone()))
            .collect();
        let more = entries.len() > page;
        entries.truncate(page);
        StoreOutcome::Workers {
            entries,
            more,
            version: self.version,
        }
    }

    /// Returns the answer to a watch that timed out without changes.
    pub fn unchanged(&self, request: &StoreRequest) -> StoreOutcome {
        let version = self.version;
        match request {
            StoreRequest::WatchOperator { .. } => StoreOutcome::Operator {
                news: OperatorNews::default(),
                version,
            },
            StoreRequest::WatchWorkers { .. } => StoreOutcome::Workers {
                entries: Vec::new(),
                more: false,
                version,
            },
            _ => StoreOutcome::Changes {
                changes: Vec::new(),
                version,
            },
        }
    }

    /// Replaces the operator's configuration.
    pub fn configure(&mut self, table: QueueTable) {
        self.configure_raw(table, Vec::new());
    }

    /// Replaces the operator's configuration and the raw bytes that reads return for it.
    pub fn configure_raw(&mut self, table: QueueTable, raw: Vec<u8>) {
        self.version += 1;
        self.config = Some((table, raw, self.version));
    }

    /// Evacuates a failure domain, or withdraws its evacuation.
    pub fn evacuate(&mut self, domain: &str, evacuated: bool) {
        self.version += 1;
        if evacuated {
            self.evacuated.insert(domain.to_owned(), self.version);
        } else {
            self.evacuated.remove(domain);
        }
        self.evacuation_changes.push(DomainEvacuation {
            domain: domain.to_owned(),
            withdrawn: !evacuated,
            version: self.version,
        });
    }

    fn all_evacuations(&self) -> EvacuationNews {
        let evacuated = self.evacuated.iter();
        let evacuated = evacuated.map(|(domain, version)| DomainEvacuation {
            domain: domain.clone(),
            withdrawn: false,
            version: *version,
        });
        EvacuationNews::All(evacuated.collect())
    }

    /// Writes a worker's entry, or removes it if `entry` is `None`.
    pub fn set_worker(&mut self, id: &WorkerId, entry: Option<WorkerEntry>) {
        self.record_worker_change(id, entry.map_or(WorkerRow::Gone, WorkerRow::Entry));
    }

    /// Writes an entry that cannot be read as a worker, as another program might.
    pub fn write_unusable_worker(&mut self, id: &WorkerId) {
        self.record_worker_change(id, WorkerRow::Unusable("written by another program"));
    }

    fn record_worker_change(&mut self, id: &WorkerId, row: WorkerRow) {
        self.version += 1;
        match &row {
            WorkerRow::Gone => self.workers.remove(id),
            row => self.workers.insert(id.clone(), row.clone()),
        };
        self.worker_changes.push((self.version, id.clone(), row));
    }

    /// Returns whether a worker has a usable entry.
    pub fn lists(&self, id: &WorkerId) -> bool {
        matches!(self.workers.get(id), Some(WorkerRow::Entry(_)))
    }

    /// Returns the version up to which the history of changes has been discarded.
    pub fn forgotten_before(&self) -> u64 {
        self.forgotten
    }

    /// Discards the history of changes. Watches that start from an older version get
    /// [`StoreOutcome::HistoryGone`].
    pub fn forget_history(&mut self) {
        self.forgotten = self.version;
        self.changes.clear();
        self.evacuation_changes.clear();
        self.worker_changes.clear();
    }

    /// Returns the number of rows of a table.
    pub fn count_rows(&self, table: &str) -> usize {
        self.rows.keys().filter(|key| key.table == table).count()
    }

    fn watched(
        &self,
        after: u64,
        changed: bool,
        outcome: impl FnOnce(u64) -> StoreOutcome,
    ) -> Option<StoreOutcome> {
        if after < self.forgotten {
            return Some(StoreOutcome::HistoryGone);
        }
        changed.then(|| outcome(self.version))
    }

    fn operator(&self, after: u64, evacuations: EvacuationNews) -> StoreOutcome {
        let config = self.config.as_ref().filter(|(.., at)| *at > after);
        StoreOutcome::Operator {
            news: OperatorNews {
                table: config.map(|(table, ..)| table.clone()),
                raw: config.map_or(Vec::new(), |(_, raw, _)| raw.clone()),
                evacuations,
            },
            version: self.version,
        }
    }

    fn transact(&mut self, request: &StoreRequest) -> StoreOutcome {
        let StoreRequest::Transact {
            conditions,
            writes,
            removals,
        } = request
        else {
            return StoreOutcome::Busy;
        };
        let entries = conditions.len() + writes.len() + removals.len();
        let bytes = writes
            .iter()
            .map(|write| encoded_bytes(&write.key, &write.value));
        let is_row = |key: &RowKey, value: &[u8]| {
            key.key.len() <= MAX_KEY_BYTES && value.len() <= MAX_ROW_BYTES
        };
        let are_rows = writes.iter().all(|write| is_row(&write.key, &write.value));
        if entries > MAX_TRANSACTION_ENTRIES || bytes.sum::<usize>() > MAX_BYTES || !are_rows {
            return StoreOutcome::Busy;
        }
        let version_of = |key: &RowKey| self.rows.get(key).map_or(0, |(_, version)| *version);
        if conditions
            .iter()
            .any(|condition| version_of(&condition.key) != condition.version)
        {
            let rows = conditions.iter().filter_map(|condition| {
                let (value, version) = self.rows.get(&condition.key)?;
                Some(StoredRow {
                    key: condition.key.clone(),
                    value: value.clone(),
                    version: *version,
                })
            });
            return StoreOutcome::Conflict {
                rows: rows.collect(),
            };
        }
        self.version += 1;
        let version = self.version;
        for write in writes {
            self.rows
                .insert(write.key.clone(), (write.value.clone(), version));
            self.changes.push(RowChange {
                key: write.key.clone(),
                value: Some(write.value.clone()),
                version,
            });
        }
        for key in removals {
            self.rows.remove(key);
            self.changes.push(RowChange {
                key: key.clone(),
                value: None,
                version,
            });
        }
        StoreOutcome::Applied { version }
    }

    fn read(&self, table: &str, part: &str, from: &str, limit: Option<u32>) -> StoreOutcome {
        let max_rows = limit.map_or(MAX_PAGE_ROWS, |limit| MAX_PAGE_ROWS.min(limit as usize));
        let first = RowKey::new(table, part, from);
        let mut rows: Vec<StoredRow> = self
            .rows
            .range(first..)
            .take_while(|(key, _)| key.table == table && key.part == part)
            .take(max_rows + 1)
            .map(|(key, (value, version))| StoredRow {
                key: key.clone(),
                value: value.clone(),
                version: *version,
            })
            .collect();
        let mut bytes = 0;
        let mut fits = |row: &&StoredRow| {
            bytes += encoded_bytes(&row.key, &row.value);
            bytes <= MAX_BYTES
        };
        let fitting = rows.iter().take_while(&mut fits).count().max(1);
        let page = max_rows.min(fitting);
        let more = rows.len() > page;
        rows.truncate(page);
        StoreOutcome::Rows {
            rows,
            more,
            version: self.version,
        }
    }
}
