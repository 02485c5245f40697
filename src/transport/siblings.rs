//! Between controllers: whether siblings are served by the store, workers that can't reach their owner, what is
//! passed on, and notices of cancellations.

use super::client::Client;
use super::server::{ANSWER_LIMIT, Gate, PeerAsk, Plain, route};
use crate::protocol::peer::{CANCELLED_PATH, CancellationAck, Cancelled, Relay, Relayed};
use crate::types::MachineId;
use hyper::Method;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

const RELAY_LIMIT: Duration = Duration::from_millis(1500);
const NOTICE_LIMIT: Duration = Duration::from_millis(700);
pub(super) const STATUS_PATH: &str = "/standing";
const LOOK_EVERY: Duration = Duration::from_millis(500);
const LOOK_LIMIT: Duration = Duration::from_millis(700);
/// Siblings asked in vain before the user is refused.
const RELAYS_MOST: usize = 2;

/// A worker that comes back so soon after it was sent to its owner could not reach it. After this
/// time it is sent there again.
const REDIRECT_SPAN: Duration = Duration::from_secs(30);

/// Workers sent on to another controller, with when that was.
#[derive(Default)]
pub struct RedirectedWorkers(Mutex<Redirects>);

#[derive(Default)]
struct Redirects {
    sent_on: HashMap<MachineId, Instant>,
    pruned_at: Option<Instant>,
}

impl RedirectedWorkers {
    /// Whether the worker was sent on a short while ago. If not, it is noted that it is now. Those of long ago are
    /// forgotten once in a while, however many workers there are.
    pub(super) fn came_back(&self, id: &MachineId) -> bool {
        let now = Instant::now();
        let mut redirects = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if redirects.pruned_at.is_none_or(|at| now.duration_since(at) >= REDIRECT_SPAN) {
            redirects.sent_on.retain(|_, at| now.duration_since(*at) < REDIRECT_SPAN);
            redirects.pruned_at = Some(now);
        }
        match redirects.sent_on.get(id).map(|at| now.duration_since(*at)) {
            Some(age) if age < REDIRECT_SPAN => true,
            _ => {
                redirects.sent_on.insert(id.clone(), now);
                false
            }
        }
    }
}

/// What this controller can do, for itself, its siblings and the load balancer.
#[derive(Default)]
pub struct NodeStatus {
    /// It has read the stored records.
    pub ready: AtomicBool,
    /// Whether the store serves this controller.
    pub reaches_store: AtomicBool,
    /// Only this controller can't reach the store, so users had better go elsewhere.
    alone: AtomicBool,
    /// Siblings that reach the store while this controller does not.
    helpers: Mutex<Vec<SocketAddr>>,
}

impl NodeStatus {
    pub(super) fn healthy(&self) -> bool {
        self.ready.load(Ordering::Relaxed) && !self.alone.load(Ordering::Relaxed)
    }

    fn helpers(&self) -> Vec<SocketAddr> {
        self.helpers.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// While the store can't be reached, finds out from the siblings whether that is an
/// outage, in which all are as well off as any, or whether this controller is the one cut off.
pub async fn look_at_siblings(gate: Arc<Gate>) {
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        let status = &gate.status;
        let mut helpers = Vec::new();
        let mut alone = false;
        if !status.reaches_store.load(Ordering::Relaxed) && !gate.siblings.is_empty() {
            let answers: Vec<_> = gate
                .siblings
                .iter()
                .map(|(_, addr)| (*addr, tokio::spawn(reaches_store(gate.client.clone(), *addr))))
                .collect();
            // Cut off from all of them too, it knows nothing of any outage.
            alone = true;
            for (addr, answer) in answers {
                match answer.await {
                    Ok(Some(true)) => helpers.push(addr),
                    Ok(Some(false)) => alone = false,
                    _ => {}
                }
            }
            alone |= !helpers.is_empty();
        }
        if status.alone.swap(alone, Ordering::Relaxed) != alone {
            tracing::info!(alone, "whether only this controller can't reach the state service");
        }
        *status.helpers.lock().unwrap_or_else(PoisonError::into_inner) = helpers;
    }
}

async fn reaches_store(client: Client, sibling: SocketAddr) -> Option<bool> {
    let answer = client.call(sibling, Method::GET, STATUS_PATH, Vec::new(), LOOK_LIMIT).await.ok()?;
    bitcode::decode(&answer.body).ok()
}

/// A sibling notifies us of cancelled jobs and waits to hear whether we see to them.
pub(super) async fn cancellation_noticed(gate: &Gate, body: &[u8]) -> Plain {
    let Ok(message) = bitcode::decode::<Cancelled>(body) else {
        return Plain::error(400, "malformed");
    };
    let (back, answer) = oneshot::channel();
    if gate.peers.try_send(PeerAsk { message, back }).is_err() {
        return Plain::unavailable(1);
    }
    match timeout(ANSWER_LIMIT, answer).await {
        Ok(Ok(knows)) => Plain::new(200, bitcode::encode(&knows)),
        _ => Plain::unavailable(1),
    }
}

/// Notifies a sibling of cancelled jobs. Without an answer nothing is known.
pub async fn notify_sibling(gate: &Gate, label: &str, message: &Cancelled) -> Option<CancellationAck> {
    let (_, addr) = gate.siblings.iter().find(|(sibling, _)| sibling == label)?;
    let body = bitcode::encode(message);
    let answer = gate.client.call(*addr, Method::POST, CANCELLED_PATH, body, NOTICE_LIMIT).await.ok()?;
    if answer.status == 200 { bitcode::decode(&answer.body).ok() } else { None }
}

/// The worker can't reach its owner but both reach us: without this its lease would run out. The
/// owner's answer carries the owner's fencing token.
pub(super) async fn forward_heartbeat(gate: &Gate, owner: &str, body: &[u8]) -> Option<Plain> {
    let (_, addr) = gate.siblings.iter().find(|(label, _)| label == owner)?;
    let relay = Relay { path: "/checkin".to_string(), post: true, body: body.to_vec() };
    let answer = gate.client.call(*addr, Method::POST, "/relay", bitcode::encode(&relay), RELAY_LIMIT).await.ok()?;
    let relayed = bitcode::decode::<Relayed>(&answer.body).ok()?;
    (answer.status == 200 && relayed.status == 200).then(|| Plain::new(200, relayed.body))
}

/// This controller can't reach the store; a sibling that is known to is asked instead. The
/// user hears the refusal at once if there is none.
pub(super) async fn pass_on(gate: &Gate, method: &Method, path: &str, body: &[u8]) -> Option<Plain> {
    let relay = Relay { path: path.to_string(), post: method == Method::POST, body: body.to_vec() };
    let message = bitcode::encode(&relay);
    for addr in gate.status.helpers().into_iter().take(RELAYS_MOST) {
        let answer = gate.client.call(addr, Method::POST, "/relay", message.clone(), RELAY_LIMIT).await;
        let Ok(answer) = answer else { continue };
        let Ok(relayed) = bitcode::decode::<Relayed>(&answer.body) else { continue };
        if answer.status == 200 && relayed.status != 503 {
            return Some(Plain { status: relayed.status, retry_after_s: relayed.retry_after_s, body: relayed.body });
        }
    }
    None
}

pub(super) async fn relayed(gate: &Gate, body: &[u8]) -> Plain {
    let Ok(relay) = bitcode::decode::<Relay>(body) else {
        return Plain::error(400, "malformed");
    };
    let method = if relay.post { Method::POST } else { Method::GET };
    let answer = Box::pin(route(gate, &method, &relay.path, &relay.body, false)).await;
    let relayed = Relayed { status: answer.status, retry_after_s: answer.retry_after_s, body: answer.body };
    Plain::new(200, bitcode::encode(&relayed))
}
