//! Jobs that arrive at random, and what their submitters were told.

use std::collections::BTreeMap;
use std::time::Duration;

use bankvalve_cell::contract::{JobKind, JobSpec, PlaceRule};
use bankvalve_cell::ids::Ticket;
use bankvalve_cell::link::{CallerAnswer, CallerCommand};
use bankvalve_cell::machine::TaskSize;
use bankvalve_standin::model::TaskScript;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::world::CellWorld;

/// What kinds of jobs arrive, in parts of a hundred.
#[derive(Clone, Copy, Debug)]
pub struct LoadShape {
    /// Mean time between two jobs.
    pub pause: Duration,
    /// Teams that submit.
    pub teams: u32,
    /// Gangs.
    pub gangs: u32,
    /// Services.
    pub services: u32,
    /// Urgent batch jobs.
    pub urgent: u32,
    /// Batch jobs that must not be repeated.
    pub once: u32,
    /// Jobs whose declarations are wrong.
    pub wrong: u32,
    /// Most tasks of a batch job.
    pub tasks: u32,
    /// Longest declared run time in milliseconds.
    pub run_ms: u64,
}

impl Default for LoadShape {
    fn default() -> Self {
        Self {
            pause: Duration::from_millis(350),
            teams: 6,
            gangs: 12,
            services: 5,
            urgent: 10,
            once: 15,
            wrong: 15,
            tasks: 10,
            run_ms: 6_000,
        }
    }
}

/// A job that was submitted, and what its submitter was told.
#[derive(Clone, Debug)]
pub struct SentJob {
    /// The job.
    pub spec: JobSpec,
    /// When it was submitted.
    pub sent: Duration,
    /// Whether it was once said to be accepted.
    pub accepted: bool,
    /// Whether every submission of it was refused as certainly not run.
    pub refused: bool,
    /// Whether it was cancelled, or may have been.
    pub cancelled: bool,
    /// Submissions that wait for an answer.
    open: u32,
    /// Whether an answer was `unknown` or never came.
    doubtful: bool,
}

/// Submits jobs at random and keeps what was answered.
#[derive(Debug)]
pub struct JobLoad {
    /// All jobs by team and id.
    pub jobs: BTreeMap<(String, String), SentJob>,
    shape: LoadShape,
    rng: Pcg64Mcg,
    tickets: BTreeMap<Ticket, (String, String)>,
    numbered: u64,
    next: Duration,
    domains: Vec<String>,
}

impl JobLoad {
    /// Makes a load; it draws its own randomness, so that it is alike under other faults.
    pub fn new(shape: LoadShape, seed: u64, domains: Vec<String>) -> Self {
        Self {
            jobs: BTreeMap::new(),
            shape,
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x10ad),
            tickets: BTreeMap::new(),
            numbered: 0,
            next: Duration::from_secs(3),
            domains,
        }
    }

    /// Submits what is due, and sometimes cancels a job or submits one again.
    pub fn run(&mut self, world: &mut CellWorld) {
        while self.next <= world.now {
            let pause = self.shape.pause.as_secs_f64() * -self.rng.random::<f64>().ln();
            self.next += Duration::from_secs_f64(pause.clamp(0.001, 10.0));
            let spec = self.draw_spec();
            self.submit(world, spec);
            if self.rng.random_bool(0.08) {
                self.cancel_one(world);
            }
            if self.rng.random_bool(0.08) {
                self.submit_again(world);
            }
        }
    }

    /// Takes in the answers that the world has collected.
    pub fn take_answers(&mut self, world: &mut CellWorld) {
        for (_, ticket, answer) in std::mem::take(&mut world.answers) {
            let Some(name) = self.tickets.remove(&ticket) else {
                continue;
            };
            let Some(job) = self.jobs.get_mut(&name) else {
                continue;
            };
            job.open -= 1;
            match answer {
                CallerAnswer::Accepted { .. } => {
                    job.accepted = true;
                    job.refused = false;
                }
                CallerAnswer::NotRun(_) => {}
                _ => job.doubtful = true,
            }
            job.refused = !job.accepted && !job.doubtful && job.open == 0;
        }
    }

    /// Cancels many jobs at once.
    pub fn cancel_wave(&mut self, world: &mut CellWorld) {
        for _ in 0..self.jobs.len().min(25) {
            self.cancel_one(world);
        }
    }

    /// Cancels all services, so that a run can end.
    pub fn cancel_services(&mut self, world: &mut CellWorld) {
        let services: Vec<(String, String)> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.spec.service().is_some())
            .map(|(name, _)| name.clone())
            .collect();
        for name in services {
            self.cancel(world, &name);
        }
    }

    /// Submits a job through an entry instance drawn at random.
    pub fn submit(&mut self, world: &mut CellWorld, spec: JobSpec) {
        let name = (spec.team.clone(), spec.id.clone());
        let sent = world.now;
        let job = self.jobs.entry(name.clone()).or_insert_with(|| SentJob {
            spec: spec.clone(),
            sent,
            accepted: false,
            refused: false,
            cancelled: false,
            open: 0,
            doubtful: false,
        });
        let entry = self.rng.random_range(0..world.entries.len());
        let spec = Box::new(spec);
        if let Some(ticket) = world.command(entry, CallerCommand::Submit { spec }) {
            job.open += 1;
            job.refused = false;
            self.tickets.insert(ticket, name);
        }
    }

    fn submit_again(&mut self, world: &mut CellWorld) {
        let names: Vec<_> = self.jobs.keys().rev().take(8).cloned().collect();
        if let Some(name) = names.choose(&mut self.rng) {
            let spec = self.jobs[name].spec.clone();
            self.submit(world, spec);
        }
    }

    fn cancel_one(&mut self, world: &mut CellWorld) {
        let names: Vec<_> = self.jobs.keys().cloned().collect();
        if let Some(name) = names.choose(&mut self.rng).cloned() {
            self.cancel(world, &name);
        }
    }

    fn cancel(&mut self, world: &mut CellWorld, name: &(String, String)) {
        let entry = self.rng.random_range(0..world.entries.len());
        let (team, job) = name.clone();
        let sent = world.command(entry, CallerCommand::Cancel { team, job });
        if let Some(job) = self.jobs.get_mut(name) {
            job.cancelled |= sent.is_some();
        }
    }

    fn draw_spec(&mut self) -> JobSpec {
        self.numbered += 1;
        let shape = self.shape;
        let draw = self.rng.random_range(0..100);
        let team = crate::world::team_name(self.rng.random_range(0..shape.teams));
        let id = format!("job-{:06}", self.numbered);
        let count = self.rng.random_range(1..=shape.tasks);
        let mut urgent = false;
        let mut repeatable = true;
        let kind = if draw < shape.gangs {
            JobKind::Gang {
                tasks: count.clamp(2, 6),
            }
        } else if draw < shape.gangs + shape.services {
            JobKind::Service {
                service: format!("service-{}", self.numbered),
                replicas: count.clamp(2, 4),
                min_available: 1,
            }
        } else {
            urgent = self.rng.random_range(0..100) < shape.urgent;
            repeatable = self.rng.random_range(0..100) >= shape.once;
            JobKind::Batch { tasks: count }
        };
        let size = TaskSize {
            millicores: 500 * self.rng.random_range(1..=8),
            memory_mib: 1_024 * self.rng.random_range(1..=8),
            accelerators: 0,
        };
        let run_time_ms = self.rng.random_range(50..shape.run_ms);
        JobSpec {
            id,
            team,
            kind,
            size,
            run_time_ms,
            urgent,
            repeatable,
            place: self.draw_rule(),
            payload: self.draw_payload(size, run_time_ms),
        }
    }

    fn draw_rule(&mut self) -> PlaceRule {
        let mut rule = PlaceRule::default();
        if self.rng.random_bool(0.1) {
            rule.allow
                .extend(self.domains.choose(&mut self.rng).cloned());
        }
        if self.rng.random_bool(0.1) {
            rule.deny
                .extend(self.domains.choose(&mut self.rng).cloned());
        }
        rule
    }

    fn draw_payload(&mut self, size: TaskSize, run_time_ms: u64) -> String {
        if self.rng.random_range(0..100) >= self.shape.wrong {
            return String::new();
        }
        let script = match self.rng.random_range(0..3) {
            0 => TaskScript {
                run_ms: Some(run_time_ms * 4),
                ..TaskScript::default()
            },
            1 => TaskScript {
                fail: true,
                ..TaskScript::default()
            },
            _ => TaskScript {
                memory_mib: Some(size.memory_mib * 2),
                millicores: Some(size.millicores * 2),
                ..TaskScript::default()
            },
        };
        serde_json::to_string(&script).unwrap_or_default()
    }
}
