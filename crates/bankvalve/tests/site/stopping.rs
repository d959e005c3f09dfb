//! Instances that are killed or stopped while they serve callers.

use nix::sys::signal::Signal;

use crate::test_site::{assert_tasks_run_once, count_done, job_of, wait_until, TestSite, MAX_WAIT};

#[test]
fn a_peer_takes_over_from_a_killed_leader_and_no_job_is_lost_or_run_twice() {
    let mut site = TestSite::start(3, 4);
    wait_until("an instance leads", || site.leader().is_some());
    for job in 1..=12 {
        site.submit(job_of(job, "work=400", &[2]));
    }
    let leader = site.leader().expect("an instance leads");
    site.kill(leader);
    for job in 13..=18 {
        site.submit(job_of(job, "work=100", &[2]));
    }
    let all = |runs: &[_]| count_done(runs) == 18 * 2;
    assert!(site.platform.wait_for_runs(MAX_WAIT, all));
    let other = (leader + 1) % 3;
    site.wait_for_success(other, 1..=18);
    assert_tasks_run_once(&site.platform.runs());
    assert!(site.leader().is_some_and(|next| next != leader));
}

#[test]
fn accepted_jobs_survive_a_restart_of_all_instances() {
    let mut site = TestSite::start(2, 3);
    for job in 1..=6 {
        site.submit(job_of(job, "work=700", &[2]));
    }
    site.restart_all();
    for index in 0..2 {
        site.wait_until_ready(index);
        site.wait_for_success(index, 1..=6);
    }
    assert_tasks_run_once(&site.platform.runs());
}

#[test]
fn a_planned_stop_hands_over_leadership_and_exits_cleanly() {
    let mut site = TestSite::start(2, 3);
    wait_until("an instance leads", || site.leader().is_some());
    let leader = site.leader().expect("an instance leads");
    for job in 1..=4 {
        site.submit(job_of(job, "work=300", &[2]));
    }
    site.signal(leader, Signal::SIGTERM);
    wait_until("the balancer is told", || !site.is_ready(leader));
    // Callers that still arrive are answered.
    site.wait_for_success(leader, 1..=1);
    let status = site.wait_for_end(leader);
    assert!(status.success(), "{status}");
    site.entries[leader] = None;
    site.submit(job_of(5, "work=50", &[1]));
    site.wait_for_success(1 - leader, 1..=5);
    assert_tasks_run_once(&site.platform.runs());
}
