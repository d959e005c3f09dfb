//! A run that a worker has, or is about to have, as its leader sees it.

use std::time::Duration;

use super::overdue_runs::RunProgress;
use crate::customer::CustomerName;
use crate::ids::{CoreTime, RunId};
use crate::job::{StepSpec, TaskSize};
use crate::ledger::{CrashEvidence, EndKind};

/// Age of a run from which on its worker's end is not its doing, if another there is newer.
const SETTLED_LIFE: Duration = Duration::from_millis(1_500);

/// Where a run stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RunPhase {
    /// It was found in the ledger; the worker's lists will tell.
    Adopted,
    /// It is being kept; nothing was sent yet.
    Proposed,
    /// An order was sent.
    Ordered,
    /// The worker has it.
    Running { since: CoreTime },
    /// A stop was sent, and confirmed at a time.
    Stopping { confirmed: Option<CoreTime> },
}

impl RunPhase {
    /// Word for logs.
    fn as_str(&self) -> &'static str {
        match self {
            RunPhase::Adopted => "adopted",
            RunPhase::Proposed => "proposed",
            RunPhase::Ordered => "ordered",
            RunPhase::Running { .. } => "running",
            RunPhase::Stopping { .. } => "stopping",
        }
    }
}

/// What a run does to others on its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunLoad {
    Plain,
    /// It serves users of its own, whose waits must stay short.
    LatencySensitive,
    /// It uses what others leave, and disturbs those that serve.
    BestEffort,
}

impl RunLoad {
    pub(super) fn of(spec: &StepSpec) -> Self {
        if spec.fills {
            RunLoad::BestEffort
        } else if spec.latency_target_ms > 0 {
            RunLoad::LatencySensitive
        } else {
            RunLoad::Plain
        }
    }

    /// Tells whether two loads must not meet on one worker.
    pub(super) fn conflicts_with(self, other: RunLoad) -> bool {
        matches!(
            (self, other),
            (RunLoad::LatencySensitive, RunLoad::BestEffort)
                | (RunLoad::BestEffort, RunLoad::LatencySensitive)
        )
    }
}

/// A run on a worker.
#[derive(Clone, Debug)]
pub(super) struct LiveRun {
    pub(super) run: RunId,
    pub(super) load: RunLoad,
    pub(super) resources: TaskSize,
    /// What counts against its customer's limit: also the processor of a task that fills, and no
    /// more of a task that has its worker to itself.
    pub(super) size: TaskSize,
    pub(super) customer: Option<CustomerName>,
    pub(super) phase: RunPhase,
    pub(super) began: CoreTime,
    pub(super) estimate: Duration,
    /// Copies of the order that have no answer and may be carried out late.
    pub(super) copies: u32,
    pub(super) busy: bool,
    pub(super) next_at: CoreTime,
    pub(super) tries: u32,
    pub(super) saved: String,
    /// Whether its begin is known, so that its time can be measured.
    pub(super) measured: bool,
    pub(super) permit: Option<String>,
    /// Priority of its queue; 0 comes first.
    pub(super) priority: u32,
    /// Whether its job is of a queue that comes first.
    pub(super) urgent: bool,
    /// Whether a stop saves its progress.
    pub(super) saves: bool,
    /// Whether it runs until its job is cancelled.
    pub(super) lasting: bool,
    /// Whether it lasts or works with others, so that it is not stopped to end sooner.
    pub(super) must_not_move: bool,
    /// How far it has come, once a list has told.
    pub(super) progress: Option<RunProgress>,
    /// When the first order was sent by this leader.
    pub(super) ordered_at: Option<CoreTime>,
    /// Whether the worker has answered an order for it.
    pub(super) answered: bool,
    /// When a list last told that it runs.
    pub(super) listed_at: Option<CoreTime>,
    /// What was seen of its worker's end, once that is kept.
    pub(super) crash: Option<CrashEvidence>,
    /// How it ended with an earlier process of its worker, if the present one does not have it.
    pub(super) ended_as: Option<EndKind>,
    /// Whether workers ended under its task, so that it has its worker to itself; its room is the
    /// whole worker then.
    pub(super) on_trial: bool,
}

impl LiveRun {
    pub(super) fn new(run: RunId, spec: &StepSpec, phase: RunPhase, now: CoreTime) -> Self {
        Self {
            run,
            load: RunLoad::of(spec),
            resources: spec.resources(),
            size: spec.size,
            customer: None,
            phase,
            began: now,
            estimate: Duration::from_millis(spec.estimate_ms),
            copies: 0,
            busy: false,
            next_at: now,
            tries: 0,
            saved: String::new(),
            measured: false,
            permit: None,
            priority: u32::MAX,
            urgent: false,
            saves: spec.checkpoints,
            lasting: spec.lasting,
            must_not_move: spec.gang || spec.lasting,
            progress: None,
            ordered_at: None,
            answered: false,
            listed_at: None,
            crash: None,
            ended_as: None,
            on_trial: false,
        }
    }

    /// Tells whether a copy of its order may be on its way. Of one that is being stopped it is not known
    /// whether its start had an answer.
    pub(super) fn may_arrive_late(&self) -> bool {
        match self.phase {
            RunPhase::Proposed | RunPhase::Adopted => false,
            RunPhase::Ordered => self.busy || self.copies > 0,
            RunPhase::Running { .. } => self.copies > 0,
            RunPhase::Stopping { .. } => true,
        }
    }

    /// The run, to be stopped in the next process of its worker; `ended_as` is how it ended with this one.
    pub(super) fn stopped_after(self, ended_as: EndKind, now: CoreTime) -> Self {
        Self {
            phase: RunPhase::Stopping { confirmed: None },
            busy: false,
            next_at: now,
            ..self.with_end_if_unlisted(ended_as)
        }
    }

    /// The run, with how it ended if the next process of its worker does not list it.
    pub(super) fn with_end_if_unlisted(self, ended_as: EndKind) -> Self {
        Self {
            ended_as: Some(ended_as),
            ..self
        }
    }

    /// Tells whether its begin was confirmed at a time or later.
    pub(super) fn is_running_since(&self, at: CoreTime) -> bool {
        matches!(self.phase, RunPhase::Running { since } if since >= at)
    }

    /// Time for which it has surely run, as far as this leader was told.
    pub(super) fn known_run_time(&self) -> Duration {
        match (&self.phase, self.listed_at) {
            (RunPhase::Running { since }, Some(at)) => at.saturating_sub(*since),
            (RunPhase::Stopping { .. }, Some(at)) => at.saturating_sub(self.began),
            _ => Duration::ZERO,
        }
    }

    /// Whether it began so lately that it may be what ends its worker; of a run that was found in the
    /// ledger, as far as is known.
    pub(super) fn is_new(&self, at: CoreTime) -> bool {
        at.saturating_sub(self.began) < SETTLED_LIFE
    }

    /// Whether the worker has answered its order, or listed it.
    pub(super) fn is_confirmed(&self) -> bool {
        self.answered || self.listed_at.is_some()
    }

    /// Whether an order that may have arrived was sent: one that its worker's port refused has not.
    pub(super) fn may_have_started(&self) -> bool {
        match self.phase {
            RunPhase::Proposed => false,
            RunPhase::Ordered => self.busy || self.copies > 0,
            _ => true,
        }
    }

    /// Whether a silent worker's lists may still tell of a good end: what lasts has none, and an order
    /// without an answer, of a run that no list has named, may never have arrived.
    pub(super) fn may_report_success(&self) -> bool {
        let seen = self.phase != RunPhase::Ordered || self.listed_at.is_some();
        !self.lasting && seen
    }

    /// For the log: where it stood, and for how long it was surely seen to run.
    pub(super) fn summary(&self, now: CoreTime) -> String {
        let age = now.saturating_sub(self.began);
        match self.listed_at {
            Some(at) => {
                let seen = at.saturating_sub(self.began);
                format!("{}, listed {seen:?} of {age:?}", self.phase.as_str())
            }
            None => format!("{}, never listed in {age:?}", self.phase.as_str()),
        }
    }

    /// Sets the priority of its queue.
    pub(super) fn set_priority(&mut self, priority: u32) {
        self.priority = priority;
        self.urgent = priority == 0;
    }
}
