//! Batches of events as they stand in the table service and the object store.
//!
//! Each batch carries the hash of the batch before it, so that a batch that
//! is missing, altered or moved shows when the chain is verified.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::{LedgerEvent, TeamLedger};
use crate::ids::{Epoch, Incarnation, InstanceName, PartitionIndex};
use crate::link::RowImage;

/// Hash of a batch.
pub type ChainHash = [u8; 32];

/// Who wrote a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchWriter {
    /// The entry instance.
    pub instance: InstanceName,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its epoch as owner of the partition.
    pub epoch: Epoch,
}

/// Events that were committed together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerBatch {
    /// The team partition.
    pub partition: PartitionIndex,
    /// Number in the partition, from one.
    pub sequence: u64,
    /// Hash of the batch before it; zeros for the first.
    #[serde(with = "serde_bytes")]
    pub previous: ChainHash,
    /// Who wrote it.
    pub writer: BatchWriter,
    /// The events, in order.
    pub events: Vec<LedgerEvent>,
}

impl LedgerBatch {
    /// Encodes the batch as it is stored.
    ///
    /// # Panics
    ///
    /// Never: every field can be encoded.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec_named(self).expect("a batch can be encoded")
    }

    /// Decodes a stored batch.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        rmp_serde::from_slice(bytes).ok()
    }

    /// Hash of an encoded batch.
    pub fn hash_of(bytes: &[u8]) -> ChainHash {
        Sha256::digest(bytes).into()
    }
}

/// Snapshot of a team partition's state after a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerSnapshot {
    /// Last batch that the state includes.
    pub sequence: u64,
    /// Hash of that batch.
    #[serde(with = "serde_bytes")]
    pub chain: ChainHash,
    /// Last batch that was archived to the object store.
    pub archived: u64,
    /// The state.
    pub ledger: TeamLedger,
}

impl LedgerSnapshot {
    /// Encodes a snapshot as it is stored, without copying the state.
    ///
    /// # Panics
    ///
    /// Never: every field can be encoded.
    pub fn encode(sequence: u64, chain: &ChainHash, archived: u64, ledger: &TeamLedger) -> Vec<u8> {
        let snapshot = SnapshotRef {
            sequence,
            chain,
            archived,
            ledger,
        };
        rmp_serde::to_vec_named(&snapshot).expect("a snapshot can be encoded")
    }

    /// Decodes a stored snapshot.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        rmp_serde::from_slice(bytes).ok()
    }
}

/// A snapshot about to be written.
#[derive(Serialize)]
struct SnapshotRef<'a> {
    sequence: u64,
    #[serde(with = "serde_bytes")]
    chain: &'a ChainHash,
    archived: u64,
    ledger: &'a TeamLedger,
}

/// Batches archived together as one object, byte for byte as committed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordSegment {
    /// The encoded batches, in order.
    pub batches: Vec<serde_bytes::ByteBuf>,
}

impl RecordSegment {
    /// Encodes the segment as it is stored.
    ///
    /// # Panics
    ///
    /// Never: every field can be encoded.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec_named(self).expect("a segment can be encoded")
    }

    /// Decodes a stored segment.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        rmp_serde::from_slice(bytes).ok()
    }
}

/// Decodes the batches of log rows, in key order, skipping rows that are none.
pub fn read_batches<'a>(
    rows: impl Iterator<Item = &'a RowImage> + 'a,
) -> impl Iterator<Item = (LedgerBatch, Vec<u8>)> + 'a {
    rows.filter_map(|row| LedgerBatch::decode(&row.value).map(|batch| (batch, row.value.clone())))
}

/// What is wrong with a chain of batches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChainProblem {
    /// A batch cannot be decoded.
    Unreadable {
        /// Place in the order given, from zero.
        index: usize,
    },
    /// A batch is missing or out of order.
    Sequence {
        /// Number that was expected.
        expected: u64,
        /// Number that was found.
        found: u64,
    },
    /// A batch does not follow from the one before it: one of the two was altered.
    Hash {
        /// Number of the batch whose predecessor does not match.
        sequence: u64,
    },
}

impl std::fmt::Display for ChainProblem {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ChainProblem::Unreadable { index } => write!(f, "entry {index} cannot be decoded"),
            ChainProblem::Sequence { expected, found } => {
                write!(f, "expected batch {expected}, found batch {found}")
            }
            ChainProblem::Hash { sequence } => write!(
                f,
                "batch {sequence} does not follow from the batch before it"
            ),
        }
    }
}

/// Verifies that encoded batches form one unbroken chain from the first on.
///
/// # Errors
///
/// Returns the first break.
///
/// # Examples
///
/// ```
/// use bankvalve_cell::ledger::{verify_chain, BatchWriter, ChainProblem, LedgerBatch};
///
/// let writer = BatchWriter { instance: "entry-1".into(), incarnation: 1, epoch: 1 };
/// let first = LedgerBatch {
///     partition: 0, sequence: 1, previous: [0; 32], writer: writer.clone(), events: vec![],
/// }.encode();
/// let second = LedgerBatch {
///     partition: 0, sequence: 2, previous: LedgerBatch::hash_of(&first), writer, events: vec![],
/// }.encode();
/// assert!(verify_chain([&first[..], &second[..]].into_iter()).is_ok());
/// assert_eq!(
///     verify_chain([&second[..]].into_iter()),
///     Err(ChainProblem::Sequence { expected: 1, found: 2 }),
/// );
/// ```
pub fn verify_chain<'a>(batches: impl Iterator<Item = &'a [u8]>) -> Result<u64, ChainProblem> {
    let mut previous = ChainHash::default();
    let mut expected = 1;
    for (index, bytes) in batches.enumerate() {
        let batch = LedgerBatch::decode(bytes).ok_or(ChainProblem::Unreadable { index })?;
        if batch.sequence != expected {
            return Err(ChainProblem::Sequence {
                expected,
                found: batch.sequence,
            });
        }
        if batch.previous != previous {
            return Err(ChainProblem::Hash {
                sequence: batch.sequence,
            });
        }
        previous = LedgerBatch::hash_of(bytes);
        expected += 1;
    }
    Ok(expected - 1)
}
