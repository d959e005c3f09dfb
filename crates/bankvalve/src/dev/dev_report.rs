//! Runs jobs on the small cell and prints a report.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use bankvalve_cell::contract::JobSpec;
use bankvalve_cell::link::JobView;
use hdrhistogram::Histogram;

use super::DevCell;
use crate::command::{print_line, print_rows, wait_for, CommandFailure};
use crate::serve::CoreHandle;

/// Interval between two samples of the capacity in use.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Number of requests sent to each service.
const REQUESTS_PER_SERVICE: usize = 100;

/// Samples of the capacity in use: sums of the shares from 0 to 1, the peak CPU share, and the sample count.
#[derive(Clone, Copy, Debug, Default)]
struct PackingTotals {
    millicores: f64,
    memory: f64,
    peak: f64,
    count: f64,
}

/// Submits jobs, waits for them, and prints their workers, waiting times, capacity use and refusals.
///
/// The exit code is a failure if a job other than a service is not done, or if an invariant was violated.
pub(super) fn run_jobs(cell: &DevCell, jobs: &[JobSpec]) -> Result<ExitCode, CommandFailure> {
    let client = cell.client()?;
    let stop = Arc::new(AtomicBool::new(false));
    let sampler = sample_packing(cell, &stop);
    let begun = Instant::now();
    for job in jobs {
        client.submit(job)?;
        eprintln!("job {} of team {}: accepted", job.id, job.team);
    }
    let mut views = Vec::new();
    for job in jobs {
        views.push(wait_for(&client, &job.team, &job.id)?);
    }
    let mut latencies = new_histogram();
    for job in jobs {
        let Some(service) = job.service() else {
            continue;
        };
        for number in 0..REQUESTS_PER_SERVICE {
            let sent = Instant::now();
            client.request(&job.team, service, &format!("request {number}"), false)?;
            latencies.saturating_record(sent.elapsed().as_micros() as u64);
        }
        client.cancel(&job.team, &job.id)?;
    }
    stop.store(true, Ordering::Release);
    let packing = sampler.join().unwrap_or_default();
    print_places(&views);
    print_waits(jobs, &views);
    if !latencies.is_empty() {
        print_line(format!(
            "\nrequests: {} answered, p50 {:.1} ms, p99 {:.1} ms",
            latencies.len(),
            latencies.value_at_quantile(0.5) as f64 / 1_000.0,
            latencies.value_at_quantile(0.99) as f64 / 1_000.0
        ));
    }
    print_line(format!(
        "packing: mean {:.1}% of processors, {:.1}% of memory reserved; peak {:.1}% of processors",
        100.0 * packing.millicores / packing.count.max(1.0),
        100.0 * packing.memory / packing.count.max(1.0),
        100.0 * packing.peak
    ));
    print_refusals(cell);
    print_line(format!("all over after {} ms", begun.elapsed().as_millis()));
    let good = |view: &JobView| view.phase == "done" || view.kind == "service";
    let breaches: u64 = cell
        .entries()
        .iter()
        .map(|entry| entry.core().view().tally.breach_count())
        .sum();
    if breaches > 0 {
        print_line(format!("invariants broken: {breaches}"));
    }
    Ok(if views.iter().all(good) && breaches == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3).expect("the bounds are in order")
}

fn sample_packing(cell: &DevCell, stop: &Arc<AtomicBool>) -> thread::JoinHandle<PackingTotals> {
    let cores: Vec<CoreHandle> = cell
        .entries()
        .iter()
        .map(|entry| entry.core().clone())
        .collect();
    let stop = stop.clone();
    thread::spawn(move || {
        let mut sum = PackingTotals::default();
        while !stop.load(Ordering::Acquire) {
            let mut used = bankvalve_cell::machine::TaskSize::default();
            let mut all = used;
            for core in &cores {
                let room = core.view().room;
                used = used.plus(room.0);
                all = all.plus(room.1);
            }
            let share = |part: u32, whole: u32| f64::from(part) / f64::from(whole.max(1));
            let millicores = share(used.millicores, all.millicores);
            sum.millicores += millicores;
            sum.memory += share(used.memory_mib, all.memory_mib);
            sum.peak = sum.peak.max(millicores);
            sum.count += 1.0;
            thread::sleep(SAMPLE_INTERVAL);
        }
        sum
    })
}

fn print_places(views: &[JobView]) {
    let mut rows = Vec::new();
    for view in views {
        for task in &view.tasks {
            rows.push(vec![
                view.job.clone(),
                view.kind.clone(),
                task.task.to_string(),
                task.phase.clone(),
                task.worker.clone().unwrap_or_else(|| "-".into()),
                task.attempt.to_string(),
            ]);
        }
    }
    print_line("");
    print_rows(
        &["job", "kind", "task", "phase", "worker", "attempts"],
        &rows,
    );
}

fn print_waits(jobs: &[JobSpec], views: &[JobView]) {
    let mut waits = BTreeMap::<String, Histogram<u64>>::new();
    for (job, view) in jobs.iter().zip(views) {
        let kind = if job.urgent {
            format!("urgent {}", view.kind)
        } else {
            view.kind.clone()
        };
        let histogram = waits.entry(kind).or_insert_with(new_histogram);
        for waited in view.tasks.iter().filter_map(|task| task.waited_ms) {
            histogram.saturating_record(waited.max(1));
        }
    }
    let rows: Vec<Vec<String>> = waits
        .iter()
        .map(|(kind, histogram)| {
            vec![
                kind.clone(),
                histogram.len().to_string(),
                histogram.value_at_quantile(0.5).to_string(),
                histogram.value_at_quantile(0.99).to_string(),
            ]
        })
        .collect();
    print_line("");
    print_rows(
        &["kind", "tasks", "waiting p50 ms", "waiting p99 ms"],
        &rows,
    );
}

fn print_refusals(cell: &DevCell) {
    let mut sums = BTreeMap::<&'static str, u64>::new();
    for entry in cell.entries() {
        let tally = entry.core().view().tally;
        for (reason, count) in tally.refusals() {
            *sums.entry(reason.as_str()).or_default() += count;
        }
        for (reason, count) in entry.router().counts().refused {
            if count > 0 {
                *sums.entry(reason.as_str()).or_default() += count;
            }
        }
    }
    let shown: Vec<String> = sums
        .iter()
        .map(|(reason, count)| format!("{reason} {count}"))
        .collect();
    let shown = if shown.is_empty() {
        "none".into()
    } else {
        shown.join(", ")
    };
    print_line(format!("refusals by reason: {shown}"));
}
