//! The state of one job of any shard: its specification, its attempts and its progress.

use crate::coordination::jobs::dependency_graph::Urgency;
use crate::coordination::jobs::failures::FailureHistory;
use crate::coordination::jobs::job_attempts::JobAttempts;
use crate::coordination::jobs::progress::TaskProgress;
use crate::protocol::user::{JobKind, JobSpec, Priority};
use crate::storage::schema::{JobRecord, Outcome, RunChunk, TaskLoans};
use crate::types::{JobId, Micros, Resources};
use std::ops::Range;
use std::sync::Arc;

/// Bounds of the pause after the store has refused a job's records for good.
const MIN_REJECTION_PAUSE: Micros = Micros::from_millis(1000);
const MAX_REJECTION_PAUSE: Micros = Micros::from_millis(60_000);

/// A job that has a record, or had one and still has attempts or chunks to be removed.
pub(crate) struct Job {
    pub spec: Arc<JobSpec>,
    /// Time of day at which the job was accepted.
    pub accepted_at: Micros,
    /// Resources that one task takes.
    pub resources: Resources,
    /// The shard of the job's team, whose holder enforces the team's quota.
    pub home_shard: u32,
    /// The shard that schedules the tasks that `loans` doesn't name: the home shard, unless the whole job is lent.
    pub shard: u32,
    /// Tasks that further shards schedule.
    pub loans: TaskLoans,
    pub attempts: JobAttempts,
    pub progress: TaskProgress,
    pub failures: FailureHistory,
    pub recording: RecordingState,
    pub scheduling: SchedulingState,
    /// The outcome once the job has ended; it never changes afterwards.
    pub outcome: Option<Outcome>,
    /// Time of day at which it became ready to start: when it was accepted, or when its last dependency was done.
    pub ready_at: Micros,
    /// The maximum of its own urgency and that of the jobs that depend on it.
    pub urgency: Urgency,
}

/// The state of a job's stored records.
pub(crate) struct RecordingState {
    /// Whether the job's record still exists. No attempt may start without it.
    pub has_record: bool,
    /// Whether a transaction on its chunks is in flight. No other may be sent until its result is known, as both would
    /// have the same preconditions.
    pub is_txn_in_flight: bool,
    /// The time since which changes of the attempts wait to be recorded; zero if they can't wait any longer.
    pub first_unrecorded_change_at: Option<Micros>,
    /// The time since which completed tasks wait to be recorded.
    pub first_unrecorded_completion_at: Option<Micros>,
    /// The time after which chunks that exceeded the size limit of a value are written again.
    pub retry_too_large_at: Micros,
    /// Whether the last transaction left out decided attempts, which follow in the next one.
    pub is_continued: bool,
    /// Whether its changes go into a transaction without other jobs, because the store refused one with them for good.
    pub is_written_alone: bool,
    /// The time before which no attempt is decided or recorded, after the store has refused the job's records for good.
    pub rejected_until: Micros,
    /// The pause after the next such refusal.
    rejection_pause: Micros,
}

impl RecordingState {
    fn of_recorded_job() -> RecordingState {
        RecordingState {
            has_record: true,
            is_txn_in_flight: false,
            first_unrecorded_change_at: None,
            first_unrecorded_completion_at: None,
            retry_too_large_at: Micros::ZERO,
            is_continued: false,
            is_written_alone: false,
            rejected_until: Micros::ZERO,
            rejection_pause: MIN_REJECTION_PAUSE,
        }
    }

    /// Whether decided attempts are in a transaction that has not ended, or follow in the next one.
    pub fn is_recording_attempts(&self) -> bool {
        self.is_txn_in_flight || self.is_continued
    }

    /// Notes that the store has refused the job's records for good, though they were alone in their transaction and as
    /// small as possible. Each refusal doubles the pause.
    pub fn note_rejected(&mut self, now: Micros) {
        self.rejected_until = now + self.rejection_pause;
        self.rejection_pause = Micros(self.rejection_pause.0 * 2).min(MAX_REJECTION_PAUSE);
    }

    /// Marks a change that is not in the records yet; keeps the time of an earlier unrecorded change.
    pub fn mark_changed(&mut self, now: Micros) {
        self.first_unrecorded_change_at.get_or_insert(now);
    }
}

/// The scheduler's state of a job between scheduling cycles.
#[derive(Default)]
pub(crate) struct SchedulingState {
    /// Whether it depends on a job that is not done, so that none of its tasks may start.
    pub waits_for_dependencies: bool,
    /// The time before which no other attempts are preempted for it.
    pub next_preemption_at: Micros,
    /// Whether tasks wait, although resources may be available, because its chunks have no space for more attempts.
    pub is_blocked_by_full_chunks: bool,
    /// The time since which tasks wait in shards held by this controller.
    pub waiting_since: Option<Micros>,
    /// The time before which no room is searched in other shards.
    pub next_lending_at: Micros,
    /// Whether a transaction that lends tasks is in flight.
    pub is_lending: bool,
}

impl Job {
    pub(super) fn new(id: &JobId, record: &JobRecord, shard: u32) -> Job {
        Job {
            spec: Arc::new(record.spec.clone()),
            accepted_at: record.accepted_at,
            resources: record.spec.resources(),
            home_shard: shard,
            shard,
            loans: TaskLoans::default(),
            attempts: JobAttempts::new(id.clone(), &record.spec),
            progress: TaskProgress::default(),
            failures: FailureHistory::default(),
            recording: RecordingState::of_recorded_job(),
            scheduling: SchedulingState::default(),
            outcome: None,
            ready_at: record.accepted_at,
            urgency: record.urgency(),
        }
    }

    /// Returns how long a task may take to stop: the policy's maximum if the job writes checkpoints, otherwise zero.
    pub(crate) fn stop_grace_s(&self, max_grace_s: f64) -> f64 {
        if self.spec.checkpoint_interval_s > 0.0 { max_grace_s } else { 0.0 }
    }

    /// Returns the number of tasks that are recorded as done.
    pub fn done_count(&self) -> u32 {
        self.progress.done_count
    }

    /// Returns the number of tasks with a recorded attempt that takes resources.
    pub fn running_count(&self) -> u32 {
        self.attempts.occupying_count() - self.attempts.decided_count()
    }

    /// Returns the number of tasks that wait for an attempt.
    pub fn waiting_count(&self) -> u32 {
        if self.outcome.is_some() || self.scheduling.waits_for_dependencies {
            0
        } else {
            self.progress.unstarted_count(self.spec.tasks)
        }
    }

    /// Whether no task of the job is recorded as done and the job itself is considered at fault. Nothing is done for
    /// such a job at the expense of others.
    pub fn is_failing(&self) -> bool {
        self.progress.done_count == 0 && self.failures.is_failing()
    }

    /// Whether one more of its tasks may be started.
    pub fn may_start(&self, now: Micros) -> bool {
        !self.is_failing() || self.failures.may_start(&self.attempts, now)
    }

    /// Whether a task is done, recorded or not.
    pub fn is_task_done(&self, task: u32, chunk: Option<&RunChunk>) -> bool {
        self.progress.unrecorded_done.contains(&task) || chunk.is_some_and(|chunk| chunk.is_done(task))
    }

    /// Returns the next task of a shard that may start now, see [`TaskProgress::next_task`].
    pub fn next_task(&self, shard: u32, now: Micros, chunk_tasks: u32, has_space: impl Fn(u32) -> bool) -> Option<u32> {
        if self.scheduling.waits_for_dependencies {
            return None;
        }
        let first_in_shard = |tasks: Range<u32>| self.first_task_in_shard(shard, tasks);
        self.progress.next_task(self.spec.tasks, &self.failures, now, chunk_tasks, first_in_shard, has_space)
    }

    /// Whether the gang is done. A gang completes as a whole: one task done means that all tasks are done, including
    /// those whose machine was lost before its agent could report the completion.
    pub fn is_gang_done(&self) -> bool {
        self.spec.kind == JobKind::Gang && self.progress.has_completions()
    }

    /// Whether the job is urgent by itself, or because an urgent job depends on it.
    pub fn is_urgent(&self) -> bool {
        self.spec.kind == JobKind::Service || self.urgency.priority > Priority::Normal
    }

    /// Makes all attempts that take resources stop without time for a checkpoint.
    pub(super) fn stop_attempts(&mut self) {
        for attempt in self.attempts.values_mut().filter(|attempt| attempt.occupies_resources()) {
            attempt.stop_without_grace();
        }
    }
}
