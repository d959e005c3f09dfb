//! The script of CI with lists of known faults, in a folder of its own and with a program in place of cargo.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;

const SCRIPT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../.ci/run");

/// Records how it is called and lists two tests.
const CARGO: &str = r#"#!/usr/bin/env bash
echo "$*" >>"$CALLS"
case "$*" in *--list*) printf 'storms::one: test\nstorms::two: test\n' ;; esac
"#;

/// A file that is not part of the repository.
const UNTRACKED: &str = "untracked/run.sh";

/// What a run of the script showed.
struct ScriptRun {
    passed: bool,
    printed: String,
    /// Arguments of the calls of cargo.
    calls: Vec<String>,
}

impl ScriptRun {
    /// Arguments of the call that runs the tests.
    fn tests(&self) -> &str {
        let mut calls = self.calls.iter();
        let tests = "test --workspace --locked -- --exact";
        let call = calls.find(|call| call.starts_with(tests));
        call.expect("the tests are run")
            .strip_prefix(tests)
            .unwrap_or_default()
            .trim()
    }
}

fn write(path: &Path, text: &str) {
    let folder = path.parent().expect("a file in a folder");
    fs::create_dir_all(folder).expect("a folder");
    fs::write(path, text).expect("a file");
}

fn run_git(folder: &Path, arguments: &[&str]) {
    let mut git = Command::new("git");
    git.args(arguments).current_dir(folder);
    for name in ["GIT_DIR", "GIT_WORK_TREE", "GIT_INDEX_FILE"] {
        git.env_remove(name);
    }
    assert!(git.status().expect("git runs").success());
}

/// Runs the script with a list of known faults. The name is that of its folder.
fn run_script(name: &str, list: &str) -> ScriptRun {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("ci-run-{name}"));
    if folder.exists() {
        fs::remove_dir_all(&folder).expect("the folder of an earlier run goes");
    }
    write(
        &folder.join(".ci/run"),
        &fs::read_to_string(SCRIPT).expect("the script"),
    );
    write(&folder.join("KNOWN-RED.txt"), list);
    write(&folder.join("review/4/run.sh"), "");
    write(&folder.join("review/4/day.toml"), "");
    write(&folder.join("crates/known_check/Cargo.toml"), "");
    run_git(&folder, &["init", "-q"]);
    run_git(&folder, &["add", "-A"]);
    write(&folder.join(UNTRACKED), "");
    fs::create_dir(folder.join("target")).expect("a folder");
    let cargo = folder.join("bin/cargo");
    write(&cargo, CARGO);
    fs::set_permissions(&cargo, fs::Permissions::from_mode(0o755)).expect("permissions");
    let calls = folder.join("calls.txt");
    let path = std::env::var("PATH").expect("a path");
    let mut script = Command::new("bash");
    script.arg(".ci/run").current_dir(&folder);
    script.env("PATH", format!("{}/bin:{path}", folder.display()));
    script.env("CALLS", &calls);
    for name in ["GIT_DIR", "GIT_WORK_TREE", "GIT_INDEX_FILE"] {
        script.env_remove(name);
    }
    let output = script.output().expect("the script runs");
    let printed = [output.stdout, output.stderr].concat();
    ScriptRun {
        passed: output.status.success(),
        printed: String::from_utf8_lossy(&printed).into_owned(),
        calls: fs::read_to_string(calls)
            .unwrap_or_default()
            .lines()
            .map(Into::into)
            .collect(),
    }
}

#[test]
fn a_listed_test_is_passed_over_run_alone_and_printed() {
    let line = "storms::one | seed 7: LOST | issue 82";
    let run = run_script("test", &format!("{line}\n"));
    assert!(run.passed, "{}", run.printed);
    assert_eq!(run.tests(), "--skip storms::one");
    let alone = "test --workspace --tests --locked -- --exact storms::one";
    assert!(
        run.calls.iter().any(|call| call == alone),
        "{:?}",
        run.calls
    );
    let verdict = format!("passed over: {line}: PASSED this time");
    assert!(run.printed.contains(&verdict), "{}", run.printed);
}

#[test]
fn a_listed_command_is_printed_and_no_test_is_passed_over_for_it() {
    for (number, command) in [
        "review/4/run.sh",
        "review/4/run.sh --worlds=2",
        "fleetbench run hekla-refund.toml review/4/day.toml --seed 2",
        "known_check site --burden storms --seed 7",
    ]
    .into_iter()
    .enumerate()
    {
        let line = format!("command: {command} | LOST | issue 82");
        let run = run_script(&format!("command-{number}"), &format!("{line}\n"));
        assert!(run.passed, "{}", run.printed);
        let printed = format!("not run here: {line}\n");
        assert!(run.printed.contains(&printed), "{}", run.printed);
        assert_eq!(run.tests(), "");
    }
}

/// Guards against a command's line that shifts which line is printed for a test.
#[test]
fn commands_and_tests_may_be_listed_in_any_order() {
    let command = "command: review/4/run.sh | LOST | issue 75";
    let test = "storms::two | LOST | issue 82";
    let run = run_script("both", &format!("{command}\n{test}\n"));
    assert!(run.passed, "{}", run.printed);
    assert_eq!(run.tests(), "--skip storms::two");
    for printed in [
        format!("not run here: {command}\n"),
        format!("passed over: {test}: "),
    ] {
        assert!(run.printed.contains(&printed), "{}", run.printed);
    }
}

#[test]
fn a_line_of_another_form_or_that_names_what_is_not_there_fails_the_run_before_any_check() {
    let long = format!("command: review/4/run.sh | {} | issue 82", "x".repeat(400));
    for (number, line) in [
        "storms::one | no issue",
        "storms::one with words | LOST | issue 82",
        "command: | LOST | issue 82",
        "command: review/4/run.sh | LOST",
        "command: review/4/run.sh | | issue 82",
        "command: review/4/run.sh | LOST | issue x",
        "command: review/9/run.sh | LOST | issue 82",
        "command: review/4 | LOST | issue 82",
        "command: review/4/*.sh | LOST | issue 82",
        "command: review/4/run.sh review/9/day.toml | LOST | issue 82",
        "command: review/4/run.sh; true | LOST | issue 82",
        "command: /bin/true | LOST | issue 82",
        "command: ../ci-run-test/review/4/run.sh | LOST | issue 82",
        "command: untracked/run.sh | LOST | issue 82",
        "command: fleetbench run hekla-refund.toml | LOST | issue 82",
        "command: unknown_check site | LOST | issue 82",
        "command: storms::one | LOST | issue 82",
        "command: review/4/run.sh storms::one | LOST | issue 82",
        "Command: review/4/run.sh | LOST | issue 82",
        "",
        &long,
    ]
    .into_iter()
    .enumerate()
    {
        let run = run_script(&format!("wrong-{number}"), &format!("{line}\n"));
        assert!(!run.passed, "'{line}' is accepted");
        assert!(
            run.printed.starts_with("KNOWN-RED.txt: expected "),
            "{}",
            run.printed
        );
        assert_eq!(run.calls, [""; 0], "'{line}'");
    }
}

#[test]
fn a_name_that_no_test_has_fails_the_run() {
    for name in ["storms::three", "storms"] {
        let run = run_script("unknown", &format!("{name} | LOST | issue 82\n"));
        assert!(!run.passed, "'{name}' is accepted");
        let expected = format!("expected a name that one test has, found 0 tests named '{name}'");
        assert!(run.printed.contains(&expected), "{}", run.printed);
    }
}
