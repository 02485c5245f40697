//! Messages of the cloud's API, which provisions, lists and deletes machines.

use super::{list_or_null, number, optional_number};
use crate::types::MachineId;
use serde::{Deserialize, Serialize};

/// Text in the body of a refusal that says that no machine of the requested kind is available.
pub const NO_CAPACITY: &str = "no capacity";
/// Path of the list of machine types.
pub const TYPES_PATH: &str = "/flavors";
/// Path of requests for instances and of the list of instances.
pub const INSTANCES_PATH: &str = "/rentals";
/// Path of requests to delete machines.
pub const DELETE_PATH: &str = "/rentals/delete";

/// Returns the path of one page of the list of machines, which begins after the given machine.
pub fn list_path(after: Option<&MachineId>) -> String {
    match after {
        Some(id) => format!("{INSTANCES_PATH}?after={id}&most=500"),
        None => format!("{INSTANCES_PATH}?most=500"),
    }
}

/// A type of machine, with its resources and price.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct MachineType {
    /// Name of the type.
    #[serde(rename = "sku")]
    pub name: String,
    /// CPUs.
    #[serde(rename = "cores", deserialize_with = "number")]
    pub cpus: f64,
    /// GPUs.
    #[serde(default, deserialize_with = "number")]
    pub gpus: f64,
    /// Memory.
    #[serde(deserialize_with = "number")]
    pub memory_gb: f64,
    /// Capacity of the image cache.
    #[serde(deserialize_with = "number")]
    pub cache_gb: f64,
    /// Rate at which a machine fetches images.
    #[serde(rename = "pull_gb_per_s", deserialize_with = "number")]
    pub fetch_gb_per_s: f64,
    /// Price per hour.
    #[serde(rename = "hourly", deserialize_with = "number")]
    pub price: f64,
    /// Price per hour of a spot instance, if the type is offered as spot instances.
    #[serde(rename = "market_price", default, deserialize_with = "optional_number")]
    pub spot_price: Option<f64>,
    /// Typical time from the request until the machine runs.
    #[serde(rename = "startup_s", deserialize_with = "number")]
    pub typical_startup_s: f64,
    /// Zones in which the type is offered.
    #[serde(rename = "berths", default, deserialize_with = "list_or_null")]
    pub zones: Vec<String>,
}

/// The list of machine types.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct MachineTypes {
    /// All types.
    #[serde(rename = "hulls")]
    pub types: Vec<MachineType>,
}

/// A request for machines. It is idempotent: requests with the same id return the same machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InstanceRequest {
    /// Id of the request, which no other request uses.
    #[serde(rename = "charter")]
    pub request: String,
    /// Name of the machine type.
    #[serde(rename = "hull")]
    pub machine_type: String,
    /// Zone of the machines.
    #[serde(rename = "berth")]
    pub zone: String,
    /// Whether to request spot instances, which the cloud may interrupt at any moment.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// Maximum number of machines.
    #[serde(rename = "number")]
    pub count: u32,
}

/// Names of machines: those provisioned for a request, or those to delete.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct MachineNames {
    /// Names of the machines.
    #[serde(rename = "hosts")]
    pub machines: Vec<MachineId>,
}

/// State of a listed machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum ListedState {
    /// It is being provisioned.
    #[serde(rename = "starting")]
    Booting,
    /// It runs.
    #[serde(rename = "running")]
    Running,
    /// It failed, or is in a state that this release doesn't know.
    #[serde(rename = "failed", other)]
    Failed,
}

/// A machine in the cloud's list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ListedMachine {
    /// Name of the machine.
    pub id: MachineId,
    /// Address of its agent, as soon as it is known.
    #[serde(default)]
    pub addr: Option<String>,
    /// Name of its type.
    #[serde(rename = "hull")]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "berth")]
    pub zone: String,
    /// Whether it is a spot instance.
    #[serde(rename = "driftwood", default)]
    pub spot: bool,
    /// Its state.
    #[serde(rename = "status")]
    pub state: ListedState,
    /// Time since it was requested.
    #[serde(rename = "held_s", default, deserialize_with = "number")]
    pub age_s: f64,
}

/// A page of the list of machines.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct MachineList {
    /// Machines in the order of their names.
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedMachine>,
    /// Whether another page follows.
    #[serde(default)]
    pub more: bool,
}
