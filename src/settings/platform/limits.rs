//! Limits of the services that a controller calls, and of its own process.

use serde::Deserialize;

/// Part of the allowed size that a value is filled to.
const VALUE_FILL_RATIO: f64 = 0.97;

/// Limits of the store.
#[derive(Clone, Debug, Deserialize)]
pub struct StoreLimits {
    /// Requests per second.
    pub rps: f64,
    /// Writes per second.
    pub write_rps: f64,
    /// Size of a value.
    pub value_kb: f64,
    /// Writes in a transaction.
    pub txn_ops: usize,
    /// Limits that replace these at a moment that is not announced.
    #[serde(default)]
    pub next: Option<UpcomingLimits>,
}

/// Limits that replace others later; those that are not given stay.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct UpcomingLimits {
    /// Requests per second.
    pub rps: Option<f64>,
    /// Writes per second.
    pub write_rps: Option<f64>,
    /// Size of a value.
    pub value_kb: Option<f64>,
    /// Writes in a transaction.
    pub txn_ops: Option<usize>,
}

/// Limits of the cloud's API.
#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    /// Requests per second.
    pub rps: f64,
    /// Time by which its list of machines may be out of date.
    pub list_lag_s: f64,
}

/// Resources of one controller's process.
#[derive(Clone, Debug, Deserialize)]
pub struct Quota {
    /// Part of a CPU.
    #[serde(default)]
    pub cpu: f64,
    /// Memory.
    #[serde(default)]
    pub mem_mb: f64,
    /// Open files and sockets.
    pub fd_limit: usize,
}

impl StoreLimits {
    fn upcoming<T: Copy>(&self, limit: impl Fn(&UpcomingLimits) -> Option<T>) -> Option<T> {
        self.next.as_ref().and_then(limit)
    }

    /// Writes in a transaction that are allowed now and later.
    pub fn min_txn_ops(&self) -> usize {
        self.upcoming(|next| next.txn_ops).map_or(self.txn_ops, |next| next.min(self.txn_ops))
    }

    /// Size of a value in KiB that is allowed now and later.
    pub fn min_value_kb(&self) -> f64 {
        self.upcoming(|next| next.value_kb).map_or(self.value_kb, |next| next.min(self.value_kb))
    }

    /// Bytes that a value may have, with some to spare.
    pub fn value_bytes(&self) -> usize {
        (self.min_value_kb() * 1024.0 * VALUE_FILL_RATIO) as usize
    }

    /// Requests per second that are allowed now and later.
    pub fn min_rps(&self) -> f64 {
        self.upcoming(|next| next.rps).map_or(self.rps, |next| next.min(self.rps))
    }

    /// Writes per second that are allowed now and later.
    pub fn min_write_rps(&self) -> f64 {
        self.upcoming(|next| next.write_rps).map_or(self.write_rps, |next| next.min(self.write_rps))
    }
}

impl Quota {
    /// Number of sockets in a part of the limit, at least a few.
    pub fn part_of_sockets(&self, part: f64) -> usize {
        const MIN_SOCKETS: usize = 8;
        ((self.fd_limit as f64 * part) as usize).max(MIN_SOCKETS)
    }
}
