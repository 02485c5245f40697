//! Cordons: nothing more starts on a cordoned machine. The stored reason determines what happens to the machine.

use crate::coordination::Controller;
use crate::coordination::store_sync::MachineChange;
use crate::storage::schema::CordonReason;
use crate::types::MachineId;

/// Cause of a cordon, for the log. The stored reason says only what happens to the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CordonCause {
    /// It gives no sign of life, unlike the other machines.
    Silent,
    /// It has not been seen since this controller acquired its shard, for longer than a lease.
    NeverSeen,
    /// Its heartbeats arrive, but no message reaches it.
    Unreachable,
    /// It answers messages, but its heartbeats don't arrive.
    MissingHeartbeats,
    /// Its agent lost its state.
    IncarnationLost,
    /// It runs services in a lost zone.
    ZoneLost,
    /// The cloud lists it as failed.
    ListedAsFailed,
    /// Tasks fail there that succeed elsewhere.
    FaultyTasks,
    /// The capacity plan does not need it.
    Idle,
    /// Another shard needs it.
    NeededElsewhere,
}

impl Controller {
    /// Returns the reason for which a machine is cordoned, if it is.
    pub(super) fn cordon_reason(&self, id: &MachineId) -> Option<CordonReason> {
        self.store.replica.machines.get(id).and_then(|stored| stored.value.cordon)
    }

    /// Cordons a machine, so that nothing more starts there. Does nothing while its record is being changed, or if it
    /// is already to be deleted.
    pub(crate) fn cordon(&mut self, id: &MachineId, reason: CordonReason, cause: CordonCause) {
        let before = self.cordon_reason(id);
        let Some(machine) = self.fleet.machine(id).filter(|machine| !machine.is_record_changing()) else { return };
        if before == Some(CordonReason::ForceDelete) || before == Some(reason) {
            return;
        }
        let now = self.now();
        let silence_ms = machine.contact.silence(now).millis();
        let heartbeat_age_ms = machine.contact.heartbeat_age(now).millis();
        tracing::info!(machine = %id, ?reason, ?cause, silence_ms, heartbeat_age_ms, "machine cordoned");
        let machine_change = match reason {
            CordonReason::MoveToShard(_) => MachineChange::Move,
            CordonReason::Retire => MachineChange::Retire,
            CordonReason::ForceDelete | CordonReason::Deleted => MachineChange::Replace,
        };
        self.write_machine(id, machine_change, |record| record.cordon = Some(reason));
    }
}
