//! What this controller knows of one job, of whichever shard: its specification, its attempts, and how far it has come.

use crate::coordination::jobs::dependency_graph::Urgency;
use crate::coordination::jobs::failures::FailureHistory;
use crate::coordination::jobs::job_attempts::JobAttempts;
use crate::coordination::jobs::progress::TaskProgress;
use crate::protocol::user::{JobKind, JobSpec, Priority};
use crate::storage::schema::{JobRecord, Outcome, RunChunk};
use crate::types::{JobId, Micros, Resources};
use std::sync::Arc;

/// A job that has a record, or had one until all of it was settled.
pub(crate) struct Job {
    pub spec: Arc<JobSpec>,
    /// Time of day.
    pub accepted_at: Micros,
    /// Resources that one task takes.
    pub resources: Resources,
    /// The shard whose holder schedules the job and records its attempts.
    pub shard: u32,
    pub attempts: JobAttempts,
    pub progress: TaskProgress,
    pub failures: FailureHistory,
    pub recording: RecordingState,
    pub scheduling: SchedulingState,
    /// Set once the job is over; it never changes then.
    pub outcome: Option<Outcome>,
    /// Time of day from which it could start: when it was accepted, or when the last of its dependencies was done.
    pub ready_at: Micros,
    /// Its own urgency, or that of the jobs that depend on it.
    pub urgency: Urgency,
}

/// How the stored records of a job stand.
pub(crate) struct RecordingState {
    /// The job's record still exists. Nothing may start without it.
    pub has_record: bool,
    /// A transaction on its chunks is on its way. Until its result is known no other may leave, as both would be
    /// written on the same preconditions.
    pub is_txn_in_flight: bool,
    /// Since when attempts wait to be removed from the records; zero if that can't wait any longer.
    pub first_unrecorded_change_at: Option<Micros>,
    /// Since when the records lack that some tasks are done.
    pub first_unrecorded_completion_at: Option<Micros>,
    /// Its chunks are larger than may be written; they are tried again from then on.
    pub retry_too_large_at: Micros,
}

impl RecordingState {
    fn of_recorded_job() -> RecordingState {
        RecordingState {
            has_record: true,
            is_txn_in_flight: false,
            first_unrecorded_change_at: None,
            first_unrecorded_completion_at: None,
            retry_too_large_at: Micros::ZERO,
        }
    }

    /// Notes that the records lack something, unless that is known already.
    pub fn mark_changed(&mut self, now: Micros) {
        self.first_unrecorded_change_at.get_or_insert(now);
    }
}

/// What the scheduler remembers of a job between its cycles.
#[derive(Default)]
pub(crate) struct SchedulingState {
    /// It depends on a job that is not done: none of its tasks may start.
    pub waits_for_dependencies: bool,
    /// No other attempts are preempted for it before then.
    pub next_preemption_at: Micros,
    /// Tasks wait although there may be resources for them, as its chunks can name no more attempts.
    pub is_blocked_by_full_chunks: bool,
}

impl Job {
    pub(super) fn new(id: &JobId, record: &JobRecord, shard: u32) -> Job {
        Job {
            spec: Arc::new(record.spec.clone()),
            accepted_at: record.accepted_at,
            resources: record.spec.resources(),
            shard,
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

    /// How long a task of it may take to stop: as long as the policy allows if it writes checkpoints, else no time.
    pub(crate) fn stop_grace_s(&self, max_grace_s: f64) -> f64 {
        if self.spec.checkpoint_interval_s > 0.0 { max_grace_s } else { 0.0 }
    }

    /// How many tasks are done, as far as it is recorded.
    pub fn done_count(&self) -> u32 {
        self.progress.done_count
    }

    /// How many tasks have a recorded attempt that takes resources.
    pub fn running_count(&self) -> u32 {
        self.attempts.occupying_count() - self.attempts.decided_count()
    }

    /// How many tasks wait for an attempt.
    pub fn waiting_count(&self) -> u32 {
        if self.outcome.is_some() || self.scheduling.waits_for_dependencies {
            0
        } else {
            self.progress.unstarted_count(self.spec.tasks)
        }
    }

    /// Whether it fails wherever it runs, as far as is known: nothing is done for it at others' cost.
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

    /// The next task that may start now, see [`TaskProgress::next_task`].
    pub fn next_task(&self, now: Micros, chunk_tasks: u32, has_space: impl Fn(u32) -> bool) -> Option<u32> {
        if self.scheduling.waits_for_dependencies {
            return None;
        }
        self.progress.next_task(self.spec.tasks, &self.failures, now, chunk_tasks, has_space)
    }

    /// A gang completes as a whole: one task done means that all are, also those whose machine was lost before its
    /// agent could report it.
    pub fn is_gang_done(&self) -> bool {
        self.spec.kind == JobKind::Gang && self.progress.has_completions()
    }

    /// Whether it is urgent by itself, or because an urgent job depends on it.
    pub fn is_urgent(&self) -> bool {
        self.spec.kind == JobKind::Service || self.urgency.priority > Priority::Normal
    }

    /// Has all attempts that take resources stop at once.
    pub(super) fn stop_attempts(&mut self) {
        for attempt in self.attempts.values_mut().filter(|attempt| attempt.occupies_resources()) {
            attempt.stop_without_grace();
        }
    }
}
