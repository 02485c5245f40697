//! From a user's cancellation to its confirmation.
//!
//! Once any client was told that a job is cancelled, all its tasks have to be gone in a bounded time, whatever fails
//! next. So it is confirmed only once the controller that commands the job's tasks knows of it, as of a moment at or
//! after the cancellation, and once the machines with tasks of the job obey that controller: until then a deposed holder
//! of the shard that knows nothing of it could go on renewing their leases. From here on every answer that renews a
//! lease carries the stops (see [`crate::coordination::fleet::lease_renewal`]). If nothing proves in time that the tasks
//! are gone, their machines are deleted (see [`crate::coordination::fleet::cancellation_enforcement`]).

use crate::coordination::api::UNAVAILABLE;
use crate::coordination::jobs::cancellation_log::ConfirmationBasis;
use crate::coordination::{Controller, Effect, RequestId, UserAnswer};
use crate::protocol::peer::{CancellationAck, CancellationNotice, CancelledJob};
use crate::protocol::user::is_valid_job_id;
use crate::storage::schema::{Key, OutcomeRecord, Role, to_value};
use crate::types::{FencingToken, JobId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// Acknowledged jobs are dropped once the stored records no longer need them; looked at whenever there are more than
/// this.
const PRUNE_ABOVE: usize = 64;

/// Clients that wait for cancellations to be confirmed, and the calls to other controllers on their behalf.
#[derive(Default)]
pub(crate) struct Cancellations {
    waiting: BTreeMap<JobId, Vec<WaitingClient>>,
    /// Jobs whose cancellation the holder of their shard has acknowledged.
    acknowledged: BTreeSet<JobId>,
    /// The jobs that each call in flight to another controller tells of.
    calls_in_flight: BTreeMap<u64, Vec<JobId>>,
    last_call: u64,
    /// Jobs that a holder did not acknowledge together with others: each is asked about alone.
    ask_alone: BTreeSet<JobId>,
}

/// A client that waits for a cancellation to be confirmed.
struct WaitingClient {
    request_id: RequestId,
    waiting_since_at: Micros,
}

/// The holder of a shard, as far as the stored records say.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ShardHolder {
    shard: u32,
    label: String,
    fencing_token: FencingToken,
}

/// Whether the controller that commands a cancelled job's tasks knows of the cancellation, and is obeyed.
enum ConfirmationState {
    /// It does: the client may be told.
    Confirmed(ConfirmationBasis),
    /// The shard is held here, but a machine with a task of the job may still obey an earlier holder.
    MachinesNotObeying,
    /// The replica is older than the cancellation.
    ReplicaTooOld,
    /// No controller holds the shard now.
    NoHolder,
    /// Another controller holds the shard and has to be asked.
    HeldElsewhere(ShardHolder),
}

impl Cancellations {
    /// Takes out all clients that wait, for when this controller starts over.
    pub(crate) fn drain_pending(&mut self) -> Vec<RequestId> {
        let clients = std::mem::take(&mut self.waiting).into_values().flatten();
        clients.map(|client| client.request_id).collect()
    }

    /// Numbers calls on from where an earlier state left off, so that late answers to its calls match none of ours.
    pub(crate) fn continue_call_numbers(&mut self, earlier: &Cancellations) {
        self.last_call = earlier.last_call;
    }

    fn is_being_asked_about(&self, id: &JobId) -> bool {
        self.calls_in_flight.values().flatten().any(|asked| asked == id)
    }

    fn begin_call(&mut self, ids: Vec<JobId>) -> u64 {
        self.last_call += 1;
        self.calls_in_flight.insert(self.last_call, ids);
        self.last_call
    }

    /// Parts jobs with the same holder by message: one for each that has to be asked about alone, and one for the rest.
    fn split_into_messages(&mut self, ids: Vec<JobId>) -> Vec<Vec<JobId>> {
        let (alone, together): (Vec<_>, Vec<_>) = ids.into_iter().partition(|id| self.ask_alone.remove(id));
        let messages = alone.into_iter().map(|id| vec![id]).chain([together]);
        messages.filter(|ids| !ids.is_empty()).collect()
    }

    /// The holder did not acknowledge several jobs together, perhaps on account of a single one.
    fn ask_about_each_alone(&mut self, ids: Vec<JobId>) {
        self.ask_alone.extend(ids);
        self.ask_alone.retain(|id| self.waiting.contains_key(id));
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
        if self.jobs.cancellations.acknowledged.contains(id) {
            return ConfirmationState::Confirmed(ConfirmationBasis::ShardHolder);
        }
        // Who holds the shard is only known as of what was read. A holder from before the cancellation may have a
        // successor by now, and the stored records may name an attempt that is not seen here yet.
        if self.store.replica.applied_revision.0 < end.version {
            return ConfirmationState::ReplicaTooOld;
        }
        // Attempts are recorded on the precondition that the job isn't over, and leave the stored records only when
        // proven absent: without any, nothing of the job runs or ever will.
        if !self.store.replica.has_recorded_attempts(id) {
            return ConfirmationState::Confirmed(ConfirmationBasis::NoAttempts);
        }
        let Some(job) = self.jobs.get(id) else { return ConfirmationState::ReplicaTooOld };
        self.confirmation_by_holder(id, job.shard)
    }

    /// The same for a job with recorded attempts, which takes the word of its shard's holder.
    fn confirmation_by_holder(&self, id: &JobId, shard: u32) -> ConfirmationState {
        let role = Role::Shard(shard);
        // Held here, and the replica shows no later holder.
        if self.holds(role) {
            return match self.is_obeyed_by_machines_of(id) {
                true => ConfirmationState::Confirmed(ConfirmationBasis::OwnShard),
                false => ConfirmationState::MachinesNotObeying,
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

    /// Whether all machines with a recorded attempt of the job have shown a fencing token of this holder's: from then on
    /// no earlier holder can renew their leases, nor have an attempt started there.
    fn is_obeyed_by_machines_of(&self, id: &JobId) -> bool {
        let Some(job) = self.jobs.get(id) else { return true };
        job.attempts.values().filter(|attempt| attempt.may_be_on_machine()).all(|attempt| {
            let machine = attempt.machine();
            self.is_deleted_for_cancellation(machine)
                || self.fleet.machine(machine).is_some_and(|m| m.ownership.is_holder_confirmed())
        })
    }

    /// Has a client told that a job is cancelled, as soon as that can be confirmed.
    pub(crate) fn answer_when_cancellation_confirmed(&mut self, request_id: RequestId, id: JobId) {
        let client = WaitingClient { request_id, waiting_since_at: self.now() };
        self.jobs.cancellations.waiting.entry(id).or_default().push(client);
    }

    /// Answers all clients whose cancellations can be confirmed or that have waited for too long, and asks the holders
    /// of the other jobs' shards.
    pub(crate) fn confirm_cancellations(&mut self) {
        let mut to_ask: BTreeMap<ShardHolder, Vec<JobId>> = BTreeMap::new();
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
                ConfirmationState::MachinesNotObeying => self.keep_waiting(id, clients),
                ConfirmationState::HeldElsewhere(holder) => {
                    if !self.jobs.cancellations.is_being_asked_about(&id) {
                        to_ask.entry(holder).or_default().push(id.clone());
                    }
                    self.keep_waiting(id, clients);
                }
            }
        }
        for (holder, ids) in to_ask {
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

    /// No client waits for long: one that asks again learns more.
    fn keep_waiting(&mut self, id: JobId, clients: Vec<WaitingClient>) {
        let now = self.now();
        let max_wait = Micros::from_millis(self.policy.confirm_patience_ms);
        let has_timed_out = |client: &WaitingClient| now.since(client.waiting_since_at) >= max_wait;
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
        let call = self.jobs.cancellations.begin_call(ids);
        self.out.push(Effect::Peer { call, to: holder.label, message });
    }

    /// Another controller has answered our call about cancelled jobs, or the call has failed.
    pub(crate) fn cancellation_acknowledged(&mut self, call: u64, answer: Option<CancellationAck>) {
        let cancellations = &mut self.jobs.cancellations;
        let Some(ids) = cancellations.calls_in_flight.remove(&call) else { return };
        if answer.is_some_and(|ack| ack.holds_shard) {
            cancellations.acknowledged.extend(ids);
            if cancellations.acknowledged.len() > PRUNE_ABOVE {
                cancellations.acknowledged.retain(|id| self.store.replica.has_recorded_attempts(id));
            }
            return;
        }
        if ids.len() > 1 {
            return cancellations.ask_about_each_alone(ids);
        }
        for id in ids {
            let clients = self.jobs.cancellations.waiting.remove(&id).unwrap_or_default();
            self.answer_clients(clients, &UNAVAILABLE);
        }
    }

    /// Another controller tells of cancelled jobs and asks whether we enforce that. What it says counts at once as
    /// if the watch had brought it, which may be cut off: stopping is always safe, and no outcome changes.
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

    /// Whether we hold the shard under the token that the sender has seen, or a later one, and the machines obey.
    fn enforces_cancellations(&self, message: &CancellationNotice) -> bool {
        let mut jobs = message.jobs.iter().filter(|job| is_valid_job_id(&job.id));
        jobs.all(|job| self.is_obeyed_by_machines_of(&JobId::new(&job.id)))
            && self
                .role_token(Role::Shard(message.shard))
                .is_some_and(|fencing_token| fencing_token.0 >= message.fencing_token)
    }
}
