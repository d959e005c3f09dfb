//! Jobs' times read from log lines as instances write them.

use std::time::Duration;

use bankvalve_check::trace::{JobStage, TraceBook};

const LINES: [&str; 9] = [
    r#"0.031 front-1 {"time":1000,"level":"info","part":"callers","event":"accept","id":"a0a49964a917465b","detail":"queue lookups steps 1 tasks 2 chain 719 ms"}"#,
    r#"0.054 front-1 {"time":1023,"level":"info","part":"placer","event":"place","id":"a0a49964a917465b.0.0.0","detail":"run 1 on i-b7c4aba7b3, room left 11900"}"#,
    r#"0.055 front-1 {"time":1024,"level":"info","part":"placer","event":"place","id":"a0a49964a917465b.0.0.1","detail":"run 1 on i-b7c4aba7b3, room left 7800"}"#,
    r#"0.067 front-1 {"time":1036,"level":"info","part":"runs","event":"start","id":"a0a49964a917465b.0.0.1","detail":"run 1 on i-b7c4aba7b3"}"#,
    r#"0.996 front-2 {"time":1965,"level":"info","part":"runs","event":"end","id":"a0a49964a917465b.0.0.1","detail":"run 1 on i-b7c4aba7b3: done after 929.21814ms"}"#,
    r#"1.169 front-2 {"time":2138,"level":"info","part":"runs","event":"end","id":"a0a49964a917465b.0.0.0","detail":"run 1 on i-b7c4aba7b3: done after 1.101125648s"}"#,
    r#"1.181 front-2 {"time":2150,"level":"info","part":"ledger","event":"over","id":"a0a49964a917465b","detail":"Succeeded kept 1150 ms after its acceptance"}"#,
    r#"1.190 front-2 {"time":2159,"level":"info","part":"callers","event":"shown","id":"a0a49964a917465b","detail":"Succeeded"}"#,
    r#"1.290 front-2 {"time":2259,"level":"info","part":"callers","event":"shown","id":"a0a49964a917465b","detail":"Succeeded"}"#,
];

#[test]
fn a_jobs_stages_add_up_to_its_whole_time() {
    let mut book = TraceBook::default();
    // Lines of several instances come in any order.
    for line in LINES.iter().rev() {
        book.read_line(line);
    }
    let job = book.jobs().next().expect("a job");
    assert_eq!((job.queue.as_str(), job.tasks), ("lookups", 2));
    let stages = JobStage::ALL.map(|stage| job.stage(stage).expect("a time").as_millis());
    assert_eq!(stages, [23, 13, 1_102, 12, 9, 1_159]);
    assert_eq!(stages[..5].iter().sum::<u128>(), stages[5]);
}

#[test]
fn what_was_not_seen_has_no_time_and_other_lines_do_no_harm() {
    let mut book = TraceBook::default();
    book.read_line("plain text {not json");
    book.read_line(r#"{"time":5}"#);
    book.read_line(r#"{"time":5,"level":"warn","part":"log","event":"left_out","detail":"7"}"#);
    book.read_line(LINES[0]);
    book.read_line(LINES[6]);
    let job = book.jobs().next().expect("a job");
    assert_eq!(job.stage(JobStage::Wait), None);
    assert_eq!(job.stage(JobStage::Whole), None);
    assert_eq!(book.left_out(), 1);
    assert_eq!(
        Duration::ZERO,
        job.stage(JobStage::Keep).unwrap_or_default()
    );
}

#[test]
fn jobs_whose_acceptance_was_not_seen_are_passed_over() {
    let mut book = TraceBook::default();
    book.read_line(LINES[4]);
    assert_eq!(book.jobs().count(), 0);
}

#[test]
fn a_change_of_leader_is_timed_between_the_starts_around_it() {
    let mut book = TraceBook::default();
    let line = |time: u64, part: &str, event: &str| {
        format!(r#"{{"time":{time},"part":"{part}","event":"{event}","id":"7.0.0.0"}}"#)
    };
    let lines = [
        line(100, "election", "lead"),
        line(150, "runs", "start"),
        line(400, "runs", "start"),
        line(1_300, "election", "lead"),
        line(1_450, "runs", "start"),
        line(1_460, "runs", "start"),
    ];
    for line in lines.iter().rev() {
        book.read_line(line);
    }
    assert_eq!(book.pauses(), [Duration::from_millis(1_050)]);
}
