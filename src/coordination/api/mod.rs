//! Requests of users: their answers, and the requests that wait for one.
//!
//! Owns the pending requests, and the submissions that are being written. Reads the replica, and the outcomes of
//! [`crate::coordination::jobs`]. Promises that a user is told nothing that is not final unless the replica is fresh
//! enough for it (see [`crate::coordination::store_sync::evidence`]), and that each request is answered once. Requests
//! are idempotent: one that repeats another has the same effect as the first alone.

pub(crate) mod batches;
pub(crate) mod requests;
pub(crate) mod submissions;

use crate::coordination::store_sync::evidence::{Evidence, LogicalTime};
use crate::coordination::{RequestId, UserAnswer};
use crate::protocol::user::JobSpec;
use crate::types::{JobId, Revision};
use std::collections::HashMap;
use submissions::Submissions;

/// The answer to whoever should ask again shortly.
pub(crate) const UNAVAILABLE: UserAnswer = UserAnswer::Unavailable { retry_after_s: 1 };

/// A request that is to be answered, and when it came.
#[derive(Clone, Copy)]
pub(crate) struct ReceivedRequest {
    pub request_id: RequestId,
    pub received_at: LogicalTime,
}

/// What a request asks for once the replica is fresh.
pub(crate) enum Query {
    /// How a job stands.
    Status(JobId),
    /// Whether a submitted job is known; if not, it is accepted or refused. Without a specification it can only be
    /// refused.
    Submission(JobId, Option<Box<JobSpec>>),
    /// How a job stands whose submission was written, by this controller or another.
    WrittenSubmission {
        id: JobId,
        /// Whether this very request had it written.
        is_first: bool,
    },
    /// To have a job cancelled.
    Cancellation(JobId),
}

impl Query {
    /// The job that it is about.
    pub(crate) fn job(&self) -> &JobId {
        match self {
            Query::Status(id) | Query::Submission(id, _) | Query::Cancellation(id) => id,
            Query::WrittenSubmission { id, .. } => id,
        }
    }
}

/// A request that waits for the replica.
struct PendingRequest {
    request: ReceivedRequest,
    query: Query,
    /// A revision that the stored records are known to have had after the request came.
    known_revision: Option<Revision>,
}

/// Requests that wait for an answer.
#[derive(Default)]
pub(crate) struct Api {
    pending: Vec<PendingRequest>,
    submissions: Submissions,
    /// Requests that wait for a transaction that cancels a job.
    cancelling: HashMap<JobId, Vec<RequestId>>,
}

impl Api {
    /// Whether a request waits for a fresh read.
    pub(crate) fn needs_read(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Has a request wait until the replica is fresh. `known_revision` is one that the stored records had after the
    /// request came, if there is evidence already.
    pub(crate) fn wait_for_replica(
        &mut self,
        request: ReceivedRequest,
        query: Query,
        known_revision: Option<Revision>,
    ) {
        self.pending.push(PendingRequest { request, query, known_revision });
    }

    /// A read was answered: notes the revision that it proves to each request that came before the read began.
    pub(crate) fn note_read_evidence(&mut self, evidence: &Evidence) {
        for pending in &mut self.pending {
            let proven = evidence.revision_after(pending.request.received_at);
            pending.known_revision = pending.known_revision.or(proven);
        }
    }

    /// The submissions that are being written.
    pub(crate) fn submissions(&self) -> &Submissions {
        &self.submissions
    }

    /// The replica has reached a revision.
    pub(crate) fn replica_reached(&mut self, applied: Revision) {
        self.submissions.replica_reached(applied);
    }

    /// Takes out all requests that wait, for when this controller starts over.
    pub(crate) fn drain_pending(&mut self) -> Vec<RequestId> {
        let pending = self.pending.drain(..).map(|pending| pending.request.request_id);
        let submissions = self.submissions.drain_pending();
        let cancelling = std::mem::take(&mut self.cancelling).into_values().flatten();
        pending.chain(submissions).chain(cancelling).collect()
    }
}
