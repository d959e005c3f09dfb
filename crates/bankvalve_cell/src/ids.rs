//! Type aliases for the names and numbers that identify things in a cell.

use std::time::Duration;

/// Name of an entry instance, unique in the cell and stable over restarts.
pub type InstanceName = String;
/// Name of a worker, unique in the cell and stable over restarts.
pub type WorkerName = String;
/// Name of a team, the unit that quotas are given to.
pub type TeamName = String;
/// Name of a region, which holds several failure domains.
pub type RegionName = String;
/// Name of a failure domain inside a region.
pub type DomainName = String;
/// Name of a rack inside a failure domain.
pub type RackName = String;
/// Name that a job's submitter gave it, unique inside its team.
pub type JobId = String;
/// Name of a service that callers send requests to.
pub type ServiceName = String;
/// Index of a task inside its job, from zero.
pub type TaskIndex = u32;
/// Attempt at running a task, from one.
pub type Attempt = u32;
/// Index of a partition inside its kind, from zero.
pub type PartitionIndex = u32;
/// Owner's number of a partition; every change of owner raises it.
pub type Epoch = u64;
/// Number of a process' or worker's life; a restart raises it.
pub type Incarnation = u64;
/// Version of a row in the platform's table service; zero means absent.
pub type RowVersion = u64;
/// Version of the configuration bundle; it only rises.
pub type BundleVersion = u64;
/// Number that matches an answer with what asked for it, unique in a process.
pub type Ticket = u64;
/// Reading of a worker's own clock in milliseconds; its zero is arbitrary.
pub type WorkerClock = u64;
/// Wall-clock time in milliseconds since the Unix epoch, for the record only.
pub type UnixMillis = u64;
/// Reading of a process' monotonic clock; its zero is arbitrary.
pub type CellTime = Duration;
