//! The connections that a client keeps open, by address.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Instant, SystemTime};

use bytes::Bytes;
use http_body_util::Full;
use hyper::http::uri::Authority;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use super::held_connection::{HeldConnection, HeldNumber};
use super::ClientLimits;

/// Addresses from which on those are forgotten that were not called for as long as a connection is
/// kept: workers come and go, each life at an address of its own.
const MANY_ADDRESSES: usize = 64;

/// Connections to one address that share their fate.
pub(super) type ConnectionPool = Client<HttpConnector, Full<Bytes>>;

/// Connections to one address.
#[derive(Debug)]
struct AddressLane {
    pool: ConnectionPool,
    /// Counts the pools that there were for this address.
    generation: u64,
    /// Whether a call of this generation was answered, so that connections may be kept.
    answered: bool,
    /// A connection that is told from others, while no call is on it.
    held: Option<HeldConnection>,
    used_at: Instant,
}

/// The connections that a client keeps, each address with a pool of its own.
///
/// Open connections may go silent together and without a reset, while new ones work. So once a call
/// has had no answer in time, none of the connections that were open is used for later calls: the
/// address gets a new pool. Calls that are on their way go on with the old one.
#[derive(Clone, Debug)]
pub(super) struct KeptConnections {
    limits: ClientLimits,
    lanes: Arc<Mutex<HashMap<Authority, AddressLane>>>,
    /// Number of the next connection that is held.
    next_held: Arc<AtomicU64>,
}

impl KeptConnections {
    pub(super) fn new(limits: ClientLimits) -> Self {
        Self {
            limits,
            lanes: Arc::default(),
            next_held: Arc::new(AtomicU64::new(first_number())),
        }
    }

    /// Number for a connection that is about to be made.
    pub(super) fn next_number(&self) -> HeldNumber {
        self.next_held.fetch_add(1, Ordering::Relaxed)
    }

    /// Takes the connection that is held to an address, if there is one, and tells the generation of the others.
    pub(super) fn take_held(&self, address: &Authority) -> (Option<HeldConnection>, u64) {
        let (_, generation) = self.pool(address);
        let held = self
            .lock()
            .get_mut(address)
            .and_then(|lane| lane.held.take());
        let idle_time = self.limits.idle_time;
        let held = held.filter(|held| held.used_at.elapsed() < idle_time);
        (held, generation)
    }

    /// Holds a connection on which a call of a generation was answered.
    pub(super) fn hold(&self, address: &Authority, generation: u64, mut held: HeldConnection) {
        held.used_at = Instant::now();
        if let Some(lane) = self.lock().get_mut(address) {
            if lane.generation == generation {
                lane.held = Some(held);
            }
        }
    }

    /// The pool for a call to an address, and its generation.
    pub(super) fn pool(&self, address: &Authority) -> (ConnectionPool, u64) {
        let now = Instant::now();
        let mut lanes = self.lock();
        if let Some(lane) = lanes.get_mut(address) {
            lane.used_at = now;
            return (lane.pool.clone(), lane.generation);
        }
        if lanes.len() >= MANY_ADDRESSES {
            let idle_time = self.limits.idle_time;
            lanes.retain(|_, lane| now.saturating_duration_since(lane.used_at) < idle_time);
        }
        let lane = AddressLane {
            pool: new_pool(&self.limits),
            generation: 0,
            answered: false,
            held: None,
            used_at: now,
        };
        let pool = lane.pool.clone();
        lanes.insert(address.clone(), lane);
        (pool, 0)
    }

    /// Notes that a call was answered.
    pub(super) fn note_answer(&self, address: &Authority, generation: u64) {
        if let Some(lane) = self.lock().get_mut(address) {
            lane.answered |= lane.generation == generation;
        }
    }

    /// Gives up the connections among which a call had no answer in time.
    ///
    /// Where none of them ever answered, none is kept, and nothing is given up.
    pub(super) fn give_up(&self, address: &Authority, generation: u64) {
        if let Some(lane) = self.lock().get_mut(address) {
            if lane.generation == generation && lane.answered {
                lane.pool = new_pool(&self.limits);
                lane.generation += 1;
                lane.answered = false;
                lane.held = None;
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Authority, AddressLane>> {
        let lanes = self.lanes.lock();
        lanes.unwrap_or_else(|error| error.into_inner())
    }
}

/// The first number of a client's held connections: above those of a process before it.
fn first_number() -> HeldNumber {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    now.unwrap_or_default().as_micros() as HeldNumber
}

fn new_pool(limits: &ClientLimits) -> ConnectionPool {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(limits.connect_time));
    connector.set_tcp_user_timeout(limits.ack_timeout);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(limits.idle_time)
        .pool_max_idle_per_host(limits.idle)
        .retry_canceled_requests(false)
        .build(connector)
}
