//! Reconciliation of the tasks that an agent reports with the task attempts that are recorded on its machine.

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

/// Number of exited tasks above which an agent's machine gets a new fencing token, so that the agent may forget them.
const MAX_RETAINED_EXITED: usize = 60;

/// Returns the state of an attempt by the state of its task that the agent reports, or None if the task has exited.
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
    /// Processes the tasks that a message reports, and proves absent the attempts that it would have to report.
    /// `is_first`: whether this is the first message that shows the machine's present fencing token.
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
        let Some(are_commands_settled) = self.replace_unrecorded(id, unrecorded, heartbeat) else { return };
        let may_prove_absence = are_commands_settled && source == HeartbeatSource::Heartbeat;
        self.prove_unreported_absent(heartbeat, &seen, may_prove_absence);
    }

    /// Returns the task that an agent reports, if the reported attempt is recorded on its machine.
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

    /// Replaces a machine's unrecorded tasks by those of a message. Returns whether none of the commands sent so far
    /// can still be executed, or None if the machine is not known.
    fn replace_unrecorded(
        &mut self,
        id: &MachineId,
        unrecorded: Vec<UnrecordedTask>,
        heartbeat: &Heartbeat,
    ) -> Option<bool> {
        let machine = self.fleet.machine_mut(id)?;
        machine.unrecorded.replace(unrecorded);
        let exceeds_limit = machine.unrecorded.retained_exited_count() > MAX_RETAINED_EXITED;
        if exceeds_limit && !machine.commands.has_unacknowledged() {
            // This leads to a new fencing token, under which the agent may forget the tasks.
            machine.commands.set_unacknowledged(heartbeat.fencing_token);
        }
        Some(machine.commands.are_settled())
    }

    /// Proves absent the attempts recorded on a machine that a message does not report: those of earlier incarnations,
    /// and others if no command in transit can still start them.
    fn prove_unreported_absent(&mut self, heartbeat: &Heartbeat, seen: &BTreeSet<TaskId>, may_prove_absence: bool) {
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
            // An attempt that is still wanted and was never seen on the machine gets another start command instead.
            let needs_no_start = attempt.stop_grace_s.is_some() || attempt.state().is_on_machine();
            if attempt.incarnation < heartbeat.incarnation {
                self.attempt_proven_absent(&task, AbsenceProof::LaterIncarnation);
            } else if is_absent && needs_no_start {
                self.attempt_proven_absent(&task, AbsenceProof::Heartbeat);
            }
        }
    }

    /// Handles a reported task that has not exited.
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

    /// Updates what is known about a machine and its zone after the state of an attempt has changed.
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

    /// Records an image on a machine, as shown by a task that has finished fetching it.
    fn image_seen(&mut self, id: &MachineId, image: &str, megabytes: f64) {
        let now = self.now();
        let record = self.store.replica.machines.get(id);
        let machine_type = record.and_then(|record| self.autoscaling.machine_type(&record.value.machine_type));
        let capacity_mb = machine_type.map_or(f64::INFINITY, |machine_type| machine_type.wire.cache_gb * 1000.0);
        if let Some(machine) = self.fleet.machine_mut(id) {
            machine.images.image_used(image, megabytes, capacity_mb, now);
        }
    }

    /// Handles a reported task that has exited.
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
            // The task ended for a reason that lies neither in its own work nor in this machine.
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
