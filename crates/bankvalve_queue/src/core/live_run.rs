//! A run that is on a worker or about to be ordered there, as known to the leader.

use std::time::Duration;

use super::forecast::overdue_runs::RunProgress;
use crate::customer::CustomerName;
use crate::ids::{CoreTime, RunId};
use crate::job::{StepSpec, TaskSize};
use crate::ledger::{CrashEvidence, EndKind};

/// Age from which a run is not suspected of having ended its worker, if a newer run is there.
const SETTLED_AGE: Duration = Duration::from_millis(1_500);

/// Phase of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RunPhase {
    /// Found in the ledger after this leader began. The worker's run lists will show whether it exists.
    Adopted,
    /// The start is being committed; no order was sent yet.
    Proposed,
    /// An order was sent.
    Ordered,
    /// The worker has confirmed it.
    Running { since: CoreTime },
    /// A stop was sent; `confirmed` is when the worker confirmed it.
    Stopping { confirmed: Option<CoreTime> },
}

impl RunPhase {
    /// Returns the word for logs.
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

/// How a run affects other runs on its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunLoad {
    Plain,
    /// Serves users of its own, with a latency target.
    LatencySensitive,
    /// Uses only leftover CPU, and slows down runs with a latency target.
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

    /// Returns whether two loads must not share a worker.
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
    /// Resources that count against the customer's limit. Unlike `resources`, they include the CPU of a
    /// best-effort task, and never the entire worker of an isolated task.
    pub(super) size: TaskSize,
    pub(super) customer: Option<CustomerName>,
    pub(super) phase: RunPhase,
    /// When the worker answered the start order. Without such an answer, when the run was proposed or found.
    pub(super) began: CoreTime,
    /// Estimated run time.
    pub(super) estimate: Duration,
    /// Slowness of its worker when it was added there: a logarithm, 0 for a usual worker.
    pub(super) slowness: f64,
    /// Copies of the order that had no answer and may still be executed.
    pub(super) copies: u32,
    /// When the first of the start orders was sent that have had no answer while the worker answers polls.
    pub(super) unanswered_since: Option<CoreTime>,
    /// Whether an order for it is in flight.
    pub(super) busy: bool,
    /// When the next order may be sent.
    pub(super) next_at: CoreTime,
    /// Number of start orders that were sent.
    pub(super) tries: u32,
    /// Saved progress that the worker last reported.
    pub(super) saved: String,
    /// Whether the start time is known, so that the run time can be measured.
    pub(super) measured: bool,
    pub(super) permit: Option<String>,
    /// Priority of its queue; 0 is the highest.
    pub(super) priority: u32,
    /// Whether its queue has the highest priority.
    pub(super) urgent: bool,
    /// Whether it saves its progress when it is stopped.
    pub(super) saves: bool,
    /// Whether it runs until its job is cancelled.
    pub(super) lasting: bool,
    /// Whether it is long-running or part of a gang, so that it is not stopped to run elsewhere.
    pub(super) must_not_move: bool,
    /// Its progress, once the worker has reported it.
    pub(super) progress: Option<RunProgress>,
    /// When this leader sent the first order.
    pub(super) ordered_at: Option<CoreTime>,
    /// Whether the worker has answered an order for it.
    pub(super) answered: bool,
    /// When the worker last reported it as running.
    pub(super) listed_at: Option<CoreTime>,
    /// When the first of the latest run lists arrived that prove that the worker does not have the run. How
    /// it ended may be among ends that the worker has not reported yet.
    pub(super) unlisted_since: Option<CoreTime>,
    /// Evidence about the worker's end, once proposed to the ledger.
    pub(super) crash: Option<CrashEvidence>,
    /// How it ended with an earlier process of its worker, in case the current process does not have
    /// it.
    pub(super) ended_as: Option<EndKind>,
    /// Whether it runs isolated because workers ended while they ran its task. Its resources are then the
    /// entire worker.
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
            slowness: 0.0,
            copies: 0,
            unanswered_since: None,
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
            unlisted_since: None,
            crash: None,
            ended_as: None,
            on_trial: false,
        }
    }

    /// Returns whether a copy of its order may still arrive. For a run that is being stopped this is
    /// always assumed, because it is not recorded whether the start was answered.
    pub(super) fn may_arrive_late(&self) -> bool {
        match self.phase {
            RunPhase::Proposed | RunPhase::Adopted => false,
            RunPhase::Ordered => self.busy || self.copies > 0,
            RunPhase::Running { .. } => self.copies > 0,
            RunPhase::Stopping { .. } => true,
        }
    }

    /// Returns the run, to be stopped in the next process of its worker. `ended_as` is how it ended
    /// with the current process.
    pub(super) fn stopped_after(self, ended_as: EndKind, now: CoreTime) -> Self {
        Self {
            phase: RunPhase::Stopping { confirmed: None },
            busy: false,
            next_at: now,
            ..self.with_end_if_unlisted(ended_as)
        }
    }

    /// Returns the run with `ended_as`, which applies if the next process of its worker does not report
    /// the run.
    pub(super) fn with_end_if_unlisted(self, ended_as: EndKind) -> Self {
        Self {
            ended_as: Some(ended_as),
            ..self
        }
    }

    /// Returns the latest time at which the run is known not to have ended: it was listed as running, or its
    /// order had not been sent.
    pub(super) fn not_ended_at(&self) -> Option<CoreTime> {
        self.listed_at.max(self.ordered_at)
    }

    /// Returns whether run lists that lack the run, requested at `sent_at`, prove that the worker does not
    /// have it.
    pub(super) fn is_gone_if_unlisted(&self, sent_at: CoreTime) -> bool {
        match self.phase {
            RunPhase::Adopted => true,
            // The call was confirmed before the lists were requested, so the lists are newer.
            RunPhase::Running { since: at }
            | RunPhase::Stopping {
                confirmed: Some(at),
            } => at < sent_at,
            _ => false,
        }
    }

    /// Returns whether the worker has confirmed its stop but neither its start nor its end. No end may follow that
    /// answers a long poll.
    pub(super) fn awaits_absence(&self) -> bool {
        let is_stopped = matches!(self.phase, RunPhase::Stopping { confirmed: Some(_) });
        is_stopped && !self.is_confirmed()
    }

    /// Returns whether its start was confirmed at `at` or later.
    pub(super) fn is_running_since(&self, at: CoreTime) -> bool {
        matches!(self.phase, RunPhase::Running { since } if since >= at)
    }

    /// Returns how long the run is known to have been running, by the worker's reports to this leader.
    pub(super) fn known_run_time(&self) -> Duration {
        match (&self.phase, self.listed_at) {
            (RunPhase::Running { since }, Some(at)) => at.saturating_sub(*since),
            (RunPhase::Stopping { .. }, Some(at)) => at.saturating_sub(self.began),
            _ => Duration::ZERO,
        }
    }

    /// Returns whether it started so recently that it may be the cause of its worker's end. For a run
    /// found in the ledger, its age counts from when this leader began.
    pub(super) fn is_new(&self, at: CoreTime) -> bool {
        at < self.settles_at()
    }

    /// Returns the time from which it is not new.
    pub(super) fn settles_at(&self) -> CoreTime {
        self.began + SETTLED_AGE
    }

    /// Returns whether the worker has answered its order or reported it.
    pub(super) fn is_confirmed(&self) -> bool {
        self.answered || self.listed_at.is_some()
    }

    /// Returns whether an order that may have arrived was sent. An order that the worker's port refused
    /// has not arrived.
    pub(super) fn may_have_started(&self) -> bool {
        match self.phase {
            RunPhase::Proposed => false,
            RunPhase::Ordered => self.busy || self.copies > 0,
            _ => true,
        }
    }

    /// Returns whether an unresponsive worker may still report success. A long-running task never
    /// succeeds. An order without an answer, for a run that was never reported, may not have arrived.
    pub(super) fn may_report_success(&self) -> bool {
        let seen = self.phase != RunPhase::Ordered || self.listed_at.is_some();
        !self.lasting && seen
    }

    /// Returns a summary for the log: the phase, and how long the run was reported as running.
    pub(super) fn summary(&self, now: CoreTime) -> String {
        let age = now.saturating_sub(self.began);
        match self.listed_at {
            Some(at) => {
                let seen = at.saturating_sub(self.began);
                format!(
                    "{}, reported as running for {seen:?} of {age:?}",
                    self.phase.as_str()
                )
            }
            None => format!("{}, never reported in {age:?}", self.phase.as_str()),
        }
    }

    /// Returns whether it saves its progress and may be stopped by itself for a step of a priority.
    pub(super) fn may_be_stopped_for(&self, priority: u32) -> bool {
        let is_running = matches!(self.phase, RunPhase::Running { .. });
        self.saves && !self.must_not_move && self.priority > priority && is_running
    }

    /// Sets the priority of its queue.
    pub(super) fn set_priority(&mut self, priority: u32) {
        self.priority = priority;
        self.urgent = priority == 0;
    }
}
