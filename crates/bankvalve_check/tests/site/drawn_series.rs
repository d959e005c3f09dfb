//! A short series of drawn worlds of each burden, so that none lands unplayed.

use std::ops::Range;

use bankvalve_check::site::{run_drawn_episode, SiteBurden};

/// Plays the worlds that the command `site` draws from these seeds. Each must keep the rules and start tasks.
fn assert_series_kept(burden: SiteBurden, seeds: Range<u64>) {
    let mut wrong = Vec::new();
    for seed in seeds {
        let report = run_drawn_episode(seed, None, burden);
        assert!(report.starts > 100, "seed {seed}: {} starts", report.starts);
        wrong.extend(report.breaches.into_iter().map(|breach| (seed, breach)));
    }
    assert_eq!(wrong, [], "{}", burden.as_str());
}

/// Guards, among other faults, against a placed task that waits without end for its worker's entry (world 920005).
#[test]
fn drawn_storms_break_no_rule() {
    assert_series_kept(SiteBurden::Storms, 920_001..920_011);
}

/// The same (world 920019), in worlds of their own so that both series run side by side.
#[test]
fn more_drawn_storms_break_no_rule() {
    assert_series_kept(SiteBurden::Storms, 920_011..920_021);
}

#[test]
fn drawn_crashes_break_no_rule() {
    assert_series_kept(SiteBurden::Crashes, 920_001..920_013);
}

#[test]
fn drawn_customers_break_no_rule() {
    assert_series_kept(SiteBurden::Customers, 920_001..920_011);
}

#[test]
fn drawn_restarts_break_no_rule() {
    assert_series_kept(SiteBurden::Restarts, 920_001..920_011);
}

#[test]
fn drawn_losses_break_no_rule() {
    assert_series_kept(SiteBurden::Losses, 920_001..920_007);
}
