//! The list thread, which polls the platform's list of workers.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use bankvalve_cell::instance::CoreEvent;
use bankvalve_cell::machine::ListedWorker;

use super::CoreHandle;

/// Timeout for connecting to the list's URL, and for reading the list.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time between two checks of the stop flag.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Polls the list until `stop` is set.
///
/// If the list cannot be read, the core keeps the previous one. Only the first of several failures in a row
/// is logged.
pub(super) fn poll_list(url: &str, pause: Duration, stop: &Arc<AtomicBool>, core: &CoreHandle) {
    let mut failing = false;
    while !stop.load(Ordering::Acquire) {
        match read_list(url) {
            Ok(listed) => {
                failing = false;
                core.send_event(CoreEvent::List(listed));
            }
            Err(error) if !failing => {
                failing = true;
                log::warn!("list: the instance list could not be read: {error}");
            }
            Err(_) => {}
        }
        let mut waited = Duration::ZERO;
        while waited < pause && !stop.load(Ordering::Acquire) {
            thread::sleep(STOP_CHECK_INTERVAL.min(pause));
            waited += STOP_CHECK_INTERVAL;
        }
    }
}

fn read_list(url: &str) -> Result<Vec<ListedWorker>, String> {
    let response = attohttpc::get(url)
        .connect_timeout(READ_TIMEOUT)
        .timeout(READ_TIMEOUT)
        .send()
        .map_err(|error| error.to_string())?;
    let bytes = response.bytes().map_err(|error| error.to_string())?;
    serde_json::from_slice(&bytes).map_err(|error| error.to_string())
}
