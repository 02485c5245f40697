//! Machines on which tasks fail that succeed elsewhere: they are cordoned, drained and returned.

use crate::coordination::Controller;
use crate::coordination::fleet::cordon::CordonCause;
use crate::coordination::fleet::machine::{JobFailures, TaskFailures};
use crate::coordination::jobs::attempt::TaskAttempt;
use crate::storage::schema::{CordonReason, Outcome};
use crate::types::{JobId, MachineId};

/// Number of failures on one machine, and on no other, that shows a job to have been retried there after a pause.
const RETRIED_FAILURE_COUNT: u32 = 2;
/// Failures of a single job count against a machine only above this multiple of `faulty_after`.
const SINGLE_JOB_FACTOR: u32 = 2;

impl Controller {
    /// Cordons machines that appear to be at fault for the tasks that failed there.
    pub(super) fn cordon_faulty(&mut self, own_machines: &[MachineId]) {
        for id in own_machines {
            let Some(machine) = self.fleet.machine(id).filter(|machine| !machine.task_failures.is_empty()) else {
                continue;
            };
            if !self.is_faulty(id, &machine.task_failures) {
                continue;
            }
            if self.cordon_reason(id).is_none() {
                tracing::warn!(machine = %id, "machine faulty: tasks of several jobs fail there");
                self.cordon(id, CordonReason::Retire, CordonCause::FaultyTasks);
            }
        }
    }

    fn is_faulty(&self, id: &MachineId, failures: &TaskFailures) -> bool {
        self.fails_jobs_that_succeed_elsewhere(id, failures)
            || self.fails_gang_alone(id, failures)
            || self.fails_retried_jobs(id, failures)
    }

    /// Returns whether jobs fail on a machine that succeed elsewhere: several jobs, or a single one that fails
    /// repeatedly and on no other machine.
    fn fails_jobs_that_succeed_elsewhere(&self, id: &MachineId, failures: &TaskFailures) -> bool {
        let succeeding = || failures.iter().filter(|(job, failures)| self.succeeds_elsewhere(id, job, failures));
        let fails_elsewhere =
            |job: &JobId| self.fleet.machines().any(|(other, m)| other != id && m.task_failures.contains(job));
        succeeding().count() >= self.policy.faulty_after as usize
            || succeeding()
                .any(|(job, failures)| failures.count > self.max_failures_of_one_job() && !fails_elsewhere(job))
    }

    /// Returns whether a gang fails repeatedly, and only by its tasks on this machine. A gang that can't be placed
    /// without the machine never succeeds elsewhere.
    fn fails_gang_alone(&self, id: &MachineId, failures: &TaskFailures) -> bool {
        let is_repeatedly_alone =
            |failures: &JobFailures| failures.alone_in_gang_count > self.max_failures_of_one_job();
        failures.iter().any(|(job, failures)| is_repeatedly_alone(failures) && self.fails_only_on(job, id))
    }

    /// Returns whether several jobs that can't run elsewhere were retried on this machine and failed again.
    fn fails_retried_jobs(&self, id: &MachineId, failures: &TaskFailures) -> bool {
        let is_retried = |failures: &JobFailures| failures.count >= RETRIED_FAILURE_COUNT;
        let retried = failures.iter().filter(|(job, failures)| is_retried(failures) && self.fails_only_on(job, id));
        retried.count() >= self.policy.faulty_after as usize
    }

    fn max_failures_of_one_job(&self) -> u32 {
        self.policy.faulty_after * SINGLE_JOB_FACTOR
    }

    fn fails_only_on(&self, job: &JobId, id: &MachineId) -> bool {
        self.jobs.get(job).is_some_and(|job| job.failures.has_failed_only_on(id))
    }

    /// Returns whether a job that failed on a machine is not itself at fault: the same task is done by now, or has run
    /// for longer on another machine than any attempt that failed.
    fn succeeds_elsewhere(&self, id: &MachineId, job_id: &JobId, failures: &JobFailures) -> bool {
        let Some(job) = self.jobs.get(job_id) else {
            return self.store.replica.outcomes.get(job_id).is_some_and(|end| end.value.outcome == Outcome::Done);
        };
        let task = failures.last_task;
        let chunks = self.store.replica.run_chunks.get(job_id);
        let chunk = chunks.and_then(|chunks| chunks.get(&(task / self.store.tasks_per_chunk()))).map(|c| &c.value);
        let runs_on =
            |attempt: &TaskAttempt| attempt.machine() != id && job.failures.has_outlasted_failures(attempt, self.now());
        job.is_task_done(task, chunk) || job.attempts.get(task).is_some_and(runs_on)
    }
}
