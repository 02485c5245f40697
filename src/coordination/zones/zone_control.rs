//! Zones as a whole: takes the package `burlhatch_zones` into the controller.
//!
//! Each holder of a shard judges zones by its own machines and stores its view under its lease on the shard; from all
//! views every controller derives the same condition (see `docs/zones.md`). What follows from it is decided where such
//! work is decided already: [`crate::coordination::scheduling::placement`] asks which zones take work and in which order jobs are looked at,
//! [`crate::coordination::autoscaling::capacity`] and [`crate::coordination::autoscaling::scale_out`] plan around lost zones, [`crate::coordination::zones::evacuation`] proves tasks gone.

use crate::coordination::Controller;
use crate::coordination::jobs::usage::Start;
use crate::coordination::scheduling::shard_view::Spot;
use crate::coordination::store_sync::txns::{ProposedTxn, Purpose};
use crate::protocol::user::{JobKind, Priority};
use crate::storage::schema::{Key, Role, is_zone_storable, to_value};
use crate::types::{JobId, MachineId, Micros};
use burlhatch_zones::disruption::DisruptionBudget;
use burlhatch_zones::order::{Waiting, WorkKind, restoration_order};
use burlhatch_zones::{Condition, Life, Moment, RecordDue, Transition, Zones};
use std::collections::{BTreeMap, BTreeSet};

/// How often zones are judged.
const ZONES_EVERY: Micros = Micros::from_millis(250);

/// A replica that was stopped to move to another zone.
pub(crate) struct MovingReplica {
    /// The zone that it left.
    pub from: String,
    /// When it was told to stop.
    pub since: Micros,
}

/// What the controller knows about zones.
#[derive(Default)]
pub(crate) struct ZoneControl {
    pub zones: Zones,
    next: Micros,
    /// Views on their way to the store.
    writing: BTreeSet<(String, u32)>,
    /// Tasks of services on machines of lost zones, and replicas that move, by job.
    pub displaced: BTreeMap<JobId, u32>,
    pub disruption: DisruptionBudget,
    pub moving: BTreeMap<JobId, MovingReplica>,
    /// Since when services had room only in zones that they had better avoid.
    pub avoiding_since: BTreeMap<JobId, Micros>,
    /// The job at which the last look for replicas to move ended.
    pub last_looked: Option<JobId>,
}

impl Controller {
    pub(crate) fn judges_zones(&self) -> bool {
        self.policy.zones.enabled
    }

    fn moment(&self) -> Moment {
        Moment { steady: self.clock.steady, wall: self.clock.wall }
    }

    /// A machine's record has changed.
    pub(crate) fn zone_of_machine_changed(&mut self, id: &MachineId) {
        if !self.judges_zones() {
            return;
        }
        match self.store.replica.machines.get(id) {
            Some(held) => self.zones.zones.machine(id, &held.value.zone, held.value.shard),
            None => self.zones.zones.machine_gone(id),
        }
    }

    /// All views and holds, once the stored records are read.
    pub(crate) fn zones_read(&mut self) {
        let views: Vec<(String, u32)> = self.store.replica.zones.keys().cloned().collect();
        for (zone, shard) in views {
            self.zone_view_changed(&zone, shard);
        }
        let holds: Vec<String> = self.store.replica.zone_holds.keys().cloned().collect();
        for zone in holds {
            self.zone_hold_changed(&zone);
        }
    }

    /// A shard's view of a zone was stored or removed, or the shard has another holder.
    pub(crate) fn zone_view_changed(&mut self, zone: &str, shard: u32) {
        if !self.judges_zones() {
            return;
        }
        let now = self.moment();
        let stored = self.store.replica.zones.get(&(zone.to_string(), shard));
        if stored.is_some_and(|stored| stored.value.is_none()) {
            tracing::warn!(zone, shard, "a stored view of a zone can't be read; it is ignored and written anew");
        }
        let holder = self.store.replica.roles.get(&Role::Shard(shard)).map(|held| held.value.incarnation);
        let view =
            stored.and_then(|stored| stored.value.as_ref()).map(|record| (record, holder == Some(record.incarnation)));
        self.zones.zones.set_view(zone, shard, view, now, &self.policy.zones);
    }

    /// A shard has another holder: which views count as votes follows from that.
    pub(crate) fn zone_views_of_role_changed(&mut self, role: Role) {
        let Role::Shard(shard) = role else { return };
        let zones: Vec<String> =
            self.store.replica.zones.keys().filter(|(_, of)| *of == shard).map(|(zone, _)| zone.clone()).collect();
        for zone in zones {
            self.zone_view_changed(&zone, shard);
        }
    }

    /// Operators hold a zone, or have released it.
    pub(crate) fn zone_hold_changed(&mut self, zone: &str) {
        let on_hold = self.store.replica.zone_holds.contains_key(zone);
        if self.judges_zones() && self.zones.zones.is_on_hold(zone) != on_hold {
            tracing::info!(zone, on_hold, "zone held or released by operators");
            self.zones.zones.set_on_hold(zone, on_hold);
            self.scheduling.cycle_wanted = true;
        }
    }

    /// Judges all zones and acts on what follows.
    pub(crate) fn tick_zones(&mut self, ours: &[MachineId]) {
        let now = self.now();
        if !self.judges_zones() || now < self.zones.next {
            return;
        }
        self.zones.next = now + ZONES_EVERY;
        let held: BTreeSet<u32> = self.control.held_shards().collect();
        self.zones.zones.set_held_shards(&held, now);
        self.note_silence(ours);
        for transition in self.zones.zones.round(now, &self.policy.zones) {
            self.zone_changed(&transition);
        }
        self.write_zone_views();
        self.find_displaced();
        self.evacuate();
        self.move_replicas();
    }

    fn note_silence(&mut self, ours: &[MachineId]) {
        let now = self.now();
        let span = Micros::from_millis(self.policy.zones.silent_after_ms);
        for id in ours {
            let Some(machine) = self.fleet.machines.get(id) else { continue };
            let life = match (now.since(machine.heard) >= span, machine.probes_failed) {
                (false, _) => Life::Heard,
                (true, 0) => Life::Unknown,
                (true, _) => Life::Silent,
            };
            self.zones.zones.set_life(id, life);
        }
    }

    fn zone_changed(&mut self, transition: &Transition) {
        let Transition { zone, from, to, evidence, penalty } = transition;
        let (machines, against) = (evidence.machines, evidence.against);
        if matches!((from, to), (Condition::Up, Condition::Suspected) | (Condition::Suspected, Condition::Up)) {
            tracing::debug!(zone, ?from, ?to, machines, against, "zone suspected or cleared");
        } else {
            tracing::warn!(zone, ?from, ?to, machines, against, penalty, "zone has another condition");
        }
        self.scheduling.cycle_wanted = true;
        self.scheduling.urgent_cycle_wanted |= *to == Condition::Lost;
    }

    /// Stores what has changed in the views of our shards, each under the condition that we still hold the shard.
    fn write_zone_views(&mut self) {
        let unreadable = self.unreadable_views();
        let due = self.zones.zones.records_due(self.incarnation, self.moment(), &self.policy.zones);
        for RecordDue { zone, shard, record } in due.into_iter().chain(unreadable) {
            let name = (zone.clone(), shard);
            if !is_zone_storable(&zone) || !self.zones.writing.insert(name.clone()) {
                continue;
            }
            let key = Key::Zone(zone, shard);
            let mut proposal = ProposedTxn::default();
            proposal.unchanged(&self.store.replica, Key::Role(Role::Shard(shard)));
            proposal.unchanged(&self.store.replica, key.clone());
            match record {
                Some(record) => proposal.put(key, to_value(&record)),
                None => proposal.delete(key),
            }
            self.submit_txn(proposal, Purpose::ZoneView(name));
        }
    }

    /// Views of our shards that can't be read and that nothing else takes the place of.
    fn unreadable_views(&self) -> Vec<RecordDue> {
        let unreadable = self.store.replica.zones.iter().filter(|(_, stored)| stored.value.is_none());
        let ours = unreadable.filter(|((_, shard), _)| self.holds(Role::Shard(*shard)));
        ours.map(|((zone, shard), _)| RecordDue { zone: zone.clone(), shard: *shard, record: None }).collect()
    }

    /// A view has been stored, or not.
    pub(crate) fn zone_view_txn_over(&mut self, name: &(String, u32)) {
        self.zones.writing.remove(name);
    }

    /// Whether a zone takes any new work.
    pub(crate) fn zone_takes_work(&self, zone: &str) -> bool {
        if !self.judges_zones() {
            return true;
        }
        let zones = &self.zones.zones;
        !zones.is_on_hold(zone) && zones.condition(zone) != Condition::Lost
    }

    /// Whether a zone gets its work back step by step at present.
    pub(crate) fn zone_is_returning(&self, zone: &str) -> bool {
        self.judges_zones() && self.zones.zones.condition(zone) == Condition::Returning
    }

    /// Whether a zone takes one more start in this step of its return.
    pub(crate) fn zone_admits_start(&self, zone: &str) -> bool {
        let state = self.zones.zones.state(zone).filter(|_| self.zone_is_returning(zone));
        state.is_none_or(|state| state.ramp.admits(&self.policy.zones))
    }

    /// Whether work is being restored after the loss of a zone.
    pub(crate) fn is_restoring(&self) -> bool {
        self.judges_zones() && self.zones.zones.is_restoring(self.now(), &self.policy.zones)
    }

    /// Zones that have failed too often lately.
    pub(crate) fn distrusted_zones(&mut self, spots: &[Spot]) -> BTreeSet<String> {
        if !self.judges_zones() {
            return BTreeSet::new();
        }
        let now = self.now();
        let names: BTreeSet<&str> = spots.iter().map(|spot| spot.zone.as_str()).collect();
        let control = &mut self.zones;
        let distrusted = names.into_iter().filter(|zone| control.zones.is_distrusted(zone, now, &self.policy.zones));
        distrusted.map(str::to_string).collect()
    }

    /// Notes what became of a start in a zone that returns.
    pub(crate) fn note_zone_start(&mut self, machine: &MachineId, what: ZoneStart) {
        if !self.judges_zones() {
            return;
        }
        let Some(record) = self.store.replica.machines.get(machine) else { return };
        let zone = record.value.zone.as_str();
        if self.zones.zones.condition(zone) != Condition::Returning {
            return;
        }
        let Some(state) = self.zones.zones.state_mut(zone) else { return };
        match what {
            ZoneStart::Decided => state.ramp.started(),
            ZoneStart::Withdrawn => state.ramp.withdrawn(),
            ZoneStart::AtWork => state.ramp.succeeded(),
            ZoneStart::Lost => state.ramp.lost(&self.policy.zones),
        }
    }

    /// A start is proven gone. One that came to work since its zone returned, and was not told to stop, speaks against
    /// the zone.
    pub(crate) fn note_zone_loss(&mut self, start: &Start) {
        if !self.judges_zones() || start.stop.is_some() {
            return;
        }
        let Some(record) = self.store.replica.machines.get(start.machine()) else { return };
        let returned = self.zones.zones.state(&record.value.zone).map(burlhatch_zones::condition::ZoneState::since);
        let since_return = |at: Micros| returned.is_some_and(|returned| at >= returned);
        if start.running_since.is_some_and(since_return) {
            self.note_zone_start(start.machine(), ZoneStart::Lost);
        }
    }

    /// Whether batch work of which nothing has begun has its turn among the services, with one task.
    pub(crate) fn is_starved_in_restoration(&self, id: &JobId) -> bool {
        self.is_restoring() && self.as_waiting(id).is_some_and(|job| job.is_starved(&self.policy.zones))
    }

    fn as_waiting<'a>(&'a self, id: &'a JobId) -> Option<Waiting<'a, &'a JobId>> {
        let job = self.jobs.by_id.get(id)?;
        Some(Waiting {
            key: id,
            kind: match job.spec.kind {
                JobKind::Service => WorkKind::Service,
                JobKind::Gang => WorkKind::Gang,
                JobKind::Array => WorkKind::Array,
            },
            priority: match job.urgency.priority {
                Priority::Low => 0,
                Priority::Normal => 1,
                Priority::High => 2,
                Priority::Production => 3,
            },
            within_guarantee: self.within_guarantee(job),
            class: &job.spec.class,
            waited: self.clock.wall.since(job.ready),
            has_begun: job.fresh_from > 0,
        })
    }

    /// Jobs in the order in which they are restored.
    pub(crate) fn in_restoration_order(&self, waiting: &[JobId]) -> Vec<JobId> {
        let jobs = waiting.iter().filter_map(|id| self.as_waiting(id)).collect();
        restoration_order(jobs, &self.policy.zones).into_iter().cloned().collect()
    }

    /// Zones in which nothing may be rented now, given how many machines may still be ordered for each that returns.
    pub(crate) fn zones_closed_to_rentals(&self, ordered: &BTreeMap<String, u32>) -> BTreeSet<String> {
        let mut closed = BTreeSet::new();
        if !self.judges_zones() {
            return closed;
        }
        for zone in &self.platform.deployment.zones {
            let booting = || self.autoscaling.leader.boots.values().filter(|boot| boot.zone == *zone).count() as u32;
            let full = || booting() + ordered.get(zone).copied().unwrap_or(0) >= self.policy.zones.return_boots;
            if !self.zone_takes_work(zone) || (self.zone_is_returning(zone) && full()) {
                closed.insert(zone.clone());
            }
        }
        closed
    }
}

/// What became of a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ZoneStart {
    Decided,
    Withdrawn,
    AtWork,
    Lost,
}
