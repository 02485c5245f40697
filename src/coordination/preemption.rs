//! Room for urgent work where none is left: which running work of lower priority has to leave, and where that costs
//! least.

use super::Core;
use super::jobs::Job;
use super::placement::Spot;
use crate::protocol::user::{Kind, Priority};
use crate::units::{JobId, Micros, Room};

/// A job that made others leave does so again only after this.
const PREEMPTION_PAUSE: Micros = Micros::from_millis(1000);

/// What making room on a machine costs: a fetch first, then the time lost.
type Loss = (bool, u64);

/// Starts that would have to make way.
type Victims = Vec<(JobId, u32)>;

impl Core {
    /// Stops lower work where that lets waiting tasks of a more urgent job in, where least is lost
    /// first.
    pub(super) fn make_room(&mut self, id: &JobId, spots: &[Spot]) {
        let now = self.now();
        let Some(job) = self.jobs.get(id) else { return };
        if job.spec.priority <= Priority::Normal || now < job.preempting_until || job.spec.kind == Kind::Gang {
            return;
        }
        if job.is_failing() {
            return;
        }
        let mut allowance = self.allowance(job, None);
        let mut chances: Vec<(Loss, &Spot, Victims)> = spots
            .iter()
            .filter(|s| allowance.allows(s) && !s.failed_here.contains(id))
            .filter_map(|spot| self.victims(job, spot).map(|(loss, victims)| (loss, spot, victims)))
            .collect();
        chances.sort_by_key(|(loss, spot, _)| (*loss, spot.free.cpus));
        let mut wanted = job.waiting();
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
        if chosen.is_empty() {
            return;
        }
        if let Some(job) = self.jobs.get_mut(id) {
            job.preempting_until = now + PREEMPTION_PAUSE;
        }
        let grace = self.policy.stop_grace_s;
        for (other, task) in chosen {
            let Some(victim) = self.jobs.get_mut(&other) else { continue };
            let stop = if victim.spec.checkpoint_s > 0.0 { grace } else { 0.0 };
            if let Some(live) = victim.live.get_mut(task) {
                live.stop = Some(stop);
                let machine = live.machine().clone();
                tracing::debug!(job = %other, task, %machine, "makes room");
                self.want_push(&machine);
            }
        }
    }

    /// Lower work that would have to leave a machine to let one task of the job in, the youngest
    /// first, and what that costs. None if it would not help.
    fn victims(&self, job: &Job, spot: &Spot) -> Option<(Loss, Victims)> {
        let now = self.now();
        let machine = self.machines.get(&spot.id)?;
        let mut lower: Vec<(Micros, JobId, u32, Room)> = self
            .usage
            .placed(&spot.id)?
            .starts
            .iter()
            .filter_map(|(other, task)| {
                let victim = self.jobs.get(other)?;
                let live = victim.live.get(*task)?;
                let below = victim.urgency.priority < job.spec.priority && victim.spec.kind == Kind::Array;
                let stoppable = live.phase().on_machine() && live.stop.is_none();
                let began = live.running_since.unwrap_or(now);
                (below && stoppable).then(|| (now.since(began), other.clone(), *task, victim.room))
            })
            .collect();
        lower.sort();
        let mut free = spot.free;
        let mut chosen = Vec::new();
        let mut lost = 0;
        for (ran, other, task, room) in lower {
            if job.room.fits_in(&free) {
                break;
            }
            free = free.plus(&room);
            lost += ran.0 + 1;
            chosen.push((other, task));
        }
        (job.room.fits_in(&free) && !chosen.is_empty()).then_some(((!machine.holds(&job.spec.image), lost), chosen))
    }
}
