//! Calls to the cloud, and how they end.

use crate::protocol::cloud::{InstanceRequest, MachineList, MachineNames, MachineTypes};
use crate::types::MachineId;

/// How a call to the cloud ended.
#[derive(Clone, Debug)]
pub enum CloudOutcome {
    /// The types of machines.
    Types(MachineTypes),
    /// A page of the list of machines.
    List(MachineList),
    /// Instances that were created.
    InstancesCreated(MachineNames),
    /// The cloud has no instance of this offer now.
    NoCapacity,
    /// The machines are deleted, with all that was on them.
    Deleted,
    /// Without an answer, or refused.
    Failed,
}

/// A call to the cloud.
#[derive(Clone, Debug)]
pub enum CloudCall {
    /// The types of machines and their prices.
    Types,
    /// A page of the list of machines.
    List {
        /// Begins after this machine.
        after: Option<MachineId>,
    },
    /// To create instances.
    CreateInstances(InstanceRequest),
    /// To delete machines.
    Delete(Vec<MachineId>),
}
