//! Checks of all machines of the shards held here, in the order in which they depend on each other.

use crate::coordination::{AgentAnswer, Controller, Effect};
use crate::storage::schema::Role;
use crate::types::{MachineId, Micros};

/// Interval between checks of all machines.
const CHECK_INTERVAL: Micros = Micros::from_millis(100);
/// Maximum time for which a heartbeat waits for its machine's registration. After that the agent has to retry.
const MAX_REGISTRATION_WAIT: Micros = Micros::from_millis(1000);

impl Controller {
    /// Refuses heartbeats that waited too long for a registration, and checks all machines of the shards held here if a
    /// check is due.
    pub(crate) fn tick_machines(&mut self) {
        let now = self.now();
        self.refuse_late_registrations();
        if now < self.fleet.next_check_at {
            return;
        }
        self.fleet.next_check_at = now + CHECK_INTERVAL;
        let own_machines = self.machines_of_held_shards();
        let recorded = &self.store.replica.machines;
        self.fleet.machines.retain(|id, machine| recorded.contains_key(id) || machine.awaits_outcome());
        self.update_isolation(&own_machines);
        self.expire_leases(&own_machines);
        self.enforce_cancellation_deadlines();
        self.probe(&own_machines);
        self.tick_zones(&own_machines);
        let compared = self.machines_outside_lost_zones(&own_machines);
        self.note_many_unreachable(&compared);
        self.replace_never_seen(&own_machines);
        self.replace_silent(&compared);
        self.replace_unreachable(&compared);
        self.replace_missing_heartbeats(&compared);
        self.renew_fencing_tokens(&own_machines);
        self.cordon_faulty(&own_machines);
        self.drain_retired(&own_machines);
        self.drain_services_before_termination(&own_machines);
        self.plan_shard_moves();
    }

    fn machines_of_held_shards(&self) -> Vec<MachineId> {
        let machines = self.store.replica.machines.iter();
        let is_held = |shard: u32| self.holds(Role::Shard(shard));
        machines.filter(|(_, record)| is_held(record.value.shard)).map(|(id, _)| id.clone()).collect()
    }

    fn refuse_late_registrations(&mut self) {
        let now = self.now();
        for unregistered in self.fleet.take_unregistered() {
            if now.since(unregistered.received_at) > MAX_REGISTRATION_WAIT {
                self.out.push(Effect::AnswerAgent(unregistered.request_id, AgentAnswer::Unavailable));
            } else {
                self.fleet.unregistered.push(unregistered);
            }
        }
    }
}
