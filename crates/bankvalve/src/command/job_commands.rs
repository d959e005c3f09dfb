//! Commands for callers: submit, cancel, status, record, request.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use bankvalve_cell::link::JobView;

use super::api_client::ApiClient;
use super::options::ClientOptions;
use super::render::{print_line, print_rows, print_value};
use super::{CommandFailure, FailureKind, JobFile};
use crate::serve::RecordEntry;

/// Interval at which `wait_for` polls the status of a job.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// How long `wait_for` keeps polling without a successful answer.
const STATUS_TIMEOUT: Duration = Duration::from_secs(60);

/// Submits the jobs of a file and optionally waits until they have finished.
pub(super) fn submit(
    options: &ClientOptions,
    file: &str,
    wait: bool,
) -> Result<ExitCode, CommandFailure> {
    let jobs = JobFile::load(file)?.jobs;
    let client = options.connect()?;
    for job in &jobs {
        let again = client.submit(job)?;
        let word = if again {
            "was accepted before"
        } else {
            "accepted"
        };
        eprintln!("job {} of team {}: {word}", job.id, job.team);
    }
    if !wait {
        return Ok(ExitCode::SUCCESS);
    }
    let mut all_done = true;
    for job in &jobs {
        all_done &= wait_for(&client, &job.team, &job.id)?.phase == "done";
    }
    Ok(if all_done {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Cancels a job.
pub(super) fn cancel(
    options: &ClientOptions,
    team: &str,
    job: &str,
) -> Result<ExitCode, CommandFailure> {
    let client = options.connect()?;
    client.cancel(team, job)?;
    eprintln!("job {job} of team {team}: cancelled");
    Ok(ExitCode::SUCCESS)
}

/// Prints the status of a team's jobs, or of one job and its tasks.
pub(super) fn status(
    options: &ClientOptions,
    team: &str,
    job: Option<&str>,
    wait: bool,
) -> Result<ExitCode, CommandFailure> {
    let client = options.connect()?;
    let Some(job) = job else {
        let views = client.jobs(team)?;
        print_value(options.output, &views, |views| print_jobs(views));
        return Ok(ExitCode::SUCCESS);
    };
    let view = if wait {
        wait_for(&client, team, job)?
    } else {
        client.status(team, job)?
    };
    print_value(options.output, &view, print_job);
    Ok(if view.phase == "failed" {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    })
}

/// Waits until a job has finished or all tasks of a service are running, and prints progress to stderr.
///
/// Returns an error after 60 s without a successful answer, or at once for invalid input.
pub(crate) fn wait_for(
    client: &ApiClient,
    team: &str,
    job: &str,
) -> Result<JobView, CommandFailure> {
    let mut shown = String::new();
    let mut last_answer = Instant::now();
    loop {
        match client.status(team, job) {
            Ok(view) => {
                last_answer = Instant::now();
                let progress = progress_of(&view);
                if progress != shown {
                    eprintln!("job {job} of team {team}: {progress}");
                    shown = progress;
                }
                let running = view.tasks.iter().all(|task| task.phase == "running");
                if view.phase != "active" || (view.kind == "service" && running) {
                    return Ok(view);
                }
            }
            Err(failure) if last_answer.elapsed() > STATUS_TIMEOUT => return Err(failure),
            Err(failure) if failure.kind == FailureKind::BadInput => return Err(failure),
            Err(_) => {}
        }
        std::thread::sleep(STATUS_POLL_INTERVAL);
    }
}

fn progress_of(view: &JobView) -> String {
    let count = |phase: &str| view.tasks.iter().filter(|task| task.phase == phase).count();
    let mut text = format!(
        "{} of {} tasks ran to their end, {} running, {} assigned, {} waiting",
        count("succeeded"),
        view.tasks.len(),
        count("running"),
        count("assigned"),
        count("waiting")
    );
    let why = view.tasks.iter().find_map(|task| task.why);
    if let Some(why) = why {
        text.push_str(&format!(" ({why})"));
    }
    text
}

/// Prints the verified record of a team or of one job.
pub(super) fn record(
    options: &ClientOptions,
    team: &str,
    job: Option<&str>,
) -> Result<ExitCode, CommandFailure> {
    let client = options.connect()?;
    let entries = client.record(team, job)?;
    print_value(options.output, &entries, |entries| {
        let rows: Vec<Vec<String>> = entries
            .iter()
            .map(|entry| {
                vec![
                    entry.batch.to_string(),
                    entry.instance.clone(),
                    entry.epoch.to_string(),
                    describe(entry),
                ]
            })
            .collect();
        print_rows(&["batch", "instance", "epoch", "event"], &rows);
    });
    Ok(ExitCode::SUCCESS)
}

fn describe(entry: &RecordEntry) -> String {
    use bankvalve_cell::ledger::LedgerEvent;
    match &entry.event {
        LedgerEvent::Submitted { spec, at } => {
            format!("{at} job {} submitted: {}", spec.id, spec.kind_name())
        }
        LedgerEvent::Cancelled { job, at, .. } => format!("{at} job {job} cancelled"),
        LedgerEvent::GangCommitted { job, at, .. } => format!("{at} gang {job} may start"),
        LedgerEvent::Intended {
            key,
            partition,
            epoch,
            bundle,
            choices,
            at,
        } => format!(
            "{at} {key} assigned to worker partition {partition} (epoch {epoch}) under bundle \
             {bundle}, best of {choices} places"
        ),
        LedgerEvent::Started {
            key,
            worker,
            domain,
            at,
            ..
        } => format!("{at} {key} runs on {worker} in {domain}"),
        LedgerEvent::Released { key, reason, at } => format!("{at} {key} released: {reason:?}"),
        LedgerEvent::Ended {
            key,
            worker,
            outcome,
            ran_ms,
            at,
            ..
        } => format!(
            "{at} {key} {} on {worker} after {ran_ms} ms",
            outcome.as_str()
        ),
        LedgerEvent::OwnerTook { owner, epoch, at } => {
            format!("{at} {owner} took over, epoch {epoch}")
        }
    }
}

/// Sends a request to a service and prints the answer.
pub(super) fn request(
    options: &ClientOptions,
    team: &str,
    service: &str,
    body: &str,
    once: bool,
) -> Result<ExitCode, CommandFailure> {
    let client = options.connect()?;
    let answer = client.request(team, service, body, once)?;
    print_line(answer);
    Ok(ExitCode::SUCCESS)
}

fn print_jobs(views: &[JobView]) {
    let rows: Vec<Vec<String>> = views
        .iter()
        .map(|view| vec![view.job.clone(), view.kind.clone(), view.phase.clone()])
        .collect();
    print_rows(&["job", "kind", "phase"], &rows);
}

fn print_job(view: &JobView) {
    print_line(format!(
        "job {} of team {}: {}, {}",
        view.job, view.team, view.kind, view.phase
    ));
    let show = |value: Option<String>| value.unwrap_or_else(|| "-".into());
    let rows: Vec<Vec<String>> = view
        .tasks
        .iter()
        .map(|task| {
            vec![
                task.task.to_string(),
                task.attempt.to_string(),
                task.phase.clone(),
                show(task.worker.clone()),
                show(task.waited_ms.map(|ms| ms.to_string())),
                show(task.why.map(|why| why.to_string())),
            ]
        })
        .collect();
    print_rows(
        &[
            "task",
            "attempt",
            "phase",
            "worker",
            "waited ms",
            "why it waits",
        ],
        &rows,
    );
}
