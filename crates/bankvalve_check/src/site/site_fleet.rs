//! What a site costs at the size of a large fleet: calls to the table and bytes from it by kind, messages of
//! each role, and the time until tasks start after a start or a loss of all instances.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::Duration;

use bankvalve_queue::{EntryView, StoreOutcome, StoreRequest, Ticket};

use super::site_recovery::answer_bytes;
use super::{job_of, SitePlan, SiteWorld, QUEUE, URGENT_QUEUE};

/// Virtual time in which the site starts, in milliseconds.
const START_MS: u64 = 10_000;
/// Virtual time of the load before and after the loss of all instances, in milliseconds.
const LOAD_MS: u64 = 6_000;
/// Virtual time from the loss of all instances until they start again, in milliseconds.
const DOWN_MS: u64 = 1_000;
/// Pause between two jobs, in milliseconds.
const JOB_PAUSE_MS: u64 = 12;
/// CPU of the strong instances and of the others, in thousandths of a core, and the share of strong ones.
const STRONG: u64 = 1_000;
const WEAK: u64 = 120;
const STRONG_PERCENT: usize = 12;
/// Time for which the table carries out one write, in milliseconds: one part takes 200 a second.
const WRITE_TURN_MS: u64 = 5;
/// Age of the last contact with the leader below which an instance follows it.
const IN_CONTACT: Duration = Duration::from_millis(500);
/// Bytes of the heads of a call to the table and its answer.
const CALL_BYTES: u64 = 400;
/// Bytes of a configuration: that of the large sites' usual days.
const CONFIG_BYTES: u64 = 4_000;

/// Calls to the table and bytes from it, by kind of request.
#[derive(Clone, Debug, Default)]
pub struct TableUse {
    open: BTreeMap<(usize, Ticket), &'static str>,
    by_kind: BTreeMap<&'static str, (u64, u64)>,
}

impl TableUse {
    pub(super) fn note_call(&mut self, node: usize, ticket: Ticket, request: &StoreRequest) {
        let kind = kind_of(request);
        self.open.insert((node, ticket), kind);
        self.by_kind.entry(kind).or_default().0 += 1;
    }

    pub(super) fn note_answer(&mut self, node: usize, ticket: Ticket, outcome: &StoreOutcome) {
        if let Some(kind) = self.open.remove(&(node, ticket)) {
            let bytes = CALL_BYTES + answer_bytes(outcome, CONFIG_BYTES);
            self.by_kind.entry(kind).or_default().1 += bytes;
        }
    }

    /// Calls and bytes of all kinds.
    pub fn whole(&self) -> (u64, u64) {
        let sum = |all: (u64, u64), one: &(u64, u64)| (all.0 + one.0, all.1 + one.1);
        self.by_kind.values().fold((0, 0), sum)
    }

    /// Calls and bytes of a kind.
    pub fn of(&self, kind: &'static str) -> (u64, u64) {
        self.by_kind.get(kind).copied().unwrap_or_default()
    }
}

fn kind_of(request: &StoreRequest) -> &'static str {
    match request {
        StoreRequest::Transact { writes, .. } => match writes.first() {
            Some(write) if write.key.table == "ledger" => "write ledger",
            Some(_) => "write member or leader",
            None => "remove",
        },
        StoreRequest::Read { table, part, .. } => match (table.as_str(), part.as_str()) {
            ("ledger", _) => "read ledger",
            (_, "lead") => "read leader",
            _ => "read members",
        },
        StoreRequest::Watch { table, .. } => match table.as_str() {
            "members" => "watch members",
            _ => "watch leader",
        },
        StoreRequest::ReadOperator | StoreRequest::ReadEvacuations => "read configuration",
        StoreRequest::WatchOperator { .. } => "watch configuration",
        StoreRequest::ReadWorkers { .. } => "read workers",
        StoreRequest::WatchWorkers { .. } => "watch workers",
    }
}

/// What a fleet of a size showed.
#[derive(Clone, Debug, Default)]
pub struct FleetFigures {
    /// Table use from the start of all instances until the load.
    pub start: TableUse,
    /// Table use in the load before the loss.
    pub calm: TableUse,
    /// Table use from the loss of all instances on.
    pub back: TableUse,
    /// Milliseconds until a configuration was in force on all instances.
    pub config_ms: u64,
    /// Milliseconds until all instances knew of an evacuation.
    pub evacuation_ms: u64,
    /// Milliseconds from the loss of the leader until all instances were in contact with the next one.
    pub takeover_ms: u64,
    /// Milliseconds from the return of the instances to the first start.
    pub first_start_ms: Option<u64>,
    /// Rules that were broken.
    pub broken: usize,
}

/// Runs a fleet through a start, load, and a loss of all instances under load.
pub fn play_fleet(instances: usize, workers: usize) -> FleetFigures {
    let strong = (instances * STRONG_PERCENT / 100).max(6);
    let strength = |node| if node < strong { STRONG } else { WEAK };
    let mut world = SiteWorld::new(SitePlan {
        seed: 1,
        entries: instances,
        strengths: (0..instances).map(strength).collect(),
        broken: None,
        without: None,
        workers,
        good_percent: None,
    });
    world.looks_wait = true;
    world.store_turn_ms = WRITE_TURN_MS;
    world.table_use = Some(TableUse::default());
    world.run_until(START_MS);
    let start = std::mem::take(&mut world.table_use).unwrap_or_default();
    world.table_use = Some(TableUse::default());
    play_jobs(&mut world, 1, LOAD_MS);
    let calm = std::mem::take(&mut world.table_use).unwrap_or_default();
    world.configure(2);
    let config_ms = time_until_all(&mut world, |view| view.table_version == 2);
    world.evacuate("elsewhere");
    let evacuation_ms = time_until_all(&mut world, |view| !view.evacuations.is_empty());
    let leader = world.leader().unwrap_or_default();
    world.kill(leader, 4 * LOAD_MS);
    let killed_ms = world.now_ms;
    let follows =
        |view: &EntryView| view.leading || view.leader_age.is_some_and(|age| age < IN_CONTACT);
    let until = killed_ms + 2 * IN_CONTACT.as_millis() as u64;
    world.run_until(until);
    time_until_all(&mut world, follows);
    let takeover_ms = world.now_ms - killed_ms;
    world.table_use = Some(TableUse::default());
    for node in 0..instances {
        world.kill(node, DOWN_MS);
    }
    let back_at = world.now_ms + DOWN_MS;
    let starts = world.rules.starts;
    let mut first_start_ms = None;
    let mut job = 100_000;
    while world.now_ms < back_at + LOAD_MS {
        let until = world.now_ms + JOB_PAUSE_MS;
        world.run_until(until);
        if world.rules.starts > starts && world.now_ms > back_at && first_start_ms.is_none() {
            first_start_ms = Some(world.now_ms - back_at);
        }
        job += 1;
        world.submit(job_of(job, URGENT_QUEUE, &[4], false));
    }
    FleetFigures {
        config_ms,
        evacuation_ms,
        takeover_ms,
        start,
        calm,
        back: std::mem::take(&mut world.table_use).unwrap_or_default(),
        first_start_ms,
        broken: world.rules.breaches.len(),
    }
}

/// Runs until a condition holds for all instances that run, and returns how long that took, in milliseconds.
fn time_until_all(world: &mut SiteWorld, holds: impl Fn(&EntryView) -> bool) -> u64 {
    let began_ms = world.now_ms;
    let all = |world: &SiteWorld| {
        let cores = world.nodes.iter().filter_map(|node| node.core.as_ref());
        cores.into_iter().all(|core| holds(&core.view()))
    };
    while !all(world) && world.now_ms < began_ms + LOAD_MS {
        let until = world.now_ms + 10;
        world.run_until(until);
    }
    world.now_ms - began_ms
}

fn play_jobs(world: &mut SiteWorld, first_job: u64, ms: u64) {
    for number in 0..ms / JOB_PAUSE_MS {
        let job = first_job + number;
        let (queue, count) = match job % 7 {
            0 => (QUEUE, 40),
            _ => (URGENT_QUEUE, 4),
        };
        world.submit(job_of(job, queue, &[count], job % 21 == 0));
        let until = world.now_ms + JOB_PAUSE_MS;
        world.run_until(until);
    }
}

/// Prints what fleets of the given sizes cost.
pub fn run_fleet(instances: usize, workers: usize) -> ExitCode {
    let figures = play_fleet(instances, workers);
    println!("{instances} instances, {workers} workers");
    let spans = [
        ("start", &figures.start, START_MS),
        ("load", &figures.calm, LOAD_MS),
        ("back", &figures.back, LOAD_MS + DOWN_MS),
    ];
    for (span, table, ms) in spans {
        let (calls, bytes) = table.whole();
        println!("{span}: {calls} calls, {bytes} bytes in {ms} ms");
        for (kind, (calls, bytes)) in &table.by_kind {
            println!("  {kind:<26}{calls:>10}{bytes:>14}");
        }
    }
    println!(
        "on all instances: a configuration after {} ms, an evacuation after {} ms, the next leader after {} ms",
        figures.config_ms, figures.evacuation_ms, figures.takeover_ms
    );
    match figures.first_start_ms {
        Some(ms) => println!("first start {ms} ms after the return of all instances"),
        None => println!("nothing started after the return of all instances"),
    }
    println!("{} rules broken", figures.broken);
    match figures.broken {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}
