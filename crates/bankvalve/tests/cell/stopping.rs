//! Tests that planned stops and drains interrupt no request and no task.

use std::thread;

use nix::sys::signal::Signal;

use super::test_cell::{batch, service, token_of, wait_until, TestCell};

/// Time that the task takes to answer the request, in milliseconds.
const WORK_MS: &str = "900";

#[test]
fn planned_stop_finishes_and_hands_over() {
    let mut cell = TestCell::start(3, 9);
    cell.client().submit(&service("balance", 6)).unwrap();
    wait_until("the service answers", || {
        let answer = cell
            .client_of(0)
            .request("billing", "balance", "hello", false);
        answer.is_ok_and(|answer| answer["echo"] == "hello")
    });
    cell.client().submit(&batch("credits", 24, 300)).unwrap();
    let url = format!(
        "{}/v1/services/billing/balance/requests",
        cell.entries[0].as_ref().unwrap().callers
    );
    let slow = thread::spawn(move || {
        let sent = attohttpc::post(url)
            .header("authorization", format!("Bearer {}", token_of("billing")))
            .header("bankvalve-request", "slow")
            .header("work-ms", WORK_MS)
            .text("slow")
            .send();
        sent.unwrap().status().as_u16()
    });
    wait_until("the request is in flight", || {
        let text = cell.metrics(0);
        text.contains("bankvalve_connections") && text.contains("kind=\"open\"")
    });
    cell.signal(0, Signal::SIGTERM);
    assert!(cell.wait_for_end(0).success());
    assert_eq!(slow.join().unwrap(), 200);
    cell.wait_done("billing", "credits");
    let list = cell.client().instances().unwrap();
    assert!(list.partitions.iter().all(|row| row.owner != "entry-1"));
    cell.assert_runs_sound();
    cell.assert_no_breach();
}

#[test]
fn drained_instance_ends_by_itself() {
    let mut cell = TestCell::start(3, 6);
    cell.client().drain_instance("entry-2").unwrap();
    assert!(cell.wait_for_end(1).success());
    cell.client().submit(&batch("after", 6, 100)).unwrap();
    cell.wait_done("billing", "after");
}

#[test]
fn drained_worker_gets_nothing_new() {
    let cell = TestCell::start(3, 6);
    cell.client().submit(&service("balance", 4)).unwrap();
    wait_until("the service runs", || {
        let view = cell.client().status("billing", "balance");
        view.is_ok_and(|view| view.tasks.iter().all(|task| task.phase == "running"))
    });
    let view = cell.client().status("billing", "balance").unwrap();
    let worker = view.tasks[0].worker.clone().unwrap();
    cell.client().drain_worker(&worker, true).unwrap();
    wait_until("the worker is empty", || {
        let views = cell.client().workers().unwrap_or_default();
        views
            .iter()
            .any(|view| view.detail.name == worker && view.state == "draining" && view.tasks == 0)
    });
    let before = cell
        .runs()
        .iter()
        .filter(|run| run.worker == worker)
        .count();
    cell.client().submit(&batch("after", 12, 100)).unwrap();
    cell.wait_done("billing", "after");
    let after = cell
        .runs()
        .iter()
        .filter(|run| run.worker == worker)
        .count();
    assert_eq!(before, after);
    cell.assert_no_breach();
}
