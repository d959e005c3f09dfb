//! Withdrawing uncommitted jobs while the table is unavailable.

use std::collections::{BTreeSet, VecDeque};

use super::commit::{Effect, Proposal};
use super::EntryCore;
use crate::caller::{CallerAnswer, RefusalReason};
use crate::guard::SiteGuard;
use crate::ledger::LedgerEvent;
use crate::policy::PolicySwitch;

/// Time after which a caller may retry whose job was not committed, in milliseconds.
pub(super) const STORE_RETRY_MS: u64 = 2_000;

impl EntryCore {
    /// Gives the callers of uncommitted jobs their final answer while the table is unavailable.
    ///
    /// Jobs that were never sent to the table, or that it refused, are withdrawn, and their callers are
    /// refused. For the others, the answer is that the result is unknown.
    pub(super) fn withdraw_uncommitted(&mut self) {
        if !self.store_is_unavailable() || !self.uses(PolicySwitch::Withdrawal) {
            return;
        }
        let guarded = self.enforces(SiteGuard::SureRefusal);
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let mut unknown = Vec::new();
        if let Some(commit) = lead.in_flight_commit.as_mut() {
            if commit.uncertain && guarded {
                for (_, effect) in &mut commit.effects {
                    if matches!(effect, Effect::Answer(..)) {
                        unknown.push(std::mem::replace(effect, Effect::None));
                    }
                }
            } else if commit.copies == 0 {
                let commit = lead.in_flight_commit.take().expect("it is in flight");
                lead.unavailable_since.get_or_insert(commit.since);
                lead.next_commit_at = commit.next_at;
                let mut events = commit.events.into_iter();
                for (has_event, effect) in commit.effects.into_iter().rev() {
                    let event = if has_event { events.next_back() } else { None };
                    lead.pending.push_front(Proposal { event, effect });
                }
            }
        }
        for effect in unknown {
            if let Effect::Answer(origin, _) = effect {
                self.answer(origin, CallerAnswer::Unknown);
            }
        }
        self.withdraw_jobs();
    }

    /// Withdraws the jobs whose acceptance was not sent to the table, and refuses their callers.
    pub(super) fn withdraw_jobs(&mut self) {
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let jobs: BTreeSet<u64> = lead
            .pending
            .iter()
            .filter_map(|proposal| match &proposal.event {
                Some(
                    LedgerEvent::Accepted { spec, .. }
                    | LedgerEvent::AcceptedCancelled { spec, .. },
                ) => Some(spec.id),
                _ => None,
            })
            .collect();
        let mut answers = Vec::new();
        let mut rest = VecDeque::new();
        for proposal in std::mem::take(&mut lead.pending) {
            let job = proposal.event.as_ref().and_then(LedgerEvent::job);
            // A cancel from before the submission stands for all other copies of it.
            let early_cancel = matches!(proposal.event, Some(LedgerEvent::CancelledUnknown { .. }));
            let withdrawn = !early_cancel && job.is_some_and(|job| jobs.contains(&job));
            match proposal.effect {
                Effect::Answer(origin, _) if withdrawn => answers.push((origin, true)),
                // The request may be about a job that is withdrawn.
                Effect::Answer(origin, _) if job.is_none() => answers.push((origin, false)),
                _ if withdrawn => {}
                effect => rest.push_back(Proposal {
                    event: proposal.event,
                    effect,
                }),
            }
        }
        lead.pending = rest;
        for job in &jobs {
            lead.uncommitted.remove(job);
            lead.ending.remove(job);
            lead.dirty_jobs.insert(*job);
            lead.due.retain(|(_, due, _)| due != job);
            for state in lead.worker_states.values_mut() {
                state.drop_job(*job);
            }
            self.book.withdraw(*job);
        }
        for (origin, is_withdrawn) in answers {
            let answer = if is_withdrawn {
                CallerAnswer::Refused {
                    reason: RefusalReason::StoreAway,
                    retry_ms: STORE_RETRY_MS,
                }
            } else {
                CallerAnswer::Unknown
            };
            self.answer(origin, answer);
        }
        if !jobs.is_empty() {
            let detail = format!("{} jobs, table unavailable", jobs.len());
            self.log("ledger", "withdraw", String::new(), detail);
        }
    }
}
