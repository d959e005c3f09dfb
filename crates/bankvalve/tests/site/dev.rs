//! A small site started with `dev --site`, as a user runs it.

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

use bankvalve_queue::{WireCall, WireReply};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;

use crate::test_site::{exchange, program, wait_until};

#[test]
fn a_small_site_runs_a_job_and_exits_cleanly_on_sigterm() {
    let mut child = Command::new(program())
        .args(["dev", "--site", "--entries=2", "--workers=2"])
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the site starts");
    let lines = BufReader::new(child.stderr.take().expect("its messages")).lines();
    let mut callers = Vec::new();
    for line in lines.map_while(Result::ok) {
        if let Some(url) = line.strip_prefix("dev: callers: http://") {
            callers.push(url.to_owned());
        }
        if line == "dev: Ctrl-C ends" {
            break;
        }
    }
    assert_eq!(callers.len(), 2);
    let (address, prefix) = callers[0].split_at(callers[0].find('/').expect("a path"));
    let address = address.parse().expect("an address");
    let call = |method: &'static str, body: &str| WireCall {
        method,
        path: format!("{prefix}00000000000000a1"),
        headers: vec![("host", "site.example".into())],
        body: body.as_bytes().to_vec(),
        ..WireCall::default()
    };
    let body = r#"{"Spec":"work=20","Steps":[{"Count":2,"Cpu":500,"MemMb":16,"EstRuntimeMs":20}]}"#;
    let accepted = exchange(address, &call("POST", body));
    assert!(matches!(accepted, WireReply::Answer { status: 200, .. }));
    wait_until("the job succeeds", || {
        let WireReply::Answer { body, .. } = exchange(address, &call("GET", "")) else {
            return false;
        };
        String::from_utf8_lossy(&body).contains("succeeded")
    });
    kill(Pid::from_raw(child.id() as i32), Signal::SIGTERM).expect("the signal is sent");
    assert!(child.wait().expect("an end").success());
}
