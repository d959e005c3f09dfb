//! How long tasks that last are away, seen from outside, and whether that is longer than it may be.

use std::collections::{BTreeMap, BTreeSet};

use bankvalve_queue::{EndKind, JobId, JobSpec, RunId, StepSpec, TaskKey, TaskSize, WorkerId};
use bankvalve_standin::site::SiteWorker;

use super::site_world::{SiteWorld, SERVICE};

/// Time after the end of its last run in which a task that lasts must run again, in milliseconds:
/// the users' six seconds from the last run, and three that are looked at.
const AWAY_MS: u64 = 9_000;
/// Time without trouble before it is found missing, in milliseconds: the three seconds that are
/// looked at and the four before them.
const CALM_MS: u64 = 7_000;
/// Time for which there must have been room for it, in milliseconds: the three that are looked at.
const ROOM_MS: u64 = 3_000;
/// Copies of the task for which there must be room.
const COPIES: u64 = 2;
/// Time from one look to the next, in milliseconds; a task that starts is looked at as well.
const LOOK_MS: u64 = 100;

/// A time for which a task was away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AwaySpan {
    /// The task.
    pub task: TaskKey,
    /// When its last run ended, in milliseconds.
    pub from_ms: u64,
    /// When the next one began; none if it is still away.
    pub until_ms: Option<u64>,
}

/// A task that is watched.
#[derive(Debug, Default)]
struct WatchedTask {
    live: BTreeSet<(WorkerId, RunId)>,
    /// Since when it does not run, though it has.
    away_since: Option<u64>,
    /// Since when there has been room for it at each look.
    room_since: Option<u64>,
    /// Whether it was found missing since then.
    told: bool,
}

/// What is seen of tasks that must not be away for long.
#[derive(Debug, Default)]
pub struct LastingCheck {
    /// Jobs whose tasks are watched though they do not last, as measurements may ask for.
    pub watched: BTreeSet<JobId>,
    /// Times for which tasks were away that run again.
    pub spans: Vec<AwaySpan>,
    /// How often a task was away for longer than it may be at any time, with the calm that was
    /// asked for: how often the rule had something to judge.
    pub judged: u64,
    /// Whether a job came that has something to watch; looks begin then.
    active: bool,
    tasks: BTreeMap<TaskKey, WatchedTask>,
    cancelled: BTreeSet<JobId>,
    next_look: u64,
    last_look: u64,
    /// Until when trouble is known to have lasted.
    trouble_at: u64,
    /// Whether trouble lasted at the last look.
    troubled: bool,
    /// Version before which the table had forgotten its history at the last look.
    forgotten: u64,
}

impl LastingCheck {
    /// Trouble strikes, or ends.
    pub(super) fn trouble(&mut self, now_ms: u64) {
        self.trouble_at = self.trouble_at.max(now_ms);
    }

    /// A caller wants a job cancelled: its tasks need not run any more.
    pub(super) fn cancel_asked(&mut self, job: JobId) {
        self.cancelled.insert(job);
    }

    /// Times for which tasks were away, or still are.
    pub fn all_spans(&self) -> Vec<AwaySpan> {
        let open = self.tasks.iter().filter_map(|(task, watched)| {
            let from_ms = watched.away_since?;
            Some(AwaySpan {
                task: *task,
                from_ms,
                until_ms: None,
            })
        });
        self.spans.iter().copied().chain(open).collect()
    }

    /// Whether all tasks that have run run now.
    pub fn all_run(&self) -> bool {
        self.tasks
            .values()
            .all(|watched| watched.away_since.is_none())
    }

    /// Notes the trouble that the world shows at a look: until when it lasts as far as is known, or
    /// that it lasts for a time that is not known.
    fn note_trouble(&mut self, now: u64, until: u64, open: bool) {
        if open || until > now {
            self.troubled = true;
            self.trouble(now);
            return;
        }
        if until > self.last_look {
            self.trouble(until);
        } else if self.troubled {
            // It was ended since the last look.
            self.trouble(now);
        }
        self.troubled = false;
    }
}

impl SiteWorld {
    /// A job is about to come; looks begin if it has tasks to watch.
    pub(super) fn watch_lasting(&mut self, spec: &JobSpec) {
        let lasts = spec.steps.iter().any(|step| step.lasting);
        let watch = lasts || self.lasting.watched.contains(&spec.id);
        if watch && !self.lasting.active {
            self.lasting.active = true;
            self.lasting.trouble(self.now_ms);
            self.lasting.last_look = self.now_ms;
            self.lasting.next_look = self.now_ms + LOOK_MS;
            self.lasting.forgotten = self.store.forgotten_before();
        }
    }

    /// Looks at all that is due until a time.
    pub(super) fn look_at_lasting(&mut self, until_ms: u64) {
        while self.lasting.active && self.lasting.next_look <= until_ms {
            self.now_ms = self.lasting.next_look;
            self.lasting.next_look += LOOK_MS;
            self.look_for_trouble();
            let away = self.lasting.tasks.iter();
            let away = away.filter(|(_, watched)| watched.away_since.is_some());
            let away: Vec<TaskKey> = away.map(|(task, _)| *task).collect();
            for task in away {
                self.look_at_task(task);
            }
            self.lasting.last_look = self.now_ms;
        }
    }

    fn look_for_trouble(&mut self) {
        let now = self.now_ms;
        let staying = || self.nodes.iter().filter(|node| !node.gone);
        let down = staying().any(|node| node.core.is_none());
        let nodes = staying().map(|node| node.troubled_until().max(node.watch_lost_until));
        let lives = |address: &String| self.workers.get(address).is_some_and(Option::is_some);
        // One that is cut off for good was noted when that happened.
        let passing = |(address, until): &(&String, &u64)| **until < u64::MAX && lives(address);
        let workers = self.worker_cut_until.iter();
        let workers = workers.chain(&self.worker_off_table_until);
        let workers = workers.filter(passing).map(|(_, until)| *until);
        let until = nodes.chain(workers).max().unwrap_or(0);
        let until = until.max(self.store_away_until);
        let shares = [
            self.lost_percent,
            self.links.lost_answers_percent,
            self.late_orders_percent,
            self.lost_looks_percent,
            self.fail_percent,
        ];
        let slow = self.store_delay_ms > 0 || self.store_turn_ms > 0;
        let open = down || slow || shares.into_iter().any(|share| share > 0);
        self.lasting.note_trouble(now, until, open);
        let forgotten = self.store.forgotten_before();
        if forgotten > self.lasting.forgotten {
            self.lasting.forgotten = forgotten;
            self.lasting.trouble(now);
        }
    }

    /// A task is away: it is found missing if it has been for too long, in calm, with room for it.
    fn look_at_task(&mut self, task: TaskKey) {
        let now = self.now_ms;
        let has_room = self.has_room_for(task);
        let exempt = self.need_not_run(task);
        let trouble_at = self.lasting.trouble_at;
        let Some(watched) = self.lasting.tasks.get_mut(&task) else {
            return;
        };
        let Some(away_since) = watched.away_since else {
            return;
        };
        watched.room_since = match (has_room, watched.room_since) {
            (false, _) => None,
            (true, since) => Some(since.unwrap_or(now)),
        };
        let for_more = |since: u64, limit: u64| now.saturating_sub(since) > limit;
        let due = for_more(away_since, AWAY_MS) && for_more(trouble_at, CALM_MS);
        if !due || watched.told || exempt {
            return;
        }
        self.lasting.judged += 1;
        let roomy = watched
            .room_since
            .is_some_and(|since| for_more(since, ROOM_MS));
        if roomy {
            watched.told = true;
            let text = format!("{task} is away since {away_since} ms, calm since {trouble_at} ms");
            self.rules.breach("LOST", now, &text);
        }
    }

    /// Whether nobody asks for the task any more, or not yet.
    fn need_not_run(&self, task: TaskKey) -> bool {
        let job = task.step.job;
        !self.rules.accepted().contains(&job)
            || self.lasting.cancelled.contains(&job)
            || self.shown.contains_key(&job)
    }

    /// Whether workers that are up, listed and in reach have room for the task twice over.
    fn has_room_for(&self, task: TaskKey) -> bool {
        let Some(spec) = self.specs.get(&task.step.job) else {
            return false;
        };
        let step = &spec.steps[usize::from(task.step.step)];
        let live = self
            .workers
            .iter()
            .filter_map(|(address, worker)| Some((address, worker.as_ref()?)));
        let able = live.filter(|(address, worker)| self.may_take(address, worker, task, step));
        let copies = able.map(|(_, worker)| copies_on(worker, task, step));
        copies.sum::<u64>() >= COPIES
    }

    /// Workers that are up, listed and in reach and may run a task, whatever runs there.
    pub fn able_workers(&self, task: TaskKey) -> usize {
        let Some(spec) = self.specs.get(&task.step.job) else {
            return 0;
        };
        let step = &spec.steps[usize::from(task.step.step)];
        let workers = self.workers.iter();
        let live = workers.filter_map(|(address, worker)| Some((address, worker.as_ref()?)));
        let able = live.filter(|(address, worker)| self.may_take(address, worker, task, step));
        able.count()
    }

    fn may_take(&self, address: &str, worker: &SiteWorker, task: TaskKey, step: &StepSpec) -> bool {
        let now = self.now_ms;
        let cut = self.worker_cut_until.get(address);
        let labels = &worker.entry.labels;
        let policy = self.policy.as_ref();
        // Tasks that fill and tasks that serve share no worker.
        let mixes = !step.fills && step.latency_target_ms == 0;
        self.store.lists(&worker.id)
            && worker.entry.service == SERVICE
            && !worker.entry.leaving
            && cut.is_none_or(|until| *until <= now)
            && !self.worker_reached_by.contains_key(address)
            && step
                .required_label
                .as_ref()
                .is_none_or(|label| labels.contains(label))
            && policy.is_none_or(|policy| policy.is_good(task.step, &worker.id))
            && (mixes || worker.runs().is_empty())
    }

    /// A run of a task began.
    pub(super) fn lasting_started(&mut self, worker: &WorkerId, task: TaskKey, run: RunId) {
        if !self.is_watched(task) {
            return;
        }
        // It may have been away for too long by less than a look.
        self.look_at_task(task);
        let now = self.now_ms;
        let watched = self.lasting.tasks.entry(task).or_default();
        watched.live.insert((worker.clone(), run));
        if let Some(from_ms) = watched.away_since.take() {
            let until_ms = Some(now);
            self.lasting.spans.push(AwaySpan {
                task,
                from_ms,
                until_ms,
            });
        }
    }

    /// A run of a task ended, or its worker did.
    pub(super) fn lasting_ended(
        &mut self,
        worker: &WorkerId,
        task: TaskKey,
        run: RunId,
        how: EndKind,
    ) {
        if !self.is_watched(task) {
            return;
        }
        let now = self.now_ms;
        // A hold that ran out is noticed late.
        let lapsed = |held: &&SiteWorker| how == EndKind::Lapsed && held.id == *worker;
        let held = self.workers.values().flatten().find(lapsed);
        let ended = held.map_or(now, |held| held.lease_expiry_ms().min(now));
        let watched = self.lasting.tasks.entry(task).or_default();
        watched.live.remove(&(worker.clone(), run));
        if how == EndKind::Done {
            // One good end stands for all members of a gang.
            let gang = self.is_gang(task);
            let over = |other: &TaskKey| *other == task || (gang && other.step == task.step);
            self.lasting.tasks.retain(|other, _| !over(other));
        } else if watched.live.is_empty() {
            watched.away_since = Some(ended);
            watched.room_since = None;
            watched.told = false;
        }
    }

    fn is_gang(&self, task: TaskKey) -> bool {
        let spec = self.specs.get(&task.step.job);
        spec.is_some_and(|spec| spec.steps[usize::from(task.step.step)].gang)
    }

    pub(super) fn is_watched(&self, task: TaskKey) -> bool {
        let Some(spec) = self.specs.get(&task.step.job) else {
            return false;
        };
        let lasts = spec.steps[usize::from(task.step.step)].lasting;
        lasts || self.lasting.watched.contains(&task.step.job)
    }
}

/// Copies of a task that fit beside what a worker runs.
fn copies_on(worker: &SiteWorker, task: TaskKey, step: &StepSpec) -> u64 {
    let size = step.resources();
    let (room, used) = (worker.entry.room, worker.used());
    let parts = |part: fn(&TaskSize) -> u64| {
        let free = part(&room).saturating_sub(part(&used));
        free.checked_div(part(&size)).unwrap_or(u64::MAX)
    };
    let fits = parts(|size| size.millicores)
        .min(parts(|size| size.memory_mib))
        .min(parts(|size| size.accelerators));
    let limit = match u64::from(step.per_worker_limit) {
        0 => u64::MAX,
        limit => limit.saturating_sub(worker.held_of(task.step) as u64),
    };
    // One worker shows no more than what is asked for.
    fits.min(limit).min(COPIES)
}
