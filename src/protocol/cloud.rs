//! Messages of the cloud: `PROTOCOL`, "Controller nodes -> cloud".

use serde::{Deserialize, Serialize};

/// A machine type in the catalog.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct MachineType {
    /// Name.
    #[serde(rename = "label")]
    pub name: String,
    /// CPUs.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Memory, GB.
    #[serde(rename = "ramGb")]
    pub memory_gb: f64,
    /// Image cache, GB.
    #[serde(default)]
    pub local_gb: f64,
    /// Rate at which images are fetched, GB per second, give or take a third.
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    /// Price of an ordinary machine, per hour.
    pub price: f64,
    /// Current price of a spot machine, per hour.
    pub market_price: f64,
    /// Nominal boot time, seconds.
    pub boot_s: f64,
    /// Zones that have it.
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

impl MachineType {
    /// Price per hour of a machine of this type, spot or ordinary.
    pub fn price_of(&self, spot: bool) -> f64 {
        if spot { self.market_price } else { self.price }
    }
}

/// The machine types with their current prices (`GET /catalog`).
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Catalog {
    /// Machine types.
    #[serde(rename = "frames")]
    pub machine_types: Vec<MachineType>,
}

/// A request to rent machines (`POST /machines`).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RentRequest {
    /// Name of the request. A repeated one gets the same answer and rents nothing, so no two requests
    /// of any controller may have the same name.
    #[serde(rename = "booking")]
    pub request_id: String,
    /// Machine type.
    #[serde(rename = "frame")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether spot machines are wanted.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// How many machines, at most 50.
    pub number: u32,
}

/// Names of machines: the answer to a [`RentRequest`], and the body of `POST /machines/return`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineNames {
    /// Machines.
    #[serde(rename = "rigs")]
    pub machines: Vec<String>,
}

/// A machine in the cloud's list. The list lags: a machine that is `starting` may be up already.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct CloudMachine {
    /// Name.
    #[serde(rename = "ref")]
    pub name: String,
    /// Address of its worker, `host:port`.
    #[serde(default)]
    pub endpoint: String,
    /// Machine type.
    #[serde(rename = "frame")]
    pub machine_type: String,
    /// Zone.
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
    /// Machines.
    #[serde(rename = "rigs")]
    pub machines: Vec<CloudMachine>,
    /// Whether another page follows.
    #[serde(default)]
    pub has_next: bool,
}
