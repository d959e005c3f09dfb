//! Tests that each HTTP interface accepts only its own kind of key, and tests of encryption and error bodies.

use bankvalve_link::{sign_command, OperatorSigner, PeerSigner};
use serde_json::{json, Value};

use super::test_cell::{batch, token_of, TestCell, PEER_KEY};

/// Sends a request with one header and returns the status and the JSON body.
fn status(method: &str, url: &str, header: (&'static str, String), body: &str) -> (u16, Value) {
    let method = method.parse().unwrap();
    let sent = attohttpc::RequestBuilder::new(method, url)
        .header(header.0, header.1)
        .text(body)
        .send()
        .unwrap();
    let status = sent.status().as_u16();
    let body = sent.bytes().unwrap();
    (status, serde_json::from_slice(&body).unwrap_or(Value::Null))
}

fn now() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.unwrap().as_secs()
}

#[test]
fn keys_of_one_link_are_refused_on_the_others() {
    let cell = TestCell::start(1, 3);
    let entry = cell.entries[0].as_ref().unwrap();
    let operator = OperatorSigner::new("tester", &"5a".repeat(32)).unwrap();
    let stranger = OperatorSigner::new("tester", &"5b".repeat(32)).unwrap();
    let peer = PeerSigner::new(PEER_KEY);
    let caller = || ("authorization", format!("Bearer {}", token_of("billing")));
    let workers = format!("{}/v1/workers", entry.callers);
    let jobs = format!("{}/v1/jobs/billing", entry.callers);
    let others = format!("{}/v1/jobs/leakage", entry.callers);
    let batch = format!("http://{}/peer/batch", entry.peers);
    let signed =
        |signer: &OperatorSigner, time: u64| sign_command(signer, time, "GET", "/v1/workers", b"");
    assert_eq!(status("GET", &jobs, caller(), "").0, 200);
    assert_eq!(status("GET", &others, caller(), "").0, 403);
    assert_eq!(status("GET", &workers, caller(), "").0, 403);
    assert_eq!(status("GET", &workers, signed(&operator, now()), "").0, 200);
    assert_eq!(status("GET", &workers, signed(&stranger, now()), "").0, 403);
    assert_eq!(
        status("GET", &workers, signed(&operator, now() - 600), "").0,
        403
    );
    assert_eq!(status("GET", &jobs, signed(&operator, now()), "").0, 403);
    assert_eq!(status("POST", &batch, caller(), "x").0, 403);
    assert_eq!(status("POST", &batch, signed(&operator, now()), "x").0, 403);
    let peer_header = || peer.header("/peer/batch", b"x");
    assert_eq!(status("POST", &batch, peer_header(), "x").0, 400);
    assert_eq!(status("POST", &batch, peer_header(), "y").0, 403);
    assert_eq!(
        status("GET", &jobs, peer.header("/v1/jobs/billing", b""), "").0,
        403
    );
}

#[test]
fn encrypted_listener_serves_callers_and_operators() {
    let cell = TestCell::start_encrypted(1, 3);
    cell.client().submit(&batch("sealed", 3, 50)).unwrap();
    cell.wait_done("billing", "sealed");
    let entry = cell.entries[0].as_ref().unwrap();
    let clear = entry.callers.replace("https://", "http://");
    let sent = attohttpc::get(format!("{clear}/v1/workers")).send();
    assert!(sent.is_err());
}

#[test]
fn errors_have_one_shape() {
    let cell = TestCell::start(1, 3);
    let entry = cell.entries[0].as_ref().unwrap();
    let caller = || ("authorization", format!("Bearer {}", token_of("billing")));
    let jobs = format!("{}/v1/jobs", entry.callers);
    let (code, body) = status("POST", &jobs, caller(), r#"{"id": "a", "colour": 1}"#);
    assert_eq!(code, 400);
    assert_eq!(body["error"]["outcome"], json!("not_run"));
    assert_eq!(body["error"]["reason"], json!("malformed"));
    assert_eq!(body["error"]["field"], json!("colour"));
    assert_eq!(body["error"]["step"], json!("submit"));
    let (code, body) = status("GET", &format!("{jobs}/billing/none"), caller(), "");
    assert_eq!(
        (code, &body["error"]["reason"]),
        (404, &json!("unknown_job"))
    );
    let huge = json!({
        "id": "huge", "team": "billing", "kind": {"batch": {"tasks": 1}},
        "size": {"millicores": 99_000, "memory_mib": 1},
    });
    let (code, body) = status("POST", &jobs, caller(), &huge.to_string());
    assert_eq!(
        (code, &body["error"]["reason"]),
        (422, &json!("can_never_run"))
    );
    let detail = body["error"]["detail"].as_str().unwrap();
    assert!(detail.contains("16000 millicores"), "{detail}");
}
