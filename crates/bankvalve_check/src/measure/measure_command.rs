//! The `measure` and `decide` commands.

use std::process::ExitCode;

use bankvalve_cell::placement::PlacePolicy;

use super::{measure_decisions, run_measurement, MeasureProfile, MeasureReport};

/// Measures a profile with bankvalve's policy and the baselines, and prints the figures.
pub fn run_measure(profile: &str, seed: u64) -> ExitCode {
    let Some(profile) = MeasureProfile::named(profile) else {
        eprintln!(
            "error: --profile: expected one of {:?}, found {profile}",
            MeasureProfile::NAMES
        );
        return ExitCode::from(2);
    };
    println!(
        "profile {}: {} workers, {} entry instances, {} teams, {} starts/s offered, seed {seed}, \
         {} s counted after {} s",
        profile.name,
        profile.plan.workers.len(),
        profile.plan.entries.len(),
        profile.load.teams,
        profile.load.starts_per_second,
        profile.time.as_secs(),
        profile.warm_up.as_secs()
    );
    let policies = [
        PlacePolicy::tight(),
        PlacePolicy::least_loaded(),
        PlacePolicy::random(),
        PlacePolicy::first_version(),
    ];
    for policy in policies {
        let report = run_measurement(&profile, policy, seed);
        print_report(&report);
    }
    ExitCode::SUCCESS
}

fn print_report(report: &MeasureReport) {
    println!("policy {}:", report.policy);
    for (kind, waits) in &report.waits {
        println!(
            "  waiting {:<8} {:>7} tasks  p50 {:>6} ms  p99 {:>6} ms  max {:>6} ms",
            kind.as_str(),
            waits.len(),
            waits.value_at_quantile(0.5),
            waits.value_at_quantile(0.99),
            waits.max()
        );
    }
    println!(
        "  started {}, not started by the end {}, preempted {}, submissions refused {}",
        report.started, report.unstarted, report.preempted, report.refused
    );
    println!(
        "  packing: processors mean {:.1}% least {:.1}%, memory mean {:.1}%, {:.0} tasks running",
        100.0 * report.packing.0,
        100.0 * report.packing.1,
        100.0 * report.packing.2,
        report.running
    );
    let seconds = report.time.as_secs_f64();
    let per_node = |value: u64| value as f64 / seconds / report.entries as f64;
    println!(
        "  control for each node and second: {:.2} ms decisions, {:.1} batches and {:.0} bytes to \
         peers, {:.1} exchanges and {:.0} bytes with workers, {:.0} bytes to the table",
        report.cost.step_time.as_secs_f64() * 1_000.0 / seconds / report.entries as f64,
        per_node(report.cost.peer_batches),
        per_node(report.cost.peer_bytes),
        per_node(report.cost.exchanges),
        per_node(report.cost.exchange_bytes),
        per_node(report.cost.store_bytes)
    );
    println!(
        "  table for the whole cell and second: {:.1} reads, {:.1} writes; run took {:.1} s",
        report.store.0 as f64 / seconds,
        report.store.1 as f64 / seconds,
        report.took.as_secs_f64()
    );
}

/// Measures the time of decisions at growing sizes.
pub fn run_decisions() -> ExitCode {
    println!(
        "decision time, one core: a worker partition of 16 workers, and the choice of a partition"
    );
    println!("workers  single p50 us  single p99 us  gang of 100 p50 us  gang of 100 p99 us  placements/s");
    for workers in [50, 125, 250, 500, 1_000] {
        let times = measure_decisions(workers);
        println!(
            "{workers:>7}  {:>13.1}  {:>13.1}  {:>18.1}  {:>18.1}  {:>12.0}",
            times.single_p50, times.single_p99, times.gang_p50, times.gang_p99, times.per_second
        );
    }
    ExitCode::SUCCESS
}
