//! Tests of real processes: entry instances, killed, paused and stopped under load.

mod access;
mod hostile;
mod outage;
mod stopping;
mod takeover;
mod test_cell;
