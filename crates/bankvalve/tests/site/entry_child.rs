//! A `serve` process under test, its log and its addresses.

use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::Value;

use crate::test_site::{program, wait_until};

/// Addresses of an instance, under the names of the settings.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub(crate) struct ListenPlan {
    pub(crate) callers: SocketAddr,
    pub(crate) readiness: SocketAddr,
    pub(crate) peers: SocketAddr,
    pub(crate) metrics: SocketAddr,
}

impl ListenPlan {
    /// Returns addresses with ports assigned by the system. Each instance gets its own loopback address, so
    /// no other test can take its ports before it restarts.
    pub(crate) fn any() -> Self {
        static NEXT: AtomicU16 = AtomicU16::new(1);
        let [high, low] = NEXT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
        let process = 1 + (std::process::id() % 126) as u8;
        let any = SocketAddr::from((Ipv4Addr::new(127, process, high, low), 0));
        Self {
            callers: any,
            readiness: any,
            peers: any,
            metrics: any,
        }
    }

    /// Parses the addresses from the line that an instance logs when it has started.
    fn of_line(line: &Value) -> Option<Self> {
        let detail = line["detail"].as_str()?;
        let of = |field: &str| {
            let mut fields = detail.split(' ').filter_map(|part| part.split_once('='));
            let (_, address) = fields.find(|(name, _)| *name == field)?;
            address.parse().ok()
        };
        Some(Self {
            callers: of("callers")?,
            readiness: of("readiness")?,
            peers: of("peers")?,
            metrics: of("metrics")?,
        })
    }
}

/// A running `serve` process; killed on drop.
pub(crate) struct EntryChild {
    child: Child,
    log: Arc<Mutex<Vec<Value>>>,
    log_reader: Option<thread::JoinHandle<()>>,
    error_reader: Option<thread::JoinHandle<String>>,
    plan: OnceLock<ListenPlan>,
}

impl Drop for EntryChild {
    fn drop(&mut self) {
        // Fails if the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl EntryChild {
    /// Starts an instance, and threads that read its log and its standard error.
    pub(crate) fn start(settings: &Path) -> Self {
        let mut child = Command::new(program())
            .arg("serve")
            .arg(format!("--settings={}", settings.display()))
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("an instance starts");
        let log = Arc::new(Mutex::new(Vec::new()));
        let collected = log.clone();
        let lines = BufReader::new(child.stdout.take().expect("its log")).lines();
        let log_reader = thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                let line = serde_json::from_str(&line).expect("a line of JSON");
                collected.lock().expect("the lines").push(line);
            }
        });
        let lines = BufReader::new(child.stderr.take().expect("its errors")).lines();
        let error_reader = thread::spawn(move || {
            let lines = lines.map_while(Result::ok);
            lines.fold(String::new(), |text, line| {
                // The test harness prints this if the test fails.
                eprintln!("{line}");
                text + &line + "\n"
            })
        });
        Self {
            child,
            log,
            log_reader: Some(log_reader),
            error_reader: Some(error_reader),
            plan: OnceLock::new(),
        }
    }

    /// Waits until the instance has logged its addresses and returns them.
    pub(crate) fn plan(&self) -> &ListenPlan {
        self.plan.get_or_init(|| {
            wait_until("an instance says where it listens", || {
                let is_logged = self.logged_plan().is_some();
                if !is_logged {
                    self.assert_runs();
                }
                is_logged
            });
            self.logged_plan().expect("its addresses")
        })
    }

    /// Waits until the instance listens or has ended, and returns whether it listens.
    pub(crate) fn listens(self) -> bool {
        wait_until("an instance listens or has ended", || {
            self.logged_plan().is_some() || self.log_has_ended()
        });
        let plan = self.logged_plan();
        plan.is_some_and(|plan| TcpStream::connect(plan.metrics).is_ok())
    }

    /// Waits until an event is logged and returns its first line.
    pub(crate) fn wait_for_line(&self, event: &str) -> Value {
        wait_until("a line is logged", || {
            let logged = self.find_line(event).is_some();
            if !logged {
                self.assert_runs();
            }
            logged
        });
        self.find_line(event).expect("the line")
    }

    /// Returns the first logged line of an event, or `None` if there is none.
    pub(crate) fn find_line(&self, event: &str) -> Option<Value> {
        let log = self.log.lock().expect("the lines");
        log.iter().find(|line| line["event"] == event).cloned()
    }

    /// Returns the number of logged lines of an event about an id.
    pub(crate) fn count_lines(&self, event: &str, id: &str) -> usize {
        let log = self.log.lock().expect("the lines");
        let lines = log.iter();
        lines
            .filter(|line| line["event"] == event && line["id"] == id)
            .count()
    }

    /// Returns the resident memory of the process in KiB.
    pub(crate) fn resident_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the status of a running process");
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let field = line.and_then(|line| line.split_whitespace().next());
        field.and_then(|kib| kib.parse().ok()).expect("its memory")
    }

    /// Returns the whole log.
    pub(crate) fn log_text(&self) -> String {
        let log = self.log.lock().expect("the lines");
        log.iter().map(|line| format!("{line}\n")).collect()
    }

    /// Panics with the last log line if the instance has ended.
    pub(crate) fn assert_runs(&self) {
        if self.log_has_ended() {
            let log = self.log.lock().expect("the lines");
            panic!("an instance has ended: {:?}", log.last());
        }
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        kill(pid, signal).expect("the signal is sent");
    }

    /// Waits for the process to end and its log to be read, and returns the exit status.
    pub(crate) fn wait_for_end(&mut self) -> ExitStatus {
        let status = self.child.wait().expect("an end");
        if let Some(reader) = self.log_reader.take() {
            reader.join().expect("a log of lines of JSON");
        }
        status
    }

    /// Returns everything the process wrote to standard error. Waits for its end.
    pub(crate) fn errors(&mut self) -> String {
        let reader = self.error_reader.take().expect("read once");
        reader.join().expect("its errors")
    }

    fn logged_plan(&self) -> Option<ListenPlan> {
        ListenPlan::of_line(&self.find_line("started")?)
    }

    fn log_has_ended(&self) -> bool {
        let reader = self.log_reader.as_ref();
        reader.is_none_or(thread::JoinHandle::is_finished)
    }
}
