//! Workers that restart under their ids and are cut off soon after, while leaders are lost: a lease that the
//! next process took from a call meant for the process before.

use bankvalve_check::site::{job_of, LeaderLoss, SiteWorld, WorkerRestart, QUEUE};
use bankvalve_queue::JobId;

use crate::plan_of;

/// Workers of the site; the first half restarts.
const WORKERS: usize = 6;
/// Tasks, each on a quarter of a worker, and their work in milliseconds.
const TASKS: u32 = 16;
const WORK_MS: u64 = 60_000;
const JOB: JobId = 1;
/// Time at which the workers go down first, how much later with each seed, so that polls are in another phase,
/// and for how long they are down, in milliseconds.
const DOWN_AT_MS: u64 = 12_000;
const PHASE_MS: u64 = 230;
const DOWN_MS: u64 = 600;
/// How far the clock of the last process is behind the one of the process before, in milliseconds.
const CLOCK_STEP_MS: u64 = 50_000;
/// Longest distance of the cut from the start of the last process, and the step of the sweep, in milliseconds.
const LAST_CUT_MS: u64 = 4_000;
const CUT_STEP_MS: u64 = 100;
/// Time for which the workers are cut off, in milliseconds.
const CUT_MS: u64 = 16_000;
/// Longest leases on the users' sites, in milliseconds.
const LONG_LEASE_MS: u64 = 10_000;
const SHORT_LEASE_MS: u64 = 6_000;

/// When a leader is lost.
#[derive(Clone, Copy, Debug)]
enum LossTime {
    /// So long before the workers go down first, in milliseconds.
    BeforeRestart(u64),
    /// So long after the workers went down first, in milliseconds.
    AfterDown(u64),
    /// Halfway between the start of the last process and the cut.
    Between,
    /// So long before the cut, in milliseconds.
    BeforeCut(u64),
    /// So long after the cut, in milliseconds.
    AfterCut(u64),
}

/// What happens on the site.
#[derive(Clone, Debug)]
struct RestartThenCut {
    max_lease_ms: u64,
    /// Times from one start of a process to the next end of one, in milliseconds.
    again_ms: Vec<u64>,
    losses: Vec<LossTime>,
}

impl RestartThenCut {
    fn with(losses: &[LossTime]) -> Self {
        Self {
            max_lease_ms: LONG_LEASE_MS,
            again_ms: Vec::new(),
            losses: losses.to_vec(),
        }
    }

    /// Times at which the workers go down.
    fn down_times(&self, seed: u64) -> Vec<u64> {
        let mut times = vec![DOWN_AT_MS + seed * PHASE_MS];
        for again_ms in &self.again_ms {
            times.push(times[times.len() - 1] + DOWN_MS + again_ms);
        }
        times
    }

    /// Plays the site with a cut at a distance from the start of the last process.
    fn play(&self, seed: u64, cut_after_ms: u64) -> SiteWorld {
        let down_times = self.down_times(seed);
        let started_at = down_times[down_times.len() - 1] + DOWN_MS;
        let cut_at = started_at + cut_after_ms;
        let loss_at = |loss: &LossTime| match *loss {
            LossTime::BeforeRestart(ms) => down_times[0] - ms,
            LossTime::AfterDown(ms) => down_times[0] + ms,
            LossTime::Between => started_at + cut_after_ms / 2,
            LossTime::BeforeCut(ms) => cut_at - ms,
            LossTime::AfterCut(ms) => cut_at + ms,
        };
        let losses = self.losses.iter().map(loss_at);
        let mut times: Vec<u64> = losses.chain(down_times.iter().copied()).collect();
        times.push(cut_at);
        times.sort_unstable();
        times.dedup();

        let mut world = SiteWorld::with_hold_limit(plan_of(seed, WORKERS), self.max_lease_ms);
        world.looks_wait = true;
        world.run_until(1_000);
        let addresses: Vec<String> = world.workers.keys().take(WORKERS / 2).cloned().collect();
        world.work_ms.insert(JOB, WORK_MS);
        world.submit(job_of(JOB, QUEUE, &[TASKS], false));
        for at in times {
            world.run_until(at);
            for address in &addresses {
                // Each process's clock is far behind the one of the process before.
                if let Some(number) = down_times.iter().position(|down_at| *down_at == at) {
                    let clock_ms = (down_times.len() - 1 - number) as u64 * CLOCK_STEP_MS;
                    restart_silently(&mut world, address, clock_ms);
                }
                if at == cut_at {
                    let until = at + CUT_MS;
                    world.worker_cut_until.insert(address.clone(), until);
                    world.detach_worker(address, Some(CUT_MS));
                }
            }
            if self.losses.iter().any(|loss| loss_at(loss) == at) {
                world.lose_leader(LeaderLoss::Killed);
            }
        }
        world.run_until(cut_at + CUT_MS + 10_000);
        world
    }

    /// Distances of the cut, with the seed, at which a rule is broken.
    fn broken_distances(&self) -> Vec<(u64, u64, &'static str)> {
        let mut broken = Vec::new();
        let mut played = 0;
        for seed in 1..5 {
            for cut_after_ms in (0..=LAST_CUT_MS).step_by(CUT_STEP_MS as usize) {
                played += 1;
                let world = self.play(seed, cut_after_ms);
                let breach = world.rules.breaches.first();
                broken.extend(breach.map(|breach| (seed, cut_after_ms, breach.rule)));
            }
        }
        println!("{self:?}: {} of {played} distances", broken.len());
        broken
    }
}

/// A worker's machine loses power and is back with a new process under the same id.
fn restart_silently(world: &mut SiteWorld, address: &str, clock_ms: u64) {
    let restart = WorkerRestart {
        down_ms: DOWN_MS,
        silent: true,
        entry_after_ms: 50,
        clock_ms,
        ..WorkerRestart::default()
    };
    world.restart_worker(address, restart);
    let started_at = world.now_ms + DOWN_MS;
    world
        .worker_cut_until
        .insert(address.to_owned(), started_at);
}

/// Asserts that no rule is broken at any distance, with the longest lease given.
fn assert_kept_at_all_distances(sites: &[RestartThenCut], max_lease_ms: u64) {
    let sites = sites.iter().cloned().map(|site| RestartThenCut {
        max_lease_ms,
        ..site
    });
    let broken: Vec<_> = sites.flat_map(|site| site.broken_distances()).collect();
    assert_eq!(broken, []);
}

fn leader_lost_before_the_restart() -> Vec<RestartThenCut> {
    let losses = [300, 1_500].map(LossTime::BeforeRestart);
    losses.map(|loss| RestartThenCut::with(&[loss])).to_vec()
}

fn leader_lost_between() -> Vec<RestartThenCut> {
    let losses = [
        LossTime::AfterDown(300),
        LossTime::Between,
        LossTime::BeforeCut(600),
    ];
    losses.map(|loss| RestartThenCut::with(&[loss])).to_vec()
}

fn leader_lost_after_the_cut() -> Vec<RestartThenCut> {
    let losses = [300, 1_500].map(LossTime::AfterCut);
    losses.map(|loss| RestartThenCut::with(&[loss])).to_vec()
}

fn two_restarts() -> Vec<RestartThenCut> {
    let mut sites = Vec::new();
    for again_ms in [500, 1_100, 1_700] {
        for loss in [LossTime::Between, LossTime::AfterCut(300)] {
            sites.push(RestartThenCut {
                again_ms: vec![again_ms],
                ..RestartThenCut::with(&[loss])
            });
        }
    }
    sites
}

fn two_leaders_lost() -> Vec<RestartThenCut> {
    let pairs = [
        [LossTime::AfterDown(300), LossTime::BeforeCut(100)],
        [LossTime::Between, LossTime::AfterCut(1_500)],
        [LossTime::AfterCut(300), LossTime::AfterCut(2_300)],
    ];
    pairs.map(|pair| RestartThenCut::with(&pair)).to_vec()
}

/// Guards against a second run beside one that a process holds under a lease by the clock of the process before,
/// where the leader is lost before the restart.
#[test]
fn no_process_holds_a_lease_by_the_clock_of_the_one_before_after_a_leader_lost_before_the_restart()
{
    assert_kept_at_all_distances(&leader_lost_before_the_restart(), LONG_LEASE_MS);
}

/// Guards against such a second run where the leader is lost between the restart and the cut.
#[test]
fn no_process_holds_a_lease_by_the_clock_of_the_one_before_after_a_leader_lost_before_the_cut() {
    assert_kept_at_all_distances(&leader_lost_between(), LONG_LEASE_MS);
}

/// Guards against such a second run where the leader is lost after the cut.
#[test]
fn no_process_holds_a_lease_by_the_clock_of_the_one_before_after_a_leader_lost_after_the_cut() {
    assert_kept_at_all_distances(&leader_lost_after_the_cut(), LONG_LEASE_MS);
}

/// Guards against such a second run where the workers restart twice in a row.
#[test]
fn no_process_holds_a_lease_by_the_clock_of_the_one_before_after_two_restarts() {
    assert_kept_at_all_distances(&two_restarts(), LONG_LEASE_MS);
}

/// Guards against such a second run where two leaders are lost in a row.
#[test]
fn no_process_holds_a_lease_by_the_clock_of_the_one_before_after_two_lost_leaders() {
    assert_kept_at_all_distances(&two_leaders_lost(), LONG_LEASE_MS);
}

/// Guards against such a second run where the longest lease is hardly longer than the usual one.
#[test]
fn no_process_holds_a_lease_by_the_clock_of_the_one_before_with_a_shorter_limit() {
    let sites = [
        leader_lost_before_the_restart(),
        leader_lost_between(),
        leader_lost_after_the_cut(),
        two_restarts(),
        two_leaders_lost(),
    ];
    assert_kept_at_all_distances(&sites.concat(), SHORT_LEASE_MS);
}
