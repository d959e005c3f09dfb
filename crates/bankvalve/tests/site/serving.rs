//! Jobs from submission to their end, cancellation, and refused requests.

use std::sync::Arc;

use bankvalve_queue::{CallerAnswer, CallerRequest, JobState, StepSpec, WireCall, WireReply};

use crate::test_site::{
    assert_tasks_run_once, count_done, exchange, job_of, rule_of, submission, wait_until, TestSite,
    MAX_WAIT,
};

#[test]
fn jobs_with_steps_run_once_and_all_instances_report_them() {
    let site = TestSite::start(3, 4);
    for job in 1..=8 {
        site.submit(job_of(job, "work=60", &[3, 2]));
    }
    let all = |runs: &[_]| count_done(runs) == 8 * 5;
    assert!(site.platform.wait_for_runs(MAX_WAIT, all));
    for index in 0..3 {
        site.wait_for_success(index, 1..=8);
    }
    let runs = site.platform.runs();
    assert_tasks_run_once(&runs);
    let ends = |job: u64, step: u16| {
        let of_step = runs
            .iter()
            .filter(move |run| run.task.step.job == job && run.task.step.step == step);
        of_step.collect::<Vec<_>>()
    };
    for job in 1..=8 {
        let last = ends(job, 0)
            .iter()
            .filter_map(|run| run.ended)
            .map(|(at, _)| at)
            .max();
        let first = ends(job, 1).iter().map(|run| run.began_ms).min();
        assert!(
            first >= last,
            "job {job}: a step began before the one before it"
        );
    }
}

#[test]
fn a_job_submitted_to_all_instances_at_once_runs_once() {
    let site = TestSite::start(3, 4);
    let spec = Arc::new(job_of(77, "work=50", &[2]));
    let request = submission(&spec);
    std::thread::scope(|scope| {
        for index in 0..3 {
            let (site, request) = (&site, &request);
            scope.spawn(move || {
                wait_until("the job is accepted", || {
                    matches!(
                        site.send_request(index, request),
                        WireReply::Answer { status: 200, .. }
                    )
                });
            });
        }
    });
    site.wait_for_success(1, 77..=77);
    assert_eq!(site.platform.runs().len(), 2);
}

#[test]
fn a_gang_fails_as_a_whole_and_a_cancelled_job_stops() {
    let site = TestSite::start(2, 4);
    let mut gang = job_of(5, "work=40 fails", &[3]);
    gang.steps[0] = StepSpec {
        gang: true,
        ..gang.steps[0].clone()
    };
    site.submit(gang);
    let failed = Some(CallerAnswer::State(JobState::Failed));
    wait_until("the gang fails", || site.state(0, 5) == failed);
    site.submit(job_of(6, "work=60000", &[2]));
    let both = |runs: &[bankvalve_standin::site::SeenRun]| {
        runs.iter().filter(|run| run.task.step.job == 6).count() == 2
    };
    assert!(site.platform.wait_for_runs(MAX_WAIT, both));
    let cancel = CallerRequest::Cancel { job: 6 };
    wait_until("it is cancelled", || {
        matches!(
            site.send_request(1, &cancel),
            WireReply::Answer { status: 200, .. }
        )
    });
    let stopped = || {
        let runs = site.platform.runs();
        let mut of_job = runs.iter().filter(|run| run.task.step.job == 6);
        of_job.all(|run| run.ended.is_some())
    };
    // The job is shown as cancelled from the answer on, even before the ends of its tasks are committed.
    let cancelled = Some(CallerAnswer::State(JobState::Cancelled));
    let mut checks_after_stop = 0;
    while checks_after_stop < 100 {
        assert_eq!(site.state(checks_after_stop % 2, 6), cancelled);
        checks_after_stop += usize::from(stopped());
    }
}

#[test]
fn unknown_jobs_invalid_jobs_and_unknown_routes_are_refused() {
    let mut site = TestSite::start(2, 2);
    assert_eq!(site.state(0, 404), Some(CallerAnswer::NoSuchJob));
    let bad = job_of(9, "", &[0]);
    let reply = site.send_request(1, &submission(&Arc::new(bad)));
    let WireReply::Answer { status: 400, body } = reply else {
        panic!("expected a refusal of the job, found {reply:?}");
    };
    let text = String::from_utf8_lossy(&body);
    assert!(text.contains("1 to 10000 tasks"), "{text}");
    let elsewhere = WireCall {
        method: "GET",
        path: "/elsewhere/".into(),
        headers: vec![("host", "hobart.example".into())],
        ..WireCall::default()
    };
    let reply = exchange(site.entry(0).plan().callers, &elsewhere);
    assert!(matches!(reply, WireReply::Answer { status: 404, .. }));
    // A route that the operator adds is served; one that the operator removes is not.
    let added = rule_of("other", "/other/");
    site.configure(2, vec![added.clone()]);
    let old = std::mem::replace(&mut site.rule, added);
    let count = CallerRequest::Count {
        queue: "other".into(),
    };
    for index in 0..2 {
        wait_until("the new queue is known", || {
            matches!(
                site.send_request(index, &count),
                WireReply::Answer { status: 200, .. }
            )
        });
    }
    site.rule = old;
    assert!(matches!(
        site.send_request(0, &count),
        WireReply::Answer { status: 404, .. }
    ));
}
