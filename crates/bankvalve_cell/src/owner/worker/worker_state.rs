//! A worker as its partition's owner sees it.

use std::time::Duration;

use crate::contract::WorkerLease;
use crate::ids::{CellTime, Incarnation};
use crate::link::{FenceToken, TaskOutcome};
use crate::machine::{ListState, TaskSize, WorkerDetail};
use crate::owner::CellTimings;

/// Failures after which a worker may be quarantined.
const FAILURE_FLOOR: f64 = 4.0;
/// Share of failures from which a worker may be quarantined.
const FAILURE_SHARE: f64 = 0.8;
/// Factor by which a worker must fail more often than its peers.
const PEER_FACTOR: f64 = 2.0;
/// Time in which old outcomes come to count half.
const HALF_LIFE: Duration = Duration::from_secs(60);
/// Times that the quarantine doubles at most.
const DOUBLINGS: u32 = 5;

/// Outcomes seen on a worker, the older ones counting less.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OutcomeRecord {
    failed: f64,
    succeeded: f64,
    weighed_at: CellTime,
}

impl OutcomeRecord {
    fn weigh(&mut self, now: CellTime) {
        let age = now.saturating_sub(self.weighed_at).as_secs_f64();
        let factor = 0.5_f64.powf(age / HALF_LIFE.as_secs_f64());
        self.failed *= factor;
        self.succeeded *= factor;
        self.weighed_at = now;
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

/// How a worker that failed everything is let back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum TrustState {
    /// Takes work up to its room.
    Trusted,
    /// Takes no work until then.
    Quarantined { until: CellTime, times: u32 },
    /// Takes at most so many tasks at once; each success doubles it.
    Probing { allowed: u32, times: u32 },
}

/// Tasks at once at which a worker on probation is trusted again.
const TRUSTED_AT: u32 = 8;

/// An exchange that has not been answered.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenExchange {
    pub(super) token: FenceToken,
    pub(super) sent_at: CellTime,
}

/// A worker as its partition's owner sees it.
#[derive(Clone, Debug)]
pub(super) struct WorkerState {
    pub(super) detail: WorkerDetail,
    pub(super) listed: Option<ListState>,
    pub(super) drained: bool,
    /// Whether the tasks' owners were last told that it is to be emptied.
    pub(super) reported_leaving: bool,
    pub(super) in_roster: bool,
    pub(super) incarnation: Option<Incarnation>,
    pub(super) lease: Option<WorkerLease>,
    /// Whether the worker answered under this owner's epoch, so that nothing older can reach it.
    pub(super) fenced: bool,
    /// Whether its leases are surely over, so that it holds nothing.
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

    /// Free room by reservation.
    pub(super) fn free(&self) -> TaskSize {
        self.detail.size.minus(self.reserved)
    }

    /// Tells whether it is to be emptied.
    pub(super) fn is_leaving(&self) -> bool {
        self.drained || self.listed != Some(ListState::Live)
    }

    /// Tells whether it answers and may be given new tasks.
    pub(super) fn accepts_tasks(&self) -> bool {
        let trusted = match self.trust {
            TrustState::Trusted => true,
            TrustState::Quarantined { .. } => false,
            TrustState::Probing { allowed, .. } => self.tasks < allowed,
        };
        self.fenced && !self.declared_lost && self.in_roster && trusted && !self.is_leaving()
    }

    /// State as shown to people.
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

    /// Takes the next token.
    pub(super) fn next_token(&mut self, epoch: u64) -> FenceToken {
        self.sequence += 1;
        FenceToken {
            epoch,
            sequence: self.sequence,
        }
    }

    /// Tells whether the lease reading is fresh enough to renew from.
    pub(super) fn can_renew(&self, now: CellTime, timings: &CellTimings) -> bool {
        self.lease
            .is_some_and(|lease| now.saturating_sub(lease.received) < timings.worker_lease / 2)
    }

    /// Counts an outcome.
    pub(super) fn count_outcome(&mut self, now: CellTime, outcome: TaskOutcome) {
        self.outcomes.weigh(now);
        match outcome {
            TaskOutcome::Succeeded => {
                self.outcomes.succeeded += 1.0;
                self.widen();
            }
            TaskOutcome::Failed => {
                self.outcomes.failed += 1.0;
                if let TrustState::Probing { times, .. } = self.trust {
                    self.trust = TrustState::Quarantined { until: now, times };
                }
            }
            _ => {}
        }
    }

    fn widen(&mut self) {
        if let TrustState::Probing { allowed, times } = self.trust {
            self.trust = if allowed * 2 >= TRUSTED_AT {
                TrustState::Trusted
            } else {
                TrustState::Probing {
                    allowed: allowed * 2,
                    times,
                }
            };
        }
    }

    /// Share of failures among the outcomes seen.
    pub(super) fn failure_share(&self) -> f64 {
        self.outcomes.share()
    }

    /// Quarantines or lets back the worker, given the share of failures of its peers.
    pub(super) fn update_quarantine(&mut self, now: CellTime, peer_share: f64, first: Duration) {
        match self.trust {
            TrustState::Trusted => {
                let fails_all = self.outcomes.failed >= FAILURE_FLOOR
                    && self.failure_share() >= FAILURE_SHARE
                    && self.failure_share() >= peer_share * PEER_FACTOR;
                if fails_all {
                    self.trust = TrustState::Quarantined {
                        until: now + first,
                        times: 1,
                    };
                    self.outcomes = OutcomeRecord::default();
                }
            }
            TrustState::Quarantined { until, times } if until <= now => {
                let again = self.outcomes.failed > 0.0;
                self.outcomes = OutcomeRecord::default();
                self.trust = if again {
                    TrustState::Quarantined {
                        until: now + first * 2_u32.pow(times.min(DOUBLINGS)),
                        times: times + 1,
                    }
                } else {
                    TrustState::Probing { allowed: 1, times }
                };
            }
            _ => {}
        }
    }
}
