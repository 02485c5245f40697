//! Records of machines.

use crate::types::{FencingToken, MachineId};
use serde::{Deserialize, Serialize};

/// A machine as it stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Shard that it belongs to.
    #[serde(rename = "s")]
    pub shard: u32,
    /// Commands to this machine carry this or the shard's fencing token, whichever is higher.
    #[serde(rename = "t")]
    pub fencing_token: FencingToken,
    /// Its type, as the cloud names it.
    #[serde(rename = "h")]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Whether it is a spot instance, which the cloud may interrupt at any moment.
    #[serde(rename = "d")]
    pub spot: bool,
    /// Address of its agent.
    #[serde(rename = "a")]
    pub addr: String,
    /// Set while the machine is cordoned: nothing may be started there any more.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub cordon: Option<CordonReason>,
}

/// Why a machine is cordoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CordonReason {
    /// To be given to another shard as soon as nothing is recorded on it.
    #[serde(rename = "m")]
    MoveToShard(u32),
    /// Drained: to be deleted as soon as nothing is recorded on it.
    #[serde(rename = "r")]
    Retire,
    /// To be deleted with whatever may be on it.
    #[serde(rename = "k")]
    ForceDelete,
    /// Its deletion was confirmed. The record stays as long as a batch still names the machine.
    #[serde(rename = "g")]
    Deleted,
}

/// One of several machines that were registered together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineBatchMember {
    /// The machine.
    #[serde(rename = "m")]
    pub id: MachineId,
    /// As it was registered.
    #[serde(flatten)]
    pub record: MachineRecord,
}
