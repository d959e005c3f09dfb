//! Measures how idle connections and malformed requests affect the latency of a regular caller.
//!
//! Run it with `cargo run --release --example idle_peers -p bankvalve`.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use bankvalve::command::{ApiClient, CommandFailure};
use bankvalve::dev::{DevCell, DevPlan};
use bankvalve_cell::contract::{JobKind, JobSpec, PlaceRule};
use bankvalve_cell::machine::TaskSize;
use hdrhistogram::Histogram;

/// Number of idle connections that are held open.
const IDLE_CONNECTIONS: usize = 2_000;
/// Requests that the regular caller sends in each measurement.
const REQUESTS: usize = 2_000;
/// Number of threads that send malformed requests.
const MALFORMED_THREADS: usize = 2;
/// Pause of each thread between two malformed requests.
const MALFORMED_PAUSE: Duration = Duration::from_millis(1);

fn main() -> Result<(), CommandFailure> {
    let plan = DevPlan {
        entries: 1,
        workers: 6,
        teams: Default::default(),
    };
    let cell = DevCell::start(&plan)?;
    cell.wait_until_ready(Duration::from_secs(20))?;
    let client = cell.client()?;
    start_service(&client)?;
    measure(&client, "warm-up", REQUESTS / 4);
    let without = measure(&client, "without", REQUESTS);
    let address = cell.entry_urls()[0]
        .trim_start_matches("http://")
        .to_owned();
    let idle: Vec<TcpStream> = (0..IDLE_CONNECTIONS)
        .filter_map(|_| TcpStream::connect(&address).ok())
        .collect();
    let stop = Arc::new(AtomicBool::new(false));
    let malformed = Arc::new(AtomicU64::new(0));
    let loops: Vec<_> = (0..MALFORMED_THREADS)
        .map(|_| start_malformed(&address, &stop, &malformed))
        .collect();
    let with = measure(&client, "with", REQUESTS);
    stop.store(true, Ordering::Release);
    for thread in loops {
        let _ = thread.join();
    }
    println!(
        "{} idle connections, {} malformed requests; p99 with / without: {:.2}",
        idle.len(),
        malformed.load(Ordering::Acquire),
        with / without
    );
    Ok(())
}

fn start_service(client: &ApiClient) -> Result<(), CommandFailure> {
    client.submit(&JobSpec {
        id: "balance".into(),
        team: "billing".into(),
        kind: JobKind::Service {
            service: "balance".into(),
            replicas: 4,
            min_available: 1,
        },
        size: TaskSize {
            millicores: 1_000,
            memory_mib: 1_024,
            accelerators: 0,
        },
        run_time_ms: 0,
        urgent: false,
        repeatable: true,
        place: PlaceRule::default(),
        payload: String::new(),
    })?;
    while client
        .request("billing", "balance", "first", false)
        .is_err()
    {
        thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}

/// Sends requests one at a time, prints their latencies and returns the 99th percentile in microseconds.
fn measure(client: &ApiClient, name: &str, count: usize) -> f64 {
    let bounds = Histogram::new_with_bounds(1, 60_000_000, 3);
    let mut times: Histogram<u64> = bounds.expect("the bounds are in order");
    let mut failed = 0;
    for number in 0..count {
        let begun = Instant::now();
        let body = format!("request {number}");
        match client.request("billing", "balance", &body, false) {
            Ok(_) => times.saturating_record(begun.elapsed().as_micros() as u64),
            Err(_) => failed += 1,
        }
    }
    let at = |quantile| times.value_at_quantile(quantile) as f64;
    println!(
        "{name}: {} answered, {failed} failed, p50 {:.2} ms, p99 {:.2} ms, max {:.2} ms",
        times.len(),
        at(0.5) / 1_000.0,
        at(0.99) / 1_000.0,
        times.max() as f64 / 1_000.0
    );
    at(0.99)
}

fn start_malformed(
    address: &str,
    stop: &Arc<AtomicBool>,
    count: &Arc<AtomicU64>,
) -> thread::JoinHandle<()> {
    let address = address.to_owned();
    let stop = stop.clone();
    let count = count.clone();
    thread::spawn(move || {
        while !stop.load(Ordering::Acquire) {
            if let Ok(mut stream) = TcpStream::connect(&address) {
                let _ = stream.write_all(b"\x16\x03\x01 not a request\r\n\r\n");
                let _ = stream.read(&mut [0; 256]);
                count.fetch_add(1, Ordering::AcqRel);
            }
            thread::sleep(MALFORMED_PAUSE);
        }
    })
}
