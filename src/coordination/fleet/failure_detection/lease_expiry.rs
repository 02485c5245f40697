//! Leases that have expired: an agent whose lease has expired has killed its tasks.

use crate::coordination::Controller;
use crate::coordination::jobs::attempt::AttemptState;
use crate::coordination::jobs::cancellation_log::AbsenceProof;
use crate::types::{MachineId, Micros};

/// A lease has expired after this multiple of its length by our clock, however the two clocks drift.
pub(in crate::coordination::fleet) const MAX_CLOCK_DRIFT: f64 = 1.002;

/// What is added to the length of a lease, so that it has surely expired.
#[derive(Clone, Copy, Debug)]
pub(in crate::coordination::fleet) enum ExpiryMargin {
    /// The lease was last renewed by an answer of ours: the answer may have been on its way for a while, and the agent
    /// needs a moment to kill its tasks.
    RenewedHere,
    /// A former holder may have renewed it until we took the shard.
    RenewedByFormerHolder,
    /// A deadline follows from it that must not be missed.
    Deadline,
}

impl ExpiryMargin {
    /// Its length.
    pub(in crate::coordination::fleet) fn seconds(self) -> f64 {
        match self {
            ExpiryMargin::RenewedHere => 1.0,
            ExpiryMargin::RenewedByFormerHolder => 2.0,
            ExpiryMargin::Deadline => 3.0,
        }
    }
}

impl Controller {
    /// So long after its last renewal an agent's lease has surely expired.
    pub(in crate::coordination::fleet) fn lease_expiry_bound(&self, margin: ExpiryMargin) -> Micros {
        let lease_s = self.platform.deployment.agents.lease_s;
        Micros::from_secs_f64(lease_s * MAX_CLOCK_DRIFT + margin.seconds())
    }

    /// An agent whose lease has surely expired has killed its tasks. Only our answers can have renewed it once it has shown
    /// our fencing token.
    pub(in crate::coordination::fleet) fn expire_leases(&mut self, own_machines: &[MachineId]) {
        let now = self.now();
        let bound = self.lease_expiry_bound(ExpiryMargin::RenewedHere);
        for id in own_machines {
            let Some(machine) = self.fleet.machine(id) else { continue };
            let is_expired = now.since(machine.contact.lease_renewed_at()) > bound;
            if machine.ownership.is_token_confirmed() && is_expired {
                self.prove_expired(id, machine.incarnation());
            }
        }
    }

    /// Proves gone what was started on a machine up to that incarnation of its agent.
    fn prove_expired(&mut self, id: &MachineId, incarnation: u64) {
        for task in self.jobs.usage().attempts_on(id) {
            let attempt = self.jobs.attempt(&task);
            if attempt
                .is_some_and(|attempt| attempt.incarnation <= incarnation && attempt.state() != AttemptState::Decided)
            {
                self.attempt_proven_absent(&task, AbsenceProof::LeaseExpired);
            }
        }
    }
}
