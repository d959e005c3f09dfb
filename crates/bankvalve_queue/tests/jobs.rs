//! Jobs that are refused when they are handed in, since no leader could bear them.

use bankvalve_queue::{JobSpec, StepSpec};

fn step(count: u32) -> StepSpec {
    StepSpec {
        count,
        estimate_ms: 1_000,
        ..StepSpec::default()
    }
}

fn problem_of(steps: Vec<StepSpec>) -> Option<&'static str> {
    let job = JobSpec {
        steps,
        ..JobSpec::default()
    };
    job.check().err().map(|problem| problem.field)
}

#[test]
fn a_job_of_more_tasks_than_a_small_instance_holds_is_refused() {
    assert_eq!(problem_of(vec![step(10_000); 2]), None);
    assert_eq!(problem_of(vec![step(10_000); 3]), Some("steps"));
}

#[test]
fn a_job_that_no_row_of_the_ledger_holds_is_refused() {
    assert_eq!(problem_of(vec![step(1); 300]), None);
    assert_eq!(problem_of(vec![step(1); 1_000]), Some("steps"));
    let wordy = StepSpec {
        image: "x".repeat(60_000),
        ..step(1)
    };
    assert_eq!(problem_of(vec![wordy]), Some("steps"));
}

#[test]
fn a_guess_that_overflows_what_is_reckoned_with_it_is_refused() {
    let long = |estimate_ms| StepSpec {
        estimate_ms,
        ..step(1)
    };
    assert_eq!(problem_of(vec![long(30 * 86_400_000)]), None);
    assert_eq!(problem_of(vec![long(u64::MAX)]), Some("estimate"));
}
