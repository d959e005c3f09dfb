//! A planned stop that begins at any moment comes to its end.

use std::time::Duration;

use bankvalve_check::world::{CellWorld, WorldEvent, WorldPlan};

/// Longest time that a stop may take while the table service is slow.
const STOP_TIME: Duration = Duration::from_secs(40);

/// Runs a world until a time.
fn run_until(world: &mut CellWorld, end: Duration) {
    world.after(end.saturating_sub(world.now), WorldEvent::Wake);
    while !world.advance() {}
}

#[test]
fn stop_at_any_moment_ends() {
    for step in 0..160 {
        let mut world = CellWorld::new(WorldPlan::small(3, 8, 2), 5);
        world.links.store_slow_until = Duration::from_secs(20);
        run_until(&mut world, Duration::from_millis(step * 100));
        let life = world.entries[0].life;
        world.stop_entry(0);
        let begun = world.now;
        run_until(&mut world, begun + STOP_TIME);
        assert!(
            world.entries[0].life > life,
            "a stop after {begun:?} did not end"
        );
    }
}
