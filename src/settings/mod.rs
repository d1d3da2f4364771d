//! Settings: the platform's file (TOML), the operators' file (XML), and the times derived from both.
//!
//! Owns what a controller is given at its start, checked and complete. Settings never change while the process
//! runs. What the derived times must keep to for safety stands in `durations`.

use quillbend_spillover::settings::SpilloverSettings;

mod durations;
mod options;
mod platform;
mod state_limits;

pub use durations::MAX_DONE_RANGE_BYTES;
pub use options::{OptionElement, Options};
pub use platform::{
    CloudLimits, DeploymentParams, External, Objective, PeerAddress, Platform, Resources, Team,
    Workers,
};
pub use state_limits::{NextStateLimits, StateLimits};

/// Settings that cannot be used. The text is one line and names what is wrong.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum SettingsError {
    /// The platform's file cannot be read as such.
    #[error("settings file: {0}")]
    Platform(String),
    /// The operators' file is not the XML expected.
    #[error("options file: {0}")]
    Xml(String),
    /// An element of the operators' file that does not exist.
    #[error("options file: unknown element <{0}>")]
    UnknownElement(String),
    /// A value outside its range.
    #[error("options file: <{element}> must be a number from {min} to {max}, not {found:?}")]
    OutOfRange {
        /// The element.
        element: String,
        /// Smallest value.
        min: f64,
        /// Largest value.
        max: f64,
        /// What stands there.
        found: String,
    },
    /// The times leave no room for a lease on blocks.
    #[error(
        "settings file: workers.cancel_s ({cancel_s}) must exceed workers.lease_s ({lease_s}) by at least 5 s"
    )]
    CancelTimeTooShort {
        /// Time allowed for a cancellation, seconds.
        cancel_s: f64,
        /// Lease of workers, seconds.
        lease_s: f64,
    },
}

/// All settings of a controller; the derived times are its methods.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The platform's file.
    pub platform: Platform,
    /// The operators' file.
    pub options: Options,
    /// The operators' file that turns on spillover between cells.
    pub spillover: Option<SpilloverSettings>,
}

impl Settings {
    /// Puts both files together, without spillover.
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
