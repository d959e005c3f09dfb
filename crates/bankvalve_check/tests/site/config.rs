//! The operator's configuration: in force in time, never an older one, and what is not in it.

use bankvalve_check::site::{QueueTold, SiteWorld};

use crate::{assert_kept, follower, world};

fn run_for(world: &mut SiteWorld, span_ms: u64) {
    let until = world.now_ms + span_ms;
    world.run_until(until);
}

/// What an instance tells a caller that asks for a queue, once it has told.
fn told(world: &mut SiteWorld, node: usize, queue: &str) -> QueueTold {
    let before = world.told.len();
    world.ask_queue(node, queue);
    let until = world.now_ms + 3_000;
    while world.told.len() == before {
        assert!(world.now_ms < until, "no answer");
        run_for(world, 5);
    }
    world.told[before].told
}

#[test]
fn an_instance_does_not_deny_a_queue_that_a_newer_version_has() {
    let mut world = world(66);
    let node = follower(&world);
    world.nodes[node].watch_lost_until = 60_000;
    world.run_until(3_000);
    world.add_queue("added-1", 1);
    world.configure(2);
    assert_eq!(world.table_version(node), 1);
    assert_eq!(told(&mut world, node, "added-1"), QueueTold::Found);
    world.drop_queue("added-1");
    world.configure(3);
    run_for(&mut world, 2_000);
    assert_eq!(told(&mut world, node, "added-1"), QueueTold::NoQueue);
    assert_kept(&world);
}
