//! The controller's session: a lease in the store that the controller keeps alive and to which the keys of its roles
//! are bound. When the session expires, the store deletes these keys, so that siblings can take the roles over.

use crate::coordination::{Controller, Effect, SessionOutcome, StoreCall};
use crate::storage::schema::Role;
use crate::types::Micros;

/// Pause after a session call that got no answer.
const RETRY_PAUSE: Micros = Micros::from_millis(200);
/// Number of renewals of the session within its time to live.
const RENEWALS_PER_TTL: u64 = 4;
/// Tenths of the time to live, counted from the last renewal, during which the session is certainly valid. The
/// remaining tenth allows for clocks that run at different speeds.
const CERTAIN_TTL_TENTHS: u64 = 9;

/// A session call that has not been answered yet.
struct InFlightCall {
    ticket: u64,
    sent_at: Micros,
}

/// The session's lease in the store, as known to this controller.
#[derive(Default)]
pub(super) struct Session {
    lease: Option<u64>,
    in_flight: Option<InFlightCall>,
    next_call_at: Micros,
    /// Time at which the last call that granted or renewed the session was sent. The time to live starts no earlier.
    renewed_at: Option<Micros>,
}

impl Session {
    /// Returns the lease to which keys can be bound.
    pub(super) fn lease(&self) -> Option<u64> {
        self.lease
    }

    /// Returns whether the session has certainly not expired, even if no later renewal has reached the store.
    pub(super) fn is_certainly_valid(&self, now: Micros, ttl: Micros) -> bool {
        let certain = Micros(ttl.0 / 10 * CERTAIN_TTL_TENTHS);
        self.renewed_at.is_some_and(|at| now.since(at) < certain)
    }

    fn is_call_due(&self, now: Micros) -> bool {
        self.in_flight.is_none() && now >= self.next_call_at
    }

    /// Returns the call that grants the session or keeps it alive, and marks it as in flight.
    fn start_call(&mut self, ticket: u64, now: Micros, ttl_ms: u64) -> StoreCall {
        self.in_flight = Some(InFlightCall { ticket, sent_at: now });
        match self.lease {
            Some(lease) => StoreCall::KeepAlive { ticket, lease },
            None => StoreCall::GrantSession { ticket, ttl_ms },
        }
    }

    /// Ends the call with this ticket. Returns the time at which it was sent, or `None` if it is not the one in flight.
    fn finish_call(&mut self, ticket: u64) -> Option<Micros> {
        self.in_flight.take_if(|call| call.ticket == ticket).map(|call| call.sent_at)
    }

    fn mark_renewed(&mut self, sent_at: Micros, next_call_at: Micros) {
        self.renewed_at = Some(sent_at);
        self.next_call_at = next_call_at;
    }

    fn mark_expired(&mut self) {
        self.lease = None;
        self.renewed_at = None;
    }
}

impl Controller {
    /// Sends the next session call if it is due.
    pub(crate) fn tick_session(&mut self) {
        let now = self.now();
        if !self.control.session.is_call_due(now) {
            return;
        }
        let ticket = self.store.next_ticket();
        let call = self.control.session.start_call(ticket, now, self.policy.session_ms);
        self.out.push(Effect::Store(call));
    }

    /// Sends a session call at once, unless one is in flight, to find out whether the session still exists.
    pub(crate) fn renew_session_at_once(&mut self) {
        self.control.session.next_call_at = self.now();
        self.tick_session();
    }

    /// Handles the outcome of a session call.
    pub(crate) fn session_outcome(&mut self, ticket: u64, outcome: SessionOutcome) {
        let Some(sent_at) = self.control.session.finish_call(ticket) else { return };
        let next_renewal_at = self.now() + Micros::from_millis(self.policy.session_ms / RENEWALS_PER_TTL);
        match outcome {
            SessionOutcome::Granted(lease) => {
                self.control.session.lease = Some(lease);
                self.control.session.mark_renewed(sent_at, next_renewal_at);
                self.tick_leases();
            }
            SessionOutcome::KeptAlive => self.control.session.mark_renewed(sent_at, next_renewal_at),
            SessionOutcome::Expired => {
                self.session_expired();
                self.renew_session_at_once();
            }
            SessionOutcome::Failed => self.control.session.next_call_at = self.now() + RETRY_PAUSE,
        }
    }

    /// Handles the expiry of the session. All keys bound to it are gone, even if the replica still contains them, so
    /// all roles are dropped until a fresh read shows who holds them.
    pub(crate) fn session_expired(&mut self) {
        self.control.session.mark_expired();
        for role in self.control.leases.drop_all() {
            tracing::info!(?role, cause = "session expired", "role lease lost");
            self.notify_role_changed(role);
        }
        self.store.request_fresh_read();
    }

    /// Notifies the components that depend on a role that it was acquired or lost.
    pub(super) fn notify_role_changed(&mut self, role: Role) {
        match role {
            Role::Leader => self.leadership_changed(),
            Role::Shard(shard) => self.shard_holder_changed(shard),
        }
    }
}
