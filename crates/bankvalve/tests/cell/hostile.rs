//! Tests that idle, slow, oversized and malformed requests are limited and counted, and that other clients
//! are still served.

use std::io::{Read, Write};
use std::net::TcpStream;

use nix::sys::resource::{getrlimit, setrlimit, Resource};
use serde_json::json;

use super::test_cell::{batch, token_of, wait_until, TestCell};

/// Number of idle connections that the test opens.
const IDLE: usize = 2_000;
/// File descriptor limit that the test needs.
const DESCRIPTORS: u64 = 8_192;

/// Returns a connection counter of the callers' listener, or 0 if the metrics do not have it.
fn counter(cell: &TestCell, kind: &str) -> u64 {
    let text = cell.metrics(0);
    let line = text.lines().find(|line| {
        line.contains("bankvalve_connections")
            && line.contains("listener=\"callers\"")
            && line.contains(&format!("kind=\"{kind}\""))
    });
    let value = line.and_then(|line| line.rsplit(' ').next());
    value.map_or(0, |value| value.parse().unwrap())
}

/// Waits until a counter reaches a value. The server counts a connection only after the client has its
/// answer.
fn wait_for_count(cell: &TestCell, kind: &str, least: u64) {
    wait_until("a peer is counted", || counter(cell, kind) >= least);
}

fn address(cell: &TestCell) -> String {
    let callers = &cell.entries[0].as_ref().unwrap().callers;
    callers.trim_start_matches("http://").to_owned()
}

#[test]
fn idle_and_malformed_peers_do_not_stop_honest_ones() {
    let (soft, hard) = getrlimit(Resource::RLIMIT_NOFILE).unwrap();
    if soft < DESCRIPTORS {
        setrlimit(Resource::RLIMIT_NOFILE, DESCRIPTORS.min(hard), hard).unwrap();
    }
    let limits = json!({"caller_connections": 1_500, "header_ms": 60_000});
    let cell = TestCell::start_limited(1, 3, limits);
    let address = address(&cell);
    let mut idle = Vec::new();
    for _ in 0..IDLE {
        idle.push(TcpStream::connect(&address).unwrap());
    }
    wait_until("connections over the limit are refused", || {
        counter(&cell, "refused") >= (IDLE - 1_500) as u64
    });
    idle.truncate(1_000);
    wait_until("closed connections make room", || {
        counter(&cell, "open") <= 1_100
    });
    for _ in 0..200 {
        let mut stream = TcpStream::connect(&address).unwrap();
        stream.write_all(b"\x00\xff GET nonsense\r\n\r\n").unwrap();
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
    }
    wait_for_count(&cell, "malformed", 200);
    cell.client().submit(&batch("honest", 6, 50)).unwrap();
    cell.wait_done("billing", "honest");
    wait_for_count(&cell, "open", 1_000);
}

#[test]
fn slow_and_oversized_requests_are_ended() {
    let limits = json!({"header_ms": 300, "body_ms": 300, "body_bytes": 4_096});
    let cell = TestCell::start_limited(1, 3, limits);
    let address = address(&cell);
    let mut half = TcpStream::connect(&address).unwrap();
    half.write_all(b"POST /v1/jobs HTTP/1.1\r\nhost: x\r\n")
        .unwrap();
    let mut answer = Vec::new();
    half.read_to_end(&mut answer).unwrap();
    wait_for_count(&cell, "malformed", 1);
    let mut slow = TcpStream::connect(&address).unwrap();
    slow.write_all(b"POST /v1/jobs HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\nonly this")
        .unwrap();
    let mut answer = String::new();
    slow.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    wait_for_count(&cell, "cut_off", 1);
    let url = format!("http://{address}/v1/jobs");
    let sent = attohttpc::post(url)
        .header("authorization", format!("Bearer {}", token_of("billing")))
        .text("x".repeat(10_000))
        .send();
    assert_eq!(sent.unwrap().status().as_u16(), 413);
    wait_for_count(&cell, "oversized", 1);
}
