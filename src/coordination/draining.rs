//! Machines that tasks have to leave: faulty ones, those to be returned, and those about to be taken.

use super::Core;
use super::machines::Failures;
use super::usage::Phase;
use crate::bookkeeping::schema::Hold;
use crate::protocol::user::Kind;
use crate::units::{JobId, MachineId};

impl Core {
    /// Tasks of different jobs failing on one machine speak against the machine.
    pub(super) fn retire_faulty(&mut self, ours: &[MachineId]) {
        for id in ours {
            let Some(machine) = self.machines.get(id) else { continue };
            let most = self.policy.faulty_after;
            // One job alone speaks against the machine if it fails again and again there and has
            // failed nowhere else; one that fails everywhere speaks against itself.
            let alone = |job: &JobId, f: &Failures| {
                f.count > most * 2
                    && !self.machines.iter().any(|(other, m)| other != id && m.failed_jobs.contains_key(job))
            };
            let faulty = machine.failed_jobs.len() >= most as usize
                || machine.failed_jobs.iter().any(|(job, failures)| alone(job, failures));
            if !faulty {
                continue;
            }
            let hold = self.replica.machines.get(id).and_then(|m| m.value.hold);
            if hold.is_none() {
                tracing::warn!(machine = %id, "tasks of several jobs fail there");
                self.set_hold(id, Hold::Retire);
            }
        }
    }

    /// A machine to be returned is emptied first.
    pub(super) fn drain_retired(&mut self, ours: &[MachineId]) {
        for id in ours {
            if self.replica.machines.get(id).is_some_and(|m| m.value.hold == Some(Hold::Retire)) {
                self.stop_where(id, |_| true);
            }
        }
    }

    /// Services leave a machine that is about to be taken while there is time; other work runs
    /// on, it may finish.
    pub(super) fn leave_noticed(&mut self, ours: &[MachineId]) {
        for id in ours {
            if self.machines.get(id).is_some_and(|m| m.notice) {
                self.stop_services(id);
            }
        }
    }

    fn stop_services(&mut self, id: &MachineId) {
        self.stop_where(id, |kind| kind == Kind::Service);
    }

    fn stop_where(&mut self, id: &MachineId, wanted: impl Fn(Kind) -> bool) {
        let grace = self.policy.stop_grace_s;
        let mut push = false;
        for (job, task) in self.usage.starts_on(id) {
            let Some(job) = self.jobs.get_mut(&job) else { continue };
            if !wanted(job.spec.kind) {
                continue;
            }
            if let Some(live) = job.live.get_mut(task)
                && live.occupies()
                && live.phase() != Phase::Decided
                && live.stop.is_none()
            {
                live.stop = Some(if job.spec.checkpoint_s > 0.0 { grace } else { 0.0 });
                push = true;
            }
        }
        if push {
            self.want_push(id);
        }
    }
}
