//! The moments of one job's life, gathered from log lines of any instance.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;

/// A part of a job's time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum JobStage {
    /// From its acceptance to the first choice of a worker: permits and room.
    Wait,
    /// From that choice to the first task that its worker has confirmed.
    Order,
    /// From there to the last end that was seen.
    Run,
    /// From there to the moment at which the end is kept.
    Keep,
    /// From there to the first answer that shows it.
    Show,
    /// All of it.
    Whole,
}

impl JobStage {
    /// All stages, in order.
    pub const ALL: [JobStage; 6] = [
        JobStage::Wait,
        JobStage::Order,
        JobStage::Run,
        JobStage::Keep,
        JobStage::Show,
        JobStage::Whole,
    ];

    /// Word for tables.
    pub fn as_str(self) -> &'static str {
        match self {
            JobStage::Wait => "wait",
            JobStage::Order => "order",
            JobStage::Run => "run",
            JobStage::Keep => "keep",
            JobStage::Show => "show",
            JobStage::Whole => "whole",
        }
    }
}

/// What is known of a job; times are milliseconds since 1970.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobTrace {
    /// Name of its queue.
    pub queue: String,
    /// Number of its tasks.
    pub tasks: u32,
    accepted: Option<u64>,
    placed: Option<u64>,
    started: Option<u64>,
    ended: Option<u64>,
    over: Option<u64>,
    shown: Option<u64>,
}

impl JobTrace {
    /// The time of a stage, if both of its ends are known.
    pub fn stage(&self, stage: JobStage) -> Option<Duration> {
        let (from, to) = match stage {
            JobStage::Wait => (self.accepted, self.placed),
            JobStage::Order => (self.placed, self.started),
            JobStage::Run => (self.started, self.ended),
            JobStage::Keep => (self.ended, self.over),
            JobStage::Show => (self.over, self.shown),
            JobStage::Whole => (self.accepted, self.shown),
        };
        Some(Duration::from_millis(to?.saturating_sub(from?)))
    }
}

#[derive(Deserialize)]
struct LogLine {
    time: u64,
    part: String,
    event: String,
    #[serde(default)]
    id: String,
    #[serde(default)]
    detail: String,
}

/// All jobs of a run, by id.
///
/// # Examples
///
/// ```
/// use bankvalve_check::trace::{JobStage, TraceBook};
///
/// let mut book = TraceBook::default();
/// book.read_line(r#"{"time":100,"part":"callers","event":"accept","id":"07","detail":"queue q steps 1 tasks 2 chain 5 ms"}"#);
/// book.read_line(r#"front-1 {"time":130,"part":"placer","event":"place","id":"07.0.0.1"}"#);
/// let wait = book.jobs().next().unwrap().stage(JobStage::Wait);
/// assert_eq!(wait.unwrap().as_millis(), 30);
/// ```
#[derive(Clone, Debug, Default)]
pub struct TraceBook {
    jobs: BTreeMap<String, JobTrace>,
    starts: Vec<u64>,
    leads: Vec<u64>,
    left_out: u64,
}

impl TraceBook {
    /// Reads a line of a log; what stands before its JSON is passed over, and so are other lines.
    pub fn read_line(&mut self, line: &str) {
        let Some(begin) = line.find('{') else {
            return;
        };
        let Ok(line) = serde_json::from_str::<LogLine>(&line[begin..]) else {
            return;
        };
        let job = line.id.split('.').next().unwrap_or_default().to_owned();
        let earliest = |known: &mut Option<u64>| {
            *known = Some(known.map_or(line.time, |at| at.min(line.time)));
        };
        match (line.part.as_str(), line.event.as_str()) {
            ("callers", "accept") => {
                let trace = self.jobs.entry(job).or_default();
                earliest(&mut trace.accepted);
                trace.queue = word_after(&line.detail, "queue").to_owned();
                trace.tasks = word_after(&line.detail, "tasks").parse().unwrap_or(0);
            }
            ("placer", "place") => earliest(&mut self.jobs.entry(job).or_default().placed),
            ("runs", "start") => {
                earliest(&mut self.jobs.entry(job).or_default().started);
                self.starts.push(line.time);
            }
            ("election", "lead") => self.leads.push(line.time),
            ("runs", "end") => {
                let ended = &mut self.jobs.entry(job).or_default().ended;
                *ended = Some(ended.map_or(line.time, |at| at.max(line.time)));
            }
            ("ledger", "over") => earliest(&mut self.jobs.entry(job).or_default().over),
            ("callers", "shown") => earliest(&mut self.jobs.entry(job).or_default().shown),
            ("log", "left_out") => self.left_out += 1,
            _ => {}
        }
    }

    /// The jobs whose acceptance was seen.
    pub fn jobs(&self) -> impl Iterator<Item = &JobTrace> {
        self.jobs.values().filter(|job| job.accepted.is_some())
    }

    /// For each change of leader, the time from the last start of a task before it to the first
    /// one after it; the first leader of the logs is no change.
    pub fn pauses(&self) -> Vec<Duration> {
        let mut starts = self.starts.clone();
        starts.sort_unstable();
        let mut leads = self.leads.clone();
        leads.sort_unstable();
        let pause = |lead: &u64| {
            let after = starts.partition_point(|start| start < lead);
            let last = starts.get(after.checked_sub(1)?)?;
            let first = starts.get(after)?;
            Some(Duration::from_millis(first - last))
        };
        leads.iter().skip(1).filter_map(pause).collect()
    }

    /// Lines that told that others were left out; with any, some moments are missing.
    pub fn left_out(&self) -> u64 {
        self.left_out
    }
}

/// The word that follows another one.
fn word_after<'a>(text: &'a str, word: &str) -> &'a str {
    let mut words = text.split_whitespace().skip_while(|known| *known != word);
    words.nth(1).unwrap_or_default()
}
