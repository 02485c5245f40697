//! Machines: what their workers report, what they are told, and when they count as lost.

use crate::coordination::jobs::cancellation_log::AbsenceProof;
use crate::coordination::store_sync::txns::{MachineChange, ProposedTxn, Purpose};
use crate::coordination::{Controller, Effect, WorkerAnswer};
use crate::storage::schema::{CordonReason, Key, MachineRecord, Role, to_value};
use crate::types::{FencingToken, JobId, MachineId, Micros, Resources};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// An image being fetched, as far as can be told from outside.
#[derive(Clone, Debug)]
pub(crate) struct Fetch {
    pub image: String,
    pub megabytes: f64,
    pub since: Micros,
}

/// A task on the machine that the stored records know nothing of.
#[derive(Clone, Debug)]
pub(crate) struct UnrecordedTask {
    pub task: String,
    pub attempt: u64,
    pub exited: bool,
    /// It was there when the worker first showed its present fencing token: no command older than that
    /// can start it again.
    pub void: bool,
}

/// Failed tasks of one job on one machine.
pub(crate) struct Failures {
    pub count: u32,
    pub last: Micros,
    /// The last of them.
    pub task: u32,
    /// Those of a gang whose other tasks were on other machines, and did not fail there.
    pub alone_in_gang: u32,
}

impl UnrecordedTask {
    /// Whether the worker may forget it. A late copy of a direct start would run a forgotten task
    /// again, perhaps while it runs elsewhere, after its job was cancelled or beyond its team's
    /// limit. Even one that is done would be on the machine for a moment.
    pub fn forgettable(&self) -> bool {
        self.void
    }
}

/// The newest heartbeat of a worker.
#[derive(Clone, Copy, Default)]
pub(crate) struct LastHeartbeat {
    pub incarnation: u64,
    pub number: u64,
    /// It came from the worker itself, not through a sibling.
    pub direct: bool,
}

#[derive(Default)]
pub(crate) struct Machine {
    /// Shard it was last seen in.
    pub shard: Option<u32>,
    pub incarnation: u64,
    /// Newest message's number in this incarnation.
    pub seq: u64,
    /// Token on the newest message.
    pub highest_token_seen: FencingToken,
    pub addr: Option<SocketAddr>,
    /// Last sign of life.
    pub heard: Micros,
    /// Last heartbeat answered in a way that may have renewed the lease.
    pub answered: Micros,
    /// Has shown our fencing token since we took its shard: what it reports counts.
    pub token_confirmed: bool,
    /// Has shown some fencing token of its shard's present holder: it obeys no earlier holder any more. Unlike
    /// `token_confirmed` this stays when the same holder draws a new fencing token.
    pub obeys_holder: bool,
    /// Its lease is not renewed, on account of a cancelled task.
    pub renewal_withheld: bool,
    pub notice: bool,
    /// A direct message is on its way.
    pub direct: bool,
    pub direct_token: FencingToken,
    /// Newest message's incarnation and number when it was sent.
    pub direct_after: (u64, u64),
    /// Its last heartbeat was not newer than the one before, or messages between the two are missing.
    pub ask: bool,
    pub push: bool,
    /// Not before then: a heartbeat may come first, whose answer says it without a message of its own.
    pub push_after: Micros,
    /// A direct command under this fencing token got no answer and may be carried out at any time.
    pub unacknowledged: Option<FencingToken>,
    pub probes_failed: u32,
    /// Direct messages in a row without an answer, and since when. Unlike `probes_failed` a heartbeat
    /// alone does not undo them: it may come from a machine that can send but not hear.
    pub unanswered: u32,
    pub unanswered_since: Micros,
    /// When what was sent last that is known to have arrived.
    pub last_delivered: Micros,
    /// When its newest heartbeat came.
    pub last_heartbeat_at: Micros,
    /// Since when it is in this shard, under this holder.
    pub owned_since: Micros,
    pub last_heartbeat: LastHeartbeat,
    pub next_probe: Micros,
    pub unrecorded: Vec<UnrecordedTask>,
    /// Of these exited ones that it may not forget yet.
    pub kept: usize,
    /// Images seen to be there, most recently used last, with their sizes in MB.
    pub cache: Vec<(String, f64)>,
    pub fetches: Vec<Fetch>,
    /// Observed fetch rate, MB per second.
    pub rate: Option<f64>,
    /// Jobs with a failed task here since the last success.
    pub failed_jobs: BTreeMap<JobId, Failures>,
    /// Since when nothing runs here; for returning and shifting it.
    pub free_since: Option<Micros>,
    /// A change of its record is on its way.
    pub writing: bool,
    /// Its first record is on its way.
    pub registering: bool,
    /// It obeys a later fencing token than ours: a successor's.
    pub outranked: bool,
}

impl Machine {
    pub fn holds(&self, image: &str) -> bool {
        self.cache.iter().any(|(i, _)| i == image)
    }

    pub fn is_void(&self, task: &str, attempt: u64) -> bool {
        self.unrecorded.iter().any(|s| s.void && s.attempt == attempt && s.task == task)
    }

    /// No command is in doubt and none of its probes failed since it was last heard.
    pub fn trusted(&self) -> bool {
        self.unacknowledged.is_none() && self.probes_failed == 0 && self.unanswered < 2
    }

    /// Whether it seems to hear nothing that it is sent, though its heartbeats arrive. One whose heartbeats stay
    /// away as well is silent, which is judged otherwise.
    pub fn is_unreachable(&self, now: Micros, probes: u32, span: Micros) -> bool {
        let heartbeats = self.last_heartbeat_at > self.unanswered_since;
        heartbeats && self.unanswered >= probes && now.since(self.unanswered_since) >= span
    }

    /// Whether its heartbeats don't get through, though it answers what it is sent: its lease runs out, and then again
    /// and again, with whatever it was given in between.
    pub fn is_unreported(&self, now: Micros, span: Micros) -> bool {
        let silence = now.since(self.last_heartbeat_at.max(self.owned_since));
        silence >= span && self.unanswered == 0 && now.since(self.heard) < silence
    }

    /// We stood still for so long: that it was not heard meanwhile says nothing.
    pub fn excuse(&mut self, now: Micros, pause: Micros) {
        self.heard = (self.heard + pause).min(now);
        self.unanswered_since = (self.unanswered_since + pause).min(now);
        self.owned_since = (self.owned_since + pause).min(now);
        self.last_heartbeat_at = (self.last_heartbeat_at + pause).min(now);
        self.probes_failed = 0;
    }

    /// A sign that what was sent to it at some time arrived.
    pub fn hears(&mut self, sent: Micros) {
        self.last_delivered = self.last_delivered.max(sent);
        if sent >= self.unanswered_since {
            self.unanswered = 0;
        }
    }

    pub fn message_failed(&mut self, now: Micros) {
        self.probes_failed += 1;
        if self.unanswered == 0 {
            self.unanswered_since = now;
        }
        self.unanswered += 1;
    }

    /// Its shard was taken, or it came into another: what was known of it is void. Until now the
    /// former owner may have been heard by it and renewed its lease.
    pub fn new_owner(&mut self, now: Micros) {
        self.token_confirmed = false;
        self.obeys_holder = false;
        self.outranked = false;
        self.push = true;
        self.push_after = Micros::ZERO;
        self.heard = now;
        self.owned_since = now;
        self.answered = now;
        self.unacknowledged = None;
        self.probes_failed = 0;
        self.unanswered = 0;
        self.failed_jobs.clear();
        self.unrecorded.clear();
    }

    /// Jobs that failed here a short while ago and had better try elsewhere.
    pub fn failed_jobs(&self, now: Micros, pause: Micros) -> impl Iterator<Item = &JobId> {
        self.failed_jobs.iter().filter(move |(_, f)| now.since(f.last) < pause).map(|(id, _)| id)
    }

    pub fn image_used(&mut self, image: &str, megabytes: f64, capacity_mb: f64) {
        self.cache.retain(|(i, _)| i != image);
        self.cache.push((image.to_string(), megabytes));
        let mut total: f64 = self.cache.iter().map(|(_, mb)| mb).sum();
        while total > capacity_mb && self.cache.len() > 1 {
            total -= self.cache.remove(0).1;
        }
    }
}

/// How often all machines are looked over.
const MACHINES_EVERY: Micros = Micros::from_millis(100);

impl Controller {
    pub(crate) fn role_of_machine(&self, id: &MachineId) -> Option<Role> {
        self.store.replica.machines.get(id).map(|m| Role::Shard(m.value.shard))
    }

    /// The fencing token for commands to a machine of a shard we hold.
    pub(crate) fn fencing_token(&self, id: &MachineId) -> Option<FencingToken> {
        let record = &self.store.replica.machines.get(id)?.value;
        let fencing_token = self.role_token(Role::Shard(record.shard))?;
        Some(fencing_token.max(record.fencing_token))
    }

    pub(crate) fn machine_resources(&self, id: &MachineId) -> Resources {
        let Some(record) = self.store.replica.machines.get(id) else { return Resources::default() };
        self.autoscaling.types.get(&record.value.machine_type).map(|t| t.resources).unwrap_or_default()
    }

    /// What is left on a machine after all starts not proven gone.
    pub(crate) fn free_resources(&self, id: &MachineId) -> Resources {
        self.machine_resources(id).minus(&self.jobs.usage.used_on(id))
    }

    /// Notes since when nothing runs on it.
    pub(crate) fn machine_freed(&mut self, id: &MachineId) {
        let now = self.now();
        let busy = self.jobs.usage.is_busy(id);
        if let Some(machine) = self.fleet.machines.get_mut(id) {
            if busy {
                machine.free_since = None;
            } else {
                machine.free_since.get_or_insert(now);
            }
        }
    }

    pub(crate) fn machine_changed(&mut self, id: &MachineId) {
        let now = self.now();
        self.zone_of_machine_changed(id);
        match self.store.replica.machines.get(id) {
            None => {
                // Deleted: whatever was on it is gone.
                for (job, task) in self.jobs.usage.starts_on(id) {
                    self.start_gone(&job, task, AbsenceProof::MachineStruckOut);
                }
                self.fleet.machines.remove(id);
            }
            Some(record) => {
                let addr = record.value.addr.parse().ok();
                let shard = record.value.shard;
                let machine = self.fleet.machines.entry(id.clone()).or_default();
                machine.addr = addr.or(machine.addr);
                if machine.shard != Some(shard) {
                    machine.shard = Some(shard);
                    machine.new_owner(now);
                }
                if self.jobs.usage.is_empty(id) {
                    machine.free_since.get_or_insert(now);
                }
                // A new fencing token or shard: only heartbeats that carry it count.
                let highest_token_seen = machine.highest_token_seen;
                let token_confirmed = self.fencing_token(id).is_some_and(|t| highest_token_seen >= t);
                if let Some(machine) = self.fleet.machines.get_mut(id) {
                    machine.token_confirmed = token_confirmed;
                    machine.obeys_holder |= token_confirmed;
                    machine.push |= !token_confirmed;
                    if machine.push {
                        machine.push_after = Micros::ZERO;
                        self.fleet.pending_commands.insert(id.clone());
                    }
                }
                for held in std::mem::take(&mut self.fleet.unregistered) {
                    if held.heartbeat.machine == *id {
                        self.heartbeat(held.waiter, held.heartbeat, true);
                    } else {
                        self.fleet.unregistered.push(held);
                    }
                }
            }
        }
    }

    /// A shard was taken or lost.
    pub(crate) fn shard_changed(&mut self, shard: u32) {
        let now = self.now();
        let ids: Vec<MachineId> = self
            .store
            .replica
            .machines
            .iter()
            .filter(|(_, m)| m.value.shard == shard)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &ids {
            self.fleet.machines.entry(id.clone()).or_default().new_owner(now);
            self.fleet.pending_commands.insert(id.clone());
        }
        self.jobs_of_shard_reset(shard);
        self.scheduling.cycle_wanted = true;
    }

    /// The shard has a new fencing token under the same owner: what is known stays, but from here on only
    /// messages that carry the fencing token prove anything.
    pub(crate) fn shard_renewed(&mut self, shard: u32) {
        let ids: Vec<MachineId> = self
            .store
            .replica
            .machines
            .iter()
            .filter(|(_, m)| m.value.shard == shard)
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            let fencing_token = self.fencing_token(&id);
            if let Some(machine) = self.fleet.machines.get_mut(&id) {
                machine.token_confirmed = fencing_token.is_some_and(|t| machine.highest_token_seen >= t);
                machine.push |= !machine.token_confirmed;
                machine.push_after = Micros::ZERO;
                self.fleet.pending_commands.insert(id);
            }
        }
    }

    pub(crate) fn machines_txn_over(&mut self, ids: &[MachineId]) {
        for id in ids {
            if let Some(machine) = self.fleet.machines.get_mut(id) {
                machine.writing = false;
                machine.registering = false;
            }
            self.autoscaling.leader.deleting.remove(id);
        }
    }

    pub(crate) fn tick_machines(&mut self) {
        let now = self.now();
        let late = Micros::from_millis(1000);
        for held in std::mem::take(&mut self.fleet.unregistered) {
            if now.since(held.since) > late {
                self.out.push(Effect::AnswerWorker(held.waiter, WorkerAnswer::Unavailable));
            } else {
                self.fleet.unregistered.push(held);
            }
        }
        if now < self.fleet.next_check_at {
            return;
        }
        self.fleet.next_check_at = now + MACHINES_EVERY;
        let ours: Vec<MachineId> = self
            .store
            .replica
            .machines
            .iter()
            .filter(|(_, m)| self.holds(Role::Shard(m.value.shard)))
            .map(|(id, _)| id.clone())
            .collect();
        let recorded = &self.store.replica.machines;
        self.fleet.machines.retain(|id, m| recorded.contains_key(id) || m.direct || m.writing || m.registering);
        self.update_isolation(&ours);
        self.expire_leases(&ours);
        self.clear_cancelled();
        self.probe(&ours);
        self.judge_unreachable(&ours);
        self.tick_zones(&ours);
        self.replace_silent(&ours);
        self.replace_unreachable(&ours);
        self.replace_unreported(&ours);
        self.renew_fencing_tokens(&ours);
        self.retire_faulty(&ours);
        self.drain_retired(&ours);
        self.leave_noticed(&ours);
        self.plan_moves();
    }

    /// Changes a machine's record under the conditions that it is as we know it, and that we still hold the role by which
    /// we decide about it: what a controller without contact concludes from silence may be carried out long after its
    /// successor has found the machine well.
    pub(crate) fn write_machine(
        &mut self,
        id: &MachineId,
        what: MachineChange,
        change: impl FnOnce(&mut MachineRecord),
    ) {
        let Some(machine) = self.fleet.machines.get_mut(id) else { return };
        let Some(held) = self.store.replica.machines.get(id) else { return };
        let shard = Role::Shard(held.value.shard);
        let role = [shard, Role::Leader].into_iter().find(|role| self.control.holds(*role));
        let Some(role) = role.filter(|_| !machine.writing) else { return };
        let mut record = held.value.clone();
        change(&mut record);
        if record == held.value {
            return;
        }
        machine.writing = true;
        let mut proposal = ProposedTxn::default();
        proposal.unchanged(&self.store.replica, Key::Role(role));
        proposal.unchanged(&self.store.replica, Key::Machine(id.clone()));
        proposal.put(Key::Machine(id.clone()), to_value(&record));
        self.submit_txn(proposal, Purpose::Machines(what, vec![id.clone()]));
    }

    pub(crate) fn set_hold(&mut self, id: &MachineId, hold: CordonReason) {
        let before = self.store.replica.machines.get(id).and_then(|m| m.value.cordon);
        let writing = self.fleet.machines.get(id).is_none_or(|m| m.writing);
        if before != Some(CordonReason::ForceDelete) && before != Some(hold) && !writing {
            tracing::info!(machine = %id, ?hold, "machine put on hold");
            let what = match hold {
                CordonReason::MoveToShard(_) => MachineChange::Move,
                CordonReason::Retire => MachineChange::Return,
                CordonReason::ForceDelete | CordonReason::Deleted => MachineChange::Replace,
            };
            self.write_machine(id, what, |record| record.cordon = Some(hold));
        }
    }
}
