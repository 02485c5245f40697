//! Records of what became of jobs.

use crate::types::Micros;
use serde::{Deserialize, Serialize};

/// What became of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// All its tasks have completed.
    #[serde(rename = "done")]
    Done,
    /// Cancelled by its user, or with a job that it depends on.
    #[serde(rename = "cancelled")]
    Cancelled,
}

/// What became of a job, as its key holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredOutcome", into = "StoredOutcome")]
pub struct OutcomeRecord {
    /// What became of it.
    pub outcome: Outcome,
    /// Time of day before which no user was told: whatever has to be over by some time after that can be
    /// counted from it, also by a controller that only reads it later.
    pub at: Micros,
}

impl OutcomeRecord {
    /// The outcome of a job all of whose tasks have completed.
    pub fn done() -> OutcomeRecord {
        OutcomeRecord { outcome: Outcome::Done, at: Micros::ZERO }
    }

    /// The outcome of a job that was cancelled at that time of day.
    pub fn cancelled(at: Micros) -> OutcomeRecord {
        OutcomeRecord { outcome: Outcome::Cancelled, at }
    }
}

/// As it is stored: where no time matters, the bare outcome.
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
