//! Records of machines.

use crate::types::{FencingToken, MachineId};
use serde::{Deserialize, Serialize};

/// The current state of a machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Shard to which it belongs.
    #[serde(rename = "s")]
    pub shard: u32,
    /// Fencing token of the machine. Commands to the machine carry this or the shard's token, whichever is higher.
    #[serde(rename = "t")]
    pub fencing_token: FencingToken,
    /// Machine type, as named by the cloud.
    #[serde(rename = "h")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "z")]
    pub zone: String,
    /// Whether it is a spot instance, which the cloud may interrupt at any moment.
    #[serde(rename = "d")]
    pub spot: bool,
    /// Address of its agent.
    #[serde(rename = "a")]
    pub addr: String,
    /// Reason for the cordon while the machine is cordoned: no task may be started on it any more.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub cordon: Option<CordonReason>,
}

/// The reason why a machine is cordoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CordonReason {
    /// To be moved to another shard as soon as no attempt is recorded on it.
    #[serde(rename = "m")]
    MoveToShard(u32),
    /// Being drained, to be deleted as soon as no attempt is recorded on it.
    #[serde(rename = "r")]
    Retire,
    /// To be deleted together with any attempts on it.
    #[serde(rename = "k")]
    ForceDelete,
    /// Its deletion was confirmed. The record is kept as long as a batch names the machine.
    #[serde(rename = "g")]
    Deleted,
}

/// One of several machines that were registered together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineBatchMember {
    /// Id of the machine.
    #[serde(rename = "m")]
    pub id: MachineId,
    /// Record of the machine as it was registered.
    #[serde(flatten)]
    pub record: MachineRecord,
}
