//! Commands that ask an entry instance of a site by its metrics.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use super::render::{print_line, print_rows};
use super::{CommandFailure, FailureKind};

/// Timeout of the request.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Name of the metric.
const METRIC: &str = "bankvalve_evacuation{";

/// What an instance knows of the evacuation of a failure domain, by quantity.
type Quantities = BTreeMap<String, u64>;

/// Prints the failure domains that an instance knows as evacuated.
pub(super) fn evacuations(metrics: &str) -> Result<ExitCode, CommandFailure> {
    let address: SocketAddr = metrics.parse().map_err(|_| {
        let text = format!("--metrics: expected IP:PORT, found {metrics}");
        CommandFailure::new(FailureKind::BadInput, text)
    })?;
    let evacuated = read_evacuations(&fetch_metrics(address)?);
    if evacuated.is_empty() {
        print_line("no failure domain is evacuated");
        return Ok(ExitCode::SUCCESS);
    }
    let rows = evacuated.iter().map(|(domain, quantities)| {
        let quantity = |name: &str| quantities.get(name).copied().unwrap_or(0);
        let known_for = Duration::from_millis(quantity("known_for_ms"));
        let version = quantity("requested_at_version");
        vec![
            domain.clone(),
            format!("{:.1} s", known_for.as_secs_f64()),
            version.to_string(),
        ]
    });
    let rows: Vec<Vec<String>> = rows.collect();
    print_rows(&["DOMAIN", "KNOWN FOR", "REQUESTED AT VERSION"], &rows);
    Ok(ExitCode::SUCCESS)
}

fn fetch_metrics(address: SocketAddr) -> Result<String, CommandFailure> {
    let unreachable = |error: attohttpc::Error| {
        let text = format!("{address}: {error}");
        CommandFailure::new(FailureKind::Unreachable, text)
    };
    let request = attohttpc::get(format!("http://{address}/metrics")).timeout(TIMEOUT);
    let response = request.send().map_err(unreachable)?;
    let response = response.error_for_status().map_err(unreachable)?;
    response.text().map_err(unreachable)
}

/// Reads the evacuated failure domains from metrics in the Prometheus text format.
fn read_evacuations(text: &str) -> BTreeMap<String, Quantities> {
    let mut evacuated: BTreeMap<String, Quantities> = BTreeMap::new();
    for line in text.lines().filter_map(|line| line.strip_prefix(METRIC)) {
        let Some((labels, value)) = line.rsplit_once("} ") else {
            continue;
        };
        let label = |name: &str| {
            let start = format!("{name}=\"");
            let rest = &labels[labels.find(&start)? + start.len()..];
            Some(rest[..rest.find('"')?].to_owned())
        };
        let found = label("domain").zip(label("quantity"));
        if let Some(((domain, quantity), value)) = found.zip(value.parse::<f64>().ok()) {
            let quantities = evacuated.entry(domain).or_default();
            quantities.insert(quantity, value as u64);
        }
    }
    evacuated
}
