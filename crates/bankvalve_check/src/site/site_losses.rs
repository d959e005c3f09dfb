//! A worker's loss joined with the loss of the leader, at any distance from each other.

use std::fmt;

use bankvalve_queue::{JobId, JobSpec, JobState, SiteGuard, TaskKey};
use rand::Rng;

use super::site_crashes::LONG_ENTRY_MS;
use super::site_world::{Later, SiteWorld, QUEUE, WALL_START};
use super::{job_of, RuleBreach, SitePlan};

/// Time for which a process that was killed is down, in milliseconds: as on the users' sites.
const KILLED_MS: u64 = 1_000;
/// Time for which a machine without power is down that comes back soon, in milliseconds.
const DARK_SHORT_MS: u64 = 4_000;
/// The same of one that comes back only when all should be well without it, in milliseconds.
const DARK_LONG_MS: u64 = 30_000;
/// Time for which a machine stands still, in milliseconds.
const FROZEN_MS: u64 = 3_000;
/// Time until a new instance comes for one that was taken away, in milliseconds.
const REPLACED_MS: u64 = 1_000;
/// Time for which an instance is cut off, in milliseconds.
const CUT_MS: u64 = 5_000;
/// Time from the word to stop until the process is gone, in milliseconds.
const STOP_MS: u64 = 1_000;

/// Longest hold on the users' sites, in milliseconds.
const HOLD_LIMIT_MS: u64 = 10_000;
/// Virtual time of the first strike, in milliseconds: the job's tasks have run for long enough that
/// no end is held against them.
const FIRST_STRIKE_MS: u64 = 12_000;
/// Time from one small job to the next, in milliseconds; they are the load beside.
const PACE_MS: u64 = 500;
/// Time after the last strike for which each world goes on at least, in milliseconds.
const SETTLE_MS: u64 = 12_000;
/// The same at most, if tasks are still away, in milliseconds.
const PATIENCE_MS: u64 = 45_000;
/// Time in which a job with an end must be over after the last strike, in milliseconds: it works
/// for 45 s in all, may begin anew once, and is asked about.
const END_MS: u64 = 120_000;
/// The job that is struck.
const STRUCK: JobId = 1_000_000;

/// How the leader is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeaderLoss {
    /// Its process is killed, and starts again soon.
    Killed,
    /// Its machine has no power for 4 s.
    DarkShort,
    /// Its machine has no power for 30 s.
    DarkLong,
    /// Its machine has no power, for good.
    DarkForGood,
    /// It stands still for 3 s.
    Frozen,
    /// It is taken away for good, and a new instance comes at another address.
    Replaced,
    /// It reaches neither peers nor the table for 5 s.
    CutOff,
    /// The same, and workers neither.
    CutFromAll,
    /// It is stopped as planned, and starts again.
    Stopped,
    /// All instances are killed at once, and start again soon.
    AllKilled,
}

impl LeaderLoss {
    /// All kinds.
    pub const ALL: [LeaderLoss; 10] = [
        LeaderLoss::Killed,
        LeaderLoss::DarkShort,
        LeaderLoss::DarkLong,
        LeaderLoss::DarkForGood,
        LeaderLoss::Frozen,
        LeaderLoss::Replaced,
        LeaderLoss::CutOff,
        LeaderLoss::CutFromAll,
        LeaderLoss::Stopped,
        LeaderLoss::AllKilled,
    ];

    /// Name in tables and messages.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(bankvalve_check::site::LeaderLoss::Frozen.as_str(), "frozen 3 s");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            LeaderLoss::Killed => "killed",
            LeaderLoss::DarkShort => "dark for 4 s",
            LeaderLoss::DarkLong => "dark for 30 s",
            LeaderLoss::DarkForGood => "dark for good",
            LeaderLoss::Frozen => "frozen 3 s",
            LeaderLoss::Replaced => "replaced",
            LeaderLoss::CutOff => "cut from peers and table",
            LeaderLoss::CutFromAll => "cut from all",
            LeaderLoss::Stopped => "stopped as planned",
            LeaderLoss::AllKilled => "killed with all",
        }
    }
}

/// How a worker is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WorkerLoss {
    /// It ends for good, and its port refuses.
    Refusing,
    /// It ends for good, and its port is silent.
    Silent,
    /// It does not reach the table any more, for good; it runs on and answers.
    OffTable,
    /// The same, and only the instance that leads at that moment reaches it.
    OffAllButLeader,
}

impl WorkerLoss {
    /// All kinds.
    pub const ALL: [WorkerLoss; 4] = [
        WorkerLoss::Refusing,
        WorkerLoss::Silent,
        WorkerLoss::OffTable,
        WorkerLoss::OffAllButLeader,
    ];

    /// Name in tables and messages.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(bankvalve_check::site::WorkerLoss::Silent.as_str(), "ended, port silent");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            WorkerLoss::Refusing => "ended, port refuses",
            WorkerLoss::Silent => "ended, port silent",
            WorkerLoss::OffTable => "cut from the table",
            WorkerLoss::OffAllButLeader => "cut from all but the leader",
        }
    }
}

/// The job whose worker is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossJob {
    /// Four tasks that last, each on a worker of its own.
    Lasting,
    /// Two tasks that work for 40 s.
    Batch,
    /// A gang of three members, which works for 30 s.
    Gang,
    /// Two tasks that work for 15 s, three times.
    Repeated,
}

impl LossJob {
    /// The job, and the time for which its tasks work if that has an end, in milliseconds.
    fn spec(self, now_ms: u64) -> (JobSpec, Option<u64>) {
        let (count, work_ms) = match self {
            LossJob::Lasting => (4, None),
            LossJob::Batch => (2, Some(40_000)),
            LossJob::Gang => (3, Some(30_000)),
            LossJob::Repeated => (2, Some(15_000)),
        };
        let mut spec = job_of(STRUCK, QUEUE, &[count], self == LossJob::Gang);
        spec.steps[0].per_worker_limit = 1;
        spec.steps[0].lasting = self == LossJob::Lasting;
        spec.steps[0].estimate_ms = work_ms.unwrap_or(spec.steps[0].estimate_ms);
        if self == LossJob::Repeated {
            spec.repeats = 3;
            spec.first_due_ms = WALL_START + now_ms;
            spec.period_ms = 20_000;
        }
        (spec, work_ms)
    }
}

/// A part of a loss that is carried out at its time.
#[derive(Clone, Copy, Debug)]
pub(super) enum LossStep {
    /// A worker is lost that runs something that lasts; which of them goes by a number.
    Worker { how: WorkerLoss, pick: usize },
    /// Such a worker does not reach the table for a time.
    OffTableFor { pick: usize, for_ms: u64 },
    /// A new worker comes.
    NewWorker,
    /// The leader is lost.
    Leader(LeaderLoss),
    /// An instance that was told to stop is gone, and starts again.
    Ends { node: usize, life: u64 },
    /// A new instance comes for one that was taken away.
    Joins,
    /// The table forgets its history.
    Forgets,
}

/// What is struck, and when.
#[derive(Clone, Copy, Debug)]
pub struct LossPlan {
    /// Seed of all that is drawn.
    pub seed: u64,
    /// The job whose worker is lost.
    pub job: LossJob,
    /// How the worker is lost.
    pub worker: WorkerLoss,
    /// How the leader is lost; none if it is not.
    pub leader: Option<LeaderLoss>,
    /// Time from the worker's loss to the leader's, in milliseconds; below zero if the leader's
    /// comes first.
    pub distance_ms: i64,
    /// Time from there until the next leader is lost in the same manner, in milliseconds.
    pub again_ms: Option<u64>,
    /// Time from the worker's loss until the table forgets its history, in milliseconds.
    pub forgets_ms: Option<u64>,
    /// Guard that all instances lack.
    pub broken: Option<SiteGuard>,
}

impl LossPlan {
    /// A worker that ends for good under a job that lasts, and the leader's loss.
    pub fn pair(seed: u64, leader: Option<LeaderLoss>, distance_ms: i64) -> Self {
        Self {
            seed,
            job: LossJob::Lasting,
            worker: WorkerLoss::Refusing,
            leader,
            distance_ms,
            again_ms: None,
            forgets_ms: None,
            broken: None,
        }
    }
}

impl fmt::Display for LossPlan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let leader = self.leader.map_or("not lost", LeaderLoss::as_str);
        let distance = self.distance_ms as f64 / 1_000.0;
        write!(f, "{:?}, worker {}", self.job, self.worker.as_str())?;
        write!(f, ", leader {leader} {distance:+.1} s from it")?;
        if let Some(again_ms) = self.again_ms {
            write!(f, ", the next one {again_ms} ms later")?;
        }
        if let Some(forgets_ms) = self.forgets_ms {
            write!(f, ", history forgotten {forgets_ms} ms after it")?;
        }
        write!(f, ", seed {}", self.seed)
    }
}

/// What came of it.
#[derive(Clone, Debug)]
pub struct LossReport {
    /// Rules that were broken.
    pub breaches: Vec<RuleBreach>,
    /// Longest time for which a task of the job was away, in milliseconds.
    pub away_ms: u64,
}

/// Plays losses in a world of their own.
pub fn play_losses(plan: &LossPlan) -> LossReport {
    let mut world = struck_world(plan);
    let end = lay_out(&mut world, plan);
    let mut load = 0;
    while world.now_ms < end + PATIENCE_MS {
        load += 1;
        if world.now_ms < end + SETTLE_MS {
            world.submit(job_of(load, QUEUE, &[2], false));
        } else if world.lasting.all_run() {
            break;
        }
        let until = world.now_ms + PACE_MS;
        world.run_until(until);
    }
    let struck = |task: &TaskKey| task.step.job == STRUCK;
    let now = world.now_ms;
    let spans = world.lasting.all_spans();
    let spans = spans.iter().filter(|span| struck(&span.task));
    let away_ms = spans.map(|span| span.until_ms.unwrap_or(now) - span.from_ms);
    let away_ms = away_ms.max().unwrap_or(0);
    if plan.job != LossJob::Lasting {
        check_success(&mut world, end + END_MS);
    }
    let breaches = std::mem::take(&mut world.rules.breaches);
    LossReport { breaches, away_ms }
}

/// A site of three entry instances and eight workers, on which the job runs.
fn struck_world(plan: &LossPlan) -> SiteWorld {
    let site = SitePlan {
        seed: plan.seed,
        // Where leaders are lost in a row one more must be left.
        entries: if plan.again_ms.is_some() { 4 } else { 3 },
        strengths: Vec::new(),
        broken: plan.broken,
        without: None,
        workers: 8,
        good_percent: None,
    };
    let mut world = SiteWorld::with_hold_limit(site, HOLD_LIMIT_MS);
    world.looks_wait = true;
    world.run_until(1_000);
    let (spec, work_ms) = plan.job.spec(world.now_ms);
    world
        .work_ms
        .extend(work_ms.map(|work_ms| (STRUCK, work_ms)));
    world.lasting.watched.insert(STRUCK);
    world.submit(spec);
    world
}

/// Lays out the strikes; tells when the last one comes.
fn lay_out(world: &mut SiteWorld, plan: &LossPlan) -> u64 {
    let pick = plan.seed as usize;
    let how = plan.worker;
    let early = plan.distance_ms.min(0).unsigned_abs();
    let worker_at = FIRST_STRIKE_MS + early;
    let leader_at = worker_at.saturating_add_signed(plan.distance_ms);
    let mut steps = vec![(worker_at, LossStep::Worker { how, pick })];
    if let Some(leader) = plan.leader {
        steps.push((leader_at, LossStep::Leader(leader)));
        let again_at = plan.again_ms.map(|again_ms| leader_at + again_ms);
        steps.extend(again_at.map(|at| (at, LossStep::Leader(leader))));
    }
    let forgets_at = plan.forgets_ms.map(|forgets_ms| worker_at + forgets_ms);
    steps.extend(forgets_at.map(|at| (at, LossStep::Forgets)));
    let now = world.now_ms;
    let end = steps.iter().map(|(at, _)| *at).max();
    for (at, step) in steps {
        world.after(at - now, Later::Loss(step));
    }
    end.unwrap_or(now)
}

/// A job with an end must have come to a good one.
fn check_success(world: &mut SiteWorld, until_ms: u64) {
    while world.now_ms < until_ms && !world.shown.contains_key(&STRUCK) {
        let until = world.now_ms + PACE_MS;
        world.run_until(until);
    }
    let shown = world.shown.get(&STRUCK).copied();
    if shown != Some(JobState::Succeeded) {
        let now = world.now_ms;
        let text = format!("{STRUCK:016x}: {shown:?}, {}", world.describe(STRUCK));
        world.rules.breach("LOST", now, &text);
    }
}

impl SiteWorld {
    pub(super) fn take_loss(&mut self, step: LossStep) {
        match step {
            LossStep::Worker { how, pick } => {
                if let Some(address) = self.worker_to_lose(pick) {
                    self.lose_worker_so(&address, how);
                }
            }
            LossStep::OffTableFor { pick, for_ms } => {
                if let Some(address) = self.worker_to_lose(pick) {
                    self.detach_worker(&address, Some(for_ms));
                }
            }
            LossStep::NewWorker => {
                let address = format!("10.9.1.{}:80", self.workers.len());
                self.add_worker(address);
            }
            LossStep::Leader(how) => self.lose_leader(how),
            LossStep::Ends { node, life } => {
                if self.is_life(node, life) {
                    self.kill(node, KILLED_MS);
                }
            }
            LossStep::Joins => self.add_instance(),
            LossStep::Forgets => self.store.forget_history(),
        }
    }

    /// The leader that does not stand still; else any instance that is up.
    pub(super) fn acting_leader(&self) -> Option<usize> {
        let now = self.now_ms;
        let numbers = || 0..self.nodes.len();
        let awake = |node: &usize| self.nodes[*node].frozen_until <= now;
        let leads = |node: &usize| self.nodes[*node].leads();
        let found = numbers().find(|node| leads(node) && awake(node));
        found.or_else(|| numbers().find(|node| self.nodes[*node].is_up()))
    }

    /// Loses the leader.
    pub fn lose_leader(&mut self, how: LeaderLoss) {
        let Some(node) = self.acting_leader() else {
            return;
        };
        let until = self.now_ms + CUT_MS;
        match how {
            LeaderLoss::Killed => self.kill(node, KILLED_MS),
            LeaderLoss::DarkShort => self.darken(node, Some(DARK_SHORT_MS)),
            LeaderLoss::DarkLong => self.darken(node, Some(DARK_LONG_MS)),
            LeaderLoss::DarkForGood => self.darken(node, None),
            LeaderLoss::Frozen => self.freeze(node, FROZEN_MS),
            LeaderLoss::Replaced => {
                self.darken(node, None);
                self.after(REPLACED_MS, Later::Loss(LossStep::Joins));
            }
            LeaderLoss::CutOff | LeaderLoss::CutFromAll => {
                self.nodes[node].cut_from_store_until = until;
                self.nodes[node].cut_from_peers_until = until;
                if how == LeaderLoss::CutFromAll {
                    self.nodes[node].cut_from_workers_until = until;
                }
            }
            LeaderLoss::Stopped => {
                self.stop(node);
                let life = self.nodes[node].life;
                self.after(STOP_MS, Later::Loss(LossStep::Ends { node, life }));
            }
            LeaderLoss::AllKilled => {
                for node in 0..self.nodes.len() {
                    self.kill(node, KILLED_MS);
                }
            }
        }
    }

    /// Loses a worker.
    pub fn lose_worker_so(&mut self, address: &str, how: WorkerLoss) {
        match how {
            WorkerLoss::Refusing => self.lose_worker(address, false),
            WorkerLoss::Silent => self.lose_worker(address, true),
            WorkerLoss::OffTable => self.detach_worker(address, None),
            WorkerLoss::OffAllButLeader => {
                self.detach_worker(address, None);
                if let Some(node) = self.acting_leader() {
                    self.worker_reached_by.insert(address.to_owned(), node);
                }
            }
        }
    }

    /// A worker that runs something that lasts or is watched; else any.
    fn worker_to_lose(&self, pick: usize) -> Option<String> {
        let live = || {
            let workers = self.workers.iter();
            workers.filter_map(|(address, worker)| Some((address, worker.as_ref()?)))
        };
        let runs = |worker: &bankvalve_standin::site::SiteWorker| {
            worker.runs().keys().any(|task| self.is_watched(*task))
        };
        let busy: Vec<&String> = live()
            .filter(|(_, worker)| runs(worker))
            .map(|(address, _)| address)
            .collect();
        let any: Vec<&String> = live().map(|(address, _)| address).collect();
        let from = if busy.is_empty() { any } else { busy };
        let number = pick.checked_rem(from.len())?;
        Some(from[number].clone())
    }

    /// A worker does not reach the table, for a time or for good: its entry runs out, and it runs on.
    /// Nothing changes for one that does not reach it already.
    pub fn detach_worker(&mut self, address: &str, for_ms: Option<u64>) {
        let now = self.now_ms;
        let Some(Some(worker)) = self.workers.get(address) else {
            return;
        };
        let off = self.worker_off_table_until.get(address);
        if off.is_some_and(|until| *until > now) {
            // It is off already; one that is so for good does not come back.
            return;
        }
        let worker = worker.id.clone();
        self.lasting.trouble(now);
        let until = for_ms.map_or(u64::MAX, |for_ms| now + for_ms);
        self.worker_off_table_until
            .insert(address.to_owned(), until);
        let entry_ms = self.rng.random_range(LONG_ENTRY_MS);
        if now + entry_ms < until {
            let worker = worker.clone();
            self.after(entry_ms, Later::EntryGone { worker });
        }
        if let Some(for_ms) = for_ms {
            let address = address.to_owned();
            self.after(for_ms, Later::EntryBack { address, worker });
        }
    }

    /// A worker reaches the table again, if that life is still there.
    pub(super) fn entry_back(&mut self, address: &str, id: &bankvalve_queue::WorkerId) {
        let worker = self.workers.get(address).and_then(Option::as_ref);
        if worker.is_some_and(|worker| worker.id == *id) {
            self.write_entry(address);
        }
    }
}
