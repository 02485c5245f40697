//! Expired leases: an agent whose lease has expired has killed its tasks.

use crate::coordination::Controller;
use crate::coordination::jobs::attempt::AttemptState;
use crate::coordination::jobs::cancellation_log::AbsenceProof;
use crate::types::{MachineId, Micros};

/// Multiple of a lease's length after which it has expired by our clock, despite the drift between our clock and the
/// agent's.
pub(in crate::coordination::fleet) const MAX_CLOCK_DRIFT: f64 = 1.002;

/// Time that is added to the length of a lease, so that the lease has certainly expired.
#[derive(Clone, Copy, Debug)]
pub(in crate::coordination::fleet) enum ExpiryMargin {
    /// For a lease that was last renewed by an answer of ours: the answer may have been in transit for a while, and the
    /// agent needs a moment to kill its tasks.
    RenewedHere,
    /// For a lease that a former holder may have renewed until we acquired the shard.
    RenewedByFormerHolder,
    /// For a deadline that depends on the expiry and must not be missed.
    Deadline,
}

impl ExpiryMargin {
    /// Returns the length of the margin.
    pub(in crate::coordination::fleet) fn seconds(self) -> f64 {
        match self {
            ExpiryMargin::RenewedHere => 1.0,
            ExpiryMargin::RenewedByFormerHolder => 2.0,
            ExpiryMargin::Deadline => 3.0,
        }
    }
}

impl Controller {
    /// Returns the time after its last renewal at which an agent's lease has certainly expired.
    pub(in crate::coordination::fleet) fn lease_expiry_bound(&self, margin: ExpiryMargin) -> Micros {
        let lease_s = self.platform.deployment.agents.lease_s;
        Micros::from_secs_f64(lease_s * MAX_CLOCK_DRIFT + margin.seconds())
    }

    /// Proves absent the attempts on machines whose agent's lease has certainly expired, as the agent has killed its
    /// tasks. Once an agent has shown our fencing token, only our answers can have renewed its lease.
    pub(in crate::coordination::fleet) fn expire_leases(&mut self, own_machines: &[MachineId]) {
        let now = self.now();
        let bound = self.lease_expiry_bound(ExpiryMargin::RenewedHere);
        for id in own_machines {
            let Some(machine) = self.fleet.machine(id) else { continue };
            let is_expired = now.since(machine.contact.lease_renewed_at()) > bound;
            if machine.ownership.is_token_confirmed() && is_expired {
                self.prove_absent_after_expiry(id, machine.incarnation());
            }
        }
    }

    /// Proves absent the attempts that were started on a machine up to the given incarnation of its agent.
    fn prove_absent_after_expiry(&mut self, id: &MachineId, incarnation: u64) {
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
