//! Lending: tasks that find no room in their shard are scheduled by other shards that have room.
//!
//! Only empty machines change their shard, and a machine that runs services, or long tasks that nothing may preempt, may
//! never be empty. Its room is of use to other shards only if its own shard schedules their tasks. So the holder of a
//! shard lends tasks that have waited for some time, as many as fit elsewhere, to the shards that have room. The loans
//! are in the stored records, and the holder of the borrowing shard schedules, records and stops these tasks like its
//! own. Nothing that runs there is stopped for them, except as for any task of the shard.
//!
//! The holder of the tasks' present shard writes the loan itself, as only it knows that no start of them is decided or in
//! transit to the store. The write has the same preconditions as a start: its lease on the shard, and that the job has no
//! outcome. A borrowing shard without room lends the tasks on after the same time.

use crate::coordination::Controller;
use crate::coordination::autoscaling::bin_packing::{MachineCapacity, pack_tasks};
use crate::coordination::autoscaling::capacity_plan::CapacityByShard;
use crate::coordination::control::versions::may_lend_tasks;
use crate::coordination::jobs::job::Job;
use crate::coordination::store_sync::{ProposedTxn, TxnPurpose};
use crate::protocol::user::JobKind;
use crate::storage::schema::{Key, Role, TaskLoans, to_value};
use crate::types::{JobId, Micros};
use std::collections::BTreeSet;
use std::ops::Range;

/// Interval between two searches for tasks to be lent.
const LENDING_INTERVAL: Micros = Micros::from_millis(1000);
/// Time after which room is searched again for a job for which there was none.
const RETRY_INTERVAL: Micros = Micros::from_millis(5000);
/// Maximum number of jobs for which room is searched at a time, which bounds the time that a search takes.
const MAX_JOBS_PER_SEARCH: usize = 32;
/// Maximum number of jobs whose tasks are lent at a time. Each takes a write.
const MAX_JOBS_LENT: usize = 4;
/// Maximum number of ranges in the loans of one job, which bounds the size of their record.
const MAX_RANGES: usize = 24;

/// Tasks of one job that move from one shard to another.
struct NewLoan {
    from_shard: u32,
    to_shard: u32,
    tasks: Vec<u32>,
}

impl Job {
    /// Returns the job's loans after tasks have moved to other shards. Ranges whose tasks are all done are left out.
    fn loans_with(&self, stored: &TaskLoans, new: &[NewLoan]) -> TaskLoans {
        let mut loans = stored.clone();
        loans.ranges.retain(|loan| !self.are_tasks_done(loan.tasks()));
        for loan in new {
            let to_shard = (loan.to_shard != self.home_shard).then_some(loan.to_shard);
            for run in consecutive_runs(&loan.tasks) {
                loans.assign(run, to_shard);
            }
        }
        loans
    }
}

/// Returns ascending tasks as ranges of consecutive ones.
fn consecutive_runs(tasks: &[u32]) -> Vec<Range<u32>> {
    let mut runs: Vec<Range<u32>> = Vec::new();
    for task in tasks {
        match runs.last_mut() {
            Some(run) if run.end == *task => run.end += 1,
            _ => runs.push(*task..*task + 1),
        }
    }
    runs
}

impl Controller {
    /// Lends tasks that have waited for `lend_after_ms` in a shard held by this controller to shards with room.
    pub(crate) fn lend_waiting_tasks(&mut self) {
        let now = self.now();
        if now < self.scheduling.next_lending_at {
            return;
        }
        self.scheduling.next_lending_at = now + LENDING_INTERVAL;
        let due = self.jobs_waiting_for_loans();
        if due.is_empty() || !may_lend_tasks(&self.store.replica, self.record_version()) {
            return;
        }
        let mut capacity: CapacityByShard =
            (0..self.shard_count()).map(|shard| (shard, self.capacity_beside_waiting_jobs(shard))).collect();
        let mut lent_count = 0;
        for id in due {
            let loans = self.loans_for(&id, &mut capacity);
            if !loans.is_empty() && self.write_loans(&id, &loans) {
                lent_count += 1;
            } else if let Some(job) = self.jobs.get_mut(&id) {
                job.scheduling.next_lending_at = now + RETRY_INTERVAL;
            }
            if lent_count >= MAX_JOBS_LENT {
                break;
            }
        }
    }

    /// Updates since when tasks wait in the shards held by this controller. Returns the next jobs whose tasks have waited
    /// for long enough, the most urgent first.
    fn jobs_waiting_for_loans(&mut self) -> Vec<JobId> {
        let now = self.now();
        let min_wait = Micros::from_millis(self.policy.lend_after_ms);
        let waits_for_room = |job: &Job| !job.is_failing() && !job.scheduling.is_blocked_by_full_chunks;
        let is_waiting = |job: &Job| waits_for_room(job) && self.has_tasks_waiting_here(job);
        let waiting: BTreeSet<JobId> =
            self.jobs.iter().filter(|(_, job)| is_waiting(job)).map(|(id, _)| id.clone()).collect();
        self.jobs.update_waiting_since(&waiting, now);
        let has_waited = |job: &Job| {
            let has_waited = job.scheduling.waiting_since.is_some_and(|since| now.since(since) >= min_wait);
            has_waited && now >= job.scheduling.next_lending_at
        };
        let jobs = waiting.into_iter().filter_map(|id| Some((self.jobs.get(&id)?, id)));
        let mut due: Vec<_> = jobs
            .filter(|(job, _)| has_waited(job) && self.can_be_scheduled(job) && now >= job.recording.rejected_until)
            .map(|(job, id)| (std::cmp::Reverse(job.urgency.priority), job.scheduling.waiting_since, id))
            .collect();
        due.sort();
        due.into_iter().map(|(_, _, id)| id).take(MAX_JOBS_PER_SEARCH).collect()
    }

    /// Returns the loans of a job's waiting tasks to shards that have room for them, and takes that room.
    fn loans_for(&self, id: &JobId, capacity: &mut CapacityByShard) -> Vec<NewLoan> {
        let Some(job) = self.jobs.get(id) else { return Vec::new() };
        let mut loans = Vec::new();
        for from_shard in self.held_shards_of(id) {
            let mut wanted = u64::from(job.waiting_count_in(from_shard));
            if from_shard == job.home_shard {
                wanted = wanted.min(self.lendable_tasks_within_quota(job));
            }
            if wanted == 0 {
                continue;
            }
            if self.stays_in_one_shard(job) {
                loans.extend(self.loan_of_whole_job(job, wanted, capacity));
            } else {
                loans.extend(self.loans_of_tasks(job, from_shard, wanted, capacity));
            }
        }
        loans
    }

    /// Whether all tasks of a job have to be in one shard: they start together, their zones depend on each other and their
    /// records are in several chunks, or displaced replicas are counted by shard. Within one chunk, each start is
    /// recorded on the precondition that no other was recorded since it was decided, whichever holder records them.
    fn stays_in_one_shard(&self, job: &Job) -> bool {
        let depends_on_zones = job.spec.one_zone || job.spec.spread;
        match job.spec.kind {
            JobKind::Gang => true,
            JobKind::Service if self.handles_zone_failures() => true,
            JobKind::Service | JobKind::Array => depends_on_zones && job.spec.tasks > self.store.tasks_per_chunk(),
        }
    }

    /// Returns the loan of all tasks of a job that has no attempt, to a shard with room for all of them.
    fn loan_of_whole_job(&self, job: &Job, wanted: u64, capacity: &mut CapacityByShard) -> Option<NewLoan> {
        let task_count = u64::from(job.spec.tasks);
        if !job.attempts.is_empty() || wanted < task_count || !job.loans.ranges.is_empty() {
            return None;
        }
        let shards = self.shards_by_room(job, job.shard, task_count, capacity);
        let (to_shard, machines) = shards.into_iter().next().filter(|(_, room)| room.task_count == task_count)?;
        capacity.insert(to_shard, machines.machines);
        Some(NewLoan { from_shard: job.shard, to_shard, tasks: (0..job.spec.tasks).collect() })
    }

    /// Returns loans of a job's tasks that wait in a shard, to as many other shards as it takes.
    fn loans_of_tasks(&self, job: &Job, from_shard: u32, wanted: u64, capacity: &mut CapacityByShard) -> Vec<NewLoan> {
        let now = self.now();
        let may_start = |task: &u32| job.progress.retry_at.get(task).is_none_or(|at| *at <= now);
        let rooms = self.shards_by_room(job, from_shard, wanted, capacity);
        let total_room: u64 = rooms.iter().map(|(_, room)| room.task_count).sum();
        let waiting = job.waiting_tasks_in(from_shard, wanted.min(total_room) as usize);
        let mut tasks: Vec<u32> = waiting.into_iter().filter(may_start).collect();
        let mut loans = Vec::new();
        for (to_shard, room) in rooms {
            let taken = (room.task_count as usize).min(tasks.len());
            if taken == 0 {
                break;
            }
            let lent: Vec<u32> = tasks.drain(..taken).collect();
            let machines = capacity.entry(to_shard).or_default();
            pack_tasks(&job.spec, lent.len() as u64, machines, &mut self.tasks_by_usable_zone(job));
            loans.push(NewLoan { from_shard, to_shard, tasks: lent });
        }
        loans
    }

    /// Returns the other shards with room for tasks of a job, those with room for most of them first.
    fn shards_by_room(
        &self,
        job: &Job,
        from_shard: u32,
        wanted: u64,
        capacity: &CapacityByShard,
    ) -> Vec<(u32, ShardRoom)> {
        let others = capacity.iter().filter(|(shard, _)| **shard != from_shard && self.has_holder(**shard));
        let mut rooms: Vec<(u32, ShardRoom)> = others
            .map(|(shard, machines)| {
                let mut machines = machines.clone();
                let task_count = pack_tasks(&job.spec, wanted, &mut machines, &mut self.tasks_by_usable_zone(job));
                (*shard, ShardRoom { task_count, machines })
            })
            .collect();
        rooms.sort_by_key(|(shard, room)| (std::cmp::Reverse(room.task_count), *shard));
        rooms
    }

    /// Whether a controller holds a shard.
    fn has_holder(&self, shard: u32) -> bool {
        self.store.replica.roles.contains_key(&Role::Shard(shard))
    }

    /// Writes new loans of a job's tasks. Nothing of the job is scheduled here until the write has ended. Returns whether
    /// it was proposed.
    fn write_loans(&mut self, id: &JobId, new: &[NewLoan]) -> bool {
        let replica = &self.store.replica;
        let Some(job) = self.jobs.get(id) else { return false };
        let stored = replica.job_loans.get(id).map(|stored| stored.value.clone()).unwrap_or_default();
        let loans = job.loans_with(&stored, new);
        if loans.ranges.len() > MAX_RANGES {
            return false;
        }
        let mut proposal = ProposedTxn::default();
        // The roles name the record versions of their holders, which must follow the loans.
        for shard in new.iter().flat_map(|loan| [loan.from_shard, loan.to_shard]) {
            proposal.unchanged(replica, Key::Role(Role::Shard(shard)));
        }
        proposal.unchanged(replica, Key::Outcome(id.clone()));
        proposal.unchanged(replica, Key::JobLoans(id.clone()));
        proposal.put(Key::JobLoans(id.clone()), to_value(&loans));
        for NewLoan { from_shard, to_shard, tasks } in new {
            tracing::info!(job = %id, tasks = tasks.len(), from_shard, to_shard, "waiting tasks lent to another shard");
        }
        if let Some(job) = self.jobs.get_mut(id) {
            job.recording.is_txn_in_flight = true;
            job.scheduling.is_lending = true;
            job.scheduling.waiting_since = None;
        }
        self.jobs.update_lent(id);
        self.submit_txn(proposal, TxnPurpose::Jobs(vec![id.clone()]));
        true
    }
}

/// The room of a shard for tasks of one job.
struct ShardRoom {
    /// Number of the tasks that fit.
    task_count: u64,
    /// The shard's machines without that room.
    machines: Vec<MachineCapacity>,
}
