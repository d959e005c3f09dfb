//! Jobs that are checked as a whole: gangs, services on leaving workers, cancelled jobs.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;

use super::commit::Proposal;
use super::scheduling::{rules_of, spread_of};
use super::team_partition::{ReadyJob, TeamPartition, TeamView};
use crate::contract::JobKind;
use crate::ids::{JobId, PartitionIndex, TaskIndex, TeamName};
use crate::ledger::{JobPhase, JobState, LedgerEvent};
use crate::link::TaskId;
use crate::owner::{GuardName, OwnerContext};
use crate::placement::{PartitionChoice, PlacementRequirements};
use crate::refusal::{RefusalReason, RetryReason};

/// Time after which a gang may also be assigned to partitions without free capacity, and queues there.
const QUEUE_AFTER: Duration = Duration::from_secs(4);
/// Shortest random wait of a gang that did not reserve all its capacity in time.
const MIN_BACKOFF_MS: u64 = 300;
/// Exclusive upper bound of that wait.
const MAX_BACKOFF_MS: u64 = 2_500;

impl TeamPartition {
    /// Assigns all waiting tasks of a gang, or none; returns the number assigned.
    pub(super) fn assign_gang(
        &mut self,
        ready: &ReadyJob,
        view: &mut TeamView<'_>,
        ctx: &mut OwnerContext<'_>,
    ) -> usize {
        let job = self.ledger.job(&ready.team, &ready.job).expect("ready");
        let tasks: Vec<TaskId> = self.ready[ready]
            .iter()
            .map(|task| task_of(ready, *task))
            .collect();
        let all_assignable = tasks.iter().all(|id| job.is_assignable(id.task));
        let first = &tasks[0];
        let waits = self
            .waits
            .get(first)
            .is_some_and(|wait| wait.until > ctx.now);
        if !all_assignable || waits || tasks.iter().any(|id| self.uncommitted_tasks.contains(id)) {
            return 0;
        }
        match self.choose_for_gang(&tasks, ready, view, ctx) {
            Ok(()) => tasks.len(),
            Err(why) => {
                let first = first.clone();
                self.record_wait(&first, why, Duration::ZERO, ctx);
                0
            }
        }
    }

    fn choose_for_gang(
        &mut self,
        tasks: &[TaskId],
        ready: &ReadyJob,
        view: &mut TeamView<'_>,
        ctx: &mut OwnerContext<'_>,
    ) -> Result<(), RefusalReason> {
        let job = self.ledger.job(&ready.team, &ready.job).expect("ready");
        let need = job.reserve;
        let all = need.times(tasks.len() as u32);
        let quota = self.check_team_quota(&ready.team, all, ctx)?;
        let rules = rules_of(job, ctx);
        let spread = BTreeMap::new();
        let urgent = job.spec.urgent;
        let name = (ready.team.clone(), ready.job.clone());
        let since = *self.gang_since.entry(name).or_insert(ctx.now);
        let requirements = PlacementRequirements {
            need,
            rules: &rules,
            urgent,
            service: false,
            spread: &spread,
            may_queue: ctx.now > since + QUEUE_AFTER,
            excluded: None,
            gang_size: tasks.len() as u32,
        };
        let mut updated_cache = view.digest_cache.clone();
        let mut choices: Vec<PartitionChoice> = Vec::new();
        for _ in tasks {
            let reusable = choices
                .last()
                .filter(|last| updated_cache.has_capacity(last, need));
            let choice = match reusable {
                Some(choice) => choice.clone(),
                None => updated_cache
                    .choose(&requirements, &self.policy, &mut self.rng)
                    .ok_or(RefusalReason::NoRoom)?,
            };
            updated_cache.deduct(&choice, need);
            choices.push(choice);
        }
        *view.digest_cache = updated_cache;
        for (id, choice) in tasks.iter().zip(&choices) {
            self.propose_intent(id, choice, need, quota, ctx);
        }
        Ok(())
    }

    /// Checks the active jobs that are gangs, services or cancelled.
    pub(super) fn check_active_jobs(&mut self, ctx: &mut OwnerContext<'_>) {
        let names: Vec<(TeamName, JobId)> = self.jobs_to_check.iter().cloned().collect();
        for (team, job) in names {
            let Some(state) = self.ledger.job(&team, &job) else {
                self.jobs_to_check.remove(&(team, job));
                continue;
            };
            if state.phase() != JobPhase::Active {
                self.gang_since.remove(&(team.clone(), job.clone()));
                self.gang_reserving_in.remove(&(team.clone(), job.clone()));
                self.jobs_to_check.remove(&(team, job));
                continue;
            }
            let active = active_tasks(state);
            if state.cancelled || state.is_broken_gang() {
                self.withdraw_all(&active);
            } else if state.spec.is_gang() {
                self.check_gang(&team, &job, &active, ctx);
            } else {
                self.check_service(&team, &job, &active);
            }
        }
    }

    /// Commits a gang once all its tasks have reserved capacity; withdraws it if that takes too long.
    fn check_gang(&mut self, team: &str, job: &str, active: &[TaskId], ctx: &mut OwnerContext<'_>) {
        let state = self.ledger.job(team, job).expect("active");
        if active.is_empty() || state.gang_committed {
            return;
        }
        let running = |id: &TaskId| {
            let task = &state.tasks[id.task as usize];
            matches!(task.phase, crate::ledger::TaskPhase::Running { .. })
        };
        if active.iter().any(running) && ctx.guards.enforces(GuardName::GangCommit) {
            return;
        }
        let tracked_attempts = || active.iter().filter_map(|id| self.tracked_attempts.get(id));
        if tracked_attempts().any(|tracked| tracked.withdrawing) {
            return;
        }
        let unreserved = tracked_attempts().filter(|tracked| !tracked.held);
        let reserving_in = unreserved.map(|tracked| tracked.partition).min();
        let name = (team.to_owned(), job.to_owned());
        // All gangs reserve in partitions by ascending index, so no two of them can
        // each reserve the capacity that the other waits for.
        self.gang_reserving_in
            .insert(name, reserving_in.unwrap_or(PartitionIndex::MAX));
        if reserving_in.is_none() && !self.is_committing(team, job) {
            let event = LedgerEvent::GangCommitted {
                team: team.to_owned(),
                job: job.to_owned(),
                at: ctx.wall,
            };
            self.propose(Proposal::of(event));
            return;
        }
        let tracked_attempts = active.iter().filter_map(|id| self.tracked_attempts.get(id));
        let since = tracked_attempts
            .map(|tracked| tracked.since)
            .min()
            .unwrap_or(ctx.now);
        if ctx.now > since + ctx.timings.gang_reservation_timeout && !self.is_committing(team, job)
        {
            ctx.tally.retry(RetryReason::GangHoldLapsed);
            self.withdraw_all(active);
            let backoff = self.rng.random_range(MIN_BACKOFF_MS..MAX_BACKOFF_MS);
            let wait = Duration::from_millis(backoff);
            for id in active {
                self.record_wait(id, RefusalReason::NoRoom, wait, ctx);
            }
        }
    }

    fn is_committing(&self, team: &str, job: &str) -> bool {
        let commits_gang = |proposal: &Proposal| {
            matches!(&proposal.event, LedgerEvent::GangCommitted { team: t, job: j, .. }
                if t == team && j == job)
        };
        let in_flight = self
            .batch_in_flight
            .iter()
            .flat_map(|batch_in_flight| batch_in_flight.proposals());
        in_flight.chain(&self.pending).any(commits_gang)
    }

    /// Withdraws one task of a service from a leaving worker, if more than `min_available` tasks run.
    fn check_service(&mut self, team: &str, job: &str, active: &[TaskId]) {
        let state = self.ledger.job(team, job).expect("active");
        let JobKind::Service { min_available, .. } = state.spec.kind else {
            return;
        };
        let available = active
            .iter()
            .filter(|id| {
                let task = &state.tasks[id.task as usize];
                let running = matches!(task.phase, crate::ledger::TaskPhase::Running { .. });
                let not_withdrawing = |id| {
                    self.tracked_attempts
                        .get(id)
                        .is_some_and(|tracked| !tracked.withdrawing)
                };
                running && not_withdrawing(*id)
            })
            .count() as u32;
        if available <= min_available {
            return;
        }
        let leaving = active.iter().find(|id| {
            let tracked = self.tracked_attempts.get(id);
            tracked.is_some_and(|tracked| tracked.leaving && !tracked.withdrawing)
        });
        if let Some(id) = leaving.cloned() {
            self.withdraw_all(&[id]);
        }
    }

    /// Returns the failure domain with the fewest active tasks of a task's service.
    ///
    /// Considers only domains with such tasks; `None` if all have the same number.
    pub(super) fn preferred_domain(&self, id: &TaskId) -> Option<String> {
        let job = self.ledger.job(&id.team, &id.job)?;
        job.spec.service()?;
        let spread = spread_of(job);
        let least = spread.iter().min_by_key(|(_, count)| **count)?;
        let most = spread.values().max()?;
        (least.1 < most).then(|| least.0.clone())
    }
}

fn task_of(ready: &ReadyJob, task: TaskIndex) -> TaskId {
    TaskId {
        team: ready.team.clone(),
        job: ready.job.clone(),
        task,
    }
}

fn active_tasks(state: &JobState) -> Vec<TaskId> {
    let tasks = state.tasks.iter().enumerate();
    tasks
        .filter(|(_, task)| task.is_active())
        .map(|(index, _)| TaskId {
            team: state.spec.team.clone(),
            job: state.spec.id.clone(),
            task: index as u32,
        })
        .collect()
}
