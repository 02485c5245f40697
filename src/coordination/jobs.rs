//! Jobs, their starts, and writing both down.

use super::Core;
use super::txns::{CONDITIONS_PER_WRITE, Draft, Purpose};
use crate::bookkeeping::schema::{CHUNK_TASKS, JobRecord, Key, Outcome, RunChunk, Seat, StartRecord, to_value};
use crate::protocol::user::{JobSpec, Kind};
use crate::protocol::worker::Why;
use crate::units::{JobId, MachineId, Micros, Room};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Decided, not yet in the books; no command may leave.
    Proposed,
    /// In the books; not yet seen on the machine.
    Recorded,
    Fetching,
    Waiting,
    Running,
    Saving,
    /// Seen ended on the machine; to be taken out of the books.
    Ended(Why),
    /// Proven not to be on the machine; to be taken out of the books.
    Gone,
}

impl Phase {
    /// Whether it takes room on its machine and of its team's limit.
    pub fn occupies(self) -> bool {
        !matches!(self, Phase::Ended(_) | Phase::Gone)
    }

    pub fn on_machine(self) -> bool {
        matches!(self, Phase::Fetching | Phase::Waiting | Phase::Running | Phase::Saving)
    }
}

/// One start of a task, as far as it isn't proven gone and out of the books.
#[derive(Clone, Debug)]
pub(super) struct Live {
    pub attempt: u64,
    pub machine: MachineId,
    pub session: u64,
    pub phase: Phase,
    /// Grace to stop with, once it is to stop.
    pub stop: Option<f64>,
    /// A start command may have left.
    pub sent: bool,
    /// Newest message of the worker that it might not yet have answered a command of ours to.
    pub seq: u64,
    pub running_since: Option<Micros>,
}

pub(super) struct Job {
    pub spec: Arc<JobSpec>,
    pub accepted: Micros,
    pub room: Room,
    pub share: u32,
    pub live: BTreeMap<u32, Live>,
    /// Seen done, not yet in the books.
    pub done_unrecorded: BTreeSet<u32>,
    pub done: u32,
    /// Tasks from here on were never started.
    pub fresh_from: u32,
    /// Tasks before that which need another start.
    pub redo: BTreeSet<u32>,
    pub not_before: BTreeMap<u32, Micros>,
    pub failures: u32,
    /// A transaction on it is on its way.
    pub locked: bool,
    /// Since when something waits to be taken out of the books.
    pub dirty_since: Option<Micros>,
    pub over: Option<Outcome>,
    pub recorded: bool,
    pub preempting_until: Micros,
}

impl Job {
    fn new(record: &JobRecord, share: u32) -> Job {
        Job {
            spec: Arc::new(record.spec.clone()),
            accepted: record.accepted,
            room: record.spec.room(),
            share,
            live: BTreeMap::new(),
            done_unrecorded: BTreeSet::new(),
            done: 0,
            fresh_from: 0,
            redo: BTreeSet::new(),
            not_before: BTreeMap::new(),
            failures: 0,
            locked: false,
            dirty_since: None,
            over: None,
            recorded: true,
            preempting_until: Micros::ZERO,
        }
    }

    /// Tasks done and running, for display.
    pub fn counts(&self) -> (u32, u32) {
        let running = self.live.values().filter(|l| l.phase.occupies() && l.phase != Phase::Proposed).count();
        (self.done, running as u32)
    }

    pub fn waiting(&self) -> u32 {
        if self.over.is_some() {
            0
        } else {
            self.spec.tasks - self.fresh_from.min(self.spec.tasks) + self.redo.len() as u32
        }
    }

    /// Next task that may start now.
    pub fn next_task(&self, now: Micros) -> Option<u32> {
        let ripe = |t: &u32| self.not_before.get(t).is_none_or(|at| *at <= now);
        self.redo.iter().copied().find(ripe).or((self.fresh_from < self.spec.tasks).then_some(self.fresh_from))
    }

    pub fn take_task(&mut self, task: u32) {
        if task == self.fresh_from {
            self.fresh_from += 1;
        } else {
            self.redo.remove(&task);
        }
    }

    /// A gang completes as a whole: one task done means that all are, also those whose machine was
    /// lost before it could say so.
    fn gang_done(&self) -> bool {
        self.spec.kind == Kind::Gang && (self.done > 0 || !self.done_unrecorded.is_empty())
    }

    fn dirty(&mut self, now: Micros) {
        self.dirty_since.get_or_insert(now);
    }
}

impl Core {
    /// Share that looks after a team's jobs; the same on every controller.
    fn share_of(&self, team: Option<&str>, id: &JobId) -> u32 {
        let shares = self.shares();
        let teams = &self.platform.deployment.teams;
        match team.and_then(|name| teams.iter().position(|t| t.name == name)) {
            Some(i) => i as u32 % shares,
            None => id.as_str().bytes().fold(0u32, |h, b| h.wrapping_mul(31).wrapping_add(u32::from(b))) % shares,
        }
    }

    /// Brings a job in line with the replica.
    pub(super) fn job_changed(&mut self, id: &JobId) {
        let over = self.replica.ends.get(id).map(|e| e.value);
        if !self.jobs.contains_key(id) {
            let Some(record) = self.replica.jobs.get(id) else { return };
            let share = self.share_of(record.value.spec.team.as_deref(), id);
            self.jobs.insert(id.clone(), Job::new(&record.value, share));
        }
        let now = self.now();
        let recorded = self.replica.jobs.contains_key(id);
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.recorded = recorded;
        if job.over.is_none() && over.is_some() {
            job.over = over;
            // Nothing that was only decided may start any more; what may run has to stop.
            for live in job.live.values_mut() {
                if live.phase.occupies() {
                    live.stop.get_or_insert(0.0);
                }
            }
            let machines: Vec<MachineId> = job.live.values().map(|l| l.machine.clone()).collect();
            for machine in machines {
                self.want_push(&machine);
            }
        }
        self.sync_starts(id, now);
        let Some(job) = self.jobs.get(id) else { return };
        if !job.recorded && job.live.is_empty() && !job.locked {
            self.jobs.remove(id);
        }
    }

    /// Starts in the books but not known here appear, those taken out vanish.
    fn sync_starts(&mut self, id: &JobId, now: Micros) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let empty = BTreeMap::new();
        let chunks = self.replica.runs.get(id).unwrap_or(&empty);
        let mut recorded: BTreeMap<u32, &StartRecord> = BTreeMap::new();
        let mut highest = job.fresh_from;
        let mut done = 0;
        for chunk in chunks.values() {
            done += chunk.value.done_count();
            for start in &chunk.value.starts {
                recorded.insert(start.0, start);
                highest = highest.max(start.0 + 1);
            }
            if let Some(last) = chunk.value.done.last() {
                highest = highest.max(last.1 + 1);
            }
        }
        job.done = done;
        let is_done = |t: u32| chunks.get(&(t / CHUNK_TASKS)).is_some_and(|c| c.value.is_done(t));
        let mut touched: Vec<MachineId> = Vec::new();
        // Gone from the books, or never got there.
        let locked = job.locked;
        let vanished: Vec<u32> = job
            .live
            .iter()
            .filter(|(t, l)| match recorded.get(t) {
                Some(s) => s.1 != l.attempt || s.2 != l.machine,
                None => !(locked && l.phase == Phase::Proposed),
            })
            .map(|(t, _)| *t)
            .collect();
        for task in vanished {
            if let Some(live) = job.live.remove(&task) {
                if let Some(machine) = self.machines.get_mut(&live.machine) {
                    machine.starts.remove(&(id.clone(), task));
                }
                touched.push(live.machine);
            }
            if !recorded.contains_key(&task) && !is_done(task) && !job.done_unrecorded.contains(&task) {
                job.redo.insert(task);
            }
        }
        job.done_unrecorded.retain(|t| !is_done(*t));
        for task in job.fresh_from..highest {
            if !recorded.contains_key(&task) && !is_done(task) {
                job.redo.insert(task);
            }
        }
        job.fresh_from = highest;
        job.redo.retain(|t| !recorded.contains_key(t) && !is_done(*t));
        for (task, start) in &recorded {
            match job.live.get_mut(task) {
                Some(live) => {
                    if live.phase == Phase::Proposed {
                        live.phase = Phase::Recorded;
                        touched.push(live.machine.clone());
                    }
                }
                None => {
                    let live = Live {
                        attempt: start.1,
                        machine: start.2.clone(),
                        session: start.3,
                        phase: Phase::Recorded,
                        stop: job.over.map(|_| 0.0),
                        // Whoever recorded it may have sent the command.
                        sent: true,
                        seq: 0,
                        running_since: None,
                    };
                    job.live.insert(*task, live);
                    let machine = self.machines.entry(start.2.clone()).or_default();
                    machine.starts.insert((id.clone(), *task));
                    touched.push(start.2.clone());
                }
            }
        }
        // A machine without a record was deleted: nothing is on it.
        for live in job.live.values_mut() {
            if live.phase.occupies() && !self.replica.machines.contains_key(&live.machine) {
                live.phase = Phase::Gone;
                job.dirty_since.get_or_insert(now);
            }
        }
        for machine in touched {
            self.machine_freed(&machine);
            self.want_push(&machine);
        }
    }

    /// A start was seen to have ended.
    pub(super) fn start_ended(&mut self, id: &JobId, task: u32, why: Why) {
        let now = self.now();
        let retry_max = Micros::from_millis(self.policy.retry_max_ms);
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(live) = job.live.get_mut(&task) else { return };
        if !live.phase.occupies() {
            return;
        }
        if why != Why::Done {
            tracing::debug!(job = %id, task, machine = %live.machine, phase = ?live.phase, ?why, "ended early");
        }
        live.phase = Phase::Ended(why);
        let machine = live.machine.clone();
        let pause = match why {
            Why::Done => {
                job.done_unrecorded.insert(task);
                job.failures = 0;
                None
            }
            Why::Error => {
                job.failures += 1;
                Some(Micros::from_millis(500 << job.failures.min(8)).min(retry_max))
            }
            Why::NoRoom | Why::Busy | Why::Unknown => Some(Micros::from_millis(500)),
            Why::Stopped | Why::Peers | Why::Alone => None,
        };
        if let Some(pause) = pause {
            job.not_before.insert(task, now + pause);
        }
        job.dirty(now);
        if job.spec.kind == Kind::Gang && why != Why::Done {
            // The attempt is lost; the next begins when all of it has gone.
            for live in job.live.values_mut().filter(|l| l.phase.occupies()) {
                live.stop.get_or_insert(0.0);
            }
        }
        self.machine_freed(&machine);
        self.pass_wanted = true;
    }

    /// A start was proven not to be on its machine.
    pub(super) fn start_gone(&mut self, id: &JobId, task: u32) {
        let now = self.now();
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(live) = job.live.get_mut(&task) else { return };
        if !live.phase.occupies() || live.phase == Phase::Proposed {
            return;
        }
        tracing::debug!(job = %id, task, machine = %live.machine, phase = ?live.phase, seq = live.seq, "proven gone");
        live.phase = Phase::Gone;
        let machine = live.machine.clone();
        job.dirty(now);
        self.machine_freed(&machine);
        self.pass_wanted = true;
    }

    pub(super) fn job_txn_over(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.locked = false;
        }
        self.job_changed(id);
        // What a refused transaction was to take out of the books still has to go.
        let now = self.now();
        if let Some(job) = self.jobs.get_mut(id)
            && job.live.values().any(|l| !l.phase.occupies())
        {
            job.dirty(now);
        }
    }

    /// The share was taken or lost: what was believed about its jobs' starts is void.
    pub(super) fn jobs_of_share_reset(&mut self, share: u32) {
        for job in self.jobs.values_mut().filter(|j| j.share == share) {
            job.done_unrecorded.clear();
            job.not_before.clear();
            job.dirty_since = None;
            for live in job.live.values_mut().filter(|l| l.phase != Phase::Proposed) {
                live.phase = Phase::Recorded;
                live.sent = true;
                live.seq = 0;
                live.stop = job.over.map(|_| 0.0);
            }
        }
        let ids: Vec<JobId> = self.jobs.iter().filter(|(_, j)| j.share == share).map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.job_changed(&id);
        }
    }

    /// Writes down what was decided and seen, several jobs to a transaction.
    pub(super) fn record(&mut self) {
        let now = self.now();
        let delay = Micros::from_millis(self.policy.record_delay_ms);
        let ops_max = self.platform.deployment.state.txn_ops;
        for share in 0..self.shares() {
            let seat = Seat::Share(share);
            if self.held(seat).is_none() {
                continue;
            }
            let due: Vec<JobId> = self
                .jobs
                .iter()
                .filter(|(_, j)| j.share == share && !j.locked && job_is_due(j, now, delay))
                .map(|(id, _)| id.clone())
                .collect();
            let mut draft = Draft::default();
            let mut ids: Vec<JobId> = Vec::new();
            for id in due {
                let part = self.job_part(&id, seat, ops_max);
                if part.txn.writes.is_empty() {
                    self.job_txn_over(&id);
                    continue;
                }
                let writes = draft.txn.writes.len() + part.txn.writes.len();
                let conditions = draft.txn.conditions.len() + part.txn.conditions.len();
                if !ids.is_empty() && (writes > ops_max || conditions > ops_max * CONDITIONS_PER_WRITE) {
                    self.submit_txn(std::mem::take(&mut draft), Purpose::Jobs(std::mem::take(&mut ids)));
                }
                for condition in part.txn.conditions {
                    if !draft.txn.conditions.contains(&condition) {
                        draft.txn.conditions.push(condition);
                    }
                }
                draft.txn.writes.extend(part.txn.writes);
                ids.push(id);
            }
            if !ids.is_empty() {
                self.submit_txn(draft, Purpose::Jobs(ids));
            }
        }
    }

    /// The part of a transaction that brings one job's books up to date. Locks the job.
    fn job_part(&mut self, id: &JobId, seat: Seat, ops_max: usize) -> Draft {
        let writer = self.nonce();
        let mut draft = Draft::default();
        let Some(job) = self.jobs.get_mut(id) else { return draft };
        job.locked = true;
        job.dirty_since = None;
        draft.unchanged(&self.replica, Key::Seat(seat));
        let empty = BTreeMap::new();
        let held = self.replica.runs.get(id).unwrap_or(&empty);
        let mut chunks: BTreeMap<u32, RunChunk> = BTreeMap::new();
        let mut machines: BTreeSet<MachineId> = BTreeSet::new();
        let conditions_max = ops_max * CONDITIONS_PER_WRITE - 4 - ops_max;
        let gang_attempt = held.values().map(|c| c.value.attempts).max().unwrap_or(0) + 1;
        let mut left_over = false;
        let mut dropped: Vec<u32> = Vec::new();
        let gang_done = job.gang_done();
        for (&task, live) in job.live.iter_mut() {
            let number = task / CHUNK_TASKS;
            let change = matches!(live.phase, Phase::Proposed | Phase::Ended(_) | Phase::Gone);
            if !change {
                continue;
            }
            if !chunks.contains_key(&number) && chunks.len() + 2 > ops_max {
                left_over = true;
                continue;
            }
            if live.phase == Phase::Proposed {
                // Its machine may have been put on hold since, and an ended job starts nothing.
                let usable = self.replica.machines.get(&live.machine).is_some_and(|m| m.value.hold.is_none());
                if !usable || job.over.is_some() {
                    dropped.push(task);
                    continue;
                }
                if !machines.contains(&live.machine) && machines.len() >= conditions_max {
                    dropped.push(task);
                    continue;
                }
                machines.insert(live.machine.clone());
            }
            let chunk =
                chunks.entry(number).or_insert_with(|| held.get(&number).map(|c| c.value.clone()).unwrap_or_default());
            match live.phase {
                Phase::Proposed => {
                    live.attempt = match job.spec.kind {
                        Kind::Gang => gang_attempt,
                        _ => chunk.attempts + 1,
                    };
                    chunk.attempts = live.attempt;
                    chunk.starts.push(StartRecord(task, live.attempt, live.machine.clone(), live.session));
                }
                phase => {
                    chunk.starts.retain(|s| s.0 != task);
                    if phase == Phase::Ended(Why::Done) || gang_done {
                        chunk.mark_done(task);
                    }
                }
            }
        }
        if gang_done {
            for task in job.redo.iter().copied().chain(job.fresh_from..job.spec.tasks) {
                let number = task / CHUNK_TASKS;
                if !chunks.contains_key(&number) && chunks.len() + 2 > ops_max {
                    left_over = true;
                    continue;
                }
                let held = || held.get(&number).map(|c| c.value.clone()).unwrap_or_default();
                chunks.entry(number).or_insert_with(held).mark_done(task);
            }
        }
        for task in dropped {
            if let Some(live) = job.live.remove(&task)
                && let Some(machine) = self.machines.get_mut(&live.machine)
            {
                machine.starts.remove(&(id.clone(), task));
            }
            job.redo.insert(task);
        }
        if left_over {
            job.dirty_since = Some(Micros::ZERO);
        }
        let end = Key::End(id.clone());
        let done: u32 = held
            .iter()
            .map(|(n, c)| chunks.get(n).map_or(c.value.done_count(), RunChunk::done_count))
            .chain(chunks.iter().filter(|(n, _)| !held.contains_key(n)).map(|(_, c)| c.done_count()))
            .sum();
        let finishes = job.over.is_none() && job.spec.kind != Kind::Service && done >= job.spec.tasks;
        let no_starts =
            held.iter().all(|(n, c)| chunks.get(n).map_or(c.value.starts.is_empty(), |c| c.starts.is_empty()))
                && chunks.values().all(|c| c.starts.is_empty());
        if job.over.is_none() {
            draft.unchanged(&self.replica, end.clone());
        }
        if finishes {
            draft.put(end, to_value(&Outcome::Done));
        }
        let all_chunks: BTreeSet<u32> = held.keys().chain(chunks.keys()).copied().collect();
        if (finishes || job.over.is_some()) && no_starts && !left_over {
            // Over and nothing left of it: clear away. The outcome stays. The job's own key
            // goes last, so that a half-cleared job is found again.
            let room = ops_max - draft.txn.writes.len();
            let stored: Vec<u32> = all_chunks.iter().copied().filter(|n| held.contains_key(n)).collect();
            for n in stored.iter().take(room) {
                draft.unchanged(&self.replica, Key::Run(id.clone(), *n));
                draft.delete(Key::Run(id.clone(), *n));
            }
            if stored.len() < room && job.recorded {
                draft.unchanged(&self.replica, Key::Job(id.clone()));
                draft.delete(Key::Job(id.clone()));
            }
            return draft;
        }
        for machine in machines {
            draft.unchanged(&self.replica, Key::Machine(machine));
        }
        for (number, mut chunk) in chunks {
            chunk.writer = writer;
            draft.unchanged(&self.replica, Key::Run(id.clone(), number));
            draft.put(Key::Run(id.clone(), number), to_value(&chunk));
        }
        draft
    }
}

/// Whether none of its starts waits to be taken out of the books.
fn books_are_right(job: &Job) -> bool {
    job.live.values().all(|l| l.phase.occupies())
}

fn job_is_due(job: &Job, now: Micros, delay: Micros) -> bool {
    if job.live.values().any(|l| l.phase == Phase::Proposed) {
        return true;
    }
    // A service that lost its place is down until this is in the books.
    if job.spec.kind == Kind::Service && !books_are_right(job) {
        return true;
    }
    if job.over.is_none() && job.gang_done() && job.waiting() > 0 {
        return true;
    }
    let idle = job.live.values().all(|l| !l.phase.occupies());
    // Over, or just completed: nothing to wait for.
    let finished = job.spec.kind != Kind::Service && job.done + job.done_unrecorded.len() as u32 >= job.spec.tasks;
    if idle && (job.over.is_some() || finished) {
        return true;
    }
    job.dirty_since.is_some_and(|since| now.since(since) >= delay)
}
