//! Which answer of the store allows which answer to a user: the one rule of linearizable reads.
//!
//! An outcome is written once, so any controller that knows it may answer with it at any time. Every other answer
//! (accepted, queued, running, never accepted, refused) says that something had not happened yet, and must not be older
//! than what any controller answered anybody before the request came. So it needs a call to the store that was sent
//! after the request had come, and a replica that has reached the revision which that call was answered with.
//!
//! [`FreshnessProof`] stands for both. Nothing but [`Evidence`] makes one, and nothing but a call's answer makes
//! evidence.

use crate::types::Revision;

/// A point in the order in which requests reach this controller and calls are sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LogicalTime(u64);

/// Hands out points in that order.
#[derive(Debug, Default)]
pub(crate) struct LogicalClock(u64);

impl LogicalClock {
    /// The next point: later than all before.
    pub fn tick(&mut self) -> LogicalTime {
        self.0 += 1;
        LogicalTime(self.0)
    }
}

/// What an answered call proves: the stored records had this revision at some moment after the call was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Evidence {
    sent_at: LogicalTime,
    revision: Revision,
}

/// Permission to answer one request from the replica as it stands.
#[derive(Debug)]
pub(crate) struct FreshnessProof(());

impl Evidence {
    /// From a read, a commit or a refused condition, each with the revision that its answer names.
    pub fn new(sent_at: LogicalTime, revision: Revision) -> Evidence {
        Evidence { sent_at, revision }
    }

    /// The revision that the call was answered with.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The revision that the stored records had after the request came, if the call was sent after it.
    pub fn revision_after(&self, requested_at: LogicalTime) -> Option<Revision> {
        (requested_at < self.sent_at).then_some(self.revision)
    }

    /// About a job that the call itself accepted under the precondition that it has no outcome. That holds at the
    /// commit's revision whether or not the replica has reached it, unless other jobs' outcomes decide as well.
    pub fn of_accepted_job(&self, requested_at: LogicalTime) -> Option<FreshnessProof> {
        self.revision_after(requested_at).map(|_| FreshnessProof(()))
    }
}

/// About any job, once the replica has reached a revision that the stored records had after the request came.
pub(crate) fn proof_once_reached(known: Option<Revision>, applied: Revision) -> Option<FreshnessProof> {
    known.is_some_and(|revision| revision <= applied).then_some(FreshnessProof(()))
}
