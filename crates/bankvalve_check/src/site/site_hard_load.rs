//! A site under hard load: urgent work, gangs and batches at the proportions of a large site, with a burst.

use std::process::ExitCode;

use bankvalve_queue::{
    AdviceRule, EndKind, JobId, JobSpec, JobState, OptionalPolicies, PolicySwitch, StepSpec,
    TaskSize,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::site_inversions::{find_inversions, Inversions};
use super::site_load_record::{LoadJob, LoadRecord};
use super::{RuleBreach, SitePlan, SiteWorld, QUEUE, URGENT_QUEUE};

/// Queue of gangs.
const GANG_QUEUE: &str = "gang";
/// Usual number of workers. A request to the policy service names 100 at most, and steps on smaller sites
/// learn of all workers at once, so that gangs do not wait for answers there as they do on the stated site.
const HARD_LOAD_WORKERS: usize = 250;
/// Workers and instances of the site whose rates are stated.
const STATED_WORKERS: f64 = 350.0;
const STATED_INSTANCES: f64 = 43.0;
/// Capacity of a worker, as on the stated site.
pub(super) const WORKER_SIZE: TaskSize = TaskSize {
    millicores: 32_000,
    memory_mib: 64_000,
    accelerators: 0,
};
const MIB_PER_CORE: u64 = 1_000;
/// Failure domains.
const DOMAINS: u64 = 3;
/// Virtual time before the load, of the usual load before the burst, of the burst, of the usual load after
/// it, and after the load, in milliseconds. The last one is three times the longest objective.
const START_MS: u64 = 3_000;
const BEFORE_MS: u64 = 6_000;
const BURST_MS: u64 = 8_000;
const AFTER_MS: u64 = 8_000;
const REST_MS: u64 = 50_000;
/// Time after the load in which callers hand in again what was refused, in milliseconds.
const RETRIES_MS: u64 = 10_000;
/// Time for which the table carries out one write to a part, in milliseconds.
const WRITE_TURN_MS: u64 = 5;
/// Validity of a permit, in milliseconds.
const PERMIT_MS: u64 = 2_000;
/// Time after a change of the leader in which the inversion check does not apply, in milliseconds.
const NEW_LEADER_MS: u64 = 3_000;
/// Time between two looks at which workers live, in milliseconds.
const LIVES_MS: u64 = 100;
/// Multiple of its objective within which a job earns something, and what it earns after its objective.
const USEFUL_FACTOR: u64 = 3;
const LATE_VALUE: f64 = 0.2;
/// Tasks of wide steps, as multiples of the mean. They are drawn in rounds of all ten, so that the load of a
/// span of some seconds depends little on the seed.
const WIDTHS: [f64; 10] = [0.15, 0.25, 0.35, 0.45, 0.55, 0.7, 0.85, 1.1, 1.6, 4.0];
/// Pauses between jobs, as multiples of the mean.
const PAUSES: std::ops::Range<f64> = 0.5..1.5;
/// Speed of a slow failure domain.
const SLOW_SPEED: f64 = 0.55;

/// A kind of work of the stated site.
#[derive(Clone, Debug)]
pub(super) struct WorkKind {
    pub(super) queue: &'static str,
    name: &'static str,
    jobs_per_s: f64,
    /// Share of jobs with a second step, in percent.
    second_step_percent: u32,
    tasks: f64,
    /// Whether the number of tasks is lowered with the site; else the number of jobs alone is.
    scales_in_width: bool,
    gang_percent: u32,
    time_ms: u64,
    millicores: u64,
    /// Standard deviation of the logarithm of estimate by time.
    estimate_spread: f64,
    pub(super) stretch: f64,
    pub(super) target_ms: u64,
    pub(super) advice: AdviceRule,
    /// Share of workers that the policy service allows for a step, in percent.
    pub(super) good_percent: u64,
    /// Share of jobs whose tasks save their progress, in percent. Not stated.
    save_percent: u32,
}

/// The kinds, by priority. Only the sum of `stretch` times the usual chain and `target_ms` is stated.
pub(super) const KINDS: [WorkKind; 3] = [
    WorkKind {
        queue: URGENT_QUEUE,
        name: "urgent",
        jobs_per_s: 66.2,
        second_step_percent: 0,
        tasks: 3.0,
        scales_in_width: false,
        gang_percent: 10,
        time_ms: 1_000,
        millicores: 5_000,
        estimate_spread: 0.9,
        stretch: 1.5,
        target_ms: 250,
        advice: AdviceRule {
            decide_ms: 14.3,
            each_ms: 0.208,
            valid_ms: PERMIT_MS,
        },
        good_percent: 70,
        save_percent: 0,
    },
    WorkKind {
        queue: GANG_QUEUE,
        name: "gangs",
        jobs_per_s: 2.84,
        second_step_percent: 20,
        tasks: 20.0,
        scales_in_width: true,
        gang_percent: 100,
        time_ms: 6_200,
        millicores: 9_000,
        estimate_spread: 0.2,
        stretch: 2.0,
        target_ms: 2_200,
        advice: AdviceRule {
            decide_ms: 702.0,
            each_ms: 10.01,
            valid_ms: PERMIT_MS,
        },
        good_percent: 30,
        save_percent: 100,
    },
    WorkKind {
        queue: QUEUE,
        name: "batches",
        jobs_per_s: 10.2,
        second_step_percent: 50,
        tasks: 25.0,
        scales_in_width: true,
        gang_percent: 0,
        time_ms: 3_400,
        millicores: 3_500,
        estimate_spread: 0.5,
        stretch: 2.0,
        target_ms: 9_800,
        advice: AdviceRule {
            decide_ms: 156.0,
            each_ms: 2.34,
            valid_ms: PERMIT_MS,
        },
        good_percent: 45,
        save_percent: 30,
    },
];

/// What a hard load consists of.
#[derive(Clone, Copy, Debug)]
pub struct HardLoadPlan {
    /// Seed of arrivals and of all else that is drawn.
    pub seed: u64,
    /// Load in the burst, as a multiple of the usual load.
    pub burst: f64,
    /// Policy that all instances lack.
    pub without: Option<PolicySwitch>,
    /// Whether the workers of one failure domain are slow.
    pub slow_domain: bool,
    /// Workers; the load goes with them.
    pub workers: usize,
}

impl HardLoadPlan {
    /// The burst of the measured site, from a seed.
    pub fn usual(seed: u64) -> Self {
        Self {
            seed,
            burst: 1.8,
            without: None,
            slow_domain: false,
            workers: HARD_LOAD_WORKERS,
        }
    }

    /// Workers by those of the stated site.
    fn scale(&self) -> f64 {
        self.workers as f64 / STATED_WORKERS
    }
}

/// What became of the jobs of one kind that were handed in during one span.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServedKind {
    /// Jobs handed in.
    pub asked: u32,
    /// Jobs that ended within their objective.
    pub in_time: u32,
    /// Jobs that ended later.
    pub late: u32,
    /// Jobs that were refused each time.
    pub refused: u32,
    /// Other jobs that did not end.
    pub not_served: u32,
    /// What the jobs earned, each 1 at most.
    pub value: f64,
    /// Core-seconds that the jobs ask for.
    pub core_s: f64,
}

impl ServedKind {
    /// Share of their full value that the jobs earned.
    pub fn share(&self) -> f64 {
        self.value / f64::from(self.asked.max(1))
    }
}

/// What was seen of one kind over the whole load.
#[derive(Clone, Debug, Default)]
pub struct KindFigures {
    /// Jobs handed in before, during and after the burst.
    pub spans: [ServedKind; 3],
    /// Milliseconds from acceptance to the start of the first steps of jobs from the burst, the longest last.
    pub first_waits_ms: Vec<u64>,
    /// Requests to the policy service for each step that had any.
    pub advice_per_step: f64,
    /// Jobs that ended within their objective before, during and after the burst, by the time of their end.
    pub ends_in_time: [u32; 3],
    /// Core-seconds of work that was lost.
    pub lost_core_s: f64,
    /// Runs that were stopped, that ended since another member of their gang did, and that gave up waiting
    /// for the others.
    pub ends: [u64; 3],
}

impl KindFigures {
    /// A quantile of the waits of first steps, in milliseconds.
    pub fn first_wait_ms(&self, percent: usize) -> u64 {
        let last = self.first_waits_ms.len().saturating_sub(1);
        let found = self.first_waits_ms.get(last * percent / 100);
        found.copied().unwrap_or(0)
    }
}

/// What a hard load showed.
#[derive(Debug)]
pub struct HardLoadFigures {
    /// Urgent work, gangs and batches.
    pub kinds: [KindFigures; 3],
    /// Starts that a step of a higher priority could have used.
    pub inversions: Inversions,
    /// Looks at the site, each ten milliseconds, that found a leader other than before, none, or the table
    /// unavailable. Starts soon after those are not checked for inversions.
    pub unsettled_looks: usize,
    /// Accepted jobs that had not ended when all were to be over.
    pub open_jobs: usize,
    /// Rules that were broken.
    pub breaches: Vec<RuleBreach>,
}

/// Draws jobs, by a source of its own, so that each policy meets the same ones.
#[derive(Debug)]
struct DrawnLoad {
    rng: Pcg64Mcg,
    /// Workers by those of the stated site.
    scale: f64,
    /// Widths that are left of the round of each kind.
    widths: [Vec<f64>; 3],
    /// Jobs of each kind so far.
    jobs: [u32; 3],
}

impl DrawnLoad {
    /// A draw from the normal distribution: the sum of twelve even ones.
    fn normal(&mut self) -> f64 {
        (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0
    }

    /// Times at which jobs of a kind arrive, in milliseconds, in order.
    fn arrivals(&mut self, kind: &WorkKind, burst: f64) -> Vec<u64> {
        // Half of the lower load of wide work, by its logarithm, are fewer jobs, and half narrower steps.
        let scale = match kind.scales_in_width {
            true => self.scale.sqrt(),
            false => self.scale,
        };
        let end = (START_MS + BEFORE_MS + BURST_MS + AFTER_MS) as f64;
        let mut at = START_MS as f64;
        let mut times = Vec::new();
        loop {
            let rate = kind.jobs_per_s * scale * if span_of(at as u64) == 1 { burst } else { 1.0 };
            at += self.rng.random_range(PAUSES) * 1_000.0 / rate;
            if at >= end {
                return times;
            }
            times.push(at as u64);
        }
    }

    fn width(&mut self, number: usize, gang: bool) -> u32 {
        let kind = &KINDS[number];
        let least = 1 + u32::from(gang);
        if !kind.scales_in_width {
            return self.rng.random_range(least..=2 * kind.tasks as u32 - least);
        }
        let round = &mut self.widths[number];
        if round.is_empty() {
            round.extend(WIDTHS);
        }
        let drawn = round.swap_remove(self.rng.random_range(0..round.len()));
        let mean = kind.tasks * self.scale.sqrt();
        ((mean * drawn).round() as u32).max(least)
    }

    /// Whether the latest job of a kind is one of so many in a hundred.
    fn is_among(&self, number: usize, percent: u32) -> bool {
        let before = self.jobs[number] - 1;
        self.jobs[number] * percent / 100 > before * percent / 100
    }

    /// A job of a kind, with the time for which its steps work.
    fn job(&mut self, id: JobId, number: usize, at_ms: u64) -> (JobSpec, LoadJob) {
        let kind = &KINDS[number];
        self.jobs[number] += 1;
        let gang = self.is_among(number, kind.gang_percent);
        let checkpoints = self.is_among(number, kind.save_percent);
        let steps = 1 + u16::from(self.is_among(number, kind.second_step_percent));
        let mut step_ms = Vec::new();
        let steps = (0..steps).map(|step| {
            let time = kind.time_ms as f64 * self.rng.random_range(0.7..1.3);
            let estimate = time * (kind.estimate_spread * self.normal()).exp();
            step_ms.push(time as u64);
            StepSpec {
                count: self.width(number, gang),
                size: TaskSize {
                    millicores: kind.millicores,
                    memory_mib: kind.millicores * MIB_PER_CORE / 1_000,
                    accelerators: 0,
                },
                estimate_ms: estimate as u64,
                after: (0..step).collect(),
                gang,
                checkpoints,
                ..StepSpec::default()
            }
        });
        let spec = JobSpec {
            id,
            queue: kind.queue.into(),
            payload: "work".into(),
            steps: steps.collect(),
            ..JobSpec::default()
        };
        let chain: u64 = step_ms.iter().sum();
        let job = LoadJob {
            kind: number,
            asked_ms: at_ms,
            objective_ms: (kind.stretch * chain as f64) as u64 + kind.target_ms,
            step_ms,
            ..LoadJob::default()
        };
        (spec, job)
    }
}

/// The span that a time falls into: before, during or after the burst.
fn span_of(at_ms: u64) -> usize {
    let burst = START_MS + BEFORE_MS;
    usize::from(at_ms >= burst) + usize::from(at_ms >= burst + BURST_MS)
}

/// A site of the kinds' queues that has begun.
fn world_of(plan: &HardLoadPlan) -> SiteWorld {
    // As many requests to the policy service come to an instance as on the stated site.
    let instances = (STATED_INSTANCES * plan.scale().sqrt()) as usize;
    let strength = |number| if number < 6 { 500 } else { 120 };
    let mut world = SiteWorld::with_policies(
        SitePlan {
            seed: plan.seed,
            entries: instances,
            strengths: (0..instances).map(strength).collect(),
            broken: None,
            without: plan.without,
            workers: plan.workers,
            good_percent: Some(100),
        },
        OptionalPolicies::ALL,
    );
    world.looks_wait = true;
    world.store_turn_ms = WRITE_TURN_MS;
    world.load = Some(Box::default());
    world.spread_over_domains(DOMAINS);
    for (priority, kind) in KINDS.iter().enumerate() {
        world.add_queue(kind.queue, priority as u32);
    }
    world.configure(2);
    let addresses: Vec<String> = world.workers.keys().cloned().collect();
    for address in addresses {
        world.resize_worker(&address, WORKER_SIZE);
        let slow = plan.slow_domain && world.domain_of(&address) == "domain-0";
        if let Some(load) = world.load.as_mut().filter(|_| slow) {
            load.slowness.insert(address, 1.0 / SLOW_SPEED);
        }
    }
    world.run_until(START_MS);
    world
}

/// Plays a hard load without failures.
pub fn play_hard_load(plan: &HardLoadPlan) -> HardLoadFigures {
    play_disturbed_load(plan, |_| ())
}

/// Plays a hard load, with what `disturb` does each ten milliseconds.
pub fn play_disturbed_load(
    plan: &HardLoadPlan,
    mut disturb: impl FnMut(&mut SiteWorld),
) -> HardLoadFigures {
    let mut world = world_of(plan);
    let mut load = DrawnLoad {
        rng: Pcg64Mcg::seed_from_u64(plan.seed),
        scale: plan.scale(),
        widths: Default::default(),
        jobs: [0; 3],
    };
    let mut arrivals = Vec::new();
    for (number, kind) in KINDS.iter().enumerate() {
        let times = load.arrivals(kind, plan.burst);
        arrivals.extend(times.into_iter().map(|at| (at, number)));
    }
    arrivals.sort_unstable();
    let mut arrivals = arrivals.into_iter().zip(1..).peekable();
    let end = START_MS + BEFORE_MS + BURST_MS + AFTER_MS + REST_MS;
    let mut leader = world.leader();
    let is_over = |world: &SiteWorld| {
        world.now_ms >= end
            || (world.now_ms >= end - REST_MS + RETRIES_MS && world.open_jobs() == 0)
    };
    while !is_over(&world) {
        let now = world.now_ms;
        let due = |next: &((u64, usize), JobId)| next.0 .0 <= now;
        while let Some(((at, number), id)) = arrivals.next_if(due) {
            let (spec, job) = load.job(id, number, at);
            if let Some(record) = world.load.as_mut() {
                record.jobs.insert(id, job);
            }
            world.submit(spec);
        }
        disturb(&mut world);
        watch_site(&mut world, &mut leader);
        let until = world.now_ms + 10;
        world.run_until(until);
    }
    world.rules.check_refused(world.now_ms);
    let open_jobs = world.open_jobs();
    let record = world.load.take().unwrap_or_default();
    let shown = |state: &JobState| *state == JobState::Succeeded;
    HardLoadFigures {
        kinds: [0, 1, 2].map(|kind| kind_figures(&world, &record, kind, shown)),
        inversions: find_inversions(&world, &record),
        unsettled_looks: record.unsettled.len(),
        open_jobs,
        breaches: std::mem::take(&mut world.rules.breaches),
    }
}

/// Notes which workers live, and when the leader is new or the table unavailable.
fn watch_site(world: &mut SiteWorld, leader: &mut Option<usize>) {
    let now = world.now_ms;
    let leads = world.leader();
    let changed = std::mem::replace(leader, leads) != leads || leads.is_none();
    let away = world.store_away_until > now;
    let ids = match now % LIVES_MS {
        0 => world.worker_ids(),
        _ => Vec::new(),
    };
    let Some(record) = world.load.as_mut() else {
        return;
    };
    if changed || away {
        record
            .unsettled
            .push((now.saturating_sub(100), now + NEW_LEADER_MS));
    }
    for id in ids {
        record.workers.entry(id).or_insert((now, now)).1 = now;
    }
}

fn kind_figures(
    world: &SiteWorld,
    record: &LoadRecord,
    kind: usize,
    succeeded: impl Fn(&JobState) -> bool,
) -> KindFigures {
    let mut figures = KindFigures::default();
    let (mut starts, mut ends) = (
        std::collections::BTreeMap::new(),
        std::collections::BTreeMap::new(),
    );
    let millicores = KINDS[kind].millicores as f64;
    let runs = record.runs.iter();
    for run in runs.filter(|run| record.jobs[&run.task.step.job].kind == kind) {
        let job = run.task.step.job;
        if run.task.step.step == 0 {
            starts.entry(job).or_insert(run.from_ms);
        }
        if let Some(at) = run.done_ms() {
            ends.insert(job, at.max(ends.get(&job).copied().unwrap_or(0)));
        }
        figures.lost_core_s += run.lost_ms() as f64 * millicores / 1e6;
        let hows = [EndKind::Stopped, EndKind::Broken, EndKind::Alone];
        for (count, how) in figures.ends.iter_mut().zip(hows) {
            *count += u64::from(run.end.is_some_and(|(_, found)| found == how));
        }
    }
    for (id, job) in record.jobs.iter().filter(|(_, job)| job.kind == kind) {
        let span = &mut figures.spans[span_of(job.asked_ms)];
        span.asked += 1;
        let steps = world.specs[id].steps.iter().zip(&job.step_ms);
        let work: u64 = steps.map(|(step, ms)| u64::from(step.count) * ms).sum();
        span.core_s += work as f64 * millicores / 1e6;
        let over = world.shown.get(id).is_some_and(&succeeded);
        match ends.get(id).filter(|_| over) {
            Some(at) if at - job.asked_ms <= job.objective_ms => {
                span.in_time += 1;
                figures.ends_in_time[span_of(*at)] += 1;
                span.value += 1.0;
            }
            Some(at) => {
                span.late += 1;
                let useful = at - job.asked_ms <= USEFUL_FACTOR * job.objective_ms;
                span.value += if useful { LATE_VALUE } else { 0.0 };
            }
            None if job.accepted_ms.is_none() && job.refusals > 0 => span.refused += 1,
            None => span.not_served += 1,
        }
        if let (1, Some(accepted), Some(start)) =
            (span_of(job.asked_ms), job.accepted_ms, starts.get(id))
        {
            figures.first_waits_ms.push(start.saturating_sub(accepted));
        }
    }
    figures.first_waits_ms.sort_unstable();
    let advice = record.advice.iter();
    let advice = advice.filter(|(step, _)| record.jobs[&step.job].kind == kind);
    let counts: Vec<u64> = advice.map(|(_, count)| *count).collect();
    figures.advice_per_step = counts.iter().sum::<u64>() as f64 / counts.len().max(1) as f64;
    figures
}

/// Plays a hard load for some seeds and prints what became of its jobs.
pub fn run_hard_load(plan: HardLoadPlan, seeds: u64) -> ExitCode {
    let mut broken = 0;
    println!("seed kind     span    asked  in time  late  refused  not served  value");
    for seed in plan.seed..plan.seed + seeds {
        let figures = play_hard_load(&HardLoadPlan { seed, ..plan });
        for (kind, found) in KINDS.iter().zip(&figures.kinds) {
            for (span, name) in found.spans.iter().zip(["before", "burst", "after"]) {
                println!(
                    "{seed:<5}{:<9}{name:<8}{:<7}{:<9}{:<6}{:<9}{:<12}{:.2}",
                    kind.name,
                    span.asked,
                    span.in_time,
                    span.late,
                    span.refused,
                    span.not_served,
                    span.share()
                );
            }
        }
        println!("     kind     in time by end  first wait p50 / p95 ms  advice per step  lost core s  stopped  broken  alone");
        for (kind, found) in KINDS.iter().zip(&figures.kinds) {
            let waits = format!("{} / {}", found.first_wait_ms(50), found.first_wait_ms(95));
            let [stopped, gone, alone] = found.ends;
            let [before, burst, after] = found.ends_in_time;
            let ends = format!("{before}, {burst}, {after}");
            println!(
                "     {:<9}{ends:<16}{waits:<25}{:<17.2}{:<13.0}{stopped:<9}{gone:<8}{alone}",
                kind.name, found.advice_per_step, found.lost_core_s
            );
        }
        let cores = plan.workers as f64 * WORKER_SIZE.millicores as f64 / 1e3;
        let load = [BEFORE_MS, BURST_MS, AFTER_MS]
            .into_iter()
            .enumerate()
            .map(|(span, ms)| {
                let asked: f64 = figures
                    .kinds
                    .iter()
                    .map(|kind| kind.spans[span].core_s)
                    .sum();
                format!("{:.2}", asked * 1e3 / ms as f64 / cores)
            });
        let load = load.collect::<Vec<_>>().join(", ");
        println!("     load {load} of all cores; {}", figures.inversions);
        broken += figures.breaches.len();
        for breach in figures.breaches.iter().take(5) {
            println!("     {}: {}", breach.rule, breach.text);
        }
    }
    println!("{broken} rules broken");
    match broken {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}
