//! What each customer has running, and what it may start beside that.
//!
//! The pattern that it answers: starts come by many ways (first ones, repeats, gangs, into room that
//! was made, of tasks that were lost, after a takeover), and a limit that one of them passes by is
//! broken. All of them pass [`EntryCore::within_limit`]. What runs is not counted beside the runs,
//! where it could differ, but summed up from them for each placement: a run counts from the moment
//! that it is decided on until its end is known, on whichever worker, under whichever leader.

use std::collections::BTreeMap;

use super::lead_state::LeadState;
use super::placement::StepToPlace;
use super::waiting_steps::WaitingStep;
use super::EntryCore;
use crate::customer::{CustomerName, RunLimit};
use crate::guard::SiteGuard;
use crate::ids::{CoreTime, StepKey, TaskKey, WorkerId};
use crate::job::{JobSpec, TaskSize};
use crate::queue_table::QueueTable;

/// A customer's limit, as the last configuration that named the customer had it.
#[derive(Clone, Copy, Debug, Default)]
struct KnownLimit {
    limit: RunLimit,
    /// When it was last lowered.
    lowered_at: Option<CoreTime>,
}

/// Limits of all customers that were ever named.
#[derive(Debug, Default)]
pub(super) struct CustomerLimits {
    known: BTreeMap<CustomerName, KnownLimit>,
}

impl CustomerLimits {
    /// Takes the limits of a configuration. A customer that it does not name keeps its limit.
    fn update(&mut self, table: &QueueTable, now: CoreTime) {
        for rule in table.customers() {
            let known = self.known.entry(rule.name.clone()).or_default();
            if rule.limit.is_lower_than(&known.limit) {
                known.lowered_at = Some(now);
            }
            known.limit = rule.limit;
        }
    }

    /// A customer's limit, if it has one.
    fn of(&self, customer: Option<&CustomerName>) -> Option<&KnownLimit> {
        let known = self.known.get(customer?)?;
        (!known.limit.is_unlimited()).then_some(known)
    }

    /// Whether customers were ever named.
    pub(super) fn are_known(&self) -> bool {
        !self.known.is_empty()
    }

    fn are_any(&self) -> bool {
        self.known.values().any(|known| !known.limit.is_unlimited())
    }
}

/// What customers have running, and what is kept for gangs of theirs that wait for their limit.
#[derive(Debug, Default)]
pub(super) struct CustomerUsage {
    running: BTreeMap<CustomerName, TaskSize>,
}

impl CustomerUsage {
    fn of(&self, customer: &CustomerName) -> TaskSize {
        self.running.get(customer).copied().unwrap_or_default()
    }

    /// Customers with what they have running.
    pub(super) fn running(&self) -> impl Iterator<Item = (&CustomerName, &TaskSize)> {
        self.running.iter()
    }

    fn add(&mut self, customer: &CustomerName, size: &TaskSize) {
        let running = self.running.entry(customer.clone()).or_default();
        *running = running.plus(size);
    }
}

impl LeadState {
    /// Sums up what each customer has running, or may have.
    pub(super) fn sum_usage(&self) -> CustomerUsage {
        let mut usage = CustomerUsage::default();
        let runs = self
            .worker_states
            .values()
            .flat_map(|state| state.runs.values());
        for live in runs {
            if let Some(customer) = &live.customer {
                usage.add(customer, &live.size);
            }
        }
        usage
    }
}

impl EntryCore {
    /// Takes the limits of a configuration that is about to be in force.
    pub(super) fn note_limits(&mut self, table: &QueueTable) {
        self.limits.update(table, self.now);
    }

    /// Sums up what runs, for a placement.
    pub(super) fn begin_usage(&mut self) {
        let any = self.limits.are_any();
        if let Some(lead) = self.lead.as_deref_mut() {
            lead.usage = match any {
                true => lead.sum_usage(),
                false => CustomerUsage::default(),
            };
        }
    }

    /// Leaves out steps, the first in rank first, of which no task may start beside what runs.
    ///
    /// Room below its limit is kept for a gang: smaller steps of its customer that come later would
    /// fill it again and again. Once it is, only urgent steps come before the gang, so that it is not
    /// shut out for being late.
    pub(super) fn leave_out_at_limit<Rank>(&mut self, ranked: &mut Vec<(Rank, StepKey)>) {
        if !self.limits.are_any() || !self.enforces(SiteGuard::CustomerLimit) {
            return;
        }
        let (limits, now) = (&self.limits, self.now);
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let (waiting, usage) = (&lead.waiting, &mut lead.usage);
        let before = &lead.waiting_for_limit;
        let is_kept_for = |key: &StepKey| {
            let step = waiting.get(key).filter(|step| step.gang);
            let held = before.get(key) == Some(&LimitStatus::AtLimit);
            held && step.is_some_and(|step| !step.is_beyond_share(now))
        };
        if before.keys().any(is_kept_for) {
            let is_urgent = |key: &StepKey| {
                let step = waiting.get(key);
                step.is_some_and(|step| step.is_urgent() && !step.is_beyond_share(now))
            };
            ranked.sort_by_key(|(_, key)| match (is_urgent(key), is_kept_for(key)) {
                (true, _) => 0,
                (false, true) => 1,
                (false, false) => 2,
            });
        }
        let mut waiting_for_limit = BTreeMap::new();
        ranked.retain(|(_, key)| {
            let Some(step) = waiting.get(key) else {
                return true;
            };
            let Some(known) = limits.of(step.customer.as_ref()) else {
                return true;
            };
            let stands = stands_of(step, &known.limit, usage);
            if stands != LimitStatus::Within {
                waiting_for_limit.insert(*key, stands);
            }
            stands == LimitStatus::Within
        });
        let before = std::mem::replace(&mut lead.waiting_for_limit, waiting_for_limit);
        self.tell_held_back(&before);
    }

    /// Logs steps that wait for their customer's limit since the last placement.
    fn tell_held_back(&mut self, before: &BTreeMap<StepKey, LimitStatus>) {
        let Some(lead) = self.lead.as_deref() else {
            return;
        };
        let news = lead.waiting_for_limit.iter();
        let news = news.filter(|(key, stands)| before.get(key) != Some(stands));
        let news: Vec<(StepKey, LimitStatus)> = news.map(|(key, stands)| (*key, *stands)).collect();
        for (key, stands) in news {
            self.counters.count("placements", stands.as_str());
            if self.log_budget.may_log(self.now, "placer", stands.as_str()) {
                let detail = self.held_back_text(key);
                self.log("placer", stands.as_str(), key.to_string(), detail);
            }
        }
    }

    /// For the log: what a step's customer has running, and what it may.
    fn held_back_text(&self, key: StepKey) -> String {
        let lead = self.lead.as_deref();
        let step = lead.and_then(|lead| lead.waiting.get(&key));
        let Some((lead, step)) = lead.zip(step) else {
            return String::new();
        };
        let Some(customer) = &step.customer else {
            return String::new();
        };
        let running = lead.sum_usage().of(customer);
        let limit = self.limits.of(Some(customer)).map(|known| known.limit);
        let (tasks, each) = (step.tasks, step.size);
        format!(
            "{tasks} tasks of {each:?} of {customer}, which has {running:?} running of {limit:?}"
        )
    }

    /// Of a choice of workers the part that the customer's limit admits: of a gang all or nothing.
    ///
    /// Each start passes here.
    pub(super) fn within_limit<Choice>(
        &mut self,
        step: &StepToPlace,
        mut choice: Vec<Choice>,
    ) -> Vec<Choice> {
        let Some(customer) = &step.customer else {
            return choice;
        };
        let admitted = self.tasks_within_limit(customer, &step.spec.size);
        if step.spec.gang && choice.len() > admitted {
            choice.clear();
        }
        choice.truncate(admitted);
        let started = step.spec.size.times(choice.len() as u64);
        if let Some(lead) = self.lead.as_deref_mut() {
            lead.usage.add(customer, &started);
        }
        choice
    }

    /// Tasks of a size that a customer may start beside what it has running.
    pub(super) fn tasks_within_limit(&self, customer: &CustomerName, size: &TaskSize) -> usize {
        let known = self.limits.of(Some(customer));
        let Some(known) = known.filter(|_| self.enforces(SiteGuard::CustomerLimit)) else {
            return usize::MAX;
        };
        let lead = self.lead.as_deref();
        let running = lead.map_or_else(TaskSize::default, |lead| lead.usage.of(customer));
        let count = known.limit.tasks_beside(&running, size);
        usize::try_from(count).unwrap_or(usize::MAX)
    }

    /// Tells whether a start that is about to be sent is still within its customer's limit: that may
    /// have been lowered while the start was being kept, which takes seconds where the table is slow.
    pub(super) fn is_within_limit_now(&self, id: &WorkerId, task: TaskKey) -> bool {
        if !self.enforces(SiteGuard::LimitOfNow) {
            return true;
        }
        let Some(lead) = self.lead.as_deref() else {
            return true;
        };
        let live = lead
            .worker_states
            .get(id)
            .and_then(|state| state.runs.get(&task));
        let Some(live) = live.filter(|live| live.copies == 0) else {
            return true;
        };
        let Some(known) = self.limits.of(live.customer.as_ref()) else {
            return true;
        };
        if known.lowered_at.is_none_or(|at| at < live.began) {
            return true;
        }
        let customer = live.customer.as_ref();
        customer.is_none_or(|customer| known.limit.admits(&lead.sum_usage().of(customer)))
    }

    /// Tells whether a gang of a job is larger than its customer may ever run at once.
    pub(super) fn is_beyond_limit(&self, spec: &JobSpec) -> bool {
        let Some(known) = self.limits.of(spec.customer.as_ref()) else {
            return false;
        };
        let gangs = spec.steps.iter().filter(|step| step.gang);
        let mut sizes = gangs.map(|step| step.size.times(u64::from(step.count)));
        sizes.any(|size| !known.limit.admits(&size))
    }
}

/// How a step stands with its customer's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LimitStatus {
    /// A task of it may start, or the whole gang.
    Within,
    /// It waits until less of its customer's runs.
    AtLimit,
    /// It is a gang that is larger than the limit, which was lowered since it was accepted.
    BeyondLimit,
}

impl LimitStatus {
    /// Word for logs and counters.
    fn as_str(self) -> &'static str {
        match self {
            LimitStatus::Within => "within_limit",
            LimitStatus::AtLimit => "at_limit",
            LimitStatus::BeyondLimit => "beyond_limit",
        }
    }
}

fn stands_of(step: &WaitingStep, limit: &RunLimit, usage: &mut CustomerUsage) -> LimitStatus {
    let Some(customer) = &step.customer else {
        return LimitStatus::Within;
    };
    let wanted = if step.gang { u64::from(step.tasks) } else { 1 };
    let size = step.size.times(wanted);
    if limit.tasks_beside(&usage.of(customer), &step.size) >= wanted {
        LimitStatus::Within
    } else if !limit.admits(&size) {
        LimitStatus::BeyondLimit
    } else {
        usage.add(customer, &size);
        LimitStatus::AtLimit
    }
}
