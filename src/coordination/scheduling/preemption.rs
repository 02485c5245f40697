//! Room for urgent work where none is left: which running work of lower priority has to leave, and where that costs
//! least.

use crate::coordination::Controller;
use crate::coordination::jobs::attempt::TaskAttempt;
use crate::coordination::jobs::job::Job;
use crate::coordination::scheduling::shard_view::Spot;
use crate::protocol::user::{Kind, Priority};
use crate::types::{JobId, Micros, Resources};

/// A job that made others leave does so again only after this.
const PREEMPTION_PAUSE: Micros = Micros::from_millis(1000);

/// A job's only task is not stopped before it has run for so long.
const JUST_BEGUN: Micros = Micros::from_millis(35_000);

/// What making room on a machine costs: a fetch first, then the time lost.
type Loss = (bool, u64);

/// Starts that would have to make way.
type Victims = Vec<(JobId, u32)>;

impl Controller {
    /// Stops lower work where that lets waiting tasks of a more urgent job in, where least is lost
    /// first.
    pub(crate) fn make_room(&mut self, id: &JobId, spots: &[Spot]) {
        let now = self.now();
        let Some(job) = self.jobs.get(id) else { return };
        if now < job.scheduling.next_preemption_at || job.spec.kind == Kind::Gang || !self.may_preempt(job) {
            return;
        }
        let mut allowance = self.allowance(job, None);
        let mut chances: Vec<(Loss, &Spot, Victims)> = spots
            .iter()
            .filter(|s| allowance.allows(s) && !s.failed_here.contains(id))
            .filter_map(|spot| self.victims(job, spot).map(|(loss, victims)| (loss, spot, victims)))
            .collect();
        chances.sort_by_key(|(loss, spot, _)| (*loss, spot.free.cpus));
        // Room that is being made already: what saves first takes a while to leave.
        let mut wanted = job.waiting_count().saturating_sub(self.room_on_its_way(job, spots));
        let mut chosen = Vec::new();
        for (_, spot, victims) in chances {
            if wanted == 0 {
                break;
            }
            if allowance.allows(spot) {
                *allowance.per_zone.entry(spot.zone.clone()).or_default() += 1;
                chosen.extend(victims);
                wanted -= 1;
            }
        }
        // Ordinary work pauses also where none was found: with hundreds waiting to look costs most of a round.
        let pauses = !chosen.is_empty() || job.spec.priority == Priority::Normal;
        let pause = if pauses { PREEMPTION_PAUSE } else { Micros::ZERO };
        if let Some(job) = self.jobs.get_mut(id) {
            job.scheduling.next_preemption_at = now + pause;
        }
        let grace = self.policy.stop_grace_s;
        for (other, task) in chosen {
            let Some(victim) = self.jobs.get_mut(&other) else { continue };
            let stop = if victim.spec.checkpoint_s > 0.0 { grace } else { 0.0 };
            if let Some(live) = victim.attempts.get_mut(task) {
                live.stop_grace_s = Some(stop);
                let machine = live.machine().clone();
                tracing::debug!(job = %other, task, %machine, "makes room");
                self.want_push(&machine);
            }
        }
    }

    /// Whether a job may make others leave. Ordinary work does so at once within its team's guarantee and otherwise only
    /// when it has waited: what it stops is lost in part, and room may fall free by itself.
    fn may_preempt(&self, job: &Job) -> bool {
        match job.spec.priority {
            _ if job.is_failing() => false,
            Priority::Low => false,
            Priority::Normal if self.jobs.usage().low_priority_array_count() == 0 => false,
            Priority::Normal => {
                let waited = self.clock.wall.since(job.ready_at);
                self.within_guarantee(job) || waited >= Micros::from_millis(self.policy.preempt_after_ms)
            }
            Priority::High | Priority::Production => true,
        }
    }

    /// Whether a task is all that has begun of its job, and has not run for long: stopped now it would count as if the
    /// job had not begun.
    fn has_just_begun(&self, job: &Job, start: &TaskAttempt) -> bool {
        let ran = start.first_running_at.map_or(Micros::ZERO, |since| self.now().since(since));
        job.progress.done_count == 0 && job.attempts.occupying_count() == 1 && ran < JUST_BEGUN
    }

    /// How many machines will have resources for one task of the job once those have left that were told to.
    fn room_on_its_way(&self, job: &Job, spots: &[Spot]) -> u32 {
        let leaving = |spot: &Spot| {
            let starts = self.jobs.usage().iter_attempts_on(&spot.id);
            let stopped = starts.filter_map(|(id, task)| {
                let other = self.jobs.get(id)?;
                other
                    .attempts
                    .get(*task)
                    .filter(|live| live.occupies_resources() && live.stop_grace_s.is_some())
                    .map(|_| other.resources)
            });
            stopped.fold(spot.free, |free, resources| free.plus(&resources))
        };
        let on_its_way = |spot: &&Spot| !job.resources.fits_in(&spot.free) && job.resources.fits_in(&leaving(spot));
        spots.iter().filter(on_its_way).count() as u32
    }

    /// Lower work that would have to leave a machine to let one task of the job in, what loses least
    /// first, and what that costs. None if it would not help.
    fn victims(&self, job: &Job, spot: &Spot) -> Option<(Loss, Victims)> {
        let now = self.now();
        let machine = self.fleet.machines.get(&spot.id)?;
        let mut lower: Vec<(Micros, JobId, u32, Resources)> = self
            .jobs
            .usage()
            .on_machine(&spot.id)?
            .attempts()
            .filter_map(|(other, task)| {
                let victim = self.jobs.get(other)?;
                let live = victim.attempts.get(*task)?;
                let below = victim.urgency.priority < job.spec.priority && victim.spec.kind == Kind::Array;
                let stoppable = live.state().is_on_machine() && live.stop_grace_s.is_none();
                let ran = now.since(live.first_running_at.unwrap_or(now));
                // One that saves when it is stopped goes on from there.
                let saves = victim.spec.checkpoint_s > 0.0 && victim.spec.save_s <= self.policy.stop_grace_s;
                let loss = if saves { ran.min(Micros::from_secs_f64(victim.spec.save_s)) } else { ran };
                (below && stoppable && !self.has_just_begun(victim, live))
                    .then(|| (loss, other.clone(), *task, victim.resources))
            })
            .collect();
        lower.sort();
        let mut free = spot.free;
        let mut chosen = Vec::new();
        let mut lost = 0;
        for (loss, other, task, resources) in lower {
            if job.resources.fits_in(&free) {
                break;
            }
            free = free.plus(&resources);
            lost += loss.0 + 1;
            chosen.push((other, task));
        }
        (job.resources.fits_in(&free) && !chosen.is_empty())
            .then_some(((!machine.holds(&job.spec.image), lost), chosen))
    }
}
