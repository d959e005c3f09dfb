//! Tests in which instances are killed or paused and other instances take over their partitions.

use nix::sys::signal::Signal;

use super::test_cell::{batch, service, wait_until, TestCell};

/// Returns the key of the team partition of team billing in a cell with six team partitions.
fn team_partition() -> String {
    let plan = bankvalve_cell::machine::PartitionPlan {
        regions: vec!["tasmania".into()],
        worker_partitions_per_region: 6,
        team_partitions: 6,
    };
    format!("team/{:04}", plan.team_partition_of("billing"))
}

#[test]
fn killed_owner_is_taken_over() {
    let mut cell = TestCell::start(3, 9);
    cell.client().submit(&batch("credits", 30, 400)).unwrap();
    let owner = cell.owner_of(&team_partition());
    cell.kill_entry(cell.index_of(&owner));
    wait_until("the status is answered", || {
        cell.client().status("billing", "credits").is_ok()
    });
    cell.wait_done("billing", "credits");
    assert!(cell.client().submit(&batch("credits", 30, 400)).unwrap());
    cell.assert_runs_sound();
    cell.assert_no_breach();
}

#[test]
fn paused_owner_acts_on_nothing_old() {
    let cell = TestCell::start(3, 9);
    cell.client().submit(&batch("first", 20, 300)).unwrap();
    let owner = cell.owner_of(&team_partition());
    let paused = cell.index_of(&owner);
    cell.signal(paused, Signal::SIGSTOP);
    let other = (paused + 1) % 3;
    wait_until("another owner took over", || {
        let list = cell.client_of(other).instances();
        list.is_ok_and(|list| {
            let mut rows = list.partitions.iter();
            rows.all(|row| row.owner != owner && !row.owner.is_empty())
        })
    });
    cell.client_of(other)
        .submit(&batch("second", 20, 300))
        .unwrap();
    cell.signal(paused, Signal::SIGCONT);
    cell.wait_done("billing", "first");
    cell.wait_done("billing", "second");
    cell.assert_runs_sound();
    cell.assert_no_breach();
}

#[test]
fn nine_processes_under_kills_and_pauses() {
    let mut cell = TestCell::start(9, 18);
    let mut sent = Vec::new();
    for round in 0..6 {
        for part in 0..3 {
            let job = batch(&format!("round-{round}-{part}"), 12, 250);
            cell.client().submit(&job).unwrap();
            sent.push(job.id);
        }
        match round {
            1 => cell.kill_entry(2),
            2 => cell.signal(4, Signal::SIGSTOP),
            3 => {
                cell.kill_entry(5);
                cell.start_entry(2);
            }
            4 => cell.signal(4, Signal::SIGCONT),
            _ => {}
        }
        cell.wait_done("billing", &format!("round-{round}-0"));
    }
    for id in &sent {
        cell.wait_done("billing", id);
    }
    cell.assert_runs_sound();
    cell.assert_no_breach();
    let record = cell.client().record("billing", None).unwrap();
    let ended = record
        .iter()
        .filter(|entry| {
            matches!(
                entry.event,
                bankvalve_cell::ledger::LedgerEvent::Ended { .. }
            )
        })
        .count();
    assert!(ended >= sent.len() * 12, "{ended} ends are recorded");
}

#[test]
fn restarted_worker_loses_nothing() {
    let cell = TestCell::start(3, 6);
    cell.client().submit(&service("balance", 4)).unwrap();
    let running = || {
        let view = cell.client().status("billing", "balance");
        view.is_ok_and(|view| view.tasks.iter().all(|task| task.phase == "running"))
    };
    wait_until("the service runs", running);
    let before = cell.client().status("billing", "balance").unwrap();
    let worker = before.tasks[0].worker.clone().unwrap();
    let url = format!("{}/workers/{worker}/restart", cell.platform.base_url());
    attohttpc::post(url).send().unwrap();
    wait_until("the task runs again", || {
        let view = cell.client().status("billing", "balance");
        view.is_ok_and(|view| view.tasks[0].attempt > 1 && view.tasks[0].phase == "running")
    });
    cell.assert_runs_sound();
    cell.assert_no_breach();
}
