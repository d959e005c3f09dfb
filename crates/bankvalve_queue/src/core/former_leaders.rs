//! Leaders of before: until when they may have had workers hold what they run.
//!
//! A new leader gives up the runs of a worker that does not answer it once no hold can last any
//! more. It was not there when the holds were asked for, so what it may assume rests on two promises
//! that each leader keeps:
//!
//! - *Certain:* without more, a hold that it asks for ends [`LEASE_DURATION`] after the last moment at which the
//!   table is known to have had its row. Whoever claims the row has thereby outlived that moment.
//! - *In touch:* it goes beyond that, for as long as the table is away for all, only while each peer
//!   that it was in touch with lately still hears it. An instance that was in touch and hears the
//!   leader no more knows that the leader has stopped going beyond, whether it is dead, frozen or cut
//!   off.
//!
//! So a successor that was in touch waits for some 6.5 s from the leader's last heartbeat at most, in
//! place of 25 s for a leader of which nothing is heard any more. One that was not in touch waits for
//! the time for which a leader goes on without being sure that it leads.

use std::time::Duration;

use super::election::LeaderView;
use super::lease_renewal::{LEASE_DURATION, SLOW_CLOCK_FACTOR, UNCONFIRMED_LIMIT};
use super::EntryCore;
use crate::guard::SiteGuard;
use crate::ids::CoreTime;
use crate::peer::{HeartbeatBody, PeerAddress};

/// A peer that has heard what was sent so lately is in touch: three heartbeats of a far member, each
/// way, and a slow turn.
const IN_TOUCH: Duration = Duration::from_millis(1_300);
/// Time before the last certain moment in which a peer was in touch that must be so still: such a
/// peer may rely on it.
const TOUCH_MEMORY: Duration = Duration::from_secs(10);
/// A successor that was in touch with a leader this lately relies on it: half of the time above, so
/// that the two need not agree on the moment.
const TOUCH_RELIED_ON: Duration = Duration::from_secs(5);
/// A leader that no peer has heard for so long may have a successor: less than the silence after which
/// the first one claims.
const UNHEARD_LONG: Duration = Duration::from_millis(600);
/// A leader that was certain so lately asks for holds from that moment on: under load each write makes
/// it certain, some forty times a second.
const CERTAIN_LATELY: Duration = Duration::from_millis(300);
/// Added for the ways of orders and for readings of workers' clocks.
const ORDER_SLACK: Duration = Duration::from_millis(60);

/// A leader of before.
#[derive(Clone, Debug)]
struct FormerLeader {
    address: PeerAddress,
    life: u64,
    epoch: u64,
    /// When it has surely stopped prolonging holds, beyond what was certain.
    stops_by: CoreTime,
    /// Whether that is known, and not what could be at worst.
    known: bool,
    /// Longest hold that it asked for.
    hold: Duration,
}

/// Leaders of before whose holds may still last.
#[derive(Debug, Default)]
pub(super) struct FormerLeaders {
    leaders: Vec<FormerLeader>,
    /// Latest epoch of which it is known who leads or led.
    latest: u64,
    /// Until when holds of leaders may last of which this instance never heard.
    missed_until: CoreTime,
}

impl FormerLeaders {
    /// Another epoch is heard of.
    ///
    /// Leaders between two that it knows are reckoned with as if each went on for as long as one may. Of
    /// those before its first one an instance that has just started tells nothing: after a loss of all
    /// each wait would be 25 s. What the ledger has of a worker's hold then goes before the own reckoning.
    fn note_epoch(&mut self, epoch: u64, now: CoreTime, longest: Duration) {
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
                hold: longest,
            };
            self.add(unknown, now, longest);
        }
    }

    /// Tells whether leaders may have been missed whose holds may still last.
    pub(super) fn may_lack_some(&self, now: CoreTime) -> bool {
        now < self.missed_until
    }

    /// When all holds that they asked for are surely over.
    pub(super) fn leases_expire_at(&self) -> CoreTime {
        let over = |former: &FormerLeader| {
            former.stops_by + former.hold.mul_f64(SLOW_CLOCK_FACTOR) + ORDER_SLACK
        };
        self.leaders.iter().map(over).max().unwrap_or_default()
    }

    /// Longest time for which a hold lasts that any of them asked for: of a worker that has taken up the
    /// next token, no hold of theirs is younger than that.
    pub(super) fn longest_lease(&self) -> Duration {
        let holds = self.leaders.iter().map(|former| former.hold);
        holds.max().unwrap_or_default().mul_f64(SLOW_CLOCK_FACTOR) + ORDER_SLACK
    }

    /// Whether it is known of all of them when they stopped.
    pub(super) fn are_known(&self) -> bool {
        self.leaders.iter().all(|former| former.known)
    }

    fn add(&mut self, former: FormerLeader, now: CoreTime, longest: Duration) {
        let over = |old: &FormerLeader| now > old.stops_by + longest * 2;
        self.leaders
            .retain(|old| !over(old) && old.epoch != former.epoch);
        self.leaders.push(former);
    }

    /// Takes from a heartbeat that a former leader's life is over, or that it knows that it does not
    /// lead.
    pub(super) fn note_heartbeat(
        &mut self,
        from: PeerAddress,
        news: &HeartbeatBody,
        now: CoreTime,
    ) {
        for former in self
            .leaders
            .iter_mut()
            .filter(|former| former.address == from)
        {
            let deposed = !news.leading && news.epoch > former.epoch;
            // A late word of an earlier life says nothing of it: lives are the times at which they began.
            if news.life > former.life || deposed {
                former.stops_by = former.stops_by.min(now);
                former.known = true;
                if news.hold_ms > 0 {
                    former.hold = Duration::from_millis(news.hold_ms);
                }
            }
        }
    }
}

impl EntryCore {
    /// Longest hold that is asked of workers.
    pub(super) fn lease_duration(&self) -> Duration {
        LEASE_DURATION.min(self.settings.hold_limit)
    }

    /// Another epoch is heard of.
    pub(super) fn note_epoch(&mut self, epoch: u64) {
        let longest = self.settings.hold_limit;
        self.former_leaders.note_epoch(epoch, self.now, longest);
    }

    /// Notes that another leads after `old`, or this instance.
    pub(super) fn note_former_leader(&mut self, old: &LeaderView) {
        let now = self.now;
        let known = self.enforces(SiteGuard::KnownHolds);
        let heard = self.in_touch_until(old).filter(|_| known);
        let (stops_by, known) = match (self.has_ended(old), heard) {
            (true, _) => (now, true),
            (false, Some(at)) => (now.max(at + IN_TOUCH), true),
            (false, None) => (now + UNCONFIRMED_LIMIT, false),
        };
        let hold = self.told_hold(old).unwrap_or(self.settings.hold_limit);
        self.add_former_leader(old, stops_by, known, hold);
    }

    /// Longest hold that a leader asked for, as it or another life at its address has told.
    fn told_hold(&self, old: &LeaderView) -> Option<Duration> {
        if old.address == self.settings.address {
            return Some(self.lease_duration());
        }
        let told = self.peers.get(&old.address)?.heartbeat.hold_ms;
        (told > 0 && self.enforces(SiteGuard::KnownHolds)).then(|| Duration::from_millis(told))
    }

    /// Takes from what all members tell that a leader of before, of whose end nothing is known, is in
    /// touch with nobody, and so does not go beyond what was certain.
    ///
    /// After a loss of all those that come back were in touch with nobody. But whoever the leader could
    /// be in touch with is a member: if all others are heard, and none of them hears it, nobody is.
    pub(super) fn note_unreachable_leaders(&mut self) {
        if self.former_leaders.are_known() || !self.enforces(SiteGuard::KnownHolds) {
            return;
        }
        let (now, own) = (self.now, self.lease_duration());
        let mut leaders = std::mem::take(&mut self.former_leaders.leaders);
        for former in leaders.iter_mut().filter(|former| !former.known) {
            if self.nobody_hears(former) {
                former.stops_by = former.stops_by.min(now);
                former.known = true;
                // Members of one version ask for the same.
                former.hold = former.hold.min(own);
            }
        }
        self.former_leaders.leaders = leaders;
    }

    fn nobody_hears(&self, former: &FormerLeader) -> bool {
        // One that was missed has no address by which members could tell of it.
        let named = former.life > 0 && self.members_known;
        let mut others = self
            .peers
            .iter()
            .filter(|(address, _)| **address != former.address);
        let heard = self.peers.get(&former.address);
        let silent = heard.is_none_or(|peer| !peer.is_live(self.now));
        named
            && silent
            && others.all(|(_, peer)| {
                let age = Duration::from_millis(peer.heartbeat.leader_age_ms);
                let hears = peer.heartbeat.leader == Some(former.address) && age < IN_TOUCH;
                peer.is_live(self.now) && !hears
            })
    }

    /// Notes that the own lead is over, or one whose leader has told that it stopped.
    pub(super) fn note_ended_leader(&mut self, old: &LeaderView) {
        let hold = self.told_hold(old).unwrap_or(self.settings.hold_limit);
        self.add_former_leader(old, self.now, true, hold);
    }

    fn add_former_leader(
        &mut self,
        old: &LeaderView,
        stops_by: CoreTime,
        known: bool,
        hold: Duration,
    ) {
        let former = FormerLeader {
            address: old.address,
            life: old.life,
            epoch: old.epoch,
            stops_by,
            known,
            hold,
        };
        let longest = self.settings.hold_limit;
        self.former_leaders.add(former, self.now, longest);
    }

    /// Tells whether a leader's life is surely over. A port that refuses is no proof: a cut may answer
    /// so.
    fn has_ended(&self, old: &LeaderView) -> bool {
        old.ended || old.address == self.settings.address
    }

    /// When a leader was last heard that counted this instance among the peers that must hear it.
    fn in_touch_until(&self, old: &LeaderView) -> Option<CoreTime> {
        // On a site of many members a leader hears the far ones too seldom for that.
        let counted = !self.has_many_members() || self.preferred.contains(&self.settings.address);
        let peer = self.peers.get(&old.address).filter(|_| counted)?;
        let lately = |at: &CoreTime| self.age(*at) < TOUCH_RELIED_ON;
        let mutual = peer.echo.is_mutual() && peer.echo.contact().as_ref().is_some_and(lately);
        let same_life = peer.heartbeat.life == old.life;
        peer.echo
            .last_contact()
            .filter(|at| mutual && same_life && lately(at))
    }

    /// Latest moment until which this leader may have workers hold what they run.
    pub(super) fn lease_bound(&self) -> CoreTime {
        let hold = self.lease_duration();
        let Some(lead) = self.lead.as_deref() else {
            return self.now;
        };
        let certain = (lead.confirmed_at + hold).min(self.now + hold);
        // Peers are gone through only where it is worth it: this is asked for each look and start.
        let fresh = self.age(lead.confirmed_at) < CERTAIN_LATELY;
        if !fresh
            && (self.all_are_in_touch(lead.confirmed_at)
                || !self.enforces(SiteGuard::LeaderInTouch))
        {
            self.now + hold
        } else {
            certain
        }
    }

    /// Tells whether this leader reaches nobody: no peer that was in touch lately has heard it for as long
    /// as it takes until another claims, and the table has not told since that it leads.
    pub(super) fn is_cut_off(&self) -> bool {
        let Some(lead) = self.lead.as_deref() else {
            return false;
        };
        let since = lead.confirmed_at.saturating_sub(TOUCH_MEMORY);
        let contacts = self.peers.values().filter_map(|peer| peer.echo.contact());
        let last = contacts.filter(|at| *at >= since).max();
        let long = |at: CoreTime| self.age(at) > UNHEARD_LONG;
        long(lead.confirmed_at) && last.is_some_and(long)
    }

    /// Tells whether each peer still hears this leader that may rely on it. One that no peer has heard
    /// at all, though there are some, is in touch with nobody: it may be cut off.
    fn all_are_in_touch(&self, certain_at: CoreTime) -> bool {
        let since = certain_at.saturating_sub(TOUCH_MEMORY);
        let mut contacts = self.peers.iter().filter_map(|(address, peer)| {
            let relies = !self.has_slow_heartbeat(*address) && !peer.heartbeat.stopping;
            peer.echo.contact().filter(|at| relies && *at >= since)
        });
        let Some(first) = contacts.next() else {
            return self.peers.is_empty();
        };
        contacts.fold(first, CoreTime::min) + IN_TOUCH > self.now
    }
}
