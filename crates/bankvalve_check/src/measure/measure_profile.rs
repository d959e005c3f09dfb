//! The cells and loads that are measured.

use std::time::Duration;

use bankvalve_cell::machine::TaskSize;

use crate::load::StreamShape;
use crate::world::{worker_group, WorldPlan};

/// A cell and its load.
#[derive(Clone, Debug)]
pub struct MeasureProfile {
    /// Name on the command line.
    pub name: &'static str,
    /// The cell.
    pub plan: WorldPlan,
    /// The load.
    pub load: StreamShape,
    /// Time before anything is counted.
    pub warm_up: Duration,
    /// Time that is counted.
    pub time: Duration,
}

fn size(cores: u32, gib: u32) -> TaskSize {
    TaskSize {
        millicores: cores * 1_000,
        memory_mib: gib * 1_024,
        accelerators: 0,
    }
}

impl MeasureProfile {
    /// Names of all profiles.
    pub const NAMES: [&'static str; 3] = ["sunshare", "logcloud", "target"];

    /// A profile by name.
    ///
    /// # Examples
    ///
    /// ```
    /// use bankvalve_check::measure::MeasureProfile;
    ///
    /// let profile = MeasureProfile::named("target").unwrap();
    /// assert_eq!(profile.plan.workers.len(), 1_000);
    /// ```
    pub fn named(name: &str) -> Option<Self> {
        match name {
            "sunshare" => Some(Self::sunshare()),
            "logcloud" => Some(Self::logcloud()),
            "target" => Some(Self::target(24)),
            _ => None,
        }
    }

    /// Sunshare's cell today: 50 workers in four failure domains, credit runs beside lookups.
    fn sunshare() -> Self {
        let domains = ["hobart", "launceston", "devonport", "burnie"];
        let counts = [13, 13, 12, 12];
        let groups: Vec<_> = domains
            .iter()
            .zip(counts)
            .map(|(domain, count)| worker_group("tasmania", domain, count, 6))
            .collect();
        let mut plan = WorldPlan::of_groups(&groups, 8, 8);
        plan.delay = Duration::from_micros(1_500);
        let load = StreamShape {
            teams: 8,
            starts_per_second: 20.0,
            tasks_per_job: 12,
            run_time: Duration::from_secs(12),
            services: 12,
            replicas: 4,
            gangs: 4,
            urgent: 6,
            sizes: vec![size(1, 4), size(2, 8), size(4, 12)],
            service_size: size(2, 8),
        };
        Self::today("sunshare", plan, load)
    }

    /// LogCloud's cell today: 50 workers in three halls, packed as full as it goes.
    fn logcloud() -> Self {
        let domains = ["bole-hall", "kality-hall", "sululta-hall"];
        let counts = [17, 17, 16];
        let groups: Vec<_> = domains
            .iter()
            .zip(counts)
            .map(|(domain, count)| worker_group("addis", domain, count, 8))
            .collect();
        let mut plan = WorldPlan::of_groups(&groups, 8, 6);
        plan.delay = Duration::from_micros(500);
        let load = StreamShape {
            teams: 6,
            starts_per_second: 10.0,
            tasks_per_job: 8,
            run_time: Duration::from_secs(18),
            services: 6,
            replicas: 4,
            gangs: 8,
            urgent: 5,
            sizes: vec![size(2, 6), size(3, 10), size(6, 20)],
            service_size: size(2, 8),
        };
        Self::today("logcloud", plan, load)
    }

    fn today(name: &'static str, mut plan: WorldPlan, load: StreamShape) -> Self {
        plan.tick = Duration::from_millis(20);
        Self {
            name,
            plan,
            load,
            warm_up: Duration::from_secs(60),
            time: Duration::from_secs(180),
        }
    }

    /// The cell in two years: 1,000 workers, two regions, seven failure domains, 88 teams.
    pub fn target(entries: u32) -> Self {
        let domains = [
            ("tasmania", "hobart", 143),
            ("tasmania", "launceston", 143),
            ("tasmania", "devonport", 143),
            ("tasmania", "burnie", 143),
            ("addis", "bole-hall", 143),
            ("addis", "kality-hall", 143),
            ("addis", "sululta-hall", 142),
        ];
        let groups: Vec<_> = domains
            .iter()
            .map(|(region, domain, count)| worker_group(region, domain, *count, 8))
            .collect();
        let mut plan = WorldPlan::of_groups(&groups, entries, 88);
        plan.delay = Duration::from_micros(1_500);
        plan.partitions.worker_partitions_per_region = 32;
        plan.partitions.team_partitions = 64;
        plan.timings.commit_pace = Duration::from_millis(150);
        plan.timings.digest = Duration::from_millis(1_000);
        plan.timings.peer_pace = Duration::from_millis(50);
        plan.tick = Duration::from_millis(50);
        let load = StreamShape {
            teams: 88,
            starts_per_second: 130.0,
            tasks_per_job: 20,
            run_time: Duration::from_secs(29),
            services: 188,
            replicas: 5,
            gangs: 3,
            urgent: 4,
            sizes: vec![size(1, 4), size(2, 8), size(4, 12), size(5, 16)],
            service_size: size(2, 8),
        };
        Self {
            name: "target",
            plan,
            load,
            warm_up: Duration::from_secs(60),
            time: Duration::from_secs(60),
        }
    }
}
