//! Client-side rate limits for calls to a service, with priorities among the calls.

use crate::types::Micros;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Priority of a call. Calls of higher priority may use tokens that are reserved from calls of lower priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallPriority {
    /// Calls whose delay would cost a lease or break a guarantee to a user. They may use all tokens.
    Critical,
    /// Other calls that make changes.
    Write,
    /// Calls that only read.
    Read,
}

impl CallPriority {
    /// Returns the fraction of a full bucket that calls of this priority leave to calls of higher priority.
    fn reserved_part(self) -> f64 {
        match self {
            CallPriority::Critical => 0.0,
            CallPriority::Write => 0.2,
            CallPriority::Read => 0.3,
        }
    }
}

/// A token bucket without a clock of its own; the caller supplies the time.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    tokens_per_second: f64,
    capacity: f64,
    tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// Creates a full bucket with a capacity and a refill rate.
    pub fn new(tokens_per_second: f64, capacity: f64) -> TokenBucket {
        TokenBucket { tokens_per_second, capacity, tokens: capacity, refilled_at: Micros::ZERO }
    }

    /// Takes `cost` tokens, or returns the time to wait before the next attempt.
    pub fn take(&mut self, now: Micros, cost: f64, priority: CallPriority) -> Result<(), Micros> {
        self.refill(now);
        // A cost above the capacity is granted once the bucket is full, and makes its level negative.
        let needed = (cost + self.capacity * priority.reserved_part()).min(self.capacity);
        if self.tokens >= needed {
            self.tokens -= cost;
            return Ok(());
        }
        Err(Micros::from_secs_f64((needed - self.tokens) / self.tokens_per_second).max(Micros::from_millis(1)))
    }

    fn refill(&mut self, now: Micros) {
        let added = now.since(self.refilled_at).secs() * self.tokens_per_second;
        self.tokens = (self.tokens + added).min(self.capacity);
        self.refilled_at = self.refilled_at.max(now);
    }
}

/// A token bucket shared by calls that wait for their tokens.
pub struct RateLimiter {
    bucket: Mutex<TokenBucket>,
    created_at: Instant,
}

impl RateLimiter {
    /// Creates a limiter that allows `calls_per_second`, with bursts of up to `capacity` calls.
    pub fn new(calls_per_second: f64, capacity: f64) -> RateLimiter {
        RateLimiter { bucket: Mutex::new(TokenBucket::new(calls_per_second, capacity)), created_at: Instant::now() }
    }

    /// Waits until a call is allowed. Returns false if that would take longer than `max_wait`.
    pub async fn acquire(&self, cost: f64, priority: CallPriority, max_wait: Duration) -> bool {
        let deadline = Instant::now() + max_wait;
        loop {
            let Err(wait) = self.try_acquire(cost, priority) else { return true };
            if Instant::now() + wait > deadline {
                return false;
            }
            tokio::time::sleep(wait).await;
        }
    }

    /// Takes the tokens now, or returns the time to wait for them.
    fn try_acquire(&self, cost: f64, priority: CallPriority) -> Result<(), Duration> {
        let now = Micros(self.created_at.elapsed().as_micros() as u64);
        let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
        bucket.take(now, cost, priority).map_err(|wait| Duration::from_micros(wait.0))
    }
}
