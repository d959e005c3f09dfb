//! What the stand-in platform consists of.

use std::time::Duration;

use bankvalve_cell::machine::{TaskSize, WorkerDetail};
use serde::{Deserialize, Serialize};

/// Workers that are alike, in one failure domain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerGroup {
    /// Region.
    pub region: String,
    /// Failure domain.
    pub domain: String,
    /// Number of workers.
    pub count: u32,
    /// Workers to a rack.
    pub per_rack: u32,
    /// Size of each.
    pub size: TaskSize,
    /// Requests that each serves at once.
    pub slots: u32,
    /// Connections that each accepts at once.
    pub connections: u32,
}

impl WorkerGroup {
    /// The workers, reached under a base URL.
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

/// What the stand-in platform consists of.
#[derive(Clone, Debug)]
pub struct StandinPlan {
    /// The workers.
    pub groups: Vec<WorkerGroup>,
    /// One-way delay to every service.
    pub delay: Duration,
    /// Writes a second that the table service takes.
    pub write_rate: f64,
    /// Reads a second that the table service takes.
    pub read_rate: f64,
    /// Time after which a change shows in the instance list.
    pub list_lag: Duration,
}

impl StandinPlan {
    /// A small cell: the failure domains of a region with equal shares of the workers.
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
