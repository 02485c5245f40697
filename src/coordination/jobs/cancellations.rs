//! Confirms cancellations to clients.
//!
//! Once a cancellation is confirmed to any client, all tasks of the job have to be stopped within a bounded time,
//! whatever fails afterwards. A cancellation is therefore confirmed only once the shard's holder, as of a revision at
//! or after the cancellation, knows of it, and the machines with tasks of the job accept commands under that holder's
//! fencing token. Before that, a deposed holder that does not know of the cancellation could keep renewing their
//! leases. From then on every answer that renews a lease contains the stop commands (see
//! [`crate::coordination::fleet::lease_renewal`]). Machines whose tasks are not proven absent in time are deleted (see
//! [`crate::coordination::fleet::cancellation_enforcement`]).

use crate::coordination::api::UNAVAILABLE;
use crate::coordination::jobs::cancellation_log::ConfirmationBasis;
use crate::coordination::jobs::job::Job;
use crate::coordination::{Controller, Effect, RequestId, UserAnswer};
use crate::protocol::peer::{CancellationAck, CancellationNotice, CancelledJob};
use crate::protocol::user::is_valid_job_id;
use crate::storage::schema::{Key, OutcomeRecord, Role, to_value};
use crate::types::{FencingToken, JobId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// Number of acknowledged jobs above which those without recorded attempts are removed.
const PRUNE_ABOVE: usize = 64;

/// Clients that wait for cancellations to be confirmed, and the notices sent to siblings on their behalf.
#[derive(Default)]
pub(crate) struct Cancellations {
    waiting: BTreeMap<JobId, Vec<WaitingClient>>,
    /// Jobs whose cancellation the holder of a shard with tasks of them has acknowledged, with that shard.
    acknowledged: BTreeSet<(JobId, u32)>,
    /// The notices in flight to siblings.
    calls_in_flight: BTreeMap<u64, NoticeInFlight>,
    last_call: u64,
    /// Jobs whose holder did not acknowledge a notice with several jobs: each is sent in a notice of its own.
    to_notify_individually: BTreeSet<JobId>,
}

/// A notice to the holder of a shard that was not answered yet.
struct NoticeInFlight {
    shard: u32,
    jobs: Vec<JobId>,
}

/// A client that waits for a cancellation to be confirmed.
struct WaitingClient {
    request_id: RequestId,
    waiting_since: Micros,
}

/// The holder of a shard according to the replica.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ShardHolder {
    shard: u32,
    label: String,
    fencing_token: FencingToken,
}

/// Whether the holder of a cancelled job's shard knows of the cancellation, and the job's machines reject commands of
/// earlier holders.
enum ConfirmationState {
    /// Both hold, so the cancellation may be confirmed.
    Confirmed(ConfirmationBasis),
    /// This controller holds the shard, but a machine with a task of the job may still accept commands of an earlier
    /// holder.
    HolderNotConfirmed,
    /// The replica is older than the cancellation.
    ReplicaTooOld,
    /// No controller holds the shard.
    NoHolder,
    /// A sibling holds the shard and has to acknowledge the cancellation.
    HeldElsewhere(ShardHolder),
}

impl Cancellations {
    /// Removes all waiting clients and returns their requests, before this controller restarts its initial sync.
    pub(crate) fn drain_pending(&mut self) -> Vec<RequestId> {
        let clients = std::mem::take(&mut self.waiting).into_values().flatten();
        clients.map(|client| client.request_id).collect()
    }

    /// Continues the call numbers of an earlier state, so that late answers to its calls match no new call.
    pub(crate) fn continue_call_numbers(&mut self, earlier: &Cancellations) {
        self.last_call = earlier.last_call;
    }

    fn has_notice_in_flight(&self, id: &JobId) -> bool {
        self.calls_in_flight.values().any(|notice| notice.jobs.contains(id))
    }

    fn begin_call(&mut self, shard: u32, jobs: Vec<JobId>) -> u64 {
        self.last_call += 1;
        self.calls_in_flight.insert(self.last_call, NoticeInFlight { shard, jobs });
        self.last_call
    }

    /// Splits jobs with the same holder into messages: one for each job that needs a notice of its own, and one for the
    /// others.
    fn split_into_messages(&mut self, ids: Vec<JobId>) -> Vec<Vec<JobId>> {
        let (alone, together): (Vec<_>, Vec<_>) =
            ids.into_iter().partition(|id| self.to_notify_individually.remove(id));
        let messages = alone.into_iter().map(|id| vec![id]).chain([together]);
        messages.filter(|ids| !ids.is_empty()).collect()
    }

    /// Schedules a notice of its own for each job of a notice that was not acknowledged, as a single job may have been
    /// the reason.
    fn notify_individually(&mut self, ids: Vec<JobId>) {
        self.to_notify_individually.extend(ids);
        self.to_notify_individually.retain(|id| self.waiting.contains_key(id));
    }
}

impl Controller {
    fn confirmation_state(&self, id: &JobId) -> ConfirmationState {
        let Some(end) = self.store.replica.outcomes.get(id) else {
            return match self.jobs.is_cascaded(id) {
                true => ConfirmationState::Confirmed(ConfirmationBasis::CancelledDependency),
                false => ConfirmationState::ReplicaTooOld,
            };
        };
        // The replica may be older than the cancellation: then its shard holder may have been replaced since, and the
        // stored records may contain attempts that the replica does not show.
        if self.store.replica.applied_revision.0 < end.version {
            return ConfirmationState::ReplicaTooOld;
        }
        // Attempts are recorded on the precondition that the job has no outcome, and are removed from the stored
        // records only when they have ended or are proven absent. Without a recorded attempt no task of the job runs or
        // ever will.
        if !self.store.replica.has_recorded_attempts(id) {
            return ConfirmationState::Confirmed(ConfirmationBasis::NoAttempts);
        }
        let Some(job) = self.jobs.get(id) else { return ConfirmationState::ReplicaTooOld };
        let mut confirmed = ConfirmationState::Confirmed(ConfirmationBasis::NoAttempts);
        for shard in self.shards_with_recorded_attempts(id, job) {
            confirmed = self.confirmation_by_holder(id, shard);
            if !matches!(confirmed, ConfirmationState::Confirmed(_)) {
                return confirmed;
            }
        }
        confirmed
    }

    /// Returns the shards that schedule the tasks with a recorded attempt. They don't change any more once the job has an
    /// outcome.
    fn shards_with_recorded_attempts(&self, id: &JobId, job: &Job) -> BTreeSet<u32> {
        let chunks = self.store.replica.run_chunks.get(id).into_iter().flat_map(BTreeMap::values);
        let attempts = chunks.flat_map(|chunk| &chunk.value.task_attempts);
        attempts.map(|attempt| job.shard_of_task(attempt.task)).collect()
    }

    /// Returns the confirmation state of a job with recorded attempts in a shard, which depends on the shard's holder.
    fn confirmation_by_holder(&self, id: &JobId, shard: u32) -> ConfirmationState {
        if self.jobs.cancellations.acknowledged.contains(&(id.clone(), shard)) {
            return ConfirmationState::Confirmed(ConfirmationBasis::ShardHolder);
        }
        let role = Role::Shard(shard);
        // This controller holds the shard, and the replica shows no later holder.
        if self.holds(role) {
            return match self.is_holder_confirmed_for_job(id, shard) {
                true => ConfirmationState::Confirmed(ConfirmationBasis::OwnShard),
                false => ConfirmationState::HolderNotConfirmed,
            };
        }
        match self.store.replica.roles.get(&role) {
            Some(held) if held.value.holder != self.label => ConfirmationState::HeldElsewhere(ShardHolder {
                shard,
                label: held.value.holder.clone(),
                fencing_token: held.value.fencing_token,
            }),
            _ => ConfirmationState::NoHolder,
        }
    }

    /// Whether all machines of the shard with a recorded attempt of the job are deleted or have reported a fencing token
    /// of this holder. From then on no earlier holder can renew their leases or start an attempt there.
    fn is_holder_confirmed_for_job(&self, id: &JobId, shard: u32) -> bool {
        let Some(job) = self.jobs.get(id) else { return true };
        let in_shard = job.attempts.iter().filter(|(task, _)| job.shard_of_task(*task) == shard);
        in_shard.map(|(_, attempt)| attempt).filter(|attempt| attempt.may_be_on_machine()).all(|attempt| {
            let machine = attempt.machine();
            self.is_deleted_for_cancellation(machine)
                || self.fleet.machine(machine).is_some_and(|m| m.ownership.is_holder_confirmed())
        })
    }

    /// Registers a client that is answered as soon as the job's cancellation can be confirmed.
    pub(crate) fn answer_when_cancellation_confirmed(&mut self, request_id: RequestId, id: JobId) {
        let client = WaitingClient { request_id, waiting_since: self.now() };
        self.jobs.cancellations.waiting.entry(id).or_default().push(client);
    }

    /// Answers all clients whose cancellations can be confirmed or that have waited too long, and notifies the holders
    /// of the other jobs' shards.
    pub(crate) fn confirm_cancellations(&mut self) {
        let mut to_notify: BTreeMap<ShardHolder, Vec<JobId>> = BTreeMap::new();
        for (id, clients) in std::mem::take(&mut self.jobs.cancellations.waiting) {
            match self.confirmation_state(&id) {
                ConfirmationState::Confirmed(basis) => self.confirm_to_clients(&id, basis, clients),
                ConfirmationState::NoHolder => self.answer_clients(clients, &UNAVAILABLE),
                ConfirmationState::ReplicaTooOld if !self.reaches_store() => {
                    self.answer_clients(clients, &UNAVAILABLE);
                }
                ConfirmationState::ReplicaTooOld => {
                    self.store.request_fresh_read();
                    self.keep_waiting(id, clients);
                }
                ConfirmationState::HolderNotConfirmed => self.keep_waiting(id, clients),
                ConfirmationState::HeldElsewhere(holder) => {
                    if !self.jobs.cancellations.has_notice_in_flight(&id) {
                        to_notify.entry(holder).or_default().push(id.clone());
                    }
                    self.keep_waiting(id, clients);
                }
            }
        }
        for (holder, ids) in to_notify {
            for ids in self.jobs.cancellations.split_into_messages(ids) {
                self.notify_holder(holder.clone(), ids);
            }
        }
    }

    fn confirm_to_clients(&mut self, id: &JobId, basis: ConfirmationBasis, clients: Vec<WaitingClient>) {
        self.log_cancellation_confirmed(id, basis);
        let answer = self.final_status(id).map_or(UNAVAILABLE, UserAnswer::Status);
        self.answer_clients(clients, &answer);
    }

    fn answer_clients(&mut self, clients: Vec<WaitingClient>, answer: &UserAnswer) {
        for client in clients {
            self.answer(client.request_id, answer.clone());
        }
    }

    /// Keeps clients waiting until `confirm_patience_ms` has passed; after that they are answered as unavailable and
    /// can retry.
    fn keep_waiting(&mut self, id: JobId, clients: Vec<WaitingClient>) {
        let now = self.now();
        let max_wait = Micros::from_millis(self.policy.confirm_patience_ms);
        let has_timed_out = |client: &WaitingClient| now.since(client.waiting_since) >= max_wait;
        let (timed_out, waiting): (Vec<_>, Vec<_>) = clients.into_iter().partition(has_timed_out);
        self.answer_clients(timed_out, &UNAVAILABLE);
        if !waiting.is_empty() {
            self.jobs.cancellations.waiting.insert(id, waiting);
        }
    }

    fn notify_holder(&mut self, holder: ShardHolder, ids: Vec<JobId>) {
        let cancelled_job = |id: &JobId| {
            let end = self.store.replica.outcomes.get(id)?;
            Some(CancelledJob { id: id.to_string(), cancelled_at: end.value.at.0, revision: end.version })
        };
        let jobs = ids.iter().filter_map(cancelled_job).collect();
        let message = CancellationNotice { shard: holder.shard, fencing_token: holder.fencing_token.0, jobs };
        let call = self.jobs.cancellations.begin_call(holder.shard, ids);
        self.out.push(Effect::Peer { call, to: holder.label, message });
    }

    /// Handles a sibling's answer to a notice of cancelled jobs, or the failure of that call.
    pub(crate) fn cancellation_acknowledged(&mut self, call: u64, answer: Option<CancellationAck>) {
        let cancellations = &mut self.jobs.cancellations;
        let Some(NoticeInFlight { shard, jobs: ids }) = cancellations.calls_in_flight.remove(&call) else { return };
        if answer.is_some_and(|ack| ack.holds_shard) {
            cancellations.acknowledged.extend(ids.into_iter().map(|id| (id, shard)));
            if cancellations.acknowledged.len() > PRUNE_ABOVE {
                cancellations.acknowledged.retain(|(id, _)| self.store.replica.has_recorded_attempts(id));
            }
            return;
        }
        if ids.len() > 1 {
            return cancellations.notify_individually(ids);
        }
        for id in ids {
            let clients = self.jobs.cancellations.waiting.remove(&id).unwrap_or_default();
            self.answer_clients(clients, &UNAVAILABLE);
        }
    }

    /// Handles a sibling's notice of cancelled jobs and answers whether this controller enforces the cancellations. The
    /// notice is applied to the replica at once, as the watch may be interrupted. That is safe: an outcome never
    /// changes, and stopping the tasks of a cancelled job is always right.
    pub(crate) fn cancellation_notified(&mut self, request_id: RequestId, message: &CancellationNotice) {
        let holds = self.store.is_synced() && {
            self.apply_cancellations(message);
            self.enforces_cancellations(message)
        };
        self.out.push(Effect::AnswerPeer(request_id, CancellationAck { holds_shard: holds }));
    }

    fn apply_cancellations(&mut self, message: &CancellationNotice) {
        let mut changes = Vec::new();
        for job in message.jobs.iter().filter(|job| is_valid_job_id(&job.id)) {
            let id = JobId::new(&job.id);
            if !self.store.replica.outcomes.contains_key(&id) {
                let end = to_value(&OutcomeRecord::cancelled(Micros(job.cancelled_at)));
                changes.push(self.store.replica.apply(&Key::Outcome(id).to_string(), Some(&end), job.revision));
            }
        }
        self.apply_replica_changes(changes);
    }

    /// Whether this controller holds the shard under the fencing token that the sender knows or a later one, and the
    /// jobs' machines reject commands of earlier holders.
    fn enforces_cancellations(&self, message: &CancellationNotice) -> bool {
        let mut jobs = message.jobs.iter().filter(|job| is_valid_job_id(&job.id));
        jobs.all(|job| self.is_holder_confirmed_for_job(&JobId::new(&job.id), message.shard))
            && self
                .role_token(Role::Shard(message.shard))
                .is_some_and(|fencing_token| fencing_token.0 >= message.fencing_token)
    }
}
