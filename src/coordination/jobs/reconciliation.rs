//! Reconciles the jobs with the stored records, after each change of the replica and after failover of a shard.
//!
//! The records are authoritative for which task may run where. An attempt that is recorded but unknown here is added.
//! An attempt that is no longer recorded, and that no transaction in flight is about to record, is removed.

use crate::coordination::Controller;
use crate::coordination::jobs::attempt::{AttemptState, TaskAttempt};
use crate::coordination::jobs::job::Job;
use crate::coordination::jobs::usage::Usage;
use crate::protocol::user::{JobKind, Priority};
use crate::storage::schema::{Outcome, RunChunk};
use crate::types::{JobId, MachineId, Micros};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

impl Job {
    /// Reconciles the tasks of one chunk with its stored record. Returns the machines of attempts that were removed or
    /// became recorded. `is_recorded` returns whether any chunk mentions a task.
    fn reconcile_chunk(
        &mut self,
        chunk: &RunChunk,
        tasks: Range<u32>,
        is_recorded: impl Fn(u32) -> bool,
        usage: &mut Usage,
    ) -> Vec<MachineId> {
        let mut machines = self.remove_unrecorded_attempts(chunk, tasks.clone(), usage);
        self.progress.reconcile(chunk, tasks, is_recorded);
        machines.extend(self.add_recorded_attempts(chunk, usage));
        machines
    }

    /// Removes attempts that are no longer in their chunk, or were never recorded; returns their machines.
    fn remove_unrecorded_attempts(&mut self, chunk: &RunChunk, tasks: Range<u32>, usage: &mut Usage) -> Vec<MachineId> {
        let recorded = chunk.attempts_by_task();
        let is_being_recorded =
            |attempt: &TaskAttempt| self.recording.is_recording_attempts() && attempt.state() == AttemptState::Decided;
        let is_unrecorded = |task: u32, attempt: &TaskAttempt| match recorded.get(&task) {
            Some(start) => start.attempt != attempt.number || start.machine != *attempt.machine(),
            None => !is_being_recorded(attempt),
        };
        let attempts = self.attempts.range(tasks);
        let unrecorded: Vec<u32> =
            attempts.filter(|(task, attempt)| is_unrecorded(*task, attempt)).map(|(task, _)| task).collect();
        let mut machines = Vec::new();
        for task in unrecorded {
            machines.extend(self.attempts.remove(task, usage).map(|attempt| attempt.machine().clone()));
            let is_settled = recorded.contains_key(&task) || self.is_task_done(task, Some(chunk));
            if !is_settled {
                self.progress.to_restart.insert(task);
            }
        }
        machines
    }

    /// Adds the attempts of a chunk that are unknown here and marks decided ones as recorded. Returns the machines of
    /// both.
    fn add_recorded_attempts(&mut self, chunk: &RunChunk, usage: &mut Usage) -> Vec<MachineId> {
        let mut machines = Vec::new();
        for start in &chunk.task_attempts {
            match self.attempts.get(start.task).map(TaskAttempt::state) {
                Some(AttemptState::Decided) => self.attempts.set_state(start.task, AttemptState::Recorded, usage),
                Some(_) => continue,
                None => {
                    let (machine, incarnation) = (start.machine.clone(), start.incarnation);
                    let mut attempt = TaskAttempt::new(start.attempt, machine, incarnation, AttemptState::Recorded);
                    attempt.stop_grace_s = self.outcome.map(|_| 0.0);
                    // The controller that recorded it may have sent the start command.
                    attempt.may_have_been_sent = true;
                    self.attempts.insert(start.task, attempt, usage);
                }
            }
            machines.push(start.machine.clone());
        }
        machines
    }

    /// Marks attempts on deleted machines as absent. A machine without a record was deleted.
    fn end_attempts_on_deleted_machines(
        &mut self,
        tasks: Range<u32>,
        is_deleted: impl Fn(&MachineId) -> bool,
        now: Micros,
        usage: &mut Usage,
    ) {
        let is_lost = |attempt: &TaskAttempt| attempt.occupies_resources() && is_deleted(attempt.machine());
        let attempts = self.attempts.range(tasks);
        let lost: Vec<u32> = attempts.filter(|(_, attempt)| is_lost(attempt)).map(|(task, _)| task).collect();
        for task in lost {
            self.attempts.set_state(task, AttemptState::ProvenAbsent, usage);
            self.recording.mark_changed(now);
        }
    }

    /// Resets the attempts to what is recorded, as a sibling may have sent commands for them meanwhile. The start
    /// command of a recorded attempt may not have been sent yet, and the attempt may have ended already.
    fn reset_attempts(&mut self, usage: &mut Usage) {
        self.progress.unrecorded_done.clear();
        self.progress.retry_at.clear();
        self.recording.first_unrecorded_change_at = None;
        self.recording.is_continued = false;
        let is_recorded = |attempt: &TaskAttempt| attempt.state() != AttemptState::Decided;
        let recorded: Vec<u32> =
            self.attempts.iter().filter(|(_, attempt)| is_recorded(attempt)).map(|(task, _)| task).collect();
        for task in recorded {
            self.attempts.set_state(task, AttemptState::Recorded, usage);
            if let Some(attempt) = self.attempts.get_mut(task) {
                attempt.may_have_been_sent = true;
                attempt.last_inconclusive_seq = 0;
                attempt.stop_grace_s = self.outcome.map(|_| 0.0);
            }
        }
    }
}

impl Controller {
    /// Returns the shard whose holder schedules a job. Every controller computes the same shard. A team's jobs are in
    /// one shard, so that its quota can be enforced; the jobs of a team without a quota are spread by id if most shards
    /// would be idle otherwise.
    fn shard_of(&self, team: Option<&str>, id: &JobId) -> u32 {
        let shards = self.shard_count();
        let teams = &self.platform.deployment.teams;
        let spreads_by_job = self.platform.deployment.shards_jobs_individually();
        let stays_together =
            |name: &str| teams.iter().position(|t| t.name == name && (t.has_quota() || !spreads_by_job));
        match team.and_then(stays_together) {
            Some(position) => position as u32 % shards,
            None => {
                let hash = |h: u32, byte: u8| h.wrapping_mul(31).wrapping_add(u32::from(byte));
                id.as_str().bytes().fold(0, hash) % shards
            }
        }
    }

    /// Reconciles a job with the replica.
    pub(crate) fn reconcile_job(&mut self, id: &JobId) {
        if !self.reconcile_job_record(id) {
            return;
        }
        let runs = self.store.replica.run_chunks.get(id);
        let chunks: BTreeSet<u32> = match self.jobs.get(id) {
            Some(job) => {
                let of_attempts = job.attempts.iter().map(|(task, _)| task / self.store.tasks_per_chunk());
                of_attempts.chain(runs.into_iter().flat_map(|chunks| chunks.keys().copied())).collect()
            }
            None => BTreeSet::new(),
        };
        for chunk in chunks {
            self.reconcile_tasks_of_chunk(id, chunk);
        }
        self.count_done_tasks(id);
        self.remove_if_settled(id);
    }

    /// Reconciles a job with one chunk of its records that has changed.
    pub(crate) fn reconcile_chunk(&mut self, id: &JobId, chunk: u32) {
        if self.reconcile_job_record(id) {
            self.reconcile_tasks_of_chunk(id, chunk);
            self.count_done_tasks(id);
            self.remove_if_settled(id);
        }
    }

    /// Adds a job that is new, and ends it if it has an outcome. Returns whether the job is known afterwards.
    fn reconcile_job_record(&mut self, id: &JobId) -> bool {
        let outcome = self.store.replica.outcomes.get(id).map(|end| end.value.outcome);
        if !self.jobs.contains_key(id) && !self.add_job(id, outcome) {
            return false;
        }
        let has_record = self.store.replica.jobs.contains_key(id);
        let Some(job) = self.jobs.get_mut(id) else { return false };
        job.recording.has_record = has_record;
        if let Some(outcome) = outcome
            && job.outcome.is_none()
        {
            self.end_job(id, outcome);
        }
        true
    }

    /// Adds a job from its record. A job that has ended and has no chunks left is not added: only its batch still
    /// contains it. Returns whether the job was added.
    fn add_job(&mut self, id: &JobId, outcome: Option<Outcome>) -> bool {
        if outcome.is_some() && !self.store.replica.run_chunks.contains_key(id) {
            return false;
        }
        let Some(known) = self.store.replica.jobs.get(id) else { return false };
        let shard = self.shard_of(known.record.spec.team.as_deref(), id);
        let mut job = Job::new(id, &known.record, shard);
        job.set_loans(self.store.replica.job_loans.get(id).map(|stored| &stored.value), self.shard_count());
        if known.record.spec.priority > Priority::Normal {
            self.scheduling.request_urgent_cycle();
        }
        self.jobs.insert(id, job);
        if outcome.is_none() {
            self.add_to_dependency_graph(id);
        }
        true
    }

    /// Sets the outcome of a job that has ended according to the records. Decided attempts may no longer start, and
    /// attempts that may be running have to stop.
    fn end_job(&mut self, id: &JobId, outcome: Outcome) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.outcome = Some(outcome);
        job.stop_attempts();
        let machines: Vec<MachineId> = job.attempts.values().map(|attempt| attempt.machine().clone()).collect();
        self.jobs.usage.mark_changed(id);
        for machine in machines {
            self.fleet.queue_direct_message(&machine);
        }
        self.note_cancellation_deadline(id);
    }

    fn remove_if_settled(&mut self, id: &JobId) {
        let has_chunks = self.store.replica.run_chunks.contains_key(id);
        // A job that was cancelled with a dependency has to stay known until its own outcome is in the stored records.
        let has_recorded_outcome = self.store.replica.outcomes.contains_key(id);
        let is_settled = |job: &Job| {
            let needs_no_more_records = has_recorded_outcome && job.outcome.is_some() || !job.recording.has_record;
            needs_no_more_records && !has_chunks && job.attempts.is_empty() && !job.recording.is_txn_in_flight
        };
        if self.jobs.get(id).is_some_and(is_settled) {
            self.jobs.remove(id);
        }
    }

    fn reconcile_tasks_of_chunk(&mut self, id: &JobId, number: u32) {
        let now = self.now();
        let size = self.store.tasks_per_chunk();
        let Some(job) = self.jobs.by_id.get_mut(id) else { return };
        let no_chunks = BTreeMap::new();
        let chunks = self.store.replica.run_chunks.get(id).unwrap_or(&no_chunks);
        let empty = RunChunk::default();
        let chunk = chunks.get(&number).map_or(&empty, |stored| &stored.value);
        let tasks = number * size..(number + 1).saturating_mul(size);
        let is_recorded =
            |task: u32| chunks.get(&(task / size)).is_some_and(|stored| stored.value.is_task_recorded(task));
        let machines = job.reconcile_chunk(chunk, tasks.clone(), is_recorded, &mut self.jobs.usage);
        let is_deleted = |machine: &MachineId| !self.store.replica.machines.contains_key(machine);
        job.end_attempts_on_deleted_machines(tasks, is_deleted, now, &mut self.jobs.usage);
        let may_wait = job.outcome.is_none() && job.spec.kind == JobKind::Array && !job.is_urgent();
        for machine in machines {
            self.update_idle_since(&machine);
            if may_wait {
                self.queue_direct_message_soon(&machine);
            } else {
                self.fleet.queue_direct_message(&machine);
            }
        }
    }

    /// Counts the tasks that the job's chunks record as done. Takes a walk over all chunks.
    fn count_done_tasks(&mut self, id: &JobId) {
        let Some(job) = self.jobs.by_id.get_mut(id) else { return };
        let chunks = self.store.replica.run_chunks.get(id).into_iter().flat_map(BTreeMap::values);
        job.progress.done_count = chunks.map(|stored| stored.value.done_count()).sum();
    }

    /// Resets the jobs of a shard that was acquired or lost, as the states of their attempts are no longer valid.
    pub(crate) fn reset_shard_jobs(&mut self, shard: u32) {
        for job in self.jobs.by_id.values_mut().filter(|job| job.is_in_shard(shard)) {
            job.reset_attempts(&mut self.jobs.usage);
        }
        let in_shard = self.jobs.iter().filter(|(_, job)| job.is_in_shard(shard));
        let ids: Vec<JobId> = in_shard.map(|(id, _)| id.clone()).collect();
        for id in &ids {
            self.jobs.usage.mark_changed(id);
        }
        for id in ids {
            self.reconcile_job(&id);
            self.note_cancellation_deadline(&id);
        }
    }
}
