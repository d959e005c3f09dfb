//! The state machine of an entry instance.
//!
//! `election` decides who leads, `commit` keeps the ledger, `callers` answers
//! requests, `holds` and `orders` deal with workers, `advice` asks the policy
//! service and `placing` decides which task runs where.

mod advice;
mod callers;
mod commit;
mod election;
mod entry_core;
mod following;
mod holds;
mod lead;
mod orders;
mod placing;
mod seat;
mod seat_list;
mod store_link;
mod waiting;

pub use entry_core::{CoreAction, CoreEvent, EntryCore, EntrySettings};
