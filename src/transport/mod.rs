//! Everything of a controller that does I/O: sockets, HTTP, calls to other services, and the loop that drives the
//! state machine in [`crate::coordination`].
//!
//! Owns: listeners, connections, timeouts, the queues in front of the controller, and the rate limits that this
//! process keeps as a client. Reads: the settings. Promises: the controller is called from one task only, with one
//! input at a time, and each of its effects is carried out in the order in which it was returned.
//!
//! * [`daemon`]: the main loop, from queued requests to effects;
//! * `server`: accepts connections, limits them, and routes requests;
//! * `request_queue` and `reply`: what the server hands to the main loop, and what it sends back;
//! * `siblings`: calls to the other controllers, and whether they reach the store;
//! * `calls`: calls to the store, the cloud and the agents;
//! * [`client`]: an HTTP client with pooled connections;
//! * [`rate_limit`]: token buckets with priorities;
//! * [`zone_admin`]: the command line's view of zones.

mod calls;
pub mod client;
pub mod daemon;
pub mod rate_limit;
mod reply;
mod request_queue;
mod server;
mod siblings;
pub mod zone_admin;
