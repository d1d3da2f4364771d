//! The platform's file (TOML): addresses, teams, and the guarantees and limits of the deployment (DEPLOY).
//!
//! Maps the file's field names to those used in this crate and validates the values. Unknown fields must be
//! ignored, because later versions of the platform add some.

use super::SettingsError;
use super::state_limits::{StateLimits, check_positive};
use serde::Deserialize;
use std::net::SocketAddr;

/// Minimum difference between the time allowed for a cancellation and a worker's lease, seconds; leaves time
/// for a lease on blocks.
const MIN_CANCEL_AFTER_LEASE_S: f64 = 5.0;

/// Another controller of this cell.
#[derive(Debug, Clone, Deserialize)]
pub struct PeerAddress {
    /// The controller's host name.
    pub host_name: String,
    /// Zone of the controller; empty if not given.
    #[serde(default)]
    pub zone: String,
    /// Address for peer messages, with a port.
    pub endpoint: String,
}

/// Addresses of external services.
#[derive(Debug, Clone, Deserialize)]
pub struct ExternalServices {
    /// Address of the cloud API.
    pub cloud: String,
    /// Address of the key-value store.
    pub state: String,
}

/// A team with its quota.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Name, as submissions give it.
    pub name: String,
    /// Guaranteed CPUs.
    #[serde(default)]
    pub cpus: f64,
    /// Maximum CPUs; infinite if the file has 0, which means no limit (DEPLOY).
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Maximum GPUs; infinite if the file has 0.
    #[serde(default)]
    pub gpus_max: f64,
}

impl Team {
    /// Replaces a limit of 0 by infinity.
    ///
    /// Guest teams without a guarantee have a limit of 0. When it was applied literally, all their jobs were
    /// refused as unrunnable, although they may use unused capacity.
    fn treat_zero_as_unlimited(&mut self) {
        for limit in [&mut self.cpus_max, &mut self.gpus_max] {
            if *limit <= 0.0 {
                *limit = f64::INFINITY;
            }
        }
    }
}

/// A service-level objective for a class of jobs.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// Kind of objective: `deadline`, `wait`, `finished` and others.
    #[serde(default)]
    pub kind: String,
    /// Class of jobs to which the objective applies.
    #[serde(default)]
    pub class: String,
    /// Target time, seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Target time as a multiple of the deadline.
    #[serde(default)]
    pub times: Option<f64>,
}

/// Heartbeat interval, lease and cancellation time of workers.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerTimes {
    /// Interval between heartbeats, seconds.
    #[serde(rename = "report_s")]
    pub heartbeat_s: f64,
    /// Lease of a worker, seconds. A worker whose heartbeats are not acknowledged for so long drops its tasks.
    pub lease_s: f64,
    /// Time after a cancellation by which no task of the job may run, seconds.
    pub cancel_s: f64,
}

/// Limits of the cloud API.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests per second.
    pub rps: f64,
    /// Maximum age of the cloud's list of machines, seconds.
    pub list_lag_s: f64,
}

/// Resource limits of a controller.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct ResourceLimits {
    /// Maximum number of sockets; `None` means no limit is given.
    #[serde(default)]
    pub max_sockets: Option<usize>,
}

/// Guarantees and limits of the deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct DeploymentParams {
    /// Number of controllers in the cell.
    pub count: usize,
    /// Names of the cell's zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Maximum error of the wall clock, milliseconds.
    #[serde(default)]
    pub clock_error_ms: f64,
    /// Teams with their quotas.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Service-level objectives of the job classes.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Heartbeat interval, lease and cancellation time of workers.
    pub workers: WorkerTimes,
    /// Limits of the key-value store.
    pub state: StateLimits,
    /// Limits of the cloud API.
    pub cloud: CloudLimits,
    /// Resource limits of this controller.
    #[serde(default)]
    pub resources: ResourceLimits,
}

/// Contents of the platform's file.
#[derive(Debug, Clone, Deserialize)]
pub struct Platform {
    /// Host name of this controller.
    pub host_name: String,
    /// Zone of this controller; empty if not given.
    #[serde(default)]
    pub zone: String,
    /// Address for users and workers.
    pub public_addr: String,
    /// Address for peers, other cells and operators.
    #[serde(rename = "back")]
    pub peer_addr: String,
    /// The other controllers.
    #[serde(rename = "known", default)]
    pub peers: Vec<PeerAddress>,
    /// Addresses of external services.
    pub external: ExternalServices,
    /// Guarantees and limits of the deployment.
    pub settings: DeploymentParams,
}

impl Platform {
    /// Parses the TOML text; unknown fields are ignored.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Platform`] if the text is malformed or a value is invalid;
    /// [`SettingsError::CancelTimeTooShort`] if there is no time for a lease on blocks.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let mut platform: Platform =
            toml::from_str(text).map_err(|toml_error| invalid_toml(text, &toml_error))?;
        platform.check()?;
        platform.settings.state.apply_next_limits();
        let teams = &mut platform.settings.teams;
        teams.iter_mut().for_each(Team::treat_zero_as_unlimited);
        Ok(platform)
    }

    fn check(&self) -> Result<(), SettingsError> {
        if self.host_name.is_empty() {
            return Err(SettingsError::Platform("host_name is empty".to_owned()));
        }
        self.check_addresses()?;
        self.settings.check_positive_values()?;
        self.settings.state.check_txn_ops()?;
        self.settings.state.check_next_limits()?;
        self.settings.check_teams()?;
        self.settings.workers.check_cancel_time()
    }

    fn check_addresses(&self) -> Result<(), SettingsError> {
        let own = [
            ("public_addr", &self.public_addr),
            ("back", &self.peer_addr),
            ("external.cloud", &self.external.cloud),
            ("external.state", &self.external.state),
        ];
        let peers = self.peers.iter();
        let peers = peers.map(|peer| ("known.endpoint", &peer.endpoint));
        for (name, addr) in own.into_iter().chain(peers) {
            if addr.parse::<SocketAddr>().is_err() {
                return Err(SettingsError::Platform(format!(
                    "{name}: {addr:?} is not an address with a port"
                )));
            }
        }
        Ok(())
    }
}

impl DeploymentParams {
    fn check_positive_values(&self) -> Result<(), SettingsError> {
        for (name, value) in [
            ("workers.report_s", self.workers.heartbeat_s),
            ("workers.lease_s", self.workers.lease_s),
            ("workers.cancel_s", self.workers.cancel_s),
            ("state.rps", self.state.rps),
            ("state.write_rps", self.state.write_rps),
            ("state.value_kb", self.state.value_kb),
            ("cloud.rps", self.cloud.rps),
        ] {
            check_positive(name, value)?;
        }
        Ok(())
    }

    fn check_teams(&self) -> Result<(), SettingsError> {
        // `>=` instead of a negated `<`, so that NaN is rejected too.
        let is_valid = |team: &Team| team.cpus_max >= 0.0 && team.gpus_max >= 0.0;
        if self.teams.iter().all(is_valid) {
            return Ok(());
        }
        let message = "teams: limits must not be negative";
        Err(SettingsError::Platform(message.to_owned()))
    }
}

impl WorkerTimes {
    fn check_cancel_time(&self) -> Result<(), SettingsError> {
        let (cancel_s, lease_s) = (self.cancel_s, self.lease_s);
        if cancel_s < lease_s + MIN_CANCEL_AFTER_LEASE_S {
            return Err(SettingsError::CancelTimeTooShort { cancel_s, lease_s });
        }
        Ok(())
    }
}

/// Converts a TOML error to a single line with its line number.
fn invalid_toml(text: &str, toml_error: &toml::de::Error) -> SettingsError {
    let line_of = |offset: usize| text[..offset.min(text.len())].matches('\n').count() + 1;
    let message = toml_error.message();
    SettingsError::Platform(match toml_error.span() {
        Some(span) => format!("line {}: {message}", line_of(span.start)),
        None => message.to_owned(),
    })
}
