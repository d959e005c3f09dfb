//! What a placement pass looks at.
//!
//! To look at a step costs much more than to see that it cannot go on. So a pass walks all waiting steps in the
//! order of their ranks, and only those that may go on take one of its places. A step that waits for capacity
//! of its kind, for an answer of the policy service, or for workers that the service allows does not keep
//! steps behind it from capacity that they can use.
//!
//! A worker belongs to one service, so steps of different services never compete for capacity. Each service has
//! an equal share of the places; what one leaves goes to the others.

use std::collections::BTreeMap;

use crate::core::lead_state::LeadState;
use crate::core::live_run::RunLoad;
use crate::core::placement::advice::StepAdvice;
use crate::core::placement::step_kinds::{KindNumber, StepKind};
use crate::core::placement::waiting_steps::{StepOrder, WaitingRank, FIRST_RANK};
use crate::core::placement::worker_selection::{has_label, is_usable};
use crate::core::EntryCore;
use crate::ids::{CoreTime, StepKey, WorkerId};
use crate::job::TaskSize;
use crate::queue_table::AdviceRule;

/// Maximum number of steps that a placement pass looks at.
pub(super) const MAX_STEPS_PER_PASS: usize = 100;
/// Maximum number of these for which no capacity is free, in percent of each service's share.
const MAX_PREPARED_PERCENT: usize = 50;
/// Maximum number of workers in a pass whose answers by the policy service are looked up to see whether steps
/// may go on.
const MAX_ANSWER_LOOKUPS: usize = 4_000;
/// Maximum number of steps of a service that a pass ranks among those for which no capacity is free.
const MAX_FULL_STEPS: usize = 200;
/// Maximum numbers of steps and answers where a pass goes on where the last one stopped.
const MAX_RESUMED_STEPS: usize = 10;
const MAX_RESUMED_LOOKUPS: usize = 2_000;

/// What a look at a step may achieve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outlook {
    /// Tasks may start, or advice may be requested about workers with free capacity.
    Start,
    /// No capacity is free: it may be reclaimed or planned, or advice requested ahead.
    Prepare,
    /// Nothing, until something changes.
    Nothing,
}

/// A worker in a pass.
#[derive(Debug)]
struct PassWorker {
    id: WorkerId,
    room: TaskSize,
    /// Free capacity when the pass began.
    free: TaskSize,
    /// Whether it takes new runs, and whether it does so in back-off only.
    usable: bool,
    in_backoff: bool,
}

/// What a pass knows of a kind of steps.
#[derive(Debug)]
struct KindView {
    service: usize,
    rule: Option<AdviceRule>,
    resources: TaskSize,
    gang: bool,
    /// Number of tasks that the workers could hold if nothing ran; for steps that are not gangs, 1 at most.
    most_tasks: usize,
    /// Workers with capacity for a task, as long as no look has found them full.
    open: Vec<WorkerId>,
    /// Whether an instance is free enough for another advice request.
    has_adviser: bool,
    /// Whether no capacity could be reclaimed for a step in this pass. Without a policy service, it is then the
    /// same for all steps of the kind.
    is_irreclaimable: bool,
}

/// The places of a service's steps in a pass.
#[derive(Clone, Copy, Debug, Default)]
struct ServicePlaces {
    looked_at: usize,
    prepared: usize,
    /// Whether a step was passed over since the service had used its share.
    used_up: bool,
}

/// A placement pass.
#[derive(Debug)]
pub(super) struct PlacementPass {
    now: CoreTime,
    committed_at: CoreTime,
    largest_free: TaskSize,
    /// Workers and configuration for which refusals by the policy service are looked up.
    known: (u64, u64),
    /// Numbers of the services that waiting steps need.
    services: BTreeMap<String, usize>,
    places: Vec<ServicePlaces>,
    /// Workers of each service.
    workers: Vec<Vec<PassWorker>>,
    kinds: Vec<Option<KindView>>,
    /// Number of answers that may still be looked up in this part of the pass.
    lookups_left: usize,
    /// Number of steps that may still be looked at in this part of the pass.
    places_left: usize,
    /// Number of looks at steps, and of those that achieved nothing.
    looked_at: usize,
    fruitless: usize,
}

/// A waiting step in a pass.
#[derive(Clone, Copy, Debug)]
pub(super) struct RankedStep {
    rank: WaitingRank,
    key: StepKey,
    kind: KindNumber,
    tasks: usize,
    /// Whether the policy service allows no worker, and no further one is there to ask about.
    refused: bool,
    looked_at: bool,
}

impl EntryCore {
    /// Runs a placement pass: looks at the steps that may go on, in the order of their ranks. Returns the number of
    /// looks.
    pub(super) fn run_pass(&mut self, order: StepOrder) -> usize {
        let waiting = self.lead.as_deref().map_or(0, |lead| lead.waiting.len());
        if waiting <= MAX_STEPS_PER_PASS {
            return self.look_at_all(order);
        }
        let mut pass = self.new_pass();
        let mut ranked = self.rank_steps(&pass, order);
        self.remove_steps_at_limit(&mut ranked);
        let mut steps: Vec<RankedStep> = ranked.into_iter().map(|(step, _)| step).collect();
        let share = MAX_STEPS_PER_PASS.div_ceil(pass.services.len().max(1));
        let mut stopped_at = self.walk(&mut pass, &mut steps, 0, share);
        if pass.places.iter().any(|places| places.used_up) {
            // Steps get the places that other services have left.
            let second = self.walk(&mut pass, &mut steps, 0, MAX_STEPS_PER_PASS);
            stopped_at = stopped_at.max(second);
        }
        self.resume_pass(&mut pass, &mut steps, stopped_at);
        pass.looked_at
    }

    /// Looks at all waiting steps, if they are few: none can keep another from its place, and to look costs less
    /// than to determine the outlook of each kind.
    fn look_at_all(&mut self, order: StepOrder) -> usize {
        let (now, wall) = (self.now, self.wall);
        let Some(lead) = self.lead.as_deref() else {
            return 0;
        };
        let ranked = lead.waiting.iter().map(|(key, step)| {
            let has_start = lead.plans.has_start(key);
            let rank = match lead.restarting.contains_key(key) {
                true => FIRST_RANK,
                false => step.rank(now, wall, order, has_start),
            };
            (rank, *key)
        });
        let mut ranked: Vec<(WaitingRank, StepKey)> = ranked.collect();
        ranked.sort_unstable();
        let largest_free = lead.max_free();
        self.remove_steps_at_limit(&mut ranked);
        let lead = self.lead.as_deref();
        ranked.retain(|(_, key)| {
            let advice = lead.and_then(|lead| lead.advice.get(key));
            !advice.is_some_and(StepAdvice::awaits_first_answer)
        });
        for (_, key) in &ranked {
            let job = self.book.job(key.job);
            let spec = job.and_then(|job| job.spec.steps.get(usize::from(key.step)));
            if !spec.is_some_and(|spec| spec.resources().fits(&largest_free)) {
                self.record_capacity_wait(*key);
                if !self.may_reclaim_capacity(*key) {
                    continue;
                }
            }
            if let Some(step) = self.step_to_place(*key) {
                self.place_step(&step);
            }
        }
        ranked.len()
    }

    /// Returns the waiting steps in the order of their ranks, without those that nothing can be done for.
    fn rank_steps(&self, pass: &PlacementPass, order: StepOrder) -> Vec<(RankedStep, StepKey)> {
        let (now, wall) = (self.now, self.wall);
        let Some(lead) = self.lead.as_deref() else {
            return Vec::new();
        };
        // Steps that wait for their customer's limit count against it, whether they could run or not.
        let needs_all = self.has_customer_limits();
        let mut open = Vec::new();
        let mut full: Vec<Vec<(RankedStep, StepKey)>> = Vec::new();
        full.resize_with(pass.services.len(), Vec::new);
        for (key, waiting) in &lead.waiting {
            let Some(Some(kind)) = pass.kinds.get(waiting.kind) else {
                continue;
            };
            let restarts = lead.restarting.contains_key(key);
            let has_start = lead.plans.has_start(key);
            let step = RankedStep {
                rank: if restarts {
                    FIRST_RANK
                } else {
                    waiting.rank(now, wall, order, has_start)
                },
                key: *key,
                kind: waiting.kind,
                tasks: waiting.tasks as usize,
                refused: waiting.refused_with == Some(pass.known),
                looked_at: false,
            };
            let must_look = restarts || needs_all || self.has_capacity_claim(*key);
            if !must_look && (step.refused || kind.most_tasks < kind.wanted(&step)) {
                continue;
            }
            if must_look || !kind.open.is_empty() {
                open.push((step, *key));
            } else {
                full[kind.service].push((step, *key));
            }
        }
        for mut steps in full {
            if steps.len() > MAX_FULL_STEPS {
                steps.select_nth_unstable_by_key(MAX_FULL_STEPS, |(step, key)| (step.rank, *key));
                steps.truncate(MAX_FULL_STEPS);
            }
            open.append(&mut steps);
        }
        open.sort_unstable_by_key(|(step, key)| (step.rank, *key));
        open
    }

    /// Goes on where the last pass stopped, if this one has stopped before the end without achieving much: the
    /// first steps cannot go on for reasons that only a look at them shows.
    fn resume_pass(
        &mut self,
        pass: &mut PlacementPass,
        steps: &mut [RankedStep],
        stopped_at: usize,
    ) {
        let out_of_lookups = pass.lookups_left == 0;
        let mostly_fruitless = pass.fruitless * 2 > pass.looked_at;
        let resume_after = self.lead.as_deref().and_then(|lead| lead.resume_after);
        let mut next = None;
        if stopped_at < steps.len() && (out_of_lookups || mostly_fruitless) {
            let resumed = resume_after.map_or(0, |after| {
                steps.partition_point(|step| (step.rank, step.key) <= after)
            });
            let first = match resumed.max(stopped_at) {
                end if end == steps.len() => stopped_at,
                first => first,
            };
            pass.lookups_left = MAX_RESUMED_LOOKUPS;
            pass.places_left = MAX_RESUMED_STEPS;
            let end = self.walk(pass, steps, first, usize::MAX);
            next = end
                .checked_sub(1)
                .map(|last| (steps[last].rank, steps[last].key));
        }
        if let Some(lead) = self.lead.as_deref_mut() {
            lead.resume_after = next;
        }
    }

    /// Walks steps from `first` on, and looks at those that may go on while their service has places left, of
    /// `most` in the pass. Returns where it stopped for lack of places or lookups.
    fn walk(
        &mut self,
        pass: &mut PlacementPass,
        steps: &mut [RankedStep],
        first: usize,
        most: usize,
    ) -> usize {
        for (index, step) in steps.iter_mut().enumerate().skip(first) {
            if pass.places_left == 0 || pass.lookups_left == 0 {
                return index;
            }
            if !step.looked_at {
                self.look_if_worthwhile(pass, step, most);
            }
        }
        steps.len()
    }

    fn new_pass(&self) -> PlacementPass {
        let mut pass = PlacementPass {
            now: self.now,
            committed_at: self.now,
            largest_free: TaskSize::default(),
            known: (0, 0),
            services: BTreeMap::new(),
            places: Vec::new(),
            workers: Vec::new(),
            kinds: Vec::new(),
            lookups_left: MAX_ANSWER_LOOKUPS,
            places_left: MAX_STEPS_PER_PASS,
            looked_at: 0,
            fruitless: 0,
        };
        let Some(lead) = self.lead.as_deref().filter(|lead| !lead.waiting.is_empty()) else {
            return pass;
        };
        pass.committed_at = self.now + lead.time_to_commit();
        pass.largest_free = lead.max_free();
        pass.known = (lead.worker_states.changes(), self.table_version());
        for kind in lead.kinds.iter() {
            let count = pass.services.len();
            let service = self.service_of(kind);
            if !pass.services.contains_key(service) {
                pass.services.insert(service.to_owned(), count);
            }
        }
        pass.places = vec![ServicePlaces::default(); pass.services.len()];
        pass.workers.resize_with(pass.services.len(), Vec::new);
        for (id, state) in lead.worker_states.iter() {
            if let Some(service) = pass.services.get(&state.entry.service) {
                pass.workers[*service].push(PassWorker {
                    id: id.clone(),
                    room: state.entry.room,
                    free: state.entry.room.minus(&state.used),
                    usable: is_usable(state, true, self.now),
                    in_backoff: self.now < state.backoff_until,
                });
            }
        }
        let kinds = lead.kinds.numbered();
        pass.kinds = kinds
            .map(|kind| kind.map(|kind| self.kind_view(lead, &pass, kind)))
            .collect();
        pass
    }

    fn service_of<'a>(&'a self, kind: &'a StepKind) -> &'a str {
        let queue = self
            .table
            .as_ref()
            .and_then(|table| table.queue(&kind.queue));
        queue.map_or(&kind.service, |queue| &queue.terms.service)
    }

    fn kind_view(&self, lead: &LeadState, pass: &PlacementPass, kind: &StepKind) -> KindView {
        let table = self.table.as_ref();
        let queue = table.and_then(|table| table.queue(&kind.queue));
        let rule = queue.and_then(|queue| queue.terms.advice);
        let service = pass.services[self.service_of(kind)];
        let needs_more = kind.label.is_some() || kind.load != RunLoad::Plain;
        let takes = |worker: &&PassWorker| {
            let fits = worker.usable
                && (kind.lasting || !worker.in_backoff)
                && kind.resources.fits(&worker.room);
            fits && (!needs_more || {
                let state = lead.worker_states.get(&worker.id);
                state.is_some_and(|state| {
                    has_label(state, kind.label.as_ref()) && !state.has_conflicting_run(kind.load)
                })
            })
        };
        let (mut most_tasks, mut open) = (0_usize, Vec::new());
        for worker in pass.workers[service].iter().filter(takes) {
            most_tasks = if kind.gang {
                most_tasks.saturating_add(kind.resources.times_within(&worker.room))
            } else {
                1
            };
            if kind.resources.fits(&worker.free) {
                open.push(worker.id.clone());
            }
        }
        KindView {
            service,
            rule,
            resources: kind.resources,
            gang: kind.gang,
            most_tasks,
            open,
            has_adviser: rule.is_none_or(|rule| self.has_available_adviser(rule, 1)),
            is_irreclaimable: false,
        }
    }

    /// Looks at a step if it may go on and its service has places left.
    fn look_if_worthwhile(&mut self, pass: &mut PlacementPass, step: &mut RankedStep, most: usize) {
        let Some(Some(kind)) = pass.kinds.get(step.kind) else {
            return;
        };
        let service = kind.service;
        let places = pass.places[service];
        if places.looked_at >= most {
            pass.places[service].used_up = true;
            return;
        }
        let may_prepare =
            places.prepared * 100 < most.min(MAX_STEPS_PER_PASS) * MAX_PREPARED_PERCENT;
        let outlook = self.outlook(pass, step, may_prepare);
        match outlook {
            Outlook::Nothing => return,
            Outlook::Prepare => pass.places[service].prepared += 1,
            Outlook::Start => (),
        }
        step.looked_at = true;
        pass.places[service].looked_at += 1;
        pass.looked_at += 1;
        pass.places_left -= 1;
        let before = self.placement_progress();
        if let Some(step) = self.step_to_place(step.key) {
            self.place_step(&step);
        }
        if self.placement_progress() == before {
            pass.record_fruitless(self, step.kind, outlook);
        }
    }

    /// Returns what a look at a step may achieve.
    fn outlook(
        &mut self,
        pass: &mut PlacementPass,
        step: &mut RankedStep,
        may_prepare: bool,
    ) -> Outlook {
        let key = step.key;
        let Some(lead) = self.lead.as_deref() else {
            return Outlook::Nothing;
        };
        let Some(Some(kind)) = pass.kinds.get_mut(step.kind) else {
            return Outlook::Nothing;
        };
        if lead.restarting.contains_key(&key) || self.has_capacity_claim(key) {
            return Outlook::Start;
        }
        let wanted = kind.wanted(step);
        if step.refused || kind.most_tasks < wanted {
            return Outlook::Nothing;
        }
        kind.drop_full(lead, wanted);
        let has_capacity = kind.open_tasks(lead, wanted) >= wanted;
        if !has_capacity && (!may_prepare || kind.is_irreclaimable) {
            return Outlook::Nothing;
        }
        pass.lookups_left = pass.lookups_left.saturating_sub(1);
        let outlook = if kind.rule.is_some() {
            self.outlook_by_answers(pass, step, has_capacity)
        } else if has_capacity {
            Outlook::Start
        } else {
            self.outlook_without_capacity(key, false)
        };
        if !has_capacity {
            self.record_capacity_wait(key);
        }
        outlook
    }

    /// Returns what a look at a step may achieve that finds no capacity.
    fn outlook_without_capacity(&self, key: StepKey, may_request: bool) -> Outlook {
        let plan_at = self
            .lead
            .as_deref()
            .and_then(|lead| lead.next_plan_at.get(&key));
        let is_paused = plan_at.is_some_and(|at| self.now < *at);
        if may_request || (!is_paused && self.may_reclaim_capacity(key)) {
            Outlook::Prepare
        } else {
            Outlook::Nothing
        }
    }

    /// Returns what a look at a step may achieve that needs permits of the policy service.
    fn outlook_by_answers(
        &mut self,
        pass: &mut PlacementPass,
        step: &mut RankedStep,
        has_capacity: bool,
    ) -> Outlook {
        let key = step.key;
        let (Some(lead), Some(Some(kind))) = (self.lead.as_deref(), pass.kinds.get(step.kind))
        else {
            return Outlook::Nothing;
        };
        let wanted = kind.wanted(step);
        let empty = StepAdvice::default();
        let advice = lead.advice.get(&key).unwrap_or(&empty);
        let can_request = advice.can_send_request(pass.now) && kind.has_adviser;
        if advice.has_no_answer() {
            if !can_request || !self.may_request_advice_on_unasked(key) {
                return Outlook::Nothing;
            }
            if has_capacity {
                return Outlook::Start;
            }
            let may_fit = kind.resources.fits(&pass.largest_free);
            return self.outlook_without_capacity(key, may_fit);
        }
        let (mut permitted, mut usable) = (0_usize, 0_usize);
        for worker in &kind.open {
            if permitted >= wanted || pass.lookups_left == 0 {
                break;
            }
            pass.lookups_left -= 1;
            let tasks = kind.tasks_on(lead, worker);
            if advice.permit(worker, pass.committed_at).is_some() {
                permitted = permitted.saturating_add(tasks);
                usable = usable.saturating_add(tasks);
            } else if advice.is_allowed(worker) || !advice.has_answer_for(worker) {
                usable = usable.saturating_add(tasks);
            }
        }
        if permitted >= wanted || (usable >= wanted && can_request) {
            return Outlook::Start;
        }
        if usable >= wanted {
            return Outlook::Nothing;
        }
        let workers = &pass.workers[kind.service];
        if advice.allows_none() && advice.answers() > 0 {
            let serves = |worker: &&PassWorker| {
                let state = lead.worker_states.get(&worker.id);
                let label = lead
                    .kinds
                    .get(step.kind)
                    .and_then(|kind| kind.label.as_ref());
                state.is_some_and(|state| has_label(state, label))
            };
            let mut serving = workers.iter().filter(serves);
            step.refused = serving.all(|worker| advice.has_answer_for(&worker.id));
            pass.lookups_left = pass.lookups_left.saturating_sub(workers.len());
        }
        if step.refused {
            self.record_refusal(key, pass.known);
            return Outlook::Nothing;
        }
        // A gang requests advice about further workers although none has capacity.
        self.outlook_without_capacity(key, kind.gang && can_request)
    }

    /// Records that the policy service allows none of the workers for a step.
    fn record_refusal(&mut self, key: StepKey, known: (u64, u64)) {
        let lead = self.lead.as_deref_mut();
        if let Some(step) = lead.and_then(|lead| lead.waiting.get_mut(&key)) {
            step.refused_with = Some(known);
        }
    }

    /// Returns a number that changes when a placement pass starts a task, requests advice, or reserves capacity.
    fn placement_progress(&self) -> u64 {
        let lead = self.lead.as_deref();
        lead.map_or(0, |lead| lead.placement_progress)
    }
}

impl PlacementPass {
    /// Records that a look at a step of a kind achieved nothing.
    fn record_fruitless(&mut self, core: &EntryCore, number: KindNumber, outlook: Outlook) {
        self.fruitless += 1;
        let Some(Some(kind)) = self.kinds.get_mut(number) else {
            return;
        };
        match kind.rule {
            Some(rule) => kind.has_adviser = core.has_available_adviser(rule, 1),
            None => kind.is_irreclaimable |= outlook == Outlook::Prepare,
        }
    }
}

impl KindView {
    /// Returns for how many tasks of a step there must be capacity for it to start.
    fn wanted(&self, step: &RankedStep) -> usize {
        if self.gang {
            step.tasks
        } else {
            1
        }
    }

    /// Returns how many tasks a worker has capacity for.
    fn tasks_on(&self, lead: &LeadState, worker: &WorkerId) -> usize {
        let state = lead.worker_states.get(worker);
        let free = state.map(|state| state.entry.room.minus(&state.used));
        free.map_or(0, |free| self.resources.times_within(&free))
    }

    /// Returns how many tasks all workers have capacity for, up to a bound.
    fn open_tasks(&self, lead: &LeadState, bound: usize) -> usize {
        let mut tasks = 0_usize;
        for worker in self.open.iter().rev() {
            if tasks >= bound {
                break;
            }
            tasks = tasks.saturating_add(self.tasks_on(lead, worker));
        }
        tasks
    }

    /// Drops workers that have become full in this pass; those at the end, if one task is to be placed.
    fn drop_full(&mut self, lead: &LeadState, wanted: usize) {
        let resources = self.resources;
        let has_capacity = |worker: &WorkerId| {
            let state = lead.worker_states.get(worker);
            state.is_some_and(|state| resources.fits(&state.entry.room.minus(&state.used)))
        };
        if wanted > 1 {
            self.open.retain(has_capacity);
        } else {
            while self.open.last().is_some_and(|last| !has_capacity(last)) {
                self.open.pop();
            }
        }
    }
}
