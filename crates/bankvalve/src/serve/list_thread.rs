//! The thread that polls the platform's instance list.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use bankvalve_cell::instance::CoreEvent;
use bankvalve_cell::machine::ListedWorker;

use super::CoreHandle;

/// Time in which the list must be read.
const READ_TIME: Duration = Duration::from_secs(3);
/// Longest time between two looks at whether to stop.
const LOOK: Duration = Duration::from_millis(50);

/// Polls the list until told to stop; a list that cannot be read changes nothing.
pub(super) fn poll_list(url: &str, pause: Duration, stop: &Arc<AtomicBool>, core: &CoreHandle) {
    let mut failing = false;
    while !stop.load(Ordering::Acquire) {
        match read_list(url) {
            Ok(listed) => {
                failing = false;
                core.give(CoreEvent::List(listed));
            }
            Err(error) if !failing => {
                failing = true;
                log::warn!("list: the instance list was not read: {error}");
            }
            Err(_) => {}
        }
        let mut waited = Duration::ZERO;
        while waited < pause && !stop.load(Ordering::Acquire) {
            thread::sleep(LOOK.min(pause));
            waited += LOOK;
        }
    }
}

fn read_list(url: &str) -> Result<Vec<ListedWorker>, String> {
    let response = attohttpc::get(url)
        .connect_timeout(READ_TIME)
        .timeout(READ_TIME)
        .send()
        .map_err(|error| error.to_string())?;
    let bytes = response.bytes().map_err(|error| error.to_string())?;
    serde_json::from_slice(&bytes).map_err(|error| error.to_string())
}
