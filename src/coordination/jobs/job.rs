//! Jobs and their starts, kept in line with the replica and with what machines report.

use crate::coordination::Controller;
use crate::coordination::jobs::cancellation_log::AbsenceProof;
use crate::coordination::jobs::dependency_graph::Urgency;
use crate::coordination::jobs::failures::{Failure, FailureHistory};
use crate::coordination::jobs::usage::{JobStarts, Phase, Start, Usage};
use crate::coordination::zones::zone_control::ZoneStart;
use crate::protocol::user::{JobKind, JobSpec, Priority};
use crate::protocol::worker::ExitCause;
use crate::storage::schema::{JobRecord, Outcome, RunChunk};
use crate::types::{JobId, MachineId, Micros, Resources};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::sync::Arc;

/// A start that a worker refused is tried again after this.
const REFUSED_PAUSE: Micros = Micros::from_millis(500);

pub(crate) struct Job {
    pub spec: Arc<JobSpec>,
    pub accepted: Micros,
    pub resources: Resources,
    pub shard: u32,
    pub live: JobStarts,
    /// Seen done, not yet in the stored records.
    pub done_unrecorded: BTreeSet<u32>,
    pub done: u32,
    /// Tasks from here on were never started.
    pub fresh_from: u32,
    /// Tasks before that which need another start.
    pub redo: BTreeSet<u32>,
    pub not_before: BTreeMap<u32, Micros>,
    pub failures: FailureHistory,
    /// A transaction on it is on its way.
    pub locked: bool,
    /// Since when something waits to be taken out of the stored records.
    pub dirty_since: Option<Micros>,
    /// Since when the stored records lack that tasks are done.
    pub progress_since: Option<Micros>,
    pub over: Option<Outcome>,
    pub recorded: bool,
    pub preempting_until: Micros,
    /// It waits for other jobs, and nothing of it may start.
    pub held: bool,
    /// Time of day from which it could start: when it was accepted, or the last job it waited for was done.
    pub ready: Micros,
    /// Its own, or that of jobs which need it.
    pub urgency: Urgency,
    /// Tasks of it wait although there may be room, as its chunks can name no more starts.
    pub blocked: bool,
    /// Its records are larger than may be written; looked at again then.
    pub too_large_until: Micros,
}

impl Job {
    fn new(id: &JobId, record: &JobRecord, shard: u32) -> Job {
        Job {
            spec: Arc::new(record.spec.clone()),
            accepted: record.accepted_at,
            resources: record.spec.resources(),
            shard,
            live: JobStarts::new(id.clone(), &record.spec),
            done_unrecorded: BTreeSet::new(),
            done: 0,
            fresh_from: 0,
            redo: BTreeSet::new(),
            not_before: BTreeMap::new(),
            failures: FailureHistory::default(),
            locked: false,
            dirty_since: None,
            progress_since: None,
            over: None,
            recorded: true,
            preempting_until: Micros::ZERO,
            held: false,
            ready: record.accepted_at,
            urgency: record.urgency(),
            blocked: false,
            too_large_until: Micros::ZERO,
        }
    }

    /// Tasks done and running, for display.
    pub fn counts(&self) -> (u32, u32) {
        (self.done, self.live.occupying() - self.live.decided())
    }

    pub fn waiting(&self) -> u32 {
        if self.over.is_some() || self.held {
            0
        } else {
            self.spec.tasks - self.fresh_from.min(self.spec.tasks) + self.redo.len() as u32
        }
    }

    /// Whether it fails wherever it runs, as far as is known: nothing is done for it at others' cost.
    pub fn is_failing(&self) -> bool {
        self.done == 0 && self.failures.is_failing()
    }

    /// Whether one more of its tasks may be started.
    pub fn may_start(&self, now: Micros) -> bool {
        !self.is_failing() || self.failures.may_start(&self.live, now)
    }

    /// Whether a task is done, recorded or not.
    pub fn is_task_done(&self, task: u32, chunk: Option<&RunChunk>) -> bool {
        self.done_unrecorded.contains(&task) || chunk.is_some_and(|chunk| chunk.is_done(task))
    }

    /// Next task that may start now, those that failed after all others. `has_capacity` says whether a chunk of the stored records can name one more start.
    pub fn next_task(&self, now: Micros, chunk_tasks: u32, has_capacity: impl Fn(u32) -> bool) -> Option<u32> {
        if self.held {
            return None;
        }
        let mut full = None;
        let mut fits = |task: u32| {
            let chunk = task / chunk_tasks;
            if full == Some(chunk) {
                return false;
            }
            let fits = has_capacity(chunk);
            full = if fits { full } else { Some(chunk) };
            fits
        };
        let ripe = |t: &u32| self.not_before.get(t).is_none_or(|at| *at <= now);
        let mut again = |failed: bool| {
            let tasks = self.redo.iter().copied().filter(|t| self.failures.has_failed(*t) == failed);
            tasks.filter(ripe).find(|t| fits(*t))
        };
        // Where a chunk is full the next one's tasks go first; those left out come in their turn.
        let fresh = || {
            let rest = self.fresh_from / chunk_tasks..self.spec.tasks.div_ceil(chunk_tasks);
            let chunk = rest.into_iter().find(|chunk| has_capacity(*chunk))?;
            Some(self.fresh_from.max(chunk * chunk_tasks))
        };
        let untried = again(false).or_else(|| if self.fresh_from < self.spec.tasks { fresh() } else { None });
        untried.or_else(|| again(true))
    }

    pub fn take_task(&mut self, task: u32) {
        if task >= self.fresh_from {
            self.redo.extend(self.fresh_from..task);
            self.fresh_from = task + 1;
        } else {
            self.redo.remove(&task);
        }
    }

    /// A gang completes as a whole: one task done means that all are, also those whose machine was
    /// lost before it could say so.
    pub fn gang_done(&self) -> bool {
        self.spec.kind == JobKind::Gang && (self.done > 0 || !self.done_unrecorded.is_empty())
    }

    /// By itself, or because an urgent job needs it.
    pub fn is_urgent(&self) -> bool {
        self.spec.kind == JobKind::Service || self.urgency.priority > Priority::Normal
    }

    /// Starts of some tasks that are gone from their chunk, or never got there, vanish; says on which machines.
    fn drop_vanished_starts(&mut self, chunk: &RunChunk, tasks: Range<u32>, usage: &mut Usage) -> Vec<MachineId> {
        let recorded = chunk.attempts_by_task();
        let on_its_way = |live: &Start| self.locked && live.phase() == Phase::Decided;
        let vanished = |task: u32, live: &Start| match recorded.get(&task) {
            Some(start) => start.attempt != live.attempt || start.machine != *live.machine(),
            None => !on_its_way(live),
        };
        let gone: Vec<u32> = self.live.range(tasks).filter(|(t, l)| vanished(*t, l)).map(|(t, _)| t).collect();
        let mut machines = Vec::new();
        for task in gone {
            machines.extend(self.live.remove(task, usage).map(|live| live.machine().clone()));
            let known = recorded.contains_key(&task) || chunk.is_done(task);
            if !known && !self.done_unrecorded.contains(&task) {
                self.redo.insert(task);
            }
        }
        machines
    }

    /// Brings what is to be started in line with a chunk. `known`: whether the records name a task.
    fn follow_progress(&mut self, chunk: &RunChunk, tasks: Range<u32>, known: impl Fn(u32) -> bool) {
        self.done_unrecorded.retain(|t| !tasks.contains(t) || !chunk.is_done(*t));
        let highest = self.fresh_from.max(chunk.first_unstarted_task());
        self.redo.extend((self.fresh_from..highest).filter(|task| !known(*task)));
        self.fresh_from = highest;
        let started = chunk.attempts_by_task();
        self.redo.retain(|t| !tasks.contains(t) || !(started.contains_key(t) || chunk.is_done(*t)));
    }

    /// Starts that a chunk names are recorded; says on which machines that is news.
    fn take_recorded_starts(&mut self, chunk: &RunChunk, usage: &mut Usage) -> Vec<MachineId> {
        let mut machines = Vec::new();
        for start in &chunk.task_attempts {
            match self.live.get(start.task).map(Start::phase) {
                Some(Phase::Decided) => self.live.set_phase(start.task, Phase::Recorded, usage),
                Some(_) => continue,
                None => {
                    let mut live = Start::new(start.attempt, start.machine.clone(), start.incarnation, Phase::Recorded);
                    live.stop = self.over.map(|_| 0.0);
                    // Whoever recorded it may have sent the command.
                    live.sent = true;
                    self.live.insert(start.task, live, usage);
                }
            }
            machines.push(start.machine.clone());
        }
        machines
    }

    fn dirty(&mut self, now: Micros) {
        self.dirty_since.get_or_insert(now);
    }
}

impl Controller {
    /// Shard that looks after a job; the same on every controller. A team's jobs stay together, so
    /// that its limit and guarantee can be kept; one that has neither is parted by job where most shards
    /// would stand idle otherwise.
    fn shard_of(&self, team: Option<&str>, id: &JobId) -> u32 {
        let shards = self.shard_count();
        let teams = &self.platform.deployment.teams;
        let parts = self.platform.deployment.shards_jobs_individually();
        let whole = team.and_then(|name| teams.iter().position(|t| t.name == name && (t.has_quota() || !parts)));
        match whole {
            Some(i) => i as u32 % shards,
            None => id.as_str().bytes().fold(0u32, |h, b| h.wrapping_mul(31).wrapping_add(u32::from(b))) % shards,
        }
    }

    /// Brings a job in line with the replica.
    pub(crate) fn job_changed(&mut self, id: &JobId) {
        if !self.job_known(id) {
            return;
        }
        let chunks: BTreeSet<u32> = match (self.jobs.by_id.get(id), self.store.replica.run_chunks.get(id)) {
            (Some(job), runs) => {
                let live = job.live.iter().map(|(task, _)| task / self.store.chunk_tasks);
                live.chain(runs.into_iter().flat_map(|r| r.keys().copied())).collect()
            }
            (None, _) => BTreeSet::new(),
        };
        for chunk in chunks {
            self.sync_chunk(id, chunk);
        }
        self.forget_if_over(id);
    }

    /// One chunk of a job's records has changed.
    pub(crate) fn run_changed(&mut self, id: &JobId, chunk: u32) {
        if self.job_known(id) {
            self.sync_chunk(id, chunk);
            self.forget_if_over(id);
        }
    }

    /// Whether there is such a job; notes what became of it.
    fn job_known(&mut self, id: &JobId) -> bool {
        let over = self.store.replica.outcomes.get(id).map(|e| e.value.outcome);
        if !self.jobs.by_id.contains_key(id) {
            // Over with nothing left of it: its batch alone still names it.
            if over.is_some() && !self.store.replica.run_chunks.contains_key(id) {
                return false;
            }
            let Some(known) = self.store.replica.jobs.get(id) else { return false };
            let shard = self.shard_of(known.record.spec.team.as_deref(), id);
            let job = Job::new(id, &known.record, shard);
            self.scheduling.urgent_cycle_wanted |= known.record.spec.priority > Priority::Normal;
            self.jobs.by_id.insert(id.clone(), job);
            if over.is_none() {
                self.add_to_dependency_graph(id);
            }
        }
        let recorded = self.store.replica.jobs.contains_key(id);
        let Some(job) = self.jobs.by_id.get_mut(id) else { return false };
        job.recorded = recorded;
        if job.over.is_none() && over.is_some() {
            job.over = over;
            self.jobs.usage.touched.insert(id.clone());
            // Nothing that was only decided may start any more; what may run has to stop.
            let mut machines = Vec::new();
            for live in job.live.values_mut() {
                if live.occupies() {
                    live.stop.get_or_insert(0.0);
                }
                machines.push(live.machine().clone());
            }
            for machine in machines {
                self.want_push(&machine);
            }
            self.note_deadline(id);
        }
        true
    }

    fn forget_if_over(&mut self, id: &JobId) {
        let recorded = self.store.replica.run_chunks.contains_key(id);
        // One that is over because another was cancelled is known by its entry here until that is written down.
        let ended = self.store.replica.outcomes.contains_key(id);
        let done_with = |job: &Job| (ended && job.over.is_some() || !job.recorded) && !recorded;
        if self.jobs.by_id.get(id).is_some_and(|job| done_with(job) && job.live.is_empty() && !job.locked) {
            self.jobs.by_id.remove(id);
            self.jobs.usage.touched.remove(id);
        }
    }

    /// Starts in the stored records but not known here appear, those taken out vanish.
    fn sync_chunk(&mut self, id: &JobId, number: u32) {
        let now = self.now();
        let size = self.store.chunk_tasks;
        let Some(job) = self.jobs.by_id.get_mut(id) else { return };
        let empty = BTreeMap::new();
        let chunks = self.store.replica.run_chunks.get(id).unwrap_or(&empty);
        let none = RunChunk::default();
        let chunk = chunks.get(&number).map_or(&none, |c| &c.value);
        let tasks = number * size..(number + 1).saturating_mul(size);
        job.done = chunks.values().map(|c| c.value.done_count()).sum();
        let mut touched = job.drop_vanished_starts(chunk, tasks.clone(), &mut self.jobs.usage);
        let known = |task: u32| chunks.get(&(task / size)).is_some_and(|c| c.value.mentions(task));
        job.follow_progress(chunk, tasks.clone(), known);
        touched.extend(job.take_recorded_starts(chunk, &mut self.jobs.usage));
        // A machine without a record was deleted: nothing is on it.
        let lost: Vec<u32> = job
            .live
            .range(tasks)
            .filter(|(_, l)| l.occupies() && !self.store.replica.machines.contains_key(l.machine()))
            .map(|(t, _)| t)
            .collect();
        for task in lost {
            job.live.set_phase(task, Phase::Gone, &mut self.jobs.usage);
            job.dirty(now);
        }
        let patient = job.over.is_none() && job.spec.kind == JobKind::Array && !job.is_urgent();
        for machine in touched {
            self.machine_freed(&machine);
            if patient {
                self.want_push_soon(&machine);
            } else {
                self.want_push(&machine);
            }
        }
    }

    /// A start was seen to have ended.
    pub(crate) fn start_ended(&mut self, id: &JobId, task: u32, why: ExitCause) {
        let now = self.now();
        let retry_max = Micros::from_millis(self.policy.retry_max_ms);
        let Some(job) = self.jobs.by_id.get_mut(id) else { return };
        let Some(live) = job.live.get(task) else { return };
        if !live.occupies() {
            return;
        }
        let machine = live.machine().clone();
        let ran = live.running_since.map_or(Micros::ZERO, |since| now.since(since));
        if why != ExitCause::Completed {
            tracing::debug!(job = %id, task, %machine, phase = ?live.phase(), ?why, "ended early");
        }
        let came_to_work = why == ExitCause::Completed && live.running_since.is_none();
        job.live.set_phase(task, Phase::Ended(why), &mut self.jobs.usage);
        let not_before = match why {
            ExitCause::Completed => {
                job.done_unrecorded.insert(task);
                job.progress_since.get_or_insert(now);
                job.failures.succeeded(task);
                None
            }
            ExitCause::Failed => Some(job.failures.failed(&Failure { task, machine: &machine, ran }, now, retry_max)),
            ExitCause::InsufficientResources | ExitCause::Busy | ExitCause::Unknown => Some(now + REFUSED_PAUSE),
            ExitCause::Stopped | ExitCause::GangPeerLost | ExitCause::GangIncomplete => None,
        };
        if let Some(at) = not_before {
            job.not_before.insert(task, at);
        }
        job.dirty(now);
        if job.spec.kind == JobKind::Gang && why != ExitCause::Completed {
            // The attempt is lost; the next begins when all of it has gone.
            for live in job.live.values_mut().filter(|l| l.occupies()) {
                live.stop.get_or_insert(0.0);
            }
        }
        if came_to_work {
            self.note_zone_start(&machine, ZoneStart::AtWork);
        }
        self.machine_freed(&machine);
        self.scheduling.cycle_wanted = true;
    }

    /// A start was proven not to be on its machine.
    pub(crate) fn start_gone(&mut self, id: &JobId, task: u32, proof: AbsenceProof) {
        let now = self.now();
        let Some(job) = self.jobs.by_id.get_mut(id) else { return };
        let Some(live) = job.live.get(task) else { return };
        if !live.occupies() || live.phase() == Phase::Decided {
            return;
        }
        let machine = live.machine().clone();
        let start = live.clone();
        tracing::debug!(job = %id, task, %machine, phase = ?live.phase(), seq = live.seq, ?proof, "proven gone");
        self.audit_gone(id, task, &machine, proof);
        let Some(job) = self.jobs.by_id.get_mut(id) else { return };
        job.live.set_phase(task, Phase::Gone, &mut self.jobs.usage);
        job.dirty(now);
        self.note_zone_loss(&start);
        self.machine_freed(&machine);
        self.scheduling.cycle_wanted = true;
    }

    pub(crate) fn job_txn_over(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.by_id.get_mut(id) {
            job.locked = false;
        }
        self.job_changed(id);
        // What a refused transaction was to take out of the stored records still has to go.
        let now = self.now();
        if let Some(job) = self.jobs.by_id.get_mut(id)
            && job.live.settled() > 0
        {
            job.dirty(now);
        }
    }

    /// The shard was taken or lost: what was believed about its jobs' starts is void.
    pub(crate) fn jobs_of_shard_reset(&mut self, shard: u32) {
        for job in self.jobs.by_id.values_mut().filter(|j| j.shard == shard) {
            job.done_unrecorded.clear();
            job.not_before.clear();
            job.dirty_since = None;
            let over = job.over;
            let recorded: Vec<u32> =
                job.live.iter().filter(|(_, l)| l.phase() != Phase::Decided).map(|(task, _)| task).collect();
            for task in recorded {
                job.live.set_phase(task, Phase::Recorded, &mut self.jobs.usage);
                if let Some(live) = job.live.get_mut(task) {
                    (live.sent, live.seq) = (true, 0);
                    live.stop = over.map(|_| 0.0);
                }
            }
        }
        let ids: Vec<JobId> =
            self.jobs.by_id.iter().filter(|(_, j)| j.shard == shard).map(|(id, _)| id.clone()).collect();
        self.jobs.usage.touched.extend(ids.iter().cloned());
        for id in ids {
            self.job_changed(&id);
            self.note_deadline(&id);
        }
    }
}
