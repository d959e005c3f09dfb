//! Worker: runs tasks under leases, checks fencing tokens and serves requests.

use std::collections::BTreeMap;

use bankvalve_cell::ids::{Epoch, Incarnation, WorkerClock};
use bankvalve_cell::link::{
    FenceToken, HeldPhase, HeldTask, TaskKey, TaskLabel, TaskOutcome, WorkerCommand,
    WorkerExchange, WorkerRefusal, WorkerReport,
};
use bankvalve_cell::machine::{TaskSize, WorkerDetail};

use super::TaskScript;

/// Run time below which a report gives no resource usage yet, in milliseconds.
const USAGE_LAG_MS: u64 = 1_000;

/// A run of an attempt, as it took place on the worker.
#[derive(Clone, Debug, PartialEq)]
pub struct RunRecord {
    /// The attempt.
    pub key: TaskKey,
    /// Label of the task, as sent by the owner of the worker.
    pub label: TaskLabel,
    /// Start time on the worker's clock.
    pub started: WorkerClock,
    /// End time on the worker's clock; `None` while the attempt runs.
    pub ended: Option<WorkerClock>,
    /// Outcome; `None` while the attempt runs.
    pub outcome: Option<TaskOutcome>,
}

/// Reason why a worker does not serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestRefusal {
    /// The epoch of the request is older than that of the latest owner.
    EpochPassed,
    /// No task of the service runs on the worker.
    NoService,
    /// All slots are in use.
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

/// In-memory worker.
#[derive(Clone, Debug)]
pub struct WorkerModel {
    /// Name, location and resources.
    pub detail: WorkerDetail,
    /// Whether every task fails as soon as it has started.
    pub fails_all: bool,
    /// Factor by which run times are multiplied when a task starts.
    pub slowness: f64,
    incarnation: Incarnation,
    greatest_token: FenceToken,
    runs: BTreeMap<TaskKey, TaskRun>,
    records: Vec<RunRecord>,
    slots_in_use: u32,
    most_slots_in_use: u32,
    overfull: Option<TaskSize>,
}

impl WorkerModel {
    /// Creates a worker in its first incarnation.
    pub fn new(detail: WorkerDetail) -> Self {
        Self {
            detail,
            fails_all: false,
            slowness: 1.0,
            incarnation: 1,
            greatest_token: FenceToken::default(),
            runs: BTreeMap::new(),
            records: Vec::new(),
            slots_in_use: 0,
            most_slots_in_use: 0,
            overfull: None,
        }
    }

    /// Ends the worker's incarnation, and with it all tasks, and begins the next one.
    pub fn restart(&mut self, clock: WorkerClock) {
        self.advance(clock);
        let lost: Vec<TaskKey> = self.running().map(|(key, _)| key.clone()).collect();
        for key in lost {
            self.end(&key, clock, TaskOutcome::Unknown);
        }
        self.incarnation += 1;
        self.greatest_token = FenceToken::default();
        self.runs.clear();
        self.slots_in_use = 0;
    }

    /// Ends the tasks whose run time or lease has ended by the given time.
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

    /// Returns the earliest time at which a running task ends without a command.
    pub fn next_end(&self) -> Option<WorkerClock> {
        self.running()
            .map(|(_, run)| run.next_end(self.fails_all).0)
            .min()
    }

    /// Handles an exchange with the owner at the given time.
    ///
    /// # Errors
    ///
    /// Returns the reason why the exchange was refused. Its lease and its commands have had no effect.
    pub fn exchange(
        &mut self,
        clock: WorkerClock,
        exchange: &WorkerExchange,
    ) -> Result<WorkerReport, WorkerRefusal> {
        self.advance(clock);
        if exchange.token <= self.greatest_token {
            let greatest = self.greatest_token;
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
        self.greatest_token = exchange.token;
        if let Some(until) = exchange.lease_until {
            self.renew(until);
            for command in &exchange.commands {
                self.run_command(clock, until, command);
            }
        }
        Ok(self.report(clock, exchange.token))
    }

    /// Takes a slot for a request to a service and returns the task that serves it.
    ///
    /// # Errors
    ///
    /// Returns the reason why the request is not served.
    pub fn begin_request(
        &mut self,
        clock: WorkerClock,
        epoch: Epoch,
        service: &str,
    ) -> Result<TaskKey, RequestRefusal> {
        self.advance(clock);
        if epoch < self.greatest_token.epoch {
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

    /// Releases the slot of a request.
    pub fn end_request(&mut self) {
        self.slots_in_use = self.slots_in_use.saturating_sub(1);
    }

    /// Returns the highest number of requests that were served at the same time.
    pub fn most_slots_in_use(&self) -> u32 {
        self.most_slots_in_use
    }

    /// Returns all runs so far, in the order of their starts.
    pub fn records(&self) -> &[RunRecord] {
        &self.records
    }

    /// Returns the sum of the resources that the running tasks declare.
    pub fn resources_in_use(&self) -> TaskSize {
        self.running().fold(TaskSize::default(), |sum, (_, run)| {
            sum.plus(run.label.size)
        })
    }

    /// Returns the most resources in use that exceeded the worker's size, or `None` if they never did.
    pub fn overfull(&self) -> Option<TaskSize> {
        self.overfull
    }

    /// Returns the number of running tasks.
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
                let finished = self.runs.get(key).is_some_and(|run| run.ended.is_some());
                if finished {
                    self.runs.remove(key);
                }
            }
            WorkerCommand::Throttle { key, percent } => {
                if let Some(run) = self.runs.get_mut(key) {
                    let max_millicores = run.label.size.millicores * u32::from(*percent) / 100;
                    let used = run.script.usage(run.label.size).millicores;
                    run.script.millicores = Some(used.min(max_millicores));
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
        let task_report = |(key, run): (&TaskKey, &TaskRun)| {
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
            held: self.runs.iter().map(task_report).collect(),
            slots_in_use: self.slots_in_use,
        }
    }
}

impl TaskRun {
    /// Returns when and with which outcome the task ends if no command ends it earlier.
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
