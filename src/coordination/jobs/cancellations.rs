//! From a cancellation to the proof that nothing of the job is left.
//!
//! Once any user was told that a job is cancelled, all its tasks have to be gone in a bounded time, whatever
//! fails next. So it is told only once it is known where it counts: by the controller that commands the job's
//! tasks, as of a moment at or after the cancellation, and once the machines with tasks of the job obey that one:
//! until then a deposed holder that knows of nothing could go on renewing their leases. From here on every answer that
//! renews a lease carries the stops (see [`crate::coordination::fleet::lease_renewal`]). If nothing proves in time that the tasks are gone,
//! their machines are deleted (see [`crate::coordination::fleet::clearing`]).

use crate::coordination::api::requests::BUSY;
use crate::coordination::fleet::clearing::Clearing;
use crate::coordination::jobs::cancellation_log::AcknowledgedBy;
use crate::coordination::jobs::usage::Phase;
use crate::coordination::{Controller, Effect, UserAnswer, Waiter};
use crate::protocol::peer::{CancellationAck, CancellationNotice, CancelledJob};
use crate::protocol::user::is_valid_job_id;
use crate::storage::schema::{Key, OutcomeRecord, Role, to_value};
use crate::types::{FencingToken, JobId, Micros};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Default)]
pub(crate) struct Cancellations {
    /// Users who asked about cancelled jobs, and since when they wait.
    waiting: BTreeMap<JobId, Vec<(Micros, Waiter)>>,
    /// Jobs whose shard's holder said that it knows.
    confirmed: BTreeSet<JobId>,
    /// Siblings being told of jobs.
    notifying: BTreeMap<u64, Vec<JobId>>,
    pub next_call: u64,
    /// Jobs that a holder did not acknowledge together with others: each is asked about alone.
    ask_alone: BTreeSet<JobId>,
    /// What is left of cancelled jobs, and the deletion of the machines that it is on.
    pub clearing: Clearing,
}

impl Cancellations {
    pub fn all_waiters(&mut self) -> Vec<Waiter> {
        std::mem::take(&mut self.waiting).into_values().flatten().map(|(_, waiter)| waiter).collect()
    }
}

/// Whether those who command a cancelled job's tasks know that it is cancelled, and are obeyed.
enum Acknowledgement {
    /// It may be told.
    Sure(AcknowledgedBy),
    /// The shard is held here, but a machine with a task of the job may still obey an earlier holder.
    NotObeyed,
    /// The replica is older than the cancellation.
    Stale,
    /// Nobody holds the shard now.
    Nobody,
    /// That sibling holds it under that fencing token.
    Ask(u32, String, FencingToken),
}

/// What is known of jobs is dropped once the stored records no longer need it; looked at so often.
const PRUNE_AT: usize = 64;

impl Controller {
    fn acknowledgement(&self, id: &JobId) -> Acknowledgement {
        let Some(end) = self.store.replica.outcomes.get(id) else {
            // Over because a job that it needs was cancelled: nothing of it was ever started.
            return match self.jobs.cascaded.contains(id) {
                true => Acknowledgement::Sure(AcknowledgedBy::Cascade),
                false => Acknowledgement::Stale,
            };
        };
        if self.jobs.cancellations.confirmed.contains(id) {
            return Acknowledgement::Sure(AcknowledgedBy::Sibling);
        }
        // Who holds the shard is only known as of what was read. A holder from before the cancellation
        // may have a successor by now, and a start may be in the stored records that is not seen here yet.
        if self.store.replica.applied_revision.0 < end.version {
            return Acknowledgement::Stale;
        }
        // Starts are recorded under the condition that the job isn't over, and leave the stored records only when
        // proven gone: without any nothing runs, nor will.
        if !self.store.replica.has_recorded_attempts(id) {
            return Acknowledgement::Sure(AcknowledgedBy::NoStarts);
        }
        let Some(job) = self.jobs.by_id.get(id) else { return Acknowledgement::Stale };
        let role = Role::Shard(job.shard);
        // Held here, and the replica shows no later holder.
        if self.holds(role) {
            return match self.is_obeyed_on(id) {
                true => Acknowledgement::Sure(AcknowledgedBy::OwnShard),
                false => Acknowledgement::NotObeyed,
            };
        }
        match self.store.replica.roles.get(&role) {
            Some(held) if held.value.owner != self.label => {
                Acknowledgement::Ask(job.shard, held.value.owner.clone(), held.value.fencing_token)
            }
            _ => Acknowledgement::Nobody,
        }
    }

    /// Whether all machines with a recorded start of the job have shown a fencing token of this holder's: from then on no earlier
    /// holder can renew their leases, nor have a start carried out there.
    fn is_obeyed_on(&self, id: &JobId) -> bool {
        let Some(job) = self.jobs.by_id.get(id) else { return true };
        let mut starts = job.live.values().filter(|start| start.occupies() && start.phase() != Phase::Decided);
        starts.all(|start| {
            let machine = start.machine();
            self.is_cleared(machine) || self.fleet.machines.get(machine).is_some_and(|m| m.obeys_holder)
        })
    }

    /// Tells a user that a job is cancelled, as soon as that may be told.
    pub(crate) fn answer_cancelled(&mut self, waiter: Waiter, id: JobId) {
        let now = self.now();
        self.jobs.cancellations.waiting.entry(id).or_default().push((now, waiter));
    }

    /// Answers whoever can be answered about cancelled jobs, and asks the holders of their shards.
    pub(crate) fn confirm_cancellations(&mut self) {
        if self.jobs.cancellations.waiting.is_empty() {
            return;
        }
        let now = self.now();
        let patience = Micros::from_millis(self.policy.confirm_patience_ms);
        let mut ask: BTreeMap<(u32, String, FencingToken), Vec<JobId>> = BTreeMap::new();
        for (id, waiters) in std::mem::take(&mut self.jobs.cancellations.waiting) {
            let answer = match self.acknowledgement(&id) {
                Acknowledgement::Sure(by) => {
                    self.audit_told(&id, by);
                    self.final_status(&id).map_or(BUSY, UserAnswer::Status)
                }
                Acknowledgement::Nobody => BUSY,
                Acknowledgement::NotObeyed => {
                    self.keep_waiting(id, waiters, now, patience);
                    continue;
                }
                Acknowledgement::Stale if !self.reaches_store() => BUSY,
                Acknowledgement::Stale => {
                    self.store.reads.wanted = true;
                    self.keep_waiting(id, waiters, now, patience);
                    continue;
                }
                Acknowledgement::Ask(shard, holder, fencing_token) => {
                    if !self.jobs.cancellations.notifying.values().flatten().any(|told| *told == id) {
                        ask.entry((shard, holder, fencing_token)).or_default().push(id.clone());
                    }
                    self.keep_waiting(id, waiters, now, patience);
                    continue;
                }
            };
            for (_, waiter) in waiters {
                self.answer(waiter, answer.clone());
            }
        }
        for ((shard, holder, fencing_token), ids) in ask {
            let (alone, together): (Vec<_>, Vec<_>) =
                ids.into_iter().partition(|id| self.jobs.cancellations.ask_alone.remove(id));
            let messages = alone.into_iter().map(|id| vec![id]).chain([together]).filter(|ids| !ids.is_empty());
            for ids in messages.collect::<Vec<_>>() {
                self.notify_holder(shard, holder.clone(), fencing_token, ids);
            }
        }
    }

    /// Nobody waits for long: whoever asks again finds out more.
    fn keep_waiting(&mut self, id: JobId, waiters: Vec<(Micros, Waiter)>, now: Micros, patience: Micros) {
        let (late, rest): (Vec<_>, Vec<_>) = waiters.into_iter().partition(|(since, _)| now.since(*since) >= patience);
        for (_, waiter) in late {
            self.answer(waiter, BUSY);
        }
        if !rest.is_empty() {
            self.jobs.cancellations.waiting.insert(id, rest);
        }
    }

    fn notify_holder(&mut self, shard: u32, holder: String, fencing_token: FencingToken, ids: Vec<JobId>) {
        let told = |id: &JobId| {
            let end = self.store.replica.outcomes.get(id)?;
            Some(CancelledJob { id: id.to_string(), cancelled_at: end.value.at.0, revision: end.version })
        };
        let jobs: Vec<CancelledJob> = ids.iter().filter_map(told).collect();
        self.jobs.cancellations.next_call += 1;
        let call = self.jobs.cancellations.next_call;
        self.jobs.cancellations.notifying.insert(call, ids);
        self.out.push(Effect::Peer {
            call,
            to: holder,
            message: CancellationNotice { shard, fencing_token: fencing_token.0, jobs },
        });
    }

    pub(crate) fn cancellation_acknowledged(&mut self, call: u64, answer: Option<CancellationAck>) {
        let Some(ids) = self.jobs.cancellations.notifying.remove(&call) else { return };
        if answer.is_some_and(|ack| ack.holds_shard) {
            self.jobs.cancellations.confirmed.extend(ids);
            if self.jobs.cancellations.confirmed.len() > PRUNE_AT {
                let replica = &self.store.replica;
                self.jobs.cancellations.confirmed.retain(|id| replica.has_recorded_attempts(id));
            }
            return;
        }
        if ids.len() > 1 {
            // One of them may be all that the holder can't vouch for.
            let Cancellations { ask_alone, waiting, .. } = &mut self.jobs.cancellations;
            ask_alone.extend(ids);
            ask_alone.retain(|id| waiting.contains_key(id));
            return;
        }
        for id in ids {
            for (_, waiter) in self.jobs.cancellations.waiting.remove(&id).unwrap_or_default() {
                self.answer(waiter, BUSY);
            }
        }
    }

    /// A sibling saw jobs cancelled and wants to know whether we see to it. What it says counts at once as
    /// if the watch had brought it, which may be cut off: stopping is always safe, and no outcome changes.
    pub(crate) fn cancellation_notified(&mut self, waiter: Waiter, message: &CancellationNotice) {
        if !self.store.sync.done {
            return self.out.push(Effect::AnswerPeer(waiter, CancellationAck { holds_shard: false }));
        }
        let mut changes = Vec::new();
        for job in message.jobs.iter().filter(|job| is_valid_job_id(&job.id)) {
            let id = JobId::new(&job.id);
            if !self.store.replica.outcomes.contains_key(&id) {
                let end = to_value(&OutcomeRecord::cancelled(Micros(job.cancelled_at)));
                changes.push(self.store.replica.apply(&Key::Outcome(id).to_string(), Some(&end), job.revision));
            }
        }
        self.changed(changes);
        let obeyed = message
            .jobs
            .iter()
            .filter(|job| is_valid_job_id(&job.id))
            .all(|job| self.is_obeyed_on(&JobId::new(&job.id)));
        let holds = obeyed
            && self
                .role_token(Role::Shard(message.shard))
                .is_some_and(|fencing_token| fencing_token.0 >= message.fencing_token);
        self.out.push(Effect::AnswerPeer(waiter, CancellationAck { holds_shard: holds }));
    }
}
