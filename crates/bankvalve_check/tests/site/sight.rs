//! Why a task does not run now, as its leader's log and metrics tell by the task's id.

use std::time::Duration;

use bankvalve_check::site::{job_of, SiteWorld, QUEUE};
use bankvalve_queue::{JobId, JobSpec, StartWait, WaitReason};

use crate::{assert_kept, world, world_without};

/// The job whose only task is followed.
const JOB: JobId = 7;
/// Its task, as the log names it.
const TASK: &str = "0000000000000007.0.0.0";
/// Time by which a wait may end later than was told: a scan of the workers, and a tick of the leader.
const LATE_MS: u64 = 200;

/// A line on the task: when, by which instance, part and event, detail.
type TaskLine = (u64, usize, String, String);

/// Starts a task that lasts and returns the address of its worker.
fn start_lasting(world: &mut SiteWorld) -> String {
    let mut spec = job_of(JOB, QUEUE, &[1], false);
    spec.steps[0].lasting = true;
    start(world, spec)
}

/// Starts a task that works for a minute and returns the address of its worker.
fn start_long(world: &mut SiteWorld) -> String {
    world.work_ms.insert(JOB, 60_000);
    start(world, job_of(JOB, QUEUE, &[1], false))
}

fn start(world: &mut SiteWorld, spec: JobSpec) -> String {
    world.lines = Some(Vec::new());
    world.submit(spec);
    world.run_until(3_000);
    let runs_it = |address: &&String| {
        let worker = world.workers[*address].as_ref();
        worker.is_some_and(|worker| !worker.runs().is_empty())
    };
    let address = world.workers.keys().find(runs_it);
    address.expect("a worker runs the task").clone()
}

/// Lines on the task of some events, `part event` each.
fn task_lines(world: &SiteWorld, events: &[&str]) -> Vec<TaskLine> {
    let lines = world.lines.as_deref().unwrap_or_default();
    let named = lines.iter().map(|(at, node, line)| {
        let name = format!("{} {}", line.part, line.event);
        (*at, *node, name, line)
    });
    named
        .filter(|(.., name, line)| line.id == TASK && events.contains(&name.as_str()))
        .map(|(at, node, name, line)| (at, node, name, line.detail.clone()))
        .collect()
}

/// The moment by which a line says that the wait ends by itself.
fn told_end(line: &TaskLine) -> u64 {
    let (_, left) = line.3.split_once("by itself in at most ").expect("an end");
    let seconds = left
        .strip_suffix("ms")
        .map(|ms| ms.parse::<f64>().map(|ms| ms / 1e3));
    let seconds = seconds.unwrap_or_else(|| left.trim_end_matches('s').parse());
    line.0 + (seconds.expect("a duration") * 1e3) as u64
}

/// Tasks that wait for a worker that is not heard, by reason.
fn lost_contact(world: &SiteWorld) -> Vec<(WaitReason, u64)> {
    let waits = world.task_waits();
    let counted = WaitReason::ALL.map(|reason| (reason, waits.lost_contact(reason)));
    counted
        .into_iter()
        .filter(|(_, tasks)| *tasks > 0)
        .collect()
}

fn oldest_ms(world: &SiteWorld) -> u128 {
    let oldest = world.task_waits().oldest_lost_contact;
    oldest.expect("a task waits").as_millis()
}

#[test]
fn a_worker_cut_off_under_one_leader_is_told_from_the_first_silence_to_the_next_start() {
    let mut world = world(51);
    let address = start_long(&mut world);
    assert_eq!(lost_contact(&world), []);
    world.worker_cut_until.insert(address.clone(), 60_000);
    world.run_until(5_500);
    let lines = task_lines(&world, &["runs unheard"]);
    let [first] = lines.as_slice() else {
        panic!("expected one line, found {lines:#?}");
    };
    assert!((4_200..4_700).contains(&first.0), "{first:?}");
    let detail = &first.3;
    assert!(detail.starts_with("run 1 on w-"), "{detail}");
    assert!(detail.contains(&address), "{detail}");
    assert!(
        detail.contains("entry listed, no contact for 1."),
        "{detail}"
    );
    assert!(detail.contains(": own_hold, lease until "), "{detail}");
    assert_eq!(lost_contact(&world), [(WaitReason::OwnHold, 1)]);
    assert!((2_300..2_700).contains(&oldest_ms(&world)));
    // Its hold is over, and its entry stands.
    world.run_until(11_000);
    assert_eq!(lost_contact(&world), [(WaitReason::EntryListed, 1)]);
    world.run_until(20_000);
    let events = ["runs unheard", "runs heard", "runs end", "placer place"];
    let lines = task_lines(&world, &events);
    let names: Vec<&str> = lines.iter().map(|line| line.2.as_str()).collect();
    let expected = [
        "placer place",
        "runs unheard",
        "runs unheard",
        "runs end",
        "placer place",
    ];
    assert_eq!(names, expected, "{lines:#?}");
    assert!(lines[2].3.contains(": entry_listed, its lease has expired"));
    let end = &lines[3];
    assert!(end.3.contains(", out of contact for 1"), "{end:?}");
    assert!(end.3.ends_with(", last reason entry_listed"), "{end:?}");
    for line in &lines[1..3] {
        let told = told_end(line);
        assert!(end.0 <= told + LATE_MS, "{line:?}, {end:?}");
    }
    assert!(lines[4].3.contains(" after run 1 ended"), "{lines:#?}");
    assert_eq!(lost_contact(&world), []);
    assert_eq!(world.task_waits().oldest_lost_contact, None);
    assert_kept(&world);
}

#[test]
fn a_task_that_lasts_is_told_to_wait_for_no_more_than_the_hold_of_its_worker() {
    let mut world = world(51);
    let address = start_lasting(&mut world);
    world.worker_cut_until.insert(address, 60_000);
    world.run_until(20_000);
    let events = ["runs unheard", "runs heard", "runs end", "placer place"];
    let lines = task_lines(&world, &events);
    let [_, lost_contact, end, place] = lines.as_slice() else {
        panic!("expected a start, a wait, an end and a start, found {lines:#?}");
    };
    assert!(lost_contact.3.contains(": own_hold, lease until "));
    assert!(
        end.3
            .contains("its lease has expired, its entry still exists"),
        "{end:?}"
    );
    assert!(end.3.ends_with(", last reason own_hold"), "{end:?}");
    let told = told_end(lost_contact);
    let in_time = told.saturating_sub(LATE_MS)..=told + LATE_MS;
    assert!(in_time.contains(&end.0), "{lost_contact:?}, {end:?}");
    assert!(place.0 <= end.0 + LATE_MS, "{end:?}, {place:?}");
    assert_kept(&world);
}

#[test]
fn a_worker_that_answers_again_is_told_with_how_long_it_was_waited_for() {
    let mut world = world(52);
    let address = start_lasting(&mut world);
    world.worker_cut_until.insert(address, 6_000);
    world.run_until(8_000);
    let lines = task_lines(&world, &["runs unheard", "runs heard", "runs end"]);
    let names: Vec<&str> = lines.iter().map(|line| line.2.as_str()).collect();
    assert_eq!(names, ["runs unheard", "runs heard"], "{lines:#?}");
    let detail = &lines[1].3;
    assert!(
        detail.contains("its worker answers, out of contact for "),
        "{detail}"
    );
    assert!(detail.ends_with(", last reason own_hold"), "{detail}");
    assert_eq!(lost_contact(&world), []);
    assert_kept(&world);
}

/// A worker is lost, and its leader 1.5 s later, for a time; returns the instance that led.
fn lose_worker_and_leader(world: &mut SiteWorld, down_ms: u64) -> usize {
    let address = start_lasting(world);
    world.crash_worker(&address, 60_000);
    world.run_until(4_500);
    let leader = world.leader().expect("an instance leads");
    world.kill(leader, down_ms);
    leader
}

/// The same with all other instances, of which one comes back soon: it was in touch with nobody, and
/// cannot hear from the third whether that still hears the leader.
fn lose_worker_and_all(world: &mut SiteWorld, down_ms: u64) -> usize {
    let leader = lose_worker_and_leader(world, down_ms);
    let others = (0..world.nodes.len()).filter(|node| *node != leader);
    for (node, down_ms) in others.zip([500, 60_000]) {
        world.kill(node, down_ms);
    }
    leader
}

/// What a new leader knows of where a worker listens whose entry is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KnownAddress {
    /// The former leader has told it.
    Told,
    Unknown,
}

/// The line on the wait for a worker that has never answered a new leader.
fn told_by_successor(world: &SiteWorld, former: usize, known: KnownAddress) -> TaskLine {
    let lines = task_lines(world, &["runs unheard"]);
    let [_, told] = lines.as_slice() else {
        panic!("expected one line of each leader, found {lines:#?}");
    };
    assert_ne!(told.1, former);
    let detail = &told.3;
    assert!(detail.starts_with("run 1 on w-"), "{detail}");
    let (entry, end) = match known {
        KnownAddress::Told => (
            ", 10.9.0.0:80, entry gone for ",
            "; ends with its answer, another process at its address, or by itself in at most ",
        ),
        KnownAddress::Unknown => (
            ", address unknown, entry never seen by this leader, ",
            "; it cannot be polled; ends by itself in",
        ),
    };
    for part in [entry, "no contact since this leader started, for 1.5", end] {
        assert!(detail.contains(part), "{detail}");
    }
    assert_eq!(
        detail.contains(", its port refuses"),
        known == KnownAddress::Told
    );
    told.clone()
}

/// The run must end when that was told.
fn check_told_end(world: &SiteWorld, told: &TaskLine, reason: &str) {
    let ends = task_lines(world, &["runs end"]);
    let [end] = ends.as_slice() else {
        panic!("expected one end, found {ends:#?}");
    };
    let by = told_end(told);
    let in_time = by.saturating_sub(LATE_MS)..=by + LATE_MS;
    assert!(in_time.contains(&end.0), "{told:?}, {end:?}");
    let last = format!(", last reason {reason}");
    assert!(end.3.ends_with(&last), "{end:?}");
    assert_eq!(lost_contact(world), []);
    assert_kept(world);
}

#[test]
fn a_worker_that_a_new_leader_never_heard_is_told_with_the_hold_that_it_assumes() {
    let mut world = world(53);
    let former = lose_worker_and_all(&mut world, 60_000);
    world.run_until(8_000);
    let told = told_by_successor(&world, former, KnownAddress::Unknown);
    let why = ": former_hold_assumed, a former leader was not in mutual contact with this instance";
    assert!(told.3.contains(why), "{told:?}");
    assert_eq!(lost_contact(&world), [(WaitReason::FormerHoldAssumed, 1)]);
    assert!(oldest_ms(&world) >= 2_500);
    world.run_until(40_000);
    check_told_end(&world, &told, "former_hold_assumed");
}

#[test]
fn a_worker_that_a_new_leader_never_heard_is_told_with_the_hold_that_it_knows() {
    let mut world = world(53);
    let former = lose_worker_and_leader(&mut world, 60_000);
    world.run_until(8_000);
    let told = told_by_successor(&world, former, KnownAddress::Told);
    let why = ": former_hold_known, it is known when the former leaders stopped";
    assert!(told.3.contains(why), "{told:?}");
    assert_eq!(lost_contact(&world), [(WaitReason::FormerHoldKnown, 1)]);
    assert!(oldest_ms(&world) >= 2_500);
    world.run_until(40_000);
    check_told_end(&world, &told, "former_hold_known");
}

#[test]
fn a_worker_that_the_leader_before_had_told_of_is_told_with_what_the_ledger_has() {
    let mut world = world(57);
    let address = start_lasting(&mut world);
    world.crash_worker(&address, 60_000);
    world.run_until(4_900);
    let leader = world.leader().expect("an instance leads");
    world.kill(leader, 60_000);
    world.run_until(9_000);
    let told = told_by_successor(&world, leader, KnownAddress::Told);
    let why = ": former_hold_known, the ledger records that no leader renews its lease";
    assert!(told.3.contains(why), "{told:?}");
    world.run_until(40_000);
    check_told_end(&world, &told, "former_hold_known");
}

#[test]
fn once_the_former_leader_is_back_its_end_is_told_as_known() {
    let mut world = world(54);
    lose_worker_and_all(&mut world, 5_000);
    world.run_until(12_000);
    assert_eq!(lost_contact(&world), [(WaitReason::FormerHoldKnown, 1)]);
    world.run_until(40_000);
    let lines = task_lines(&world, &["runs unheard"]);
    let known = lines.last().expect("lines");
    assert!(known.3.contains(": former_hold_known, it is known when"));
    check_told_end(&world, known, "former_hold_known");
}

// Guards against a downtime of which the log does not tell the parts.
#[test]
fn the_parts_of_a_long_running_tasks_downtime_are_logged() {
    let mut world = world_without(55, 1, None);
    let address = start_lasting(&mut world);
    world.crash_worker(&address, 15_000);
    world.run_until(25_000);
    let lines = task_lines(&world, &["placer downtime"]);
    let [downtime] = lines.as_slice() else {
        panic!("expected one downtime, found {lines:#?}");
    };
    let detail = &downtime.3;
    assert!(
        detail.contains(" since the last contact with run 1: "),
        "{detail}"
    );
    assert!(
        detail.contains(" until its end was known to this leader, then "),
        "{detail}"
    );
    assert!(detail.contains("(no_room "), "{detail}");
}

#[test]
fn a_task_that_waits_to_start_after_its_runs_end_tells_why() {
    let mut world = world_without(55, 1, None);
    let address = start_lasting(&mut world);
    world.crash_worker(&address, 15_000);
    world.run_until(16_000);
    let waits = world.task_waits();
    assert_eq!(waits.starts(StartWait::NoRoom), 1);
    assert!(waits.oldest_start >= Some(Duration::from_secs(2)));
    world.run_until(25_000);
    let lines = task_lines(&world, &["placer waits", "placer place"]);
    let [_, waits, place] = lines.as_slice() else {
        panic!("expected a wait and a second start, found {lines:#?}");
    };
    assert!(waits.3.starts_with("run 1 ended 2"), "{waits:?}");
    assert!(waits.3.ends_with("not started: no_room"), "{waits:?}");
    assert!(
        place.3.contains(" after run 1 ended, mostly no_room"),
        "{place:?}"
    );
    assert_eq!(world.task_waits().starts(StartWait::NoRoom), 0);
    assert_kept(&world);
}

#[test]
fn a_leader_that_is_not_sure_that_it_leads_tells_that_it_gives_nothing_up() {
    let mut world = world(56);
    let address = start_lasting(&mut world);
    world.store_away_until = 30_000;
    world.run_until(14_000);
    assert_eq!(lost_contact(&world), []);
    world.worker_cut_until.insert(address, 90_000);
    world.run_until(28_000);
    assert_eq!(lost_contact(&world), [(WaitReason::Unconfirmed, 1)]);
    world.run_until(60_000);
    let lines = task_lines(&world, &["runs unheard"]);
    let unsure = |line: &&TaskLine| {
        line.3
            .contains(": unconfirmed, the leadership of this leader has not been confirmed for ")
    };
    let line = lines.iter().find(unsure).expect("a line");
    assert!(
        line.3
            .contains("once this leader's leadership is confirmed again"),
        "{line:?}"
    );
    let ends = task_lines(&world, &["runs end"]);
    assert_eq!(ends.len(), 1, "{ends:#?}");
    assert!(ends[0].0 >= 30_000, "{ends:?}");
    assert_eq!(lost_contact(&world), []);
    assert_kept(&world);
}
