//! Everything around the controllers, on loopback: a store, a cloud and workers that stand in for the real ones,
//! users that load the service, and a checker of what happened. The controllers are real processes of the built program.
//!
//! The stand-ins keep to the protocol's page as far as the scenarios need it. Each run has ports of its own, ends its own
//! processes by their ids, and waits for conditions, never for fixed times.

pub mod cloud;
pub mod cluster;
pub mod history;
pub mod http;
pub mod link;
pub mod report;
pub mod scenarios;
pub mod soak;
pub mod store;
pub mod troubles;
pub mod users;
pub mod worker;
