//! What a partition's owner knows about a worker.

use std::time::Duration;

use crate::contract::WorkerClockReading;
use crate::ids::{CellTime, Incarnation};
use crate::link::{FenceToken, TaskOutcome};
use crate::machine::{ListState, TaskSize, WorkerDetail};
use crate::owner::CellTimings;

/// Least number of failures, decayed by age, at which a worker may be quarantined.
const MIN_FAILURES: f64 = 4.0;
/// Least share of failures among its outcomes at which a worker may be quarantined.
const MIN_FAILURE_SHARE: f64 = 0.8;
/// Factor by which a worker's share of failures must exceed that of the partition's other workers.
const PEER_FACTOR: f64 = 2.0;
/// Time after which an outcome counts half.
const HALF_LIFE: Duration = Duration::from_secs(60);
/// Most doublings of the quarantine time.
const MAX_DOUBLINGS: u32 = 5;

/// Numbers of outcomes on a worker, decayed by age.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OutcomeRecord {
    failed: f64,
    succeeded: f64,
    decayed_at: CellTime,
}

impl OutcomeRecord {
    fn decay(&mut self, now: CellTime) {
        let age = now.saturating_sub(self.decayed_at).as_secs_f64();
        let factor = 0.5_f64.powf(age / HALF_LIFE.as_secs_f64());
        self.failed *= factor;
        self.succeeded *= factor;
        self.decayed_at = now;
    }

    fn share(&self) -> f64 {
        let all = self.failed + self.succeeded;
        if all < 1.0 {
            0.0
        } else {
            self.failed / all
        }
    }
}

/// Whether a worker accepts new tasks, given its recent failures.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum TrustState {
    /// Accepts tasks up to its capacity.
    Trusted,
    /// Accepts no tasks until a time.
    Quarantined { until: CellTime, quarantines: u32 },
    /// Accepts up to `task_limit` tasks at once; each success doubles the limit.
    Probing { task_limit: u32, quarantines: u32 },
}

/// Task limit at which a worker that is being probed is trusted again.
const TRUSTED_TASK_LIMIT: u32 = 8;

/// An exchange that has no answer yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenExchange {
    pub(super) token: FenceToken,
    pub(super) sent_at: CellTime,
}

/// What a partition's owner knows about a worker.
#[derive(Clone, Debug)]
pub(super) struct WorkerState {
    pub(super) detail: WorkerDetail,
    pub(super) listed: Option<ListState>,
    pub(super) drained: bool,
    /// Whether the owners of its services were last sent that it is leaving.
    pub(super) reported_leaving: bool,
    pub(super) in_roster: bool,
    pub(super) incarnation: Option<Incarnation>,
    pub(super) lease: Option<WorkerClockReading>,
    /// Whether the worker has answered under this owner's epoch, and so refuses older tokens.
    pub(super) fenced: bool,
    /// Whether its leases are known to have expired, and with them all tasks on it.
    pub(super) declared_lost: bool,
    pub(super) sequence: u64,
    pub(super) open: Option<OpenExchange>,
    pub(super) next_exchange: CellTime,
    pub(super) reserved: TaskSize,
    pub(super) tasks: u32,
    pub(super) trust: TrustState,
    pub(super) outcomes: OutcomeRecord,
}

impl WorkerState {
    pub(super) fn new(detail: WorkerDetail, now: CellTime) -> Self {
        Self {
            detail,
            listed: None,
            drained: false,
            reported_leaving: false,
            in_roster: false,
            incarnation: None,
            lease: None,
            fenced: false,
            declared_lost: false,
            sequence: 0,
            open: None,
            next_exchange: now,
            reserved: TaskSize::default(),
            tasks: 0,
            trust: TrustState::Trusted,
            outcomes: OutcomeRecord::default(),
        }
    }

    /// Returns the capacity that is not reserved.
    pub(super) fn free(&self) -> TaskSize {
        self.detail.size.minus(self.reserved)
    }

    /// Returns whether the worker is drained or not listed as live, so that its services must move.
    pub(super) fn is_leaving(&self) -> bool {
        self.drained || self.listed != Some(ListState::Live)
    }

    /// Returns whether the worker may be given another task.
    pub(super) fn accepts_tasks(&self) -> bool {
        let trusted = match self.trust {
            TrustState::Trusted => true,
            TrustState::Quarantined { .. } => false,
            TrustState::Probing { task_limit, .. } => self.tasks < task_limit,
        };
        self.fenced && !self.declared_lost && self.in_roster && trusted && !self.is_leaving()
    }

    /// Returns the state's name used in command output.
    pub(super) fn state_name(&self) -> &'static str {
        if self.declared_lost {
            "unreachable"
        } else if !self.fenced {
            "unfenced"
        } else if self.is_leaving() {
            "draining"
        } else if self.trust != TrustState::Trusted {
            "quarantined"
        } else {
            "ready"
        }
    }

    /// Returns the token for the next exchange.
    pub(super) fn next_token(&mut self, epoch: u64) -> FenceToken {
        self.sequence += 1;
        FenceToken {
            epoch,
            sequence: self.sequence,
        }
    }

    /// Returns whether the last clock reading is recent enough to grant leases from.
    pub(super) fn can_renew(&self, now: CellTime, timings: &CellTimings) -> bool {
        self.lease
            .is_some_and(|lease| now.saturating_sub(lease.received) < timings.worker_lease / 2)
    }

    /// Counts an outcome, and updates the probing state of the worker.
    pub(super) fn count_outcome(&mut self, now: CellTime, outcome: TaskOutcome) {
        self.outcomes.decay(now);
        match outcome {
            TaskOutcome::Succeeded => {
                self.outcomes.succeeded += 1.0;
                self.raise_probe_limit();
            }
            TaskOutcome::Failed => {
                self.outcomes.failed += 1.0;
                if let TrustState::Probing { quarantines, .. } = self.trust {
                    self.trust = TrustState::Quarantined {
                        until: now,
                        quarantines,
                    };
                }
            }
            _ => {}
        }
    }

    fn raise_probe_limit(&mut self) {
        if let TrustState::Probing {
            task_limit,
            quarantines,
        } = self.trust
        {
            self.trust = if task_limit * 2 >= TRUSTED_TASK_LIMIT {
                TrustState::Trusted
            } else {
                TrustState::Probing {
                    task_limit: task_limit * 2,
                    quarantines,
                }
            };
        }
    }

    /// Returns the share of failures among the outcomes.
    pub(super) fn failure_share(&self) -> f64 {
        self.outcomes.share()
    }

    /// Starts or ends the worker's quarantine.
    ///
    /// `peer_share` is the mean share of failures of the partition's other
    /// workers. A quarantine that has ended starts again if a task failed since it
    /// began, for twice as long up to `MAX_DOUBLINGS` times; otherwise the worker is
    /// probed with one task.
    pub(super) fn update_quarantine(
        &mut self,
        now: CellTime,
        peer_share: f64,
        first_quarantine: Duration,
    ) {
        match self.trust {
            TrustState::Trusted => {
                let fails_all = self.outcomes.failed >= MIN_FAILURES
                    && self.failure_share() >= MIN_FAILURE_SHARE
                    && self.failure_share() >= peer_share * PEER_FACTOR;
                if fails_all {
                    self.trust = TrustState::Quarantined {
                        until: now + first_quarantine,
                        quarantines: 1,
                    };
                    self.outcomes = OutcomeRecord::default();
                }
            }
            TrustState::Quarantined { until, quarantines } if until <= now => {
                let again = self.outcomes.failed > 0.0;
                self.outcomes = OutcomeRecord::default();
                self.trust = if again {
                    TrustState::Quarantined {
                        until: now + first_quarantine * 2_u32.pow(quarantines.min(MAX_DOUBLINGS)),
                        quarantines: quarantines + 1,
                    }
                } else {
                    TrustState::Probing {
                        task_limit: 1,
                        quarantines,
                    }
                };
            }
            _ => {}
        }
    }
}
