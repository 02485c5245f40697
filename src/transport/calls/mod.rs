//! Calls to the services that a controller depends on, and to agents. Each takes a request of the controller and
//! returns its outcome as an input for the controller.
//!
//! Owns: the client-side rate limits for the store and the cloud, and the timeouts of calls. Guarantees: an outcome is
//! [`CallFailure::NotExecuted`] only if the request has certainly not been executed and can't be executed later.

mod agent;
mod cloud;
mod store;

pub(super) use agent::AgentClient;
pub(super) use cloud::CloudClient;
pub(super) use store::StoreClient;

use super::client::{CallError, HttpResponse};
use crate::coordination::CallFailure;
use serde::de::DeserializeOwned;

impl From<CallError> for CallFailure {
    fn from(error: CallError) -> CallFailure {
        if error.was_sent() { CallFailure::Indeterminate } else { CallFailure::NotExecuted }
    }
}

/// Decodes a response. Logs an error and returns `None` if that fails.
fn decode_or_log<T: DeserializeOwned>(response: &HttpResponse) -> Option<T> {
    response.decode().map_err(|error| tracing::error!(%error, "response could not be decoded")).ok()
}
