//! The command that reads logs and tells where the time of jobs goes.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use super::trace_plot::draw_stages;
use super::{JobStage, JobTrace, TraceBook};

/// Jobs with at least so many tasks are told apart from the others of their queue.
const WIDE_TASKS: u32 = 16;

/// Jobs of one kind: their queue, and whether they are wide.
type JobKind<'a> = (&'a str, bool);

/// Reads the logs of a run, prints a table and, if asked, writes a plot of it.
pub fn run_trace(files: &[String], plot: Option<&str>) -> ExitCode {
    if files.is_empty() {
        eprintln!("error: FILE: expected at least one log");
        return ExitCode::from(2);
    }
    let mut book = TraceBook::default();
    for file in files {
        if let Err(error) = read_file(&mut book, file) {
            eprintln!("error: {file}: expected a log that can be read: {error}");
            return ExitCode::from(2);
        }
    }
    let kinds = by_kind(&book);
    print_table(&kinds);
    let mut pauses = book.pauses();
    pauses.sort_unstable();
    let (p50, p99) = (percentile(&pauses, 50), percentile(&pauses, 99));
    let (count, p50, p99) = (pauses.len(), p50.as_millis(), p99.as_millis());
    println!("{count} changes of leader, without a start for: p50 {p50} ms, p99 {p99} ms");
    if book.left_out() > 0 {
        println!("{} lines tell that others were left out", book.left_out());
    }
    let drawn = plot.map(|path| draw_stages(Path::new(path), &bars_of(&kinds)));
    match drawn {
        Some(Err(error)) => {
            eprintln!("error: --plot: expected a file that can be written: {error}");
            ExitCode::from(2)
        }
        _ => ExitCode::SUCCESS,
    }
}

fn read_file(book: &mut TraceBook, file: &str) -> std::io::Result<()> {
    for line in BufReader::new(File::open(file)?).split(b'\n') {
        book.read_line(&String::from_utf8_lossy(&line?));
    }
    Ok(())
}

fn by_kind(book: &TraceBook) -> BTreeMap<JobKind<'_>, Vec<&JobTrace>> {
    let mut kinds: BTreeMap<JobKind<'_>, Vec<&JobTrace>> = BTreeMap::new();
    for job in book.jobs() {
        let kind = (job.queue.as_str(), job.tasks >= WIDE_TASKS);
        kinds.entry(kind).or_default().push(job);
    }
    kinds
}

fn times_of(jobs: &[&JobTrace], stage: JobStage) -> Vec<Duration> {
    let mut times: Vec<Duration> = jobs.iter().filter_map(|job| job.stage(stage)).collect();
    times.sort_unstable();
    times
}

/// The time below which so many percent of sorted times lie; zero if there are none.
fn percentile(times: &[Duration], percent: usize) -> Duration {
    let last = times.len().saturating_sub(1);
    times.get(last * percent / 100).copied().unwrap_or_default()
}

fn print_table(kinds: &BTreeMap<JobKind<'_>, Vec<&JobTrace>>) {
    println!("queue           tasks  stage    jobs   p50 ms   p99 ms");
    for ((queue, wide), jobs) in kinds {
        let tasks = if *wide { "wide" } else { "few" };
        for stage in JobStage::ALL {
            let times = times_of(jobs, stage);
            let name = stage.as_str();
            let (p50, p99) = (percentile(&times, 50), percentile(&times, 99));
            let (count, p50, p99) = (times.len(), p50.as_millis(), p99.as_millis());
            println!("{queue:<15} {tasks:<6} {name:<6} {count:>6} {p50:>8} {p99:>8}");
        }
    }
}

/// Name and median of each stage but the whole, for each kind.
fn bars_of(kinds: &BTreeMap<JobKind<'_>, Vec<&JobTrace>>) -> Vec<(String, Vec<f64>)> {
    let stages = &JobStage::ALL[..JobStage::ALL.len() - 1];
    let bar = |((queue, wide), jobs): (&JobKind<'_>, &Vec<&JobTrace>)| {
        let name = format!("{queue}{}", if *wide { " wide" } else { "" });
        let medians = stages.iter().map(|stage| {
            let times = times_of(jobs, *stage);
            percentile(&times, 50).as_secs_f64() * 1_000.0
        });
        (name, medians.collect())
    };
    kinds.iter().map(bar).collect()
}
