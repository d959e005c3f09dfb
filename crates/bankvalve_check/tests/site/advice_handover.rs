//! One long-running task whose worker ends: what becomes of advice for its restart when instances end.

use bankvalve_check::site::{job_of, SitePlan, SiteWorld, QUEUE};
use bankvalve_queue::{AdviceRule, JobId};

use crate::assert_kept;

/// Advice that takes long however many workers the request names.
const LONG_POLICY: AdviceRule = AdviceRule {
    decide_ms: 3_000.0,
    each_ms: 1.0,
    valid_ms: 2_000,
};
/// Advice that takes long for many workers only.
const WIDE_POLICY: AdviceRule = AdviceRule {
    decide_ms: 100.0,
    each_ms: 100.0,
    valid_ms: 2_000,
};
/// Advice that takes so long that an instance is stopped and starts again meanwhile.
const LONGEST_POLICY: AdviceRule = AdviceRule {
    decide_ms: 6_000.0,
    ..LONG_POLICY
};
const LASTING: JobId = 1;
const WORKERS: usize = 30;
const ENTRIES: usize = 5;
/// When the worker ends, in milliseconds.
const END_MS: u64 = 12_000;
/// Time until the next worker is there at the same address, which shows that no lease needs to be waited for, in
/// milliseconds.
const REPLACED_MS: u64 = 300;
/// Time that a change of instances may cost, in milliseconds: that of a handover, and of some heartbeats.
const CHANGE_MS: u64 = 500;
/// Longest downtime, in milliseconds: the users allow six seconds after the last run, and three in which it is
/// watched.
const MAX_DOWN_MS: u64 = 9_000;
/// The same after an announced departure.
const ANNOUNCED_MS: u64 = 2_000;
/// Time from the request to stop an instance until it starts again, in milliseconds.
const BACK_MS: u64 = 3_000;

/// Returns a site on which the long-running task runs.
fn site(policy: AdviceRule) -> SiteWorld {
    let plan = SitePlan {
        seed: 1,
        entries: ENTRIES,
        strengths: Vec::new(),
        broken: None,
        without: None,
        workers: WORKERS,
        good_percent: Some(30),
    };
    let mut world = SiteWorld::new(plan);
    world.looks_wait = true;
    world.slow_advice = Some(policy);
    world.lines = Some(Vec::new());
    world.configure(2);
    world.run_until(2_000);
    let mut job = job_of(LASTING, QUEUE, &[1], false);
    job.steps[0].lasting = true;
    world.submit(job);
    world.run_until(9_000);
    assert!(!runs(&world).is_empty());
    world
}

/// Returns the worker of the long-running task.
fn runs(world: &SiteWorld) -> Vec<String> {
    let workers = world.workers.iter();
    let busy =
        workers.filter(|(_, worker)| worker.as_ref().is_some_and(|it| !it.runs().is_empty()));
    busy.map(|(address, _)| address.clone()).collect()
}

/// Ends the worker of the task.
fn end_worker(world: &mut SiteWorld) {
    world.run_until(END_MS);
    let address = runs(world).pop().expect("the task runs");
    world.crash_worker(&address, REPLACED_MS);
}

/// Runs until a line of the advice for the task is logged. Returns its text.
fn wait_for_line(world: &mut SiteWorld, event: &str) -> String {
    loop {
        let lines = world.lines.iter().flatten();
        let mut lines = lines.filter(|(at, _, line)| *at >= END_MS && line.part == "advice");
        if let Some((.., line)) = lines.find(|(.., line)| line.event == event) {
            return line.detail.clone();
        }
        assert!(world.now_ms < END_MS + 10_000, "no line '{event}'");
        let until = world.now_ms + 1;
        world.run_until(until);
    }
}

/// Runs until a request is in flight through an instance that does not lead. Returns the instance.
fn wait_for_adviser(world: &mut SiteWorld) -> usize {
    let detail = wait_for_line(world, "ask");
    let through = |node: &usize| {
        let name = format!("through {},", world.nodes[*node].address);
        detail.contains(&name)
    };
    let adviser = (0..ENTRIES).find(through).expect("an adviser");
    assert_ne!(Some(adviser), world.leader());
    adviser
}

/// Returns for how long the task is down, in milliseconds.
fn downtime(mut world: SiteWorld) -> u64 {
    while world.now_ms < END_MS + 30_000 {
        let until = world.now_ms + 100;
        world.run_until(until);
    }
    assert_kept(&world);
    let spans = world.lasting.all_spans();
    assert_eq!(spans.len(), 1, "{spans:?}");
    spans[0].until_ms.unwrap_or(world.now_ms) - spans[0].from_ms
}

/// Returns the downtime if no instance ends.
fn undisturbed(policy: AdviceRule) -> u64 {
    let mut world = site(policy);
    end_worker(&mut world);
    downtime(world)
}

/// Asserts that the downtime is not much longer than without a change of instances.
fn assert_not_prolonged(world: SiteWorld, policy: AdviceRule) {
    let (time, usual) = (downtime(world), undisturbed(policy));
    assert!(time <= usual + CHANGE_MS, "{time} ms, usually {usual} ms");
}

/// Guards against an adviser that ends before it has answered the request of the leader.
#[test]
fn an_adviser_that_is_stopped_answers_the_request_that_it_has() {
    for after_ms in [10, 500] {
        let mut world = site(LONG_POLICY);
        end_worker(&mut world);
        let adviser = wait_for_adviser(&mut world);
        let at = world.now_ms + after_ms;
        world.run_until(at);
        world.roll(adviser, BACK_MS);
        assert_not_prolonged(world, LONG_POLICY);
    }
}

/// Guards against a leader that waits for the answer to a request that ended with the process of the adviser.
#[test]
fn a_request_through_an_adviser_that_has_started_again_is_sent_through_another_one() {
    let mut world = site(LONG_POLICY);
    end_worker(&mut world);
    let adviser = wait_for_adviser(&mut world);
    let at = world.now_ms + 10;
    world.run_until(at);
    world.kill(adviser, 100);
    assert_not_prolonged(world, LONG_POLICY);
}

/// Guards against answers that end with the leader that had them: its successor requests advice about all workers
/// again.
#[test]
fn a_leader_that_is_stopped_hands_over_which_workers_may_run_a_step() {
    let mut world = site(WIDE_POLICY);
    let leader = world.leader().expect("an instance leads");
    world.roll(leader, BACK_MS);
    end_worker(&mut world);
    assert_not_prolonged(world, WIDE_POLICY);
}

/// Guards against requests that end with the leader that sent them.
#[test]
fn a_leader_that_is_stopped_hands_over_requests_in_flight() {
    for after_ms in [10, 1_500, 2_800] {
        let mut world = site(LONG_POLICY);
        end_worker(&mut world);
        wait_for_adviser(&mut world);
        let at = world.now_ms + after_ms;
        world.run_until(at);
        let leader = world.leader().expect("an instance leads");
        world.roll(leader, BACK_MS);
        assert_not_prolonged(world, LONG_POLICY);
    }
}

/// Guards against a request that ends because both its adviser and the leader that sent it are stopped.
#[test]
fn a_request_outlives_the_stop_of_its_adviser_and_of_the_leader() {
    let mut world = site(LONG_POLICY);
    end_worker(&mut world);
    let adviser = wait_for_adviser(&mut world);
    let leader = world.leader().expect("an instance leads");
    world.roll(adviser, BACK_MS);
    let at = world.now_ms + 1_000;
    world.run_until(at);
    world.roll(leader, BACK_MS);
    assert_not_prolonged(world, LONG_POLICY);
}

/// Plays a change of leader some time after the answer that permits the start.
fn downtime_after_answer(after_ms: u64, planned: bool) -> u64 {
    let mut world = site(LONG_POLICY);
    end_worker(&mut world);
    wait_for_line(&mut world, "answer");
    let at = world.now_ms + after_ms;
    world.run_until(at);
    let leader = world.leader().expect("an instance leads");
    if planned {
        world.roll(leader, BACK_MS);
    } else {
        world.kill(leader, BACK_MS);
    }
    downtime(world)
}

/// Guards against a permit that is lost with its leader after the task was placed and before it was ordered.
#[test]
fn a_task_that_is_placed_starts_in_time_though_the_leader_is_stopped_before_the_order() {
    let usual = undisturbed(LONG_POLICY);
    let times: Vec<u64> = (0..50)
        .step_by(3)
        .map(|after_ms| downtime_after_answer(after_ms, true))
        .collect();
    let limit = usual + CHANGE_MS;
    assert!(
        times.iter().all(|time| *time <= limit),
        "{times:?}, usually {usual} ms"
    );
}

/// The same with a leader that is killed: the task is down for no longer than the users allow.
#[test]
fn a_task_that_is_placed_starts_in_time_though_the_leader_is_killed_before_the_order() {
    let times: Vec<u64> = (0..50)
        .step_by(3)
        .map(|after_ms| downtime_after_answer(after_ms, false))
        .collect();
    assert!(times.iter().all(|time| *time <= MAX_DOWN_MS), "{times:?}");
}

/// Guards against a new leader that does not use a departure that was announced to the leader before.
#[test]
fn a_departure_that_was_announced_to_the_leader_before_is_used() {
    let mut late = Vec::new();
    for after_ms in [200, 1_000, 4_000] {
        let mut world = site(LONG_POLICY);
        world.run_until(END_MS - 7_000);
        let address = runs(&world).pop().expect("the task runs");
        let announced_at = world.now_ms;
        world.drain_worker(&address, END_MS - announced_at);
        world.run_until(announced_at + after_ms);
        let leader = world.leader().expect("an instance leads");
        world.roll(leader, BACK_MS);
        world.run_until(END_MS);
        world.crash_worker(&address, REPLACED_MS);
        let time = downtime(world);
        late.extend((time > ANNOUNCED_MS).then_some((after_ms, time)));
    }
    assert_eq!(late, [], "times of the change, each with the downtime");
}

/// Guards against an answer that is lost because the instance whose former process requested it leads again.
#[test]
fn an_answer_reaches_a_leader_whose_former_process_has_requested_it() {
    for after_ms in [2_500, 3_000, 4_000] {
        let mut world = site(LONGEST_POLICY);
        end_worker(&mut world);
        wait_for_adviser(&mut world);
        let first = world.leader().expect("an instance leads");
        world.roll(first, 300);
        let at = world.now_ms + after_ms;
        world.run_until(at);
        let second = world.leader().expect("an instance leads");
        assert_ne!(second, first);
        world.roll(second, BACK_MS);
        let at = world.now_ms + 500;
        world.run_until(at);
        assert_eq!(world.leader(), Some(first));
        assert_not_prolonged(world, LONGEST_POLICY);
    }
}
