//! Messages of the cloud.

use super::{list, maybe_number, number};
use crate::units::MachineId;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct MachineType {
    #[serde(rename = "sku")]
    pub name: String,
    #[serde(rename = "cores", deserialize_with = "number")]
    pub cpus: f64,
    #[serde(default, deserialize_with = "number")]
    pub gpus: f64,
    #[serde(deserialize_with = "number")]
    pub memory_gb: f64,
    #[serde(deserialize_with = "number")]
    pub cache_gb: f64,
    #[serde(rename = "pull_gb_per_s", deserialize_with = "number")]
    pub fetch_gb_per_s: f64,
    #[serde(rename = "hourly", deserialize_with = "number")]
    pub price: f64,
    #[serde(rename = "market_price", default, deserialize_with = "maybe_number")]
    pub spot_price: Option<f64>,
    #[serde(rename = "startup_s", deserialize_with = "number")]
    pub boot_s: f64,
    #[serde(rename = "berths", default, deserialize_with = "list")]
    pub zones: Vec<String>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct MachineTypes {
    #[serde(rename = "hulls")]
    pub types: Vec<MachineType>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rental {
    #[serde(rename = "charter")]
    pub request: String,
    #[serde(rename = "hull")]
    pub machine_type: String,
    #[serde(rename = "berth")]
    pub zone: String,
    #[serde(rename = "driftwood")]
    pub spot: bool,
    #[serde(rename = "number")]
    pub count: u32,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct MachineNames {
    #[serde(rename = "hosts")]
    pub machines: Vec<MachineId>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum ListedState {
    #[serde(rename = "starting")]
    Booting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "failed", other)]
    Failed,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ListedMachine {
    pub id: MachineId,
    #[serde(default)]
    pub addr: Option<String>,
    #[serde(rename = "hull")]
    pub machine_type: String,
    #[serde(rename = "berth")]
    pub zone: String,
    #[serde(rename = "driftwood", default)]
    pub spot: bool,
    #[serde(rename = "status")]
    pub state: ListedState,
    #[serde(rename = "held_s", default, deserialize_with = "number")]
    pub age_s: f64,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct MachineList {
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedMachine>,
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

pub const TYPES_PATH: &str = "/flavors";
pub const RENT_PATH: &str = "/rentals";
pub const DELETE_PATH: &str = "/rentals/delete";
