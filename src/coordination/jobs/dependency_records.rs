//! Jobs that wait for others: when they are ready, and what becomes of them when one they need is cancelled.
//!
//! That a job is over because one it needs was cancelled follows from the stored records alone: the other's outcome is
//! written once, and nothing of a job starts before all it needs are done. So every controller derives it for
//! itself and may tell it at once, and there are no tasks to end. The job's own outcome is written when there is
//! time for it, so that its batch can be cleared away.

use crate::coordination::Controller;
use crate::coordination::jobs::dependency_graph::Urgency;
use crate::coordination::jobs::job::Job;
use crate::coordination::store_sync::txns::{ProposedTxn, Purpose};
use crate::protocol::user::{JobSpec, Priority};
use crate::storage::schema::{JobRecord, Key, Outcome, OutcomeRecord, Role, to_value};
use crate::types::{JobId, Micros};

/// Bytes of a run chunk besides its starts and ranges: field names, attempts so far, and the write's number.
const CHUNK_BYTES: usize = 60;
/// Bytes of a start besides its numbers and its machine's name, and of a range besides its two numbers.
const START_BYTES: usize = 8;
const RANGE_BYTES: usize = 4;

/// Bytes of a machine's name and incarnation, as far as they aren't known yet.
const MACHINE_BYTES: usize = 12;

fn digits(number: u64) -> usize {
    number.max(1).ilog10() as usize + 1
}

impl Controller {
    /// What became of a job, whether its own key says so or that of one it needs.
    pub(crate) fn outcome(&self, id: &JobId) -> Option<Outcome> {
        let written = self.store.replica.outcomes.get(id).map(|e| e.value.outcome);
        written.or_else(|| self.jobs.cascaded.contains(id).then_some(Outcome::Cancelled))
    }

    /// Whether all jobs it depends on are known to have been accepted.
    pub(crate) fn dependencies_exist(&self, spec: &JobSpec) -> bool {
        spec.depends_on
            .iter()
            .all(|id| self.store.replica.jobs.contains_key(id) || self.store.replica.outcomes.contains_key(id))
    }

    /// How long a job takes once it is ready, for those that have to be done before it. Estimates are often wrong by
    /// half, and tasks don't all start at once.
    fn span(&self, record: &JobRecord) -> Micros {
        let estimate = record.spec.estimated_runtime_s * self.policy.stage_estimate_factor;
        Micros::from_secs_f64(estimate) + Micros::from_millis(self.policy.stage_overhead_ms)
    }

    /// Ties a job that has just become known to those it waits for.
    pub(crate) fn add_to_dependency_graph(&mut self, id: &JobId) {
        let Some(known) = self.store.replica.jobs.get(id) else { return };
        let depends_on = known.record.spec.depends_on.clone();
        if depends_on.is_empty() && self.jobs.dependency_graph.urgency(id).is_none() {
            return;
        }
        let (own, span) = (known.record.urgency(), self.span(&known.record));
        self.jobs.dependency_graph.note(id, own, span);
        let mut raised = vec![id.clone()];
        let mut cancelled = false;
        for before in &depends_on {
            match self.outcome(before) {
                Some(Outcome::Done) => {}
                Some(Outcome::Cancelled) => cancelled = true,
                None => {
                    if let Some(earlier) = self.store.replica.jobs.get(before) {
                        let (own, span) = (earlier.record.urgency(), self.span(&earlier.record));
                        self.jobs.dependency_graph.note(before, own, span);
                    } else {
                        // Accepted, as it was named, though not read yet.
                        let own = Urgency { priority: Priority::Low, due: None };
                        self.jobs.dependency_graph.note(before, own, Micros::ZERO);
                    }
                    raised.extend(self.jobs.dependency_graph.link(id, before));
                }
            }
        }
        // It may have been noted before as one that others wait for.
        raised.extend(self.jobs.dependency_graph.raise_before(id));
        for id in raised {
            self.take_urgency(&id);
        }
        let held = self.jobs.dependency_graph.waits(id);
        if let Some(job) = self.jobs.by_id.get_mut(id) {
            job.held = held || cancelled;
        }
        if cancelled {
            self.cascade(id);
            self.job_over(id);
        }
    }

    fn take_urgency(&mut self, id: &JobId) {
        if let (Some(job), Some(urgency)) = (self.jobs.by_id.get_mut(id), self.jobs.dependency_graph.urgency(id)) {
            job.urgency = urgency;
        }
    }

    /// A job that waits for a cancelled one is over.
    fn cascade(&mut self, id: &JobId) {
        if self.store.replica.outcomes.contains_key(id) {
            return;
        }
        if let Some(job) = self.jobs.by_id.get_mut(id) {
            job.over = Some(Outcome::Cancelled);
            self.jobs.cascaded.insert(id.clone());
        }
    }

    /// A job is over: those that waited for it are ready, or over as well, and so on.
    pub(crate) fn job_over(&mut self, id: &JobId) {
        let mut open = vec![id.clone()];
        while let Some(id) = open.pop() {
            if self.store.replica.outcomes.contains_key(&id) {
                self.jobs.cascaded.remove(&id);
            }
            let Some(outcome) = self.outcome(&id) else { continue };
            let done = outcome == Outcome::Done;
            for follower in self.jobs.dependency_graph.ended(&id, done) {
                if done {
                    self.ready(&follower);
                } else {
                    self.cascade(&follower);
                    open.push(follower);
                }
            }
        }
    }

    fn ready(&mut self, id: &JobId) {
        let now = self.clock.wall;
        if let Some(job) = self.jobs.by_id.get_mut(id).filter(|j| j.over.is_none()) {
            job.held = false;
            job.ready = now.max(job.accepted);
            self.scheduling.urgent_cycle_wanted |= job.urgency.priority > Priority::Normal;
            self.scheduling.cycle_wanted = true;
            tracing::debug!(job = %id, "ready: all it needs is done");
        }
    }

    /// Writes down, in the shards held here, that swept jobs are over. Nobody waits for it.
    pub(crate) fn write_cascaded(&mut self) {
        if self.jobs.cascaded.is_empty() || self.store.txns.cascading() {
            return;
        }
        let most = self.platform.deployment.store.min_txn_ops();
        let ours = |id: &&JobId| self.jobs.by_id.get(*id).is_some_and(|j| self.holds(Role::Shard(j.shard)));
        let ids: Vec<JobId> = self.jobs.cascaded.iter().filter(ours).take(most).cloned().collect();
        if ids.is_empty() {
            return;
        }
        let mut proposal = ProposedTxn::default();
        for id in &ids {
            proposal.unchanged(&self.store.replica, Key::Outcome(id.clone()));
            proposal.put(Key::Outcome(id.clone()), to_value(&OutcomeRecord::cancelled(self.clock.wall)));
        }
        self.submit_txn(proposal, Purpose::Cascade);
    }

    /// Whether a chunk of a job's records can name one more start and stay within what may be written. A start that
    /// ends leaves a range at most, which is shorter.
    pub(crate) fn chunk_has_room(&self, id: &JobId, job: &Job, chunk: u32) -> bool {
        let tasks = chunk * self.store.chunk_tasks..(chunk + 1).saturating_mul(self.store.chunk_tasks);
        let stored = self.store.replica.run_chunks.get(id).and_then(|chunks| chunks.get(&chunk));
        let (mut starts, mut longest_start) = (0, 0);
        // One that is decided gets one of the next attempts.
        let attempts = stored.map_or(0, |c| c.value.last_attempt) + u64::from(self.store.chunk_tasks);
        for (task, live) in job.live.range(tasks) {
            let numbers = digits(u64::from(task)) + digits(live.attempt.max(attempts)) + digits(live.incarnation);
            let size = START_BYTES + numbers + live.machine().as_str().len();
            starts += size;
            longest_start = longest_start.max(size);
        }
        let index_digits = digits(u64::from(job.spec.tasks));
        let next_start = longest_start.max(START_BYTES + index_digits + digits(attempts) + MACHINE_BYTES);
        let ranges = stored.map_or(0, |c| c.value.done_ranges.len());
        let size = CHUNK_BYTES + starts + next_start + ranges * (RANGE_BYTES + 2 * index_digits);
        size <= self.platform.deployment.store.value_bytes()
    }
}
