//! Instances that start while other processes do.

use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::process::{Child, Command, Stdio};

use nix::sys::signal::Signal;

use crate::entry_child::ListenPlan;
use crate::test_site::TestSite;

/// Threads that start instances at once, as the tests of a theme do side by side.
const THREADS: usize = 8;
/// Instances that each of them starts, one after the other.
const STARTS: usize = 250;

/// The longest that a site can set for a stop, in milliseconds: a day, in which no test ends.
const LONGEST_STOP_MS: u64 = 86_400_000;
/// The shortest, in milliseconds.
const SHORTEST_STOP_MS: u64 = 500;

/// An address that another process holds, as one that stops only now.
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

    /// The addresses of an instance whose peers' one is held.
    fn plan(&self) -> ListenPlan {
        ListenPlan {
            peers: self.address,
            ..ListenPlan::any()
        }
    }
}

impl Drop for HeldAddress {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.holder.kill();
        let _ = self.holder.wait();
    }
}

#[test]
fn instances_that_start_side_by_side_all_listen() {
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
fn an_address_that_is_still_held_is_tried_again_and_each_try_is_logged() {
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
fn a_start_that_fails_is_told_on_the_log_and_by_the_exit_code() {
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
fn an_instance_that_waits_for_an_address_stops_when_told() {
    let site = TestSite::start(0, 1);
    let held = HeldAddress::take();
    let mut entry = site.spawn_with(0, &held.plan(), LONGEST_STOP_MS);
    entry.wait_for_line("address_held");
    entry.signal(Signal::SIGTERM);
    assert!(entry.wait_for_end().success());
    assert!(entry.find_line("stopped").is_some());
    assert_eq!(entry.find_line("started"), None);
}
