//! Commands for operators: workers, instances, bundles, keys, log level.

use std::process::ExitCode;

use bankvalve_cell::contract::CellBundle;
use bankvalve_cell::link::WorkerView;
use bankvalve_link::OperatorSigner;
use serde_json::json;
use sha2::{Digest, Sha256};

use super::options::ClientOptions;
use super::render::{print_line, print_rows, print_value};
use super::CommandFailure;
use crate::settings::parse_jsonc;

/// Prints all workers.
pub(super) fn workers(options: &ClientOptions) -> Result<ExitCode, CommandFailure> {
    let views = options.connect()?.workers()?;
    print_value(options.output, &views, |views| print_workers(views));
    Ok(ExitCode::SUCCESS)
}

fn print_workers(views: &[WorkerView]) {
    let rows: Vec<Vec<String>> = views
        .iter()
        .map(|view| {
            vec![
                view.detail.name.clone(),
                view.detail.domain.clone(),
                view.detail.rack.clone(),
                view.state.clone(),
                view.tasks.to_string(),
                format!(
                    "{}/{}",
                    view.reserved.millicores, view.detail.size.millicores
                ),
                format!(
                    "{}/{}",
                    view.reserved.memory_mib, view.detail.size.memory_mib
                ),
                view.owner.clone(),
            ]
        })
        .collect();
    let headings = [
        "worker",
        "domain",
        "rack",
        "state",
        "tasks",
        "millicores",
        "memory MiB",
        "owner",
    ];
    print_rows(&headings, &rows);
}

/// Drains a worker, or ends its drain.
pub(super) fn drain_worker(
    options: &ClientOptions,
    name: &str,
    drain: bool,
) -> Result<ExitCode, CommandFailure> {
    let client = options.connect()?;
    client.drain_worker(name, drain)?;
    let word = if drain { "drains" } else { "takes work again" };
    eprintln!("worker {name}: {word}");
    Ok(ExitCode::SUCCESS)
}

/// Prints all entry instances and the partitions that they own.
pub(super) fn instances(options: &ClientOptions) -> Result<ExitCode, CommandFailure> {
    let list = options.connect()?.instances()?;
    print_value(options.output, &list, |list| {
        let rows: Vec<Vec<String>> = list
            .instances
            .iter()
            .map(|view| {
                vec![
                    view.detail.name.clone(),
                    view.detail.region.clone(),
                    view.detail.domain.clone(),
                    view.state.clone(),
                    view.partitions.to_string(),
                    view.detail.peer_address.clone(),
                ]
            })
            .collect();
        let headings = [
            "instance",
            "region",
            "domain",
            "state",
            "partitions",
            "peers",
        ];
        print_rows(&headings, &rows);
    });
    Ok(ExitCode::SUCCESS)
}

/// Starts the planned stop of an entry instance.
pub(super) fn drain_instance(
    options: &ClientOptions,
    name: &str,
) -> Result<ExitCode, CommandFailure> {
    let client = options.connect()?;
    client.drain_instance(name)?;
    eprintln!("instance {name}: hands over what it owns");
    Ok(ExitCode::SUCCESS)
}

/// Prints the bundle in force.
pub(super) fn bundle(options: &ClientOptions) -> Result<ExitCode, CommandFailure> {
    let shown = options.connect()?.bundle()?;
    let text = serde_json::to_string_pretty(&shown).unwrap_or_default();
    print_line(text);
    Ok(ExitCode::SUCCESS)
}

/// Validates a bundle file without contacting a cell.
pub(super) fn check_bundle(file: &str) -> Result<ExitCode, CommandFailure> {
    let bundle = load_bundle(file)?;
    print_line(format!("{file}: version {} is well formed", bundle.version));
    Ok(ExitCode::SUCCESS)
}

fn load_bundle(file: &str) -> Result<CellBundle, CommandFailure> {
    let text = std::fs::read_to_string(file);
    let text = text.map_err(|error| CommandFailure::file(file, error))?;
    parse_jsonc(&text, |bundle: &CellBundle| {
        bundle
            .check()
            .map_err(|problem| (problem.field, format!("expected {}", problem.expected)))
    })
    .map_err(|problem| CommandFailure::file(file, problem))
}

/// Puts a bundle in force.
pub(super) fn accept_bundle(
    options: &ClientOptions,
    file: &str,
) -> Result<ExitCode, CommandFailure> {
    let bundle = load_bundle(file)?;
    let client = options.connect()?;
    client.accept_bundle(&bundle)?;
    eprintln!("bundle {}: in force", bundle.version);
    Ok(ExitCode::SUCCESS)
}

/// Changes the log level of an entry instance.
pub(super) fn log_level(options: &ClientOptions, level: &str) -> Result<ExitCode, CommandFailure> {
    let client = options.connect()?;
    client.set_log_level(level)?;
    eprintln!("log level: {level}");
    Ok(ExitCode::SUCCESS)
}

/// Generates an operator key pair and prints its parts for the client file and the settings.
pub(super) fn new_operator(name: &str) -> Result<ExitCode, CommandFailure> {
    let secret = hex::encode(rand::random::<[u8; 32]>());
    let signer = OperatorSigner::new(name, &secret);
    let public = signer.map(|signer| signer.public_key()).unwrap_or_default();
    let shown = json!({
        "for_the_client_file": { "operator": { "name": name, "secret_key": secret } },
        "for_the_settings": { "name": name, "public_key": public },
    });
    print_line(serde_json::to_string_pretty(&shown).unwrap_or_default());
    Ok(ExitCode::SUCCESS)
}

/// Generates a caller token for a team and prints it for the client file, and its hash for the settings.
pub(super) fn new_token(team: &str) -> Result<ExitCode, CommandFailure> {
    let token = hex::encode(rand::random::<[u8; 24]>());
    let shown = json!({
        "for_the_client_file": { "tokens": { team: token } },
        "for_the_settings": { "team": team, "token_sha256": token_hash(&token) },
    });
    print_line(serde_json::to_string_pretty(&shown).unwrap_or_default());
    Ok(ExitCode::SUCCESS)
}

/// Returns the SHA-256 of a token in hexadecimal, the form in which the settings store it.
pub fn token_hash(token: &str) -> String {
    hex::encode(Sha256::digest(token.as_bytes()))
}
