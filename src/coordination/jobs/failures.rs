//! Failures of a job's tasks: when they are tried again, and whether the job itself is at fault.
//!
//! A job that was submitted with a mistake fails on every machine until its user cancels it. Until one of its tasks has
//! succeeded it can't be told from a healthy job on faulty machines, except by where and how often it failed. So a job
//! that failed on several machines is tried one task at a time, with exponential backoff, and the cluster neither scales
//! out, nor preempts, nor quarantines a machine for it; as soon as a task runs for longer than those that failed, more of
//! them are started.

use crate::coordination::jobs::attempt::{AttemptState, TaskAttempt};
use crate::coordination::jobs::job_attempts::JobAttempts;
use crate::types::{MachineId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// A job without any success is considered at fault once it has failed on so many machines.
const FAILING_MACHINES: usize = 2;
/// Or in so many retry rounds, as it may be able to run on one machine only.
const FAILING_ROUNDS: u32 = 3;
/// No more machines than this are kept in a history.
const MAX_MACHINES_KEPT: usize = 8;
/// Delay of the first retry; it doubles with each further one.
const FIRST_RETRY_DELAY: Micros = Micros::from_millis(1000);
const MAX_DELAY_DOUBLINGS: u32 = 8;
/// A task has outlasted the failed ones if it runs for so many times as long, and so much more.
const PROVEN_RUN_FACTOR: u64 = 2;
const PROVEN_RUN_MARGIN: Micros = Micros::from_millis(2000);
/// Attempts that may take resources for each that has outlasted the failed ones.
const ATTEMPTS_PER_PROVEN: u32 = 2;

/// One failed task.
pub struct TaskFailure<'a> {
    /// Its number.
    pub task: u32,
    /// Where it failed.
    pub machine: &'a MachineId,
    /// For how long it was seen running.
    pub ran_for: Micros,
}

/// What is known of a job's failures since its last success.
#[derive(Debug, Default)]
pub struct FailureHistory {
    machines: BTreeSet<MachineId>,
    /// Failures that came after the retry delay of those before.
    round_count: u32,
    retry_at: Micros,
    longest_run: Micros,
    has_succeeded: bool,
    /// How often each task has failed in a row.
    consecutive_failures: BTreeMap<u32, u32>,
}

impl FailureHistory {
    /// Notes a failure, and returns from when on the task may be tried again.
    pub fn note_failure(&mut self, failure: &TaskFailure, now: Micros, max_retry_delay: Micros) -> Micros {
        self.longest_run = self.longest_run.max(failure.ran_for);
        if self.machines.len() < MAX_MACHINES_KEPT {
            self.machines.insert(failure.machine.clone());
        }
        // Tasks that were started together and fail together say no more than one of them.
        if now >= self.retry_at {
            self.round_count += 1;
            self.retry_at = now + retry_delay(self.round_count, max_retry_delay);
        }
        let failure_count = self.consecutive_failures.entry(failure.task).or_default();
        *failure_count += 1;
        now + retry_delay(*failure_count, max_retry_delay)
    }

    /// Notes that a task is done. The retry delays of other tasks that failed stay as they are: some arrays have a
    /// mistake in a part of their tasks only.
    pub fn note_success(&mut self, task: u32) {
        self.consecutive_failures.remove(&task);
        self.machines.clear();
        self.round_count = 0;
        self.has_succeeded = true;
    }

    /// Whether the job itself is considered at fault.
    pub fn is_failing(&self) -> bool {
        !self.has_succeeded && (self.machines.len() >= FAILING_MACHINES || self.round_count >= FAILING_ROUNDS)
    }

    /// Whether one more of its tasks may be started, next to the attempts that there are.
    pub fn may_start(&self, attempts: &JobAttempts, now: Micros) -> bool {
        if !self.is_failing() {
            return true;
        }
        let proven = attempts.values().filter(|attempt| self.has_outlasted_failures(attempt, now)).count() as u32;
        now >= self.retry_at && attempts.occupying_count() <= proven * ATTEMPTS_PER_PROVEN
    }

    /// Whether an attempt has run for clearly longer than those that failed.
    pub fn has_outlasted_failures(&self, attempt: &TaskAttempt, now: Micros) -> bool {
        let proven_run = Micros(self.longest_run.0 * PROVEN_RUN_FACTOR) + PROVEN_RUN_MARGIN;
        attempt.state() == AttemptState::Running
            && attempt.first_running_at.is_some_and(|at| now.since(at) >= proven_run)
    }

    /// Whether the task has failed since it last succeeded.
    pub fn has_failed(&self, task: u32) -> bool {
        self.consecutive_failures.contains_key(&task)
    }

    /// Whether the job has failed on that machine.
    pub fn has_failed_on(&self, machine: &MachineId) -> bool {
        self.machines.contains(machine)
    }

    /// Whether the job has failed on that machine and on no other.
    pub fn has_failed_only_on(&self, machine: &MachineId) -> bool {
        self.machines.len() == 1 && self.machines.contains(machine)
    }
}

/// Exponential backoff.
fn retry_delay(failure_count: u32, max_delay: Micros) -> Micros {
    Micros(FIRST_RETRY_DELAY.0 << (failure_count - 1).min(MAX_DELAY_DOUBLINGS)).min(max_delay)
}
