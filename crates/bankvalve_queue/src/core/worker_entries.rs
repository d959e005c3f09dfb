//! The workers' own entries: who is there, and who leaves.

use std::collections::BTreeSet;
use std::time::Duration;

use super::live_run::{LiveRun, RunPhase};
use super::worker_state::WorkerState;
use super::EntryCore;
use crate::customer::CustomerName;
use crate::ids::{RunId, TaskKey, WorkerId};
use crate::job::StepSpec;
use crate::ledger::{JobOutcome, TaskPhase};
use crate::store::WorkerRow;
use crate::worker::WorkerEntry;

/// Signs of an id that are logged of an entry which no worker of ours wrote.
const LONGEST_ID: usize = 80;
/// Part of a task's guessed time that is reckoned as left once the guess has passed, as a divisor.
const OVERDUE_REST: u32 = 4;

/// A run that the ledger has on a worker.
struct AdoptedRun {
    task: TaskKey,
    worker: WorkerId,
    run: RunId,
    spec: StepSpec,
    priority: u32,
    customer: Option<CustomerName>,
}

/// A reading of all workers' entries, which comes in pages.
#[derive(Debug, Default)]
pub(super) struct EntryScan {
    /// Number of the reading, so that an answer to an earlier one is told apart.
    number: u64,
    /// Version of the table as of the first page. What changes behind a page while the next ones are
    /// read is in the feed from there on, and nowhere else.
    version: Option<u64>,
    /// Workers that its pages have named so far.
    named: BTreeSet<WorkerId>,
}

impl EntryScan {
    /// Begins with the first page.
    pub(super) fn begin(&mut self) {
        *self = Self {
            number: self.number + 1,
            ..Self::default()
        };
    }

    pub(super) fn number(&self) -> u64 {
        self.number
    }

    /// Notes what a page names, as of a version of the table.
    pub(super) fn note_page(&mut self, entries: &[(WorkerId, WorkerRow)], version: u64) {
        self.version.get_or_insert(version);
        self.named.extend(entries.iter().map(|(id, _)| id.clone()));
    }
}

impl EntryCore {
    pub(super) fn handle_worker_entries(
        &mut self,
        entries: Vec<(WorkerId, WorkerRow)>,
        full: bool,
    ) {
        for (id, news) in entries {
            if let Some(lead) = self.lead.as_deref_mut() {
                lead.placement_due = true;
            }
            match news {
                WorkerRow::Entry(entry) => self.take_worker_entry(&id, entry, full),
                WorkerRow::Gone => self.unlist_worker(&id),
                WorkerRow::Unusable(why) => self.pass_entry_over(&id, why),
            }
        }
    }

    fn take_worker_entry(&mut self, id: &WorkerId, entry: WorkerEntry, full: bool) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let slowness = self.measurements.0.get(id);
        let Some(state) = lead.worker_states.get_mut(id) else {
            let mut state = WorkerState::new(entry, true, now);
            state.service_in_use = self.services.contains(&state.entry.service);
            state.lease_stop = self.stopped_leases.state_of(id);
            if let Some(slowness) = slowness {
                state.start_slowness(*slowness);
            }
            lead.worker_states.insert(id.clone(), state);
            if !full {
                self.log("workers", "listed", id.to_string(), String::new());
            }
            return;
        };
        if let Some(slowness) = slowness.filter(|_| full) {
            state.start_slowness(*slowness);
        }
        let notice = entry.leaving && !state.entry.leaving;
        let shrunk = !state.entry.room.fits(&entry.room);
        let rooms = (state.entry.room, entry.room);
        state.service_in_use = self.services.contains(&entry.service);
        state.entry = entry;
        state.listed = true;
        state.entry_readable = true;
        let other_process = state.token_accepted && !state.entry_is_current();
        if other_process {
            state.next_poll = now;
        }
        if notice {
            self.begin_leaving(id);
        }
        if shrunk {
            let detail = format!("{:?}, {:?} before", rooms.1, rooms.0);
            self.log("workers", "shrunk", id.to_string(), detail);
        }
        if other_process {
            self.poll_if_due(id);
        }
    }

    /// Notes services whose workers are ours to call.
    pub(super) fn note_services_in_use(&mut self, services: impl IntoIterator<Item = String>) {
        let known = self.services.len();
        self.services.extend(services);
        if self.services.len() == known {
            return;
        }
        let services = &self.services;
        if let Some(lead) = self.lead.as_deref_mut() {
            for state in lead.worker_states.values_mut() {
                state.service_in_use = services.contains(&state.entry.service);
            }
        }
    }

    fn unlist_worker(&mut self, id: &WorkerId) {
        let now = self.now;
        let lead = self.lead.as_deref_mut();
        if let Some(state) = lead.and_then(|lead| lead.worker_states.get_mut(id)) {
            state.listed = false;
            state.unlisted_at = Some(now);
        }
        self.log("workers", "unlisted", id.to_string(), String::new());
    }

    /// An entry of which no worker can be made costs that entry alone: a worker that is known by it
    /// gets no new work until it can be read again, and keeps what it runs.
    fn pass_entry_over(&mut self, id: &WorkerId, why: &'static str) {
        let lead = self.lead.as_deref_mut();
        if let Some(state) = lead.and_then(|lead| lead.worker_states.get_mut(id)) {
            state.entry_readable = false;
        }
        self.counters.count("worker_entries", "unusable");
        self.log_often("workers", "unusable", || {
            let id: String = id.chars().take(LONGEST_ID).collect();
            (id, why.to_owned())
        });
    }

    /// All entries have been read; returns the version from which on changes are to be asked for.
    ///
    /// A worker that is known and that no page has named has no entry any more: it went while the table
    /// had forgotten its history, so that no change tells of it. Unlisted, it gets nothing new and keeps
    /// what it runs, as it is looked at on; if it lives, its entry comes back with the next changes.
    pub(super) fn finish_entry_scan(&mut self) -> Option<u64> {
        let reading = &mut self.entry_scan;
        let version = reading.version.take();
        let named = std::mem::take(&mut reading.named);
        let Some(lead) = self.lead.as_deref_mut() else {
            return version;
        };
        lead.workers_known = true;
        lead.placement_due = true;
        let unnamed = lead
            .worker_states
            .iter()
            .filter(|(id, state)| state.listed && !named.contains(*id));
        let unnamed: Vec<WorkerId> = unnamed.map(|(id, _)| id.clone()).collect();
        for id in unnamed {
            self.unlist_worker(&id);
        }
        version
    }

    /// Fills the seats with the runs that the ledger knows, after a takeover.
    pub(super) fn adopt_runs(&mut self) {
        let now = self.now;
        let mut placed: Vec<AdoptedRun> = Vec::new();
        let mut open = Vec::new();
        let mut begun = Vec::new();
        for job in self.book.jobs() {
            if job.outcome == JobOutcome::Open {
                open.push(job.spec.id);
                begun.extend(job.has_done_task().then_some(job.spec.id));
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
        self.note_services_in_use(services);
        let detail = format!(
            "{} jobs open, {} runs, batch {}",
            open.len(),
            placed.len(),
            self.applied
        );
        self.log("ledger", "adopted", String::new(), detail);
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        lead.dirty_jobs.extend(open.iter().copied());
        lead.begun.extend(begun);
        for adopted in placed {
            lead.dirty_jobs.insert(adopted.task.step.job);
            let lease_stop = self.stopped_leases.state_of(&adopted.worker);
            let state = lead.worker_states.get_or_insert_with(adopted.worker, || {
                WorkerState::new(WorkerEntry::default(), false, now)
            });
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

    /// Moves tasks away that would not end before their worker leaves.
    fn begin_leaving(&mut self, id: &WorkerId) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref() else {
            return;
        };
        let Some(state) = lead.worker_states.get(id) else {
            return;
        };
        let left = Duration::from_millis(state.entry.remaining_ms.unwrap_or(u64::MAX / 2_000));
        let too_long = |live: &LiveRun| match live.phase {
            RunPhase::Running { since } => {
                let ran = now.saturating_sub(since);
                let rest = live
                    .estimate
                    .saturating_sub(ran)
                    .max(live.estimate / OVERDUE_REST);
                rest > left
            }
            _ => false,
        };
        let moved: Vec<TaskKey> = state
            .runs
            .iter()
            .filter(|(_, live)| too_long(live))
            .map(|(task, _)| *task)
            .collect();
        let detail = format!(
            "{left:?} left, {} runs, {} moved",
            state.runs.len(),
            moved.len()
        );
        self.log("workers", "leaving", id.to_string(), detail);
        for task in moved {
            self.begin_stop_run(id, task);
        }
    }
}
