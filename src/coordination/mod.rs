//! Who owns what and what runs where.
//!
//! Pure: inputs and the time come in, effects go out. One [`Controller`] owns all state of a
//! controller; the daemon feeds it a queue of inputs in batches. Everything a decision rests on
//! is either in the store (see [`crate::storage`]) or was proven by a worker's heartbeat.

mod api;
mod autoscaling;
pub mod control;
mod fleet;
pub mod jobs;
mod messages;
pub mod scheduling;
pub mod store_sync;
mod zones;

pub use messages::{
    Clock, CloudCall, CloudOutcome, DirectCommandsOutcome, Effect, Failure, Input, LeaseOutcome, ReadKind, ReadOutcome,
    StoreCall, TxnOutcome, UserAnswer, UserRequest, Waiter, WorkerAnswer,
};

use crate::protocol::cloud::MachineType;
use crate::protocol::worker::Heartbeat;
use crate::settings::{Platform, Policy};
use crate::storage::schema::RecordVersion;
use crate::storage::{Change, Replica, schema};
use crate::types::{JobId, MachineId, Micros, Resources};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// A machine type with its room worked out.
#[derive(Clone, Debug)]
struct TypeInfo {
    wire: MachineType,
    resources: Resources,
}

/// A heartbeat of a machine that is not in the stored records yet.
struct Unregistered {
    since: Micros,
    waiter: Waiter,
    heartbeat: Heartbeat,
}

/// The state of one controller, and all its decisions.
pub struct Controller {
    platform: Arc<Platform>,
    policy: Arc<Policy>,
    label: String,
    incarnation: u64,
    rng: SmallRng,
    clock: Clock,
    /// In which questions come and calls leave.
    order: store_sync::evidence::LogicalClock,
    out: Vec<Effect>,
    replica: Replica,
    sync: store_sync::reads::Sync,
    /// When the stored records had been read.
    synced_at: Micros,
    reads: store_sync::reads::Reads,
    session: control::roles::Session,
    roles: control::roles::Roles,
    txns: store_sync::txns::Txns,
    users: api::requests::Users,
    cancellations: jobs::cancellations::Cancellations,
    audit: jobs::cancellation_log::Audit,
    dependency_graph: jobs::dependency_graph::DependencyGraph,
    /// Jobs over because one that they need was cancelled, which their own keys don't say yet.
    cascaded: BTreeSet<JobId>,
    /// The change budget.
    budget: store_sync::budget::Budget,
    usage: jobs::usage::Usage,
    /// Tasks per run chunk.
    chunk_tasks: u32,
    jobs: BTreeMap<JobId, jobs::job::Job>,
    machines: BTreeMap<MachineId, fleet::machines::Machine>,
    /// Machines that are to be told something before they report.
    pushes: BTreeSet<MachineId>,
    /// The same for what can wait until then.
    pushes_later: BTreeSet<(Micros, MachineId)>,
    /// Direct messages on their way, and how many there may be: each takes a socket.
    direct_open: usize,
    direct_most: usize,
    /// Probes between heartbeats that may go now, and as of when.
    probes_left: f64,
    probed_at: Micros,
    /// Last answer of the store that was no refusal.
    store_last_answered_at: Micros,
    next_machines: Micros,
    next_renewal: Micros,
    /// When more machines than could well be lost together last failed to answer.
    many_unreachable: Option<Micros>,
    /// The same for machines whose heartbeats did not come.
    many_unreported: Option<Micros>,
    /// When most of a zone's machines were last silent together.
    zones_cut: BTreeMap<String, Micros>,
    /// Heartbeats of machines that are just being taken into the stored records.
    unregistered: Vec<Unregistered>,
    types: BTreeMap<String, TypeInfo>,
    types_asked: Micros,
    /// Jobs still to be looked at in this pass of decisions.
    pass: VecDeque<JobId>,
    pass_wanted: bool,
    pass_began: Micros,
    /// Something urgent has come since the last pass began.
    urgent_pass: bool,
    leader: autoscaling::leader::Leader,
    zone_control: zones::zone_control::ZoneControl,
    /// By when machines of shards held here should move to others, if any are to.
    moves_due: Option<Micros>,
    /// The oldest version of the rules for stored records among the controllers alive.
    oldest_version: Option<RecordVersion>,
    next_call: u64,
    last_ticket: u64,
    next_nonce: u64,
}

/// Without any input for so long a process has stood still.
const STANDSTILL: Micros = Micros::from_millis(1000);

impl Controller {
    /// `seed` must differ between processes: it names this incarnation.
    pub fn new(platform: Arc<Platform>, policy: Arc<Policy>, seed: u64) -> Controller {
        let mut rng = SmallRng::seed_from_u64(seed);
        let incarnation = rng.random::<u64>() >> 12;
        let direct_most = platform.deployment.quota.part_of_sockets(policy.direct_part);
        Controller {
            label: platform.label.clone(),
            budget: store_sync::budget::Budget::new(
                platform.deployment.store.write_rps,
                platform.deployment.store.least_write_rps(),
                platform.deployment.nodes,
                policy.state_limits_together,
            ),
            usage: jobs::usage::Usage::default(),
            chunk_tasks: schema::chunk_tasks(platform.deployment.store.value_kb),
            platform,
            policy,
            incarnation,
            rng,
            clock: Clock::default(),
            order: store_sync::evidence::LogicalClock::default(),
            out: Vec::new(),
            replica: Replica::default(),
            sync: store_sync::reads::Sync::default(),
            synced_at: Micros::ZERO,
            reads: store_sync::reads::Reads::default(),
            session: control::roles::Session::default(),
            roles: control::roles::Roles::default(),
            txns: store_sync::txns::Txns::default(),
            users: api::requests::Users::default(),
            cancellations: jobs::cancellations::Cancellations::default(),
            audit: jobs::cancellation_log::Audit::default(),
            dependency_graph: jobs::dependency_graph::DependencyGraph::default(),
            cascaded: BTreeSet::new(),
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            pushes: BTreeSet::new(),
            pushes_later: BTreeSet::new(),
            direct_open: 0,
            direct_most,
            probes_left: 0.0,
            probed_at: Micros::ZERO,
            store_last_answered_at: Micros::ZERO,
            next_machines: Micros::ZERO,
            next_renewal: Micros::ZERO,
            many_unreachable: None,
            many_unreported: None,
            zones_cut: BTreeMap::new(),
            unregistered: Vec::new(),
            types: BTreeMap::new(),
            types_asked: Micros::ZERO,
            pass: VecDeque::new(),
            pass_wanted: false,
            pass_began: Micros::ZERO,
            urgent_pass: false,
            leader: autoscaling::leader::Leader::default(),
            zone_control: zones::zone_control::ZoneControl::default(),
            moves_due: None,
            oldest_version: None,
            next_call: 1,
            last_ticket: 0,
            next_nonce: 1,
        }
    }

    /// Whether this controller can take requests: it has read the stored records once.
    pub fn is_ready(&self) -> bool {
        self.sync.done
    }

    /// The stored records as this controller knows them.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Whether the store has answered this controller a short while ago. If not, this may
    /// be an outage for all or a cut that leaves this one alone.
    pub fn reaches_store(&self) -> bool {
        let patience = Micros::from_millis(self.policy.state_patience_ms);
        self.now().since(self.store_last_answered_at) < patience
    }

    /// Takes in one input. What it leads to comes with the next [`Controller::round`].
    pub fn handle(&mut self, clock: Clock, input: Input) {
        let pause = clock.steady.since(self.clock.steady);
        self.clock = clock;
        if self.sync.done && pause >= STANDSTILL {
            self.stood_still(pause);
        }
        if input.is_store_answer() {
            self.store_last_answered_at = clock.steady;
        }
        match input {
            Input::User(waiter, request) => self.user_request(waiter, request),
            Input::Heartbeat { waiter, heartbeat, relayed } => self.heartbeat(waiter, heartbeat, relayed),
            Input::Txn { ticket, outcome } => self.txn_outcome(ticket, outcome),
            Input::Changes { ticket, outcome } => self.changes_outcome(ticket, outcome),
            Input::Page { ticket, outcome } => self.page_outcome(ticket, outcome),
            Input::Lease { ticket, outcome } => self.lease_outcome(ticket, outcome),
            Input::DirectCommands { machine, outcome } => self.direct_commands_outcome(&machine, outcome),
            Input::Cloud { call, outcome } => self.cloud_outcome(call, outcome),
            Input::Peer(waiter, message) => self.cancellation_notified(waiter, &message),
            Input::PeerAnswer { call, answer } => self.cancellation_acknowledged(call, answer),
            Input::Tick => self.tick(),
        }
    }

    /// This process did nothing for a while, though its clocks ran on: ticks come far more often. The
    /// silence was its own. How long others were not heard counts from before; whether its session
    /// has lasted is found out first. Workers' leases ran on, so what was answered when stays.
    fn stood_still(&mut self, pause: Micros) {
        tracing::warn!(ms = pause.millis(), "stood still");
        let now = self.now();
        for machine in self.machines.values_mut() {
            machine.excuse(now, pause);
        }
        self.many_unreachable = self.many_unreachable.map(|_| now);
        self.many_unreported = self.many_unreported.map(|_| now);
        self.renew_session_at_once();
        self.reads.wanted = true;
    }

    fn tick(&mut self) {
        self.tick_reads();
        self.tick_session();
        if !self.sync.done {
            return;
        }
        self.tick_txns();
        self.budget.account(self.clock.steady);
        self.tick_roles();
        self.tick_machines();
        self.tick_types();
        self.tick_leader();
        self.write_cascaded();
        self.audit_summary();
        self.pass_wanted = true;
    }

    /// To be called after each batch of inputs: makes the decisions the batch allows.
    /// `time_left` says whether the round's budget still lasts; what is not reached is
    /// looked at first in the next round.
    pub fn round(&mut self, clock: Clock, time_left: &mut dyn FnMut() -> bool) -> Vec<Effect> {
        self.clock = clock;
        if self.sync.done {
            self.answer_open_questions();
            self.place(time_left);
            self.spend();
            self.send_pending_direct_commands();
            self.confirm_cancellations();
        }
        self.start_fresh_read();
        std::mem::take(&mut self.out)
    }

    /// True if the last round ran out of time.
    pub fn has_more(&self) -> bool {
        !self.pass.is_empty()
    }

    fn now(&self) -> Micros {
        self.clock.steady
    }

    /// Version of the rules for stored records that this controller follows.
    fn record_version(&self) -> RecordVersion {
        RecordVersion(self.policy.record_version)
    }

    /// A controller has come or gone: tells when the oldest one's version is another than before.
    fn versions_changed(&mut self) {
        let oldest = control::versions::oldest(&self.replica);
        if oldest == self.oldest_version {
            return;
        }
        let (before, own) = (self.oldest_version, self.record_version());
        self.oldest_version = oldest;
        let Some(oldest) = oldest else { return };
        if before.is_some_and(|before| oldest < before) && oldest < own {
            tracing::warn!(oldest = oldest.0, own = own.0, "a controller with older rules for records has come up");
        } else {
            tracing::info!(oldest = oldest.0, own = own.0, "rules for records that all controllers know");
        }
    }

    /// Names a call to the store, so that its answer is not taken for another's.
    fn next_ticket(&mut self) -> u64 {
        self.last_ticket += 1;
        self.last_ticket
    }

    fn nonce(&mut self) -> u64 {
        self.next_nonce += 1;
        // Unique among processes by the incarnation's upper bits, within one by the count.
        (self.incarnation << 12) ^ self.next_nonce
    }

    fn changed(&mut self, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Role(role) => {
                    self.role_changed(role);
                    self.zone_views_of_role_changed(role);
                }
                Change::Machines(ids) => ids.iter().for_each(|id| self.machine_changed(id)),
                Change::Jobs(ids) => ids.iter().for_each(|id| self.job_changed(id)),
                Change::Run(id, chunk) => self.run_changed(&id, chunk),
                Change::End(id) => {
                    self.job_changed(&id);
                    self.job_over(&id);
                }
                Change::Node(_) => self.versions_changed(),
                Change::Zone(zone, shard) => self.zone_view_changed(&zone, shard),
                Change::ZoneHold(zone) => self.zone_hold_changed(&zone),
                Change::Nothing => {}
            }
        }
    }

    /// Begins anew as if the process had just started; for when the replica can't be continued.
    fn start_over(&mut self) {
        tracing::warn!("the watch is too far behind, reading everything again");
        let seed = self.rng.random();
        let mut fresh = Controller::new(self.platform.clone(), self.policy.clone(), seed);
        fresh.clock = self.clock;
        fresh.out = std::mem::take(&mut self.out);
        fresh.types = std::mem::take(&mut self.types);
        fresh.next_call = self.next_call;
        fresh.direct_open = self.direct_open;
        fresh.cancellations.next_call = self.cancellations.next_call;
        let waiters = self.users.all_waiters().into_iter().chain(self.cancellations.all_waiters());
        for waiter in waiters {
            fresh.out.push(Effect::AnswerUser(waiter, UserAnswer::Unavailable { retry_after_s: 1 }));
        }
        for held in self.unregistered.drain(..) {
            fresh.out.push(Effect::AnswerWorker(held.waiter, WorkerAnswer::Unavailable));
        }
        // Tickets go on counting, so that answers to old calls match nothing.
        fresh.last_ticket = self.last_ticket;
        *self = fresh;
    }
}
