//! The I/O of a controller: sockets, HTTP, calls to other services, and the loop that drives the state machine in
//! [`crate::coordination`].
//!
//! Owns: listeners, connections, timeouts, the queues of inputs for the controller, and the client-side rate limits of
//! this process. Reads: the settings. Guarantees: the controller is called from one task only, with one input at a
//! time, and its effects are executed in the order in which they were returned.
//!
//! * [`daemon`]: the main loop, which passes queued requests to the controller and executes its effects;
//! * `server`: accepts connections, limits them, and routes requests;
//! * `request_queue` and `reply`: queues from the server to the main loop, and replies to requests;
//! * `siblings`: calls to the other controllers, and checks of whether they reach the store;
//! * `calls`: calls to the store, the cloud and the agents;
//! * [`client`]: an HTTP client with pooled connections;
//! * [`rate_limit`]: token buckets with priorities;
//! * [`zone_admin`]: the command `burlhatch zones`.

mod calls;
pub mod client;
pub mod daemon;
pub mod rate_limit;
mod reply;
mod request_queue;
mod server;
mod siblings;
pub mod zone_admin;
