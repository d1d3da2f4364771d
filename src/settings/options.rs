//! The operators' settings (XML): a `<quillbend>` element with one element for each setting.
//!
//! Owns the table of elements with their defaults and ranges, which `--list-options` prints. A file must
//! never be applied in part: an unknown element or a value out of range makes the whole file invalid.

use super::SettingsError;
use quick_xml::Reader;
use quick_xml::events::{BytesStart, Event};
use std::collections::HashMap;

/// Name of the root element.
const ROOT: &str = "quillbend";

/// An element of the operators' file.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OptionElement {
    /// Path of element names below the root, separated by `/`.
    pub path: &'static str,
    /// Value if the element is absent.
    pub default: f64,
    /// Smallest allowed value.
    pub min: f64,
    /// Largest allowed value.
    pub max: f64,
}

macro_rules! options {
    ($($(#[$doc:meta])* $field:ident: $path:literal = $default:literal in $min:literal..=$max:literal;)*) => {
        /// Settings from the operators' XML file.
        #[derive(Debug, Clone, PartialEq)]
        pub struct Options { $($(#[$doc])* pub $field: f64,)* }

        impl Default for Options {
            fn default() -> Self { Self { $($field: $default,)* } }
        }

        impl Options {
            /// All elements that the file can contain.
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
    /// Deviation from the mean load within which a queue counts as balanced, as a fraction of the mean.
    balance_tolerance: "balance/tolerance" = 0.05 in 0.001..=1.0;
    /// Load of a pack, as a fraction of the tolerance.
    balance_pack: "balance/pack" = 0.4 in 0.01..=1.0;
    /// Number of most loaded machines among which a stealing machine picks its victim.
    balance_targets: "balance/targets" = 4.0 in 1.0..=64.0;
    /// Hops after which a steal request is sent to random machines, as a fraction of the number of machines.
    balance_hops: "balance/hops" = 0.25 in 0.0..=1.0;
    /// Maximum number of hops of a steal request.
    balance_max_hops: "balance/hops-most" = 6.0 in 1.0..=10000.0;
    /// Maximum lease of a block, seconds.
    block_lease_s: "blocks/lease-s" = 30.0 in 5.0..=600.0;
    /// Number of machines in a block before a new block is created, while there are few blocks.
    block_machines: "blocks/machines" = 10.0 in 1.0..=64.0;
    /// Longest time that a bound task should wait for free resources on its machine, seconds.
    queue_max_wait_s: "queues/ahead-s" = 3.0 in 0.0..=600.0;
    /// Maximum number of machines sampled for a binding.
    queue_sample_size: "queues/sample" = 16.0 in 2.0..=1000.0;
    /// Seconds that a job waits for its first tasks, or for more of them, before it is served ahead of the
    /// regular order.
    queue_boost_after_s: "queues/floor-s" = 80.0 in 5.0..=3600.0;
    /// Fraction of the fleet's CPUs that one job may use at its position in the order. Beyond it, and beyond
    /// 200 tasks, the job gets only resources that no other job needs.
    queue_job_share: "queues/share" = 0.03 in 0.001..=1.0;
    /// CPUs of running tasks that may be preempted at once for tasks of a higher priority.
    preempt_cpus: "queues/evict-cpus" = 24.0 in 0.0..=10000.0;
    /// Seconds of queued work per CPU for which the fleet is sized.
    fleet_horizon_s: "fleet/horizon-s" = 45.0 in 1.0..=3600.0;
    /// Seconds for which a machine is idle before it is returned.
    fleet_idle_s: "fleet/idle-s" = 8.0 in 0.0..=3600.0;
    /// Seconds before a refused machine type and zone is requested again.
    fleet_refusal_pause_s: "fleet/refused-s" = 15.0 in 1.0..=3600.0;
    /// Seconds for which machines are kept that became silent together with most of their zone.
    fleet_partition_s: "fleet/cut-s" = 90.0 in 0.0..=3600.0;
    /// Maximum number of machines rented at a time. It only guards against erroneous demand; the size of the
    /// fleet follows from demand and the cloud's capacity.
    fleet_max_machines: "fleet/most" = 100000.0 in 1.0..=1000000.0;
    /// Maximum number of unfinished jobs; further submissions get status 429.
    max_unfinished_jobs: "jobs/most" = 20000.0 in 1.0..=1000000.0;
    /// Number of final jobs that stay in every replica while others are pending, because archiving a job
    /// costs two changes.
    max_final_jobs: "jobs/kept" = 600.0 in 0.0..=100000.0;
    /// Milliseconds between messages to a peer.
    peers_period_ms: "peers/period-ms" = 700.0 in 100.0..=10000.0;
    /// Seconds of silence after which a peer is suspected.
    peers_silent_s: "peers/silent-s" = 2.5 in 0.5..=60.0;
    /// Newest format in which values are stored. An older format allows a rollback to a version that cannot
    /// read newer ones; values that are already stored keep their format.
    max_written_format: "upgrade/format-most" = 4.0 in 2.0..=4.0;
    /// Milliseconds for which completions are batched before they are written.
    flush_ms: "writes/flush-ms" = 150.0 in 10.0..=5000.0;
}

impl Options {
    /// Parses the XML text: `<quillbend>` with elements of [`Options::TABLE`].
    ///
    /// # Errors
    ///
    /// If the text is not such XML, contains an unknown element, or a value is out of its range.
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

    /// Whether a path is that of a setting.
    fn is_value(path: &str) -> bool {
        Self::TABLE.iter().any(|element| element.path == path)
    }

    /// Whether a path is that of a setting or of an element that contains one.
    fn is_known_path(path: &str) -> bool {
        let inner = format!("{path}/");
        path.is_empty()
            || Self::TABLE
                .iter()
                .any(|element| element.path == path || element.path.starts_with(&inner))
    }
}

/// Reads the text of every setting in the file, by path; an element without text yields an empty string.
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

/// Converts an XML error to a single line.
fn invalid_xml(xml_error: &dyn std::fmt::Display) -> SettingsError {
    SettingsError::Xml(xml_error.to_string().replace('\n', " "))
}

/// The settings found while a file is parsed.
#[derive(Debug, Default)]
struct OptionValues {
    /// Names of the open elements, from the root.
    open_elements: Vec<String>,
    /// Whether any element was found.
    any_element: bool,
    /// Text of the settings by path.
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

    /// Handles an element without content. It replaces an earlier value of the same path.
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
