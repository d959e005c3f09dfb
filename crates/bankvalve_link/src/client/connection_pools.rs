//! The connections that a client keeps open, by address.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime};

use bytes::Bytes;
use http_body_util::Full;
use hyper::http::uri::Authority;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use super::held_connection::{HeldConnection, HeldNumber};
use super::open_connections::{ConnectionCounts, LimitedConnector};
use super::process_calls::ProcessTag;
use super::ClientLimits;

/// Number of addresses from which on the client drops those it has not called for
/// [`ClientLimits::idle_time`]. Each process of a worker has a different address, so their number would
/// grow without limit otherwise.
const ADDRESS_SWEEP_THRESHOLD: usize = 64;

/// Share of the limit of open connections from which on idle ones are closed, in percent.
const CLOSE_IDLE_PERCENT: usize = 90;
/// One address in so many loses its idle connections then, those that were not called for longest.
const CLOSE_IDLE_DIVISOR: usize = 8;
/// Interval between two sweeps of held connections that no call uses any more.
const HELD_SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum interval between two times that idle connections are closed.
const CLOSE_IDLE_INTERVAL: Duration = Duration::from_millis(20);

/// When unused connections are closed next.
#[derive(Debug)]
struct SweepTimes {
    held: Instant,
    idle: Instant,
}

/// Pooled connections to one address, which are replaced together.
pub(super) type ConnectionPool = Client<LimitedConnector, Full<Bytes>>;

/// State of the connections to one address.
#[derive(Debug)]
struct AddressConnections {
    pool: ConnectionPool,
    /// Number of earlier pools for this address.
    generation: u64,
    /// Whether a call of this generation was answered. Only then can the pool hold idle connections.
    answered: bool,
    /// The numbered connection to this address; `None` while a call uses it.
    held: Option<HeldConnection>,
    /// Idle connections to processes that have identified themselves.
    identified: Vec<IdentifiedConnection>,
    used_at: Instant,
}

/// An idle connection and the process at its other end.
#[derive(Debug)]
struct IdentifiedConnection {
    process: ProcessTag,
    held: HeldConnection,
}

impl AddressConnections {
    /// Closes all connections that no call uses, and opens new ones for later calls.
    fn close_idle(&mut self, limits: &ClientLimits, counts: &Arc<ConnectionCounts>) {
        self.held = None;
        self.identified.clear();
        self.pool = new_pool(limits, counts);
        self.answered = false;
    }
}

/// The connections that a client keeps open, with a separate pool for each address.
///
/// Open connections can stop responding together and without a reset, while new connections work.
/// After a call has timed out, later calls therefore use none of the connections that were open: the
/// address gets a new pool. Calls in flight continue on the old pool.
#[derive(Clone, Debug)]
pub(super) struct ConnectionPools {
    limits: ClientLimits,
    addresses: Arc<Mutex<HashMap<Authority, AddressConnections>>>,
    counts: Arc<ConnectionCounts>,
    sweeps: Arc<Mutex<SweepTimes>>,
    /// Number of the next held connection.
    next_held: Arc<AtomicU64>,
}

impl ConnectionPools {
    pub(super) fn new(limits: ClientLimits) -> Self {
        let now = Instant::now();
        Self {
            limits,
            addresses: Arc::default(),
            counts: Arc::default(),
            sweeps: Arc::new(Mutex::new(SweepTimes {
                held: now + HELD_SWEEP_INTERVAL,
                idle: now,
            })),
            next_held: Arc::new(AtomicU64::new(first_connection_number())),
        }
    }

    /// Returns the numbers of this client's connections.
    pub(super) fn counts(&self) -> &Arc<ConnectionCounts> {
        &self.counts
    }

    /// Closes held connections that no call has used for a while, and idle connections if the client is near
    /// its limit.
    ///
    /// An instance that takes over polls all workers itself until others do so for it. It keeps none of those
    /// connections, and never opens more than its machine has descriptors for.
    fn close_unused(&self, addresses: &mut HashMap<Authority, AddressConnections>, now: Instant) {
        let mut sweeps = self
            .sweeps
            .lock()
            .unwrap_or_else(|error| error.into_inner());
        if now >= sweeps.held {
            sweeps.held = now + HELD_SWEEP_INTERVAL;
            let held_time = self.limits.held_time;
            for connections in addresses.values_mut() {
                let is_used =
                    |held: &HeldConnection| now.saturating_duration_since(held.used_at) < held_time;
                connections.held = connections.held.take().filter(is_used);
                let idle_time = self.limits.idle_time;
                let is_open = |idle: &mut IdentifiedConnection| {
                    let unused = now.saturating_duration_since(idle.held.used_at);
                    unused < idle_time && !idle.held.sender.is_closed()
                };
                connections.identified.retain_mut(is_open);
            }
        }
        let near_limit = self.counts.open() * 100 >= self.limits.open * CLOSE_IDLE_PERCENT;
        if !near_limit || now < sweeps.idle {
            return;
        }
        sweeps.idle = now + CLOSE_IDLE_INTERVAL;
        let mut by_use: Vec<(Instant, Authority)> = addresses
            .iter()
            .filter(|(_, connections)| {
                connections.answered
                    || connections.held.is_some()
                    || !connections.identified.is_empty()
            })
            .map(|(address, connections)| (connections.used_at, address.clone()))
            .collect();
        by_use.sort_unstable_by_key(|(used_at, _)| *used_at);
        let count = by_use.len().div_ceil(CLOSE_IDLE_DIVISOR);
        for (_, address) in by_use.into_iter().take(count) {
            if let Some(connections) = addresses.get_mut(&address) {
                connections.close_idle(&self.limits, &self.counts);
            }
        }
        self.counts.count_closed_idle(count as u64);
    }

    /// Returns the number for a new held connection.
    pub(super) fn next_number(&self) -> HeldNumber {
        self.next_held.fetch_add(1, Ordering::Relaxed)
    }

    /// Takes the held connection to an address and returns it with the address's generation.
    ///
    /// The connection is `None` if there is none, another call uses it or it has been idle for too long.
    pub(super) fn take_held(&self, address: &Authority) -> (Option<HeldConnection>, u64) {
        let (_, generation) = self.pool(address);
        let held = self
            .lock()
            .get_mut(address)
            .and_then(|connections| connections.held.take());
        let idle_time = self.limits.idle_time;
        let held = held.filter(|held| held.used_at.elapsed() < idle_time);
        (held, generation)
    }

    /// Stores a connection for the next call after a call on it was answered.
    ///
    /// Drops the connection if the address has got a new generation since.
    pub(super) fn hold(&self, address: &Authority, generation: u64, mut held: HeldConnection) {
        held.used_at = Instant::now();
        if let Some(connections) = self.lock().get_mut(address) {
            if connections.generation == generation {
                connections.held = Some(held);
            }
        }
    }

    /// Takes an idle connection to a process at an address and returns it with the address's generation.
    ///
    /// Closes idle connections to other processes there.
    pub(super) fn take_identified(
        &self,
        address: &Authority,
        process: ProcessTag,
    ) -> (Option<HeldConnection>, u64) {
        let (_, generation) = self.pool(address);
        let mut addresses = self.lock();
        let Some(connections) = addresses.get_mut(address) else {
            return (None, generation);
        };
        let is_open = |idle: &mut IdentifiedConnection| {
            idle.process == process && !idle.held.sender.is_closed()
        };
        connections.identified.retain_mut(is_open);
        let idle = connections.identified.pop();
        (idle.map(|idle| idle.held), generation)
    }

    /// Stores a connection to a process for later calls, after a call on it was answered.
    ///
    /// Drops the connection if the address has got a new generation since, or enough idle connections.
    pub(super) fn hold_identified(
        &self,
        address: &Authority,
        generation: u64,
        process: ProcessTag,
        mut held: HeldConnection,
    ) {
        held.used_at = Instant::now();
        let max_idle = self.limits.idle;
        if let Some(connections) = self.lock().get_mut(address) {
            if connections.generation == generation && connections.identified.len() < max_idle {
                connections
                    .identified
                    .push(IdentifiedConnection { process, held });
            }
        }
    }

    /// Returns the pool for a call to an address, and its generation.
    pub(super) fn pool(&self, address: &Authority) -> (ConnectionPool, u64) {
        let now = Instant::now();
        let mut addresses = self.lock();
        self.close_unused(&mut addresses, now);
        if let Some(connections) = addresses.get_mut(address) {
            connections.used_at = now;
            return (connections.pool.clone(), connections.generation);
        }
        if addresses.len() >= ADDRESS_SWEEP_THRESHOLD {
            let idle_time = self.limits.idle_time;
            addresses.retain(|_, connections| {
                now.saturating_duration_since(connections.used_at) < idle_time
            });
        }
        let connections = AddressConnections {
            pool: new_pool(&self.limits, &self.counts),
            generation: 0,
            answered: false,
            held: None,
            identified: Vec::new(),
            used_at: now,
        };
        let pool = connections.pool.clone();
        addresses.insert(address.clone(), connections);
        (pool, 0)
    }

    /// Records that a call of a generation was answered.
    pub(super) fn record_answer(&self, address: &Authority, generation: u64) {
        if let Some(connections) = self.lock().get_mut(address) {
            connections.answered |= connections.generation == generation;
        }
    }

    /// Replaces the pool and drops the held connection after a call of a generation has timed out.
    ///
    /// Changes nothing if the generation has been replaced already, or if none of its calls was answered:
    /// it then has no idle connections that a later call could use.
    pub(super) fn replace_pool(&self, address: &Authority, generation: u64) {
        if let Some(connections) = self.lock().get_mut(address) {
            if connections.generation == generation && connections.answered {
                connections.close_idle(&self.limits, &self.counts);
                connections.generation += 1;
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Authority, AddressConnections>> {
        let addresses = self.addresses.lock();
        addresses.unwrap_or_else(|error| error.into_inner())
    }
}

/// Returns the number of a client's first held connection: the time since the Unix epoch in microseconds.
///
/// It is higher than the numbers of an earlier process, so none of those matches a connection of this one.
fn first_connection_number() -> HeldNumber {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    now.unwrap_or_default().as_micros() as HeldNumber
}

fn new_pool(limits: &ClientLimits, counts: &Arc<ConnectionCounts>) -> ConnectionPool {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(limits.connect_time));
    connector.set_tcp_user_timeout(limits.ack_timeout);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(limits.idle_time)
        .pool_max_idle_per_host(limits.idle)
        .retry_canceled_requests(false)
        .build(LimitedConnector::new(
            connector,
            counts.clone(),
            limits.open,
        ))
}
