//! Measures the CPU time of entry instances with 50, 100, 200 and 400 workers.
//!
//! Run it with `cargo run --release --example control_cost -p bankvalve`.
//! All instances and the platform stand-in run in this process. CPU time is summed by thread name over
//! all instances; the threads of the stand-in have other names and are not counted.

use std::collections::BTreeMap;
use std::fs;
use std::thread;
use std::time::{Duration, Instant};

use bankvalve::command::CommandFailure;
use bankvalve::dev::{DevCell, DevPlan};
use bankvalve_cell::contract::{JobKind, JobSpec, PlaceRule};
use bankvalve_cell::machine::TaskSize;

/// Numbers of workers, each measured with a new cell.
const WORKER_COUNTS: [u32; 4] = [50, 100, 200, 400];
/// Number of entry instances.
const ENTRY_COUNT: u32 = 3;
/// Duration of the measurement for each number of workers.
const RUN_DURATION: Duration = Duration::from_secs(12);
/// Pause between two submissions, each of a job with ten tasks.
const JOB_PAUSE: Duration = Duration::from_millis(1_000);
/// Names of the threads of an entry instance.
const THREADS: [&str; 6] = ["core", "links", "callers", "peers", "admin", "list"];
/// Clock ticks per second of the times in `/proc`; 100 is the usual value on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

fn main() -> Result<(), CommandFailure> {
    println!("workers,core_percent,links_percent,peers_percent,other_percent,process_rss_mib");
    for workers in WORKER_COUNTS {
        let plan = DevPlan {
            entries: ENTRY_COUNT,
            workers,
            teams: Default::default(),
        };
        let cell = DevCell::start(&plan)?;
        cell.wait_until_ready(Duration::from_secs(40))?;
        let before = thread_ticks();
        let begun = Instant::now();
        let client = cell.client()?;
        let mut number = 0;
        while begun.elapsed() < RUN_DURATION {
            number += 1;
            client.submit(&job(number))?;
            thread::sleep(JOB_PAUSE);
        }
        let seconds = begun.elapsed().as_secs_f64();
        let after = thread_ticks();
        let percent = |names: &[&str]| {
            let ticks: f64 = names
                .iter()
                .map(|name| after.get(*name).unwrap_or(&0.0) - before.get(*name).unwrap_or(&0.0))
                .sum();
            100.0 * ticks / TICKS_PER_SECOND / seconds / f64::from(ENTRY_COUNT)
        };
        println!(
            "{workers},{:.2},{:.2},{:.2},{:.2},{:.0}",
            percent(&["core"]),
            percent(&["links"]),
            percent(&["peers"]),
            percent(&["callers", "admin", "list"]),
            resident_mib()
        );
        drop(cell);
    }
    Ok(())
}

fn job(number: u32) -> JobSpec {
    JobSpec {
        id: format!("job-{number}"),
        team: "billing".into(),
        kind: JobKind::Batch { tasks: 10 },
        size: TaskSize {
            millicores: 1_000,
            memory_mib: 1_024,
            accelerators: 0,
        },
        run_time_ms: 2_000,
        urgent: false,
        repeatable: true,
        place: PlaceRule::default(),
        payload: String::new(),
    }
}

/// Returns the CPU time of the instances' threads by thread name, in clock ticks.
fn thread_ticks() -> BTreeMap<String, f64> {
    let mut sums = BTreeMap::new();
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return sums;
    };
    for task in tasks.flatten() {
        let Ok(stat) = fs::read_to_string(task.path().join("stat")) else {
            continue;
        };
        let Some((head, tail)) = stat.rsplit_once(')') else {
            continue;
        };
        let name = head.split_once('(').map_or("", |(_, name)| name);
        let fields: Vec<&str> = tail.split_whitespace().collect();
        let read = |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok());
        let ticks = read(11).unwrap_or(0.0) + read(12).unwrap_or(0.0);
        if THREADS.contains(&name) {
            *sums.entry(name.to_owned()).or_default() += ticks;
        }
    }
    sums
}

/// Returns the resident memory of this process in MiB, or 0 if it cannot be read.
fn resident_mib() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
    kib.unwrap_or(0.0) / 1_024.0
}
