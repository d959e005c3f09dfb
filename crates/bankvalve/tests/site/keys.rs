//! Customers' keys over real connections.

use std::collections::BTreeMap;
use std::sync::Arc;

use bankvalve_platform::counterpart::{key_digest, write_request};
use bankvalve_queue::{CallerRequest, CustomerRule, QueueRule, QueueTable, RunLimit, WireReply};

use crate::test_site::{exchange, job_of, submission, wait_until, TestSite};

const NORTH: &str = "north-key-gkcuyj8pjbvk9m68";
const SOUTH: &str = "south-key-ex5wa5xwyhks8nbk";
const NOBODY: &str = "nobody-key-7b2k9m68gkcuyj8p";

/// Writes a version of the configuration, as the operator does, with customers that have these keys.
fn configure(site: &TestSite, version: u64, keys: &[(&str, &str)]) {
    let rule = QueueRule {
        keyed: true,
        ..site.rule.clone()
    };
    let customers = keys.iter().map(|(name, key)| CustomerRule {
        name: (*name).into(),
        keys: vec![key_digest(key)],
        weight: 10.0,
        limit: RunLimit::default(),
    });
    let table = QueueTable::new(version, vec![rule], BTreeMap::new());
    site.platform
        .configure(table.with_customers(customers.collect()));
}

fn status(site: &TestSite, index: usize, request: &CallerRequest, key: Option<&str>) -> u16 {
    let call = write_request(&site.rule, request, key);
    match exchange(site.entry(index).plan().callers, &call) {
        WireReply::Answer { status, .. } => status,
        other => panic!("no answer: {other:?}"),
    }
}

#[test]
fn keys_grant_access_until_removed_and_appear_in_no_log_or_metric() {
    let site = TestSite::start(3, 4);
    configure(&site, 2, &[("north", NORTH), ("south", SOUTH)]);
    let submit_request = submission(&Arc::new(job_of(7, "work=20", &[2])));
    for index in 0..3 {
        wait_until("a request without a key is denied", || {
            status(&site, index, &CallerRequest::Status { job: 1 }, None) == 401
        });
    }
    wait_until("a job is accepted", || {
        status(&site, 0, &submit_request, Some(NORTH)) == 200
    });
    for index in 0..3 {
        let status_request = CallerRequest::Status { job: 7 };
        wait_until("its customer sees it", || {
            status(&site, index, &status_request, Some(NORTH)) == 200
        });
        assert_eq!(status(&site, index, &status_request, Some(SOUTH)), 410);
        assert_eq!(status(&site, index, &submit_request, Some(SOUTH)), 409);
        assert_eq!(status(&site, index, &status_request, Some(NOBODY)), 401);
    }
    configure(&site, 3, &[("south", SOUTH)]);
    for index in 0..3 {
        let status_request = CallerRequest::Status { job: 7 };
        wait_until("a key that is gone is denied", || {
            status(&site, index, &status_request, Some(NORTH)) == 401
        });
        assert_eq!(status(&site, index, &submit_request, Some(NORTH)), 401);
    }
    for index in 0..3 {
        let written = site.entry(index).log_text() + &site.metrics(index);
        assert!(written.contains("unknown_key"), "{written}");
        for key in [NORTH, SOUTH, NOBODY] {
            assert!(!written.contains(key), "a key stands in {written}");
        }
    }
}
