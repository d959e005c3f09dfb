//! Drawn losses: a worker's joined with the leader's, beside the usual troubles, while jobs that last
//! run among the others.

use std::collections::BTreeMap;

use bankvalve_queue::JobId;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::site_losses::{LeaderLoss, LossStep, WorkerLoss};
use super::site_world::{Later, SiteWorld, QUEUE, URGENT_QUEUE};
use super::{job_of, SiteFault};

/// Jobs that last.
const LASTING_JOBS: u64 = 3;
/// First of their ids: no other drawn job has one as high.
const FIRST_LASTING: JobId = 1 << 60;
/// Most tasks of one of them.
const LASTING_WIDTH: u32 = 4;
/// Longest distance between the two losses of a pair, in milliseconds.
const FARTHEST_MS: u64 = 15_000;
/// Virtual time from one pair to the next, in milliseconds: the longest distance, the longest time
/// for which a task may be away, and some.
const PAIR_PAUSE_MS: u64 = FARTHEST_MS + 14_000;
/// Pairs of a run.
const PAIRS: u64 = 3;
/// Time from a pair's first loss for which the usual troubles strike as well, in some pairs, in
/// milliseconds; calm must follow, or nothing is judged.
const BESIDE_MS: u64 = 6_000;
/// One pair in so many has the usual troubles beside it.
const BESIDE: u32 = 3;
/// One pair in so many has the table forget its history at some moment of it.
const FORGETS: u32 = 6;
/// Of so many losses of the worker one that ends: it reaches the table again after a time.
const PASSING: u32 = 4;
/// Longest time for which it does not, in milliseconds.
const LONGEST_OFF_MS: u64 = 12_000;
/// Time after which a new worker comes for one that is lost, in milliseconds.
const NEW_WORKER_MS: std::ops::Range<u64> = 6_000..16_000;
/// Time after which a new instance comes for one that is lost for good, in milliseconds.
const NEW_INSTANCE_MS: u64 = 25_000;
/// Instances that are left at least.
const LEFT: usize = 3;

/// Hands in jobs that last.
pub(super) fn submit_lasting(world: &mut SiteWorld, rng: &mut Pcg64Mcg) {
    for number in 0..LASTING_JOBS {
        let count = rng.random_range(1..=LASTING_WIDTH);
        let queue = if number % 2 == 0 { QUEUE } else { URGENT_QUEUE };
        let mut spec = job_of(FIRST_LASTING + number, queue, &[count], false);
        spec.steps[0].lasting = true;
        spec.steps[0].per_worker_limit = rng.random_range(0..3);
        world.submit(spec);
    }
}

/// Cancels them.
pub(super) fn cancel_lasting(world: &mut SiteWorld) {
    for number in 0..LASTING_JOBS {
        world.cancel(FIRST_LASTING + number);
    }
}

/// Draws pairs of losses, by a source of its own, so that the rest of what is drawn stays as it is.
#[derive(Debug)]
pub(super) struct DrawnLosses {
    rng: Pcg64Mcg,
    next_ms: u64,
    pairs_left: u64,
    /// Until when the usual troubles strike.
    beside_until: u64,
    /// How often each kind of pair was laid out.
    pub(super) played: BTreeMap<(WorkerLoss, LeaderLoss), u64>,
}

impl DrawnLosses {
    pub(super) fn new(seed: u64, first_ms: u64) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x006c_6f73_7365_7300),
            next_ms: first_ms,
            pairs_left: PAIRS,
            beside_until: 0,
            played: BTreeMap::new(),
        }
    }

    /// Virtual time in which all pairs come, in milliseconds.
    pub(super) const fn troubled_ms(first_ms: u64) -> u64 {
        first_ms + PAIRS * PAIR_PAUSE_MS
    }

    /// Hands in jobs that last.
    pub(super) fn submit(&mut self, world: &mut SiteWorld) {
        submit_lasting(world, &mut self.rng);
    }

    /// Whether the usual troubles strike now.
    pub(super) fn lets_strike(&self, now_ms: u64) -> bool {
        now_ms < self.beside_until
    }

    /// Lays out the next pair, if its time has come.
    pub(super) fn act(&mut self, world: &mut SiteWorld) {
        let now = world.now_ms;
        if self.beside_until > 0 && now >= self.beside_until {
            self.beside_until = 0;
            SiteFault::calm(world);
        }
        if now < self.next_ms || self.pairs_left == 0 {
            return;
        }
        self.pairs_left -= 1;
        self.next_ms += PAIR_PAUSE_MS;
        if self.rng.random_range(0..BESIDE) == 0 {
            self.beside_until = now + BESIDE_MS;
        }
        let worker = WorkerLoss::ALL[self.rng.random_range(0..WorkerLoss::ALL.len())];
        let leader = self.leader_loss(world);
        *self.played.entry((worker, leader)).or_default() += 1;
        let distance = self.rng.random_range(0..=FARTHEST_MS);
        let worker_first = self.rng.random_range(0..3) > 0;
        let (worker_at, leader_at) = if worker_first {
            (0, distance)
        } else {
            (distance, 0)
        };
        let step = self.worker_step(worker);
        world.after(worker_at, Later::Loss(step));
        world.after(leader_at, Later::Loss(LossStep::Leader(leader)));
        if leader == LeaderLoss::DarkForGood {
            let later = leader_at + NEW_INSTANCE_MS;
            world.after(later, Later::Loss(LossStep::Joins));
        }
        let new_worker = worker_at + self.rng.random_range(NEW_WORKER_MS);
        world.after(new_worker, Later::Loss(LossStep::NewWorker));
        if self.rng.random_range(0..FORGETS) == 0 {
            let later = self.rng.random_range(0..=FARTHEST_MS);
            world.after(later, Later::Loss(LossStep::Forgets));
        }
    }

    fn worker_step(&mut self, how: WorkerLoss) -> LossStep {
        let pick = self.rng.random_range(0..1_000);
        let cut = matches!(how, WorkerLoss::OffTable);
        if cut && self.rng.random_range(0..PASSING) == 0 {
            let for_ms = self.rng.random_range(1_000..LONGEST_OFF_MS);
            return LossStep::OffTableFor { pick, for_ms };
        }
        LossStep::Worker { how, pick }
    }

    /// A kind of the leader's loss; none for good while few instances are left.
    fn leader_loss(&mut self, world: &SiteWorld) -> LeaderLoss {
        let leader = LeaderLoss::ALL[self.rng.random_range(0..LeaderLoss::ALL.len())];
        let left = world.nodes.iter().filter(|node| !node.gone).count();
        let for_good = matches!(leader, LeaderLoss::DarkForGood | LeaderLoss::Replaced);
        if for_good && left < LEFT {
            LeaderLoss::Killed
        } else {
            leader
        }
    }
}
