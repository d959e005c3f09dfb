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
//! - Callers: `callers` answers requests, `follower_reads` answers status requests from a follower's book,
//!   and `submissions` accepts jobs. `customer_access` decides which jobs a customer may see,
//!   `customer_limits` what it may have running, and `customer_shares` which jobs start after those of other
//!   customers.
//! - Workers: `lease_renewal`, `worker_reports`, `orders` and `overdue_runs` poll workers and start and stop
//!   runs. `incarnation` distinguishes the processes of a worker, and `call_proxies` has standbys send calls.
//! - Placement: `placement` decides which task runs on which worker, `advice` queries the policy service, and
//!   `capacity_reclaim` preempts runs. `suspects` isolates tasks that may crash workers.
//!   `restart_preparation` reserves capacity and gets permits for long-running tasks. `lost_contact` and
//!   `restart_waits` report why tasks are not running.
//! - Configuration: `table_watch` and `table_pull` fetch the operator's configuration, and `denials` handles
//!   requests that it denies. `evacuations` keeps tasks from starting in failure domains that the operator has
//!   evacuated.

mod advice;
mod call_proxies;
mod callers;
mod capacity_reclaim;
mod commit;
mod customer_access;
mod customer_limits;
mod customer_shares;
mod denials;
mod election;
mod entry_core;
mod evacuations;
mod follower;
mod follower_reads;
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
mod load_limit;
mod log_budget;
mod lost_contact;
mod member_ranks;
mod member_rows;
mod members;
mod orders;
mod overdue_runs;
mod placement;
mod read_back;
mod readiness;
mod restart_deadline;
mod restart_preparation;
mod restart_waits;
mod round_trip;
mod stopped_leases;
mod store_link;
mod store_requests;
mod submissions;
mod suspects;
mod table_pull;
mod table_watch;
mod task_waits;
mod waiting_steps;
mod worker_entries;
mod worker_map;
mod worker_reports;
mod worker_selection;
mod worker_state;

pub use entry_core::{CoreAction, CoreEvent, EntryCore, EntrySettings};
pub use task_waits::{StartWait, TaskWaits, WaitReason};
