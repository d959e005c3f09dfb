//! Checks of the ledger and the record against what was promised and what ran.

use std::collections::{BTreeMap, BTreeSet};

use bankvalve_cell::ledger::{
    verify_chain, JobPhase, JobState, LedgerBatch, LedgerEvent, LedgerSnapshot, RecordSegment,
    TaskPhase, TaskState, TeamLedger,
};
use bankvalve_cell::link::{ObjectOutcome, ObjectRequest, TaskId, TaskOutcome};
use bankvalve_cell::owner::TeamPartition;

use super::HistoryCheck;
use crate::load::JobLoad;
use crate::world::CellWorld;

/// The ledger of a team partition, read from the platform.
#[derive(Clone, Debug)]
pub struct LedgerView {
    /// All events in order.
    pub events: Vec<LedgerEvent>,
    /// The state that they leave.
    pub ledger: TeamLedger,
}

/// Reads and verifies the ledgers of all team partitions.
pub fn read_ledgers(world: &CellWorld, checks: &mut HistoryCheck) -> Vec<LedgerView> {
    (0..world.plan.partitions.team_partitions)
        .map(|partition| read_ledger(world, partition, checks))
        .collect()
}

fn read_ledger(world: &CellWorld, partition: u32, checks: &mut HistoryCheck) -> LedgerView {
    let mut objects = world.platform.objects.clone();
    let mut batches = BTreeMap::<u64, Vec<u8>>::new();
    let mut keep = |bytes: Vec<u8>, checks: &mut HistoryCheck| {
        let Some(batch) = LedgerBatch::decode(&bytes) else {
            checks.make("record readable", false, || "a batch is unreadable".into());
            return;
        };
        let known = batches.insert(batch.sequence, bytes.clone());
        let same = known.is_none_or(|known| known == bytes);
        checks.make("one content a batch", same, || {
            format!("partition {partition}: batch {}", batch.sequence)
        });
    };
    let prefix = TeamPartition::row_prefix(partition);
    for row in world.platform.table.rows_with(&format!("{prefix}log/")) {
        keep(row.value, checks);
    }
    let prefix = format!("record/{partition:04}/");
    if let ObjectOutcome::Names(names) = objects.handle(&ObjectRequest::List { prefix }) {
        for name in names {
            let content = objects.handle(&ObjectRequest::Get { name });
            let ObjectOutcome::Content(Some(bytes)) = content else {
                continue;
            };
            let segment = RecordSegment::decode(&bytes);
            for bytes in segment.into_iter().flat_map(|segment| segment.batches) {
                keep(bytes.into_vec(), checks);
            }
        }
    }
    let verified = verify_chain(batches.values().map(Vec::as_slice));
    checks.make("chain unbroken", verified.is_ok(), || {
        format!("partition {partition}: {verified:?}")
    });
    fold(world, partition, &batches, checks)
}

fn fold(
    world: &CellWorld,
    partition: u32,
    batches: &BTreeMap<u64, Vec<u8>>,
    checks: &mut HistoryCheck,
) -> LedgerView {
    let snapshot_key = format!("{}snap", TeamPartition::row_prefix(partition));
    let rows = world.platform.table.rows_with(&snapshot_key);
    let snapshot = rows
        .first()
        .and_then(|row| LedgerSnapshot::decode(&row.value));
    let mut ledger = TeamLedger::default();
    let mut events = Vec::new();
    for (sequence, bytes) in batches {
        let batch = LedgerBatch::decode(bytes).map(|batch| batch.events);
        for event in batch.into_iter().flatten() {
            ledger.apply(&event);
            events.push(event);
        }
        if let Some(snapshot) = snapshot
            .as_ref()
            .filter(|known| known.sequence == *sequence)
        {
            checks.make("snapshot is the fold", snapshot.ledger == ledger, || {
                format!("partition {partition}: the snapshot at {sequence} differs")
            });
        }
    }
    LedgerView { events, ledger }
}

/// Checks the ledgers against what submitters were told and what ran.
pub fn check_ledgers(
    world: &CellWorld,
    load: &JobLoad,
    ledgers: &[LedgerView],
    checks: &mut HistoryCheck,
) {
    let mut submitted = BTreeSet::new();
    for view in ledgers {
        check_gangs(view, checks);
        for event in &view.events {
            if let LedgerEvent::Submitted { spec, .. } = event {
                submitted.insert((spec.team.clone(), spec.id.clone()));
            }
        }
    }
    check_promises(world, load, ledgers, &submitted, checks);
    check_runs_recorded(world, ledgers, checks);
}

/// No attempt of a gang is seen running before the gang is committed.
fn check_gangs(view: &LedgerView, checks: &mut HistoryCheck) {
    let mut ledger = TeamLedger::default();
    for event in &view.events {
        if let LedgerEvent::Started { key, .. } = event {
            let job = ledger.job(&key.team, &key.job);
            if let Some(job) = job.filter(|job| job.spec.is_gang() && ledger.is_active(key)) {
                checks.make("gang committed first", job.gang_committed, || {
                    format!("{key} started before its gang was committed")
                });
            }
        }
        ledger.apply(event);
    }
}

fn check_promises(
    world: &CellWorld,
    load: &JobLoad,
    ledgers: &[LedgerView],
    submitted: &BTreeSet<(String, String)>,
    checks: &mut HistoryCheck,
) {
    for (name, job) in &load.jobs {
        let known = submitted.contains(name);
        if job.accepted {
            checks.make("accepted is kept", known, || {
                format!("job {name:?} was accepted and is not in the ledger")
            });
        }
        if job.refused {
            checks.make("not run is true", !known, || {
                format!("job {name:?} was refused as not run and is in the ledger")
            });
        }
        if !known {
            continue;
        }
        let state = ledgers
            .iter()
            .find_map(|view| view.ledger.job(&name.0, &name.1));
        let over = state.is_none_or(|state| state.phase() != JobPhase::Active);
        checks.make("everything ends", over, || {
            let text = state.map(|state| describe_open(world, state));
            format!("job {name:?} is not over after the quiet time: {text:?}")
        });
    }
}

/// What the owners know of the first open task of a job.
fn describe_open(world: &CellWorld, state: &JobState) -> Vec<String> {
    let over = |task: &TaskState| matches!(task.phase, TaskPhase::Done(_));
    let open = state.tasks.iter().position(|task| !over(task));
    let id = TaskId {
        team: state.spec.team.clone(),
        job: state.spec.id.clone(),
        task: open.unwrap_or(0) as u32,
    };
    let cores = world.entries.iter().filter_map(|slot| slot.core.as_ref());
    cores.flat_map(|core| core.describe_task(&id)).collect()
}

/// What the ledger says to have succeeded did run to its end, and where it says.
fn check_runs_recorded(world: &CellWorld, ledgers: &[LedgerView], checks: &mut HistoryCheck) {
    let mut real = BTreeSet::new();
    for (worker, slot) in &world.platform.workers {
        for record in slot.model.records() {
            if let Some(outcome) = record.outcome {
                real.insert((record.key.clone(), worker.clone(), outcome));
            }
        }
    }
    for event in ledgers.iter().flat_map(|view| &view.events) {
        if let LedgerEvent::Ended {
            key,
            worker,
            outcome: TaskOutcome::Succeeded,
            ..
        } = event
        {
            let found = real.contains(&(key.clone(), worker.clone(), TaskOutcome::Succeeded));
            checks.make("success is real", found, || {
                format!("{key} is recorded to have succeeded on {worker}, and did not")
            });
        }
    }
}
