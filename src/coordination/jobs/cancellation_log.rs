//! What is logged of cancellations: from the confirmation to the client to the proof that the last attempt is absent.
//!
//! Each line names the revision of the stored records that the decision rests on. The rate of lines is bounded, so that
//! a wave of cancellations does not cost more than the work itself; a summary every few seconds counts the cancellations
//! that are open, and the lines left out.

use crate::coordination::Controller;
use crate::coordination::jobs::attempt::{AttemptState, TaskAttempt};
use crate::coordination::log_limit::LogLimit;
use crate::storage::schema::Outcome;
use crate::types::{JobId, MachineId, Micros, TaskId};

/// How often open cancellations are summed up, while there are any.
const SUMMARY_INTERVAL: Micros = Micros::from_millis(10_000);

/// A limit on log lines about cancellations, and counts for their summary.
#[derive(Debug, Default)]
pub(crate) struct CancellationLog {
    limit: LogLimit,
    summarized_at: Micros,
    late_deletion_count: u64,
    added_stop_count: u64,
}

impl CancellationLog {
    /// Counts deletions of machines that were asked for so late that not even a confirmation within one retry comes in
    /// time.
    pub(crate) fn note_late_deletions(&mut self, count: usize) {
        self.late_deletion_count += count as u64;
    }

    /// Counts a stop that a response to a heartbeat would have lacked without a last look at the cancelled jobs.
    pub(crate) fn note_added_stop(&mut self) {
        self.added_stop_count += 1;
    }

    /// Whether the next summary is due; if so, it counts as written.
    fn takes_summary(&mut self, now: Micros) -> bool {
        let is_due = now.since(self.summarized_at) >= SUMMARY_INTERVAL;
        if is_due {
            self.summarized_at = now;
        }
        is_due
    }
}

/// What proves that an attempt is not on its machine any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AbsenceProof {
    /// The agent has begun a later incarnation, which runs nothing of an earlier one.
    LaterIncarnation,
    /// A heartbeat lacks it, and no command is in flight that could still start it.
    Heartbeat,
    /// The machine's lease has expired, with which the agent ends all its tasks.
    LeaseExpired,
    /// It was recorded, and its start command never sent.
    NeverSent,
    /// The cloud confirmed that the machine is deleted.
    MachineDeleted,
    /// The machine's record is gone, which only a confirmed deletion leads to.
    MachineRecordDeleted,
}

/// What allows a client to be told that a job is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConfirmationBasis {
    /// It depends on a cancelled job, so nothing of it was ever started.
    CancelledDependency,
    /// The holder of its shard acknowledged the cancellation.
    ShardHolder,
    /// The stored records name no attempt of it.
    NoAttempts,
    /// The shard is held here, and all machines with attempts obey this holder.
    OwnShard,
}

/// Cancelled jobs of which attempts are not proven absent yet.
#[derive(Default)]
struct OpenCancellations {
    task_count: u32,
    /// Attempts whose start command may have been sent and that no heartbeat has shown yet.
    unseen_count: usize,
    oldest_age: Micros,
}

impl Controller {
    /// A client is about to be told that a job is cancelled.
    pub(crate) fn log_cancellation_confirmed(&mut self, job: &JobId, basis: ConfirmationBasis) {
        let now = self.now();
        // Clients ask about old jobs again and again.
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

    /// An attempt was proven absent; logged if its job was cancelled.
    pub(crate) fn log_cancelled_attempt_absent(&mut self, task: &TaskId, machine: &MachineId, proof: AbsenceProof) {
        let now = self.now();
        if self.outcome(&task.job) != Some(Outcome::Cancelled) || !self.jobs.cancellation_log.limit.admits_line(now) {
            return;
        }
        let revision = self.store.replica.applied_revision.0;
        let (job, task) = (&task.job, task.index);
        tracing::info!(%job, task, %machine, ?proof, revision, "cancelled task attempt proven absent");
    }

    /// Sums up cancellations of which attempts may be left.
    pub(crate) fn log_open_cancellations(&mut self) {
        let now = self.now();
        if !self.jobs.cancellation_log.takes_summary(now) {
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
