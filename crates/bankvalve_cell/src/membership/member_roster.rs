//! State of the entry instances, according to their rows in the table service.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Candidate, InstanceRow};
use crate::ids::{CellTime, Incarnation, InstanceName, RowVersion};

/// State of an entry instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// The instance renews its row.
    Live,
    /// The instance is shutting down and hands over its partitions.
    Stopping,
    /// The instance is unresponsive: its row has not changed for longer than a lease.
    Silent,
    /// A peer has declared that this incarnation has ended.
    Revoked,
}

impl MemberState {
    /// Returns the name used in command output.
    pub fn as_str(self) -> &'static str {
        match self {
            MemberState::Live => "live",
            MemberState::Stopping => "stopping",
            MemberState::Silent => "silent",
            MemberState::Revoked => "revoked",
        }
    }
}

#[derive(Clone, Debug)]
struct MemberEntry {
    row: InstanceRow,
    version: RowVersion,
    unchanged_for: Duration,
}

/// Latest rows of all entry instances, and the time for which each row has not changed.
///
/// Only the time between scans in quick succession counts. Otherwise all
/// instances would look unresponsive after an outage of the table service.
#[derive(Clone, Debug, Default)]
pub struct MemberRoster {
    members: BTreeMap<InstanceName, MemberEntry>,
    scanned_at: Option<CellTime>,
}

impl MemberRoster {
    /// Handles a scan of all instance rows.
    ///
    /// If a row has not changed since the previous scan, and that scan was no
    /// longer than `gap_limit` ago, the time between the two scans is added to
    /// the time for which the row has not changed. Otherwise that time restarts
    /// at zero.
    pub fn handle_scan(
        &mut self,
        now: CellTime,
        rows: Vec<(RowVersion, InstanceRow)>,
        gap_limit: Duration,
    ) {
        let elapsed = self.scanned_at.map(|at| now.saturating_sub(at));
        self.scanned_at = Some(now);
        let mut members = BTreeMap::new();
        for (version, row) in rows {
            let known = self.members.get(&row.detail.name);
            let unchanged_for = match (known, elapsed) {
                (Some(entry), Some(gap)) if entry.version == version && gap <= gap_limit => {
                    entry.unchanged_for + gap
                }
                _ => Duration::ZERO,
            };
            let name = row.detail.name.clone();
            let entry = MemberEntry {
                row,
                version,
                unchanged_for,
            };
            members.insert(name, entry);
        }
        self.members = members;
    }

    /// Returns the state of an instance, given the length of its lease, or `None` if it has no row.
    pub fn state_of(&self, name: &str, lease: Duration) -> Option<MemberState> {
        let entry = self.members.get(name)?;
        Some(if entry.row.revoked {
            MemberState::Revoked
        } else if entry.unchanged_for > lease {
            MemberState::Silent
        } else if entry.row.stopping {
            MemberState::Stopping
        } else {
            MemberState::Live
        })
    }

    /// Returns whether an incarnation of an instance has ended: its row is revoked, missing or of another
    /// incarnation.
    pub fn has_ended(&self, name: &str, incarnation: Incarnation) -> bool {
        match self.members.get(name) {
            None => true,
            Some(entry) => entry.row.revoked || entry.row.incarnation != incarnation,
        }
    }

    /// Returns the row of an instance and its version.
    pub fn row_of(&self, name: &str) -> Option<(&InstanceRow, RowVersion)> {
        let entry = self.members.get(name)?;
        Some((&entry.row, entry.version))
    }

    /// Returns all rows, each with the state of its instance.
    pub fn all(&self, lease: Duration) -> impl Iterator<Item = (&InstanceRow, MemberState)> {
        self.members.iter().filter_map(move |(name, entry)| {
            let state = self.state_of(name, lease)?;
            Some((&entry.row, state))
        })
    }

    /// Returns the live instances, which may own partitions.
    pub fn candidates(&self, lease: Duration) -> Vec<Candidate> {
        self.all(lease)
            .filter(|(_, state)| *state == MemberState::Live)
            .map(|(row, _)| Candidate {
                name: row.detail.name.clone(),
                region: row.detail.region.clone(),
                weight: row.detail.weight,
            })
            .collect()
    }

    /// Returns the rows, not yet revoked, of instances that have been unresponsive for longer than a lease.
    pub fn unresponsive(&self, lease: Duration) -> Vec<(InstanceRow, RowVersion)> {
        self.members
            .values()
            .filter(|entry| !entry.row.revoked && entry.unchanged_for > lease)
            .map(|entry| (entry.row.clone(), entry.version))
            .collect()
    }
}
