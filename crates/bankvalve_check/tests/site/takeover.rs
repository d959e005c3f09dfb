//! What an instance knows is gone with it, or with the table's history, and what its successor waits
//! for in its place: a task that lasts must not be away for nine calm seconds.

use std::collections::BTreeMap;

use bankvalve_check::site::{job_of, SitePlan, SiteWorld, TaskCrash, QUEUE, URGENT_QUEUE};
use bankvalve_queue::{EndKind, JobId, JobSpec, JobState, StepKey, TaskKey};

use crate::assert_kept;

/// Longest that a task that lasts may be away from its last run on, in milliseconds, by the users'
/// rules: six seconds, and three in which nothing of it runs.
const LONGEST_AWAY_MS: u64 = 9_000;

/// Longest time from an end on a worker whose carrier has gone dark until the leader has kept it, in
/// milliseconds: a look that was just sent, with all its slack, and one more.
const LONGEST_UNHEARD_MS: u64 = 2_700;

fn site(seed: u64, workers: usize) -> SiteWorld {
    let mut world = SiteWorld::new(SitePlan {
        seed,
        entries: 3,
        strengths: Vec::new(),
        broken: None,
        without: None,
        workers,
        good_percent: None,
    });
    world.looks_wait = true;
    world.run_until(1_000);
    world
}

/// A job of tasks that last, each of a size in millicores.
fn lasting_job(job: JobId, count: u32, millicores: u32) -> JobSpec {
    let mut spec = job_of(job, QUEUE, &[count], false);
    spec.steps[0].lasting = true;
    spec.steps[0].size.millicores = millicores.into();
    spec
}

/// Tasks of a job that run on workers that are up.
fn running(world: &SiteWorld, job: JobId) -> Vec<(TaskKey, String)> {
    let workers = world.workers.iter();
    let live = workers.filter_map(|(address, worker)| Some((address, worker.as_ref()?)));
    let runs = live.flat_map(|(address, worker)| {
        let of_job = worker.runs().keys().filter(|task| task.step.job == job);
        of_job.map(|task| (*task, address.clone()))
    });
    runs.collect()
}

/// Address of a worker that runs a task of a job.
fn worker_of(world: &SiteWorld, job: JobId) -> String {
    let (_, address) = running(world, job).pop().expect("a task runs");
    address
}

/// Milliseconds until so many tasks of a job run again.
fn time_until_all_run(world: &mut SiteWorld, job: JobId, count: usize) -> u64 {
    let since = world.now_ms;
    while running(world, job).len() < count && world.now_ms < since + 60_000 {
        let until = world.now_ms + 20;
        world.run_until(until);
    }
    world.now_ms - since
}

/// Milliseconds for which a task that lasts is away whose worker ends for good, and whose entry goes
/// while the table is away, which then has forgotten its history.
fn time_away_beside_a_forgotten_history(seed: u64, page: Option<usize>) -> u64 {
    let mut world = site(seed, 9);
    world.store.worker_page = page;
    world.submit(lasting_job(1, 4, 1_000));
    world.run_until(4_000);
    let address = worker_of(&world, 1);
    world.store_away_until = world.now_ms + 2_600;
    world.end_worker(&address, 120_000);
    // By then its entry has gone.
    let ended_at = world.now_ms;
    world.run_until(ended_at + 2_550);
    world.store.forget_history();
    let away = 2_550 + time_until_all_run(&mut world, 1, 4);
    assert_kept(&world);
    away
}

#[test]
fn a_worker_that_a_whole_reading_of_the_entries_does_not_name_is_unlisted() {
    for page in [None, Some(2), Some(4)] {
        let times: Vec<u64> = (1..7)
            .map(|seed| time_away_beside_a_forgotten_history(seed, page))
            .collect();
        let longest = times.iter().max().copied().unwrap_or(0);
        assert!(longest < LONGEST_AWAY_MS, "pages of {page:?}: {times:?}");
    }
}

#[test]
fn a_worker_that_a_whole_reading_does_not_name_and_that_lives_is_used_once_its_entry_is_back() {
    for seed in 11..15 {
        let mut world = site(seed, 4);
        // Each task takes a whole worker.
        world.submit(lasting_job(1, 3, 4_000));
        world.run_until(4_000);
        let ids = world.worker_ids();
        let entries: Vec<_> = world
            .workers
            .values()
            .flatten()
            .map(|worker| (worker.id.clone(), worker.entry.clone()))
            .collect();
        world.store_away_until = world.now_ms + 2_000;
        for id in &ids {
            world.store.set_worker(id, None);
        }
        world.run_until(5_950);
        world.store.forget_history();
        // They are back within two seconds of the table's return.
        world.run_until(7_900);
        for (id, entry) in entries {
            world.store.set_worker(&id, Some(entry));
        }
        // The fourth worker takes a task as well.
        world.submit(lasting_job(2, 1, 4_000));
        world.run_until(12_000);
        assert_kept(&world);
        assert_eq!(world.worker_ids(), ids, "seed {seed}");
        assert_eq!(running(&world, 1).len(), 3, "seed {seed}");
        assert_eq!(running(&world, 2).len(), 1, "seed {seed}");
        assert_eq!(world.counter("ends", "lost"), 0, "seed {seed}");
    }
}

/// Tasks, each of which takes a whole worker, that run on nine workers of which one was replaced some
/// time after a reading of all entries had begun, page by page.
fn tasks_on_all_workers(seed: u64, replaced_ms: u64, by_takeover: bool) -> usize {
    let mut world = site(seed, 9);
    world.store.worker_page = Some(3);
    world.store_delay_ms = 250;
    world.run_until(3_000);
    if by_takeover {
        let leader = world.leader().expect("an instance leads");
        world.kill(leader, 5_000);
    } else {
        // A change of which no answer has told.
        world.store_away_until = 4_500;
        world.run_until(4_490);
        let id = world.worker_ids()[0].clone();
        let worker = world.workers.values().flatten().next();
        let entry = worker.expect("a worker").entry.clone();
        world.store.set_worker(&id, Some(entry));
        world.store.forget_history();
    }
    let read_from = world.now_ms;
    world.run_until(read_from + replaced_ms);
    // The new life's id, `w-10`, is the second of all, the one that goes is the last.
    world.crash_worker("10.9.0.8:80", 1);
    world.run_until(10_000);
    world.submit(lasting_job(1, 9, 4_000));
    world.run_until(20_000);
    assert_kept(&world);
    running(&world, 1).len()
}

#[test]
fn a_worker_whose_entry_comes_between_two_pages_of_a_reading_is_used() {
    for by_takeover in [false, true] {
        let found: Vec<(u64, usize)> = (0..30)
            .map(|turn| turn * 100)
            .map(|at| (at, tasks_on_all_workers(21, at, by_takeover)))
            .filter(|(_, running)| *running < 9)
            .collect();
        assert_eq!(found, [], "by takeover: {by_takeover}");
    }
}

/// How a worker ends under a task that lasts, so that the task becomes a suspect.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Suspicion {
    /// Twice, each time some seconds after the start.
    Weak,
    /// Once, right after the start.
    Young,
}

/// A worker's end, and the leaders' ends after it.
#[derive(Clone, Copy, Debug)]
struct SuspectDay {
    suspicion: Suspicion,
    /// Time until another life begins at the worker's address.
    down_ms: u64,
    /// Times from the worker's end on at which whoever leads is killed.
    leader_ends_ms: &'static [u64],
    /// Whether it is killed not before the run is given up and that is kept.
    once_given_up: bool,
}

/// Milliseconds for which a task that lasts is away from its worker's end on, which makes it a suspect,
/// where each worker runs something else and has room for it.
fn time_away_of_a_suspect(seed: u64, day: SuspectDay) -> u64 {
    let mut world = site(seed, 6);
    world.submit(lasting_job(1, 6, 2_500));
    world.run_until(3_000);
    assert_eq!(running(&world, 1).len(), 6);
    let step = StepKey {
        job: 2,
        time: 0,
        step: 0,
    };
    match day.suspicion {
        Suspicion::Weak => {
            world.submit(lasting_job(2, 1, 1_000));
            world.run_until(6_000);
            // The first end is known at once, and all that ran there has room again.
            let address = worker_of(&world, 2);
            world.end_worker(&address, 1_300);
            world.run_until(10_000);
            let address = worker_of(&world, 2);
            world.end_worker(&address, day.down_ms);
        }
        Suspicion::Young => {
            let crash = TaskCrash {
                after_ms: 10,
                down_ms: day.down_ms,
            };
            world.crashing.insert(step.task(0), crash);
            world.submit(lasting_job(2, 1, 1_000));
            while world.rules.crashes_of(2) == 0 {
                let until = world.now_ms + 1;
                world.run_until(until);
            }
            world.crashing.clear();
        }
    }
    let ended_at = world.now_ms;
    for at in day.leader_ends_ms {
        let waits = |world: &SiteWorld| {
            let held = day.once_given_up && !world.is_waiting(step.task(0));
            world.now_ms < ended_at + at || held
        };
        while waits(&world) && running(&world, 2).is_empty() {
            let until = world.now_ms + 20;
            world.run_until(until);
        }
        if let Some(leader) = world.leader().filter(|_| running(&world, 2).is_empty()) {
            world.kill(leader, 30_000);
        }
    }
    time_until_all_run(&mut world, 2, 1);
    let away = world.now_ms - ended_at;
    assert_kept(&world);
    away
}

/// Days on which a suspect that lasts was away for too long.
fn suspects_away_for_too_long(days: &[SuspectDay]) -> Vec<(SuspectDay, Vec<u64>)> {
    let times = |day: &SuspectDay| -> Vec<u64> {
        (31..37)
            .map(|seed| time_away_of_a_suspect(seed, *day))
            .collect()
    };
    days.iter()
        .map(|day| (*day, times(day)))
        .filter(|(_, times)| times.iter().any(|time| *time >= LONGEST_AWAY_MS))
        .collect()
}

#[test]
fn a_suspect_that_lasts_runs_again_within_nine_seconds_under_one_leader() {
    let days = [
        (Suspicion::Weak, 120_000),
        (Suspicion::Weak, 1_300),
        (Suspicion::Young, 120_000),
        (Suspicion::Young, 1_300),
        (Suspicion::Young, 4_000),
    ]
    .map(|(suspicion, down_ms)| SuspectDay {
        suspicion,
        down_ms,
        leader_ends_ms: &[],
        once_given_up: true,
    });
    let late = suspects_away_for_too_long(&days);
    assert!(late.is_empty(), "{late:?}");
}

#[test]
fn a_suspect_that_lasts_runs_again_within_nine_seconds_whoever_leads() {
    let days = [
        (Suspicion::Weak, 120_000, &[5_000_u64] as &[u64]),
        (Suspicion::Young, 120_000, &[5_000]),
        (Suspicion::Young, 1_300, &[1_700]),
        (Suspicion::Young, 1_300, &[4_000]),
        (Suspicion::Young, 1_300, &[2_500, 5_500]),
    ]
    .map(|(suspicion, down_ms, leader_ends_ms)| SuspectDay {
        suspicion,
        down_ms,
        leader_ends_ms,
        once_given_up: true,
    });
    let late = suspects_away_for_too_long(&days);
    assert!(late.is_empty(), "{late:?}");
}

#[test]
fn a_suspect_that_lasts_runs_again_within_nine_seconds_if_its_worker_is_followed_by_the_leader() {
    let mut days = Vec::new();
    for suspicion in [Suspicion::Weak, Suspicion::Young] {
        for leader_ends_ms in [&[1_000_u64] as &[u64], &[3_000], &[4_900], &[1_000, 5_500]] {
            days.push(SuspectDay {
                suspicion,
                down_ms: 120_000,
                leader_ends_ms,
                once_given_up: false,
            });
        }
    }
    let late = suspects_away_for_too_long(&days);
    assert!(late.is_empty(), "{late:?}");
}

#[test]
fn a_task_that_lasts_and_ends_each_worker_is_given_up_though_it_is_not_kept_waiting() {
    let days: [(u64, &[u64]); 4] = [
        (1_300, &[]),
        (20_000, &[]),
        (1_300, &[1_500, 6_000, 12_000]),
        (20_000, &[7_600, 30_000]),
    ];
    for (down_ms, leader_ends_ms) in days {
        for seed in 41..44 {
            let mut world = site(seed, 12);
            // No worker is free, and each has room for one more.
            world.submit(lasting_job(1, 12, 2_500));
            world.run_until(3_000);
            let mut guilty = lasting_job(2, 2, 1_000);
            guilty.steps[0].per_worker_limit = 1;
            let step = StepKey {
                job: 2,
                time: 0,
                step: 0,
            };
            let crash = TaskCrash {
                after_ms: 10,
                down_ms,
            };
            world.crashing.insert(step.task(0), crash);
            world.submit(guilty);
            for at in leader_ends_ms {
                world.run_until(3_000 + at);
                if let Some(leader) = world.leader() {
                    world.kill(leader, 2_000);
                }
            }
            world.run_until(120_000);
            let day = format!("down {down_ms}, leaders' ends {leader_ends_ms:?}, seed {seed}");
            assert_kept(&world);
            assert_eq!(world.shown.get(&2), Some(&JobState::Failed), "{day}");
            assert_eq!(world.shown.get(&1), None, "{day}");
            assert!(world.rules.crashes_of(2) <= 4, "{day}");
            assert_eq!(running(&world, 1).len(), 12, "{day}");
        }
    }
}

/// How a carrier goes dark.
#[derive(Clone, Copy, Debug)]
enum CarrierEnd {
    Killed,
    Frozen,
    CutOff,
}

/// What carriers that go dark one after the other cost, on workers which are well: tasks that last and
/// were started again, and the longest time from a short task's end until it is acknowledged, in
/// milliseconds.
fn cost_of_dark_carriers(seed: u64, end: CarrierEnd, apart_ms: u64) -> (u64, u64) {
    let mut world = SiteWorld::new(SitePlan {
        seed,
        entries: 6,
        strengths: vec![14; 6],
        broken: None,
        without: None,
        workers: 12,
        good_percent: None,
    });
    world.looks_wait = true;
    world.run_until(1_500);
    world.submit(lasting_job(1, 12, 1_000));
    world.run_until(4_000);
    let leader = world.leader().expect("an instance leads");
    let carriers: Vec<usize> = (0..6).filter(|node| *node != leader).take(3).collect();
    let mut next = 0;
    for turn in 0..100 {
        let at = world.now_ms;
        if next < 3 && at >= 4_000 + next as u64 * apart_ms {
            let carrier = carriers[next];
            next += 1;
            match end {
                CarrierEnd::Killed => world.kill(carrier, 12_000),
                CarrierEnd::Frozen => world.nodes[carrier].frozen_until = at + 12_000,
                CarrierEnd::CutOff => world.nodes[carrier].cut_from_peers_until = at + 12_000,
            }
        }
        world.submit(job_of(100 + turn, URGENT_QUEUE, &[1], false));
        world.run_until(at + 100);
    }
    world.run_until(40_000);
    assert_kept(&world);
    assert_eq!(running(&world, 1).len(), 12);
    let wait = world.rules.end_waits_ms().iter().max().copied();
    (world.rules.starts - 112, wait.unwrap_or(0))
}

#[test]
fn carriers_that_go_dark_one_after_the_other_cost_no_run() {
    for end in [CarrierEnd::Killed, CarrierEnd::Frozen, CarrierEnd::CutOff] {
        for turn in 0..22 {
            let apart_ms = (turn % 11) * 300;
            let (started_again, wait_ms) = cost_of_dark_carriers(51 + turn, end, apart_ms);
            let day = format!("{end:?}, {apart_ms} ms apart: {started_again}, {wait_ms} ms");
            assert_eq!(started_again, 0, "{day}");
            assert!(wait_ms < LONGEST_UNHEARD_MS, "{day}");
        }
    }
}

/// Jobs of one task that lasts, of which one fails every so often; each fails twice at most.
const FAILING_JOBS: u64 = 15;

/// How tasks that last fail by their own fault.
#[derive(Clone, Copy, Debug)]
enum LastingFailure {
    /// One each so many milliseconds, after it has run for long.
    Late(u64),
    /// Each of the first two runs, so many milliseconds after it began.
    Young(u64),
}

/// Has a run of a job fail after a time.
fn have_fail(world: &mut SiteWorld, job: JobId, after_ms: u64) {
    let now = world.now_ms;
    let Some((task, address)) = running(world, job).pop() else {
        return;
    };
    if let Some(Some(worker)) = world.workers.get_mut(&address) {
        worker.begin_work(task, now, (after_ms, EndKind::Failed));
    }
}

/// Longest that a task that lasts is away where such tasks alone run and fail now and then, in
/// milliseconds, and how often a worker was let rest.
fn longest_away_of_failing_tasks(workers: usize, failure: LastingFailure) -> (u64, u64) {
    let mut world = site(61, workers);
    for job in 1..=FAILING_JOBS {
        let mut spec = lasting_job(job, 1, 200);
        spec.steps[0].size.memory_mib = 100;
        world.submit(spec);
    }
    world.run_until(1_500);
    let mut away_since = BTreeMap::new();
    let mut failed = BTreeMap::new();
    let mut longest = 0;
    for turn in 0..1_200 {
        let now = world.now_ms;
        if let LastingFailure::Late(each_ms) = failure {
            let number = turn * 50 / each_ms;
            let due = turn * 50 % each_ms == 0 && (1..=2 * FAILING_JOBS).contains(&number);
            if due {
                have_fail(&mut world, 1 + number % FAILING_JOBS, 0);
            }
        }
        for job in 1..=FAILING_JOBS {
            if running(&world, job).is_empty() {
                let since = *away_since.entry(job).or_insert(now);
                longest = longest.max(now - since);
            } else if turn == 0 || away_since.remove(&job).is_some() {
                let failures: &mut u32 = failed.entry(job).or_default();
                if let (LastingFailure::Young(after_ms), true) = (failure, *failures < 2) {
                    *failures += 1;
                    have_fail(&mut world, job, after_ms);
                }
            }
        }
        world.run_until(now + 50);
    }
    assert_kept(&world);
    (longest, world.counter("workers", "rest"))
}

#[test]
fn tasks_that_last_and_fail_now_and_then_do_not_keep_each_other_from_their_workers() {
    for workers in [1, 2, 4] {
        for each_ms in [1_000, 2_000] {
            let failure = LastingFailure::Late(each_ms);
            let (away, rests) = longest_away_of_failing_tasks(workers, failure);
            let day = format!("{workers} workers, {failure:?}: {away} ms, {rests} rests");
            assert!(away < 1_000, "{day}");
        }
    }
}

#[test]
fn a_task_that_lasts_starts_on_a_worker_that_rests_before_it_is_away_for_too_long() {
    for workers in [1, 2, 4] {
        for after_ms in [100, 400] {
            let failure = LastingFailure::Young(after_ms);
            let (away, rests) = longest_away_of_failing_tasks(workers, failure);
            let day = format!("{workers} workers, {failure:?}: {away} ms, {rests} rests");
            assert!(away < LONGEST_AWAY_MS, "{day}");
            assert!(rests > 0, "{day}");
        }
    }
}
