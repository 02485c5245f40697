//! Machines taken back from work of the lowest priority for more urgent work of another shard.
//!
//! Where nothing more can be rented, a shard's waiting work would wait until whole machines of others fall free. So the
//! leader also asks for machines on which nothing but arrays of the lowest priority runs, in the same way as for free
//! ones: by a hold (see [`crate::coordination::fleet::moves`]). The holder stops what runs there, as long as more urgent work waits where
//! the machine is to go; otherwise it lifts the hold.

use crate::coordination::Controller;
use crate::coordination::autoscaling::capacity::{Slot, Unmet, fit};
use crate::protocol::user::Priority;
use crate::storage::schema::CordonReason;
use crate::types::{MachineId, Micros};
use std::collections::BTreeMap;

/// A machine whose holder keeps it is not asked for again so soon.
const ASK_AGAIN: Micros = Micros::from_millis(30_000);

impl Controller {
    /// For tasks that find no resources, nor any machine to rent: asks for machines of other shards that only do work of the
    /// lowest priority.
    pub(crate) fn reclaim(&mut self, slots: &BTreeMap<u32, Vec<Slot>>, unmet: &[Unmet]) {
        let now = self.now();
        self.autoscaling.leader.reclaimed.retain(|_, at| now.since(*at) < ASK_AGAIN);
        if self.jobs.usage.lowest() == 0 {
            return;
        }
        let mut left = self.moves_left();
        let mut asked: Vec<(MachineId, u32)> = Vec::new();
        for u in unmet.iter().filter(|u| u.spec.priority > Priority::Low && !self.can_rent_for(u)) {
            let (mut count, mut zones) = (u.count, u.zones.clone());
            let others = slots.iter().filter(|(shard, _)| **shard != u.shard).flat_map(|(_, own)| own);
            for slot in others {
                let Some(id) = slot.id.as_ref().filter(|_| count > 0 && left > 0) else { break };
                let free =
                    !self.autoscaling.leader.reclaimed.contains_key(id) && !asked.iter().any(|(other, _)| other == id);
                if !free || !self.does_lowest_only(id) {
                    continue;
                }
                let emptied = Slot { free: self.machine_resources(id), ..slot.clone() };
                let taken = fit(&u.spec, count, &mut [emptied], &mut zones);
                if taken > 0 {
                    (count, left) = (count - taken, left - 1);
                    asked.push((id.clone(), u.shard));
                }
            }
        }
        for (id, to) in asked {
            tracing::debug!(machine = %id, to, "asked back for more urgent work");
            self.autoscaling.leader.reclaimed.insert(id.clone(), now);
            self.set_hold_of(&id, CordonReason::MoveToShard(to));
        }
    }

    /// Whether nothing but arrays of the lowest priority takes resources on a machine, and something does.
    fn does_lowest_only(&self, id: &MachineId) -> bool {
        self.jobs.usage.placed(id).is_some_and(|placed| placed.lowest > 0 && placed.lowest == placed.occupying)
    }

    /// Whether the holder of a machine that another shard asks for should empty it: more urgent work waits there.
    pub(crate) fn should_vacate(&self, id: &MachineId, to: u32) -> bool {
        let waits = || {
            self.jobs.by_id.values().any(|job| {
                job.shard == to && job.spec.priority > Priority::Low && job.waiting() > 0 && !job.is_failing()
            })
        };
        self.does_lowest_only(id) && waits()
    }
}
