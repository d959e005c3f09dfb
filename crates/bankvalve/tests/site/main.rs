//! Tests of real processes at a site, against a platform that speaks its own protocol.

mod dev;
mod entry_child;
mod keys;
mod leaving;
mod serving;
mod starting;
mod stopping;
mod test_site;
mod trouble;
