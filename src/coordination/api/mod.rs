//! Client requests: how they are answered, and which are pending.
//!
//! Owns the pending requests and the submissions that are being written. Reads the replica and the job outcomes of
//! [`crate::coordination::jobs`]. Guarantees that a state that is not final is only reported once the replica is fresh
//! enough (see [`crate::coordination::store_sync::evidence`]), and that each request is answered once. Requests are
//! idempotent: repeating a request has the same effect as sending it once.

pub(crate) mod batches;
pub(crate) mod requests;
pub(crate) mod submissions;

use crate::coordination::store_sync::evidence::{Evidence, LogicalTime};
use crate::coordination::{RequestId, UserAnswer};
use crate::protocol::user::JobSpec;
use crate::types::{JobId, Revision};
use std::collections::HashMap;
use submissions::Submissions;

/// The answer that asks the client to retry after one second.
pub(crate) const UNAVAILABLE: UserAnswer = UserAnswer::Unavailable { retry_after_s: 1 };

/// A request that has yet to be answered, and the logical time at which it was received.
#[derive(Clone, Copy)]
pub(crate) struct ReceivedRequest {
    pub request_id: RequestId,
    pub received_at: LogicalTime,
}

/// The part of a request that is processed once the replica is fresh.
pub(crate) enum Query {
    /// Asks for the status of a job.
    Status(JobId),
    /// Asks for the status of a submitted job if it is known; otherwise the job is accepted or refused. An unknown job
    /// without a specification is always refused.
    Submission(JobId, Option<Box<JobSpec>>),
    /// Asks for the status of a job whose submission was written, by this controller or a sibling.
    WrittenSubmission {
        id: JobId,
        /// Whether this request caused the write.
        is_first: bool,
    },
    /// Asks for the cancellation of a job.
    Cancellation(JobId),
}

impl Query {
    /// Returns the job that the query concerns.
    pub(crate) fn job(&self) -> &JobId {
        match self {
            Query::Status(id) | Query::Submission(id, _) | Query::Cancellation(id) => id,
            Query::WrittenSubmission { id, .. } => id,
        }
    }
}

/// A request that waits until the replica is fresh.
struct PendingRequest {
    request: ReceivedRequest,
    query: Query,
    /// The revision that the replica must reach before the request is answered: one that the stored records had after
    /// the request was received. `None` until an answer of the store has named such a revision.
    required_revision: Option<Revision>,
}

/// Client requests that have yet to be answered.
#[derive(Default)]
pub(crate) struct Api {
    pending: Vec<PendingRequest>,
    submissions: Submissions,
    /// Requests that wait for the transaction that cancels their job.
    cancelling: HashMap<JobId, Vec<RequestId>>,
}

impl Api {
    /// Whether a request waits for a fresh read.
    pub(crate) fn needs_read(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Keeps a request pending until the replica is fresh. `required_revision` is a revision that the stored records
    /// had after the request was received, if one is known already.
    pub(crate) fn wait_for_replica(
        &mut self,
        request: ReceivedRequest,
        query: Query,
        required_revision: Option<Revision>,
    ) {
        self.pending.push(PendingRequest { request, query, required_revision });
    }

    /// Sets the required revision, where it is not known yet, of the pending requests that were received before an
    /// answered read was sent.
    pub(crate) fn note_read_evidence(&mut self, evidence: &Evidence) {
        for pending in &mut self.pending {
            let proven = evidence.revision_after(pending.request.received_at);
            pending.required_revision = pending.required_revision.or(proven);
        }
    }

    /// Returns the submissions that are being written.
    pub(crate) fn submissions(&self) -> &Submissions {
        &self.submissions
    }

    /// Updates the submissions after the replica has reached a revision.
    pub(crate) fn replica_reached(&mut self, applied: Revision) {
        self.submissions.replica_reached(applied);
    }

    /// Removes and returns all pending requests, before this controller restarts its initial sync.
    pub(crate) fn drain_pending(&mut self) -> Vec<RequestId> {
        let pending = self.pending.drain(..).map(|pending| pending.request.request_id);
        let submissions = self.submissions.drain_pending();
        let cancelling = std::mem::take(&mut self.cancelling).into_values().flatten();
        pending.chain(submissions).chain(cancelling).collect()
    }
}
