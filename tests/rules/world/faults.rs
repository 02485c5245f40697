//! Faults that scenarios inject, and changes of versions and limits.

use super::network::{Cut, LateCommands};
use super::store::LoweredLimits;
use super::{Endpoint, Event, Limits, MS, S, World};
use burlhatch::types::MachineId;
use burlhatch_testbed::store::StoreSizeLimits;
use ciborium::Value;
use std::collections::BTreeSet;
use std::ops::Range;

impl World {
    pub fn crash(&mut self, node: usize, back_after: u64) {
        tracing::info!(at_ms = self.now / MS, node, back_after, "fault: controller crashes");
        self.nodes[node].controller = None;
        self.nodes[node].generation += 1;
        // Agents and users on its connections see a reset.
        let lost: Vec<_> = std::mem::take(&mut self.nodes[node].agents).into_values().collect();
        for (machine, serial) in lost {
            self.schedule(MS, Event::HeartbeatAnswer { machine, serial, answer: None });
        }
        self.nodes[node].users.clear();
        self.nodes[node].peers.clear();
        self.nodes[node].frozen_until = 0;
        self.nodes[node].backlog.clear();
        self.schedule(back_after, Event::Restart(node));
    }

    /// Pauses a controller; inputs sent to it wait in its sockets and are read together when it resumes.
    pub fn freeze(&mut self, node: usize, duration: u64) {
        tracing::info!(at_ms = self.now / MS, node, duration, "fault: controller is paused");
        self.nodes[node].frozen_until = self.now + duration;
        let generation = self.nodes[node].generation;
        self.schedule(duration, Event::Thaw(node, generation));
    }

    /// Cuts the network between endpoints. With `hold`, about half of the packets arrive after the cut; all others are
    /// refused.
    pub fn cut(&mut self, duration: u64, hold: bool, between: impl Fn(&Endpoint, &Endpoint) -> bool + 'static) {
        tracing::info!(at_ms = self.now / MS, duration, hold, "fault: network is cut");
        let until = self.now + duration;
        self.cuts.push(Cut { between: Box::new(between), until, hold, one_way: false });
    }

    /// Returns the machines of a zone that are up.
    pub fn machines_in(&self, zone: &str) -> Vec<MachineId> {
        self.agents.iter().filter(|(_, agent)| agent.zone == zone).map(|(id, _)| id.clone()).collect()
    }

    /// Cuts a zone's machines off from all other endpoints; their tasks keep running.
    pub fn cut_zone(&mut self, zone: &str, duration: u64, hold: bool) {
        let cut_off: BTreeSet<MachineId> = self.machines_in(zone).into_iter().collect();
        self.cut(duration, hold, move |from, _| matches!(from, Endpoint::Agent(id) if cut_off.contains(id)));
    }

    /// Removes all machines of a zone and keeps new instances there from booting.
    pub fn kill_zone(&mut self, zone: &str) {
        tracing::info!(at_ms = self.now / MS, zone, "fault: zone is lost");
        for id in self.machines_in(zone) {
            self.agents.remove(&id);
        }
        self.cloud.zones_never_booting.insert(zone.into());
    }

    /// Writes a key of the store directly, without any controller.
    pub fn write_key(&mut self, key: &str, value: Option<Value>) {
        self.store.write(key, value);
        self.wake_watches();
    }

    /// Makes a machine unreachable: its heartbeats arrive, but neither answers nor commands reach it.
    pub fn make_unreachable(&mut self, nth: usize, duration: u64) -> Option<MachineId> {
        let id = self.nth_agent(nth)?;
        tracing::info!(at_ms = self.now / MS, machine = %id, duration, "fault: machine is unreachable");
        let until = self.now + duration;
        let unreachable = Endpoint::Agent(id.clone());
        let between = move |_: &Endpoint, to: &Endpoint| *to == unreachable;
        self.cuts.push(Cut { between: Box::new(between), until, hold: false, one_way: true });
        Some(id)
    }

    /// Drops a machine's heartbeats; direct commands still reach it and are answered.
    pub fn drop_heartbeats(&mut self, nth: usize, duration: u64) -> Option<MachineId> {
        let id = self.nth_agent(nth)?;
        tracing::info!(at_ms = self.now / MS, machine = %id, duration, "fault: heartbeats are dropped");
        let until = self.now + duration;
        self.agents.get_mut(&id)?.heartbeats_dropped_until = until;
        Some(id)
    }

    /// Delays one in `one_in` transactions: it gets no answer and is executed seconds later, after newer ones.
    pub fn late_writes(&mut self, duration: u64, one_in: u32) {
        tracing::info!(at_ms = self.now / MS, duration, "fault: transactions are delayed");
        self.late_writes = (self.now + duration, one_in);
        self.late_writer = None;
    }

    /// Delays all transactions of one controller as `late_writes` does.
    pub fn late_writes_of(&mut self, node: usize, duration: u64) {
        self.late_writes(duration, 1);
        self.late_writer = Some(node);
    }

    /// Delays one in `one_in` requests with direct commands: it gets no answer and is executed after a delay from the
    /// range.
    pub fn late_commands(&mut self, duration: u64, one_in: u32, delays: Range<u64>) {
        tracing::info!(at_ms = self.now / MS, duration, one_in, "fault: direct commands are delayed");
        self.late_commands = Some(LateCommands { until: self.now + duration, one_in, delays });
    }

    /// Makes the cloud unreachable for all controllers.
    pub fn cloud_outage(&mut self, duration: u64) {
        self.cut(duration, false, |_, to| *to == Endpoint::Cloud);
    }

    /// Delays one in `one_in` answers of the store by up to the timeout.
    pub fn late_answers(&mut self, duration: u64, one_in: u32) {
        tracing::info!(at_ms = self.now / MS, duration, "fault: answers of the store are delayed");
        self.late_answers = (self.now + duration, one_in);
    }

    /// Delays the answers to the watches from now on, for each controller by a lag of its own of at most `most`.
    pub fn lag_watches(&mut self, most: u64) {
        for node in 0..self.size.nodes {
            self.watch_lag[node] = self.pick(most + 1);
        }
    }

    /// Sets the limits of the store.
    pub fn limit_store(&mut self, limits: Limits) {
        self.store.limits = limits;
    }

    /// Delays each packet by up to `most` in addition.
    pub fn slow_links(&mut self, duration: u64, most: u64) {
        tracing::info!(at_ms = self.now / MS, duration, "fault: links are slow");
        self.slow = (self.now + duration, most);
    }

    /// Restarts a machine's agent without tasks and with its state lost.
    pub fn restart_agent(&mut self, nth: usize) {
        if let Some(id) = self.nth_agent(nth)
            && let Some(instance) = self.cloud.machines.get(&id)
        {
            tracing::info!(at_ms = self.now / MS, machine = %id, "fault: agent restarts");
            let (machine_type, zone, spot) = (instance.machine_type.clone(), instance.zone.clone(), instance.spot);
            self.start_agent(id, machine_type, zone, spot);
        }
    }

    /// Starts the liveness checks 5 s after the end of the faults injected so far.
    pub fn start_liveness_checks(&mut self) {
        let until = self.cuts.iter().map(|c| c.until).chain([self.store.down_until]);
        let machines = self.agents.values().flat_map(|agent| [agent.hung_until, agent.heartbeats_dropped_until]);
        let until = until
            .chain(self.store.refused_until.values().copied())
            .chain(machines)
            .chain([self.late_writes.0, self.slow.0]);
        let until = until.max().unwrap_or(0).max(self.now);
        self.liveness_checked_since = Some(until + 5 * S);
    }

    pub fn store_outage(&mut self, duration: u64) {
        tracing::info!(at_ms = self.now / MS, duration, "fault: store outage");
        self.store.down_until = self.now + duration;
        self.store.prolong_leases(self.now + duration);
    }

    /// Makes the store refuse the requests of one controller.
    pub fn refuse_node(&mut self, node: usize, duration: u64) {
        tracing::info!(at_ms = self.now / MS, node, duration, "fault: store refuses a controller");
        self.store.refused_until.insert(node, self.now + duration);
    }

    pub fn hang(&mut self, nth: usize, duration: u64) {
        if let Some(id) = self.nth_agent(nth) {
            self.hang_machine(&id, duration);
        }
    }

    /// Makes a machine hang.
    pub fn hang_machine(&mut self, id: &MachineId, duration: u64) {
        let until = self.now + duration;
        if let Some(agent) = self.agents.get_mut(id) {
            agent.hung_until = until;
        }
    }

    pub fn kill_machine(&mut self, nth: usize) {
        if let Some(id) = self.nth_agent(nth) {
            self.agents.remove(&id);
            self.cloud.mark_failed(&id);
        }
    }

    /// Makes all tasks fail that start on a machine from now on.
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

    /// Makes all controllers run the previous version, which ignores announced limits and uses the current ones fully.
    /// Takes effect when they start.
    pub fn run_previous_version(&mut self) {
        self.previous_version = (0..self.size.nodes).collect();
    }

    /// Kills a controller, which restarts as the new version.
    pub fn upgrade(&mut self, node: usize) {
        self.previous_version.remove(&node);
        self.crash(node, 4 * S);
    }

    /// Kills a controller, which restarts as the previous version.
    pub fn downgrade(&mut self, node: usize, back_after: u64) {
        self.previous_version.insert(node);
        self.crash(node, back_after);
    }

    /// Lowers the store's limits for values, transactions and writes per second at that time, and announces them in the
    /// settings of the controllers that start from now on.
    pub fn lower_limits_at(&mut self, at: u64, value: usize, ops: usize, write_rps: f64) {
        let sizes = StoreSizeLimits { value_bytes: value, txn_writes: ops, ..self.size.store_sizes };
        self.store.lowered_limits = Some(LoweredLimits { at, sizes, write_rps });
        self.next_limits = format!(
            "[deployment.state.next]\nwrite_rps = {write_rps:?}\nvalue_kb = {}.0\ntxn_ops = {ops}\n",
            value / 1024
        );
    }

    /// Lowers the store's limits of size from now on below those that the settings state.
    pub fn lower_limits_unannounced(&mut self, sizes: StoreSizeLimits) {
        self.store.lowered_limits = Some(LoweredLimits { at: self.now, sizes, write_rps: self.size.write_rps });
        self.store.expects_refusals = true;
    }

    /// Starts an agent on a machine that the cloud does not know.
    pub fn start_stray_agent(&mut self, id: &str, addr: &str) {
        let id = MachineId::new(id);
        self.start_agent(id.clone(), "small".into(), self.size.zones[0].into(), false);
        if let Some(agent) = self.agents.get_mut(&id) {
            agent.addr = addr.into();
        }
    }

    /// Makes the store refuse for good each transaction that writes a key containing this text.
    pub fn refuse_keys_for_good(&mut self, text: &str) {
        self.store.refused_key_part = Some(text.into());
        self.store.expects_refusals = true;
    }

    /// Returns the number of transactions that the store has refused for good.
    pub fn refused_txn_count(&self) -> u64 {
        self.store.refused_count
    }
}
