//! The log of decisions: one line of JSON each, on standard output.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use bankvalve_queue::DecisionLine;
use crossbeam::channel::{bounded, Receiver, Sender};
use serde::Serialize;

/// Lines that may wait for the writer.
const RING: usize = 4_096;
/// Lines of one kind that are written in a second.
const LINES_PER_SECOND: u32 = 400;
/// Span in which lines of a kind are counted.
const SPAN: Duration = Duration::from_secs(1);

/// A line and when it was decided, in milliseconds since 1970.
type TimedLine = (u64, DecisionLine);

#[derive(Serialize)]
struct LogLine<'a> {
    time: u64,
    level: &'static str,
    part: &'a str,
    event: &'a str,
    #[serde(skip_serializing_if = "str::is_empty")]
    id: &'a str,
    #[serde(skip_serializing_if = "str::is_empty")]
    detail: &'a str,
}

/// Where decisions are handed in; never blocks.
#[derive(Clone, Debug)]
pub struct DecisionLog {
    ring: Sender<TimedLine>,
    dropped: Arc<AtomicU64>,
}

impl DecisionLog {
    /// Starts the thread that writes.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub fn start() -> std::io::Result<(Self, JoinHandle<()>)> {
        let (ring, lines) = bounded(RING);
        let dropped = Arc::new(AtomicU64::new(0));
        let log = Self {
            ring,
            dropped: dropped.clone(),
        };
        let thread = std::thread::Builder::new()
            .name("decisions".into())
            .spawn(move || write_all(&lines, &dropped))?;
        Ok((log, thread))
    }

    /// Hands a line in; a full ring drops and counts it.
    pub fn give(&self, time: u64, line: DecisionLine) {
        if self.ring.try_send((time, line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn write_all(lines: &Receiver<TimedLine>, dropped: &AtomicU64) {
    let mut out = std::io::LineWriter::new(std::io::stdout());
    let mut budget: BTreeMap<(&'static str, &'static str), u32> = BTreeMap::new();
    let mut left_out = 0;
    let mut span = Instant::now();
    let mut text = Vec::new();
    while let Ok(first) = lines.recv() {
        text.clear();
        if span.elapsed() >= SPAN {
            span = Instant::now();
            budget.clear();
            left_out += dropped.swap(0, Ordering::Relaxed);
            if left_out > 0 {
                let detail = left_out.to_string();
                push_line(&mut text, first.0, "warn", "log", "left_out", "", &detail);
                left_out = 0;
            }
        }
        for (time, line) in std::iter::once(first).chain(lines.try_iter()) {
            let written = budget.entry((line.part, line.event)).or_default();
            *written += 1;
            if *written > LINES_PER_SECOND {
                left_out += 1;
                continue;
            }
            let (part, event) = (line.part, line.event);
            push_line(&mut text, time, "info", part, event, &line.id, &line.detail);
        }
        // Nobody is left to tell if standard output is gone.
        let _ = out.write_all(&text);
    }
}

fn push_line(
    text: &mut Vec<u8>,
    time: u64,
    level: &'static str,
    part: &str,
    event: &str,
    id: &str,
    detail: &str,
) {
    let line = LogLine {
        time,
        level,
        part,
        event,
        id,
        detail,
    };
    if serde_json::to_writer(&mut *text, &line).is_ok() {
        text.push(b'\n');
    }
}
