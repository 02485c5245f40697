//! The replica of the store: initial and fresh reads, evidence, transactions and the write budget.

pub mod budget;
pub(crate) mod evidence;
pub(crate) mod garbage_collection;
pub(crate) mod reads;
pub(crate) mod records;
pub(crate) mod txns;

use crate::settings::{Platform, Policy};
use crate::storage::{Replica, schema};
use crate::types::Micros;

/// What this controller knows of the store, and what it is about to ask or write.
pub(crate) struct StoreSync {
    pub(crate) replica: Replica,
    /// In which questions come and calls leave.
    pub(crate) order: evidence::LogicalClock,
    pub(crate) sync: reads::Sync,
    /// When the stored records had been read.
    pub(crate) synced_at: Micros,
    pub(crate) reads: reads::Reads,
    pub(crate) txns: txns::Txns,
    /// Limits the rate of changes.
    pub(crate) budget: budget::Budget,
    pub(crate) last_ticket: u64,
    /// Last answer of the store that was no refusal.
    pub(crate) last_answered_at: Micros,
    /// Tasks per run chunk.
    pub(crate) chunk_tasks: u32,
}

impl StoreSync {
    pub(crate) fn new(platform: &Platform, policy: &Policy) -> StoreSync {
        let limits = &platform.deployment.store;
        StoreSync {
            replica: Replica::default(),
            order: evidence::LogicalClock::default(),
            sync: reads::Sync::default(),
            synced_at: Micros::ZERO,
            reads: reads::Reads::default(),
            txns: txns::Txns::default(),
            budget: budget::Budget::new(
                limits.write_rps,
                limits.min_write_rps(),
                platform.deployment.controller_count,
                policy.state_limits_together,
            ),
            last_ticket: 0,
            last_answered_at: Micros::ZERO,
            chunk_tasks: schema::chunk_tasks(limits.value_kb),
        }
    }
}
