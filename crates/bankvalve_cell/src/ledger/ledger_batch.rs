//! Batches of events as they are stored in the table service and the object store.
//!
//! Each batch contains the hash of the batch before it. Verifying this chain
//! detects a batch that is missing, altered or out of order.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::{LedgerEvent, TeamLedger};
use crate::ids::{Epoch, Incarnation, InstanceName, PartitionIndex};
use crate::link::RowImage;

/// SHA-256 hash of an encoded batch.
pub type ChainHash = [u8; 32];

/// Owner of a team partition that wrote a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchWriter {
    /// The entry instance.
    pub instance: InstanceName,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// The instance's epoch as owner of the partition.
    pub epoch: Epoch,
}

/// Events that were committed together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerBatch {
    /// The team partition.
    pub partition: PartitionIndex,
    /// Number of the batch in the partition, counted from one.
    pub sequence: u64,
    /// Hash of the batch before this one; zeros for the first.
    #[serde(with = "serde_bytes")]
    pub previous: ChainHash,
    /// Owner that wrote the batch.
    pub writer: BatchWriter,
    /// The events, in order.
    pub events: Vec<LedgerEvent>,
}

impl LedgerBatch {
    /// Encodes the batch for storage.
    ///
    /// # Panics
    ///
    /// Does not panic: every field can be encoded.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec_named(self).expect("a batch can be encoded")
    }

    /// Decodes a stored batch, or returns `None` if the bytes are not a batch.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        rmp_serde::from_slice(bytes).ok()
    }

    /// Returns the hash of an encoded batch.
    pub fn hash_of(bytes: &[u8]) -> ChainHash {
        Sha256::digest(bytes).into()
    }
}

/// Snapshot of a team partition's state after a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerSnapshot {
    /// Number of the last batch that the state includes.
    pub sequence: u64,
    /// Hash of that batch.
    #[serde(with = "serde_bytes")]
    pub chain: ChainHash,
    /// Number of the last batch that was archived to the object store.
    pub archived: u64,
    /// State after that batch.
    pub ledger: TeamLedger,
}

impl LedgerSnapshot {
    /// Encodes a snapshot for storage, without copying the state.
    ///
    /// # Panics
    ///
    /// Does not panic: every field can be encoded.
    pub fn encode(sequence: u64, chain: &ChainHash, archived: u64, ledger: &TeamLedger) -> Vec<u8> {
        let snapshot = SnapshotRef {
            sequence,
            chain,
            archived,
            ledger,
        };
        rmp_serde::to_vec_named(&snapshot).expect("a snapshot can be encoded")
    }

    /// Decodes a stored snapshot, or returns `None` if the bytes are not a snapshot.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        rmp_serde::from_slice(bytes).ok()
    }
}

/// Snapshot that borrows its state, with the same encoding as [`LedgerSnapshot`].
#[derive(Serialize)]
struct SnapshotRef<'a> {
    sequence: u64,
    #[serde(with = "serde_bytes")]
    chain: &'a ChainHash,
    archived: u64,
    ledger: &'a TeamLedger,
}

/// Batches archived together as one object. Each has the same bytes as when it was committed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordSegment {
    /// The encoded batches, in order.
    pub batches: Vec<serde_bytes::ByteBuf>,
}

impl RecordSegment {
    /// Encodes the segment for storage.
    ///
    /// # Panics
    ///
    /// Does not panic: every field can be encoded.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec_named(self).expect("a segment can be encoded")
    }

    /// Decodes a stored segment, or returns `None` if the bytes are not a segment.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        rmp_serde::from_slice(bytes).ok()
    }
}

/// Decodes the batches in log rows and returns each with its encoded bytes, in the order of the rows.
///
/// Skips rows that cannot be decoded.
pub fn read_batches<'a>(
    rows: impl Iterator<Item = &'a RowImage> + 'a,
) -> impl Iterator<Item = (LedgerBatch, Vec<u8>)> + 'a {
    rows.filter_map(|row| LedgerBatch::decode(&row.value).map(|batch| (batch, row.value.clone())))
}

/// Fault found in a chain of batches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChainProblem {
    /// A batch cannot be decoded.
    Unreadable {
        /// Index in the input, counted from zero.
        index: usize,
    },
    /// A batch is missing or out of order.
    Sequence {
        /// Batch number that was expected.
        expected: u64,
        /// Batch number that was found.
        found: u64,
    },
    /// A batch does not contain the hash of the one before it: one of the two was altered.
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
                "batch {sequence} does not contain the hash of the batch before it"
            ),
        }
    }
}

/// Verifies that encoded batches form an unbroken chain that starts with batch 1.
///
/// Returns the number of batches.
///
/// # Errors
///
/// Returns the first fault in the chain.
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
