//! The operators' file that turns spillover on: an XML file with the other cells, the times of loans and the
//! lender's policy.
//!
//! A file that is taken has passed every check here; nothing later checks its values again.

use crate::terms::LoanTerms;
use ipnet::IpNet;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};

/// Why the file cannot be used; one line that names the field.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum SpilloverError {
    /// Not XML, an unknown element, or a value of another type.
    #[error("spillover file: {0}")]
    Xml(String),
    /// A name is missing.
    #[error("spillover file: {field} is empty")]
    Empty {
        /// The field.
        field: &'static str,
    },
    /// A cell is named twice.
    #[error("spillover file: cell {0:?} is named twice")]
    DuplicateCell(String),
    /// The file names its own cell among the others.
    #[error("spillover file: cell {0:?} is this cell itself")]
    OwnCell(String),
    /// A cell has no controllers.
    #[error("spillover file: cell {0:?} has no controller")]
    NoController(String),
    /// A controller's address is none.
    #[error("spillover file: cell {cell:?}: controller {address:?} is not an address with a port")]
    Address {
        /// The cell.
        cell: String,
        /// What stands there.
        address: String,
    },
    /// A number is out of its range.
    #[error("spillover file: {field} must be between {least} and {most}")]
    OutOfRange {
        /// The field.
        field: String,
        /// Smallest value.
        least: f64,
        /// Largest value.
        most: f64,
    },
    /// A cancelled job could run longer than it may.
    #[error(
        "spillover file: loan/lease-s and worker-lease-s of cell {cell:?} add up to {sum_s} s, \
         more than workers.cancel_s ({cancel_s} s)"
    )]
    CancelTime {
        /// The cell.
        cell: String,
        /// What they add up to, with what clocks and messages take.
        sum_s: f64,
        /// What a cancellation has.
        cancel_s: f64,
    },
}

/// What the file says.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename = "spillover", deny_unknown_fields)]
pub struct SpilloverSettings {
    /// Name of this cell.
    #[serde(rename = "@cell")]
    pub cell: String,
    /// Whether it lends.
    #[serde(rename = "@lend", default = "yes")]
    pub lend: bool,
    /// Whether it borrows.
    #[serde(rename = "@borrow", default = "yes")]
    pub borrow: bool,
    /// Times of loans.
    #[serde(default)]
    pub loan: LoanSettings,
    /// When and what is lent and borrowed.
    #[serde(default)]
    pub policy: PolicySettings,
    /// The other cells.
    #[serde(rename = "cell", default)]
    pub cells: Vec<CellSettings>,
}

fn yes() -> bool {
    true
}

/// Times of loans.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoanSettings {
    /// How long a borrower may act on a confirmation, seconds.
    #[serde(rename = "@lease-s")]
    pub lease_s: f64,
    /// Interval of a borrower's questions, seconds.
    #[serde(rename = "@ask-s")]
    pub ask_s: f64,
    /// Silence after which a lender calls a loan back, seconds.
    #[serde(rename = "@silent-s")]
    pub silent_s: f64,
}

impl LoanSettings {
    fn ranges(&self) -> [Range; 3] {
        [
            Range::new("loan/lease-s", self.lease_s, 1.0, 600.0),
            Range::new("loan/ask-s", self.ask_s, 0.2, self.lease_s / 2.0),
            Range::new("loan/silent-s", self.silent_s, self.ask_s * 2.0, 3600.0),
        ]
    }
}

impl Default for LoanSettings {
    fn default() -> Self {
        Self {
            lease_s: 12.0,
            ask_s: 2.0,
            silent_s: 15.0,
        }
    }
}

/// When and what is lent and borrowed.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PolicySettings {
    /// Predicted wait above which a cell begins to lend, seconds.
    #[serde(rename = "@start-above-s")]
    pub start_above_s: f64,
    /// Predicted wait below which it ends, seconds.
    #[serde(rename = "@stop-below-s")]
    pub stop_below_s: f64,
    /// How long the wait must have been long before it begins, seconds.
    #[serde(rename = "@sustain-s")]
    pub sustain_s: f64,
    /// Seconds by which a job must begin earlier elsewhere.
    #[serde(rename = "@margin-s")]
    pub margin_s: f64,
    /// Interval of looking for jobs to lend, seconds.
    #[serde(rename = "@period-s")]
    pub period_s: f64,
    /// Most jobs lent in an interval.
    #[serde(rename = "@jobs-per-period")]
    pub jobs_per_period: usize,
    /// Seconds after which a loan of which nothing is bound may be recalled.
    #[serde(rename = "@idle-s")]
    pub idle_s: f64,
    /// Most CPUs of unfinished loans that a cell holds.
    #[serde(rename = "@borrow-cpus")]
    pub borrow_cpus: f64,
}

impl PolicySettings {
    fn ranges(&self) -> [Range; 8] {
        let start_s = self.start_above_s;
        let jobs = self.jobs_per_period as f64;
        [
            Range::new("policy/start-above-s", start_s, 0.0, 86_400.0),
            Range::new("policy/stop-below-s", self.stop_below_s, 0.0, start_s),
            Range::new("policy/sustain-s", self.sustain_s, 0.0, 3600.0),
            Range::new("policy/margin-s", self.margin_s, 0.0, 3600.0),
            Range::new("policy/period-s", self.period_s, 0.2, 600.0),
            Range::new("policy/jobs-per-period", jobs, 1.0, 1000.0),
            Range::new("policy/idle-s", self.idle_s, 0.0, 3600.0),
            Range::new("policy/borrow-cpus", self.borrow_cpus, 0.0, 1e9),
        ]
    }
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            start_above_s: 20.0,
            stop_below_s: 5.0,
            sustain_s: 4.0,
            margin_s: 5.0,
            period_s: 2.0,
            jobs_per_period: 8,
            idle_s: 10.0,
            borrow_cpus: 64.0,
        }
    }
}

/// Another cell.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CellSettings {
    /// Its name.
    #[serde(rename = "@name")]
    pub name: String,
    /// The lease of its workers, seconds.
    #[serde(rename = "@worker-lease-s")]
    pub worker_lease_s: f64,
    /// Addresses of its controllers for other controllers.
    #[serde(rename = "controller", default)]
    pub controllers: Vec<String>,
    /// Networks that its messages may come from; none named: any.
    #[serde(rename = "network", default)]
    pub networks: Vec<IpNet>,
}

/// A number of the file with its limits, both included.
struct Range {
    field: String,
    value: f64,
    least: f64,
    most: f64,
}

impl Range {
    fn new(field: &str, value: f64, least: f64, most: f64) -> Self {
        Self {
            field: field.to_owned(),
            value,
            least,
            most,
        }
    }

    /// An error unless the number is within its limits; one that is no number is not.
    fn check(self) -> Result<(), SpilloverError> {
        if self.value >= self.least && self.value <= self.most {
            return Ok(());
        }
        Err(SpilloverError::OutOfRange {
            field: self.field,
            least: self.least,
            most: self.most,
        })
    }
}

impl SpilloverSettings {
    /// Spillover turned off: the cell has no name, knows no other, lends and borrows nothing.
    pub fn disabled() -> Self {
        Self {
            cell: String::new(),
            lend: false,
            borrow: false,
            loan: LoanSettings::default(),
            policy: PolicySettings::default(),
            cells: Vec::new(),
        }
    }

    /// Reads the file; `cancel_s` is what a cancellation has in this cell.
    pub fn parse(text: &str, cancel_s: f64) -> Result<Self, SpilloverError> {
        let settings: Self = quick_xml::de::from_str(text)
            .map_err(|error| SpilloverError::Xml(error.to_string().replace('\n', " ")))?;
        settings.check_ranges()?;
        settings.check_cells()?;
        settings.check_times(cancel_s)?;
        Ok(settings)
    }

    fn check_ranges(&self) -> Result<(), SpilloverError> {
        let of_cells = self.cells.iter().map(|cell| Range {
            field: format!("worker-lease-s of cell {:?}", cell.name),
            value: cell.worker_lease_s,
            least: 0.1,
            most: 3600.0,
        });
        let loan = self.loan.ranges().into_iter();
        let mut all = loan.chain(self.policy.ranges()).chain(of_cells);
        all.try_for_each(Range::check)
    }

    fn check_cells(&self) -> Result<(), SpilloverError> {
        if self.cell.is_empty() {
            return Err(SpilloverError::Empty { field: "cell" });
        }
        let mut names = BTreeSet::new();
        for cell in &self.cells {
            if cell.name.is_empty() {
                return Err(SpilloverError::Empty { field: "cell/name" });
            }
            if cell.name == self.cell {
                return Err(SpilloverError::OwnCell(cell.name.clone()));
            }
            if !names.insert(&cell.name) {
                return Err(SpilloverError::DuplicateCell(cell.name.clone()));
            }
            if cell.controllers.is_empty() {
                return Err(SpilloverError::NoController(cell.name.clone()));
            }
            let wrong = |address: &&String| address.parse::<SocketAddr>().is_err();
            if let Some(address) = cell.controllers.iter().find(wrong) {
                return Err(SpilloverError::Address {
                    cell: cell.name.clone(),
                    address: address.clone(),
                });
            }
        }
        Ok(())
    }

    /// What is cancelled must be gone in time even if the borrower hears nothing of it.
    fn check_times(&self, cancel_s: f64) -> Result<(), SpilloverError> {
        for cell in &self.cells {
            let sum_s = self.loan_terms(cell).tasks_stopped_after_ms() as f64 / 1000.0;
            if sum_s > cancel_s {
                return Err(SpilloverError::CancelTime {
                    cell: cell.name.clone(),
                    sum_s,
                    cancel_s,
                });
            }
        }
        Ok(())
    }

    /// The times of a loan to another cell.
    pub fn loan_terms(&self, cell: &CellSettings) -> LoanTerms {
        let ms = |seconds: f64| (seconds * 1000.0) as u64;
        LoanTerms {
            lease_ms: ms(self.loan.lease_s),
            worker_lease_ms: ms(cell.worker_lease_s),
        }
    }

    /// Another cell by its name.
    pub fn cell_by_name(&self, name: &str) -> Option<&CellSettings> {
        self.cells.iter().find(|cell| cell.name == name)
    }
}

impl CellSettings {
    /// Whether a message of this cell may come from an address.
    pub fn allows_source(&self, address: IpAddr) -> bool {
        let mut networks = self.networks.iter();
        self.networks.is_empty() || networks.any(|network| network.contains(&address))
    }
}
