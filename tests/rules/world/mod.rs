//! Deterministic simulation of a deployment: store, cloud, agents, users and the network between them, as the protocol
//! page describes them. Drives the pure state machines of several controllers on simulated time from a fixed seed,
//! injects faults and checks the rules of the protocol at each step.

mod agent;
mod checks;
mod cloud;
mod control;
mod faults;
mod fingerprint;
mod network;
mod records;
mod repeated_commands;
mod start_rules;
mod store;
mod task_lifecycle;
mod users;

use agent::Agent;
use burlhatch::coordination::{AgentAnswer, CloudCall, Controller, Input, StoreCall, UserAnswer};
use burlhatch::protocol::agent::{DirectCommands, Heartbeat};
use burlhatch::protocol::peer::CancellationNotice;
use burlhatch::settings::{Platform, Policy};
use burlhatch::storage::schema::RecordVersion;
use burlhatch::types::{JobId, MachineId};
use burlhatch_testbed::store::StoreSizeLimits;
use cloud::Cloud;
use fingerprint::Fingerprint;
pub use network::Endpoint;
use network::{Cut, Delivery, LateCommands};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use records::Records;
use repeated_commands::RepeatedCommands;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;
pub use store::Limits;
use store::Store;
pub use users::UserJob;
use users::{JobRequest, PendingRequest};

pub const MS: u64 = 1_000;
pub const S: u64 = 1_000_000;
pub const CANCEL_S: u64 = 40;
/// Time after which a controller stops waiting for an answer of the store.
const STORE_TIMEOUT: u64 = 1500 * MS;

/// Intervals that the agents keep, in microseconds like every time of the simulation.
#[derive(Clone, Copy)]
pub struct Times {
    pub heartbeat: u64,
    pub lease: u64,
    pub cancel: u64,
}

pub const TIMES: Times = Times { heartbeat: 3 * S, lease: 20 * S, cancel: CANCEL_S * S };
/// Rare heartbeats with long leases.
pub const SLOW_HEARTBEATS: Times = Times { heartbeat: 10 * S, lease: 45 * S, cancel: 65 * S };
/// Short leases with little time for a cancellation.
pub const SHORT_LEASES: Times = Times { heartbeat: 1500 * MS, lease: 14 * S, cancel: 39 * S };

/// Size of a simulated deployment.
#[derive(Clone, Copy)]
pub struct Size {
    pub nodes: usize,
    /// Machines that are up at the start.
    pub machines: usize,
    /// Machines that the cloud provides at the same time at most.
    pub capacity: usize,
    /// Writes that the store accepts per second.
    pub write_rps: f64,
    pub zones: &'static [&'static str],
    pub times: Times,
    /// Sizes that the store accepts, as the settings state them.
    pub store_sizes: StoreSizeLimits,
}

pub const SMALL: Size = Size {
    nodes: 3,
    machines: 5,
    capacity: 14,
    write_rps: 50.0,
    zones: &["a", "b"],
    times: TIMES,
    store_sizes: StoreSizeLimits::stated(4, 12),
};
pub const LARGE: Size = Size { nodes: 5, machines: 200, capacity: 260, write_rps: 30.0, ..SMALL };
pub const FLEET: Size = Size { machines: 1000, capacity: 1300, write_rps: 35.0, zones: &["a", "b", "c", "d"], ..LARGE };

fn settings(node: usize, size: Size) -> String {
    let Size { nodes, write_rps, zones, times, store_sizes, .. } = size;
    let (value_kb, txn_ops) = (store_sizes.value_kb(), store_sizes.txn_writes);
    let [heartbeat_s, lease_s, cancel_s] =
        [times.heartbeat, times.lease, times.cancel].map(|span| span as f64 / S as f64);
    let mut text =
        format!("label = \"node-{node}\"\npublic_addr = \"10.0.0.{0}:8080\"\nback = \"10.0.0.{0}:8081\"\n", node + 1);
    for other in (0..nodes).filter(|n| *n != node) {
        text += &format!("[[siblings]]\nlabel = \"node-{other}\"\naddress = \"10.0.0.{}:8081\"\n", other + 1);
    }
    text += &format!(
        "[external]\ncloud = \"10.2.0.2:1\"\nstate = \"10.2.0.1:1\"\n[deployment]\nnodes = {nodes}\nzones = {zones:?}\n"
    );
    for (team, cpus, most) in [("red", 4.0, 12.0), ("blue", 4.0, 10.0), ("green", 8.0, 0.0)] {
        text += &format!("[[deployment.teams]]\nname = \"{team}\"\ncpus = {cpus}\ncpus_max = {most}\n");
    }
    text += &format!(
        "[deployment.workers]\nreport_s = {heartbeat_s:?}\nlease_s = {lease_s:?}\ngang_wait_s = 30.0\ngang_peer_s = 5.0\ncancel_s = {cancel_s:?}\n\
         [deployment.state]\nrps = 200.0\nwrite_rps = {write_rps}\nvalue_kb = {value_kb:?}\ntxn_ops = {txn_ops}\n\
         [deployment.cloud]\nrps = 5.0\nlist_lag_s = 4.0\n[deployment.quota]\nfd_limit = 1000\n"
    );
    text
}

enum Event {
    Tick(usize, u64),
    /// Arrival of a request at the store; the answer refers to it by `call`.
    Store {
        node: usize,
        generation: u64,
        call: u64,
        request: StoreCall,
    },
    Cloud {
        node: usize,
        generation: u64,
        call: u64,
        number: u64,
        request: CloudCall,
    },
    DirectCommands {
        node: usize,
        generation: u64,
        call: u64,
        machine: MachineId,
        commands: DirectCommands,
    },
    /// Arrival of an answer, or the timeout of the caller; only the earlier of the two has an effect.
    Outcome {
        node: usize,
        generation: u64,
        call: u64,
        input: Input,
    },
    Peer {
        node: usize,
        generation: u64,
        call: u64,
        to: usize,
        number: u64,
        message: CancellationNotice,
    },
    RepeatedCommands {
        machine: MachineId,
        commands: DirectCommands,
    },
    WatchEnds {
        call: u64,
    },
    Heartbeat {
        node: usize,
        heartbeat: Heartbeat,
        serial: u64,
    },
    HeartbeatAnswer {
        machine: MachineId,
        serial: u64,
        answer: Option<AgentAnswer>,
    },
    AgentHeartbeat {
        machine: MachineId,
        wake: u64,
    },
    AgentStep {
        machine: MachineId,
    },
    Booted {
        machine: MachineId,
    },
    Users,
    /// A user sends a request about a job to one controller.
    JobRequest {
        node: usize,
        id: JobId,
        kind: JobRequest,
    },
    Restart(usize),
    Thaw(usize, u64),
}

/// Origin of a sibling's message: the sender, the generation of its process, the call, and the sender's number for it.
struct PeerCall {
    node: usize,
    generation: u64,
    call: u64,
    number: u64,
}

struct Node {
    controller: Option<Controller>,
    /// Number of the controller's process; events of earlier processes are ignored.
    generation: u64,
    started_at: u64,
    drift: f64,
    next_request_id: u64,
    users: BTreeMap<u64, (u64, PendingRequest)>,
    agents: BTreeMap<u64, (MachineId, u64)>,
    /// Siblings that wait for an answer, by request id.
    peers: BTreeMap<u64, PeerCall>,
    /// Time until which the controller is paused while its clocks run on.
    frozen_until: u64,
    /// Inputs that arrived during the pause.
    backlog: Vec<Input>,
}

pub struct World {
    pub now: u64,
    rng: SmallRng,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    next_event: u64,
    nodes: Vec<Node>,
    store: Store,
    pub cloud: Cloud,
    pub agents: BTreeMap<MachineId, Agent>,
    cuts: Vec<Cut>,
    open_calls: BTreeMap<u64, ()>,
    next_call: u64,
    next_serial: u64,
    pub jobs: BTreeMap<JobId, UserJob>,
    pub violations: Vec<String>,
    /// Number of task starts.
    pub started: u64,
    pub policy: Policy,
    /// One in this many requests to the store, an agent or a sibling arrives a second time, late; 0 for none.
    copies: u32,
    /// One in this many heartbeats arrives a second time, late; 0 for none.
    pub heartbeat_copies: u32,
    /// Until the first value, one in the second value of the transactions gets no answer and is executed 2 to 12 s
    /// later.
    late_writes: (u64, u32),
    /// Restricts `late_writes` to the transactions of this controller.
    late_writer: Option<usize>,
    /// Direct commands that arrive again after they were executed and answered.
    pub repeated_commands: RepeatedCommands,
    /// Delays of direct commands, if some are delayed: the sender gets no answer, and the agent executes them once.
    late_commands: Option<LateCommands>,
    /// Until the first value, each packet is delayed by up to the second value more.
    slow: (u64, u64),
    /// Until the first value, one in the second value of the store's answers is delayed by up to the timeout, though
    /// the store executed the request at once.
    late_answers: (u64, u32),
    /// Additional delay of the answers to each controller's watch.
    watch_lag: Vec<u64>,
    /// Whether users query all controllers within milliseconds after a job was accepted, ended or cancelled, and repeat
    /// its submission there, also while the answer to the first submission is still in flight.
    pub follow_up_requests: bool,
    /// Users cancel one in this many jobs as soon as its acceptance is reported; 0 for none.
    pub cancel_on_acceptance: u32,
    /// Users cancel one in this many jobs as its last task completes; 0 for none.
    pub cancel_on_completion: u32,
    /// Requests that users send to random controllers every 250 ms in addition to their usual ones.
    pub request_burst_size: u32,
    /// Longest time for which a user waited for an answer; requests to controllers that crashed meanwhile don't count.
    pub longest_response_time: u64,
    /// Whether users resubmit known jobs with another content and submit jobs that must be refused.
    pub invalid_requests: bool,
    pub size: Size,
    /// Time since which no fault is active, so that every job must make progress.
    liveness_checked_since: Option<u64>,
    /// Answer to the latest request sent by `query_job_after_read`.
    test_answer: Option<UserAnswer>,
    /// Section of the settings with the future limits of the store.
    next_limits: String,
    /// Controllers that run the previous version: they don't read `next_limits` and write the first version of records.
    previous_version: BTreeSet<usize>,
    /// Replica of the stored records, which checks each committed transaction.
    pub records: Records,
    /// Hash over all effects of the controllers.
    pub fingerprint: Fingerprint,
}

impl World {
    pub fn new(seed: u64) -> World {
        World::with_policy(seed, Policy::default())
    }

    pub fn with_policy(seed: u64, policy: Policy) -> World {
        World::sized(seed, policy, SMALL)
    }

    pub fn sized(seed: u64, policy: Policy, size: Size) -> World {
        if let Some(level) = std::env::var("BURLHATCH_WORLD_LOG").ok().and_then(|l| l.parse::<tracing::Level>().ok()) {
            let log = tracing_subscriber::fmt().with_max_level(level).with_ansi(false).with_writer(std::io::stderr);
            let _ = log.try_init();
        }
        let rng = SmallRng::seed_from_u64(seed);
        let mut world = World {
            now: S,
            rng,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            nodes: Vec::new(),
            store: Store::new(size.write_rps, size.store_sizes),
            cloud: Cloud::new(size.capacity),
            agents: BTreeMap::new(),
            cuts: Vec::new(),
            open_calls: BTreeMap::new(),
            next_call: 0,
            next_serial: 0,
            jobs: BTreeMap::new(),
            violations: Vec::new(),
            started: 0,
            policy,
            copies: 20,
            heartbeat_copies: 30,
            late_writes: (0, 1),
            late_writer: None,
            repeated_commands: RepeatedCommands::default(),
            late_commands: None,
            slow: (0, 0),
            late_answers: (0, 1),
            watch_lag: vec![0; size.nodes],
            follow_up_requests: false,
            cancel_on_acceptance: 0,
            cancel_on_completion: 0,
            request_burst_size: 0,
            longest_response_time: 0,
            invalid_requests: false,
            size,
            liveness_checked_since: None,
            test_answer: None,
            next_limits: String::new(),
            previous_version: BTreeSet::new(),
            records: Records::new(size.nodes),
            fingerprint: Fingerprint::default(),
        };
        for i in 0..size.nodes {
            let drift = 1.0 + world.rng.random_range(-0.0005..0.0005);
            let node = Node {
                controller: None,
                generation: 0,
                started_at: 0,
                drift,
                next_request_id: 0,
                users: BTreeMap::new(),
                agents: BTreeMap::new(),
                peers: BTreeMap::new(),
                frozen_until: 0,
                backlog: Vec::new(),
            };
            world.nodes.push(node);
            world.schedule(10 * MS * i as u64, Event::Restart(i));
        }
        for i in 0..size.machines {
            world.boot("small", size.zones[i % size.zones.len()], false, 0);
        }
        world.schedule(0, Event::Users);
        world
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.next_event += 1;
        self.events.insert(self.next_event, event);
        self.queue.push(Reverse((self.now + delay, self.next_event)));
    }

    pub fn chance(&mut self, one_in: u32) -> bool {
        self.rng.random_range(0..one_in) == 0
    }

    pub fn pick(&mut self, below: u64) -> u64 {
        self.rng.random_range(0..below)
    }

    pub fn run_until(&mut self, until: u64) {
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = at.max(self.now);
            if let Some(event) = self.events.remove(&number) {
                self.handle(event);
            }
        }
        self.now = until;
    }

    pub fn run_for(&mut self, span: u64) {
        self.run_until(self.now + span);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Restart(node) => self.restart(node),
            Event::Tick(node, generation) => self.tick(node, generation),
            Event::Thaw(node, generation) => self.thaw(node, generation),
            Event::Outcome { node, generation, call, input } => {
                if self.open_calls.remove(&call).is_some() && self.nodes[node].generation == generation {
                    self.commands_answered(call, &input);
                    self.deliver_input(node, input);
                }
            }
            Event::Store { node, generation, call, request } => self.store_request(node, generation, call, request),
            Event::Peer { node, generation, call, to, number, message } => {
                let caller = PeerCall { node, generation, call, number };
                self.peer_message_arrives(to, caller, message);
            }
            Event::WatchEnds { call } => {
                if let Some(watch) = self.store.watches.remove(&call) {
                    self.answer_watch(call, &watch);
                }
            }
            Event::Cloud { node, generation, call, number, request } => {
                let outcome = self.cloud_request(request);
                let input = Input::Cloud { call: number, outcome };
                self.reply(Endpoint::Cloud, node, generation, call, input);
            }
            Event::Booted { machine } => self.machine_booted(machine),
            Event::DirectCommands { node, generation, call, machine, commands } => {
                self.agent_commands(node, generation, call, machine, commands);
            }
            Event::RepeatedCommands { machine, commands } => self.repeated_commands_arrive(machine, commands),
            Event::Heartbeat { node, heartbeat, serial } => self.heartbeat_arrives(node, heartbeat, serial),
            Event::HeartbeatAnswer { machine, serial, answer } => self.heartbeat_answer(machine, serial, answer),
            Event::AgentHeartbeat { machine, wake } => self.agent_heartbeat(machine, wake),
            Event::AgentStep { machine } => self.agent_step(machine),
            Event::Users => self.users_step(),
            Event::JobRequest { node, id, kind } => self.send_job_request(node, id, kind),
        }
    }
    fn restart(&mut self, node: usize) {
        let seed = self.rng.random();
        let is_previous_version = self.previous_version.contains(&node);
        let next_limits = if is_previous_version { "" } else { &self.next_limits };
        let mut policy = self.policy.clone();
        policy.zones.enabled &= !is_previous_version;
        policy.record_version = if is_previous_version { RecordVersion::FIRST.0 } else { policy.record_version };
        let platform = Platform::parse(&(settings(node, self.size) + next_limits)).expect("valid settings");
        let process = &mut self.nodes[node];
        if process.controller.is_some() {
            return;
        }
        process.generation += 1;
        process.started_at = self.now;
        process.controller = Some(Controller::new(Arc::new(platform), Arc::new(policy), seed));
        let generation = process.generation;
        self.schedule(0, Event::Tick(node, generation));
    }

    fn tick(&mut self, node: usize, generation: u64) {
        if self.nodes[node].generation == generation && self.nodes[node].controller.is_some() {
            self.deliver_input(node, Input::Tick);
            self.schedule(50 * MS, Event::Tick(node, generation));
        }
    }

    fn thaw(&mut self, node: usize, generation: u64) {
        if self.nodes[node].generation != generation || self.nodes[node].frozen_until > self.now {
            return;
        }
        // After a pause, timers may fire before or after the sockets are read.
        if self.chance(2) {
            self.deliver_input(node, Input::Tick);
        }
        for input in std::mem::take(&mut self.nodes[node].backlog) {
            self.deliver_input(node, input);
        }
    }

    fn peer_message_arrives(&mut self, to: usize, caller: PeerCall, message: CancellationNotice) {
        if self.nodes[to].controller.is_none() {
            return;
        }
        self.nodes[to].next_request_id += 1;
        let request_id = self.nodes[to].next_request_id;
        self.nodes[to].peers.insert(request_id, caller);
        self.deliver_input(to, Input::Peer(request_id, message));
    }

    fn heartbeat_arrives(&mut self, node: usize, heartbeat: Heartbeat, serial: u64) {
        let machine = heartbeat.machine.clone();
        if self.nodes[node].controller.is_none() {
            self.schedule(MS, Event::HeartbeatAnswer { machine, serial, answer: None });
            return;
        }
        self.nodes[node].next_request_id += 1;
        let request_id = self.nodes[node].next_request_id;
        self.nodes[node].agents.insert(request_id, (machine, serial));
        self.deliver_input(node, Input::Heartbeat { request_id, heartbeat, relayed: false });
    }
}
