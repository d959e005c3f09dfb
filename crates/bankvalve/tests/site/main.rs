//! Tests of real `serve` processes against a stand-in for the platform, over the platform's own protocol.

mod dev;
mod entry_child;
mod evacuations;
mod keys;
mod leaving;
mod odd_entries;
mod serving;
mod starting;
mod stopping;
mod test_site;
mod trouble;
