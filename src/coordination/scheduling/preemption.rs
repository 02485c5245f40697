//! Room for urgent work where none is left: which running work of lower priority has to leave, and where that costs
//! least.

use crate::coordination::Controller;
use crate::coordination::jobs::job::Job;
use crate::coordination::jobs::usage::Start;
use crate::coordination::scheduling::shard_view::Spot;
use crate::protocol::user::{JobKind, Priority};
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
        let Some(job) = self.jobs.by_id.get(id) else { return };
        if now < job.preempting_until || job.spec.kind == JobKind::Gang || !self.may_preempt(job) {
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
        let mut wanted = job.waiting().saturating_sub(self.room_on_its_way(job, spots));
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
        if let Some(job) = self.jobs.by_id.get_mut(id) {
            job.preempting_until = now + pause;
        }
        let grace = self.policy.stop_grace_s;
        for (other, task) in chosen {
            let Some(victim) = self.jobs.by_id.get_mut(&other) else { continue };
            let stop = if victim.spec.checkpoint_interval_s > 0.0 { grace } else { 0.0 };
            if let Some(live) = victim.live.get_mut(task) {
                live.stop = Some(stop);
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
            Priority::Normal if self.jobs.usage.lowest() == 0 => false,
            Priority::Normal => {
                let waited = self.clock.wall.since(job.ready);
                self.within_guarantee(job) || waited >= Micros::from_millis(self.policy.preempt_after_ms)
            }
            Priority::High | Priority::Production => true,
        }
    }

    /// Whether a task is all that has begun of its job, and has not run for long: stopped now it would count as if the
    /// job had not begun.
    fn has_just_begun(&self, job: &Job, start: &Start) -> bool {
        let ran = start.running_since.map_or(Micros::ZERO, |since| self.now().since(since));
        job.done == 0 && job.live.occupying() == 1 && ran < JUST_BEGUN
    }

    /// How many machines will have resources for one task of the job once those have left that were told to.
    fn room_on_its_way(&self, job: &Job, spots: &[Spot]) -> u32 {
        let leaving = |spot: &Spot| {
            let starts = self.jobs.usage.placed(&spot.id).into_iter().flat_map(|placed| &placed.starts);
            let stopped = starts.filter_map(|(id, task)| {
                let other = self.jobs.by_id.get(id)?;
                other.live.get(*task).filter(|live| live.occupies() && live.stop.is_some()).map(|_| other.resources)
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
            .usage
            .placed(&spot.id)?
            .starts
            .iter()
            .filter_map(|(other, task)| {
                let victim = self.jobs.by_id.get(other)?;
                let live = victim.live.get(*task)?;
                let below = victim.urgency.priority < job.spec.priority && victim.spec.kind == JobKind::Array;
                let stoppable = live.phase().on_machine() && live.stop.is_none();
                let ran = now.since(live.running_since.unwrap_or(now));
                // One that saves when it is stopped goes on from there.
                let saves = victim.spec.checkpoint_interval_s > 0.0
                    && victim.spec.checkpoint_duration_s <= self.policy.stop_grace_s;
                let loss = if saves { ran.min(Micros::from_secs_f64(victim.spec.checkpoint_duration_s)) } else { ran };
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
