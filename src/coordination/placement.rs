//! Which machine a task goes to: steps 1 to 6 of the design, after DataHelix's deadline-aware
//! placement with image caches standing in for its locality.

use super::Core;
use super::jobs::{Job, Live, Phase};
use crate::bookkeeping::schema::Seat;
use crate::protocol::user::{Kind, Priority};
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

/// What making room on a machine costs: a fetch first, then the time lost.
type Loss = (bool, u64);

/// A machine of one share as this round sees it.
struct Spot {
    id: MachineId,
    machine_type: String,
    zone: String,
    spot: bool,
    free: Room,
    session: u64,
    failed_here: Vec<JobId>,
}

/// One pass over the jobs keeps these from round to round.
#[derive(Default)]
struct Field {
    spots: HashMap<u32, Vec<Spot>>,
    team_used: HashMap<String, Room>,
}

impl Core {
    /// Looks at waiting jobs in order until the time is up; the next round goes on from there.
    pub(super) fn place(&mut self, time_left: &mut dyn FnMut() -> bool) {
        if self.pass.is_empty() {
            if !self.pass_wanted {
                return;
            }
            self.pass_wanted = false;
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
    fn turn(&self, job: &Job) -> Micros {
        if let Some(deadline) = job.spec.deadline_s {
            return job.accepted + Micros::from_secs_f64(deadline);
        }
        let left = f64::from(job.spec.tasks.saturating_sub(job.done)) * job.spec.cpus * job.spec.estimate_s;
        job.accepted + Micros::from_secs_f64(left * self.policy.wait_per_cpu_second_ms as f64 / 1000.0)
    }

    /// Jobs of our shares that wait for a place: by priority, then those within their team's
    /// guarantee, then by turn.
    fn waiting_in_order(&self) -> Vec<JobId> {
        let mut waiting: Vec<_> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.recorded && !j.locked && j.waiting() > 0 && self.held(Seat::Share(j.share)).is_some())
            .map(|(id, job)| {
                let within = self.within_guarantee(job);
                ((std::cmp::Reverse(job.spec.priority), !within, self.turn(job), job.accepted), id.clone())
            })
            .collect();
        waiting.sort();
        waiting.into_iter().map(|(_, id)| id).collect()
    }

    fn team_use(&self, team: &str) -> Room {
        let mut used = Room::default();
        for job in self.jobs.values().filter(|j| j.spec.team.as_deref() == Some(team)) {
            let n = job.live.values().filter(|l| l.phase.occupies()).count() as u64;
            used = used.plus(&job.room.times(n));
        }
        used
    }

    fn within_guarantee(&self, job: &Job) -> bool {
        let Some(team) = job.spec.team.as_ref().and_then(|name| self.platform.deployment.team(name)) else {
            return false;
        };
        let guaranteed = Room::new(team.cpus, team.gpus, 0.0);
        let used = self.team_use(&team.name).plus(&job.room);
        used.cpus <= guaranteed.cpus && used.gpus <= guaranteed.gpus
    }

    fn spots_of(&self, share: u32) -> Vec<Spot> {
        let now = self.now();
        let recent = Micros::from_secs_f64(self.platform.deployment.workers.report_s * 1.7);
        let pause = Micros::from_millis(self.policy.retry_max_ms);
        self.replica
            .machines
            .iter()
            .filter(|(_, r)| r.value.share == share && r.value.hold.is_none())
            .filter_map(|(id, record)| {
                let machine = self.machines.get(id)?;
                if !machine.fenced || machine.notice || now.since(machine.heard) > recent || !machine.trusted() {
                    return None;
                }
                Some(Spot {
                    id: id.clone(),
                    machine_type: record.value.machine_type.clone(),
                    zone: record.value.zone.clone(),
                    spot: record.value.spot,
                    free: self.free_room(id),
                    session: machine.session,
                    failed_here: machine.failed_jobs(now, pause).cloned().collect(),
                })
            })
            .collect()
    }

    fn place_job(&mut self, id: &JobId, field: &mut Field) {
        let Some(job) = self.jobs.get(id) else { return };
        let share = job.share;
        if job.locked || !job.recorded || job.over.is_some() || self.held(Seat::Share(share)).is_none() {
            return;
        }
        let mut spots = field.spots.remove(&share).unwrap_or_else(|| self.spots_of(share));
        let mut used = match &job.spec.team {
            Some(team) => field.team_used.get(team).copied().unwrap_or_else(|| self.team_use(team)),
            None => Room::default(),
        };
        if job.spec.kind == Kind::Gang {
            self.place_gang(id, &mut spots, &mut used);
        } else {
            self.place_tasks(id, &mut spots, &mut used);
        }
        if let Some(team) = self.jobs.get(id).and_then(|j| j.spec.team.clone()) {
            field.team_used.insert(team, used);
        }
        field.spots.insert(share, spots);
    }

    fn place_tasks(&mut self, id: &JobId, spots: &mut [Spot], used: &mut Room) {
        let now = self.now();
        // Locked jobs are left alone while a transaction is on its way, so one takes all it can.
        loop {
            let Some(job) = self.jobs.get(id) else { return };
            let Some(task) = job.next_task(now) else { return };
            if !self.within_limit(job, used) {
                return;
            }
            let Some(at) = self.best_spot(id, job, spots, None) else {
                self.make_room(id, spots);
                return;
            };
            self.propose(id, task, &mut spots[at], used);
        }
    }

    /// Step 6: all tasks in one pass or none.
    fn place_gang(&mut self, id: &JobId, spots: &mut [Spot], used: &mut Room) {
        let Some(job) = self.jobs.get(id) else { return };
        if !job.live.is_empty() || job.waiting() < job.spec.tasks {
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
        for zone in zones {
            let before: Vec<Room> = spots.iter().map(|s| s.free).collect();
            let used_before = *used;
            let mut placed = Vec::new();
            for task in 0..tasks {
                let Some(job) = self.jobs.get(id) else { return };
                if !self.within_limit(job, used) {
                    break;
                }
                let Some(at) = self.best_spot(id, job, spots, zone.as_deref()) else { break };
                self.propose(id, task, &mut spots[at], used);
                placed.push(task);
            }
            if placed.len() == tasks as usize {
                return;
            }
            for task in placed {
                self.withdraw_proposal(id, task);
            }
            for (spot, free) in spots.iter_mut().zip(before) {
                spot.free = free;
            }
            *used = used_before;
        }
        self.make_room(id, spots);
    }

    fn within_limit(&self, job: &Job, used: &Room) -> bool {
        let Some(team) = job.spec.team.as_ref().and_then(|name| self.platform.deployment.team(name)) else {
            return true;
        };
        let limit = Room::new(team.cpus_max, team.gpus_max, 0.0);
        let next = used.plus(&job.room);
        (limit.cpus == 0 || next.cpus <= limit.cpus) && (limit.gpus == 0 || next.gpus <= limit.gpus)
    }

    /// Machines that the job's own conditions allow for one more task.
    fn allowed<'a>(&self, job: &'a Job, zone: Option<&'a str>) -> impl Fn(&Spot) -> bool + 'a {
        // Every start in the books counts, also those saving or out of reach.
        let mut per_zone: BTreeMap<String, u32> = BTreeMap::new();
        for live in job.live.values().filter(|l| l.phase.occupies()) {
            if let Some(record) = self.replica.machines.get(&live.machine) {
                *per_zone.entry(record.value.zone.clone()).or_default() += 1;
            }
        }
        let most = job.spec.tasks.div_ceil(2);
        let spec = &job.spec;
        move |s: &Spot| {
            spec.types.as_ref().is_none_or(|t| t.contains(&s.machine_type))
                && spec.zone.as_ref().is_none_or(|z| *z == s.zone)
                && (spec.spot || !s.spot)
                && zone.is_none_or(|z| z == s.zone)
                && (!spec.one_zone || per_zone.keys().all(|z| *z == s.zone))
                && (!spec.spread || per_zone.get(&s.zone).copied().unwrap_or(0) < most)
        }
    }

    fn best_spot(&self, id: &JobId, job: &Job, spots: &[Spot], zone: Option<&str>) -> Option<usize> {
        let allowed = self.allowed(job, zone);
        let mut at = Vec::new();
        let mut candidates = Vec::new();
        for (i, spot) in spots.iter().enumerate() {
            if !job.room.fits_in(&spot.free) || spot.failed_here.contains(id) || !allowed(spot) {
                continue;
            }
            at.push(i);
            candidates.push(self.candidate(job, spot));
        }
        let now = self.clock.wall;
        let default_slack = Micros::from_millis(self.policy.default_slack_ms);
        let slack = match job.spec.deadline_s {
            Some(d) => (job.accepted + Micros::from_secs_f64(d)).since(now + job.spec.estimate()),
            None => default_slack,
        };
        let margin = Micros::from_millis(self.policy.holder_margin_ms);
        choose(&candidates, slack, margin).map(|c| at[c])
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
        for (id, task) in &machine.starts {
            let Some(other) = self.jobs.get(id) else { continue };
            let waits = other.live.get(task).is_some_and(|l| matches!(l.phase, Phase::Proposed | Phase::Recorded));
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

    fn propose(&mut self, id: &JobId, task: u32, spot: &mut Spot, used: &mut Room) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.take_task(task);
        job.not_before.remove(&task);
        job.live.insert(
            task,
            Live {
                attempt: 0,
                machine: spot.id.clone(),
                session: spot.session,
                phase: Phase::Proposed,
                stop: None,
                sent: false,
                seq: 0,
                running_since: None,
            },
        );
        spot.free = spot.free.minus(&job.room);
        *used = used.plus(&job.room);
        if let Some(machine) = self.machines.get_mut(&spot.id) {
            machine.starts.insert((id.clone(), task));
            machine.free_since = None;
        }
    }

    fn withdraw_proposal(&mut self, id: &JobId, task: u32) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if let Some(live) = job.live.remove(&task) {
            job.redo.insert(task);
            if let Some(machine) = self.machines.get_mut(&live.machine) {
                machine.starts.remove(&(id.clone(), task));
            }
            self.machine_freed(&live.machine);
        }
    }

    /// Stops lower work where that lets one task of a more urgent job in.
    fn make_room(&mut self, id: &JobId, spots: &[Spot]) {
        let now = self.now();
        let Some(job) = self.jobs.get(id) else { return };
        if job.spec.priority <= Priority::Normal || now < job.preempting_until || job.spec.kind == Kind::Gang {
            return;
        }
        let allowed = self.allowed(job, None);
        let mut best: Option<(Loss, Vec<(JobId, u32)>)> = None;
        for spot in spots.iter().filter(|s| allowed(s) && !s.failed_here.contains(id)) {
            let Some(machine) = self.machines.get(&spot.id) else { continue };
            // The youngest work goes first: least is lost.
            let mut victims: Vec<(Micros, JobId, u32, Room)> = machine
                .starts
                .iter()
                .filter_map(|(other, task)| {
                    let victim = self.jobs.get(other)?;
                    let live = victim.live.get(task)?;
                    let lower = victim.spec.priority < job.spec.priority && victim.spec.kind == Kind::Array;
                    let stoppable = live.phase.on_machine() && live.stop.is_none();
                    let began = live.running_since.unwrap_or(now);
                    (lower && stoppable).then(|| (now.since(began), other.clone(), *task, victim.room))
                })
                .collect();
            victims.sort();
            let mut free = spot.free;
            let mut chosen = Vec::new();
            let mut lost = 0;
            for (ran, other, task, room) in victims {
                if job.room.fits_in(&free) {
                    break;
                }
                free = free.plus(&room);
                lost += ran.0 + 1;
                chosen.push((other, task));
            }
            let rank = (!machine.holds(&job.spec.image), lost);
            if job.room.fits_in(&free) && best.as_ref().is_none_or(|(r, _)| rank < *r) {
                best = Some((rank, chosen));
            }
        }
        drop(allowed);
        let Some((_, victims)) = best else { return };
        if let Some(job) = self.jobs.get_mut(id) {
            job.preempting_until = now + Micros::from_millis(1000);
        }
        let grace = self.policy.stop_grace_s;
        for (other, task) in victims {
            let Some(victim) = self.jobs.get_mut(&other) else { continue };
            let stop = if victim.spec.checkpoint_s > 0.0 { grace } else { 0.0 };
            if let Some(live) = victim.live.get_mut(&task) {
                live.stop = Some(stop);
                tracing::debug!(job = %other, task, machine = %live.machine, "makes room");
                let machine = live.machine.clone();
                self.want_push(&machine);
            }
        }
    }
}
