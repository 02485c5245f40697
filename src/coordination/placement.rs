//! Which machine a task goes to: steps 1 to 6 of the design, after DataHelix's deadline-aware
//! placement with image caches standing in for its locality.

use super::Core;
use super::jobs::Job;
use super::machines::Machine;
use super::usage::{Phase, Start};
use super::zones::ZoneStart;
use crate::bookkeeping::schema::Role;
use crate::protocol::user::{JobSpec, Kind, Priority};
use crate::units::{JobId, MachineId, Micros, Room};
use burlhatch_zones::fetches::FetchQueues;
use std::collections::{BTreeMap, BTreeSet, HashMap};

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
    /// Its zone came back a short while ago and gets work step by step.
    is_returning: bool,
    /// Images that wait to be fetched there; counted only while fetches are limited.
    fetches: u32,
}

/// The machines of one share that take work, as one pass over the jobs sees them.
struct ShareView {
    spots: Vec<Spot>,
    /// Fetches in each zone, while they are limited.
    fetch_queues: Option<FetchQueues>,
    /// Zones that have failed too often lately.
    distrusted: BTreeSet<String>,
}

impl ShareView {
    /// What placing a task changes, so that a gang that does not fit leaves nothing behind.
    fn save(&self) -> SavedView {
        let spots = self.spots.iter().map(|spot| (spot.free, spot.fetches)).collect();
        SavedView { spots, fetch_queues: self.fetch_queues.clone() }
    }

    fn restore(&mut self, saved: SavedView) {
        for (spot, (free, fetches)) in self.spots.iter_mut().zip(saved.spots) {
            (spot.free, spot.fetches) = (free, fetches);
        }
        self.fetch_queues = saved.fetch_queues;
    }
}

struct SavedView {
    spots: Vec<(Room, u32)>,
    fetch_queues: Option<FetchQueues>,
}

/// One pass over the jobs keeps these from job to job.
#[derive(Default)]
struct Field {
    shares: HashMap<u32, ShareView>,
}

impl Spot {
    /// Room that nothing is kept free of.
    pub fn unreserved(&self) -> Room {
        self.free.minus(&self.reserved)
    }

    /// Keeps room free of batch work.
    pub fn reserve(&mut self, room: &Room) {
        self.reserved = self.reserved.plus(room);
    }

    /// Forgets all that was to be kept free.
    pub fn clear_reserved(&mut self) {
        self.reserved = Room::default();
    }

    fn takes(&self, job: &Job) -> bool {
        if job.spec.priority > Priority::Normal {
            return job.room.fits_in(&self.free);
        }
        job.room.fits_in(&self.unreserved())
    }
}

/// What a job's own conditions allow for one more task, given where its others are.
pub(super) struct Allowance<'a> {
    spec: &'a JobSpec,
    zone: Option<&'a str>,
    pub per_zone: BTreeMap<String, u32>,
}

impl Allowance<'_> {
    /// Whether it may go to a machine.
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
    /// Zones that had better not be used.
    avoided_zones: &'a BTreeSet<String>,
    /// Not where tasks of it have failed since it last succeeded. A gang that never gets past one faulty machine fails
    /// on no other, so nothing else would tell the two apart.
    avoid_failed: bool,
}

/// An image that a machine has still to fetch.
struct PendingFetch<'a> {
    image: &'a str,
    megabytes: f64,
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
        let waiting: Vec<JobId> = waiting.into_iter().map(|(_, id)| id).collect();
        if self.is_restoring() { self.in_restoration_order(&waiting) } else { waiting }
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

    /// Machines of a share that take work now.
    pub(super) fn spots_of(&self, share: u32) -> Vec<Spot> {
        let now = self.now();
        let recent = Micros::from_secs_f64(self.platform.deployment.workers.report_s * 1.7);
        let pause = Micros::from_millis(self.policy.retry_max_ms);
        let unreported = self.unreported_span();
        let mut spots: Vec<Spot> = self
            .replica
            .machines
            .iter()
            .filter(|(_, r)| r.value.share == share && r.value.hold.is_none())
            .filter(|(id, r)| !self.is_cleared(id) && self.zone_takes_work(&r.value.zone))
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
                    is_returning: self.zone_is_returning(&record.value.zone),
                    fetches: 0,
                })
            })
            .collect();
        self.reserve(share, &mut spots);
        spots
    }

    fn view_of(&mut self, share: u32) -> ShareView {
        let mut spots = self.spots_of(share);
        if !self.judges_zones() {
            return ShareView { spots, fetch_queues: None, distrusted: BTreeSet::new() };
        }
        self.reserve_displaced(share, &mut spots);
        let fetch_queues = self.is_restoring().then(|| self.count_fetches(&mut spots));
        let distrusted = self.distrusted_zones(&spots);
        ShareView { spots, fetch_queues, distrusted }
    }

    fn count_fetches(&self, spots: &mut [Spot]) -> FetchQueues {
        let mut queues = FetchQueues::default();
        for spot in spots {
            spot.fetches =
                self.machines.get(&spot.id).map_or(0, |m| self.pending_fetches(&spot.id, m, 0.0).len() as u32);
            queues.add(&spot.zone, spot.fetches);
        }
        queues
    }

    fn place_job(&mut self, id: &JobId, field: &mut Field) {
        let Some(job) = self.jobs.get(id) else { return };
        let share = job.share;
        if job.locked || !job.recorded || job.over.is_some() || self.held(Role::Share(share)).is_none() {
            return;
        }
        let gang = job.spec.kind == Kind::Gang;
        let mut view = field.shares.remove(&share).unwrap_or_else(|| self.view_of(share));
        if gang {
            self.place_gang(id, &mut view);
        } else {
            self.place_tasks(id, &mut view);
        }
        field.shares.insert(share, view);
    }

    fn place_tasks(&mut self, id: &JobId, view: &mut ShareView) {
        let now = self.now();
        let Some(job) = self.jobs.get(id) else { return };
        let begins = job.spec.kind == Kind::Array && (self.is_overdue(job) || self.is_starved_in_restoration(id));
        let none = BTreeSet::new();
        let avoided_zones = self.zones_to_avoid(id, job, &view.distrusted);
        let mut search = Search { zone: None, avoided_zones: &avoided_zones, avoid_failed: true };
        let mut choices = self.choices(id, job, view, search);
        if choices.at.is_empty() && !avoided_zones.is_empty() && self.gives_up_avoiding(id) {
            search.avoided_zones = &none;
        }
        if choices.at.is_empty() {
            let Some(job) = self.jobs.get(id) else { return };
            search.avoid_failed = false;
            choices = self.choices(id, job, view, search);
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
    fn place_gang(&mut self, id: &JobId, view: &mut ShareView) {
        let Some(job) = self.jobs.get(id) else { return };
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
            let Some(job) = self.jobs.get(id) else { return };
            let mut choices = self.choices(id, job, view, search);
            for task in 0..tasks {
                let Some(job) = self.jobs.get(id) else { return };
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

    /// The same for a task whose job's others may be in lost zones, from which they are to go.
    pub(super) fn allowance_beyond_lost_zones<'a>(&self, job: &'a Job) -> Allowance<'a> {
        let mut allowance = self.allowance(job, None);
        allowance.per_zone.retain(|zone, _| self.zone_takes_work(zone));
        allowance
    }

    fn choices(&self, id: &JobId, job: &Job, view: &ShareView, search: Search) -> Choices {
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

    /// Whether a zone that returns takes one more start, and a machine one more fetch while these are limited.
    fn is_admitted(&self, job: &Job, spot: &Spot, view: &ShareView) -> bool {
        if spot.is_returning && !self.zone_admits_start(&spot.zone) {
            return false;
        }
        let Some(queues) = &view.fetch_queues else { return true };
        !self.adds_fetch(job, spot) || queues.admits(&spot.zone, spot.fetches, &self.policy.zones)
    }

    /// Whether a task started there would have one more image fetched.
    fn adds_fetch(&self, job: &Job, spot: &Spot) -> bool {
        let image = job.spec.image.as_str();
        let Some(machine) = self.machines.get(&spot.id) else { return true };
        let is_pending = || self.pending_fetches(&spot.id, machine, 0.0).iter().any(|fetch| fetch.image == image);
        !machine.holds(image) && !is_pending()
    }

    /// After a task was placed: its machine has less room, and the job's own conditions may have
    /// closed a zone.
    fn choose_again(&self, id: &JobId, view: &ShareView, choices: &mut Choices, chosen: usize, search: Search) {
        let Some(job) = self.jobs.get(id) else { return };
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

    /// Whether a whole zone takes no more starts, or no more fetches, in this pass.
    fn is_zone_exhausted(&self, spot: &Spot, view: &ShareView) -> bool {
        let no_starts = spot.is_returning && !self.zone_admits_start(&spot.zone);
        let no_fetches = || view.fetch_queues.as_ref().is_some_and(|q| !q.zone_admits(&spot.zone, &self.policy.zones));
        no_starts || no_fetches()
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
        let Some(machine) = self.machines.get(&spot.id) else {
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
    fn pending_fetches<'a>(&'a self, id: &MachineId, machine: &'a Machine, rate: f64) -> Vec<PendingFetch<'a>> {
        let now = self.now();
        let mut pending: Vec<PendingFetch> = Vec::new();
        for fetch in &machine.fetches {
            let left = fetch.megabytes - now.since(fetch.since).secs() * rate;
            pending.push(PendingFetch { image: &fetch.image, megabytes: left.max(0.0) });
        }
        // Starts decided or told, whose fetch has not shown up in a report yet.
        for (id, task) in self.usage.placed(id).into_iter().flat_map(|p| &p.starts) {
            let Some(other) = self.jobs.get(id) else { continue };
            let waits = other.live.get(*task).is_some_and(|l| matches!(l.phase(), Phase::Decided | Phase::Recorded));
            let image = other.spec.image.as_str();
            if waits && !machine.holds(image) && !pending.iter().any(|fetch| fetch.image == image) {
                pending.push(PendingFetch { image, megabytes: other.spec.image_gb * 1000.0 });
            }
        }
        pending
    }

    fn decide_start(&mut self, id: &JobId, task: u32, view: &mut ShareView, at: usize) {
        let spot = &mut view.spots[at];
        if let Some(queues) = &mut view.fetch_queues
            && self.jobs.get(id).is_some_and(|job| self.adds_fetch(job, spot))
        {
            spot.fetches += 1;
            queues.add(&spot.zone, 1);
        }
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.take_task(task);
        job.not_before.remove(&task);
        let live = Start::new(0, spot.id.clone(), spot.session, Phase::Decided);
        job.live.insert(task, live, &mut self.usage);
        spot.free = spot.free.minus(&job.room);
        if let Some(machine) = self.machines.get_mut(&spot.id) {
            machine.free_since = None;
        }
        self.zone_control.avoiding_since.remove(id);
        self.note_zone_start(&view.spots[at].id, ZoneStart::Decided);
    }

    fn withdraw_start(&mut self, id: &JobId, task: u32) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if let Some(live) = job.live.remove(task, &mut self.usage) {
            job.redo.insert(task);
            self.machine_freed(live.machine());
            self.note_zone_start(live.machine(), ZoneStart::Withdrawn);
        }
    }
}
