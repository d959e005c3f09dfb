//! Who leads: members' rows, heartbeats, suspicion, and the claim of the leader's row.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::commit::batch_row;
use super::lead_state::LeadState;
use super::round_trip::PeerEcho;
use super::store_link::{StorePurpose, CELL_TABLE, LEAD_PART, LEDGER_TABLE};
use super::EntryCore;
use crate::guard::SiteGuard;
use crate::ids::CoreTime;
use crate::peer::{HeartbeatBody, PeerAddress};
use crate::store::{RowCondition, RowKey, RowWrite, StoreOutcome, StoreRequest, StoredRow};

/// Silence after which a leader is suspected: four heartbeats and the delay of a slow one.
const SUSPECT_AFTER: Duration = Duration::from_millis(750);
/// A peer that heard the leader this lately speaks against the suspicion.
const HEARD_LATELY: Duration = Duration::from_millis(550);
/// Suspicion of an instance that no peer answers: it is more likely cut off itself.
const ALONE_AFTER: Duration = Duration::from_millis(2_500);
/// Pause for each near member that comes first in the order of claims.
const RANK_PAUSE: Duration = Duration::from_millis(120);
/// Pause for each other member that does, once all near ones have had their time.
const FAR_RANK_PAUSE: Duration = Duration::from_millis(15);
/// Added for a member that is not near while one lives that is, and that the table answers: it has
/// the book, and as a rule the stronger processor and link.
const FAR_HOLD: Duration = Duration::from_millis(1_500);
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
    pub(super) last_contact: CoreTime,
    /// Whether its process is surely gone: its port refused, or another life answers there.
    pub(super) gone: bool,
    /// Whether a later life has answered there since.
    pub(super) ended: bool,
    /// Whether it said last that it takes no requests up yet.
    pub(super) loading: bool,
    /// Share of new jobs that it does not take on, in percent.
    pub(super) refuse_percent: u32,
}

impl LeaderView {
    /// A leader of which nothing else is known yet.
    fn new(address: PeerAddress, life: u64, epoch: u64, last_contact: CoreTime) -> Self {
        Self {
            address,
            life,
            epoch,
            row_version: 0,
            last_contact,
            gone: false,
            ended: false,
            loading: false,
            refuse_percent: 0,
        }
    }
}

/// A peer, as far as is known.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerView {
    pub(super) last_contact: Option<CoreTime>,
    pub(super) known_at: CoreTime,
    /// Processor that it has, in thousandths of a core.
    pub(super) strength: u64,
    pub(super) heartbeat: HeartbeatBody,
    pub(super) echo: PeerEcho,
    /// Whether it is heard at the slow pace of a leader and far members.
    pub(super) slow: bool,
}

/// A claim on its way.
#[derive(Debug)]
pub(super) struct ClaimState {
    pub(super) epoch: u64,
    pub(super) busy: bool,
    /// When its first copy was sent.
    pub(super) sent_at: CoreTime,
    pub(super) next_at: CoreTime,
    /// Batches of the own book, if the claim stands only where the ledger has no more.
    complete: Option<u64>,
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
    pub(super) fn is_ready(&self) -> bool {
        self.unready_reason().is_none()
    }

    /// Tells whether nobody has led for longer than a takeover takes.
    pub(super) fn is_leaderless(&self) -> bool {
        let silence = match &self.leader {
            Some(leader) => self.age(leader.last_contact),
            None => self.uptime(),
        };
        self.lead.is_none() && silence > LEADERLESS
    }

    pub(super) fn has_leader_contact(&self) -> bool {
        let limit = SUSPECT_AFTER * 2;
        self.leader
            .as_ref()
            .is_some_and(|leader| self.age(leader.last_contact) < limit)
    }

    pub(super) fn read_leader_row(&mut self) {
        self.ask_leader_row(StorePurpose::LeaderRow);
    }

    pub(super) fn ask_leader_row(&mut self, purpose: StorePurpose) {
        let table = CELL_TABLE.to_owned();
        let part = LEAD_PART.to_owned();
        let from = String::new();
        let request = StoreRequest::Read {
            table,
            part,
            from,
            limit: None,
        };
        self.send_store_request(purpose, request);
    }

    pub(super) fn handle_leader_row(&mut self, value: &[u8], version: u64) {
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
                self.step_down("a later leader's row");
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
        let last_contact = self.now.saturating_sub(SUSPECT_AFTER - grace);
        self.follow(LeaderView {
            row_version: version,
            gone,
            ..LeaderView::new(row.address, row.life, row.epoch, last_contact)
        });
    }

    /// Follows a new leader.
    pub(super) fn follow(&mut self, leader: LeaderView) {
        let id = leader.address.to_string();
        self.log("election", "follow", id, format!("epoch {}", leader.epoch));
        self.highest_epoch = self.highest_epoch.max(leader.epoch);
        self.suspect_since = None;
        if let Some(old) = self.leader.take() {
            if old.epoch < leader.epoch {
                self.note_former_leader(&old);
            }
        }
        self.note_epoch(leader.epoch);
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
        self.resend_requests();
    }

    /// Ends the own lead without writing anything.
    pub(super) fn step_down(&mut self, why: &str) {
        let Some(lead) = self.lead.take() else {
            return;
        };
        self.counters.count("elections", "deposed");
        let id = format!("epoch {}", lead.epoch);
        self.log("election", "deposed", id, why.to_owned());
        let (address, life) = (self.settings.address, self.settings.life);
        let ended = LeaderView::new(address, life, lead.epoch, self.now);
        self.note_ended_leader(&ended);
        self.worker_watch.after = None;
        // What was not kept must go from the book, so it is read anew; before the whole ledger was
        // read, nothing was added to it.
        if lead.loaded {
            self.book = Default::default();
            self.stopped_leases.clear();
            self.applied = 0;
        }
        self.catch_up_at = Some(self.now + Duration::from_millis(300));
        let own = self.settings.address;
        if self
            .leader
            .as_ref()
            .is_some_and(|leader| leader.address == own)
        {
            self.leader = None;
        }
        self.resend_requests();
    }

    /// Another life at the leader's address shows that the one that led is over.
    pub(super) fn is_gone_leader(&self, from: PeerAddress, news: &HeartbeatBody) -> bool {
        self.lead.is_none()
            && self
                .leader
                .as_ref()
                .is_some_and(|leader| leader.address == from && leader.life != news.life)
    }

    pub(super) fn mark_leader_gone(&mut self) {
        let old = self.now.saturating_sub(SUSPECT_AFTER);
        if let Some(leader) = self.leader.as_mut() {
            leader.last_contact = leader.last_contact.min(old);
            leader.gone = true;
        }
    }

    pub(super) fn note_leader_heartbeat(&mut self, from: PeerAddress, news: &HeartbeatBody) {
        let known = self.leader.as_ref().map_or(0, |leader| leader.epoch);
        if news.epoch < self.highest_epoch {
            return;
        }
        if news.epoch > known {
            self.follow(LeaderView {
                loading: news.loading,
                refuse_percent: news.refuse_percent,
                ..LeaderView::new(from, news.life, news.epoch, self.now)
            });
            return;
        }
        let now = self.now;
        if let Some(leader) = self.leader.as_mut() {
            if leader.address == from {
                leader.last_contact = now;
                leader.life = news.life;
                leader.gone = false;
                leader.ended = false;
                leader.loading = news.loading;
                leader.refuse_percent = news.refuse_percent;
                self.suspect_since = None;
            }
        }
    }

    pub(super) fn run_election(&mut self) {
        if self.lead.is_some() {
            self.consider_handover();
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
        if let Some(epoch) = self.handover_epoch {
            if epoch >= self.highest_epoch {
                return true;
            }
            self.handover_epoch = None;
        }
        let silence = match &self.leader {
            Some(leader) => self.age(leader.last_contact),
            None => SUSPECT_AFTER,
        };
        let epoch = self.highest_epoch;
        let gone = self.leader.as_ref().is_some_and(|leader| leader.gone);
        let others_hear = !gone
            && self.live_peers().any(|(_, peer)| {
                peer.heartbeat.epoch >= epoch
                    && peer.heartbeat.leader.is_some()
                    && u128::from(peer.heartbeat.leader_age_ms) < HEARD_LATELY.as_millis()
            });
        let alone = !gone && self.live_peers().next().is_none() && !self.peers.is_empty();
        let limit = if alone { ALONE_AFTER } else { SUSPECT_AFTER };
        if silence < limit || (others_hear && silence < ALONE_AFTER * 2) {
            self.suspect_since = None;
            return false;
        }
        let since = *self.suspect_since.get_or_insert(self.now);
        let (near, far) = self.higher_ranked_members();
        let waiting_for_limit = if self.defers_to_preferred() {
            FAR_HOLD
        } else {
            Duration::ZERO
        };
        self.age(since) >= RANK_PAUSE * near + FAR_RANK_PAUSE * far + waiting_for_limit
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
        let complete = self.complete_book(epoch);
        let next_batch = complete.map(|applied| RowCondition {
            key: batch_row(applied + 1),
            version: 0,
        });
        let own_row = RowCondition {
            key: key.clone(),
            version,
        };
        let guarded = self.enforces(SiteGuard::CompleteBook);
        let next_batch = next_batch.filter(|_| guarded);
        let request = StoreRequest::Transact {
            conditions: std::iter::once(own_row).chain(next_batch).collect(),
            writes: vec![RowWrite { key, value }],
            removals: Vec::new(),
        };
        // An earlier copy may be the one that is done.
        let sent_at = match self.claim_sent {
            (of, at) if of == epoch => at,
            _ => self.now,
        };
        self.claim_sent = (epoch, sent_at);
        let silence = self
            .leader
            .as_ref()
            .map(|leader| self.age(leader.last_contact));
        let detail = format!("on row version {version}, leader silent for {silence:?}");
        self.log("election", "claim", format!("epoch {epoch}"), detail);
        self.counters.count("elections", "claimed");
        self.claim = Some(ClaimState {
            epoch,
            busy: true,
            sent_at,
            next_at: self.now + CLAIM_PAUSE,
            complete,
        });
        self.send_store_request(StorePurpose::Claim, request);
    }

    /// Number of batches of the own book if a claim may require that the ledger has no more.
    ///
    /// Then the book is whole once the claim stands, and the ledger need not be read: a slow table
    /// takes half a second for that. A second claim to the same epoch requires nothing, since it
    /// could not be told from the first.
    fn complete_book(&mut self, epoch: u64) -> Option<u64> {
        let first = self.claimed_epoch < epoch;
        self.claimed_epoch = epoch;
        let followed = self.applied > 0 || self.highest_epoch == 0;
        // A leader that goes on until the claim stands writes the ledger on.
        let racing = self.handover_epoch.is_some() && !self.handover_leader_stopped;
        (first && followed && !racing && !self.catching_up).then_some(self.applied)
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
            StoreOutcome::Conflict { rows } => {
                self.lose_claim(&rows);
                self.claim_again_if_behind(&rows);
            }
            // It may have been done: the row tells when it is read.
            _ => self.read_leader_row(),
        }
    }

    /// The row as it stands may also show that an earlier copy of the claim was done.
    fn lose_claim(&mut self, rows: &[StoredRow]) {
        self.handle_leader_rows(rows);
    }

    /// The ledger had more than the own book: the claim is repeated, and the ledger read.
    fn claim_again_if_behind(&mut self, rows: &[StoredRow]) {
        let behind = rows.iter().any(|row| row.key.table == LEDGER_TABLE);
        let leader_row = rows.iter().find(|row| row.key == leader_key());
        let known = self.leader.as_ref().map_or(0, |leader| leader.row_version);
        let stands = leader_row.is_none_or(|row| row.version == known);
        if !behind || !stands || self.lead.is_some() {
            return;
        }
        if let Some(claim) = self.claim.as_mut() {
            claim.next_at = self.now;
        }
        self.log(
            "election",
            "book_behind",
            String::new(),
            self.applied.to_string(),
        );
    }

    fn is_own_claim(&self, row: &LeaderRow, epoch: u64) -> bool {
        row.address == self.settings.address && row.life == self.settings.life && row.epoch == epoch
    }

    /// Takes the leader's row as it was read, which may show a claim whose answer was lost.
    pub(super) fn handle_leader_rows(&mut self, rows: &[StoredRow]) {
        for row in rows.iter().filter(|row| row.key == leader_key()) {
            self.handle_leader_row(&row.value, row.version);
        }
    }

    fn begin_lead(&mut self, epoch: u64, row_version: u64) {
        let predecessor = self.leader.take();
        let asked = self.handover_epoch.take().is_some() && self.handover_leader_stopped;
        let complete = self.claim.as_ref().and_then(|claim| claim.complete);
        let complete = complete.is_some_and(|applied| applied == self.applied);
        let claimed_at = self.claim.as_ref().map_or(self.now, |claim| claim.sent_at);
        self.claim = None;
        self.suspect_since = None;
        self.highest_epoch = self.highest_epoch.max(epoch);
        self.counters.count("elections", "won");
        match &predecessor {
            Some(old) if asked => self.note_ended_leader(old),
            Some(old) => self.note_former_leader(old),
            None => {}
        }
        self.note_epoch(epoch);
        let before = predecessor.map(|old| (old.address, old.life));
        let detail =
            format!(
            "row version {row_version}, predecessor {before:?}, its holds over in {:?} at most, {}",
            self.former_leaders.leases_expire_at().saturating_sub(self.now),
            if self.former_leaders.are_known() { "known" } else { "assumed" }
        );
        self.log("election", "lead", format!("epoch {epoch}"), detail);
        let mut lead = LeadState::new(epoch, row_version, self.now);
        lead.confirmed_at = claimed_at;
        lead.estimate_error = self.measurements.1.clone();
        // The first heartbeat tells it.
        lead.loaded = complete;
        self.lead = Some(Box::new(lead));
        self.worker_watch = Default::default();
        let (address, life) = (self.settings.address, self.settings.life);
        self.leader = Some(LeaderView {
            row_version,
            ..LeaderView::new(address, life, epoch, self.now)
        });
        self.next_heartbeat = self.now;
        self.next_slow_heartbeat = self.now;
        self.run_heartbeats();
        if complete {
            self.end_loading();
        } else {
            self.load_ledger();
        }
        self.run_watches();
    }
}
