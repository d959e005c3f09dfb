//! The decision log: one JSON object per line on standard output.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use bankvalve_queue::DecisionLine;
use crossbeam::channel::{bounded, Receiver, Sender};
use serde::Serialize;

use super::core_loop::unix_millis;

/// Maximum number of lines that wait for the writer thread.
const RING_LINES: usize = 4_096;
/// Maximum number of lines of one kind (part and event) written per [`COUNT_PERIOD`].
const MAX_LINES_PER_PERIOD: u32 = 400;
/// Pause between two writes, in which lines are collected. Each write costs a wake-up and a system call. The
/// ring holds about two seconds of a busy leader's lines.
const WRITE_INTERVAL: Duration = Duration::from_millis(40);
/// Maximum size of one write, in bytes. Writes of up to 4,096 bytes to a pipe are atomic; a reader may see a
/// longer one in pieces.
const MAX_WRITE_BYTES: usize = 4_000;
/// Period over which lines of one kind are counted.
const COUNT_PERIOD: Duration = Duration::from_secs(1);
/// Longest wait for space in the ring, and then for the writer, before the process ends. Enough to write a
/// full ring on a slow machine.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Severity of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LineLevel {
    /// Normal operation.
    Info,
    /// Something is retried or left out.
    Warn,
    /// A failure that ends the process.
    Error,
}

/// Input for the writer thread.
enum LogItem {
    /// A line with the time of its decision, in milliseconds since 1970, and its severity.
    Line(u64, LineLevel, DecisionLine),
    /// A request to be notified when all earlier items have been written.
    Flush(Sender<()>),
}

#[derive(Serialize)]
struct LogLine<'a> {
    time: u64,
    level: LineLevel,
    part: &'a str,
    event: &'a str,
    #[serde(skip_serializing_if = "str::is_empty")]
    id: &'a str,
    #[serde(skip_serializing_if = "str::is_empty")]
    detail: &'a str,
}

/// Handle to the decision log. Only [`DecisionLog::flush`] blocks.
#[derive(Clone, Debug)]
pub struct DecisionLog {
    ring: Sender<LogItem>,
    dropped: Arc<AtomicU64>,
}

impl DecisionLog {
    /// Starts the writer thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub fn start() -> std::io::Result<(Self, JoinHandle<()>)> {
        let (ring, lines) = bounded(RING_LINES);
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

    /// Queues a line about a decision made at `time`, in milliseconds since 1970. If the ring is full, the
    /// line is dropped and counted.
    pub fn enqueue(&self, time: u64, line: DecisionLine) {
        self.send(LogItem::Line(time, LineLevel::Info, line));
    }

    /// Queues a line about the process, with the present time.
    pub fn note(&self, level: LineLevel, line: DecisionLine) {
        self.send(LogItem::Line(unix_millis(), level, line));
    }

    /// Waits until all lines queued so far are written, or a timeout has passed because standard output is
    /// not being read. Called before the process ends.
    pub fn flush(&self) {
        let (written, wait) = bounded(1);
        let sent = self
            .ring
            .send_timeout(LogItem::Flush(written), FLUSH_TIMEOUT);
        // A failure to write the last lines cannot be reported anywhere else.
        let _ = sent.is_ok() && wait.recv_timeout(FLUSH_TIMEOUT).is_ok();
    }

    fn send(&self, item: LogItem) {
        if self.ring.try_send(item).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn write_all(items: &Receiver<LogItem>, dropped: &AtomicU64) {
    let mut out = std::io::LineWriter::new(std::io::stdout());
    let mut line_counts: BTreeMap<(&'static str, &'static str), u32> = BTreeMap::new();
    let mut left_out = 0;
    let mut period_start = Instant::now();
    let mut text = Vec::new();
    while let Ok(first) = items.recv() {
        text.clear();
        if period_start.elapsed() >= COUNT_PERIOD {
            period_start = Instant::now();
            line_counts.clear();
            left_out += dropped.swap(0, Ordering::Relaxed);
            if left_out > 0 {
                push_line(
                    &mut text,
                    unix_millis(),
                    LineLevel::Warn,
                    &left_out_line(left_out),
                );
                left_out = 0;
            }
        }
        let mut waiting = Vec::new();
        for item in std::iter::once(first).chain(items.try_iter()) {
            let (time, level, line) = match item {
                LogItem::Line(time, level, line) => (time, level, line),
                LogItem::Flush(written) => {
                    waiting.push(written);
                    continue;
                }
            };
            let written = line_counts.entry((line.part, line.event)).or_default();
            *written += 1;
            if *written > MAX_LINES_PER_PERIOD {
                left_out += 1;
                continue;
            }
            push_line(&mut text, time, level, &line);
        }
        for lines in line_chunks(&text, MAX_WRITE_BYTES) {
            // A failure of standard output cannot be reported anywhere else.
            let _ = out.write_all(lines);
        }
        let flushed = !waiting.is_empty();
        for written in waiting {
            // Fails if the waiting thread has timed out.
            let _ = written.send(());
        }
        if !flushed {
            std::thread::sleep(WRITE_INTERVAL);
        }
    }
}

/// Splits a text into chunks of whole lines, of at most `most` bytes each. A longer line is a chunk of its
/// own.
///
/// # Examples
///
/// ```
/// let chunks = bankvalve::entry::line_chunks(b"one\ntwo\nthree\n", 8);
/// assert_eq!(chunks, [&b"one\ntwo\n"[..], b"three\n"]);
/// ```
pub fn line_chunks(text: &[u8], most: usize) -> Vec<&[u8]> {
    let mut chunks = Vec::new();
    let (mut begin, mut end) = (0, 0);
    for line in text.split_inclusive(|byte| *byte == b'\n') {
        if end > begin && end + line.len() - begin > most {
            chunks.push(&text[begin..end]);
            begin = end;
        }
        end += line.len();
    }
    if end > begin {
        chunks.push(&text[begin..end]);
    }
    chunks
}

fn left_out_line(count: u64) -> DecisionLine {
    DecisionLine {
        part: "log",
        event: "left_out",
        id: String::new(),
        detail: count.to_string(),
    }
}

fn push_line(text: &mut Vec<u8>, time: u64, level: LineLevel, line: &DecisionLine) {
    let line = LogLine {
        time,
        level,
        part: line.part,
        event: line.event,
        id: &line.id,
        detail: &line.detail,
    };
    if serde_json::to_writer(&mut *text, &line).is_ok() {
        text.push(b'\n');
    }
}
