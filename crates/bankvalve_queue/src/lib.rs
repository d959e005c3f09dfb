//! Scheduling of queues of jobs, whose steps consist of tasks, as state machines without I/O.
//!
//! [`EntryCore`] is the state machine of one entry instance: it handles events with their time, and returns
//! actions. All instances are equal. One of them leads a cell at a time; it becomes the leader by a
//! conditional write to a row of the platform's table. [`JobBook`] is the state of all jobs, built from the
//! ledger's events.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod caller;
mod core;
mod customer;
mod decision;
mod guard;
mod ids;
mod job;
mod ledger;
mod peer;
mod policy;
mod port;
mod queue_table;
mod store;
mod worker;

pub use caller::{
    CallerAnswer, CallerRequest, DenialReason, JobState, RefusalReason, ResolvedRequest,
};
pub use core::{
    earliest_on_all, AdmissionForecast, BacklogView, CapacityProfile, CoreAction, CoreEvent,
    CreditGate, CreditMeter, CreditRules, EntryCore, EntrySettings, ExpectedSpeed, ForecastRefusal,
    GroupSpeeds, HoldDecision, HoldTerms, IdleReserve, JobSize, MeasuredModel, MeasuredRunGroup,
    MeasuredWorkerGroup, OutageForecast, OutageWait, PlanReview, PlannedStart, ReplanReason,
    RunGroup, RunSample, RunTimeEstimate, RunTimeModel, SpeedClass, SpeedPreference, StartWait,
    StepTiming, TaskWaits, WaitReason, WaitTally, WaitingWork, WorkerGroup, WorkerSpeed,
};
pub use customer::{CallerIdentity, CustomerName, CustomerRule, KeyDigest, RunLimit};
pub use decision::{
    CustomerView, DecisionLine, EntryCounters, EntryView, EvacuationView, WorkerGroupView,
};
pub use guard::SiteGuard;
pub use ids::{
    ConnectionId, CoreTime, DomainName, FenceToken, JobId, RunId, StepKey, TaskKey, Ticket,
    WallMillis, WorkerId,
};
pub use job::{JobProblem, JobSpec, JobTerms, StepSpec, TaskSize};
pub use ledger::{
    CrashCount, CrashEnd, CrashEvidence, CrashWeight, EndKind, JobBook, JobOutcome, JobRecord,
    LedgerBatch, LedgerEvent, RepetitionRecord, StepRecord, TaskPhase, TaskRecord,
};
pub use peer::{
    peer_batch_timeout, AdmissionCredits, AdviceInFlight, AdviceSummary, BatchTimeout,
    EvacuationList, FormerLeaseBound, HeartbeatBody, HeartbeatEcho, PeerAddress, PeerBatch,
    PeerMessage, ProxiedCall, ProxiedOrder, QueueCredit, StoppedLeaseBound, UnlistedWorker,
    PEER_BATCHES_IN_FLIGHT, POOLED_CONNECTIONS,
};
pub use policy::{OptionalPolicies, PolicySwitch};
pub use port::{PlatformPort, RequestFault, WireAnswer, WireCall, WireReply, WireRequest};
pub use queue_table::{AdviceRule, QueueRule, QueueTable};
pub use store::{
    DomainEvacuation, EvacuationNews, OperatorNews, RowChange, RowCondition, RowKey, RowWrite,
    StoreOutcome, StoreRequest, StoredRow, WorkerRow,
};
pub use worker::{
    AdviceAnswer, AdviceRequest, EndReport, HoldReport, ProcessStart, RunReport, StartOrder,
    StartRefusal, WorkerAnswer, WorkerCall, WorkerEntry, IDENTIFICATION_TIMEOUT,
};
