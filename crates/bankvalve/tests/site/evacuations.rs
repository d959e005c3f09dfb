//! Evacuated failure domains over real connections, and the command that lists them.

use std::process::{Command, Output};

use crate::test_site::{job_of, program, wait_until, TestSite};

/// Failure domain of the stand-in's workers.
const DOMAIN: &str = "domain";

fn list_evacuations(metrics: &str) -> Output {
    let mut command = Command::new(program());
    let output = command.args(["evacuations", "--metrics", metrics]).output();
    output.expect("the command runs")
}

fn printed(site: &TestSite, index: usize) -> String {
    let output = list_evacuations(&site.entry(index).plan().metrics.to_string());
    assert!(output.status.success(), "{output:?}");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// Returns whether the command has printed a row for the evacuated failure domain.
fn lists(printed: &str) -> bool {
    let mut names = printed.lines().filter_map(|line| line.split("  ").next());
    names.any(|name| name == DOMAIN)
}

#[test]
fn nothing_starts_in_an_evacuated_domain_and_each_instance_lists_it() {
    let site = TestSite::start(3, 4);
    for index in 0..3 {
        site.wait_until_ready(index);
    }
    site.platform.evacuate(DOMAIN, true);
    for index in 0..3 {
        wait_until("the instance knows the evacuation", || {
            lists(&printed(&site, index))
        });
    }
    site.submit(job_of(1, "work=20", &[3]));
    site.submit(job_of(2, "work=20", &[2, 2]));
    assert!(site.platform.runs().is_empty());
    site.platform.evacuate(DOMAIN, false);
    site.wait_for_success(0, 1..3);
    assert!(printed(&site, 0).contains("no failure domain is evacuated"));
}

#[test]
fn the_command_tells_a_bad_address_from_one_where_nobody_listens() {
    for (metrics, code, text) in [
        ("nowhere", 2, "expected IP:PORT, found nowhere"),
        ("127.0.0.1:1", 4, "127.0.0.1:1"),
    ] {
        let output = list_evacuations(metrics);
        assert_eq!(output.status.code(), Some(code), "{output:?}");
        let error = String::from_utf8_lossy(&output.stderr);
        assert!(error.contains(text), "{error}");
    }
}
