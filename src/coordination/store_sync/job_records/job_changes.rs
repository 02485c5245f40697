//! Changes to be made to one job's records.

use crate::coordination::jobs::attempt::{AttemptState, TaskAttempt};
use crate::coordination::jobs::job::{Job, RecordingState};
use crate::coordination::store_sync::ProposedTxn;
use crate::coordination::store_sync::job_records::chunk_changes::{ChunkChanges, LeftOut};
use crate::coordination::store_sync::job_records::missing_record::{MissingRecord, is_lost};
use crate::protocol::agent::ExitCause;
use crate::protocol::user::JobKind;
use crate::storage::Replica;
use crate::storage::schema::{Key, OutcomeRecord, Role, to_value};
use crate::types::{JobId, Micros};
use std::collections::BTreeSet;

/// Pause before another attempt to write job records that were too large.
const TOO_LARGE_PAUSE: Micros = Micros::from_millis(500);

impl RecordingState {
    /// Notes what a transaction leaves out, to be written in the next one.
    fn note_left_out(&mut self, left_out: LeftOut, lacks_outcome: bool, now: Micros) {
        self.is_continued = left_out.is_incomplete;
        if left_out.has_too_large {
            self.retry_too_large_at = now + TOO_LARGE_PAUSE;
        }
        if left_out.is_incomplete || left_out.has_too_large || lacks_outcome {
            self.first_unrecorded_change_at = Some(Micros::ZERO);
        }
    }
}

impl Job {
    /// Returns the tasks of the held shards whose records are out of date. While other tasks of the job are pressing, chunks that lack
    /// nothing but done tasks are left out until `max_progress_delay` has passed.
    pub(super) fn tasks_to_record(
        &mut self,
        held_shards: &[u32],
        now: Micros,
        tasks_per_chunk: u32,
        max_progress_delay: Micros,
    ) -> Vec<u32> {
        let is_nothing_pressing = match MissingRecord::of(self, held_shards) {
            None | Some(MissingRecord::Outcome | MissingRecord::ChunkSpace | MissingRecord::Progress) => true,
            Some(MissingRecord::UrgentAttempt | MissingRecord::BatchAttempt) => false,
        };
        let take_all = is_nothing_pressing
            || self.recording.first_unrecorded_completion_at.is_some_and(|at| now.since(at) >= max_progress_delay);
        if take_all {
            self.recording.first_unrecorded_completion_at = None;
            self.scheduling.is_blocked_by_full_chunks = false;
        }
        let is_pressing = |attempt: &TaskAttempt| attempt.state() == AttemptState::Decided || is_lost(attempt);
        let pressing = self.attempts_in(held_shards).filter(|(_, attempt)| is_pressing(attempt));
        let pressing_chunks: BTreeSet<u32> = pressing.map(|(task, _)| task / tasks_per_chunk).collect();
        let is_due = |task: u32, attempt: &TaskAttempt| {
            is_pressing(attempt)
                || (!attempt.occupies_resources() && (take_all || pressing_chunks.contains(&(task / tasks_per_chunk))))
        };
        self.attempts_in(held_shards).filter(|(task, attempt)| is_due(*task, attempt)).map(|(task, _)| task).collect()
    }

    /// Adds the changes to be recorded for these tasks. Returns the tasks whose attempts can't be recorded, because the
    /// machine has been cordoned or moved to another shard since, the job has an outcome, no more machines fit, or the
    /// gang has lost an attempt and will start again.
    pub(super) fn change_chunks(&mut self, tasks: Vec<u32>, replica: &Replica, changes: &mut ChunkChanges) -> Vec<u32> {
        let gang_attempt = self.gang_attempt(changes);
        let is_gang_done = self.is_gang_done();
        let is_gang_lost = self.spec.kind == JobKind::Gang && self.attempts.settled_count() > 0;
        let mut dropped = Vec::new();
        for task in tasks {
            if !changes.admits_task(task) {
                continue;
            }
            let shard = self.shard_of_task(task);
            let Some(attempt) = self.attempts.get_mut(task) else { continue };
            if attempt.state() != AttemptState::Decided {
                changes
                    .remove_attempt(task, is_gang_done || attempt.state() == AttemptState::Ended(ExitCause::Completed));
                continue;
            }
            let machine = replica.machines.get(attempt.machine());
            let is_usable = machine.is_some_and(|m| m.value.cordon.is_none() && m.value.shard == shard);
            let is_wanted = is_usable && changes.holds(shard) && !is_gang_lost && self.outcome.is_none();
            if !is_wanted || !changes.admits_attempt(task, attempt.machine()) {
                dropped.push(task);
                continue;
            }
            attempt.number = changes.add_attempt(task, attempt, gang_attempt);
        }
        if is_gang_done {
            self.complete_gang(changes);
        }
        dropped
    }

    /// Returns the attempt number that all tasks of a gang get. If the gang does not fit into one transaction, the tasks
    /// in the later ones get the number of those that are recorded already.
    fn gang_attempt(&self, changes: &ChunkChanges) -> Option<u64> {
        let is_recorded = |attempt: &&TaskAttempt| attempt.state() != AttemptState::Decided;
        let recorded = self.attempts.values().find(is_recorded).map(|attempt| attempt.number);
        let number = recorded.unwrap_or(changes.last_stored_attempt() + 1);
        (self.spec.kind == JobKind::Gang).then_some(number)
    }

    /// Records the tasks without an attempt as done, in a gang that is done.
    fn complete_gang(&self, changes: &mut ChunkChanges) {
        for task in self.progress.to_restart.iter().copied().chain(self.progress.first_unstarted..self.spec.tasks) {
            if changes.admits_task(task) {
                changes.mark_done(task);
            }
        }
    }
}

/// Returns the transaction that brings one job's records up to date, with the roles of the job's shards that this
/// controller holds as preconditions. It has no writes if nothing may be written now.
pub(super) fn propose_changes(
    id: &JobId,
    job: &mut Job,
    mut changes: ChunkChanges,
    replica: &Replica,
    write_id: u64,
    now: Micros,
) -> ProposedTxn {
    let mut proposal = ProposedTxn::default();
    for shard in changes.held_shards() {
        proposal.unchanged(replica, Key::Role(Role::Shard(*shard)));
    }
    if job.outcome.is_none() {
        proposal.unchanged(replica, Key::Outcome(id.clone()));
    }
    let finishes = |job: &Job, changes: &ChunkChanges| {
        job.outcome.is_none() && job.spec.kind != JobKind::Service && changes.done_count() >= job.spec.tasks
    };
    let outcome = || {
        let mut outcome = ProposedTxn::default();
        outcome.put(Key::Outcome(id.clone()), to_value(&OutcomeRecord::done()));
        outcome
    };
    let ends = finishes(job, &changes);
    if (ends || job.outcome.is_some()) && !changes.has_attempts() && !changes.is_incomplete() {
        // The job has finished and has no attempts left. Its outcome stays, and its entry in the job batch stays until
        // all jobs of the batch have finished.
        if ends {
            proposal.append(outcome());
        }
        changes.delete_all(replica, id, &mut proposal);
        return proposal;
    }
    let left_out = changes.write(replica, id, write_id, &mut proposal);
    // The outcome is written with or after the records of the last tasks.
    let lacks_outcome = finishes(job, &changes) && !changes.append_within_limits(&mut proposal, outcome());
    job.recording.note_left_out(left_out, lacks_outcome, now);
    if left_out.has_too_large {
        tracing::debug!(job = %id, "job record too large to be written now");
    }
    proposal
}
