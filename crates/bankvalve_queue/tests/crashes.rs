//! Workers that ended under a task: what counts as proof against it.

use bankvalve_queue::{CrashCount, CrashEnd, CrashEvidence, CrashWeight};

fn note(count: &mut CrashCount, worker: &str, run: u64, weight: CrashWeight) {
    let evidence = CrashEvidence {
        weight,
        confirmed: true,
        alive_ms: 0,
        over_ms: Some(60),
        beside: 0,
        others: 0,
        chance_ppm: 40,
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
            assert!(!count.is_spent(), "{run} ends of one worker");
        }
    }
}

#[test]
fn ends_of_two_workers_are_two_proofs() {
    let mut count = CrashCount::default();
    note(&mut count, "w-1", 1, CrashWeight::Young);
    note(&mut count, "w-2", 2, CrashWeight::Proof);
    note(&mut count, "w-2", 3, CrashWeight::Proof);
    assert!(!count.is_spent());
    note(&mut count, "w-3", 4, CrashWeight::Proof);
    assert!(count.is_spent());
}
