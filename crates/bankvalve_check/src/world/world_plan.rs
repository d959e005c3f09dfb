//! What a world consists of.

use std::time::Duration;

use bankvalve_cell::contract::{CellBundle, PlaceRule, TeamContract};
use bankvalve_cell::machine::{InstanceDetail, PartitionPlan, TaskSize, WorkerDetail};
use bankvalve_cell::owner::{CellTimings, GuardSet};
use bankvalve_cell::placement::PlacePolicy;
use bankvalve_standin::WorkerGroup;

/// What a world consists of.
#[derive(Clone, Debug)]
pub struct WorldPlan {
    /// Entry instances.
    pub entries: Vec<InstanceDetail>,
    /// Workers.
    pub workers: Vec<WorkerDetail>,
    /// How the cell is cut.
    pub partitions: PartitionPlan,
    /// Times of the decisions.
    pub timings: CellTimings,
    /// Guards in force.
    pub guards: GuardSet,
    /// How places are compared.
    pub policy: PlacePolicy,
    /// First bundle.
    pub bundle: CellBundle,
    /// One-way delay between failure domains.
    pub delay: Duration,
    /// Time between two ticks.
    pub tick: Duration,
    /// Writes a second that the table service takes.
    pub write_rate: f64,
}

impl WorldPlan {
    /// A cell of two regions with two failure domains each.
    pub fn small(entries: u32, workers: u32, teams: u32) -> Self {
        let domains = [
            ("tasmania", "hobart"),
            ("tasmania", "launceston"),
            ("addis", "bole-hall"),
            ("addis", "kality-hall"),
        ];
        let groups: Vec<WorkerGroup> = domains
            .iter()
            .map(|(region, domain)| worker_group(region, domain, workers / 4, 3))
            .collect();
        let mut plan = Self::of_groups(&groups, entries, teams);
        plan.partitions.worker_partitions_per_region = 3;
        plan.partitions.team_partitions = 5;
        plan.timings.unattended = Duration::from_secs(40);
        plan.timings.quarantine = Duration::from_secs(5);
        plan
    }

    /// A cell with these workers; entry instances are spread over their failure domains.
    pub fn of_groups(groups: &[WorkerGroup], entries: u32, teams: u32) -> Self {
        let workers: Vec<WorkerDetail> = groups
            .iter()
            .flat_map(|group| group.workers("sim:"))
            .collect();
        let mut regions: Vec<String> = groups.iter().map(|group| group.region.clone()).collect();
        regions.dedup();
        let entries = (0..entries)
            .map(|index| {
                let group = &groups[index as usize % groups.len()];
                InstanceDetail {
                    name: format!("entry-{}", index + 1),
                    peer_address: format!("sim:entry-{}", index + 1),
                    region: group.region.clone(),
                    domain: group.domain.clone(),
                    weight: 1,
                }
            })
            .collect();
        let total = workers
            .iter()
            .fold(TaskSize::default(), |sum, worker| sum.plus(worker.size));
        Self {
            entries,
            workers,
            partitions: PartitionPlan {
                regions,
                worker_partitions_per_region: 16,
                team_partitions: 16,
            },
            timings: CellTimings {
                peer_pace: Duration::ZERO,
                ..CellTimings::default()
            },
            guards: GuardSet::default(),
            policy: PlacePolicy::default(),
            bundle: first_bundle(teams, total),
            delay: Duration::from_micros(1_000),
            tick: Duration::from_millis(50),
            write_rate: 300.0,
        }
    }
}

/// Workers of the users' usual kind.
pub(crate) fn worker_group(region: &str, domain: &str, count: u32, per_rack: u32) -> WorkerGroup {
    WorkerGroup {
        region: region.into(),
        domain: domain.into(),
        count,
        per_rack,
        size: TaskSize {
            millicores: 16_000,
            memory_mib: 65_536,
            accelerators: 0,
        },
        slots: 8,
        connections: 60,
    }
}

/// Name of a team by number.
pub(crate) fn team_name(index: u32) -> String {
    format!("team-{:02}", index + 1)
}

fn first_bundle(teams: u32, total: TaskSize) -> CellBundle {
    let quota = TaskSize {
        millicores: total.millicores / 2,
        memory_mib: total.memory_mib / 2,
        accelerators: total.accelerators,
    };
    let contract = TeamContract {
        quota,
        weight: 1,
        place: PlaceRule::default(),
    };
    CellBundle {
        version: 1,
        author: "check".into(),
        teams: (0..teams)
            .map(|index| (team_name(index), contract.clone()))
            .collect(),
    }
}
