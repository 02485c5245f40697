//! Demand, bin packing, scale out and in, provisioning estimates.

pub(crate) mod capacity;
pub(crate) mod leader;
pub(crate) mod provisioning;
pub(crate) mod scale_out;
