//! Time of single decisions, by the wall clock of this machine.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use bankvalve_cell::contract::{CellBundle, JobKind, JobSpec, PlaceRule};
use bankvalve_cell::ids::{CellTime, WorkerName};
use bankvalve_cell::ledger::BatchWriter;
use bankvalve_cell::link::{
    CallerCommand, PartitionDigest, PeerMessage, TableTransaction, WorkerExchange,
};
use bankvalve_cell::machine::{ListState, ListedWorker, TaskSize, WorkerDetail};
use bankvalve_cell::membership::WorkerRoster;
use bankvalve_cell::owner::{
    CellTimings, FlushOutcome, GuardSet, OwnerAction, OwnerContext, TeamPartition, TeamView,
    WorkerPartition,
};
use bankvalve_cell::placement::{DigestCache, PlacePolicy};
use bankvalve_cell::tally::CellTally;
use bankvalve_standin::model::WorkerModel;
use hdrhistogram::Histogram;

use crate::world::{team_name, worker_group, WorldPlan};

/// Workers of one partition, as at the target.
const PARTITION_WORKERS: usize = 16;
/// Single tasks that are decided on.
const SINGLES: u32 = 2_000;
/// Gangs that are decided on.
const GANGS: u32 = 60;
/// Run time of each task in milliseconds.
const RUN_TIME_MS: u64 = 500;
/// Steps in which all tasks end.
const SETTLE_STEPS: u32 = 12;
/// Time of each such step.
const SETTLE_STEP: Duration = Duration::from_millis(1_000);
/// Tasks of each gang.
const GANG_TASKS: u32 = 100;

/// Times of decisions, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct DecisionTimes {
    /// Median for a single task.
    pub single_p50: f64,
    /// 99th percentile for a single task.
    pub single_p99: f64,
    /// Median for a gang of 100 tasks.
    pub gang_p50: f64,
    /// 99th percentile for a gang of 100 tasks.
    pub gang_p99: f64,
    /// Single tasks a second, one after the other.
    pub per_second: f64,
}

/// Owners of one cell, stepped by hand so that each decision can be timed.
struct DecisionBench {
    digest_cache: DigestCache,
    partitions: Vec<WorkerPartition>,
    workers: BTreeMap<WorkerName, WorkerModel>,
    team: TeamPartition,
    listed: Vec<ListedWorker>,
    bundle: CellBundle,
    timings: CellTimings,
    tally: CellTally,
    now: CellTime,
    version: u64,
}

/// Measures decisions in a cell with so many workers.
///
/// A decision is all that the program computes for a task or gang: the
/// choice of partitions, the intent, and the choice of workers. Waits for
/// the table and the links are not in it.
pub fn measure_decisions(workers: u32) -> DecisionTimes {
    let mut bench = DecisionBench::new(workers);
    let mut singles = new_histogram();
    let mut gangs = new_histogram();
    let mut spent = Duration::ZERO;
    for number in 0..SINGLES {
        let time = bench.decide(number, 1);
        spent += time;
        singles.saturating_record(time.as_nanos() as u64);
        if number % 50 == 49 {
            bench.settle();
        }
    }
    for number in 0..GANGS {
        bench.settle();
        let time = bench.decide(SINGLES + number, GANG_TASKS);
        gangs.saturating_record(time.as_nanos() as u64);
    }
    let micros = |histogram: &Histogram<u64>, q| histogram.value_at_quantile(q) as f64 / 1_000.0;
    DecisionTimes {
        single_p50: micros(&singles, 0.5),
        single_p99: micros(&singles, 0.99),
        gang_p50: micros(&gangs, 0.5),
        gang_p99: micros(&gangs, 0.99),
        per_second: f64::from(SINGLES) / spent.as_secs_f64(),
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000_000, 3).expect("the bounds are in order")
}

impl DecisionBench {
    fn new(workers: u32) -> Self {
        let group = worker_group("tasmania", "hobart", workers, 8);
        let plan = WorldPlan::of_groups(&[group], 1, 88);
        let details = plan.workers.clone();
        let listed = details
            .iter()
            .map(|detail| ListedWorker {
                detail: detail.clone(),
                state: ListState::Live,
            })
            .collect();
        let models = details
            .iter()
            .map(|detail| (detail.name.clone(), WorkerModel::new(detail.clone())))
            .collect();
        let writer = BatchWriter {
            instance: "entry-1".into(),
            incarnation: 1,
            epoch: 1,
        };
        let mut bundle = plan.bundle;
        for contract in bundle.teams.values_mut() {
            contract.quota = TaskSize {
                millicores: u32::MAX,
                memory_mib: u32::MAX,
                accelerators: 0,
            };
        }
        let mut bench = Self {
            digest_cache: DigestCache::default(),
            partitions: Vec::new(),
            workers: models,
            team: TeamPartition::new(0, writer, 1, PlacePolicy::default(), CellTime::ZERO),
            listed,
            bundle,
            timings: CellTimings::default(),
            tally: CellTally::default(),
            now: Duration::from_secs(1),
            version: 1,
        };
        for (index, part) in details.chunks(PARTITION_WORKERS).enumerate() {
            bench.add_partition(index as u32, part);
        }
        bench.load_team();
        bench.settle();
        bench
    }

    fn add_partition(&mut self, index: u32, workers: &[WorkerDetail]) {
        let policy = PlacePolicy::default();
        let region = "tasmania".into();
        let mut owner = WorkerPartition::new(index, 1, region, policy, self.now);
        let roster = WorkerRoster {
            workers: workers.to_vec(),
            drained: Vec::new(),
        };
        owner.handle_roster(roster, 1, self.now);
        let listed: Vec<ListedWorker> = workers
            .iter()
            .map(|detail| ListedWorker {
                detail: detail.clone(),
                state: ListState::Live,
            })
            .collect();
        owner.handle_list(&listed, self.now);
        self.partitions.push(owner);
    }

    /// Runs a step of a worker partition and returns what it asks to be done.
    fn with_partition(
        &mut self,
        index: usize,
        step: impl FnOnce(&mut WorkerPartition, &mut OwnerContext<'_>),
    ) -> Vec<OwnerAction> {
        let mut actions = Vec::new();
        let mut ctx = OwnerContext {
            now: self.now,
            wall: 0,
            timings: &self.timings,
            guards: GuardSet::default(),
            bundle: &self.bundle,
            tally: &mut self.tally,
            actions: &mut actions,
        };
        step(&mut self.partitions[index], &mut ctx);
        actions
    }

    fn with_team(
        &mut self,
        step: impl FnOnce(&mut TeamPartition, &mut TeamView<'_>, &mut OwnerContext<'_>),
    ) -> Vec<OwnerAction> {
        let rows = (0..self.partitions.len() as u32).map(|index| (index, (1, 1)));
        let rows = rows.collect();
        let mut actions = Vec::new();
        let mut ctx = OwnerContext {
            now: self.now,
            wall: 0,
            timings: &self.timings,
            guards: GuardSet::default(),
            bundle: &self.bundle,
            tally: &mut self.tally,
            actions: &mut actions,
        };
        let mut view = TeamView {
            digest_cache: &mut self.digest_cache,
            worker_rows: &rows,
            listed: &self.listed,
            store_available: true,
        };
        step(&mut self.team, &mut view, &mut ctx);
        actions
    }

    fn load_team(&mut self) {
        self.with_team(|team, _, ctx| {
            team.load(&[], ctx);
        });
        self.commit();
    }

    /// Commits what is pending, as if the table answered at once.
    fn commit(&mut self) -> Vec<OwnerAction> {
        self.version += 1;
        let outcome = FlushOutcome::Committed(self.version);
        self.with_team(|team, _, ctx| {
            let mut txn = TableTransaction::default();
            if team.begin_flush(&mut txn, ctx) {
                team.end_flush(&outcome, ctx);
            }
            if team.begin_archive(ctx).is_some() {
                team.end_archive(true, ctx);
            }
        })
    }

    /// Lets time pass until all tasks have ended and all owners know it.
    fn settle(&mut self) {
        for _ in 0..SETTLE_STEPS {
            self.now += SETTLE_STEP;
            for index in 0..self.partitions.len() {
                let actions = self.with_partition(index, |owner, ctx| owner.tick(ctx));
                self.carry(actions);
                let sequence = self.now.as_millis() as u64;
                let digest = PartitionDigest {
                    sequence,
                    ..self.partitions[index].digest()
                };
                self.digest_cache.update(self.now, digest);
            }
            let actions = self.with_team(|team, view, ctx| team.tick(view, ctx));
            self.carry(actions);
            let actions = self.commit();
            self.carry(actions);
        }
    }

    /// Carries what owners ask for to workers and to each other.
    fn carry(&mut self, actions: Vec<OwnerAction>) {
        let mut left: VecDeque<OwnerAction> = actions.into();
        while let Some(action) = left.pop_front() {
            let more = match action {
                OwnerAction::Exchange {
                    partition,
                    worker,
                    exchange,
                    ..
                } => self.exchange(partition as usize, &worker, &exchange),
                OwnerAction::ToTeamPartition { message, .. } => self.tell_team(message),
                OwnerAction::ToWorkerPartition { partition, message } => {
                    self.tell_partition(partition as usize, message)
                }
                _ => Vec::new(),
            };
            left.extend(more);
        }
    }

    fn exchange(
        &mut self,
        index: usize,
        worker: &str,
        exchange: &WorkerExchange,
    ) -> Vec<OwnerAction> {
        let clock = self.now.as_millis() as u64;
        let model = self.workers.get_mut(worker).expect("known");
        let answer = Ok(model.exchange(clock, exchange));
        let token = exchange.token;
        self.with_partition(index, |owner, ctx| {
            owner.handle_answer(worker, token, answer, ctx);
        })
    }

    fn tell_team(&mut self, message: PeerMessage) -> Vec<OwnerAction> {
        let PeerMessage::Status {
            partition,
            epoch,
            key,
            status,
            ..
        } = message
        else {
            return Vec::new();
        };
        self.with_team(|team, view, ctx| {
            team.handle_status(partition, epoch, &key, status, view, ctx);
        })
    }

    fn tell_partition(&mut self, index: usize, message: PeerMessage) -> Vec<OwnerAction> {
        self.with_partition(index, |owner, ctx| match message {
            PeerMessage::Place { order, .. } => owner.place(*order, ctx),
            PeerMessage::EndRecorded { key, .. } => owner.end_recorded(&key, ctx),
            message => owner.withdraw(message, ctx),
        })
    }

    /// Decides on a job and returns the time that it took.
    fn decide(&mut self, number: u32, tasks: u32) -> Duration {
        let spec = JobSpec {
            id: format!("job-{number}"),
            team: team_name(number % 88),
            kind: if tasks == 1 {
                JobKind::Batch { tasks }
            } else {
                JobKind::Gang { tasks }
            },
            size: TaskSize {
                millicores: 500,
                memory_mib: 512,
                accelerators: 0,
            },
            run_time_ms: RUN_TIME_MS,
            urgent: false,
            repeatable: true,
            place: PlaceRule::default(),
            payload: String::new(),
        };
        let command = CallerCommand::Submit {
            spec: Box::new(spec),
        };
        self.with_team(|team, view, ctx| {
            team.command("entry-1".into(), 1, command, view, ctx);
        });
        self.commit();
        self.now += Duration::from_millis(1);
        let begun = Instant::now();
        self.with_team(|team, view, ctx| team.tick(view, ctx));
        self.commit();
        let orders = self.with_team(|team, view, ctx| team.tick(view, ctx));
        let mut said = Vec::new();
        for action in orders {
            if let OwnerAction::ToWorkerPartition { partition, message } = action {
                said.extend(self.tell_partition(partition as usize, message));
            }
        }
        let time = begun.elapsed();
        self.carry(said);
        time
    }
}
