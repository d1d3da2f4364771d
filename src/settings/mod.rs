//! Settings: the platform's TOML file, the operators' own XML file, and the times derived from both.

use quillbend_spillover::settings::SpilloverSettings;
use serde::Deserialize;
use std::collections::HashMap;

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
    NoLease {
        /// Time allowed for a cancellation.
        cancel_s: f64,
        /// Lease of workers.
        lease_s: f64,
    },
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Known {
    /// Name.
    pub host_name: String,
    /// Zone.
    #[serde(default)]
    pub zone: String,
    /// Its address for peers.
    pub endpoint: String,
}

/// Services outside.
#[derive(Debug, Clone, Deserialize)]
pub struct External {
    /// Cloud.
    pub cloud: String,
    /// State service.
    pub state: String,
}

/// A team.
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

/// What the operators aim at for a class.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// `deadline`, `wait`, `finished` and others.
    #[serde(default)]
    pub kind: String,
    /// Class.
    #[serde(default)]
    pub class: String,
    /// Time it is measured against.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Multiple of the deadline that it is measured against.
    #[serde(default)]
    pub times: Option<f64>,
}

/// Times of the workers.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Interval of reports.
    pub report_s: f64,
    /// Lease of a worker.
    pub lease_s: f64,
    /// Time a cancellation has.
    pub cancel_s: f64,
}

/// Limits of the state service.
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    /// Requests a second.
    pub rps: f64,
    /// Changes a second.
    pub write_rps: f64,
    /// Size of a value.
    pub value_kb: f64,
    /// Changes in a transaction.
    pub txn_ops: usize,
    /// Limits that the service will have from some moment on, without notice.
    #[serde(default)]
    pub next: NextStateLimits,
}

/// Limits that the state service will have later; what is absent stays as it is.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextStateLimits {
    /// Requests a second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Changes a second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Size of a value.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Changes in a transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// Takes the smaller of the present and the later limits for each of them.
    ///
    /// Guards against a limit that falls between two writes: from its start a controller writes
    /// nothing that either of the two would refuse.
    fn keep_to_next(&mut self) {
        let next = &self.next;
        let least = |now: f64, next: Option<f64>| next.map_or(now, |next| now.min(next));
        self.rps = least(self.rps, next.rps);
        self.write_rps = least(self.write_rps, next.write_rps);
        self.value_kb = least(self.value_kb, next.value_kb);
        self.txn_ops = next.txn_ops.map_or(self.txn_ops, |n| self.txn_ops.min(n));
    }
}

/// Limits of the cloud.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Calls a second.
    pub rps: f64,
    /// Age of its lists.
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
pub struct Params {
    /// Number of controllers.
    pub count: usize,
    /// Zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Bound on the error of the time of day.
    #[serde(default)]
    pub clock_error_ms: f64,
    /// Teams.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Aims.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Workers.
    pub workers: Workers,
    /// State service.
    pub state: StateLimits,
    /// Cloud.
    pub cloud: CloudLimits,
    /// This controller's share.
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
    /// Address for peers.
    pub back: String,
    /// The other controllers.
    #[serde(default)]
    pub known: Vec<Known>,
    /// Services.
    pub external: External,
    /// The rest.
    pub settings: Params,
}

impl Platform {
    /// Reads the TOML text; unknown fields are ignored.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let one_line = |e: toml::de::Error| {
            let at = e
                .span()
                .map(|s| text[..s.start.min(text.len())].matches('\n').count() + 1);
            match at {
                Some(line) => SettingsError::Platform(format!("line {line}: {}", e.message())),
                None => SettingsError::Platform(e.message().to_owned()),
            }
        };
        let mut platform: Platform = toml::from_str(text).map_err(one_line)?;
        platform.check()?;
        platform.settings.state.keep_to_next();
        // A guest team without a guarantee came with a limit of 0, and every job of it was refused
        // as one that can never run: no limit is meant, it borrows whatever is unused.
        for team in &mut platform.settings.teams {
            for most in [&mut team.cpus_max, &mut team.gpus_max] {
                if *most <= 0.0 {
                    *most = f64::INFINITY;
                }
            }
        }
        Ok(platform)
    }

    fn check(&self) -> Result<(), SettingsError> {
        let bad = |what: &str| Err(SettingsError::Platform(what.to_owned()));
        if self.host_name.is_empty() {
            return bad("host_name is empty");
        }
        for (name, addr) in [
            ("public_addr", &self.public_addr),
            ("back", &self.back),
            ("external.cloud", &self.external.cloud),
            ("external.state", &self.external.state),
        ]
        .into_iter()
        .chain(self.known.iter().map(|k| ("known.endpoint", &k.endpoint)))
        {
            if addr.parse::<std::net::SocketAddr>().is_err() {
                return bad(&format!("{name}: {addr:?} is not an address with a port"));
            }
        }
        let s = &self.settings;
        for (name, v) in [
            ("workers.report_s", s.workers.report_s),
            ("workers.lease_s", s.workers.lease_s),
            ("workers.cancel_s", s.workers.cancel_s),
            ("state.rps", s.state.rps),
            ("state.write_rps", s.state.write_rps),
            ("state.value_kb", s.state.value_kb),
            ("cloud.rps", s.cloud.rps),
        ] {
            if !(v.is_finite() && v > 0.0) {
                return bad(&format!("{name} must be more than 0"));
            }
        }
        if s.state.txn_ops < FEWEST_TXN_OPS {
            return bad(&format!("state.txn_ops must be at least {FEWEST_TXN_OPS}"));
        }
        self.check_next()?;
        if s.teams
            .iter()
            .any(|t| !(t.cpus_max >= 0.0 && t.gpus_max >= 0.0))
        {
            return bad("teams: limits must not be negative");
        }
        let (cancel_s, lease_s) = (s.workers.cancel_s, s.workers.lease_s);
        if cancel_s < lease_s + 5.0 {
            return Err(SettingsError::NoLease { cancel_s, lease_s });
        }
        Ok(())
    }
}

impl Platform {
    /// Checks the limits that the state service will have later.
    fn check_next(&self) -> Result<(), SettingsError> {
        let bad = |what: String| Err(SettingsError::Platform(what));
        let next = &self.settings.state.next;
        for (name, value) in [
            ("state.next.rps", next.rps),
            ("state.next.write_rps", next.write_rps),
            ("state.next.value_kb", next.value_kb),
        ] {
            if value.is_some_and(|v| !(v.is_finite() && v > 0.0)) {
                return bad(format!("{name} must be more than 0"));
            }
        }
        if next.txn_ops.is_some_and(|n| n < FEWEST_TXN_OPS) {
            return bad(format!(
                "state.next.txn_ops must be at least {FEWEST_TXN_OPS}"
            ));
        }
        Ok(())
    }
}

/// Fewest changes in a transaction with which a controller can work: a pack moves between two
/// blocks in one, and a block is split into several.
const FEWEST_TXN_OPS: usize = 4;

macro_rules! options {
    ($($(#[$doc:meta])* $field:ident: $path:literal = $default:literal in $min:literal..=$max:literal;)*) => {
        /// The operators' own settings, from the XML file.
        #[derive(Debug, Clone, PartialEq)]
        pub struct Options { $($(#[$doc])* pub $field: f64,)* }

        impl Default for Options {
            fn default() -> Self { Self { $($field: $default,)* } }
        }

        impl Options {
            /// Every element: path, default, smallest and largest value.
            pub const TABLE: &'static [(&'static str, f64, f64, f64)] = &[$(($path, $default, $min, $max),)*];

            fn set(&mut self, path: &str, value: f64) {
                match path { $($path => self.$field = value,)* _ => {} }
            }
        }
    };
}

options! {
    /// Seconds between rounds of balancing.
    balance_period_s: "balance/period-s" = 5.0 in 1.0..=600.0;
    /// Tolerance of a balanced queue, as a part of the mean.
    balance_tolerance: "balance/tolerance" = 0.05 in 0.001..=1.0;
    /// Load of a pack, as a part of the tolerance.
    balance_pack: "balance/pack" = 0.4 in 0.01..=1.0;
    /// Number of most loaded machines among which a thief picks.
    balance_targets: "balance/targets" = 4.0 in 1.0..=64.0;
    /// Hops after which a steal goes anywhere, as a part of the machines.
    balance_hops: "balance/hops" = 0.25 in 0.0..=1.0;
    /// Hops after which a steal ends.
    balance_hops_most: "balance/hops-most" = 6.0 in 1.0..=10000.0;
    /// Longest lease of a block, seconds.
    block_lease_s: "blocks/lease-s" = 30.0 in 5.0..=600.0;
    /// Machines in a block before another block is begun, while there are few blocks.
    block_machines: "blocks/machines" = 10.0 in 1.0..=64.0;
    /// Longest time that a bound task should wait for room on its machine, seconds.
    queue_ahead_s: "queues/ahead-s" = 3.0 in 0.0..=600.0;
    /// Machines looked at for a binding when there are more.
    queue_sample: "queues/sample" = 16.0 in 2.0..=1000.0;
    /// Seconds that a job waits at most for its first tasks, and for more of them, before it is
    /// served ahead of its turn.
    queue_floor_s: "queues/floor-s" = 80.0 in 5.0..=3600.0;
    /// Part of the fleet's CPUs that one job may use at its place in the order; beyond it, and beyond
    /// 200 tasks, it has the room that no other job wants.
    queue_share: "queues/share" = 0.03 in 0.001..=1.0;
    /// CPUs of running tasks that may be stopped at a time for more pressing ones.
    evict_cpus: "queues/evict-cpus" = 24.0 in 0.0..=10000.0;
    /// Seconds of work that a rented CPU should find waiting.
    fleet_horizon_s: "fleet/horizon-s" = 45.0 in 1.0..=3600.0;
    /// Seconds that a machine stands idle before it is given back.
    fleet_idle_s: "fleet/idle-s" = 8.0 in 0.0..=3600.0;
    /// Seconds that a refused type and zone is left alone.
    fleet_refused_s: "fleet/refused-s" = 15.0 in 1.0..=3600.0;
    /// Seconds for which machines are kept that fell silent together with most of their zone.
    fleet_cut_s: "fleet/cut-s" = 90.0 in 0.0..=3600.0;
    /// Most machines rented at a time: a guard against a mistake in what is asked for, not a size of
    /// the fleet, which demand and the cloud decide.
    fleet_most: "fleet/most" = 100000.0 in 1.0..=1000000.0;
    /// Most unfinished jobs; more are answered with 429.
    jobs_most: "jobs/most" = 20000.0 in 1.0..=1000000.0;
    /// Jobs that are over and stay in every replica while others wait to run: each that leaves costs
    /// two changes.
    jobs_kept: "jobs/kept" = 600.0 in 0.0..=100000.0;
    /// Milliseconds between messages to a peer.
    peers_period_ms: "peers/period-ms" = 700.0 in 100.0..=10000.0;
    /// Seconds of silence after which a peer is suspected.
    peers_silent_s: "peers/silent-s" = 2.5 in 0.5..=60.0;
    /// Newest format of stored values that is written. An earlier one keeps the way back open to a
    /// version that reads no newer one; what was written once stays.
    format_most: "upgrade/format-most" = 4.0 in 2.0..=4.0;
    /// Milliseconds that endings are gathered before they are written.
    flush_ms: "writes/flush-ms" = 150.0 in 10.0..=5000.0;
}

impl Options {
    /// Reads the XML text: `<quillbend>` with the elements of [`Options::TABLE`].
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        use quick_xml::events::Event;
        let xml = |e: &dyn std::fmt::Display| SettingsError::Xml(e.to_string().replace('\n', " "));
        let mut reader = quick_xml::Reader::from_str(text);
        let mut path: Vec<String> = Vec::new();
        let mut options = Options::default();
        let mut seen: HashMap<String, String> = HashMap::new();
        let mut depth_seen = false;
        loop {
            match reader.read_event().map_err(|e| xml(&e))? {
                Event::Start(e) => {
                    depth_seen = true;
                    path.push(String::from_utf8_lossy(e.name().as_ref()).into_owned());
                    Self::known(&path)?;
                }
                Event::Empty(e) => {
                    depth_seen = true;
                    path.push(String::from_utf8_lossy(e.name().as_ref()).into_owned());
                    Self::known(&path)?;
                    let at = path[1..].join("/");
                    if Self::TABLE.iter().any(|t| t.0 == at) {
                        seen.insert(at, String::new());
                    }
                    path.pop();
                }
                Event::End(_) => {
                    let at = path.get(1..).unwrap_or(&[]).join("/");
                    if Self::TABLE.iter().any(|t| t.0 == at) {
                        seen.entry(at).or_default();
                    }
                    path.pop();
                }
                Event::Text(t) => {
                    let text = t.unescape().map_err(|e| xml(&e))?;
                    let text = text.trim();
                    if !text.is_empty() {
                        let at = path.get(1..).unwrap_or(&[]).join("/");
                        if !Self::TABLE.iter().any(|t| t.0 == at) {
                            return Err(SettingsError::Xml(format!(
                                "text {text:?} outside a value"
                            )));
                        }
                        seen.insert(at, text.to_owned());
                    }
                }
                Event::Eof => break,
                _ => {}
            }
        }
        if !path.is_empty() || !depth_seen {
            return Err(SettingsError::Xml("no complete <quillbend> element".into()));
        }
        for &(element, _, min, max) in Self::TABLE {
            let Some(found) = seen.get(element) else {
                continue;
            };
            match found.parse::<f64>() {
                Ok(v) if v >= min && v <= max => options.set(element, v),
                _ => {
                    return Err(SettingsError::OutOfRange {
                        element: element.into(),
                        min,
                        max,
                        found: found.clone(),
                    });
                }
            }
        }
        Ok(options)
    }

    fn known(path: &[String]) -> Result<(), SettingsError> {
        let at = path[1..].join("/");
        let fits = path[0] == "quillbend"
            && (at.is_empty()
                || Self::TABLE
                    .iter()
                    .any(|t| t.0 == at || t.0.starts_with(&format!("{at}/"))));
        if fits {
            Ok(())
        } else {
            Err(SettingsError::UnknownElement(path.join("/")))
        }
    }
}

/// Everything together, with derived times in milliseconds.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The platform's file.
    pub platform: Platform,
    /// The operators' file.
    pub options: Options,
    /// The operators' file that turns on spillover between cells.
    pub spillover: Option<SpilloverSettings>,
}

/// Clocks of two machines may diverge by this part; twice the stated bound, for two ends.
const DRIFT: f64 = 0.001;

impl Settings {
    /// Puts both files together.
    pub fn new(platform: Platform, options: Options) -> Self {
        Self {
            platform,
            options,
            spillover: None,
        }
    }

    /// Lease of blocks and of leadership at the state service.
    ///
    /// A holder cut off from the state service but not from its workers knows nothing of a
    /// cancellation. Its authority and then the workers' lease must run out before `cancel_s`,
    /// so the design's 30 s are an upper bound only.
    pub fn block_lease_ms(&self) -> u64 {
        let w = &self.platform.settings.workers;
        let most = w.cancel_s - w.lease_s * (1.0 + DRIFT) - 1.5;
        (self.options.block_lease_s.min(most) * 1000.0) as u64
    }

    /// How long a holder counts on its lease after it sent a renewal that succeeded.
    pub fn authority_ms(&self) -> u64 {
        (self.block_lease_ms() as f64 * (1.0 - DRIFT)) as u64 - 50
    }

    /// The longest that a worker which has its answers lets pass between two reports: the interval
    /// with the quarter by which it varies (PROTOCOL, reports), the time that an answer waits, and a
    /// second for the way.
    pub fn report_due_ms(&self) -> u64 {
        let interval = self.platform.settings.workers.report_s * 1250.0;
        interval as u64 + self.answer_wait_ms() + 1000
    }

    /// How long the answer to a machine without tasks waits for one: three fifths of the interval
    /// of reports, and a second less than a worker waits for it (4 s: PROTOCOL, reports).
    pub fn answer_wait_ms(&self) -> u64 {
        ((self.platform.settings.workers.report_s * 600.0) as u64).min(3000)
    }

    /// After this much time without an accepted answer a worker has surely dropped its tasks.
    pub fn worker_gone_ms(&self) -> u64 {
        (self.platform.settings.workers.lease_s * (1.0 + DRIFT) * 1000.0) as u64 + 500
    }

    /// After this much time no earlier holder can still have authority over a machine, and the
    /// machine has dropped what such a holder gave it.
    pub fn unfenced_gone_ms(&self) -> u64 {
        (self.block_lease_ms() as f64 * (1.0 + DRIFT)) as u64 + 250 + self.worker_gone_ms()
    }

    /// Largest value kept in one key, bytes, with a little room.
    pub fn value_bytes(&self) -> usize {
        (self.platform.settings.state.value_kb * 1024.0) as usize - 64
    }

    /// Most tasks of one job that may be open below its highest bound task, so that the done
    /// ranges always fit into the job's value.
    pub fn open_tasks(&self) -> usize {
        (self.value_bytes().saturating_sub(1200) / 14).clamp(16, 5000)
    }

    /// Connections taken on the public address; the rest of the sockets is for our own calls.
    pub fn connections(&self) -> usize {
        let sockets = self.platform.settings.resources.max_sockets;
        sockets.map_or(100_000, |s| (s * 4 / 5).max(8))
    }

    /// Machines in a block before another block is begun, while there are few blocks.
    pub fn block_machines(&self) -> usize {
        (self.options.block_machines as usize).max(1)
    }
}

#[cfg(test)]
pub(crate) mod tests;
