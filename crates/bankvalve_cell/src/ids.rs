//! Type aliases for the names and numbers that identify things in a cell.

use std::time::Duration;

/// Name of an entry instance, unique in the cell and stable over restarts.
pub type InstanceName = String;
/// Name of a worker, unique in the cell and stable over restarts.
pub type WorkerName = String;
/// Name of a team. Each team has a quota.
pub type TeamName = String;
/// Name of a region, which contains several failure domains.
pub type RegionName = String;
/// Name of a failure domain inside a region.
pub type DomainName = String;
/// Name of a rack inside a failure domain.
pub type RackName = String;
/// Name of a job, chosen by its submitter and unique inside its team.
pub type JobId = String;
/// Name of a service that callers send requests to.
pub type ServiceName = String;
/// Index of a task inside its job, counted from zero.
pub type TaskIndex = u32;
/// Number of an attempt at running a task, counted from one.
pub type Attempt = u32;
/// Index of a partition among the partitions of its kind, counted from zero.
pub type PartitionIndex = u32;
/// Ownership epoch of a partition; each change of owner raises it.
pub type Epoch = u64;
/// Number of one run of an instance or worker process; a restart raises it.
pub type Incarnation = u64;
/// Version of a row in the platform's table service; zero if the row does not exist.
pub type RowVersion = u64;
/// Version of the configuration bundle; it never decreases.
pub type BundleVersion = u64;
/// Number that matches an answer with its request, unique in a process.
pub type Ticket = u64;
/// Time on a worker's own clock, in milliseconds from an arbitrary origin.
pub type WorkerClock = u64;
/// Wall-clock time in milliseconds since the Unix epoch. Recorded only; no decision depends on it.
pub type UnixMillis = u64;
/// Time on a process's monotonic clock, from an arbitrary origin.
pub type CellTime = Duration;
