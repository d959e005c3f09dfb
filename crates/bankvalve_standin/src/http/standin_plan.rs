//! Configuration of a stand-in platform.

use std::time::Duration;

use bankvalve_cell::machine::{TaskSize, WorkerDetail};
use serde::{Deserialize, Serialize};

/// A group of identical workers in one failure domain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerGroup {
    /// Region of the workers.
    pub region: String,
    /// Failure domain of the workers.
    pub domain: String,
    /// Number of workers.
    pub count: u32,
    /// Number of workers per rack.
    pub per_rack: u32,
    /// Resources of each worker.
    pub size: TaskSize,
    /// Maximum number of concurrent requests per worker.
    pub slots: u32,
    /// Maximum number of concurrent connections per worker.
    pub connections: u32,
}

impl WorkerGroup {
    /// Returns the workers of the group, with addresses below a base URL.
    pub fn workers(&self, base: &str) -> Vec<WorkerDetail> {
        (0..self.count)
            .map(|index| {
                let name = format!("{}-w{:03}", self.domain, index + 1);
                WorkerDetail {
                    address: format!("{base}/workers/{name}"),
                    name,
                    region: self.region.clone(),
                    domain: self.domain.clone(),
                    rack: format!("{}-r{:02}", self.domain, index / self.per_rack.max(1) + 1),
                    size: self.size,
                    slots: self.slots,
                    connections: self.connections,
                }
            })
            .collect()
    }
}

/// Workers, delays and rate limits of a stand-in platform.
#[derive(Clone, Debug)]
pub struct StandinPlan {
    /// Groups of workers.
    pub groups: Vec<WorkerGroup>,
    /// One-way network delay to every service.
    pub delay: Duration,
    /// Writes per second that the table service accepts.
    pub write_rate: f64,
    /// Reads per second that the table service accepts.
    pub read_rate: f64,
    /// Time until a change becomes visible in the instance list.
    pub list_lag: Duration,
}

impl StandinPlan {
    /// Returns the plan of a small cell: one region whose failure domains share the workers evenly.
    ///
    /// # Examples
    ///
    /// ```
    /// use bankvalve_standin::StandinPlan;
    ///
    /// let plan = StandinPlan::small(&["hobart", "launceston", "devonport"], 12);
    /// let workers = plan.groups.iter().map(|group| group.count).sum::<u32>();
    /// assert_eq!(workers, 12);
    /// ```
    pub fn small(domains: &[&str], workers: u32) -> Self {
        let count = domains.len() as u32;
        let groups = domains
            .iter()
            .enumerate()
            .map(|(index, domain)| WorkerGroup {
                region: "tasmania".into(),
                domain: (*domain).into(),
                count: workers / count + u32::from((index as u32) < workers % count),
                per_rack: 6,
                size: TaskSize {
                    millicores: 16_000,
                    memory_mib: 65_536,
                    accelerators: 0,
                },
                slots: 8,
                connections: 60,
            })
            .collect();
        Self {
            groups,
            delay: Duration::from_micros(1_500),
            write_rate: 300.0,
            read_rate: 2_000.0,
            list_lag: Duration::from_secs(2),
        }
    }
}
