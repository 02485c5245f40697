//! Messages of the cloud.

use super::{list, maybe_number, number};
use crate::types::MachineId;
use serde::{Deserialize, Serialize};

/// A kind of machine.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct MachineType {
    /// Its name.
    #[serde(rename = "sku")]
    pub name: String,
    /// Processors of one.
    #[serde(rename = "cores", deserialize_with = "number")]
    pub cpus: f64,
    /// GPUs of one.
    #[serde(default, deserialize_with = "number")]
    pub gpus: f64,
    /// Memory of one.
    #[serde(deserialize_with = "number")]
    pub memory_gb: f64,
    /// Room for images.
    #[serde(deserialize_with = "number")]
    pub cache_gb: f64,
    /// Rate at which it fetches them.
    #[serde(rename = "pull_gb_per_s", deserialize_with = "number")]
    pub fetch_gb_per_s: f64,
    /// Price an hour.
    #[serde(rename = "hourly", deserialize_with = "number")]
    pub price: f64,
    /// Price an hour of one that may be taken back at any moment.
    #[serde(rename = "market_price", default, deserialize_with = "maybe_number")]
    pub spot_price: Option<f64>,
    /// Usual time until it is up.
    #[serde(rename = "startup_s", deserialize_with = "number")]
    pub boot_s: f64,
    /// Where it is offered.
    #[serde(rename = "berths", default, deserialize_with = "list")]
    pub zones: Vec<String>,
}

/// All kinds of machines.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct MachineTypes {
    /// Each of them.
    #[serde(rename = "hulls")]
    pub types: Vec<MachineType>,
}

/// A request for machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rental {
    /// Names the request; never used again.
    #[serde(rename = "charter")]
    pub request: String,
    /// Which type.
    #[serde(rename = "hull")]
    pub machine_type: String,
    /// In which zone.
    #[serde(rename = "berth")]
    pub zone: String,
    /// Whether they may be taken back at any moment.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// How many at most.
    #[serde(rename = "number")]
    pub count: u32,
}

/// Machines by name.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct MachineNames {
    /// Their names.
    #[serde(rename = "hosts")]
    pub machines: Vec<MachineId>,
}

/// How far a listed machine has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum ListedState {
    /// Not up yet.
    #[serde(rename = "starting")]
    Booting,
    /// Up.
    #[serde(rename = "running")]
    Running,
    /// Stopped by itself.
    #[serde(rename = "failed", other)]
    Failed,
}

/// A machine as the cloud lists it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ListedMachine {
    /// Its name.
    pub id: MachineId,
    /// Address of its worker.
    #[serde(default)]
    pub addr: Option<String>,
    /// Its type.
    #[serde(rename = "hull")]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "berth")]
    pub zone: String,
    /// Whether it may be taken back at any moment.
    #[serde(rename = "driftwood", default)]
    pub spot: bool,
    /// How far it has come.
    #[serde(rename = "status")]
    pub state: ListedState,
    /// Time since it was rented.
    #[serde(rename = "held_s", default, deserialize_with = "number")]
    pub age_s: f64,
}

/// A page of the list of machines.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct MachineList {
    /// In the order of their names.
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedMachine>,
    /// Whether there are further ones.
    #[serde(default)]
    pub more: bool,
}

/// Path of one page of the machine list.
pub fn list_path(after: Option<&MachineId>) -> String {
    match after {
        Some(id) => format!("/rentals?after={id}&most=500"),
        None => "/rentals?most=500".to_string(),
    }
}

/// Text in the body of a refusal because no machine of the requested kind is to be had.
pub const NO_CAPACITY: &str = "no capacity";
/// Where types are listed.
pub const TYPES_PATH: &str = "/flavors";
/// Where machines are rented and listed.
pub const RENT_PATH: &str = "/rentals";
/// Where machines are deleted.
pub const DELETE_PATH: &str = "/rentals/delete";
