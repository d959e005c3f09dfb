//! A steady stream of jobs of known size, for measurements.

use std::collections::BTreeMap;
use std::time::Duration;

use bankvalve_cell::contract::{JobKind, JobSpec, PlaceRule};
use bankvalve_cell::ids::Ticket;
use bankvalve_cell::link::{CallerAnswer, CallerCommand};
use bankvalve_cell::machine::TaskSize;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::world::{team_name, CellWorld};

/// Time after which a refused job is submitted again.
const COME_BACK: Duration = Duration::from_millis(500);

/// A steady stream of jobs.
#[derive(Clone, Debug)]
pub struct StreamShape {
    /// Teams that submit.
    pub teams: u32,
    /// Task starts a second.
    pub starts_per_second: f64,
    /// Mean tasks of a batch job.
    pub tasks_per_job: u32,
    /// Mean run time of a task.
    pub run_time: Duration,
    /// Services, each with this many replicas.
    pub services: u32,
    /// Replicas of each service.
    pub replicas: u32,
    /// Part of jobs that are gangs, in a hundred.
    pub gangs: u32,
    /// Part of jobs that are urgent, in a hundred.
    pub urgent: u32,
    /// Sizes of tasks, each as likely as the others.
    pub sizes: Vec<TaskSize>,
    /// Size of a service's task.
    pub service_size: TaskSize,
}

/// Kind of work, as waiting times are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WorkKind {
    /// Urgent batch work.
    Urgent,
    /// Batch work.
    Batch,
    /// Gangs.
    Gang,
    /// Services.
    Service,
}

impl WorkKind {
    /// Name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            WorkKind::Urgent => "urgent",
            WorkKind::Batch => "batch",
            WorkKind::Gang => "gang",
            WorkKind::Service => "service",
        }
    }
}

/// Submits a steady stream of jobs.
#[derive(Debug)]
pub struct StreamLoad {
    /// When each job was first submitted, and its kind.
    pub sent: BTreeMap<(String, String), (Duration, WorkKind, u32)>,
    /// Refusals that were answered.
    pub refused: u64,
    shape: StreamShape,
    /// Draws the jobs, so that the same seed gives the same jobs under any policy.
    rng: Pcg64Mcg,
    /// Draws the entry instances that jobs go through.
    entry_rng: Pcg64Mcg,
    next: Duration,
    numbered: u64,
    open: BTreeMap<Ticket, JobSpec>,
    again: Vec<(Duration, JobSpec)>,
}

impl StreamLoad {
    /// Makes a stream that begins at a time with all its services.
    pub fn new(shape: StreamShape, seed: u64, begin: Duration) -> Self {
        let mut load = Self {
            sent: BTreeMap::new(),
            refused: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            entry_rng: Pcg64Mcg::seed_from_u64(seed + 1),
            next: begin,
            numbered: 0,
            open: BTreeMap::new(),
            again: Vec::new(),
            shape,
        };
        for number in 0..load.shape.services {
            let spec = load.service_spec(number);
            load.again.push((begin, spec));
        }
        load
    }

    /// Submits what is due.
    pub fn run(&mut self, world: &mut CellWorld) {
        self.take_answers(world);
        let now = world.now;
        let (due, later) = self.again.drain(..).partition(|(at, _)| *at <= now);
        self.again = later;
        let due: Vec<(Duration, JobSpec)> = due;
        for (_, spec) in due {
            self.submit(world, spec);
        }
        while self.next <= now {
            let jobs_per_second =
                self.shape.starts_per_second / f64::from(self.shape.tasks_per_job);
            let pause = -self.rng.random::<f64>().ln() / jobs_per_second;
            self.next += Duration::from_secs_f64(pause);
            let spec = self.batch_spec();
            self.submit(world, spec);
        }
    }

    fn take_answers(&mut self, world: &mut CellWorld) {
        for (_, ticket, answer) in std::mem::take(&mut world.answers) {
            let Some(spec) = self.open.remove(&ticket) else {
                continue;
            };
            if !matches!(answer, CallerAnswer::Accepted { .. }) {
                self.refused += 1;
                self.again.push((world.now + COME_BACK, spec));
            }
        }
    }

    fn submit(&mut self, world: &mut CellWorld, spec: JobSpec) {
        let name = (spec.team.clone(), spec.id.clone());
        let kind = kind_of(&spec);
        let count = spec.task_count();
        self.sent.entry(name).or_insert((world.now, kind, count));
        let entry = self.entry_rng.random_range(0..world.entries.len());
        let command = CallerCommand::Submit {
            spec: Box::new(spec.clone()),
        };
        match world.command(entry, command) {
            Some(ticket) => {
                self.open.insert(ticket, spec);
            }
            None => self.again.push((world.now + COME_BACK, spec)),
        }
    }

    fn service_spec(&mut self, number: u32) -> JobSpec {
        JobSpec {
            id: format!("service-{number:04}"),
            team: team_name(number % self.shape.teams),
            kind: JobKind::Service {
                service: format!("service-{number:04}"),
                replicas: self.shape.replicas,
                min_available: 1,
            },
            size: self.shape.service_size,
            run_time_ms: 0,
            urgent: false,
            repeatable: true,
            place: PlaceRule::default(),
            payload: String::new(),
        }
    }

    fn batch_spec(&mut self) -> JobSpec {
        self.numbered += 1;
        let mean = self.shape.tasks_per_job;
        let tasks = self.rng.random_range(1..=mean * 2 - 1);
        let draw = self.rng.random_range(0..100);
        let gang = draw < self.shape.gangs;
        let urgent = !gang && draw < self.shape.gangs + self.shape.urgent;
        let mean_ms = self.shape.run_time.as_millis() as u64;
        JobSpec {
            id: format!("job-{:07}", self.numbered),
            team: team_name(self.rng.random_range(0..self.shape.teams)),
            kind: if gang {
                JobKind::Gang { tasks }
            } else {
                JobKind::Batch { tasks }
            },
            size: *self.shape.sizes.choose(&mut self.rng).expect("some size"),
            run_time_ms: self.rng.random_range(mean_ms / 2..mean_ms * 3 / 2),
            urgent,
            repeatable: true,
            place: PlaceRule::default(),
            payload: String::new(),
        }
    }
}

fn kind_of(spec: &JobSpec) -> WorkKind {
    if spec.urgent {
        return WorkKind::Urgent;
    }
    match spec.kind {
        JobKind::Service { .. } => WorkKind::Service,
        JobKind::Batch { .. } => WorkKind::Batch,
        JobKind::Gang { .. } => WorkKind::Gang,
    }
}
