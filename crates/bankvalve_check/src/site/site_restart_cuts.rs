//! Restarted workers that are cut off soon after, while leaders are lost before, between or after.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::site_losses::{LeaderLoss, LossStep};
use super::site_restarts::{DrawnRestart, WorkerRestart};
use super::site_world::{Later, SiteWorld};

/// One series of restarts in so many is followed by a cut.
const CUT_SERIES: u32 = 2;
/// One of them in so many has no lost leader; one in so many restarts its workers twice.
const KEPT_LEADERS: u32 = 5;
const TWO_RESTARTS: u32 = 3;
/// Distance of the cut from the start of the last process, in milliseconds.
const CUT_AFTER_MS: std::ops::RangeInclusive<u64> = 0..=4_000;
/// Time for which workers are cut off, in milliseconds.
const CUT_MS: std::ops::Range<u64> = 6_000..14_000;
/// Time from the start of a process to its end, where it restarts again, in milliseconds.
const AGAIN_MS: std::ops::Range<u64> = 50..2_500;
/// Longest time from the restart or the cut to the loss of a leader, in milliseconds.
const LOSS_MS: u64 = 2_500;
/// One job in so many works for long, and for how long, in milliseconds.
const LONG_JOBS: u32 = 60;
const LONG_MS: std::ops::Range<u64> = 7_000..12_000;
/// Losses of leaders that are drawn.
const LEADER_LOSSES: [LeaderLoss; 5] = [
    LeaderLoss::Killed,
    LeaderLoss::DarkShort,
    LeaderLoss::Frozen,
    LeaderLoss::CutOff,
    LeaderLoss::CutFromAll,
];

/// When a leader is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LossMoment {
    /// Before the first worker's process ends.
    BeforeRestart,
    /// Between the first worker's start and its cut.
    Between,
    /// After its cut.
    AfterCut,
}

impl LossMoment {
    /// All moments.
    pub const ALL: [LossMoment; 3] = [
        LossMoment::BeforeRestart,
        LossMoment::Between,
        LossMoment::AfterCut,
    ];

    /// Name in tables.
    ///
    /// # Examples
    ///
    /// ```
    /// use bankvalve_check::site::LossMoment;
    ///
    /// assert_eq!(LossMoment::Between.as_str(), "between restart and cut");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            LossMoment::BeforeRestart => "before the restart",
            LossMoment::Between => "between restart and cut",
            LossMoment::AfterCut => "after the cut",
        }
    }
}

/// A cut of restarted workers, with the leader's loss beside it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RestartCut {
    /// How and when the leader is lost, if it is.
    pub loss: Option<(LeaderLoss, LossMoment)>,
    /// Whether the workers restart twice in a row.
    pub twice: bool,
}

/// Draws cuts after series of restarts, by a source of its own.
#[derive(Debug)]
pub(super) struct DrawnRestartCuts {
    rng: Pcg64Mcg,
}

impl DrawnRestartCuts {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x6375_7473_6166_7465),
        }
    }

    /// Draws the work of a job.
    pub(super) fn draw_work(&mut self, world: &mut SiteWorld, job: u64) {
        if self.rng.random_range(0..LONG_JOBS) == 0 {
            world.work_ms.insert(job, self.rng.random_range(LONG_MS));
        }
    }

    /// Lays out cuts of the workers of a series, if one is drawn.
    pub(super) fn lay_after(&mut self, world: &mut SiteWorld, series: &[DrawnRestart]) {
        if self.rng.random_range(0..CUT_SERIES) != 0 {
            return;
        }
        let twice = self.rng.random_range(0..TWO_RESTARTS) == 0;
        let for_ms = self.rng.random_range(CUT_MS);
        let mut first = None;
        for drawn in series {
            let mut started_ms = drawn.delay_ms + drawn.restart.down_ms;
            let address = drawn.address.clone();
            if twice {
                let ends_ms = started_ms + self.rng.random_range(AGAIN_MS);
                let restart = WorkerRestart::drawn(&mut self.rng);
                started_ms = ends_ms + restart.down_ms;
                let address = address.clone();
                world.after(ends_ms, Later::ProcessEnds { address, restart });
            }
            let cut_ms = started_ms + self.rng.random_range(CUT_AFTER_MS);
            world.after(cut_ms, Later::CutWorker { address, for_ms });
            first.get_or_insert((drawn.delay_ms, started_ms, cut_ms));
        }
        let loss = first.and_then(|times| self.lay_loss(world, times));
        let cut = RestartCut { loss, twice };
        *world.restarts.cuts.entry(cut).or_default() += 1;
    }

    /// Lays out the loss of a leader beside the first worker's end, start and cut.
    fn lay_loss(
        &mut self,
        world: &mut SiteWorld,
        (ends_ms, started_ms, cut_ms): (u64, u64, u64),
    ) -> Option<(LeaderLoss, LossMoment)> {
        if self.rng.random_range(0..KEPT_LEADERS) == 0 {
            return None;
        }
        let how = LEADER_LOSSES[self.rng.random_range(0..LEADER_LOSSES.len())];
        let moment = LossMoment::ALL[self.rng.random_range(0..LossMoment::ALL.len())];
        let at_ms = match moment {
            LossMoment::BeforeRestart => self.rng.random_range(0..=ends_ms),
            LossMoment::Between => self.rng.random_range(started_ms..=cut_ms),
            LossMoment::AfterCut => cut_ms + self.rng.random_range(0..LOSS_MS),
        };
        world.after(at_ms, Later::Loss(LossStep::Leader(how)));
        Some((how, moment))
    }
}

impl SiteWorld {
    /// Cuts a worker off from all instances and from the table for a time.
    pub fn cut_worker(&mut self, address: &str, for_ms: u64) {
        let until = self.now_ms + for_ms;
        self.worker_cut_until.insert(address.to_owned(), until);
        self.detach_worker(address, Some(for_ms));
    }
}
