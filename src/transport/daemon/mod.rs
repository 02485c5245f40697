//! The running controller: one loop owns the state machine, feeds it queued inputs in batches, and executes its
//! effects.
//!
//! Owns: the controller, the queues of its inputs (`inputs`), the requests that wait for an answer
//! (`pending_responses`), and the tasks that serve listeners. Effects that take time run as separate tasks (`effects`),
//! whose outcomes are queued as inputs.

mod effects;
mod inputs;
mod pending_responses;

use super::calls::{AgentClient, CloudClient, StoreClient};
use super::client::Client;
use super::request_queue::RequestQueue;
use super::server::{ListenerKind, ServerContext, serve};
use super::siblings::{NodeHealth, Siblings, monitor_store_reachability};
use crate::coordination::{Clock, Controller};
use crate::settings::{Platform, Policy};
use crate::types::Micros;
use effects::{EffectExecutor, ServiceClients};
use inputs::{InputQueues, RequestReceivers};
use pending_responses::PendingResponses;
use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Maximum number of users' requests queued for the controller; further requests are refused at once.
const USER_QUEUE_CAPACITY: usize = 512;
/// Maximum number of heartbeats queued for the controller; the connections of further heartbeats wait.
const HEARTBEAT_QUEUE_CAPACITY: usize = 256;
/// Maximum number of siblings' messages queued for the controller; further messages are refused at once.
const PEER_QUEUE_CAPACITY: usize = 64;
/// Maximum number of connections from siblings.
const MAX_PEER_CONNECTIONS: usize = 64;
/// Divisor of the limit of sockets that gives the maximum number of connections from siblings.
const PEER_SOCKETS_DIVISOR: usize = 8;
/// Divisor of the limit of sockets that gives the minimum left to the public listener, however many are reserved.
const MIN_PUBLIC_SOCKETS_DIVISOR: usize = 4;

/// Runs a controller until the process ends; returns only if the controller could not be started.
pub async fn run(platform: Platform, policy: Policy) -> io::Result<Infallible> {
    let mut daemon = Daemon::start(Arc::new(platform), Arc::new(policy)).await?;
    loop {
        daemon.run_cycle().await;
    }
}

/// State that the main loop owns.
struct Daemon {
    controller: Controller,
    clock: ProcessClock,
    inputs: InputQueues,
    pending: PendingResponses,
    effects: EffectExecutor,
    health: Arc<NodeHealth>,
    /// Time budget of one scheduling cycle.
    cycle_budget: Duration,
    /// Listeners and the monitor of store reachability, which end with the main loop.
    _background_tasks: JoinSet<()>,
}

impl Daemon {
    async fn start(platform: Arc<Platform>, policy: Arc<Policy>) -> io::Result<Daemon> {
        let limits = SocketLimits::new(&platform, &policy);
        let client = Client::with_max_idle_connections(limits.idle);
        let health = Arc::new(NodeHealth::default());
        let siblings = Arc::new(Siblings::new(platform.siblings.clone(), client.clone()));
        let (context, receivers) = server_context(health.clone(), siblings.clone());
        let background_tasks = start_listeners(&platform, limits, context).await?;
        let (outcome_sender, outcomes) = mpsc::unbounded_channel();
        let services = service_clients(&platform, &policy, client, siblings);
        let clock = ProcessClock { started_at: Instant::now() };
        let controller = Controller::new(platform.clone(), policy.clone(), rand::random());
        let inputs = InputQueues::new(outcomes, receivers);
        tracing::info!(label = %platform.label, public_address = %platform.public_addr, "controller started");
        Ok(Daemon {
            controller,
            clock,
            inputs,
            pending: PendingResponses::default(),
            effects: EffectExecutor::new(services, outcome_sender),
            health,
            cycle_budget: Duration::from_micros(policy.round_budget_us),
            _background_tasks: background_tasks,
        })
    }

    /// Passes a batch of inputs to the controller, runs one of its cycles, and executes the resulting effects.
    async fn run_cycle(&mut self) {
        if self.controller.has_unfinished_round() {
            // The last cycle exceeded its time budget. It continues after other tasks have had a chance to run.
            tokio::task::yield_now().await;
        } else {
            self.inputs.wait(&mut self.controller, &mut self.pending, &self.clock).await;
        }
        self.inputs.take_batch(&mut self.controller, &mut self.pending, &self.clock);
        let deadline = Instant::now() + self.cycle_budget;
        let effects = self.controller.round(self.clock.now(), &mut || Instant::now() < deadline);
        self.health.update(self.controller.is_ready(), self.controller.reaches_store());
        for effect in effects {
            self.effects.execute(effect, &mut self.pending);
        }
    }
}

/// The clocks of this process.
struct ProcessClock {
    started_at: Instant,
}

impl ProcessClock {
    fn now(&self) -> Clock {
        Clock {
            // At least 1, because zero means "not yet" in some places.
            steady: Micros(self.started_at.elapsed().as_micros() as u64 + 1),
            wall: Micros(SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64)),
        }
    }
}

/// Division of the process's sockets. The sockets for calls to services, agents and siblings are reserved, so that a
/// large number of clients can't prevent a controller from renewing its lease.
#[derive(Clone, Copy)]
struct SocketLimits {
    /// Maximum number of idle connections of the client.
    idle: usize,
    /// Maximum number of connections of the public listener.
    public: usize,
    /// Maximum number of connections of the listener for siblings.
    peers: usize,
}

impl SocketLimits {
    fn new(platform: &Platform, policy: &Policy) -> SocketLimits {
        let quota = &platform.deployment.quota;
        let idle = quota.part_of_sockets(policy.idle_part);
        let direct_commands = quota.part_of_sockets(policy.direct_part);
        let peers = MAX_PEER_CONNECTIONS.min(quota.fd_limit / PEER_SOCKETS_DIVISOR);
        let reserved = idle + direct_commands + 2 * peers;
        let public = quota.fd_limit.saturating_sub(reserved).max(quota.fd_limit / MIN_PUBLIC_SOCKETS_DIVISOR);
        SocketLimits { idle, public, peers }
    }
}

/// Creates the context that the server's connections share, and the receiving ends of its queues.
fn server_context(health: Arc<NodeHealth>, siblings: Arc<Siblings>) -> (Arc<ServerContext>, RequestReceivers) {
    let (user_requests, queued_user_requests) = RequestQueue::new(USER_QUEUE_CAPACITY);
    let (heartbeats, queued_heartbeats) = RequestQueue::new(HEARTBEAT_QUEUE_CAPACITY);
    let (cancellation_notices, queued_notices) = RequestQueue::new(PEER_QUEUE_CAPACITY);
    let context = ServerContext { user_requests, heartbeats, cancellation_notices, health, siblings };
    let receivers = RequestReceivers {
        user_requests: queued_user_requests,
        heartbeats: queued_heartbeats,
        cancellation_notices: queued_notices,
    };
    (Arc::new(context), receivers)
}

/// Binds both listeners, then starts serving them.
async fn start_listeners(
    platform: &Platform,
    limits: SocketLimits,
    context: Arc<ServerContext>,
) -> io::Result<JoinSet<()>> {
    let public = TcpListener::bind(platform.public_addr).await?;
    let peers = TcpListener::bind(platform.peer_addr).await?;
    let mut tasks = JoinSet::new();
    tasks.spawn(serve(public, context.clone(), limits.public, ListenerKind::Public));
    tasks.spawn(serve(peers, context.clone(), limits.peers, ListenerKind::Peers));
    tasks.spawn(monitor_store_reachability(context.health.clone(), context.siblings.clone()));
    Ok(tasks)
}

fn service_clients(platform: &Platform, policy: &Policy, client: Client, siblings: Arc<Siblings>) -> ServiceClients {
    let deployment = &platform.deployment;
    let store_part = deployment.part_of_limit(policy.state_limits_together);
    let store_calls_per_second = deployment.store.min_rps() * store_part;
    let store_timeout = Duration::from_millis(policy.state_timeout_ms);
    // The limit is not divided among the controllers: except for the list of machine types, only the leader calls the
    // cloud.
    let cloud_calls_per_second = deployment.cloud.rps * policy.cloud_limit_part;
    let probe_timeout = Duration::from_millis(policy.probe_ms);
    ServiceClients {
        store: StoreClient::new(client.clone(), platform.external.store, store_calls_per_second, store_timeout),
        cloud: CloudClient::new(client.clone(), platform.external.cloud, cloud_calls_per_second),
        agents: AgentClient::new(client, probe_timeout),
        siblings,
    }
}
