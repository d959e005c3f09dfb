//! The platform in trouble.

use std::sync::Arc;

use bankvalve_queue::{WireCall, WireReply};
use bankvalve_standin::site::StoreFault;

use crate::test_site::{
    assert_once, done_tasks, exchange_whole, job_of, submission, wait_until, TestSite, LONGEST,
};

#[test]
fn while_the_table_turns_all_away_jobs_are_refused_with_a_time_to_come_back() {
    let site = TestSite::start(2, 3);
    site.submit(job_of(1, "work=50", &[1]));
    site.platform.set_store_fault(StoreFault::Refuses);
    let refused = Arc::new(job_of(2, "work=50", &[1]));
    let call =
        bankvalve_platform::counterpart::write_request(&site.rule, &submission(&refused), None);
    let mut head = String::new();
    wait_until("a job is refused", || {
        let answer = exchange_whole(site.entry(0).plan().callers, &call);
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
fn writes_whose_answers_are_lost_are_done_once() {
    let site = TestSite::start(2, 3);
    site.submit(job_of(1, "work=50", &[1]));
    site.platform.set_store_fault(StoreFault::LosesAnswers);
    let spec = Arc::new(job_of(2, "work=50", &[2]));
    let reply = site.ask(0, &submission(&spec));
    // It is said that it is not known, unless a copy of the write showed that it was done.
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
    assert_once(&runs);
    assert_eq!(done_tasks(&runs), 3);
}

#[test]
fn a_silent_workers_tasks_run_elsewhere_only_after_its_hold() {
    let site = TestSite::start(2, 3);
    site.submit(job_of(1, "work=1500", &[1]));
    let begun = |runs: &[bankvalve_standin::site::SeenRun]| !runs.is_empty();
    assert!(site.platform.wait_for_runs(LONGEST, begun));
    let first = site.platform.runs()[0].clone();
    // Its task would end well if it were not for the hold, which nobody prolongs.
    site.platform.set_worker_silent(&first.worker, true);
    let again = |runs: &[bankvalve_standin::site::SeenRun]| {
        runs.iter()
            .any(|run| run.worker != first.worker && run.ended.is_some())
    };
    assert!(site.platform.wait_for_runs(LONGEST, again));
    site.wait_for_success(0, 1..=1);
    let runs = site.platform.runs();
    for run in runs.iter().filter(|run| run.worker != first.worker) {
        let over = runs
            .iter()
            .find(|old| old.worker == first.worker)
            .and_then(|old| old.ended);
        assert!(over.is_some_and(|(at, _)| at <= run.began_ms));
    }
}

#[test]
fn a_forgotten_history_is_read_anew() {
    let site = TestSite::start(2, 3);
    site.submit(job_of(1, "work=50", &[1]));
    site.platform.forget_history();
    let id = site.platform.add_worker("billing", 4_000);
    for job in 2..=20 {
        site.submit(job_of(job, "work=200", &[3]));
    }
    let used = |runs: &[bankvalve_standin::site::SeenRun]| runs.iter().any(|run| run.worker == id);
    assert!(site.platform.wait_for_runs(LONGEST, used));
    site.wait_for_success(0, 1..=20);
    assert_once(&site.platform.runs());
}

#[test]
fn a_queue_is_not_denied_while_the_table_does_not_tell() {
    let site = TestSite::start(2, 2);
    let elsewhere = WireCall {
        method: "GET",
        path: "/elsewhere/".into(),
        headers: vec![("host", "hobart.example".into())],
        ..WireCall::default()
    };
    let ask = || exchange_whole(site.entry(0).plan().callers, &elsewhere).expect("an answer");
    assert_eq!(ask().0, 404);
    site.platform.set_store_fault(StoreFault::Refuses);
    let (status, head, _) = ask();
    assert_eq!(status, 503);
    assert!(head.contains("retry-after"), "{head}");
    site.platform.set_store_fault(StoreFault::None);
    wait_until("it is known not to be there", || ask().0 == 404);
}
