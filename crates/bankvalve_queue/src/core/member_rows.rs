//! Members' rows in the table: which of them an instance reads and watches.
//!
//! Rows are ordered by rank. On a small site, each instance reads and watches all rows. On a large site, only
//! the leader and the members that rank first do: they are the ones that lead, stand by and relay messages.
//! Any other member reads the first ranks alone, and more of them if all that it knows are gone. If each
//! member read all rows, a start of all instances would cost bytes by the square of their number.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::time::Duration;

use super::hubs::LARGE_SITE_MEMBERS;
use super::member_ranks::MemberRow;
use super::store_link::{StorePurpose, WatchState};
use super::EntryCore;
use crate::ids::CoreTime;
use crate::peer::PeerAddress;
use crate::store::{RowKey, RowWrite, StoreOutcome, StoreRequest, StoredRow};

/// Table of the members' rows.
const MEMBER_TABLE: &str = "members";
/// Part of the members' rows. Writes to one part wait for each other, so it is not that of the leader's row.
const MEMBER_PART: &str = "member";
/// Number of members, by rank, that read all rows, and whose rows all members read. A site that is not large
/// has no others.
const FIRST_RANKS: usize = LARGE_SITE_MEMBERS;
/// Factor by which a member reads more rows when none of the members it knows takes over.
const MORE_RANKS_FACTOR: usize = 4;
/// Maximum number of ranks that a member reads, unless it reads all.
const MAX_READ_RANKS: usize = 16_384;
/// Interval at which a member that does not watch the rows reads the first ranks again.
const REFRESH_INTERVAL: Duration = Duration::from_secs(30);
/// Time until it does so for the first time: at a start of all instances, many rows are written just then.
const FIRST_REFRESH: Duration = Duration::from_millis(1_500);
/// Maximum time that a watch on the rows waits for a change. Heartbeats report such changes sooner.
const WATCH_WAIT: Duration = Duration::from_millis(3_000);
/// Number of peers above which the watches are spaced out: when all instances start at once, each written
/// row wakes every one of them.
const SPACED_WATCH_PEERS: usize = 12;
/// Pause between two spaced-out watches, so that one answer contains several changes.
const SPACED_WATCH_PAUSE: Duration = Duration::from_millis(150);
/// The same pause on a large site, whose members take seconds to write their rows.
const LARGE_SITE_WATCH_PAUSE: Duration = Duration::from_millis(700);
/// Time without contact after which a member whose row is gone is forgotten.
const FORGET_MEMBER_AFTER: Duration = Duration::from_secs(5);
/// CPU capacity from which all members rank alike, in thousandths of a core.
const MAX_RANKED_STRENGTH: u64 = 999_999;

/// Which members' rows an instance knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum MemberScope {
    /// None have been read yet.
    #[default]
    Unread,
    /// Those of the first ranks, to which this instance does not belong.
    FirstRanks,
    /// All of them, which are watched.
    All,
}

/// A scan of the rows, in pages.
#[derive(Debug)]
struct MemberScan {
    /// Number of rows to read, unless all are wanted.
    ranks: usize,
    all_wanted: bool,
    /// Version of the table at the first page.
    version: Option<u64>,
    listed: BTreeSet<PeerAddress>,
}

/// State of reading and watching the members' rows.
#[derive(Debug, Default)]
pub(super) struct MemberRows {
    scope: MemberScope,
    scan: Option<MemberScan>,
    watch: WatchState,
    /// Number of rows that the next scan of the first ranks reads, if it is more than [`FIRST_RANKS`].
    ranks: usize,
    refresh_at: CoreTime,
}

impl MemberRows {
    /// Returns whether this instance knows only the first ranks of a large site.
    pub(super) fn are_partial(&self) -> bool {
        self.scope == MemberScope::FirstRanks
    }

    /// Returns whether this instance has read the rows of all members.
    pub(super) fn are_complete(&self) -> bool {
        self.scope == MemberScope::All
    }

    /// Reads more ranks as soon as possible, unless the last such read is still unanswered.
    pub(super) fn read_more_ranks(&mut self) {
        if self.refresh_at.is_zero() {
            return;
        }
        let more = self.ranks.max(FIRST_RANKS) * MORE_RANKS_FACTOR;
        self.ranks = more.min(MAX_READ_RANKS);
        self.refresh_at = CoreTime::ZERO;
    }

    /// Reads all rows as soon as possible.
    pub(super) fn read_all(&mut self) {
        if self.scope == MemberScope::FirstRanks {
            self.scope = MemberScope::Unread;
            self.watch = WatchState::default();
        }
    }
}

/// Returns the key of a member's row. Keys are ordered by rank: most CPU first, then by address.
fn rank_key(strength: u64, address: PeerAddress) -> String {
    let weakness = MAX_RANKED_STRENGTH - strength.min(MAX_RANKED_STRENGTH);
    let port = address.port();
    match address.ip() {
        IpAddr::V4(ip) => format!("{weakness:06}-4-{:08x}-{port:04x}", ip.to_bits()),
        IpAddr::V6(ip) => format!("{weakness:06}-6-{:032x}-{port:04x}", ip.to_bits()),
    }
}

/// Returns the address in the key of a member's row.
fn address_in(key: &str) -> Option<PeerAddress> {
    let mut parts = key.split('-').skip(1);
    let (version, bits, port) = (parts.next()?, parts.next()?, parts.next()?);
    let ip = match version {
        "4" => IpAddr::V4(u32::from_str_radix(bits, 16).ok()?.into()),
        _ => IpAddr::V6(u128::from_str_radix(bits, 16).ok()?.into()),
    };
    Some(PeerAddress::new(ip, u16::from_str_radix(port, 16).ok()?))
}

impl EntryCore {
    pub(super) fn member_key(&self, address: PeerAddress, strength: u64) -> RowKey {
        RowKey::new(MEMBER_TABLE, MEMBER_PART, rank_key(strength, address))
    }

    fn own_key(&self) -> RowKey {
        self.member_key(self.settings.address, self.settings.strength)
    }

    /// Reads or watches the members' rows if that is due.
    pub(super) fn run_member_rows(&mut self) {
        let now = self.now;
        let rows = &mut self.member_rows;
        if rows.scan.is_some() || !rows.watch.is_due(now) {
            return;
        }
        match rows.scope {
            MemberScope::FirstRanks if now < rows.refresh_at => {}
            MemberScope::All if rows.watch.after.is_some() => self.watch_member_rows(),
            _ => self.scan_member_rows(),
        }
    }

    fn watch_member_rows(&mut self) {
        let watch = &mut self.member_rows.watch;
        let Some(after) = watch.after else {
            return;
        };
        watch.busy = true;
        let request = StoreRequest::Watch {
            table: MEMBER_TABLE.to_owned(),
            after,
            wait_ms: WATCH_WAIT.as_millis() as u64,
        };
        self.send_store_request(StorePurpose::WatchMembers, request);
    }

    fn scan_member_rows(&mut self) {
        let all_wanted = self.lead.is_some() || self.member_rows.scope == MemberScope::All;
        let rows = &mut self.member_rows;
        rows.scan = Some(MemberScan {
            ranks: rows.ranks.max(FIRST_RANKS),
            all_wanted,
            version: None,
            listed: BTreeSet::new(),
        });
        self.read_member_page(String::new());
    }

    fn read_member_page(&mut self, from: String) {
        let rows = &mut self.member_rows;
        rows.watch.busy = true;
        let Some(scan) = rows.scan.as_ref() else {
            return;
        };
        let limit = (!scan.all_wanted).then_some(scan.ranks as u32);
        let request = StoreRequest::Read {
            table: MEMBER_TABLE.to_owned(),
            part: MEMBER_PART.to_owned(),
            from,
            limit,
        };
        self.send_store_request(StorePurpose::ReadMembers, request);
    }

    /// Handles a page of the members' rows.
    pub(super) fn end_member_page(&mut self, outcome: StoreOutcome) {
        let now = self.now;
        let Some(mut scan) = self.member_rows.scan.take() else {
            return;
        };
        let StoreOutcome::Rows {
            rows,
            more,
            version,
        } = outcome
        else {
            self.member_rows.watch.end(false, now);
            return;
        };
        scan.version.get_or_insert(version);
        let last_key = rows.last().map(|row| row.key.key.clone());
        for row in &rows {
            scan.listed.extend(address_in(&row.key.key));
            self.handle_member_row(&row.key, Some(&row.value));
        }
        let own_key = self.own_key().key;
        let ranks_first = last_key.as_ref().is_some_and(|last| own_key <= *last);
        scan.all_wanted |= ranks_first || self.lead.is_some();
        match last_key.filter(|_| more && scan.all_wanted) {
            Some(last) => {
                self.member_rows.scan = Some(scan);
                // `!` sorts before all characters of keys, so the next page starts after the last key.
                self.read_member_page(format!("{last}!"));
            }
            None => self.end_member_scan(&scan, more),
        }
    }

    fn end_member_scan(&mut self, scan: &MemberScan, more: bool) {
        let now = self.now;
        let rows = &mut self.member_rows;
        rows.watch.end(true, now);
        if more && !scan.all_wanted {
            rows.scope = MemberScope::FirstRanks;
            rows.watch.after = None;
            rows.refresh_at = now + REFRESH_INTERVAL;
            self.own_row_read = false;
        } else {
            rows.scope = MemberScope::All;
            rows.watch.after = scan.version;
        }
        self.forget_unlisted_members(&scan.listed);
        if self.lead.is_some() {
            // Members that were unknown until now should learn who leads.
            self.next_slow_heartbeat = now;
        }
        if !self.members_known {
            self.members_known = true;
            // After the loss of all instances, this shows the others that the former leader's process
            // has ended.
            self.next_heartbeat = now;
            if self.is_first_successor() {
                self.read_ledger();
            }
        }
        self.run_watches();
    }

    /// Handles the result of the watch on the members' rows.
    pub(super) fn end_member_watch(&mut self, outcome: StoreOutcome) {
        let now = self.now;
        let pause = match self.peers.len() {
            peers if peers + 1 >= LARGE_SITE_MEMBERS => LARGE_SITE_WATCH_PAUSE,
            peers if peers > SPACED_WATCH_PEERS => SPACED_WATCH_PAUSE,
            _ => Duration::ZERO,
        };
        let watch = &mut self.member_rows.watch;
        watch.busy = false;
        match outcome {
            StoreOutcome::Changes { changes, version } => {
                watch.after = Some(version);
                watch.failures = 0;
                watch.next_at = now + pause;
                for change in changes {
                    self.handle_member_row(&change.key, change.value.as_deref());
                }
                self.leave_other_ranks();
            }
            StoreOutcome::HistoryGone => watch.after = None,
            _ => watch.back_off(now),
        }
        self.run_watches();
    }

    /// Stops watching the rows of a large site if enough members rank before this one.
    fn leave_other_ranks(&mut self) {
        let may_lead = self.lead.is_some() || self.claim.is_some() || self.suspect_since.is_some();
        if may_lead || self.ranks_before() < FIRST_RANKS {
            return;
        }
        let rows = &mut self.member_rows;
        rows.scope = MemberScope::FirstRanks;
        rows.ranks = FIRST_RANKS;
        rows.watch.after = None;
        rows.refresh_at = self.now + FIRST_REFRESH;
        let first_ranks = self.first_ranks(FIRST_RANKS);
        self.forget_unlisted_members(&first_ranks);
    }

    /// Forgets members without a known row that have not been in contact for a while.
    fn forget_unlisted_members(&mut self, listed: &BTreeSet<PeerAddress>) {
        let now = self.now;
        let leader = self.leader.as_ref().map(|leader| leader.address);
        self.peers.retain(|address, peer| {
            let recent = peer
                .last_contact
                .is_some_and(|at| now.saturating_sub(at) < FORGET_MEMBER_AFTER);
            listed.contains(address) || recent || leader == Some(*address)
        });
    }

    /// Handles a member's row, possibly this instance's own.
    fn handle_member_row(&mut self, key: &RowKey, value: Option<&[u8]>) {
        let Some(address) = address_in(&key.key) else {
            return;
        };
        if address == self.settings.address {
            self.handle_own_row(key, value.is_some());
            return;
        }
        let Some(value) = value else {
            // A row under another rank of the same member may have been removed.
            let strength = self.peers.get(&address).map(|peer| peer.strength);
            if strength.is_some_and(|strength| self.member_key(address, strength) == *key) {
                self.peers.remove(&address);
            }
            return;
        };
        let row = MemberRow::decode(value);
        if row.is_none() {
            let id = address.to_string();
            self.log("members", "row_unreadable", id, String::new());
        }
        self.record_member(address, row);
    }

    fn handle_own_row(&mut self, key: &RowKey, exists: bool) {
        if *key == self.own_key() {
            self.registered = exists || self.stopping;
        } else if exists {
            // Written by an earlier process with another CPU capacity.
            self.outdated_row = Some(key.clone());
            self.registered = false;
        }
    }

    /// Writes this instance's row unless it is in place.
    pub(super) fn run_membership(&mut self) {
        // A row that an earlier process wrote with the same CPU capacity is enough, so a restart of
        // all instances needs no writes.
        let unread = self.member_rows.are_partial() && !self.own_row_read;
        let in_place = self.registered && !unread;
        if in_place || !self.members_known || !self.own_row.is_due(self.now) {
            return;
        }
        self.own_row.busy = true;
        let key = self.own_key();
        if unread {
            let request = StoreRequest::Read {
                table: key.table,
                part: key.part,
                from: key.key,
                limit: Some(1),
            };
            self.send_store_request(StorePurpose::ReadOwnRow, request);
            return;
        }
        let row = MemberRow {
            life: self.settings.life,
            strength: self.settings.strength,
        };
        let value = row.encode();
        let request = StoreRequest::Transact {
            conditions: Vec::new(),
            writes: vec![RowWrite { key, value }],
            removals: self.outdated_row.iter().cloned().collect(),
        };
        self.send_store_request(StorePurpose::Register, request);
    }

    /// Handles the read of this instance's own row.
    pub(super) fn end_read_own_row(&mut self, outcome: StoreOutcome) {
        let StoreOutcome::Rows { rows, .. } = outcome else {
            self.own_row.end(false, self.now);
            return;
        };
        self.own_row_read = true;
        self.own_row.end(true, self.now);
        let is_own = |row: &StoredRow| row.key == self.own_key();
        self.registered = rows.first().is_some_and(is_own) || self.stopping;
        self.run_membership();
    }

    pub(super) fn end_register(&mut self, outcome: &StoreOutcome) {
        let applied = matches!(outcome, StoreOutcome::Applied { .. });
        if applied {
            self.outdated_row = None;
        }
        self.registered |= applied;
        self.own_row.end(self.registered, self.now);
    }
}
