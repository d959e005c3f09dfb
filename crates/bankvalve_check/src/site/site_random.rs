//! Randomised runs of a site: jobs and troubles drawn from a seed, rules checked to the end.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::Instant;

use bankvalve_queue::{DecisionLine, JobSpec, JobState, SiteGuard};
use bankvalve_standin::site::MAX_ENDS_PER_REPORT;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::site_crashes::DrawnCrashes;
use super::site_drawn_customers::DrawnCustomers;
use super::site_drawn_losses::{cancel_lasting, DrawnLosses};
use super::site_evacuations::DrawnEvacuations;
use super::site_operator::DrawnOperator;
use super::site_restarts::{DrawnRestarts, RestartFigures};
use super::site_storm_figures::StormFigures;
use super::site_storms::run_planned_storms;
use super::{
    job_of, LeaderLoss, RuleBreach, SiteFault, SitePlan, SiteWorld, StepTime, WorkerLoss, QUEUE,
    URGENT_QUEUE,
};

/// Virtual time in which jobs and troubles come, in milliseconds.
const TROUBLED_MS: u64 = 40_000;
/// Virtual time in which all jobs must end after the troubles, in milliseconds.
const CALM_MS: u64 = 90_000;
/// Longest time for which a trouble keeps an instance down or frozen, in milliseconds.
const LONGEST_DOWN_MS: u64 = 8_000;
/// First virtual time at which trouble strikes, in milliseconds.
const FIRST_MS: u64 = 1_500;
/// Jobs that are asked about at each instance at the end.
const ASKED_JOBS: usize = 4;
/// Virtual time from one of them to the next, in milliseconds.
const ASK_PAUSE_MS: u64 = 250;
/// Virtual time in which all who asked have their answers, in milliseconds.
const ASK_MS: u64 = 4_000;
/// Strong instances of a site with hubs, and the others.
const HUB_STRONG: usize = 6;
const HUB_WEAK: usize = 60;
/// Time of a step on a processor that is too slow for the load: some 1,100 events a second.
const SHORT_STEP: StepTime = StepTime {
    event_us: 700,
    action_us: 60,
};
/// Bytes that a link carries in a millisecond which is too thin for the load: with 200 all is served.
const SHORT_LINK: u64 = 90;
/// Most tasks of a step that is drawn.
const WIDTH: u32 = 4;

/// Virtual time of the first pair of losses, where there are such, in milliseconds.
const FIRST_LOSS_MS: u64 = 6_000;
/// Longest holds on the users' sites, in milliseconds.
const HOLD_LIMITS_MS: [u64; 2] = [6_000, 10_000];

/// How much further apart jobs come there: such a run lasts for longer, and room must be left.
const LOSSES_PACE: u64 = 4;

/// What came of a run.
#[derive(Debug)]
pub struct SiteReport {
    /// Rules that were broken.
    pub breaches: Vec<RuleBreach>,
    /// Longest hold that the platform allowed, in milliseconds.
    pub hold_limit_ms: u64,
    /// Events of the run.
    pub events: u64,
    /// Starts seen.
    pub starts: u64,
    /// Jobs accepted.
    pub accepted: u64,
    /// Configurations written.
    pub versions: u64,
    /// Callers that asked for queues and were told something.
    pub told: u64,
    /// Callers that cancelled a job whose submission had had no answer.
    pub given_up: u64,
    /// Troubles that struck.
    pub faults: BTreeMap<SiteFault, u64>,
    /// Pairs of losses that were laid out.
    pub pairs: BTreeMap<(WorkerLoss, LeaderLoss), u64>,
    /// Times for which tasks that last were away, in milliseconds.
    pub away_ms: Vec<u64>,
    /// What series of lost workers showed.
    pub storms: StormFigures,
    /// What restarts of workers under their ids showed.
    pub restarts: RestartFigures,
    /// Decision lines of all instances, each with its time in milliseconds and the instance, if they were kept.
    pub lines: Vec<(u64, usize, DecisionLine)>,
}

impl SiteReport {
    /// What a world that is over shows.
    pub(super) fn of(world: &mut SiteWorld) -> Self {
        let spans = world.lasting.spans.iter();
        let away_ms = spans.filter_map(|span| Some(span.until_ms? - span.from_ms));
        Self {
            away_ms: away_ms.collect(),
            hold_limit_ms: world.max_lease_ms,
            events: world.events,
            starts: world.rules.starts,
            accepted: world.rules.accepted().len() as u64,
            breaches: std::mem::take(&mut world.rules.breaches),
            faults: BTreeMap::new(),
            pairs: BTreeMap::new(),
            versions: 0,
            told: world.told.len() as u64,
            given_up: world.given_up_unanswered,
            storms: StormFigures::default(),
            restarts: std::mem::take(&mut world.restarts),
            lines: world.lines.take().unwrap_or_default(),
        }
    }
}

/// Which episode to run.
#[derive(Clone, Copy, Debug)]
pub(super) struct EpisodePlan<'a> {
    pub(super) seed: u64,
    /// Kinds of troubles that may strike.
    pub(super) kinds: &'a [SiteFault],
    pub(super) burden: SiteBurden,
    /// Guard that is taken away.
    pub(super) broken: Option<SiteGuard>,
    /// Whether the instances' decision lines are kept for the report.
    pub(super) keeps_lines: bool,
}

/// Most ended runs in one answer of a worker of a drawn world. The platform's limit is out of reach of the few
/// tasks there, and nothing may depend on its value.
pub(super) fn drawn_end_limit(seed: u64) -> usize {
    [MAX_ENDS_PER_REPORT, 5, 2][(seed % 3) as usize]
}

/// Longest hold that the platform of a drawn world allows, in milliseconds. It is drawn from its own source, so
/// that all else is drawn as without it.
pub(super) fn drawn_hold_limit(seed: u64) -> u64 {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x0068_6f6c_6473);
    HOLD_LIMITS_MS[rng.random_range(0..HOLD_LIMITS_MS.len())]
}

/// Runs one episode: troubles of the kinds given strike a site under load.
pub fn run_site_episode(seed: u64, kinds: &[SiteFault]) -> SiteReport {
    run_broken_episode(seed, kinds, None)
}

/// Runs one episode with a guard taken away.
pub fn run_broken_episode(seed: u64, kinds: &[SiteFault], broken: Option<SiteGuard>) -> SiteReport {
    run_episode(seed, kinds, broken, SiteBurden::Usual)
}

/// Runs one episode of a site whose leader is short of something.
pub fn run_short_episode(seed: u64, kinds: &[SiteFault], burden: SiteBurden) -> SiteReport {
    run_episode(seed, kinds, None, burden)
}

/// Runs one episode in which some tasks end the workers that run them, with a guard taken away if
/// asked.
pub fn run_crash_episode(seed: u64, kinds: &[SiteFault], broken: Option<SiteGuard>) -> SiteReport {
    run_episode(seed, kinds, broken, SiteBurden::Crashes)
}

/// Runs one episode in which workers and leaders are lost together while jobs that last run, with a
/// guard taken away if asked.
pub fn run_loss_episode(seed: u64, kinds: &[SiteFault], broken: Option<SiteGuard>) -> SiteReport {
    run_episode(seed, kinds, broken, SiteBurden::Losses)
}

/// What the leader of a drawn site is short of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SiteBurden {
    /// Nothing.
    Usual,
    /// Processor for its workers, so that its calls are carried.
    Carried,
    /// The same, with so many members that messages go through hubs.
    Hubs,
    /// Processor: each step takes so long that the load is more than it bears.
    Processor,
    /// Link: the load is more than the thinnest carries.
    Link,
    /// Nothing, but some tasks end the workers that run them, workers' rooms move, machines are
    /// suspended, and another program writes among the workers' entries.
    Crashes,
    /// Nothing, but workers and leaders are lost together, some of them for good, and some jobs last.
    Losses,
    /// Nothing, but workers are lost in series in all manners, leaders in between, while some tasks end
    /// the workers that run them and some last.
    Storms,
    /// Nothing, but workers start again under their ids in series, and some are cut off soon after.
    Restarts,
    /// The same, and what a process had received is carried out late by the next one.
    LateRestarts,
    /// Nothing, but queues ask for keys of customers, whose keys and limits change.
    Customers,
    /// Nothing, but the operator evacuates failure domains of workers.
    Evacuations,
}

impl SiteBurden {
    /// All burdens.
    pub const ALL: [SiteBurden; 12] = [
        SiteBurden::Usual,
        SiteBurden::Carried,
        SiteBurden::Hubs,
        SiteBurden::Processor,
        SiteBurden::Link,
        SiteBurden::Crashes,
        SiteBurden::Losses,
        SiteBurden::Storms,
        SiteBurden::Restarts,
        SiteBurden::LateRestarts,
        SiteBurden::Customers,
        SiteBurden::Evacuations,
    ];

    /// Name used on the command line.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(bankvalve_check::site::SiteBurden::Link.as_str(), "link");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            SiteBurden::Usual => "usual",
            SiteBurden::Carried => "carried",
            SiteBurden::Hubs => "hubs",
            SiteBurden::Processor => "processor",
            SiteBurden::Link => "link",
            SiteBurden::Crashes => "crashes",
            SiteBurden::Losses => "losses",
            SiteBurden::Storms => "storms",
            SiteBurden::Restarts => "restarts",
            SiteBurden::LateRestarts => "late-restarts",
            SiteBurden::Customers => "customers",
            SiteBurden::Evacuations => "evacuations",
        }
    }

    fn strengths(self) -> Option<Vec<u64>> {
        match self {
            SiteBurden::Usual
            | SiteBurden::Crashes
            | SiteBurden::Losses
            | SiteBurden::Storms
            | SiteBurden::Restarts
            | SiteBurden::LateRestarts
            | SiteBurden::Customers
            | SiteBurden::Evacuations => None,
            SiteBurden::Carried | SiteBurden::Link => Some(vec![10; 5]),
            SiteBurden::Processor => Some(vec![1_000; 4]),
            SiteBurden::Hubs => {
                let strong = std::iter::repeat_n(14, HUB_STRONG);
                Some(strong.chain(std::iter::repeat_n(10, HUB_WEAK)).collect())
            }
        }
    }

    fn lay(self, world: &mut SiteWorld) {
        match self {
            SiteBurden::Usual | SiteBurden::Carried | SiteBurden::Hubs => {}
            SiteBurden::Crashes
            | SiteBurden::Losses
            | SiteBurden::Storms
            | SiteBurden::Restarts
            | SiteBurden::LateRestarts
            | SiteBurden::Customers
            | SiteBurden::Evacuations => world.looks_wait = true,
            SiteBurden::Processor => {
                world.looks_wait = true;
                for node in &mut world.nodes {
                    node.processor.step_time = Some(SHORT_STEP);
                }
            }
            SiteBurden::Link => {
                world.looks_wait = true;
                world.links_carry_all = true;
                for node in &mut world.nodes {
                    node.link_bytes_per_ms = Some(SHORT_LINK);
                }
            }
        }
    }
}

/// Runs the episode of a burden and a seed that the command `site` runs, with a guard taken away if asked.
pub fn run_drawn_episode(seed: u64, broken: Option<SiteGuard>, burden: SiteBurden) -> SiteReport {
    run_episode(seed, kinds_under(burden, seed), broken, burden)
}

pub(super) fn run_episode(
    seed: u64,
    kinds: &[SiteFault],
    broken: Option<SiteGuard>,
    burden: SiteBurden,
) -> SiteReport {
    run_planned_episode(EpisodePlan {
        seed,
        kinds,
        burden,
        broken,
        keeps_lines: false,
    })
}

/// Runs the episode of a plan.
fn run_planned_episode(episode: EpisodePlan) -> SiteReport {
    let EpisodePlan {
        seed,
        kinds,
        burden,
        broken,
        keeps_lines,
    } = episode;
    if burden == SiteBurden::Storms {
        return run_planned_storms(episode);
    }
    // Each fourth site has more instances than are near each other, and unlike ones.
    let usual = matches!(burden, SiteBurden::Usual | SiteBurden::Crashes);
    let mut crashes = (burden == SiteBurden::Crashes).then(|| DrawnCrashes::new(seed));
    let large = usual && seed % 4 == 3;
    let strengths = [120, 120, 500, 120, 120, 500, 120, 500, 120];
    let (entries, strengths) = match burden.strengths() {
        Some(strengths) => (strengths.len(), strengths),
        None if large => (strengths.len(), strengths.to_vec()),
        None => (3 + (seed % 3) as usize, Vec::new()),
    };
    let restarts = matches!(burden, SiteBurden::Restarts | SiteBurden::LateRestarts);
    let mut restarts = restarts.then(|| DrawnRestarts::new(seed, FIRST_MS));
    let mut losses = (burden == SiteBurden::Losses).then(|| DrawnLosses::new(seed, FIRST_LOSS_MS));
    let (troubled_ms, pace) = match losses {
        Some(_) => (DrawnLosses::troubled_ms(FIRST_LOSS_MS), LOSSES_PACE),
        None => (TROUBLED_MS, 1),
    };
    let plan = SitePlan {
        seed,
        entries,
        strengths,
        workers: 12,
        broken,
        without: None,
        good_percent: (seed % 2 == 0).then_some(85),
    };
    let mut world = SiteWorld::with_hold_limit(plan, drawn_hold_limit(seed));
    world.limit_end_reports(drawn_end_limit(seed));
    world.lines = keeps_lines.then(Vec::new);
    world.callers_leave = true;
    burden.lay(&mut world);
    world.late_orders_outlive_receivers = burden == SiteBurden::LateRestarts;
    if large {
        world.burden(seed);
    }
    let mut operator = DrawnOperator::new(seed);
    if usual && seed % 16 == 11 {
        operator.write_large(&mut world);
    }
    let mut customers = (burden == SiteBurden::Customers).then(|| DrawnCustomers::new(seed));
    if let Some(customers) = customers.as_mut() {
        customers.lay(&mut world);
        operator.write_now(&mut world);
    }
    let mut evacuations =
        (burden == SiteBurden::Evacuations).then(|| DrawnEvacuations::new(seed, FIRST_MS));
    if evacuations.is_some() {
        DrawnEvacuations::lay(&mut world);
    }
    let mut faults = BTreeMap::new();
    let mut next_fault = FIRST_MS + world.rng.random_range(0..2_000);
    let mut job = seed.wrapping_mul(1_000_000);
    world.run_until(FIRST_MS / 2);
    if let Some(losses) = losses.as_mut() {
        losses.submit(&mut world);
    }
    while world.now_ms < troubled_ms {
        let pause = world.rng.random_range(20..180) * pace;
        let until = world.now_ms + pause;
        world.run_until(until);
        world.check_versions();
        operator.act(&mut world);
        if let Some(crashes) = crashes.as_mut() {
            crashes.act(&mut world);
        }
        if let Some(losses) = losses.as_mut() {
            losses.act(&mut world);
        }
        if let Some(restarts) = restarts.as_mut() {
            restarts.act(&mut world);
        }
        if let Some(customers) = customers.as_mut() {
            world.check_usage();
            if customers.change(&mut world) {
                operator.write_now(&mut world);
            }
        }
        if let Some(evacuations) = evacuations.as_mut() {
            evacuations.act(&mut world);
        }
        job += 1;
        if let Some(restarts) = restarts.as_mut() {
            restarts.cuts.draw_work(&mut world, job);
        }
        submit_drawn(&mut world, job, crashes.as_mut(), customers.as_mut());
        if world.rng.random_range(0..20) == 0 {
            let old = job - world.rng.random_range(0..5).min(job);
            world.cancel(old);
        }
        let strikes = losses
            .as_ref()
            .is_none_or(|losses| losses.lets_strike(world.now_ms));
        if strikes && world.now_ms >= next_fault && !kinds.is_empty() {
            let kind = kinds[world.rng.random_range(0..kinds.len())];
            *faults.entry(kind).or_default() += 1;
            kind.strike(&mut world);
            world.check_versions();
            next_fault = world.now_ms + world.rng.random_range(300..5_000);
            if world.rng.random_range(0..3) == 0 {
                SiteFault::calm(&mut world);
            }
        }
    }
    SiteFault::calm(&mut world);
    if crashes.is_some() {
        DrawnCrashes::calm(&mut world);
    }
    if evacuations.is_some() {
        DrawnEvacuations::calm(&mut world);
    }
    if customers.is_some() {
        DrawnCustomers::calm(&mut world);
        operator.write_now(&mut world);
    }
    if large {
        world.lose_all_at_the_end(seed);
    } else {
        world.run_until(troubled_ms + LONGEST_DOWN_MS);
    }
    world.check_return(job + 1);
    if losses.is_some() {
        cancel_lasting(&mut world);
    }
    while world.now_ms < troubled_ms + CALM_MS {
        let until = world.now_ms + 1_000;
        world.run_until(until);
        world.check_versions();
    }
    check_ends(&mut world);
    ask_at_end(&mut world);
    SiteReport {
        faults,
        pairs: losses.map_or_else(BTreeMap::new, |losses| losses.played),
        versions: operator.written,
        ..SiteReport::of(&mut world)
    }
}

fn submit_drawn(
    world: &mut SiteWorld,
    job: u64,
    crashes: Option<&mut DrawnCrashes>,
    customers: Option<&mut DrawnCustomers>,
) {
    let mut spec = drawn_job(world, job);
    if let Some(crashes) = crashes {
        crashes.lay(world, &spec);
    }
    if let Some(customers) = customers {
        spec.customer = Some(customers.customer());
        world.submit(spec.clone());
        customers.draw_key(world, &spec);
        return;
    }
    world.submit(spec);
}

/// Draws a job.
pub(super) fn drawn_job(world: &mut SiteWorld, job: u64) -> JobSpec {
    let steps = world.rng.random_range(1..4);
    let counts: Vec<u32> = (0..steps)
        .map(|_| world.rng.random_range(1..=WIDTH))
        .collect();
    let gang = world.rng.random_range(0..4) == 0;
    let queue = if world.rng.random_range(0..2) == 0 {
        QUEUE
    } else {
        URGENT_QUEUE
    };
    let mut spec = job_of(job, queue, &counts, gang);
    for step in &mut spec.steps {
        step.checkpoints = job % 3 == 0;
        // Each seventh job takes half a worker for a task.
        step.size.millicores *= if job % 7 == 0 { 2 } else { 1 };
    }
    if world.rng.random_range(0..5) == 0 {
        for step in &mut spec.steps {
            step.per_worker_limit = 2;
        }
    }
    spec
}

/// All accepted jobs must have ended.
pub(super) fn check_ends(world: &mut SiteWorld) {
    let now = world.now_ms;
    let open: Vec<u64> = world
        .rules
        .accepted()
        .iter()
        .filter(|job| !world.shown.contains_key(job))
        .copied()
        .collect();
    for job in open {
        let text = format!("{job:016x} has not ended: {}", world.describe(job));
        world.rules.breach("LOST", now, &text);
    }
    world.rules.check_refused(now);
    let cancelled: Vec<u64> = world.rules.cancelled().copied().collect();
    for (job, state) in world.shown.clone() {
        if state == JobState::Cancelled && !cancelled.contains(&job) {
            let text = format!("{job:016x} is shown as cancelled");
            world.rules.breach("LOST", now, &text);
        }
    }
}

/// Troubles that strike in the episode of a seed.
fn kinds_of(seed: u64) -> &'static [SiteFault] {
    if matches!(seed % 8, 1 | 7) {
        &SiteFault::UNANSWERED
    } else {
        &SiteFault::ALL
    }
}

/// Troubles that strike in the episode of a seed under a burden.
fn kinds_under(burden: SiteBurden, seed: u64) -> &'static [SiteFault] {
    match burden {
        SiteBurden::Restarts | SiteBurden::LateRestarts => &SiteFault::BESIDE_RESTARTS,
        _ => kinds_of(seed),
    }
}

/// Runs one episode of a burden and prints the decision lines whose id or text contains a text, as
/// milliseconds, instance, part, event, id and text, and then the rules that were broken.
pub fn print_site_log(
    seed: u64,
    broken: Option<SiteGuard>,
    burden: SiteBurden,
    contains: &str,
) -> ExitCode {
    let report = run_planned_episode(EpisodePlan {
        seed,
        kinds: kinds_under(burden, seed),
        burden,
        broken,
        keeps_lines: true,
    });
    let matches =
        |line: &DecisionLine| line.id.contains(contains) || line.detail.contains(contains);
    for (at, node, line) in report.lines.iter().filter(|(.., line)| matches(line)) {
        let (part, event, id) = (line.part, line.event, &line.id);
        println!("{at} {node} {part} {event} {id}: {}", line.detail);
    }
    for breach in &report.breaches {
        println!("{}: {}", breach.rule, breach.text);
    }
    if report.breaches.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Each instance must answer for each accepted job in time, also when connections go silent.
///
/// The jobs are drawn from the later quarter: how they ended is told for two minutes only.
pub(super) fn ask_at_end(world: &mut SiteWorld) {
    let accepted: Vec<u64> = world.rules.accepted().iter().copied().collect();
    let later = &accepted[accepted.len() - accepted.len() / 4..];
    world.silence_peers();
    for _ in 0..ASKED_JOBS.min(later.len()) {
        let job = later[world.rng.random_range(0..later.len())];
        world.ask_each(&[job]);
        let until = world.now_ms + ASK_PAUSE_MS;
        world.run_until(until);
    }
    let until = world.now_ms + ASK_MS;
    world.run_until(until);
    world.check_answers();
}

/// Runs episodes of a burden from a seed until so many events have happened, with a guard taken away
/// if asked.
pub fn run_site_random(
    seed: u64,
    events: u64,
    broken: Option<SiteGuard>,
    burden: SiteBurden,
) -> ExitCode {
    let begun = Instant::now();
    let (mut done, mut starts, mut accepted) = (0, 0, 0);
    let (mut versions, mut told, mut given_up) = (0, 0, 0);
    let (mut passed, mut failed) = (0, 0);
    let mut restarts = RestartFigures::default();
    let mut broken_rules: BTreeMap<&'static str, u64> = BTreeMap::new();
    let mut faults: BTreeMap<SiteFault, u64> = BTreeMap::new();
    let mut pairs: BTreeMap<(WorkerLoss, LeaderLoss), u64> = BTreeMap::new();
    let mut away_ms = Vec::new();
    let mut storms = StormFigures::default();
    let mut hold_limits: BTreeMap<u64, (u64, u64)> = BTreeMap::new();
    let mut number = seed;
    while done < events {
        let report = run_drawn_episode(number, broken, burden);
        done += report.events;
        starts += report.starts;
        accepted += report.accepted;
        versions += report.versions;
        told += report.told;
        given_up += report.given_up;
        restarts.add(report.restarts);
        let (played, broke) = hold_limits.entry(report.hold_limit_ms).or_default();
        *played += 1;
        *broke += u64::from(!report.breaches.is_empty());
        for breach in &report.breaches {
            *broken_rules.entry(breach.rule).or_default() += 1;
        }
        for (pair, count) in report.pairs {
            *pairs.entry(pair).or_default() += count;
        }
        away_ms.extend(report.away_ms);
        storms.add(report.storms);
        for (kind, count) in report.faults {
            *faults.entry(kind).or_default() += count;
        }
        if report.breaches.is_empty() {
            passed += 1;
        } else {
            failed += 1;
            println!("run with seed {number} broke rules:");
            for breach in report.breaches.iter().take(4) {
                println!("  {}: {}", breach.rule, breach.text);
            }
        }
        number += 1;
    }
    for (kind, count) in &faults {
        println!("{:<24}{count}", format!("{kind:?}"));
    }
    for ((worker, leader), count) in &pairs {
        println!("{:<29}{:<26}{count}", worker.as_str(), leader.as_str());
    }
    away_ms.sort_unstable();
    if let Some(longest) = away_ms.last() {
        let (count, median) = (away_ms.len(), away_ms[away_ms.len() / 2]);
        println!("tasks that last away {count} times, median {median} ms, longest {longest} ms");
    }
    storms.print();
    let seconds = begun.elapsed().as_secs_f64();
    println!("{done} events, {accepted} jobs accepted, {starts} starts, {seconds:.1} s");
    println!("{versions} configurations, {told} callers told of queues");
    for (limit_ms, (played, broke)) in &hold_limits {
        println!("longest hold {limit_ms} ms: {played} runs, {broke} failed");
    }
    println!("{given_up} callers cancelled a job whose submission had had no answer");
    restarts.print();
    for (rule, count) in &broken_rules {
        println!("{rule} broken {count} times");
    }
    println!("{passed} passed, {failed} failed");
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
