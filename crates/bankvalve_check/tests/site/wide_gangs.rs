//! Gangs of many members, of which a third of the workers may run a step.
//!
//! The load is that of the widest tenth of credit runs on a large fleet, on a quarter of its workers:
//! a gang of 80 each second beside small tasks, and by its sheet a policy service that takes 390 ms
//! and 5.6 ms for each worker that it is asked about.

use bankvalve_check::site::{job_of, SitePlan, SiteWorld, QUEUE};
use bankvalve_queue::{AdviceRule, JobState};

use crate::assert_kept;

/// What the policy service takes for an answer.
const SLOW_POLICY: AdviceRule = AdviceRule {
    decide_ms: 390.0,
    each_ms: 5.6,
    valid_ms: 1_500,
};
/// Members of a gang.
const MEMBERS: u32 = 80;
/// Tenths of a second for which work is handed in; each tenth brings a gang.
const LOADED_TURNS: u64 = 120;

/// Milliseconds until each gang was shown as succeeded, beside small jobs.
fn times_of_gangs(seed: u64, entries: usize) -> Vec<u64> {
    let mut world = SiteWorld::new(SitePlan {
        seed,
        entries,
        strengths: Vec::new(),
        broken: None,
        without: None,
        workers: 250,
        good_percent: Some(33),
    });
    world.slow_advice = Some(SLOW_POLICY);
    world.configure(2);
    world.run_until(2_000);
    let mut submitted = std::collections::BTreeMap::new();
    let mut times = Vec::new();
    for turn in 1..=500_u64 {
        if turn <= LOADED_TURNS {
            world.submit(job_of(turn, QUEUE, &[40], false));
        }
        if turn <= LOADED_TURNS && turn % 10 == 0 {
            let job = 10_000 + turn;
            submitted.insert(job, world.now_ms);
            world.submit(job_of(job, QUEUE, &[MEMBERS], true));
        }
        let until = world.now_ms + 100;
        world.run_until(until);
        submitted.retain(|job, at| {
            let over = world.shown.get(job) == Some(&JobState::Succeeded);
            times.extend(over.then_some(world.now_ms - *at));
            !over
        });
    }
    assert_kept(&world);
    times.sort_unstable();
    times
}

#[test]
fn a_gang_of_many_members_asks_for_permits_side_by_side() {
    let times = times_of_gangs(91, 60);
    assert_eq!(times.len() as u64, LOADED_TURNS / 10, "{times:?}");
    let median = times[times.len() / 2];
    assert!(median <= 2_300, "half of the gangs took over {median} ms");
}

#[test]
fn a_late_step_asks_for_permits_though_all_other_instances_are_gone() {
    let mut world = SiteWorld::new(SitePlan {
        seed: 93,
        entries: 3,
        strengths: Vec::new(),
        broken: None,
        without: None,
        workers: 4,
        good_percent: Some(100),
    });
    world.run_until(1_000);
    // Many times what the workers hold, so that the last ones begin when they are late.
    for job in 1..=300 {
        world.submit(job_of(job, QUEUE, &[1], false));
    }
    world.run_until(2_000);
    let leader = world.leader().expect("an instance leads");
    for node in (0..3).filter(|node| *node != leader) {
        world.kill(node, 50_000);
    }
    world.run_until(45_000);
    assert_kept(&world);
    assert_eq!(world.shown.len(), 300);
}
