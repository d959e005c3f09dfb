//! Guards that enforce the platform's rules. A check can disable one of them.

/// A guard that a check can disable, to show that the check detects its absence.
///
/// A site is one deployment of bankvalve: its instances and the workers that they use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SiteGuard {
    /// A new leader handles no ended runs before it has read the complete ledger.
    LedgerFirst,
    /// A write of ledger batches requires that the leader's row is unchanged and that the first of the
    /// batches does not exist yet.
    OwnRow,
    /// The end of a run is acknowledged to the worker only once it is committed.
    KeptEnds,
    /// The runs of an unresponsive worker are declared lost only once its lease is known to have expired.
    HoldOver,
    /// The resources of a run that is being stopped become free only when the run has ended.
    StopsCount,
    /// A job is not refused if the write that accepts it may have been applied.
    SureRefusal,
    /// A claim that saves reading the ledger requires that the ledger has no batch beyond those in the local
    /// book.
    CompleteBook,
    /// A run that is missing in a worker's run lists counts as ended only if the lists were requested after
    /// the worker had confirmed the run.
    NewerList,
    /// A run that is missing in a worker's run lists counts as ended without a report only once all ends that
    /// existed when the lists were made have been read.
    AllEnds,
    /// If a worker reports the success of a run after the run was declared lost, the success still counts.
    LateDone,
    /// An older configuration never replaces a newer one.
    NewerTable,
    /// A queue or a key is denied only once the configuration in force is known to be the newest.
    KnownNewest,
    /// Changes read from the table do not show that the configuration in force is the newest if peers have
    /// announced a newer one before.
    AnnouncedNewest,
    /// A request that has waited for a newer configuration is handled by it only if it came into force soon
    /// after the request had arrived.
    ChangeInTime,
    /// A leader accepts no job by an older configuration than a former leader did.
    FormerConfig,
    /// A caller's request that the leader has not answered is sent again.
    ResentAsk,
    /// A follower returns the state of an open job only once its book has reached the read index: the last
    /// batch that the leader had committed when it handled the follower's request for the index.
    ReadMark,
    /// A page of the ledger that has timed out is requested again with a longer timeout, and with fewer rows
    /// unless the table itself is slow. The timeout accounts for the table's latency.
    LedgerProgress,
    /// After any other request to the table has timed out, the next request of its kind has a longer timeout.
    GrowingPatience,
    /// The end of a worker is evidence against the tasks that it ran, so a job whose task crashes workers
    /// fails after a limited number of ends.
    CrashBudget,
    /// The end of a worker is strong evidence only against a task that was its only one, and only if there
    /// was no mass loss of workers.
    AloneEvidence,
    /// A start is checked against the worker's capacity at the time when it is sent.
    RoomOfNow,
    /// The clock that decisions are based on continues while the machine is suspended.
    BootTime,
    /// A new leader calculates when the leases of former leaders expire from the leases that they requested
    /// and from what is known of those leaders, instead of assuming the longest possible leases.
    KnownHolds,
    /// A leader whose leadership was not confirmed recently renews leases beyond the limit set by the last
    /// confirmation only while its peers receive its heartbeats.
    LeaderInTouch,
    /// A lease whose renewal the ledger records as stopped is renewed only once its resumption is committed.
    ResumeKept,
    /// Permits and capacity are prepared for a long-running task before its run is declared lost.
    ReadyReturn,
    /// The numbers of ended runs start again when a worker restarts under the same id.
    OwnNumbers,
    /// When a worker restarts under the same id, its lease is calculated on the new process's clock.
    OwnClock,
    /// A leader that has a newer configuration than the one under which a request was interpreted decides
    /// whether the request's key is valid.
    LeaderKeys,
    /// The resources of a customer's running tasks stay within its limit.
    CustomerLimit,
    /// A start that was pending while its customer's limit was lowered is checked against the lower limit.
    LimitOfNow,
    /// A leader that was paused sends no start before it has confirmed that it still leads.
    ConfirmedStart,
    /// A leader starts no task unless its configuration was recently known to be the newest.
    RecentConfig,
    /// No task starts on the workers of an evacuated failure domain.
    EvacuatedDomain,
    /// A start that was pending while the failure domain of its worker was evacuated is not sent.
    EvacuatedNow,
    /// A submit of which a copy may still be accepted is not held through an outage of the table: its refusal
    /// at the end of the wait would not be certain.
    HeldAlone,
    /// A cancel of an unknown job is recorded before it is answered, and a later submission does not start the
    /// job.
    EarlyCancel,
    /// A table of admission credits older than 2 s counts as none.
    CreditAge,
    /// A former leader's table of admission credits counts as none.
    CreditEpoch,
}

impl SiteGuard {
    /// All guards.
    pub const ALL: [SiteGuard; 40] = [
        SiteGuard::LedgerFirst,
        SiteGuard::OwnRow,
        SiteGuard::KeptEnds,
        SiteGuard::HoldOver,
        SiteGuard::StopsCount,
        SiteGuard::SureRefusal,
        SiteGuard::CompleteBook,
        SiteGuard::NewerList,
        SiteGuard::AllEnds,
        SiteGuard::LateDone,
        SiteGuard::NewerTable,
        SiteGuard::KnownNewest,
        SiteGuard::AnnouncedNewest,
        SiteGuard::ChangeInTime,
        SiteGuard::FormerConfig,
        SiteGuard::ResentAsk,
        SiteGuard::ReadMark,
        SiteGuard::LedgerProgress,
        SiteGuard::GrowingPatience,
        SiteGuard::CrashBudget,
        SiteGuard::AloneEvidence,
        SiteGuard::RoomOfNow,
        SiteGuard::BootTime,
        SiteGuard::KnownHolds,
        SiteGuard::LeaderInTouch,
        SiteGuard::ResumeKept,
        SiteGuard::ReadyReturn,
        SiteGuard::OwnNumbers,
        SiteGuard::OwnClock,
        SiteGuard::LeaderKeys,
        SiteGuard::CustomerLimit,
        SiteGuard::LimitOfNow,
        SiteGuard::ConfirmedStart,
        SiteGuard::RecentConfig,
        SiteGuard::EvacuatedDomain,
        SiteGuard::EvacuatedNow,
        SiteGuard::HeldAlone,
        SiteGuard::EarlyCancel,
        SiteGuard::CreditAge,
        SiteGuard::CreditEpoch,
    ];

    /// Returns the name on the command line.
    ///
    /// # Examples
    ///
    /// ```
    /// use bankvalve_queue::SiteGuard;
    ///
    /// assert_eq!(SiteGuard::named("own-row"), Some(SiteGuard::OwnRow));
    /// assert_eq!(SiteGuard::OwnRow.as_str(), "own-row");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            SiteGuard::LedgerFirst => "ledger-first",
            SiteGuard::OwnRow => "own-row",
            SiteGuard::KeptEnds => "kept-ends",
            SiteGuard::HoldOver => "hold-over",
            SiteGuard::StopsCount => "stops-count",
            SiteGuard::SureRefusal => "sure-refusal",
            SiteGuard::CompleteBook => "complete-book",
            SiteGuard::NewerList => "newer-list",
            SiteGuard::AllEnds => "all-ends",
            SiteGuard::LateDone => "late-done",
            SiteGuard::NewerTable => "newer-table",
            SiteGuard::KnownNewest => "known-newest",
            SiteGuard::AnnouncedNewest => "announced-newest",
            SiteGuard::FormerConfig => "former-config",
            SiteGuard::ChangeInTime => "change-in-time",
            SiteGuard::ResentAsk => "resent-ask",
            SiteGuard::ReadMark => "read-mark",
            SiteGuard::LedgerProgress => "ledger-progress",
            SiteGuard::GrowingPatience => "growing-patience",
            SiteGuard::CrashBudget => "crash-budget",
            SiteGuard::AloneEvidence => "alone-evidence",
            SiteGuard::RoomOfNow => "room-of-now",
            SiteGuard::BootTime => "boot-time",
            SiteGuard::KnownHolds => "known-holds",
            SiteGuard::LeaderInTouch => "leader-in-touch",
            SiteGuard::ResumeKept => "resume-kept",
            SiteGuard::ReadyReturn => "ready-return",
            SiteGuard::OwnNumbers => "own-numbers",
            SiteGuard::OwnClock => "own-clock",
            SiteGuard::LeaderKeys => "leader-keys",
            SiteGuard::CustomerLimit => "customer-limit",
            SiteGuard::LimitOfNow => "limit-of-now",
            SiteGuard::ConfirmedStart => "confirmed-start",
            SiteGuard::RecentConfig => "recent-config",
            SiteGuard::EvacuatedDomain => "evacuated-domain",
            SiteGuard::EvacuatedNow => "evacuated-now",
            SiteGuard::HeldAlone => "held-alone",
            SiteGuard::EarlyCancel => "early-cancel",
            SiteGuard::CreditAge => "credit-age",
            SiteGuard::CreditEpoch => "credit-epoch",
        }
    }

    /// Returns the guard with the given name, or `None` if there is none.
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|guard| guard.as_str() == name)
    }
}
