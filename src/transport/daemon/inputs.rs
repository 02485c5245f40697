//! The queues of inputs for the controller, and their priorities.

use super::ProcessClock;
use super::pending_responses::PendingResponses;
use crate::coordination::{Controller, Input};
use crate::transport::request_queue::{QueuedCancellationNotice, QueuedHeartbeat, QueuedUserRequest};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Interval, MissedTickBehavior};

/// Maximum number of rounds over the queues in one batch, so that effects are not delayed for long.
const MAX_BATCH: usize = 64;
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The receiving ends of the server's queues.
pub(super) struct RequestReceivers {
    pub(super) user_requests: mpsc::Receiver<QueuedUserRequest>,
    pub(super) heartbeats: mpsc::Receiver<QueuedHeartbeat>,
    pub(super) cancellation_notices: mpsc::Receiver<QueuedCancellationNotice>,
}

/// All queues of inputs for the controller.
pub(super) struct InputQueues {
    /// Outcomes of calls. They have the highest priority because much other work waits for them.
    outcomes: mpsc::UnboundedReceiver<Input>,
    requests: RequestReceivers,
    tick: Interval,
}

impl InputQueues {
    /// Creates the set of queues, with the first tick due at once.
    pub(super) fn new(outcomes: mpsc::UnboundedReceiver<Input>, requests: RequestReceivers) -> InputQueues {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        InputQueues { outcomes, requests, tick }
    }

    /// Waits for one input and passes it to the controller.
    pub(super) async fn wait(
        &mut self,
        controller: &mut Controller,
        pending: &mut PendingResponses,
        clock: &ProcessClock,
    ) {
        let input = tokio::select! {
            biased;
            Some(outcome) = self.outcomes.recv() => outcome,
            Some(notice) = self.requests.cancellation_notices.recv() => pending.register_notice(notice),
            Some(request) = self.requests.user_requests.recv() => pending.register_user_request(request),
            Some(heartbeat) = self.requests.heartbeats.recv() => pending.register_heartbeat(heartbeat),
            _ = self.tick.tick() => Input::Tick,
        };
        controller.handle(clock.now(), input);
    }

    /// Passes the inputs that are already queued to the controller, up to one batch.
    pub(super) fn take_batch(
        &mut self,
        controller: &mut Controller,
        pending: &mut PendingResponses,
        clock: &ProcessClock,
    ) {
        for _ in 0..MAX_BATCH {
            if let Ok(outcome) = self.outcomes.try_recv() {
                controller.handle(clock.now(), outcome);
                continue;
            }
            if let Ok(notice) = self.requests.cancellation_notices.try_recv() {
                controller.handle(clock.now(), pending.register_notice(notice));
                continue;
            }
            // Alternates between the two queues, so that neither users nor agents can starve the others.
            let user_request = self.requests.user_requests.try_recv();
            let has_user_request = user_request.is_ok();
            if let Ok(request) = user_request {
                controller.handle(clock.now(), pending.register_user_request(request));
            }
            let heartbeat = self.requests.heartbeats.try_recv();
            let has_heartbeat = heartbeat.is_ok();
            if let Ok(heartbeat) = heartbeat {
                controller.handle(clock.now(), pending.register_heartbeat(heartbeat));
            }
            if !has_user_request && !has_heartbeat {
                break;
            }
        }
    }
}
