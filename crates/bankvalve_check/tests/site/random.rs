//! Drawn worlds, and guards that are taken away.

use bankvalve_check::site::{run_broken_episode, run_site_episode, SiteFault};
use bankvalve_queue::SiteGuard;

#[test]
fn troubles_of_all_kinds_break_no_rule() {
    for seed in 1..9 {
        let report = run_site_episode(seed, &SiteFault::ALL);
        assert_eq!(report.breaches, [], "seed {seed}");
        assert!(report.starts > 500, "seed {seed}: {} starts", report.starts);
    }
}

#[test]
fn a_guard_that_is_taken_away_is_noticed() {
    // With the first seed that notices it; some of the next ones do if the drawn world changes.
    let guards = [
        (SiteGuard::LedgerFirst, 5),
        (SiteGuard::OwnRow, 17),
        (SiteGuard::KeptEnds, 1),
        (SiteGuard::HoldOver, 1),
        (SiteGuard::StopsCount, 1),
        (SiteGuard::SureRefusal, 18),
        (SiteGuard::NewerList, 1),
    ];
    assert_eq!(guards.map(|(guard, _)| guard), SiteGuard::ALL);
    for (guard, first) in guards {
        let noticed = (first..first + 40).any(|seed| {
            let report = run_broken_episode(seed, &SiteFault::ALL, Some(guard));
            !report.breaches.is_empty()
        });
        assert!(noticed, "nothing notices that {} is gone", guard.as_str());
    }
}
