//! Readiness of jobs with dependencies, and cascading cancellation.
//!
//! A job whose dependency is cancelled is cancelled as well. This follows from the stored records alone: the
//! dependency's outcome is written once, and no task of a job starts before all its dependencies are done. So every
//! controller derives the cancellation by itself and may report it at once, and there are no attempts to stop. The
//! job's own outcome is written when the write budget permits, so that its batch can be garbage-collected.

use crate::coordination::Controller;
use crate::coordination::jobs::dependency_graph::Urgency;
use crate::coordination::store_sync::{ProposedTxn, TxnPurpose};
use crate::protocol::user::{JobSpec, Priority};
use crate::storage::schema::{JobRecord, Key, Outcome, OutcomeRecord, Role, to_value};
use crate::types::{JobId, Micros};

impl Controller {
    /// Returns the outcome of a job, which follows from its own records or those of a dependency.
    pub(crate) fn outcome(&self, id: &JobId) -> Option<Outcome> {
        let recorded = self.store.replica.outcomes.get(id).map(|end| end.value.outcome);
        recorded.or_else(|| self.jobs.is_cascaded(id).then_some(Outcome::Cancelled))
    }

    /// Whether all dependencies of a job are known to have been accepted.
    pub(crate) fn dependencies_exist(&self, spec: &JobSpec) -> bool {
        let replica = &self.store.replica;
        spec.depends_on.iter().all(|id| replica.jobs.contains_key(id) || replica.outcomes.contains_key(id))
    }

    /// Estimates how long a job takes once it is ready. Its dependencies have to be done that long before its due time.
    /// The policy's factor and overhead allow for users' estimates, which are often wrong by half, and for tasks that
    /// don't all start at once.
    fn estimated_duration(&self, record: &JobRecord) -> Micros {
        let estimated_runtime_s = record.spec.estimated_runtime_s * self.policy.stage_estimate_factor;
        Micros::from_secs_f64(estimated_runtime_s) + Micros::from_millis(self.policy.stage_overhead_ms)
    }

    /// Adds a new job to the dependency graph if it has dependencies or dependents.
    pub(crate) fn add_to_dependency_graph(&mut self, id: &JobId) {
        let Some(known) = self.store.replica.jobs.get(id) else { return };
        let depends_on = known.record.spec.depends_on.clone();
        if depends_on.is_empty() && self.jobs.dependency_graph.urgency(id).is_none() {
            return;
        }
        let (own_urgency, duration) = (known.record.urgency(), self.estimated_duration(&known.record));
        self.jobs.dependency_graph.upsert(id, own_urgency, duration);
        let has_cancelled_dependency = self.link_dependencies(id, &depends_on);
        self.copy_urgency_from_graph(id);
        let waits = self.jobs.dependency_graph.has_open_dependencies(id);
        if let Some(job) = self.jobs.get_mut(id) {
            job.scheduling.waits_for_dependencies = waits || has_cancelled_dependency;
        }
        if has_cancelled_dependency {
            self.cascade_cancellation(id);
            self.propagate_outcome(id);
        }
    }

    /// Links a job to its dependencies that have not ended. Returns whether any of them was cancelled, so that the job is
    /// cancelled too.
    fn link_dependencies(&mut self, id: &JobId, depends_on: &[JobId]) -> bool {
        let mut has_cancelled_dependency = false;
        for dependency in depends_on {
            match self.outcome(dependency) {
                Some(Outcome::Done) => {}
                Some(Outcome::Cancelled) => has_cancelled_dependency = true,
                None => {
                    self.upsert_dependency(dependency);
                    self.jobs.dependency_graph.link(id, dependency);
                }
            }
        }
        has_cancelled_dependency
    }

    fn upsert_dependency(&mut self, dependency: &JobId) {
        let (own_urgency, duration) = match self.store.replica.jobs.get(dependency) {
            Some(known) => (known.record.urgency(), self.estimated_duration(&known.record)),
            // Another job depends on it, so it was accepted, but its record was not read yet.
            None => (Urgency { priority: Priority::Low, due_at: None }, Micros::ZERO),
        };
        self.jobs.dependency_graph.upsert(dependency, own_urgency, duration);
    }

    fn copy_urgency_from_graph(&mut self, id: &JobId) {
        let urgency = self.jobs.dependency_graph.urgency(id);
        if let (Some(job), Some(urgency)) = (self.jobs.get_mut(id), urgency) {
            job.urgency = urgency;
        }
    }

    /// Raises the urgency of the jobs that other, more urgent ones depend on. Called before a scheduling cycle, so that
    /// any number of submissions, or the initial sync, needs one walk over the dependencies.
    pub(crate) fn propagate_urgency(&mut self) {
        let propagation = self.jobs.dependency_graph.propagate_urgency();
        if propagation.visited_jobs == 0 {
            return;
        }
        for id in &propagation.raised {
            self.copy_urgency_from_graph(id);
        }
        tracing::debug!(
            visited_jobs = propagation.visited_jobs,
            followed_dependencies = propagation.followed_dependencies,
            raised_jobs = propagation.raised.len(),
            "urgency propagated to dependencies"
        );
    }

    /// Cancels a job because a dependency was cancelled.
    fn cascade_cancellation(&mut self, id: &JobId) {
        if self.store.replica.outcomes.contains_key(id) {
            return;
        }
        if let Some(job) = self.jobs.get_mut(id) {
            job.outcome = Some(Outcome::Cancelled);
            self.jobs.cascaded.insert(id.clone());
        }
    }

    /// Propagates the outcome of an ended job. If it is done, dependents without other open dependencies become
    /// ready; if it was cancelled, its direct and indirect dependents are cancelled.
    pub(crate) fn propagate_outcome(&mut self, id: &JobId) {
        let mut to_visit = vec![id.clone()];
        while let Some(id) = to_visit.pop() {
            if self.store.replica.outcomes.contains_key(&id) {
                self.jobs.cascaded.remove(&id);
            }
            let Some(outcome) = self.outcome(&id) else { continue };
            let is_done = outcome == Outcome::Done;
            for dependent in self.jobs.dependency_graph.remove_ended(&id, is_done) {
                if is_done {
                    self.mark_ready(&dependent);
                } else {
                    self.cascade_cancellation(&dependent);
                    to_visit.push(dependent);
                }
            }
        }
    }

    fn mark_ready(&mut self, id: &JobId) {
        let now = self.clock.wall;
        let Some(job) = self.jobs.get_mut(id).filter(|job| job.outcome.is_none()) else { return };
        job.scheduling.waits_for_dependencies = false;
        job.ready_at = now.max(job.accepted_at);
        if job.urgency.priority > Priority::Normal {
            self.scheduling.request_urgent_cycle();
        }
        self.scheduling.request_cycle();
        tracing::debug!(job = %id, "job ready: all dependencies done");
    }

    /// Writes the outcomes of jobs that were cancelled with a dependency, for the shards that this controller holds. No
    /// request waits for these writes.
    pub(crate) fn write_cascaded_cancellations(&mut self) {
        if self.jobs.cascaded.is_empty() || self.store.is_cascade_pending() {
            return;
        }
        let limits = self.store.txn_limits();
        let is_held_here = |id: &&JobId| self.jobs.get(id).is_some_and(|job| self.holds(Role::Shard(job.shard)));
        let mut proposal = ProposedTxn::default();
        for id in self.jobs.cascaded.iter().filter(is_held_here) {
            let mut cancellation = ProposedTxn::default();
            cancellation.unchanged(&self.store.replica, Key::Outcome(id.clone()));
            cancellation.put(Key::Outcome(id.clone()), to_value(&OutcomeRecord::cancelled(self.clock.wall)));
            if !limits.append_within(&mut proposal, cancellation) {
                break;
            }
        }
        if proposal.write_count() == 0 {
            return;
        }
        self.submit_txn(proposal, TxnPurpose::CascadedCancellations);
    }
}
