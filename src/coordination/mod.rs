//! The decisions of a controller: which controller holds which shard, and which task runs on which machine.
//!
//! [`Controller`] is a state machine without I/O and without a clock: it takes inputs and the time, and returns
//! effects. The daemon passes it inputs in batches and executes the effects; the simulated world of the tests does the
//! same. Every decision is based on records in the store (see [`crate::storage`]) or on evidence from an agent's
//! heartbeat.
//!
//! Each submodule owns a part of the state and changes it with its own methods; the head of its `mod.rs` says what it
//! owns, reads and guarantees. [`Controller`] only orders the steps. `docs/architecture.md` shows how the parts work
//! together.

mod api;
mod autoscaling;
pub mod control;
mod fleet;
pub mod jobs;
mod log_limit;
mod messages;
pub mod scheduling;
pub mod store_sync;
mod zones;

pub use messages::{
    AgentAnswer, CallFailure, Clock, CloudCall, CloudOutcome, DirectCommandsOutcome, Effect, Input, ReadKind,
    ReadOutcome, RequestId, SessionOutcome, StoreCall, TxnOutcome, UserAnswer, UserRequest,
};

use crate::settings::{Platform, Policy};
use crate::storage::{Change, Replica};
use crate::types::Micros;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;

/// The state of one controller: the state of each submodule, and the fields that all of them use.
pub struct Controller {
    /// The platform's settings.
    platform: Arc<Platform>,
    /// The operators' settings.
    policy: Arc<Policy>,
    /// The name of this controller.
    label: String,
    /// Distinguishes this process from earlier ones under the same label.
    incarnation: u64,
    rng: SmallRng,
    /// The time of the current input or round.
    clock: Clock,
    /// The effects that the current round returns at its end.
    out: Vec<Effect>,
    next_nonce: u64,
    control: control::Control,
    store: store_sync::StoreSync,
    fleet: fleet::Fleet,
    jobs: jobs::Jobs,
    api: api::Api,
    scheduling: scheduling::Scheduling,
    autoscaling: autoscaling::Autoscaling,
    zones: zones::ZoneControl,
}

/// The time without any input after which the process is considered to have been stalled; ticks are far more frequent.
const STALL_THRESHOLD: Micros = Micros::from_millis(1000);

impl Controller {
    /// Creates a controller with an empty replica. `seed` must differ between processes, as the incarnation is derived
    /// from it.
    pub fn new(platform: Arc<Platform>, policy: Arc<Policy>, seed: u64) -> Controller {
        let mut rng = SmallRng::seed_from_u64(seed);
        let incarnation = rng.random::<u64>() >> 12;
        Controller {
            label: platform.label.clone(),
            control: control::Control::default(),
            store: store_sync::StoreSync::new(&platform, &policy),
            fleet: fleet::Fleet::new(&platform, &policy),
            jobs: jobs::Jobs::default(),
            api: api::Api::default(),
            scheduling: scheduling::Scheduling::default(),
            autoscaling: autoscaling::Autoscaling::default(),
            zones: zones::ZoneControl::default(),
            platform,
            policy,
            incarnation,
            rng,
            clock: Clock::default(),
            out: Vec::new(),
            next_nonce: 1,
        }
    }

    /// Whether the initial sync is complete, so that this controller can handle requests.
    pub fn is_ready(&self) -> bool {
        self.store.is_synced()
    }

    /// Returns this controller's replica of the stored records.
    pub fn replica(&self) -> &Replica {
        &self.store.replica
    }

    /// Whether the store has answered this controller recently. If not, the store may be down, or the network may
    /// separate just this controller from it.
    pub fn reaches_store(&self) -> bool {
        let max_silence = Micros::from_millis(self.policy.state_patience_ms);
        self.store.time_since_answer(self.now()) < max_silence
    }

    /// Handles one input. Its effects are returned by the next [`Controller::round`].
    pub fn handle(&mut self, clock: Clock, input: Input) {
        let stall = clock.steady.since(self.clock.steady);
        self.clock = clock;
        if self.store.is_synced() && stall >= STALL_THRESHOLD {
            self.process_stalled(stall);
        }
        if input.is_store_answer() {
            self.store.record_answer(clock.steady);
        }
        match input {
            Input::User(request_id, request) => self.user_request(request_id, request),
            Input::Heartbeat { request_id, heartbeat, relayed } => self.heartbeat(request_id, heartbeat, relayed),
            Input::Txn { ticket, outcome } => self.txn_outcome(ticket, outcome),
            Input::Changes { ticket, outcome } => self.changes_outcome(ticket, outcome),
            Input::Page { ticket, outcome } => self.page_outcome(ticket, outcome),
            Input::Session { ticket, outcome } => self.session_outcome(ticket, outcome),
            Input::DirectCommands { machine, outcome } => self.direct_commands_outcome(&machine, outcome),
            Input::Cloud { call, outcome } => self.cloud_outcome(call, outcome),
            Input::Peer(request_id, message) => self.cancellation_notified(request_id, &message),
            Input::PeerAnswer { call, answer } => self.cancellation_acknowledged(call, answer),
            Input::Tick => self.tick(),
        }
    }

    /// Handles a pause of this process during which the clocks went on. The pause is subtracted from the time since the
    /// last heartbeats, as the agents were not silent. The session is renewed at once, which shows whether it has
    /// expired. Agents' leases continued to run down, so the times of their renewal stay unchanged.
    fn process_stalled(&mut self, stall: Micros) {
        tracing::warn!(stall_ms = stall.millis(), "process stalled");
        let now = self.now();
        self.fleet.discount_stall(now, stall);
        self.renew_session_at_once();
        self.store.request_fresh_read();
    }

    /// Performs the periodic work.
    fn tick(&mut self) {
        self.tick_reads();
        self.tick_session();
        if !self.store.is_synced() {
            return;
        }
        self.tick_txns();
        self.store.log_write_usage(self.clock.steady);
        self.tick_leases();
        self.tick_machines();
        self.tick_machine_types();
        self.tick_leader();
        self.write_cascaded_cancellations();
        self.lend_waiting_tasks();
        self.log_open_cancellations();
        self.scheduling.request_cycle();
    }

    /// Makes the decisions that a batch of inputs allows and returns the effects. It is called after each batch.
    /// `has_time_left` returns whether the round's time budget lasts; jobs that are not reached come first in the next
    /// round.
    pub fn round(&mut self, clock: Clock, has_time_left: &mut dyn FnMut() -> bool) -> Vec<Effect> {
        self.clock = clock;
        if self.store.is_synced() {
            self.answer_pending_requests();
            self.run_scheduling_cycle(has_time_left);
            self.dispatch_writes();
            self.send_pending_direct_commands();
            self.confirm_cancellations();
        }
        self.start_fresh_read();
        std::mem::take(&mut self.out)
    }

    /// Whether the last round ran out of time.
    pub fn has_unfinished_round(&self) -> bool {
        self.scheduling.has_jobs_left()
    }

    /// Returns the monotonic time of the current input or round.
    fn now(&self) -> Micros {
        self.clock.steady
    }

    /// Returns a number for names of stored records. It is unique among all processes by the incarnation in its upper
    /// bits, and within a process by the counter.
    fn nonce(&mut self) -> u64 {
        self.next_nonce += 1;
        (self.incarnation << 12) ^ self.next_nonce
    }

    /// Updates all parts of the state after changes of the replica.
    fn apply_replica_changes(&mut self, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Role(role) => {
                    self.role_changed(role);
                    self.zone_views_of_role_changed(role);
                }
                Change::Machines(ids) => ids.iter().for_each(|id| self.machine_record_changed(id)),
                Change::Jobs(ids) => ids.iter().for_each(|id| self.reconcile_job(id)),
                Change::JobLoans(id) => self.job_loans_changed(&id),
                Change::RunChunk(id, chunk) => self.reconcile_chunk(&id, chunk),
                Change::Outcome(id) => {
                    self.reconcile_job(&id);
                    self.propagate_outcome(&id);
                }
                Change::Controller(_) => self.record_versions_changed(),
                Change::ZoneView(zone, shard) => self.zone_view_changed(&zone, shard),
                Change::ZoneCordon(zone) => self.zone_cordon_changed(&zone),
                Change::Nothing => {}
            }
        }
    }

    /// Restarts the initial sync as if the process had just started, when the store no longer has the changes after the
    /// replica's revision.
    fn resync(&mut self) {
        tracing::warn!("replica too far behind the store, reading all records again");
        let seed = self.rng.random();
        let mut fresh = Controller::new(self.platform.clone(), self.policy.clone(), seed);
        fresh.clock = self.clock;
        fresh.out = std::mem::take(&mut self.out);
        fresh.autoscaling.carry_over_from(&mut self.autoscaling);
        fresh.fleet.adopt_open_direct_messages(&self.fleet);
        fresh.jobs.cancellations.continue_call_numbers(&self.jobs.cancellations);
        let pending = self.api.drain_pending().into_iter().chain(self.jobs.cancellations.drain_pending());
        for request_id in pending {
            fresh.out.push(Effect::AnswerUser(request_id, UserAnswer::Unavailable { retry_after_s: 1 }));
        }
        for unregistered in self.fleet.take_unregistered() {
            fresh.out.push(Effect::AnswerAgent(unregistered.request_id, AgentAnswer::Unavailable));
        }
        // The ticket numbers continue, so that answers to earlier calls match no new call.
        fresh.store.continue_tickets_of(&self.store);
        *self = fresh;
    }
}
