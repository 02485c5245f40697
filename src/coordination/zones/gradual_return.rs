//! Gradual return of a zone: limits on its task attempts in each step and on the creation of instances.

use crate::coordination::Controller;
use crate::coordination::jobs::attempt::TaskAttempt;
use crate::types::{MachineId, Micros};
use burlhatch_zones::Condition;
use burlhatch_zones::condition::ZoneState;
use std::collections::{BTreeMap, BTreeSet};

/// Event of a task attempt in a returning zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ZoneAttemptEvent {
    Decided,
    Withdrawn,
    Running,
    Lost,
}

impl Controller {
    /// Whether a zone may get one more task attempt; limited only while it returns.
    pub(crate) fn zone_admits_attempt(&self, zone: &str) -> bool {
        let state = self.zones.tracker.state(zone).filter(|_| self.zone_is_returning(zone));
        state.is_none_or(|state| state.ramp.admits(&self.policy.zones))
    }

    /// Records an event of a task attempt if the zone of its machine is returning.
    pub(crate) fn note_zone_attempt(&mut self, machine: &MachineId, event: ZoneAttemptEvent) {
        if !self.handles_zone_failures() {
            return;
        }
        let Some(record) = self.store.replica.machines.get(machine) else { return };
        let zone = record.value.zone.as_str();
        if self.zones.tracker.condition(zone) != Condition::Returning {
            return;
        }
        let Some(state) = self.zones.tracker.state_mut(zone) else { return };
        match event {
            ZoneAttemptEvent::Decided => state.ramp.started(),
            ZoneAttemptEvent::Withdrawn => state.ramp.withdrawn(),
            ZoneAttemptEvent::Running => state.ramp.succeeded(),
            ZoneAttemptEvent::Lost => state.ramp.lost(&self.policy.zones),
        }
    }

    /// Records a task attempt that is proven absent as a loss in the return of its zone, if it first ran after the
    /// return began and was not being stopped.
    pub(crate) fn note_zone_attempt_lost(&mut self, attempt: &TaskAttempt) {
        if !self.handles_zone_failures() || attempt.stop_grace_s.is_some() {
            return;
        }
        let Some(record) = self.store.replica.machines.get(attempt.machine()) else { return };
        let returned_at = self.zones.tracker.state(&record.value.zone).map(ZoneState::entered_at);
        let is_since_return = |at: Micros| returned_at.is_some_and(|returned_at| at >= returned_at);
        if attempt.first_running_at.is_some_and(is_since_return) {
            self.note_zone_attempt(attempt.machine(), ZoneAttemptEvent::Lost);
        }
    }

    /// Returns the zones in which no instance may be created now. `planned_counts` holds the instances planned so far
    /// in returning zones.
    pub(crate) fn zones_closed_to_scale_out(&self, planned_counts: &BTreeMap<String, u32>) -> BTreeSet<String> {
        let mut closed = BTreeSet::new();
        if !self.handles_zone_failures() {
            return closed;
        }
        for zone in &self.platform.deployment.zones {
            let planned_count = planned_counts.get(zone).copied().unwrap_or(0);
            let is_full = || {
                let provisioning_count = self.autoscaling.provisioning_count_in_zone(zone);
                provisioning_count + planned_count >= self.policy.zones.return_boots
            };
            if !self.zone_takes_work(zone) || (self.zone_is_returning(zone) && is_full()) {
                closed.insert(zone.clone());
            }
        }
        closed
    }
}
