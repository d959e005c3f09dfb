//! Entry instances, as their settings and the instance list name them.

use serde::{Deserialize, Serialize};

use crate::ids::{DomainName, InstanceName, RegionName};

/// An entry instance: its name, peer address and place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceDetail {
    /// Name, stable over restarts.
    pub name: InstanceName,
    /// Address of its peer listener, such as `10.0.1.4:7300`.
    pub peer_address: String,
    /// Region that it stands in.
    pub region: RegionName,
    /// Failure domain that it stands in.
    pub domain: DomainName,
    /// Share of partitions relative to its peers; 1 is usual.
    pub weight: u32,
}
