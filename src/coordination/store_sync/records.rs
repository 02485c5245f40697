//! Writing down what was decided and seen about jobs: starts before their commands leave, tasks done or lost, outcomes.
//!
//! A start is recorded under the preconditions that this controller still holds the job's shard, that the job is not
//! over, that its run chunk is as the replica has it, and that its machine can't have left the shard meanwhile.

use crate::coordination::Controller;
use crate::coordination::control::versions::leader_delegates_moves;
use crate::coordination::jobs::job::Job;
use crate::coordination::jobs::usage::{Phase, Start};
use crate::coordination::store_sync::txns::{PRECONDITIONS_PER_WRITE, ProposedTxn, Purpose};
use crate::protocol::user::JobKind;
use crate::protocol::worker::ExitCause;
use crate::settings::Policy;
use crate::storage::schema::{Key, OutcomeRecord, Role, RunChunk, TaskAttemptRecord, to_value};
use crate::storage::{Replica, Versioned};
use crate::types::{JobId, MachineId, Micros};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

type StoredChunks = BTreeMap<u32, Versioned<RunChunk>>;

/// A job whose records are to be brought up to date.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct DueRecord {
    /// Until then it may wait for others when the change budget is short.
    pub latest: Micros,
    shard: u32,
    id: JobId,
}

/// What one transaction may hold.
#[derive(Clone, Copy)]
struct TxnLimits {
    writes: usize,
    preconditions: usize,
    value_bytes: usize,
}

/// What proves that a machine stays in its shard until a start on it is recorded.
#[derive(Clone, Copy, PartialEq, Eq)]
enum MachineGuard {
    /// Its record is a condition of each start there: the leader moves machines by itself.
    Records,
    /// The leader's role is a condition: this leader leaves it to the shard's holder to move its machines, which is
    /// this controller. One condition, however many machines the starts name.
    Leadership,
}

/// Changes of one job's run chunks, as far as they fit a transaction.
struct ChunkChanges<'a> {
    stored: &'a StoredChunks,
    chunk_tasks: u32,
    limits: TxnLimits,
    guard: MachineGuard,
    chunks: BTreeMap<u32, RunChunk>,
    /// Machines on which starts were added.
    machines: BTreeSet<MachineId>,
    /// Something did not fit and has to go with another transaction.
    left_over: bool,
}

impl<'a> ChunkChanges<'a> {
    fn new(stored: &'a StoredChunks, chunk_tasks: u32, limits: TxnLimits, guard: MachineGuard) -> ChunkChanges<'a> {
        let (chunks, machines) = (BTreeMap::new(), BTreeSet::new());
        ChunkChanges { stored, chunk_tasks, limits, guard, chunks, machines, left_over: false }
    }

    /// Preconditions besides those that the guard takes for each machine: the shard's role, the outcome, perhaps the
    /// leader's role, and each chunk.
    fn preconditions(&self) -> usize {
        let roles = if self.guard == MachineGuard::Leadership { 2 } else { 1 };
        roles + 1 + self.chunks.len()
    }

    /// Whether so many machines' preconditions fit, with one more chunk if `chunk` isn't among those changed.
    fn fits(&self, machines: usize, chunk: u32) -> bool {
        let more = usize::from(!self.chunks.contains_key(&chunk));
        let guarded = if self.guard == MachineGuard::Records { machines } else { 0 };
        self.preconditions() + more + guarded <= self.limits.preconditions
    }

    /// The chunk of a task, to be changed, if the transaction takes one more: beside its outcome, and with a start.
    fn admits_chunk_of(&mut self, task: u32) -> bool {
        let chunk = task / self.chunk_tasks;
        let fits = self.chunks.len() + 2 <= self.limits.writes && self.fits(self.machines.len() + 1, chunk);
        let admitted = self.chunks.contains_key(&chunk) || fits;
        self.left_over |= !admitted;
        admitted
    }

    /// Whether a start of the task on that machine fits.
    fn admits_machine(&self, task: u32, machine: &MachineId) -> bool {
        self.machines.contains(machine) || self.fits(self.machines.len() + 1, task / self.chunk_tasks)
    }

    fn chunk_of(&mut self, task: u32) -> &mut RunChunk {
        let number = task / self.chunk_tasks;
        let stored = || self.stored.get(&number).map(|c| c.value.clone()).unwrap_or_default();
        self.chunks.entry(number).or_insert_with(stored)
    }

    /// Adds a start, under the attempt of its gang or the next of its chunk; says which.
    fn add_start(&mut self, task: u32, live: &Start, gang_attempt: Option<u64>) -> u64 {
        self.machines.insert(live.machine().clone());
        let chunk = self.chunk_of(task);
        let attempt = gang_attempt.unwrap_or(chunk.last_attempt + 1);
        chunk.last_attempt = attempt;
        let machine = live.machine().clone();
        chunk.task_attempts.push(TaskAttemptRecord { task, attempt, machine, incarnation: live.incarnation });
        attempt
    }

    fn remove_start(&mut self, task: u32, done: bool) {
        let chunk = self.chunk_of(task);
        chunk.task_attempts.retain(|start| start.task != task);
        if done {
            chunk.mark_done(task);
        }
    }

    /// All chunks of the job as they will be.
    fn after(&self) -> impl Iterator<Item = &RunChunk> {
        let unchanged = self.stored.iter().filter(|(n, _)| !self.chunks.contains_key(n)).map(|(_, c)| &c.value);
        unchanged.chain(self.chunks.values())
    }

    fn done_count(&self) -> u32 {
        self.after().map(RunChunk::done_count).sum()
    }

    fn has_recorded_attempts(&self) -> bool {
        self.after().any(|chunk| !chunk.task_attempts.is_empty())
    }

    /// Leaves out chunks that are larger than may be written: those from under a larger limit, or with more done in
    /// between than could be foreseen, wait until enough of their starts have ended. Whether there were any.
    fn drop_too_large(&mut self) -> bool {
        let before = self.chunks.len();
        let most = self.limits.value_bytes;
        self.chunks.retain(|_, chunk| serde_json::to_string(chunk).map_or(0, |text| text.len()) <= most);
        self.chunks.len() < before
    }

    /// Takes all stored chunks out, as many as there is room for.
    fn clear(&self, replica: &Replica, id: &JobId, proposal: &mut ProposedTxn) {
        let writes_left = self.limits.writes - proposal.txn.writes.len();
        for number in self.stored.keys().take(writes_left) {
            proposal.unchanged(replica, Key::RunChunk(id.clone(), *number));
            proposal.delete(Key::RunChunk(id.clone(), *number));
        }
    }

    fn write(self, replica: &Replica, id: &JobId, write_id: u64, proposal: &mut ProposedTxn) {
        match self.guard {
            MachineGuard::Leadership if !self.machines.is_empty() => {
                proposal.unchanged(replica, Key::Role(Role::Leader));
            }
            MachineGuard::Leadership => {}
            MachineGuard::Records => {
                for machine in self.machines {
                    proposal.unchanged(replica, Key::Machine(machine));
                }
            }
        }
        for (number, mut chunk) in self.chunks {
            chunk.write_id = write_id;
            proposal.unchanged(replica, Key::RunChunk(id.clone(), number));
            proposal.put(Key::RunChunk(id.clone(), number), to_value(&chunk));
        }
    }
}

impl Job {
    /// Tasks whose records lack something. Chunks that lack nothing but tasks done are left for a while when others
    /// of the job press.
    fn tasks_to_record(&mut self, now: Micros, chunk_tasks: u32, progress_patience: Micros) -> Vec<u32> {
        let all = matches!(Need::of(self), None | Some(Need::Outcome | Need::ChunkSpace | Need::Progress))
            || self.progress_since.is_some_and(|since| now.since(since) >= progress_patience);
        if all {
            self.progress_since = None;
            self.blocked = false;
        }
        let pressing = |live: &Start| live.phase() == Phase::Decided || is_lost(live);
        let pressed: BTreeSet<u32> =
            self.live.iter().filter(|(_, live)| pressing(live)).map(|(task, _)| task / chunk_tasks).collect();
        let due = |task: u32, live: &Start| {
            pressing(live) || (!live.occupies() && (all || pressed.contains(&(task / chunk_tasks))))
        };
        self.live.iter().filter(|(task, live)| due(*task, live)).map(|(task, _)| task).collect()
    }

    /// Puts changes of these tasks into words. Says which starts can't be recorded: their machines have been put on
    /// hold or have left the shard since, the job is over, or no more machines fit.
    fn change_chunks(&mut self, tasks: Vec<u32>, replica: &Replica, changes: &mut ChunkChanges) -> Vec<u32> {
        let highest = changes.stored.values().map(|c| c.value.last_attempt).max().unwrap_or(0);
        let gang_attempt = (self.spec.kind == JobKind::Gang).then_some(highest + 1);
        let gang_done = self.gang_done();
        let mut dropped = Vec::new();
        for task in tasks {
            if !changes.admits_chunk_of(task) {
                continue;
            }
            let Some(live) = self.live.get_mut(task) else { continue };
            if live.phase() != Phase::Decided {
                changes.remove_start(task, gang_done || live.phase() == Phase::Ended(ExitCause::Completed));
                continue;
            }
            let machine = replica.machines.get(live.machine());
            let usable = machine.is_some_and(|m| m.value.cordon.is_none() && m.value.shard == self.shard);
            if !usable || self.over.is_some() || !changes.admits_machine(task, live.machine()) {
                dropped.push(task);
                continue;
            }
            live.attempt = changes.add_start(task, live, gang_attempt);
        }
        if gang_done {
            self.complete_gang(changes);
        }
        dropped
    }

    /// The tasks of a gang that is done which have no start are done as well.
    fn complete_gang(&self, changes: &mut ChunkChanges) {
        for task in self.redo.iter().copied().chain(self.fresh_from..self.spec.tasks) {
            if changes.admits_chunk_of(task) {
                changes.chunk_of(task).mark_done(task);
            }
        }
    }
}

impl Controller {
    /// Jobs whose records are to be brought up to date, those that can wait least first, and until
    /// when each may wait for others when the change budget is short.
    pub(crate) fn due_records(&mut self) -> Vec<DueRecord> {
        let now = self.now();
        let delay = Micros::from_millis(self.policy.record_delay_ms);
        let batch_delay = Micros::from_millis(self.policy.batch_delay_ms);
        let idle = self.store.budget.is_idle(now);
        let mut due = Vec::new();
        let mut settled = Vec::new();
        for id in &self.jobs.usage.touched {
            let Some(job) = self.jobs.by_id.get_mut(id) else {
                settled.push(id.clone());
                continue;
            };
            if job.locked || now < job.too_large_until {
                continue;
            }
            // Its owner's matter; all are looked at again when the shard is taken. Jobs cancelled with another
            // have nothing in the records but the outcome that is written with others'.
            if self.jobs.cascaded.contains(id) || !self.control.holds(Role::Shard(job.shard)) {
                settled.push(id.clone());
                continue;
            }
            let Some(need) = Need::of(job) else {
                settled.push(id.clone());
                continue;
            };
            let since = *job.dirty_since.get_or_insert(now);
            // What an urgent job waits for is over no sooner than its outcome is in the stored records.
            let need_soon = match need {
                Need::Outcome if job.is_urgent() => Need::Urgent,
                Need::ChunkSpace if job.is_urgent() => Need::Outcome,
                need => need,
            };
            let latest = since + Micros::from_millis(need_soon.patience_ms(&self.policy));
            // What can wait goes when there is nothing better to do, or with company. Where machines are
            // full batch tasks start one by one as others end; each alone would cost a change.
            let waits = match need {
                Need::Progress => now.since(since) < delay || (!idle && now < latest),
                Need::Batch | Need::ChunkSpace => !idle && now.since(since) < batch_delay,
                Need::Urgent | Need::Outcome => false,
            };
            if waits {
                continue;
            }
            due.push(DueRecord { latest, shard: job.shard, id: id.clone() });
        }
        for id in settled {
            self.jobs.usage.touched.remove(&id);
        }
        due.sort();
        due
    }

    /// Writes down what was decided and seen about the first job of `due`, and about as many of the
    /// next ones as fit the same transaction.
    pub(crate) fn record(&mut self, due: &mut VecDeque<DueRecord>) {
        let limits = self.txn_limits();
        // Near the limit the service rather refuses large transactions than small ones.
        let rate = self.platform.deployment.store.write_rps;
        let enough = ((rate * self.policy.txn_part) as usize).clamp(4, limits.writes);
        let Some(shard) = due.front().map(|first| first.shard) else { return };
        let role = Role::Shard(shard);
        let mut proposal = ProposedTxn::default();
        let mut ids: Vec<JobId> = Vec::new();
        while due.front().is_some_and(|next| next.shard == shard) {
            let Some(DueRecord { id, .. }) = due.pop_front() else { break };
            let what = self.jobs.by_id.get(&id).and_then(Need::of).map_or("nothing", Need::name);
            let part = self.job_part(&id, role, limits);
            self.store.budget.count(what, part.txn.writes.len());
            if part.txn.writes.is_empty() {
                self.job_txn_over(&id);
                continue;
            }
            let writes = proposal.txn.writes.len() + part.txn.writes.len();
            let preconditions = proposal.txn.preconditions.len() + part.txn.preconditions.len();
            if !ids.is_empty() && (writes > limits.writes || preconditions > limits.preconditions) {
                self.send_txn(std::mem::take(&mut proposal), Purpose::Jobs(std::mem::take(&mut ids)));
            }
            for precondition in part.txn.preconditions {
                if !proposal.txn.preconditions.contains(&precondition) {
                    proposal.txn.preconditions.push(precondition);
                }
            }
            proposal.txn.writes.extend(part.txn.writes);
            ids.push(id);
            if proposal.txn.writes.len() >= enough {
                break;
            }
        }
        if !ids.is_empty() {
            self.send_txn(proposal, Purpose::Jobs(ids));
        }
    }

    fn txn_limits(&self) -> TxnLimits {
        let limits = &self.platform.deployment.store;
        let writes = limits.min_txn_ops();
        TxnLimits { writes, preconditions: writes * PRECONDITIONS_PER_WRITE, value_bytes: limits.value_bytes() }
    }

    /// The part of a transaction that brings one job's records up to date. Locks the job.
    fn job_part(&mut self, id: &JobId, role: Role, limits: TxnLimits) -> ProposedTxn {
        let write_id = self.nonce();
        let now = self.now();
        let progress_patience = Micros::from_millis(self.policy.progress_patience_ms);
        let leaves_moves = leader_delegates_moves(&self.store.replica, self.record_version());
        let guard = if leaves_moves { MachineGuard::Leadership } else { MachineGuard::Records };
        let mut proposal = ProposedTxn::default();
        let Some(job) = self.jobs.by_id.get_mut(id) else { return proposal };
        job.locked = true;
        job.dirty_since = None;
        let none = BTreeMap::new();
        let stored = self.store.replica.run_chunks.get(id).unwrap_or(&none);
        let mut changes = ChunkChanges::new(stored, self.store.chunk_tasks, limits, guard);
        let tasks = job.tasks_to_record(now, self.store.chunk_tasks, progress_patience);
        for task in job.change_chunks(tasks, &self.store.replica, &mut changes) {
            job.live.remove(task, &mut self.jobs.usage);
            job.redo.insert(task);
        }
        if changes.left_over {
            job.dirty_since = Some(Micros::ZERO);
        }
        proposal.unchanged(&self.store.replica, Key::Role(role));
        let end = Key::Outcome(id.clone());
        if job.over.is_none() {
            proposal.unchanged(&self.store.replica, end.clone());
        }
        let finishes =
            job.over.is_none() && job.spec.kind != JobKind::Service && changes.done_count() >= job.spec.tasks;
        if finishes {
            proposal.put(end, to_value(&OutcomeRecord::done()));
        }
        if (finishes || job.over.is_some()) && !changes.has_recorded_attempts() && !changes.left_over {
            // Over and nothing left of it: clear away. The outcome stays, and so does the job's
            // entry in its batch until all of that are over.
            changes.clear(&self.store.replica, id, &mut proposal);
            return proposal;
        }
        if changes.drop_too_large() {
            tracing::debug!(job = %id, "a part of its records is larger than may be written now");
            job.too_large_until = now + TOO_LARGE_PAUSE;
            job.dirty_since = Some(Micros::ZERO);
            if finishes {
                // The outcome goes with the record of its last tasks or not at all.
                return ProposedTxn::default();
            }
        }
        changes.write(&self.store.replica, id, write_id, &mut proposal);
        proposal
    }
}

/// A job whose records are too large to be written is looked at again after so long.
const TOO_LARGE_PAUSE: Micros = Micros::from_millis(500);

/// Whether its task has to start once more.
fn is_lost(live: &Start) -> bool {
    match live.phase() {
        Phase::Gone => true,
        Phase::Ended(why) => why != ExitCause::Completed,
        _ => false,
    }
}

/// What a job's records lack, the most pressing of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Need {
    /// A start of urgent work, or a service that is down until a lost place is out of the stored records.
    Urgent,
    /// Its outcome, which its user waits for.
    Outcome,
    /// Room in its chunks, which ended starts take that are still recorded, for tasks that wait.
    ChunkSpace,
    /// A start, or a lost place, of batch work.
    Batch,
    /// Tasks done while others go on; nobody waits for it.
    Progress,
}

impl Need {
    fn of(job: &Job) -> Option<Need> {
        let urgent = job.is_urgent();
        let finished =
            job.spec.kind != JobKind::Service && job.done + job.done_unrecorded.len() as u32 >= job.spec.tasks;
        let gang_rest = job.over.is_none() && job.gang_done() && job.waiting() > 0;
        if job.live.occupying() == 0 && (job.over.is_some() || finished) || gang_rest {
            return Some(Need::Outcome);
        }
        // Tasks done press in no job; taken for urgent they'd be looked at in vain in every round.
        if job.live.decided() > 0 || (job.live.settled() > 0 && job.live.values().any(is_lost)) {
            return Some(if urgent { Need::Urgent } else { Need::Batch });
        }
        if job.blocked && job.live.settled() > 0 && job.waiting() > 0 {
            return Some(Need::ChunkSpace);
        }
        (job.live.settled() > 0 || job.dirty_since == Some(Micros::ZERO)).then_some(Need::Progress)
    }

    fn name(self) -> &'static str {
        match self {
            Need::Urgent => "urgent starts",
            Need::Outcome => "outcomes",
            Need::ChunkSpace => "room for starts",
            Need::Batch => "batch starts",
            Need::Progress => "progress",
        }
    }

    fn patience_ms(self, policy: &Policy) -> u64 {
        match self {
            Need::Urgent => policy.urgent_patience_ms,
            Need::Outcome => policy.outcome_patience_ms,
            Need::ChunkSpace | Need::Batch => policy.batch_patience_ms,
            Need::Progress => policy.progress_patience_ms,
        }
    }
}
