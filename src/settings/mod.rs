//! Settings: the platform's file (TOML), the operators' files (XML), and durations derived from them.
//!
//! Settings are validated at startup and never change while the process runs. The safety conditions of the
//! derived durations are documented in `durations`.

use quillbend_spillover::settings::SpilloverSettings;

mod durations;
mod options;
mod platform;
mod state_limits;

pub use durations::MAX_DONE_RANGE_BYTES;
pub use options::{OptionElement, Options};
pub use platform::{
    CloudLimits, DeploymentParams, ExternalServices, Objective, PeerAddress, Platform,
    ResourceLimits, Team, WorkerTimes,
};
pub use state_limits::{NextStateLimits, StateLimits};

/// Invalid settings. The text is a single line that names the faulty setting.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum SettingsError {
    /// The platform's file is not valid TOML, or a value in it is invalid.
    #[error("settings file: {0}")]
    Platform(String),
    /// The operators' file is not XML of the expected structure.
    #[error("options file: {0}")]
    Xml(String),
    /// The operators' file contains an unknown element.
    #[error("options file: unknown element <{0}>")]
    UnknownElement(String),
    /// A value in the operators' file is not a number within its range.
    #[error("options file: <{element}> must be a number from {min} to {max}, not {found:?}")]
    OutOfRange {
        /// Path of the element.
        element: String,
        /// Smallest allowed value.
        min: f64,
        /// Largest allowed value.
        max: f64,
        /// The text in the file.
        found: String,
    },
    /// The time allowed for a cancellation is too short for a lease on blocks.
    #[error(
        "settings file: workers.cancel_s ({cancel_s}) must exceed workers.lease_s ({lease_s}) by at least 5 s"
    )]
    CancelTimeTooShort {
        /// Time allowed for a cancellation, seconds.
        cancel_s: f64,
        /// Lease of a worker, seconds.
        lease_s: f64,
    },
}

/// All settings of a controller. Its methods compute derived durations and limits.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Settings from the platform's file.
    pub platform: Platform,
    /// Settings from the operators' file.
    pub options: Options,
    /// Settings of spillover between cells; `None` if it is disabled.
    pub spillover: Option<SpilloverSettings>,
}

impl Settings {
    /// Combines both files, with spillover disabled.
    pub fn new(platform: Platform, options: Options) -> Self {
        Self {
            platform,
            options,
            spillover: None,
        }
    }
}

#[cfg(test)]
pub(crate) mod tests;
