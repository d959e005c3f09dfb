//! Assignment of waiting tasks to worker partitions, within quota and rules.

use std::collections::BTreeMap;
use std::time::Duration;

use super::commit::Proposal;
use super::team_partition::{ReadyJob, TaskWait, TeamPartition, TeamView};
use crate::contract::PlaceRule;
use crate::ids::{DomainName, TaskIndex, TeamName};
use crate::ledger::{JobState, LedgerEvent};
use crate::link::TaskId;
use crate::machine::TaskSize;
use crate::owner::{GuardName, OwnerContext};
use crate::placement::{PartitionChoice, PlacementRequirements};
use crate::refusal::RefusalReason;

/// Number of assignments after which a step considers no further job.
const ASSIGNMENT_LIMIT: usize = 256;
/// Number of jobs without an assignment after which a step considers no further job.
const UNASSIGNED_JOB_LIMIT: usize = 24;
/// Wait of a task after its first returned attempt, before any doubling.
const BASE_WAIT: Duration = Duration::from_millis(200);
/// Most times that the wait is doubled.
const MAX_DOUBLINGS: u32 = 5;

impl TeamPartition {
    /// Assigns waiting tasks, checks gangs, services and cancelled jobs, and sends the due messages.
    ///
    /// While the table service is unavailable, refuses unsent jobs instead of assigning tasks.
    pub fn tick(&mut self, view: &mut TeamView<'_>, ctx: &mut OwnerContext<'_>) {
        if !self.confirmed {
            return;
        }
        if view.store_available {
            self.assign_waiting(view, ctx);
        } else {
            self.refuse_unsent_jobs(ctx);
        }
        self.check_active_jobs(ctx);
        self.send_due_messages(view, ctx);
    }

    /// Assigns waiting tasks: urgent jobs first, then by the share of its quota that the team uses.
    ///
    /// The share is divided by the team's weight; jobs with equal shares follow in order of acceptance.
    fn assign_waiting(&mut self, view: &mut TeamView<'_>, ctx: &mut OwnerContext<'_>) {
        let mut assigned_tasks = 0;
        let mut unassigned_jobs = 0;
        for ready in self.jobs_in_order(ctx) {
            let Some(job) = self.ledger.job(&ready.team, &ready.job) else {
                continue;
            };
            let gang = job.spec.is_gang();
            let assigned = if gang {
                self.assign_gang(&ready, view, ctx)
            } else {
                self.assign_tasks(&ready, ASSIGNMENT_LIMIT - assigned_tasks, view, ctx)
            };
            assigned_tasks += assigned;
            unassigned_jobs += usize::from(assigned == 0);
            if assigned_tasks >= ASSIGNMENT_LIMIT || unassigned_jobs >= UNASSIGNED_JOB_LIMIT {
                break;
            }
        }
    }

    fn jobs_in_order(&self, ctx: &OwnerContext<'_>) -> Vec<ReadyJob> {
        let mut jobs: Vec<(u64, ReadyJob)> = self
            .ready
            .keys()
            .map(|job| (self.share_in_use(&job.team, ctx), job.clone()))
            .collect();
        jobs.sort_by(|(a_share, a), (b_share, b)| {
            (a.not_urgent, a_share, a.order).cmp(&(b.not_urgent, b_share, b.order))
        });
        jobs.into_iter().map(|(_, job)| job).collect()
    }

    fn share_in_use(&self, team: &TeamName, ctx: &OwnerContext<'_>) -> u64 {
        let Some(contract) = ctx.bundle.teams.get(team) else {
            return u64::MAX;
        };
        let share = self.ledger.usage_of(team).share_of(contract.quota);
        (share * 1_000.0 / f64::from(contract.weight)) as u64
    }

    fn assign_tasks(
        &mut self,
        ready: &ReadyJob,
        limit: usize,
        view: &mut TeamView<'_>,
        ctx: &mut OwnerContext<'_>,
    ) -> usize {
        let tasks: Vec<TaskIndex> = self.ready[ready].iter().copied().collect();
        let mut assigned = 0;
        for task in tasks {
            if assigned >= limit {
                break;
            }
            let id = TaskId {
                team: ready.team.clone(),
                job: ready.job.clone(),
                task,
            };
            if self.uncommitted_tasks.contains(&id) || self.must_wait(&id, ctx) {
                continue;
            }
            match self.assign_one(&id, view, ctx) {
                Ok(()) => assigned += 1,
                Err(why) => {
                    self.record_wait(&id, why, Duration::ZERO, ctx);
                    break;
                }
            }
        }
        assigned
    }

    fn assign_one(
        &mut self,
        id: &TaskId,
        view: &mut TeamView<'_>,
        ctx: &mut OwnerContext<'_>,
    ) -> Result<(), RefusalReason> {
        let job = self.ledger.job(&id.team, &id.job).expect("ready");
        let need = job.reserve;
        let quota = self.check_team_quota(&id.team, need, ctx)?;
        let spread = spread_of(job);
        let rules = rules_of(job, ctx);
        let requirements = PlacementRequirements {
            need,
            rules: &rules,
            urgent: job.spec.urgent,
            service: job.spec.service().is_some(),
            spread: &spread,
            may_queue: true,
            excluded: None,
            gang_size: 1,
        };
        let choice = view
            .digest_cache
            .choose(&requirements, &self.policy, &mut self.rng)
            .ok_or(RefusalReason::NoRoom)?;
        view.digest_cache.deduct(&choice, need);
        self.propose_intent(id, &choice, need, quota, ctx);
        Ok(())
    }

    /// Checks that a team's quota has `need` left; returns the whole quota.
    pub(super) fn check_team_quota(
        &self,
        team: &TeamName,
        need: TaskSize,
        ctx: &OwnerContext<'_>,
    ) -> Result<TaskSize, RefusalReason> {
        let contract = ctx.bundle.teams.get(team);
        let quota = contract.ok_or(RefusalReason::UnknownTeam)?.quota;
        let mut used = self.ledger.usage_of(team);
        if ctx.guards.enforces(GuardName::QuotaPending) {
            let pending = self.pending_usage.get(team).copied();
            used = used.plus(pending.unwrap_or_default());
        }
        if used.plus(need).fits_in(quota) {
            Ok(quota)
        } else {
            Err(RefusalReason::QuotaExceeded)
        }
    }

    /// Queues the intent to run a task's next attempt for the next commit.
    pub(super) fn propose_intent(
        &mut self,
        id: &TaskId,
        choice: &PartitionChoice,
        need: TaskSize,
        quota: TaskSize,
        ctx: &mut OwnerContext<'_>,
    ) {
        let job = self.ledger.job(&id.team, &id.job).expect("ready");
        let attempt = job.tasks[id.task as usize].attempt + 1;
        let event = LedgerEvent::Intended {
            key: id.attempt(attempt),
            partition: choice.partition,
            epoch: choice.epoch,
            bundle: ctx.bundle.version,
            choices: choice.choices,
            at: ctx.wall,
        };
        let mut proposal = Proposal::of(event);
        proposal.usage = Some((id.team.clone(), need, quota));
        self.propose(proposal);
        if !ctx.guards.enforces(GuardName::IntentFirst) {
            self.send_before_commit(id, attempt, choice, ctx);
        }
    }

    /// Returns whether a task belongs to an urgent job.
    pub(super) fn is_urgent(&self, id: &TaskId) -> bool {
        let job = self.ledger.job(&id.team, &id.job);
        job.is_some_and(|job| job.spec.urgent)
    }

    fn must_wait(&self, id: &TaskId, ctx: &OwnerContext<'_>) -> bool {
        self.waits.get(id).is_some_and(|wait| wait.until > ctx.now)
    }

    /// Records why a task waits, and until when it is not considered for assignment.
    ///
    /// The wait is a quarter of `BASE_WAIT`, doubled up to `BASE_WAIT` while the reason stays the same,
    /// and at least `at_least`.
    pub(super) fn record_wait(
        &mut self,
        id: &TaskId,
        why: RefusalReason,
        at_least: Duration,
        ctx: &mut OwnerContext<'_>,
    ) {
        let known = self.waits.get(id).filter(|wait| wait.why == why);
        let times = known.map_or(0, |wait| (wait.times + 1).min(MAX_DOUBLINGS));
        if known.is_none() {
            ctx.tally.refuse(why);
        }
        let until = ctx.now + at_least.max(BASE_WAIT / 4 * 2_u32.pow(times.min(2)));
        self.waits
            .insert(id.clone(), TaskWait { until, why, times });
    }

    /// Records that an attempt was returned without having run, and until when its task waits.
    ///
    /// The wait is `BASE_WAIT`, doubled as many times as the task's recorded wait counts, up to
    /// `MAX_DOUBLINGS` times. It is not doubled for urgent jobs.
    pub(super) fn record_returned(
        &mut self,
        id: &TaskId,
        why: RefusalReason,
        ctx: &mut OwnerContext<'_>,
    ) {
        let times = self.waits.get(id).map_or(0, |wait| wait.times);
        let urgent = self.is_urgent(id);
        let doublings = if urgent { 0 } else { times.min(MAX_DOUBLINGS) };
        let wait = BASE_WAIT * 2_u32.pow(doublings);
        let until = ctx.now + wait;
        let times = times + 1;
        self.waits
            .insert(id.clone(), TaskWait { until, why, times });
    }
}

/// Returns the number of a service's active tasks by failure domain; empty for other jobs.
pub(super) fn spread_of(job: &JobState) -> BTreeMap<DomainName, u32> {
    let mut spread = BTreeMap::new();
    if job.spec.service().is_none() {
        return spread;
    }
    for task in job.tasks.iter().filter(|task| task.is_active()) {
        if let Some(domain) = &task.domain {
            *spread.entry(domain.clone()).or_default() += 1;
        }
    }
    spread
}

/// Returns the placement rules of a job and its team, without empty ones; all must admit a worker.
pub(super) fn rules_of(job: &JobState, ctx: &OwnerContext<'_>) -> Vec<PlaceRule> {
    let mut rules = vec![job.spec.place.clone()];
    if let Some(contract) = ctx.bundle.teams.get(&job.spec.team) {
        rules.push(contract.place.clone());
    }
    rules.retain(|rule| *rule != PlaceRule::default());
    rules
}
