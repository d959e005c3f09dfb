//! Faults that strike a run.

use std::collections::BTreeMap;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FaultKind {
    /// An entry instance dies and is started again later.
    EntryKilled,
    /// An entry instance stops for longer than its lease, then goes on.
    EntryPaused,
    /// An entry instance stops as planned and is started again later.
    EntryStopped,
    /// An entry instance cannot reach the table service.
    EntryCutFromStore,
    /// The instance list no longer changes.
    ListFrozen,
    /// The table service is down.
    StoreDown,
    /// The table service is slow.
    StoreSlow,
    /// Writes take effect, but their answers are lost.
    StoreAnswersLost,
    /// Reads of single rows answer from before.
    StoreReadsStale,
    /// The object store is down.
    ObjectsDown,
    /// Messages between entry instances are lost.
    PeerLoss,
    /// Messages between entry instances are delayed and overtake each other.
    PeerDelay,
    /// Messages between entry instances arrive twice.
    PeerRepeated,
    /// Regions cannot reach each other; the table service stays with the first.
    RegionCut,
    /// A worker dies with all its tasks and comes back in a new life.
    WorkerDead,
    /// A worker cannot be reached while its tasks run on.
    WorkerCut,
    /// Answers of a worker are lost, though it does what it was told.
    WorkerAnswersLost,
    /// A worker fails everything that it starts.
    WorkerFailsAll,
    /// A worker runs everything more slowly than declared.
    WorkerSlow,
    /// A worker is marked leaving, and later live again.
    WorkerLeaving,
    /// All workers of a rack die.
    RackLost,
    /// All workers and entry instances of a failure domain die.
    DomainLost,
    /// Many jobs are cancelled at once.
    CancelWave,
    /// Several operators propose the same bundle version at once.
    BundleRace,
}

impl FaultKind {
    /// All kinds.
    pub const ALL: &'static [Self] = &[
        Self::EntryKilled,
        Self::EntryPaused,
        Self::EntryStopped,
        Self::EntryCutFromStore,
        Self::ListFrozen,
        Self::StoreDown,
        Self::StoreSlow,
        Self::StoreAnswersLost,
        Self::StoreReadsStale,
        Self::ObjectsDown,
        Self::PeerLoss,
        Self::PeerDelay,
        Self::PeerRepeated,
        Self::RegionCut,
        Self::WorkerDead,
        Self::WorkerCut,
        Self::WorkerAnswersLost,
        Self::WorkerFailsAll,
        Self::WorkerSlow,
        Self::WorkerLeaving,
        Self::RackLost,
        Self::DomainLost,
        Self::CancelWave,
        Self::BundleRace,
    ];

    /// Name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::EntryKilled => "entry killed",
            Self::EntryPaused => "entry paused",
            Self::EntryStopped => "entry stopped",
            Self::EntryCutFromStore => "entry cut from store",
            Self::ListFrozen => "list frozen",
            Self::StoreDown => "store down",
            Self::StoreSlow => "store slow",
            Self::StoreAnswersLost => "store answers lost",
            Self::StoreReadsStale => "store reads stale",
            Self::ObjectsDown => "objects down",
            Self::PeerLoss => "peer loss",
            Self::PeerDelay => "peer delay",
            Self::PeerRepeated => "peer repeated",
            Self::RegionCut => "region cut",
            Self::WorkerDead => "worker dead",
            Self::WorkerCut => "worker cut",
            Self::WorkerAnswersLost => "worker answers lost",
            Self::WorkerFailsAll => "worker fails all",
            Self::WorkerSlow => "worker slow",
            Self::WorkerLeaving => "worker leaving",
            Self::RackLost => "rack lost",
            Self::DomainLost => "domain lost",
            Self::CancelWave => "cancel wave",
            Self::BundleRace => "bundle race",
        }
    }
}

/// How often each fault struck.
pub type FaultCount = BTreeMap<FaultKind, u64>;
