//! Each accepted job has an answer at the end, from each instance, in time.

use bankvalve_check::site::{
    job_of, run_crash_episode, run_short_episode, SiteBurden, SiteFault, SitePlan, SiteWorld, QUEUE,
};
use bankvalve_queue::{CallerAnswer, JobState, SiteGuard};

use crate::{assert_kept, unlike_world, world, world_without};

/// Jobs handed in; each is asked about at each instance.
const JOBS: u64 = 20;

/// Hands jobs in and runs until they have ended.
fn finish_jobs(world: &mut SiteWorld) {
    for job in 1..=JOBS {
        world.submit(job_of(job, QUEUE, &[2], false));
    }
    let until = world.now_ms + 20_000;
    world.run_until(until);
    assert_eq!(world.shown.len() as u64, JOBS);
}

/// Asks all instances, which must be up, about each job.
fn ask_about_all(world: &mut SiteWorld, apart_ms: u64) {
    ask_those_up(world, apart_ms);
    assert!(world.answers.len() as u64 >= JOBS * world.nodes.len() as u64);
}

/// Asks each instance that is up about each job, one after another from a moment on; runs until all
/// who asked have had their time.
fn ask_those_up(world: &mut SiteWorld, apart_ms: u64) {
    for job in 1..=JOBS {
        world.ask_each(&[job]);
        let until = world.now_ms + apart_ms;
        world.run_until(until);
    }
    let until = world.now_ms + 4_000;
    world.run_until(until);
    world.check_answers();
}

fn longest_ms(world: &SiteWorld) -> u64 {
    let times = world.answers.iter().map(|told| told.took_ms);
    times.max().unwrap_or(0)
}

#[test]
fn on_a_calm_site_each_instance_answers_for_each_job_at_once() {
    for mut world in [world(61), unlike_world(62, 12)] {
        finish_jobs(&mut world);
        ask_about_all(&mut world, 40);
        assert_kept(&world);
        assert!(longest_ms(&world) <= 20, "{} ms", longest_ms(&world));
    }
}

#[test]
fn each_instance_answers_for_each_job_in_time_though_all_connections_go_silent() {
    for seed in 63..73 {
        for mut world in [world(seed), unlike_world(seed, 12)] {
            finish_jobs(&mut world);
            world.silence_peers();
            ask_about_all(&mut world, 60);
            assert_kept(&world);
        }
    }
}

#[test]
fn each_instance_answers_for_each_job_in_time_though_connections_go_silent_twice() {
    for gap_ms in [200, 500, 800, 1_200] {
        for seed in 66..76 {
            let mut world = unlike_world(seed, 12);
            finish_jobs(&mut world);
            world.silence_peers();
            world.ask_each(&[1, 2]);
            let until = world.now_ms + gap_ms;
            world.run_until(until);
            world.silence_peers();
            ask_about_all(&mut world, 60);
            assert_kept(&world);
        }
    }
}

#[test]
fn connections_that_are_given_up_one_by_one_leave_questions_without_an_answer() {
    // The client's part in the promise: without it the promise is seen to be broken.
    let mut world = unlike_world(63, 12);
    world.given_up_together = false;
    finish_jobs(&mut world);
    world.silence_peers();
    ask_about_all(&mut world, 60);
    assert!(!world.rules.breaches.is_empty());
}

#[test]
fn each_instance_answers_for_each_job_after_rolling_restarts() {
    let mut world = unlike_world(64, 12);
    finish_jobs(&mut world);
    for node in 0..12 {
        world.stop(node);
        let until = world.now_ms + 800;
        world.run_until(until);
        world.kill(node, 1_500);
    }
    let until = world.now_ms + 5_000;
    world.run_until(until);
    ask_about_all(&mut world, 60);
    assert_kept(&world);
}

/// Cancels jobs one after another; from the answer on each instance is asked about the job.
fn ask_about_cancelled(world: &mut SiteWorld, jobs: u64) {
    for job in 1..=jobs {
        world.submit(job_of(job, QUEUE, &[40], false));
    }
    let until = world.now_ms + 2_000;
    world.run_until(until);
    for job in 1..=jobs {
        world.cancel(job);
        while !world.rules.cancelled().any(|known| *known == job) {
            let next = world.now_ms + 1;
            assert!(next < 60_000, "job {job} is not cancelled");
            world.run_until(next);
        }
        world.ask_each(&[job]);
    }
    let until = world.now_ms + 4_000;
    world.run_until(until);
    world.check_answers();
}

#[test]
fn a_cancelled_job_is_shown_so_by_each_instance_from_the_answer_on() {
    for mut world in [world(74), unlike_world(75, 12), unlike_world(76, 70)] {
        ask_about_cancelled(&mut world, 10);
        assert_kept(&world);
        let cancelled = CallerAnswer::State(JobState::Cancelled);
        for told in &world.answers {
            assert_eq!(told.answer, cancelled, "{told:?}");
        }
    }
}

#[test]
fn states_from_a_book_that_may_lack_what_is_kept_are_noticed() {
    let mut plan = SitePlan::of_unlike(75, 12);
    plan.broken = Some(SiteGuard::ReadMark);
    let mut world = SiteWorld::new(plan);
    world.run_until(1_000);
    ask_about_cancelled(&mut world, 10);
    let rules = world.rules.breaches.iter();
    assert!(
        rules.clone().any(|breach| breach.rule == "STALE"),
        "{rules:?}"
    );
}

#[test]
fn a_job_that_is_over_is_shown_so_while_nobody_leads() {
    let mut world = world(77);
    finish_jobs(&mut world);
    world.store_away_until = world.now_ms + 20_000;
    let leader = world.leader().expect("an instance leads");
    world.kill(leader, 15_000);
    let until = world.now_ms + 6_000;
    world.run_until(until);
    assert_eq!(world.leader(), None);
    ask_those_up(&mut world, 40);
    assert_eq!(world.answers.len() as u64, JOBS * 2);
    assert_kept(&world);
    assert!(longest_ms(&world) <= 20, "{} ms", longest_ms(&world));
}

#[test]
fn a_leader_that_stood_still_does_not_show_a_job_as_open_that_another_has_cancelled() {
    // Found with this seed: it woke up after some seconds, took itself for the leader still, and told
    // from its own book that a cancelled job runs.
    let report = run_crash_episode(501, &SiteFault::ALL, None);
    assert_eq!(report.breaches, []);
}

#[test]
fn each_far_instance_answers_in_time_though_all_connections_of_a_site_with_hubs_go_silent() {
    // Found with these seeds, the second one on older code alone: a far instance tells a caller after
    // 2.6 s that it does not know. Its question to the hub and, 2.2 s later, the next one straight to
    // the leader went out on the first silent connection of each lane. It asked again so late since
    // it reckoned 1.5 s for the way to the leader: they exchange a heartbeat each 2 s, and echoes
    // count as missing after 0.32 s. All others that had lost a question waited for the same 2.2 s.
    for seed in [122, 126] {
        let report = run_short_episode(seed, &SiteFault::ALL, SiteBurden::Hubs);
        assert_eq!(report.breaches, [], "seed {seed}");
    }
}

/// A site of so many instances that far ones ask through hubs.
fn hub_world(seed: u64) -> SiteWorld {
    let strength = |node| if node < 6 { 500 } else { 120 };
    let mut world = SiteWorld::new(SitePlan {
        seed,
        entries: 66,
        strengths: (0..66).map(strength).collect(),
        broken: None,
        without: None,
        workers: 4,
        good_percent: None,
    });
    world.run_until(1_000);
    world
}

#[test]
fn a_far_instance_asks_again_as_soon_as_a_near_one() {
    // The silence begins at each tenth of the 2 s between two heartbeats of the leader and a far
    // instance. A question may be lost on the way to the hub and once more to the leader: twice 0.7 s,
    // and the ways.
    let mut world = hub_world(78);
    finish_jobs(&mut world);
    for job in 1..=10 {
        world.silence_peers();
        world.ask_each(&[job]);
        let until = world.now_ms + 6_200;
        world.run_until(until);
    }
    world.check_answers();
    assert_eq!(world.answers.len(), 660);
    assert_kept(&world);
    assert!(longest_ms(&world) <= 1_600, "{} ms", longest_ms(&world));
}

#[test]
fn each_far_instance_answers_in_time_though_connections_go_silent_twice() {
    for gap_ms in [200, 500, 800, 1_200] {
        let mut world = hub_world(79);
        finish_jobs(&mut world);
        world.silence_peers();
        world.ask_each(&[1, 2]);
        let until = world.now_ms + gap_ms;
        world.run_until(until);
        world.silence_peers();
        ask_about_all(&mut world, 60);
        assert_kept(&world);
    }
}

/// Guards against a leader that was paused and shows a job as running whose cancel the next leader has
/// confirmed.
#[test]
fn a_leader_that_was_paused_does_not_show_a_cancelled_job_as_running() {
    for seed in 1..9 {
        let mut world = world_without(seed, 4, None);
        world.work_ms.insert(1, 60_000);
        world.submit(job_of(1, QUEUE, &[2], false));
        world.run_until(2_500);
        let paused = world.leader().expect("an instance leads");
        world.freeze(paused, 5_000);
        world.run_until(4_500);
        for _ in 0..8 {
            world.cancel(1);
            let until = world.now_ms + 60;
            world.run_until(until);
        }
        world.run_until(5_500);
        for _ in 0..6 {
            world.cancel(1);
            world.ask_at(paused, 1);
        }
        world.run_until(15_000);
        assert!(world.rules.is_cancelled(1), "seed {seed}");
        assert_kept(&world);
    }
}

/// Guards against the same in a drawn world.
#[test]
fn a_cancelled_job_is_not_shown_as_running_in_a_drawn_world() {
    assert_eq!(
        run_crash_episode(870_238, &SiteFault::ALL, None).breaches,
        []
    );
}
