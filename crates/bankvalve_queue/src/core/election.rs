//! Leader election: what is known of the leader, suspicion of it, and claims of the leader's row.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::commit::batch_row;
use super::forecast::run_times::RunTimeModel;
use super::lead_state::LeadState;
use super::round_trip::PeerEcho;
use super::store_link::{StorePurpose, CELL_TABLE, LEAD_PART, LEDGER_TABLE};
use super::EntryCore;
use crate::guard::SiteGuard;
use crate::ids::CoreTime;
use crate::peer::{HeartbeatBody, PeerAddress};
use crate::policy::PolicySwitch;
use crate::store::{RowCondition, RowKey, RowWrite, StoreOutcome, StoreRequest, StoredRow};

/// Time without contact after which a leader is suspected: four heartbeats and the delay of a slow
/// one.
const SUSPECT_AFTER: Duration = Duration::from_millis(750);
/// Maximum age of a peer's last contact with the leader for which this instance does not suspect the leader.
const RECENT_LEADER_CONTACT: Duration = Duration::from_millis(550);
/// Time without contact after which an isolated instance suspects the leader. An instance that reaches no
/// peer is probably cut off itself.
const ISOLATED_SUSPECT_AFTER: Duration = Duration::from_millis(2_500);
/// Claim delay for each preferred member that may claim first.
const PREFERRED_RANK_DELAY: Duration = Duration::from_millis(120);
/// Claim delay for each other member that may claim first, after the delays of all preferred members.
const OTHER_RANK_DELAY: Duration = Duration::from_millis(15);
/// Additional claim delay of a member that is not preferred, while a preferred member that the table
/// answers is alive. The preferred member has the book, and usually more CPU and a faster link.
const OTHER_CLAIM_DELAY: Duration = Duration::from_millis(1_500);
/// Delay before a claim is repeated; it doubles with each claim that the table does not answer.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(120);
/// Maximum number of doublings of [`CLAIM_RETRY_DELAY`].
const MAX_CLAIM_DOUBLINGS: u32 = 3;
/// Time without a leader after which requests are refused at once: a takeover takes about 1.2 s.
const LEADERLESS_AFTER: Duration = Duration::from_millis(2_000);
/// Time allowed for the first heartbeat of a leader whose row was read.
const ROW_HEARTBEAT_GRACE: Duration = Duration::from_millis(400);

/// What this instance knows about the leader.
#[derive(Clone, Debug)]
pub(super) struct LeaderView {
    pub(super) address: PeerAddress,
    pub(super) life: u64,
    pub(super) epoch: u64,
    /// Version of its row; 0 if it is known only from peers.
    pub(super) row_version: u64,
    /// Last contact. For a leader that is known only from its row, a time such that it is suspected after
    /// [`ROW_HEARTBEAT_GRACE`].
    pub(super) last_contact: CoreTime,
    /// Whether its process has gone: its port refused a connection, or another process answers there.
    pub(super) gone: bool,
    /// Whether a later process has answered at its address since.
    pub(super) ended: bool,
    /// Whether its last heartbeat said that it accepts no requests yet.
    pub(super) loading: bool,
    /// Share of new jobs that it refuses, in percent.
    pub(super) refuse_percent: u32,
    /// Since when the table is unavailable to it.
    pub(super) store_away_since: Option<CoreTime>,
}

impl LeaderView {
    /// Creates the view of a leader of which nothing else is known yet.
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
            store_away_since: None,
        }
    }
}

/// What this instance knows about a peer.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerView {
    pub(super) last_contact: Option<CoreTime>,
    /// When the peer became known. Stands in for the last contact of a peer that has none.
    pub(super) known_at: CoreTime,
    /// CPU capacity, in thousandths of a core.
    pub(super) strength: u64,
    pub(super) heartbeat: HeartbeatBody,
    pub(super) echo: PeerEcho,
    /// Whether its heartbeats come at the slow rate between the leader and the other members of a
    /// large site.
    pub(super) slow: bool,
}

/// A claim of leadership.
#[derive(Debug)]
pub(super) struct ClaimState {
    pub(super) epoch: u64,
    /// Whether it is in flight.
    pub(super) busy: bool,
    /// When its first copy was sent.
    pub(super) sent_at: CoreTime,
    /// When another claim may be sent.
    pub(super) next_at: CoreTime,
    /// Number of batches in the local book, if the claim requires that the ledger has no more.
    ledger_end: Option<u64>,
}

/// Contents of the leader's row.
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

    /// Returns whether there has been no leader for longer than a takeover takes.
    pub(super) fn is_leaderless(&self) -> bool {
        let gap = match &self.leader {
            Some(leader) => self.age(leader.last_contact),
            None => self.uptime(),
        };
        self.lead.is_none() && gap > LEADERLESS_AFTER
    }

    pub(super) fn has_leader_contact(&self) -> bool {
        let limit = SUSPECT_AFTER * 2;
        self.leader
            .as_ref()
            .is_some_and(|leader| self.age(leader.last_contact) < limit)
    }

    pub(super) fn read_leader_row(&mut self) {
        self.request_leader_row(StorePurpose::LeaderRow);
    }

    pub(super) fn request_leader_row(&mut self, purpose: StorePurpose) {
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

    /// Handles the contents of the leader's row, which may show a claim of this instance, a new leader,
    /// or only a new version of the row.
    pub(super) fn handle_leader_row(&mut self, value: &[u8], version: u64) {
        let Ok(row) = rmp_serde::from_slice::<LeaderRow>(value) else {
            self.log("election", "row_unreadable", String::new(), String::new());
            return;
        };
        let claimed = self.claim.as_ref().map(|claim| claim.epoch);
        if self.lead.is_none() && claimed.is_some_and(|epoch| self.is_own_claim(&row, epoch)) {
            // The change of the row arrived before the answer to the claim.
            self.begin_leadership(row.epoch, version);
            return;
        }
        self.highest_epoch = self.highest_epoch.max(row.epoch);
        if let Some(lead) = &self.lead {
            if row.epoch > lead.epoch {
                self.step_down("the leader's row has a later epoch");
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
        let grace = if gone {
            Duration::ZERO
        } else {
            ROW_HEARTBEAT_GRACE
        };
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
                self.record_former_leader(&old);
            }
        }
        self.record_epoch(leader.epoch);
        let is_local = leader.address == self.settings.address;
        if !is_local {
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
        self.pass_kept_answers();
    }

    /// Ends this instance's leadership without writing anything.
    pub(super) fn step_down(&mut self, why: &str) {
        let Some(lead) = self.lead.take() else {
            return;
        };
        self.counters.count("elections", "deposed");
        let id = format!("epoch {}", lead.epoch);
        self.log("election", "deposed", id, why.to_owned());
        let (address, life) = (self.settings.address, self.settings.life);
        let ended = LeaderView::new(address, life, lead.epoch, self.now);
        self.record_ended_leader(&ended);
        self.worker_watch.after = None;
        // Uncommitted events must be removed from the book, so it is read again. Before the entire
        // ledger was read, no such event was added.
        if lead.loaded {
            self.book = Default::default();
            self.stopped_leases.clear();
            self.applied = 0;
            self.ledger_page.restart();
        }
        self.catch_up_at = Some(self.now + Duration::from_millis(300));
        let local = self.settings.address;
        if self
            .leader
            .as_ref()
            .is_some_and(|leader| leader.address == local)
        {
            self.leader = None;
        }
        self.resend_requests();
    }

    /// Returns whether a heartbeat comes from another process at the leader's address, which shows
    /// that the process that led has ended.
    pub(super) fn is_new_process_of_leader(
        &self,
        from: PeerAddress,
        heartbeat: &HeartbeatBody,
    ) -> bool {
        self.lead.is_none()
            && self
                .leader
                .as_ref()
                .is_some_and(|leader| leader.address == from && leader.life != heartbeat.life)
    }

    /// Records that the leader's process has gone, so that the leader is suspected at once.
    pub(super) fn mark_leader_gone(&mut self) {
        let suspect_at = self.now.saturating_sub(SUSPECT_AFTER);
        if let Some(leader) = self.leader.as_mut() {
            leader.last_contact = leader.last_contact.min(suspect_at);
            leader.gone = true;
        }
    }

    /// Handles a heartbeat from a peer that leads. One with an earlier epoch is ignored, and one with a
    /// later epoch is from a new leader.
    pub(super) fn handle_leader_heartbeat(&mut self, from: PeerAddress, heartbeat: &HeartbeatBody) {
        let known = self.leader.as_ref().map_or(0, |leader| leader.epoch);
        if heartbeat.epoch < self.highest_epoch {
            return;
        }
        if heartbeat.epoch > known {
            self.follow(LeaderView {
                loading: heartbeat.loading,
                refuse_percent: heartbeat.refuse_percent,
                store_away_since: self.reported_outage(heartbeat),
                ..LeaderView::new(from, heartbeat.life, heartbeat.epoch, self.now)
            });
            return;
        }
        let now = self.now;
        let store_away_since = self.reported_outage(heartbeat);
        if let Some(leader) = self.leader.as_mut() {
            if leader.address == from {
                leader.last_contact = now;
                leader.life = heartbeat.life;
                leader.gone = false;
                leader.ended = false;
                leader.loading = heartbeat.loading;
                leader.refuse_percent = heartbeat.refuse_percent;
                leader.store_away_since = store_away_since;
                self.suspect_since = None;
            }
        }
    }

    /// Returns since when the table is unavailable to the leader, by a heartbeat.
    pub(super) fn reported_outage(&self, heartbeat: &HeartbeatBody) -> Option<CoreTime> {
        let lasted = Duration::from_millis(heartbeat.store_away_ms?);
        Some(self.now.saturating_sub(lasted))
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

    /// Returns whether to claim leadership now: because a leader has requested it, or because the
    /// leader has been suspected for as long as this instance's rank requires.
    fn should_claim(&mut self) -> bool {
        if let Some(epoch) = self.handover_epoch {
            if epoch >= self.highest_epoch {
                return true;
            }
            self.handover_epoch = None;
        }
        let gap = match &self.leader {
            Some(leader) => self.age(leader.last_contact),
            None => SUSPECT_AFTER,
        };
        let epoch = self.highest_epoch;
        let gone = self.leader.as_ref().is_some_and(|leader| leader.gone);
        let peers_have_contact = !gone
            && self.live_peers().any(|(_, peer)| {
                peer.heartbeat.epoch >= epoch
                    && peer.heartbeat.leader.is_some()
                    && u128::from(peer.heartbeat.leader_age_ms) < RECENT_LEADER_CONTACT.as_millis()
            });
        let isolated = !gone && self.live_peers().next().is_none() && !self.peers.is_empty();
        let limit = if isolated {
            ISOLATED_SUSPECT_AFTER
        } else {
            SUSPECT_AFTER
        };
        if gap < limit || (peers_have_contact && gap < ISOLATED_SUSPECT_AFTER * 2) {
            self.suspect_since = None;
            return false;
        }
        let since = *self.suspect_since.get_or_insert(self.now);
        let (preferred, others) = self.higher_ranked_members();
        if self.member_rows.are_partial() {
            // Its own rank is unknown. Those that are known to rank before it have had their turn by then.
            if self.age(since) >= PREFERRED_RANK_DELAY * preferred + OTHER_RANK_DELAY * others {
                self.member_rows.read_more_ranks();
            }
            return false;
        }
        let other_delay = if self.defers_to_preferred() {
            OTHER_CLAIM_DELAY
        } else {
            Duration::ZERO
        };
        self.age(since)
            >= PREFERRED_RANK_DELAY * preferred + OTHER_RANK_DELAY * others + other_delay
    }

    /// Claims the next epoch, on condition that the leader's row has not changed.
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
        let ledger_end = self.required_ledger_end(epoch);
        let next_batch = ledger_end.map(|applied| RowCondition {
            key: batch_row(applied + 1),
            version: 0,
        });
        let leader_row = RowCondition {
            key: key.clone(),
            version,
        };
        let guarded = self.enforces(SiteGuard::CompleteBook);
        let next_batch = next_batch.filter(|_| guarded);
        let request = StoreRequest::Transact {
            conditions: std::iter::once(leader_row).chain(next_batch).collect(),
            writes: vec![RowWrite { key, value }],
            removals: Vec::new(),
        };
        // An earlier copy of the claim may be the one that is applied.
        let sent_at = match self.claim_sent {
            (of, at) if of == epoch => at,
            _ => self.now,
        };
        self.claim_sent = (epoch, sent_at);
        let gap = self
            .leader
            .as_ref()
            .map(|leader| self.age(leader.last_contact));
        let detail = format!("row version {version}, no contact with the leader for {gap:?}");
        self.log("election", "claim", format!("epoch {epoch}"), detail);
        self.counters.count("elections", "claimed");
        self.claim = Some(ClaimState {
            epoch,
            busy: true,
            sent_at,
            next_at: self.now + CLAIM_RETRY_DELAY,
            ledger_end,
        });
        self.send_store_request(StorePurpose::Claim, request);
    }

    /// Returns the number of batches in the local book, if a claim may require that the ledger has no
    /// more.
    ///
    /// If such a claim is applied, the book is complete and the ledger need not be read, which takes
    /// half a second with a slow table. A second claim of the same epoch has no such condition,
    /// because its row could not be distinguished from the first one's.
    fn required_ledger_end(&mut self, epoch: u64) -> Option<u64> {
        let first = self.claimed_epoch < epoch;
        self.claimed_epoch = epoch;
        let followed = self.applied > 0 || self.highest_epoch == 0;
        // A leader that continues until the claim is applied still appends to the ledger.
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
        let doublings = self.claims_unanswered.min(MAX_CLAIM_DOUBLINGS);
        claim.next_at = self.now + CLAIM_RETRY_DELAY * 2_u32.pow(doublings);
        match outcome {
            StoreOutcome::Applied { version } if self.lead.is_none() => {
                self.begin_leadership(epoch, version);
            }
            StoreOutcome::Applied { .. } => {}
            StoreOutcome::Conflict { rows } => {
                self.handle_rejected_claim(&rows);
                self.repeat_claim_if_behind(&rows);
            }
            // The claim may have been applied. Reading the row shows whether it was.
            _ => self.read_leader_row(),
        }
    }

    /// Handles the leader's row after a rejected claim. The row may also show that an earlier copy of
    /// the claim was applied.
    fn handle_rejected_claim(&mut self, rows: &[StoredRow]) {
        self.handle_leader_rows(rows);
    }

    /// Repeats a claim at once if it failed because the ledger has more batches than the local book.
    /// The repeated claim has no such condition, and the ledger is read once it is applied.
    fn repeat_claim_if_behind(&mut self, rows: &[StoredRow]) {
        let behind = rows.iter().any(|row| row.key.table == LEDGER_TABLE);
        let leader_row = rows.iter().find(|row| row.key == leader_key());
        let known = self.leader.as_ref().map_or(0, |leader| leader.row_version);
        let unchanged = leader_row.is_none_or(|row| row.version == known);
        if !behind || !unchanged || self.lead.is_some() {
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

    /// Handles the leader's row as it was read, which may show a claim whose answer was lost.
    pub(super) fn handle_leader_rows(&mut self, rows: &[StoredRow]) {
        for row in rows.iter().filter(|row| row.key == leader_key()) {
            self.handle_leader_row(&row.value, row.version);
        }
    }

    fn begin_leadership(&mut self, epoch: u64, row_version: u64) {
        let predecessor = self.leader.take();
        let predecessor_stopped =
            self.handover_epoch.take().is_some() && self.handover_leader_stopped;
        let ledger_end = self.claim.as_ref().and_then(|claim| claim.ledger_end);
        let complete = ledger_end.is_some_and(|applied| applied == self.applied);
        let claimed_at = self.claim.as_ref().map_or(self.now, |claim| claim.sent_at);
        self.claim = None;
        self.suspect_since = None;
        self.highest_epoch = self.highest_epoch.max(epoch);
        self.counters.count("elections", "won");
        match &predecessor {
            Some(old) if predecessor_stopped => self.record_ended_leader(old),
            Some(old) => self.record_former_leader(old),
            None => {}
        }
        self.record_epoch(epoch);
        let before = predecessor.map(|old| (old.address, old.life));
        let detail =
            format!(
            "row version {row_version}, predecessor {before:?}, its leases expire in {:?} at most, {}",
            self.former_leaders.leases_expire_at().saturating_sub(self.now),
            if self.former_leaders.are_known() { "known" } else { "assumed" }
        );
        self.log("election", "lead", format!("epoch {epoch}"), detail);
        let mut lead = LeadState::new(epoch, row_version, self.now);
        lead.confirmed_at = claimed_at;
        lead.estimate_error = self.measurements.queues.clone();
        if self.uses(PolicySwitch::RunTimeModel) {
            lead.run_times = RunTimeModel::inherited(&self.measurements.model);
        }
        // The first heartbeat reports this.
        lead.loaded = complete;
        self.inherit_advice(&mut lead);
        self.lead = Some(Box::new(lead));
        self.pass_kept_answers();
        self.worker_watch = Default::default();
        let (address, life) = (self.settings.address, self.settings.life);
        self.leader = Some(LeaderView {
            row_version,
            ..LeaderView::new(address, life, epoch, self.now)
        });
        self.next_heartbeat = self.now;
        self.next_slow_heartbeat = self.now;
        self.member_rows.read_all();
        self.run_heartbeats();
        if complete {
            self.end_loading();
        } else {
            self.load_ledger();
        }
        self.run_watches();
    }
}
