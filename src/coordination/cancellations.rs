//! From a cancellation to the proof that nothing of the job is left.
//!
//! Once any user was told that a job is cancelled, all its tasks have to be gone in a bounded time, whatever
//! fails next. So it is told only once it is known where it counts: by the controller that commands the job's
//! tasks, as of a moment at or after the cancellation. That one stops them on its own term, which needs no
//! state service. If nothing else proves in time that they are gone, it has their machines deleted, which
//! needs none either and holds for a machine that hangs.

use super::leader::Call;
use super::usage::Phase;
use super::users::BUSY;
use super::{Core, Effect, UserAnswer, Waiter};
use crate::bookkeeping::schema::{EndRecord, Key, Outcome, Role, to_value};
use crate::protocol::peer::{CancellationAck, Cancelled, CancelledJob};
use crate::protocol::user::valid_id;
use crate::units::{JobId, MachineId, Micros, Term};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Default)]
pub(super) struct Cancellations {
    /// Users who asked about cancelled jobs, and since when they wait.
    waiting: BTreeMap<JobId, Vec<(Micros, Waiter)>>,
    /// Jobs whose share's holder said that it knows.
    confirmed: BTreeSet<JobId>,
    /// Siblings being told of jobs.
    notifying: BTreeMap<u64, Vec<JobId>>,
    pub next_call: u64,
    /// By when what is left of cancelled jobs is to be deleted with its machines.
    deadlines: BTreeMap<JobId, Micros>,
    /// Machines whose deletion was asked for, and when.
    clearing: BTreeMap<MachineId, Micros>,
    /// Machines that were so deleted and are still in the stored records, and when that was last sent to be written
    /// down.
    cleared: BTreeMap<MachineId, Option<Micros>>,
}

impl Cancellations {
    pub fn all_waiters(&mut self) -> Vec<Waiter> {
        std::mem::take(&mut self.waiting).into_values().flatten().map(|(_, waiter)| waiter).collect()
    }
}

/// Whether those who command a cancelled job's tasks know that it is cancelled.
enum Acknowledgement {
    Sure,
    /// The replica is older than the cancellation.
    Stale,
    /// Nobody holds the share now.
    Nobody,
    /// That sibling holds it under that term.
    Ask(u32, String, Term),
}

/// Names in one deletion at most.
const CLEAR_MOST: usize = 100;
/// A deletion not confirmed by then is asked for again.
const CLEAR_AGAIN: Micros = Micros::from_millis(3000);
/// What is known of jobs is dropped once the stored records no longer need it; looked at so often.
const PRUNE_AT: usize = 64;

impl Core {
    fn acknowledgement(&self, id: &JobId) -> Acknowledgement {
        let Some(end) = self.replica.ends.get(id) else {
            // Over because a job that it needs was cancelled: nothing of it was ever started.
            return if self.cascaded.contains(id) { Acknowledgement::Sure } else { Acknowledgement::Stale };
        };
        if self.cancellations.confirmed.contains(id) {
            return Acknowledgement::Sure;
        }
        // Who holds the share is only known as of what was read. A holder from before the cancellation
        // may have a successor by now, and a start may be in the stored records that is not seen here yet.
        if self.replica.applied.0 < end.version {
            return Acknowledgement::Stale;
        }
        // Starts are recorded under the condition that the job isn't over, and leave the stored records only when
        // proven gone: without any nothing runs, nor will.
        if !self.replica.has_starts(id) {
            return Acknowledgement::Sure;
        }
        let Some(job) = self.jobs.get(id) else { return Acknowledgement::Stale };
        let role = Role::Share(job.share);
        // Held here, and the replica shows no later holder.
        if self.held(role).is_some() {
            return Acknowledgement::Sure;
        }
        match self.replica.roles.get(&role) {
            Some(held) if held.value.owner != self.label => {
                Acknowledgement::Ask(job.share, held.value.owner.clone(), held.value.term)
            }
            _ => Acknowledgement::Nobody,
        }
    }

    /// Tells a user that a job is cancelled, as soon as that may be told.
    pub(super) fn answer_cancelled(&mut self, waiter: Waiter, id: JobId) {
        let now = self.now();
        self.cancellations.waiting.entry(id).or_default().push((now, waiter));
    }

    /// Answers whoever can be answered about cancelled jobs, and asks the holders of their shares.
    pub(super) fn confirm_cancellations(&mut self) {
        if self.cancellations.waiting.is_empty() {
            return;
        }
        let now = self.now();
        let patience = Micros::from_millis(self.policy.confirm_patience_ms);
        let mut ask: BTreeMap<(u32, String, Term), Vec<JobId>> = BTreeMap::new();
        for (id, waiters) in std::mem::take(&mut self.cancellations.waiting) {
            let answer = match self.acknowledgement(&id) {
                Acknowledgement::Sure => self.final_status(&id).map_or(BUSY, UserAnswer::Status),
                Acknowledgement::Nobody => BUSY,
                Acknowledgement::Stale if !self.reaches_state() => BUSY,
                Acknowledgement::Stale => {
                    self.reads.wanted = true;
                    self.keep_waiting(id, waiters, now, patience);
                    continue;
                }
                Acknowledgement::Ask(share, holder, term) => {
                    if !self.cancellations.notifying.values().flatten().any(|told| *told == id) {
                        ask.entry((share, holder, term)).or_default().push(id.clone());
                    }
                    self.keep_waiting(id, waiters, now, patience);
                    continue;
                }
            };
            for (_, waiter) in waiters {
                self.answer(waiter, answer.clone());
            }
        }
        for ((share, holder, term), ids) in ask {
            self.notify_holder(share, holder, term, ids);
        }
    }

    /// Nobody waits for long: whoever asks again finds out more.
    fn keep_waiting(&mut self, id: JobId, waiters: Vec<(Micros, Waiter)>, now: Micros, patience: Micros) {
        let (late, rest): (Vec<_>, Vec<_>) = waiters.into_iter().partition(|(since, _)| now.since(*since) >= patience);
        for (_, waiter) in late {
            self.answer(waiter, BUSY);
        }
        if !rest.is_empty() {
            self.cancellations.waiting.insert(id, rest);
        }
    }

    fn notify_holder(&mut self, share: u32, holder: String, term: Term, ids: Vec<JobId>) {
        let told = |id: &JobId| {
            let end = self.replica.ends.get(id)?;
            Some(CancelledJob { id: id.to_string(), at: end.value.at.0, revision: end.version })
        };
        let jobs: Vec<CancelledJob> = ids.iter().filter_map(told).collect();
        self.cancellations.next_call += 1;
        let call = self.cancellations.next_call;
        self.cancellations.notifying.insert(call, ids);
        self.out.push(Effect::Peer { call, to: holder, message: Cancelled { share, term: term.0, jobs } });
    }

    pub(super) fn cancellation_acknowledged(&mut self, call: u64, answer: Option<CancellationAck>) {
        let Some(ids) = self.cancellations.notifying.remove(&call) else { return };
        if answer.is_some_and(|a| a.holds) {
            self.cancellations.confirmed.extend(ids);
            if self.cancellations.confirmed.len() > PRUNE_AT {
                let replica = &self.replica;
                self.cancellations.confirmed.retain(|id| replica.has_starts(id));
            }
            return;
        }
        for id in ids {
            for (_, waiter) in self.cancellations.waiting.remove(&id).unwrap_or_default() {
                self.answer(waiter, BUSY);
            }
        }
    }

    /// A sibling saw jobs cancelled and wants to know whether we see to it. What it says counts at once as
    /// if the watch had brought it, which may be cut off: stopping is always safe, and no outcome changes.
    pub(super) fn cancellation_notified(&mut self, waiter: Waiter, message: &Cancelled) {
        if !self.sync.done {
            return self.out.push(Effect::AnswerPeer(waiter, CancellationAck { holds: false }));
        }
        let mut changes = Vec::new();
        for job in message.jobs.iter().filter(|job| valid_id(&job.id)) {
            let id = JobId::new(&job.id);
            if !self.replica.ends.contains_key(&id) {
                let end = to_value(&EndRecord::cancelled(Micros(job.at)));
                changes.push(self.replica.apply(&Key::End(id).to_string(), Some(&end), job.revision));
            }
        }
        self.changed(changes);
        let holds = self.held(Role::Share(message.share)).is_some_and(|term| term.0 >= message.term);
        self.out.push(Effect::AnswerPeer(waiter, CancellationAck { holds }));
    }

    /// So long after a cancellation its tasks' machines are deleted: late enough that a lease may have run
    /// out first, which proves as much and costs nothing.
    fn clear_after(&self) -> Micros {
        let workers = &self.platform.deployment.workers;
        let cancel = Micros::from_secs_f64(workers.cancel_s);
        let part = Micros::from_secs_f64(workers.cancel_s * self.policy.clear_part);
        let lease = Micros::from_secs_f64(workers.lease_s * 1.002 + 3.0);
        part.max(lease).min(cancel - Micros::from_millis(self.policy.clear_margin_ms))
    }

    /// Notes by when a cancelled job's tasks have to be proven gone. Counted from what the stored records say, so it
    /// holds for a successor as well.
    pub(super) fn note_deadline(&mut self, id: &JobId) {
        let Some(end) = self.replica.ends.get(id).filter(|e| e.value.outcome == Outcome::Cancelled) else { return };
        if !self.jobs.contains_key(id) {
            return;
        }
        let age = self.clock.wall.since(end.value.at);
        let left = self.clear_after().since(age).max(Micros::from_millis(self.policy.clear_contact_ms));
        self.cancellations.deadlines.insert(id.clone(), self.now() + left);
    }

    /// Deletes the machines on which something of a cancelled job may run when its time is up. A machine that
    /// obeys a successor is left to that one.
    pub(super) fn clear_cancelled(&mut self) {
        let now = self.now();
        self.strike_out_cleared();
        if self.cancellations.deadlines.is_empty() {
            return;
        }
        let mut due: BTreeMap<MachineId, Micros> = BTreeMap::new();
        let mut deadlines = std::mem::take(&mut self.cancellations.deadlines);
        deadlines.retain(|id, deadline| {
            let Some(job) = self.jobs.get(id).filter(|j| j.live.occupying() > 0) else { return false };
            if *deadline > now || !self.clears_share(job.share) {
                return true;
            }
            for live in job.live.values().filter(|l| l.occupies() && l.phase() != Phase::Decided) {
                let first = due.entry(live.machine().clone()).or_insert(*deadline);
                *first = (*first).min(*deadline);
            }
            true
        });
        self.cancellations.deadlines = deadlines;
        self.cancellations.clearing.retain(|_, at| now.since(*at) < CLEAR_AGAIN);
        let mut ids: Vec<(Micros, MachineId)> = due
            .into_iter()
            .filter(|(id, _)| self.machines.get(id).is_some_and(|m| !m.outranked))
            .filter(|(id, _)| !self.cancellations.clearing.contains_key(id) && !self.is_cleared(id))
            .map(|(id, deadline)| (deadline, id))
            .collect();
        ids.sort_unstable();
        for part in ids.chunks(CLEAR_MOST) {
            let part: Vec<MachineId> = part.iter().map(|(_, id)| id.clone()).collect();
            tracing::warn!(machines = ?part, "deleted, as cancelled tasks may still run there");
            self.cancellations.clearing.extend(part.iter().map(|id| (id.clone(), now)));
            self.cloud(Call::Clear(part));
        }
    }

    /// Whether this controller has to see to it that a share's cancelled tasks are gone: it holds the share; or nobody
    /// does, and as long as the state service is away nobody can take it.
    fn clears_share(&self, share: u32) -> bool {
        let role = Role::Share(share);
        self.held(role).is_some() || (!self.replica.roles.contains_key(&role) && !self.reaches_state())
    }

    /// Whether it was deleted here, though the stored records don't say so yet.
    pub(super) fn is_cleared(&self, id: &MachineId) -> bool {
        self.cancellations.cleared.contains_key(id)
    }

    /// Their deletion was confirmed: nothing is left on them, whether or not that can be written down now.
    pub(super) fn machines_cleared(&mut self, ids: Vec<MachineId>) {
        let now = self.now();
        for id in ids {
            for (job, task) in self.usage.starts_on(&id) {
                self.start_gone(&job, task);
            }
            self.leader.deleted.insert(id.clone(), now);
            self.cancellations.cleared.insert(id, None);
        }
    }

    /// Takes machines deleted here out of the stored records, again if a change of their records came between.
    fn strike_out_cleared(&mut self) {
        let now = self.now();
        let recorded = &self.replica.machines;
        self.cancellations.cleared.retain(|id, _| recorded.contains_key(id));
        let mut ids = Vec::new();
        for (id, sent) in &mut self.cancellations.cleared {
            let due = sent.is_none_or(|at| now.since(at) >= CLEAR_AGAIN);
            if let Some(machine) = self.machines.get_mut(id).filter(|m| due && !m.writing) {
                machine.writing = true;
                *sent = Some(now);
                ids.push(id.clone());
            }
        }
        self.strike_out(ids);
    }
}
