//! Demand, bin packing, scale out and in, provisioning estimates.

pub(crate) mod capacity;
pub(crate) mod leader;
pub(crate) mod provisioning;
pub(crate) mod scale_out;

use crate::protocol::cloud::MachineType;
use crate::types::{Micros, Resources};
use std::collections::BTreeMap;

/// A machine type with its resources worked out.
#[derive(Clone, Debug)]
pub(crate) struct TypeInfo {
    pub(crate) wire: MachineType,
    pub(crate) resources: Resources,
}

/// What the cloud offers, and the leader's plan for it.
pub(crate) struct Autoscaling {
    pub(crate) types: BTreeMap<String, TypeInfo>,
    pub(crate) types_requested_at: Micros,
    pub(crate) leader: leader::Leader,
    /// Number of the next call to the cloud.
    pub(crate) next_call: u64,
}

impl Default for Autoscaling {
    fn default() -> Autoscaling {
        Autoscaling {
            types: BTreeMap::new(),
            types_requested_at: Micros::ZERO,
            leader: leader::Leader::default(),
            next_call: 1,
        }
    }
}
