//! All decisions of a controller: who holds which shard, and what runs on which machine.
//!
//! A state machine without I/O and without a clock: inputs and the time come in, effects go out. The daemon feeds
//! [`Controller`] its inputs in batches and carries out the effects; the simulated world of the tests does the same.
//! Everything a decision rests on is either in the store (see [`crate::storage`]) or was proven by an agent's heartbeat.
//!
//! Each folder owns a part of the state and changes it by its own methods; what it owns, reads and promises stands at the
//! head of its `mod.rs`. The root type only orders the steps. `docs/architecture.md` shows how they work together.

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

/// The state of one controller: a part for each concern, and what all parts need.
pub struct Controller {
    /// The platform's settings.
    platform: Arc<Platform>,
    /// The operators' settings.
    policy: Arc<Policy>,
    /// Name of this controller.
    label: String,
    /// Distinguishes this process from earlier ones under the same label.
    incarnation: u64,
    rng: SmallRng,
    /// The time of the present input or round.
    clock: Clock,
    /// Effects that leave with the end of the present round.
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

/// A process without any input for so long was stalled, as ticks come far more often.
const STALL_THRESHOLD: Micros = Micros::from_millis(1000);

impl Controller {
    /// A controller that knows nothing yet. `seed` must differ between processes: it names this incarnation.
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

    /// Whether this controller can take requests: the initial sync is complete.
    pub fn is_ready(&self) -> bool {
        self.store.is_synced()
    }

    /// The stored records as this controller knows them.
    pub fn replica(&self) -> &Replica {
        &self.store.replica
    }

    /// Whether the store has answered this controller a short while ago. If not, the store may be down for all, or the
    /// network may keep this controller alone from it.
    pub fn reaches_store(&self) -> bool {
        let max_silence = Micros::from_millis(self.policy.state_patience_ms);
        self.store.time_since_answer(self.now()) < max_silence
    }

    /// Takes in one input. Its effects come with the next [`Controller::round`].
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

    /// This process did nothing for a while, though its clocks ran on. The silence was its own: how long others were not
    /// heard counts from before, and whether the session has lasted is found out first. Agents' leases ran on meanwhile,
    /// so when they were renewed stays as it was.
    fn process_stalled(&mut self, stall: Micros) {
        tracing::warn!(stall_ms = stall.millis(), "process stalled");
        let now = self.now();
        self.fleet.discount_stall(now, stall);
        self.renew_session_at_once();
        self.store.request_fresh_read();
    }

    /// Does what is due by the time alone.
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
        self.log_open_cancellations();
        self.scheduling.request_cycle();
    }

    /// To be called after each batch of inputs: decides what the batch allows and returns the effects. `has_time_left`
    /// says whether the time that a round may take lasts; jobs that are not reached come first in the next round.
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

    /// Steady time of the present input or round.
    fn now(&self) -> Micros {
        self.clock.steady
    }

    /// A number for names of stored records, unique among all processes: by the incarnation's upper bits, and within one
    /// process by the count.
    fn nonce(&mut self) -> u64 {
        self.next_nonce += 1;
        (self.incarnation << 12) ^ self.next_nonce
    }

    /// Brings all parts in line with what has changed in the replica.
    fn apply_replica_changes(&mut self, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Role(role) => {
                    self.role_changed(role);
                    self.zone_views_of_role_changed(role);
                }
                Change::Machines(ids) => ids.iter().for_each(|id| self.machine_record_changed(id)),
                Change::Jobs(ids) => ids.iter().for_each(|id| self.reconcile_job(id)),
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

    /// Starts again with the initial sync, as if the process had just started; for when the store no longer has the
    /// changes that follow the replica.
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
        // Tickets go on counting, so that answers to old calls match nothing.
        fresh.store.continue_tickets_of(&self.store);
        *self = fresh;
    }
}
