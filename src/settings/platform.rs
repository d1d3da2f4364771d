//! The platform's file (TOML): addresses, teams, and what the deployment promises and allows (DEPLOY).
//!
//! Owns the field names of that file, which are renamed here only, and its checks. It must never refuse a
//! field that it does not know: later versions of the platform add some.

use super::SettingsError;
use super::state_limits::{StateLimits, check_positive};
use serde::Deserialize;
use std::net::SocketAddr;

/// Least time between a worker's lease and the end of a cancellation, seconds: room for a lease on blocks.
const MIN_CANCEL_AFTER_LEASE_S: f64 = 5.0;

/// Another controller of this cell.
#[derive(Debug, Clone, Deserialize)]
pub struct PeerAddress {
    /// Name.
    pub host_name: String,
    /// Zone.
    #[serde(default)]
    pub zone: String,
    /// Its address for peers.
    pub endpoint: String,
}

/// Addresses of the services outside.
#[derive(Debug, Clone, Deserialize)]
pub struct External {
    /// Cloud.
    pub cloud: String,
    /// State service.
    pub state: String,
}

/// A team with its quota.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Name.
    pub name: String,
    /// Guaranteed CPUs.
    #[serde(default)]
    pub cpus: f64,
    /// Most CPUs; infinite where the file says 0, which means none (DEPLOY: no limit).
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Most GPUs, likewise.
    #[serde(default)]
    pub gpus_max: f64,
}

impl Team {
    /// Takes a limit of 0 as none.
    ///
    /// Guards against a guest team without a guarantee, which comes with a limit of 0: every job of it
    /// was refused as one that can never run, although it may borrow whatever is unused.
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
    /// `deadline`, `wait`, `finished` and others.
    #[serde(default)]
    pub kind: String,
    /// Class.
    #[serde(default)]
    pub class: String,
    /// Time it is measured against, seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Multiple of the deadline that it is measured against.
    #[serde(default)]
    pub times: Option<f64>,
}

/// Times of the workers.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Interval of heartbeats, seconds.
    #[serde(rename = "report_s")]
    pub heartbeat_s: f64,
    /// Lease of a worker, seconds: without an accepted heartbeat for so long it drops its tasks.
    pub lease_s: f64,
    /// Time that a cancellation has until no task of the job may run, seconds.
    pub cancel_s: f64,
}

/// Limits of the cloud.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Calls a second.
    pub rps: f64,
    /// Age that its lists may have, seconds.
    pub list_lag_s: f64,
}

/// What a controller may use.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct Resources {
    /// Sockets.
    #[serde(default)]
    pub max_sockets: Option<usize>,
}

/// What the deployment promises and allows.
#[derive(Debug, Clone, Deserialize)]
pub struct DeploymentParams {
    /// Number of controllers.
    pub count: usize,
    /// Zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Bound on the error of the time of day, milliseconds.
    #[serde(default)]
    pub clock_error_ms: f64,
    /// Teams.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Workers.
    pub workers: Workers,
    /// State service.
    pub state: StateLimits,
    /// Cloud.
    pub cloud: CloudLimits,
    /// What this controller may use.
    #[serde(default)]
    pub resources: Resources,
}

/// The platform's file.
#[derive(Debug, Clone, Deserialize)]
pub struct Platform {
    /// This controller's name.
    pub host_name: String,
    /// Its zone.
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
    /// Addresses of the services outside.
    pub external: External,
    /// The rest.
    pub settings: DeploymentParams,
}

impl Platform {
    /// Reads the TOML text; unknown fields are ignored.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Platform`] for text that is not as expected, or a value out of its range;
    /// [`SettingsError::CancelTimeTooShort`] if the times leave no room for a lease on blocks.
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
        self.settings.state.check_next()?;
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
        // Not `<`: a limit that is no number is refused as well.
        let is_valid = |team: &Team| team.cpus_max >= 0.0 && team.gpus_max >= 0.0;
        if self.teams.iter().all(is_valid) {
            return Ok(());
        }
        let message = "teams: limits must not be negative";
        Err(SettingsError::Platform(message.to_owned()))
    }
}

impl Workers {
    fn check_cancel_time(&self) -> Result<(), SettingsError> {
        let (cancel_s, lease_s) = (self.cancel_s, self.lease_s);
        if cancel_s < lease_s + MIN_CANCEL_AFTER_LEASE_S {
            return Err(SettingsError::CancelTimeTooShort { cancel_s, lease_s });
        }
        Ok(())
    }
}

/// What is wrong with the TOML text, and in which line.
fn invalid_toml(text: &str, toml_error: &toml::de::Error) -> SettingsError {
    let line_of = |offset: usize| text[..offset.min(text.len())].matches('\n').count() + 1;
    let message = toml_error.message();
    SettingsError::Platform(match toml_error.span() {
        Some(span) => format!("line {}: {message}", line_of(span.start)),
        None => message.to_owned(),
    })
}
