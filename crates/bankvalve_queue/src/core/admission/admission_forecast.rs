//! Forecast of when submitted work begins, from the work that waits and the capacity left to it.
//!
//! Problem: in a burst, more work arrives than the workers can run. If all of it is accepted, jobs that end too
//! late take capacity from jobs that could end in time. The forecast treats work as a fluid: what waits of the
//! same and smaller priority values is divided by the capacity that newly arriving work of smaller values leaves
//! to it. Wherever something is uncertain, it assumes the earlier start, because a job refused for nothing is
//! worse than one that is served late.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::CoreTime;
use crate::job::TaskSize;

/// Age from which a forecast counts as none.
const MAX_AGE: Duration = Duration::from_millis(2_000);
/// Time constant of the long average of the rate at which work arrives. A burst of 8 s raises it by an eighth of
/// the burst's excess.
const LONG_AVERAGE: Duration = Duration::from_secs(60);
/// Time from which the long average is that of all time so far, until its time constant has passed.
const MIN_AVERAGED: Duration = Duration::from_secs(30);
/// Time constant of the short average of the rate at which work arrives. After a burst, it falls below the long
/// one within some seconds.
const SHORT_AVERAGE: Duration = Duration::from_secs(2);
/// Time for which work is expected to go on arriving at the rate of the short average. Bursts last for 4 to 8 s.
const NEAR_S: f64 = 2.0;
/// Time constant of the average share of the capacity that is in use while work waits.
const USE_AVERAGE: Duration = Duration::from_secs(15);
/// Time constant of the averages of used capacity and of ended work. Runs end some seconds after their capacity counts
/// as used: with 15 s, the yield fell from 1.0 to 0.65 at the onset of a burst.
const YIELD_AVERAGE: Duration = Duration::from_secs(60);
/// Minimum shares of the usable capacity that are assumed to be left to a priority in the next two seconds, and after
/// them, when a burst may be over.
const MIN_CAPACITY_LEFT: (f64, f64) = (0.2, 0.35);
/// Range of the share of used capacity that completes work. It is below 1 since some runs fail or take far
/// longer than expected.
const YIELD_RANGE: (f64, f64) = (0.7, 1.0);
/// Share of all capacity in use below which it is not known what share of it completes work.
const MIN_MEASURED_USE: f64 = 0.1;
/// Range of the share of all capacity that is in use while work waits.
const USED_RANGE: (f64, f64) = (0.75, 1.0);
/// Work that waits, in seconds of all capacity, from which work counts as waiting for capacity. Below it, work
/// waits for orders and permits.
const MIN_BACKLOG_S: f64 = 0.3;
/// Maximum fall of the capacity from one update to the next. After a pause of the leader, its workers are out of
/// contact until they have answered a poll.
const MAX_CAPACITY_FALL: f64 = 0.03;
/// Share of a forecast wait that is considered certain, for jobs that would be late and for those that would be of
/// no use.
const SURE_WAIT: f64 = 0.9;
const SURE_LATE_WAIT: f64 = 0.8;
/// Share of the expected run time that is considered certain. Estimates of batches are off by a factor of 1.6.
const SURE_RUN: f64 = 0.6;
/// Multiple of its objective after which a job earns nothing.
const MAX_USEFUL_FACTOR: f64 = 3.0;
/// Minimum and maximum time after which a refused caller may retry, in milliseconds.
const RETRY_RANGE_MS: (u64, u64) = (300, 5_000);

/// Work of a waiting step.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WaitingWork {
    /// Priority of its queue; 0 is the highest.
    pub priority: u32,
    /// Time left until the latest start with which its job ends within its objective, in seconds; negative if
    /// that has passed.
    pub slack_s: f64,
    /// Expected work in seconds of a core.
    pub core_seconds: f64,
    /// Expected run time of a task, in seconds.
    pub run_s: f64,
}

/// What waits and runs at a moment, and the capacity for it.
#[derive(Clone, Debug, Default)]
pub struct BacklogView {
    /// The moment.
    pub at: CoreTime,
    /// Cores of the workers in contact, without those of long-running tasks.
    pub capacity_cores: f64,
    /// Cores that runs take, without those of long-running tasks.
    pub used_cores: f64,
    /// Steps that wait for capacity. Steps that can no longer earn anything, that are beyond their customers'
    /// shares or that wait for their customers' limits are left out, because all others come before them.
    pub waiting: Vec<WaitingWork>,
    /// Remaining work of running tasks by priority, in seconds of a core.
    pub running: BTreeMap<u32, f64>,
    /// What is neither in use nor reserved on each worker that takes new tasks.
    pub free: Vec<TaskSize>,
}

/// What the forecast needs to know of a submitted job.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct JobSize {
    /// Expected work in seconds of a core.
    pub core_seconds: f64,
    /// Expected time of its longest chain of steps.
    pub chain: Duration,
    /// Time after its acceptance within which it should end.
    pub objective: Duration,
    /// Longest wait with which it ends within its objective, by its caller's estimates.
    pub slack: Duration,
}

/// Why a job is refused, and when its caller may retry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ForecastRefusal {
    /// Expected time from now until the job would end.
    pub end: Duration,
    /// Whether it would end too late to earn anything. Otherwise it would be late and make other jobs late.
    pub useless: bool,
    /// Expected time until a job like it would end in time.
    pub excess: Duration,
    /// Expected time until the work ahead of it has begun.
    pub drain: Duration,
}

impl ForecastRefusal {
    /// Returns the time after which the caller may retry, in milliseconds. It differs by `spread`, a number that
    /// differs between jobs, so that retries arrive over the time in which the backlog drains.
    pub fn retry_ms(&self, spread: u64) -> u64 {
        let (least, drain) = (RETRY_RANGE_MS.0, self.longest_retry_ms());
        let first = (self.excess.as_millis() as u64).clamp(least, least.max(drain / 2));
        first + spread % (drain - first + 1)
    }

    /// Returns the longest time after which callers may retry, in milliseconds.
    pub fn longest_retry_ms(&self) -> u64 {
        let (least, most) = RETRY_RANGE_MS;
        (self.drain.as_millis() as u64).clamp(least, most)
    }
}

/// Average rates at which work of a priority arrives, in cores.
#[derive(Clone, Copy, Debug, Default)]
struct ArrivalRate {
    short: f64,
    long: f64,
    /// Work that has arrived since the last update, in seconds of a core.
    since_update: f64,
}

impl ArrivalRate {
    fn update(&mut self, passed: Duration, averaged: Duration) {
        let rate = std::mem::take(&mut self.since_update) / passed.as_secs_f64().max(1e-3);
        move_average(&mut self.short, rate, passed, SHORT_AVERAGE);
        let constant = averaged.clamp(MIN_AVERAGED, LONG_AVERAGE);
        move_average(&mut self.long, rate, passed, constant);
    }

    /// Returns the rate that is expected after the next two seconds: the lower average, so that neither a burst nor
    /// what it has left in the long average counts.
    fn lasting(&self) -> f64 {
        self.short.min(self.long)
    }
}

/// Work of a step that can still end in time.
#[derive(Clone, Copy, Debug)]
struct InTimeWork {
    /// Latest start in time, in seconds after the update.
    latest_s: f64,
    core_seconds: f64,
    /// Time by which it is expected to start before its latest start, in seconds.
    margin_s: f64,
}

/// Waiting work of a priority.
#[derive(Clone, Debug, Default)]
struct PriorityBacklog {
    /// In the order of the latest start.
    in_time: Vec<InTimeWork>,
    late: f64,
    /// Work accepted since the update, with its latest start in seconds after the update.
    arrived: Vec<(f64, f64)>,
    running: f64,
    /// Work of the waiting tasks at the update, and the cores that they would take at once.
    waiting: (f64, f64),
}

impl PriorityBacklog {
    fn in_time_before(&self, latest_s: f64) -> f64 {
        let waiting = self.in_time.iter();
        let waiting = waiting.take_while(|work| work.latest_s <= latest_s);
        let arrived = self.arrived.iter().filter(|(at, _)| *at <= latest_s);
        waiting.map(|work| work.core_seconds).sum::<f64>()
            + arrived.map(|(_, work)| work).sum::<f64>()
    }

    fn whole(&self) -> f64 {
        self.in_time_before(f64::INFINITY) + self.late
    }
}

/// When work begins that arrives now, by priority.
#[derive(Clone, Debug, Default)]
pub struct AdmissionForecast {
    updated_at: Option<CoreTime>,
    /// Time between the first update and the last one.
    averaged: Duration,
    capacity: f64,
    /// Average of the cores in use, and of the work that ended per second.
    used: f64,
    ended: f64,
    ended_since_update: f64,
    /// Average share of the capacity that is in use while work waits.
    used_share: f64,
    arrivals: BTreeMap<u32, ArrivalRate>,
    backlogs: BTreeMap<u32, PriorityBacklog>,
    free: Vec<TaskSize>,
}

impl AdmissionForecast {
    /// Updates the forecast.
    pub fn update(&mut self, view: &BacklogView) {
        match self.updated_at {
            Some(before) => self.update_averages(view, view.at.saturating_sub(before)),
            None => {
                self.capacity = view.capacity_cores;
                self.used = view.capacity_cores;
                self.ended = view.capacity_cores;
                self.used_share = USED_RANGE.1;
            }
        }
        self.updated_at = Some(view.at);
        self.free.clone_from(&view.free);
        self.backlogs.clear();
        for work in &view.waiting {
            let backlog = self.backlogs.entry(work.priority).or_default();
            backlog.waiting.0 += work.core_seconds;
            backlog.waiting.1 += work.core_seconds / work.run_s.max(1e-3);
            // Urgent steps keep their place when they are late.
            if work.slack_s >= 0.0 || work.priority == 0 {
                backlog.in_time.push(InTimeWork {
                    latest_s: work.slack_s,
                    core_seconds: work.core_seconds,
                    margin_s: 0.0,
                });
            } else {
                backlog.late += work.core_seconds;
            }
        }
        for (priority, remaining) in &view.running {
            self.backlogs.entry(*priority).or_default().running = *remaining;
        }
        for backlog in self.backlogs.values_mut() {
            let by_latest = |a: &InTimeWork, b: &InTimeWork| a.latest_s.total_cmp(&b.latest_s);
            backlog.in_time.sort_by(by_latest);
        }
        self.update_margins();
    }

    fn update_averages(&mut self, view: &BacklogView, passed: Duration) {
        let slowest = self.capacity * (1.0 - MAX_CAPACITY_FALL);
        self.capacity = view.capacity_cores.max(slowest);
        let ended = std::mem::take(&mut self.ended_since_update) / passed.as_secs_f64().max(1e-3);
        move_average(&mut self.ended, ended, passed, YIELD_AVERAGE);
        move_average(&mut self.used, view.used_cores, passed, YIELD_AVERAGE);
        let waiting: f64 = view.waiting.iter().map(|work| work.core_seconds).sum();
        if waiting > MIN_BACKLOG_S * self.capacity {
            let share = view.used_cores / self.capacity.max(1e-3);
            move_average(&mut self.used_share, share, passed, USE_AVERAGE);
        }
        self.averaged += passed;
        let averaged = self.averaged;
        for rate in self.arrivals.values_mut() {
            rate.update(passed, averaged);
        }
    }

    fn update_margins(&mut self) {
        let priorities: Vec<u32> = self.backlogs.keys().copied().collect();
        for priority in priorities {
            let mut before = self.ahead_of(priority) + self.begun_while_running(priority);
            let Some(backlog) = self.backlogs.get_mut(&priority) else {
                continue;
            };
            let mut in_time = std::mem::take(&mut backlog.in_time);
            for work in &mut in_time {
                work.margin_s = work.latest_s - self.time_of(priority, before);
                before += work.core_seconds;
            }
            if let Some(backlog) = self.backlogs.get_mut(&priority) {
                backlog.in_time = in_time;
            }
        }
    }

    /// Records that a job was accepted.
    pub fn record_accepted(&mut self, now: CoreTime, priority: u32, job: &JobSize) {
        self.arrivals.entry(priority).or_default().since_update += job.core_seconds;
        let Some(at) = self.updated_at else {
            return;
        };
        let latest_s = now.saturating_sub(at).as_secs_f64() + job.slack.as_secs_f64();
        let backlog = self.backlogs.entry(priority).or_default();
        backlog.arrived.push((latest_s, job.core_seconds));
    }

    /// Records that a run has ended whose work counts: it is done, or its progress is saved.
    pub fn record_ended(&mut self, core_seconds: f64) {
        self.ended_since_update += core_seconds;
    }

    /// Returns the time since the last update; `None` if there was none.
    pub fn age(&self, now: CoreTime) -> Option<Duration> {
        self.updated_at.map(|at| now.saturating_sub(at))
    }

    /// Returns whether the forecast is recent.
    pub fn is_current(&self, now: CoreTime) -> bool {
        self.age(now).is_some_and(|age| age <= MAX_AGE)
    }

    /// Returns the time until a job that arrives now begins, if it keeps its place among those in time.
    pub fn wait(&self, now: CoreTime, priority: u32, job: &JobSize) -> Duration {
        let passed = self.passed(now);
        let own = self.backlogs.get(&priority);
        let own = own.map_or(0.0, |backlog| {
            backlog.in_time_before(passed + job.slack.as_secs_f64())
        });
        self.time_for(priority, own, passed)
    }

    /// Returns the time until a job that arrives now begins, if it comes after all those in time.
    fn late_wait(&self, now: CoreTime, priority: u32) -> Duration {
        let own = self.backlogs.get(&priority);
        let own = own.map_or(0.0, PriorityBacklog::whole);
        self.time_for(priority, own, self.passed(now))
    }

    /// Returns the expected wait of a job that comes after all that waits, by priority. It has the priorities of
    /// which work has arrived.
    pub fn waits(&self, now: CoreTime) -> BTreeMap<u32, Duration> {
        let priorities = self.backlogs.keys().chain(self.arrivals.keys());
        let waits = priorities.map(|priority| (*priority, self.late_wait(now, *priority)));
        waits.collect()
    }

    /// Returns the work that waits, in seconds of a core, by priority.
    pub fn backlog(&self) -> BTreeMap<u32, f64> {
        let backlogs = self.backlogs.iter();
        backlogs
            .map(|(priority, backlog)| (*priority, backlog.whole()))
            .collect()
    }

    /// Returns whether tasks of these sizes and counts all fit in what is free.
    pub fn fits_now(&self, tasks: &[(TaskSize, u32)]) -> bool {
        let mut free = self.free.clone();
        tasks.iter().all(|(size, count)| {
            let mut missing = *count;
            for worker in &mut free {
                while missing > 0 && size.fits(worker) {
                    *worker = worker.minus(size);
                    missing -= 1;
                }
            }
            missing == 0
        })
    }

    /// Returns why a job that arrives now should be refused, or `None` if it should be accepted.
    ///
    /// It is refused if it would surely end too late to earn anything, or if it would be late and would make jobs
    /// late that are in time now. Urgent jobs keep their place when they are late, so a late one delays all that
    /// arrive after it.
    pub fn refusal(&self, now: CoreTime, priority: u32, job: &JobSize) -> Option<ForecastRefusal> {
        if !self.is_current(now) || job.objective.is_zero() {
            return None;
        }
        let wait = self.wait(now, priority, job);
        let sure_wait = wait.mul_f64(SURE_WAIT);
        if sure_wait <= job.slack {
            return None;
        }
        let drain = self.late_wait(now, priority);
        let sure_end = drain.mul_f64(SURE_LATE_WAIT) + job.chain.mul_f64(SURE_RUN);
        let useless = sure_end > job.objective.mul_f64(MAX_USEFUL_FACTOR);
        let delays = priority == 0 || self.makes_others_late(priority, job);
        (useless || delays).then(|| ForecastRefusal {
            end: drain + job.chain,
            useless,
            excess: wait.saturating_sub(job.slack),
            drain,
        })
    }

    /// Returns whether a job that will be late takes capacity that others need to start in time: any of its own
    /// priority, or those of larger values that it delays beyond their latest start.
    ///
    /// Late steps come after those of their priority that are in time. But what runs is not stopped for these, and
    /// capacity is also reserved for late steps: in a burst of four times the usual load, a leader that accepted
    /// late jobs had half of the jobs late that arrived 2 to 8 s after the burst.
    fn makes_others_late(&self, priority: u32, job: &JobSize) -> bool {
        let own = self.backlogs.get(&priority);
        if own.is_some_and(|backlog| backlog.in_time_before(f64::INFINITY) > 0.0) {
            return true;
        }
        let mut others = self
            .backlogs
            .range(priority..)
            .skip_while(|(other, _)| **other == priority);
        others.any(|(other, backlog)| {
            let (_, left) = self.capacity_left(*other);
            let harmed =
                |work: &InTimeWork| (0.0..job.core_seconds / left).contains(&work.margin_s);
            backlog.in_time.iter().any(harmed)
        })
    }

    fn passed(&self, now: CoreTime) -> f64 {
        let at = self.updated_at.unwrap_or(now);
        now.saturating_sub(at).as_secs_f64()
    }

    /// Returns the work that waits of all smaller priority values.
    fn ahead_of(&self, priority: u32) -> f64 {
        let before = self.backlogs.range(..priority);
        before.map(|(_, backlog)| backlog.whole()).sum()
    }

    /// Returns the time until work begins that has `own` of its own priority ahead of it.
    fn time_for(&self, priority: u32, own: f64, passed: f64) -> Duration {
        let ahead = self.ahead_of(priority) + own;
        if ahead <= 0.0 {
            return Duration::ZERO;
        }
        let to_begin = ahead + self.begun_while_running(priority);
        let wait = self.time_of(priority, to_begin) - passed;
        Duration::from_secs_f64(wait.clamp(0.0, 86_400.0))
    }

    /// Returns the difference between the remaining work of running tasks of this and smaller priority values, and
    /// what of them remains once all that waits has begun: about half of their run time on all capacity. It is
    /// zero in a steady backlog, and negative while tasks of larger values run, whose capacity they will get.
    fn begun_while_running(&self, priority: u32) -> f64 {
        let own = self.backlogs.range(..=priority);
        let (mut work, mut cores, mut running) = (0.0, 0.0, 0.0);
        for (_, backlog) in own {
            work += backlog.waiting.0;
            cores += backlog.waiting.1;
            running += backlog.running;
        }
        if cores <= 0.0 {
            return 0.0;
        }
        running - self.usable() * work / cores / 2.0
    }

    /// Returns the cores that complete work: those in use while work waits, less what is lost.
    fn usable(&self) -> f64 {
        let (least, most) = YIELD_RANGE;
        let yielded = match self.used > MIN_MEASURED_USE * self.capacity {
            true => (self.ended / self.used).clamp(least, most),
            false => most,
        };
        self.capacity * self.used_share.clamp(USED_RANGE.0, USED_RANGE.1) * yielded
    }

    /// Returns the cores that are left to a priority by newly arriving work of smaller values, in the next two
    /// seconds and after them.
    fn capacity_left(&self, priority: u32) -> (f64, f64) {
        let before = self.arrivals.range(..priority);
        let (mut near, mut later) = (0.0, 0.0);
        for (_, rate) in before {
            near += rate.short;
            later += rate.lasting();
        }
        let usable = self.usable();
        let left = |taken: f64, least: f64| (usable - taken).max(usable * least).max(1e-3);
        (
            left(near, MIN_CAPACITY_LEFT.0),
            left(later, MIN_CAPACITY_LEFT.1),
        )
    }

    /// Returns the time in which a priority has completed work of so many core-seconds, in seconds.
    fn time_of(&self, priority: u32, core_seconds: f64) -> f64 {
        let (near, later) = self.capacity_left(priority);
        let in_near = near * NEAR_S;
        if core_seconds <= in_near {
            core_seconds.max(0.0) / near
        } else {
            NEAR_S + (core_seconds - in_near) / later
        }
    }
}

/// Moves an average towards a value that was measured over a time.
fn move_average(average: &mut f64, value: f64, passed: Duration, constant: Duration) {
    let weight = 1.0 - (-passed.as_secs_f64() / constant.as_secs_f64()).exp();
    *average += weight * (value - *average);
}
