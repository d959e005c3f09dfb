//! Tasks under which workers ended: what each end tells against them, and how they are tried.
//!
//! [`CrashCount`](crate::CrashCount) decides in the ledger who is a suspect and who is given up. Here
//! the leader tells what it knows of an end, and starts suspects one at a time, each on a worker
//! where nothing else runs, so that it takes nobody along and the next end there is evidence.
//!
//! No trial begins while suspects hold one worker in eight, those among them that have just ended under
//! one. A gang's suspects begin together, so that they may hold more; one that has waited too long for
//! its turn or a free worker starts among others and is not counted. A task that lasts waits only as
//! long as [`is_pressed`](EntryCore::is_pressed) allows, which counts all of its waits.

use std::time::Duration;

use super::lead::LeadState;
use super::seat::{LifeEnd, LiveRun, RunPhase, Seat};
use super::EntryCore;
use crate::guard::SiteGuard;
use crate::ids::{CoreTime, StepKey, TaskKey, WorkerId};
use crate::job::TaskSize;
use crate::ledger::{CrashEvidence, EndKind};

/// A run that was listed for less than this is taken for one that had just been started: a look tells
/// of it within 0.35 s where it is urgent, and those that end their workers do so in some 10 ms.
const YOUNG_LIFE: Duration = Duration::from_millis(300);
/// A run that lived so long has nothing to do with its worker's end, and one that lasts for weeks
/// sees some workers end.
const LONG_LIFE: Duration = Duration::from_secs(30);
/// Time for which a suspect runs alone; from then on others may join it.
const TRIAL_TIME: Duration = Duration::from_secs(1);
/// Workers that suspects hold at most, as a divisor of all, at least one.
const TRIAL_SHARE: usize = 8;
/// Wait for a free worker and a turn after which a suspect is started among others all the same,
/// where only its share in several ends speaks against it: callers are told after three seconds that
/// nothing runs though there is room.
const WEAK_PATIENCE: Duration = Duration::from_millis(2_000);
/// The same for one whose worker ended right after its start.
const YOUNG_PATIENCE: Duration = Duration::from_secs(8);
/// Time within which the ends of several workers belong together: a rack, a failure domain.
const COMMON_TIME: Duration = Duration::from_secs(3);
/// Workers that ended or are silent at once, as a divisor of all and at least, from which on the end of
/// one of them tells nothing against what it ran alone.
const COMMON_SHARE: usize = 8;
const COMMON_LEAST: usize = 4;

/// How a suspect may be started now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TrialTurn {
    /// Where nothing else runs.
    Alone,
    /// Among others, since it has waited for long enough.
    Among,
    /// Not yet.
    Later,
}

impl EntryCore {
    /// How a run ended whose worker's life is over.
    pub(super) fn end_with_worker(&self, id: &WorkerId, live: &LiveRun, end: LifeEnd) -> EndKind {
        let Some(lead) = self.lead.as_deref() else {
            return EndKind::Lost;
        };
        let Some(seat) = lead.seats.get(id) else {
            return EndKind::Lost;
        };
        let lived = live.lived();
        let ordered = live.phase != RunPhase::Proposed;
        let crashed = ordered && !seat.left_as_planned() && lived < LONG_LIFE;
        if !crashed || !self.keeps(SiteGuard::CrashBudget) {
            return EndKind::Lost;
        }
        // Without a new life it is sure only where the port refuses and the entry is gone. A worker that
        // is cut off, while its entry stands, has not ended; one that was never heard again after the
        // start may have.
        let dead = !seat.listed && seat.refused;
        if end == LifeEnd::HoldOver && !dead {
            let cut_off = seat.listed && (live.adopted || !lived.is_zero());
            return if cut_off {
                EndKind::Lost
            } else {
                EndKind::Crashed(CrashEvidence::Weak)
            };
        }
        let started = matches!(live.phase, RunPhase::Ordered | RunPhase::Running { .. });
        // What a leader before started had not just been started, however lately this one was told of it.
        let young = started && lived < YOUNG_LIFE && !live.adopted;
        let alone = seat.runs.len() == 1 && !is_common(lead, id, self.now);
        let alone = alone || !self.keeps(SiteGuard::AloneEvidence);
        EndKind::Crashed(match (young, alone) {
            (false, _) => CrashEvidence::Weak,
            (true, false) => CrashEvidence::Young,
            (true, true) => CrashEvidence::Alone,
        })
    }

    /// Notes that a worker ended, for what is said of those that end soon after.
    pub(super) fn note_worker_end(&mut self, id: &WorkerId) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let Some(seat) = lead.seats.get_mut(id) else {
            return;
        };
        seat.over = true;
        let tried = seat.runs.values().any(|live| live.on_trial);
        if tried || seat.left_as_planned() {
            return;
        }
        lead.worker_ends.push_back(now);
        let old = |at: &CoreTime| now.saturating_sub(*at) > COMMON_TIME;
        while lead.worker_ends.front().is_some_and(old) {
            lead.worker_ends.pop_front();
        }
    }

    /// How a suspect of a step may be started now.
    pub(super) fn turn_of(&mut self, step: StepKey, young: bool) -> TrialTurn {
        self.note_room_wait(step);
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return TrialTurn::Later;
        };
        lead.end_trials();
        let waited = lead.room_waits.get(&step).copied().unwrap_or(now);
        let patience = if young { YOUNG_PATIENCE } else { WEAK_PATIENCE };
        let of_step = |task: &TaskKey| task.step == step;
        let most = (lead.seats.len() / TRIAL_SHARE).max(1);
        if now.saturating_sub(waited) > patience {
            TrialTurn::Among
        } else if lead.trials.len() >= most || lead.trials.keys().any(of_step) {
            TrialTurn::Later
        } else {
            TrialTurn::Alone
        }
    }

    /// Lets others join the suspects of a worker that have run alone for long enough.
    pub(super) fn end_due_trials(&mut self, id: &WorkerId) {
        let lead = self.lead.as_deref().filter(|lead| !lead.trials.is_empty());
        let Some(seat) = lead.and_then(|lead| lead.seats.get(id)) else {
            return;
        };
        let due = |live: &LiveRun| live.on_trial && live.lived() >= TRIAL_TIME;
        let due: Vec<(TaskKey, TaskSize)> = seat
            .runs
            .iter()
            .filter(|(_, live)| due(live))
            .map(|(task, _)| (*task, self.room_of(*task)))
            .collect();
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        for (task, room) in due {
            if let Some(seat) = lead.seats.get_mut(id) {
                seat.end_trial(&task, room);
            }
            lead.stale = true;
        }
    }

    /// Room that a task takes by its step.
    pub(super) fn room_of(&self, task: TaskKey) -> TaskSize {
        let job = self.book.job(task.step.job);
        let spec = job.and_then(|job| job.spec.steps.get(usize::from(task.step.step)));
        spec.map(|spec| spec.room()).unwrap_or_default()
    }
}

impl LeadState {
    /// Forgets trials that are over.
    fn end_trials(&mut self) {
        let seats = &self.seats;
        self.trials.retain(|task, worker| {
            let live = seats.get(worker).and_then(|seat| seat.runs.get(task));
            live.is_some_and(|live| live.on_trial)
        });
    }
}

/// Tells whether other workers have ended lately, or are silent, as when a rack or a failure domain
/// is lost.
fn is_common(lead: &LeadState, id: &WorkerId, now: CoreTime) -> bool {
    let lately = |at: &&CoreTime| now.saturating_sub(**at) <= COMMON_TIME;
    let ended = lead.worker_ends.iter().filter(lately).count();
    let is_silent =
        |seat: &Seat| seat.is_silent(now) && !seat.runs.values().any(|live| live.on_trial);
    let others = lead.seats.iter().filter(|(other, _)| *other != id);
    let silent = others.filter(|(_, seat)| is_silent(seat)).count();
    ended + silent >= COMMON_LEAST.max(lead.seats.len() / COMMON_SHARE)
}
