//! Control cost of one cell under a steady load.

use std::time::Duration;

use bankvalve_cell::placement::PlacePolicy;

use crate::measure::{run_measurement, MeasureProfile};

/// A quantity whose cost is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SizeAxis {
    /// Workers, with the load unchanged.
    Workers,
    /// Task starts a second.
    Starts,
    /// Running tasks, at the same starts a second.
    Running,
    /// Teams.
    Teams,
    /// Entry instances.
    Entries,
}

impl SizeAxis {
    /// All quantities.
    pub const ALL: &'static [Self] = &[
        Self::Workers,
        Self::Starts,
        Self::Running,
        Self::Teams,
        Self::Entries,
    ];

    /// Name in tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Workers => "workers",
            Self::Starts => "starts",
            Self::Running => "running",
            Self::Teams => "teams",
            Self::Entries => "entries",
        }
    }

    /// The four sizes that are measured; the last is the target's.
    pub fn sizes(self) -> [u32; 4] {
        match self {
            Self::Workers => [400, 600, 800, 1_000],
            Self::Starts => [32, 65, 97, 130],
            Self::Running => [1_900, 2_900, 3_800, 4_700],
            Self::Teams => [22, 44, 66, 88],
            Self::Entries => [8, 12, 18, 24],
        }
    }
}

/// Control cost for each entry instance and second, but for what is said to be the cell's.
#[derive(Clone, Copy, Debug)]
pub struct CostSample {
    /// The quantity.
    pub axis: SizeAxis,
    /// Its size.
    pub size: u32,
    /// Processor time of the decisions in milliseconds.
    pub decisions_ms: f64,
    /// Batches to peers.
    pub peer_batches: f64,
    /// Bytes to peers, encoded, without headers.
    pub peer_bytes: f64,
    /// Exchanges with workers.
    pub exchanges: f64,
    /// Bytes with workers both ways, encoded, without headers.
    pub exchange_bytes: f64,
    /// Bytes written to the table.
    pub table_bytes: f64,
    /// Reads of the table, of the whole cell.
    pub cell_reads: f64,
    /// Writes of the table, of the whole cell.
    pub cell_writes: f64,
}

impl CostSample {
    /// Names of the columns after the quantity and its size.
    pub const COLUMNS: [&'static str; 8] = [
        "decisions_ms",
        "peer_batches",
        "peer_bytes",
        "exchanges",
        "exchange_bytes",
        "table_bytes",
        "cell_reads",
        "cell_writes",
    ];

    /// The values of the columns.
    pub fn values(&self) -> [f64; 8] {
        [
            self.decisions_ms,
            self.peer_batches,
            self.peer_bytes,
            self.exchanges,
            self.exchange_bytes,
            self.table_bytes,
            self.cell_reads,
            self.cell_writes,
        ]
    }
}

/// Measures one size; all other quantities are the target's, or half of it where
/// the smaller cells could not hold the load.
pub fn measure_cost(axis: SizeAxis, size: u32) -> CostSample {
    let entries = if axis == SizeAxis::Entries { size } else { 24 };
    let mut profile = MeasureProfile::target(entries);
    profile.warm_up = Duration::from_secs(45);
    profile.time = Duration::from_secs(30);
    match axis {
        SizeAxis::Workers => {
            profile.load.starts_per_second *= 0.4;
            profile.load.services = profile.load.services * 2 / 5;
            keep_workers(&mut profile, size);
        }
        SizeAxis::Starts => {
            let part = f64::from(size) / profile.load.starts_per_second;
            profile.load.starts_per_second = f64::from(size);
            profile.load.run_time = profile.load.run_time.div_f64(part.max(0.25));
        }
        SizeAxis::Running => {
            let part = f64::from(size) / 4_700.0;
            profile.load.run_time = profile.load.run_time.mul_f64(part);
            profile.load.services = (f64::from(profile.load.services) * part) as u32;
        }
        SizeAxis::Teams => profile.load.teams = size,
        SizeAxis::Entries => {}
    }
    let report = run_measurement(&profile, PlacePolicy::default(), 1);
    let seconds = report.time.as_secs_f64();
    let per_node = |value: u64| value as f64 / seconds / report.entries as f64;
    let cost = report.cost;
    CostSample {
        axis,
        size,
        decisions_ms: cost.step_time.as_secs_f64() * 1_000.0 / seconds / report.entries as f64,
        peer_batches: per_node(cost.peer_batches),
        peer_bytes: per_node(cost.peer_bytes),
        exchanges: per_node(cost.exchanges),
        exchange_bytes: per_node(cost.exchange_bytes),
        table_bytes: per_node(cost.store_bytes),
        cell_reads: report.store.0 as f64 / seconds,
        cell_writes: report.store.1 as f64 / seconds,
    }
}

/// Keeps a part of the workers, evenly over the failure domains.
fn keep_workers(profile: &mut MeasureProfile, count: u32) {
    let all = profile.plan.workers.len();
    let kept = count as usize;
    let workers = std::mem::take(&mut profile.plan.workers);
    let keep = |index: usize| (index + 1) * kept / all > index * kept / all;
    profile.plan.workers = workers
        .into_iter()
        .enumerate()
        .filter(|(index, _)| keep(*index))
        .map(|(_, worker)| worker)
        .collect();
}
