//! A worker that starts whatever it is told and checks nothing but orders' tokens and times.

use std::collections::BTreeMap;

use bankvalve_queue::{
    EndKind, EndReport, FenceToken, HoldReport, RunId, RunReport, StartRefusal, StepKey, TaskKey,
    TaskSize, WorkerAnswer, WorkerCall, WorkerEntry, WorkerId,
};

use super::SitePolicy;

/// Longest hold that is granted if nothing else is said, in milliseconds.
const HOLD_LIMIT_MS: u64 = 6_000;
/// Time that a stop takes, in milliseconds.
const STOP_MS: u64 = 150;

/// A run on a worker.
#[derive(Clone, Debug)]
pub struct SiteRun {
    /// The run.
    pub run: RunId,
    /// Room that it takes.
    pub room: TaskSize,
    /// Time of the worker's clock at which it ends, and how; none while a gang assembles.
    pub ends: Option<(u64, EndKind)>,
    /// Time of the worker's clock at which it began.
    pub began: u64,
}

impl SiteRun {
    /// How much of its work is done, in percent, at a time of the worker's clock.
    fn percent(&self, clock: u64) -> u32 {
        let Some((ends, _)) = self.ends else {
            return 0;
        };
        let whole = ends.saturating_sub(self.began).max(1);
        let done = clock.saturating_sub(self.began);
        (done * 100 / whole).min(100) as u32
    }
}

/// What happened on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerEvent {
    /// A run began.
    Started(TaskKey, RunId),
    /// A run ended.
    Ended(TaskKey, RunId, EndKind),
    /// An end was acknowledged.
    Kept(TaskKey, RunId, EndKind),
}

/// One life of a worker.
#[derive(Clone, Debug)]
pub struct SiteWorker {
    /// Id of the life.
    pub id: WorkerId,
    /// Its entry.
    pub entry: WorkerEntry,
    /// Number by which whoever plays it tells its process from others.
    pub process: u64,
    /// Offset of its clock, in milliseconds.
    clock_offset_ms: u64,
    /// Time at which its clock began with the offset, in milliseconds.
    clock_base_ms: u64,
    /// Longest hold that it grants, in milliseconds.
    pub max_lease_ms: u64,
    token: FenceToken,
    until: u64,
    runs: BTreeMap<TaskKey, SiteRun>,
    over: BTreeMap<TaskKey, RunId>,
    ends: Vec<EndReport>,
    next_end: u64,
    kept: u64,
    /// Number of the last end before the hold last ran out.
    lapsed: u64,
    /// Runs that its list names and that it does not have, as another program's would.
    pub also_listed: Vec<RunReport>,
    news: Vec<WorkerEvent>,
}

impl SiteWorker {
    /// A fresh life.
    pub fn new(id: WorkerId, entry: WorkerEntry, clock_offset_ms: u64) -> Self {
        Self {
            id,
            entry,
            process: 0,
            clock_offset_ms,
            clock_base_ms: 0,
            max_lease_ms: HOLD_LIMIT_MS,
            token: 0,
            until: 0,
            runs: BTreeMap::new(),
            over: BTreeMap::new(),
            ends: Vec::new(),
            next_end: 1,
            kept: 0,
            lapsed: 0,
            also_listed: Vec::new(),
            news: Vec::new(),
        }
    }

    /// Another process of a worker under its id, which holds and knows nothing of the one before; its clock
    /// begins with `clock_ms` at `now_ms`.
    pub fn restarted(id: WorkerId, entry: WorkerEntry, now_ms: u64, clock_ms: u64) -> Self {
        Self {
            clock_base_ms: now_ms,
            ..Self::new(id, entry, clock_ms)
        }
    }

    /// Reading of its clock at a time.
    pub fn clock_at(&self, now_ms: u64) -> u64 {
        now_ms + self.clock_offset_ms - self.clock_base_ms
    }

    /// Time at which its clock has a reading, in milliseconds.
    pub fn time_of(&self, clock: u64) -> u64 {
        (clock + self.clock_base_ms).saturating_sub(self.clock_offset_ms)
    }

    /// Handles a call at a time; `room_of` and `time_of` tell a task's size and its work.
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
                self.prolong(order.until_ms, clock);
                if self
                    .over
                    .get(&order.task)
                    .is_some_and(|over| order.run <= *over)
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
                            policy.holds(step, process, permit, now_ms)
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
                        self.news.push(WorkerEvent::Started(order.task, order.run));
                    }
                }
            }
            WorkerCall::Stop { task, run } => {
                let over = self.over.entry(*task).or_default();
                *over = (*over).max(*run);
                if let Some(live) = self.runs.get_mut(task).filter(|live| live.run == *run) {
                    live.ends = Some((clock + STOP_MS, EndKind::Stopped));
                }
            }
            WorkerCall::Hold { until_ms, kept, .. } => {
                if let Some(until) = until_ms {
                    self.prolong(*until, clock);
                }
                self.keep(*kept);
                report = Some(self.report(clock));
            }
            WorkerCall::Pace { .. } => {}
        }
        WorkerAnswer::Done {
            clock_ms: Some(clock),
            report,
        }
    }

    fn prolong(&mut self, until: u64, clock: u64) {
        self.until = self.until.max(until.min(clock + self.max_lease_ms));
    }

    fn keep(&mut self, kept: u64) {
        self.kept = self.kept.max(kept);
        // An end that the worker's hold outlived only in part does not count as noted.
        let noted = |end: &&EndReport| end.number <= kept && end.number > self.lapsed;
        for end in self.ends.iter().filter(noted) {
            let news = WorkerEvent::Kept(end.task, end.run, end.how);
            self.news.push(news);
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
            ended: self.ends.clone(),
            started: self.entry.started,
            connection: None,
        }
    }

    /// Lets time pass: runs end, and all of them if the hold is over.
    pub fn run_until(&mut self, now_ms: u64) {
        let clock = self.clock_at(now_ms);
        let lapsed = clock >= self.until;
        let ran = !self.runs.is_empty();
        let over: Vec<(TaskKey, EndKind)> = self
            .runs
            .iter()
            .filter_map(|(task, run)| match run.ends {
                Some((at, how)) if at <= clock && (at <= self.until || !lapsed) => {
                    Some((*task, how))
                }
                _ if lapsed => Some((*task, EndKind::Lapsed)),
                _ => None,
            })
            .collect();
        for (task, how) in over {
            self.end(task, how);
        }
        // A hold that runs out while nothing runs ends nothing.
        if lapsed && ran {
            self.lapsed = self.next_end - 1;
        }
    }

    /// Ends a run.
    pub fn end(&mut self, task: TaskKey, how: EndKind) {
        let Some(run) = self.runs.remove(&task) else {
            return;
        };
        let over = self.over.entry(task).or_default();
        *over = (*over).max(run.run);
        self.ends.push(EndReport {
            number: self.next_end,
            task,
            run: run.run,
            how,
            saved: String::new(),
        });
        self.next_end += 1;
        self.news.push(WorkerEvent::Ended(task, run.run, how));
    }

    /// Lets a gang's member begin its work.
    pub fn begin_work(&mut self, task: TaskKey, now_ms: u64, work: (u64, EndKind)) {
        let clock = self.clock_at(now_ms);
        if let Some(run) = self.runs.get_mut(&task) {
            run.ends = Some((clock + work.0, work.1));
        }
    }

    /// Runs that it has.
    pub fn runs(&self) -> &BTreeMap<TaskKey, SiteRun> {
        &self.runs
    }

    /// Runs of a step that it has.
    pub fn held_of(&self, step: StepKey) -> usize {
        self.runs.keys().filter(|task| task.step == step).count()
    }

    /// Room in use.
    pub fn used(&self) -> TaskSize {
        let rooms = self.runs.values().map(|run| run.room);
        rooms.fold(TaskSize::default(), |sum, room| sum.plus(&room))
    }

    /// Takes what happened since the last time.
    pub fn take_events(&mut self) -> Vec<WorkerEvent> {
        std::mem::take(&mut self.news)
    }

    /// Time on the caller's clock at which its hold is over, in milliseconds.
    pub fn lease_expiry_ms(&self) -> u64 {
        self.time_of(self.until)
    }

    /// Whether an end waits for an answer to a look.
    pub fn has_ends(&self) -> bool {
        !self.ends.is_empty()
    }
}
