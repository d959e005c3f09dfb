//! Settings of an entry instance: JSON with comments, every key checked.

mod instance_settings;
mod settings_file;

pub use instance_settings::{
    CellSettings, InstanceSettings, KeySettings, LimitSettings, ListenSettings, LogSettings,
    PlatformSettings, ServeSettings, TimingSettings, TlsSettings,
};
pub use settings_file::{parse_jsonc, SettingsProblem};

/// The commented default settings.
pub const DEFAULT_SETTINGS: &str = include_str!("default.jsonc");
