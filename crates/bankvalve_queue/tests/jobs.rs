//! Jobs that are rejected at submission because a leader or the ledger could not hold them.

use bankvalve_queue::{JobSpec, StepSpec};

fn step(count: u32) -> StepSpec {
    StepSpec {
        count,
        estimate_ms: 1_000,
        ..StepSpec::default()
    }
}

fn field_with_problem(steps: Vec<StepSpec>) -> Option<&'static str> {
    let job = JobSpec {
        steps,
        ..JobSpec::default()
    };
    job.check().err().map(|problem| problem.field)
}

#[test]
fn a_job_with_more_tasks_than_a_small_instance_can_hold_is_rejected() {
    assert_eq!(field_with_problem(vec![step(10_000); 2]), None);
    assert_eq!(field_with_problem(vec![step(10_000); 3]), Some("steps"));
}

#[test]
fn a_job_that_does_not_fit_into_a_ledger_row_is_rejected() {
    assert_eq!(field_with_problem(vec![step(1); 300]), None);
    assert_eq!(field_with_problem(vec![step(1); 1_000]), Some("steps"));
    let with_long_image = StepSpec {
        image: "x".repeat(60_000),
        ..step(1)
    };
    assert_eq!(field_with_problem(vec![with_long_image]), Some("steps"));
}

#[test]
fn an_estimate_that_would_overflow_calculations_is_rejected() {
    let with_estimate = |estimate_ms| StepSpec {
        estimate_ms,
        ..step(1)
    };
    assert_eq!(
        field_with_problem(vec![with_estimate(30 * 86_400_000)]),
        None
    );
    assert_eq!(
        field_with_problem(vec![with_estimate(u64::MAX)]),
        Some("estimate")
    );
}
