//! The processes of a worker, one after the other under one id.
//!
//! A worker may start again under its id. The next process holds nothing, has seen no fencing token,
//! numbers its ends from one and reads another clock. So all that a leader knows of a worker, its
//! [`Seat`], belongs to one process and is replaced with it, and what refers to a process from
//! elsewhere bears its [`Incarnation`] in place of the worker's id.
//!
//! Which process answers is told by the start that its lists bear. Looks at a worker are sent one at a
//! time, so that of two lists the one that came later is newer. Starts are times of day, which step back, so
//! they tell only whether two processes differ. An entry may be older or newer than a list: while they
//! are of different processes, nothing starts by that entry.
//!
//! Calls name the worker's id alone, so one that was meant for a process may reach the next. What it
//! may have begun there is found in the new lists; what it may still begin is stopped first, which
//! makes the worker turn the order away.

use std::collections::BTreeSet;

use super::live_run::{LiveRun, RunPhase};
use super::seat::{LifeEnd, Seat};
use super::EntryCore;
use crate::guard::SiteGuard;
use crate::ids::{CoreTime, RunId, TaskKey, WorkerId};
use crate::worker::HoldReport;

/// One process of a worker, as this leader counts them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Incarnation {
    pub(super) worker: WorkerId,
    pub(super) number: u64,
}

impl EntryCore {
    /// Takes from a list which process of a worker answers, and begins anew if that is another one.
    ///
    /// Returns whether the list can be used: of one that does not tell its process, though that was told
    /// before, it is not known whose numbers it bears.
    pub(super) fn identify_process(
        &mut self,
        id: &WorkerId,
        sent_at: CoreTime,
        report: &HoldReport,
        clock_ms: Option<u64>,
    ) -> bool {
        let Some(seat) = self.lead_seat(id) else {
            return false;
        };
        let before = seat.started;
        if !seat.proved {
            seat.started = report.started;
        } else if before != report.started {
            if report.started.is_none() {
                self.counters.count("workers", "process_not_told");
                return false;
            }
            self.begin_incarnation(id, sent_at, report, clock_ms);
            let started = report.started;
            self.counters.count("workers", "restarted");
            let detail = format!("{before:?} before, {started:?} now");
            self.log("workers", "restarted", id.to_string(), detail);
        }
        true
    }

    /// Another process of a worker answers: the runs of the one before have ended, but for those that an
    /// order on its way may have begun, or begins yet, in the new one.
    fn begin_incarnation(
        &mut self,
        id: &WorkerId,
        sent_at: CoreTime,
        report: &HoldReport,
        clock_ms: Option<u64>,
    ) {
        let now = self.now;
        let hold_limit = self.settings.hold_limit;
        let moved = self.take_moved_runs(id, sent_at, report);
        if self.lead_seat(id).is_some_and(|seat| !seat.over) {
            self.give_up_seat(id, LifeEnd::Restarted);
        }
        self.drop_permits_of(id);
        let own_numbers = self.keeps(SiteGuard::OwnNumbers);
        let own_clock = self.keeps(SiteGuard::OwnClock);
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let Some(before) = lead.seats.get(id) else {
            return;
        };
        let mut seat = Seat::restarted(before, report.started, now);
        if !own_numbers {
            (seat.seen, seat.kept) = (before.seen, before.kept);
        }
        // A deadline by the old clock may be any time ahead on the new one: the worker cuts it to this.
        let held = clock_ms.map(|clock| clock + hold_limit.as_millis() as u64);
        seat.granted_until = match own_clock {
            true => held.unwrap_or(0),
            false => before.granted_until,
        };
        for (task, live) in moved {
            if live.phase == (RunPhase::Stopping { confirmed: None }) {
                lead.have_order_due(now, id, task);
            }
            seat.add_run(task, live);
        }
        lead.seats.insert(id.clone(), seat);
        lead.stale = true;
    }

    /// Takes the runs of a worker off that its next process has or may yet begin.
    fn take_moved_runs(
        &mut self,
        id: &WorkerId,
        sent_at: CoreTime,
        report: &HoldReport,
    ) -> Vec<(TaskKey, LiveRun)> {
        let now = self.now;
        let running = report.running.iter().map(|run| (run.task, run.run));
        let ended = report.ended.iter().map(|end| (end.task, end.run));
        let told: BTreeSet<(TaskKey, RunId)> = running.chain(ended).collect();
        let loss = self.loss_of(id, LifeEnd::Restarted);
        let seat = self.lead.as_deref().and_then(|lead| lead.seats.get(id));
        let (Some(loss), Some(seat)) = (loss, seat) else {
            return Vec::new();
        };
        let moved = seat.runs.iter().filter_map(|(task, live)| {
            if told.contains(&(*task, live.run)) {
                return Some((*task, live.clone()));
            }
            let how = || self.end_with_worker(seat, &loss, task, live);
            if live.may_arrive_late() {
                return Some((*task, live.clone().stopped_after(how(), now)));
            }
            // The list may be older than its start: the next one tells which process has begun it.
            let since_asked = live.is_running_since(sent_at);
            since_asked.then(|| (*task, live.clone().or_ended_as(how())))
        });
        let moved: Vec<(TaskKey, LiveRun)> = moved.collect();
        if let Some(seat) = self.lead_seat(id) {
            for (task, _) in &moved {
                seat.remove_run(task);
            }
        }
        moved
    }

    pub(super) fn lead_seat(&mut self, id: &WorkerId) -> Option<&mut Seat> {
        self.lead.as_deref_mut()?.seats.get_mut(id)
    }
}
