//! Callers that disconnect before they receive an answer.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bankvalve_platform::counterpart;
use bankvalve_standin::site::StoreFault;
use nix::sys::signal::Signal;

use crate::entry_child::ListenPlan;
use crate::test_site::{job_of, submission, wait_until, TestSite};

/// Time that an instance has for a stop, in milliseconds: far more than a stop takes that waits for no
/// caller.
const STOP_MS: u64 = 30_000;

#[test]
fn a_planned_stop_does_not_wait_for_callers_that_have_left() {
    let mut site = TestSite::start(0, 2);
    for index in 0..2 {
        let child = site.spawn_with(index, &ListenPlan::any(), STOP_MS);
        site.entries.push(Some(child));
    }
    for index in 0..2 {
        site.wait_until_ready(index);
    }
    wait_until("an instance leads", || site.leader().is_some());
    let leader = site.leader().expect("an instance leads");
    site.platform.set_store_fault(StoreFault::Silent);
    let spec = Arc::new(job_of(1, "work=50", &[1]));
    let call = counterpart::write_request(&site.rule, &submission(&spec), None);
    let mut caller = TcpStream::connect(site.entry(leader).plan().callers).expect("a connection");
    let head = format!(
        "POST {} HTTP/1.1\r\nhost: hobart.example\r\nx-deadline-ms: 3000\r\ncontent-length: {}\r\n\r\n",
        call.path,
        call.body.len()
    );
    caller.write_all(head.as_bytes()).expect("a head");
    caller.write_all(&call.body).expect("a body");
    site.entry(leader).wait_for_line("accept");
    // The caller disconnects while the table does not respond, so it has no answer yet.
    drop(caller);
    site.platform.set_store_fault(StoreFault::None);
    site.submit(job_of(2, "work=50", &[1]));
    site.wait_for_success(leader, 2..=2);
    let begun = Instant::now();
    site.signal(leader, Signal::SIGTERM);
    let status = site.wait_for_end(leader);
    let took = begun.elapsed();
    assert!(status.success(), "{status}");
    assert!(took < Duration::from_millis(STOP_MS / 2), "{took:?}");
}
