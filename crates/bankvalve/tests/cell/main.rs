//! Tests with real `serve` processes that are killed, paused and stopped under load.

mod access;
mod hostile;
mod outage;
mod stopping;
mod takeover;
mod test_cell;
