//! The state machine of an entry instance.
//!
//! Terms:
//!
//! - The *table* is the platform's key-value store (`store` in names). The *configuration* is what the
//!   operator writes there (`table` in names, from its type `QueueTable`).
//! - The *ledger* is the sequence of events that the leader commits to the table, in batches. An instance's
//!   *book* is the state of all jobs, built from these events.
//! - A *member* is an instance with a row in the table; to an instance, the other members are its *peers*.
//!   *Preferred members* are the few with the most CPU.
//! - A *run* is one attempt at a task on a worker. A worker's *entry* is its own row in the table, and its
//!   *run lists* are what it reports about its runs.
//! - A *lease* lets a worker keep its runs until a time on the worker's clock. The leader renews it by
//!   polling the worker.
//!
//! Modules:
//!
//! - State: `entry_core` has the state of an instance and dispatches events, `lead_state` has what only a
//!   leader needs. `worker_state` and `live_run` contain what a leader knows about a worker and a run.
//! - Membership and leadership: `members` handles heartbeats, `member_rows` reads the members' rows and
//!   `member_ranks` ranks them, `election`
//!   and `handover` decide who leads, `former_leaders` and `stopped_leases` bound how long leases of former
//!   leaders can last, and `readiness` reports whether the instance is ready. `hubs` relays messages on large
//!   sites.
//! - Ledger: `commit`, `read_back`, `lead_confirmation` and `job_withdrawal` write it; `follower` keeps a
//!   follower's book up to date.
//! - Callers: `callers` answers requests, and `follower_reads` answers status requests from a follower's
//!   book. `customer_access` decides which jobs a customer may see.
//! - Admission: the modules in `admission` accept or refuse submitted jobs, by a forecast of when they would begin,
//!   and apply the limits and shares of customers.
//! - Forecast: the modules in `forecast` hold what the leader expects of running work.
//! - Workers: `lease_renewal`, `worker_reports` and `orders` poll workers and start and stop runs.
//!   `unanswered_starts` gives up starts that a worker does not answer. `incarnation` distinguishes the processes of a
//!   worker, `unlisted_workers` tells standbys where workers without entries listen, and `call_proxies` has standbys
//!   send calls.
//! - Placement: `placement` decides which task runs on which worker. In its folder, `advice` queries the policy service,
//!   `step_advice` has its answers for a step, `shared_advice` tells standbys of them, `capacity_reclaim` preempts runs,
//!   `restart_preparation` reserves capacity and gets permits for long-running tasks, and `departing_tasks` moves those
//!   whose workers leave. `suspects` isolates tasks that may crash workers, and `trial_runs` limits how many of these
//!   run at the same time. `lost_contact` and `restart_waits` report why tasks are not running.
//! - Configuration: `table_watch` and `table_pull` fetch the operator's configuration, and `denials` handles
//!   requests that it denies. `evacuations` keeps tasks from starting in failure domains that the operator has
//!   evacuated.

mod admission;
mod advice_calls;
mod call_proxies;
mod callers;
mod commit;
mod customer_access;
mod denials;
mod early_cancels;
mod election;
mod entry_core;
mod evacuations;
mod follower;
mod follower_reads;
mod forecast;
mod former_leaders;
mod handover;
mod hubs;
mod incarnation;
mod job_withdrawal;
mod lead_confirmation;
mod lead_state;
mod leader_absence;
mod lease_renewal;
mod ledger_page;
mod live_run;
mod log_budget;
mod lost_contact;
mod member_ranks;
mod member_rows;
mod members;
mod orders;
mod placement;
mod read_back;
mod readiness;
mod restart_deadline;
mod restart_waits;
mod round_trip;
mod stopped_leases;
mod store_link;
mod store_requests;
mod suspects;
mod table_pull;
mod table_watch;
mod task_waits;
mod trial_runs;
mod unanswered_starts;
mod unlisted_workers;
mod worker_entries;
mod worker_map;
mod worker_reports;
mod worker_state;

pub use admission::admission_credits::{CreditGate, CreditMeter, CreditRules};
pub use admission::admission_forecast::{
    AdmissionForecast, BacklogView, ForecastRefusal, JobSize, WaitingWork,
};
pub use admission::outage_wait::{HoldDecision, HoldTerms, OutageForecast, OutageWait, WaitTally};
pub use entry_core::{CoreAction, CoreEvent, EntryCore, EntrySettings};
pub use forecast::run_times::{
    MeasuredModel, MeasuredRunGroup, RunGroup, RunSample, RunTimeEstimate, RunTimeModel,
};
pub use forecast::worker_speed::{
    ExpectedSpeed, GroupSpeeds, MeasuredWorkerGroup, WorkerGroup, WorkerSpeed,
};
pub use placement::capacity_profile::{earliest_on_all, CapacityProfile};
pub use placement::planned_start::{IdleReserve, PlanReview, PlannedStart, ReplanReason};
pub use placement::speed_preference::{SpeedClass, SpeedPreference, StepTiming};
pub use task_waits::{StartWait, TaskWaits, WaitReason};
