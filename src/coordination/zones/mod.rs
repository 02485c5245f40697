//! Conditions of zones, evacuation and gradual return.

pub(crate) mod evacuation;
pub(crate) mod rebalancing;
pub(crate) mod zone_control;
