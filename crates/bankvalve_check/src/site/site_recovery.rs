//! Sites with a long ledger and thin links, and what a return after the loss of all takes.

use std::collections::BTreeMap;
use std::sync::Arc;

use bankvalve_queue::{
    EndKind, JobId, LedgerBatch, LedgerEvent, RowKey, RowWrite, StepKey, StoreOutcome,
    StoreRequest, StoredRow,
};

use rand::Rng;

use super::{job_of, SitePlan, SiteWorld, QUEUE};

/// Processor of a strong instance, in thousandths of a core.
const STRONG: u64 = 500;
/// Processor of a weak one.
const WEAK: u64 = 120;
/// Bytes that a weak instance's link carries in a millisecond: 10 Mbit/s.
const THIN_LINK: u64 = 1_250;
/// Bytes that a strong instance's link carries in a millisecond: 200 Mbit/s.
const WIDE_LINK: u64 = 25_000;
/// Bytes that a row takes on its way besides its value: its names and its version.
const ROW_FRAME: u64 = 90;
/// Bytes of a worker's entry on its way.
const ENTRY_BYTES: u64 = 400;
/// Jobs whose events are in one batch of a filled ledger: with texts of 120 bytes, starts and ends
/// some 1.2 KB, as in the days of the grown sites.
const JOBS_A_BATCH: u64 = 2;
/// First id of the jobs of a filled ledger.
const FIRST_JOB: JobId = 1 << 40;

/// What passes over the links of instances.
#[derive(Debug, Default)]
pub struct LinkRecord {
    /// Until when an instance's link carries what was sent before, by number.
    free_at: BTreeMap<usize, u64>,
    /// Bytes of the configuration as the table sends it.
    pub config_bytes: u64,
    /// Share of answers of all kinds that the table loses, in percent.
    pub lost_answers_percent: u32,
    /// How often an instance asked for the same page of the ledger in one life.
    pub page_reads: BTreeMap<(usize, u64, String), u64>,
}

impl LinkRecord {
    /// The page of the ledger that was asked for more often than any other, and how often.
    pub fn most_read_page(&self) -> Option<(usize, String, u64)> {
        let reads = self.page_reads.iter();
        let most = reads.max_by_key(|(_, count)| **count)?;
        let ((node, _, from), count) = most;
        Some((*node, from.clone(), *count))
    }
}

impl SitePlan {
    /// Unlike instances: each fourth is strong, on a wide link; the others are weak, on thin ones.
    pub fn of_unlike(seed: u64, entries: usize) -> Self {
        let strength = |node: usize| if node % 4 == 3 { STRONG } else { WEAK };
        Self {
            seed,
            entries,
            strengths: (0..entries).map(strength).collect(),
            broken: None,
            without: None,
            workers: 12,
            good_percent: None,
        }
    }
}

impl SiteWorld {
    /// Whether an instance is one of the strong ones of unlike instances.
    pub fn is_strong(&self, node: usize) -> bool {
        self.plan.strengths.get(node) == Some(&STRONG)
    }

    /// Seed that the world was drawn from.
    pub fn plan_seed(&self) -> u64 {
        self.plan.seed
    }

    /// Batches of the ledger in the leader's book; 0 without a leader that has a book.
    pub fn leader_batches(&self) -> u64 {
        let leader = self
            .leader()
            .and_then(|node| self.nodes[node].core.as_ref());
        leader.map_or(0, |core| core.view().ledger_batches)
    }

    /// Gives all instances links by their strength.
    pub fn limit_links(&mut self) {
        for node in 0..self.nodes.len() {
            let rate = if self.is_strong(node) {
                WIDE_LINK
            } else {
                THIN_LINK
            };
            self.nodes[node].link_bytes_per_ms = Some(rate);
        }
    }

    /// Writes batches of jobs that are over into the ledger, before anybody leads; each job has a
    /// text of so many bytes.
    pub fn fill_ledger(&mut self, batches: u64, payload: usize) {
        for sequence in 1..=batches {
            let key = RowKey::new("ledger", "lead", format!("{sequence:012}"));
            let value = self.filled_batch(sequence, payload).encode();
            self.store.handle(&StoreRequest::Transact {
                conditions: Vec::new(),
                writes: vec![RowWrite { key, value }],
                removals: Vec::new(),
            });
        }
    }

    fn filled_batch(&self, sequence: u64, payload: usize) -> LedgerBatch {
        let at = self.wall_ms();
        let terms = self.table(1).queue(QUEUE).map(|rule| rule.terms.clone());
        let terms = terms.unwrap_or_default();
        let mut events = Vec::new();
        for number in 0..JOBS_A_BATCH {
            let job = FIRST_JOB + sequence * JOBS_A_BATCH + number;
            let mut spec = job_of(job, QUEUE, &[3], false);
            spec.payload = "x".repeat(payload);
            events.push(LedgerEvent::Accepted {
                spec: Arc::new(spec),
                terms: terms.clone(),
                at,
            });
            let step = StepKey {
                job,
                time: 0,
                step: 0,
            };
            for index in 0..3 {
                let (task, run) = (step.task(index), 1);
                let worker = format!("w-{index}").as_str().into();
                events.push(LedgerEvent::Started { task, run, worker });
                events.push(LedgerEvent::Ended {
                    task,
                    run,
                    how: EndKind::Done,
                    saved: String::new(),
                    at,
                });
            }
        }
        LedgerBatch { events }
    }

    /// Notes that an instance asks for a page of the ledger.
    pub(super) fn note_page_read(&mut self, node: usize, request: &StoreRequest) {
        if let StoreRequest::Read {
            table, from, limit, ..
        } = request
        {
            // A read of one row looks whether a write was done.
            if table == "ledger" && *limit != Some(1) {
                let life = self.nodes[node].life;
                let page = (node, life, from.clone());
                *self.links.page_reads.entry(page).or_default() += 1;
            }
        }
    }

    /// Tells whether the table loses an answer now.
    pub(super) fn loses_answer(&mut self) -> bool {
        let percent = self.links.lost_answers_percent;
        percent > 0 && self.rng.random_range(0..100) < percent
    }

    /// Milliseconds until an answer has come over an instance's link, behind what was sent before.
    pub(super) fn time_on_link(&mut self, node: usize, outcome: &StoreOutcome) -> u64 {
        let Some(rate) = self.nodes[node].link_bytes_per_ms else {
            return 0;
        };
        let bytes = answer_bytes(outcome, self.links.config_bytes);
        let begins = self.link_wait(node) + self.now_ms;
        let ends = begins + bytes / rate;
        self.links.free_at.insert(node, ends);
        ends - self.now_ms
    }

    /// Milliseconds for which an instance's link carries what was sent before.
    pub(super) fn link_wait(&self, node: usize) -> u64 {
        let free_at = self.links.free_at.get(&node).copied();
        free_at.unwrap_or(0).saturating_sub(self.now_ms)
    }

    /// An instance's link carries nothing any more, since it lost power.
    pub(super) fn clear_link(&mut self, node: usize) {
        self.links.free_at.remove(&node);
    }
}

/// Bytes of an answer on its way: values are encoded by four signs for three bytes.
pub(super) fn answer_bytes(outcome: &StoreOutcome, config_bytes: u64) -> u64 {
    let encoded = |length: usize| length as u64 * 4 / 3 + ROW_FRAME;
    let stored = |rows: &[StoredRow]| rows.iter().map(|row| encoded(row.value.len())).sum();
    match outcome {
        StoreOutcome::Rows { rows, .. } | StoreOutcome::Conflict { rows } => stored(rows),
        StoreOutcome::Changes { changes, .. } => {
            let values = changes.iter().map(|change| change.value.as_ref());
            values.map(|value| encoded(value.map_or(0, Vec::len))).sum()
        }
        StoreOutcome::Operator { news, .. } if news.table.is_some() => config_bytes,
        StoreOutcome::Workers { entries, .. } => entries.len() as u64 * ENTRY_BYTES,
        _ => 0,
    }
}
