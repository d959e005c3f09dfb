//! Callers' commands: submit, cancel, status, list of jobs.

use super::commit::Proposal;
use super::team_partition::{span_ms, TeamPartition, TeamView};
use crate::contract::{JobSpec, PlaceRule, TeamContract};
use crate::ids::{InstanceName, Ticket};
use crate::ledger::{JobState, LedgerEvent, TaskPhase};
use crate::link::{CallerAnswer, CallerCommand, JobView, Refusal, TaskId, TaskView};
use crate::machine::{ListedWorker, TaskSize};
use crate::owner::{OwnerAction, OwnerContext};
use crate::refusal::RefusalReason;

/// Number of events waiting to be committed above which new jobs are refused.
const PENDING_LIMIT: usize = 4_000;
/// Number of batches waiting to be archived above which new jobs are refused.
const ARCHIVE_LIMIT: usize = 4_096;
/// Time after which a refused caller may retry, in milliseconds.
const RETRY_AFTER_MS: u64 = 2_000;

impl TeamPartition {
    /// Handles a caller's command; the answer may have to wait for a commit.
    pub fn command(
        &mut self,
        origin: InstanceName,
        ticket: Ticket,
        command: CallerCommand,
        view: &TeamView<'_>,
        ctx: &mut OwnerContext<'_>,
    ) {
        let answer = match command {
            CallerCommand::Submit { spec } => self.submit(&origin, ticket, *spec, view, ctx),
            CallerCommand::Cancel { team, job } => {
                self.cancel(&origin, ticket, &team, &job, view, ctx)
            }
            CallerCommand::Status { team, job }
                if self.pending_submission(&team, &job).is_some() =>
            {
                let detail = "the job is being recorded".into();
                Some(CallerAnswer::Unknown { detail })
            }
            CallerCommand::Status { team, job } => Some(self.status(&team, &job)),
            CallerCommand::Jobs { team } => {
                let jobs = self.ledger.jobs_of(&team);
                Some(CallerAnswer::Jobs(jobs.map(listed_view).collect()))
            }
            _ => None,
        };
        let Some(answer) = answer else { return };
        if let CallerAnswer::NotRun(refusal) = &answer {
            ctx.tally.refuse(refusal.reason);
        }
        ctx.push_action(OwnerAction::Answer {
            origin,
            ticket,
            answer,
        });
    }

    /// Refuses the commands whose events were not sent to the table service.
    ///
    /// Called when the instance stops owning the partition.
    pub fn abandon(&mut self, ctx: &mut OwnerContext<'_>) {
        let detail = "the team's partition has changed hands";
        let refusal = Refusal::temporary(RefusalReason::NoOwner, detail, RETRY_AFTER_MS);
        for proposal in std::mem::take(&mut self.pending) {
            refuse_callers(proposal, &refusal, ctx);
        }
    }

    /// Refuses submitted jobs that were not sent to the table service, as it is unavailable.
    pub(super) fn refuse_unsent_jobs(&mut self, ctx: &mut OwnerContext<'_>) {
        let is_submission =
            |proposal: &Proposal| matches!(proposal.event, LedgerEvent::Submitted { .. });
        if !self.pending.iter().any(is_submission) {
            return;
        }
        let detail = "the table service does not answer; nothing was recorded";
        let refusal = Refusal::temporary(RefusalReason::StoreUnavailable, detail, RETRY_AFTER_MS);
        let pending = std::mem::take(&mut self.pending);
        let (jobs, rest): (Vec<_>, Vec<_>) = pending.into_iter().partition(is_submission);
        self.pending = rest;
        for proposal in jobs {
            refuse_callers(proposal, &refusal, ctx);
        }
    }

    fn submit(
        &mut self,
        origin: &InstanceName,
        ticket: Ticket,
        spec: JobSpec,
        view: &TeamView<'_>,
        ctx: &mut OwnerContext<'_>,
    ) -> Option<CallerAnswer> {
        if let Some(known) = self.ledger.job(&spec.team, &spec.id) {
            return Some(answer_resubmission(known, &spec));
        }
        let answer = OwnerAction::Answer {
            origin: origin.clone(),
            ticket,
            answer: CallerAnswer::Accepted { again: false },
        };
        if let Some(pending) = self.pending_submission(&spec.team, &spec.id) {
            let LedgerEvent::Submitted { spec: known, .. } = &pending.event else {
                return None;
            };
            if **known != spec {
                return Some(CallerAnswer::NotRun(conflict(&spec)));
            }
            pending.effects.push(answer);
            return None;
        }
        if let Err(refusal) = self.admit(&spec, view, ctx) {
            return Some(CallerAnswer::NotRun(refusal));
        }
        let event = LedgerEvent::Submitted {
            spec: Box::new(spec),
            at: ctx.wall,
        };
        self.propose(Proposal {
            effects: vec![answer],
            ..Proposal::of(event)
        });
        None
    }

    fn pending_submission(&mut self, team: &str, job: &str) -> Option<&mut Proposal> {
        let in_flight = self
            .batch_in_flight
            .iter_mut()
            .flat_map(|batch_in_flight| batch_in_flight.proposals_mut());
        let mut all = in_flight.chain(self.pending.iter_mut());
        all.find(|proposal| {
            matches!(&proposal.event, LedgerEvent::Submitted { spec, .. }
                if spec.id == job && spec.team == team)
        })
    }

    fn admit(
        &self,
        spec: &JobSpec,
        view: &TeamView<'_>,
        ctx: &OwnerContext<'_>,
    ) -> Result<(), Refusal> {
        spec.check().map_err(Refusal::field)?;
        let Some(contract) = ctx.bundle.teams.get(&spec.team) else {
            let detail = format!("expected a team of the bundle, found {}", spec.team);
            return Err(Refusal::permanent(RefusalReason::UnknownTeam, detail));
        };
        check_quota(spec, contract)?;
        check_possible(spec, contract, view.listed)?;
        if !view.store_available {
            let detail = "the table service does not answer; nothing was recorded";
            let reason = RefusalReason::StoreUnavailable;
            return Err(Refusal::temporary(reason, detail, RETRY_AFTER_MS));
        }
        if self.log.len() > ARCHIVE_LIMIT {
            let detail = "too many finished batches wait to be archived";
            let reason = RefusalReason::ArchiveBacklog;
            return Err(Refusal::temporary(reason, detail, RETRY_AFTER_MS));
        }
        if self.pending.len() > PENDING_LIMIT {
            let detail = "too many events wait to be committed";
            return Err(Refusal::temporary(
                RefusalReason::QueueFull,
                detail,
                RETRY_AFTER_MS,
            ));
        }
        Ok(())
    }

    fn cancel(
        &mut self,
        origin: &InstanceName,
        ticket: Ticket,
        team: &str,
        job: &str,
        view: &TeamView<'_>,
        ctx: &mut OwnerContext<'_>,
    ) -> Option<CallerAnswer> {
        let Some(state) = self.ledger.job(team, job) else {
            return Some(unknown_job(team, job));
        };
        if state.cancelled || state.phase() != crate::ledger::JobPhase::Active {
            return Some(CallerAnswer::Cancelled);
        }
        if !view.store_available {
            let detail = "the table service does not answer; the job goes on";
            let reason = RefusalReason::StoreUnavailable;
            let refusal = Refusal::temporary(reason, detail, RETRY_AFTER_MS);
            return Some(CallerAnswer::NotRun(refusal));
        }
        let event = LedgerEvent::Cancelled {
            team: team.to_owned(),
            job: job.to_owned(),
            at: ctx.wall,
        };
        let answer = OwnerAction::Answer {
            origin: origin.clone(),
            ticket,
            answer: CallerAnswer::Cancelled,
        };
        self.propose(Proposal {
            effects: vec![answer],
            ..Proposal::of(event)
        });
        None
    }

    fn status(&self, team: &str, job: &str) -> CallerAnswer {
        let Some(state) = self.ledger.job(team, job) else {
            return unknown_job(team, job);
        };
        let mut view = listed_view(state);
        let tasks = state.tasks.iter().enumerate();
        view.tasks = tasks
            .map(|(index, task)| {
                let id = TaskId {
                    team: team.to_owned(),
                    job: job.to_owned(),
                    task: index as u32,
                };
                let phase = match task.phase {
                    TaskPhase::Waiting => "waiting",
                    TaskPhase::Assigned { .. } => "assigned",
                    TaskPhase::Running { .. } => "running",
                    TaskPhase::Done(outcome) => outcome.as_str(),
                };
                let waits = matches!(task.phase, TaskPhase::Waiting);
                TaskView {
                    task: index as u32,
                    attempt: task.attempt,
                    phase: phase.into(),
                    worker: task.worker.clone(),
                    waited_ms: task
                        .first_started_at
                        .map(|at| span_ms(state.submitted_at, at)),
                    why: self.waits.get(&id).filter(|_| waits).map(|wait| wait.why),
                }
            })
            .collect();
        CallerAnswer::Job(Box::new(view))
    }
}

/// Sends a refusal to every caller that waits for a proposal to be committed.
fn refuse_callers(proposal: Proposal, refusal: &Refusal, ctx: &mut OwnerContext<'_>) {
    for effect in proposal.effects {
        if let OwnerAction::Answer { origin, ticket, .. } = effect {
            ctx.tally.refuse(refusal.reason);
            let answer = CallerAnswer::NotRun(refusal.clone());
            ctx.push_action(OwnerAction::Answer {
                origin,
                ticket,
                answer,
            });
        }
    }
}

fn listed_view(state: &JobState) -> JobView {
    JobView {
        team: state.spec.team.clone(),
        job: state.spec.id.clone(),
        kind: state.spec.kind_name().into(),
        phase: state.phase().as_str().into(),
        submitted_at: state.submitted_at,
        tasks: Vec::new(),
    }
}

fn answer_resubmission(known: &JobState, spec: &JobSpec) -> CallerAnswer {
    if known.spec == *spec {
        CallerAnswer::Accepted { again: true }
    } else {
        CallerAnswer::NotRun(conflict(spec))
    }
}

fn conflict(spec: &JobSpec) -> Refusal {
    let detail = format!(
        "expected the content that job {} was accepted with",
        spec.id
    );
    Refusal::permanent(RefusalReason::JobConflict, detail)
}

fn unknown_job(team: &str, job: &str) -> CallerAnswer {
    let detail = format!("no job {job} of team {team} is known");
    CallerAnswer::NotRun(Refusal::permanent(RefusalReason::UnknownJob, detail))
}

/// Checks that the team's quota admits the job: all tasks at once of a gang, else one task.
fn check_quota(spec: &JobSpec, contract: &TeamContract) -> Result<(), Refusal> {
    let least = if spec.is_gang() {
        spec.size.times(spec.task_count())
    } else {
        spec.size
    };
    if least.fits_in(contract.quota) {
        return Ok(());
    }
    let detail = format!("needs {least} at once, and the quota is {}", contract.quota);
    Err(Refusal::permanent(RefusalReason::CanNeverRun, detail))
}

/// Checks that the listed workers would have the capacity for the job if they ran nothing else.
///
/// A gang needs capacity for all its tasks at once, any other job for one task.
fn check_possible(
    spec: &JobSpec,
    contract: &TeamContract,
    listed: &[ListedWorker],
) -> Result<(), Refusal> {
    if listed.is_empty() {
        let detail = "the instance list has not been read yet";
        return Err(Refusal::temporary(
            RefusalReason::NoOwner,
            detail,
            RETRY_AFTER_MS,
        ));
    }
    let rules: [&PlaceRule; 2] = [&spec.place, &contract.place];
    let admitted: Vec<&ListedWorker> = listed
        .iter()
        .filter(|worker| rules.iter().all(|rule| rule.admits_worker(&worker.detail)))
        .collect();
    if admitted.is_empty() {
        let detail = format!(
            "rules leave none of {} workers: allow {:?} and {:?}, deny {:?} and {:?}",
            listed.len(),
            spec.place.allow,
            contract.place.allow,
            spec.place.deny,
            contract.place.deny
        );
        return Err(Refusal::permanent(RefusalReason::CanNeverRun, detail));
    }
    let task_capacity = |worker: &&ListedWorker| worker.detail.size.tasks_that_fit(spec.size);
    let at_once: u64 = admitted
        .iter()
        .map(|worker| u64::from(task_capacity(worker)))
        .sum();
    let needed = if spec.is_gang() {
        u64::from(spec.task_count())
    } else {
        1
    };
    if at_once >= needed {
        return Ok(());
    }
    let largest = admitted.iter().fold(TaskSize::default(), |most, worker| {
        most.max(worker.detail.size)
    });
    let detail = format!(
        "needs {needed} tasks of {} at once; the {} workers that rules admit hold {at_once}, \
         the largest has {largest}",
        spec.size,
        admitted.len()
    );
    Err(Refusal::permanent(RefusalReason::CanNeverRun, detail))
}
