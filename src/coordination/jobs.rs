//! Jobs, their starts, and writing both down.

use super::Core;
use super::lives::{Live, Lives, Phase};
use super::pipelines::Urgency;
use super::txns::{CONDITIONS_PER_WRITE, Draft, Purpose};
use crate::bookkeeping::schema::{EndRecord, JobRecord, Key, Outcome, RunChunk, Seat, StartRecord, to_value};
use crate::protocol::user::{JobSpec, Kind, Priority};
use crate::protocol::worker::Why;
use crate::settings::Policy;
use crate::units::{JobId, MachineId, Micros, Room};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

pub(super) struct Job {
    pub spec: Arc<JobSpec>,
    pub accepted: Micros,
    pub room: Room,
    pub share: u32,
    pub live: Lives,
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
    /// Since when the books lack that tasks are done.
    progress_since: Option<Micros>,
    pub over: Option<Outcome>,
    pub recorded: bool,
    pub preempting_until: Micros,
    /// It waits for other jobs, and nothing of it may start.
    pub held: bool,
    /// Time of day from which it could start: when it was accepted, or the last job it waited for was done.
    pub ready: Micros,
    /// Its own, or that of jobs which need it.
    pub urgency: Urgency,
    /// Its books are larger than may be written; looked at again then.
    pub too_large_until: Micros,
}

impl Job {
    fn new(id: &JobId, record: &JobRecord, share: u32) -> Job {
        Job {
            spec: Arc::new(record.spec.clone()),
            accepted: record.accepted,
            room: record.spec.room(),
            share,
            live: Lives::new(id.clone(), &record.spec),
            done_unrecorded: BTreeSet::new(),
            done: 0,
            fresh_from: 0,
            redo: BTreeSet::new(),
            not_before: BTreeMap::new(),
            failures: 0,
            locked: false,
            dirty_since: None,
            progress_since: None,
            over: None,
            recorded: true,
            preempting_until: Micros::ZERO,
            held: false,
            ready: record.accepted,
            urgency: record.urgency(),
            too_large_until: Micros::ZERO,
        }
    }

    /// Tasks done and running, for display.
    pub fn counts(&self) -> (u32, u32) {
        (self.done, self.live.occupying() - self.live.proposed())
    }

    pub fn waiting(&self) -> u32 {
        if self.over.is_some() || self.held {
            0
        } else {
            self.spec.tasks - self.fresh_from.min(self.spec.tasks) + self.redo.len() as u32
        }
    }

    /// Next task that may start now. `room` says whether a chunk of the books can name one more start.
    pub fn next_task(&self, now: Micros, chunk_tasks: u32, room: impl Fn(u32) -> bool) -> Option<u32> {
        if self.held {
            return None;
        }
        let mut full = None;
        let mut fits = |task: u32| {
            let chunk = task / chunk_tasks;
            if full == Some(chunk) {
                return false;
            }
            let fits = room(chunk);
            full = if fits { full } else { Some(chunk) };
            fits
        };
        let ripe = |t: &u32| self.not_before.get(t).is_none_or(|at| *at <= now);
        let again = self.redo.iter().copied().filter(ripe).find(|t| fits(*t));
        // Where a chunk is full the next one's tasks go first; those left out come in their turn.
        let fresh = || {
            let rest = self.fresh_from / chunk_tasks..self.spec.tasks.div_ceil(chunk_tasks);
            let chunk = rest.into_iter().find(|chunk| room(*chunk))?;
            Some(self.fresh_from.max(chunk * chunk_tasks))
        };
        again.or_else(|| if self.fresh_from < self.spec.tasks { fresh() } else { None })
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
    fn gang_done(&self) -> bool {
        self.spec.kind == Kind::Gang && (self.done > 0 || !self.done_unrecorded.is_empty())
    }

    /// By itself, or because an urgent job needs it.
    fn is_urgent(&self) -> bool {
        self.spec.kind == Kind::Service || self.urgency.priority > Priority::Normal
    }

    fn dirty(&mut self, now: Micros) {
        self.dirty_since.get_or_insert(now);
    }
}

impl Core {
    /// Share that looks after a job; the same on every controller. A team's jobs stay together, so
    /// that its limit and guarantee can be kept; one that has neither is parted by job where most shares
    /// would stand idle otherwise.
    fn share_of(&self, team: Option<&str>, id: &JobId) -> u32 {
        let shares = self.shares();
        let teams = &self.platform.deployment.teams;
        let parts = self.platform.deployment.parts_by_job();
        let whole = team.and_then(|name| teams.iter().position(|t| t.name == name && (t.is_bounded() || !parts)));
        match whole {
            Some(i) => i as u32 % shares,
            None => id.as_str().bytes().fold(0u32, |h, b| h.wrapping_mul(31).wrapping_add(u32::from(b))) % shares,
        }
    }

    /// Brings a job in line with the replica.
    pub(super) fn job_changed(&mut self, id: &JobId) {
        if !self.job_known(id) {
            return;
        }
        let chunks: BTreeSet<u32> = match (self.jobs.get(id), self.replica.runs.get(id)) {
            (Some(job), runs) => {
                let live = job.live.iter().map(|(task, _)| task / self.chunk_tasks);
                live.chain(runs.into_iter().flat_map(|r| r.keys().copied())).collect()
            }
            (None, _) => BTreeSet::new(),
        };
        for chunk in chunks {
            self.sync_chunk(id, chunk);
        }
        self.forget_if_over(id);
    }

    /// One chunk of a job's books has changed.
    pub(super) fn run_changed(&mut self, id: &JobId, chunk: u32) {
        if self.job_known(id) {
            self.sync_chunk(id, chunk);
            self.forget_if_over(id);
        }
    }

    /// Whether there is such a job; notes what became of it.
    fn job_known(&mut self, id: &JobId) -> bool {
        let over = self.replica.ends.get(id).map(|e| e.value.outcome);
        if !self.jobs.contains_key(id) {
            // Over with nothing left of it: its batch alone still names it.
            if over.is_some() && !self.replica.runs.contains_key(id) {
                return false;
            }
            let Some(known) = self.replica.jobs.get(id) else { return false };
            let share = self.share_of(known.record.spec.team.as_deref(), id);
            let job = Job::new(id, &known.record, share);
            self.urgent_pass |= known.record.spec.priority > Priority::Normal;
            self.jobs.insert(id.clone(), job);
            if over.is_none() {
                self.enter_pipeline(id);
            }
        }
        let recorded = self.replica.jobs.contains_key(id);
        let Some(job) = self.jobs.get_mut(id) else { return false };
        job.recorded = recorded;
        if job.over.is_none() && over.is_some() {
            job.over = over;
            self.sums.touched.insert(id.clone());
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
        let booked = self.replica.runs.contains_key(id);
        // One that is over because another was cancelled is known by its entry here until that is written down.
        let ended = self.replica.ends.contains_key(id);
        let done_with = |job: &Job| (ended && job.over.is_some() || !job.recorded) && !booked;
        if self.jobs.get(id).is_some_and(|job| done_with(job) && job.live.is_empty() && !job.locked) {
            self.jobs.remove(id);
            self.sums.touched.remove(id);
        }
    }

    /// Starts in the books but not known here appear, those taken out vanish.
    fn sync_chunk(&mut self, id: &JobId, number: u32) {
        let now = self.now();
        let size = self.chunk_tasks;
        let Some(job) = self.jobs.get_mut(id) else { return };
        let empty = BTreeMap::new();
        let chunks = self.replica.runs.get(id).unwrap_or(&empty);
        let none = RunChunk::default();
        let chunk = chunks.get(&number).map_or(&none, |c| &c.value);
        let recorded: BTreeMap<u32, &StartRecord> = chunk.starts.iter().map(|s| (s.0, s)).collect();
        let mut highest = job.fresh_from;
        if let Some((last, _)) = recorded.last_key_value() {
            highest = highest.max(last + 1);
        }
        if let Some(last) = chunk.done.last() {
            highest = highest.max(last.1 + 1);
        }
        job.done = chunks.values().map(|c| c.value.done_count()).sum();
        let in_books = |t: u32| {
            chunks.get(&(t / size)).is_some_and(|c| c.value.is_done(t) || c.value.starts.iter().any(|s| s.0 == t))
        };
        let own = number * size..(number + 1).saturating_mul(size);
        let mut touched: Vec<MachineId> = Vec::new();
        // Gone from the books, or never got there.
        let locked = job.locked;
        let vanished: Vec<u32> = job
            .live
            .range(own.clone())
            .filter(|(t, l)| match recorded.get(t) {
                Some(s) => s.1 != l.attempt || s.2 != *l.machine(),
                None => !(locked && l.phase() == Phase::Proposed),
            })
            .map(|(t, _)| t)
            .collect();
        for task in vanished {
            if let Some(live) = job.live.remove(task, &mut self.sums) {
                touched.push(live.machine().clone());
            }
            if !recorded.contains_key(&task) && !chunk.is_done(task) && !job.done_unrecorded.contains(&task) {
                job.redo.insert(task);
            }
        }
        job.done_unrecorded.retain(|t| !own.contains(t) || !chunk.is_done(*t));
        for task in job.fresh_from..highest {
            if !in_books(task) {
                job.redo.insert(task);
            }
        }
        job.fresh_from = highest;
        job.redo.retain(|t| !own.contains(t) || !(recorded.contains_key(t) || chunk.is_done(*t)));
        for (task, start) in &recorded {
            match job.live.get(*task).map(|l| (l.phase(), l.machine().clone())) {
                Some((Phase::Proposed, machine)) => {
                    job.live.set_phase(*task, Phase::Recorded, &mut self.sums);
                    touched.push(machine);
                }
                Some(_) => {}
                None => {
                    let mut live = Live::new(start.1, start.2.clone(), start.3, Phase::Recorded);
                    live.stop = job.over.map(|_| 0.0);
                    // Whoever recorded it may have sent the command.
                    live.sent = true;
                    job.live.insert(*task, live, &mut self.sums);
                    touched.push(start.2.clone());
                }
            }
        }
        // A machine without a record was deleted: nothing is on it.
        let lost: Vec<u32> = job
            .live
            .range(own)
            .filter(|(_, l)| l.occupies() && !self.replica.machines.contains_key(l.machine()))
            .map(|(t, _)| t)
            .collect();
        for task in lost {
            job.live.set_phase(task, Phase::Gone, &mut self.sums);
            job.dirty(now);
        }
        let patient = job.over.is_none() && job.spec.kind == Kind::Array && !job.is_urgent();
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
    pub(super) fn start_ended(&mut self, id: &JobId, task: u32, why: Why) {
        let now = self.now();
        let retry_max = Micros::from_millis(self.policy.retry_max_ms);
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(live) = job.live.get(task) else { return };
        if !live.occupies() {
            return;
        }
        let machine = live.machine().clone();
        if why != Why::Done {
            tracing::debug!(job = %id, task, %machine, phase = ?live.phase(), ?why, "ended early");
        }
        job.live.set_phase(task, Phase::Ended(why), &mut self.sums);
        let pause = match why {
            Why::Done => {
                job.done_unrecorded.insert(task);
                job.progress_since.get_or_insert(now);
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
            for live in job.live.values_mut().filter(|l| l.occupies()) {
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
        let Some(live) = job.live.get(task) else { return };
        if !live.occupies() || live.phase() == Phase::Proposed {
            return;
        }
        let machine = live.machine().clone();
        tracing::debug!(job = %id, task, %machine, phase = ?live.phase(), seq = live.seq, "proven gone");
        job.live.set_phase(task, Phase::Gone, &mut self.sums);
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
            && job.live.settled() > 0
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
            let over = job.over;
            let booked: Vec<u32> =
                job.live.iter().filter(|(_, l)| l.phase() != Phase::Proposed).map(|(task, _)| task).collect();
            for task in booked {
                job.live.set_phase(task, Phase::Recorded, &mut self.sums);
                if let Some(live) = job.live.get_mut(task) {
                    (live.sent, live.seq) = (true, 0);
                    live.stop = over.map(|_| 0.0);
                }
            }
        }
        let ids: Vec<JobId> = self.jobs.iter().filter(|(_, j)| j.share == share).map(|(id, _)| id.clone()).collect();
        self.sums.touched.extend(ids.iter().cloned());
        for id in ids {
            self.job_changed(&id);
            self.note_deadline(&id);
        }
    }

    /// Jobs whose books are to be brought up to date, those that can wait least first, and until
    /// when each may wait for others when the change budget is short.
    pub(super) fn due_records(&mut self) -> Vec<(Micros, u32, JobId)> {
        let now = self.now();
        let delay = Micros::from_millis(self.policy.record_delay_ms);
        let batch_delay = Micros::from_millis(self.policy.batch_delay_ms);
        let idle = self.budget.is_idle(now);
        let mut due = Vec::new();
        let mut settled = Vec::new();
        for id in &self.sums.touched {
            let Some(job) = self.jobs.get_mut(id) else {
                settled.push(id.clone());
                continue;
            };
            if job.locked || now < job.too_large_until {
                continue;
            }
            // Its owner's matter; all are looked at again when the share is taken. Swept jobs have nothing in the
            // books but the outcome that is written with others'.
            if self.swept.contains(id) || !self.seats.held.contains_key(&Seat::Share(job.share)) {
                settled.push(id.clone());
                continue;
            }
            let Some(need) = Need::of(job) else {
                settled.push(id.clone());
                continue;
            };
            let since = *job.dirty_since.get_or_insert(now);
            // What an urgent job waits for is over no sooner than its outcome is in the books.
            let need_soon = if need == Need::Outcome && job.is_urgent() { Need::Urgent } else { need };
            let latest = since + Micros::from_millis(need_soon.patience_ms(&self.policy));
            // What can wait goes when there is nothing better to do, or with company. Where machines are
            // full batch tasks start one by one as others end; each alone would cost a change.
            let waits = match need {
                Need::Progress => now.since(since) < delay || (!idle && now < latest),
                Need::Batch => !idle && now.since(since) < batch_delay,
                Need::Urgent | Need::Outcome => false,
            };
            if waits {
                continue;
            }
            due.push((latest, job.share, id.clone()));
        }
        for id in settled {
            self.sums.touched.remove(&id);
        }
        due.sort();
        due
    }

    /// Writes down what was decided and seen about the first job of `due`, and about as many of the
    /// next ones as fit the same transaction.
    pub(super) fn record(&mut self, due: &mut VecDeque<(Micros, u32, JobId)>) {
        let limits = &self.platform.deployment.state;
        let ops_max = limits.ops();
        // Near the limit the service rather refuses large transactions than small ones.
        let enough = ((limits.write_rps * self.policy.txn_part) as usize).clamp(4, ops_max);
        let Some(share) = due.front().map(|(_, share, _)| *share) else { return };
        let seat = Seat::Share(share);
        let mut draft = Draft::default();
        let mut ids: Vec<JobId> = Vec::new();
        while due.front().is_some_and(|(_, s, _)| *s == share) {
            let Some((_, _, id)) = due.pop_front() else { break };
            let what = self.jobs.get(&id).and_then(Need::of).map_or("nothing", Need::name);
            let part = self.job_part(&id, seat, ops_max);
            self.budget.count(what, part.txn.writes.len());
            if part.txn.writes.is_empty() {
                self.job_txn_over(&id);
                continue;
            }
            let writes = draft.txn.writes.len() + part.txn.writes.len();
            let conditions = draft.txn.conditions.len() + part.txn.conditions.len();
            if !ids.is_empty() && (writes > ops_max || conditions > ops_max * CONDITIONS_PER_WRITE) {
                self.send_txn(std::mem::take(&mut draft), Purpose::Jobs(std::mem::take(&mut ids)));
            }
            for condition in part.txn.conditions {
                if !draft.txn.conditions.contains(&condition) {
                    draft.txn.conditions.push(condition);
                }
            }
            draft.txn.writes.extend(part.txn.writes);
            ids.push(id);
            if draft.txn.writes.len() >= enough {
                break;
            }
        }
        if !ids.is_empty() {
            self.send_txn(draft, Purpose::Jobs(ids));
        }
    }

    /// The part of a transaction that brings one job's books up to date. Locks the job.
    fn job_part(&mut self, id: &JobId, seat: Seat, ops_max: usize) -> Draft {
        let writer = self.nonce();
        let now = self.now();
        let progress_patience = Micros::from_millis(self.policy.progress_patience_ms);
        let value_max = self.platform.deployment.state.value_bytes();
        let mut draft = Draft::default();
        let Some(job) = self.jobs.get_mut(id) else { return draft };
        job.locked = true;
        job.dirty_since = None;
        draft.unchanged(&self.replica, Key::Seat(seat));
        let empty = BTreeMap::new();
        let held = self.replica.runs.get(id).unwrap_or(&empty);
        let mut chunks: BTreeMap<u32, RunChunk> = BTreeMap::new();
        let mut machines: BTreeSet<MachineId> = BTreeSet::new();
        // Besides the machines: the seat, the outcome, and each chunk written.
        let conditions_max = ops_max * CONDITIONS_PER_WRITE - 2;
        let gang_attempt = held.values().map(|c| c.value.attempts).max().unwrap_or(0) + 1;
        let mut left_over = false;
        let mut dropped: Vec<u32> = Vec::new();
        let gang_done = job.gang_done();
        let size = self.chunk_tasks;
        // Chunks that lack nothing but tasks done are left for a while when others of the job press.
        let all = matches!(Need::of(job), None | Some(Need::Outcome | Need::Progress))
            || job.progress_since.is_some_and(|since| now.since(since) >= progress_patience);
        let pressing = |l: &Live| l.phase() == Phase::Proposed || is_lost(l);
        let press: BTreeSet<u32> = job.live.iter().filter(|(_, l)| pressing(l)).map(|(task, _)| task / size).collect();
        if all {
            job.progress_since = None;
        }
        let changed: Vec<u32> = job
            .live
            .iter()
            .filter(|(task, l)| pressing(l) || (!l.occupies() && (all || press.contains(&(task / size)))))
            .map(|(task, _)| task)
            .collect();
        for task in changed {
            let Some(live) = job.live.get_mut(task) else { continue };
            let number = task / size;
            let full = chunks.len() + 2 > ops_max || machines.len() + chunks.len() + 3 > conditions_max;
            if full && !chunks.contains_key(&number) {
                left_over = true;
                continue;
            }
            if live.phase() == Phase::Proposed {
                // Its machine may have been put on hold since, and an ended job starts nothing.
                let usable = self.replica.machines.get(live.machine()).is_some_and(|m| m.value.hold.is_none());
                if !usable || job.over.is_some() {
                    dropped.push(task);
                    continue;
                }
                if !machines.contains(live.machine()) && machines.len() + chunks.len() + 2 > conditions_max {
                    dropped.push(task);
                    continue;
                }
                machines.insert(live.machine().clone());
            }
            let chunk =
                chunks.entry(number).or_insert_with(|| held.get(&number).map(|c| c.value.clone()).unwrap_or_default());
            match live.phase() {
                Phase::Proposed => {
                    live.attempt = match job.spec.kind {
                        Kind::Gang => gang_attempt,
                        _ => chunk.attempts + 1,
                    };
                    chunk.attempts = live.attempt;
                    chunk.starts.push(StartRecord(task, live.attempt, live.machine().clone(), live.session));
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
                let number = task / size;
                let full = chunks.len() + 2 > ops_max || machines.len() + chunks.len() + 3 > conditions_max;
                if full && !chunks.contains_key(&number) {
                    left_over = true;
                    continue;
                }
                let held = || held.get(&number).map(|c| c.value.clone()).unwrap_or_default();
                chunks.entry(number).or_insert_with(held).mark_done(task);
            }
        }
        for task in dropped {
            job.live.remove(task, &mut self.sums);
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
            draft.put(end, to_value(&EndRecord::done()));
        }
        let all_chunks: BTreeSet<u32> = held.keys().chain(chunks.keys()).copied().collect();
        if (finishes || job.over.is_some()) && no_starts && !left_over {
            // Over and nothing left of it: clear away. The outcome stays, and so does the job's
            // entry in its batch until all of that are over.
            let room = ops_max - draft.txn.writes.len();
            let stored: Vec<u32> = all_chunks.iter().copied().filter(|n| held.contains_key(n)).collect();
            for n in stored.iter().take(room) {
                draft.unchanged(&self.replica, Key::Run(id.clone(), *n));
                draft.delete(Key::Run(id.clone(), *n));
            }
            return draft;
        }
        // Written under a larger limit, or with more done in between than could be foreseen: such a chunk waits until
        // enough of its starts have ended. What else there is goes on.
        let too_large = |chunk: &RunChunk| serde_json::to_string(chunk).map_or(0, |text| text.len()) > value_max;
        let before = chunks.len();
        chunks.retain(|_, chunk| !too_large(chunk));
        if chunks.len() < before {
            tracing::debug!(job = %id, "a part of its books is larger than may be written now");
            job.too_large_until = now + TOO_LARGE_PAUSE;
            job.dirty_since = Some(Micros::ZERO);
            if finishes {
                // The outcome goes with the record of its last tasks or not at all.
                return Draft::default();
            }
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

/// A job whose books are too large to be written is looked at again after so long.
const TOO_LARGE_PAUSE: Micros = Micros::from_millis(500);

/// Whether its task has to start once more.
fn is_lost(live: &Live) -> bool {
    match live.phase() {
        Phase::Gone => true,
        Phase::Ended(why) => why != Why::Done,
        _ => false,
    }
}

/// What a job's books lack, the most pressing of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Need {
    /// A start of urgent work, or a service that is down until a lost place is out of the books.
    Urgent,
    /// Its outcome, which its user waits for.
    Outcome,
    /// A start, or a lost place, of batch work.
    Batch,
    /// Tasks done while others go on; nobody waits for it.
    Progress,
}

impl Need {
    fn of(job: &Job) -> Option<Need> {
        let urgent = job.is_urgent();
        let finished = job.spec.kind != Kind::Service && job.done + job.done_unrecorded.len() as u32 >= job.spec.tasks;
        let gang_rest = job.over.is_none() && job.gang_done() && job.waiting() > 0;
        if job.live.occupying() == 0 && (job.over.is_some() || finished) || gang_rest {
            return Some(Need::Outcome);
        }
        // Tasks done press in no job; taken for urgent they'd be looked at in vain in every round.
        if job.live.proposed() > 0 || (job.live.settled() > 0 && job.live.values().any(is_lost)) {
            return Some(if urgent { Need::Urgent } else { Need::Batch });
        }
        (job.live.settled() > 0 || job.dirty_since == Some(Micros::ZERO)).then_some(Need::Progress)
    }

    fn name(self) -> &'static str {
        match self {
            Need::Urgent => "urgent starts",
            Need::Outcome => "outcomes",
            Need::Batch => "batch starts",
            Need::Progress => "progress",
        }
    }

    fn patience_ms(self, policy: &Policy) -> u64 {
        match self {
            Need::Urgent => policy.urgent_patience_ms,
            Need::Outcome => policy.outcome_patience_ms,
            Need::Batch => policy.batch_patience_ms,
            Need::Progress => policy.progress_patience_ms,
        }
    }
}
