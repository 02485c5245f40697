//! Records of controllers: roles, their holders, and which controllers are alive.

use crate::types::FencingToken;
use serde::{Deserialize, Serialize};

/// What one controller at a time holds a lease of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// Leadership: registers machines, plans capacity, scales out and in.
    Leader,
    /// A shard: some machines, and the jobs of some teams, which are placed on them.
    Shard(u32),
}

/// Version of the rules by which a controller reads and writes records. Controllers from before it was announced
/// leave it out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RecordVersion(pub u32);

impl RecordVersion {
    /// Not announced.
    pub const FIRST: RecordVersion = RecordVersion(0);

    fn is_first(&self) -> bool {
        *self == RecordVersion::FIRST
    }
}

/// Who holds a role.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleRecord {
    /// Label of the controller.
    #[serde(rename = "o")]
    pub holder: String,
    /// Distinguishes the holder's process from earlier ones under the same label.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Drawn when the role was acquired or its token renewed.
    #[serde(rename = "t")]
    pub fencing_token: FencingToken,
    /// The version that the holder follows.
    #[serde(rename = "v", default, skip_serializing_if = "RecordVersion::is_first")]
    pub version: RecordVersion,
}

/// A controller that is alive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControllerRecord {
    /// Distinguishes its process from earlier ones.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// It is isolated: it can't reach the machines and should not be given shards.
    #[serde(rename = "u", default)]
    pub is_isolated: bool,
    /// The version that it follows.
    #[serde(rename = "v", default, skip_serializing_if = "RecordVersion::is_first")]
    pub version: RecordVersion,
}
