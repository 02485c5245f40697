//! The changes missing from a job's records, and how long they may wait for the write budget.

use crate::coordination::jobs::attempt::{AttemptState, TaskAttempt};
use crate::coordination::jobs::job::Job;
use crate::protocol::agent::ExitCause;
use crate::protocol::user::JobKind;
use crate::settings::Policy;
use crate::types::{JobId, Micros};

/// The most pressing kind of change that is missing from a job's records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum MissingRecord {
    /// An attempt of an urgent job, or the loss of one: for instance, a service's task can't start again before its
    /// lost attempt is removed from the records.
    UrgentAttempt,
    /// The job's outcome, for which its user waits.
    Outcome,
    /// Space for waiting tasks in the job's chunks, which is taken by ended attempts that are still recorded.
    ChunkSpace,
    /// An attempt of a batch job, or the loss of one.
    BatchAttempt,
    /// Done tasks of a job that continues, for which nobody waits.
    Progress,
}

impl MissingRecord {
    /// Returns the most pressing change missing from a job's records that the holder of these shards makes, or `None` if
    /// they are complete. What it knows of tasks in other shards proves nothing about whether they are done.
    pub(super) fn of(job: &Job, held_shards: &[u32]) -> Option<MissingRecord> {
        if is_outcome_missing(job) {
            return Some(MissingRecord::Outcome);
        }
        // Done tasks are not pressing in any job. If they counted as urgent, they would be examined in vain in every
        // round.
        let settled_count = job.settled_count_in(held_shards);
        let has_lost = || job.attempts_in(held_shards).any(|(_, attempt)| is_lost(attempt));
        if job.attempts.decided_count() > 0 || (settled_count > 0 && has_lost()) {
            return Some(match job.is_urgent() {
                true => MissingRecord::UrgentAttempt,
                false => MissingRecord::BatchAttempt,
            });
        }
        if job.scheduling.is_blocked_by_full_chunks && settled_count > 0 && job.waiting_count() > 0 {
            return Some(MissingRecord::ChunkSpace);
        }
        (settled_count > 0 || job.recording.first_unrecorded_change_at == Some(Micros::ZERO))
            .then_some(MissingRecord::Progress)
    }

    /// Returns the name under which the writes that record it are counted.
    pub(super) fn name(self) -> &'static str {
        match self {
            MissingRecord::UrgentAttempt => "urgent attempts",
            MissingRecord::Outcome => "outcomes",
            MissingRecord::ChunkSpace => "chunk space",
            MissingRecord::BatchAttempt => "batch attempts",
            MissingRecord::Progress => "progress",
        }
    }

    /// Returns the kind that determines its priority for the write budget. The outcome of an urgent job counts as an
    /// urgent attempt, because an urgent job that depends on it can't start before that outcome is recorded.
    fn priority(self, is_job_urgent: bool) -> MissingRecord {
        match self {
            MissingRecord::Outcome if is_job_urgent => MissingRecord::UrgentAttempt,
            MissingRecord::ChunkSpace if is_job_urgent => MissingRecord::Outcome,
            MissingRecord::UrgentAttempt
            | MissingRecord::Outcome
            | MissingRecord::ChunkSpace
            | MissingRecord::BatchAttempt
            | MissingRecord::Progress => self,
        }
    }

    fn max_delay(self, policy: &Policy) -> Micros {
        Micros::from_millis(match self {
            MissingRecord::UrgentAttempt => policy.urgent_patience_ms,
            MissingRecord::Outcome => policy.outcome_patience_ms,
            MissingRecord::ChunkSpace | MissingRecord::BatchAttempt => policy.batch_patience_ms,
            MissingRecord::Progress => policy.progress_patience_ms,
        })
    }

    /// Returns whether the change should wait, to be written together with others or while there is little else to
    /// write. When the machines are full, batch tasks start one by one as others end, and each would cost a separate
    /// write.
    fn should_wait(self, now: Micros, since: Micros, send_by: Micros, is_budget_idle: bool, policy: &Policy) -> bool {
        let age = now.since(since);
        match self {
            MissingRecord::Progress => {
                age < Micros::from_millis(policy.record_delay_ms) || (!is_budget_idle && now < send_by)
            }
            MissingRecord::BatchAttempt | MissingRecord::ChunkSpace => {
                !is_budget_idle && age < Micros::from_millis(policy.batch_delay_ms)
            }
            MissingRecord::UrgentAttempt | MissingRecord::Outcome => false,
        }
    }
}

/// Returns whether no task of the job is left to run or to wait for, but the records don't say so yet.
fn is_outcome_missing(job: &Job) -> bool {
    let is_finished = job.spec.kind != JobKind::Service
        && job.progress.done_count + job.progress.unrecorded_done.len() as u32 >= job.spec.tasks;
    let is_gang_rest_missing = job.outcome.is_none() && job.is_gang_done() && job.waiting_count() > 0;
    job.attempts.occupying_count() == 0 && (job.outcome.is_some() || is_finished) || is_gang_rest_missing
}

/// Returns whether the attempt's task has to start again.
pub(super) fn is_lost(attempt: &TaskAttempt) -> bool {
    match attempt.state() {
        AttemptState::ProvenAbsent => true,
        AttemptState::Ended(why) => why != ExitCause::Completed,
        AttemptState::Decided
        | AttemptState::Recorded
        | AttemptState::Fetching
        | AttemptState::Waiting
        | AttemptState::Running
        | AttemptState::Checkpointing => false,
    }
}

/// A job whose records are to be brought up to date.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct DueRecord {
    /// Time by which it should be sent when the write budget is short.
    pub(crate) send_by: Micros,
    pub(super) shard: u32,
    pub(super) id: JobId,
}

/// Whether a job's records are to be written now.
pub(super) enum RecordStatus {
    /// They are up to date, or another controller writes them.
    Complete,
    /// They are out of date, but are not to be written yet.
    Waiting,
    /// They are to be written now.
    Due(DueRecord),
}

impl RecordStatus {
    /// Evaluates a job's records. `held_shards` are the shards of the job for which this controller writes them.
    pub(super) fn of(
        id: &JobId,
        job: &mut Job,
        held_shards: &[u32],
        now: Micros,
        is_budget_idle: bool,
        policy: &Policy,
    ) -> RecordStatus {
        let retry_at = job.recording.retry_too_large_at.max(job.recording.rejected_until);
        if job.recording.is_txn_in_flight || now < retry_at {
            return RecordStatus::Waiting;
        }
        let Some(missing) = MissingRecord::of(job, held_shards).filter(|_| !held_shards.is_empty()) else {
            return RecordStatus::Complete;
        };
        let since = *job.recording.first_unrecorded_change_at.get_or_insert(now);
        let send_by = since + missing.priority(job.is_urgent()).max_delay(policy);
        if missing.should_wait(now, since, send_by, is_budget_idle, policy) {
            return RecordStatus::Waiting;
        }
        RecordStatus::Due(DueRecord { send_by, shard: job.shard, id: id.clone() })
    }
}
