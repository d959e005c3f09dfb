//! Former leaders: until when the leases that they requested from workers may last.
//!
//! A new leader declares the runs of a worker that does not answer lost once no lease can last any longer.
//! It has not seen the requests for these leases, so its assumptions rely on two rules that every leader
//! follows:
//!
//! - *Confirmed leadership:* normally, a lease that it requests ends [`LEASE_DURATION`] after the last time
//!   at which the table is known to have had its row. An instance that claims the row does so after that
//!   time.
//! - *Mutual contact:* while the table is unavailable to all instances, it requests longer leases, but only
//!   as long as each peer that was recently in mutual contact still receives its heartbeats. An instance that
//!   was in mutual contact and no longer receives them knows that the leader has stopped requesting longer
//!   leases, whether it has ended, is frozen or is cut off.
//!
//! So a successor that was in mutual contact waits at most about 6.5 s from the leader's last heartbeat,
//! instead of 25 s for a leader from which nothing arrives any more. A successor that was not waits for the
//! time for which a leader continues without confirmed leadership.
//!
//! What one instance knows in this way travels with its heartbeats, as the time until all leases of leaders before
//! an epoch have expired. An instance that was cut off learns from them about leaders that it has missed. Only the
//! leaders since that epoch are left for it to judge.

use std::time::Duration;

use super::election::LeaderView;
use super::lease_renewal::{LEASE_DURATION, SLOW_CLOCK_FACTOR, UNCONFIRMED_LIMIT};
use super::EntryCore;
use crate::guard::SiteGuard;
use crate::ids::CoreTime;
use crate::peer::{FormerLeaseBound, HeartbeatBody, PeerAddress};

/// Age up to which a heartbeat that a peer has received shows that the peer is in contact: three heartbeat
/// intervals of a non-preferred member, the round trip, and a slow iteration of the event loop.
const IN_CONTACT_WITHIN: Duration = Duration::from_millis(1_300);
/// Time before the last confirmation of leadership. Each peer that was in contact within it must still be in
/// contact, because it may rely on that.
const CONTACT_MEMORY: Duration = Duration::from_secs(10);
/// Age of the mutual contact with a leader up to which a successor relies on it: half of [`CONTACT_MEMORY`],
/// so that the two need not agree on the exact time.
const RELIED_CONTACT_AGE: Duration = Duration::from_secs(5);
/// Time after which a leader whose heartbeats reach no peer may have a successor: less than the time without
/// contact after which the first one claims.
const CUT_OFF_AFTER: Duration = Duration::from_millis(600);
/// Age of the last confirmation up to which leases are counted from that confirmation: under load each write
/// confirms the leadership, about forty times a second.
const RECENT_CONFIRMATION: Duration = Duration::from_millis(300);
/// Added for the latency of orders and of readings of workers' clocks.
const ORDER_SLACK: Duration = Duration::from_millis(60);

/// A former leader.
#[derive(Clone, Debug)]
struct FormerLeader {
    address: PeerAddress,
    life: u64,
    epoch: u64,
    /// Time by which it has stopped requesting leases that go beyond its confirmed leadership.
    stops_by: CoreTime,
    /// Whether that time is known, rather than the worst case.
    known: bool,
    /// Longest lease that it requested.
    lease: Duration,
    /// Time by which its leases have expired according to a peer.
    expired_by: Option<CoreTime>,
}

impl FormerLeader {
    /// Returns when all leases that it requested have expired.
    fn leases_expire_at(&self) -> CoreTime {
        let expiry = self.stops_by + self.lease.mul_f64(SLOW_CLOCK_FACTOR) + ORDER_SLACK;
        self.expired_by.map_or(expiry, |at| at.min(expiry))
    }
}

/// Former leaders whose leases may still last.
#[derive(Debug, Default)]
pub(super) struct FormerLeaders {
    leaders: Vec<FormerLeader>,
    /// Latest epoch whose leader is known.
    latest: u64,
    /// Until when leases of leaders that are unknown to this instance may last.
    missed_until: CoreTime,
}

impl FormerLeaders {
    /// Records that an epoch is known.
    ///
    /// An unknown leader between two known epochs is assumed to have continued for as long as a leader may.
    /// An instance that has just started assumes nothing about leaders before the first epoch that it learns
    /// of, because after a restart of all instances each wait would be 25 s. The ledger's record of a
    /// worker's lease then takes precedence over the calculation here.
    fn record_epoch(&mut self, epoch: u64, now: CoreTime, longest: Duration) {
        let first = self.latest == 0;
        let missed = epoch > self.latest + 1;
        self.latest = self.latest.max(epoch);
        if first && missed {
            self.missed_until = now + UNCONFIRMED_LIMIT + longest * 2;
        } else if missed {
            let unknown = FormerLeader {
                address: PeerAddress::from(([0, 0, 0, 0], 0)),
                life: 0,
                epoch: epoch - 1,
                stops_by: now + UNCONFIRMED_LIMIT,
                known: false,
                lease: longest,
                expired_by: None,
            };
            self.add(unknown, now, longest);
        }
    }

    /// Returns whether there may be unknown leaders whose leases still last.
    pub(super) fn may_miss_leaders(&self, now: CoreTime) -> bool {
        now < self.missed_until
    }

    /// Returns when all leases that former leaders requested have expired.
    pub(super) fn leases_expire_at(&self) -> CoreTime {
        let leaders = self.leaders.iter();
        let expiry = leaders.map(FormerLeader::leases_expire_at).max();
        expiry.unwrap_or_default()
    }

    /// Returns the bound on the leases of all leaders before the latest known epoch, for peers; `None` if no epoch
    /// is known.
    pub(super) fn bound(&self, now: CoreTime) -> Option<FormerLeaseBound> {
        let expire_at = self.leases_expire_at().max(self.missed_until);
        let remaining = expire_at.saturating_sub(now);
        (self.latest > 0).then(|| FormerLeaseBound {
            before_epoch: self.latest,
            remaining_ms: remaining.as_micros().div_ceil(1_000) as u64,
            known: self.are_known() && !self.may_miss_leaders(now),
        })
    }

    /// Records a peer's bound on the leases of former leaders. The time that the bound took to arrive only makes
    /// the wait longer.
    pub(super) fn record_bound(&mut self, bound: Option<FormerLeaseBound>, now: CoreTime) {
        let Some(bound) = bound else {
            return;
        };
        // The local clock may run faster than the peer's.
        let remaining = Duration::from_millis(bound.remaining_ms).mul_f64(SLOW_CLOCK_FACTOR);
        let expired_by = now + remaining;
        let covered = |former: &&mut FormerLeader| former.epoch < bound.before_epoch;
        for former in self.leaders.iter_mut().filter(covered) {
            if expired_by < former.leases_expire_at() {
                former.expired_by = Some(expired_by);
                former.known |= bound.known;
            }
        }
    }

    /// Returns the longest time for which a lease of any former leader lasts. A worker that has accepted a
    /// later token accepts no more leases from them, so theirs expire within this time.
    pub(super) fn longest_lease(&self) -> Duration {
        let leases = self.leaders.iter().map(|former| former.lease);
        leases.max().unwrap_or_default().mul_f64(SLOW_CLOCK_FACTOR) + ORDER_SLACK
    }

    /// Returns whether the times at which all former leaders stopped are known.
    pub(super) fn are_known(&self) -> bool {
        self.leaders.iter().all(|former| former.known)
    }

    fn add(&mut self, former: FormerLeader, now: CoreTime, longest: Duration) {
        let expired = |old: &FormerLeader| now > old.stops_by + longest * 2;
        self.leaders
            .retain(|old| !expired(old) && old.epoch != former.epoch);
        self.leaders.push(former);
    }

    /// Learns from a heartbeat that a former leader's process has ended, or that it knows that it no longer
    /// leads.
    pub(super) fn record_heartbeat(
        &mut self,
        from: PeerAddress,
        body: &HeartbeatBody,
        now: CoreTime,
    ) {
        for former in self
            .leaders
            .iter_mut()
            .filter(|former| former.address == from)
        {
            let stepped_down = !body.leading && body.epoch > former.epoch;
            // A delayed heartbeat of an earlier process proves neither. A process is numbered by its start
            // time.
            if body.life > former.life || stepped_down {
                former.stops_by = former.stops_by.min(now);
                former.known = true;
                if body.hold_ms > 0 {
                    former.lease = Duration::from_millis(body.hold_ms);
                }
            }
        }
    }
}

impl EntryCore {
    /// Returns the longest lease that is requested from workers.
    pub(super) fn lease_duration(&self) -> Duration {
        LEASE_DURATION.min(self.settings.hold_limit)
    }

    /// Records that an epoch is known.
    pub(super) fn record_epoch(&mut self, epoch: u64) {
        let longest = self.settings.hold_limit;
        self.former_leaders.record_epoch(epoch, self.now, longest);
    }

    /// Records that another instance or this one has succeeded `old` as leader.
    pub(super) fn record_former_leader(&mut self, old: &LeaderView) {
        let now = self.now;
        let known = self.enforces(SiteGuard::KnownHolds);
        let last_heartbeat = self.mutual_contact_until(old).filter(|_| known);
        let (stops_by, known) = match (self.has_ended(old), last_heartbeat) {
            (true, _) => (now, true),
            (false, Some(at)) => (now.max(at + IN_CONTACT_WITHIN), true),
            (false, None) => (now + UNCONFIRMED_LIMIT, false),
        };
        let lease = self.reported_lease(old).unwrap_or(self.settings.hold_limit);
        self.add_former_leader(old, stops_by, known, lease);
    }

    /// Returns the longest lease that a leader requested, according to heartbeats of any process at its
    /// address.
    fn reported_lease(&self, old: &LeaderView) -> Option<Duration> {
        if old.address == self.settings.address {
            return Some(self.lease_duration());
        }
        let reported = self.peers.get(&old.address)?.heartbeat.hold_ms;
        (reported > 0 && self.enforces(SiteGuard::KnownHolds))
            .then(|| Duration::from_millis(reported))
    }

    /// Finds former leaders whose end is unknown but which are in contact with no peer, according to the
    /// heartbeats of all members. Such a leader requests no leases that go beyond its confirmed leadership.
    ///
    /// After a restart of all instances, none of them was in contact with the leader. But only members can be
    /// in contact with it: if all other members are live and none receives its heartbeats, no peer is.
    pub(super) fn record_unreachable_leaders(&mut self) {
        if self.former_leaders.are_known() || !self.enforces(SiteGuard::KnownHolds) {
            return;
        }
        let (now, local_lease) = (self.now, self.lease_duration());
        let mut leaders = std::mem::take(&mut self.former_leaders.leaders);
        for former in leaders.iter_mut().filter(|former| !former.known) {
            if self.is_out_of_contact(former) {
                former.stops_by = former.stops_by.min(now);
                former.known = true;
                // Members of the same version request the same lease.
                former.lease = former.lease.min(local_lease);
            }
        }
        self.former_leaders.leaders = leaders;
    }

    fn is_out_of_contact(&self, former: &FormerLeader) -> bool {
        // The address of an unknown leader is not known, so no heartbeat can refer to it.
        let has_address = former.life > 0 && self.member_rows.are_complete();
        let mut others = self
            .peers
            .iter()
            .filter(|(address, _)| **address != former.address);
        let former_peer = self.peers.get(&former.address);
        let not_live = former_peer.is_none_or(|peer| !peer.is_live(self.now));
        has_address
            && not_live
            && others.all(|(_, peer)| {
                let age = Duration::from_millis(peer.heartbeat.leader_age_ms);
                let in_contact =
                    peer.heartbeat.leader == Some(former.address) && age < IN_CONTACT_WITHIN;
                peer.is_live(self.now) && !in_contact
            })
    }

    /// Records that this instance's leadership has ended, or that of a leader that reported that it stopped.
    pub(super) fn record_ended_leader(&mut self, old: &LeaderView) {
        let lease = self.reported_lease(old).unwrap_or(self.settings.hold_limit);
        self.add_former_leader(old, self.now, true, lease);
    }

    fn add_former_leader(
        &mut self,
        old: &LeaderView,
        stops_by: CoreTime,
        known: bool,
        lease: Duration,
    ) {
        let former = FormerLeader {
            address: old.address,
            life: old.life,
            epoch: old.epoch,
            stops_by,
            known,
            lease,
            expired_by: None,
        };
        let longest = self.settings.hold_limit;
        self.former_leaders.add(former, self.now, longest);
    }

    /// Returns whether a leader's process is known to have ended. A refused connection does not show that: a
    /// network cut may have the same effect.
    fn has_ended(&self, old: &LeaderView) -> bool {
        old.ended || old.address == self.settings.address
    }

    /// Returns when the last heartbeat came from a leader that required this instance to receive its
    /// heartbeats; `None` if it did not.
    fn mutual_contact_until(&self, old: &LeaderView) -> Option<CoreTime> {
        // On a large site, a leader requires this of preferred members only: the others receive its
        // heartbeats too rarely.
        let is_required = !self.is_large_site() || self.preferred.contains(&self.settings.address);
        let peer = self.peers.get(&old.address).filter(|_| is_required)?;
        let is_recent = |at: &CoreTime| self.age(*at) < RELIED_CONTACT_AGE;
        let mutual = peer.echo.is_mutual()
            && peer
                .echo
                .last_acknowledged()
                .as_ref()
                .is_some_and(is_recent);
        let same_life = peer.heartbeat.life == old.life;
        peer.echo
            .last_contact()
            .filter(|at| mutual && same_life && is_recent(at))
    }

    /// Returns the latest time until which this leader may request leases.
    pub(super) fn lease_bound(&self) -> CoreTime {
        let lease = self.lease_duration();
        let Some(lead) = self.lead.as_deref() else {
            return self.now;
        };
        let confirmed_bound = (lead.confirmed_at + lease).min(self.now + lease);
        // Scans the peers only if that can make a difference, because this runs for each poll and start.
        let recently_confirmed = self.age(lead.confirmed_at) < RECENT_CONFIRMATION;
        if !recently_confirmed
            && (self.all_in_contact(lead.confirmed_at) || !self.enforces(SiteGuard::LeaderInTouch))
        {
            self.now + lease
        } else {
            confirmed_bound
        }
    }

    /// Returns whether this leader is cut off: no peer that was recently in contact has received a heartbeat
    /// for as long as it takes until another instance claims, and the table has not confirmed the leadership
    /// since then.
    pub(super) fn is_cut_off(&self) -> bool {
        let Some(lead) = self.lead.as_deref() else {
            return false;
        };
        let since = lead.confirmed_at.saturating_sub(CONTACT_MEMORY);
        let contacts = self
            .peers
            .values()
            .filter_map(|peer| peer.echo.last_acknowledged());
        let last = contacts.filter(|at| *at >= since).max();
        let too_long = |at: CoreTime| self.age(at) > CUT_OFF_AFTER;
        too_long(lead.confirmed_at) && last.is_some_and(too_long)
    }

    /// Returns whether each peer that may rely on this leader still receives its heartbeats. If no such
    /// peer was recently in contact although there are peers, the leader may be cut off.
    fn all_in_contact(&self, last_confirmed: CoreTime) -> bool {
        let since = last_confirmed.saturating_sub(CONTACT_MEMORY);
        let mut contacts = self.peers.iter().filter_map(|(address, peer)| {
            let may_rely = !self.has_slow_heartbeat(*address) && !peer.heartbeat.stopping;
            peer.echo
                .last_acknowledged()
                .filter(|at| may_rely && *at >= since)
        });
        let Some(first) = contacts.next() else {
            return self.peers.is_empty();
        };
        contacts.fold(first, CoreTime::min) + IN_CONTACT_WITHIN > self.now
    }
}
