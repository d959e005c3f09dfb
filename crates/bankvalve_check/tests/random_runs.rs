//! Fixed seeds of the randomised runs: all guards hold, and each is missed when taken away.

use bankvalve_cell::owner::{GuardName, GuardSet};
use bankvalve_check::fault::FaultKind;
use bankvalve_check::random::{run_episode, EpisodePlan};

fn plan(seed: u64, guards: GuardSet) -> EpisodePlan {
    EpisodePlan {
        seed,
        events: 8_000,
        faults: FaultKind::ALL.to_vec(),
        guards,
    }
}

#[test]
fn invariants_hold_under_all_faults() {
    for seed in 0..6 {
        let report = run_episode(&plan(seed, GuardSet::default()));
        assert_eq!(report.findings, [], "seed {seed}");
        assert!(report.jobs.1 > 0, "seed {seed} accepted nothing");
    }
}

#[test]
fn same_seed_repeats_exactly() {
    let one = run_episode(&plan(11, GuardSet::default()));
    let other = run_episode(&plan(11, GuardSet::default()));
    assert_eq!(one.events, other.events);
    assert_eq!(one.checks, other.checks);
    assert_eq!(one.invariants, other.invariants);
}

#[test]
fn each_missing_guard_is_noticed() {
    for guard in GuardName::ALL {
        let guards = GuardSet::without(*guard);
        let noticed = (0..60).any(|seed| {
            let report = run_episode(&plan(seed, guards));
            !report.findings.is_empty()
        });
        assert!(noticed, "no run noticed that {} is missing", guard.as_str());
    }
}
