//! Task failures of a job: when the tasks are retried, and whether the job itself is considered at fault.
//!
//! A job that was submitted with a mistake fails on every machine until its user cancels it. As long as none of its
//! tasks has succeeded, only the number of failures and of machines with failures distinguishes it from a healthy job
//! on faulty machines. A job that has failed on several machines is therefore retried one task at a time, with
//! exponential backoff, and the cluster does not scale out, preempt other attempts or quarantine a machine for it. Once
//! a task runs clearly longer than those that failed, further tasks are started.

use crate::coordination::jobs::attempt::{AttemptState, TaskAttempt};
use crate::coordination::jobs::job_attempts::JobAttempts;
use crate::types::{MachineId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// Number of machines with failures from which on a job without any success is considered at fault.
const MIN_FAILING_MACHINES: usize = 2;
/// Number of failed retry rounds from which on a job without any success is considered at fault. This covers jobs that
/// can run on one machine only.
const MIN_FAILED_ROUNDS: u32 = 3;
/// Maximum number of machines in a job's failure history.
const MAX_MACHINES_KEPT: usize = 8;
/// Delay of the first retry; it doubles with each further one.
const FIRST_RETRY_DELAY: Micros = Micros::from_millis(1000);
const MAX_DELAY_DOUBLINGS: u32 = 8;
/// An attempt has outlasted the failures once it has run for this multiple of the longest failed run, plus
/// [`OUTLAST_MARGIN`].
const OUTLAST_FACTOR: u64 = 2;
const OUTLAST_MARGIN: Micros = Micros::from_millis(2000);
/// Attempts that may take resources for each attempt that has outlasted the failures.
const ATTEMPTS_PER_OUTLASTING: u32 = 2;

/// One failed task.
pub struct TaskFailure<'a> {
    /// The task's number.
    pub task: u32,
    /// The machine on which it failed.
    pub machine: &'a MachineId,
    /// How long heartbeats showed it running.
    pub ran_for: Micros,
}

/// The failures of a job since its last success.
#[derive(Debug, Default)]
pub struct FailureHistory {
    machines: BTreeSet<MachineId>,
    /// Number of retry rounds that failed: failures before the retry delay has passed belong to the same round.
    round_count: u32,
    retry_at: Micros,
    longest_run: Micros,
    has_succeeded: bool,
    /// Number of consecutive failures of each task.
    consecutive_failures: BTreeMap<u32, u32>,
}

impl FailureHistory {
    /// Adds a failure, and returns the time before which the task may not be retried.
    pub fn note_failure(&mut self, failure: &TaskFailure, now: Micros, max_retry_delay: Micros) -> Micros {
        self.longest_run = self.longest_run.max(failure.ran_for);
        if self.machines.len() < MAX_MACHINES_KEPT {
            self.machines.insert(failure.machine.clone());
        }
        // Tasks that were started together and fail together count as a single failure.
        if now >= self.retry_at {
            self.round_count += 1;
            self.retry_at = now + retry_delay(self.round_count, max_retry_delay);
        }
        let failure_count = self.consecutive_failures.entry(failure.task).or_default();
        *failure_count += 1;
        now + retry_delay(*failure_count, max_retry_delay)
    }

    /// Handles the success of a task. The retry delays of other failed tasks are kept, as some arrays have a mistake in
    /// only a part of their tasks.
    pub fn note_success(&mut self, task: u32) {
        self.consecutive_failures.remove(&task);
        self.machines.clear();
        self.round_count = 0;
        self.has_succeeded = true;
    }

    /// Whether the job itself is considered at fault.
    pub fn is_failing(&self) -> bool {
        !self.has_succeeded && (self.machines.len() >= MIN_FAILING_MACHINES || self.round_count >= MIN_FAILED_ROUNDS)
    }

    /// Whether one more of the job's tasks may be started in addition to its current attempts.
    pub fn may_start(&self, attempts: &JobAttempts, now: Micros) -> bool {
        if !self.is_failing() {
            return true;
        }
        let outlasting_count =
            attempts.values().filter(|attempt| self.has_outlasted_failures(attempt, now)).count() as u32;
        now >= self.retry_at && attempts.occupying_count() <= outlasting_count * ATTEMPTS_PER_OUTLASTING
    }

    /// Whether an attempt has run clearly longer than those that failed.
    pub fn has_outlasted_failures(&self, attempt: &TaskAttempt, now: Micros) -> bool {
        let min_run = Micros(self.longest_run.0 * OUTLAST_FACTOR) + OUTLAST_MARGIN;
        attempt.state() == AttemptState::Running && attempt.first_running_at.is_some_and(|at| now.since(at) >= min_run)
    }

    /// Whether the task has failed since it last succeeded.
    pub fn has_failed(&self, task: u32) -> bool {
        self.consecutive_failures.contains_key(&task)
    }

    /// Whether the job has failed on the machine.
    pub fn has_failed_on(&self, machine: &MachineId) -> bool {
        self.machines.contains(machine)
    }

    /// Whether the job has failed on the machine and on no other.
    pub fn has_failed_only_on(&self, machine: &MachineId) -> bool {
        self.machines.len() == 1 && self.machines.contains(machine)
    }
}

/// Returns the delay of a retry, with exponential backoff.
fn retry_delay(failure_count: u32, max_delay: Micros) -> Micros {
    Micros(FIRST_RETRY_DELAY.0 << (failure_count - 1).min(MAX_DELAY_DOUBLINGS)).min(max_delay)
}
