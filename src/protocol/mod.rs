//! Wire formats of messages and their validation.
//!
//! Owns: the names that are used only on the wire (fields by `serde(rename)`, paths and texts by constants) and the
//! bounds of values in messages. Guarantees: decoding any bytes returns a message or a [`WireError`] and never panics.
//!
//! * [`user`]: submissions, status and cancellation of jobs;
//! * [`agent`]: heartbeats of agents and commands to them;
//! * [`store`]: the key-value store's API;
//! * [`cloud`]: the cloud's API;
//! * [`peer`]: messages between controllers.

pub mod agent;
pub mod cloud;
pub mod peer;
pub mod store;
pub mod user;

use serde::de::{DeserializeOwned, Error as _, Visitor};
use serde::{Deserialize, Deserializer, Serialize};
use std::{fmt, io};

/// Content type of all bodies except those between controllers.
pub const CONTENT_TYPE_CBOR: &str = "application/cbor";
/// Path of the load balancer's health check.
pub const HEALTH_PATH: &str = "/healthz";
/// Limit of request bodies and of responses to users and agents, in bytes.
pub const BODY_LIMIT: usize = 64 * 1024;

/// Error in a body that is not a valid message.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The body is not CBOR, or a field is missing or has another type.
    #[error("not a valid message: {0}")]
    Malformed(#[source] ciborium::de::Error<io::Error>),
    /// Further bytes follow the message.
    #[error("not a valid message: trailing bytes")]
    TrailingBytes,
    /// A value is out of its bounds.
    #[error("not a valid message: {0}")]
    OutOfBounds(&'static str),
}

/// Decodes a body that must consist of exactly one CBOR item.
pub fn decode<T: DeserializeOwned>(mut body: &[u8]) -> Result<T, WireError> {
    let value = ciborium::from_reader(&mut body).map_err(WireError::Malformed)?;
    if body.is_empty() { Ok(value) } else { Err(WireError::TrailingBytes) }
}

/// Encodes a message as CBOR.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut body = Vec::with_capacity(256);
    // Writing to a Vec can't fail, and all message types have text keys.
    let _ = ciborium::into_writer(value, &mut body);
    body
}

/// Counts the bytes written to it.
struct ByteCounter(usize);

impl io::Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns the size of a message in JSON, the form in which the protocol counts sizes.
pub fn json_size<T: Serialize + ?Sized>(value: &T) -> usize {
    let mut counter = ByteCounter(0);
    // The counter accepts everything, and all message types have text keys.
    let _ = serde_json::to_writer(&mut counter, value);
    counter.0
}

struct NumberVisitor;

impl Visitor<'_> for NumberVisitor {
    type Value = f64;
    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a number")
    }
    fn visit_f64<E>(self, v: f64) -> Result<f64, E> {
        Ok(v)
    }
    fn visit_u64<E>(self, v: u64) -> Result<f64, E> {
        Ok(v as f64)
    }
    fn visit_i64<E>(self, v: i64) -> Result<f64, E> {
        Ok(v as f64)
    }
}

/// Reads a finite number. Senders may encode a whole amount as an integer.
pub(crate) fn number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    let value = deserializer.deserialize_any(NumberVisitor)?;
    if value.is_finite() { Ok(value) } else { Err(D::Error::custom("not finite")) }
}

/// Reads a finite number that may be null.
pub(crate) fn optional_number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<f64>, D::Error> {
    #[derive(Deserialize)]
    struct Number(#[serde(deserialize_with = "number")] f64);
    let value: Option<Number> = Deserialize::deserialize(deserializer)?;
    Ok(value.map(|number| number.0))
}

/// Reads a list that may be null; null counts as an empty list.
pub(crate) fn list_or_null<'de, D: Deserializer<'de>, T: Deserialize<'de>>(
    deserializer: D,
) -> Result<Vec<T>, D::Error> {
    let value: Option<Vec<T>> = Deserialize::deserialize(deserializer)?;
    Ok(value.unwrap_or_default())
}
