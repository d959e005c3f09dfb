//! Drawn series of lost workers, with guilty and innocent tasks beside, and leaders lost in between.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use bankvalve_queue::{AdviceRule, JobSpec, SiteGuard};

use super::site_crashes::DrawnCrashes;
use super::site_drawn_losses::{cancel_lasting, submit_lasting};
use super::site_losses::{LeaderLoss, LossStep};
use super::site_random::{
    ask_at_end, check_ends, drawn_end_limit, drawn_hold_limit, drawn_job, EpisodePlan, SiteReport,
};
use super::site_storm_figures::StormFigures;
use super::site_storm_losses::{StormLoss, StormStep, StormWidth};
use super::site_world::{Later, SiteWorld};
use super::{run_episode, SiteBurden, SiteFault, SitePlan};

/// Workers, and the failure domains over which they are spread.
const WORKERS: usize = 24;
const DOMAINS: u64 = 6;
/// One run in so many asks a policy service that takes its time for each answer, as by a customer's
/// sheet. So many instances, of which half ask, and jobs so many times as far apart, leave a fifth of
/// it free while all is well.
const SLOW_POLICIES: u64 = 4;
const SLOW_ENTRIES: usize = 6;
const SLOW_PACE: u64 = 2;
const SLOW_POLICY: AdviceRule = AdviceRule {
    decide_ms: 560.0,
    each_ms: 8.0,
    valid_ms: 2_000,
};
/// Virtual time of the first series, in milliseconds.
const FIRST_SERIES_MS: u64 = 6_000;
/// Series of a run, and the time from the begin of one to that of the next, in milliseconds: the
/// longest lasts 36 s, and calm must follow, or nothing is judged of tasks that last.
const SERIES: u64 = 3;
const SERIES_PAUSE_MS: u64 = 55_000;
/// Strikes of a series, and the time from one to the next, in milliseconds.
const STRIKES: std::ops::RangeInclusive<u64> = 3..=10;
const STRIKE_PAUSE_MS: std::ops::RangeInclusive<u64> = 300..=4_000;
/// Strikes of a dense series, and the time in which all come, in milliseconds.
const DENSE_STRIKES: std::ops::RangeInclusive<u64> = 4..=10;
const DENSE_MS: u64 = 25_000;
/// One run in so many has dense series.
const DENSE_RUNS: u64 = 3;
/// One series in so many loses the leader, loses all instances, has the table away, forgetful.
const LEADERS: u32 = 2;
const ALL_LOST: u32 = 5;
const TABLES_AWAY: u32 = 4;
const FORGETS: u32 = 5;
/// Time for which the table is away, in milliseconds.
const AWAY_MS: std::ops::Range<u64> = 2_000..6_000;
/// Time after which a new instance comes for one that is lost for good, in milliseconds.
const NEW_INSTANCE_MS: u64 = 25_000;
/// Instances that are left at least.
const LEFT: usize = 3;
/// Time from one job to the next, in milliseconds.
const PACE_MS: std::ops::Range<u64> = 60..500;
/// One job in so many works for longer than the others, and for how long, in milliseconds.
const LONG_JOBS: u32 = 6;
const LONG_MS: std::ops::Range<u64> = 3_000..15_000;
/// One job in so many is cancelled.
const CANCELS: u32 = 25;
/// Virtual time after the last series in which all is back and checked, in milliseconds.
const SETTLE_MS: u64 = 16_000;
const CALM_MS: u64 = 90_000;

/// Draws series, by a source of its own.
#[derive(Debug)]
struct DrawnStorms {
    rng: Pcg64Mcg,
    dense: bool,
    /// How many times as far apart jobs come.
    pace: u64,
}

impl DrawnStorms {
    /// Lays out a series that begins now.
    fn lay(&mut self, world: &mut SiteWorld) {
        let strikes = self.strike_times();
        let last = strikes.last().copied().unwrap_or(0);
        let mixed = self.dense || self.rng.random_range(0..3) == 0;
        let kinds = StormLoss::ALL;
        let mut how = kinds[self.rng.random_range(0..kinds.len())];
        for at in strikes {
            if mixed {
                how = kinds[self.rng.random_range(0..kinds.len())];
            }
            let width = match self.rng.random_range(0..4) {
                0 => StormWidth::Domain,
                1 => StormWidth::Share,
                _ => StormWidth::One,
            };
            let seed = self.rng.random();
            world.after(at, Later::Storm(StormStep::Strike { how, width, seed }));
        }
        self.lay_beside(world, last);
    }

    fn strike_times(&mut self) -> Vec<u64> {
        if self.dense {
            let count = self.rng.random_range(DENSE_STRIKES);
            let times = (0..count).map(|_| self.rng.random_range(0..DENSE_MS));
            let mut times: Vec<u64> = times.collect();
            times.sort_unstable();
            return times;
        }
        let count = self.rng.random_range(STRIKES);
        let mut at = 0;
        let pauses = (0..count).map(|_| {
            at += self.rng.random_range(STRIKE_PAUSE_MS);
            at
        });
        pauses.collect()
    }

    /// Lays out what else goes wrong until the last strike.
    fn lay_beside(&mut self, world: &mut SiteWorld, last: u64) {
        if self.rng.random_range(0..LEADERS) == 0 {
            let at = self.rng.random_range(0..=last);
            let leader = self.leader_loss(world);
            world.after(at, Later::Loss(LossStep::Leader(leader)));
            if leader == LeaderLoss::DarkForGood {
                world.after(at + NEW_INSTANCE_MS, Later::Loss(LossStep::Joins));
            }
        }
        if self.rng.random_range(0..ALL_LOST) == 0 {
            let at = self.rng.random_range(0..=last);
            let step = LossStep::Leader(LeaderLoss::AllKilled);
            world.after(at, Later::Loss(step));
        }
        if self.rng.random_range(0..TABLES_AWAY) == 0 {
            let at = self.rng.random_range(0..=last);
            let for_ms = self.rng.random_range(AWAY_MS);
            let silent = self.rng.random();
            world.after(at, Later::Storm(StormStep::TableAway { for_ms, silent }));
        }
        if self.rng.random_range(0..FORGETS) == 0 {
            let at = self.rng.random_range(0..=last);
            world.after(at, Later::Loss(LossStep::Forgets));
        }
    }

    /// A kind of the leader's loss; none for good while few instances are left.
    fn leader_loss(&mut self, world: &SiteWorld) -> LeaderLoss {
        let leader = LeaderLoss::ALL[self.rng.random_range(0..LeaderLoss::ALL.len())];
        let left = world.nodes.iter().filter(|node| !node.gone).count();
        let for_good = matches!(leader, LeaderLoss::DarkForGood | LeaderLoss::Replaced);
        if for_good && left <= LEFT {
            LeaderLoss::Killed
        } else {
            leader
        }
    }

    /// Hands a job in; some work for long.
    fn submit(&mut self, world: &mut SiteWorld, spec: JobSpec) {
        if self.rng.random_range(0..LONG_JOBS) == 0 {
            let work_ms = self.rng.random_range(LONG_MS);
            world.work_ms.insert(spec.id, work_ms);
        }
        world.submit(spec);
    }
}

/// Runs one episode in which workers are lost in series of all kinds, while some tasks end their
/// workers, others do not, and some last; with a guard taken away if asked.
pub fn run_storm_episode(seed: u64, broken: Option<SiteGuard>) -> SiteReport {
    run_episode(seed, &SiteFault::ALL, broken, SiteBurden::Storms)
}

/// Runs the episode of a plan; the series draw their kinds of troubles themselves.
pub(super) fn run_planned_storms(episode: EpisodePlan) -> SiteReport {
    let EpisodePlan {
        seed,
        broken,
        keeps_lines,
        ..
    } = episode;
    let slow = seed % SLOW_POLICIES == 0;
    let plan = SitePlan {
        seed,
        entries: if slow {
            SLOW_ENTRIES
        } else {
            3 + (seed % 3) as usize
        },
        strengths: Vec::new(),
        workers: WORKERS,
        broken,
        without: None,
        good_percent: (seed % 2 == 0).then_some(85),
    };
    let mut world = SiteWorld::with_hold_limit(plan, drawn_hold_limit(seed));
    world.limit_end_reports(drawn_end_limit(seed));
    world.lines = keeps_lines.then(Vec::new);
    world.spread_over_domains(DOMAINS);
    world.looks_wait = true;
    world.callers_leave = true;
    let rng = Pcg64Mcg::seed_from_u64(seed ^ 0x0073_746f_726d_7300);
    let pace = if slow { SLOW_PACE } else { 1 };
    let dense = seed % DENSE_RUNS == 0;
    let mut storms = DrawnStorms { rng, dense, pace };
    let mut crashes = DrawnCrashes::new(seed);
    if slow {
        world.slow_advice = Some(SLOW_POLICY);
        world.configure(2);
    }
    world.run_until(1_000);
    submit_lasting(&mut world, &mut storms.rng);
    let mut job = seed.wrapping_mul(1_000_000);
    for series in 0..SERIES {
        let begin = FIRST_SERIES_MS + series * SERIES_PAUSE_MS;
        load(&mut world, &mut storms, &mut crashes, &mut job, begin);
        storms.lay(&mut world);
    }
    let troubled_ms = FIRST_SERIES_MS + SERIES * SERIES_PAUSE_MS;
    load(&mut world, &mut storms, &mut crashes, &mut job, troubled_ms);
    SiteFault::calm(&mut world);
    world.run_until(troubled_ms + SETTLE_MS);
    world.check_return(job + 1);
    cancel_lasting(&mut world);
    world.run_until(troubled_ms + CALM_MS);
    check_ends(&mut world);
    ask_at_end(&mut world);
    let storms = StormFigures::of(&world);
    SiteReport {
        storms,
        ..SiteReport::of(&mut world)
    }
}

/// Jobs come until a time.
fn load(
    world: &mut SiteWorld,
    storms: &mut DrawnStorms,
    crashes: &mut DrawnCrashes,
    job: &mut u64,
    until_ms: u64,
) {
    while world.now_ms < until_ms {
        let pause = world.rng.random_range(PACE_MS) * storms.pace;
        let until = (world.now_ms + pause).min(until_ms);
        world.run_until(until);
        *job += 1;
        let spec = drawn_job(world, *job);
        crashes.lay(world, &spec);
        storms.submit(world, spec);
        if world.rng.random_range(0..CANCELS) == 0 {
            world.cancel(*job);
        }
    }
}
