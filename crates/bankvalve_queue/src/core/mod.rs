//! The state machine of an entry instance.
//!
//! `members` hears peers, `standby` ranks them, `election` and `yielding`
//! decide who leads, `commit`, `read_back`, `confirm` and `withdraw` keep the
//! ledger, `callers` answers requests, `follower_reads` from a follower's book, `submissions` takes
//! jobs up, `holds`, `reports`, `orders` and `overdue` deal with workers, `advice` asks the policy service, `placing`
//! decides which task runs where, and `making_room` what gives way to it; `restarting` has
//! both at hand for tasks that last. `sight`
//! tells how the instance stands, `unheard` and `restarts` why tasks do not run that did.
//! `incarnation` tells the processes of a worker apart.
//! `former_leaders` and `stopped_leases` tell until when holds of leaders before may last.
//! `table_watch` and `table_pull` have the operator's configuration, `denials` what is not in it.
//! `customer_access` tells which jobs a customer may see, `customer_limits` what it may have running,
//! `customer_shares` what comes after the others' jobs.

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
