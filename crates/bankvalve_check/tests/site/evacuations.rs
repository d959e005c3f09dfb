//! Evacuated failure domains: no task starts there, whoever leads and whatever else happens.

use bankvalve_check::site::{
    job_of, run_evacuation_episode, SiteFault, SitePlan, SiteWorld, QUEUE,
};
use bankvalve_queue::{JobSpec, SiteGuard};

use crate::{assert_kept, plan_of};

const DOMAINS: u64 = 3;
/// Time after which a calm site starts nothing more in an evacuated failure domain, in milliseconds.
const AT_ONCE_MS: u64 = 400;
/// The users' bound on the same time under trouble, in milliseconds.
const BOUND_MS: u64 = 5_000;
const FIRST: &str = "domain-0";
const SECOND: &str = "domain-1";

/// A site of so many workers in three failure domains, with a guard taken away if asked.
fn world_of(seed: u64, workers: usize, broken: Option<SiteGuard>) -> SiteWorld {
    let mut world = SiteWorld::new(SitePlan {
        broken,
        ..plan_of(seed, workers)
    });
    world.spread_over_domains(DOMAINS);
    world.run_until(1_000);
    world
}

fn run_for(world: &mut SiteWorld, ms: u64) {
    let until = world.now_ms + ms;
    world.run_until(until);
}

/// Submits a job of small tasks each 20 ms.
fn run_under_load(world: &mut SiteWorld, first_job: u64, ms: u64) {
    for number in 0..ms / 20 {
        world.submit(job_of(first_job + number, QUEUE, &[2], false));
        run_for(world, 20);
    }
}

/// Time from the evacuation to the last start in the failure domain, in milliseconds.
fn latest_start(world: &SiteWorld) -> u64 {
    world.latest_evacuated_start_ms().unwrap_or(0)
}

fn lasting(id: u64, count: u32) -> JobSpec {
    let mut job = job_of(id, QUEUE, &[count], false);
    job.steps[0].lasting = true;
    job
}

#[test]
fn nothing_starts_in_an_evacuated_domain_and_what_runs_there_goes_on() {
    let mut world = world_of(1, 6, None);
    world.submit(lasting(1, 12));
    run_for(&mut world, 1_000);
    let runs = world.runs_in(FIRST);
    assert!(runs > 0, "no task of the job runs in {FIRST}");
    assert!(world.evacuate(FIRST));
    run_under_load(&mut world, 100, 8_000);
    assert_eq!(world.runs_in(FIRST), runs);
    assert!(latest_start(&world) <= AT_ONCE_MS, "{world:?}");
    assert_eq!(world.counter("evacuations", "evacuated"), 1);
    world.withdraw_evacuation(FIRST);
    run_under_load(&mut world, 1_000, 4_000);
    assert!(world.runs_in(FIRST) > runs, "nothing starts there again");
    assert_kept(&world);
}

#[test]
fn gangs_long_running_and_repeated_tasks_start_elsewhere() {
    let mut world = world_of(2, 9, None);
    world.fail_percent = 30;
    world.submit(lasting(1, 4));
    run_for(&mut world, 1_000);
    world.evacuate(FIRST);
    world.evacuate(SECOND);
    for job in 10..40 {
        world.submit(job_of(job, QUEUE, &[3, 2], job % 2 == 0));
        run_for(&mut world, 150);
    }
    // The workers of the job that lasts are lost; its tasks restart outside of both failure domains.
    let addresses: Vec<String> = world.workers.keys().cloned().collect();
    for address in addresses {
        if world.domain_of(&address) != "domain-2" {
            world.crash_worker(&address, 500);
        }
    }
    run_for(&mut world, 20_000);
    assert!(latest_start(&world) <= AT_ONCE_MS);
    assert_eq!(world.runs_in("domain-2"), 4);
    assert_kept(&world);
}

/// Guards against a leader that takes over and does not know the evacuations.
#[test]
fn every_successor_knows_the_evacuations() {
    for distance_ms in (0..3_000).step_by(150) {
        for lost in [1, 3] {
            let mut world = world_of(3, 6, None);
            run_under_load(&mut world, 100, 500);
            world.evacuate(FIRST);
            run_under_load(&mut world, 200, distance_ms);
            let leader = world.leader().expect("an instance leads");
            for node in (0..world.nodes.len()).filter(|node| lost == 3 || *node == leader) {
                world.kill(node, 1_500);
            }
            run_under_load(&mut world, 1_000, 9_000);
            let latest = latest_start(&world);
            assert!(
                latest <= AT_ONCE_MS,
                "{lost} lost after {distance_ms} ms: a start after {latest} ms"
            );
            assert_kept(&world);
        }
    }
}

/// Guards against a leader that the table does not answer, which would not learn of an evacuation.
#[test]
fn a_leader_that_lost_its_watch_learns_of_an_evacuation_from_its_peers() {
    let mut world = world_of(4, 6, None);
    run_under_load(&mut world, 100, 500);
    let leader = world.leader().expect("an instance leads");
    world.nodes[leader].config_lost_until = world.now_ms + 20_000;
    run_under_load(&mut world, 200, 2_500);
    world.evacuate(FIRST);
    run_under_load(&mut world, 1_000, 8_000);
    assert_eq!(world.leader(), Some(leader));
    assert!(latest_start(&world) <= AT_ONCE_MS);
    assert_kept(&world);
}

#[test]
fn evacuations_are_in_force_though_the_table_forgets_its_history_or_sends_short_pages() {
    for short in [false, true] {
        let mut world = world_of(5, 6, None);
        world.store.short_operator_page = short;
        run_under_load(&mut world, 100, 500);
        world.evacuate(FIRST);
        world.store.forget_history();
        run_under_load(&mut world, 200, 3_000);
        world.withdraw_evacuation(FIRST);
        world.evacuate(SECOND);
        world.store.forget_history();
        for node in 0..world.nodes.len() {
            world.kill(node, 300);
        }
        run_under_load(&mut world, 1_000, 7_000);
        assert!(latest_start(&world) <= BOUND_MS / 2, "short pages: {short}");
        assert!(world.runs_in(FIRST) > 0, "{FIRST} is not used again");
        assert_eq!(world.runs_in(SECOND), 0);
        assert_kept(&world);
    }
}

#[test]
fn evacuations_of_all_domains_hold_all_jobs_until_they_are_withdrawn() {
    let mut world = world_of(6, 6, None);
    for number in 0..DOMAINS {
        world.evacuate(&format!("domain-{number}"));
    }
    run_under_load(&mut world, 100, 2_000);
    let starts = world.rules.starts;
    run_for(&mut world, 8_000);
    assert_eq!(world.rules.starts, starts);
    // Evacuated again and withdrawn within a second.
    world.evacuate(FIRST);
    world.withdraw_evacuation(FIRST);
    run_for(&mut world, 500);
    world.evacuate(FIRST);
    run_for(&mut world, 600);
    for number in 0..DOMAINS {
        world.withdraw_evacuation(&format!("domain-{number}"));
    }
    run_for(&mut world, 15_000);
    assert_eq!(world.shown.len(), world.rules.accepted().len());
    assert_kept(&world);
}

/// The last start in a failure domain that is evacuated while starts are being committed to a slow table, after
/// the leader knew of the evacuation, in milliseconds.
fn latest_start_beside_slow_commits(broken: Option<SiteGuard>) -> u64 {
    let latest = (400..1_400).step_by(100).map(|distance_ms| {
        let mut world = world_of(7, 6, broken);
        world.store_turn_ms = 500;
        world.submit(job_of(1, QUEUE, &[24], false));
        run_for(&mut world, distance_ms);
        world.evacuate(FIRST);
        let evacuated_at = world.now_ms;
        while world.counter("evacuations", "evacuated") == 0 {
            run_for(&mut world, 5);
        }
        let known_after = world.now_ms - evacuated_at;
        run_for(&mut world, 4_000);
        latest_start(&world).saturating_sub(known_after)
    });
    latest.max().unwrap_or(0)
}

/// Guards against starts that were decided before an evacuation and are sent after it.
#[test]
fn a_start_that_is_being_committed_is_not_sent_to_an_evacuated_domain() {
    let guarded = latest_start_beside_slow_commits(None);
    let unguarded = latest_start_beside_slow_commits(Some(SiteGuard::EvacuatedNow));
    // An order takes a millisecond or two to its worker.
    assert!(guarded <= 10, "{guarded} ms after the leader knew");
    assert!(unguarded > 100, "{unguarded} ms without the guard");
}

#[test]
fn drawn_evacuations_break_no_rule() {
    for seed in 1..9 {
        let report = run_evacuation_episode(seed, &SiteFault::ALL, None);
        assert_eq!(report.breaches, [], "seed {seed}");
        assert!(report.starts > 300, "seed {seed}: {} starts", report.starts);
    }
}

#[test]
fn starts_in_evacuated_domains_are_noticed() {
    let noticed = (1..9).any(|seed| {
        let report = run_evacuation_episode(seed, &[], Some(SiteGuard::EvacuatedDomain));
        report.breaches.iter().any(|breach| breach.rule == "EVAC")
    });
    assert!(noticed);
}
