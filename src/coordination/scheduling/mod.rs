//! Order of jobs, candidate machines, placement and preemption.

pub mod placement;
pub(crate) mod preemption;
pub(crate) mod reclaim;
pub(crate) mod scheduling_order;
pub(crate) mod shard_view;
