//! Sockets, HTTP, peer links, and the limits this process keeps as a client.

pub mod calls;
pub mod client;
pub mod daemon;
pub mod limits;
pub mod server;
mod siblings;
pub mod zone_admin;
