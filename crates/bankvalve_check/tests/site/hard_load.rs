//! Urgent work, gangs and batches on a full site with a burst. The bounds are the goals of
//! docs/design/hard-load.md.

use std::sync::OnceLock;
use std::thread;

use bankvalve_check::site::{
    play_disturbed_load, play_hard_load, HardLoadFigures, HardLoadPlan, ServedKind, SiteWorld,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Indices of the kinds, and of the span of the burst.
const URGENT: usize = 0;
const GANGS: usize = 1;
const BATCHES: usize = 2;
const BURST: usize = 1;

/// The burst without failures, for two seeds, which all tests share.
fn bursts() -> &'static [HardLoadFigures] {
    static BURSTS: OnceLock<Vec<HardLoadFigures>> = OnceLock::new();
    BURSTS.get_or_init(|| {
        let plays =
            [1, 2].map(|seed| thread::spawn(move || play_hard_load(&HardLoadPlan::usual(seed))));
        let ended = plays
            .into_iter()
            .map(|play| play.join().expect("a load was played"));
        ended.collect()
    })
}

/// Share of their value that jobs of a kind from the bursts earn.
fn share_in_bursts(kind: usize) -> f64 {
    let spans = bursts()
        .iter()
        .map(|figures| &figures.kinds[kind].spans[BURST]);
    let sum = spans.fold(ServedKind::default(), |sum, span| ServedKind {
        asked: sum.asked + span.asked,
        value: sum.value + span.value,
        ..sum
    });
    sum.share()
}

/// Guards against gangs that wait until they are late while batches of a lower priority start.
#[test]
fn gangs_earn_most_of_their_value_in_a_burst() {
    let share = share_in_bursts(GANGS);
    assert!(share >= 0.75, "gangs earn {share:.2}");
}

/// Guards against a capacity plan that serves gangs at the cost of the others.
#[test]
fn batches_and_urgent_work_earn_their_value_in_a_burst() {
    let (urgent, batches) = (share_in_bursts(URGENT), share_in_bursts(BATCHES));
    assert!(urgent >= 0.96, "urgent work earns {urgent:.2}");
    assert!(batches >= 0.90, "batches earn {batches:.2}");
}

/// Guards against broken rules, and against gangs of which some members wait for the others in vain.
#[test]
fn a_burst_breaks_no_rule() {
    for figures in bursts() {
        assert_eq!(figures.breaches, []);
        assert_eq!(figures.unsettled_looks, 0);
        let alone = figures.kinds.each_ref().map(|kind| kind.ends[2]);
        assert_eq!(alone, [0; 3]);
    }
}

/// Smaller sites, for loads of which the waits for the policy service are not what counts.
const FEW_WORKERS: usize = 96;

/// Plays loads side by side on sites of few workers.
fn play_all(
    plans: impl IntoIterator<Item = HardLoadPlan>,
    disturb: impl Fn(u64, &mut SiteWorld) + Copy + Send + 'static,
) -> Vec<(HardLoadPlan, HardLoadFigures)> {
    let plays = plans.into_iter().map(|plan| {
        let plan = HardLoadPlan {
            workers: FEW_WORKERS,
            ..plan
        };
        let play = move || play_disturbed_load(&plan, |world| disturb(plan.seed, world));
        (plan, thread::spawn(play))
    });
    let plays: Vec<_> = plays.collect();
    let ended = plays
        .into_iter()
        .map(|(plan, play)| (plan, play.join().expect("a load was played")));
    ended.collect()
}

/// Guards against urgent work that waits behind what a large burst leaves.
#[test]
fn urgent_work_keeps_its_share_in_large_bursts() {
    let plans = [4.0, 8.0].map(|burst| HardLoadPlan {
        burst,
        ..HardLoadPlan::usual(1)
    });
    for (plan, figures) in play_all(plans, |_, _| ()) {
        let share = figures.kinds[URGENT].spans[BURST].share();
        assert!(
            share >= 0.95,
            "urgent work earns {share:.2} at {} times",
            plan.burst
        );
        assert_eq!(figures.breaches, []);
    }
}

/// Guards against rules broken, and accepted jobs forgotten, by a leader that takes over a full site.
#[test]
fn the_loss_of_a_leader_in_a_burst_breaks_no_rule() {
    let disturb = |seed, world: &mut SiteWorld| {
        let at = 10_000 + Pcg64Mcg::seed_from_u64(seed).random_range(0..600) * 10;
        if world.now_ms == at {
            if let Some(leader) = world.leader() {
                world.kill(leader, 4_000);
            }
        }
    };
    assert_all_end(play_all([1, 2, 3].map(HardLoadPlan::usual), disturb));
}

/// Guards against rules broken, and accepted jobs forgotten, by a site whose table is unavailable for 3 to 7 s.
#[test]
fn an_outage_of_the_table_in_a_burst_breaks_no_rule() {
    let disturb = |seed, world: &mut SiteWorld| {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let at = 10_000 + rng.random_range(0..600) * 10;
        let silent = rng.random();
        let away_ms = rng.random_range(3_000..7_000);
        if world.now_ms == at {
            world.store_away_until = at + away_ms;
            world.store_silent = silent;
        }
    };
    assert_all_end(play_all([4, 5, 6].map(HardLoadPlan::usual), disturb));
}

fn assert_all_end(played: Vec<(HardLoadPlan, HardLoadFigures)>) {
    for (plan, figures) in played {
        assert_eq!(figures.breaches, [], "seed {}", plan.seed);
        let spans = figures.kinds.iter().flat_map(|kind| kind.spans);
        let ended: u32 = spans.clone().map(|span| span.in_time + span.late).sum();
        assert!(ended > 300, "seed {}: {ended} jobs ended", plan.seed);
        assert!(
            figures.unsettled_looks > 0,
            "seed {}: nothing happened",
            plan.seed
        );
        assert_eq!(figures.open_jobs, 0, "seed {}", plan.seed);
    }
}

/// Guards against gangs whose capacity goes to small tasks as it becomes free.
#[test]
fn half_of_the_gangs_of_a_burst_start_soon_after_they_were_accepted() {
    for figures in bursts() {
        let median = figures.kinds[GANGS].first_wait_ms(50);
        assert!(median <= 4_000, "half of the gangs wait over {median} ms");
    }
}

/// Guards against permits that run out before the capacity for the whole gang is free.
#[test]
fn a_gang_asks_for_advice_twice_as_a_rule() {
    for figures in bursts() {
        let requests = figures.kinds[GANGS].advice_per_step;
        assert!(requests <= 2.0, "{requests:.1} requests for each step");
    }
}

/// Guards against steps of a lower priority that take the capacity of a step that is late.
#[test]
fn no_start_in_a_burst_inverts_priorities() {
    for figures in bursts() {
        let pairs = &figures.inversions.pairs;
        assert!(
            pairs.is_empty(),
            "{}, first {:?}",
            figures.inversions,
            pairs.first_key_value()
        );
    }
}
