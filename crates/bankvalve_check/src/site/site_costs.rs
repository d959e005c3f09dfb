//! What a leader's decisions cost under the load of a large fleet, without a network.
//!
//! The load answers the pattern of the users' largest site, by its sheet: 114 lookups a second of
//! some four tasks, 20 batch and gang jobs a second of some 50, each second job after a
//! question to the policy. The processor's time is that of this machine, taken around each step of
//! the leader.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::Duration;

use bankvalve_queue::{CoreAction, CoreEvent, JobSpec, PeerMessage, WorkerCall};
use rand::Rng;

use super::site_bytes::{message_bytes, request_bytes, HEAD_BYTES};
use super::{job_of, SitePlan, SiteWorld, QUEUE, URGENT_QUEUE};

/// Virtual time before the load, in milliseconds: a leader is chosen, workers are looked at.
const START_MS: u64 = 3_000;
/// Processor of the strong instances, in thousandths of a core.
const STRONG: u64 = 500;
/// Processor of the others.
const WEAK: u64 = 120;
/// Strong instances.
const STRONG_ENTRIES: usize = 6;
/// Other instances.
const WEAK_ENTRIES: usize = 14;

/// Time that the leader's steps took, by what they were for, and bytes that it sent, by whereto.
#[derive(Clone, Debug, Default)]
pub struct StepCosts {
    by_part: BTreeMap<&'static str, (u64, Duration)>,
    sent: BTreeMap<&'static str, (u64, u64)>,
}

impl StepCosts {
    pub(super) fn note(&mut self, part: &'static str, took: Duration) {
        let entry = self.by_part.entry(part).or_default();
        entry.0 += 1;
        entry.1 += took;
    }

    /// Notes what the leader sends. Messages to a peer and calls that it makes itself count with the
    /// heads of HTTP, though in the program several messages travel under one.
    pub(super) fn note_sent(&mut self, action: &CoreAction) {
        let (part, bytes) = match action {
            CoreAction::Store { request, .. } => ("to the table", request_bytes(request)),
            CoreAction::Worker { call, .. } => ("to workers", worker_call_bytes(call)),
            CoreAction::Peer { message, .. } => (link_of(message), message_bytes(message)),
            _ => return,
        };
        let entry = self.sent.entry(part).or_default();
        entry.0 += 1;
        entry.1 += bytes;
    }

    /// Time of all steps.
    pub fn whole(&self) -> Duration {
        self.by_part.values().map(|(_, time)| *time).sum()
    }
}

/// What a message to a peer is for.
fn link_of(message: &PeerMessage) -> &'static str {
    match message {
        PeerMessage::Heartbeat(_) => "heartbeats",
        PeerMessage::Committed { .. } => "the ledger to standbys",
        PeerMessage::Carry { .. } => "calls to carriers",
        PeerMessage::Reply { .. } | PeerMessage::Mark { .. } => "answers to callers",
        PeerMessage::Advise { .. } => "questions to the policy",
        PeerMessage::Relay { message, .. } => link_of(message),
        _ => "other",
    }
}

/// Bytes of a call to a worker, roughly: an order brings the job's text along.
fn worker_call_bytes(call: &WorkerCall) -> u64 {
    /// Names and numbers of an order.
    const ORDER: u64 = 200;
    match call {
        WorkerCall::Start(order) => HEAD_BYTES + ORDER + order.job.payload.len() as u64,
        _ => HEAD_BYTES + ORDER,
    }
}

/// What an event is for.
pub(super) fn part_of(event: &CoreEvent) -> &'static str {
    match event {
        CoreEvent::Tick => "tick",
        CoreEvent::Store { .. } | CoreEvent::StoreBegins { .. } => "table",
        CoreEvent::Worker { .. } => "worker",
        CoreEvent::Advice { .. } => "policy",
        CoreEvent::Caller { .. } | CoreEvent::RequestDenied { .. } => "caller",
        CoreEvent::Peer { message, .. } => match message {
            PeerMessage::Heartbeat(_) => "heartbeat",
            PeerMessage::Ask { .. } | PeerMessage::Reply { .. } => "ask",
            PeerMessage::Advise { .. } | PeerMessage::Advised { .. } => "policy",
            _ => "peer",
        },
        CoreEvent::PeerUnreached { .. } | CoreEvent::Stop => "peer",
    }
}

/// Steps that wait throughout and cannot start, ahead of all others.
#[derive(Clone, Copy, Debug)]
pub struct CostBacklog {
    /// Number of steps.
    pub steps: u64,
    /// Services among which they are divided, with that of the load.
    pub services: u64,
}

/// Queue of the backlog at the load's own service, and what the names of the others begin with.
const BACKLOG_QUEUE: &str = "backlog";
/// Workers of each further service, and steps of each job of the backlog.
const BUSY_WORKERS: usize = 4;
const STEPS_PER_JOB: u64 = 50;
/// Numbers of the backlog's jobs begin here, and their tasks work for so long, in milliseconds.
const BACKLOG_JOBS: u64 = 1_000_000;
const BACKLOG_WORK_MS: u64 = 10_000_000;
/// Work of an urgent task beside a backlog, in milliseconds.
const URGENT_WORK_MS: u64 = 100;

/// Divides a backlog among the services: at that of the load its steps want accelerators, which no worker has; at
/// the others all workers are busy.
fn submit_backlog(world: &mut SiteWorld, backlog: CostBacklog) {
    let queue_of = |service: u64| format!("{BACKLOG_QUEUE}-{service}");
    let addresses: Vec<String> = world.workers.keys().cloned().collect();
    for service in 0..backlog.services {
        let queue = queue_of(service);
        if service == 0 {
            world.add_queue(&queue, 0);
            continue;
        }
        world.add_queue_of(&queue, 0, &queue);
        let first = service as usize * BUSY_WORKERS;
        for address in &addresses[first..first + BUSY_WORKERS] {
            world.change_worker(address, |entry| entry.service = queue.clone());
        }
    }
    world.configure(2);
    let until = world.now_ms + 1_000;
    world.run_until(until);
    let mut left = backlog.steps;
    let mut job = BACKLOG_JOBS;
    while left > 0 {
        let service = job % backlog.services;
        let count = left.min(STEPS_PER_JOB);
        left -= count;
        let mut step = job_of(job, QUEUE, &[1], false).steps.remove(0);
        step.size.accelerators = u64::from(service == 0);
        world.work_ms.insert(job, BACKLOG_WORK_MS);
        world.submit(JobSpec {
            steps: vec![step; count as usize],
            ..job_of(job, &queue_of(service), &[], false)
        });
        job += 1;
        let until = world.now_ms + 5;
        world.run_until(until);
    }
    let until = world.now_ms + START_MS;
    world.run_until(until);
}

/// Plays the load of a large fleet, `load` times the sheet's, and prints what the leader's
/// decisions cost for each start.
pub fn run_site_costs(workers: usize, seconds: u64, load: f64, backlog: CostBacklog) -> ExitCode {
    let strengths = std::iter::repeat_n(STRONG, STRONG_ENTRIES);
    let strengths = strengths.chain(std::iter::repeat_n(WEAK, WEAK_ENTRIES));
    let mut world = SiteWorld::new(SitePlan {
        seed: 1,
        entries: STRONG_ENTRIES + WEAK_ENTRIES,
        strengths: strengths.collect(),
        workers,
        broken: None,
        without: None,
        good_percent: Some(60),
    });
    world.run_until(START_MS);
    world.looks_wait = true;
    if backlog.steps > 0 {
        submit_backlog(&mut world, backlog);
    }
    let passes_before = world.counter("placements", "passes");
    let starts_before = world.rules.starts;
    world.costs = Some(StepCosts::default());
    let share = workers as f64 / 1_100.0 * load;
    let urgent_work_ms = (backlog.steps > 0).then_some(URGENT_WORK_MS);
    let urgent_ms = play_load(&mut world, seconds, share, urgent_work_ms);
    let costs = world.costs.take().unwrap_or_default();
    let starts = (world.rules.starts - starts_before).max(1);
    let passes = world.counter("placements", "passes") - passes_before;
    println!("{starts} starts in {seconds} s, {workers} workers, {load} times the load");
    println!(
        "{:<12}{:>10}{:>14}{:>14}",
        "part", "steps", "us a step", "us a start"
    );
    for (part, (steps, time)) in &costs.by_part {
        let us = time.as_secs_f64() * 1e6;
        let (step, start) = (us / (*steps as f64), us / starts as f64);
        println!("{part:<12}{steps:>10}{step:>14.2}{start:>14.2}");
    }
    println!("\n{:<26}{:>10}{:>14}", "sent", "messages", "bytes a start");
    for (part, (count, bytes)) in &costs.sent {
        println!(
            "{part:<26}{count:>10}{:>14.1}",
            *bytes as f64 / starts as f64
        );
    }
    let core = costs.whole().as_secs_f64() / seconds as f64;
    println!("decisions: {core:.4} of a core, {passes} placement passes");
    let at = |percent: usize| urgent_ms.get(urgent_ms.len() * percent / 100);
    println!(
        "urgent jobs: {} ended, half after {:?} ms, 99% after {:?} ms",
        urgent_ms.len(),
        at(50).unwrap_or(&0),
        at(99).unwrap_or(&0)
    );
    ExitCode::SUCCESS
}

/// Hands in jobs at the sheet's rates, times a share. Returns after how many milliseconds urgent jobs were shown as
/// ended, in order.
fn play_load(
    world: &mut SiteWorld,
    seconds: u64,
    share: f64,
    urgent_work_ms: Option<u64>,
) -> Vec<u64> {
    let mut open = BTreeMap::new();
    let mut ended = Vec::new();
    let (mut lookups, mut wide, mut job) = (0.0, 0.0, 0);
    let end = world.now_ms + seconds * 1_000;
    while world.now_ms < end {
        lookups += 0.114 * share * 10.0;
        wide += 0.020 * share * 10.0;
        while lookups >= 1.0 {
            lookups -= 1.0;
            job += 1;
            let count = world.rng.random_range(1..8);
            world
                .work_ms
                .extend(urgent_work_ms.map(|work_ms| (job, work_ms)));
            open.insert(job, world.now_ms);
            world.submit(job_of(job, URGENT_QUEUE, &[count], false));
        }
        while wide >= 1.0 {
            wide -= 1.0;
            job += 1;
            let count = world.rng.random_range(20..80);
            world.submit(job_of(job, QUEUE, &[count], job % 5 == 0));
        }
        let until = world.now_ms + 10;
        world.run_until(until);
        open.retain(|job, at| {
            let over = world.shown.contains_key(job);
            ended.extend(over.then_some(world.now_ms - *at));
            !over
        });
    }
    // Those that have not ended count with the time so far.
    ended.extend(open.values().map(|at| world.now_ms - *at));
    ended.sort_unstable();
    ended
}
