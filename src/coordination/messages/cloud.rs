//! Calls to the cloud and their outcomes.

use crate::protocol::cloud::{InstanceRequest, MachineList, MachineNames, MachineTypes};
use crate::types::MachineId;

/// The outcome of a call to the cloud.
#[derive(Clone, Debug)]
pub enum CloudOutcome {
    /// The machine types.
    Types(MachineTypes),
    /// A page of the machine list.
    List(MachineList),
    /// The instances that were created.
    InstancesCreated(MachineNames),
    /// The cloud has no capacity for the requested instances now.
    NoCapacity,
    /// The machines are deleted, along with all tasks on them.
    Deleted,
    /// The call got no answer, or was refused.
    Failed,
}

/// A call to the cloud.
#[derive(Clone, Debug)]
pub enum CloudCall {
    /// Reads the machine types and their prices.
    Types,
    /// Reads a page of the machine list.
    List {
        /// The machine after which the page begins; `None` for the first page.
        after: Option<MachineId>,
    },
    /// Creates instances.
    CreateInstances(InstanceRequest),
    /// Deletes machines.
    Delete(Vec<MachineId>),
}
