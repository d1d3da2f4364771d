//! Messages of the cloud (`PROTOCOL`, "Controller nodes -> cloud").

use serde::{Deserialize, Serialize};

/// A machine type in the catalog.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct MachineType {
    /// Name of the machine type.
    #[serde(rename = "label")]
    pub name: String,
    /// Number of CPUs.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// Number of GPUs; 0 if the catalog has none.
    #[serde(default)]
    pub gpus: f64,
    /// Memory, GB.
    #[serde(rename = "ramGb")]
    pub memory_gb: f64,
    /// Size of the image cache, GB.
    #[serde(default)]
    pub local_gb: f64,
    /// Nominal rate of image fetches, GB per second. The actual rate differs by up to a third.
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand machine per hour.
    pub price: f64,
    /// Current price of a spot machine per hour.
    pub market_price: f64,
    /// Nominal boot time, seconds.
    pub boot_s: f64,
    /// Zones in which it is available.
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

impl MachineType {
    /// Price per hour of a spot or on-demand machine of this type.
    pub fn hourly_price(&self, spot: bool) -> f64 {
        if spot { self.market_price } else { self.price }
    }
}

/// The machine types with their current prices (`GET /catalog`).
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Catalog {
    /// All machine types that can be rented.
    #[serde(rename = "frames")]
    pub machine_types: Vec<MachineType>,
}

/// A request to rent machines (`POST /machines`).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RentalRequest {
    /// Idempotency key. A repeated request gets the same response and rents nothing, so different requests must
    /// never share an identifier, even across controllers.
    #[serde(rename = "booking")]
    pub request_id: String,
    /// Name of the requested machine type.
    #[serde(rename = "frame")]
    pub machine_type: String,
    /// Zone in which to rent the machines.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether spot machines are requested.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Number of machines, at most 50.
    pub number: u32,
}

/// Names of machines: the response to a [`RentalRequest`], and the body of `POST /machines/return`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineNames {
    /// Names of the machines.
    #[serde(rename = "rigs")]
    pub machines: Vec<String>,
}

/// A machine in the cloud's list. The list lags: a machine listed as `starting` may already be running.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct CloudMachine {
    /// Name of the machine.
    #[serde(rename = "ref")]
    pub name: String,
    /// Address of its worker, `host:port`.
    #[serde(default)]
    pub endpoint: String,
    /// Name of its machine type.
    #[serde(rename = "frame")]
    pub machine_type: String,
    /// Zone that it runs in.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// `starting`, `running` or `failed`. A failed machine is listed until it is deleted.
    pub status: String,
    /// Seconds since the request that rented it.
    #[serde(default)]
    pub held_s: f64,
}

/// A page of the cloud's list of machines, ordered by name (`GET /machines`).
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct MachinePage {
    /// Machines of this page, ordered by name.
    #[serde(rename = "rigs")]
    pub machines: Vec<CloudMachine>,
    /// Whether another page follows.
    #[serde(default)]
    pub has_next: bool,
}
