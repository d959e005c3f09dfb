//! A worker: runs tasks under a lease, keeps a fencing token, serves requests.

use std::collections::BTreeMap;

use bankvalve_cell::ids::{Epoch, Incarnation, WorkerClock};
use bankvalve_cell::link::{
    FenceToken, HeldPhase, HeldTask, TaskKey, TaskLabel, TaskOutcome, WorkerCommand,
    WorkerExchange, WorkerRefusal, WorkerReport,
};
use bankvalve_cell::machine::{TaskSize, WorkerDetail};

use super::TaskScript;

/// Time that usage reports lag behind, in milliseconds.
const USAGE_LAG_MS: u64 = 1_000;

/// A run of an attempt, as it really happened.
#[derive(Clone, Debug, PartialEq)]
pub struct RunRecord {
    /// The attempt.
    pub key: TaskKey,
    /// What its owner said of it.
    pub label: TaskLabel,
    /// When it started, by the worker's clock.
    pub started: WorkerClock,
    /// When it ended, by the worker's clock; none while it runs.
    pub ended: Option<WorkerClock>,
    /// How it ended.
    pub outcome: Option<TaskOutcome>,
}

/// Why a worker does not serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestRefusal {
    /// The request comes from an owner that has been replaced.
    EpochPassed,
    /// No task of the service runs here.
    NoService,
    /// All slots are taken.
    NoSlot,
}

#[derive(Clone, Debug)]
struct TaskRun {
    label: TaskLabel,
    script: TaskScript,
    started: WorkerClock,
    ends: Option<WorkerClock>,
    lease_until: WorkerClock,
    ended: Option<(WorkerClock, TaskOutcome)>,
    record: usize,
}

/// A worker.
#[derive(Clone, Debug)]
pub struct WorkerModel {
    /// Name, place and size.
    pub detail: WorkerDetail,
    /// Whether everything that it starts fails at once.
    pub fails_all: bool,
    /// Factor by which true run times exceed the declared ones.
    pub slowness: f64,
    incarnation: Incarnation,
    greatest: FenceToken,
    runs: BTreeMap<TaskKey, TaskRun>,
    records: Vec<RunRecord>,
    slots_in_use: u32,
    most_slots_in_use: u32,
    overfull: Option<TaskSize>,
}

impl WorkerModel {
    /// Makes a worker in its first life.
    pub fn new(detail: WorkerDetail) -> Self {
        Self {
            detail,
            fails_all: false,
            slowness: 1.0,
            incarnation: 1,
            greatest: FenceToken::default(),
            runs: BTreeMap::new(),
            records: Vec::new(),
            slots_in_use: 0,
            most_slots_in_use: 0,
            overfull: None,
        }
    }

    /// Ends the worker's life at a time and begins the next: all tasks are gone.
    pub fn restart(&mut self, clock: WorkerClock) {
        self.advance(clock);
        let lost: Vec<TaskKey> = self.running().map(|(key, _)| key.clone()).collect();
        for key in lost {
            self.end(&key, clock, TaskOutcome::Unknown);
        }
        self.incarnation += 1;
        self.greatest = FenceToken::default();
        self.runs.clear();
        self.slots_in_use = 0;
    }

    /// Ends tasks whose run time or lease is over by a time.
    pub fn advance(&mut self, clock: WorkerClock) {
        let due: Vec<(TaskKey, WorkerClock, TaskOutcome)> = self
            .running()
            .filter_map(|(key, run)| {
                let (at, outcome) = run.next_end(self.fails_all);
                (at <= clock).then(|| (key.clone(), at, outcome))
            })
            .collect();
        for (key, at, outcome) in due {
            self.end(&key, at, outcome);
        }
    }

    /// Earliest time at which a task ends by itself.
    pub fn next_end(&self) -> Option<WorkerClock> {
        self.running()
            .map(|(_, run)| run.next_end(self.fails_all).0)
            .min()
    }

    /// Takes an exchange at a time.
    ///
    /// # Errors
    ///
    /// Returns why the exchange was not taken; it then changed nothing.
    pub fn exchange(
        &mut self,
        clock: WorkerClock,
        exchange: &WorkerExchange,
    ) -> Result<WorkerReport, WorkerRefusal> {
        self.advance(clock);
        if exchange.token <= self.greatest {
            let greatest = self.greatest;
            return Err(WorkerRefusal::TokenPassed { greatest });
        }
        if exchange
            .incarnation
            .is_some_and(|incarnation| incarnation != self.incarnation)
        {
            return Err(WorkerRefusal::OtherIncarnation);
        }
        if exchange.lease_until.is_some_and(|until| until <= clock) {
            return Err(WorkerRefusal::LeaseOver);
        }
        self.greatest = exchange.token;
        if let Some(until) = exchange.lease_until {
            self.renew(until);
            for command in &exchange.commands {
                self.run_command(clock, until, command);
            }
        }
        Ok(self.report(clock, exchange.token))
    }

    /// Begins to serve a request for a service.
    ///
    /// # Errors
    ///
    /// Returns why it is not served; it then did not run.
    pub fn begin_request(
        &mut self,
        clock: WorkerClock,
        epoch: Epoch,
        service: &str,
    ) -> Result<TaskKey, RequestRefusal> {
        self.advance(clock);
        if epoch < self.greatest.epoch {
            return Err(RequestRefusal::EpochPassed);
        }
        let serving = self
            .running()
            .find(|(_, run)| run.label.service.as_deref() == Some(service));
        let key = serving.ok_or(RequestRefusal::NoService)?.0.clone();
        if self.slots_in_use >= self.detail.slots {
            return Err(RequestRefusal::NoSlot);
        }
        self.slots_in_use += 1;
        self.most_slots_in_use = self.most_slots_in_use.max(self.slots_in_use);
        Ok(key)
    }

    /// Ends a request.
    pub fn end_request(&mut self) {
        self.slots_in_use = self.slots_in_use.saturating_sub(1);
    }

    /// Most requests that were served at once.
    pub fn most_slots_in_use(&self) -> u32 {
        self.most_slots_in_use
    }

    /// All runs so far, in order of their start.
    pub fn records(&self) -> &[RunRecord] {
        &self.records
    }

    /// Room that the running tasks' labels take.
    pub fn resources_in_use(&self) -> TaskSize {
        self.running().fold(TaskSize::default(), |sum, (_, run)| {
            sum.plus(run.label.size)
        })
    }

    /// The largest room in use beyond the worker's size, if it ever was.
    pub fn overfull(&self) -> Option<TaskSize> {
        self.overfull
    }

    /// Number of running tasks.
    pub fn running_count(&self) -> usize {
        self.running().count()
    }

    fn running(&self) -> impl Iterator<Item = (&TaskKey, &TaskRun)> {
        self.runs.iter().filter(|(_, run)| run.ended.is_none())
    }

    fn renew(&mut self, until: WorkerClock) {
        for run in self.runs.values_mut() {
            run.lease_until = run.lease_until.max(until);
        }
    }

    fn run_command(&mut self, clock: WorkerClock, until: WorkerClock, command: &WorkerCommand) {
        match command {
            WorkerCommand::Start {
                key,
                label,
                run_time_ms,
                payload,
            } => {
                if !self.runs.contains_key(key) {
                    self.start(clock, until, key, label, *run_time_ms, payload);
                }
            }
            WorkerCommand::Stop { key, outcome } => {
                let runs = self.runs.get(key).is_some_and(|run| run.ended.is_none());
                if runs {
                    self.end(key, clock, *outcome);
                }
            }
            WorkerCommand::Forget { key } => {
                let over = self.runs.get(key).is_some_and(|run| run.ended.is_some());
                if over {
                    self.runs.remove(key);
                }
            }
            WorkerCommand::Throttle { key, percent } => {
                if let Some(run) = self.runs.get_mut(key) {
                    let most = run.label.size.millicores * u32::from(*percent) / 100;
                    let used = run.script.usage(run.label.size).millicores;
                    run.script.millicores = Some(used.min(most));
                }
            }
            WorkerCommand::Checkpoint { .. } => {}
        }
    }

    fn start(
        &mut self,
        clock: WorkerClock,
        until: WorkerClock,
        key: &TaskKey,
        label: &TaskLabel,
        run_time_ms: u64,
        payload: &str,
    ) {
        let script = TaskScript::from_payload(payload);
        let run_ms = script.run_ms.unwrap_or(run_time_ms);
        let run_ms = (run_ms as f64 * self.slowness) as u64;
        let ends = label.service.is_none().then_some(clock + run_ms);
        let run = TaskRun {
            label: label.clone(),
            script,
            started: clock,
            ends,
            lease_until: until,
            ended: None,
            record: self.records.len(),
        };
        self.records.push(RunRecord {
            key: key.clone(),
            label: label.clone(),
            started: clock,
            ended: None,
            outcome: None,
        });
        self.runs.insert(key.clone(), run);
        let used = self.resources_in_use();
        if !used.fits_in(self.detail.size) {
            self.overfull = Some(self.overfull.unwrap_or_default().max(used));
        }
    }

    fn end(&mut self, key: &TaskKey, at: WorkerClock, outcome: TaskOutcome) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.ended = Some((at, outcome));
        let record = &mut self.records[run.record];
        record.ended = Some(at);
        record.outcome = Some(outcome);
    }

    fn report(&self, clock: WorkerClock, token: FenceToken) -> WorkerReport {
        let held = |(key, run): (&TaskKey, &TaskRun)| {
            let until = run.ended.map_or(clock, |(at, _)| at);
            let ran_ms = until.saturating_sub(run.started);
            let usage = if ran_ms < USAGE_LAG_MS {
                TaskSize::default()
            } else {
                run.script.usage(run.label.size)
            };
            HeldTask {
                key: key.clone(),
                label: run.label.clone(),
                phase: match run.ended {
                    None => HeldPhase::Running,
                    Some((_, outcome)) => HeldPhase::Ended(outcome),
                },
                usage,
                ran_ms,
            }
        };
        WorkerReport {
            token,
            incarnation: self.incarnation,
            clock,
            held: self.runs.iter().map(held).collect(),
            slots_in_use: self.slots_in_use,
        }
    }
}

impl TaskRun {
    /// When the task ends by itself, and how.
    fn next_end(&self, fails_all: bool) -> (WorkerClock, TaskOutcome) {
        if fails_all {
            return (self.started, TaskOutcome::Failed);
        }
        let outcome = if self.script.fail {
            TaskOutcome::Failed
        } else {
            TaskOutcome::Succeeded
        };
        match self.ends {
            Some(ends) if ends <= self.lease_until => (ends, outcome),
            _ => (self.lease_until, TaskOutcome::LeaseLapsed),
        }
    }
}
