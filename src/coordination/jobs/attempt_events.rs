//! Events that change attempts for good: an attempt has ended, an attempt was proven absent, or a transaction on a
//! job's records has finished.

use crate::coordination::Controller;
use crate::coordination::jobs::attempt::AttemptState;
use crate::coordination::jobs::cancellation_log::AbsenceProof;
use crate::coordination::jobs::failures::TaskFailure;
use crate::coordination::jobs::job::Job;
use crate::coordination::zones::gradual_return::ZoneAttemptEvent;
use crate::protocol::agent::ExitCause;
use crate::protocol::user::JobKind;
use crate::types::{JobId, MachineId, Micros, TaskId};

/// The time after which a task is tried again if an agent refused its attempt.
const REFUSED_RETRY_DELAY: Micros = Micros::from_millis(500);

impl Job {
    /// Updates the task's progress and failures after its attempt has ended. Returns the time before which the task may
    /// not be tried again, if it has to wait.
    fn note_exit(
        &mut self,
        task: u32,
        exit_cause: ExitCause,
        machine: &MachineId,
        now: Micros,
        max_retry_delay: Micros,
    ) -> Option<Micros> {
        match exit_cause {
            ExitCause::Completed => {
                self.progress.unrecorded_done.insert(task);
                self.recording.first_unrecorded_completion_at.get_or_insert(now);
                self.failures.note_success(task);
                None
            }
            ExitCause::Failed => {
                let first_running_at = self.attempts.get(task).and_then(|attempt| attempt.first_running_at);
                let ran_for = first_running_at.map_or(Micros::ZERO, |at| now.since(at));
                Some(self.failures.note_failure(&TaskFailure { task, machine, ran_for }, now, max_retry_delay))
            }
            ExitCause::InsufficientResources | ExitCause::Busy | ExitCause::Unknown => Some(now + REFUSED_RETRY_DELAY),
            ExitCause::Stopped | ExitCause::GangPeerLost | ExitCause::GangIncomplete => None,
        }
    }
}

impl Controller {
    /// Handles the end of an attempt that a heartbeat has shown.
    pub(crate) fn attempt_ended(&mut self, task: &TaskId, exit_cause: ExitCause) {
        let now = self.now();
        let max_retry_delay = Micros::from_millis(self.policy.retry_max_ms);
        let Some(job) = self.jobs.by_id.get_mut(&task.job) else { return };
        let Some(attempt) = job.attempts.get(task.index).filter(|attempt| attempt.occupies_resources()) else { return };
        let machine = attempt.machine().clone();
        if exit_cause != ExitCause::Completed {
            tracing::debug!(
                job = %task.job,
                task = task.index,
                %machine,
                state = ?attempt.state(),
                ?exit_cause,
                "task attempt ended early"
            );
        }
        let was_never_seen_running = attempt.first_running_at.is_none();
        job.attempts.set_state(task.index, AttemptState::Ended(exit_cause), &mut self.jobs.usage);
        if let Some(at) = job.note_exit(task.index, exit_cause, &machine, now, max_retry_delay) {
            job.progress.retry_at.insert(task.index, at);
        }
        job.recording.mark_changed(now);
        if job.spec.kind == JobKind::Gang && exit_cause != ExitCause::Completed {
            // The gang's current attempts are lost: they are stopped, and the gang restarts once all of them have
            // ended.
            job.stop_attempts();
        }
        if exit_cause == ExitCause::Completed && was_never_seen_running {
            self.note_zone_attempt(&machine, ZoneAttemptEvent::Running);
        }
        self.update_idle_since(&machine);
        self.scheduling.request_cycle();
    }

    /// Handles the proof that an attempt is absent from its machine. An attempt that is only decided is not changed: no
    /// command was sent for it, so the proof does not concern it.
    pub(crate) fn attempt_proven_absent(&mut self, task: &TaskId, proof: AbsenceProof) {
        let now = self.now();
        let attempt = self.jobs.attempt(task);
        let Some(attempt) = attempt.filter(|attempt| attempt.may_be_on_machine()).cloned() else { return };
        let machine = attempt.machine();
        let last_inconclusive_seq = attempt.last_inconclusive_seq;
        tracing::debug!(
            job = %task.job,
            task = task.index,
            %machine,
            state = ?attempt.state(),
            last_inconclusive_seq,
            ?proof,
            "task attempt proven absent"
        );
        self.log_cancelled_attempt_absent(task, machine, proof);
        self.jobs.set_attempt_state(task, AttemptState::ProvenAbsent);
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.recording.mark_changed(now);
        }
        self.note_zone_attempt_lost(&attempt);
        self.update_idle_since(machine);
        self.scheduling.request_cycle();
    }

    /// Handles the end of a transaction on the job's chunks. If it was not committed, everything is decided again.
    pub(crate) fn job_txn_finished(&mut self, id: &JobId, is_committed: bool) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.recording.is_txn_in_flight = false;
            job.recording.is_continued &= is_committed;
            job.recording.is_written_alone &= !is_committed;
            job.scheduling.is_lending = false;
        }
        self.jobs.update_lent(id);
        self.reconcile_job(id);
        // Attempts that a refused transaction should have removed from the records still have to be removed.
        let now = self.now();
        if let Some(job) = self.jobs.get_mut(id)
            && job.attempts.settled_count() > 0
        {
            job.recording.mark_changed(now);
        }
    }
}
