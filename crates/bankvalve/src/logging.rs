//! Logging through log4rs, with a level that can be changed at run time.

use std::sync::{Mutex, OnceLock};

use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Logger, Root};
use log4rs::encode::pattern::PatternEncoder;

/// log4rs pattern of a line. By convention, a message starts with the part that logs it, such as `client:`.
const LINE_PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3f%Z)(utc)} {l:<5} {m}{n}";

/// Crates that log at the configured level. All other crates log warnings and errors at most.
const OWN_CRATES: [&str; 3] = ["bankvalve", "bankvalve_cell", "bankvalve_link"];

static HANDLE: OnceLock<Mutex<log4rs::Handle>> = OnceLock::new();

fn config(level: LevelFilter) -> Config {
    let encoder = Box::new(PatternEncoder::new(LINE_PATTERN));
    let console = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(encoder)
        .build();
    let mut builder =
        Config::builder().appender(Appender::builder().build("stderr", Box::new(console)));
    for crate_name in OWN_CRATES {
        builder = builder.logger(Logger::builder().build(crate_name, level));
    }
    let others = level.min(LevelFilter::Warn);
    builder
        .build(Root::builder().appender("stderr").build(others))
        .expect("one appender and its loggers make a configuration")
}

/// Starts logging to stderr at the given level, or changes the level if logging has already started.
///
/// # Examples
///
/// ```
/// bankvalve::logging::set_level(log::LevelFilter::Warn);
/// log::warn!("demo: the level is set");
/// ```
pub fn set_level(level: LevelFilter) {
    if let Some(handle) = HANDLE.get() {
        let handle = handle.lock().unwrap_or_else(|error| error.into_inner());
        handle.set_config(config(level));
        return;
    }
    if let Ok(handle) = log4rs::init_config(config(level)) {
        let _ = HANDLE.set(Mutex::new(handle));
    }
}
