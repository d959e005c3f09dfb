//! Starts of instances in parallel, and while their addresses are in use.

use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::process::{Child, Command, Stdio};

use nix::sys::signal::Signal;

use crate::entry_child::ListenPlan;
use crate::test_site::TestSite;

/// Threads that start instances at the same time, as parallel tests of one binary do.
const THREADS: usize = 8;
/// Instances that each thread starts, one after another.
const STARTS: usize = 250;

/// Longest stop time that a site can configure, in milliseconds: a day, so it never expires during a test.
const LONGEST_STOP_MS: u64 = 86_400_000;
/// Shortest stop time that a site can configure, in milliseconds.
const SHORTEST_STOP_MS: u64 = 500;

/// An address that another process has bound, like a previous process of the instance that has not stopped
/// yet.
struct HeldAddress {
    address: SocketAddr,
    holder: Child,
}

impl HeldAddress {
    fn take() -> Self {
        let listener = TcpListener::bind(ListenPlan::any().peers).expect("a port");
        let address = listener.local_addr().expect("an address");
        let holder = Command::new("cat")
            .stdin(Stdio::piped())
            .stdout(OwnedFd::from(listener))
            .spawn()
            .expect("a process that waits for its input");
        Self { address, holder }
    }

    /// Returns addresses for an instance of which the one for peers is in use.
    fn plan(&self) -> ListenPlan {
        ListenPlan {
            peers: self.address,
            ..ListenPlan::any()
        }
    }
}

impl Drop for HeldAddress {
    fn drop(&mut self) {
        // Fails if the process has ended already.
        let _ = self.holder.kill();
        let _ = self.holder.wait();
    }
}

#[test]
fn instances_started_in_parallel_all_listen() {
    let site = TestSite::start(0, 1);
    let count_failed = &|thread: usize| {
        let instances = thread * STARTS..(thread + 1) * STARTS;
        let failed = instances.filter(|index| !site.spawn(*index).listens());
        failed.count()
    };
    let failed: usize = std::thread::scope(|scope| {
        let threads = (0..THREADS).map(|thread| scope.spawn(move || count_failed(thread)));
        let threads = threads.collect::<Vec<_>>();
        let counts = threads.into_iter().map(|thread| thread.join());
        counts.map(|count| count.expect("a count")).sum()
    });
    assert_eq!(failed, 0, "of {} starts", THREADS * STARTS);
}

#[test]
fn an_address_in_use_is_retried_and_each_attempt_is_logged() {
    let site = TestSite::start(0, 1);
    let held = HeldAddress::take();
    let plan = held.plan();
    let entry = site.spawn_with(0, &plan, LONGEST_STOP_MS);
    let line = entry.wait_for_line("address_held");
    assert_eq!(line["part"], "process");
    assert_eq!(line["level"], "warn");
    assert_eq!(line["id"], held.address.to_string());
    let detail = line["detail"].as_str().expect("a text");
    assert!(detail.contains("listen.peers"), "{detail}");
    assert!(detail.contains("of 86400000 ms"), "{detail}");
    assert_eq!(entry.find_line("started"), None);
    drop(held);
    assert_eq!(entry.plan().peers, plan.peers);
    assert!(entry.listens());
}

#[test]
fn a_failed_start_is_logged_and_sets_the_exit_code() {
    let site = TestSite::start(0, 1);
    let held = HeldAddress::take();
    let mut entry = site.spawn_with(0, &held.plan(), SHORTEST_STOP_MS);
    let status = entry.wait_for_end();
    assert_eq!(status.code(), Some(2));
    let line = entry.find_line("start_failed").expect("its last line");
    assert_eq!(line["level"], "error");
    let detail = line["detail"].as_str().expect("a text").to_owned();
    let wanted = format!("listen.peers {}", held.address);
    assert!(detail.contains(&wanted), "{detail}");
    assert!(detail.contains("in use"), "{detail}");
    let errors = entry.errors();
    assert!(errors.contains(&detail), "{errors}");
}

#[test]
fn an_instance_waiting_for_an_address_stops_on_sigterm() {
    let site = TestSite::start(0, 1);
    let held = HeldAddress::take();
    let mut entry = site.spawn_with(0, &held.plan(), LONGEST_STOP_MS);
    entry.wait_for_line("address_held");
    entry.signal(Signal::SIGTERM);
    assert!(entry.wait_for_end().success());
    assert!(entry.find_line("stopped").is_some());
    assert_eq!(entry.find_line("started"), None);
}
