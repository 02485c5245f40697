//! Troubles that scenarios cause, and changes of version and limits.

use super::network::{Cut, LateCommands};
use super::{Endpoint, Event, Limits, MS, S, World};
use burlhatch::types::MachineId;
use ciborium::Value;
use std::collections::BTreeSet;
use std::ops::Range;

impl World {
    pub fn crash(&mut self, node: usize, back_after: u64) {
        tracing::info!(at_ms = self.now / MS, node, back_after, "trouble: crash");
        self.nodes[node].controller = None;
        self.nodes[node].generation += 1;
        // Agents and users on its connections see a reset.
        let lost: Vec<_> = std::mem::take(&mut self.nodes[node].agents).into_values().collect();
        for (machine, serial) in lost {
            self.at(MS, Event::HeartbeatAnswer { machine, serial, answer: None });
        }
        self.nodes[node].users.clear();
        self.nodes[node].peers.clear();
        self.nodes[node].frozen_until = 0;
        self.nodes[node].backlog.clear();
        self.at(back_after, Event::Restart(node));
    }

    /// The controller stands still; what is sent to it waits in its sockets and comes all at once.
    pub fn freeze(&mut self, node: usize, duration: u64) {
        tracing::info!(at_ms = self.now / MS, node, duration, "trouble: freeze");
        self.nodes[node].frozen_until = self.now + duration;
        let generation = self.nodes[node].generation;
        self.at(duration, Event::Thaw(node, generation));
    }

    pub fn cut(&mut self, duration: u64, hold: bool, between: impl Fn(&Endpoint, &Endpoint) -> bool + 'static) {
        tracing::info!(at_ms = self.now / MS, duration, hold, "trouble: cut");
        let until = self.now + duration;
        self.cuts.push(Cut { between: Box::new(between), until, hold, one_way: false });
    }

    /// The machines of a zone that are up.
    pub fn machines_in(&self, zone: &str) -> Vec<MachineId> {
        self.agents.iter().filter(|(_, agent)| agent.zone == zone).map(|(id, _)| id.clone()).collect()
    }

    /// Nothing gets through between a zone's machines and anybody outside; they work on.
    pub fn cut_zone(&mut self, zone: &str, duration: u64, hold: bool) {
        let cut_off: BTreeSet<MachineId> = self.machines_in(zone).into_iter().collect();
        self.cut(duration, hold, move |from, _| matches!(from, Endpoint::Agent(id) if cut_off.contains(id)));
    }

    /// All machines of a zone are gone, and none comes up there until the zone is back.
    pub fn kill_zone(&mut self, zone: &str) {
        tracing::info!(at_ms = self.now / MS, zone, "trouble: zone lost");
        for id in self.machines_in(zone) {
            self.agents.remove(&id);
        }
        self.cloud.zones_never_booting.insert(zone.into());
    }

    /// Writes a key of the store past all controllers.
    pub fn write_key(&mut self, key: &str, value: Option<Value>) {
        self.store.write(key, value);
        self.wake_watches();
    }

    /// The machine's heartbeats arrive, but neither answers nor commands reach it.
    pub fn make_unreachable(&mut self, nth: usize, duration: u64) -> Option<MachineId> {
        let id = self.nth_agent(nth)?;
        tracing::info!(at_ms = self.now / MS, machine = %id, duration, "trouble: deaf");
        let until = self.now + duration;
        let unreachable = Endpoint::Agent(id.clone());
        let between = move |_: &Endpoint, to: &Endpoint| *to == unreachable;
        self.cuts.push(Cut { between: Box::new(between), until, hold: false, one_way: true });
        Some(id)
    }

    /// The machine's heartbeats reach no controller, though direct commands reach it and are answered.
    pub fn drop_heartbeats(&mut self, nth: usize, duration: u64) -> Option<MachineId> {
        let id = self.nth_agent(nth)?;
        tracing::info!(at_ms = self.now / MS, machine = %id, duration, "trouble: mute");
        let until = self.now + duration;
        self.agents.get_mut(&id)?.heartbeats_dropped_until = until;
        Some(id)
    }

    /// Transactions, one in so many, get no answer and are carried out seconds later, after newer ones.
    pub fn late_writes(&mut self, duration: u64, one_in: u32) {
        tracing::info!(at_ms = self.now / MS, duration, "trouble: late writes");
        self.late_writes = (self.now + duration, one_in);
        self.late_writer = None;
    }

    /// The same for all transactions of one controller.
    pub fn late_writes_of(&mut self, node: usize, duration: u64) {
        self.late_writes(duration, 1);
        self.late_writer = Some(node);
    }

    /// Direct commands, one in so many, get no answer and are carried out after one of these delays.
    pub fn late_commands(&mut self, duration: u64, one_in: u32, delays: Range<u64>) {
        tracing::info!(at_ms = self.now / MS, duration, one_in, "trouble: late commands");
        self.late_commands = Some(LateCommands { until: self.now + duration, one_in, delays });
    }

    /// The cloud answers nobody.
    pub fn cloud_outage(&mut self, duration: u64) {
        self.cut(duration, false, |_, to| *to == Endpoint::Cloud);
    }

    /// Answers of the store, one in so many, come up to the time limit late.
    pub fn late_answers(&mut self, duration: u64, one_in: u32) {
        tracing::info!(at_ms = self.now / MS, duration, "trouble: late answers");
        self.late_answers = (self.now + duration, one_in);
    }

    /// From now on each controller's watch is answered later by up to so much, each by another lag.
    pub fn lag_watches(&mut self, most: u64) {
        for node in 0..self.size.nodes {
            self.watch_lag[node] = self.pick(most + 1);
        }
    }

    /// What the store can hold and answer.
    pub fn limit_store(&mut self, limits: Limits) {
        self.store.limits = limits;
    }

    pub fn slow_links(&mut self, duration: u64, most: u64) {
        tracing::info!(at_ms = self.now / MS, duration, "trouble: slow links");
        self.slow = (self.now + duration, most);
    }

    /// Its agent begins anew, with nothing on it and nothing remembered.
    pub fn restart_agent(&mut self, nth: usize) {
        if let Some(id) = self.nth_agent(nth)
            && let Some(instance) = self.cloud.machines.get(&id)
        {
            tracing::info!(at_ms = self.now / MS, machine = %id, "trouble: the worker begins anew");
            let (machine_type, zone, spot) = (instance.machine_type.clone(), instance.zone.clone(), instance.spot);
            self.start_agent(id, machine_type, zone, spot);
        }
    }

    /// From here on every job has to be answered for.
    pub fn start_liveness_checks(&mut self) {
        let until = self.cuts.iter().map(|c| c.until).chain([self.store.down_until]);
        let machines = self.agents.values().flat_map(|w| [w.hung_until, w.heartbeats_dropped_until]);
        let until = until
            .chain(self.store.refused_until.values().copied())
            .chain(machines)
            .chain([self.late_writes.0, self.slow.0]);
        let until = until.max().unwrap_or(0).max(self.now);
        self.liveness_checked_since = Some(until + 5 * S);
    }

    pub fn store_outage(&mut self, duration: u64) {
        tracing::info!(at_ms = self.now / MS, duration, "trouble: outage");
        self.store.down_until = self.now + duration;
        self.store.prolong_leases(self.now + duration);
    }

    pub fn refuse_node(&mut self, node: usize, duration: u64) {
        tracing::info!(at_ms = self.now / MS, node, duration, "trouble: refused");
        self.store.refused_until.insert(node, self.now + duration);
    }

    pub fn hang(&mut self, nth: usize, duration: u64) {
        if let Some(id) = self.nth_agent(nth) {
            self.hang_machine(&id, duration);
        }
    }

    /// A machine hangs, whichever it is.
    pub fn hang_machine(&mut self, id: &MachineId, duration: u64) {
        let until = self.now + duration;
        if let Some(agent) = self.agents.get_mut(id) {
            agent.hung_until = until;
        }
    }

    pub fn kill_machine(&mut self, nth: usize) {
        if let Some(id) = self.nth_agent(nth) {
            self.agents.remove(&id);
            self.cloud.failed(&id);
        }
    }

    pub fn make_faulty(&mut self, nth: usize) {
        if let Some(id) = self.nth_agent(nth)
            && let Some(agent) = self.agents.get_mut(&id)
        {
            agent.faulty = true;
        }
    }

    pub fn nth_agent(&self, nth: usize) -> Option<MachineId> {
        let up: Vec<_> = self.agents.keys().cloned().collect();
        if up.is_empty() { None } else { Some(up[nth % up.len()].clone()) }
    }

    /// All controllers are of the version before: they know nothing of limits to come, and write as much as they may.
    pub fn run_previous_version(&mut self) {
        self.previous_version = (0..self.size.nodes).collect();
    }

    /// One controller is killed and comes back as the new version.
    pub fn upgrade(&mut self, node: usize) {
        self.previous_version.remove(&node);
        self.crash(node, 4 * S);
    }

    /// One controller is killed and comes back as the version before.
    pub fn downgrade(&mut self, node: usize, back_after: u64) {
        self.previous_version.insert(node);
        self.crash(node, back_after);
    }

    /// From then on the store takes no larger values and transactions, and fewer changes.
    pub fn lower_limits_at(&mut self, at: u64, value: usize, ops: usize, write_rps: f64) {
        self.store.lowered_limits = Some((at, value, ops, write_rps));
        self.next_limits = format!(
            "[deployment.state.next]\nwrite_rps = {write_rps:?}\nvalue_kb = {}.0\ntxn_ops = {ops}\n",
            value / 1024
        );
    }
}
