//! Life cycle of a task on an agent: it fetches its image, waits for its gang, runs and exits.

use super::agent::Task;
use super::cloud::cpus_of;
use super::{Event, MS, S, World};
use burlhatch::protocol::agent::{ExitCause, TaskState};
use burlhatch::protocol::user::JobKind;
use burlhatch::types::{JobId, MachineId, TaskId};
use std::collections::BTreeMap;

/// Time after which a gang's task exits if not all tasks of the gang wait on their machines.
const GANG_WAIT: u64 = 30 * S;

impl World {
    pub(super) fn execute_start(&mut self, id: &MachineId, task: &str, attempt: u64) {
        let now = self.now;
        let Some(key) = TaskId::parse(task).map(|t| (t.job, t.index)) else { return };
        let Some(spec) = self.jobs.get(&key.0).map(|j| j.spec.clone()) else { return };
        let cpus: f64 = match self.agents.get(id) {
            Some(agent) => agent.tasks.keys().filter_map(|k| self.jobs.get(&k.0)).map(|j| j.spec.cpus).sum(),
            None => return,
        };
        let Some(agent) = self.agents.get_mut(id) else { return };
        let known = agent.exited.contains_key(&(key.0.clone(), key.1, attempt))
            || agent.tasks.get(&key).is_some_and(|t| t.attempt == attempt);
        if known {
            return;
        }
        agent.changed = true;
        if agent.tasks.contains_key(&key) {
            agent.exited.insert((key.0, key.1, attempt), ExitCause::Busy);
        } else if cpus + spec.cpus > cpus_of(&agent.machine_type) + 1e-9 {
            agent.exited.insert((key.0, key.1, attempt), ExitCause::InsufficientResources);
        } else {
            let cached = agent.cache.contains(&spec.image);
            let due = now + if cached { 0 } else { S };
            let task = Task { attempt, state: TaskState::FetchingImage, due, since: now };
            agent.tasks.insert(key.clone(), task);
            if cached {
                self.image_fetched(id, &key);
            }
        }
    }

    pub(super) fn exit(&mut self, id: &MachineId, key: &(JobId, u32), why: ExitCause) {
        let Some(agent) = self.agents.get_mut(id) else { return };
        if let Some(task) = agent.tasks.remove(key) {
            agent.exited.insert((key.0.clone(), key.1, task.attempt), why);
            agent.changed = true;
            if agent.in_flight.is_none() {
                self.schedule_heartbeat(id, 100 * MS);
            }
        }
    }

    /// Starts a task whose image is fetched; from here on the rules count it as on its machine.
    fn image_fetched(&mut self, id: &MachineId, key: &(JobId, u32)) {
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
        let run = (run * 1e6) as u64 / 2 + self.random_below((run * 1e6) as u64);
        let Some(agent) = self.agents.get_mut(id) else { return };
        if !agent.cache.contains(&image) {
            agent.cache.push(image);
        }
        agent.changed = true;
        let faulty = agent.faulty;
        let finished = agent.completed.contains(key);
        if let Some(task) = agent.tasks.get_mut(key) {
            task.since = now;
            (task.state, task.due) = match kind {
                JobKind::Gang => (TaskState::Waiting, now + GANG_WAIT),
                JobKind::Service => (TaskState::Running, fails_after.map_or(u64::MAX, |after| now + after)),
                JobKind::Array => (TaskState::Running, now + fails_after.unwrap_or(run)),
            };
        }
        if faulty {
            self.exit(id, key, ExitCause::Failed);
        } else if finished {
            self.exit(id, key, ExitCause::Completed);
        } else if kind == JobKind::Gang {
            self.start_complete_gang(&key.0);
        }
    }

    fn random_below(&mut self, span: u64) -> u64 {
        if span == 0 { 0 } else { self.pick(span) }
    }

    fn start_complete_gang(&mut self, job: &JobId) {
        let now = self.now;
        let Some(spec) = self.jobs.get(job).map(|j| j.spec.clone()) else { return };
        let mut waiting: BTreeMap<u64, Vec<(MachineId, u32)>> = BTreeMap::new();
        for (id, agent) in &self.agents {
            for ((j, index), t) in &agent.tasks {
                if j == job && t.state == TaskState::Waiting {
                    waiting.entry(t.attempt).or_default().push((id.clone(), *index));
                }
            }
        }
        let Some((_, members)) = waiting.into_iter().find(|(_, m)| m.len() == spec.tasks as usize) else { return };
        let fails_after = self.jobs.get(job).and_then(|j| j.fails_after);
        let due = now + fails_after.unwrap_or((spec.estimated_runtime_s * 1e6) as u64);
        for (id, index) in members {
            if let Some(t) = self.agents.get_mut(&id).and_then(|agent| agent.tasks.get_mut(&(job.clone(), index))) {
                t.state = TaskState::Running;
                t.due = due;
            }
        }
    }

    /// Returns whether all tasks of a gang's attempt are running.
    fn is_gang_running(&self, job: &JobId, attempt: u64, tasks: u32) -> bool {
        let running_count = self
            .agents
            .values()
            .flat_map(|agent| agent.tasks.iter())
            .filter(|((j, _), t)| j == job && t.attempt == attempt && t.state == TaskState::Running)
            .count();
        running_count == tasks as usize
    }

    pub(super) fn agent_step(&mut self, id: MachineId) {
        let (now, lease) = (self.now, self.size.times.lease);
        if !self.agents.contains_key(&id) {
            return;
        }
        self.schedule(100 * MS, Event::AgentStep { machine: id.clone() });
        let Some(agent) = self.agents.get_mut(&id) else { return };
        // Also applies to an agent that hangs: it may resume its tasks at any time within its lease, but not later.
        if now > agent.lease_renewed_at + lease {
            agent.tasks.clear();
            agent.exited.clear();
            agent.incarnation += 1;
            agent.lease_renewed_at = now;
            agent.changed = true;
            return;
        }
        if agent.hung_until > now {
            return;
        }
        let due: Vec<((JobId, u32), Task)> =
            agent.tasks.iter().filter(|(_, t)| t.due <= now).map(|(k, t)| (k.clone(), t.clone())).collect();
        for (key, task) in due {
            let Some(spec) = self.jobs.get(&key.0).map(|j| j.spec.clone()) else { continue };
            let is_failing = self.jobs.get(&key.0).is_some_and(|j| j.fails_after.is_some());
            match task.state {
                TaskState::Running if is_failing => self.exit(&id, &key, ExitCause::Failed),
                TaskState::FetchingImage => self.image_fetched(&id, &key),
                TaskState::Waiting => self.exit(&id, &key, ExitCause::GangIncomplete),
                TaskState::Running if spec.kind == JobKind::Gang => {
                    self.gang_task_completes(&id, &key, task.attempt, spec.tasks);
                }
                TaskState::Running => self.complete(&id, &key),
                TaskState::Checkpointing | TaskState::Exited => {}
            }
        }
        self.check_cancelled_tasks(&id);
    }

    /// Completes all tasks of a gang if its attempt is still running as a whole, or else fails this task.
    fn gang_task_completes(&mut self, id: &MachineId, key: &(JobId, u32), attempt: u64, tasks: u32) {
        if !self.is_gang_running(&key.0, attempt, tasks) {
            return self.exit(id, key, ExitCause::GangPeerLost);
        }
        let members: Vec<(MachineId, (JobId, u32))> = self
            .agents
            .iter()
            .flat_map(|(machine, agent)| agent.tasks.keys().map(move |task| (machine.clone(), task.clone())))
            .filter(|(_, task)| task.0 == key.0)
            .collect();
        for (machine, member) in members {
            self.complete(&machine, &member);
        }
    }

    fn complete(&mut self, id: &MachineId, key: &(JobId, u32)) {
        if let Some(done) = self.jobs.get_mut(&key.0).and_then(|j| j.done_tasks.get_mut(key.1 as usize)) {
            *done = true;
        }
        let all_done = self.jobs.get(&key.0).is_some_and(|j| j.done_tasks.iter().all(|d| *d));
        if all_done && self.cancel_on_completion > 0 && self.chance(self.cancel_on_completion) {
            self.cancel_job(&key.0);
        }
        if let Some(agent) = self.agents.get_mut(id) {
            agent.completed.push(key.clone());
        }
        self.exit(id, key, ExitCause::Completed);
    }
}
