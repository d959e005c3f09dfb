//! Plays a task whose workers end, with troubles at given times after its starts.

use bankvalve_check::site::{job_of, LeaderLoss, SitePlan, SiteWorld, TaskCrash, QUEUE};
use bankvalve_queue::{JobId, JobState, StepKey, TaskKey, TaskSize};

/// The job of the task in question, which is its first task.
const STRUCK: JobId = 900;
/// Time from one look at the workers to the next, in milliseconds.
const STEP_MS: u64 = 5;
/// Time for which the task works if nothing ends it, in milliseconds.
const WORK_MS: u64 = 6_000;
/// Time from a worker's end until another life comes at its address, in milliseconds.
const DOWN_MS: u64 = 1_200;
/// Longest time for which troubles go on, and the calm in which the job must end then, in milliseconds.
const TROUBLE_MS: u64 = 60_000;
const CALM_MS: u64 = 90_000;
/// Time for which a job's breaches are waited for after its end is shown, in milliseconds.
const AFTER_MS: u64 = 1_000;
/// Starts that trouble follows at most.
const MAX_TROUBLED: u64 = 6;
/// Time from one healthy job beside to the next, in milliseconds.
const PACE_MS: u64 = 250;
/// Ends of workers from which the users count a task's starts.
pub(crate) const COUNTED_ENDS: u64 = 3;
/// Time for which the workers' capacity is small, in milliseconds, and that capacity.
const SHRUNK_MS: u64 = 300;
const SMALL: u64 = 500;
const LARGE: u64 = 4_000;

/// What happens some time after a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Trouble {
    /// The leader is lost.
    Leader(LeaderLoss),
    /// The other workers of the domain end when the task's worker does.
    Domain,
    /// Both.
    DomainAndLeader,
    /// The worker of another member of the gang ends, of another one at each start.
    Member,
    /// The capacity of another member's worker shrinks for a while, from some time after the decision on.
    Capacity,
    /// The task's worker is cut off for three seconds.
    Cut,
    /// Nothing.
    Nothing,
}

/// A sequence of events.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sequence {
    /// Whether the task itself ends its workers; else they end by chance.
    pub(crate) guilty: bool,
    /// Workers of a healthy task that end by chance.
    pub(crate) chance_ends: u64,
    /// Ages at which the task's workers end, the last one again and again, in milliseconds.
    pub(crate) ages_ms: &'static [u64],
    /// Members of the gang; no gang with one.
    pub(crate) members: u32,
    /// What follows the first three starts, and after how many milliseconds.
    pub(crate) first: (Trouble, u64),
    /// What follows each later start, and after how many milliseconds.
    pub(crate) later: (Trouble, u64),
    pub(crate) workers: usize,
    /// Time that answers to start orders take, in milliseconds; that of most is short and that of some drawn without it.
    pub(crate) start_answer_ms: Option<u64>,
}

fn struck_step() -> StepKey {
    StepKey {
        job: STRUCK,
        time: 0,
        step: 0,
    }
}

fn age_of(ages_ms: &[u64], start: u64) -> u64 {
    ages_ms[(start as usize - 1).min(ages_ms.len() - 1)]
}

/// The worker that has a task, and the number of the run.
fn holder(world: &SiteWorld, task: TaskKey) -> Option<(String, u64)> {
    let mut workers = world.workers.iter();
    workers.find_map(|(address, worker)| {
        let run = worker.as_ref()?.runs().get(&task)?;
        Some((address.clone(), run.run))
    })
}

fn end_domain(world: &mut SiteWorld, struck: &str) {
    let domain = world.domain_of(struck);
    let addresses: Vec<String> = world.workers.keys().cloned().collect();
    for address in addresses {
        if address != struck && world.domain_of(&address) == domain {
            world.end_worker(&address, DOWN_MS);
        }
    }
}

fn resize(world: &mut SiteWorld, address: &str, millicores: u64) {
    let room = TaskSize {
        millicores,
        memory_mib: 8_000,
        accelerators: 0,
    };
    world.resize_worker(address, room);
}

/// The worker for which a run of a task has been decided, from a line on.
fn decided(world: &SiteWorld, task: TaskKey, from: usize) -> Option<String> {
    let id = task.to_string();
    let mut lines = world.lines.iter().flatten().skip(from);
    let (.., line) =
        lines.find(|(.., line)| line.part == "placer" && line.event == "place" && line.id == id)?;
    let worker = line.detail.split(" on ").nth(1)?.split(',').next()?;
    let mut workers = world.workers.iter();
    workers.find_map(|(address, found)| {
        let found = found.as_ref()?;
        (found.id.to_string() == worker).then(|| address.clone())
    })
}

/// Something that is to happen at a time.
#[derive(Clone, Debug)]
enum Due {
    Leader(LeaderLoss),
    Domain(String),
    Member(u32),
    Shrink(String),
    Grow(String),
    Cut(String),
    End(String, u64),
}

fn happen(world: &mut SiteWorld, due: Due) {
    match due {
        Due::Leader(how) => world.lose_leader(how),
        Due::Domain(struck) => end_domain(world, &struck),
        Due::Member(index) => {
            if let Some((address, _)) = holder(world, struck_step().task(index)) {
                world.end_worker(&address, DOWN_MS);
            }
        }
        Due::Shrink(address) => resize(world, &address, SMALL),
        Due::Grow(address) => resize(world, &address, LARGE),
        Due::Cut(address) => {
            let until = world.now_ms + 3_000;
            world.worker_cut_until.insert(address, until);
        }
        Due::End(address, run) => {
            let live = holder(world, struck_step().task(0));
            if live == Some((address.clone(), run)) {
                world.end_worker(&address, DOWN_MS);
            }
        }
    }
}

/// Lays out what follows a start.
fn lay(sequence: &Sequence, now: u64, start: u64, place: (String, u64)) -> Vec<(u64, Due)> {
    let (address, run) = place;
    let age = age_of(sequence.ages_ms, start);
    let mut due = Vec::new();
    if !sequence.guilty && start <= sequence.chance_ends {
        due.push((now + age, Due::End(address.clone(), run)));
    }
    let is_first = start <= COUNTED_ENDS;
    let (trouble, after_ms) = if is_first {
        sequence.first
    } else {
        sequence.later
    };
    let at = now + after_ms;
    match trouble {
        Trouble::Leader(how) => due.push((at, Due::Leader(how))),
        Trouble::Domain => due.push((now + age, Due::Domain(address))),
        Trouble::DomainAndLeader => {
            due.push((now + age, Due::Domain(address)));
            due.push((at, Due::Leader(LeaderLoss::Killed)));
        }
        Trouble::Member => {
            let index = 1 + start as u32 % (sequence.members - 1);
            due.push((at, Due::Member(index)));
        }
        Trouble::Cut => due.push((at, Due::Cut(address))),
        // Capacity shrinks before the start that it follows would be seen.
        Trouble::Capacity | Trouble::Nothing => {}
    }
    due
}

/// Plays a sequence; returns what the users were promised and did not get.
pub(crate) fn play(sequence: &Sequence) -> Vec<String> {
    let mut world = SiteWorld::new(SitePlan {
        seed: 71,
        entries: 3,
        strengths: Vec::new(),
        broken: None,
        without: None,
        workers: sequence.workers,
        good_percent: None,
    });
    world.spread_over_domains(4);
    world.looks_wait = true;
    world.start_answer_ms = sequence.start_answer_ms;
    world.lines = Some(Vec::new());
    world.run_until(2_000);
    let task = struck_step().task(0);
    world.work_ms.insert(STRUCK, WORK_MS);
    world.submit(job_of(
        STRUCK,
        QUEUE,
        &[sequence.members],
        sequence.members > 1,
    ));
    let (mut start, mut run) = (0, 0);
    let mut due: Vec<(u64, Due)> = Vec::new();
    let crash = |world: &mut SiteWorld, start: u64| {
        if sequence.guilty {
            let after_ms = age_of(sequence.ages_ms, start);
            let down_ms = DOWN_MS;
            let crash = TaskCrash { after_ms, down_ms };
            world.crashing.insert(task, crash);
        }
    };
    crash(&mut world, 1);
    let trouble_until = world.now_ms + TROUBLE_MS;
    let calm_until = |world: &SiteWorld| world.now_ms + CALM_MS;
    let mut job = 0;
    let mut last_job = world.now_ms;
    let mut until = trouble_until + CALM_MS;
    let mut shown_at = None;
    let mut shrunk = 0;
    let (mut lines, step_ms) = match sequence.later.0 {
        Trouble::Capacity => (0, 1),
        _ => (0, STEP_MS),
    };
    while world.now_ms < until {
        let next = world.now_ms + step_ms;
        world.run_until(next);
        world.now_ms = next;
        let now = world.now_ms;
        if now >= last_job + PACE_MS && now < trouble_until && shown_at.is_none() {
            last_job = now;
            job += 1;
            world.submit(job_of(job, QUEUE, &[2], false));
        }
        if let Some(place) = holder(&world, task).filter(|(_, found)| *found > run) {
            run = place.1;
            start += 1;
            let laid = lay(sequence, now, start, place);
            if start <= MAX_TROUBLED && now < trouble_until {
                due.extend(laid);
            } else if until > calm_until(&world) {
                until = calm_until(&world);
            }
            // The age holds from the next start on.
            crash(&mut world, start + 1);
        }
        let cancels = sequence.later.0 == Trouble::Capacity;
        let placed = decided(&world, struck_step().task(1), lines);
        lines = world.lines.as_ref().map_or(0, Vec::len);
        if let Some(address) = placed
            .filter(|_| cancels && start >= COUNTED_ENDS && shrunk < MAX_TROUBLED - COUNTED_ENDS)
        {
            shrunk += 1;
            let at = now + sequence.later.1;
            due.push((at, Due::Shrink(address.clone())));
            due.push((at + SHRUNK_MS, Due::Grow(address)));
        }
        let (ripe, rest): (Vec<_>, Vec<_>) = due.into_iter().partition(|(at, _)| *at <= now);
        due = rest;
        for (_, event) in ripe {
            happen(&mut world, event);
        }
        if shown_at.is_none() && world.shown.contains_key(&STRUCK) {
            shown_at = Some(now);
            until = now + AFTER_MS;
        }
    }
    let expected = match sequence.guilty {
        true => JobState::Failed,
        false => JobState::Succeeded,
    };
    let shown = world.shown.get(&STRUCK).copied();
    let mut wrong: Vec<String> = world
        .rules
        .breaches
        .iter()
        .map(|breach| format!("{} {}", breach.rule, breach.text))
        .collect();
    if shown != Some(expected) {
        wrong.push(format!(
            "the job is shown as {shown:?} after {start} starts"
        ));
    }
    trace(&world, sequence, &wrong);
    wrong
}

/// Prints the decisions about the task for a sequence that went wrong.
fn trace(world: &SiteWorld, sequence: &Sequence, wrong: &[String]) {
    if wrong.is_empty() {
        return;
    }
    let id = struck_step().task(0).to_string();
    println!("{sequence:?}: {wrong:?}");
    for (at, node, line) in world.lines.iter().flatten() {
        let about = line.id == id || line.part == "lead" || line.event == "leads";
        if about {
            let (part, event, detail) = (&line.part, &line.event, &line.detail);
            println!("  {at} ms, instance {node}: {part} {event}: {detail}");
        }
    }
}
