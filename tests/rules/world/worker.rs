//! Workers: obey the highest fencing token, keep a lease, run tasks. Here the rules about starts are
//! checked, with the knowledge of all machines that no controller has.

use super::cloud::cpus_of;
use super::{Event, Fate, MS, Place, S, World};
use burlhatch::coordination::{DirectCommandsOutcome, Input, WorkerAnswer};
use burlhatch::protocol::user::{JobKind, JobSpec};
use burlhatch::protocol::worker::{AgentCommand, DirectCommands, ExitCause, Heartbeat, TaskState, TaskStatus};
use burlhatch::storage::schema::Outcome;
use burlhatch::types::{FencingToken, JobId, MachineId, TaskId};
use std::collections::BTreeMap;

const GANG_WAIT: u64 = 30 * S;

fn limit_of(team: &str) -> f64 {
    match team {
        "red" => 12.0,
        "blue" => 10.0,
        _ => f64::INFINITY,
    }
}

#[derive(Clone, Debug)]
pub struct Task {
    attempt: u64,
    state: TaskState,
    /// When its next step is due.
    due: u64,
    since: u64,
}

impl Task {
    pub fn is_fetching(&self) -> bool {
        self.state == TaskState::FetchingImage
    }
}

pub struct Worker {
    machine_type: String,
    pub zone: String,
    pub spot: bool,
    incarnation: u64,
    seq: u64,
    fencing_token: FencingToken,
    /// When the last answered heartbeat was sent, or the incarnation began.
    renewed: u64,
    pub tasks: BTreeMap<(JobId, u32), Task>,
    exited: BTreeMap<(JobId, u32, u64), ExitCause>,
    cache: Vec<String>,
    done: Vec<(JobId, u32)>,
    node: usize,
    /// The heartbeat in flight and when it was sent.
    flight: Option<(u64, u64, u64)>,
    /// What it says is on the machine, not ended.
    reported: Vec<TaskStatus>,
    wake: u64,
    changed: bool,
    /// When a higher fencing token last counted as a change.
    token_change: Option<u64>,
    pub hung_until: u64,
    pub sick: bool,
    /// Until then its heartbeats reach nobody.
    pub unreported_until: u64,
}

impl Worker {
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
            addr: Some("10.1.0.1:9000".into()),
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

    /// Keeps the highest fencing token, and reports a higher one at once, though only one time within half a lease.
    fn take_token(&mut self, fencing_token: FencingToken, now: u64, lease: u64) {
        if fencing_token <= self.fencing_token {
            return;
        }
        self.fencing_token = fencing_token;
        if self.token_change.is_none_or(|at| now - at >= lease / 2) {
            self.token_change = Some(now);
            self.changed = true;
        }
    }

    fn on_machine(&self, key: &(JobId, u32)) -> bool {
        self.tasks.get(key).is_some_and(|t| t.state != TaskState::FetchingImage)
    }
}

impl World {
    pub(super) fn start_worker(&mut self, id: MachineId, machine_type: String, zone: String, spot: bool) {
        let worker = Worker {
            machine_type,
            zone,
            spot,
            incarnation: 1,
            seq: 0,
            fencing_token: FencingToken(0),
            renewed: self.now,
            tasks: BTreeMap::new(),
            exited: BTreeMap::new(),
            cache: Vec::new(),
            done: Vec::new(),
            node: self.pick(self.size.nodes as u64) as usize,
            flight: None,
            reported: Vec::new(),
            wake: 0,
            changed: true,
            token_change: None,
            hung_until: 0,
            sick: false,
            unreported_until: 0,
        };
        self.workers.insert(id.clone(), worker);
        self.at(100 * MS, Event::WorkerStep { machine: id.clone() });
        self.at(10 * MS, Event::WorkerHeartbeat { machine: id, wake: 0 });
    }

    fn wake_in(&mut self, id: &MachineId, delay: u64) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.wake += 1;
            let wake = worker.wake;
            self.at(delay, Event::WorkerHeartbeat { machine: id.clone(), wake });
        }
    }

    pub(super) fn worker_heartbeat(&mut self, id: MachineId, wake: u64) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&id) else { return };
        if worker.wake != wake || worker.flight.is_some() {
            return;
        }
        if worker.hung_until > now {
            let rest = worker.hung_until - now;
            return self.wake_in(&id, rest);
        }
        let heartbeat = worker.heartbeat(&id);
        worker.changed = false;
        let node = worker.node;
        self.next_serial += 1;
        let serial = self.next_serial;
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.flight = Some((serial, now, worker.incarnation));
            worker.reported = heartbeat.tasks.iter().filter(|task| task.state != TaskState::Exited).cloned().collect();
        }
        if self.heartbeat_copies > 0 && self.chance(self.heartbeat_copies) {
            // A copy comes late, from seconds to well over a lease; nobody waits for its answer.
            let late = S + self.pick(3 * self.size.times.lease);
            // Whoever leads by then may get it.
            let node = if self.chance(2) { self.pick(self.size.nodes as u64) as usize } else { node };
            self.at(late, Event::Heartbeat { node, heartbeat: heartbeat.clone(), serial: 0 });
        }
        let unreported = self.workers.get(&id).is_some_and(|w| w.unreported_until > now);
        match self.fate(&Place::Worker(id.clone()), &Place::Node(node)) {
            Fate::Arrives(_) | Fate::Held(_) if unreported => {}
            Fate::Arrives(delay) | Fate::Held(delay) => self.at(delay, Event::Heartbeat { node, heartbeat, serial }),
            Fate::Refused => self.at(MS, Event::HeartbeatAnswer { machine: id.clone(), serial, answer: None }),
        }
        self.at(4 * S, Event::HeartbeatAnswer { machine: id, serial, answer: None });
    }

    /// An answer renews the lease: it must stop what the heartbeat names of jobs that the controller knows to be cancelled.
    pub(super) fn check_renewal(&mut self, node: usize, id: &MachineId, serial: u64, answer: &WorkerAnswer) {
        let WorkerAnswer::Response(given) = answer else { return };
        let Some(worker) = self.workers.get(id).filter(|w| w.flight.is_some_and(|(flight, ..)| flight == serial))
        else {
            return;
        };
        let Some(controller) = &self.nodes[node].controller else { return };
        let ends = &controller.replica().ends;
        let cancelled = |task: &TaskStatus| {
            let job = TaskId::parse(&task.task).map(|task| task.job);
            job.and_then(|job| ends.get(&job)).is_some_and(|end| end.value.outcome == Outcome::Cancelled)
        };
        let stopped = |task: &TaskStatus| {
            given.commands.iter().any(
                |order| matches!(order, AgentCommand::Stop { task: t, attempt, .. } if *t == task.task && *attempt == task.attempt),
            )
        };
        let missing = worker.reported.iter().find(|task| cancelled(task) && !stopped(task));
        if let Some(task) = missing.map(|task| task.task.clone()) {
            self.broken(format!("renewed without a stop: {task} on {id}, by node {node}"));
        }
    }

    pub(super) fn heartbeat_answer(&mut self, id: MachineId, serial: u64, answer: Option<WorkerAnswer>) {
        let now = self.now;
        let (nodes, times) = (self.size.nodes, self.size.times);
        let Some(worker) = self.workers.get_mut(&id) else { return };
        let Some((flight, sent, incarnation)) = worker.flight else { return };
        if flight != serial {
            return;
        }
        if worker.hung_until > now {
            let rest = worker.hung_until - now;
            // It finds the answer when it goes on, if that is not too old by then.
            let answer = if rest + now - sent > 4 * S { None } else { answer };
            return self.at(rest, Event::HeartbeatAnswer { machine: id, serial, answer });
        }
        worker.flight = None;
        let pause = match answer {
            Some(WorkerAnswer::Response(commands)) => {
                if commands.fencing_token >= worker.fencing_token && incarnation == worker.incarnation {
                    worker.take_token(commands.fencing_token, now, times.lease);
                    worker.renewed = worker.renewed.max(sent);
                    self.obey(&id, &commands.commands);
                }
                let changed = self.workers.get(&id).is_some_and(|w| w.changed);
                if changed { 500 * MS } else { times.heartbeat - times.heartbeat / 4 + self.pick(times.heartbeat / 2) }
            }
            Some(WorkerAnswer::Redirect(Some(label))) => {
                let named = label.strip_prefix("node-").and_then(|n| n.parse().ok()).filter(|n| *n < nodes);
                match named {
                    Some(n) if n != worker.node => {
                        worker.node = n;
                        self.pick(500 * MS)
                    }
                    _ => {
                        worker.node = (worker.node + 1) % nodes;
                        S
                    }
                }
            }
            _ => {
                worker.node = (worker.node + 1) % nodes;
                S
            }
        };
        self.wake_in(&id, pause);
    }

    pub(super) fn worker_commands(
        &mut self,
        node: usize,
        life: u64,
        call: u64,
        id: MachineId,
        commands: DirectCommands,
    ) {
        let (now, times) = (self.now, self.size.times);
        let Some(worker) = self.workers.get_mut(&id) else { return };
        if worker.hung_until > now {
            let rest = worker.hung_until - now;
            return self.at(rest, Event::DirectCommands { node, life, call, machine: id, commands });
        }
        let done = commands.fencing_token >= worker.fencing_token && commands.incarnation == worker.incarnation;
        if done {
            worker.take_token(commands.fencing_token, now, times.lease);
            self.obey(&id, &commands.commands);
        }
        let Some(worker) = self.workers.get_mut(&id) else { return };
        let heartbeat = worker.heartbeat(&id);
        let changed = worker.changed && worker.flight.is_none();
        let outcome =
            if done { DirectCommandsOutcome::Done(heartbeat) } else { DirectCommandsOutcome::Rejected(heartbeat) };
        self.reply(Place::Worker(id.clone()), node, life, call, Input::DirectCommands { machine: id.clone(), outcome });
        if changed {
            self.wake_in(&id, 500 * MS);
        }
    }

    fn obey(&mut self, id: &MachineId, commands: &[AgentCommand]) {
        for order in commands {
            match order {
                AgentCommand::Start { task, attempt } => self.obey_start(id, task, *attempt),
                AgentCommand::Stop { task, attempt, .. } => {
                    let Some(key) = TaskId::parse(task).map(|t| (t.job, t.index)) else { continue };
                    let here = self.workers.get(id).and_then(|w| w.tasks.get(&key));
                    if here.is_some_and(|t| t.attempt == *attempt) {
                        self.exit(id, &key, ExitCause::Stopped);
                    }
                }
                AgentCommand::Forget { task, attempt } => {
                    let Some(t) = TaskId::parse(task) else { continue };
                    if let Some(worker) = self.workers.get_mut(id) {
                        worker.exited.remove(&(t.job, t.index, *attempt));
                    }
                }
            }
        }
    }

    fn obey_start(&mut self, id: &MachineId, task: &str, attempt: u64) {
        let now = self.now;
        let Some(key) = TaskId::parse(task).map(|t| (t.job, t.index)) else { return };
        let Some(spec) = self.jobs.get(&key.0).map(|j| j.spec.clone()) else { return };
        let cpus: f64 = match self.workers.get(id) {
            Some(w) => w.tasks.keys().filter_map(|k| self.jobs.get(&k.0)).map(|j| j.spec.cpus).sum(),
            None => return,
        };
        let Some(worker) = self.workers.get_mut(id) else { return };
        let known = worker.exited.contains_key(&(key.0.clone(), key.1, attempt))
            || worker.tasks.get(&key).is_some_and(|t| t.attempt == attempt);
        if known {
            return;
        }
        worker.changed = true;
        if worker.tasks.contains_key(&key) {
            worker.exited.insert((key.0, key.1, attempt), ExitCause::Busy);
        } else if cpus + spec.cpus > cpus_of(&worker.machine_type) + 1e-9 {
            worker.exited.insert((key.0, key.1, attempt), ExitCause::InsufficientResources);
        } else {
            let cached = worker.cache.contains(&spec.image);
            let due = now + if cached { 0 } else { S };
            let task = Task { attempt, state: TaskState::FetchingImage, due, since: now };
            worker.tasks.insert(key.clone(), task);
            if cached {
                self.arrives(id, &key);
            }
        }
    }

    fn exit(&mut self, id: &MachineId, key: &(JobId, u32), why: ExitCause) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if let Some(task) = worker.tasks.remove(key) {
            worker.exited.insert((key.0.clone(), key.1, task.attempt), why);
            worker.changed = true;
            if worker.flight.is_none() {
                self.wake_in(id, 100 * MS);
            }
        }
    }

    /// The task has its image: from here on it is on its machine.
    fn arrives(&mut self, id: &MachineId, key: &(JobId, u32)) {
        let now = self.now;
        self.check_start(id, key);
        self.started += 1;
        if let Some(job) = self.jobs.get_mut(&key.0) {
            job.begun.get_or_insert(now);
            job.starts += 1;
        }
        let Some(job) = self.jobs.get(&key.0) else { return };
        let (kind, image, run) = (job.spec.kind, job.spec.image.clone(), job.spec.estimated_runtime_s);
        let fails_after = job.fails_after;
        let run = (run * 1e6) as u64 / 2 + self.rng_run((run * 1e6) as u64);
        let Some(worker) = self.workers.get_mut(id) else { return };
        if !worker.cache.contains(&image) {
            worker.cache.push(image);
        }
        worker.changed = true;
        let sick = worker.sick;
        let finished = worker.done.contains(key);
        if let Some(task) = worker.tasks.get_mut(key) {
            task.since = now;
            (task.state, task.due) = match kind {
                JobKind::Gang => (TaskState::Waiting, now + GANG_WAIT),
                JobKind::Service => (TaskState::Running, fails_after.map_or(u64::MAX, |after| now + after)),
                JobKind::Array => (TaskState::Running, now + fails_after.unwrap_or(run)),
            };
        }
        if sick {
            self.exit(id, key, ExitCause::Failed);
        } else if finished {
            self.exit(id, key, ExitCause::Completed);
        } else if kind == JobKind::Gang {
            self.gang_may_start(&key.0);
        }
    }

    fn rng_run(&mut self, span: u64) -> u64 {
        if span == 0 { 0 } else { self.pick(span) }
    }

    fn check_start(&mut self, id: &MachineId, key: &(JobId, u32)) {
        let now = self.now;
        let Some(job) = self.jobs.get(&key.0) else {
            return self.broken(format!("a task of no job starts: {}/{}", key.0, key.1));
        };
        let spec = job.spec.clone();
        let cancelled = job.cancelled;
        let mut found = Vec::new();
        let elsewhere = self.workers.iter().find(|(other, w)| *other != id && w.on_machine(key));
        if let Some((other, _)) = elsewhere {
            found.push(format!("ran_twice: {}/{} runs on {other} and is started on {id}", key.0, key.1));
        }
        let undone = |before: &&JobId| self.jobs.get(*before).is_none_or(|b| b.done_tasks.iter().any(|d| !d));
        if let Some(before) = spec.depends_on.iter().find(undone) {
            found.push(format!("too_early: {}/{} starts before {before} is done", key.0, key.1));
        }
        if cancelled.is_some_and(|at| now > at + self.size.times.cancel) {
            found.push(format!("ran_cancelled: {}/{} starts on {id}", key.0, key.1));
        }
        let Some(worker) = self.workers.get(id) else { return };
        let allowed = spec.types.as_ref().is_none_or(|t| t.contains(&worker.machine_type))
            && spec.zone.as_ref().is_none_or(|z| *z == worker.zone)
            && (spec.spot || !worker.spot);
        // Where the job's other tasks are at this moment, if that binds it: with thousands of machines a walk for each
        // start would take most of the run.
        let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
        let bound = spec.spread || spec.one_zone;
        for (other, w) in self.workers.iter().filter(|_| bound) {
            for k in w.tasks.keys().filter(|k| k.0 == key.0 && (*k != key || other == id)) {
                if w.on_machine(k) || (other == id && k == key) {
                    *zones.entry(&w.zone).or_default() += 1;
                }
            }
        }
        let most = spec.tasks.div_ceil(2);
        let spread = !spec.spread || zones.get(worker.zone.as_str()).copied().unwrap_or(0) <= most;
        let together = !spec.one_zone || zones.len() <= 1;
        if !(allowed && spread && together) {
            found.push(format!("wrong_place: {}/{} on {id} in {}: {zones:?}", key.0, key.1, worker.zone));
        }
        if let Some(team) = &spec.team
            && limit_of(team).is_finite()
        {
            let limit = limit_of(team);
            let mut used = 0.0;
            for w in self.workers.values() {
                for k in w.tasks.keys().filter(|k| w.on_machine(k) || *k == key) {
                    if let Some(j) = self.jobs.get(&k.0).filter(|j| j.spec.team.as_ref() == Some(team)) {
                        used += j.spec.cpus;
                    }
                }
            }
            if used > limit + 1e-9 {
                found.push(format!("quota: team {team} uses {used}"));
            }
        }
        for what in found {
            self.broken(what);
        }
    }

    /// Whether one more task of that kind could run somewhere at this moment.
    pub(super) fn could_run(&self, spec: &JobSpec) -> bool {
        let used_of =
            |w: &Worker| -> f64 { w.tasks.keys().filter_map(|k| self.jobs.get(&k.0)).map(|j| j.spec.cpus).sum() };
        let team = spec.team.as_deref().unwrap_or("");
        let by_team: f64 = self
            .workers
            .values()
            .flat_map(|w| w.tasks.keys())
            .filter_map(|k| self.jobs.get(&k.0))
            .filter(|j| j.spec.team.as_deref() == Some(team))
            .map(|j| j.spec.cpus)
            .sum();
        let within = by_team + spec.cpus <= limit_of(team) + 1e-9;
        within
            && self.workers.values().any(|w| {
                let allowed = spec.types.as_ref().is_none_or(|t| t.contains(&w.machine_type))
                    && spec.zone.as_ref().is_none_or(|z| *z == w.zone)
                    && (spec.spot || !w.spot);
                allowed && !w.sick && used_of(w) + spec.cpus <= cpus_of(&w.machine_type) + 1e-9
            })
    }

    fn gang_may_start(&mut self, job: &JobId) {
        let now = self.now;
        let Some(spec) = self.jobs.get(job).map(|j| j.spec.clone()) else { return };
        let mut waiting: BTreeMap<u64, Vec<(MachineId, u32)>> = BTreeMap::new();
        for (id, w) in &self.workers {
            for ((j, index), t) in &w.tasks {
                if j == job && t.state == TaskState::Waiting {
                    waiting.entry(t.attempt).or_default().push((id.clone(), *index));
                }
            }
        }
        let Some((_, members)) = waiting.into_iter().find(|(_, m)| m.len() == spec.tasks as usize) else { return };
        let fails_after = self.jobs.get(job).and_then(|j| j.fails_after);
        let due = now + fails_after.unwrap_or((spec.estimated_runtime_s * 1e6) as u64);
        for (id, index) in members {
            if let Some(t) = self.workers.get_mut(&id).and_then(|w| w.tasks.get_mut(&(job.clone(), index))) {
                t.state = TaskState::Running;
                t.due = due;
            }
        }
    }

    /// Whether all of a gang's attempt is still there.
    fn gang_whole(&self, job: &JobId, attempt: u64, tasks: u32) -> bool {
        let n = self
            .workers
            .values()
            .flat_map(|w| w.tasks.iter())
            .filter(|((j, _), t)| j == job && t.attempt == attempt && t.state == TaskState::Running)
            .count();
        n == tasks as usize
    }

    pub(super) fn worker_step(&mut self, id: MachineId) {
        let (now, lease) = (self.now, self.size.times.lease);
        if !self.workers.contains_key(&id) {
            return;
        }
        self.at(100 * MS, Event::WorkerStep { machine: id.clone() });
        let Some(worker) = self.workers.get_mut(&id) else { return };
        // Also one that hangs: it may go on with its tasks at any moment within its lease, and not after.
        if now > worker.renewed + lease {
            worker.tasks.clear();
            worker.exited.clear();
            worker.incarnation += 1;
            worker.renewed = now;
            worker.changed = true;
            return;
        }
        if worker.hung_until > now {
            return;
        }
        let due: Vec<((JobId, u32), Task)> =
            worker.tasks.iter().filter(|(_, t)| t.due <= now).map(|(k, t)| (k.clone(), t.clone())).collect();
        for (key, task) in due {
            let Some(spec) = self.jobs.get(&key.0).map(|j| j.spec.clone()) else { continue };
            let broken = self.jobs.get(&key.0).is_some_and(|j| j.fails_after.is_some());
            match task.state {
                TaskState::Running if broken => self.exit(&id, &key, ExitCause::Failed),
                TaskState::FetchingImage => self.arrives(&id, &key),
                TaskState::Waiting => self.exit(&id, &key, ExitCause::GangIncomplete),
                TaskState::Running if spec.kind == JobKind::Gang => {
                    if self.gang_whole(&key.0, task.attempt, spec.tasks) {
                        let members: Vec<(MachineId, (JobId, u32))> = self
                            .workers
                            .iter()
                            .flat_map(|(m, w)| w.tasks.keys().map(move |k| (m.clone(), k.clone())))
                            .filter(|(_, k)| k.0 == key.0)
                            .collect();
                        for (machine, member) in members {
                            self.complete(&machine, &member);
                        }
                    } else {
                        self.exit(&id, &key, ExitCause::GangPeerLost);
                    }
                }
                TaskState::Running => self.complete(&id, &key),
                TaskState::Checkpointing | TaskState::Exited => {}
            }
        }
        let cancelled: Vec<String> = self
            .workers
            .get(&id)
            .into_iter()
            .flat_map(|w| w.tasks.keys().filter(|k| w.on_machine(k)))
            .filter(|k| {
                let at = self.jobs.get(&k.0).and_then(|j| j.cancelled);
                at.is_some_and(|at| now > at + self.size.times.cancel)
            })
            .map(|k| format!("ran_cancelled: {}/{} is still on {id}", k.0, k.1))
            .collect();
        for what in cancelled {
            self.broken(what);
        }
    }

    fn complete(&mut self, id: &MachineId, key: &(JobId, u32)) {
        if let Some(done) = self.jobs.get_mut(&key.0).and_then(|j| j.done_tasks.get_mut(key.1 as usize)) {
            *done = true;
        }
        let whole = self.jobs.get(&key.0).is_some_and(|j| j.done_tasks.iter().all(|d| *d));
        if whole && self.cancel_at_end > 0 && self.chance(self.cancel_at_end) {
            self.call_off(&key.0);
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.done.push(key.clone());
        }
        self.exit(id, key, ExitCause::Completed);
    }
}
