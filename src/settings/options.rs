//! The operators' own settings (XML): `<quillbend>` with one element a setting.
//!
//! Owns the table of elements with their defaults and ranges; `--list-options` prints it. A file must never be
//! taken in part: whatever is unknown or out of its range refuses all of it.

use super::SettingsError;
use quick_xml::Reader;
use quick_xml::events::{BytesStart, Event};
use std::collections::HashMap;

/// Name of the element around all others.
const ROOT: &str = "quillbend";

/// An element of the operators' file.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OptionElement {
    /// Names of the elements around it, without the root, and its own, divided by `/`.
    pub path: &'static str,
    /// Value if the element is absent.
    pub default: f64,
    /// Smallest value.
    pub min: f64,
    /// Largest value.
    pub max: f64,
}

macro_rules! options {
    ($($(#[$doc:meta])* $field:ident: $path:literal = $default:literal in $min:literal..=$max:literal;)*) => {
        /// The operators' own settings, from the XML file.
        #[derive(Debug, Clone, PartialEq)]
        pub struct Options { $($(#[$doc])* pub $field: f64,)* }

        impl Default for Options {
            fn default() -> Self { Self { $($field: $default,)* } }
        }

        impl Options {
            /// Every element of the file.
            pub const TABLE: &'static [OptionElement] = &[$(OptionElement {
                path: $path,
                default: $default,
                min: $min,
                max: $max,
            },)*];

            fn set(&mut self, path: &str, value: f64) {
                match path { $($path => self.$field = value,)* _ => {} }
            }
        }
    };
}

options! {
    /// Seconds between rounds of work stealing.
    balance_period_s: "balance/period-s" = 5.0 in 1.0..=600.0;
    /// Tolerance of a balanced queue, as a part of the mean.
    balance_tolerance: "balance/tolerance" = 0.05 in 0.001..=1.0;
    /// Load of a pack, as a part of the tolerance.
    balance_pack: "balance/pack" = 0.4 in 0.01..=1.0;
    /// Number of most loaded machines among which a stealing machine picks its victim.
    balance_targets: "balance/targets" = 4.0 in 1.0..=64.0;
    /// Hops after which a steal goes anywhere, as a part of the machines.
    balance_hops: "balance/hops" = 0.25 in 0.0..=1.0;
    /// Hops after which a steal ends.
    balance_max_hops: "balance/hops-most" = 6.0 in 1.0..=10000.0;
    /// Longest lease of a block, seconds.
    block_lease_s: "blocks/lease-s" = 30.0 in 5.0..=600.0;
    /// Machines in a block before another block is begun, while there are few blocks.
    block_machines: "blocks/machines" = 10.0 in 1.0..=64.0;
    /// Longest time that a bound task should wait for room on its machine, seconds.
    queue_max_wait_s: "queues/ahead-s" = 3.0 in 0.0..=600.0;
    /// Machines looked at for a binding when there are more.
    queue_sample_size: "queues/sample" = 16.0 in 2.0..=1000.0;
    /// Seconds that a job waits at most for its first tasks, and for more of them, before it is
    /// served ahead of its turn.
    queue_boost_after_s: "queues/floor-s" = 80.0 in 5.0..=3600.0;
    /// Part of the fleet's CPUs that one job may use at its place in the order; beyond it, and beyond
    /// 200 tasks, it has the room that no other job wants.
    queue_job_share: "queues/share" = 0.03 in 0.001..=1.0;
    /// CPUs of running tasks that may be preempted at a time for tasks of a higher priority.
    preempt_cpus: "queues/evict-cpus" = 24.0 in 0.0..=10000.0;
    /// Seconds of work that a rented CPU should find waiting.
    fleet_horizon_s: "fleet/horizon-s" = 45.0 in 1.0..=3600.0;
    /// Seconds that a machine stands idle before it is returned.
    fleet_idle_s: "fleet/idle-s" = 8.0 in 0.0..=3600.0;
    /// Seconds that a refused type and zone is left alone.
    fleet_refusal_pause_s: "fleet/refused-s" = 15.0 in 1.0..=3600.0;
    /// Seconds for which machines are kept that fell silent together with most of their zone.
    fleet_partition_s: "fleet/cut-s" = 90.0 in 0.0..=3600.0;
    /// Most machines rented at a time: a guard against a mistake in what is asked for, not a size of
    /// the fleet, which demand and the cloud decide.
    fleet_max_machines: "fleet/most" = 100000.0 in 1.0..=1000000.0;
    /// Most unfinished jobs; more are answered with 429.
    max_unfinished_jobs: "jobs/most" = 20000.0 in 1.0..=1000000.0;
    /// Jobs that are over and stay in every replica while others wait to run: each that leaves costs
    /// two changes.
    max_final_jobs: "jobs/kept" = 600.0 in 0.0..=100000.0;
    /// Milliseconds between messages to a peer.
    peers_period_ms: "peers/period-ms" = 700.0 in 100.0..=10000.0;
    /// Seconds of silence after which a peer is suspected.
    peers_silent_s: "peers/silent-s" = 2.5 in 0.5..=60.0;
    /// Newest format of stored values that is written. An earlier one keeps the way back open to a
    /// version that reads no newer one; what was written once stays.
    max_written_format: "upgrade/format-most" = 4.0 in 2.0..=4.0;
    /// Milliseconds that completions are gathered before they are written.
    flush_ms: "writes/flush-ms" = 150.0 in 10.0..=5000.0;
}

impl Options {
    /// Reads the XML text: `<quillbend>` with the elements of [`Options::TABLE`].
    ///
    /// # Errors
    ///
    /// Text that is not such XML, an element that does not exist, or a value out of its range.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let values = parse_values(text)?;
        let mut options = Options::default();
        for element in Self::TABLE {
            let Some(found) = values.get(element.path) else {
                continue;
            };
            match found.parse::<f64>() {
                Ok(value) if value >= element.min && value <= element.max => {
                    options.set(element.path, value);
                }
                _ => {
                    return Err(SettingsError::OutOfRange {
                        element: element.path.to_owned(),
                        min: element.min,
                        max: element.max,
                        found: found.clone(),
                    });
                }
            }
        }
        Ok(options)
    }

    /// Whether a path names a value.
    fn is_value(path: &str) -> bool {
        Self::TABLE.iter().any(|element| element.path == path)
    }

    /// Whether a path leads to a value, or names one.
    fn is_known_path(path: &str) -> bool {
        let inner = format!("{path}/");
        path.is_empty()
            || Self::TABLE
                .iter()
                .any(|element| element.path == path || element.path.starts_with(&inner))
    }
}

/// Reads the text of every value in the file, by the path of its element; empty where it has none.
fn parse_values(text: &str) -> Result<HashMap<String, String>, SettingsError> {
    let mut reader = Reader::from_str(text);
    let mut values = OptionValues::default();
    loop {
        match reader.read_event().map_err(|e| invalid_xml(&e))? {
            Event::Start(tag) => values.open(&tag)?,
            Event::Empty(tag) => values.empty(&tag)?,
            Event::End(_) => values.close(),
            Event::Text(text) => values.text(&text.unescape().map_err(|e| invalid_xml(&e))?)?,
            Event::Eof => return values.finish(),
            _ => {}
        }
    }
}

/// A fault of the XML text, in one line.
fn invalid_xml(xml_error: &dyn std::fmt::Display) -> SettingsError {
    SettingsError::Xml(xml_error.to_string().replace('\n', " "))
}

/// The values found while a file is read.
#[derive(Debug, Default)]
struct OptionValues {
    /// Names of the elements that are open, from the root.
    open_elements: Vec<String>,
    /// Whether any element was there.
    any_element: bool,
    /// Text of the values by path.
    by_path: HashMap<String, String>,
}

impl OptionValues {
    /// Path of the innermost open element, without the root.
    fn path(&self) -> String {
        self.open_elements.get(1..).unwrap_or(&[]).join("/")
    }

    fn open(&mut self, tag: &BytesStart) -> Result<(), SettingsError> {
        self.any_element = true;
        let name = String::from_utf8_lossy(tag.name().as_ref()).into_owned();
        self.open_elements.push(name);
        if self.open_elements[0] == ROOT && Options::is_known_path(&self.path()) {
            return Ok(());
        }
        Err(SettingsError::UnknownElement(self.open_elements.join("/")))
    }

    /// An element without content: a value that stood there before counts no more.
    fn empty(&mut self, tag: &BytesStart) -> Result<(), SettingsError> {
        self.open(tag)?;
        let path = self.path();
        if Options::is_value(&path) {
            self.by_path.insert(path, String::new());
        }
        self.open_elements.pop();
        Ok(())
    }

    fn text(&mut self, text: &str) -> Result<(), SettingsError> {
        let text = text.trim();
        if text.is_empty() {
            return Ok(());
        }
        let path = self.path();
        if !Options::is_value(&path) {
            return Err(SettingsError::Xml(format!("text {text:?} outside a value")));
        }
        self.by_path.insert(path, text.to_owned());
        Ok(())
    }

    fn close(&mut self) {
        let path = self.path();
        if Options::is_value(&path) {
            self.by_path.entry(path).or_default();
        }
        self.open_elements.pop();
    }

    fn finish(self) -> Result<HashMap<String, String>, SettingsError> {
        if self.open_elements.is_empty() && self.any_element {
            return Ok(self.by_path);
        }
        let message = "no complete <quillbend> element";
        Err(SettingsError::Xml(message.to_owned()))
    }
}
