//! Failures of a job's tasks: when they are tried again, and whether the job itself is at fault.
//!
//! A job that was submitted with a mistake fails on every machine until its user cancels it. Until one of its tasks has
//! succeeded it can't be told from a healthy job on faulty machines, except by where and how often it failed. So a job
//! that failed on several machines is tried one task at a time, after growing pauses, and no machine is rented,
//! emptied or suspected for it; as soon as a task gets further than those that failed, more of them follow.

use crate::coordination::jobs::usage::{JobStarts, Phase, Start};
use crate::types::{MachineId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// A job without any success is taken to be at fault once it has failed on so many machines.
const FAILING_MACHINES: usize = 2;
/// Or in so many rounds, as it may be able to run on one machine only.
const FAILING_ROUNDS: u32 = 3;
/// No more machines than this are kept in a history.
const MACHINES_KEPT: usize = 8;
/// Pause after the first failure; it doubles with each further one.
const FIRST_PAUSE: Micros = Micros::from_millis(1000);
const PAUSE_DOUBLINGS: u32 = 8;
/// A task has got further than the failed ones if it runs so many times as long, and so much more.
const FURTHER_FACTOR: u64 = 2;
const FURTHER_MARGIN: Micros = Micros::from_millis(2000);
/// Tasks that may be on machines for each that has got further.
const STARTS_PER_PROVEN: u32 = 2;

/// One failed task.
pub struct Failure<'a> {
    /// Its number.
    pub task: u32,
    /// Where it failed.
    pub machine: &'a MachineId,
    /// How long it was seen at work.
    pub ran: Micros,
}

/// What is known of a job's failures since its last success.
#[derive(Debug, Default)]
pub struct FailureHistory {
    machines: BTreeSet<MachineId>,
    /// Failures that came after the pause of those before.
    rounds: u32,
    retry_at: Micros,
    longest_run: Micros,
    succeeded: bool,
    /// Failures in a row of single tasks.
    tasks: BTreeMap<u32, u32>,
}

impl FailureHistory {
    /// Notes a failure, and says when the task may be tried again.
    pub fn failed(&mut self, failure: &Failure, now: Micros, longest_pause: Micros) -> Micros {
        self.longest_run = self.longest_run.max(failure.ran);
        if self.machines.len() < MACHINES_KEPT {
            self.machines.insert(failure.machine.clone());
        }
        // Tasks that were started together and fail together say no more than one of them.
        if now >= self.retry_at {
            self.rounds += 1;
            self.retry_at = now + pause_after(self.rounds, longest_pause);
        }
        let in_a_row = self.tasks.entry(failure.task).or_default();
        *in_a_row += 1;
        now + pause_after(*in_a_row, longest_pause)
    }

    /// Notes that a task is done. The pauses of other tasks that failed stay as they are: of some arrays only a part
    /// has a mistake.
    pub fn succeeded(&mut self, task: u32) {
        self.tasks.remove(&task);
        self.machines.clear();
        self.rounds = 0;
        self.succeeded = true;
    }

    /// Whether the job is taken to be at fault itself.
    pub fn is_failing(&self) -> bool {
        !self.succeeded && (self.machines.len() >= FAILING_MACHINES || self.rounds >= FAILING_ROUNDS)
    }

    /// Whether one more of its tasks may be started, next to those that are.
    pub fn may_start(&self, starts: &JobStarts, now: Micros) -> bool {
        if !self.is_failing() {
            return true;
        }
        let proven = starts.values().filter(|start| self.got_further(start, now)).count() as u32;
        now >= self.retry_at && starts.occupying() <= proven * STARTS_PER_PROVEN
    }

    /// Whether a start has run for longer than those that failed.
    pub fn got_further(&self, start: &Start, now: Micros) -> bool {
        let enough = Micros(self.longest_run.0 * FURTHER_FACTOR) + FURTHER_MARGIN;
        start.phase() == Phase::Running && start.running_since.is_some_and(|since| now.since(since) >= enough)
    }

    /// Whether the task has failed since it last succeeded.
    pub fn has_failed(&self, task: u32) -> bool {
        self.tasks.contains_key(&task)
    }

    /// Whether it has failed on that machine.
    pub fn failed_on(&self, machine: &MachineId) -> bool {
        self.machines.contains(machine)
    }

    /// Whether it has failed on that machine and on no other.
    pub fn failed_only_on(&self, machine: &MachineId) -> bool {
        self.machines.len() == 1 && self.machines.contains(machine)
    }
}

fn pause_after(failures: u32, longest: Micros) -> Micros {
    Micros(FIRST_PAUSE.0 << (failures - 1).min(PAUSE_DOUBLINGS)).min(longest)
}
