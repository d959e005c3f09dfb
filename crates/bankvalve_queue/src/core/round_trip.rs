//! Round-trip times of heartbeats, which show how congested the leader's link is.
//!
//! Problem: on a full link, outgoing data waits in the sockets, where the leader does not see it, and
//! its heartbeats wait behind that data. Unless the leader accepts less work, its peers consider it
//! lost. So each heartbeat contains its send time, and an echo: the send time of the last heartbeat
//! from the other side and how long ago it arrived. The minimum over the preferred members counts,
//! because a member that is slow or cut off says nothing about this instance's link.

use std::time::Duration;

use super::election::PeerView;
use super::EntryCore;
use crate::ids::CoreTime;
use crate::peer::{HeartbeatBody, HeartbeatEcho, PeerAddress};

/// Minimum number of live preferred members with echoes for their round trips to say anything about this
/// instance's link.
const MIN_PEERS: usize = 2;
/// Time between two echoes from a preferred member if one is lost: two heartbeats.
const MAX_ECHO_INTERVAL: Duration = Duration::from_millis(320);

/// Upper limit of a round trip. A message that takes longer is considered lost.
pub(super) const MAX_ROUND_TRIP: Duration = Duration::from_millis(1_500);

/// What a peer's heartbeats say about the round trip to it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PeerEcho {
    /// Send time of its last heartbeat in milliseconds, by the peer's clock, and time of arrival.
    last_heartbeat: Option<(u64, CoreTime)>,
    /// When the first heartbeat of its current process arrived.
    first_heartbeat: Option<CoreTime>,
    /// The last round-trip time, and when its echo arrived.
    last_round_trip: Option<(Duration, CoreTime)>,
    /// Send time, by this instance's clock, of the last heartbeat that the peer is known to have
    /// received.
    last_acknowledged: Option<CoreTime>,
}

impl PeerEcho {
    /// Records a heartbeat and its echo.
    pub(super) fn record_heartbeat(&mut self, now: CoreTime, heartbeat: &HeartbeatBody) {
        self.last_heartbeat = Some((heartbeat.sent_ms, now));
        self.first_heartbeat.get_or_insert(now);
        let Some(echo) = &heartbeat.echo else {
            return;
        };
        let elsewhere = Duration::from_millis(echo.sent_ms + echo.held_ms);
        self.last_round_trip = Some((now.saturating_sub(elsewhere), now));
        // An earlier process of this instance may have sent the heartbeat that is echoed.
        let sent_at = Duration::from_millis(echo.sent_ms);
        if sent_at <= now {
            self.last_acknowledged = self.last_acknowledged.max(Some(sent_at));
        }
    }

    /// Returns the send time of the last heartbeat that the peer is known to have received. The arrival
    /// time of its echo would be wrong: the echo may have waited while this instance was frozen.
    pub(super) fn last_acknowledged(&self) -> Option<CoreTime> {
        self.last_acknowledged
    }

    /// Returns when its last heartbeat arrived.
    pub(super) fn last_contact(&self) -> Option<CoreTime> {
        self.last_heartbeat.map(|(_, at)| at)
    }

    /// Returns whether the peer knows that this instance receives its heartbeats. It then counts this
    /// instance as in mutual contact.
    pub(super) fn is_mutual(&self) -> bool {
        let times = self.first_heartbeat.zip(self.last_acknowledged);
        times.is_some_and(|(first, last_acknowledged)| last_acknowledged >= first)
    }

    fn echo(&self, now: CoreTime) -> Option<HeartbeatEcho> {
        let (sent_ms, arrived_at) = self.last_heartbeat?;
        let held_ms = now.saturating_sub(arrived_at).as_millis() as u64;
        Some(HeartbeatEcho { sent_ms, held_ms })
    }

    /// Returns the current round-trip time. If an echo is overdue, the round trip takes at least as
    /// long as it has been overdue.
    fn round_trip(&self, now: CoreTime) -> Option<Duration> {
        let (measured, at) = self.last_round_trip?;
        let overdue = now.saturating_sub(at).saturating_sub(MAX_ECHO_INTERVAL);
        Some(measured.max(overdue))
    }
}

impl EntryCore {
    /// Adds the parts of a heartbeat that are specific to one peer.
    pub(super) fn heartbeat_for(
        &self,
        peer: PeerAddress,
        heartbeat: &HeartbeatBody,
    ) -> HeartbeatBody {
        HeartbeatBody {
            sent_ms: self.now.as_millis() as u64,
            echo: self
                .peers
                .get(&peer)
                .and_then(|view| view.echo.echo(self.now)),
            ..heartbeat.clone()
        }
    }

    /// Returns the round-trip time to the leader. A request that is repeated before its answer can have
    /// arrived goes over the same congested link.
    pub(super) fn round_trip_to_leader(&self) -> Duration {
        let leader = self.leader.as_ref().map(|leader| leader.address);
        let peer = leader.and_then(|leader| self.peers.get(&leader));
        let echo = peer.map(|peer| &peer.echo);
        let time = if self.is_behind_hubs() {
            // Echoes come at the slow rate. An overdue one would count as a round trip of a second
            // and a half, and the request would be repeated when its caller's time has almost run out.
            // The hubs' reports of lost contact with the leader hold requests back sooner.
            echo.and_then(|echo| echo.last_round_trip)
                .map(|(measured, _)| measured)
        } else {
            echo.and_then(|echo| echo.round_trip(self.now))
        };
        time.unwrap_or_default().min(MAX_ROUND_TRIP)
    }

    /// Returns the shortest round-trip time among the live preferred members, or zero if there are too
    /// few of them.
    pub(super) fn min_round_trip(&self) -> Duration {
        let preferred = |address: &&PeerAddress| self.preferred.contains(address);
        let time = |peer: &PeerView| {
            peer.echo
                .round_trip(self.now)
                .filter(|_| peer.is_live(self.now))
        };
        let peers = self.peers.iter().filter(|(address, _)| preferred(address));
        let times: Vec<Duration> = peers.filter_map(|(_, peer)| time(peer)).collect();
        if times.len() < MIN_PEERS {
            return Duration::ZERO;
        }
        times.into_iter().min().unwrap_or_default()
    }
}
