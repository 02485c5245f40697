//! What a job's records lack, and how long it may wait for the write budget.

use crate::coordination::jobs::attempt::{AttemptState, TaskAttempt};
use crate::coordination::jobs::job::Job;
use crate::protocol::agent::ExitCause;
use crate::protocol::user::JobKind;
use crate::settings::Policy;
use crate::types::{JobId, Micros};

/// What a job's records lack, the most pressing of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum MissingRecord {
    /// An attempt of urgent work, or a service that is down until its lost attempt is out of the stored records.
    UrgentAttempt,
    /// Its outcome, which its user waits for.
    Outcome,
    /// Space in its chunks for tasks that wait, which ended attempts take that are still recorded.
    ChunkSpace,
    /// An attempt of batch work, or that one is lost.
    BatchAttempt,
    /// Tasks done while others go on; nobody waits for it.
    Progress,
}

impl MissingRecord {
    /// What a job's records lack; nothing if they are complete.
    pub(super) fn of(job: &Job) -> Option<MissingRecord> {
        if is_outcome_missing(job) {
            return Some(MissingRecord::Outcome);
        }
        // Tasks done press in no job; taken for urgent they'd be looked at in vain in every round.
        if job.attempts.decided_count() > 0 || (job.attempts.settled_count() > 0 && job.attempts.values().any(is_lost))
        {
            return Some(match job.is_urgent() {
                true => MissingRecord::UrgentAttempt,
                false => MissingRecord::BatchAttempt,
            });
        }
        if job.scheduling.is_blocked_by_full_chunks && job.attempts.settled_count() > 0 && job.waiting_count() > 0 {
            return Some(MissingRecord::ChunkSpace);
        }
        (job.attempts.settled_count() > 0 || job.recording.first_unrecorded_change_at == Some(Micros::ZERO))
            .then_some(MissingRecord::Progress)
    }

    /// The name under which writes are counted that add it.
    pub(super) fn name(self) -> &'static str {
        match self {
            MissingRecord::UrgentAttempt => "urgent attempts",
            MissingRecord::Outcome => "outcomes",
            MissingRecord::ChunkSpace => "chunk space",
            MissingRecord::BatchAttempt => "batch attempts",
            MissingRecord::Progress => "progress",
        }
    }

    /// As what it counts when writes are short. What an urgent job waits for is over no sooner than its outcome is in
    /// the stored records.
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

    /// Whether it waits for other records, or for a time when there is nothing better to write. Where machines are full
    /// batch tasks start one by one as others end; each alone would cost a write.
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

/// Whether nothing of the job is left to run or to wait for, but the records don't say so.
fn is_outcome_missing(job: &Job) -> bool {
    let is_finished = job.spec.kind != JobKind::Service
        && job.progress.done_count + job.progress.unrecorded_done.len() as u32 >= job.spec.tasks;
    let is_gang_rest_missing = job.outcome.is_none() && job.is_gang_done() && job.waiting_count() > 0;
    job.attempts.occupying_count() == 0 && (job.outcome.is_some() || is_finished) || is_gang_rest_missing
}

/// Whether the attempt's task has to start once more.
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
    /// Until then it may wait for others when the write budget is short.
    pub(crate) send_by: Micros,
    pub(super) shard: u32,
    pub(super) id: JobId,
}

/// Whether a job's records are to be written.
pub(super) enum RecordingState {
    /// They lack nothing, or are not this controller's to write.
    Complete,
    /// They lack something that waits.
    Waiting,
    /// They are to be written now.
    Due(DueRecord),
}

impl RecordingState {
    /// `is_own`: whether the job's records are this controller's to write.
    pub(super) fn of(
        id: &JobId,
        job: &mut Job,
        is_own: bool,
        now: Micros,
        is_budget_idle: bool,
        policy: &Policy,
    ) -> RecordingState {
        if job.recording.is_txn_in_flight || now < job.recording.retry_too_large_at {
            return RecordingState::Waiting;
        }
        let Some(missing) = MissingRecord::of(job).filter(|_| is_own) else {
            return RecordingState::Complete;
        };
        let since = *job.recording.first_unrecorded_change_at.get_or_insert(now);
        let send_by = since + missing.priority(job.is_urgent()).max_delay(policy);
        if missing.should_wait(now, since, send_by, is_budget_idle, policy) {
            return RecordingState::Waiting;
        }
        RecordingState::Due(DueRecord { send_by, shard: job.shard, id: id.clone() })
    }
}
