//! Limits this process keeps towards a service, with precedence among its own calls.

use crate::types::Micros;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// The more important may use up what the others must leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Renewals of the session: always first.
    Renewal,
    /// Changes.
    Transaction,
    /// Whatever else is read.
    Read,
}

impl Class {
    /// Part of a full bucket this class leaves for those above it.
    fn reserve(self) -> f64 {
        match self {
            Class::Renewal => 0.0,
            Class::Transaction => 0.2,
            Class::Read => 0.3,
        }
    }
}

/// A bucket of fencing tokens in pure arithmetic; time comes from the caller.
#[derive(Clone, Debug)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: Micros,
}

impl Bucket {
    /// That many in a second, and so many at once.
    pub fn new(rate: f64, burst: f64) -> Bucket {
        Bucket { rate, burst, level: burst, at: Micros::ZERO }
    }

    /// Takes `cost`, or says how long to wait before asking again.
    pub fn take(&mut self, now: Micros, cost: f64, class: Class) -> Result<(), Micros> {
        self.level = (self.level + now.since(self.at).secs() * self.rate).min(self.burst);
        self.at = self.at.max(now);
        // A cost above the burst goes through once the bucket is full, and leaves it in debt.
        let floor = (cost + self.burst * class.reserve()).min(self.burst);
        if self.level >= floor {
            self.level -= cost;
            return Ok(());
        }
        Err(Micros::from_secs_f64((floor - self.level) / self.rate).max(Micros::from_millis(1)))
    }
}

/// A bucket that calls wait for.
pub struct Limiter {
    bucket: Mutex<Bucket>,
    began: Instant,
}

impl Limiter {
    /// That many in a second, and so many at once.
    pub fn new(rate: f64, burst: f64) -> Limiter {
        Limiter { bucket: Mutex::new(Bucket::new(rate, burst)), began: Instant::now() }
    }

    /// Waits for its turn, at most `patience`; false if that did not suffice.
    pub async fn acquire(&self, cost: f64, class: Class, patience: Duration) -> bool {
        let deadline = Instant::now() + patience;
        loop {
            let now = Micros(self.began.elapsed().as_micros() as u64);
            let wait = match self.bucket.lock().unwrap_or_else(PoisonError::into_inner).take(now, cost, class) {
                Ok(()) => return true,
                Err(wait) => Duration::from_micros(wait.0),
            };
            if Instant::now() + wait > deadline {
                return false;
            }
            tokio::time::sleep(wait).await;
        }
    }
}
