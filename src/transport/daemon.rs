//! The running controller: one loop owns the controller and works through its queue in batches.

use super::calls::{Services, spawn};
use super::client::Client;
use super::server::{Gate, PeerAsk, UserAsk, WorkerAsk, serve};
use super::siblings::{NodeStatus, RedirectedWorkers, look_at_siblings, notify_sibling};
use crate::coordination::{Clock, Controller, Effect, Input, RequestId, UserAnswer, WorkerAnswer};
use crate::protocol::peer::CancellationAck;
use crate::settings::{Platform, Policy};
use crate::types::Micros;
use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, Interval, MissedTickBehavior};

/// Commands of one batch at most, so that effects don't wait for long.
const BATCH: usize = 64;
/// Users' requests that may queue for the controller; more are refused at once.
const USER_ASKS: usize = 512;
/// Heartbeats that may queue for the controller; more wait in their sockets.
const WORKER_ASKS: usize = 256;
/// Siblings' messages that may queue for the controller; more are refused at once.
const PEER_ASKS: usize = 64;
const TICK: Duration = Duration::from_millis(100);
/// Connections from siblings.
const SIBLINGS_MOST: usize = 64;

struct Waiters {
    next: RequestId,
    users: HashMap<RequestId, oneshot::Sender<UserAnswer>>,
    workers: HashMap<RequestId, oneshot::Sender<WorkerAnswer>>,
    peers: HashMap<RequestId, oneshot::Sender<CancellationAck>>,
}

/// Runs a controller until the process ends.
pub async fn run(platform: Platform, policy: Policy) -> io::Result<()> {
    let platform = Arc::new(platform);
    let policy = Arc::new(policy);
    let quota = &platform.deployment.quota;
    let client = Client::keeping(quota.part_of_sockets(policy.idle_part));
    let services = Arc::new(Services::new(&platform, &policy, client.clone()));
    let (users, from_users) = mpsc::channel::<UserAsk>(USER_ASKS);
    let (workers, from_workers) = mpsc::channel::<WorkerAsk>(WORKER_ASKS);
    let (peers, from_peers) = mpsc::channel::<PeerAsk>(PEER_ASKS);
    let (outcomes, done) = mpsc::unbounded_channel::<Input>();
    let gate = Arc::new(Gate {
        redirected: RedirectedWorkers::default(),
        users,
        workers,
        peers,
        status: NodeStatus::default(),
        siblings: platform.siblings.iter().map(|s| (s.label.clone(), s.address)).collect(),
        client,
    });
    // One budget for all sockets: what calls to others and siblings may need is kept back.
    let calls = quota.part_of_sockets(policy.idle_part) + quota.part_of_sockets(policy.direct_part);
    let siblings = SIBLINGS_MOST.min(quota.fd_limit / 8);
    let most = quota.fd_limit.saturating_sub(calls + 2 * siblings).max(quota.fd_limit / 4);
    let public = TcpListener::bind(platform.public_addr).await?;
    let back = TcpListener::bind(platform.back).await?;
    tokio::spawn(serve(public, gate.clone(), most, false));
    tokio::spawn(serve(back, gate.clone(), siblings, true));
    tokio::spawn(look_at_siblings(gate.clone()));

    let deliver: Arc<dyn Fn(Input) + Send + Sync> = Arc::new(move |input| {
        let _ = outcomes.send(input);
    });
    let began = Instant::now();
    let clock = || Clock {
        steady: Micros(began.elapsed().as_micros() as u64 + 1),
        wall: Micros(SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64)),
    };
    let mut controller = Controller::new(platform.clone(), policy.clone(), rand::random());
    let mut waiters = Waiters { next: 0, users: HashMap::new(), workers: HashMap::new(), peers: HashMap::new() };
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut queues = Queues { done, peers: from_peers, users: from_users, workers: from_workers, tick };
    let budget = Duration::from_micros(policy.round_budget_us);
    tracing::info!(label = %platform.label, public = %platform.public_addr, "controller started");
    loop {
        if controller.has_more() {
            // The last round ran out of time: others get their turn, then it goes on.
            tokio::task::yield_now().await;
        } else {
            queues.wait(&mut controller, &mut waiters, &clock).await;
        }
        queues.take_batch(&mut controller, &mut waiters, &clock);
        let until = Instant::now() + budget;
        let effects = controller.round(clock(), &mut || Instant::now() < until);
        gate.status.ready.store(controller.is_ready(), Ordering::Relaxed);
        gate.status.reaches_store.store(controller.reaches_store(), Ordering::Relaxed);
        for effect in effects {
            carry_out(effect, &services, &deliver, &mut waiters, &gate);
        }
    }
}

/// What waits for the controller.
struct Queues {
    /// Answers to calls, which come first: much waits for them.
    done: mpsc::UnboundedReceiver<Input>,
    peers: mpsc::Receiver<PeerAsk>,
    users: mpsc::Receiver<UserAsk>,
    workers: mpsc::Receiver<WorkerAsk>,
    tick: Interval,
}

impl Queues {
    /// Waits for one command and feeds it to the controller.
    async fn wait(&mut self, controller: &mut Controller, waiters: &mut Waiters, clock: &impl Fn() -> Clock) {
        tokio::select! {
            biased;
            Some(input) = self.done.recv() => controller.handle(clock(), input),
            Some(ask) = self.peers.recv() => waiters.peer(controller, clock(), ask),
            Some(ask) = self.users.recv() => waiters.user(controller, clock(), ask),
            Some(ask) = self.workers.recv() => waiters.worker(controller, clock(), ask),
            _ = self.tick.tick() => controller.handle(clock(), Input::Tick),
        }
    }

    /// Feeds what has come meanwhile, up to a batch.
    fn take_batch(&mut self, controller: &mut Controller, waiters: &mut Waiters, clock: &impl Fn() -> Clock) {
        for _ in 0..BATCH {
            if let Ok(input) = self.done.try_recv() {
                controller.handle(clock(), input);
                continue;
            }
            if let Ok(ask) = self.peers.try_recv() {
                waiters.peer(controller, clock(), ask);
                continue;
            }
            // One of each in turn, so that neither keeps out the other.
            let user = self.users.try_recv().map(|ask| waiters.user(controller, clock(), ask));
            let worker = self.workers.try_recv().map(|ask| waiters.worker(controller, clock(), ask));
            if user.is_err() && worker.is_err() {
                break;
            }
        }
    }
}

impl Waiters {
    fn user(&mut self, controller: &mut Controller, clock: Clock, ask: UserAsk) {
        self.next += 1;
        self.users.insert(self.next, ask.back);
        controller.handle(clock, Input::User(self.next, ask.request));
    }

    fn peer(&mut self, controller: &mut Controller, clock: Clock, ask: PeerAsk) {
        self.next += 1;
        self.peers.insert(self.next, ask.back);
        controller.handle(clock, Input::Peer(self.next, ask.message));
    }

    fn worker(&mut self, controller: &mut Controller, clock: Clock, ask: WorkerAsk) {
        let WorkerAsk { heartbeat, relayed, back } = ask;
        self.next += 1;
        self.workers.insert(self.next, back);
        controller.handle(clock, Input::Heartbeat { request_id: self.next, heartbeat, relayed });
    }
}

fn carry_out(
    effect: Effect,
    services: &Arc<Services>,
    deliver: &Arc<dyn Fn(Input) + Send + Sync>,
    waiters: &mut Waiters,
    gate: &Arc<Gate>,
) {
    let services = services.clone();
    match effect {
        // Whoever asked may have hung up; then there is nobody to tell.
        Effect::AnswerUser(request_id, answer) => {
            if let Some(back) = waiters.users.remove(&request_id) {
                let _ = back.send(answer);
            }
        }
        Effect::AnswerWorker(request_id, answer) => {
            if let Some(back) = waiters.workers.remove(&request_id) {
                let _ = back.send(answer);
            }
        }
        Effect::AnswerPeer(request_id, answer) => {
            if let Some(back) = waiters.peers.remove(&request_id) {
                let _ = back.send(answer);
            }
        }
        Effect::Peer { call, to, message } => {
            let gate = gate.clone();
            spawn(
                async move { Input::PeerAnswer { call, answer: notify_sibling(&gate, &to, &message).await } },
                deliver.clone(),
            );
        }
        Effect::Store(call) => spawn(async move { services.store(call).await }, deliver.clone()),
        Effect::DirectCommands { machine, addr, commands } => {
            spawn(async move { services.commands(machine, addr, commands).await }, deliver.clone());
        }
        Effect::Cloud { call, request } => {
            spawn(async move { services.cloud(call, request).await }, deliver.clone());
        }
    }
}
