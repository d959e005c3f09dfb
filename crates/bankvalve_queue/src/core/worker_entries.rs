//! The workers' own entries in the platform's table: which workers exist, and which ones leave.

use std::collections::BTreeSet;
use std::time::Duration;

use super::live_run::{LiveRun, RunPhase};
use super::worker_state::WorkerState;
use super::EntryCore;
use crate::customer::CustomerName;
use crate::ids::{CoreTime, RunId, TaskKey, WorkerId};
use crate::job::StepSpec;
use crate::ledger::{JobOutcome, TaskPhase};
use crate::store::WorkerRow;
use crate::worker::WorkerEntry;

/// Maximum number of characters logged of the id of an unreadable entry, which may come from another
/// program.
const MAX_LOGGED_ID_CHARS: usize = 80;
/// Divisor of a task's estimated time that gives its minimum remaining time. It applies once less is
/// left of the estimate, or the estimate has passed.
const MIN_REMAINING_DIVISOR: u32 = 4;

/// A run that the ledger has as placed on a worker.
struct AdoptedRun {
    task: TaskKey,
    worker: WorkerId,
    run: RunId,
    spec: StepSpec,
    priority: u32,
    customer: Option<CustomerName>,
}

/// A scan of all workers' entries, which arrive in pages.
#[derive(Debug, Default)]
pub(super) struct EntryScan {
    /// Number of the scan, by which answers to an earlier scan are recognized.
    number: u64,
    /// Version of the table at the first page. A change to an entry of a page that was already read
    /// appears only in the change feed after this version.
    version: Option<u64>,
    /// Workers on the pages read so far.
    listed_ids: BTreeSet<WorkerId>,
}

impl EntryScan {
    /// Starts a new scan at the first page.
    pub(super) fn begin(&mut self) {
        *self = Self {
            number: self.number + 1,
            ..Self::default()
        };
    }

    pub(super) fn number(&self) -> u64 {
        self.number
    }

    /// Records the workers on a page, read at a version of the table.
    pub(super) fn record_scan_page(&mut self, entries: &[(WorkerId, WorkerRow)], version: u64) {
        self.version.get_or_insert(version);
        self.listed_ids
            .extend(entries.iter().map(|(id, _)| id.clone()));
    }
}

impl EntryCore {
    pub(super) fn handle_worker_entries(
        &mut self,
        entries: Vec<(WorkerId, WorkerRow)>,
        full: bool,
    ) {
        for (id, row) in entries {
            if let Some(lead) = self.lead.as_deref_mut() {
                lead.placement_due = true;
            }
            match row {
                WorkerRow::Entry(entry) => self.handle_worker_entry(&id, entry, full),
                WorkerRow::Gone => self.unlist_worker(&id),
                WorkerRow::Unusable(why) => self.skip_unreadable_entry(&id, why),
            }
        }
    }

    fn handle_worker_entry(&mut self, id: &WorkerId, entry: WorkerEntry, full: bool) {
        let now = self.now;
        let domain_evacuated = self.is_evacuated(&entry.domain);
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let slowness = self.measurements.workers.get(id);
        let Some(state) = lead.worker_states.get_mut(id) else {
            let mut state = WorkerState::new(entry, true, now);
            state.service_in_use = self.services.contains(&state.entry.service);
            state.domain_evacuated = domain_evacuated;
            state.lease_stop = self.stopped_leases.state_of(id);
            state.told_address = self.told_workers.address_of(id, now);
            if let Some(slowness) = slowness {
                state.start_slowness(*slowness);
            }
            lead.worker_states.insert(id.clone(), state);
            self.refresh_speed_of(id);
            if !full {
                self.log("workers", "listed", id.to_string(), String::new());
            }
            return;
        };
        if let Some(slowness) = slowness.filter(|_| full) {
            state.start_slowness(*slowness);
        }
        // The process that answers has announced a service in use, so another program wrote the entry.
        let known_service = self.services.contains(&entry.service);
        if state.answered_at.is_some() && state.service_in_use && !known_service {
            self.skip_unreadable_entry(id, "its service is not in use, unlike the worker's");
            return;
        }
        let left_before = state.entry.leaving;
        let address_changed = state.entry.address != entry.address;
        let shrunk = !state.entry.room.fits(&entry.room);
        let capacities = (state.entry.room, entry.room);
        state.service_in_use = self.services.contains(&entry.service);
        state.domain_evacuated = domain_evacuated;
        state.update_entry(entry, now);
        state.listed = true;
        state.is_told = false;
        state.entry_readable = true;
        let leave_announced = !left_before && state.has_announced_departure();
        let other_process = state.token_accepted && !state.entry_is_current();
        if other_process || address_changed {
            state.next_poll = now;
        }
        self.refresh_speed_of(id);
        if leave_announced {
            self.begin_leaving(id);
        }
        if shrunk {
            let detail = format!("capacity {:?}, previously {:?}", capacities.1, capacities.0);
            self.log("workers", "shrunk", id.to_string(), detail);
        }
        if other_process {
            self.poll_if_due(id);
        }
    }

    /// Adds services that a queue or an open job names, so that their workers are polled.
    pub(super) fn add_services_in_use(&mut self, services: impl IntoIterator<Item = String>) {
        let known = self.services.len();
        self.services.extend(services);
        if self.services.len() == known {
            return;
        }
        let services = &self.services;
        let mut skipped_entry = false;
        if let Some(lead) = self.lead.as_deref_mut() {
            for state in lead.worker_states.values_mut() {
                state.service_in_use = services.contains(&state.entry.service);
                skipped_entry |= !state.entry_readable;
            }
        }
        // An entry may have been skipped because its service was not in use.
        if skipped_entry {
            self.worker_watch = Default::default();
        }
    }

    fn unlist_worker(&mut self, id: &WorkerId) {
        let now = self.now;
        let lead = self.lead.as_deref_mut();
        if let Some(state) = lead.and_then(|lead| lead.worker_states.get_mut(id)) {
            if state.listed {
                state.unlisted_at = Some(now);
            }
            state.listed = false;
        }
        self.log("workers", "unlisted", id.to_string(), String::new());
    }

    /// Skips an entry that cannot be decoded. A worker already known gets no new tasks until its entry
    /// is readable again, and its runs continue.
    fn skip_unreadable_entry(&mut self, id: &WorkerId, why: &'static str) {
        let lead = self.lead.as_deref_mut();
        if let Some(state) = lead.and_then(|lead| lead.worker_states.get_mut(id)) {
            state.entry_readable = false;
        }
        self.counters.count("worker_entries", "unusable");
        self.log_often("workers", "unusable", || {
            let id: String = id.chars().take(MAX_LOGGED_ID_CHARS).collect();
            (id, why.to_owned())
        });
    }

    /// Ends a scan. Returns the table version after which to watch for changes.
    ///
    /// A known worker that was on no page no longer has an entry: it was removed while the table had
    /// discarded its history, so no change reports the removal. Such a worker gets no new tasks, but it
    /// is still polled and its runs continue. If it is alive, its entry reappears with later changes.
    pub(super) fn finish_entry_scan(&mut self) -> Option<u64> {
        let scan = &mut self.entry_scan;
        let version = scan.version.take();
        let listed_ids = std::mem::take(&mut scan.listed_ids);
        let Some(lead) = self.lead.as_deref_mut() else {
            return version;
        };
        lead.workers_known = true;
        lead.placement_due = true;
        let removed = lead
            .worker_states
            .iter()
            .filter(|(id, state)| state.listed && !listed_ids.contains(*id));
        let removed: Vec<WorkerId> = removed.map(|(id, _)| id.clone()).collect();
        for id in removed {
            self.unlist_worker(&id);
        }
        version
    }

    /// Adds the runs in the ledger to the worker states, after this instance became leader.
    pub(super) fn adopt_runs(&mut self) {
        let now = self.now;
        let mut placed: Vec<AdoptedRun> = Vec::new();
        let mut open = Vec::new();
        let mut jobs_with_done_task = Vec::new();
        for job in self.book.jobs() {
            if job.outcome == JobOutcome::Open {
                open.push(job.spec.id);
                jobs_with_done_task.extend(job.has_done_task().then_some(job.spec.id));
            }
            for (time, record) in &job.times {
                for (number, step) in record.steps.iter().enumerate() {
                    let spec = &job.spec.steps[number];
                    let key = crate::ids::StepKey {
                        job: job.spec.id,
                        time: *time,
                        step: number as u16,
                    };
                    for (index, task) in step.tasks.iter().enumerate() {
                        if let TaskPhase::Placed { worker, run } = &task.phase {
                            let task = key.task(index as u32);
                            placed.push(AdoptedRun {
                                task,
                                worker: worker.clone(),
                                run: *run,
                                spec: spec.clone(),
                                priority: job.terms.priority,
                                customer: job.spec.customer.clone(),
                            });
                        }
                    }
                }
            }
        }
        let jobs = self
            .book
            .jobs()
            .filter(|job| job.outcome == JobOutcome::Open);
        let services: Vec<String> = jobs.map(|job| job.terms.service.clone()).collect();
        self.add_services_in_use(services);
        let detail = format!(
            "{} open jobs, {} runs, last batch {}",
            open.len(),
            placed.len(),
            self.applied
        );
        self.log("ledger", "adopted", String::new(), detail);
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        lead.dirty_jobs.extend(open.iter().copied());
        lead.started_jobs.extend(jobs_with_done_task);
        for adopted in placed {
            lead.dirty_jobs.insert(adopted.task.step.job);
            let lease_stop = self.stopped_leases.state_of(&adopted.worker);
            let (told, worker) = (&self.told_workers, adopted.worker);
            let states = &mut lead.worker_states;
            let state = states.get_or_insert_with(worker.clone(), || told.state_of(&worker, now));
            state.lease_stop = lease_stop;
            let mut live = LiveRun::new(adopted.run, &adopted.spec, RunPhase::Adopted, now);
            live.set_priority(adopted.priority);
            live.customer = adopted.customer;
            state.add_run(adopted.task, live);
        }
        for job in open {
            self.schedule_times(job);
        }
        self.resend_requests();
    }

    /// Logs that a worker has announced its departure, and stops the runs that would not end before.
    fn begin_leaving(&mut self, id: &WorkerId) {
        let stopped = self.stop_outlasting_runs(id, |_| true);
        let lead = self.lead.as_deref();
        let Some(state) = lead.and_then(|lead| lead.worker_states.get(id)) else {
            return;
        };
        let detail = format!(
            "leaves in {:?}, {} runs, {stopped} of them stopped",
            state.time_left(self.now),
            state.runs.len(),
        );
        self.log("workers", "leaving", id.to_string(), detail);
    }

    /// Stops the runs that a leaving worker has just confirmed to this leader and that would not end before it
    /// leaves: those of a former leader, and those that were ordered before the announcement.
    pub(super) fn stop_confirmed_runs(&mut self, id: &WorkerId) {
        let now = self.now;
        let lead = self.lead.as_deref();
        let state = lead.and_then(|lead| lead.worker_states.get(id));
        if state.is_some_and(WorkerState::has_announced_departure) {
            // The list that was just handled confirms a run at the present moment.
            self.stop_outlasting_runs(id, |live| live.is_running_since(now));
        }
    }

    /// Stops some of the runs that would not end before their worker leaves. Returns how many.
    fn stop_outlasting_runs(
        &mut self,
        id: &WorkerId,
        may_stop: impl Fn(&LiveRun) -> bool,
    ) -> usize {
        let now = self.now;
        let lead = self.lead.as_deref();
        let Some(state) = lead.and_then(|lead| lead.worker_states.get(id)) else {
            return 0;
        };
        let outlasts_worker = |live: &LiveRun| {
            let left = live.time_left(now);
            left.is_some_and(|left| left > state.time_left(now))
        };
        let runs = state.runs.iter();
        let to_stop: Vec<TaskKey> = runs
            .filter(|(_, live)| may_stop(live) && outlasts_worker(live))
            .map(|(task, _)| *task)
            .collect();
        for task in &to_stop {
            self.stop_run(id, *task);
        }
        to_stop.len()
    }
}

impl LiveRun {
    /// Returns the estimated time that is left of a confirmed run, or `None` if it has no end of its own.
    fn time_left(&self, now: CoreTime) -> Option<Duration> {
        let RunPhase::Running { since } = self.phase else {
            return None;
        };
        // A long-running task moves once there are permits and capacity elsewhere.
        if self.lasting {
            return None;
        }
        // A run of a former leader has run for an unknown time before it was confirmed to this one.
        let reported = self.progress.filter(|_| self.ordered_at.is_none());
        let done = reported.map_or(Duration::ZERO, |progress| progress.done_of(self.estimate));
        let left = self
            .estimate
            .saturating_sub(done.max(now.saturating_sub(since)));
        Some(left.max(self.estimate / MIN_REMAINING_DIVISOR))
    }
}
