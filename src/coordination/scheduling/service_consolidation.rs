//! Consolidation of services: a machine that runs nothing but services is emptied, by moving them to other machines of
//! their shard, and given to a shard whose urgent tasks wait.
//!
//! Only empty machines can change their shard. A burst of services may take every machine, and when most of them have
//! ended, each machine still runs a few: it has resources, but not for another shard. If no instance can be created
//! either, the other shard's tasks would wait for as long as these services run. So after a while the leader reassigns
//! one such machine at a time, by the same cordon as for idle machines (see [`crate::coordination::fleet::shard_moves`]).
//! The holder moves the services as long as they fit on its other machines; otherwise it removes the cordon.

use crate::coordination::Controller;
use crate::coordination::autoscaling::bin_packing::{MachineCapacity, UnschedulableTasks, pack_tasks};
use crate::coordination::autoscaling::capacity_plan::{CapacityByShard, MachineMove};
use crate::coordination::fleet::cordon::CordonCause;
use crate::protocol::user::{JobKind, Priority};
use crate::storage::schema::CordonReason;
use crate::types::{MachineId, Micros};
use std::collections::BTreeMap;

/// Time for which urgent tasks of a shard wait before services of other shards are moved for them.
const MIN_WAIT: Micros = Micros::from_millis(20_000);

impl Controller {
    /// Reassigns a machine of another shard that runs only services, for urgent tasks that have waited for long and for
    /// which no instance can be created.
    pub(crate) fn consolidate_services(&mut self, capacity: &CapacityByShard, unschedulable: &[UnschedulableTasks]) {
        let now = self.now();
        let starved = self.starved_tasks(unschedulable);
        self.autoscaling.note_starved_shards(starved.keys().copied().collect(), now);
        let has_waited = |tasks: &&UnschedulableTasks| {
            let since = self.autoscaling.starved_since(tasks.shard);
            since.is_some_and(|since| now.since(since) >= MIN_WAIT) && !self.can_scale_out_for(tasks)
        };
        let Some(chosen) =
            starved.into_values().filter(has_waited).find_map(|tasks| self.machine_to_empty(capacity, tasks))
        else {
            return;
        };
        let MachineMove { machine, from_shard, to_shard } = chosen;
        tracing::info!(%machine, from_shard, to_shard, "services moved to give their machine to another shard");
        self.autoscaling.note_preemption(machine.clone(), now);
        self.cordon_as_leader(&machine, CordonReason::MoveToShard(to_shard), CordonCause::NeededElsewhere);
    }

    /// Returns the most urgent unschedulable tasks of each shard in which urgent tasks wait for nothing but a machine.
    fn starved_tasks<'a>(&self, unschedulable: &'a [UnschedulableTasks]) -> BTreeMap<u32, &'a UnschedulableTasks> {
        let mut by_shard: BTreeMap<u32, &UnschedulableTasks> = BTreeMap::new();
        for tasks in unschedulable.iter().filter(|tasks| tasks.spec.priority > Priority::Normal) {
            by_shard.entry(tasks.shard).or_insert(tasks);
        }
        by_shard.retain(|shard, _| self.has_urgent_tasks_waiting(*shard));
        by_shard
    }

    fn has_urgent_tasks_waiting(&self, shard: u32) -> bool {
        self.jobs.values().any(|job| {
            job.spec.priority > Priority::Normal
                && job.waiting_count_in(shard) > 0
                && !job.is_failing()
                && self.is_within_quota(job, shard)
        })
    }

    /// Returns the machine of another shard that runs the fewest services, if they fit on other machines of that shard
    /// and the machine can take the tasks. Only one machine is emptied at a time.
    fn machine_to_empty(&self, capacity: &CapacityByShard, tasks: &UnschedulableTasks) -> Option<MachineMove> {
        if self.remaining_machine_moves() == 0 || self.autoscaling.has_recent_preemptions() {
            return None;
        }
        let others = capacity.iter().filter(|(shard, _)| **shard != tasks.shard);
        let candidates = others.flat_map(|(shard, machines)| machines.iter().map(move |machine| (*shard, machine)));
        let suitable = candidates.filter_map(|(from_shard, capacity_of)| {
            let machine = capacity_of.machine.clone()?;
            let emptied = MachineCapacity { free: self.machine_resources(&machine), ..capacity_of.clone() };
            let is_suitable = tasks.clone().pack_into(&mut [emptied]) > 0
                && self.services_fit_elsewhere(&machine, &capacity[&from_shard]);
            is_suitable.then_some(MachineMove { machine, from_shard, to_shard: tasks.shard })
        });
        suitable.min_by_key(|chosen| self.jobs.usage().iter_attempts_on(&chosen.machine).count())
    }

    /// Returns whether a machine runs services and nothing else, and all of them fit on the other machines.
    fn services_fit_elsewhere(&self, id: &MachineId, machines: &[MachineCapacity]) -> bool {
        let attempts = self.jobs.usage().attempts_on(id);
        let mut others: Vec<MachineCapacity> =
            machines.iter().filter(|machine| machine.machine.as_ref() != Some(id)).cloned().collect();
        let zone = self.store.replica.machines.get(id).map(|stored| stored.value.zone.clone()).unwrap_or_default();
        !attempts.is_empty()
            && attempts.iter().all(|task| {
                let Some(job) = self.jobs.get(&task.job) else { return false };
                let mut zones = self.tasks_by_usable_zone(job);
                zones.remove(&zone, 1);
                job.spec.kind == JobKind::Service && pack_tasks(&job.spec, 1, &mut others, &mut zones) == 1
            })
    }

    /// Returns whether the holder of a machine to be moved to another shard should move its services: urgent work waits
    /// in that shard, and the services fit on other machines of their shard.
    pub(crate) fn should_consolidate_for(&self, id: &MachineId, to_shard: u32) -> bool {
        let Some(shard) = self.store.replica.machines.get(id).map(|stored| stored.value.shard) else { return false };
        self.has_urgent_tasks_waiting(to_shard) && self.services_fit_elsewhere(id, &self.capacity_of_shard(shard))
    }
}
