//! The rule of linearizable reads: which answers of the store permit which answers to users.
//!
//! An outcome is written once, so any controller that knows it may answer with it at any time. Every other answer
//! (accepted, queued, running, never accepted, refused) implies that something had not happened yet, and must not be
//! older than any answer that a controller gave before the request was received. It therefore requires a call to the
//! store that was sent after the request was received, and a replica that has reached the revision in the call's
//! answer.
//!
//! [`FreshnessProof`] represents both requirements. It can only be obtained from [`Evidence`], and evidence only from
//! the answer to a call.

use crate::types::Revision;

/// A position in the order in which this controller receives requests and sends calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LogicalTime(u64);

/// The source of logical times.
#[derive(Debug, Default)]
pub(crate) struct LogicalClock(u64);

impl LogicalClock {
    /// Returns the next logical time, which is later than all earlier ones.
    pub fn tick(&mut self) -> LogicalTime {
        self.0 += 1;
        LogicalTime(self.0)
    }
}

/// What an answered call proves: the store was at this revision at some time after the call was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Evidence {
    sent_at: LogicalTime,
    revision: Revision,
}

/// Permission to answer one request from the replica's current state.
#[derive(Debug)]
pub(crate) struct FreshnessProof(());

impl Evidence {
    /// Creates evidence from a read, a commit or a failed precondition, each with the revision in its answer.
    pub fn new(sent_at: LogicalTime, revision: Revision) -> Evidence {
        Evidence { sent_at, revision }
    }

    /// Returns the revision in the call's answer.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns a revision that the store had after the request was received, if the call was sent later than that.
    pub fn revision_after(&self, requested_at: LogicalTime) -> Option<Revision> {
        (requested_at < self.sent_at).then_some(self.revision)
    }

    /// Returns a proof for a job that the call itself accepted under the precondition that the job has no outcome. The
    /// precondition held at the commit's revision whether or not the replica has reached it. The proof doesn't cover
    /// jobs with dependencies, whose state also follows from the outcomes of other jobs.
    pub fn accepted_job_proof(&self, requested_at: LogicalTime) -> Option<FreshnessProof> {
        self.revision_after(requested_at).map(|_| FreshnessProof(()))
    }
}

/// Returns a proof for any job once the replica has reached `known`, a revision that the store had after the request
/// was received.
pub(crate) fn proof_once_reached(known: Option<Revision>, applied: Revision) -> Option<FreshnessProof> {
    known.is_some_and(|revision| revision <= applied).then_some(FreshnessProof(()))
}
