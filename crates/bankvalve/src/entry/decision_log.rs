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

use super::core_loop::unix_millis;

/// Lines that may wait for the writer.
const RING: usize = 4_096;
/// Lines of one kind that are written in a second.
const LINES_PER_SECOND: u32 = 400;
/// Time in which lines gather before they are written: each write wakes a thread and costs a call of
/// the system. The ring holds some two seconds of a busy leader's lines.
const GATHER: Duration = Duration::from_millis(40);
/// Most that is written at once, in bytes: a pipe takes 4,096 unbroken, and a reader may cut what is longer.
const WRITE_BYTES: usize = 4_000;
/// Span in which lines of a kind are counted.
const SPAN: Duration = Duration::from_secs(1);
/// Longest wait for the writer before the process ends: time for a full ring on a slow machine.
const FLUSH_TIME: Duration = Duration::from_secs(1);

/// How grave a line is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LineLevel {
    /// As it should be.
    Info,
    /// Something is tried again or left out.
    Warn,
    /// The process ends for it.
    Error,
}

/// Something for the thread that writes.
enum LogItem {
    /// A line and when it was decided, in milliseconds since 1970.
    Line(u64, LineLevel, DecisionLine),
    /// Someone waits until all before it is written.
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

/// Where decisions are handed in; never blocks.
#[derive(Clone, Debug)]
pub struct DecisionLog {
    ring: Sender<LogItem>,
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

    /// Hands a line in that was decided at `time`, in milliseconds since 1970; a full ring drops
    /// and counts it.
    pub fn give(&self, time: u64, line: DecisionLine) {
        self.send(LogItem::Line(time, LineLevel::Info, line));
    }

    /// Hands a line about the process in, decided now.
    pub fn note(&self, level: LineLevel, line: DecisionLine) {
        self.send(LogItem::Line(unix_millis(), level, line));
    }

    /// Waits until what was handed in before is written, but not long for a reader that does not
    /// read; for a process that is about to end.
    pub fn flush(&self) {
        let (written, wait) = bounded(1);
        let sent = self.ring.send_timeout(LogItem::Flush(written), FLUSH_TIME);
        // There is no other place to tell that the reader did not take the last lines.
        let _ = sent.is_ok() && wait.recv_timeout(FLUSH_TIME).is_ok();
    }

    fn send(&self, item: LogItem) {
        if self.ring.try_send(item).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn write_all(items: &Receiver<LogItem>, dropped: &AtomicU64) {
    let mut out = std::io::LineWriter::new(std::io::stdout());
    let mut budget: BTreeMap<(&'static str, &'static str), u32> = BTreeMap::new();
    let mut left_out = 0;
    let mut span = Instant::now();
    let mut text = Vec::new();
    while let Ok(first) = items.recv() {
        text.clear();
        if span.elapsed() >= SPAN {
            span = Instant::now();
            budget.clear();
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
            let written = budget.entry((line.part, line.event)).or_default();
            *written += 1;
            if *written > LINES_PER_SECOND {
                left_out += 1;
                continue;
            }
            push_line(&mut text, time, level, &line);
        }
        for lines in line_chunks(&text, WRITE_BYTES) {
            // Nobody is left to tell if standard output is gone.
            let _ = out.write_all(lines);
        }
        let flushed = !waiting.is_empty();
        for written in waiting {
            // Who waits may have given up.
            let _ = written.send(());
        }
        if !flushed {
            std::thread::sleep(GATHER);
        }
    }
}

/// Parts of a text of at most so many bytes, each of whole lines; a line that is longer is a part of its own.
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
