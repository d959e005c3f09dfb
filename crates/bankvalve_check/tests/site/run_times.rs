//! A site with a failure domain at half the speed of the others.

use bankvalve_check::site::{job_of, LeaderLoss, SitePlan, SiteWorld, QUEUE};
use bankvalve_queue::{OptionalPolicies, PolicySwitch};

use crate::plan_of;

/// Number of failure domains, each with a third of the workers.
const DOMAINS: u64 = 3;
const SLOW_DOMAIN: &str = "domain-1";
/// Time for which the speeds are learned, in milliseconds.
const LEARNING_MS: u64 = 20_000;
/// Time for which starts are counted, in milliseconds.
const COUNTED_MS: u64 = 4_000;

/// Returns the share of starts in the slow domain, in percent, of a light load whose jobs have slack: once the
/// leader has learned the speeds, and right after the next leader has taken over.
fn starts_in_slow_domain(seed: u64, without: Option<PolicySwitch>) -> (usize, usize) {
    let mut world = SiteWorld::with_policies(
        SitePlan {
            without,
            ..plan_of(seed, 18)
        },
        OptionalPolicies::ALL,
    );
    world.spread_over_domains(DOMAINS);
    world.slow_domain = Some(SLOW_DOMAIN.into());
    world.configure(2);
    world.run_until(1_000);
    let mut next = 1;
    let learned = submit_until(&mut world, &mut next, LEARNING_MS);
    world.lose_leader(LeaderLoss::Killed);
    let until = world.now_ms + COUNTED_MS;
    // The next leader takes over and reads the workers' entries.
    submit_until(&mut world, &mut next, until);
    let until = world.now_ms + COUNTED_MS;
    let inherited = submit_until(&mut world, &mut next, until);
    (learned, inherited)
}

/// Submits short jobs until a time, and returns the share of the last starts in the slow domain, in percent.
fn submit_until(world: &mut SiteWorld, next: &mut u64, until: u64) -> usize {
    while world.now_ms < until {
        if until - world.now_ms <= COUNTED_MS && world.lines.is_none() {
            world.lines = Some(Vec::new());
        }
        world.work_ms.insert(*next, 300);
        world.submit(job_of(*next, QUEUE, &[1], false));
        *next += 1;
        let after = world.now_ms + 100;
        world.run_until(after);
    }
    let lines = world.lines.take().unwrap_or_default();
    let placed = lines
        .iter()
        .filter(|(.., line)| line.part == "placer" && line.event == "place");
    let workers: Vec<&str> = placed
        .filter_map(|(.., line)| line.detail.split_once(" on ")?.1.split(',').next())
        .collect();
    let is_slow = |id: &&&str| {
        let mut listed = world.workers.values().flatten();
        listed.any(|worker| *worker.id == ***id && worker.entry.domain == SLOW_DOMAIN)
    };
    assert!(workers.len() > 20, "{} starts", workers.len());
    workers.iter().filter(is_slow).count() * 100 / workers.len()
}

/// Guards against fast workers that are kept busy by work with slack, also after a change of leader.
#[test]
fn work_with_slack_goes_to_a_slow_domain() {
    for seed in 1..4 {
        let (learned, inherited) = starts_in_slow_domain(seed, None);
        assert!(learned >= 80, "seed {seed}: {learned} percent");
        assert!(
            inherited >= 80,
            "seed {seed}: {inherited} percent after the change of leader"
        );
    }
    let without = Some(PolicySwitch::RunTimeModel);
    let unguided: usize = (1..4)
        .map(|seed| starts_in_slow_domain(seed, without).0)
        .sum();
    assert!(unguided < 3 * 60, "{unguided} percent in three worlds");
}
