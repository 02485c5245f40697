//! The scheduling cycle: processes the waiting jobs in order and starts the tasks that can be placed.

use crate::coordination::Controller;
use crate::coordination::jobs::attempt::{AttemptState, TaskAttempt};
use crate::coordination::scheduling::candidates::{Candidates, PlacementFilter};
use crate::coordination::scheduling::shard_view::ShardView;
use crate::coordination::zones::gradual_return::ZoneAttemptEvent;
use crate::protocol::user::JobKind;
use crate::types::{JobId, Micros};
use std::collections::{BTreeSet, HashMap};

impl Controller {
    /// Processes waiting jobs in order until the time budget is used up. The next round continues with the rest.
    pub(crate) fn run_scheduling_cycle(&mut self, time_left: &mut dyn FnMut() -> bool) {
        if !self.scheduling.has_jobs_left() {
            let (now, min_interval) = (self.now(), Micros::from_millis(self.policy.pass_gap_ms));
            if !self.scheduling.is_cycle_due(now, min_interval) {
                return;
            }
            self.propagate_urgency();
            let jobs = self.jobs_in_scheduling_order();
            self.scheduling.begin_cycle(jobs, now);
        }
        let mut views = HashMap::new();
        while let Some(id) = self.scheduling.queue.pop_front() {
            self.schedule_job(&id, &mut views);
            if !time_left() {
                break;
            }
        }
    }

    /// Starts the tasks of a job that can be placed. `views` caches the views of shards used so far in this round.
    fn schedule_job(&mut self, id: &JobId, views: &mut HashMap<u32, ShardView>) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.outcome.is_some() || self.now() < job.recording.rejected_until || !self.can_be_scheduled(job) {
            return;
        }
        let is_gang = job.spec.kind == JobKind::Gang;
        for shard in self.held_shards_of(id) {
            let mut view = views.remove(&shard).unwrap_or_else(|| self.shard_view(shard));
            if is_gang {
                self.schedule_gang(id, shard, &mut view);
            } else {
                self.schedule_tasks(id, shard, &mut view);
            }
            views.insert(shard, view);
        }
    }

    /// Starts as many of a job's tasks in a shard as can be placed.
    fn schedule_tasks(&mut self, id: &JobId, shard: u32, view: &mut ShardView) {
        let now = self.now();
        let Some(job) = self.jobs.get(id) else { return };
        // An array scheduled early because it is overdue or starved starts only one task out of order.
        let starts_single_task =
            job.spec.kind == JobKind::Array && (self.is_overdue(job) || self.is_starved_in_restoration(id));
        let avoided_zones = self.zones_to_avoid(id, job, &view.distrusted_zones);
        let (filter, mut candidates) = self.first_candidates(id, view, &avoided_zones);
        // A job with a transaction in flight is not scheduled, so one cycle starts as many of its tasks as possible.
        loop {
            let Some(job) = self.jobs.get(id) else { return };
            if !job.may_start(now) {
                return;
            }
            let has_space = |chunk| self.chunk_has_space(id, job, chunk);
            let next = job.next_task(shard, now, self.store.tasks_per_chunk(), has_space);
            let Some(task) = next else {
                self.mark_blocked_by_full_chunks(id);
                return;
            };
            if !self.is_within_quota(job, shard) {
                return;
            }
            let Some(chosen) = self.best_candidate(job, &candidates) else {
                self.preempt_for(id, shard, &view.machines);
                return;
            };
            self.start_task(id, task, view, candidates.machine_index(chosen));
            if starts_single_task {
                return;
            }
            self.update_candidates(id, view, &mut candidates, chosen, filter);
        }
    }

    /// Returns the candidates outside avoided zones and without machines on which the job's tasks failed. If there are
    /// none, includes those machines, and avoided zones if the job has waited long enough.
    fn first_candidates<'a>(
        &mut self,
        id: &JobId,
        view: &ShardView,
        avoided_zones: &'a BTreeSet<String>,
    ) -> (PlacementFilter<'a>, Candidates) {
        let mut filter =
            PlacementFilter { only_zone: None, avoided_zones: Some(avoided_zones), avoid_failed_machines: true };
        let candidates = self.candidates_for(id, view, filter);
        if !candidates.is_empty() {
            return (filter, candidates);
        }
        if !avoided_zones.is_empty() && self.may_use_avoided_zones(id) {
            filter.avoided_zones = None;
        }
        filter.avoid_failed_machines = false;
        let candidates = self.candidates_for(id, view, filter);
        (filter, candidates)
    }

    /// Marks a job as blocked if it has waiting tasks, none of which can be recorded at present.
    fn mark_blocked_by_full_chunks(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.scheduling.is_blocked_by_full_chunks = job.waiting_count() > 0;
        }
    }

    /// Marks a gang as blocked whose attempts the stored records can't hold together, and logs it once.
    fn block_gang_without_space(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| !job.scheduling.is_blocked_by_full_chunks) else { return };
        job.scheduling.is_blocked_by_full_chunks = true;
        tracing::warn!(job = %id, tasks = job.spec.tasks, "gang not started: its records exceed the store's limits");
    }

    /// Starts all tasks of a gang in one cycle or none: step 6 of the design.
    fn schedule_gang(&mut self, id: &JobId, shard: u32, view: &mut ShardView) {
        let Some(job) = self.jobs.get(id) else { return };
        let all_wait = job.attempts.is_empty() && job.waiting_count() >= job.spec.tasks;
        if !all_wait || !job.may_start(self.now()) {
            return;
        }
        if !self.chunks_have_space_for_gang(id, job) {
            return self.block_gang_without_space(id);
        }
        let zones: Vec<Option<String>> =
            if job.spec.one_zone { view.zones().into_iter().map(Some).collect() } else { vec![None] };
        for avoid_failed_machines in [true, false] {
            for zone in &zones {
                let filter = PlacementFilter { only_zone: zone.as_deref(), avoided_zones: None, avoid_failed_machines };
                if self.start_gang(id, view, filter) {
                    return;
                }
            }
        }
        self.preempt_for(id, shard, &view.machines);
    }

    /// Starts all tasks of a gang. If one can't be placed, withdraws the others and restores the view. Returns whether
    /// the gang was started.
    fn start_gang(&mut self, id: &JobId, view: &mut ShardView, filter: PlacementFilter) -> bool {
        let Some(task_count) = self.jobs.get(id).map(|job| job.spec.tasks) else { return false };
        let snapshot = view.snapshot();
        let mut candidates = self.candidates_for(id, view, filter);
        let mut started_count = 0;
        while started_count < task_count && self.start_gang_task(id, started_count, view, &mut candidates, filter) {
            started_count += 1;
        }
        if started_count == task_count {
            return true;
        }
        for task in 0..started_count {
            self.withdraw_start(id, task);
        }
        view.restore(snapshot);
        false
    }

    /// Starts one task of a gang, if its team's quota and the candidates allow it.
    fn start_gang_task(
        &mut self,
        id: &JobId,
        task: u32,
        view: &mut ShardView,
        candidates: &mut Candidates,
        filter: PlacementFilter,
    ) -> bool {
        let Some(job) = self.jobs.get(id).filter(|job| self.is_within_quota(job, job.shard)) else { return false };
        let Some(chosen) = self.best_candidate(job, candidates) else { return false };
        self.start_task(id, task, view, candidates.machine_index(chosen));
        self.update_candidates(id, view, candidates, chosen, filter);
        true
    }

    /// Decides to start a task on a machine. The attempt is recorded in the store before the agent is notified.
    fn start_task(&mut self, id: &JobId, task: u32, view: &mut ShardView, machine_index: usize) {
        let candidate = &mut view.machines[machine_index];
        if let Some(queues) = &mut view.fetch_queues
            && self.jobs.get(id).is_some_and(|job| self.adds_fetch(job, candidate))
        {
            candidate.pending_fetch_count += 1;
            queues.add(&candidate.zone, 1);
        }
        let attempt = TaskAttempt::new(0, candidate.id.clone(), candidate.incarnation, AttemptState::Decided);
        self.jobs.place_attempt(id, task, attempt);
        let Some(job) = self.jobs.get(id) else { return };
        candidate.free = candidate.free.minus(&job.resources);
        if let Some(machine) = self.fleet.machine_mut(&candidate.id) {
            machine.idle_since = None;
        }
        self.zones.stop_avoiding(id);
        self.note_zone_attempt(&view.machines[machine_index].id, ZoneAttemptEvent::Decided);
    }

    /// Withdraws an attempt that was decided in this cycle and is not recorded.
    fn withdraw_start(&mut self, id: &JobId, task: u32) {
        if let Some(attempt) = self.jobs.withdraw_attempt(id, task) {
            self.update_idle_since(attempt.machine());
            self.note_zone_attempt(attempt.machine(), ZoneAttemptEvent::Withdrawn);
        }
    }
}
