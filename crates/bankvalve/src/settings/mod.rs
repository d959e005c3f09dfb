//! Settings of an entry instance: JSON with comments, in which unknown and repeated keys are errors.

mod field_check;
mod instance_settings;
mod settings_file;
mod site_settings;

pub use instance_settings::{
    CellSettings, InstanceSettings, KeySettings, LimitSettings, ListenSettings, LogSettings,
    PlatformSettings, ServeSettings, TimingSettings, TlsSettings,
};
pub use settings_file::{parse_jsonc, SettingsProblem};

pub use site_settings::{
    SiteBounds, SiteInstance, SiteKeys, SiteLimits, SiteListen, SitePlatform, SitePolicies,
    SiteProcessor, SiteSettings,
};

/// Text of the default settings, with comments.
pub const DEFAULT_SETTINGS: &str = include_str!("default.jsonc");
