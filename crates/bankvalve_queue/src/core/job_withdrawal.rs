//! Taking back jobs that are not kept while the table is away.

use std::collections::{BTreeSet, VecDeque};

use super::commit::{Effect, Proposal};
use super::EntryCore;
use crate::caller::{CallerAnswer, RefusalReason};
use crate::guard::SiteGuard;
use crate::ledger::LedgerEvent;
use crate::policy::PolicySwitch;

/// When a caller may come back whose job was not kept, in milliseconds.
pub(super) const STORE_RETRY_MS: u64 = 2_000;

impl EntryCore {
    /// Gives jobs that are not kept their final answer while the table is away.
    ///
    /// What was never sent, or surely not carried out, is taken back and refused; of the rest
    /// it is only said that it is not known.
    pub(super) fn withdraw_uncommitted(&mut self) {
        if !self.store_is_unavailable() || !self.uses(PolicySwitch::Withdrawal) {
            return;
        }
        let sure = self.enforces(SiteGuard::SureRefusal);
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let mut unknown = Vec::new();
        if let Some(flight) = lead.flight.as_mut() {
            if flight.uncertain && sure {
                for (_, effect) in &mut flight.effects {
                    if matches!(effect, Effect::Answer(..)) {
                        unknown.push(std::mem::replace(effect, Effect::None));
                    }
                }
            } else if flight.copies == 0 {
                let flight = lead.flight.take().expect("it was just seen");
                lead.unavailable_since.get_or_insert(flight.since);
                lead.next_commit_at = flight.next_at;
                let mut events = flight.events.into_iter();
                for (has_event, effect) in flight.effects.into_iter().rev() {
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

    /// Takes back jobs of which no event was sent, and refuses them.
    pub(super) fn withdraw_jobs(&mut self) {
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let jobs: BTreeSet<u64> = lead
            .pending
            .iter()
            .filter_map(|proposal| match &proposal.event {
                Some(LedgerEvent::Accepted { spec, .. }) => Some(spec.id),
                _ => None,
            })
            .collect();
        let mut answers = Vec::new();
        let mut rest = VecDeque::new();
        for proposal in std::mem::take(&mut lead.pending) {
            let job = proposal.event.as_ref().and_then(LedgerEvent::job);
            let withdrawn = job.is_some_and(|job| jobs.contains(&job));
            match proposal.effect {
                Effect::Answer(origin, _) if withdrawn => answers.push((origin, true)),
                // It asks about a job that may be among those that are taken back.
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
        for (origin, surely) in answers {
            let answer = if surely {
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
            let detail = format!("{} jobs, table away", jobs.len());
            self.log("ledger", "withdraw", String::new(), detail);
        }
    }
}
