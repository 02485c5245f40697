//! Limits of the services that a controller calls, and of its own process.

use serde::Deserialize;

/// Fraction of the allowed size up to which values and transactions are filled.
const FILL_RATIO: f64 = 0.97;
/// Maximum size of a transaction in KiB, which is the same in all deployments.
const TXN_KB: f64 = 64.0;
const BYTES_PER_KB: f64 = 1024.0;

/// Limits of the store.
#[derive(Clone, Debug, Deserialize)]
pub struct StoreLimits {
    /// Requests per second.
    pub rps: f64,
    /// Writes per second.
    pub write_rps: f64,
    /// Maximum size of a value in KiB.
    pub value_kb: f64,
    /// Maximum number of writes in a transaction.
    pub txn_ops: usize,
    /// Limits that replace these at an unannounced time.
    #[serde(default)]
    pub next: Option<UpcomingLimits>,
}

/// Limits that replace the current ones later. A limit that is not given stays as it is.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct UpcomingLimits {
    /// Requests per second.
    pub rps: Option<f64>,
    /// Writes per second.
    pub write_rps: Option<f64>,
    /// Maximum size of a value in KiB.
    pub value_kb: Option<f64>,
    /// Maximum number of writes in a transaction.
    pub txn_ops: Option<usize>,
}

/// Limits of the cloud's API.
#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    /// Requests per second.
    pub rps: f64,
    /// Maximum time by which its list of machines may be out of date.
    pub list_lag_s: f64,
}

/// Resources of one controller's process.
#[derive(Clone, Debug, Deserialize)]
pub struct Quota {
    /// CPUs; may be a fraction of one.
    #[serde(default)]
    pub cpu: f64,
    /// Memory in MB.
    #[serde(default)]
    pub mem_mb: f64,
    /// Maximum number of open files and sockets.
    pub fd_limit: usize,
}

impl StoreLimits {
    fn upcoming<T: Copy>(&self, limit: impl Fn(&UpcomingLimits) -> Option<T>) -> Option<T> {
        self.next.as_ref().and_then(limit)
    }

    /// Returns the number of writes in a transaction that both the current and the upcoming limits allow.
    pub fn min_txn_ops(&self) -> usize {
        self.upcoming(|next| next.txn_ops).map_or(self.txn_ops, |next| next.min(self.txn_ops))
    }

    /// Returns the size of a value in KiB that both the current and the upcoming limits allow.
    pub fn min_value_kb(&self) -> f64 {
        self.upcoming(|next| next.value_kb).map_or(self.value_kb, |next| next.min(self.value_kb))
    }

    /// Returns the size in bytes up to which values are filled, which is a little less than allowed.
    pub fn value_bytes(&self) -> usize {
        (self.min_value_kb() * BYTES_PER_KB * FILL_RATIO) as usize
    }

    /// Returns the size in bytes up to which transactions are filled, which is a little less than allowed.
    pub fn txn_bytes(&self) -> usize {
        (TXN_KB * BYTES_PER_KB * FILL_RATIO) as usize
    }

    /// Returns the requests per second that both the current and the upcoming limits allow.
    pub fn min_rps(&self) -> f64 {
        self.upcoming(|next| next.rps).map_or(self.rps, |next| next.min(self.rps))
    }

    /// Returns the writes per second that both the current and the upcoming limits allow.
    pub fn min_write_rps(&self) -> f64 {
        self.upcoming(|next| next.write_rps).map_or(self.write_rps, |next| next.min(self.write_rps))
    }
}

impl Quota {
    /// Returns the number of sockets that a fraction of the limit amounts to, at least `MIN_SOCKETS`.
    pub fn part_of_sockets(&self, fraction: f64) -> usize {
        const MIN_SOCKETS: usize = 8;
        ((self.fd_limit as f64 * fraction) as usize).max(MIN_SOCKETS)
    }
}
