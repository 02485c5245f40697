//! Preemption within a shard: stops running tasks of lower priority for more urgent tasks that find no capacity, on the
//! machines where that costs least.

use crate::coordination::Controller;
use crate::coordination::jobs::attempt::TaskAttempt;
use crate::coordination::jobs::job::Job;
use crate::coordination::scheduling::shard_view::CandidateMachine;
use crate::protocol::user::{JobKind, Priority};
use crate::types::{JobId, MachineId, Micros, Resources};

/// Time after which a job that preempted others may do so again.
const PREEMPTION_PAUSE: Micros = Micros::from_millis(1000);

/// Minimum run time before a job's only task is preempted.
const MIN_RUN_BEFORE_PREEMPTION: Micros = Micros::from_millis(35_000);

/// Cost of preemption on a machine, lowest first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PreemptionCost {
    needs_fetch: bool,
    lost_us: u64,
}

/// A running task that may be preempted. The one that loses the least run time is preempted first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Victim {
    lost_time: Micros,
    job: JobId,
    task: u32,
    resources: Resources,
}

/// The tasks to preempt on one machine so that one task of a job finds capacity there.
struct MachinePreemption<'a> {
    cost: PreemptionCost,
    machine: &'a CandidateMachine,
    victims: Vec<Victim>,
}

impl Controller {
    /// Preempts tasks of lower priority on machines of a shard where that frees capacity for a job's tasks that wait in
    /// the shard, in order of cost.
    pub(super) fn preempt_for(&mut self, id: &JobId, shard: u32, machines: &[CandidateMachine]) {
        let now = self.now();
        let Some(job) = self.jobs.get(id) else { return };
        if now < job.scheduling.next_preemption_at || job.spec.kind == JobKind::Gang || !self.may_preempt(job) {
            return;
        }
        let victims = self.choose_victims(id, job, shard, machines);
        // Normal work pauses even if no victim was found: with hundreds of jobs waiting the search takes most of a
        // round.
        let should_pause = !victims.is_empty() || job.spec.priority == Priority::Normal;
        let pause = if should_pause { PREEMPTION_PAUSE } else { Micros::ZERO };
        if let Some(job) = self.jobs.get_mut(id) {
            job.scheduling.next_preemption_at = now + pause;
        }
        for Victim { job, task, .. } in victims {
            if let Some(machine) = self.stop_with_grace(&job, task) {
                tracing::debug!(%job, task, %machine, "task preempted");
            }
        }
    }

    /// Returns the victims on as many machines as the job has waiting tasks, less those for which earlier preemptions
    /// are already freeing capacity.
    fn choose_victims(&self, id: &JobId, job: &Job, shard: u32, machines: &[CandidateMachine]) -> Vec<Victim> {
        let mut rules = self.placement_rules(job, None);
        let mut options: Vec<MachinePreemption> = machines
            .iter()
            .filter(|machine| rules.allow(machine) && !machine.recently_failed_jobs.contains(id))
            .filter_map(|machine| self.preemption_on(job, machine))
            .collect();
        options.sort_by_key(|option| (option.cost, option.machine.free.cpus));
        // Tasks that write a checkpoint before they stop may still occupy capacity that is being freed for this job.
        let mut wanted = job.waiting_count_in(shard).saturating_sub(self.machines_being_freed_for(job, machines));
        let mut chosen = Vec::new();
        for MachinePreemption { machine, victims, .. } in options {
            if wanted == 0 {
                break;
            }
            if rules.allow(machine) {
                rules.add_task_in(&machine.zone);
                chosen.extend(victims);
                wanted -= 1;
            }
        }
        chosen
    }

    /// Requests that a task stops, with time to write a checkpoint if the job writes any. Returns the task's machine,
    /// if it has an attempt.
    pub(crate) fn stop_with_grace(&mut self, id: &JobId, task: u32) -> Option<MachineId> {
        let job = self.jobs.get_mut(id)?;
        let grace_s = job.stop_grace_s(self.policy.stop_grace_s);
        let attempt = job.attempts.get_mut(task)?;
        attempt.stop_grace_s = Some(grace_s);
        let machine = attempt.machine().clone();
        self.fleet.queue_direct_message(&machine);
        Some(machine)
    }

    /// Returns whether a job may preempt others. Normal work does so at once within its team's guaranteed quota, and
    /// otherwise only after a wait: preemption loses part of the stopped work, and capacity may become free without it.
    fn may_preempt(&self, job: &Job) -> bool {
        if job.is_failing() {
            return false;
        }
        match job.spec.priority {
            Priority::Low => false,
            Priority::Normal if self.jobs.usage().low_priority_array_count() == 0 => false,
            Priority::Normal => {
                let waited = self.clock.wall.since(job.ready_at);
                self.is_within_guaranteed_quota(job) || waited >= Micros::from_millis(self.policy.preempt_after_ms)
            }
            Priority::High | Priority::Production => true,
        }
    }

    /// Returns whether an attempt is the only one of a job without finished tasks, and has not run for long. If it were
    /// stopped now, the job would count as not started.
    fn has_just_begun(&self, job: &Job, attempt: &TaskAttempt) -> bool {
        let ran = attempt.first_running_at.map_or(Micros::ZERO, |since| self.now().since(since));
        job.progress.done_count == 0 && job.attempts.occupying_count() == 1 && ran < MIN_RUN_BEFORE_PREEMPTION
    }

    /// Returns how many machines without capacity for a task of the job will have it once the tasks being stopped on
    /// them have ended.
    fn machines_being_freed_for(&self, job: &Job, machines: &[CandidateMachine]) -> u32 {
        let is_being_freed = |machine: &&CandidateMachine| {
            !job.resources.fits_in(&machine.free) && job.resources.fits_in(&self.free_after_stops(machine))
        };
        machines.iter().filter(is_being_freed).count() as u32
    }

    /// Returns the resources that will be free on a machine once the tasks being stopped there have ended.
    fn free_after_stops(&self, machine: &CandidateMachine) -> Resources {
        let attempts = self.jobs.usage().iter_attempts_on(&machine.id);
        let stopping = attempts.filter_map(|task| {
            let job = self.jobs.get(&task.job)?;
            let attempt = job.attempts.get(task.index)?;
            (attempt.occupies_resources() && attempt.stop_grace_s.is_some()).then_some(job.resources)
        });
        stopping.fold(machine.free, |free, resources| free.plus(&resources))
    }

    /// Returns the tasks that must be stopped on a machine to free capacity for one task of the job, those that lose
    /// the least run time first. Returns `None` if stopping tasks is not needed or does not free enough.
    fn preemption_on<'a>(&self, job: &Job, candidate: &'a CandidateMachine) -> Option<MachinePreemption<'a>> {
        let machine = self.fleet.machine(&candidate.id)?;
        let mut eligible: Vec<Victim> = self
            .jobs
            .usage()
            .on_machine(&candidate.id)?
            .attempts()
            .filter_map(|task| self.as_victim(job, &task.job, task.index))
            .collect();
        eligible.sort();
        let mut free = candidate.free;
        let mut victims = Vec::new();
        let mut lost_us = 0;
        for victim in eligible {
            if job.resources.fits_in(&free) {
                break;
            }
            free = free.plus(&victim.resources);
            // Adds 1 for each victim, so that of two machines without any loss the one with fewer victims is chosen.
            lost_us += victim.lost_time.0 + 1;
            victims.push(victim);
        }
        let cost = PreemptionCost { needs_fetch: !machine.has_image(&job.spec.image), lost_us };
        let helps = job.resources.fits_in(&free) && !victims.is_empty();
        helps.then_some(MachinePreemption { cost, machine: candidate, victims })
    }

    /// Returns a task as a victim of a job, if it is a running task of a job array of lower priority that may be
    /// stopped.
    fn as_victim(&self, preempting: &Job, id: &JobId, task: u32) -> Option<Victim> {
        let now = self.now();
        let job = self.jobs.get(id)?;
        let attempt = job.attempts.get(task)?;
        let is_lower = job.urgency.priority < preempting.spec.priority && job.spec.kind == JobKind::Array;
        let is_stoppable = attempt.state().is_on_machine() && attempt.stop_grace_s.is_none();
        if !is_lower || !is_stoppable || self.has_just_begun(job, attempt) {
            return None;
        }
        let ran = now.since(attempt.first_running_at.unwrap_or(now));
        // A task that writes a checkpoint when it is stopped resumes from there and loses only the time of writing it.
        let writes_checkpoint =
            job.spec.checkpoint_interval_s > 0.0 && job.spec.checkpoint_duration_s <= self.policy.stop_grace_s;
        let lost_time =
            if writes_checkpoint { ran.min(Micros::from_secs_f64(job.spec.checkpoint_duration_s)) } else { ran };
        Some(Victim { lost_time, job: id.clone(), task, resources: job.resources })
    }
}
