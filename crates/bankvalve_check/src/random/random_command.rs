//! The `random` command: many runs from one seed, and their sum.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::Instant;

use bankvalve_cell::owner::{GuardName, GuardSet};
use bankvalve_cell::tally::InvariantKind;

use super::{run_episode, shrink_episode, EpisodePlan, EpisodeReport};
use crate::fault::{FaultCount, FaultKind};

/// Events of one run.
const EPISODE_EVENTS: u64 = 25_000;

/// Sums of many runs.
#[derive(Debug, Default)]
struct RandomTotals {
    events: u64,
    faults: FaultCount,
    invariants: BTreeMap<InvariantKind, u64>,
    checks: BTreeMap<&'static str, u64>,
    passed: u64,
    failed: u64,
    jobs: (u64, u64),
}

impl RandomTotals {
    fn add(&mut self, report: &EpisodeReport) {
        self.events += report.events;
        self.jobs.0 += report.jobs.0;
        self.jobs.1 += report.jobs.1;
        for (kind, count) in &report.faults {
            *self.faults.entry(*kind).or_default() += count;
        }
        for (kind, count) in &report.invariants {
            *self.invariants.entry(*kind).or_default() += count;
        }
        for (check, count) in &report.checks {
            *self.checks.entry(check).or_default() += count;
        }
        if report.findings.is_empty() {
            self.passed += 1;
        } else {
            self.failed += 1;
        }
    }
}

/// Runs episodes from a seed until so many events have happened.
pub fn run_random(seed: u64, events: u64, guard: Option<GuardName>) -> ExitCode {
    let begun = Instant::now();
    let mut totals = RandomTotals::default();
    let mut episode = 0;
    while totals.events < events {
        let plan = EpisodePlan {
            seed: seed.wrapping_mul(1_000).wrapping_add(episode),
            events: EPISODE_EVENTS.min(events),
            faults: FaultKind::ALL.to_vec(),
            guards: guard.map_or_else(GuardSet::default, GuardSet::without),
        };
        episode += 1;
        let report = run_episode(&plan);
        totals.add(&report);
        if !report.findings.is_empty() {
            print_failure(&plan, &report);
            if guard.is_some() {
                break;
            }
        }
    }
    print_totals(&totals, begun);
    if totals.failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn print_failure(plan: &EpisodePlan, report: &EpisodeReport) {
    println!("run with seed {} failed:", plan.seed);
    for finding in &report.findings {
        println!("  {}: {}", finding.check, finding.text);
    }
    let (short, report) = shrink_episode(plan, report);
    let names: Vec<&str> = short.faults.iter().map(|kind| kind.as_str()).collect();
    println!(
        "shortest found: seed {}, {} events, faults: {}",
        short.seed,
        short.events,
        names.join(", ")
    );
    for finding in &report.findings {
        println!("  {}: {}", finding.check, finding.text);
    }
}

fn print_totals(totals: &RandomTotals, begun: Instant) {
    println!("faults struck:");
    for kind in FaultKind::ALL {
        let count = totals.faults.get(kind).copied().unwrap_or(0);
        println!("  {:<24}{count}", kind.as_str());
    }
    println!("invariants checked inside the program:");
    for (kind, count) in &totals.invariants {
        println!("  {:<24}{count}", kind.as_str());
    }
    println!("checks of the history:");
    for (check, count) in &totals.checks {
        println!("  {check:<24}{count}");
    }
    println!(
        "{} events in {} runs, {} jobs submitted, {} accepted, {:.1} s",
        totals.events,
        totals.passed + totals.failed,
        totals.jobs.0,
        totals.jobs.1,
        begun.elapsed().as_secs_f64()
    );
    println!("{} passed, {} failed", totals.passed, totals.failed);
}
