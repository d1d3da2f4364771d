//! The operators' XML file that enables spillover, with the other cells, the time limits of loans and the lender's
//! policy.
//!
//! Every accepted file has passed all checks in this module; its values are not checked again later.

use crate::terms::LoanTerms;
use ipnet::IpNet;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};

/// Why the file is rejected, as one line that names the field.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum SpilloverError {
    /// The file is not XML, or has an unknown element or a value of the wrong type.
    #[error("spillover file: {0}")]
    Xml(String),
    /// A name is empty.
    #[error("spillover file: {field} is empty")]
    Empty {
        /// Path of the field.
        field: &'static str,
    },
    /// Two cells have the same name.
    #[error("spillover file: cell {0:?} is named twice")]
    DuplicateCell(String),
    /// The list of other cells contains this cell.
    #[error("spillover file: cell {0:?} is this cell itself")]
    OwnCell(String),
    /// No controller is given for a cell.
    #[error("spillover file: cell {0:?} has no controller")]
    NoController(String),
    /// A controller's address is not an IP address with a port.
    #[error("spillover file: cell {cell:?}: controller {address:?} is not an address with a port")]
    Address {
        /// Name of the cell.
        cell: String,
        /// The invalid address.
        address: String,
    },
    /// A number is out of its range.
    #[error("spillover file: {field} must be between {least} and {most}")]
    OutOfRange {
        /// Path of the field.
        field: String,
        /// Minimum value, inclusive.
        least: f64,
        /// Maximum value, inclusive.
        most: f64,
    },
    /// A cancelled job could keep running for longer than the time limit of a cancellation.
    #[error(
        "spillover file: loan/lease-s and worker-lease-s of cell {cell:?} add up to {sum_s} s, \
         more than workers.cancel_s ({cancel_s} s)"
    )]
    CancelTime {
        /// Name of the cell.
        cell: String,
        /// Sum of the leases of loan and workers and the allowances for clock drift and delivery, seconds.
        sum_s: f64,
        /// Time limit of a cancellation, seconds.
        cancel_s: f64,
    },
}

/// Contents of the file.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename = "spillover", deny_unknown_fields)]
pub struct SpilloverSettings {
    /// Name of this cell.
    #[serde(rename = "@cell")]
    pub cell: String,
    /// Whether this cell lends jobs.
    #[serde(rename = "@lend", default = "yes")]
    pub lend: bool,
    /// Whether this cell borrows jobs.
    #[serde(rename = "@borrow", default = "yes")]
    pub borrow: bool,
    /// Time limits of loans.
    #[serde(default)]
    pub loan: LoanSettings,
    /// Lending and borrowing policy.
    #[serde(default)]
    pub policy: PolicySettings,
    /// The other cells.
    #[serde(rename = "cell", default)]
    pub cells: Vec<CellSettings>,
}

fn yes() -> bool {
    true
}

/// Time limits of loans.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoanSettings {
    /// Time for which a borrower may act on a confirmation, seconds.
    #[serde(rename = "@lease-s")]
    pub lease_s: f64,
    /// Interval between a borrower's requests for confirmation, seconds.
    #[serde(rename = "@ask-s")]
    pub ask_s: f64,
    /// Time without a report after which the lender recalls a loan, seconds.
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

/// Lending and borrowing policy.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PolicySettings {
    /// Predicted wait at or above which a cell starts to lend, seconds.
    #[serde(rename = "@start-above-s")]
    pub start_above_s: f64,
    /// Predicted wait at or below which a cell stops lending, seconds.
    #[serde(rename = "@stop-below-s")]
    pub stop_below_s: f64,
    /// Time for which the wait must stay at or above `start_above_s` before lending starts, seconds.
    #[serde(rename = "@sustain-s")]
    pub sustain_s: f64,
    /// A job is lent only if it starts earlier elsewhere by more than this, seconds.
    #[serde(rename = "@margin-s")]
    pub margin_s: f64,
    /// Interval between runs of the lending policy, seconds.
    #[serde(rename = "@period-s")]
    pub period_s: f64,
    /// Maximum number of jobs lent per interval.
    #[serde(rename = "@jobs-per-period")]
    pub jobs_per_period: usize,
    /// Time without a bound task after which a loan may be recalled, seconds.
    #[serde(rename = "@idle-s")]
    pub idle_s: f64,
    /// Maximum CPUs of the unfinished loans that a cell borrows.
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
    /// Name of the cell.
    #[serde(rename = "@name")]
    pub name: String,
    /// Lease of its workers, seconds.
    #[serde(rename = "@worker-lease-s")]
    pub worker_lease_s: f64,
    /// Addresses at which its controllers accept messages of other controllers.
    #[serde(rename = "controller", default)]
    pub controllers: Vec<String>,
    /// Networks from which its messages are accepted; if empty, any.
    #[serde(rename = "network", default)]
    pub networks: Vec<IpNet>,
}

/// A number from the file with its inclusive limits.
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

    /// Returns an error unless the value is within its limits; NaN never is.
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
    /// Settings with spillover disabled: an empty cell name, no other cells, no lending and no borrowing.
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

    /// Parses and checks the file. `cancel_s` is the time limit of a cancellation in this cell, seconds.
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
            let invalid = |address: &&String| address.parse::<SocketAddr>().is_err();
            if let Some(address) = cell.controllers.iter().find(invalid) {
                return Err(SpilloverError::Address {
                    cell: cell.name.clone(),
                    address: address.clone(),
                });
            }
        }
        Ok(())
    }

    /// Checks that a cancelled job stops within the time limit even if the borrower is unreachable.
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

    /// Time limits of a loan to another cell.
    pub fn loan_terms(&self, cell: &CellSettings) -> LoanTerms {
        let ms = |seconds: f64| (seconds * 1000.0) as u64;
        LoanTerms {
            lease_ms: ms(self.loan.lease_s),
            worker_lease_ms: ms(cell.worker_lease_s),
        }
    }

    /// The settings of another cell; None if the file does not list it.
    pub fn cell_by_name(&self, name: &str) -> Option<&CellSettings> {
        self.cells.iter().find(|cell| cell.name == name)
    }
}

impl CellSettings {
    /// Whether messages of this cell are accepted from an address.
    pub fn allows_source(&self, address: IpAddr) -> bool {
        let mut networks = self.networks.iter();
        self.networks.is_empty() || networks.any(|network| network.contains(&address))
    }
}
