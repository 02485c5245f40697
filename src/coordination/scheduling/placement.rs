//! Which machine a task goes to: steps 1 to 6 of the design, after DataHelix's deadline-aware
//! placement with image caches standing in for its locality.

use crate::coordination::Controller;
use crate::coordination::fleet::machines::Machine;
use crate::coordination::jobs::job::Job;
use crate::coordination::jobs::usage::{Phase, Start};
use crate::coordination::scheduling::shard_view::{ShardView, Spot};
use crate::coordination::zones::zone_control::ZoneStart;
use crate::protocol::user::JobKind;
use crate::storage::schema::Role;
use crate::types::{JobId, MachineId, Micros};
use std::collections::{BTreeSet, HashMap};

/// A machine that could take the task, seen through the prediction.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Step 1: queue + io, counted from now.
    pub ready: Micros,
    /// Whether the image is there.
    pub holds: bool,
    /// Decides among equals; the lower goes first.
    pub tie: (u64, u64),
}

/// Steps 3 to 5. `slack` is the time from now to the deadline D, zero if that has passed.
pub fn choose(candidates: &[Candidate], slack: Micros, margin: Micros) -> Option<usize> {
    let best = |keep: &dyn Fn(&Candidate) -> bool| {
        (0..candidates.len())
            .filter(|i| keep(&candidates[*i]))
            .min_by_key(|i| (candidates[*i].ready, candidates[*i].tie))
    };
    let meets = |c: &Candidate| c.ready <= slack;
    let holder = best(&|c| meets(c) && c.holds);
    let other = best(&|c| meets(c) && !c.holds);
    match (holder, other) {
        // Step 4: a holder wins unless another is earlier by the margin.
        (Some(h), Some(o)) if candidates[o].ready + margin <= candidates[h].ready => Some(o),
        (Some(h), _) => Some(h),
        (None, Some(o)) => Some(o),
        // Step 5: all miss.
        (None, None) => best(&|_| true),
    }
}

/// One pass over the jobs keeps these from job to job.
#[derive(Default)]
struct Field {
    shards: HashMap<u32, ShardView>,
}

/// Where a job's next tasks may go, besides its own conditions.
#[derive(Clone, Copy)]
struct Search<'a> {
    /// The only zone.
    zone: Option<&'a str>,
    /// Zones that had better not be used.
    avoided_zones: &'a BTreeSet<String>,
    /// Not where tasks of it have failed since it last succeeded. A gang that never gets past one faulty machine fails
    /// on no other, so nothing else would tell the two apart.
    avoid_failed: bool,
}

/// An image that a machine has still to fetch.
pub(crate) struct PendingFetch<'a> {
    pub image: &'a str,
    pub megabytes: f64,
}

/// Machines that could take the next task of a job, kept from task to task: placing one changes the
/// prediction for its own machine only.
struct Choices {
    at: Vec<usize>,
    candidates: Vec<Candidate>,
}

impl Choices {
    fn remove(&mut self, chosen: usize) {
        self.at.swap_remove(chosen);
        self.candidates.swap_remove(chosen);
    }

    fn retain(&mut self, keep: impl Fn(usize) -> bool) {
        for i in (0..self.at.len()).rev() {
            if !keep(self.at[i]) {
                self.remove(i);
            }
        }
    }
}

impl Controller {
    /// Looks at waiting jobs in order until the time is up; the next round goes on from there.
    pub(crate) fn place(&mut self, time_left: &mut dyn FnMut() -> bool) {
        if self.scheduling.queue.is_empty() {
            // Urgent work is looked at when it comes, everything else every so often.
            let gap = Micros::from_millis(self.policy.pass_gap_ms);
            let due = self.scheduling.urgent_cycle_wanted
                || (self.scheduling.cycle_wanted && self.now().since(self.scheduling.cycle_started_at) >= gap);
            if !due {
                return;
            }
            (self.scheduling.cycle_wanted, self.scheduling.urgent_cycle_wanted) = (false, false);
            self.scheduling.cycle_started_at = self.now();
            self.scheduling.queue = self.waiting_in_order().into();
        }
        let mut field = Field::default();
        while let Some(id) = self.scheduling.queue.pop_front() {
            self.place_job(&id, &mut field);
            if !time_left() {
                break;
            }
        }
    }

    fn place_job(&mut self, id: &JobId, field: &mut Field) {
        let Some(job) = self.jobs.by_id.get(id) else { return };
        let shard = job.shard;
        if job.locked || !job.recorded || job.over.is_some() || !self.holds(Role::Shard(shard)) {
            return;
        }
        let gang = job.spec.kind == JobKind::Gang;
        let mut view = field.shards.remove(&shard).unwrap_or_else(|| self.view_of(shard));
        if gang {
            self.place_gang(id, &mut view);
        } else {
            self.place_tasks(id, &mut view);
        }
        field.shards.insert(shard, view);
    }

    fn place_tasks(&mut self, id: &JobId, view: &mut ShardView) {
        let now = self.now();
        let Some(job) = self.jobs.by_id.get(id) else { return };
        let begins = job.spec.kind == JobKind::Array && (self.is_overdue(job) || self.is_starved_in_restoration(id));
        let none = BTreeSet::new();
        let avoided_zones = self.zones_to_avoid(id, job, &view.distrusted);
        let mut search = Search { zone: None, avoided_zones: &avoided_zones, avoid_failed: true };
        let mut choices = self.choices(id, job, view, search);
        if choices.at.is_empty() && !avoided_zones.is_empty() && self.gives_up_avoiding(id) {
            search.avoided_zones = &none;
        }
        if choices.at.is_empty() {
            let Some(job) = self.jobs.by_id.get(id) else { return };
            search.avoid_failed = false;
            choices = self.choices(id, job, view, search);
        }
        // Locked jobs are left alone while a transaction is on its way, so one takes all it can.
        loop {
            let Some(job) = self.jobs.by_id.get(id) else { return };
            if !job.may_start(now) {
                return;
            }
            let next = job.next_task(now, self.store.chunk_tasks, |chunk| self.chunk_has_room(id, job, chunk));
            let Some(task) = next else {
                if let Some(job) = self.jobs.by_id.get_mut(id) {
                    job.blocked = job.waiting() > 0;
                }
                return;
            };
            if !self.within_limit(job) {
                return;
            }
            let Some(chosen) = self.chosen(job, &choices) else {
                self.make_room(id, &view.spots);
                return;
            };
            self.decide_start(id, task, view, choices.at[chosen]);
            if begins {
                // It has begun; the rest comes in its turn.
                return;
            }
            self.choose_again(id, view, &mut choices, chosen, search);
        }
    }

    /// Step 6: all tasks in one pass or none.
    fn place_gang(&mut self, id: &JobId, view: &mut ShardView) {
        let Some(job) = self.jobs.by_id.get(id) else { return };
        let named = |chunk| self.chunk_has_room(id, job, chunk);
        if !job.live.is_empty() || job.waiting() < job.spec.tasks || !named(0) || !job.may_start(self.now()) {
            return;
        }
        let tasks = job.spec.tasks;
        let mut zones: Vec<Option<String>> = vec![None];
        if job.spec.one_zone {
            let mut names: Vec<String> = view.spots.iter().map(|s| s.zone.clone()).collect();
            names.sort();
            names.dedup();
            zones = names.into_iter().map(Some).collect();
        }
        let none = BTreeSet::new();
        let avoided_zones = &none;
        let searches =
            |avoid_failed| zones.iter().map(move |zone| Search { zone: zone.as_deref(), avoided_zones, avoid_failed });
        for search in searches(true).chain(searches(false)) {
            let before = view.save();
            let mut placed = Vec::new();
            let Some(job) = self.jobs.by_id.get(id) else { return };
            let mut choices = self.choices(id, job, view, search);
            for task in 0..tasks {
                let Some(job) = self.jobs.by_id.get(id) else { return };
                if !self.within_limit(job) {
                    break;
                }
                let Some(chosen) = self.chosen(job, &choices) else { break };
                self.decide_start(id, task, view, choices.at[chosen]);
                self.choose_again(id, view, &mut choices, chosen, search);
                placed.push(task);
            }
            if placed.len() == tasks as usize {
                return;
            }
            for task in placed {
                self.withdraw_start(id, task);
            }
            view.restore(before);
        }
        self.make_room(id, &view.spots);
    }

    /// Every start not proven gone counts, inherited ones too.
    fn within_limit(&self, job: &Job) -> bool {
        let Some(team) = job.spec.team.as_ref().and_then(|name| self.platform.deployment.team(name)) else {
            return true;
        };
        let limit = team.resource_limit();
        let next = self.jobs.usage.used_by(&team.name).plus(&job.resources);
        (limit.cpus == 0 || next.cpus <= limit.cpus) && (limit.gpus == 0 || next.gpus <= limit.gpus)
    }

    fn choices(&self, id: &JobId, job: &Job, view: &ShardView, search: Search) -> Choices {
        let allowance = self.allowance(job, search.zone);
        let mut choices = Choices { at: Vec::new(), candidates: Vec::new() };
        for (i, spot) in view.spots.iter().enumerate() {
            let avoided = search.avoid_failed && job.failures.failed_on(&spot.id);
            let avoided = avoided || search.avoided_zones.contains(&spot.zone);
            if spot.takes(job) && allowance.allows(spot) && !spot.failed_here.contains(id) && !avoided {
                if !self.is_admitted(job, spot, view) {
                    continue;
                }
                choices.at.push(i);
                choices.candidates.push(self.candidate(job, spot));
            }
        }
        choices
    }

    /// After a task was placed: its machine has less room, and the job's own conditions may have
    /// closed a zone.
    fn choose_again(&self, id: &JobId, view: &ShardView, choices: &mut Choices, chosen: usize, search: Search) {
        let Some(job) = self.jobs.by_id.get(id) else { return };
        let spot = &view.spots[choices.at[chosen]];
        if job.spec.one_zone || job.spec.spread {
            *choices = self.choices(id, job, view, search);
            return;
        }
        if spot.takes(job) && self.is_admitted(job, spot, view) {
            choices.candidates[chosen] = self.candidate(job, spot);
        } else {
            choices.remove(chosen);
        }
        if self.is_zone_exhausted(spot, view) {
            choices.retain(|at| {
                let other = &view.spots[at];
                other.zone != spot.zone || self.is_admitted(job, other, view)
            });
        }
    }

    fn chosen(&self, job: &Job, choices: &Choices) -> Option<usize> {
        let now = self.clock.wall;
        let slack = match job.urgency.due {
            Some(due) => due.since(now + job.spec.estimate()),
            None => Micros::from_millis(self.policy.default_slack_ms),
        };
        choose(&choices.candidates, slack, Micros::from_millis(self.policy.holder_margin_ms))
    }

    /// Steps 1 and 2: the fetches pending on the machine, run one after another, then its own.
    fn candidate(&self, job: &Job, spot: &Spot) -> Candidate {
        let image = job.spec.image.as_str();
        // Among equals the tightest fit, so that machines fall free as a whole.
        let tie = (spot.free.cpus, spot.free.memory);
        let Some(machine) = self.fleet.machines.get(&spot.id) else {
            return Candidate { ready: Micros(u64::MAX), holds: false, tie };
        };
        if machine.holds(image) {
            return Candidate { ready: Micros::ZERO, holds: true, tie };
        }
        let rate = machine.rate.unwrap_or(self.policy.start_fetch_mb_per_s).max(0.001);
        let mut pending = self.pending_fetches(&spot.id, machine, rate);
        if !pending.iter().any(|fetch| fetch.image == image) {
            pending.push(PendingFetch { image, megabytes: job.spec.image_gb * 1000.0 });
        }
        let mut ready = Micros::ZERO;
        for fetch in pending {
            ready = ready + Micros::from_secs_f64(fetch.megabytes / rate);
            if fetch.image == image {
                break;
            }
        }
        Candidate { ready, holds: false, tie }
    }

    /// Images that a machine has still to fetch, in order, with what is left of each at that rate in MB a second.
    pub(crate) fn pending_fetches<'a>(
        &'a self,
        id: &MachineId,
        machine: &'a Machine,
        rate: f64,
    ) -> Vec<PendingFetch<'a>> {
        let now = self.now();
        let mut pending: Vec<PendingFetch> = Vec::new();
        for fetch in &machine.fetches {
            let left = fetch.megabytes - now.since(fetch.since).secs() * rate;
            pending.push(PendingFetch { image: &fetch.image, megabytes: left.max(0.0) });
        }
        // Starts decided or told, whose fetch has not shown up in a heartbeat yet.
        for (id, task) in self.jobs.usage.placed(id).into_iter().flat_map(|p| &p.starts) {
            let Some(other) = self.jobs.by_id.get(id) else { continue };
            let waits = other.live.get(*task).is_some_and(|l| matches!(l.phase(), Phase::Decided | Phase::Recorded));
            let image = other.spec.image.as_str();
            if waits && !machine.holds(image) && !pending.iter().any(|fetch| fetch.image == image) {
                pending.push(PendingFetch { image, megabytes: other.spec.image_gb * 1000.0 });
            }
        }
        pending
    }

    fn decide_start(&mut self, id: &JobId, task: u32, view: &mut ShardView, at: usize) {
        let spot = &mut view.spots[at];
        if let Some(queues) = &mut view.fetch_queues
            && self.jobs.by_id.get(id).is_some_and(|job| self.adds_fetch(job, spot))
        {
            spot.fetches += 1;
            queues.add(&spot.zone, 1);
        }
        let Some(job) = self.jobs.by_id.get_mut(id) else { return };
        job.take_task(task);
        job.not_before.remove(&task);
        let live = Start::new(0, spot.id.clone(), spot.incarnation, Phase::Decided);
        job.live.insert(task, live, &mut self.jobs.usage);
        spot.free = spot.free.minus(&job.resources);
        if let Some(machine) = self.fleet.machines.get_mut(&spot.id) {
            machine.free_since = None;
        }
        self.zones.avoiding_since.remove(id);
        self.note_zone_start(&view.spots[at].id, ZoneStart::Decided);
    }

    fn withdraw_start(&mut self, id: &JobId, task: u32) {
        let Some(job) = self.jobs.by_id.get_mut(id) else { return };
        if let Some(live) = job.live.remove(task, &mut self.jobs.usage) {
            job.redo.insert(task);
            self.machine_freed(live.machine());
            self.note_zone_start(live.machine(), ZoneStart::Withdrawn);
        }
    }
}
