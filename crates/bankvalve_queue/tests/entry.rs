//! Tests of a single instance: which requests it sends and logs, and which answers it accepts.
//!
//! An [`EntryCore`] is the state machine of an instance, which does no I/O: it takes events and returns
//! actions.

use std::sync::Arc;
use std::time::Duration;

use bankvalve_queue::{
    CallerAnswer, CallerRequest, CoreAction, CoreEvent, EntryCore, EntrySettings, HeartbeatBody,
    JobState, PeerAddress, PeerMessage, ResolvedRequest, StoreRequest, Ticket,
};

fn address(last: u8) -> PeerAddress {
    PeerAddress::from(([10, 0, 0, last], 7_300))
}

/// Creates the incarnation of an instance whose process started at `life`, in milliseconds since 1970.
fn core_with_life(life: u64) -> EntryCore {
    let mut settings = EntrySettings::example(address(1));
    settings.life = life;
    EntryCore::new(settings)
}

/// Returns an instance, started at `life`, that follows a leader at another address.
fn follower(life: u64) -> EntryCore {
    let mut core = core_with_life(life);
    let body = HeartbeatBody {
        life: 9,
        epoch: 4,
        leader: Some(address(2)),
        leading: true,
        ..HeartbeatBody::default()
    };
    let message = PeerMessage::Heartbeat(body);
    let event = CoreEvent::Peer {
        from: address(2),
        message,
    };
    core.step(Duration::from_millis(10), 1_000, event);
    core
}

/// Sends a caller's status request. Returns its ticket, and the ticket of the request to the leader.
fn request_status(core: &mut EntryCore) -> (Ticket, Ticket) {
    let ticket = core.new_ticket();
    let request = ResolvedRequest {
        caller: Default::default(),
        request: CallerRequest::Status { job: 7 },
        patience_ms: 3_000,
        table_version: 0,
    };
    let event = CoreEvent::Caller { ticket, request };
    let actions = core.step(Duration::from_millis(20), 1_010, event);
    let leader_ticket = actions.iter().find_map(|action| match action {
        CoreAction::Peer {
            message: PeerMessage::Ask { ticket, .. },
            ..
        } => Some(*ticket),
        _ => None,
    });
    (
        ticket,
        leader_ticket.expect("the request is sent to the leader"),
    )
}

#[test]
fn an_answer_to_an_earlier_incarnation_is_ignored() {
    let (_, former_ticket) = request_status(&mut follower(1_000));
    let mut core = follower(1_001);
    let (ticket, leader_ticket) = request_status(&mut core);
    assert_ne!(former_ticket, leader_ticket);
    let reply = |ticket, state| CoreEvent::Peer {
        from: address(2),
        message: PeerMessage::Reply {
            ticket,
            answer: Some(CallerAnswer::State(state)),
        },
    };
    let at = Duration::from_millis(30);
    let late = core.step(at, 1_020, reply(former_ticket, JobState::Failed));
    assert!(!late
        .iter()
        .any(|action| matches!(action, CoreAction::Answer { .. })));
    let current = core.step(at, 1_020, reply(leader_ticket, JobState::Running));
    let answered = current.iter().any(|action| {
        matches!(action, CoreAction::Answer { ticket: to, answer: CallerAnswer::State(JobState::Running) } if *to == ticket)
    });
    assert!(answered);
}

#[test]
fn a_request_without_a_leader_is_refused_with_a_retry_time() {
    let mut core = core_with_life(1);
    let ticket = core.new_ticket();
    let spec = Arc::default();
    let request = ResolvedRequest {
        caller: Default::default(),
        request: CallerRequest::Submit {
            spec,
            terms: Default::default(),
        },
        patience_ms: 3_000,
        table_version: 0,
    };
    let at = Duration::from_secs(5);
    let actions = core.step(at, 1, CoreEvent::Caller { ticket, request });
    let refused = actions.iter().any(|action| {
        matches!(action, CoreAction::Answer { answer: CallerAnswer::Refused { retry_ms, .. }, .. } if *retry_ms > 0)
    });
    assert!(refused);
}

#[test]
fn an_instance_without_a_leader_logs_once_a_second_what_it_waits_for() {
    let mut core = core_with_life(3);
    let mut lines = Vec::new();
    for tick in 0..100 {
        let now = Duration::from_millis(50 * tick);
        for action in core.step(now, 1_000, CoreEvent::Tick) {
            if let CoreAction::Log(line) = action {
                lines.extend((line.event == "without_leader").then_some(line.detail));
            }
        }
    }
    assert_eq!(lines.len(), 4, "{lines:?}");
    // "Members not read": the instance has not read the stored list of instances from the table yet.
    assert!(lines[0].contains("members not read, table never answered"));
    assert!(core.view().leaderless_ms >= 4_900);
}

/// Returns the ids and details of the log lines with an event that a part of the instance logged.
fn lines(actions: &[CoreAction], part: &str, event: &str) -> Vec<(String, String)> {
    let id_and_detail = |action: &CoreAction| match action {
        CoreAction::Log(line) if line.part == part && line.event == event => {
            Some((line.id.clone(), line.detail.clone()))
        }
        _ => None,
    };
    actions.iter().filter_map(id_and_detail).collect()
}

#[test]
fn a_request_that_times_out_is_logged_with_its_job_and_its_leader() {
    let mut core = follower(1_000);
    request_status(&mut core);
    let mut timed_out = Vec::new();
    for at_ms in (50..3_000).step_by(50) {
        let actions = core.step(Duration::from_millis(at_ms), 1_000 + at_ms, CoreEvent::Tick);
        timed_out.extend(lines(&actions, "callers", "give_up"));
    }
    let [(job, detail)] = timed_out.as_slice() else {
        panic!("expected one line, found {timed_out:?}");
    };
    assert_eq!(job, "0000000000000007");
    assert!(detail.starts_with("status after"), "{detail}");
    assert!(detail.contains("last sent to 10.0.0.2:7300"), "{detail}");
    assert!(detail.contains("of epoch 4, last contact"), "{detail}");
}

#[test]
fn the_reason_why_an_instance_is_not_ready_is_logged_once() {
    let mut core = core_with_life(1);
    let mut not_ready_lines = Vec::new();
    for at_ms in [10, 60, 110] {
        let actions = core.step(Duration::from_millis(at_ms), at_ms, CoreEvent::Tick);
        not_ready_lines.extend(lines(&actions, "entry", "not_ready"));
    }
    assert_eq!(not_ready_lines.len(), 1);
    assert!(
        not_ready_lines[0].1.starts_with("no configuration"),
        "{not_ready_lines:?}"
    );
}

#[test]
fn a_store_request_whose_result_is_never_reported_is_sent_again() {
    let mut core = core_with_life(4);
    let mut member_reads = 0;
    for tick in 0..200 {
        let now = Duration::from_millis(50 * tick);
        for action in core.step(now, 1_000, CoreEvent::Tick) {
            if let CoreAction::Store { request, .. } = action {
                let read =
                    matches!(request, StoreRequest::Read { table, .. } if table == "members");
                member_reads += u32::from(read);
            }
        }
    }
    assert!(member_reads >= 3, "{member_reads} reads in 10 s");
}
