//! Calls to the store, and how they end.

use super::CallFailure;
use crate::protocol::store::Txn;

/// How a transaction ended.
#[derive(Clone, Debug)]
pub enum TxnOutcome {
    /// It was carried out, at this revision.
    Committed(u64),
    /// A precondition did not hold, as of this revision.
    Conflict(u64),
    /// The session named in it has expired.
    NoLease,
    /// The store says that the request itself is malformed.
    Invalid,
    /// It was refused, as the store's rate limit is reached.
    Limited,
    /// The call got no answer that counts.
    Failed(CallFailure),
}

/// How a read ended.
#[derive(Clone, Debug)]
pub enum ReadOutcome<T> {
    /// With this result.
    Got(T),
    /// The store no longer has the changes since that revision.
    TooOld,
    /// Without an answer, or refused.
    Failed,
}

/// What a read is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadKind {
    /// The long-standing watch.
    Watch,
    /// On behalf of waiting users, or to learn why a transaction failed.
    Fresh,
}

/// How a call about the controller's session ended.
#[derive(Clone, Debug)]
pub enum SessionOutcome {
    /// A new session, by its number.
    Granted(u64),
    /// The session has its full time again.
    KeptAlive,
    /// The session has expired.
    Expired,
    /// Without an answer, or refused.
    Failed,
}

/// A call to the store. Its answer names the ticket.
#[derive(Clone, Debug)]
pub enum StoreCall {
    /// To carry out a transaction.
    Txn {
        /// Names the answer.
        ticket: u64,
        /// The transaction.
        txn: Txn,
        /// Whether a user waits for it.
        urgent: bool,
    },
    /// To read what has changed.
    Changes {
        /// Names the answer.
        ticket: u64,
        /// What it is for.
        kind: ReadKind,
        /// Since which revision.
        after: u64,
        /// How long to wait for a change.
        wait_ms: u64,
    },
    /// To read one page of all keys.
    Page {
        /// Names the answer.
        ticket: u64,
        /// Begins after this key.
        after: Option<String>,
    },
    /// To begin a session.
    GrantSession {
        /// Names the answer.
        ticket: u64,
        /// How long it lasts without renewal.
        ttl_ms: u64,
    },
    /// To give the session its full time again.
    KeepAlive {
        /// Names the answer.
        ticket: u64,
        /// Which one.
        lease: u64,
    },
}
