//! Tests of a single instance: what it knows about leases of leaders that it has never heard of, and what it tells
//! its peers about them.

use std::time::Duration;

use bankvalve_queue::{
    CoreAction, CoreEvent, EntryCore, EntrySettings, FormerLeaseBound, HeartbeatBody, PeerAddress,
    PeerMessage,
};

/// Longest time for which a leader without any contact requests leases, in milliseconds: the worst case for a
/// leader of which nothing is known.
const UNCONFIRMED_MS: u64 = 15_000;
/// Time at which the instance hears of a later leader, in milliseconds.
const HEARD_MS: u64 = 1_000;

fn address(last: u8) -> PeerAddress {
    PeerAddress::from(([10, 0, 0, last], 7_300))
}

/// Delivers the heartbeat of a leader.
fn hear_leader(
    core: &mut EntryCore,
    at_ms: u64,
    from: PeerAddress,
    epoch: u64,
    former_leases: Option<FormerLeaseBound>,
) {
    let body = HeartbeatBody {
        life: 9,
        epoch,
        leader: Some(from),
        leading: true,
        former_leases,
        ..HeartbeatBody::default()
    };
    let message = PeerMessage::Heartbeat(body);
    let event = CoreEvent::Peer { from, message };
    core.step(Duration::from_millis(at_ms), at_ms, event);
}

/// Returns the bound in the next heartbeat that the instance sends.
fn next_bound(core: &mut EntryCore, at_ms: u64) -> FormerLeaseBound {
    let actions = core.step(Duration::from_millis(at_ms), at_ms, CoreEvent::Tick);
    let bound = actions.iter().find_map(|action| match action {
        CoreAction::Peer {
            message: PeerMessage::Heartbeat(body),
            ..
        } => body.former_leases,
        _ => None,
    });
    bound.expect("the instance sends a heartbeat with a bound")
}

/// Returns an instance that follows the leader of epoch 1, then that of epoch 4, which sends a bound.
fn missed_two_leaders(former_leases: Option<FormerLeaseBound>) -> EntryCore {
    let mut core = EntryCore::new(EntrySettings::example(address(1)));
    hear_leader(&mut core, 10, address(2), 1, None);
    hear_leader(&mut core, HEARD_MS, address(3), 4, former_leases);
    core
}

fn bound(before_epoch: u64, remaining_ms: u64, known: bool) -> Option<FormerLeaseBound> {
    Some(FormerLeaseBound {
        before_epoch,
        remaining_ms,
        known,
    })
}

/// Guards against missed leaders that are taken for the worst case although a peer knows when their leases end.
#[test]
fn a_peers_bound_replaces_the_worst_case_of_missed_leaders() {
    let mut core = missed_two_leaders(bound(4, 2_000, true));
    let told = next_bound(&mut core, HEARD_MS + 1_000);
    assert_eq!((told.before_epoch, told.known), (4, true));
    // Never less than what is left, and no more than a faster clock explains.
    assert!((1_000..1_100).contains(&told.remaining_ms), "{told:?}");
    let told = next_bound(&mut core, HEARD_MS + 4_000);
    assert_eq!(told.remaining_ms, 0);
}

/// Guards against a lease that is believed to have ended because a peer of an earlier version sends no bound.
#[test]
fn missed_leaders_count_as_the_worst_case_without_a_bound() {
    let mut core = missed_two_leaders(None);
    let told = next_bound(&mut core, HEARD_MS + 1_000);
    assert!(told.remaining_ms > UNCONFIRMED_MS - 1_000, "{told:?}");
    assert!(!told.known);
}

/// Guards against a bound that is applied to leaders that it does not cover.
#[test]
fn a_bound_does_not_cover_leaders_from_its_epoch_on() {
    let mut core = missed_two_leaders(bound(2, 0, true));
    let told = next_bound(&mut core, HEARD_MS + 1_000);
    assert!(told.remaining_ms > UNCONFIRMED_MS - 1_000, "{told:?}");
    assert!(!told.known);
}

/// Guards against a worst case that is passed on as if it were known, or that begins anew at each receiver.
#[test]
fn an_assumed_bound_is_passed_on_as_what_is_left_of_it() {
    let mut core = missed_two_leaders(bound(4, 9_000, false));
    let told = next_bound(&mut core, HEARD_MS + 3_000);
    assert!((6_000..6_300).contains(&told.remaining_ms), "{told:?}");
    assert!(!told.known);
}
