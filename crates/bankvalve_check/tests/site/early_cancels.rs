//! Cancels that overtake the submission of their job.

use std::sync::Arc;

use bankvalve_check::site::{job_of, SitePlan, SiteWorld, URGENT_QUEUE};
use bankvalve_queue::{JobId, JobState, SiteGuard};

use crate::{follower, plan_of};

/// The job whose submission is overtaken.
const JOB: JobId = 7;
/// Time from the submission to the cancel, in milliseconds.
const CANCEL_AFTER_MS: u64 = 600;

/// What holds the submission up until after the cancel.
#[derive(Clone, Copy, Debug)]
enum Delay {
    /// The instance that has it stands still.
    Frozen,
    /// The instance that has it is suspended: its steady clock stops, too.
    Suspended,
    /// The instance that has it is cut off from its peers.
    CutFromPeers,
    /// The leader has it and stands still.
    FrozenLeader,
}

impl Delay {
    const ALL: [Delay; 4] = [
        Delay::Frozen,
        Delay::Suspended,
        Delay::CutFromPeers,
        Delay::FrozenLeader,
    ];
}

/// A site at which a submission is held up, and cancelled at another instance meanwhile. After the cancel,
/// leaders are lost.
fn overtaken_submission(
    delay: Delay,
    for_ms: u64,
    leaders_lost: usize,
    broken: Option<SiteGuard>,
) -> SiteWorld {
    let plan = SitePlan {
        entries: 4,
        broken,
        ..plan_of(11, 4)
    };
    let mut world = SiteWorld::new(plan);
    world.run_until(1_000);
    let leader = world.leader().expect("an instance leads");
    let holder = match delay {
        Delay::FrozenLeader => leader,
        _ => follower(&world),
    };
    let until = world.now_ms + for_ms;
    match delay {
        Delay::Frozen | Delay::FrozenLeader => world.freeze(holder, for_ms),
        Delay::Suspended => world.suspend(holder, for_ms),
        Delay::CutFromPeers => world.nodes[holder].cut_from_peers_until = until,
    }
    let spec = Arc::new(job_of(JOB, URGENT_QUEUE, &[2, 2], false));
    world.submit_at(holder, &spec);
    let cancelled = world.now_ms + CANCEL_AFTER_MS;
    world.run_until(cancelled);
    let other = (0..world.nodes.len())
        .find(|node| *node != holder && *node != leader)
        .expect("another instance");
    world.cancel_at(other, JOB);
    for _ in 0..leaders_lost {
        let next = world.now_ms + 200;
        world.run_until(next);
        if let Some(leader) = world.leader().filter(|leader| *leader != holder) {
            world.kill(leader, 400);
        }
    }
    world.run_until(until + 20_000);
    world
}

/// Guards against running a job whose submission was held up until after the answer to its cancel.
#[test]
fn a_job_is_not_started_after_its_cancel_was_answered_that_it_is_unknown() {
    for delay in Delay::ALL {
        for for_ms in (0..15_000).step_by(700) {
            for leaders_lost in 0..3 {
                let world = overtaken_submission(delay, for_ms, leaders_lost, None);
                let what = format!("{delay:?} for {for_ms} ms, {leaders_lost} leaders lost");
                assert_eq!(world.rules.breaches, [], "{what}");
                assert!(world.rules.is_cancelled(JOB), "{what}");
                let late = for_ms > CANCEL_AFTER_MS + 100;
                assert!(!late || world.rules.starts == 0, "{what}");
            }
        }
    }
}

/// Without the guard, a submission that was held up starts the job, whatever held it up.
#[test]
fn the_check_notices_a_job_that_starts_after_its_cancel() {
    let broken = Some(SiteGuard::EarlyCancel);
    for delay in Delay::ALL {
        let starts = |for_ms| overtaken_submission(delay, for_ms, 0, broken).rules.starts > 0;
        assert!((700..3_000).step_by(700).any(starts), "{delay:?}");
    }
}

/// Guards against answers that contradict each other: all instances show the job as cancelled, and a repeated
/// submission stays the same job.
#[test]
fn a_job_that_was_cancelled_before_it_was_known_is_shown_as_cancelled() {
    let mut world = SiteWorld::new(plan_of(3, 4));
    world.run_until(1_000);
    world.cancel(JOB);
    world.run_until(1_500);
    for _ in 0..2 {
        world.submit(job_of(JOB, URGENT_QUEUE, &[2], false));
        let until = world.now_ms + 500;
        world.run_until(until);
    }
    world.run_until(10_000);
    assert_eq!(world.rules.breaches, []);
    assert_eq!(world.rules.starts, 0);
    assert_eq!(world.shown.get(&JOB), Some(&JobState::Cancelled));
    assert!(world.rules.accepted().contains(&JOB));
}
