//! Which machine a task goes to: steps 1 to 6 of the design, after DataHelix's deadline-aware
//! placement with image caches standing in for its locality.

use super::Core;
use super::jobs::Job;
use super::usage::{Phase, Start};
use crate::bookkeeping::schema::Role;
use crate::protocol::user::{JobSpec, Kind, Priority};
use crate::units::{JobId, MachineId, Micros, Room};
use std::collections::{BTreeMap, HashMap};

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

/// A machine of one share as this round sees it.
pub(super) struct Spot {
    pub id: MachineId,
    machine_type: String,
    pub zone: String,
    spot: bool,
    pub free: Room,
    /// Part of it that batch work leaves to the services that may come next.
    reserved: Room,
    session: u64,
    pub failed_here: Vec<JobId>,
}

/// One pass over the jobs keeps these from round to round.
#[derive(Default)]
struct Field {
    spots: HashMap<u32, Vec<Spot>>,
}

impl Spot {
    fn takes(&self, job: &Job) -> bool {
        if job.spec.priority > Priority::Normal {
            return job.room.fits_in(&self.free);
        }
        job.room.fits_in(&self.free.minus(&self.reserved))
    }
}

/// What a job's own conditions allow for one more task, given where its others are.
pub(super) struct Allowance<'a> {
    spec: &'a JobSpec,
    zone: Option<&'a str>,
    pub per_zone: BTreeMap<String, u32>,
}

impl Allowance<'_> {
    pub fn allows(&self, s: &Spot) -> bool {
        let spec = self.spec;
        spec.types.as_ref().is_none_or(|t| t.contains(&s.machine_type))
            && spec.zone.as_ref().is_none_or(|z| *z == s.zone)
            && (spec.spot || !s.spot)
            && self.zone.is_none_or(|z| z == s.zone)
            && (!spec.one_zone || self.per_zone.keys().all(|z| *z == s.zone))
            && (!spec.spread || self.per_zone.get(&s.zone).copied().unwrap_or(0) < spec.tasks.div_ceil(2))
    }
}

/// Where a job's next tasks may go, besides its own conditions.
#[derive(Clone, Copy)]
struct Search<'a> {
    /// The only zone.
    zone: Option<&'a str>,
    /// Not where tasks of it have failed since it last succeeded. A gang that never gets past one faulty machine fails
    /// on no other, so nothing else would tell the two apart.
    avoid_failed: bool,
}

/// Machines that could take the next task of a job, kept from task to task: placing one changes the
/// prediction for its own machine only.
struct Choices {
    at: Vec<usize>,
    candidates: Vec<Candidate>,
}

impl Core {
    /// Looks at waiting jobs in order until the time is up; the next round goes on from there.
    pub(super) fn place(&mut self, time_left: &mut dyn FnMut() -> bool) {
        if self.pass.is_empty() {
            // Urgent work is looked at when it comes, everything else every so often.
            let gap = Micros::from_millis(self.policy.pass_gap_ms);
            let due = self.urgent_pass || (self.pass_wanted && self.now().since(self.pass_began) >= gap);
            if !due {
                return;
            }
            (self.pass_wanted, self.urgent_pass) = (false, false);
            self.pass_began = self.now();
            self.pass = self.waiting_in_order().into();
        }
        let mut field = Field::default();
        while let Some(id) = self.pass.pop_front() {
            self.place_job(&id, &mut field);
            if !time_left() {
                break;
            }
        }
    }

    /// When it is a job's turn among those of its priority: its deadline if it has one, else its
    /// submission, put off the more the more work is left. With more asked than can be done, pure
    /// order of submission makes all late; this way the small ones are on time, and as the time of
    /// submission counts too, no large one waits for ever.
    fn scheduling_time(&self, job: &Job) -> Micros {
        if let Some(due) = job.urgency.due {
            return due;
        }
        let left = f64::from(job.spec.tasks.saturating_sub(job.done)) * job.spec.cpus * job.spec.estimate_s;
        job.ready + self.put_off(left)
    }

    /// How long a job lets others go first, by the cpu-seconds it still needs: much for each at first, little for each
    /// beyond the limit. One limit for all would let a huge array of short tasks wait for every larger one before it.
    fn put_off(&self, cpu_seconds: f64) -> Micros {
        let policy = &self.policy;
        let most = Micros::from_millis(policy.wait_most_ms);
        let each_s = policy.wait_per_cpu_second_ms as f64 / 1e3;
        let first = Micros::from_secs_f64(cpu_seconds * each_s);
        if first <= most {
            return first;
        }
        let beyond = cpu_seconds - most.secs() / each_s;
        let further = Micros::from_secs_f64(beyond * policy.wait_large_per_cpu_second_us as f64 / 1e6);
        most + further.min(Micros::from_millis(policy.wait_large_most_ms))
    }

    /// Whether no task of it was ever started though it was accepted long ago. The largest jobs
    /// would wait without end behind small ones that keep coming.
    fn is_overdue(&self, job: &Job) -> bool {
        let patience = Micros::from_millis(self.policy.begin_within_ms);
        job.fresh_from == 0 && self.clock.wall.since(job.ready) >= patience
    }

    /// Jobs of our shares that wait for a place: by priority, then those that should have begun long
    /// ago, then those within their team's guarantee, then by turn.
    fn waiting_in_order(&self) -> Vec<JobId> {
        let mut waiting: Vec<_> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.recorded && !j.locked && j.waiting() > 0 && self.held(Role::Share(j.share)).is_some())
            .map(|(id, job)| {
                let (overdue, within) = (self.is_overdue(job), self.within_guarantee(job));
                (
                    (std::cmp::Reverse(job.urgency.priority), !overdue, !within, self.scheduling_time(job), job.ready),
                    id.clone(),
                )
            })
            .collect();
        waiting.sort();
        waiting.into_iter().map(|(_, id)| id).collect()
    }

    pub(super) fn within_guarantee(&self, job: &Job) -> bool {
        let Some(team) = job.spec.team.as_ref().and_then(|name| self.platform.deployment.team(name)) else {
            return false;
        };
        let guaranteed = Room::new(team.cpus, team.gpus, 0.0);
        let used = self.usage.used_by(&team.name).plus(&job.room);
        used.cpus <= guaranteed.cpus && used.gpus <= guaranteed.gpus
    }

    /// Keeps room on holders of their images for as many tasks of services as came lately in the time
    /// that room takes to fall free. A service that finds none waits for a fetch, and batch work
    /// takes whatever is free.
    fn reserve(&self, share: u32, spots: &mut [Spot]) {
        let window = Micros::from_millis(self.policy.reserve_window_ms);
        let part = self.policy.reserve_ms as f64 / self.policy.reserve_window_ms as f64;
        let mut wanted: BTreeMap<&str, (f64, Room)> = BTreeMap::new();
        for job in self.jobs.values().filter(|j| j.share == share && j.spec.kind == Kind::Service) {
            if self.clock.wall.since(job.accepted) < window {
                let entry = wanted.entry(&job.spec.image).or_default();
                *entry = (entry.0 + f64::from(job.spec.tasks) * part, job.room);
            }
        }
        for (image, (tasks, room)) in wanted {
            let mut left = tasks.round() as u32;
            for spot in spots.iter_mut() {
                if left == 0 {
                    break;
                }
                let with_it = spot.reserved.plus(&room);
                if with_it.fits_in(&spot.free) && self.machines.get(&spot.id).is_some_and(|m| m.holds(image)) {
                    spot.reserved = with_it;
                    left -= 1;
                }
            }
        }
    }

    fn spots_of(&self, share: u32) -> Vec<Spot> {
        let now = self.now();
        let recent = Micros::from_secs_f64(self.platform.deployment.workers.report_s * 1.7);
        let pause = Micros::from_millis(self.policy.retry_max_ms);
        let unreported = self.unreported_span();
        let mut spots: Vec<Spot> = self
            .replica
            .machines
            .iter()
            .filter(|(_, r)| r.value.share == share && r.value.hold.is_none())
            .filter(|(id, _)| !self.is_cleared(id))
            .filter_map(|(id, record)| {
                let machine = self.machines.get(id)?;
                let heard = now.since(machine.heard) <= recent && !machine.is_unreported(now, unreported);
                if !machine.term_confirmed || machine.notice || !heard || !machine.trusted() {
                    return None;
                }
                Some(Spot {
                    id: id.clone(),
                    machine_type: record.value.machine_type.clone(),
                    zone: record.value.zone.clone(),
                    spot: record.value.spot,
                    free: self.free_room(id),
                    reserved: Room::default(),
                    session: machine.session,
                    failed_here: machine.failed_jobs(now, pause).cloned().collect(),
                })
            })
            .collect();
        self.reserve(share, &mut spots);
        spots
    }

    fn place_job(&mut self, id: &JobId, field: &mut Field) {
        let Some(job) = self.jobs.get(id) else { return };
        let share = job.share;
        if job.locked || !job.recorded || job.over.is_some() || self.held(Role::Share(share)).is_none() {
            return;
        }
        let gang = job.spec.kind == Kind::Gang;
        let mut spots = field.spots.remove(&share).unwrap_or_else(|| self.spots_of(share));
        if gang {
            self.place_gang(id, &mut spots);
        } else {
            self.place_tasks(id, &mut spots);
        }
        field.spots.insert(share, spots);
    }

    fn place_tasks(&mut self, id: &JobId, spots: &mut [Spot]) {
        let now = self.now();
        let Some(job) = self.jobs.get(id) else { return };
        let begins = job.spec.kind == Kind::Array && self.is_overdue(job);
        let mut search = Search { zone: None, avoid_failed: true };
        let mut choices = self.choices(id, job, spots, search);
        if choices.at.is_empty() {
            search.avoid_failed = false;
            choices = self.choices(id, job, spots, search);
        }
        // Locked jobs are left alone while a transaction is on its way, so one takes all it can.
        loop {
            let Some(job) = self.jobs.get(id) else { return };
            if !job.may_start(now) {
                return;
            }
            let next = job.next_task(now, self.chunk_tasks, |chunk| self.chunk_has_room(id, job, chunk));
            let Some(task) = next else {
                if let Some(job) = self.jobs.get_mut(id) {
                    job.blocked = job.waiting() > 0;
                }
                return;
            };
            if !self.within_limit(job) {
                return;
            }
            let Some(chosen) = self.chosen(job, &choices) else {
                self.make_room(id, spots);
                return;
            };
            let at = choices.at[chosen];
            self.decide_start(id, task, &mut spots[at]);
            if begins {
                // It has begun; the rest comes in its turn.
                return;
            }
            self.choose_again(id, spots, &mut choices, chosen, search);
        }
    }

    /// Step 6: all tasks in one pass or none.
    fn place_gang(&mut self, id: &JobId, spots: &mut [Spot]) {
        let Some(job) = self.jobs.get(id) else { return };
        let named = |chunk| self.chunk_has_room(id, job, chunk);
        if !job.live.is_empty() || job.waiting() < job.spec.tasks || !named(0) || !job.may_start(self.now()) {
            return;
        }
        let tasks = job.spec.tasks;
        let mut zones: Vec<Option<String>> = vec![None];
        if job.spec.one_zone {
            let mut names: Vec<String> = spots.iter().map(|s| s.zone.clone()).collect();
            names.sort();
            names.dedup();
            zones = names.into_iter().map(Some).collect();
        }
        let searches = |avoid_failed| zones.iter().map(move |zone| Search { zone: zone.as_deref(), avoid_failed });
        for search in searches(true).chain(searches(false)) {
            let before: Vec<Room> = spots.iter().map(|s| s.free).collect();
            let mut placed = Vec::new();
            let Some(job) = self.jobs.get(id) else { return };
            let mut choices = self.choices(id, job, spots, search);
            for task in 0..tasks {
                let Some(job) = self.jobs.get(id) else { return };
                if !self.within_limit(job) {
                    break;
                }
                let Some(chosen) = self.chosen(job, &choices) else { break };
                let at = choices.at[chosen];
                self.decide_start(id, task, &mut spots[at]);
                self.choose_again(id, spots, &mut choices, chosen, search);
                placed.push(task);
            }
            if placed.len() == tasks as usize {
                return;
            }
            for task in placed {
                self.withdraw_start(id, task);
            }
            for (spot, free) in spots.iter_mut().zip(before) {
                spot.free = free;
            }
        }
        self.make_room(id, spots);
    }

    /// Every start not proven gone counts, inherited ones too.
    fn within_limit(&self, job: &Job) -> bool {
        let Some(team) = job.spec.team.as_ref().and_then(|name| self.platform.deployment.team(name)) else {
            return true;
        };
        let limit = Room::new(team.cpus_max, team.gpus_max, 0.0);
        let next = self.usage.used_by(&team.name).plus(&job.room);
        (limit.cpus == 0 || next.cpus <= limit.cpus) && (limit.gpus == 0 || next.gpus <= limit.gpus)
    }

    /// Machines that the job's own conditions allow for one more task.
    pub(super) fn allowance<'a>(&self, job: &'a Job, zone: Option<&'a str>) -> Allowance<'a> {
        let spec = &*job.spec;
        let mut per_zone: BTreeMap<String, u32> = BTreeMap::new();
        if spec.one_zone || spec.spread {
            // Every start in the stored records counts, also those saving or out of reach.
            for live in job.live.values().filter(|l| l.occupies()) {
                if let Some(record) = self.replica.machines.get(live.machine()) {
                    *per_zone.entry(record.value.zone.clone()).or_default() += 1;
                }
            }
        }
        Allowance { spec, zone, per_zone }
    }

    fn choices(&self, id: &JobId, job: &Job, spots: &[Spot], search: Search) -> Choices {
        let allowance = self.allowance(job, search.zone);
        let mut choices = Choices { at: Vec::new(), candidates: Vec::new() };
        for (i, spot) in spots.iter().enumerate() {
            let avoided = search.avoid_failed && job.failures.failed_on(&spot.id);
            if spot.takes(job) && allowance.allows(spot) && !spot.failed_here.contains(id) && !avoided {
                choices.at.push(i);
                choices.candidates.push(self.candidate(job, spot));
            }
        }
        choices
    }

    /// After a task was placed: its machine has less room, and the job's own conditions may have
    /// closed a zone.
    fn choose_again(&self, id: &JobId, spots: &[Spot], choices: &mut Choices, chosen: usize, search: Search) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.spec.one_zone || job.spec.spread {
            *choices = self.choices(id, job, spots, search);
            return;
        }
        let spot = &spots[choices.at[chosen]];
        if spot.takes(job) {
            choices.candidates[chosen] = self.candidate(job, spot);
        } else {
            choices.at.swap_remove(chosen);
            choices.candidates.swap_remove(chosen);
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
        let now = self.now();
        let image = job.spec.image.as_str();
        // Among equals the tightest fit, so that machines fall free as a whole.
        let tie = (spot.free.cpus, spot.free.memory);
        let Some(machine) = self.machines.get(&spot.id) else {
            return Candidate { ready: Micros(u64::MAX), holds: false, tie };
        };
        if machine.holds(image) {
            return Candidate { ready: Micros::ZERO, holds: true, tie };
        }
        let rate = machine.rate.unwrap_or(self.policy.start_fetch_mb_per_s).max(0.001);
        let mut ready = Micros::ZERO;
        let mut pending: Vec<(&str, f64)> = Vec::new();
        for fetch in &machine.fetches {
            let left = fetch.megabytes - now.since(fetch.since).secs() * rate;
            pending.push((&fetch.image, left.max(0.0)));
        }
        // Starts decided or told, whose fetch has not shown up in a report yet.
        for (id, task) in self.usage.placed(&spot.id).into_iter().flat_map(|p| &p.starts) {
            let Some(other) = self.jobs.get(id) else { continue };
            let waits = other.live.get(*task).is_some_and(|l| matches!(l.phase(), Phase::Decided | Phase::Recorded));
            let other_image = other.spec.image.as_str();
            if waits && !machine.holds(other_image) && !pending.iter().any(|(i, _)| *i == other_image) {
                pending.push((other_image, other.spec.image_gb * 1000.0));
            }
        }
        if !pending.iter().any(|(i, _)| *i == image) {
            pending.push((image, job.spec.image_gb * 1000.0));
        }
        for (pending_image, megabytes) in pending {
            ready = ready + Micros::from_secs_f64(megabytes / rate);
            if pending_image == image {
                break;
            }
        }
        Candidate { ready, holds: false, tie }
    }

    fn decide_start(&mut self, id: &JobId, task: u32, spot: &mut Spot) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.take_task(task);
        job.not_before.remove(&task);
        let live = Start::new(0, spot.id.clone(), spot.session, Phase::Decided);
        job.live.insert(task, live, &mut self.usage);
        spot.free = spot.free.minus(&job.room);
        if let Some(machine) = self.machines.get_mut(&spot.id) {
            machine.free_since = None;
        }
    }

    fn withdraw_start(&mut self, id: &JobId, task: u32) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if let Some(live) = job.live.remove(task, &mut self.usage) {
            job.redo.insert(task);
            self.machine_freed(live.machine());
        }
    }
}
