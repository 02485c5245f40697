//! Wire messages. The names that only the wire knows live here and nowhere else.

pub mod cloud;
pub mod peer;
pub mod store;
pub mod user;
pub mod worker;

use serde::de::{DeserializeOwned, Error as _, Visitor};
use serde::{Deserializer, Serialize};
use std::fmt;

/// Content type of all bodies but those between controllers.
pub const CONTENT_TYPE_CBOR: &str = "application/cbor";
/// Path of the load balancer's health check.
pub const HEALTH_PATH: &str = "/healthz";
/// Limit of request bodies and of answers to users and workers.
pub const BODY_LIMIT: usize = 64 * 1024;

/// Why a body could not be read.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// It is no CBOR, or of another form.
    #[error("not a valid message: {0}")]
    Malformed(String),
}

/// Decodes one CBOR item that must fill the whole body.
pub fn decode<T: DeserializeOwned>(mut body: &[u8]) -> Result<T, WireError> {
    let value = ciborium::from_reader(&mut body).map_err(|e| WireError::Malformed(e.to_string()))?;
    if body.is_empty() { Ok(value) } else { Err(WireError::Malformed("trailing bytes".into())) }
}

/// A message as it goes over the wire.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut body = Vec::with_capacity(256);
    // Writing to a Vec can't fail and all our types have text keys.
    let _ = ciborium::into_writer(value, &mut body);
    body
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

/// Amounts come as decimal numbers or, where whole, perhaps as integers.
pub(crate) fn number<'de, D: Deserializer<'de>>(d: D) -> Result<f64, D::Error> {
    let v = d.deserialize_any(NumberVisitor)?;
    if v.is_finite() { Ok(v) } else { Err(D::Error::custom("not finite")) }
}

pub(crate) fn maybe_number<'de, D: Deserializer<'de>>(d: D) -> Result<Option<f64>, D::Error> {
    #[derive(serde::Deserialize)]
    struct N(#[serde(deserialize_with = "number")] f64);
    let v: Option<N> = serde::Deserialize::deserialize(d)?;
    Ok(v.map(|n| n.0))
}

/// Lists that may be null or left out.
pub(crate) fn list<'de, D: Deserializer<'de>, T: serde::Deserialize<'de>>(d: D) -> Result<Vec<T>, D::Error> {
    let v: Option<Vec<T>> = serde::Deserialize::deserialize(d)?;
    Ok(v.unwrap_or_default())
}
