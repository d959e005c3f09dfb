//! A `serve` process, and where it says that it listens.

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
    /// Ports that the system chooses. The loopback address is the instance's own, so that no other
    /// test has its ports by the time when it is started anew.
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

    /// Reads the line that an instance logs when it has started.
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

/// A `serve` process.
pub(crate) struct EntryChild {
    child: Child,
    log: Arc<Mutex<Vec<Value>>>,
    log_reader: Option<thread::JoinHandle<()>>,
    error_reader: Option<thread::JoinHandle<String>>,
    plan: OnceLock<ListenPlan>,
}

impl Drop for EntryChild {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl EntryChild {
    /// Starts an instance, and threads that read its log and its errors.
    pub(crate) fn start(settings: &Path) -> Self {
        let mut child = Command::new(program())
            .arg("serve")
            .arg(format!("--settings={}", settings.display()))
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("an instance starts");
        let log = Arc::new(Mutex::new(Vec::new()));
        let kept = log.clone();
        let lines = BufReader::new(child.stdout.take().expect("its log")).lines();
        let log_reader = thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                let line = serde_json::from_str(&line).expect("a line of JSON");
                kept.lock().expect("the lines").push(line);
            }
        });
        let lines = BufReader::new(child.stderr.take().expect("its errors")).lines();
        let error_reader = thread::spawn(move || {
            let lines = lines.map_while(Result::ok);
            lines.fold(String::new(), |text, line| {
                // Shown with a test that fails.
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

    /// Where the instance listens, once it has said so.
    pub(crate) fn plan(&self) -> &ListenPlan {
        self.plan.get_or_init(|| {
            wait_until("an instance says where it listens", || {
                let told = self.told_plan().is_some();
                if !told {
                    self.assert_runs();
                }
                told
            });
            self.told_plan().expect("its addresses")
        })
    }

    /// Waits until the instance listens or has ended, and tells whether it listens.
    pub(crate) fn listens(self) -> bool {
        wait_until("an instance listens or has ended", || {
            self.told_plan().is_some() || self.log_is_over()
        });
        let plan = self.told_plan();
        plan.is_some_and(|plan| TcpStream::connect(plan.metrics).is_ok())
    }

    /// Waits for a line that tells of an event.
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

    /// The first line that tells of an event.
    pub(crate) fn find_line(&self, event: &str) -> Option<Value> {
        let log = self.log.lock().expect("the lines");
        log.iter().find(|line| line["event"] == event).cloned()
    }

    /// All that it has logged.
    pub(crate) fn log_text(&self) -> String {
        let log = self.log.lock().expect("the lines");
        log.iter().map(|line| format!("{line}\n")).collect()
    }

    /// Panics with its last lines if the instance has ended.
    pub(crate) fn assert_runs(&self) {
        if self.log_is_over() {
            let log = self.log.lock().expect("the lines");
            panic!("an instance has ended: {:?}", log.last());
        }
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        kill(pid, signal).expect("the signal is sent");
    }

    /// Waits for the end; the whole log has been read then.
    pub(crate) fn wait_for_end(&mut self) -> ExitStatus {
        let status = self.child.wait().expect("an end");
        if let Some(reader) = self.log_reader.take() {
            reader.join().expect("a log of lines of JSON");
        }
        status
    }

    /// What it wrote to standard error until its end.
    pub(crate) fn errors(&mut self) -> String {
        let reader = self.error_reader.take().expect("read once");
        reader.join().expect("its errors")
    }

    fn told_plan(&self) -> Option<ListenPlan> {
        ListenPlan::of_line(&self.find_line("started")?)
    }

    fn log_is_over(&self) -> bool {
        let reader = self.log_reader.as_ref();
        reader.is_none_or(thread::JoinHandle::is_finished)
    }
}
