//! Evaluation of the conditions of all zones, and queries about them for the placement of new work.

use crate::coordination::Controller;
use crate::coordination::scheduling::shard_view::CandidateMachine;
use crate::types::{MachineId, Micros};
use burlhatch_zones::condition::ZoneState;
use burlhatch_zones::{Condition, Liveness, Moment, Transition};
use std::collections::BTreeSet;

/// Interval between two evaluations of all zones.
const EVALUATION_INTERVAL: Micros = Micros::from_millis(250);

impl Controller {
    /// Whether failures of whole zones are handled at all.
    pub(crate) fn handles_zone_failures(&self) -> bool {
        self.policy.zones.enabled
    }

    /// Returns the current time on both clocks.
    pub(super) fn moment(&self) -> Moment {
        Moment { steady: self.clock.steady, wall: self.clock.wall }
    }

    /// Updates the zone tracker after a change of a machine's stored record.
    pub(crate) fn track_zone_of_machine(&mut self, id: &MachineId) {
        if !self.handles_zone_failures() {
            return;
        }
        match self.store.replica.machines.get(id) {
            Some(machine) => self.zones.tracker.insert_machine(id, &machine.value.zone, machine.value.shard),
            None => self.zones.tracker.remove_machine(id),
        }
    }

    /// Evaluates all zones if an evaluation is due, and acts on the result. `own_machines` are those of the shards held
    /// by this controller.
    pub(crate) fn tick_zones(&mut self, own_machines: &[MachineId]) {
        let now = self.now();
        if !self.handles_zone_failures() || now < self.zones.next_evaluation_at {
            return;
        }
        self.zones.next_evaluation_at = now + EVALUATION_INTERVAL;
        let held_shards: BTreeSet<u32> = self.control.held_shards().collect();
        self.zones.tracker.set_held_shards(&held_shards, now);
        self.update_liveness(own_machines);
        for transition in self.zones.tracker.evaluate(now, &self.policy.zones) {
            self.zone_condition_changed(&transition);
        }
        self.write_zone_views();
        self.count_displaced_replicas();
        self.evacuate_lost_zones();
        self.move_replicas();
    }

    fn update_liveness(&mut self, own_machines: &[MachineId]) {
        let now = self.now();
        let max_silence = Micros::from_millis(self.policy.zones.silent_after_ms);
        for id in own_machines {
            let Some(machine) = self.fleet.machine(id) else { continue };
            let is_silent = machine.contact.silence(now) >= max_silence;
            let liveness = match (is_silent, machine.contact.failed_probe_count()) {
                (false, _) => Liveness::Responsive,
                (true, 0) => Liveness::Unknown,
                (true, _) => Liveness::Unresponsive,
            };
            self.zones.tracker.set_liveness(id, liveness);
        }
    }

    fn zone_condition_changed(&mut self, transition: &Transition) {
        let Transition { zone, from, to, evidence, penalty } = transition;
        let (machine_count, against_count) = (evidence.machine_count, evidence.against_count);
        if matches!((from, to), (Condition::Up, Condition::Suspected) | (Condition::Suspected, Condition::Up)) {
            tracing::debug!(zone, ?from, ?to, machine_count, against_count, "zone suspicion changed");
        } else {
            tracing::warn!(zone, ?from, ?to, machine_count, against_count, penalty, "zone condition changed");
        }
        self.scheduling.request_cycle();
        if *to == Condition::Lost {
            self.scheduling.request_urgent_cycle();
        }
    }

    /// Whether a zone accepts new work.
    pub(crate) fn zone_takes_work(&self, zone: &str) -> bool {
        !self.handles_zone_failures() || self.zones.takes_work(zone)
    }

    /// Whether the controllers agree that a zone is lost.
    pub(crate) fn is_zone_lost(&self, zone: &str) -> bool {
        self.handles_zone_failures() && self.zones.is_lost(zone)
    }

    /// Whether the controllers agree that some zone is lost.
    pub(crate) fn is_any_zone_lost(&self) -> bool {
        self.handles_zone_failures() && self.zones.tracker.in_condition(Condition::Lost).next().is_some()
    }

    /// Whether a zone became suspected so recently that it may still be found lost. Its machines are not evaluated
    /// individually meanwhile: others in the zone may be unresponsive too but not probed yet
    /// (`zone_cuts::no_machine_is_deleted_individually_while_its_zone_is_suspected`). The time is limited, as a single
    /// controller that is cut off can suspect a zone indefinitely.
    pub(crate) fn is_zone_newly_suspected(&self, zone: &str) -> bool {
        let settings = &self.policy.zones;
        let max_span = Micros::from_millis(settings.silent_after_ms + settings.confirm_ms);
        let is_newly_suspected = |state: &ZoneState| {
            state.condition() == Condition::Suspected && self.now().since(state.entered_at()) < max_span
        };
        settings.enabled && self.zones.tracker.state(zone).is_some_and(is_newly_suspected)
    }

    /// Whether a zone is returning and gets its work back gradually.
    pub(crate) fn zone_is_returning(&self, zone: &str) -> bool {
        self.handles_zone_failures() && self.zones.is_returning(zone)
    }

    /// Returns the zones of these machines that have failed too often recently.
    pub(crate) fn distrusted_zones(&mut self, machines: &[CandidateMachine]) -> BTreeSet<String> {
        if !self.handles_zone_failures() {
            return BTreeSet::new();
        }
        let now = self.now();
        let names: BTreeSet<&str> = machines.iter().map(|machine| machine.zone.as_str()).collect();
        let tracker = &mut self.zones.tracker;
        let distrusted = names.into_iter().filter(|zone| tracker.is_distrusted(zone, now, &self.policy.zones));
        distrusted.map(str::to_string).collect()
    }
}
