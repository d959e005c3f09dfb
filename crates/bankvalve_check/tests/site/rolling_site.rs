//! A site with long-running tasks among short work whose workers leave while instances are rolled.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};

use bankvalve_check::site::{job_of, RuleBreach, SitePlan, SiteWorld, QUEUE, URGENT_QUEUE};
use bankvalve_queue::{AdviceRule, JobId, StepKey};

/// Advice about long-running work.
pub(crate) const SLOW_POLICY: AdviceRule = AdviceRule {
    decide_ms: 560.0,
    each_ms: 8.0,
    valid_ms: 2_000,
};
/// Advice about short work.
const QUICK_POLICY: AdviceRule = AdviceRule {
    decide_ms: 13.0,
    each_ms: 0.2,
    ..SLOW_POLICY
};
/// Share of workers that may run a step, in percent.
const GOOD_PERCENT: u64 = 30;
const ENTRIES: usize = 9;
const WORKERS: usize = 35;
/// Tasks of each long-running job; at most one on a worker in every other job.
const LASTING_TASKS: [u32; 10] = [2, 3, 4, 6, 2, 3, 5, 2, 4, 3];
const LASTING_MILLICORES: u64 = 1_200;
/// First id of short jobs, tasks of each, their run time, and the time from one job to the next, in milliseconds.
const SHORT: JobId = 1_000;
const SHORT_TASKS: u32 = 4;
const SHORT_MS: u64 = 1_500;
const PACE_MS: u64 = 90;
/// Advisers that jobs with slow advice keep busy besides, on average.
const BUSY_ADVISERS: u64 = 2;
/// When all long-running tasks run, in milliseconds.
const SETTLED_MS: u64 = 12_000;
/// Workers that leave in a row, and the time from one to the next, in milliseconds.
const LEAVING_WORKERS: usize = 3;
const GAP_MS: u64 = 700;
/// Time for which a worker runs on after its announcement, or without its entry, in milliseconds.
const DRAIN_MS: u64 = 7_000;
const UNLISTED_MS: u64 = 2_000;
/// Time from the request to stop an instance until it starts again, in milliseconds.
pub(crate) const BACK_MS: u64 = 3_000;
/// Time from the first departure's end until the play ends at the latest, in milliseconds.
const PATIENCE_MS: u64 = 30_000;
const STEP_MS: u64 = 10;

/// How a worker leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Departure {
    /// It announces that it leaves, and ends later.
    Announced,
    /// Its entry goes, it runs on for a while and ends.
    Unannounced,
    /// It ends at once; its port refuses.
    Crash,
}

/// What becomes of the first instance through which advice for a long-running step is requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum AdviserFate {
    Sound,
    /// It is stopped as planned.
    Leaving,
    /// It is killed and starts again at once.
    Started,
    /// It is killed and away for some time.
    Gone,
}

/// What is played.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Play {
    pub(crate) seed: u64,
    pub(crate) departure: Departure,
    /// Changes of leader, and whether they are planned; else the leader is killed.
    pub(crate) changes: u64,
    pub(crate) planned: bool,
    /// Time from one change to the next, in milliseconds.
    pub(crate) distance_ms: u64,
    /// When the first one begins, from the end of the first worker, in milliseconds.
    pub(crate) offset_ms: i64,
    /// Time from one instance to the next if all are stopped in turn as planned, in milliseconds. The first one is
    /// stopped when the first change would begin.
    pub(crate) roll_gap_ms: Option<u64>,
    pub(crate) fate: AdviserFate,
    pub(crate) policy: AdviceRule,
    pub(crate) lease_limit_ms: u64,
    /// Time until the next worker is there at the address of one that has ended, in milliseconds.
    pub(crate) replaced_ms: u64,
}

/// For how long long-running tasks were down, in milliseconds, and the broken rules.
#[derive(Clone, Debug, Default)]
pub(crate) struct Downtimes {
    pub(crate) times_ms: Vec<u64>,
    pub(crate) breaches: Vec<RuleBreach>,
}

impl Downtimes {
    pub(crate) fn add(&mut self, other: Downtimes) {
        self.times_ms.extend(other.times_ms);
        self.breaches.extend(other.breaches);
    }

    pub(crate) fn mean(&self) -> u64 {
        self.times_ms.iter().sum::<u64>() / self.times_ms.len().max(1) as u64
    }

    pub(crate) fn longest(&self) -> u64 {
        self.times_ms.iter().copied().max().unwrap_or(0)
    }

    pub(crate) fn figures(&self) -> String {
        let (tasks, mean, longest) = (self.times_ms.len(), self.mean(), self.longest());
        format!("{tasks} tasks down, {mean} ms in the mean, {longest} ms at most")
    }
}

/// A site whose instances are rolled.
struct RollingSite {
    world: SiteWorld,
    next_job: JobId,
    next_job_at: u64,
    next_slow_job_at: u64,
    /// Time from one job with slow advice to the next, in milliseconds.
    slow_pace_ms: u64,
    /// When leaders end, and whether they are stopped as planned.
    changes: VecDeque<u64>,
    planned: bool,
    /// Instances that are stopped as planned, and when.
    rolls: VecDeque<(u64, usize)>,
    /// Until when instances are stopped or down.
    rolling: BTreeMap<usize, u64>,
    /// What becomes of the next adviser.
    fate: Option<AdviserFate>,
    read_lines: usize,
}

impl RollingSite {
    /// Returns a site on which all long-running tasks run among short ones.
    fn new(play: &Play) -> Self {
        let plan = SitePlan {
            seed: play.seed,
            entries: ENTRIES,
            strengths: Vec::new(),
            broken: None,
            without: None,
            workers: WORKERS,
            good_percent: Some(GOOD_PERCENT),
        };
        let mut world = SiteWorld::with_hold_limit(plan, play.lease_limit_ms);
        world.looks_wait = true;
        world.slow_advice = Some(play.policy);
        world.urgent_advice = Some(QUICK_POLICY);
        world.lines = Some(Vec::new());
        let policy = world.policy.as_mut().expect("a policy");
        policy.valid_ms = SLOW_POLICY.valid_ms;
        world.configure(2);
        world.run_until(2_000);
        for (job, tasks) in (1..).zip(LASTING_TASKS) {
            let mut spec = job_of(job, QUEUE, &[tasks], false);
            spec.steps[0].lasting = true;
            spec.steps[0].per_worker_limit = (job % 2) as u32;
            spec.steps[0].size.millicores = LASTING_MILLICORES;
            world.submit(spec);
        }
        let mut site = Self {
            next_job: SHORT,
            next_job_at: SETTLED_MS - SHORT_MS,
            next_slow_job_at: SETTLED_MS - SHORT_MS,
            slow_pace_ms: play.policy.time_for(WORKERS).as_millis() as u64 / BUSY_ADVISERS,
            world,
            changes: VecDeque::new(),
            planned: play.planned,
            rolls: VecDeque::new(),
            rolling: BTreeMap::new(),
            fate: None,
            read_lines: 0,
        };
        site.run_until(SETTLED_MS);
        let tasks = LASTING_TASKS.iter().sum::<u32>() as usize;
        assert_eq!(site.lasting_runs().count(), tasks, "{play:?}");
        site
    }

    fn run_until(&mut self, until_ms: u64) {
        while self.world.now_ms < until_ms {
            let now = self.world.now_ms;
            self.submit_short();
            self.change_leader();
            self.roll_instances();
            self.end_adviser();
            self.world.run_until((now + STEP_MS).min(until_ms));
        }
    }

    fn submit_short(&mut self) {
        let now = self.world.now_ms;
        if now >= self.next_job_at {
            self.next_job_at += PACE_MS;
            self.submit(URGENT_QUEUE, SHORT_TASKS);
        }
        if now >= self.next_slow_job_at {
            self.next_slow_job_at += self.slow_pace_ms;
            self.submit(QUEUE, 1);
        }
    }

    fn submit(&mut self, queue: &str, tasks: u32) {
        let job = self.next_job;
        self.next_job += 1;
        self.world.work_ms.insert(job, SHORT_MS);
        self.world.submit(job_of(job, queue, &[tasks], false));
    }

    /// Ends the leader if that is due; waits for one that does not end already.
    fn change_leader(&mut self) {
        let now = self.world.now_ms;
        self.rolling.retain(|_, until| *until > now);
        if self.changes.front().is_none_or(|at| *at > now) {
            return;
        }
        let leads = |node: &usize| self.world.nodes[*node].leads();
        let leader = (0..ENTRIES).find(|node| leads(node) && !self.rolling.contains_key(node));
        if let Some(leader) = leader {
            self.end_instance(leader, self.planned);
            self.changes.pop_front();
        }
    }

    /// Stops the instances that are due.
    fn roll_instances(&mut self) {
        let now = self.world.now_ms;
        while self.rolls.front().is_some_and(|(at, _)| *at <= now) {
            let (_, node) = self.rolls.pop_front().expect("an instance is due");
            self.end_instance(node, true);
        }
    }

    /// Stops an instance as planned, or kills it. It is back after a time.
    fn end_instance(&mut self, node: usize, planned: bool) {
        if planned {
            self.world.roll(node, BACK_MS);
        } else {
            self.world.kill(node, BACK_MS);
        }
        self.rolling.insert(node, self.world.now_ms + BACK_MS);
    }

    /// Has an instance meet its fate once a long request for a long-running step goes through it.
    fn end_adviser(&mut self) {
        let lines = self.world.lines.as_deref().unwrap_or_default();
        let asked: Vec<String> = lines[self.read_lines..]
            .iter()
            .map(|(_, _, line)| line)
            .filter(|line| line.event == "ask" && is_lasting(&line.id))
            .map(|line| line.detail.clone())
            .collect();
        self.read_lines = lines.len();
        let Some(fate) = self.fate else {
            return;
        };
        let through = |node: &usize| {
            let name = format!("through {},", self.world.nodes[*node].address);
            asked.iter().any(|detail| detail.contains(&name))
        };
        let nodes = (0..ENTRIES).filter(|node| !self.rolling.contains_key(node));
        let followers = nodes.filter(|node| !self.world.nodes[*node].leads());
        let Some(adviser) = followers.into_iter().find(through) else {
            return;
        };
        self.fate = None;
        match fate {
            AdviserFate::Sound => {}
            AdviserFate::Leaving => self.end_instance(adviser, true),
            AdviserFate::Started => self.world.kill(adviser, 100),
            AdviserFate::Gone => self.end_instance(adviser, false),
        }
    }

    /// Returns the workers of the runs of long-running tasks.
    fn lasting_runs(&self) -> impl Iterator<Item = &String> {
        let workers = self.world.workers.iter();
        workers.flat_map(|(address, worker)| {
            let runs = worker.iter().flat_map(|worker| worker.runs().keys());
            let lasting = runs.filter(|task| task.step.job < SHORT);
            lasting.map(move |_| address)
        })
    }

    /// Returns the workers with the most long-running tasks.
    fn busiest_workers(&self) -> Vec<String> {
        let mut runs: BTreeMap<&String, usize> = BTreeMap::new();
        for address in self.lasting_runs() {
            *runs.entry(address).or_default() += 1;
        }
        let mut busiest: Vec<&String> = runs.keys().copied().collect();
        busiest.sort_by_key(|address| Reverse(runs[address]));
        busiest.truncate(LEAVING_WORKERS);
        busiest.into_iter().cloned().collect()
    }
}

fn is_lasting(step: &str) -> bool {
    let keys = (1..).zip(LASTING_TASKS).map(|(job, _)| StepKey {
        job,
        time: 0,
        step: 0,
    });
    keys.into_iter().any(|key| key.to_string() == step)
}

/// Plays departures and changes of leader.
pub(crate) fn downtimes(play: &Play) -> Downtimes {
    let mut site = RollingSite::new(play);
    let leaving = site.busiest_workers();
    let notice_ms = match play.departure {
        Departure::Announced => DRAIN_MS,
        Departure::Unannounced => UNLISTED_MS,
        Departure::Crash => 0,
    };
    let began = SETTLED_MS + 2_000;
    let first_end = began + notice_ms;
    let first_change = first_end.saturating_add_signed(play.offset_ms);
    site.changes = (0..play.changes)
        .map(|change| first_change + change * play.distance_ms)
        .collect();
    if let Some(gap_ms) = play.roll_gap_ms {
        let times = (first_change..).step_by(gap_ms as usize);
        site.rolls = times.zip(0..ENTRIES).collect();
    }
    let mut steps: Vec<(u64, bool, &String)> = Vec::new();
    for (address, at) in leaving.iter().zip((began..).step_by(GAP_MS as usize)) {
        steps.push((at, false, address));
        steps.push((at + notice_ms, true, address));
    }
    steps.sort();
    for (at, ends, address) in steps {
        site.run_until(at);
        if at == first_end {
            site.fate = Some(play.fate);
        }
        match (play.departure, ends) {
            (Departure::Announced, false) => site.world.drain_worker(address, DRAIN_MS),
            (Departure::Unannounced, false) => site.world.unlist_worker(address),
            (Departure::Crash, false) => {}
            (Departure::Crash, true) => site.world.end_worker(address, play.replaced_ms),
            (_, true) => site.world.crash_worker(address, play.replaced_ms),
        }
    }
    let runs = LASTING_TASKS.iter().sum::<u32>() as usize;
    let is_over = |site: &RollingSite| {
        let is_calm = site.changes.is_empty() && site.rolls.is_empty();
        is_calm && site.lasting_runs().count() == runs
    };
    while site.world.now_ms < first_end + PATIENCE_MS && !is_over(&site) {
        let now = site.world.now_ms;
        site.run_until(now + 100);
    }
    let world = &site.world;
    let mut spans = world.lasting.all_spans();
    let able = |tasks: usize, task| world.able_workers(task) > tasks + 1;
    spans.retain(|span| {
        let tasks = LASTING_TASKS[span.task.step.job as usize - 1] as usize;
        span.from_ms >= began && able(tasks, span.task)
    });
    let until = |until_ms: Option<u64>| until_ms.unwrap_or(world.now_ms);
    let times = spans.iter().map(|span| until(span.until_ms) - span.from_ms);
    Downtimes {
        times_ms: times.collect(),
        breaches: world.rules.breaches.clone(),
    }
}
