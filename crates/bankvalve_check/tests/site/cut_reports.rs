//! Workers with more ended runs than one answer to a poll contains: a run that the answer does not name may
//! have ended in any way.

use bankvalve_check::site::{job_of, SitePlan, SiteWorld, QUEUE};
use bankvalve_queue::{JobId, JobSpec, JobState, SiteGuard, TaskSize};

use crate::plan_of;

/// Run time of all tasks, in milliseconds.
const WORK_MS: u64 = 2_500;
/// Time by which all jobs must have ended, in milliseconds.
const ALL_ENDED_MS: u64 = 40_000;

/// Jobs of a site and tasks of each.
#[derive(Clone, Copy)]
struct SmallTasks {
    jobs: JobId,
    tasks: u32,
    gang: bool,
    fails: bool,
}

impl SmallTasks {
    const FEW: Self = Self {
        jobs: 6,
        tasks: 8,
        gang: false,
        fails: false,
    };

    fn count(self) -> u64 {
        self.jobs * u64::from(self.tasks)
    }

    /// A job of small tasks, of which one worker holds hundreds.
    fn job(self, job: JobId) -> JobSpec {
        let mut spec = job_of(job, QUEUE, &[self.tasks], self.gang);
        spec.steps[0].size = TaskSize {
            millicores: 2,
            memory_mib: 1,
            accelerators: 0,
        };
        spec
    }
}

/// A site with one worker that lists so many ends at once, and has just started all tasks.
fn site_with(seed: u64, load: SmallTasks, max_ends: usize, broken: Option<SiteGuard>) -> SiteWorld {
    let mut world = SiteWorld::new(SitePlan {
        broken,
        ..plan_of(seed, 1)
    });
    world.looks_wait = true;
    world.limit_end_reports(max_ends);
    world.run_until(1_000);
    // A run that fails does so after half of its time.
    let (fail_percent, work_ms) = if load.fails {
        (100, 2 * WORK_MS)
    } else {
        (0, WORK_MS)
    };
    world.fail_percent = fail_percent;
    for job in 1..=load.jobs {
        world.work_ms.insert(job, work_ms);
        world.submit(load.job(job));
    }
    while world.rules.starts < load.count() {
        let until = world.now_ms + 5;
        assert!(until < 1_000 + WORK_MS, "{} starts", world.rules.starts);
        world.run_until(until);
    }
    world
}

/// Cuts the worker off from all instances from now on.
fn cut_worker(world: &mut SiteWorld, for_ms: u64) {
    let until = world.now_ms + for_ms;
    let address = world.workers.keys().next().cloned().expect("a worker");
    world.worker_cut_until.insert(address, until);
}

/// No rule is broken, each task has started so often, and all jobs have ended in this state.
fn assert_ended(
    world: &SiteWorld,
    load: SmallTasks,
    starts_each: u64,
    state: JobState,
    what: &str,
) {
    assert_eq!(world.rules.breaches, [], "{what}");
    assert_eq!(world.rules.starts, starts_each * load.count(), "{what}");
    let ended = world.shown.values().filter(|shown| **shown == state);
    assert_eq!(ended.count() as u64, load.jobs, "{what}");
}

/// Guards against starting a task again whose success stands behind the first 500 ends of a worker that was
/// cut off.
#[test]
fn a_success_behind_the_first_500_ends_is_no_reason_to_start_again() {
    let load = SmallTasks {
        jobs: 10,
        tasks: 60,
        ..SmallTasks::FEW
    };
    let mut world = site_with(1, load, 500, None);
    let until = 1_000 + WORK_MS;
    world.run_until(until);
    cut_worker(&mut world, 2_000);
    world.run_until(20_000);
    assert_ended(&world, load, 1, JobState::Succeeded, "cut for 2 s");
}

/// The same for every limit of the list and length of the cut, and with leaders that follow one another
/// during the cut, which find the runs in the ledger.
#[test]
fn a_success_behind_the_listed_ends_is_no_reason_to_start_again() {
    for max_ends in [1, 2, 5, 47] {
        for cut_ms in [300, 900, 1_600, 2_400] {
            for leaders_lost in 0..3 {
                let mut world = site_with(7, SmallTasks::FEW, max_ends, None);
                world.run_until(1_000 + WORK_MS);
                cut_worker(&mut world, cut_ms);
                for _ in 0..leaders_lost {
                    let until = world.now_ms + cut_ms / 4;
                    world.run_until(until);
                    if let Some(leader) = world.leader() {
                        world.kill(leader, 500);
                    }
                }
                world.run_until(ALL_ENDED_MS);
                let what = format!("{max_ends} ends, {cut_ms} ms, {leaders_lost} leaders lost");
                assert_ended(&world, SmallTasks::FEW, 1, JobState::Succeeded, &what);
            }
        }
    }
}

/// Guards against passing over a failure, which gives the task one start too many.
#[test]
fn a_failure_behind_the_listed_ends_counts_as_an_attempt() {
    let load = SmallTasks {
        jobs: 40,
        tasks: 1,
        fails: true,
        ..SmallTasks::FEW
    };
    for max_ends in [1, 3, 20] {
        let mut world = site_with(3, load, max_ends, None);
        world.run_until(1_000 + WORK_MS);
        cut_worker(&mut world, 1_600);
        world.run_until(3 * ALL_ENDED_MS);
        let attempts = u64::from(world.attempts);
        let what = format!("{max_ends} ends");
        assert_ended(&world, load, attempts, JobState::Failed, &what);
    }
}

/// Guards against repeating a gang of which one member's success stands behind the listed ends.
#[test]
fn a_gang_with_a_success_behind_the_listed_ends_is_not_repeated() {
    let load = SmallTasks {
        gang: true,
        ..SmallTasks::FEW
    };
    for max_ends in [1, 4, 11] {
        for leaders_lost in 0..2 {
            let mut world = site_with(5, load, max_ends, None);
            world.run_until(1_000 + WORK_MS);
            cut_worker(&mut world, 1_500);
            for _ in 0..leaders_lost {
                let leader = world.leader().expect("an instance leads");
                world.kill(leader, 500);
            }
            world.run_until(ALL_ENDED_MS);
            let what = format!("{max_ends} ends, {leaders_lost} leaders lost");
            assert_ended(&world, load, 1, JobState::Succeeded, &what);
        }
    }
}

/// Without the guard, absence from a cut list counts as an end.
#[test]
fn the_check_notices_runs_that_start_again_after_a_cut_list() {
    let mut world = site_with(7, SmallTasks::FEW, 5, Some(SiteGuard::AllEnds));
    world.run_until(1_000 + WORK_MS);
    cut_worker(&mut world, 1_600);
    world.run_until(ALL_ENDED_MS);
    let rules: Vec<&str> = world
        .rules
        .breaches
        .iter()
        .map(|breach| breach.rule)
        .collect();
    assert!(rules.contains(&"TWICE"), "{rules:?}");
}
