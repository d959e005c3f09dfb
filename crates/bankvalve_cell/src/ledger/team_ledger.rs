//! State of a team partition, built by applying the ledger's events in order.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::{JobPhase, JobState, LedgerEvent, TaskPhase};
use crate::ids::{JobId, TeamName};
use crate::link::{TaskId, TaskKey};
use crate::machine::TaskSize;

/// Maximum number of finished jobs that are kept to answer requests about them.
const MAX_CLOSED_JOBS: usize = 1_000;

/// Jobs of a team partition, as the committed events describe them.
///
/// # Examples
///
/// ```
/// use bankvalve_cell::contract::JobSpec;
/// use bankvalve_cell::ledger::{LedgerEvent, TeamLedger};
///
/// let spec: JobSpec = serde_json::from_str(
///     r#"{"id": "credits", "team": "billing", "kind": {"batch": {"tasks": 2}},
///         "size": {"millicores": 500, "memory_mib": 256}}"#,
/// ).unwrap();
/// let mut ledger = TeamLedger::default();
/// ledger.apply(&LedgerEvent::Submitted { spec: Box::new(spec), at: 1_000 });
/// assert_eq!(ledger.job("billing", "credits").unwrap().tasks.len(), 2);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamLedger {
    teams: BTreeMap<TeamName, BTreeMap<JobId, JobState>>,
    usage: BTreeMap<TeamName, TaskSize>,
    closed: VecDeque<(TeamName, JobId)>,
    accepted: u64,
}

impl TeamLedger {
    /// Returns a job by team and id.
    pub fn job(&self, team: &str, job: &str) -> Option<&JobState> {
        self.teams.get(team)?.get(job)
    }

    /// Returns the tasks of a job, or an empty list if the job is not known.
    pub fn task_ids(&self, team: &str, job: &str) -> Vec<TaskId> {
        let state = self.job(team, job);
        let tasks = state.into_iter().flat_map(|state| state.spec.tasks());
        tasks
            .map(|task| TaskId {
                team: team.to_owned(),
                job: job.to_owned(),
                task,
            })
            .collect()
    }

    /// Returns all jobs of a team.
    pub fn jobs_of(&self, team: &str) -> impl Iterator<Item = &JobState> {
        self.teams.get(team).into_iter().flat_map(BTreeMap::values)
    }

    /// Returns all jobs.
    pub fn jobs(&self) -> impl Iterator<Item = &JobState> {
        self.teams.values().flat_map(BTreeMap::values)
    }

    /// Returns the resources reserved for the active attempts of a team.
    pub fn usage_of(&self, team: &str) -> TaskSize {
        self.usage.get(team).copied().unwrap_or_default()
    }

    /// Returns the number of jobs accepted since the partition was created.
    pub fn accepted(&self) -> u64 {
        self.accepted
    }

    /// Returns whether the attempt is the task's latest and may be running.
    pub fn is_active(&self, key: &TaskKey) -> bool {
        self.job(&key.team, &key.job)
            .and_then(|job| job.tasks.get(key.task as usize))
            .is_some_and(|task| task.attempt == key.attempt && task.is_active())
    }

    /// Applies an event.
    ///
    /// Ignores a submission whose job id is already known, an event about an unknown job, and a start,
    /// release or end of an attempt that is not active.
    pub fn apply(&mut self, event: &LedgerEvent) {
        match event {
            LedgerEvent::OwnerTook { .. } => {}
            LedgerEvent::Submitted { spec, at } => {
                let jobs = self.teams.entry(spec.team.clone()).or_default();
                if !jobs.contains_key(&spec.id) {
                    self.accepted += 1;
                    let state = JobState::new((**spec).clone(), self.accepted, *at);
                    jobs.insert(spec.id.clone(), state);
                }
            }
            LedgerEvent::Cancelled { team, job, .. } => {
                self.update_job(team, job, JobState::apply_cancel);
            }
            LedgerEvent::GangCommitted { team, job, .. } => {
                self.update_job(team, job, |state| state.gang_committed = true);
            }
            LedgerEvent::Intended {
                key,
                partition,
                epoch,
                ..
            } => self.update_job(&key.team, &key.job, |state| {
                state.gang_committed = false;
                let task = &mut state.tasks[key.task as usize];
                task.attempt = key.attempt;
                task.worker = None;
                task.domain = None;
                task.rack = None;
                task.phase = TaskPhase::Assigned {
                    partition: *partition,
                    epoch: *epoch,
                };
            }),
            LedgerEvent::Started {
                key,
                worker,
                domain,
                rack,
                at,
            } if self.is_active(key) => self.update_job(&key.team, &key.job, |state| {
                let task = &mut state.tasks[key.task as usize];
                task.worker = Some(worker.clone());
                task.domain = Some(domain.clone());
                task.rack = Some(rack.clone());
                task.first_started_at.get_or_insert(*at);
                if let Some((partition, epoch)) = task.placed_in() {
                    task.phase = TaskPhase::Running { partition, epoch };
                }
            }),
            LedgerEvent::Released { key, reason, .. } if self.is_active(key) => {
                self.update_job(&key.team, &key.job, |state| {
                    state.apply_release(key.task, *reason);
                });
            }
            LedgerEvent::Ended {
                key,
                worker,
                outcome,
                ran_ms,
                peak,
                ..
            } if self.is_active(key) => self.update_job(&key.team, &key.job, |state| {
                state.tasks[key.task as usize].worker = Some(worker.clone());
                state.apply_end(key.task, *outcome, *ran_ms, *peak);
            }),
            _ => {}
        }
    }

    fn update_job(&mut self, team: &str, job: &str, edit: impl FnOnce(&mut JobState)) {
        let Some(state) = self.teams.get_mut(team).and_then(|jobs| jobs.get_mut(job)) else {
            return;
        };
        let before = reserved_size(state);
        let was_active = state.phase() == JobPhase::Active;
        edit(state);
        let after = reserved_size(state);
        let closes = was_active && state.phase() != JobPhase::Active;
        let usage = self.usage.entry(team.to_owned()).or_default();
        *usage = usage.plus(after).minus(before);
        if closes {
            self.close(team, job);
        }
    }

    fn close(&mut self, team: &str, job: &str) {
        self.closed.push_back((team.to_owned(), job.to_owned()));
        if self.closed.len() <= MAX_CLOSED_JOBS {
            return;
        }
        let Some((team, job)) = self.closed.pop_front() else {
            return;
        };
        if let Some(jobs) = self.teams.get_mut(&team) {
            jobs.remove(&job);
        }
    }
}

fn reserved_size(state: &JobState) -> TaskSize {
    let active = state.tasks.iter().filter(|task| task.is_active()).count();
    state.reserve.times(active as u32)
}
