//! Selection of the waiting steps that a placement pass considers.
//!
//! A pass considers a bounded number of steps. If all of them were those with the first ranks, steps that cannot
//! start, such as those of a service without free workers, would keep steps that can start out of every pass.
//! So half of the places go by rank alone, and half to steps for which capacity is free, in turns over the
//! services. Steps of one service compete for the same workers and keep the order of their ranks.

use std::collections::{BTreeMap, BTreeSet};

use crate::core::lead_state::LeadState;
use crate::core::placement::step_advice::StepAdvice;
use crate::core::placement::waiting_steps::{Lateness, WaitingRank};
use crate::core::placement::worker_selection::takes_tasks;
use crate::core::worker_state::Reservation;
use crate::core::EntryCore;
use crate::ids::{CoreTime, StepKey, WorkerId};
use crate::job::TaskSize;
use crate::queue_table::AdviceRule;

/// Maximum number of steps considered in one placement pass.
const MAX_STEPS_PER_PASS: usize = 100;
/// Of these, the number of steps that are considered for their rank alone.
const RANKED_STEPS_PER_PASS: usize = MAX_STEPS_PER_PASS / 2;
/// Of these, the number of steps that are considered because capacity is free for them.
const FITTING_STEPS_PER_PASS: usize = MAX_STEPS_PER_PASS - RANKED_STEPS_PER_PASS;

/// Maximum number of comparisons of workers with the advice that steps have, in the selection for one pass.
const MAX_COMPARISONS_PER_PASS: usize = 20_000;

/// A step that a placement pass considers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SelectedStep {
    pub(super) key: StepKey,
    /// Whether it was selected because capacity is free for it.
    fits: bool,
}

/// Capacity that a step needs to start.
#[derive(Clone, Copy, Debug)]
struct StepDemand<'a> {
    service: &'a str,
    label: Option<&'a str>,
    size: TaskSize,
    /// Number of tasks that must start at once.
    tasks: usize,
    /// Maximum number of them on one worker.
    per_worker: usize,
}

impl StepDemand<'_> {
    /// Returns whether it needs at least as much as another demand for the same service and label.
    fn covers(&self, other: &StepDemand<'_>) -> bool {
        other.size.fits(&self.size)
            && other.tasks <= self.tasks
            && other.per_worker >= self.per_worker
    }
}

/// A worker that takes tasks, with the capacity that is neither used, nor reserved, nor meant for a step of this
/// pass.
struct FreeWorker<'a> {
    id: &'a WorkerId,
    labels: &'a [String],
    free: TaskSize,
}

/// Demands for a service and a label that do not fit, without those that cover another one.
type UnmetDemands<'a> = BTreeMap<(&'a str, Option<&'a str>), Vec<StepDemand<'a>>>;

/// Capacity that steps of this pass may use.
struct FreeCapacity<'a> {
    workers: BTreeMap<&'a str, Vec<FreeWorker<'a>>>,
    /// Capacity that each step with reservations may use on the workers that have them.
    reserved: BTreeMap<StepKey, Vec<TaskSize>>,
    unmet: UnmetDemands<'a>,
    /// Number of workers that may still be compared with steps.
    comparisons_left: usize,
}

impl<'a> FreeCapacity<'a> {
    fn of(lead: &'a LeadState, now: CoreTime) -> Self {
        let mut capacity = Self {
            workers: BTreeMap::new(),
            reserved: BTreeMap::new(),
            unmet: BTreeMap::new(),
            comparisons_left: MAX_COMPARISONS_PER_PASS,
        };
        for (id, state) in lead.worker_states.iter() {
            let usable = takes_tasks(state) && now >= state.backoff_until;
            if !usable || !state.is_responsive(now) {
                continue;
            }
            for reservation in state.reserved.iter().filter(|it| it.terms.until > now) {
                let (step, order) = (reservation.step, reservation.order());
                let is_behind =
                    |entry: &Reservation| order.is_some_and(|order| entry.is_planned_after(order));
                let free = state.free_beside(|entry| entry.step == step || is_behind(entry), now);
                capacity.reserved.entry(step).or_default().push(free);
            }
            let free = state.free_beside(|_| false, now);
            if free != TaskSize::default() {
                let labels = state.entry.labels.as_slice();
                let service = state.entry.service.as_str();
                let workers = capacity.workers.entry(service).or_default();
                workers.push(FreeWorker { id, labels, free });
            }
        }
        capacity
    }

    /// Returns whether capacity that is reserved for a step is free on a worker.
    fn fits_reserved(&self, key: StepKey, demand: &StepDemand<'_>) -> bool {
        let mut free = self.reserved.get(&key).into_iter().flatten();
        free.any(|free| demand.size.fits(free))
    }

    /// Takes capacity for up to `wanted` tasks on workers for which `may_run` holds. Returns whether the demand
    /// fits; if not, takes nothing.
    fn take(
        &mut self,
        demand: StepDemand<'a>,
        wanted: usize,
        may_run: Option<&dyn Fn(&WorkerId) -> bool>,
    ) -> bool {
        let Some(workers) = self.workers.get_mut(demand.service) else {
            return false;
        };
        let unmet = self.unmet.entry((demand.service, demand.label));
        let unmet = unmet.or_default();
        if unmet.iter().any(|other| demand.covers(other)) {
            return false;
        }
        let mut found = Vec::new();
        let (mut tasks, mut refused) = (0, false);
        for (index, worker) in workers.iter().enumerate() {
            let has_label = |label: &str| worker.labels.iter().any(|it| it == label);
            let fitting = demand.size.times_within(&worker.free);
            let fitting = fitting.min(demand.per_worker).min(wanted - tasks);
            if fitting == 0 || !demand.label.is_none_or(has_label) {
                continue;
            }
            if let Some(may_run) = may_run {
                self.comparisons_left = self.comparisons_left.saturating_sub(1);
                if !may_run(worker.id) {
                    refused = true;
                    continue;
                }
            }
            tasks += fitting;
            found.push((index, fitting as u64));
            if tasks == wanted {
                break;
            }
        }
        if tasks < demand.tasks {
            if !refused {
                unmet.retain(|other| !other.covers(&demand));
                unmet.push(demand);
            }
            return false;
        }
        for (index, fitting) in found {
            let worker = &mut workers[index];
            worker.free = worker.free.minus(&demand.size.times(fitting));
        }
        true
    }
}

/// Positions, in the order of ranks, of steps for which capacity is free, by service.
#[derive(Default)]
struct FittingSteps<'a> {
    by_service: BTreeMap<&'a str, Vec<usize>>,
}

impl<'a> FittingSteps<'a> {
    fn add(&mut self, service: &'a str, position: usize) {
        self.by_service.entry(service).or_default().push(position);
    }

    /// Returns whether further steps of a service would not be selected.
    fn has_enough_of(&self, service: &str) -> bool {
        let steps = self.by_service.get(service);
        steps.is_some_and(|steps| steps.len() >= FITTING_STEPS_PER_PASS)
    }

    /// Returns the steps to consider, one of each service in turn.
    fn select(&self) -> BTreeSet<usize> {
        let turns = 0..FITTING_STEPS_PER_PASS;
        let in_turn = turns.flat_map(|turn| {
            let services = self.by_service.values();
            services.filter_map(move |steps| steps.get(turn))
        });
        in_turn.take(FITTING_STEPS_PER_PASS).copied().collect()
    }
}

/// Whether advice may be requested, by what that depends on.
#[derive(Default)]
struct AdviceAccess {
    late: BTreeMap<Lateness, bool>,
    advisers: BTreeMap<u128, bool>,
}

impl EntryCore {
    /// Returns the steps that a placement pass considers, in the order of their ranks.
    pub(super) fn select_steps(&self, ranked: &[(WaitingRank, StepKey)]) -> Vec<SelectedStep> {
        let by_rank = ranked.len().min(RANKED_STEPS_PER_PASS);
        let (first, others) = ranked.split_at(by_rank);
        let fitting = if ranked.len() > MAX_STEPS_PER_PASS {
            self.fitting_steps(others)
        } else {
            BTreeSet::new()
        };
        let mut places_left = MAX_STEPS_PER_PASS - first.len() - fitting.len();
        let first = first.iter().map(|(_, key)| SelectedStep {
            key: *key,
            fits: false,
        });
        let others = others.iter().enumerate();
        let others = others.filter_map(|(position, (_, key))| {
            let fits = fitting.contains(&position);
            if !fits {
                places_left = places_left.checked_sub(1)?;
            }
            Some(SelectedStep { key: *key, fits })
        });
        first.chain(others).collect()
    }

    /// Returns the positions of steps for which capacity is free.
    fn fitting_steps(&self, ranked: &[(WaitingRank, StepKey)]) -> BTreeSet<usize> {
        let Some(lead) = self.lead.as_deref() else {
            return BTreeSet::new();
        };
        let mut capacity = FreeCapacity::of(lead, self.now);
        let mut access = AdviceAccess::default();
        let mut steps = FittingSteps::default();
        let mut passed_over = Vec::new();
        let services: Vec<&str> = capacity.workers.keys().copied().collect();
        for (position, (_, key)) in ranked.iter().enumerate() {
            let is_complete = services.iter().all(|service| steps.has_enough_of(service));
            if is_complete || capacity.comparisons_left == 0 {
                break;
            }
            let Some((demand, rule)) = self.demand_of(*key) else {
                continue;
            };
            if steps.has_enough_of(demand.service) || self.awaits_advice(*key, rule, &mut access) {
                continue;
            }
            if capacity.fits_reserved(*key, &demand) {
                steps.add(demand.service, position);
                continue;
            }
            let waiting = lead.waiting.get(key);
            if let Some(at) = waiting.and_then(|waiting| waiting.passed_over_at) {
                passed_over.push((at, position));
            } else if self.take_capacity(&mut capacity, *key, demand) {
                steps.add(demand.service, position);
            }
        }
        // Otherwise steps that cannot start for another reason than capacity would take it from those that can.
        passed_over.sort_unstable();
        for (_, position) in passed_over {
            if capacity.comparisons_left == 0 {
                break;
            }
            let (_, key) = ranked[position];
            let Some((demand, _)) = self.demand_of(key) else {
                continue;
            };
            if !steps.has_enough_of(demand.service)
                && self.take_capacity(&mut capacity, key, demand)
            {
                steps.add(demand.service, position);
            }
        }
        steps.select()
    }

    /// Takes capacity for the tasks of a step on workers that may run it, as far as is known. Returns whether
    /// the step fits.
    fn take_capacity<'a>(
        &'a self,
        capacity: &mut FreeCapacity<'a>,
        key: StepKey,
        demand: StepDemand<'a>,
    ) -> bool {
        let Some(lead) = self.lead.as_deref() else {
            return false;
        };
        let waiting = lead.waiting.get(&key);
        let wanted = waiting.map_or(1, |waiting| waiting.tasks as usize);
        let wanted = wanted.max(demand.tasks);
        let advice = lead.advice.get(&key);
        let may_run = advice
            .map(|advice| move |id: &WorkerId| advice.is_allowed(id) || !advice.has_answer_for(id));
        let may_run = may_run.as_ref().map(|it| it as &dyn Fn(&WorkerId) -> bool);
        capacity.take(demand, wanted, may_run)
    }

    /// Returns what a step needs to start, and how advice is requested for it, if it is.
    fn demand_of(&self, key: StepKey) -> Option<(StepDemand<'_>, Option<AdviceRule>)> {
        let job = self.book.job(key.job)?;
        let spec = job.spec.steps.get(usize::from(key.step))?;
        let table = self.table.as_ref();
        let queue = table.and_then(|table| table.queue(&job.spec.queue));
        let terms = queue.map_or(&job.terms, |queue| &queue.terms);
        let tasks = if spec.gang { spec.count as usize } else { 1 };
        let per_worker = match spec.per_worker_limit {
            limit if limit > 0 && spec.gang => limit as usize,
            _ => usize::MAX,
        };
        let demand = StepDemand {
            service: &terms.service,
            label: spec.required_label.as_deref(),
            size: spec.resources(),
            tasks,
            per_worker,
        };
        Some((demand, terms.advice))
    }

    /// Returns whether a step can neither start nor request advice now.
    fn awaits_advice(
        &self,
        key: StepKey,
        rule: Option<AdviceRule>,
        access: &mut AdviceAccess,
    ) -> bool {
        let (Some(rule), Some(lead)) = (rule, self.lead.as_deref()) else {
            return false;
        };
        let advice = lead.advice.get(&key);
        if advice.is_some_and(|advice| advice.permitted(self.now).next().is_some()) {
            return false;
        }
        if advice.is_some_and(|advice| !advice.can_send_request(self.now)) {
            return true;
        }
        let waiting = lead.waiting.get(&key);
        let tasks = waiting.map_or(1, |waiting| waiting.tasks as usize);
        let available = access.advisers.entry(rule.time_for(tasks).as_nanos());
        if !*available.or_insert_with(|| self.has_available_adviser(rule, tasks)) {
            return true;
        }
        let lateness = waiting.map_or(Lateness::InTime, |it| it.lateness(self.wall));
        let may_ask = access.late.entry(lateness);
        let may_ask = *may_ask.or_insert_with(|| self.may_request_advice_on_unasked(key));
        !may_ask && advice.is_none_or(StepAdvice::has_no_answer)
    }

    /// Records that a step was considered in vain although capacity was free for it.
    pub(super) fn record_passed_over(&mut self, selected: SelectedStep) {
        let (key, now) = (selected.key, self.now);
        let Some(lead) = self.lead.as_deref_mut().filter(|_| selected.fits) else {
            return;
        };
        let started = lead.dirty_jobs.contains(&key.job);
        let asks = lead.advice.get(&key).is_some_and(StepAdvice::is_in_flight);
        if let Some(waiting) = lead.waiting.get_mut(&key).filter(|_| !started && !asks) {
            waiting.passed_over_at = Some(now);
        }
    }
}
