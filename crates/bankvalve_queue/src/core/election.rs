//! Who leads: members' rows, heartbeats, suspicion, and the claim of the leader's row.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::lead::LeadState;
use super::store_link::{StorePurpose, CELL_TABLE, LEAD_PART, MEMBER_PART};
use super::EntryCore;
use crate::ids::CoreTime;
use crate::peer::{HeartbeatNews, PeerAddress, PeerMessage};
use crate::store::{RowCondition, RowKey, RowWrite, StoreOutcome, StoreRequest, StoredRow};

/// Time between two heartbeats; a takeover within about a second needs some four of them.
const HEARTBEAT: Duration = Duration::from_millis(160);
/// Silence after which a leader is suspected: four heartbeats and the delay of a slow one.
const SUSPECT_AFTER: Duration = Duration::from_millis(750);
/// A peer that heard the leader this lately speaks against the suspicion.
const HEARD_LATELY: Duration = Duration::from_millis(550);
/// Suspicion of an instance that no peer answers: it is more likely cut off itself.
const ALONE_AFTER: Duration = Duration::from_millis(2_500);
/// Pause for each peer that comes first in the order of claims.
const RANK_PAUSE: Duration = Duration::from_millis(120);
/// A peer that was heard this lately counts as alive.
pub(super) const PEER_ALIVE: Duration = Duration::from_millis(900);
/// Silence after which a member's row is dropped.
const DROP_MEMBER_AFTER: Duration = Duration::from_secs(60);
/// Silence of the table after which a leader tells its peers, which then ask the table.
const TROUBLE_AFTER: Duration = Duration::from_millis(800);
/// Time between two such questions.
const PROBE_EVERY: Duration = Duration::from_millis(250);
/// Longest that a planned stop waits for a write before it lets a peer lead.
const STOP_FLUSH: Duration = Duration::from_millis(300);
/// Pause before a claim is tried again; it doubles with each one that the table does not answer.
const CLAIM_PAUSE: Duration = Duration::from_millis(120);
/// Most doublings of it.
const CLAIM_DOUBLINGS: u32 = 3;
/// Silence of a leader after which requests are refused at once: a takeover takes some 1.2 s.
const LEADERLESS: Duration = Duration::from_millis(2_000);
/// Wait for a leader's own heartbeat after its row was read.
const ROW_GRACE: Duration = Duration::from_millis(400);

/// The leader, as far as is known.
#[derive(Clone, Debug)]
pub(super) struct LeaderView {
    pub(super) address: PeerAddress,
    pub(super) life: u64,
    pub(super) epoch: u64,
    /// Version of its row; 0 if only peers told of it.
    pub(super) row_version: u64,
    pub(super) heard_at: CoreTime,
    /// Whether its process is surely gone: its port refused, or another life answers there.
    pub(super) gone: bool,
}

/// A peer, as far as is known.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerView {
    pub(super) heard_at: Option<CoreTime>,
    pub(super) known_at: CoreTime,
    pub(super) news: HeartbeatNews,
}

/// A claim on its way.
#[derive(Debug)]
pub(super) struct ClaimState {
    pub(super) epoch: u64,
    pub(super) busy: bool,
    pub(super) next_at: CoreTime,
}

/// Content of the leader's row.
#[derive(Debug, Serialize, Deserialize)]
struct LeaderRow {
    address: PeerAddress,
    life: u64,
    epoch: u64,
}

fn leader_key() -> RowKey {
    RowKey::new(CELL_TABLE, LEAD_PART, "leader")
}

impl EntryCore {
    fn member_key(&self, address: PeerAddress) -> RowKey {
        RowKey::new(CELL_TABLE, MEMBER_PART, address.to_string())
    }

    pub(super) fn is_ready(&self) -> bool {
        self.table.is_some() && !self.stopping && (self.lead.is_some() || self.leader_is_heard())
    }

    /// Tells whether nobody has led for longer than a takeover takes.
    pub(super) fn is_leaderless(&self) -> bool {
        let silence = match &self.leader {
            Some(leader) => self.age(leader.heard_at),
            None => self.uptime(),
        };
        self.lead.is_none() && silence > LEADERLESS
    }

    fn leader_is_heard(&self) -> bool {
        let limit = SUSPECT_AFTER * 2;
        self.leader
            .as_ref()
            .is_some_and(|leader| self.age(leader.heard_at) < limit)
    }

    /// Keeps the own row in place and drops those of members that are long gone.
    pub(super) fn run_membership(&mut self) {
        if self.registered || self.store_tickets.values().any(is_register) {
            return;
        }
        let key = self.member_key(self.settings.address);
        let value = self.settings.life.to_be_bytes().to_vec();
        let writes = vec![RowWrite { key, value }];
        let request = StoreRequest::Transact {
            conditions: Vec::new(),
            writes,
            removals: Vec::new(),
        };
        self.ask_store(StorePurpose::Register, request);
    }

    pub(super) fn end_register(&mut self, outcome: &StoreOutcome) {
        self.registered = matches!(outcome, StoreOutcome::Applied { .. });
    }

    pub(super) fn read_leader_row(&mut self) {
        self.ask_leader_row(StorePurpose::CatchUp);
    }

    pub(super) fn ask_leader_row(&mut self, purpose: StorePurpose) {
        let table = CELL_TABLE.to_owned();
        let part = LEAD_PART.to_owned();
        let from = String::new();
        self.ask_store(purpose, StoreRequest::Read { table, part, from });
    }

    pub(super) fn take_cell_row(&mut self, key: &RowKey, value: Option<&[u8]>, version: u64) {
        if key.part == LEAD_PART {
            if let Some(value) = value {
                self.take_leader_row(value, version);
            }
            return;
        }
        let Ok(address) = key.key.parse::<PeerAddress>() else {
            return;
        };
        if address == self.settings.address {
            if value.is_none() && !self.stopping {
                self.registered = false;
            }
            return;
        }
        if value.is_none() {
            self.peers.remove(&address);
            return;
        }
        let now = self.now;
        self.peers.entry(address).or_insert_with(|| PeerView {
            known_at: now,
            ..PeerView::default()
        });
    }

    fn take_leader_row(&mut self, value: &[u8], version: u64) {
        let Ok(row) = rmp_serde::from_slice::<LeaderRow>(value) else {
            self.log("election", "row_unreadable", String::new(), String::new());
            return;
        };
        let claimed = self.claim.as_ref().map(|claim| claim.epoch);
        if self.lead.is_none() && claimed.is_some_and(|epoch| self.is_own_claim(&row, epoch)) {
            // The change was heard of before the claim's own answer.
            self.begin_lead(row.epoch, version);
            return;
        }
        self.highest_epoch = self.highest_epoch.max(row.epoch);
        if let Some(lead) = &self.lead {
            if row.epoch > lead.epoch {
                self.depose("a later leader's row");
            } else {
                return;
            }
        }
        let newer = self
            .leader
            .as_ref()
            .is_none_or(|leader| row.epoch >= leader.epoch);
        if !newer {
            return;
        }
        let same = self
            .leader
            .as_ref()
            .is_some_and(|leader| leader.epoch == row.epoch);
        if same {
            if let Some(leader) = self.leader.as_mut() {
                leader.row_version = version;
            }
            return;
        }
        let gone = row.address == self.settings.address;
        let grace = if gone { Duration::ZERO } else { ROW_GRACE };
        self.follow(LeaderView {
            address: row.address,
            life: row.life,
            epoch: row.epoch,
            row_version: version,
            heard_at: self.now.saturating_sub(SUSPECT_AFTER - grace),
            gone,
        });
    }

    /// Follows a new leader.
    pub(super) fn follow(&mut self, leader: LeaderView) {
        let id = leader.address.to_string();
        self.log("election", "follow", id, format!("epoch {}", leader.epoch));
        self.highest_epoch = self.highest_epoch.max(leader.epoch);
        self.suspect_since = None;
        let own = leader.address == self.settings.address;
        if !own {
            let now = self.now;
            self.peers
                .entry(leader.address)
                .or_insert_with(|| PeerView {
                    known_at: now,
                    ..PeerView::default()
                });
        }
        self.leader = Some(leader);
        self.resend_asks();
    }

    /// Ends the own lead without writing anything.
    pub(super) fn depose(&mut self, why: &str) {
        let Some(lead) = self.lead.take() else {
            return;
        };
        self.counters.count("elections", "deposed");
        let id = format!("epoch {}", lead.epoch);
        self.log("election", "deposed", id, why.to_owned());
        self.worker_watch.after = None;
        // What was not kept must go from the book, so it is read anew.
        self.book = Default::default();
        self.applied = 0;
        self.catch_up_at = Some(self.now + Duration::from_millis(300));
        let own = self.settings.address;
        if self
            .leader
            .as_ref()
            .is_some_and(|leader| leader.address == own)
        {
            self.leader = None;
        }
        self.resend_asks();
    }

    pub(super) fn run_heartbeats(&mut self) {
        if self.now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = self.now + HEARTBEAT;
        let leader = self.leader.as_ref();
        let lead = self.lead.as_deref();
        let news = HeartbeatNews {
            life: self.settings.life,
            epoch: self.highest_epoch,
            leader: leader.map(|leader| leader.address),
            leading: self.lead.is_some(),
            leader_age_ms: match (&self.lead, leader) {
                (Some(_), _) => 0,
                (None, Some(leader)) => self.age(leader.heard_at).as_millis() as u64,
                (None, None) => u64::MAX,
            },
            store_trouble: lead.is_some_and(|lead| lead.trouble_since.is_some()),
            probe_age_ms: self
                .probe_answered
                .map(|at| self.age(at).as_millis() as u64),
            table_version: self.table_version(),
            stopping: self.stopping,
        };
        let peers: Vec<PeerAddress> = self.peers.keys().copied().collect();
        for peer in peers {
            self.tell(peer, PeerMessage::Heartbeat(news.clone()));
        }
        self.tell_measures();
        self.drop_gone_members();
    }

    fn drop_gone_members(&mut self) {
        if self.lead.is_none() {
            return;
        }
        let silent = |peer: &PeerView| {
            let since = peer.heard_at.unwrap_or(peer.known_at);
            self.now.saturating_sub(since) > DROP_MEMBER_AFTER
        };
        let gone = self.peers.iter().find(|(_, peer)| silent(peer));
        let Some(address) = gone.map(|(address, _)| *address) else {
            return;
        };
        self.peers.remove(&address);
        let removals = vec![self.member_key(address)];
        let request = StoreRequest::Transact {
            conditions: Vec::new(),
            writes: Vec::new(),
            removals,
        };
        self.log("members", "drop", address.to_string(), String::new());
        self.ask_store(StorePurpose::DropMember, request);
    }

    pub(super) fn take_heartbeat(&mut self, from: PeerAddress, news: HeartbeatNews) {
        let own_version = self.table_version();
        if news.table_version < own_version {
            let raw = self.table_raw.clone();
            self.tell(from, PeerMessage::Table { raw });
        }
        if let Some(lead) = &self.lead {
            if news.epoch > lead.epoch {
                self.depose("a peer knows a later epoch");
            }
        }
        if news.store_trouble {
            self.probe_store();
        }
        if news.leading {
            self.hear_leader(from, &news);
        } else if self.is_gone_leader(from, &news) {
            self.lose_leader();
        } else if let Some((over, at)) = self.predecessor_over_candidate(from, &news) {
            self.predecessor_over = Some((over, at));
        }
        let now = self.now;
        let peer = self.peers.entry(from).or_default();
        peer.heard_at = Some(now);
        peer.news = news;
    }

    /// Another life at the leader's address shows that the one that led is over.
    fn is_gone_leader(&self, from: PeerAddress, news: &HeartbeatNews) -> bool {
        self.lead.is_none()
            && self
                .leader
                .as_ref()
                .is_some_and(|leader| leader.address == from && leader.life != news.life)
    }

    fn lose_leader(&mut self) {
        let old = self.now.saturating_sub(SUSPECT_AFTER);
        if let Some(leader) = self.leader.as_mut() {
            leader.heard_at = leader.heard_at.min(old);
            leader.gone = true;
        }
    }

    /// A former leader that says it does not lead has stopped commanding.
    fn predecessor_over_candidate(
        &self,
        from: PeerAddress,
        news: &HeartbeatNews,
    ) -> Option<(u64, CoreTime)> {
        let lead = self.lead.as_ref()?;
        let (address, life) = lead.predecessor?;
        let over = from == address && (news.life != life || news.epoch >= lead.epoch);
        let unknown = self
            .predecessor_over
            .is_none_or(|(epoch, _)| epoch != lead.epoch);
        (over && unknown).then_some((lead.epoch, self.now))
    }

    fn hear_leader(&mut self, from: PeerAddress, news: &HeartbeatNews) {
        let known = self.leader.as_ref().map_or(0, |leader| leader.epoch);
        if news.epoch < self.highest_epoch {
            return;
        }
        if news.epoch > known {
            self.follow(LeaderView {
                address: from,
                life: news.life,
                epoch: news.epoch,
                row_version: 0,
                heard_at: self.now,
                gone: false,
            });
            return;
        }
        let now = self.now;
        if let Some(leader) = self.leader.as_mut() {
            if leader.address == from {
                leader.heard_at = now;
                leader.life = news.life;
                leader.gone = false;
                self.suspect_since = None;
            }
        }
    }

    /// A peer does not answer; a leader that refuses connections is suspected at once.
    pub(super) fn peer_unreached(&mut self, peer: PeerAddress, refused: bool) {
        self.counters.count("retries", "peer_unreached");
        if let Some(view) = self.peers.get_mut(&peer) {
            if refused {
                view.heard_at = None;
                view.known_at = view
                    .known_at
                    .max(self.now.saturating_sub(DROP_MEMBER_AFTER / 2));
            }
        }
        self.reassign_advice(peer);
        let leads = self.lead.is_none()
            && self
                .leader
                .as_ref()
                .is_some_and(|leader| leader.address == peer);
        if refused && leads {
            self.lose_leader();
        }
    }

    pub(super) fn live_peers(&self) -> impl Iterator<Item = (PeerAddress, &PeerView)> {
        let now = self.now;
        self.peers
            .iter()
            .filter(move |(_, peer)| {
                peer.heard_at
                    .is_some_and(|at| now.saturating_sub(at) < PEER_ALIVE)
            })
            .map(|(address, peer)| (*address, peer))
    }

    pub(super) fn run_election(&mut self) {
        if self.lead.is_some() {
            self.consider_yield();
            return;
        }
        if !self.members_known || !self.registered || self.stopping {
            return;
        }
        if let Some(claim) = &self.claim {
            if !claim.busy && self.now >= claim.next_at {
                self.claim = None;
            } else {
                return;
            }
        }
        if self.should_claim() {
            self.begin_claim();
        }
    }

    fn should_claim(&mut self) -> bool {
        if let Some(epoch) = self.asked_to_lead {
            if epoch >= self.highest_epoch {
                return true;
            }
            self.asked_to_lead = None;
        }
        let silence = match &self.leader {
            Some(leader) => self.age(leader.heard_at),
            None => SUSPECT_AFTER,
        };
        let epoch = self.highest_epoch;
        let gone = self.leader.as_ref().is_some_and(|leader| leader.gone);
        let others_hear = !gone
            && self.live_peers().any(|(_, peer)| {
                peer.news.epoch >= epoch
                    && peer.news.leader.is_some()
                    && u128::from(peer.news.leader_age_ms) < HEARD_LATELY.as_millis()
            });
        let alone = !gone && self.live_peers().next().is_none() && !self.peers.is_empty();
        let limit = if alone { ALONE_AFTER } else { SUSPECT_AFTER };
        if silence < limit || (others_hear && silence < ALONE_AFTER * 2) {
            self.suspect_since = None;
            return false;
        }
        let since = *self.suspect_since.get_or_insert(self.now);
        let leader = self.leader.as_ref().map(|leader| leader.address);
        let own = self.settings.address;
        let first = self
            .live_peers()
            .filter(|(address, peer)| {
                *address < own && Some(*address) != leader && !peer.news.stopping
            })
            .count();
        self.age(since) >= RANK_PAUSE * first as u32
    }

    fn begin_claim(&mut self) {
        let epoch = self.highest_epoch + 1;
        let version = self.leader.as_ref().map_or(0, |leader| leader.row_version);
        let row = LeaderRow {
            address: self.settings.address,
            life: self.settings.life,
            epoch,
        };
        let value = rmp_serde::to_vec(&row).expect("a leader's row can be encoded");
        let key = leader_key();
        let request = StoreRequest::Transact {
            conditions: vec![RowCondition {
                key: key.clone(),
                version,
            }],
            writes: vec![RowWrite { key, value }],
            removals: Vec::new(),
        };
        let silence = self.leader.as_ref().map(|leader| self.age(leader.heard_at));
        let detail = format!("on row version {version}, leader silent for {silence:?}");
        self.log("election", "claim", format!("epoch {epoch}"), detail);
        self.counters.count("elections", "claimed");
        self.claim = Some(ClaimState {
            epoch,
            busy: true,
            next_at: self.now + CLAIM_PAUSE,
        });
        self.ask_store(StorePurpose::Claim, request);
    }

    pub(super) fn end_claim(&mut self, outcome: StoreOutcome) {
        let Some(claim) = self.claim.as_mut() else {
            return;
        };
        claim.busy = false;
        let epoch = claim.epoch;
        self.claims_unanswered = match outcome {
            StoreOutcome::Busy | StoreOutcome::Lost => self.claims_unanswered + 1,
            _ => 0,
        };
        let doublings = self.claims_unanswered.min(CLAIM_DOUBLINGS);
        claim.next_at = self.now + CLAIM_PAUSE * 2_u32.pow(doublings);
        match outcome {
            StoreOutcome::Applied { version } if self.lead.is_none() => {
                self.begin_lead(epoch, version);
            }
            StoreOutcome::Applied { .. } => {}
            StoreOutcome::Conflict { rows } => self.lose_claim(&rows),
            // It may have been done: the row tells when it is read.
            _ => self.read_leader_row(),
        }
    }

    /// The row as it stands may also show that an earlier copy of the claim was done.
    fn lose_claim(&mut self, rows: &[StoredRow]) {
        for row in rows {
            self.take_leader_row(&row.value, row.version);
        }
    }

    fn is_own_claim(&self, row: &LeaderRow, epoch: u64) -> bool {
        row.address == self.settings.address && row.life == self.settings.life && row.epoch == epoch
    }

    /// Takes the leader's row as it was read, which may show a claim whose answer was lost.
    pub(super) fn take_leader_rows(&mut self, rows: &[StoredRow]) {
        for row in rows.iter().filter(|row| row.key == leader_key()) {
            self.take_leader_row(&row.value, row.version);
        }
    }

    fn begin_lead(&mut self, epoch: u64, row_version: u64) {
        let predecessor = self.leader.as_ref().map(|old| (old.address, old.life));
        let asked = self.asked_to_lead.take().is_some();
        self.claim = None;
        self.suspect_since = None;
        self.highest_epoch = self.highest_epoch.max(epoch);
        self.counters.count("elections", "won");
        let detail = format!("row version {row_version}, predecessor {predecessor:?}");
        self.log("election", "lead", format!("epoch {epoch}"), detail);
        let predecessor = predecessor.filter(|(address, _)| *address != self.settings.address);
        if asked || predecessor.is_none() {
            self.predecessor_over = Some((epoch, self.now));
        }
        let mut lead = LeadState::new(epoch, row_version, predecessor, self.now);
        lead.guess_error = self.measures.1.clone();
        self.lead = Some(Box::new(lead));
        self.worker_watch = Default::default();
        self.leader = Some(LeaderView {
            address: self.settings.address,
            life: self.settings.life,
            epoch,
            row_version,
            heard_at: self.now,
            gone: false,
        });
        self.next_heartbeat = self.now;
        self.run_heartbeats();
        self.load_ledger();
        self.run_watches();
    }

    /// Asks the table because it does not answer the leader.
    fn probe_store(&mut self) {
        if self.now < self.next_probe || self.lead.is_some() {
            return;
        }
        self.next_probe = self.now + PROBE_EVERY;
        self.ask_leader_row(StorePurpose::Probe);
    }

    pub(super) fn end_probe(&mut self, outcome: &StoreOutcome) {
        if let StoreOutcome::Rows { rows, .. } = outcome {
            self.probe_answered = Some(self.now);
            self.take_leader_rows(rows);
        }
    }

    /// Lets a peer lead: at a planned stop, or if the table answers it and not us.
    fn consider_yield(&mut self) {
        let now = self.now;
        let stopping = self.stopping;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let unanswered = lead
            .asked_since
            .map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let turned_away = lead.away_since.is_some();
        let silent = unanswered > TROUBLE_AFTER;
        if !turned_away && !silent {
            lead.trouble_since = None;
        } else if (turned_away || silent) && lead.trouble_since.is_none() {
            lead.trouble_since = Some(now);
            self.next_heartbeat = now;
        }
        if stopping && lead.stop_since.is_none() {
            lead.stop_since = Some(now);
        }
        let waited = lead
            .stop_since
            .map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let flushed = lead.flight.is_none() && lead.pending.is_empty();
        let stop_due = stopping && (flushed || waited > STOP_FLUSH);
        let trouble = lead.trouble_since;
        if trouble.is_none() && !stop_due {
            return;
        }
        let reaches = |peer: &PeerView| {
            let probed = peer.news.probe_age_ms.map(Duration::from_millis);
            let answered = trouble
                .zip(probed)
                .is_some_and(|(since, probed)| probed < now.saturating_sub(since));
            !peer.news.stopping && (stop_due || answered)
        };
        let heir = self.live_peers().find(|(_, peer)| reaches(peer));
        let Some(heir) = heir.map(|(address, _)| address) else {
            return;
        };
        let epoch = self.highest_epoch;
        let why = if stop_due {
            "planned stop"
        } else {
            "table away"
        };
        self.log("election", "yield", heir.to_string(), why.to_owned());
        self.counters.count("elections", "yielded");
        self.depose(why);
        self.tell(heir, PeerMessage::TakeOver { epoch });
    }

    pub(super) fn take_over(&mut self, from: PeerAddress, epoch: u64) {
        if epoch < self.highest_epoch || self.lead.is_some() || self.stopping {
            return;
        }
        self.log(
            "election",
            "asked_to_lead",
            from.to_string(),
            format!("epoch {epoch}"),
        );
        self.asked_to_lead = Some(epoch);
        self.claim = None;
        self.run_election();
    }
}

fn is_register(purpose: &StorePurpose) -> bool {
    matches!(purpose, StorePurpose::Register)
}
