//! A table of how long tasks that last are away, by how the leader is lost beside their worker.

use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

use super::site_losses::{play_losses, LeaderLoss, LossPlan, WorkerLoss};
use super::RuleBreach;

/// Longest distance between the two losses, in milliseconds.
const FARTHEST_MS: i64 = 15_000;
/// Worlds that are played at once.
const THREADS: usize = 4;

/// Worlds that broke a rule which are shown, and breaches of each.
const SHOWN: usize = 20;
const BREACHES_SHOWN: usize = 4;

/// What one world showed.
#[derive(Clone, Debug)]
struct LossFigure {
    plan: LossPlan,
    away_ms: u64,
    breaches: Vec<RuleBreach>,
}

impl LossFigure {
    /// Whether a task was found missing.
    fn is_lost(&self) -> bool {
        self.breaches.iter().any(|breach| breach.rule == "LOST")
    }

    /// Whether another rule was broken.
    fn breaks_others(&self) -> bool {
        self.breaches.iter().any(|breach| breach.rule != "LOST")
    }
}

/// Plays pairs of losses at all distances and prints how long tasks that last were away.
pub fn run_lasting(seeds: u64, step_ms: u64) -> ExitCode {
    let plans = plans(seeds, step_ms.max(1));
    let next = AtomicUsize::new(0);
    let figures = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some(plan) = plans.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let figure = play(*plan);
                    if let Ok(mut figures) = figures.lock() {
                        figures.push(figure);
                    }
                }
            });
        }
    });
    let figures = figures.into_inner().unwrap_or_default();
    println!(
        "{:<26}{:<29}{:<14}{:>6}{:>6}{:>7}{:>9}{:>9}  worst at",
        "leader", "worker", "first", "plays", "LOST", "others", "median s", "worst s"
    );
    for leader in std::iter::once(None).chain(LeaderLoss::ALL.map(Some)) {
        for worker in WorkerLoss::ALL {
            for worker_first in [true, false] {
                let of = figures.iter().filter(|figure| {
                    let plan = figure.plan;
                    let first = plan.distance_ms >= 0;
                    (plan.leader, plan.worker, first) == (leader, worker, worker_first)
                });
                print_row(leader, worker, worker_first, &of.collect::<Vec<_>>());
            }
        }
    }
    let mut broken: Vec<&LossFigure> = figures.iter().collect();
    broken.retain(|figure| !figure.breaches.is_empty());
    // Rules other than the one that is measured come first.
    broken.sort_by_key(|figure| !figure.breaks_others());
    for figure in broken.iter().take(SHOWN) {
        println!("{}: away for {} ms", figure.plan, figure.away_ms);
        for breach in figure.breaches.iter().take(BREACHES_SHOWN) {
            println!("  {}: {}", breach.rule, breach.text);
        }
    }
    if broken.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn plans(seeds: u64, step_ms: u64) -> Vec<LossPlan> {
    let mut plans = Vec::new();
    for seed in 1..=seeds {
        for worker in WorkerLoss::ALL {
            let alone = LossPlan::pair(seed, None, 0);
            plans.push(LossPlan { worker, ..alone });
            for leader in LeaderLoss::ALL {
                let distances = (-FARTHEST_MS..=FARTHEST_MS).step_by(step_ms as usize);
                plans.extend(distances.map(|distance_ms| {
                    let pair = LossPlan::pair(seed, Some(leader), distance_ms);
                    LossPlan { worker, ..pair }
                }));
            }
        }
    }
    plans
}

fn play(plan: LossPlan) -> LossFigure {
    let report = play_losses(&plan);
    LossFigure {
        plan,
        away_ms: report.away_ms,
        breaches: report.breaches,
    }
}

fn print_row(
    leader: Option<LeaderLoss>,
    worker: WorkerLoss,
    worker_first: bool,
    figures: &[&LossFigure],
) {
    let Some(worst) = figures.iter().max_by_key(|figure| figure.away_ms) else {
        return;
    };
    let mut times: Vec<u64> = figures.iter().map(|figure| figure.away_ms).collect();
    times.sort_unstable();
    let seconds = |ms: u64| ms as f64 / 1_000.0;
    let first = match (leader, worker_first) {
        (None, _) => "-",
        (_, true) => "worker first",
        (_, false) => "leader first",
    };
    println!(
        "{:<26}{:<29}{:<14}{:>6}{:>6}{:>7}{:>9.1}{:>9.1}  {:+.1} s, seed {}",
        leader.map_or("not lost", LeaderLoss::as_str),
        worker.as_str(),
        first,
        figures.len(),
        figures.iter().filter(|figure| figure.is_lost()).count(),
        figures
            .iter()
            .filter(|figure| figure.breaks_others())
            .count(),
        seconds(times[times.len() / 2]),
        seconds(worst.away_ms),
        worst.plan.distance_ms as f64 / 1_000.0,
        worst.plan.seed,
    );
}
