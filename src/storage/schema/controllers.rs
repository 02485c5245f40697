//! Records of controllers: roles and their holders, and the controllers that are alive.

use crate::types::FencingToken;
use serde::{Deserialize, Serialize};

/// A duty that is leased to one controller at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// Leadership: the leader registers machines, plans capacity, and scales the cluster out and in.
    Leader,
    /// A shard: a set of machines, and the teams whose jobs are placed on them.
    Shard(u32),
}

/// Version of the rules by which a controller reads and writes records. Controllers that predate record versions leave
/// it out of their records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RecordVersion(pub u32);

impl RecordVersion {
    /// The version of controllers whose records contain none.
    pub const FIRST: RecordVersion = RecordVersion(0);

    fn is_first(&self) -> bool {
        *self == RecordVersion::FIRST
    }
}

/// The holder of a role.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleRecord {
    /// Label of the holder.
    #[serde(rename = "o")]
    pub holder: String,
    /// Distinguishes the holder's process from earlier ones under the same label.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Fencing token drawn when the role was acquired or its token was last renewed.
    #[serde(rename = "t")]
    pub fencing_token: FencingToken,
    /// Record version that the holder follows.
    #[serde(rename = "v", default, skip_serializing_if = "RecordVersion::is_first")]
    pub version: RecordVersion,
}

/// A controller that is alive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControllerRecord {
    /// Distinguishes the controller's process from earlier ones under the same label.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Whether it is isolated: it can't reach the machines and should not be given shards.
    #[serde(rename = "u", default)]
    pub is_isolated: bool,
    /// Record version that it follows.
    #[serde(rename = "v", default, skip_serializing_if = "RecordVersion::is_first")]
    pub version: RecordVersion,
}
