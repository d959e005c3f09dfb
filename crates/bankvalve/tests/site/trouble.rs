//! Failures of the platform: an unavailable table, lost answers, unresponsive workers.

use std::sync::Arc;

use bankvalve_queue::{WireCall, WireReply};
use bankvalve_standin::site::StoreFault;

use crate::test_site::{
    assert_tasks_run_once, count_done, exchange_full, job_of, submission, wait_until, TestSite,
    MAX_WAIT,
};

#[test]
fn jobs_are_refused_with_a_retry_time_while_the_table_refuses_requests() {
    let site = TestSite::start(2, 3);
    site.submit(job_of(1, "work=50", &[1]));
    site.platform.set_store_fault(StoreFault::Refuses);
    let refused = Arc::new(job_of(2, "work=50", &[1]));
    let call =
        bankvalve_platform::counterpart::write_request(&site.rule, &submission(&refused), None);
    let mut head = String::new();
    wait_until("a job is refused", || {
        let answer = exchange_full(site.entry(0).plan().callers, &call);
        let refusal = answer.filter(|(status, ..)| *status == 503);
        head = refusal.map_or(String::new(), |(_, head, _)| head);
        !head.is_empty()
    });
    assert!(head.contains("retry-after"), "{head}");
    let counted = |index: usize| {
        let metrics = site.metrics(index);
        metrics.lines().any(|line| {
            line.contains("refusals") && line.contains("store_away") && !line.ends_with(" 0")
        })
    };
    wait_until("the refusal is counted", || counted(0) || counted(1));
    site.platform.set_store_fault(StoreFault::None);
    site.submit(job_of(3, "work=50", &[2]));
    site.wait_for_success(1, 3..=3);
    assert!(site
        .platform
        .runs()
        .iter()
        .all(|run| run.task.step.job != 2));
}

#[test]
fn writes_with_lost_answers_are_applied_once() {
    let site = TestSite::start(2, 3);
    site.submit(job_of(1, "work=50", &[1]));
    site.platform.set_store_fault(StoreFault::LosesAnswers);
    let spec = Arc::new(job_of(2, "work=50", &[2]));
    let reply = site.send_request(0, &submission(&spec));
    // 504 (outcome unknown), unless a retransmission of the write shows that it was applied.
    assert!(
        matches!(
            reply,
            WireReply::Answer {
                status: 200 | 504,
                ..
            }
        ),
        "{reply:?}"
    );
    site.platform.set_store_fault(StoreFault::None);
    site.submit(job_of(2, "work=50", &[2]));
    site.wait_for_success(0, 1..=2);
    let runs = site.platform.runs();
    assert_tasks_run_once(&runs);
    assert_eq!(count_done(&runs), 3);
}

#[test]
fn a_task_of_an_unresponsive_worker_runs_elsewhere_only_after_its_first_run_has_ended() {
    let site = TestSite::start(2, 3);
    site.submit(job_of(1, "work=1500", &[1]));
    let begun = |runs: &[bankvalve_standin::site::SeenRun]| !runs.is_empty();
    assert!(site.platform.wait_for_runs(MAX_WAIT, begun));
    let first = site.platform.runs()[0].clone();
    // The first run goes on, but its end cannot be reported. The leader may start the task elsewhere only
    // once the lease, which it can no longer renew, has expired.
    site.platform.set_worker_silent(&first.worker, true);
    let again = |runs: &[bankvalve_standin::site::SeenRun]| {
        runs.iter()
            .any(|run| run.worker != first.worker && run.ended.is_some())
    };
    assert!(site.platform.wait_for_runs(MAX_WAIT, again));
    site.wait_for_success(0, 1..=1);
    let runs = site.platform.runs();
    for run in runs.iter().filter(|run| run.worker != first.worker) {
        let former_end = runs
            .iter()
            .find(|old| old.worker == first.worker)
            .and_then(|old| old.ended);
        assert!(former_end.is_some_and(|(at, _)| at <= run.began_ms));
    }
}

#[test]
fn the_table_is_read_again_after_its_change_history_is_lost() {
    let site = TestSite::start(2, 3);
    site.submit(job_of(1, "work=50", &[1]));
    site.platform.forget_history();
    let id = site
        .platform
        .add_worker("billing", 4_000)
        .expect("a worker");
    for job in 2..=20 {
        site.submit(job_of(job, "work=200", &[3]));
    }
    let used = |runs: &[bankvalve_standin::site::SeenRun]| runs.iter().any(|run| run.worker == id);
    assert!(site.platform.wait_for_runs(MAX_WAIT, used));
    site.wait_for_success(0, 1..=20);
    assert_tasks_run_once(&site.platform.runs());
}

#[test]
fn an_unknown_queue_is_not_denied_while_the_table_refuses_requests() {
    let site = TestSite::start(2, 2);
    let elsewhere = WireCall {
        method: "GET",
        path: "/elsewhere/".into(),
        headers: vec![("host", "hobart.example".into())],
        ..WireCall::default()
    };
    let send_request =
        || exchange_full(site.entry(0).plan().callers, &elsewhere).expect("an answer");
    assert_eq!(send_request().0, 404);
    site.platform.set_store_fault(StoreFault::Refuses);
    let (status, head, _) = send_request();
    assert_eq!(status, 503);
    assert!(head.contains("retry-after"), "{head}");
    site.platform.set_store_fault(StoreFault::None);
    wait_until("it is known not to be there", || send_request().0 == 404);
}
