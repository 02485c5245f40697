//! Logs cancellations, from the confirmation to the client until the last attempt is proven absent.
//!
//! Each line names the revision of the stored records on which the decision is based. The rate of lines is limited, so
//! that logging many cancellations does not cost more than carrying them out. A periodic summary counts the open
//! cancellations and the suppressed lines.

use crate::coordination::Controller;
use crate::coordination::jobs::attempt::{AttemptState, TaskAttempt};
use crate::coordination::log_limit::LogLimit;
use crate::storage::schema::Outcome;
use crate::types::{JobId, MachineId, Micros, TaskId};

/// Interval between summaries, while there are open cancellations.
const SUMMARY_INTERVAL: Micros = Micros::from_millis(10_000);

/// The rate limit of the log lines about cancellations, and the counters for their summary.
#[derive(Debug, Default)]
pub(crate) struct CancellationLog {
    limit: LogLimit,
    summarized_at: Micros,
    late_deletion_count: u64,
    added_stop_count: u64,
}

impl CancellationLog {
    /// Counts deletions of machines that were requested so late that even a confirmation within one retry interval
    /// would miss the cancellation's deadline.
    pub(crate) fn note_late_deletions(&mut self, count: usize) {
        self.late_deletion_count += count as u64;
    }

    /// Counts a stop command that only the final check of the cancelled jobs added to the response to a heartbeat.
    pub(crate) fn note_added_stop(&mut self) {
        self.added_stop_count += 1;
    }

    /// Returns whether a summary is due, and if so starts the next interval.
    fn start_summary_if_due(&mut self, now: Micros) -> bool {
        let is_due = now.since(self.summarized_at) >= SUMMARY_INTERVAL;
        if is_due {
            self.summarized_at = now;
        }
        is_due
    }
}

/// The proof that an attempt is no longer on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AbsenceProof {
    /// The agent has started a later incarnation, which runs no tasks of earlier ones.
    LaterIncarnation,
    /// A heartbeat does not list it, and no command is in flight that could still start it.
    Heartbeat,
    /// The machine's lease has expired, whereupon the agent stops all its tasks.
    LeaseExpired,
    /// It was recorded, but its start command was never sent.
    NeverSent,
    /// The cloud confirmed that the machine is deleted.
    MachineDeleted,
    /// The machine's record was removed, which happens only after a confirmed deletion.
    MachineRecordDeleted,
}

/// The grounds on which a cancellation is confirmed to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConfirmationBasis {
    /// The job depends on a cancelled job, so none of its tasks was ever started.
    CancelledDependency,
    /// The holder of the job's shard acknowledged the cancellation.
    ShardHolder,
    /// The stored records contain no attempt of the job.
    NoAttempts,
    /// This controller holds the shard, and all machines with attempts reject commands of earlier holders.
    OwnShard,
}

/// Totals over the cancelled jobs with attempts that are not proven absent yet.
#[derive(Default)]
struct OpenCancellations {
    task_count: u32,
    /// Attempts whose start command may have been sent and that no heartbeat has shown yet.
    unseen_count: usize,
    oldest_age: Micros,
}

impl Controller {
    /// Logs the confirmation of a cancellation that is about to be sent to a client.
    pub(crate) fn log_cancellation_confirmed(&mut self, job: &JobId, basis: ConfirmationBasis) {
        let now = self.now();
        // Jobs that are no longer known are not logged: clients query old jobs repeatedly.
        let Some(remaining_tasks) = self.jobs.get(job).map(|job| job.attempts.occupying_count()) else { return };
        if !self.jobs.cancellation_log.limit.admits_line(now) {
            return;
        }
        let revision = self.store.replica.applied_revision.0;
        let cancellation_revision = self.store.replica.outcomes.get(job).map_or(0, |end| end.version);
        tracing::info!(
            %job,
            ?basis,
            revision,
            cancellation_revision,
            remaining_tasks,
            store_silence_ms = self.store_silence_ms(),
            "cancellation confirmed to client"
        );
    }

    /// Logs that an attempt was proven absent, if its job was cancelled.
    pub(crate) fn log_cancelled_attempt_absent(&mut self, task: &TaskId, machine: &MachineId, proof: AbsenceProof) {
        let now = self.now();
        if self.outcome(&task.job) != Some(Outcome::Cancelled) || !self.jobs.cancellation_log.limit.admits_line(now) {
            return;
        }
        let revision = self.store.replica.applied_revision.0;
        let (job, task) = (&task.job, task.index);
        tracing::info!(%job, task, %machine, ?proof, revision, "cancelled task attempt proven absent");
    }

    /// Logs a summary of the cancelled jobs that may have attempts left.
    pub(crate) fn log_open_cancellations(&mut self) {
        let now = self.now();
        if !self.jobs.cancellation_log.start_summary_if_due(now) {
            return;
        }
        let open = self.open_cancellations();
        let left_out_count = self.jobs.cancellation_log.limit.take_left_out_count();
        if open.task_count == 0 && left_out_count == 0 {
            return;
        }
        let withheld_lease_count = self.fleet.renewals_withheld_count();
        let log = &self.jobs.cancellation_log;
        tracing::info!(
            task_count = open.task_count,
            oldest_ms = open.oldest_age.millis(),
            unseen_count = open.unseen_count,
            withheld_lease_count,
            late_deletion_count = log.late_deletion_count,
            added_stop_count = log.added_stop_count,
            left_out_count,
            revision = self.store.replica.applied_revision.0,
            store_silence_ms = self.store_silence_ms(),
            "cancelled task attempts not proven absent"
        );
    }

    fn open_cancellations(&self) -> OpenCancellations {
        let mut open = OpenCancellations::default();
        let is_unseen =
            |attempt: &&TaskAttempt| attempt.state() == AttemptState::Recorded && attempt.may_have_been_sent;
        for id in self.fleet.unfinished_cancellations() {
            let Some(job) = self.jobs.get(id).filter(|job| job.attempts.occupying_count() > 0) else { continue };
            open.task_count += job.attempts.occupying_count();
            open.unseen_count += job.attempts.values().filter(is_unseen).count();
            let end = self.store.replica.outcomes.get(id);
            let age = end.map_or(Micros::ZERO, |end| self.clock.wall.since(end.value.at));
            open.oldest_age = open.oldest_age.max(age);
        }
        open
    }

    fn store_silence_ms(&self) -> u64 {
        self.store.time_since_answer(self.now()).millis()
    }
}
