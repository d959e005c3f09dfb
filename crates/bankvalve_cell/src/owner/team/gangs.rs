//! Jobs that need attention as a whole: gangs, services that drain, cancelled jobs.

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
use crate::placement::{PartitionChoice, PlaceWish};
use crate::refusal::{RefusalReason, RetryReason};

/// Wait after which a gang queues for room instead of waiting for it to be free.
const QUEUE_AFTER: Duration = Duration::from_secs(4);
/// Shortest wait of a gang whose holds lapsed.
const LEAST_BACKOFF_MS: u64 = 300;
/// Longest wait of a gang whose holds lapsed.
const MOST_BACKOFF_MS: u64 = 2_500;

impl TeamPartition {
    /// Assigns all waiting tasks of a gang, or none.
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
        let whole = tasks.iter().all(|id| job.is_assignable(id.task));
        let first = &tasks[0];
        let waits = self
            .waits
            .get(first)
            .is_some_and(|wait| wait.until > ctx.now);
        if !whole || waits || tasks.iter().any(|id| self.busy.contains(id)) {
            return 0;
        }
        match self.choose_for_gang(&tasks, ready, view, ctx) {
            Ok(()) => tasks.len(),
            Err(why) => {
                let first = first.clone();
                self.note_wait(&first, why, Duration::ZERO, ctx);
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
        let quota = self.quota_left(&ready.team, all, ctx)?;
        let rules = rules_of(job, ctx);
        let spread = BTreeMap::new();
        let urgent = job.spec.urgent;
        let name = (ready.team.clone(), ready.job.clone());
        let since = *self.gang_since.entry(name).or_insert(ctx.now);
        let wish = PlaceWish {
            need,
            rules: &rules,
            urgent,
            service: false,
            spread: &spread,
            may_queue: ctx.now > since + QUEUE_AFTER,
            except: None,
            together: tasks.len() as u32,
        };
        let mut trial = view.board.clone();
        let mut choices: Vec<PartitionChoice> = Vec::new();
        for _ in tasks {
            let again = choices.last().filter(|last| trial.has_room(last, need));
            let choice = match again {
                Some(choice) => choice.clone(),
                None => trial
                    .choose(&wish, &self.policy, &mut self.rng)
                    .ok_or(RefusalReason::NoRoom)?,
            };
            trial.deduct(&choice, need);
            choices.push(choice);
        }
        *view.board = trial;
        for (id, choice) in tasks.iter().zip(&choices) {
            self.propose_intent(id, choice, need, quota, ctx);
        }
        Ok(())
    }

    /// Looks after gangs, services and cancelled jobs that are active.
    pub(super) fn attend_jobs(&mut self, ctx: &mut OwnerContext<'_>) {
        let names: Vec<(TeamName, JobId)> = self.attention.iter().cloned().collect();
        for (team, job) in names {
            let Some(state) = self.ledger.job(&team, &job) else {
                self.attention.remove(&(team, job));
                continue;
            };
            if state.phase() != JobPhase::Active {
                self.gang_since.remove(&(team.clone(), job.clone()));
                self.gang_turns.remove(&(team.clone(), job.clone()));
                self.attention.remove(&(team, job));
                continue;
            }
            let active = active_tasks(state);
            if state.cancelled || state.is_broken_gang() {
                self.withdraw_all(&active);
            } else if state.spec.is_gang() {
                self.attend_gang(&team, &job, &active, ctx);
            } else {
                self.attend_service(&team, &job, &active);
            }
        }
    }

    /// Commits a gang once all of it holds room, and gives up when that takes too long.
    fn attend_gang(
        &mut self,
        team: &str,
        job: &str,
        active: &[TaskId],
        ctx: &mut OwnerContext<'_>,
    ) {
        let state = self.ledger.job(team, job).expect("active");
        if active.is_empty() || state.gang_committed {
            return;
        }
        let running = |id: &TaskId| {
            let task = &state.tasks[id.task as usize];
            matches!(task.phase, crate::ledger::TaskPhase::Running { .. })
        };
        if active.iter().any(running) && ctx.guards.has(GuardName::GangCommit) {
            return;
        }
        let watches = || active.iter().filter_map(|id| self.watches.get(id));
        if watches().any(|watch| watch.withdrawing) {
            return;
        }
        let lacking = watches().filter(|watch| !watch.held);
        let turn = lacking.map(|watch| watch.partition).min();
        let name = (team.to_owned(), job.to_owned());
        // Gangs that take partitions in the same order cannot each hold what
        // the other waits for.
        self.gang_turns
            .insert(name, turn.unwrap_or(PartitionIndex::MAX));
        if turn.is_none() && !self.is_committing(team, job) {
            let event = LedgerEvent::GangCommitted {
                team: team.to_owned(),
                job: job.to_owned(),
                at: ctx.wall,
            };
            self.propose(Proposal::of(event));
            return;
        }
        let watches = active.iter().filter_map(|id| self.watches.get(id));
        let since = watches.map(|watch| watch.since).min().unwrap_or(ctx.now);
        if ctx.now > since + ctx.timings.gang_hold && !self.is_committing(team, job) {
            ctx.tally.retry(RetryReason::GangHoldLapsed);
            self.withdraw_all(active);
            let backoff = self.rng.random_range(LEAST_BACKOFF_MS..MOST_BACKOFF_MS);
            let wait = Duration::from_millis(backoff);
            for id in active {
                self.note_wait(id, RefusalReason::NoRoom, wait, ctx);
            }
        }
    }

    fn is_committing(&self, team: &str, job: &str) -> bool {
        let is = |proposal: &Proposal| {
            matches!(&proposal.event, LedgerEvent::GangCommitted { team: t, job: j, .. }
                if t == team && j == job)
        };
        let in_flight = self.flight.iter().flat_map(|flight| flight.proposals());
        in_flight.chain(&self.pending).any(is)
    }

    /// Moves one task of a service off a worker that is leaving, if enough others are up.
    fn attend_service(&mut self, team: &str, job: &str, active: &[TaskId]) {
        let state = self.ledger.job(team, job).expect("active");
        let JobKind::Service { min_available, .. } = state.spec.kind else {
            return;
        };
        let up = active
            .iter()
            .filter(|id| {
                let task = &state.tasks[id.task as usize];
                let running = matches!(task.phase, crate::ledger::TaskPhase::Running { .. });
                let stays = |id| self.watches.get(id).is_some_and(|watch| !watch.withdrawing);
                running && stays(*id)
            })
            .count() as u32;
        if up <= min_available {
            return;
        }
        let leaving = active.iter().find(|id| {
            let watch = self.watches.get(id);
            watch.is_some_and(|watch| watch.leaving && !watch.withdrawing)
        });
        if let Some(id) = leaving.cloned() {
            self.withdraw_all(&[id]);
        }
    }

    /// Spread of a job, for the domains that its next task should prefer.
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
