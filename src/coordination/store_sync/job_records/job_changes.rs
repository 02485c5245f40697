//! What is to be changed in one job's records.

use crate::coordination::jobs::attempt::{AttemptState, TaskAttempt};
use crate::coordination::jobs::job::Job;
use crate::coordination::store_sync::ProposedTxn;
use crate::coordination::store_sync::job_records::chunk_changes::ChunkChanges;
use crate::coordination::store_sync::job_records::missing_record::{MissingRecord, is_lost};
use crate::protocol::agent::ExitCause;
use crate::protocol::user::JobKind;
use crate::storage::Replica;
use crate::storage::schema::{Key, OutcomeRecord, Role, to_value};
use crate::types::{JobId, Micros};
use std::collections::BTreeSet;

/// A job whose records are too large to be written is looked at again after so long.
const TOO_LARGE_PAUSE: Micros = Micros::from_millis(500);

impl Job {
    /// Tasks whose records lack something. Chunks that lack nothing but tasks done are left for a while when others of
    /// the job press.
    pub(super) fn tasks_to_record(
        &mut self,
        now: Micros,
        tasks_per_chunk: u32,
        max_progress_delay: Micros,
    ) -> Vec<u32> {
        let is_nothing_pressing = match MissingRecord::of(self) {
            None | Some(MissingRecord::Outcome | MissingRecord::ChunkSpace | MissingRecord::Progress) => true,
            Some(MissingRecord::UrgentAttempt | MissingRecord::BatchAttempt) => false,
        };
        let all = is_nothing_pressing
            || self.recording.first_unrecorded_completion_at.is_some_and(|at| now.since(at) >= max_progress_delay);
        if all {
            self.recording.first_unrecorded_completion_at = None;
            self.scheduling.is_blocked_by_full_chunks = false;
        }
        let is_pressing = |attempt: &TaskAttempt| attempt.state() == AttemptState::Decided || is_lost(attempt);
        let pressing = self.attempts.iter().filter(|(_, attempt)| is_pressing(attempt));
        let pressing_chunks: BTreeSet<u32> = pressing.map(|(task, _)| task / tasks_per_chunk).collect();
        let is_due = |task: u32, attempt: &TaskAttempt| {
            is_pressing(attempt)
                || (!attempt.occupies_resources() && (all || pressing_chunks.contains(&(task / tasks_per_chunk))))
        };
        self.attempts.iter().filter(|(task, attempt)| is_due(*task, attempt)).map(|(task, _)| task).collect()
    }

    /// Adds what is to be recorded of these tasks. Says which attempts can't be recorded: their machines have been
    /// cordoned or have left the shard since, the job is over, or no more machines fit.
    pub(super) fn change_chunks(&mut self, tasks: Vec<u32>, replica: &Replica, changes: &mut ChunkChanges) -> Vec<u32> {
        let gang_attempt = (self.spec.kind == JobKind::Gang).then_some(changes.last_stored_attempt() + 1);
        let is_gang_done = self.is_gang_done();
        let mut dropped = Vec::new();
        for task in tasks {
            if !changes.admits_task(task) {
                continue;
            }
            let Some(attempt) = self.attempts.get_mut(task) else { continue };
            if attempt.state() != AttemptState::Decided {
                changes
                    .remove_attempt(task, is_gang_done || attempt.state() == AttemptState::Ended(ExitCause::Completed));
                continue;
            }
            let machine = replica.machines.get(attempt.machine());
            let is_usable = machine.is_some_and(|m| m.value.cordon.is_none() && m.value.shard == self.shard);
            if !is_usable || self.outcome.is_some() || !changes.admits_attempt(task, attempt.machine()) {
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

    /// The tasks of a gang that is done which have no attempt are done as well.
    fn complete_gang(&self, changes: &mut ChunkChanges) {
        for task in self.progress.to_restart.iter().copied().chain(self.progress.first_unstarted..self.spec.tasks) {
            if changes.admits_task(task) {
                changes.mark_done(task);
            }
        }
    }
}

/// The transaction that brings one job's records up to date, under the shard's role. Without writes if there is nothing
/// that may be written now.
pub(super) fn propose_changes(
    id: &JobId,
    job: &mut Job,
    mut changes: ChunkChanges,
    replica: &Replica,
    write_id: u64,
    now: Micros,
) -> ProposedTxn {
    let mut proposal = ProposedTxn::default();
    proposal.unchanged(replica, Key::Role(Role::Shard(job.shard)));
    if job.outcome.is_none() {
        proposal.unchanged(replica, Key::Outcome(id.clone()));
    }
    let finishes = job.outcome.is_none() && job.spec.kind != JobKind::Service && changes.done_count() >= job.spec.tasks;
    if finishes {
        proposal.put(Key::Outcome(id.clone()), to_value(&OutcomeRecord::done()));
    }
    if (finishes || job.outcome.is_some()) && !changes.has_attempts() && !changes.is_incomplete() {
        // Over and nothing left of it. The outcome stays, and so does the job's entry in its batch until all of that
        // are over.
        changes.delete_all(replica, id, &mut proposal);
        return proposal;
    }
    if changes.drop_too_large() {
        tracing::debug!(job = %id, "job record too large to be written now");
        job.recording.retry_too_large_at = now + TOO_LARGE_PAUSE;
        job.recording.first_unrecorded_change_at = Some(Micros::ZERO);
        if finishes {
            // The outcome goes with the record of its last tasks or not at all.
            return ProposedTxn::default();
        }
    }
    changes.write(replica, id, write_id, &mut proposal);
    proposal
}
