//! Estimates whether a chunk of a job's stored records has space for one more attempt within the store's value size
//! limit.

use crate::coordination::Controller;
use crate::coordination::jobs::attempt::TaskAttempt;
use crate::coordination::jobs::job::Job;
use crate::types::JobId;

/// Bytes of a chunk besides its attempts and ranges of done tasks: field names, last attempt number and write id.
const CHUNK_OVERHEAD_BYTES: usize = 60;
/// Bytes of an attempt besides its numbers and the name of its machine.
const ATTEMPT_OVERHEAD_BYTES: usize = 8;
/// Bytes of a range of done tasks besides its two numbers.
const RANGE_OVERHEAD_BYTES: usize = 4;
/// Bytes assumed for the name and incarnation of the next attempt's machine, which is not known yet.
const UNKNOWN_MACHINE_BYTES: usize = 12;

impl Controller {
    /// Whether the chunks of a gang's records have space for attempts at all of its tasks, which start together.
    pub(crate) fn chunks_have_space_for_gang(&self, id: &JobId, job: &Job) -> bool {
        let chunks = self.store.replica.run_chunks.get(id);
        let last_attempt =
            chunks.into_iter().flat_map(|chunks| chunks.values()).map(|stored| stored.value.last_attempt);
        let next_attempt = last_attempt.max().unwrap_or(0) + 1;
        let tasks_in_fullest_chunk = job.spec.tasks.min(self.store.tasks_per_chunk()) as usize;
        let size = CHUNK_OVERHEAD_BYTES + tasks_in_fullest_chunk * unknown_attempt_bytes(job, next_attempt);
        size <= self.store.txn_limits().value_bytes
    }

    /// Whether a chunk of a job's records has space for one more attempt. An attempt that ends needs no further space:
    /// it is replaced by at most one range of done tasks, which is shorter.
    pub(crate) fn chunk_has_space(&self, id: &JobId, job: &Job, chunk: u32) -> bool {
        let tasks = chunk * self.store.tasks_per_chunk()..(chunk + 1).saturating_mul(self.store.tasks_per_chunk());
        let stored = self.store.replica.run_chunks.get(id).and_then(|chunks| chunks.get(&chunk));
        // A decided attempt is given one of the next attempt numbers when it is recorded.
        let max_attempt =
            stored.map_or(0, |stored| stored.value.last_attempt) + u64::from(self.store.tasks_per_chunk());
        let (mut total_bytes, mut longest_attempt) = (0, 0);
        for (task, attempt) in job.attempts.range(tasks) {
            let bytes = attempt_bytes(task, attempt, max_attempt);
            total_bytes += bytes;
            longest_attempt = longest_attempt.max(bytes);
        }
        let task_digits = digit_count(u64::from(job.spec.tasks));
        let next_attempt = longest_attempt.max(unknown_attempt_bytes(job, max_attempt));
        let range_count = stored.map_or(0, |stored| stored.value.done_ranges.len());
        let ranges = range_count * (RANGE_OVERHEAD_BYTES + 2 * task_digits);
        let size = CHUNK_OVERHEAD_BYTES + total_bytes + next_attempt + ranges;
        size <= self.store.txn_limits().value_bytes
    }
}

/// Returns the bytes of an attempt on a machine that is not known yet.
fn unknown_attempt_bytes(job: &Job, max_attempt: u64) -> usize {
    let task_digits = digit_count(u64::from(job.spec.tasks));
    ATTEMPT_OVERHEAD_BYTES + task_digits + digit_count(max_attempt) + UNKNOWN_MACHINE_BYTES
}

fn attempt_bytes(task: u32, attempt: &TaskAttempt, max_attempt: u64) -> usize {
    let task_digits = digit_count(u64::from(task));
    let attempt_digits = digit_count(attempt.number.max(max_attempt));
    let incarnation_digits = digit_count(attempt.incarnation);
    let machine_bytes = attempt.machine().as_str().len();
    ATTEMPT_OVERHEAD_BYTES + task_digits + attempt_digits + incarnation_digits + machine_bytes
}

fn digit_count(number: u64) -> usize {
    number.max(1).ilog10() as usize + 1
}
