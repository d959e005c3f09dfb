//! Callers of a site: they hand jobs in, ask how they stand and cancel them.

use std::sync::Arc;
use std::time::Duration;

use bankvalve_queue::{
    CallerAnswer, CallerIdentity, CallerRequest, CoreAction, CoreEvent, JobId, JobSpec, JobState,
    ResolvedRequest, Ticket,
};
use rand::Rng;

use super::site_answers::SiteAnswer;
use super::site_customers::KeyUse;
use super::site_world::{Later, SiteWorld};

/// How long callers wait for an answer.
pub(super) const PATIENCE_MS: u64 = 3_000;
/// One caller in so many leaves when its job is refused.
const LEAVING: u32 = 3;
/// Where callers leave, one in so many gives up and cancels its job if its submission has no answer after a time
/// within this range, in milliseconds.
const GIVING_UP: u64 = 2;
const SHORT_PATIENCE_MS: u64 = 200;
const SHORT_PATIENCE_RANGE_MS: u64 = 2_500;

/// Retries of callers under a hard load, and the pause before each, in milliseconds.
const LOAD_RETRIES: u32 = 4;
const LOAD_PAUSE_MS: std::ops::Range<u64> = 400..1_100;

/// A caller's request on its way.
#[derive(Debug)]
pub(super) enum OpenCall {
    Check {
        job: JobId,
        asked_at: u64,
        /// Whether a caller had been told that the job is cancelled.
        after_cancel: bool,
    },
    Submit {
        job: JobId,
        tries: u32,
        asked_ms: u64,
    },
    Ask {
        job: JobId,
        /// Whether a caller had been told that the job is cancelled.
        after_cancel: bool,
    },
    Cancel {
        job: JobId,
        /// Whether the caller's customer is that of the job.
        by_owner: bool,
    },
    Count {
        queue: String,
        asked_ms: u64,
    },
    /// Whether the configuration in force is the newest, for a caller that asks for a queue.
    Newest {
        queue: String,
        asked_ms: u64,
    },
}

impl SiteWorld {
    /// A caller hands a job in, and asks how it stands until it is over.
    pub fn submit(&mut self, spec: JobSpec) {
        let spec = Arc::new(spec);
        self.rules.submit(&spec, self.attempts);
        self.watch_lasting(&spec);
        let job = spec.id;
        self.specs.insert(job, spec);
        self.after(1, Later::Submit { job, tries: 0 });
        if self.callers_leave && job % GIVING_UP == 0 {
            let patience_ms = SHORT_PATIENCE_MS + job % SHORT_PATIENCE_RANGE_MS;
            self.after(patience_ms, Later::GiveUp { job });
        }
    }

    /// A caller hands a job in at one instance, once.
    pub fn submit_at(&mut self, node: usize, spec: &Arc<JobSpec>) {
        self.rules.submit(spec, self.attempts);
        self.watch_lasting(spec);
        self.specs.insert(spec.id, spec.clone());
        let job = spec.id;
        let request = self.submission(node, spec);
        self.call(
            node,
            OpenCall::Submit {
                job,
                tries: u32::MAX,
                asked_ms: self.now_ms,
            },
            request,
        );
    }

    /// A caller cancels a job.
    pub fn cancel(&mut self, job: JobId) {
        self.lasting.cancel_asked(job);
        match self.any_node() {
            Some(node) => self.cancel_at(node, job),
            None => self.after(300, Later::Cancel { job }),
        }
    }

    /// A caller cancels a job at one instance.
    pub fn cancel_at(&mut self, node: usize, job: JobId) {
        let request = CallerRequest::Cancel { job };
        let by_owner = true;
        self.call(node, OpenCall::Cancel { job, by_owner }, request);
    }

    /// A caller that has had no answer to its submission gives up and cancels the job, whatever became of it.
    pub(super) fn give_up_unanswered(&mut self, job: JobId) {
        if !self.rules.was_answered(job) {
            self.given_up_unanswered += 1;
            self.cancel(job);
        }
    }

    /// Asks the leader how many jobs of a queue have not begun; none without a leader.
    pub fn count_waiting(&mut self, queue: &str) -> Option<u64> {
        let leader = self.leader()?;
        let since = Duration::from_millis(self.now_ms - self.nodes[leader].started_ms);
        let wall = self.wall_ms();
        let core = self.nodes[leader].core.as_mut()?;
        let ticket = core.new_ticket();
        let request = ResolvedRequest {
            caller: CallerIdentity::default(),
            request: CallerRequest::Count {
                queue: queue.to_owned(),
            },
            patience_ms: PATIENCE_MS,
            table_version: core.table_version(),
        };
        let actions = core.step(since, wall, CoreEvent::Caller { ticket, request });
        let mut count = None;
        for action in actions {
            match action {
                CoreAction::Answer {
                    answer: CallerAnswer::Waiting(waiting),
                    ..
                } => count = Some(waiting),
                action => self.act(leader, action),
            }
        }
        count
    }

    pub(super) fn submission(&self, node: usize, spec: &Arc<JobSpec>) -> CallerRequest {
        CallerRequest::Submit {
            spec: spec.clone(),
            terms: self.terms_at(node, &spec.queue),
        }
    }

    pub(super) fn any_node(&mut self) -> Option<usize> {
        let up: Vec<usize> = (0..self.nodes.len())
            .filter(|number| self.nodes[*number].is_up())
            .collect();
        (!up.is_empty()).then(|| up[self.rng.random_range(0..up.len())])
    }

    pub(super) fn call(&mut self, node: usize, call: OpenCall, request: CallerRequest) {
        self.call_with_key(node, call, request);
    }

    pub(super) fn call_as(
        &mut self,
        node: usize,
        call: OpenCall,
        request: CallerRequest,
        caller: CallerIdentity,
        key_use: Option<KeyUse>,
    ) {
        let Some(core) = self.nodes[node].core.as_mut() else {
            return;
        };
        let request = Self::submitted_as(request, &caller);
        let owner = |job| self.specs.get(&job).and_then(|spec| spec.customer.as_ref());
        let call = match call {
            OpenCall::Cancel { job, .. } => OpenCall::Cancel {
                job,
                by_owner: owner(job).is_none_or(|owner| caller.customer.as_ref() == Some(owner)),
            },
            call => call,
        };
        let ticket = core.new_ticket();
        self.calls.insert((node, ticket), call);
        let request = ResolvedRequest {
            caller,
            request,
            patience_ms: PATIENCE_MS,
            table_version: core.table_version(),
        };
        if let Some(key_use) = key_use {
            self.note_key_use(node, ticket, key_use);
        }
        self.deliver(node, CoreEvent::Caller { ticket, request });
    }

    pub(super) fn finish_call(&mut self, node: usize, ticket: Ticket, answer: CallerAnswer) {
        let now = self.now_ms;
        if self.resend_denied(node, ticket, &answer) {
            return;
        }
        let denied = self.check_key_use(node, ticket, &answer);
        match self.calls.remove(&(node, ticket)) {
            Some(OpenCall::Submit {
                job,
                tries,
                asked_ms,
            }) => {
                if denied {
                    self.take_newest_key(job);
                }
                if tries == u32::MAX {
                    self.submit_answers.push(SiteAnswer {
                        node,
                        job,
                        took_ms: now - asked_ms,
                        answer: answer.clone(),
                    });
                }
                let accepted = answer == CallerAnswer::Accepted;
                let never = matches!(answer, CallerAnswer::BeyondLimit | CallerAnswer::IdInUse);
                let refused = denied || never || matches!(answer, CallerAnswer::Refused { .. });
                self.rules.attempt_ended(job, accepted, refused);
                if accepted && (tries == 0 || tries == u32::MAX) {
                    self.check_accepted_version(node, job, asked_ms);
                }
                if let Some(load) = self.load.as_mut() {
                    load.note_answer(job, accepted, refused, now);
                }
                if refused {
                    self.refusal_waits_ms.push(now - asked_ms);
                }
                let (most_tries, pause_ms) = match self.load {
                    Some(_) => (LOAD_RETRIES, self.rng.random_range(LOAD_PAUSE_MS)),
                    None => (12, 500),
                };
                if accepted {
                    self.after(300, Later::Ask { job });
                } else if refused && self.callers_leave && self.rng.random_range(0..LEAVING) == 0 {
                    // It was told that the job does not run, and leaves.
                } else if never {
                    // It would be told so again.
                } else if tries < most_tries {
                    let tries = tries + 1;
                    self.after(pause_ms, Later::Submit { job, tries });
                }
            }
            Some(OpenCall::Ask { job, after_cancel }) => {
                if after_cancel {
                    self.rules.check_cancelled(job, &answer, now);
                }
                let state = match answer {
                    CallerAnswer::State(state) => Some(state),
                    CallerAnswer::NoSuchJob => None,
                    _ if denied => {
                        self.take_newest_key(job);
                        self.after(300, Later::Ask { job });
                        return;
                    }
                    CallerAnswer::Unknown
                    | CallerAnswer::Refused { .. }
                    | CallerAnswer::TableChanged { .. } => {
                        self.after(300, Later::Ask { job });
                        return;
                    }
                    other => {
                        let text = format!("{job:016x}: {other:?} in place of its state");
                        self.rules.breach("ANSWER", now, &text);
                        return;
                    }
                };
                self.rules.shown(job, state, now);
                match state {
                    Some(JobState::Pending | JobState::Running) => {
                        self.after(300, Later::Ask { job });
                    }
                    Some(state) => {
                        self.shown.insert(job, state);
                    }
                    None => {}
                }
            }
            Some(OpenCall::Check {
                job,
                asked_at,
                after_cancel,
            }) => {
                if after_cancel {
                    self.rules.check_cancelled(job, &answer, now);
                }
                self.note_answer(node, job, asked_at, answer);
            }
            Some(OpenCall::Cancel { job, by_owner }) => match answer {
                // Another customer's callers are told the same, which acknowledges nothing.
                CallerAnswer::NoSuchJob if !by_owner => {}
                // Both acknowledge the cancel, also of a job whose submission is still under way.
                CallerAnswer::Cancelled | CallerAnswer::NoSuchJob => {
                    self.rules.cancel_confirmed(job, now);
                }
                _ => {
                    if denied {
                        self.take_newest_key(job);
                    }
                    self.after(300, Later::Cancel { job });
                }
            },
            Some(call @ (OpenCall::Count { .. } | OpenCall::Newest { .. })) => {
                self.finish_count(node, call, &answer);
            }
            None => {}
        }
    }
}
