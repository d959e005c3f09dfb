//! Entry instances as their rows in the table service show them.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Candidate, InstanceRow};
use crate::ids::{CellTime, Incarnation, InstanceName, RowVersion};

/// How an entry instance stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// Its row is renewed.
    Live,
    /// It hands over what it owns.
    Stopping,
    /// Its row has not changed for longer than a lease.
    Silent,
    /// Its life was declared over.
    Revoked,
}

impl MemberState {
    /// Name as shown to people.
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

/// What is known of all entry instances.
///
/// Silence is counted only between scans that follow each other closely, so
/// that nobody is taken for dead because the table service was down.
#[derive(Clone, Debug, Default)]
pub struct MemberRoster {
    members: BTreeMap<InstanceName, MemberEntry>,
    scanned_at: Option<CellTime>,
}

impl MemberRoster {
    /// Takes in a scan of all instance rows.
    ///
    /// `gap_limit` is the longest time between two scans that still counts
    /// as silence of a row that did not change.
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

    /// The state of an instance, given the length of its lease.
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

    /// Tells whether a life of an instance is over for good.
    pub fn has_ended(&self, name: &str, incarnation: Incarnation) -> bool {
        match self.members.get(name) {
            None => true,
            Some(entry) => entry.row.revoked || entry.row.incarnation != incarnation,
        }
    }

    /// The row of an instance and its version.
    pub fn row_of(&self, name: &str) -> Option<(&InstanceRow, RowVersion)> {
        let entry = self.members.get(name)?;
        Some((&entry.row, entry.version))
    }

    /// All rows with their state.
    pub fn all(&self, lease: Duration) -> impl Iterator<Item = (&InstanceRow, MemberState)> {
        self.members.iter().filter_map(move |(name, entry)| {
            let state = self.state_of(name, lease)?;
            Some((&entry.row, state))
        })
    }

    /// The instances that may own partitions.
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

    /// Rows of instances that have been silent for longer than a lease.
    pub fn unresponsive(&self, lease: Duration) -> Vec<(InstanceRow, RowVersion)> {
        self.members
            .values()
            .filter(|entry| !entry.row.revoked && entry.unchanged_for > lease)
            .map(|entry| (entry.row.clone(), entry.version))
            .collect()
    }
}
