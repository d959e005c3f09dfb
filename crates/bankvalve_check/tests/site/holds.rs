//! Until when leaders have workers hold what they run, and the guards by which a successor may rely on
//! it.

use bankvalve_check::site::{
    job_of, play_losses, LeaderLoss, LossPlan, SiteWorld, WorkerLoss, QUEUE,
};
use bankvalve_queue::SiteGuard;

use crate::{assert_kept, follower, world_without};

/// Starts a task that lasts, and returns its worker's address.
fn start_lasting(world: &mut SiteWorld) -> String {
    let mut spec = job_of(1, QUEUE, &[1], false);
    spec.steps[0].lasting = true;
    world.submit(spec);
    world.run_until(5_000);
    let busy = |address: &&String| {
        let worker = world.workers[*address].as_ref();
        worker.is_some_and(|worker| !worker.runs().is_empty())
    };
    let address = world.workers.keys().find(busy);
    address.expect("a worker runs it").clone()
}

/// Rules broken where a worker falls silent, is heard again by a leader that the table does not answer
/// any more, and falls silent for good: the ledger has that its hold is not prolonged.
fn breaches_of_a_resumed_hold(seed: u64, broken: Option<SiteGuard>) -> usize {
    let mut world = world_without(seed, 4, broken);
    let address = start_lasting(&mut world);
    let leader = world.leader().expect("an instance leads");
    world.detach_worker(&address, None);
    world.worker_cut_until.insert(address.clone(), 7_000);
    world.run_until(6_950);
    world.nodes[leader].cut_from_store_until = 60_000;
    world.run_until(7_700);
    world.worker_cut_until.insert(address, 60_000);
    world.run_until(20_000);
    if broken.is_none() {
        assert_kept(&world);
        assert_eq!(world.rules.starts, 2, "it is started elsewhere");
    }
    world.rules.breaches.len()
}

#[test]
fn a_hold_that_is_kept_as_stopped_is_not_prolonged_before_it_is_kept_as_resumed() {
    for seed in 1..7 {
        assert_eq!(breaches_of_a_resumed_hold(seed, None), 0, "seed {seed}");
    }
    let broken = Some(SiteGuard::ResumeKept);
    let noticed = (1..7).any(|seed| breaches_of_a_resumed_hold(seed, broken) > 0);
    assert!(noticed, "nothing notices that the guard is gone");
}

#[test]
fn a_successor_that_reckons_with_the_longest_holds_is_noticed() {
    let pair = LossPlan::pair(1, Some(LeaderLoss::DarkForGood), 2_000);
    let broken = Some(SiteGuard::KnownHolds);
    let report = play_losses(&LossPlan { broken, ..pair });
    let lost = report.breaches.iter().any(|breach| breach.rule == "LOST");
    assert!(lost, "{report:?}");
}

/// Rules broken where a leader is cut off together with one worker: each reaches the other, and neither
/// anything else.
fn breaches_of_a_leader_cut_off_with_a_worker(seed: u64, broken: Option<SiteGuard>) -> usize {
    let mut world = world_without(seed, 6, broken);
    world.looks_wait = true;
    let address = start_lasting(&mut world);
    let leader = world.leader().expect("an instance leads");
    let others: Vec<String> = world.workers.keys().cloned().collect();
    for other in others.into_iter().filter(|other| *other != address) {
        world.worker_reached_by.insert(other, follower(&world));
    }
    world.lose_worker_so(&address, WorkerLoss::OffAllButLeader);
    let until = world.now_ms + 12_000;
    world.nodes[leader].cut_from_peers_until = until;
    world.nodes[leader].cut_from_store_until = until;
    world.run_until(30_000);
    world.rules.breaches.len()
}

#[test]
fn a_leader_that_its_peers_do_not_hear_prolongs_no_hold() {
    for seed in 11..15 {
        let breaches = breaches_of_a_leader_cut_off_with_a_worker(seed, None);
        assert_eq!(breaches, 0, "seed {seed}");
    }
    let broken = Some(SiteGuard::LeaderInTouch);
    let noticed = breaches_of_a_leader_cut_off_with_a_worker(11, broken) > 0;
    assert!(noticed, "nothing notices that the guard is gone");
}
