//! The state machine of an entry instance.
//!
//! `members` hears peers, `standby` ranks them, `election` and `yielding`
//! decide who leads, `commit`, `read_back`, `confirm` and `withdraw` keep the
//! ledger, `callers` answers requests, `book_reads` from a follower's book, `submissions` takes
//! jobs up, `holds`, `reports`, `orders` and `overdue` deal with workers, `advice` asks the policy service, `placing`
//! decides which task runs where, and `making_room` what gives way to it; `returning` has
//! both at hand for tasks that last. `sight`
//! tells how the instance stands, `unheard` and `restarts` why tasks do not run that did.
//! `incarnation` tells the processes of a worker apart.
//! `former_leaders` and `stopped_holds` tell until when holds of leaders before may last.
//! `table_watch` and `table_pull` have the operator's configuration, `denials` what is not in it.
//! `customer_access` tells which jobs a customer may see, `customer_limits` what it may have running,
//! `customer_shares` what comes after the others' jobs.

mod advice;
mod away;
mod book_reads;
mod callers;
mod carriers;
mod choosing;
mod commit;
mod confirm;
mod customer_access;
mod customer_limits;
mod customer_shares;
mod denials;
mod election;
mod entry_core;
mod following;
mod former_leaders;
mod holds;
mod hubs;
mod incarnation;
mod lead;
mod ledger_page;
mod live_run;
mod load_limit;
mod log_budget;
mod making_room;
mod members;
mod orders;
mod overdue;
mod placing;
mod questions;
mod read_back;
mod reports;
mod restarts;
mod returning;
mod round_trip;
mod seat;
mod seat_list;
mod seat_map;
mod sight;
mod standby;
mod stopped_holds;
mod store_link;
mod submissions;
mod suspects;
mod table_pull;
mod table_watch;
mod task_waits;
mod unheard;
mod waiting;
mod withdraw;
mod without_leader;
mod yielding;

pub use entry_core::{CoreAction, CoreEvent, EntryCore, EntrySettings};
pub use task_waits::{StartWait, TaskWaits, WaitReason};
