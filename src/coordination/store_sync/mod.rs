//! The replica of the store: initial and fresh reads, evidence, transactions and the write budget.

pub mod budget;
pub(crate) mod evidence;
pub(crate) mod garbage_collection;
pub(crate) mod reads;
pub(crate) mod records;
pub(crate) mod txns;
