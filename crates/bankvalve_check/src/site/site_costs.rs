//! What a leader's decisions cost under the load of a large fleet, without a network.
//!
//! The load answers the pattern of the users' largest site, by its sheet: 114 lookups a second of
//! some four tasks, 20 batch and gang jobs a second of some 50, each second job after a
//! question to the policy. The processor's time is that of this machine, taken around each step of
//! the leader.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::Duration;

use bankvalve_queue::{CoreAction, CoreEvent, PeerMessage, WorkerCall};
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

/// Plays the load of a large fleet, `load` times the sheet's, and prints what the leader's
/// decisions cost for each start.
pub fn run_site_costs(workers: usize, seconds: u64, load: f64) -> ExitCode {
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
    world.costs = Some(StepCosts::default());
    let share = workers as f64 / 1_100.0 * load;
    play_load(&mut world, seconds, share);
    let costs = world.costs.take().unwrap_or_default();
    let starts = world.rules.starts.max(1);
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
    println!("decisions: {core:.4} of a core");
    ExitCode::SUCCESS
}

/// Hands in jobs at the sheet's rates, times a share.
fn play_load(world: &mut SiteWorld, seconds: u64, share: f64) {
    let (mut lookups, mut wide, mut job) = (0.0, 0.0, 0);
    let end = world.now_ms + seconds * 1_000;
    while world.now_ms < end {
        lookups += 0.114 * share * 10.0;
        wide += 0.020 * share * 10.0;
        while lookups >= 1.0 {
            lookups -= 1.0;
            job += 1;
            let count = world.rng.random_range(1..8);
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
    }
}
