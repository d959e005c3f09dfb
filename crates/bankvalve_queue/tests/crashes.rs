//! Workers that ended under a task: what counts as proof against it.

use bankvalve_queue::{CrashCount, CrashEnd, CrashEvidence, CrashWeight};

fn note(count: &mut CrashCount, worker: &str, run: u64, weight: CrashWeight) {
    note_age(count, worker, run, weight, 60);
}

/// Notes the end of a worker so many milliseconds after the order.
fn note_age(count: &mut CrashCount, worker: &str, run: u64, weight: CrashWeight, age_ms: u32) {
    let evidence = CrashEvidence {
        weight,
        confirmed: true,
        alive_ms: age_ms.saturating_sub(60),
        over_ms: Some(age_ms),
        beside: 0,
        others: 0,
        chance_ppm: 400,
    };
    let worker = worker.into();
    count.note(CrashEnd {
        worker,
        run,
        evidence,
    });
}

/// Guards against a job that is given up for a worker which ends again and again by itself.
#[test]
fn ends_of_one_worker_are_one_proof() {
    for weight in [CrashWeight::Young, CrashWeight::Proof] {
        let mut count = CrashCount::default();
        note(&mut count, "w-1", 1, weight);
        for run in 2..10 {
            note(&mut count, "w-1", run, CrashWeight::Proof);
            assert!(!count.is_conclusive(), "{run} ends of one worker");
        }
    }
}

#[test]
fn ends_of_two_workers_are_two_proofs() {
    let mut count = CrashCount::default();
    note(&mut count, "w-1", 1, CrashWeight::Young);
    note(&mut count, "w-2", 2, CrashWeight::Proof);
    note(&mut count, "w-2", 3, CrashWeight::Proof);
    assert!(!count.is_conclusive());
    note(&mut count, "w-3", 4, CrashWeight::Proof);
    assert!(count.is_conclusive());
}

/// Guards against a third start after three workers have ended, some of whose ends nobody told.
#[test]
fn a_task_with_proof_is_given_up_before_its_third_start_after_three_ends() {
    for untold in 0..3 {
        let mut count = CrashCount::default();
        note(&mut count, "w-1", 1, CrashWeight::Weak);
        count.note_run(1, true);
        for run in 2..4 {
            if run < 4 - untold {
                note(&mut count, &format!("w-{run}"), run, CrashWeight::Young);
            }
            count.note_run(run, run < 4 - untold);
        }
        assert!(!count.is_conclusive());
        note(&mut count, "w-4", 4, CrashWeight::Proof);
        count.note_run(4, true);
        assert!(
            !count.is_conclusive(),
            "one start after three, {untold} untold"
        );
        count.note_run(5, true);
        assert!(
            count.is_conclusive(),
            "two starts after three, {untold} untold"
        );
    }
}

/// Guards against a healthy task that is given up for workers which ended at unlike ages.
#[test]
fn ends_at_unlike_ages_grant_a_task_more_starts() {
    for (first_age_ms, is_conclusive) in [(60, true), (500, true), (7_900, false)] {
        let mut count = CrashCount::default();
        note_age(&mut count, "w-1", 1, CrashWeight::Weak, first_age_ms);
        note(&mut count, "w-2", 2, CrashWeight::Young);
        note(&mut count, "w-3", 3, CrashWeight::Proof);
        count.note_run(4, true);
        count.note_run(5, true);
        assert_eq!(
            count.is_conclusive(),
            is_conclusive,
            "the first ended at {first_age_ms} ms"
        );
    }
}

/// Guards against a healthy task that is given up for runs which were stopped.
#[test]
fn runs_that_were_stopped_are_no_proof() {
    let mut count = CrashCount::default();
    for run in 1..4 {
        note(&mut count, &format!("w-{run}"), run, CrashWeight::Weak);
        count.note_run(run, true);
    }
    for run in 4..10 {
        count.note_run(run, true);
    }
    assert!(!count.is_conclusive());
}
