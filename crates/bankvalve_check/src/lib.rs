//! Drives the real decision code under virtual time, with faults, and checks what came of it.
//!
//! [`world::CellWorld`] holds many entry instances, the platform and the
//! workers in one process. [`random::run_episode`] lets faults strike it
//! and checks the history; [`history`] holds the checks. [`site`] does the same
//! for entry instances on the users' platform. [`trace`] reads the logs of real runs,
//! [`growth`] what they cost at several sizes.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod command;
pub mod fault;
pub mod growth;
pub mod history;
pub mod load;
pub mod measure;
pub mod random;
pub mod site;
pub mod slopes;
pub mod trace;
pub mod world;
