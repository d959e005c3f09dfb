//! How long a heartbeat and its echo take: how far behind the leader's link is.
//!
//! The pattern that it answers: a link that is full. What waits to be sent waits in the sockets,
//! where the leader does not see it, and its heartbeats wait behind; unless it takes on less, it is
//! taken for gone. So each heartbeat says when it was sent, and brings back what the other side said
//! last and for how long it has had it. The least of the near members' counts: one that is slow or
//! cut off says nothing of the own link.

use std::time::Duration;

use super::election::PeerView;
use super::EntryCore;
use crate::ids::CoreTime;
use crate::peer::{HeartbeatBody, HeartbeatEcho, PeerAddress};

/// Peers that must be alive for their echoes to tell of the own link.
const PEERS_AT_LEAST: usize = 2;
/// Pause between two echoes of a near member, with one that is lost: two heartbeats.
const ECHO_PAUSE: Duration = Duration::from_millis(320);

/// Most that is reckoned for a way and back: what is on it longer is lost.
pub(super) const MAX_ROUND_TRIP: Duration = Duration::from_millis(1_500);

/// What a peer's heartbeats tell of the way to it and back.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PeerEcho {
    /// When its last heartbeat was sent, by its own clock, and when it came.
    heard: Option<(u64, CoreTime)>,
    /// When its first heartbeat of this life came.
    first_heard: Option<CoreTime>,
    /// How long the way there and back took last, and when that was known.
    took: Option<(Duration, CoreTime)>,
    /// When the last was sent of what it is known to have heard, by our clock.
    contact: Option<CoreTime>,
}

impl PeerEcho {
    /// Takes what a heartbeat brings.
    pub(super) fn note(&mut self, now: CoreTime, news: &HeartbeatBody) {
        self.heard = Some((news.sent_ms, now));
        self.first_heard.get_or_insert(now);
        let Some(echo) = &news.echo else {
            return;
        };
        let gone = Duration::from_millis(echo.sent_ms + echo.held_ms);
        self.took = Some((now.saturating_sub(gone), now));
        // Our life of before may have sent what it echoes.
        let sent_at = Duration::from_millis(echo.sent_ms);
        if sent_at <= now {
            self.contact = self.contact.max(Some(sent_at));
        }
    }

    /// When the last was sent that it is known to have heard. It goes by when we sent it, not by when
    /// the word of it came: that may have waited while this instance stood still.
    pub(super) fn contact(&self) -> Option<CoreTime> {
        self.contact
    }

    /// When its last heartbeat came.
    pub(super) fn last_contact(&self) -> Option<CoreTime> {
        self.heard.map(|(_, at)| at)
    }

    /// Whether it has heard that we heard it: it then counts this instance as in touch.
    pub(super) fn is_mutual(&self) -> bool {
        let heard = self.first_heard.zip(self.contact);
        heard.is_some_and(|(first, contact)| contact >= first)
    }

    fn echo(&self, now: CoreTime) -> Option<HeartbeatEcho> {
        let (sent_ms, last_contact) = self.heard?;
        let held_ms = now.saturating_sub(last_contact).as_millis() as u64;
        Some(HeartbeatEcho { sent_ms, held_ms })
    }

    /// Time that the way takes now; one whose echo does not come takes at least as long as that.
    fn time(&self, now: CoreTime) -> Option<Duration> {
        let (took, at) = self.took?;
        let missing = now.saturating_sub(at).saturating_sub(ECHO_PAUSE);
        Some(took.max(missing))
    }
}

impl EntryCore {
    /// Puts into a heartbeat what is for one peer alone.
    pub(super) fn heartbeat_for(&self, peer: PeerAddress, news: &HeartbeatBody) -> HeartbeatBody {
        HeartbeatBody {
            sent_ms: self.now.as_millis() as u64,
            echo: self
                .peers
                .get(&peer)
                .and_then(|view| view.echo.echo(self.now)),
            ..news.clone()
        }
    }

    /// Time that the way to the leader and back takes: a question that is sent again before its
    /// answer can have come goes over the same full link.
    pub(super) fn round_trip_to_leader(&self) -> Duration {
        let leader = self.leader.as_ref().map(|leader| leader.address);
        let peer = leader.and_then(|leader| self.peers.get(&leader));
        let echo = peer.map(|peer| &peer.echo);
        let time = if self.is_behind_hubs() {
            // Echoes come at the slow pace: a missing one would count as a way of a second and a half,
            // and the question be sent again when its caller's time is nearly over. What hubs tell of
            // the leader's silence holds questions back sooner.
            echo.and_then(|echo| echo.took).map(|(took, _)| took)
        } else {
            echo.and_then(|echo| echo.time(self.now))
        };
        time.unwrap_or_default().min(MAX_ROUND_TRIP)
    }

    /// Least time that a heartbeat and its echo take among the near members that live; nothing while
    /// there are too few.
    pub(super) fn least_round_trip(&self) -> Duration {
        let preferred = |address: &&PeerAddress| self.preferred.contains(address);
        let time = |peer: &PeerView| peer.echo.time(self.now).filter(|_| peer.is_live(self.now));
        let peers = self.peers.iter().filter(|(address, _)| preferred(address));
        let times: Vec<Duration> = peers.filter_map(|(_, peer)| time(peer)).collect();
        if times.len() < PEERS_AT_LEAST {
            return Duration::ZERO;
        }
        times.into_iter().min().unwrap_or_default()
    }
}
