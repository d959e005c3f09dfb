//! Entry instances, as their settings and their rows in the table service describe them.

use serde::{Deserialize, Serialize};

use crate::ids::{DomainName, InstanceName, RegionName};

/// An entry instance: its name, peer address, location and weight.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceDetail {
    /// Name, which stays the same across restarts.
    pub name: InstanceName,
    /// Address of its peer listener, such as `10.0.1.4:7300`.
    pub peer_address: String,
    /// Region that the instance runs in.
    pub region: RegionName,
    /// Failure domain that the instance runs in.
    pub domain: DomainName,
    /// Share of partitions relative to its peers, usually 1.
    pub weight: u32,
}
