//! Records of the outcomes of jobs.

use crate::types::Micros;
use serde::{Deserialize, Serialize};

/// The outcome of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// All its tasks have completed.
    #[serde(rename = "done")]
    Done,
    /// Cancelled by its user, or with a job that it depends on.
    #[serde(rename = "cancelled")]
    Cancelled,
}

/// The outcome of a job, as stored under its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredOutcome", into = "StoredOutcome")]
pub struct OutcomeRecord {
    /// Outcome of the job.
    pub outcome: Outcome,
    /// Time of day before which no user was notified of the outcome. A deadline that starts with that notification can
    /// be counted from this time, also by a controller that reads the record later.
    pub at: Micros,
}

impl OutcomeRecord {
    /// Returns the outcome of a job whose tasks have all completed.
    pub fn done() -> OutcomeRecord {
        OutcomeRecord { outcome: Outcome::Done, at: Micros::ZERO }
    }

    /// Returns the outcome of a job that was cancelled at a time of day.
    pub fn cancelled(at: Micros) -> OutcomeRecord {
        OutcomeRecord { outcome: Outcome::Cancelled, at }
    }
}

/// The stored form of [`OutcomeRecord`]: the outcome without a time where the time doesn't matter.
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum StoredOutcome {
    Bare(Outcome),
    At {
        #[serde(rename = "o")]
        outcome: Outcome,
        #[serde(rename = "at")]
        at: Micros,
    },
}

impl From<StoredOutcome> for OutcomeRecord {
    fn from(stored: StoredOutcome) -> OutcomeRecord {
        match stored {
            StoredOutcome::Bare(outcome) => OutcomeRecord { outcome, at: Micros::ZERO },
            StoredOutcome::At { outcome, at } => OutcomeRecord { outcome, at },
        }
    }
}

impl From<OutcomeRecord> for StoredOutcome {
    fn from(record: OutcomeRecord) -> StoredOutcome {
        match record.at {
            Micros::ZERO => StoredOutcome::Bare(record.outcome),
            at => StoredOutcome::At { outcome: record.outcome, at },
        }
    }
}
