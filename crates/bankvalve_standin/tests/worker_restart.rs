//! Workers of the HTTP stand-in that restart under their ids, over real sockets.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use bankvalve_queue::{
    EndKind, FenceToken, HoldReport, StartOrder, WireCall, WireReply, WorkerAnswer, WorkerCall,
    WorkerId,
};
use bankvalve_standin::site::{SeenRun, SitePlatform};

/// Upper limit of every wait. Reaching it fails the test.
const MAX_WAIT: Duration = Duration::from_secs(20);
const TOKEN: FenceToken = 1;

struct TestWorker {
    platform: SitePlatform,
    id: WorkerId,
    address: String,
}

impl TestWorker {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let platform = SitePlatform::start(listener, None).expect("a platform");
        let id = platform.add_worker("service", 4_000).expect("a worker");
        let address = platform
            .worker_address(&id)
            .expect("an address")
            .to_string();
        Self {
            platform,
            id,
            address,
        }
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(&self.address).expect("a connection");
        stream.set_read_timeout(Some(MAX_WAIT)).expect("a timeout");
        stream
    }

    /// Sends a call under the worker's id.
    fn send(&self, stream: &mut TcpStream, call: &WorkerCall) {
        let wire = (bankvalve_platform::port().worker_call)(&self.id, TOKEN, call);
        stream
            .write_all(&request_of(&wire))
            .expect("the call is sent");
    }

    /// Sends a call and returns its answer.
    fn call(&self, stream: &mut TcpStream, call: &WorkerCall) -> WorkerAnswer {
        self.send(stream, call);
        read_answer(stream, call)
    }
}

fn request_of(call: &WireCall) -> Vec<u8> {
    let (method, path, length) = (call.method, &call.path, call.body.len());
    let mut head =
        format!("{method} {path} HTTP/1.1\r\nhost: worker\r\ncontent-length: {length}\r\n");
    for (name, value) in &call.headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    [head.into_bytes(), call.body.clone()].concat()
}

/// Reads one answer, whose body has a length.
fn read_answer(stream: &mut TcpStream, call: &WorkerCall) -> WorkerAnswer {
    let mut read = Vec::new();
    let mut byte = [0];
    while !read.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("a head");
        read.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&read).to_lowercase();
    let status = head
        .split_whitespace()
        .nth(1)
        .and_then(|text| text.parse().ok());
    let length = head
        .split_once("content-length: ")
        .and_then(|(_, rest)| rest.split_once('\r'));
    let length = length
        .and_then(|(text, _)| text.parse().ok())
        .expect("a length");
    let mut body = vec![0; length];
    stream.read_exact(&mut body).expect("a body");
    let status = status.expect("a status");
    (bankvalve_platform::port().worker_answer)(call, &WireReply::Answer { status, body })
}

fn poll(until_ms: Option<u64>) -> WorkerCall {
    WorkerCall::Hold {
        until_ms,
        kept: 0,
        connection: None,
        wait_ms: 0,
    }
}

fn start(until_ms: u64) -> WorkerCall {
    WorkerCall::Start(Box::new(StartOrder {
        task: "0000000000000007.0.0.0".parse().expect("a task"),
        run: 1,
        job: Default::default(),
        saved: String::new(),
        permit: None,
        until_ms,
        process: None,
    }))
}

/// Clock and run lists of an answer to a poll.
fn lists(answer: WorkerAnswer) -> (u64, HoldReport) {
    let WorkerAnswer::Done {
        clock_ms: Some(clock_ms),
        report: Some(report),
    } = answer
    else {
        panic!("expected run lists, found {answer:?}");
    };
    (clock_ms, report)
}

/// Guards against a stand-in whose next process refuses or misses what was meant for the process before, so that no
/// test over sockets plays what the platform does.
#[test]
fn the_next_process_takes_calls_meant_for_the_process_before() {
    let worker = TestWorker::start();
    let mut before = worker.connect();
    let (old_clock, old_lists) = lists(worker.call(&mut before, &poll(None)));
    worker.platform.end_worker(&worker.id);
    // Sent while no process is there, with a deadline by the clock of the process before.
    let late = start(old_clock + 5_000);
    let mut after = worker.connect();
    worker.send(&mut after, &late);
    worker
        .platform
        .restart_worker(&worker.id)
        .expect("a process");
    assert!(matches!(
        read_answer(&mut after, &late),
        WorkerAnswer::Done { .. }
    ));
    let (clock, lists) = lists(worker.call(&mut after, &poll(Some(old_clock + 5_000))));
    assert!(clock < old_clock, "clock {clock}, {old_clock} before");
    assert_ne!(lists.started, old_lists.started);
    assert_eq!(lists.running.len(), 1);
}

/// Guards against a stand-in whose connections outlive the process that took them.
#[test]
fn connections_end_with_the_process_that_took_them() {
    let worker = TestWorker::start();
    let mut before = worker.connect();
    worker.call(&mut before, &start(20_000));
    worker.platform.end_worker(&worker.id);
    worker
        .platform
        .restart_worker(&worker.id)
        .expect("a process");
    assert_eq!(before.read(&mut [0]).unwrap_or(0), 0);
    let ended = |run: &SeenRun| run.ended.map(|(_, how)| how);
    let runs = worker.platform.runs();
    assert_eq!(
        runs.iter().map(ended).collect::<Vec<_>>(),
        [Some(EndKind::Lost)]
    );
    let (_, lists) = lists(worker.call(&mut worker.connect(), &poll(None)));
    assert_eq!((lists.running.len(), lists.ended.len()), (0, 0));
}
