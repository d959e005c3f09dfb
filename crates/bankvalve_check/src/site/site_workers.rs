//! Workers of a site: their lives, their runs and their gangs.

use bankvalve_queue::{
    ConnectionId, CoreEvent, EndKind, ProcessStart, StartRefusal, StepKey, TaskKey, TaskSize,
    Ticket, WorkerAnswer, WorkerCall, WorkerEntry, WorkerId,
};
use bankvalve_standin::site::{SiteWorker, WorkerEvent};
use rand::Rng;

use super::site_hard_load::WORKER_SIZE;
use super::site_jobs::plan_of;
use super::site_world::{Later, SiteWorld, SERVICE};

/// Time until an instance knows that a connection was reset, in milliseconds.
const RESET_MS: u64 = 2;
/// One answer of a worker in so many is slow.
const SLOW_ANSWERS: u32 = 16;
/// Time after which a call to a worker that is cut off has no answer, in milliseconds.
const SILENT_CALL_MS: u64 = 900;
/// Time after which a new connection to it is given up, in milliseconds: that of the entry's links.
const CONNECT_MS: u64 = 400;

/// A look whose worker waits for an end before it answers.
#[derive(Debug)]
pub(super) struct WaitingLook {
    origin: (usize, u64, Ticket),
    meant: WorkerId,
    token: u64,
    call: WorkerCall,
}

/// Longest lease that a successor assumes a leader to have requested, in milliseconds.
const ASSUMED_LEASE_MS: u64 = 5_000;

/// How a call got to its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallRoute {
    /// The call arrives on a connection that the sender's link has chosen for it.
    Link,
    /// The call waits at the worker since it arrived.
    Received,
}

/// What a call carries that another process of its worker would take for its own: a deadline by the clock of the
/// process that it is for, or the number of an end there.
fn is_process_specific(call: &WorkerCall) -> bool {
    match call {
        WorkerCall::Hold { until_ms, kept, .. } => until_ms.is_some() || *kept > 0,
        _ => false,
    }
}

/// The connection that a call must go on, if it may not go on another.
fn bound_to(call: &WorkerCall) -> Option<ConnectionId> {
    match call {
        WorkerCall::Hold { connection, .. } => *connection,
        _ => None,
    }
}

impl SiteWorld {
    /// Workers that run tasks of jobs of both kinds that a test tells apart.
    pub fn workers_shared_by(&self, kind: impl Fn(bankvalve_queue::JobId) -> bool) -> usize {
        let both = |worker: &&SiteWorker| {
            let kinds = worker.runs().keys().map(|task| kind(task.step.job));
            kinds.collect::<std::collections::BTreeSet<bool>>().len() > 1
        };
        self.workers.values().flatten().filter(both).count()
    }

    pub(super) fn add_worker(&mut self, address: String) {
        self.lives += 1;
        let id: WorkerId = format!("w-{}", self.lives).into();
        let entry = WorkerEntry {
            service: SERVICE.into(),
            address: address.clone(),
            domain: self.domain_of(&address),
            labels: vec!["a".into(), format!("r{}", self.lives % 3)],
            room: match self.load {
                Some(_) => WORKER_SIZE,
                None => TaskSize {
                    millicores: 4_000,
                    memory_mib: 8_000,
                    accelerators: 0,
                },
            },
            leaving: false,
            remaining_ms: None,
            started: Some(ProcessStart(self.wall_ms())),
        };
        self.store.set_worker(&id, Some(entry.clone()));
        let offset = self.rng.random_range(0..100_000);
        self.worker_off_table_until.remove(&address);
        self.worker_reached_by.remove(&address);
        let mut worker = SiteWorker::new(id, entry, offset, self.max_lease_ms);
        worker.max_ends_per_report = self.max_ends_per_report;
        worker.process = self.next_process();
        self.workers.insert(address, Some(worker));
        self.answer_watches();
    }

    /// Limits the ended runs in one answer of a worker, also of later processes.
    pub fn limit_end_reports(&mut self, max_ends: usize) {
        self.max_ends_per_report = max_ends;
        for worker in self.workers.values_mut().flatten() {
            worker.max_ends_per_report = max_ends;
        }
    }

    /// A worker dies; another life begins at its address after a time.
    pub fn crash_worker(&mut self, address: &str, down_ms: u64) {
        let Some(worker) = self.workers.get_mut(address).and_then(Option::take) else {
            return;
        };
        self.runs_end_with(&worker);
        self.break_waiting_looks(address);
        self.store.set_worker(&worker.id, None);
        self.answer_watches();
        let address = address.to_owned();
        self.after(down_ms, Later::ReviveWorker { address });
    }

    /// A worker says that it leaves.
    pub fn drain_worker(&mut self, address: &str, remaining_ms: u64) {
        let Some(Some(worker)) = self.workers.get_mut(address) else {
            return;
        };
        worker.entry.leaving = true;
        worker.entry.remaining_ms = Some(remaining_ms);
        self.lasting.trouble(self.now_ms);
        self.write_entry(address);
    }

    /// A worker takes its entry away without a word and runs on.
    pub fn unlist_worker(&mut self, address: &str) {
        let Some(Some(worker)) = self.workers.get(address) else {
            return;
        };
        let worker = worker.id.clone();
        self.worker_off_table_until
            .insert(address.to_owned(), u64::MAX);
        self.lasting.trouble(self.now_ms);
        self.store.set_worker(&worker, None);
        self.answer_watches();
    }

    /// A worker writes its entry, if it reaches the table.
    pub(super) fn write_entry(&mut self, address: &str) {
        let off = self.worker_off_table_until.get(address);
        if off.is_some_and(|until| *until > self.now_ms) {
            return;
        }
        let Some(Some(worker)) = self.workers.get(address) else {
            return;
        };
        let (id, entry) = (worker.id.clone(), worker.entry.clone());
        self.store.set_worker(&id, Some(entry));
        self.answer_watches();
    }

    /// Tells whether an instance reaches a worker's address.
    fn reaches_worker(&self, node: usize, address: &str) -> bool {
        let now = self.now_ms;
        let cut = self.worker_cut_until.get(address);
        let alone = self.worker_reached_by.get(address);
        cut.is_none_or(|until| *until <= now)
            && alone.is_none_or(|only| *only == node)
            && self
                .only_reaches
                .get(&node)
                .is_none_or(|only| only == address)
            && self.nodes[node].cut_from_workers_until <= now
    }

    /// Tells whether an order does not arrive at a worker's address.
    fn loses_order(&self, address: &str, call: &bankvalve_queue::WorkerCall) -> bool {
        match call {
            WorkerCall::Start(_) => self.starts_lost_at.contains(address),
            WorkerCall::Stop { .. } => self.stops_lost_at.contains(address),
            _ => false,
        }
    }

    pub(super) fn worker_arrives(
        &mut self,
        origin: (usize, u64, Ticket),
        meant: &WorkerId,
        address: &str,
        token: u64,
        call: &bankvalve_queue::WorkerCall,
        route: CallRoute,
    ) {
        let (node, life, ticket) = origin;
        let now = self.now_ms;
        let connections = (node, address.to_owned());
        if !self.reaches_worker(node, address) {
            let given_up = !self.given_up_workers.insert(connections);
            let (delay, answer) = match given_up && self.cut_workers_take_no_connection {
                true => (CONNECT_MS, WorkerAnswer::NotSent),
                false => (SILENT_CALL_MS, WorkerAnswer::NoReply),
            };
            let event = CoreEvent::Worker { ticket, answer };
            self.after(delay, Later::Event { node, life, event });
            return;
        }
        if self.loses_order(address, call) {
            let answer = WorkerAnswer::NoReply;
            let event = CoreEvent::Worker { ticket, answer };
            self.after(SILENT_CALL_MS, Later::Event { node, life, event });
            return;
        }
        self.given_up_workers.remove(&connections);
        let connection = self.connection_to(node, address);
        if bound_to(call).is_some_and(|bound| connection != Some(bound)) {
            // Its end is known by then, or else the call finds a port that knows no such connection.
            let known = self.rng.random_range(0..2) == 0;
            let answer = match known {
                true => WorkerAnswer::NotSent,
                false => WorkerAnswer::NoReply,
            };
            let event = CoreEvent::Worker { ticket, answer };
            self.after(RESET_MS, Later::Event { node, life, event });
            return;
        }
        if is_process_specific(call) && bound_to(call).is_none() {
            let text = format!(
                "a poll of {meant} renews a lease or acknowledges an end of whoever answers"
            );
            self.rules.breach("PROCESS", now, &text);
        }
        let identifies = route == CallRoute::Link && !self.orders_reach_any_process;
        self.check_lease(meant, address, call);
        if identifies && self.is_for_other_process(meant, address, call) {
            let answer = self.identify_worker(meant, address, token);
            let event = CoreEvent::Worker { ticket, answer };
            self.after(RESET_MS, Later::Event { node, life, event });
            return;
        }
        if self.has_look_wait(origin, meant, address, token, call) {
            return;
        }
        let drawn_fails = self.rng.random_range(0..100) < self.fail_percent;
        let fails = drawn_fails || self.failing_workers.contains(address);
        let drawn = self.rng.random_range(100..1_500);
        let works = &self.work_ms;
        let load = self.load.as_deref();
        let time = |task: TaskKey| {
            let laid_out = load.and_then(|load| load.work_ms(task, address));
            let set = laid_out.or_else(|| works.get(&task.step.job).copied());
            set.unwrap_or(drawn)
        };
        let specs = &self.specs;
        let is_slow = self.slow_domain.as_deref() == Some(&*self.domain_of(address));
        let factor = if is_slow { 2 } else { 1 };
        let plan = |task: TaskKey| plan_of(specs, task, time(task) * factor, fails);
        // A permit names when it was issued; for how long it is valid depends on the queue.
        let policy = match call {
            WorkerCall::Start(order) => self.policy_of(order.task.step),
            _ => None,
        };
        let mut answer = match self.workers.get_mut(address) {
            Some(Some(worker)) if worker.id == *meant => {
                worker.handle(now, token, call, policy.as_ref(), plan)
            }
            Some(Some(_)) => WorkerAnswer::OtherLife,
            _ => WorkerAnswer::PortRefused,
        };
        if let WorkerAnswer::Done { report, .. } = &mut answer {
            let reports = report.iter_mut();
            reports.for_each(|report| report.connection = connection);
        }
        let refused = |reason| matches!(&answer, WorkerAnswer::Refused { reason: found, .. } if *found == reason);
        if refused(StartRefusal::Permit) {
            self.permit_refusals += 1;
        }
        self.worker_time(address);
        let event = CoreEvent::Worker { ticket, answer };
        // Answers pass each other now and then.
        let slow = self.rng.random_range(0..SLOW_ANSWERS) == 0;
        let delay = if slow {
            self.rng.random_range(3..60)
        } else {
            2
        };
        let delay = match call {
            WorkerCall::Start(_) => self.start_answer_ms.unwrap_or(delay),
            _ => delay,
        };
        self.after(delay, Later::Event { node, life, event });
    }

    /// Tells whether an order is for another process than the one that listens at an address, under the same id.
    fn is_for_other_process(&self, meant: &WorkerId, address: &str, call: &WorkerCall) -> bool {
        let worker = self.workers.get(address).and_then(Option::as_ref);
        let answering = worker.filter(|worker| worker.id == *meant);
        let WorkerCall::Start(order) = call else {
            return false;
        };
        answering.is_some_and(|worker| worker.entry.started != order.process)
    }

    /// Checks that a process grants no longer lease than a successor of the leader that requests it assumes.
    fn check_lease(&mut self, meant: &WorkerId, address: &str, call: &WorkerCall) {
        let now = self.now_ms;
        let worker = self.workers.get(address).and_then(Option::as_ref);
        let Some(worker) = worker.filter(|worker| worker.id == *meant) else {
            return;
        };
        let until_ms = match call {
            WorkerCall::Start(order) if order.process == worker.entry.started => order.until_ms,
            WorkerCall::Hold {
                until_ms: Some(until_ms),
                ..
            } => *until_ms,
            _ => return,
        };
        let lease_ms = until_ms.saturating_sub(worker.clock_at(now));
        if lease_ms > ASSUMED_LEASE_MS {
            let text =
                format!("{meant} is asked for a lease of {lease_ms} ms, not {ASSUMED_LEASE_MS} ms");
            self.rules.breach("LEASE", now, &text);
        }
    }

    /// The link's outcome of an order for another process than the one that answers on the new connection.
    fn identify_worker(&mut self, meant: &WorkerId, address: &str, token: u64) -> WorkerAnswer {
        let now = self.now_ms;
        let poll = WorkerCall::identification();
        let answer = match self.workers.get_mut(address) {
            Some(Some(worker)) if worker.id == *meant => {
                let plan = |_| (TaskSize::default(), None);
                worker.handle(now, token, &poll, None, plan)
            }
            _ => WorkerAnswer::NotSent,
        };
        match answer {
            WorkerAnswer::Refused { .. } => answer,
            _ => WorkerAnswer::NotSent,
        }
    }

    /// The connection of an instance to the process that listens at an address.
    fn connection_to(&self, node: usize, address: &str) -> Option<ConnectionId> {
        let worker = self.workers.get(address)?.as_ref()?;
        Some(worker.process * self.nodes.len() as u64 + node as u64)
    }

    /// Number for a process of a worker that starts.
    pub(super) fn next_process(&mut self) -> u64 {
        self.processes += 1;
        self.processes
    }

    /// Has a look wait at its worker, if looks do and nothing has ended there yet.
    fn has_look_wait(
        &mut self,
        origin: (usize, u64, Ticket),
        meant: &WorkerId,
        address: &str,
        token: u64,
        call: &WorkerCall,
    ) -> bool {
        let WorkerCall::Hold {
            until_ms,
            kept,
            connection,
            wait_ms,
        } = call
        else {
            return false;
        };
        let wait_ms = *wait_ms;
        if !self.looks_wait || wait_ms == 0 {
            return false;
        }
        let Some(Some(worker)) = self.workers.get_mut(address) else {
            return false;
        };
        if worker.id != *meant {
            return false;
        }
        // The hold is prolonged when the look comes, and ends are forgotten.
        let now_call = WorkerCall::Hold {
            until_ms: *until_ms,
            kept: *kept,
            connection: *connection,
            wait_ms: 0,
        };
        let plan = |_| (TaskSize::default(), None);
        worker.handle(self.now_ms, token, &now_call, None, plan);
        let ended = worker.has_ends();
        self.worker_time(address);
        if ended {
            return false;
        }
        let look = WaitingLook {
            origin,
            meant: meant.clone(),
            token,
            call: WorkerCall::Hold {
                until_ms: *until_ms,
                kept: 0,
                connection: *connection,
                wait_ms: 0,
            },
        };
        let address = address.to_owned();
        let looks = self.waiting_looks.entry(address.clone()).or_default();
        looks.push(look);
        let ticket = origin.2;
        self.after(wait_ms, Later::LookEnds { address, ticket });
        true
    }

    /// Answers looks that wait at a worker: one, or all of them.
    pub(super) fn end_waiting_looks(&mut self, address: &str, ticket: Option<Ticket>) {
        let Some(looks) = self.waiting_looks.remove(address) else {
            return;
        };
        let due = |look: &WaitingLook| ticket.is_none_or(|ticket| look.origin.2 == ticket);
        let (ended, waiting): (Vec<_>, Vec<_>) = looks.into_iter().partition(due);
        if !waiting.is_empty() {
            self.waiting_looks.insert(address.to_owned(), waiting);
        }
        for look in ended {
            let route = CallRoute::Received;
            let (origin, meant) = (look.origin, &look.meant);
            self.worker_arrives(origin, meant, address, look.token, &look.call, route);
        }
    }

    /// The connections of looks that wait at a worker whose process ends are reset.
    pub(super) fn break_waiting_looks(&mut self, address: &str) {
        self.leave_waiting_looks(address, RESET_MS);
    }

    /// Looks that wait at a worker whose machine loses power have no answer.
    pub(super) fn silence_waiting_looks(&mut self, address: &str) {
        self.leave_waiting_looks(address, SILENT_CALL_MS);
    }

    fn leave_waiting_looks(&mut self, address: &str, known_after_ms: u64) {
        for look in self.waiting_looks.remove(address).unwrap_or_default() {
            let (node, life, ticket) = look.origin;
            let event = CoreEvent::Worker {
                ticket,
                answer: WorkerAnswer::NoReply,
            };
            self.after(known_after_ms, Later::Event { node, life, event });
        }
    }

    /// Lets a worker's runs go on, and checks what happened.
    pub(super) fn worker_time(&mut self, address: &str) {
        let now = self.now_ms;
        let Some(Some(worker)) = self.workers.get_mut(address) else {
            return;
        };
        worker.run_until(now);
        let news = worker.take_events();
        let id = worker.id.clone();
        let used = worker.used();
        let room = worker.entry.room;
        let started = |news: &WorkerEvent| matches!(news, WorkerEvent::Started(..));
        // What runs stays where the room has shrunk; a start must not come on top of it.
        let judged = !self.old_rooms.contains_key(&id) || news.iter().any(started);
        if judged && !self.may_hold(&id, &used, &room) {
            let text = format!("{id} holds {used:?} of {room:?}");
            self.rules.breach("LIMIT", now, &text);
        }
        let Some(Some(worker)) = self.workers.get_mut(address) else {
            return;
        };
        let ended = worker.has_ends();
        let next = worker
            .runs()
            .values()
            .filter_map(|run| run.ends)
            .map(|(at, _)| worker.time_of(at).max(now + 1))
            .min()
            .unwrap_or(now + 500)
            .min(now + 500);
        let load = self.load.as_mut();
        let is_new = load.is_none_or(|load| load.is_new_wake(address, now, next));
        if !worker.runs().is_empty() && is_new {
            let address = address.to_owned();
            self.after(next - now, Later::WorkerTime { address });
        }
        for entry in news {
            self.take_events(&id, &entry);
            if let WorkerEvent::Started(task, run) = entry {
                self.watch_for_crash(address, task, run);
            }
        }
        if ended {
            self.end_waiting_looks(address, None);
        }
    }

    pub(super) fn take_events(&mut self, id: &WorkerId, news: &WorkerEvent) {
        let now = self.now_ms;
        match *news {
            WorkerEvent::Started(task, run) => {
                self.bring_up_to_date(id, task);
                self.rules.started(id, task, run, now);
                self.restarts.note_start(id, now);
                self.lasting_started(id, task, run);
                self.check_limit(task.step, id);
                self.check_customer_limit(task);
                self.check_evacuated_start(id, task);
                self.note_load_start(id, task, run);
                self.gang_news(task.step, run, None);
            }
            WorkerEvent::Ended(task, run, how) => {
                self.rules.ended(id, task, run, how, now);
                self.lasting_ended(id, task, run, how);
                self.note_load_end(id, task, run, how);
                self.gang_news(task.step, run, Some(how));
            }
            WorkerEvent::Kept(task, _, how) => self.rules.kept(task, how, now),
            WorkerEvent::KeptUnderLease(task, run, how) => {
                self.rules.check_earlier_starts(task, run, how, now);
            }
        }
    }

    /// Lets time pass on the other workers that still have a task: what ended there since they were
    /// last looked at, up to half a second ago, does not run any more.
    fn bring_up_to_date(&mut self, id: &WorkerId, task: TaskKey) {
        let has = |worker: &&SiteWorker| worker.id != *id && worker.runs().contains_key(&task);
        let others = self.workers.iter().filter_map(|(address, worker)| {
            worker.as_ref().filter(has)?;
            Some(address.clone())
        });
        for address in others.collect::<Vec<_>>() {
            self.worker_time(&address);
        }
    }

    pub(super) fn check_limit(&mut self, step: StepKey, id: &WorkerId) {
        let spec = &self.specs[&step.job].steps[usize::from(step.step)];
        let limit = spec.per_worker_limit as usize;
        let held = self
            .workers
            .values()
            .flatten()
            .find(|worker| worker.id == *id)
            .map_or(0, |worker| worker.held_of(step));
        if limit > 0 && held > limit {
            let text = format!("{step} has {held} tasks on {id}");
            self.rules.breach("ROUTE", self.now_ms, &text);
        }
    }

    /// Begins a gang's work when all members of a run are there, and breaks it when one ends.
    pub(super) fn gang_news(&mut self, step: StepKey, run: u64, ended: Option<EndKind>) {
        let spec = self.specs[&step.job].steps[usize::from(step.step)].clone();
        if !spec.gang {
            return;
        }
        let now = self.now_ms;
        let members: Vec<(String, TaskKey)> = self
            .workers
            .iter()
            .filter_map(|(address, worker)| Some((address, worker.as_ref()?)))
            .flat_map(|(address, worker)| {
                let runs = worker.runs().range(step.task(0)..=step.task(u32::MAX));
                runs.filter(|(_, live)| live.run == run)
                    .map(|(task, _)| (address.clone(), *task))
                    .collect::<Vec<_>>()
            })
            .collect();
        let work = match ended {
            Some(EndKind::Done) => Some((0, EndKind::Done)),
            Some(_) => Some((0, EndKind::Broken)),
            None if members.len() == spec.count as usize => {
                let drawn = self.rng.random_range(200..1_200);
                let load = self.load.as_deref();
                let laid_out = members.iter().filter_map(|(address, task)| {
                    load.and_then(|load| load.work_ms(*task, address))
                });
                let set = self.work_ms.get(&step.job).copied();
                let time = laid_out.max().or(set);
                Some((time.unwrap_or(drawn), EndKind::Done))
            }
            None => None,
        };
        let Some(work) = work else {
            return;
        };
        for (address, task) in members {
            let fails = ended.is_none() && self.failing_workers.contains(&address);
            let work = if fails {
                (work.0 / 4, EndKind::Failed)
            } else {
                work
            };
            if let Some(Some(worker)) = self.workers.get_mut(&address) {
                worker.begin_work(task, now, work);
                if let Some(load) = self.load.as_mut().filter(|_| ended.is_none()) {
                    load.note_work(&worker.id, (task, run), now);
                }
            }
            self.after(work.0 + 1, Later::WorkerTime { address });
        }
    }
}
