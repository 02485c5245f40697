//! Reconciliation of the tasks that an agent names with the task attempts that are recorded on its machine.

use crate::coordination::Controller;
use crate::coordination::fleet::heartbeats::HeartbeatSource;
use crate::coordination::fleet::machine::UnrecordedTask;
use crate::coordination::jobs::attempt::{AttemptState, TaskAttempt};
use crate::coordination::jobs::cancellation_log::AbsenceProof;
use crate::coordination::zones::gradual_return::ZoneAttemptEvent;
use crate::protocol::agent::{ExitCause, Heartbeat, TaskState, TaskStatus};
use crate::protocol::user::JobKind;
use crate::types::{MachineId, TaskId};
use std::collections::BTreeSet;

/// Exited tasks that an agent may be left with before its machine gets a new fencing token so that it may forget them.
const MAX_RETAINED_EXITED: usize = 60;

/// How far a task has come, by its agent. None if it has exited.
fn attempt_state_of(state: TaskState) -> Option<AttemptState> {
    match state {
        TaskState::FetchingImage => Some(AttemptState::Fetching),
        TaskState::Waiting => Some(AttemptState::Waiting),
        TaskState::Running => Some(AttemptState::Running),
        TaskState::Checkpointing => Some(AttemptState::Checkpointing),
        TaskState::Exited => None,
    }
}

impl Controller {
    /// Takes in the tasks that a message names, and proves absent what it would have to name. `is_first`: this is the first
    /// message that shows the machine's present fencing token.
    pub(super) fn reconcile_tasks(&mut self, heartbeat: &Heartbeat, source: HeartbeatSource, is_first: bool) {
        let id = &heartbeat.machine;
        let mut unrecorded = Vec::new();
        let mut seen: BTreeSet<TaskId> = BTreeSet::new();
        for reported in &heartbeat.tasks {
            let Some(task) = self.recorded_task(id, reported) else {
                unrecorded.push(self.unrecorded_task(id, reported, is_first));
                continue;
            };
            seen.insert(task.clone());
            match attempt_state_of(reported.state) {
                None => self.exit_seen(id, &task, reported.exit_cause.unwrap_or(ExitCause::Unknown)),
                Some(state) => self.attempt_state_seen(id, &task, state, heartbeat.seq),
            }
        }
        let Some(is_quiet) = self.replace_unrecorded(id, unrecorded, heartbeat) else { return };
        let may_prove_absence = is_quiet && source == HeartbeatSource::Heartbeat;
        self.prove_unnamed_absent(heartbeat, &seen, may_prove_absence);
    }

    /// The task that an agent names, if that attempt of it is recorded on its machine.
    fn recorded_task(&self, id: &MachineId, reported: &TaskStatus) -> Option<TaskId> {
        let task = TaskId::parse(&reported.task)?;
        let attempt = self.jobs.attempt(&task)?;
        let is_same =
            attempt.machine() == id && attempt.number == reported.attempt && attempt.state() != AttemptState::Decided;
        is_same.then_some(task)
    }

    fn unrecorded_task(&self, id: &MachineId, reported: &TaskStatus, is_first: bool) -> UnrecordedTask {
        let (task, attempt) = (reported.task.clone(), reported.attempt);
        let was_superseded =
            || self.fleet.machine(id).is_some_and(|machine| machine.unrecorded.is_superseded(&task, attempt));
        let is_superseded = is_first || was_superseded();
        UnrecordedTask { task, attempt, has_exited: reported.state == TaskState::Exited, is_superseded }
    }

    /// Keeps the unrecorded tasks of a message. Says whether no command sent before can be carried out any more.
    fn replace_unrecorded(
        &mut self,
        id: &MachineId,
        unrecorded: Vec<UnrecordedTask>,
        heartbeat: &Heartbeat,
    ) -> Option<bool> {
        let machine = self.fleet.machine_mut(id)?;
        machine.unrecorded.replace(unrecorded);
        let is_crowded = machine.unrecorded.retained_exited_count() > MAX_RETAINED_EXITED;
        if is_crowded && !machine.commands.has_unacknowledged() {
            // Leads to a new fencing token, under which the agent may forget them.
            machine.commands.set_unacknowledged(heartbeat.fencing_token);
        }
        Some(machine.commands.is_quiet())
    }

    /// Attempts recorded on the machine that a message does not name: those of earlier incarnations are gone, others if no
    /// command can be on its way that would still start them.
    fn prove_unnamed_absent(&mut self, heartbeat: &Heartbeat, seen: &BTreeSet<TaskId>, may_prove_absence: bool) {
        for task in self.jobs.usage().attempts_on(&heartbeat.machine) {
            if seen.contains(&task) {
                continue;
            }
            let Some(attempt) = self.jobs.attempt(&task) else { continue };
            if !attempt.may_be_on_machine() {
                continue;
            }
            let is_absent = may_prove_absence
                && attempt.incarnation == heartbeat.incarnation
                && heartbeat.seq > attempt.last_inconclusive_seq;
            // One that is wanted and was never seen is told to start again.
            let is_over = attempt.stop_grace_s.is_some() || attempt.state().is_on_machine();
            if attempt.incarnation < heartbeat.incarnation {
                self.attempt_proven_absent(&task, AbsenceProof::LaterIncarnation);
            } else if is_absent && is_over {
                self.attempt_proven_absent(&task, AbsenceProof::Heartbeat);
            }
        }
    }

    /// A message names a task that has not exited.
    fn attempt_state_seen(&mut self, id: &MachineId, task: &TaskId, state: AttemptState, seq: u64) {
        let now = self.now();
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let Some(attempt) = job.attempts.get_mut(task.index) else { return };
        if !attempt.occupies_resources() {
            return;
        }
        attempt.may_have_been_sent = true;
        attempt.last_inconclusive_seq = attempt.last_inconclusive_seq.max(seq);
        if attempt.state() == state {
            return;
        }
        if state == AttemptState::Running {
            attempt.first_running_at.get_or_insert(now);
        }
        self.jobs.set_attempt_state(task, state);
        self.attempt_state_changed(id, task, state);
    }

    /// What a task that has come further shows of its machine and zone.
    fn attempt_state_changed(&mut self, id: &MachineId, task: &TaskId, state: AttemptState) {
        let now = self.now();
        let Some(job) = self.jobs.get(&task.job) else { return };
        let (image, megabytes) = (job.spec.image.clone(), job.spec.image_gb * 1000.0);
        if state == AttemptState::Fetching {
            if let Some(machine) = self.fleet.machine_mut(id) {
                machine.images.fetch_seen(image, megabytes, now);
            }
            return;
        }
        if state == AttemptState::Running {
            let age_ms = self.clock.wall.since(job.accepted_at).millis();
            tracing::debug!(task = %task, machine = %id, age_ms, kind = ?job.spec.kind, "task running");
        }
        if state == AttemptState::Running || state == AttemptState::Waiting {
            self.note_zone_attempt(id, ZoneAttemptEvent::Running);
        }
        self.image_seen(id, &image, megabytes);
    }

    /// A task that is past fetching shows that its image is there.
    fn image_seen(&mut self, id: &MachineId, image: &str, megabytes: f64) {
        let now = self.now();
        let record = self.store.replica.machines.get(id);
        let machine_type = record.and_then(|record| self.autoscaling.machine_type(&record.value.machine_type));
        let capacity_mb = machine_type.map_or(f64::INFINITY, |machine_type| machine_type.wire.cache_gb * 1000.0);
        if let Some(machine) = self.fleet.machine_mut(id) {
            machine.images.image_used(image, megabytes, capacity_mb, now);
        }
    }

    /// A message names a task that has exited.
    fn exit_seen(&mut self, id: &MachineId, task: &TaskId, cause: ExitCause) {
        let now = self.now();
        let Some(job) = self.jobs.get(&task.job) else { return };
        if !job.attempts.get(task.index).is_some_and(TaskAttempt::occupies_resources) {
            return;
        }
        match cause {
            ExitCause::Completed => {
                let (image, megabytes) = (job.spec.image.clone(), job.spec.image_gb * 1000.0);
                self.image_seen(id, &image, megabytes);
                if let Some(machine) = self.fleet.machine_mut(id) {
                    machine.task_failures.clear();
                }
            }
            ExitCause::Failed => {
                let is_elsewhere = |attempt: &TaskAttempt| attempt.machine() != id && attempt.state().is_on_machine();
                let is_alone_in_gang = job.spec.kind == JobKind::Gang && job.attempts.values().any(is_elsewhere);
                if let Some(machine) = self.fleet.machine_mut(id) {
                    machine.task_failures.record(&task.job, task.index, is_alone_in_gang, now);
                }
            }
            // Ended on account of something else than its own work or this machine.
            ExitCause::Stopped
            | ExitCause::GangPeerLost
            | ExitCause::GangIncomplete
            | ExitCause::InsufficientResources
            | ExitCause::Busy
            | ExitCause::Unknown => {}
        }
        self.attempt_ended(task, cause);
    }
}
