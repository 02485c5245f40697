//! Agents: accept commands under the highest fencing token, keep a lease and send heartbeats.

use super::{Delivery, Endpoint, Event, MS, S, World};
use burlhatch::coordination::{AgentAnswer, DirectCommandsOutcome, Input};
use burlhatch::protocol::agent::{AgentCommand, DirectCommands, ExitCause, Heartbeat, TaskState, TaskStatus};
use burlhatch::storage::schema::Outcome;
use burlhatch::types::{FencingToken, JobId, MachineId, TaskId};
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
pub struct Task {
    pub(super) attempt: u64,
    pub(super) state: TaskState,
    /// Time at which the next state transition is due.
    pub(super) due: u64,
    pub(super) since: u64,
}

impl Task {
    pub fn is_fetching(&self) -> bool {
        self.state == TaskState::FetchingImage
    }
}

pub struct Agent {
    /// Address that it reports.
    pub(super) addr: String,
    pub(super) machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub(super) incarnation: u64,
    seq: u64,
    fencing_token: FencingToken,
    /// Time at which the last answered heartbeat was sent, or at which the incarnation began.
    pub(super) lease_renewed_at: u64,
    pub tasks: BTreeMap<(JobId, u32), Task>,
    pub(super) exited: BTreeMap<(JobId, u32, u64), ExitCause>,
    pub(super) cache: Vec<String>,
    pub(super) completed: Vec<(JobId, u32)>,
    node: usize,
    /// Serial number, time of sending and incarnation of the heartbeat that is in flight.
    pub(super) in_flight: Option<(u64, u64, u64)>,
    /// Tasks that the heartbeat in flight lists and that have not exited.
    reported: Vec<TaskStatus>,
    /// Number of the next heartbeat to send; events with an earlier number are ignored.
    wake: u64,
    /// Whether the next heartbeat is to be sent early because something changed.
    pub(super) changed: bool,
    /// Time at which a higher fencing token was last reported at once.
    token_change: Option<u64>,
    pub hung_until: u64,
    /// Whether every task on the machine fails.
    pub faulty: bool,
    /// Time until which its heartbeats reach no controller.
    pub heartbeats_dropped_until: u64,
}

impl Agent {
    fn heartbeat(&mut self, id: &MachineId) -> Heartbeat {
        self.seq += 1;
        let running = self.tasks.iter().map(|((job, index), t)| TaskStatus {
            task: format!("{job}/{index}"),
            attempt: t.attempt,
            state: t.state,
            exit_cause: None,
            checkpointed: None,
        });
        let exited = self.exited.iter().map(|((job, index, attempt), why)| TaskStatus {
            task: format!("{job}/{index}"),
            attempt: *attempt,
            state: TaskState::Exited,
            exit_cause: Some(*why),
            checkpointed: None,
        });
        let tasks = running.chain(exited).collect();
        Heartbeat {
            machine: id.clone(),
            addr: Some(self.addr.clone()),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            incarnation: self.incarnation,
            seq: self.seq,
            fencing_token: self.fencing_token,
            termination_notice_s: None,
            tasks,
        }
    }

    /// Returns whether the fencing token and the session of direct commands match.
    pub(super) fn accepts(&self, commands: &DirectCommands) -> bool {
        commands.fencing_token >= self.fencing_token && commands.incarnation == self.incarnation
    }

    /// Adopts a higher fencing token and reports it at once, at most one time within half a lease.
    fn adopt_token(&mut self, fencing_token: FencingToken, now: u64, lease: u64) {
        if fencing_token <= self.fencing_token {
            return;
        }
        self.fencing_token = fencing_token;
        if self.token_change.is_none_or(|at| now - at >= lease / 2) {
            self.token_change = Some(now);
            self.changed = true;
        }
    }

    pub(super) fn on_machine(&self, key: &(JobId, u32)) -> bool {
        self.tasks.get(key).is_some_and(|t| t.state != TaskState::FetchingImage)
    }
}

impl World {
    pub(super) fn start_agent(&mut self, id: MachineId, machine_type: String, zone: String, spot: bool) {
        let agent = Agent {
            addr: "10.1.0.1:9000".into(),
            machine_type,
            zone,
            spot,
            incarnation: 1,
            seq: 0,
            fencing_token: FencingToken(0),
            lease_renewed_at: self.now,
            tasks: BTreeMap::new(),
            exited: BTreeMap::new(),
            cache: Vec::new(),
            completed: Vec::new(),
            node: self.pick(self.size.nodes as u64) as usize,
            in_flight: None,
            reported: Vec::new(),
            wake: 0,
            changed: true,
            token_change: None,
            hung_until: 0,
            faulty: false,
            heartbeats_dropped_until: 0,
        };
        self.agents.insert(id.clone(), agent);
        self.schedule(100 * MS, Event::AgentStep { machine: id.clone() });
        self.schedule(10 * MS, Event::AgentHeartbeat { machine: id, wake: 0 });
    }

    pub(super) fn schedule_heartbeat(&mut self, id: &MachineId, delay: u64) {
        if let Some(agent) = self.agents.get_mut(id) {
            agent.wake += 1;
            let wake = agent.wake;
            self.schedule(delay, Event::AgentHeartbeat { machine: id.clone(), wake });
        }
    }

    pub(super) fn agent_heartbeat(&mut self, id: MachineId, wake: u64) {
        let now = self.now;
        let Some(agent) = self.agents.get_mut(&id) else { return };
        if agent.wake != wake || agent.in_flight.is_some() {
            return;
        }
        if agent.hung_until > now {
            let rest = agent.hung_until - now;
            return self.schedule_heartbeat(&id, rest);
        }
        let heartbeat = agent.heartbeat(&id);
        agent.changed = false;
        let node = agent.node;
        self.next_serial += 1;
        let serial = self.next_serial;
        if let Some(agent) = self.agents.get_mut(&id) {
            agent.in_flight = Some((serial, now, agent.incarnation));
            agent.reported = heartbeat.tasks.iter().filter(|task| task.state != TaskState::Exited).cloned().collect();
        }
        if self.heartbeat_copies > 0 && self.chance(self.heartbeat_copies) {
            // The copy is one second to about three leases late, and no agent waits for its answer.
            let late = S + self.pick(3 * self.size.times.lease);
            // Another controller may receive it, such as the leader at that time.
            let node = if self.chance(2) { self.pick(self.size.nodes as u64) as usize } else { node };
            self.schedule(late, Event::Heartbeat { node, heartbeat: heartbeat.clone(), serial: 0 });
        }
        let are_dropped = self.agents.get(&id).is_some_and(|agent| agent.heartbeats_dropped_until > now);
        match self.delivery(&Endpoint::Agent(id.clone()), &Endpoint::Node(node)) {
            Delivery::Arrives(_) | Delivery::Held(_) if are_dropped => {}
            Delivery::Arrives(delay) | Delivery::Held(delay) => {
                self.schedule(delay, Event::Heartbeat { node, heartbeat, serial });
            }
            Delivery::Refused => {
                self.schedule(MS, Event::HeartbeatAnswer { machine: id.clone(), serial, answer: None });
            }
        }
        self.schedule(4 * S, Event::HeartbeatAnswer { machine: id, serial, answer: None });
    }

    /// Checks that an answer, which renews the lease, stops each task in the heartbeat whose job the controller knows
    /// to be cancelled.
    pub(super) fn check_renewal(&mut self, node: usize, id: &MachineId, serial: u64, answer: &AgentAnswer) {
        let AgentAnswer::Response(response) = answer else { return };
        let Some(agent) =
            self.agents.get(id).filter(|agent| agent.in_flight.is_some_and(|(in_flight, ..)| in_flight == serial))
        else {
            return;
        };
        let Some(controller) = &self.nodes[node].controller else { return };
        let outcomes = &controller.replica().outcomes;
        let cancelled = |task: &TaskStatus| {
            let job = TaskId::parse(&task.task).map(|task| task.job);
            job.and_then(|job| outcomes.get(&job)).is_some_and(|record| record.value.outcome == Outcome::Cancelled)
        };
        let stopped = |task: &TaskStatus| {
            response.commands.iter().any(
                |command| matches!(command, AgentCommand::Stop { task: t, attempt, .. } if *t == task.task && *attempt == task.attempt),
            )
        };
        let missing = agent.reported.iter().find(|task| cancelled(task) && !stopped(task));
        if let Some(task) = missing.map(|task| task.task.clone()) {
            self.report_violation(format!("renewed without a stop: {task} on {id}, by node {node}"));
        }
    }

    pub(super) fn heartbeat_answer(&mut self, id: MachineId, serial: u64, answer: Option<AgentAnswer>) {
        let now = self.now;
        let (nodes, times) = (self.size.nodes, self.size.times);
        let Some(agent) = self.agents.get_mut(&id) else { return };
        let Some((in_flight, sent, incarnation)) = agent.in_flight else { return };
        if in_flight != serial {
            return;
        }
        if agent.hung_until > now {
            let rest = agent.hung_until - now;
            // The agent reads the answer once it no longer hangs, unless its request has timed out by then.
            let answer = if rest + now - sent > 4 * S { None } else { answer };
            return self.schedule(rest, Event::HeartbeatAnswer { machine: id, serial, answer });
        }
        agent.in_flight = None;
        let pause = match answer {
            Some(AgentAnswer::Response(commands)) => {
                if commands.fencing_token >= agent.fencing_token && incarnation == agent.incarnation {
                    agent.adopt_token(commands.fencing_token, now, times.lease);
                    agent.lease_renewed_at = agent.lease_renewed_at.max(sent);
                    self.execute_commands(&id, &commands.commands);
                }
                let changed = self.agents.get(&id).is_some_and(|agent| agent.changed);
                if changed { 500 * MS } else { times.heartbeat - times.heartbeat / 4 + self.pick(times.heartbeat / 2) }
            }
            Some(AgentAnswer::Redirect(Some(label))) => {
                let named = label.strip_prefix("node-").and_then(|n| n.parse().ok()).filter(|n| *n < nodes);
                match named {
                    Some(n) if n != agent.node => {
                        agent.node = n;
                        self.pick(500 * MS)
                    }
                    _ => {
                        agent.node = (agent.node + 1) % nodes;
                        S
                    }
                }
            }
            _ => {
                agent.node = (agent.node + 1) % nodes;
                S
            }
        };
        self.schedule_heartbeat(&id, pause);
    }

    pub(super) fn agent_commands(
        &mut self,
        node: usize,
        generation: u64,
        call: u64,
        id: MachineId,
        commands: DirectCommands,
    ) {
        let now = self.now;
        let Some(agent) = self.agents.get(&id) else { return };
        if agent.hung_until > now {
            let rest = agent.hung_until - now;
            return self.schedule(rest, Event::DirectCommands { node, generation, call, machine: id, commands });
        }
        let is_accepted = agent.accepts(&commands);
        if is_accepted {
            self.execute_direct_commands(&id, &commands);
            self.commands_executed(call, &id, &commands);
        }
        let Some(agent) = self.agents.get_mut(&id) else { return };
        let heartbeat = agent.heartbeat(&id);
        let changed = agent.changed && agent.in_flight.is_none();
        let outcome = if is_accepted {
            DirectCommandsOutcome::Executed(heartbeat)
        } else {
            DirectCommandsOutcome::Rejected(heartbeat)
        };
        self.reply(
            Endpoint::Agent(id.clone()),
            node,
            generation,
            call,
            Input::DirectCommands { machine: id.clone(), outcome },
        );
        if changed {
            self.schedule_heartbeat(&id, 500 * MS);
        }
    }

    /// Executes direct commands that the agent accepts.
    pub(super) fn execute_direct_commands(&mut self, id: &MachineId, commands: &DirectCommands) {
        let (now, lease) = (self.now, self.size.times.lease);
        if let Some(agent) = self.agents.get_mut(id) {
            agent.adopt_token(commands.fencing_token, now, lease);
        }
        self.execute_commands(id, &commands.commands);
    }

    fn execute_commands(&mut self, id: &MachineId, commands: &[AgentCommand]) {
        for command in commands {
            match command {
                AgentCommand::Start { task, attempt } => self.execute_start(id, task, *attempt),
                AgentCommand::Stop { task, attempt, .. } => {
                    let Some(key) = TaskId::parse(task).map(|t| (t.job, t.index)) else { continue };
                    let here = self.agents.get(id).and_then(|agent| agent.tasks.get(&key));
                    if here.is_some_and(|t| t.attempt == *attempt) {
                        self.exit(id, &key, ExitCause::Stopped);
                    }
                }
                AgentCommand::Forget { task, attempt } => {
                    let Some(t) = TaskId::parse(task) else { continue };
                    if let Some(agent) = self.agents.get_mut(id) {
                        agent.exited.remove(&(t.job, t.index, *attempt));
                    }
                }
            }
        }
    }
}
