//! The state machine of an entry instance.
//!
//! `members` hears peers, `standby` ranks them, `election` and `yielding`
//! decide who leads, `commit`, `confirm` and `withdraw` keep the ledger,
//! `callers` answers requests, `holds`, `reports` and `orders` deal with
//! workers, `advice` asks the policy service and `placing` decides which task
//! runs where.

mod advice;
mod callers;
mod commit;
mod confirm;
mod election;
mod entry_core;
mod following;
mod holds;
mod lead;
mod ledger_page;
mod making_room;
mod members;
mod orders;
mod overdue;
mod placing;
mod reports;
mod seat;
mod seat_list;
mod standby;
mod store_link;
mod waiting;
mod withdraw;
mod yielding;

pub use entry_core::{CoreAction, CoreEvent, EntryCore, EntrySettings};
