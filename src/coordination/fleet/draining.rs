//! Machines that tasks have to leave: faulty ones, those to be returned, and those about to be taken.

use crate::coordination::Controller;
use crate::coordination::fleet::machines::{Failures, Machine};
use crate::coordination::jobs::usage::{Phase, Start};
use crate::protocol::user::JobKind;
use crate::storage::schema::{CordonReason, Outcome};
use crate::types::{JobId, MachineId};

/// A job that failed so often on one machine, and on no other, was tried there again after a pause.
const FAILED_AGAIN: u32 = 2;

impl Controller {
    /// Tasks of different jobs that fail on one machine and get on elsewhere speak against the machine.
    pub(crate) fn retire_faulty(&mut self, ours: &[MachineId]) {
        for id in ours {
            let Some(machine) = self.fleet.machines.get(id).filter(|machine| !machine.failed_jobs.is_empty()) else {
                continue;
            };
            if !self.is_faulty(id, machine) {
                continue;
            }
            let hold = self.store.replica.machines.get(id).and_then(|m| m.value.cordon);
            if hold.is_none() {
                tracing::warn!(machine = %id, "tasks of several jobs fail there");
                self.set_hold(id, CordonReason::Retire);
            }
        }
    }

    fn is_faulty(&self, id: &MachineId, machine: &Machine) -> bool {
        let several = self.policy.faulty_after as usize;
        let failed = || machine.failed_jobs.iter();
        let proven = || failed().filter(|(job, failures)| self.gets_on_elsewhere(id, job, failures));
        // One job alone does if it fails again and again there, and on no other machine.
        let elsewhere =
            |job: &JobId| self.fleet.machines.iter().any(|(other, m)| other != id && m.failed_jobs.contains_key(job));
        let again_and_again = |f: &Failures| f.count > self.policy.faulty_after * 2;
        if proven().count() >= several || proven().any(|(job, f)| again_and_again(f) && !elsewhere(job)) {
            return true;
        }
        // A gang that can't do without this machine never gets further. Its other tasks fail nowhere else.
        let only_here = |job: &JobId| self.jobs.by_id.get(job).is_some_and(|job| job.failures.failed_only_on(id));
        if failed().any(|(job, f)| f.alone_in_gang > self.policy.faulty_after * 2 && only_here(job)) {
            return true;
        }
        // Jobs that were tried here again, as they can't run anywhere else.
        failed().filter(|(job, f)| f.count >= FAILED_AGAIN && only_here(job)).count() >= several
    }

    /// Whether a job that failed on a machine is not itself at fault: the same task is done by now, or has run for
    /// longer on another machine than any that failed.
    fn gets_on_elsewhere(&self, id: &MachineId, job_id: &JobId, failures: &Failures) -> bool {
        let Some(job) = self.jobs.by_id.get(job_id) else {
            return self.store.replica.outcomes.get(job_id).is_some_and(|end| end.value.outcome == Outcome::Done);
        };
        let chunks = self.store.replica.run_chunks.get(job_id);
        let chunk = chunks.and_then(|chunks| chunks.get(&(failures.task / self.store.chunk_tasks))).map(|c| &c.value);
        let runs_on = |start: &Start| start.machine() != id && job.failures.got_further(start, self.now());
        job.is_task_done(failures.task, chunk) || job.live.get(failures.task).is_some_and(runs_on)
    }

    /// A machine to be returned is emptied first.
    pub(crate) fn drain_retired(&mut self, ours: &[MachineId]) {
        for id in ours {
            if self.store.replica.machines.get(id).is_some_and(|m| m.value.cordon == Some(CordonReason::Retire)) {
                self.stop_where(id, |_| true);
            }
        }
    }

    /// Services leave a machine that is about to be taken while there is time; other work runs
    /// on, it may finish.
    pub(crate) fn leave_noticed(&mut self, ours: &[MachineId]) {
        for id in ours {
            if self.fleet.machines.get(id).is_some_and(|m| m.notice) {
                self.stop_services(id);
            }
        }
    }

    /// Everything leaves a machine that another shard needs more urgently.
    pub(crate) fn vacate(&mut self, id: &MachineId) {
        self.stop_where(id, |_| true);
    }

    fn stop_services(&mut self, id: &MachineId) {
        self.stop_where(id, |kind| kind == JobKind::Service);
    }

    fn stop_where(&mut self, id: &MachineId, wanted: impl Fn(JobKind) -> bool) {
        let grace = self.policy.stop_grace_s;
        let mut push = false;
        for (job, task) in self.jobs.usage.starts_on(id) {
            let Some(job) = self.jobs.by_id.get_mut(&job) else { continue };
            if !wanted(job.spec.kind) {
                continue;
            }
            if let Some(live) = job.live.get_mut(task)
                && live.occupies()
                && live.phase() != Phase::Decided
                && live.stop.is_none()
            {
                live.stop = Some(if job.spec.checkpoint_interval_s > 0.0 { grace } else { 0.0 });
                push = true;
            }
        }
        if push {
            self.want_push(id);
        }
    }
}
