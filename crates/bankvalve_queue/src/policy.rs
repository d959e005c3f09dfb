//! The policies that decide, so that each can be switched off to measure what it is worth.

/// A policy that can be switched off; in service all are on.
///
/// Unlike a [`SiteGuard`](crate::SiteGuard), no rule rests on one: without it the site serves
/// worse, or costs more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicySwitch {
    /// A write without an answer is read back; without it, copies are sent by time alone.
    ReadBack,
    /// Orders without an answer are repeated by the time that answers take.
    QuickRepeat,
    /// Looks at workers with urgent runs wait less.
    ShortLooks,
    /// Urgent runs that stand still or are slow are started elsewhere.
    OverdueRuns,
    /// Urgent work takes room from runs that save their progress.
    Preemption,
    /// Urgent work prefers workers that were measured as fast.
    FastWorkers,
    /// Room is kept for a step while its permits are renewed.
    PermitRoom,
    /// Workers that fail what they start rest.
    FailureRest,
    /// A weak leader lets a much stronger peer lead.
    StrongLeader,
    /// A leader that the table does not answer lets a peer lead that it answers.
    TableYield,
    /// Long questions to the policy service leave some instances free for short ones.
    ShortQuestions,
    /// Waiting steps are ordered by the latest start that is still in time.
    LatestStart,
    /// Jobs that are not kept are refused while the table is away.
    Withdrawal,
    /// What a customer sends beyond its share comes after all else.
    CustomerShares,
    /// Gangs of queues that allow few failed runs prefer workers whose last run did not fail.
    ProvedWorkers,
}

impl PolicySwitch {
    /// All policies.
    pub const ALL: [PolicySwitch; 15] = [
        PolicySwitch::ReadBack,
        PolicySwitch::QuickRepeat,
        PolicySwitch::ShortLooks,
        PolicySwitch::OverdueRuns,
        PolicySwitch::Preemption,
        PolicySwitch::FastWorkers,
        PolicySwitch::PermitRoom,
        PolicySwitch::FailureRest,
        PolicySwitch::StrongLeader,
        PolicySwitch::TableYield,
        PolicySwitch::ShortQuestions,
        PolicySwitch::LatestStart,
        PolicySwitch::Withdrawal,
        PolicySwitch::CustomerShares,
        PolicySwitch::ProvedWorkers,
    ];
}
