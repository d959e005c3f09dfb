//! Entries, rows and answers that another writer or a faulty program leaves: deeply nested, out of range, of
//! another type or unreadable.

use bankvalve_platform::counterpart;
use bankvalve_queue::{RowKey, StoreOutcome, StoredRow, WorkerId};

use crate::test_site::{assert_tasks_run_once, job_of, wait_until, TestSite, MAX_WAIT};

/// Fields of an entry, as paths in its JSON.
const FIELDS: [&str; 10] = [
    "/Service",
    "/Address",
    "/Zone",
    "/State",
    "/Capacity",
    "/Capacity/Cpu",
    "/Labels",
    "/Labels/0",
    "/RemainingMs",
    "/born",
];
/// Addresses at which no worker can be.
const ADDRESSES: [&str; 9] = [
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:-1",
    "worker.example:80",
    "255.255.255.255:80",
    "0.0.0.0:80",
    "224.0.0.1:80",
    "127.0.0.1",
    "",
];
/// Rows that are not of the expected shape.
const ROWS: [&str; 14] = [
    "null",
    "7",
    "[]",
    "{}",
    r#""text""#,
    r#"{"table":"servers","part":"","TlsKey":7,"Value":""}"#,
    r#"{"table":"servers","part":"","TlsKey":null,"Value":""}"#,
    r#"{"table":"servers","part":"","TlsKey":"","Value":"e30="}"#,
    r#"{"table":"servers","part":"","TlsKey":"w-4","Value":7}"#,
    r#"{"table":"servers","part":"","TlsKey":"w-4","Value":"%%%"}"#,
    r#"{"table":"servers","part":"","TlsKey":"w-4","Value":"//79"}"#,
    r#"{"table":"servers","part":"","TlsKey":"w-4","Value":"","ver":1e400}"#,
    r#"{"table":"servers","part":"","TlsKey":"w-4","Value":"","ver":-1}"#,
    r#"{"table":"servers","part":"","TlsKey":"w-4","Value":"","gone":"x"}"#,
];
/// Maximum growth of an instance's memory over the changes of one entry, in KiB.
const MAX_GROWTH_KIB: u64 = 16 * 1024;

fn nested(open: &str, close: &str, levels: usize) -> String {
    format!("{}1{}", open.repeat(levels), close.repeat(levels))
}

/// Returns values that no field of an entry has, as JSON.
fn odd_values() -> Vec<String> {
    let mut values: Vec<String> = [
        "1e400",
        "-1",
        "18446744073709551615",
        "18446744073709551616",
    ]
    .map(str::to_owned)
    .into();
    values.extend(["9223372036854775808", "NaN", "null", "\"text\"", "1.5"].map(str::to_owned));
    for levels in [200, 100_000] {
        values.push(nested("[", "]", levels));
        values.push(nested(r#"{"a":"#, "}", levels));
    }
    values
}

/// Returns an entry with one field replaced. `marker` stands in the encoded entry for the value.
fn entry_with(site: &TestSite, field: &str, value: &str) -> Vec<u8> {
    let marker = "replaced-by-the-test";
    let mut entry = serde_json::json!({
        "Service": "billing", "Address": site.platform.address().to_string(), "Zone": "domain",
        "State": "ready", "Capacity": { "Cpu": 4_000, "MemMb": 65_536, "Gpu": 0 },
        "Labels": ["kind-a"], "RemainingMs": 0.0, "born": 1
    });
    *entry.pointer_mut(field).expect("a field of the entry") = marker.into();
    let text = entry.to_string();
    text.replace(&format!("\"{marker}\""), value).into_bytes()
}

/// Returns a row of the workers' table as the platform encodes it.
fn row_of(id: &WorkerId, value: Vec<u8>) -> Vec<u8> {
    let row = StoredRow {
        key: RowKey::new("servers", "", id.to_string()),
        value,
        version: 1,
    };
    let outcome = StoreOutcome::Rows {
        rows: vec![row],
        more: false,
        version: 1,
    };
    let body = counterpart::write_outcome(&outcome)
        .expect("an answer")
        .body;
    let end = body.len() - br#"],"more":false,"ver":1}"#.len();
    body[br#"{"rows":["#.len()..end].to_vec()
}

fn odd_rows(site: &TestSite, id: &WorkerId) -> Vec<Vec<u8>> {
    let mut rows: Vec<Vec<u8>> = ROWS.map(|row| row.as_bytes().to_vec()).into();
    rows.extend([nested("[", "]", 200), nested("[", "]", 100_000)].map(String::into_bytes));
    rows.push(row_of(&"k".repeat(200).into(), b"{}".to_vec()));
    rows.push(b"{\"table\":\"servers\",\"part\":\"\",\"TlsKey\":\"\xff\xfe\"}".to_vec());
    rows.extend([&b"\xff\xfe"[..], b"", b"[1]"].map(|value| row_of(id, value.to_vec())));
    for field in FIELDS {
        for value in odd_values() {
            rows.push(row_of(id, entry_with(site, field, &value)));
        }
    }
    for address in ADDRESSES {
        let value = format!("\"{address}\"");
        rows.push(row_of(id, entry_with(site, "/Address", &value)));
    }
    rows
}

/// Guards against one row of another writer that ends the process, or after which the list of workers is not
/// followed any more.
#[test]
fn odd_rows_among_the_workers_stop_neither_the_process_nor_the_list() {
    let mut site = TestSite::start(1, 3);
    let id = site
        .platform
        .add_worker("billing", 4_000)
        .expect("a worker");
    site.submit(job_of(1, "work=50", &[2]));
    for (number, row) in odd_rows(&site, &id).into_iter().enumerate() {
        let text = String::from_utf8_lossy(&row[..row.len().min(160)]).into_owned();
        site.platform
            .replace_row("servers", "", &id, Some(row.clone()));
        site.platform.rewrite_entry(&id);
        let good = site
            .platform
            .add_worker("billing", 4_000)
            .expect("a worker");
        wait_until(&format!("a worker after {text} is listed"), || {
            site.entry(0).assert_runs();
            site.entry(0).count_lines("listed", &good) > 0
        });
        if number % 20 == 0 {
            site.submit(job_of(number as u64 + 2, "work=50", &[3]));
            // The same row is met by a process that starts.
            site.restart_all();
            wait_until("an instance leads", || site.leader().is_some());
            site.wait_for_success(0, [number as u64 + 2].into_iter());
        }
    }
    site.wait_for_success(0, 1..=1);
    let metrics = site.metrics(0);
    let counted = |line: &str| line.contains("worker_entries") && line.contains("unusable");
    assert!(metrics.lines().any(counted), "{metrics}");
    site.platform.replace_row("servers", "", &id, None);
    site.platform.rewrite_entry(&id);
    for job in 1_000..1_010 {
        site.submit(job_of(job, "work=500", &[60]));
    }
    let used = |runs: &[bankvalve_standin::site::SeenRun]| runs.iter().any(|run| run.worker == id);
    assert!(site.platform.wait_for_runs(MAX_WAIT, used));
    assert_tasks_run_once(&site.platform.runs());
}

/// Guards against memory that grows with each change of an entry that cannot be used.
#[test]
fn changes_of_an_odd_entry_take_no_memory() {
    let site = TestSite::start(1, 3);
    let id = site
        .platform
        .add_worker("billing", 4_000)
        .expect("a worker");
    let deep = entry_with(&site, "/Labels/0", &nested("[", "]", 20_000));
    let row = row_of(&id, deep);
    site.platform.replace_row("servers", "", &id, Some(row));
    let mut first = 0;
    for number in 1..=200 {
        site.platform.rewrite_entry(&id);
        wait_until("the entry is read", || {
            site.entry(0).assert_runs();
            site.entry(0).count_lines("unusable", &id) >= number
        });
        if number == 1 {
            first = site.entry(0).resident_kib();
        }
    }
    let last = site.entry(0).resident_kib();
    eprintln!("{first} KiB after 1 change, {last} KiB after 200");
    assert!(
        last <= first + MAX_GROWTH_KIB,
        "{first} KiB, then {last} KiB"
    );
}

/// Guards against an element of an answer that makes the answer unusable as a whole, or ends the process.
#[test]
fn odd_answers_of_a_worker_or_the_policy_service_do_not_stop_the_process() {
    let site = TestSite::start(1, 3);
    let id = site
        .platform
        .add_worker("billing", 4_000)
        .expect("a worker");
    for (number, value) in odd_values().into_iter().enumerate() {
        for field in ["ClockMs", "born", "Running", "Ended"] {
            let body = format!(r#"{{"ClockMs":1,"born":1,"{field}":{value}}}"#);
            let body = body.replace(&format!(r#""{field}":1,"#), "");
            site.platform.set_poll_body(&id, Some(body.into_bytes()));
            std::thread::sleep(std::time::Duration::from_millis(50));
        }
        for row in [
            format!(r#"["5c0e7a21d94b36f8.0.1.17",{value},"",{value},{value}]"#),
            format!(r#"[{value},"5c0e7a21d94b36f8.0.1.9",{value},"done",{value}]"#),
        ] {
            let body = format!(r#"{{"ClockMs":{number},"Running":[{row}],"Ended":[{row}]}}"#);
            site.platform.set_poll_body(&id, Some(body.into_bytes()));
            std::thread::sleep(std::time::Duration::from_millis(50));
        }
        let advice = format!(r#"{{"good":[["w-1","t"]],"valid_ms":{value}}}"#);
        site.platform.set_advice_body(Some(advice.into_bytes()));
        site.submit(job_of(number as u64 + 1, "work=50", &[1]));
        std::thread::sleep(std::time::Duration::from_millis(100));
        site.entry(0).assert_runs();
    }
    site.platform.set_poll_body(&id, None);
    site.platform.set_advice_body(None);
    site.wait_for_success(0, 1..=1);
    site.submit(job_of(1_000, "work=50", &[2]));
    site.wait_for_success(0, 1_000..=1_000);
}
