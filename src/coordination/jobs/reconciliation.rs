//! Brings the jobs in line with the stored records: after each change of the replica, and after failover of a shard.
//!
//! The records are the truth about what may run where. An attempt that they name and that is unknown here appears; one
//! that they no longer name, and that no transaction of ours is about to add, vanishes.

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
    /// Brings the tasks of one chunk in line with its stored record; returns the machines that an attempt vanished from
    /// or was recorded on. `is_recorded`: whether any chunk names a task.
    fn reconcile_chunk(
        &mut self,
        chunk: &RunChunk,
        tasks: Range<u32>,
        is_recorded: impl Fn(u32) -> bool,
        usage: &mut Usage,
    ) -> Vec<MachineId> {
        let mut machines = self.remove_vanished_attempts(chunk, tasks.clone(), usage);
        self.progress.reconcile(chunk, tasks, is_recorded);
        machines.extend(self.add_recorded_attempts(chunk, usage));
        machines
    }

    /// Removes attempts that are gone from their chunk, or never got into it; returns their machines.
    fn remove_vanished_attempts(&mut self, chunk: &RunChunk, tasks: Range<u32>, usage: &mut Usage) -> Vec<MachineId> {
        let recorded = chunk.attempts_by_task();
        let is_being_recorded =
            |attempt: &TaskAttempt| self.recording.is_txn_in_flight && attempt.state() == AttemptState::Decided;
        let has_vanished = |task: u32, attempt: &TaskAttempt| match recorded.get(&task) {
            Some(start) => start.attempt != attempt.number || start.machine != *attempt.machine(),
            None => !is_being_recorded(attempt),
        };
        let attempts = self.attempts.range(tasks);
        let vanished: Vec<u32> =
            attempts.filter(|(task, attempt)| has_vanished(*task, attempt)).map(|(task, _)| task).collect();
        let mut machines = Vec::new();
        for task in vanished {
            machines.extend(self.attempts.remove(task, usage).map(|attempt| attempt.machine().clone()));
            let is_settled = recorded.contains_key(&task) || self.is_task_done(task, Some(chunk));
            if !is_settled {
                self.progress.to_restart.insert(task);
            }
        }
        machines
    }

    /// The attempts that a chunk names are recorded; returns the machines where that is news.
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
                    // Whoever recorded it may have sent the command.
                    attempt.may_have_been_sent = true;
                    self.attempts.insert(start.task, attempt, usage);
                }
            }
            machines.push(start.machine.clone());
        }
        machines
    }

    /// A machine without a record was deleted: nothing is on it.
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

    /// Forgets what was seen of the attempts: another controller commanded them meanwhile. Each recorded attempt may
    /// be anywhere between not sent and ended.
    fn reset_attempts(&mut self, usage: &mut Usage) {
        self.progress.unrecorded_done.clear();
        self.progress.retry_at.clear();
        self.recording.first_unrecorded_change_at = None;
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
    /// The shard whose holder schedules a job; the same on every controller. A team's jobs stay together, so that its
    /// quota can be kept; a team without any quota has its jobs spread by id where most shards would be idle otherwise.
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

    /// Brings a job in line with the replica.
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
        self.forget_if_settled(id);
    }

    /// Brings a job in line with one chunk of its records that has changed.
    pub(crate) fn reconcile_chunk(&mut self, id: &JobId, chunk: u32) {
        if self.reconcile_job_record(id) {
            self.reconcile_tasks_of_chunk(id, chunk);
            self.forget_if_settled(id);
        }
    }

    /// Adds a job that is new, and notes its outcome. Returns whether the job is known now.
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

    /// Adds a job from its record. One that is over with nothing left of it is named only by its batch, and is not
    /// added.
    fn add_job(&mut self, id: &JobId, outcome: Option<Outcome>) -> bool {
        if outcome.is_some() && !self.store.replica.run_chunks.contains_key(id) {
            return false;
        }
        let Some(known) = self.store.replica.jobs.get(id) else { return false };
        let shard = self.shard_of(known.record.spec.team.as_deref(), id);
        let job = Job::new(id, &known.record, shard);
        if known.record.spec.priority > Priority::Normal {
            self.scheduling.request_urgent_cycle();
        }
        self.jobs.insert(id, job);
        if outcome.is_none() {
            self.add_to_dependency_graph(id);
        }
        true
    }

    /// The records say that a job is over: no attempt that was only decided may start any more, and what may run has
    /// to stop.
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

    fn forget_if_settled(&mut self, id: &JobId) {
        let has_chunks = self.store.replica.run_chunks.contains_key(id);
        // One that is over because another was cancelled is known by its entry here until that is written down.
        let is_ended = self.store.replica.outcomes.contains_key(id);
        let is_settled = |job: &Job| {
            let needs_no_more_records = is_ended && job.outcome.is_some() || !job.recording.has_record;
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
        job.progress.done_count = chunks.values().map(|stored| stored.value.done_count()).sum();
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

    /// The shard was taken or lost: what was seen of its jobs' attempts no longer holds.
    pub(crate) fn reset_shard_jobs(&mut self, shard: u32) {
        for job in self.jobs.by_id.values_mut().filter(|job| job.shard == shard) {
            job.reset_attempts(&mut self.jobs.usage);
        }
        let in_shard = self.jobs.iter().filter(|(_, job)| job.shard == shard);
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
