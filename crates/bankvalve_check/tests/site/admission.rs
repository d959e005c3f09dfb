//! Admission by forecast: a burst of jobs of three priorities.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bankvalve_check::site::{job_of, SitePlan, SiteWorld, QUEUE, URGENT_QUEUE};
use bankvalve_queue::{JobId, OptionalPolicies, PolicySwitch};

use crate::{assert_kept, follower, plan_of};

/// Queue whose priority is after those of the others.
const LAST_QUEUE: &str = "last";
/// Usual time of each task, in milliseconds; as estimated.
const TASK_MS: u64 = 800;
/// Time within which a job of one step should end, in milliseconds, by the terms of the queues.
const OBJECTIVE_MS: u64 = 2_100;
/// Time between an acceptance or an end and the line about it, in milliseconds.
const COMMIT_MS: u64 = 100;
/// Time between two turns in which jobs arrive, in milliseconds. At a load of 1, they take 40 of 48 cores.
const TURN_MS: u64 = 100;

/// What became of the jobs that arrived in a span, by queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Tally {
    asked: usize,
    refused: usize,
    in_time: usize,
}

impl Tally {
    fn in_time_percent(&self) -> usize {
        self.in_time * 100 / self.asked.max(1)
    }
}

struct BurstWorld {
    world: SiteWorld,
    next: JobId,
    /// Time that each task takes, in milliseconds.
    work_ms: u64,
    /// When each job was submitted, and its queue.
    submitted: BTreeMap<JobId, (u64, &'static str)>,
}

impl BurstWorld {
    fn new(plan: SitePlan) -> Self {
        let mut world = SiteWorld::with_policies(plan, OptionalPolicies::ALL);
        world.lines = Some(Vec::new());
        world.add_queue(LAST_QUEUE, 2);
        world.configure(2);
        world.run_until(5_000);
        Self {
            world,
            next: 1,
            work_ms: TASK_MS,
            submitted: BTreeMap::new(),
        }
    }

    fn without(without: Option<PolicySwitch>) -> Self {
        Self::new(SitePlan {
            without,
            ..plan_of(1, 12)
        })
    }

    fn submit(&mut self, node: usize, queue: &'static str, tasks: u32) {
        let job = self.next;
        self.next += 1;
        self.submitted.insert(job, (self.world.now_ms, queue));
        self.world.work_ms.insert(job, self.work_ms);
        let spec = Arc::new(job_of(job, queue, &[tasks], false));
        self.world.submit_at(node, &spec);
    }

    /// Submits jobs at the leader, at a multiple of the usual load, and returns when that began.
    fn load_leader(&mut self, for_ms: u64, times: u64) -> u64 {
        let leader = self.world.leader().expect("an instance leads");
        self.load(leader, for_ms, times)
    }

    fn load(&mut self, node: usize, for_ms: u64, times: u64) -> u64 {
        let from = self.world.now_ms;
        while self.world.now_ms < from + for_ms {
            for _ in 0..times {
                self.submit(node, URGENT_QUEUE, 1);
                self.submit(node, QUEUE, 2);
                self.submit(node, LAST_QUEUE, 2);
            }
            let until = self.world.now_ms + TURN_MS;
            self.world.run_until(until);
        }
        from
    }

    /// Jobs that instances logged as refused for the forecast.
    fn refused(&self) -> BTreeSet<JobId> {
        let lines = self.world.lines.iter().flatten();
        let refusals = lines.filter(|(_, _, line)| {
            line.event == "refuse" && line.detail.starts_with("forecast of ")
        });
        refusals
            .filter_map(|(_, _, line)| JobId::from_str_radix(&line.id, 16).ok())
            .collect()
    }

    /// What became of a queue's jobs that were submitted in a span.
    fn tally(&self, queue: &str, from_ms: u64, until_ms: u64) -> Tally {
        let lines = self.world.lines.iter().flatten();
        let over = lines.filter(|(_, _, line)| line.part == "ledger" && line.event == "over");
        let over: BTreeMap<JobId, u64> = over
            .filter_map(|(at, _, line)| Some((JobId::from_str_radix(&line.id, 16).ok()?, *at)))
            .collect();
        let refused = self.refused();
        let mut tally = Tally::default();
        for (job, (at, _)) in self
            .submitted
            .iter()
            .filter(|(_, (at, of))| *of == queue && (from_ms..until_ms).contains(at))
        {
            tally.asked += 1;
            tally.refused += usize::from(refused.contains(job));
            let in_time = |end: &u64| *end <= at + OBJECTIVE_MS + COMMIT_MS;
            tally.in_time += usize::from(over.get(job).is_some_and(in_time));
        }
        tally
    }

    fn print(&self, from_ms: u64, until_ms: u64) {
        for queue in [URGENT_QUEUE, QUEUE, LAST_QUEUE] {
            println!("{queue}: {:?}", self.tally(queue, from_ms, until_ms));
        }
    }
}

/// Guards against refusals at the usual load, where all jobs end in time.
#[test]
fn no_job_is_refused_at_the_usual_load() {
    let mut site = BurstWorld::without(None);
    let from = site.load_leader(20_000, 1);
    site.world.run_until(from + 25_000);
    site.print(from, from + 20_000);
    assert_eq!(site.refused(), BTreeSet::new());
    for queue in [URGENT_QUEUE, QUEUE, LAST_QUEUE] {
        let tally = site.tally(queue, from, from + 20_000);
        assert!(tally.in_time_percent() >= 95, "{queue}: {tally:?}");
    }
    assert_kept(&site.world);
}

/// Guards against a burst that is accepted as a whole and makes jobs late that could end in time.
#[test]
fn jobs_of_a_burst_that_would_end_late_are_refused() {
    let mut site = BurstWorld::without(None);
    site.load_leader(10_000, 1);
    let from = site.load_leader(8_000, 4);
    let after = site.load_leader(8_000, 1);
    site.world.run_until(after + 16_000);
    site.print(from, after);
    site.print(after + 2_000, after + 8_000);
    assert_eq!(site.tally(URGENT_QUEUE, from, after).refused, 0);
    // The capacity that urgent jobs leave is that of 80 jobs of two tasks.
    for queue in [QUEUE, LAST_QUEUE] {
        let tally = site.tally(queue, from, after);
        assert!(tally.refused >= 200, "{queue}: {tally:?}");
    }
    for queue in [URGENT_QUEUE, QUEUE, LAST_QUEUE] {
        let tally = site.tally(queue, after + 2_000, after + 8_000);
        assert!(tally.in_time_percent() >= 90, "{queue}: {tally:?}");
        assert_eq!(tally.refused, 0, "{queue}: {tally:?}");
    }
    assert_kept(&site.world);
}

/// Guards against a test of the burst that would pass without the forecast.
#[test]
fn without_the_forecast_no_job_of_a_burst_is_refused() {
    let mut site = BurstWorld::without(Some(PolicySwitch::AdmissionForecast));
    site.load_leader(10_000, 1);
    let from = site.load_leader(8_000, 4);
    let after = site.load_leader(8_000, 1);
    site.world.run_until(after + 16_000);
    site.print(from, after);
    site.print(after + 2_000, after + 8_000);
    assert_eq!(site.refused(), BTreeSet::new());
    assert_kept(&site.world);
}

/// Guards against a leader that has to refuse each job of a burst by itself, and against instances that refuse jobs
/// after the burst.
#[test]
fn instances_refuse_most_jobs_of_a_burst_on_their_own() {
    let mut site = BurstWorld::without(None);
    let node = follower(&site.world);
    site.load(node, 10_000, 1);
    let by_credits = |site: &BurstWorld| site.world.counter_of(node, "admission", "by_credits");
    assert_eq!(by_credits(&site), 0);
    // Urgent jobs alone take more than the site has, so that some of what waits is left after the burst.
    site.load(node, 3_000, 8);
    let in_burst = by_credits(&site);
    let by_leader =
        site.world.counter("admission", "late") + site.world.counter("admission", "useless");
    println!("{in_burst} refused by credits, {by_leader} by the leader");
    assert!(in_burst > by_leader, "{in_burst} and {by_leader}");
    site.load(node, 6_000, 1);
    let refused = by_credits(&site);
    let after = site.load(node, 6_000, 1);
    site.world.run_until(after + 12_000);
    site.print(after, after + 6_000);
    assert_eq!(by_credits(&site), refused);
    for queue in [URGENT_QUEUE, QUEUE, LAST_QUEUE] {
        let tally = site.tally(queue, after, after + 6_000);
        assert!(tally.in_time_percent() >= 90, "{queue}: {tally:?}");
    }
    assert_kept(&site.world);
}

/// Guards against an operator who cannot see how long work waits, or who sees a wait that has no forecast behind it.
#[test]
fn the_leader_shows_the_expected_wait_of_each_priority() {
    let mut site = BurstWorld::without(None);
    site.load_leader(10_000, 1);
    assert!(site
        .world
        .forecast_wait_ms(2)
        .is_some_and(|wait| wait < 500));
    site.load_leader(4_000, 4);
    let waits = [0, 1, 2].map(|priority| site.world.forecast_wait_ms(priority));
    assert!(waits[0].is_some_and(|wait| wait < 500), "{waits:?}");
    assert!(waits[1] < waits[2] && waits[2] >= Some(1_000), "{waits:?}");
    let mut site = BurstWorld::without(Some(PolicySwitch::AdmissionForecast));
    site.load_leader(4_000, 1);
    assert_eq!(site.world.forecast_wait_ms(2), None);
}

/// Guards against refusals on a site whose operator has not put any queue between others.
#[test]
fn a_site_without_a_middle_priority_refuses_nothing() {
    let mut site = BurstWorld::without(None);
    site.world.add_queue(LAST_QUEUE, 1);
    site.world.configure(3);
    site.load_leader(4_000, 1);
    let from = site.load_leader(8_000, 4);
    site.world.run_until(from + 20_000);
    assert_eq!(site.refused(), BTreeSet::new());
    assert_kept(&site.world);
}

/// Guards against a new leader that refuses jobs before it knows what runs.
#[test]
fn a_new_leader_accepts_until_it_knows_the_backlog() {
    let mut site = BurstWorld::without(None);
    site.load_leader(10_000, 1);
    site.load_leader(4_000, 4);
    assert!(!site.refused().is_empty());
    let leader = site.world.leader().expect("an instance leads");
    site.world.kill(leader, 60_000);
    while site.world.leader().is_none() {
        let until = site.world.now_ms + 50;
        site.world.run_until(until);
    }
    let from = site.load_leader(2_000, 1);
    site.world.run_until(from + 20_000);
    for queue in [URGENT_QUEUE, QUEUE, LAST_QUEUE] {
        let tally = site.tally(queue, from, from + 2_000);
        assert_eq!(tally.refused, 0, "{queue}: {tally:?}");
    }
    assert_kept(&site.world);
}

/// Guards against a leader that refuses nothing, or everything, until it has measured how long runs take.
#[test]
fn a_leader_without_measurements_uses_the_callers_estimates() {
    let mut site = BurstWorld::without(None);
    site.work_ms = 60_000;
    let from = site.load_leader(1_000, 1);
    let burst = site.load_leader(6_000, 4);
    let usual = site.tally(LAST_QUEUE, from, burst);
    let in_burst = site.tally(LAST_QUEUE, burst, burst + 6_000);
    assert_eq!(usual.refused, 0, "{usual:?}");
    assert!(in_burst.refused >= 100, "{in_burst:?}");
}

/// Guards against a leader that was frozen and refuses jobs by what it knew, or since its workers are out of
/// contact until they have answered.
#[test]
fn a_leader_that_was_frozen_refuses_nothing_at_the_usual_load() {
    let mut site = BurstWorld::without(None);
    site.load_leader(10_000, 1);
    let leader = site.world.leader().expect("an instance leads");
    site.world.freeze(leader, 1_200);
    let until = site.world.now_ms + 1_300;
    site.world.run_until(until);
    while site.world.leader().is_none() {
        let until = site.world.now_ms + 50;
        site.world.run_until(until);
    }
    let from = site.load_leader(4_000, 1);
    site.world.run_until(from + 10_000);
    assert_eq!(site.refused(), BTreeSet::new());
    assert_kept(&site.world);
}
