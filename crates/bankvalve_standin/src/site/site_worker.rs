//! Worker of the users' platform. It checks the token, times, run number and permit of a start order, but not
//! whether it has the capacity.

use std::collections::BTreeMap;

use bankvalve_queue::{
    EndKind, EndReport, FenceToken, HoldReport, RunId, RunReport, StartRefusal, StepKey, TaskKey,
    TaskSize, WorkerAnswer, WorkerCall, WorkerEntry, WorkerId,
};

use super::SitePolicy;

/// Time from a stop call to the end of the run, in milliseconds.
const STOP_MS: u64 = 150;
/// Most ended runs in one answer of a worker of the users' platform.
pub const MAX_ENDS_PER_REPORT: usize = 500;

/// A run in progress on a worker.
#[derive(Clone, Debug)]
pub struct SiteRun {
    /// Id of the run.
    pub run: RunId,
    /// Resources that the run takes.
    pub room: TaskSize,
    /// Time on the worker's clock at which the run ends, and how; `None` while its gang assembles.
    pub ends: Option<(u64, EndKind)>,
    /// Start time on the worker's clock, in milliseconds.
    pub began: u64,
}

impl SiteRun {
    /// Returns the progress of the run in percent at a time on the worker's clock.
    fn percent(&self, clock: u64) -> u32 {
        let Some((ends, _)) = self.ends else {
            return 0;
        };
        let whole = ends.saturating_sub(self.began).max(1);
        let done = clock.saturating_sub(self.began);
        (done * 100 / whole).min(100) as u32
    }
}

/// An event on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerEvent {
    /// A run started.
    Started(TaskKey, RunId),
    /// A run ended.
    Ended(TaskKey, RunId, EndKind),
    /// The leader acknowledged that the end is committed to the ledger.
    Kept(TaskKey, RunId, EndKind),
    /// The same of an end since which the lease has not expired, whether or not tasks were running.
    KeptUnderLease(TaskKey, RunId, EndKind),
}

/// One process of a worker.
#[derive(Clone, Debug)]
pub struct SiteWorker {
    /// Id of the worker.
    pub id: WorkerId,
    /// Entry of the worker in the platform's table.
    pub entry: WorkerEntry,
    /// Number by which the simulation identifies the process.
    pub process: u64,
    /// Reading of the worker's clock at `clock_base_ms`, in milliseconds.
    clock_offset_ms: u64,
    /// Platform time at which the worker's clock reads `clock_offset_ms`, in milliseconds.
    clock_base_ms: u64,
    /// Longest lease that the worker grants from its current time, in milliseconds.
    pub max_lease_ms: u64,
    /// Most ended runs that a report contains, oldest first. The others follow once these are acknowledged.
    pub max_ends_per_report: usize,
    token: FenceToken,
    lease_until: u64,
    runs: BTreeMap<TaskKey, SiteRun>,
    finished: BTreeMap<TaskKey, RunId>,
    ends: Vec<EndReport>,
    next_end: u64,
    acknowledged: u64,
    /// Number of the last end that was recorded when the lease last expired while tasks were running.
    last_expired_end: u64,
    /// Number of the last end that was recorded when the lease last expired.
    last_end_before_expiry: u64,
    /// Runs that reports list although the worker does not have them, to simulate a faulty worker program.
    pub also_listed: Vec<RunReport>,
    events: Vec<WorkerEvent>,
}

impl SiteWorker {
    /// Creates a first process of a worker that grants leases of at most `max_lease_ms`.
    pub fn new(id: WorkerId, entry: WorkerEntry, clock_offset_ms: u64, max_lease_ms: u64) -> Self {
        Self {
            id,
            entry,
            process: 0,
            clock_offset_ms,
            clock_base_ms: 0,
            max_lease_ms,
            max_ends_per_report: MAX_ENDS_PER_REPORT,
            token: 0,
            lease_until: 0,
            runs: BTreeMap::new(),
            finished: BTreeMap::new(),
            ends: Vec::new(),
            next_end: 1,
            acknowledged: 0,
            last_expired_end: 0,
            last_end_before_expiry: 0,
            also_listed: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Creates the next process of a worker, with the same id and limits and no state from this one. Its clock
    /// reads `clock_ms` at `now_ms`.
    pub fn restarted(&self, entry: WorkerEntry, now_ms: u64, clock_ms: u64) -> Self {
        Self {
            clock_base_ms: now_ms,
            max_ends_per_report: self.max_ends_per_report,
            ..Self::new(self.id.clone(), entry, clock_ms, self.max_lease_ms)
        }
    }

    /// Returns the reading of the worker's clock at a platform time.
    pub fn clock_at(&self, now_ms: u64) -> u64 {
        now_ms + self.clock_offset_ms - self.clock_base_ms
    }

    /// Returns the platform time at which the worker's clock has a reading, in milliseconds.
    pub fn time_of(&self, clock: u64) -> u64 {
        (clock + self.clock_base_ms).saturating_sub(self.clock_offset_ms)
    }

    /// Handles a call. `plan` returns the resources of a task, and its run time and end, or `None`
    /// while its gang assembles.
    pub fn handle(
        &mut self,
        now_ms: u64,
        token: FenceToken,
        call: &WorkerCall,
        policy: Option<&SitePolicy>,
        plan: impl Fn(TaskKey) -> (TaskSize, Option<(u64, EndKind)>),
    ) -> WorkerAnswer {
        self.run_until(now_ms);
        let clock = self.clock_at(now_ms);
        let refused = |reason| WorkerAnswer::Refused {
            clock_ms: Some(clock),
            reason,
        };
        if token < self.token {
            return refused(StartRefusal::Fenced);
        }
        self.token = token;
        let mut report = None;
        match call {
            WorkerCall::Start(order) => {
                self.renew_lease(order.until_ms, clock);
                if self
                    .finished
                    .get(&order.task)
                    .is_some_and(|finished| order.run <= *finished)
                {
                    return refused(StartRefusal::Old);
                }
                if order.until_ms <= clock {
                    return refused(StartRefusal::Late);
                }
                match self.runs.get(&order.task).map(|run| run.run) {
                    Some(run) if run == order.run => {}
                    Some(_) => return refused(StartRefusal::Old),
                    None => {
                        let step = order.task.step;
                        let permit = order.permit.as_deref().unwrap_or_default();
                        let permitted = policy.is_none_or(|policy| {
                            let process = (&*self.id, self.clock_base_ms);
                            policy.is_permit_valid(step, process, permit, now_ms)
                        });
                        if !permitted {
                            return refused(StartRefusal::Permit);
                        }
                        let (room, work) = plan(order.task);
                        let ends = work.map(|(time, how)| (clock + time, how));
                        let run = SiteRun {
                            run: order.run,
                            room,
                            ends,
                            began: clock,
                        };
                        self.runs.insert(order.task, run);
                        self.events
                            .push(WorkerEvent::Started(order.task, order.run));
                    }
                }
            }
            WorkerCall::Stop { task, run } => {
                let finished = self.finished.entry(*task).or_default();
                *finished = (*finished).max(*run);
                if let Some(live) = self.runs.get_mut(task).filter(|live| live.run == *run) {
                    live.ends = Some((clock + STOP_MS, EndKind::Stopped));
                }
            }
            WorkerCall::Hold { until_ms, kept, .. } => {
                if let Some(lease_until) = until_ms {
                    self.renew_lease(*lease_until, clock);
                }
                self.acknowledge_ends(*kept);
                report = Some(self.report(clock));
            }
            WorkerCall::Pace { .. } => {}
        }
        WorkerAnswer::Done {
            clock_ms: Some(clock),
            report,
        }
    }

    fn renew_lease(&mut self, lease_until: u64, clock: u64) {
        self.lease_until = self
            .lease_until
            .max(lease_until.min(clock + self.max_lease_ms));
    }

    fn acknowledge_ends(&mut self, kept: u64) {
        self.acknowledged = self.acknowledged.max(kept);
        // An end produces no event if the lease expired, with tasks running, before the acknowledgement.
        let acknowledged =
            |end: &&EndReport| end.number <= kept && end.number > self.last_expired_end;
        for end in self.ends.iter().filter(acknowledged) {
            let event = WorkerEvent::Kept(end.task, end.run, end.how);
            self.events.push(event);
            if end.number > self.last_end_before_expiry {
                let event = WorkerEvent::KeptUnderLease(end.task, end.run, end.how);
                self.events.push(event);
            }
        }
        self.ends.retain(|end| end.number > kept);
    }

    fn report(&self, clock: u64) -> HoldReport {
        let running = self.runs.iter().map(|(task, run)| RunReport {
            task: *task,
            run: run.run,
            saved: String::new(),
            percent: run.percent(clock),
            figure: None,
        });
        HoldReport {
            running: running.chain(self.also_listed.iter().cloned()).collect(),
            ended: self
                .ends
                .iter()
                .take(self.max_ends_per_report)
                .cloned()
                .collect(),
            started: self.entry.started,
            connection: None,
        }
    }

    /// Advances the worker to the given time: ends the runs that are due, and all runs if the lease
    /// has expired.
    pub fn run_until(&mut self, now_ms: u64) {
        let clock = self.clock_at(now_ms);
        let expired = clock >= self.lease_until;
        let ran = !self.runs.is_empty();
        let finished: Vec<(TaskKey, EndKind)> = self
            .runs
            .iter()
            .filter_map(|(task, run)| match run.ends {
                Some((at, how)) if at <= clock && (at <= self.lease_until || !expired) => {
                    Some((*task, how))
                }
                _ if expired => Some((*task, EndKind::Lapsed)),
                _ => None,
            })
            .collect();
        for (task, how) in finished {
            self.end(task, how);
        }
        if expired {
            self.last_end_before_expiry = self.next_end - 1;
        }
        // A lease that expires while the worker has no runs ends none.
        if expired && ran {
            self.last_expired_end = self.next_end - 1;
        }
    }

    /// Ends the run of a task and reports the end in the next polls.
    pub fn end(&mut self, task: TaskKey, how: EndKind) {
        let Some(run) = self.runs.remove(&task) else {
            return;
        };
        let finished = self.finished.entry(task).or_default();
        *finished = (*finished).max(run.run);
        self.ends.push(EndReport {
            number: self.next_end,
            task,
            run: run.run,
            how,
            saved: String::new(),
        });
        self.next_end += 1;
        self.events.push(WorkerEvent::Ended(task, run.run, how));
    }

    /// Starts the work of a gang member once the gang has assembled.
    pub fn begin_work(&mut self, task: TaskKey, now_ms: u64, work: (u64, EndKind)) {
        let clock = self.clock_at(now_ms);
        if let Some(run) = self.runs.get_mut(&task) {
            run.ends = Some((clock + work.0, work.1));
        }
    }

    /// Returns the runs in progress, by task.
    pub fn runs(&self) -> &BTreeMap<TaskKey, SiteRun> {
        &self.runs
    }

    /// Returns the number of runs in progress of a step.
    pub fn held_of(&self, step: StepKey) -> usize {
        self.runs.keys().filter(|task| task.step == step).count()
    }

    /// Returns the resources that the runs take.
    pub fn used(&self) -> TaskSize {
        let rooms = self.runs.values().map(|run| run.room);
        rooms.fold(TaskSize::default(), |sum, room| sum.plus(&room))
    }

    /// Removes and returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<WorkerEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the platform time at which the lease expires, in milliseconds.
    pub fn lease_expiry_ms(&self) -> u64 {
        self.time_of(self.lease_until)
    }

    /// Returns whether an end waits to be acknowledged.
    pub fn has_ends(&self) -> bool {
        !self.ends.is_empty()
    }
}
