//! Jobs of all kinds, from being handed in to their end.

use std::sync::Arc;

use bankvalve_check::site::{job_of, SitePlan, SiteWorld, QUEUE};
use bankvalve_queue::{JobState, RunReport, StepKey};

use crate::{assert_kept, world};

#[test]
fn a_calm_site_ends_all_jobs() {
    let mut world = world(1);
    for job in 1..40 {
        world.submit(job_of(job, QUEUE, &[3, 2], job % 3 == 0));
        let until = world.now_ms + 150;
        world.run_until(until);
    }
    world.run_until(60_000);
    assert_kept(&world);
    assert_eq!(world.shown.len(), 39);
    assert!(world
        .shown
        .values()
        .all(|state| *state == JobState::Succeeded));
}

#[test]
fn the_same_id_at_two_instances_at_once_runs_once() {
    let mut world = world(2);
    let spec = Arc::new(job_of(7, QUEUE, &[2], false));
    for node in 0..3 {
        world.submit_at(node, &spec);
    }
    world.run_until(20_000);
    assert_kept(&world);
    assert_eq!(world.rules.starts, 2);
}

#[test]
fn a_cancelled_job_starts_nothing_more() {
    let mut world = world(13);
    // More than fits, so that some tasks wait.
    world.submit(job_of(1, QUEUE, &[60], false));
    world.run_until(1_400);
    world.cancel(1);
    world.run_until(2_000);
    let starts = world.rules.starts;
    assert!(starts >= 16);
    world.run_until(20_000);
    assert_eq!(world.rules.starts, starts);
    assert_eq!(world.shown.get(&1), Some(&JobState::Cancelled));
}

#[test]
fn steps_wait_for_earlier_ones_and_limits_of_a_worker_hold() {
    let mut world = world(14);
    for job in 1..10 {
        let mut spec = job_of(job, QUEUE, &[4, 4, 2], false);
        for step in &mut spec.steps {
            step.per_worker_limit = 1;
        }
        world.submit(spec);
    }
    world.run_until(60_000);
    assert_kept(&world);
    assert_eq!(world.shown.len(), 9);
}

#[test]
fn a_task_that_always_fails_fails_its_job_within_its_attempts() {
    let mut world = world(16);
    world.fail_percent = 100;
    world.submit(job_of(1, QUEUE, &[1], false));
    world.run_until(20_000);
    assert_kept(&world);
    assert_eq!(world.rules.starts, 3);
    assert_eq!(world.shown.get(&1), Some(&JobState::Failed));
}

#[test]
fn a_repeated_job_starts_each_time_when_it_is_due() {
    let mut world = world(17);
    let mut spec = job_of(1, QUEUE, &[1], false);
    spec.repeats = 3;
    spec.first_due_ms = world.wall_ms() + 1_000;
    spec.period_ms = 2_000;
    world.submit(spec);
    world.run_until(1_700);
    assert_eq!(world.rules.starts, 0);
    world.run_until(2_100);
    assert_eq!(world.rules.starts, 1);
    world.run_until(20_000);
    assert_eq!(world.rules.starts, 3);
    assert_eq!(world.shown.get(&1), Some(&JobState::Succeeded));
}

#[test]
fn a_long_queue_is_looked_at_no_more_often_than_the_processor_bears() {
    let mut world = SiteWorld::new(SitePlan {
        seed: 48,
        entries: 3,
        strengths: Vec::new(),
        broken: None,
        without: None,
        workers: 100,
        good_percent: None,
    });
    world.run_until(1_000);
    // Some ten times what the workers hold; a task ends each two milliseconds.
    for job in 1..=4_000 {
        world.submit(job_of(job, QUEUE, &[1], false));
    }
    world.run_until(2_500);
    let before = world.counter("placements", "steps_looked_at");
    world.run_until(4_500);
    let looked = world.counter("placements", "steps_looked_at") - before;
    // Three looks a millisecond are a tenth of a core, as measured on the bench.
    assert!(looked < 2 * 3_300, "{looked} steps in 2 s");
}

#[test]
fn a_job_whose_orders_have_no_answer_counts_as_waiting() {
    let mut world = world(58);
    world.late_orders_percent = 100;
    for job in 1..=5 {
        world.submit(job_of(job, QUEUE, &[1], false));
    }
    world.run_until(1_900);
    assert_eq!(world.rules.accepted().len(), 5);
    assert_eq!(world.rules.starts, 0);
    assert_eq!(world.count_waiting(QUEUE), Some(5));
    world.late_orders_percent = 0;
    world.run_until(2_200);
    assert_eq!(world.rules.starts, 5);
    assert_eq!(world.count_waiting(QUEUE), Some(0));
    // A successor learns from the workers' lists what has begun.
    let leader = world.leader().expect("an instance leads");
    world.kill(leader, 10_000);
    world.run_until(60_000);
    assert_kept(&world);
    assert_eq!(world.shown.len(), 5);
}

#[test]
fn a_worker_that_lists_what_no_job_has_ends_no_leader() {
    let mut world = world(17);
    world.submit(job_of(1, QUEUE, &[2], false));
    let task = |job, step, index| StepKey { job, time: 0, step }.task(index);
    let odd = [task(1, 9, 0), task(1, 0, u32::MAX), task(77, 0, 0)];
    let reports = odd.map(|task| RunReport {
        task,
        run: u64::MAX,
        saved: String::new(),
        percent: u32::MAX,
        figure: None,
    });
    for worker in world.workers.values_mut().flatten() {
        worker.also_listed = reports.to_vec();
    }
    world.run_until(5_000);
    for job in 2..20 {
        world.submit(job_of(job, QUEUE, &[2], false));
    }
    world.run_until(30_000);
    assert_kept(&world);
    assert_eq!(world.shown.len(), 19);
}

#[test]
fn a_job_of_countless_times_that_are_long_due_holds_no_leader_up() {
    let mut world = world(18);
    let mut spec = job_of(1, QUEUE, &[1], false);
    spec.repeats = u32::MAX;
    spec.first_due_ms = 1;
    spec.period_ms = 1;
    world.submit(spec);
    world.run_until(2_000);
    world.submit(job_of(2, QUEUE, &[1], false));
    world.run_until(10_000);
    assert_kept(&world);
    assert_eq!(world.shown.get(&2), Some(&JobState::Succeeded));
    assert!(world.rules.starts > 10, "{} starts", world.rules.starts);
}
