//! Limits of customers: what each has running, and what it may start in addition.
//!
//! Problem: tasks start for many reasons (first starts, retries, gangs, into reclaimed capacity, after a
//! loss, after a takeover), and one kind of start that skips the check breaks the limit. So all of them
//! go through [`EntryCore::within_limit`]. The usage is not stored in a counter, which could deviate
//! from the runs, but summed up from the runs for each placement pass. A run counts from the decision
//! to start it until its end is known, on any worker and under any leader.

use std::collections::BTreeMap;

use crate::core::lead_state::LeadState;
use crate::core::placement::waiting_steps::WaitingStep;
use crate::core::placement::StepToPlace;
use crate::core::EntryCore;
use crate::customer::{CustomerName, RunLimit};
use crate::guard::SiteGuard;
use crate::ids::{CoreTime, StepKey, TaskKey, WorkerId};
use crate::job::{JobSpec, TaskSize};
use crate::queue_table::QueueTable;

/// A customer's limit, from the last configuration that contains the customer.
#[derive(Clone, Copy, Debug, Default)]
struct KnownLimit {
    limit: RunLimit,
    /// When the limit was last lowered.
    lowered_at: Option<CoreTime>,
}

/// Limits of all customers that any configuration so far contains.
#[derive(Debug, Default)]
pub(in crate::core) struct CustomerLimits {
    known: BTreeMap<CustomerName, KnownLimit>,
}

impl CustomerLimits {
    /// Applies the limits of a configuration. A customer that is not in it keeps its limit.
    fn update(&mut self, table: &QueueTable, now: CoreTime) {
        for rule in table.customers() {
            let known = self.known.entry(rule.name.clone()).or_default();
            if rule.limit.is_lower_than(&known.limit) {
                known.lowered_at = Some(now);
            }
            known.limit = rule.limit;
        }
    }

    /// Returns a customer's limit, or `None` if it is unlimited.
    fn of(&self, customer: Option<&CustomerName>) -> Option<&KnownLimit> {
        let known = self.known.get(customer?)?;
        (!known.limit.is_unlimited()).then_some(known)
    }

    /// Returns whether any configuration so far contains customers.
    pub(in crate::core) fn are_known(&self) -> bool {
        !self.known.is_empty()
    }

    fn has_limits(&self) -> bool {
        self.known.values().any(|known| !known.limit.is_unlimited())
    }

    /// Returns how many tasks of a waiting step its customer's limit allows beside `usage`, to which they
    /// are added.
    pub(in crate::core) fn take_startable(
        &self,
        step: &WaitingStep,
        usage: &mut CustomerUsage,
    ) -> u64 {
        let tasks = u64::from(step.tasks);
        let Some((customer, known)) = step.customer.as_ref().zip(self.of(step.customer.as_ref()))
        else {
            return tasks;
        };
        let startable = match known.limit.tasks_beside(&usage.of(customer), &step.size) {
            allowed if step.gang && allowed < tasks => 0,
            allowed => allowed.min(tasks),
        };
        usage.add(customer, &step.size.times(startable));
        startable
    }
}

/// What customers have running, and during a placement pass also what is reserved for steps that wait
/// for their customer's limit.
#[derive(Clone, Debug, Default)]
pub(in crate::core) struct CustomerUsage {
    running: BTreeMap<CustomerName, TaskSize>,
}

impl CustomerUsage {
    fn of(&self, customer: &CustomerName) -> TaskSize {
        self.running.get(customer).copied().unwrap_or_default()
    }

    /// Returns the customers with what they have running.
    pub(in crate::core) fn running(&self) -> impl Iterator<Item = (&CustomerName, &TaskSize)> {
        self.running.iter()
    }

    fn add(&mut self, customer: &CustomerName, size: &TaskSize) {
        let running = self.running.entry(customer.clone()).or_default();
        *running = running.plus(size);
    }
}

impl LeadState {
    /// Sums up what each customer has running, or may have running.
    pub(in crate::core) fn sum_usage(&self) -> CustomerUsage {
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
    /// Applies the limits of a configuration that is about to be in force.
    pub(in crate::core) fn apply_limits(&mut self, table: &QueueTable) {
        self.limits.update(table, self.now);
    }

    /// Sums up what customers have running, for a placement pass.
    pub(in crate::core) fn sum_usage_for_placement(&mut self) {
        let any = self.limits.has_limits();
        if let Some(lead) = self.lead.as_deref_mut() {
            lead.usage = match any {
                true => lead.sum_usage(),
                false => CustomerUsage::default(),
            };
        }
    }

    /// Removes the steps that wait for their customer's limit, of which no task may start now. `ranked` is
    /// in the order of placement.
    ///
    /// What is free below the limit is reserved for a gang that waits for it: otherwise smaller steps of
    /// its customer would use it up again and again. From the next placement pass on, only urgent steps
    /// come before such a gang, so that a late gang is not overtaken by steps that are still in time.
    pub(in crate::core) fn remove_steps_at_limit<Rank>(
        &mut self,
        ranked: &mut Vec<(Rank, StepKey)>,
    ) {
        if !self.limits.has_limits() || !self.enforces(SiteGuard::CustomerLimit) {
            return;
        }
        let (limits, now) = (&self.limits, self.now);
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let (waiting, usage) = (&lead.waiting, &mut lead.usage);
        let previous = &lead.waiting_for_limit;
        let is_waiting_gang = |key: &StepKey| {
            let step = waiting.get(key).filter(|step| step.gang);
            let at_limit = previous.get(key) == Some(&LimitStatus::AtLimit);
            at_limit && step.is_some_and(|step| !step.is_beyond_share(now))
        };
        if previous.keys().any(is_waiting_gang) {
            let is_urgent = |key: &StepKey| {
                let step = waiting.get(key);
                step.is_some_and(|step| step.is_urgent() && !step.is_beyond_share(now))
            };
            ranked.sort_by_key(|(_, key)| match (is_urgent(key), is_waiting_gang(key)) {
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
            let status = limit_status(step, &known.limit, usage);
            if status != LimitStatus::Within {
                waiting_for_limit.insert(*key, status);
            }
            status == LimitStatus::Within
        });
        let previous = std::mem::replace(&mut lead.waiting_for_limit, waiting_for_limit);
        self.log_limit_waits(&previous);
    }

    /// Logs the steps that have begun to wait for their customer's limit, or whose status has changed.
    fn log_limit_waits(&mut self, previous: &BTreeMap<StepKey, LimitStatus>) {
        let Some(lead) = self.lead.as_deref() else {
            return;
        };
        let changed = lead.waiting_for_limit.iter();
        let changed = changed.filter(|(key, status)| previous.get(key) != Some(status));
        let changed: Vec<(StepKey, LimitStatus)> =
            changed.map(|(key, status)| (*key, *status)).collect();
        for (key, status) in changed {
            self.counters.count("placements", status.as_str());
            if self.log_budget.may_log(self.now, "placer", status.as_str()) {
                let detail = self.limit_wait_text(key);
                self.log("placer", status.as_str(), key.to_string(), detail);
            }
        }
    }

    /// Returns the log text of a step that waits: what its customer has running, and its limit.
    fn limit_wait_text(&self, key: StepKey) -> String {
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
            "{tasks} tasks of {each:?} of {customer}, which has {running:?} running, limit {limit:?}"
        )
    }

    /// Reduces an assignment to as many tasks as the customer's limit allows: for a gang, all or none.
    ///
    /// Every start goes through this function.
    pub(in crate::core) fn within_limit<Assigned>(
        &mut self,
        step: &StepToPlace,
        mut assignment: Vec<Assigned>,
    ) -> Vec<Assigned> {
        let Some(customer) = &step.customer else {
            return assignment;
        };
        let admitted = self.tasks_within_limit(customer, &step.spec.size);
        if step.spec.gang && assignment.len() > admitted {
            assignment.clear();
        }
        assignment.truncate(admitted);
        let started = step.spec.size.times(assignment.len() as u64);
        if let Some(lead) = self.lead.as_deref_mut() {
            lead.usage.add(customer, &started);
        }
        assignment
    }

    /// Returns how many tasks of a size a customer may start in addition to what it has running.
    pub(in crate::core) fn tasks_within_limit(
        &self,
        customer: &CustomerName,
        size: &TaskSize,
    ) -> usize {
        let known = self.limits.of(Some(customer));
        let Some(known) = known.filter(|_| self.enforces(SiteGuard::CustomerLimit)) else {
            return usize::MAX;
        };
        let lead = self.lead.as_deref();
        let running = lead.map_or_else(TaskSize::default, |lead| lead.usage.of(customer));
        let count = known.limit.tasks_beside(&running, size);
        usize::try_from(count).unwrap_or(usize::MAX)
    }

    /// Returns whether a start that is about to be sent is still within its customer's limit. The limit
    /// may have been lowered while the start was being committed, which takes seconds if the table is
    /// slow.
    pub(in crate::core) fn is_within_limit_now(&self, id: &WorkerId, task: TaskKey) -> bool {
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

    /// Returns whether a gang of a job exceeds its customer's limit by itself, so that it can never run.
    pub(in crate::core) fn is_beyond_limit(&self, spec: &JobSpec) -> bool {
        let Some(known) = self.limits.of(spec.customer.as_ref()) else {
            return false;
        };
        let gangs = spec.steps.iter().filter(|step| step.gang);
        let mut sizes = gangs.map(|step| step.size.times(u64::from(step.count)));
        sizes.any(|size| !known.limit.admits(&size))
    }
}

/// Whether a step may start tasks within its customer's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::core) enum LimitStatus {
    /// At least one task may start, or the entire gang.
    Within,
    /// The step waits until its customer has less running.
    AtLimit,
    /// The step is a gang that exceeds the limit, which was lowered after the job was accepted.
    BeyondLimit,
}

impl LimitStatus {
    /// Returns the name in logs and counters.
    fn as_str(self) -> &'static str {
        match self {
            LimitStatus::Within => "within_limit",
            LimitStatus::AtLimit => "at_limit",
            LimitStatus::BeyondLimit => "beyond_limit",
        }
    }
}

fn limit_status(step: &WaitingStep, limit: &RunLimit, usage: &mut CustomerUsage) -> LimitStatus {
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
