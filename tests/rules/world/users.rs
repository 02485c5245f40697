//! Users: submissions, queries and cancellations, and the rules about the answers.

use super::{Event, MS, S, World};
use burlhatch::coordination::{Controller, Input, UserAnswer, UserRequest};
use burlhatch::protocol::user::{JobKind, JobSpec, JobState, Priority, Submission};
use burlhatch::types::JobId;
use rand::Rng;

/// Time within which users repeat a request at all controllers after a change of a job.
const FOLLOW_UP_SPAN: u64 = 6 * MS;

/// Kind of request about a known job.
#[derive(Clone, Copy)]
pub(super) enum JobRequest {
    Status,
    Submission,
    Cancellation,
}

/// Request whose answer a user waits for.
pub(super) enum PendingRequest {
    Submit(JobId),
    Get(JobId),
    Cancel(JobId),
    /// Query about a job that was never submitted.
    UnknownJob,
    /// Submission that must not be accepted, and why.
    Invalid(&'static str),
}

/// Job as its users know it.
pub struct UserJob {
    pub spec: JobSpec,
    /// Time from which its user submits it.
    pub submitted: u64,
    pub accepted: bool,
    /// Time from which its user cancels it.
    pub cancel_at: Option<u64>,
    /// Time at which a user first received the answer that it is cancelled.
    pub cancelled: Option<u64>,
    /// First final state that a user received.
    pub reported_outcome: Option<JobState>,
    /// Time of that answer; answers to earlier requests may still contain an earlier state.
    pub(super) reported_outcome_at: u64,
    pub done_tasks: Vec<bool>,
    pub(super) last_requested_at: u64,
    /// Time of the last answer with its state.
    pub(super) answered: u64,
    /// Longest time without such an answer since the liveness checks started.
    pub max_answer_gap: u64,
    /// Time at which its first task started.
    pub begun: Option<u64>,
    /// Running time after which each of its tasks fails on any machine, if the job is faulty.
    pub fails_after: Option<u64>,
    /// Number of starts of its tasks.
    pub starts: u32,
    /// Time since which one of its tasks waits though it could run.
    pub(super) runnable_since: Option<u64>,
}

/// Properties of a request that the rules about its answer depend on.
struct RequestContext {
    requested_at: u64,
    /// Whether the request was a cancellation.
    is_cancellation: bool,
    /// Whether the cancellation of the job, or of one that it depends on, was confirmed so long before the request that
    /// the job must have ended.
    cancellation_overdue: bool,
    /// Whether the user of the job, or of one that it depends on, was due to cancel it by now.
    cancellation_due: bool,
}

impl UserJob {
    /// Records an answer and returns the rules that it violates.
    fn check_answer(&mut self, id: &JobId, answer: UserAnswer, context: &RequestContext, now: u64) -> Vec<String> {
        match answer {
            // The answer that a job is accepted implies that it is queued.
            UserAnswer::Accepted(_) => self.check_state(id, JobState::Queued, context, now),
            UserAnswer::Status(status) => self.check_state(id, status.state, context, now),
            UserAnswer::NotFound | UserAnswer::Malformed | UserAnswer::CanNeverRun(_) if self.accepted => {
                vec![format!("forgotten: {id} is answered {answer:?}")]
            }
            UserAnswer::NotFound | UserAnswer::Malformed | UserAnswer::CanNeverRun(_) => Vec::new(),
            UserAnswer::Unavailable { .. } => Vec::new(),
        }
    }

    fn check_state(&mut self, id: &JobId, state: JobState, context: &RequestContext, now: u64) -> Vec<String> {
        let mut violations = Vec::new();
        let is_final = matches!(state, JobState::Done | JobState::Cancelled);
        self.accepted = true;
        self.answered = now;
        if state == JobState::Done && self.done_tasks.iter().any(|done| !done) {
            violations.push(format!("not_done: {id} is reported as done"));
        }
        if context.cancellation_overdue && !is_final {
            violations.push(format!("orphaned: {id} is still reported as {state:?}"));
        }
        if state == JobState::Cancelled && !context.cancellation_due {
            violations.push(format!("went_back: {id} was not cancelled by its user"));
        }
        if context.requested_at >= self.reported_outcome_at
            && self.reported_outcome.is_some_and(|reported| reported != state)
        {
            violations.push(format!("went_back: {id} was {:?}, is {state:?}", self.reported_outcome));
        }
        if is_final && self.reported_outcome.is_none() {
            (self.reported_outcome, self.reported_outcome_at) = (Some(state), now);
        }
        if state == JobState::Cancelled && self.cancelled.is_none() {
            self.cancelled = Some(now);
        }
        if context.is_cancellation && !is_final {
            violations.push(format!("a cancellation of {id} was answered {state:?}"));
        }
        violations
    }
}

impl World {
    pub fn submit(&mut self, number: u64, spec: JobSpec) -> JobId {
        let id = JobId::new(&format!("wk-{number:06}"));
        let tasks = spec.tasks as usize;
        self.jobs.insert(
            id.clone(),
            UserJob {
                spec,
                submitted: self.now,
                accepted: false,
                cancel_at: None,
                cancelled: None,
                reported_outcome: None,
                reported_outcome_at: 0,
                done_tasks: vec![false; tasks],
                last_requested_at: 0,
                answered: self.now,
                max_answer_gap: 0,
                begun: None,
                fails_after: None,
                starts: 0,
                runnable_since: None,
            },
        );
        id
    }

    pub fn spec(kind: JobKind, team: &str, tasks: u32, cpus: f64) -> JobSpec {
        JobSpec {
            class: "any".into(),
            team: Some(team.into()),
            kind,
            priority: if kind == JobKind::Service { Priority::Production } else { Priority::Normal },
            tasks,
            cpus,
            gpus: 0.0,
            memory_gb: 1.0,
            image: format!("img-{}", tasks % 3),
            image_gb: 0.2,
            types: None,
            zone: None,
            one_zone: false,
            spread: false,
            spot: kind == JobKind::Array,
            estimated_runtime_s: if kind == JobKind::Service { 0.0 } else { 5.0 },
            checkpoint_interval_s: 0.0,
            checkpoint_duration_s: 0.0,
            deadline_s: None,
            depends_on: Vec::new(),
        }
    }

    pub(super) fn send_request(&mut self, pending: PendingRequest, request: UserRequest) {
        let node = self.rng.random_range(0..self.size.nodes);
        self.send_request_to(node, pending, request);
    }

    pub(super) fn send_request_to(&mut self, node: usize, pending: PendingRequest, request: UserRequest) {
        let ready = self.nodes[node].controller.as_ref().is_some_and(Controller::is_ready);
        if !ready {
            return;
        }
        self.nodes[node].next_request_id += 1;
        let request_id = self.nodes[node].next_request_id;
        self.nodes[node].users.insert(request_id, (self.now, pending));
        self.deliver_input(node, Input::User(request_id, request));
    }

    /// Cancels an accepted job now, unless a user has received its final state.
    pub fn cancel_job(&mut self, id: &JobId) {
        let now = self.now;
        if let Some(job) = self.jobs.get_mut(id).filter(|j| j.accepted && j.reported_outcome.is_none()) {
            job.cancel_at = Some(job.cancel_at.map_or(now, |at| at.min(now)));
            job.last_requested_at = 0;
            let node = self.rng.random_range(0..self.size.nodes);
            self.send_request_to(node, PendingRequest::Cancel(id.clone()), UserRequest::Cancel(id.clone()));
        }
    }

    pub(super) fn users_step(&mut self) {
        self.check_answer_gaps();
        if self.now / S != (self.now - 250 * MS) / S {
            self.check_runnable_tasks();
        }
        let ids: Vec<JobId> = self.jobs.keys().cloned().collect();
        for id in ids {
            let now = self.now;
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            if job.submitted > now || now < job.last_requested_at + S {
                continue;
            }
            let depends_on = job.spec.depends_on.clone();
            if !depends_on.iter().all(|before| self.jobs.get(before).is_none_or(|b| b.accepted)) {
                continue;
            }
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            let cancel = job.cancel_at.is_some_and(|at| at <= now) && job.cancelled.is_none() && job.accepted;
            let is_finished = job.reported_outcome.is_some();
            if !job.accepted || (!is_finished && cancel) || now >= job.last_requested_at + 5 * S {
                job.last_requested_at = now;
                let spec = job.spec.clone();
                let accepted = job.accepted;
                // An accepted submission may be repeated at any time.
                let is_repeat = accepted && self.chance(10);
                if !accepted || is_repeat {
                    let submission = Submission { id: Some(id.clone()), spec: Some(spec) };
                    self.send_request(PendingRequest::Submit(id.clone()), UserRequest::Submit(Box::new(submission)));
                    self.repeat_submission_elsewhere(&id);
                } else if cancel {
                    self.send_request(PendingRequest::Cancel(id.clone()), UserRequest::Cancel(id.clone()));
                } else {
                    self.send_request(PendingRequest::Get(id.clone()), UserRequest::Get(id.clone()));
                }
            }
        }
        if self.invalid_requests {
            self.send_invalid_request();
        }
        self.send_request_burst();
        if self.chance(20) {
            self.send_request(PendingRequest::UnknownJob, UserRequest::Get(JobId::new("wk-999999")));
        }
        self.schedule(250 * MS, Event::Users);
    }

    /// Sends a number of queries about random jobs, including ended and unknown ones, and repeats of submissions.
    fn send_request_burst(&mut self) {
        let ids: Vec<JobId> = self.jobs.iter().filter(|(_, j)| j.accepted).map(|(id, _)| id.clone()).collect();
        for _ in 0..self.request_burst_size {
            let nth = self.pick(ids.len() as u64 + 1) as usize;
            let Some(id) = ids.get(nth).cloned() else {
                let unknown = JobId::new(&format!("wk-none{}", self.pick(1000)));
                self.send_request(PendingRequest::UnknownJob, UserRequest::Get(unknown));
                continue;
            };
            let node = self.pick(self.size.nodes as u64) as usize;
            let kind = if self.chance(8) { JobRequest::Submission } else { JobRequest::Status };
            self.send_job_request(node, id, kind);
        }
    }

    pub(super) fn send_job_request(&mut self, node: usize, id: JobId, kind: JobRequest) {
        let Some(job) = self.jobs.get(&id) else { return };
        match kind {
            JobRequest::Status => self.send_request_to(node, PendingRequest::Get(id.clone()), UserRequest::Get(id)),
            JobRequest::Cancellation => {
                self.send_request_to(node, PendingRequest::Cancel(id.clone()), UserRequest::Cancel(id));
            }
            JobRequest::Submission => {
                let submission = Submission { id: Some(id.clone()), spec: Some(job.spec.clone()) };
                self.send_request_to(node, PendingRequest::Submit(id), UserRequest::Submit(Box::new(submission)));
            }
        }
    }

    pub(super) fn schedule_job_request(&mut self, node: usize, id: &JobId, kind: JobRequest) {
        let delay = self.pick(FOLLOW_UP_SPAN);
        self.schedule(delay, Event::JobRequest { node, id: id.clone(), kind });
    }

    /// Repeats a submission at some controllers while the first answer is still in flight.
    pub(super) fn repeat_submission_elsewhere(&mut self, id: &JobId) {
        for node in 0..self.size.nodes {
            if self.follow_up_requests && self.chance(4) {
                self.schedule_job_request(node, id, JobRequest::Submission);
            }
        }
    }

    /// Sends requests about a job to all controllers after a user received a new state of it.
    pub(super) fn follow_up_on_change(&mut self, id: &JobId) {
        if !self.follow_up_requests {
            return;
        }
        let is_finished = self.jobs[id].reported_outcome.is_some();
        for node in 0..self.size.nodes {
            self.schedule_job_request(node, id, JobRequest::Status);
            self.schedule_job_request(node, id, JobRequest::Submission);
            if is_finished && self.chance(3) {
                self.schedule_job_request(node, id, JobRequest::Cancellation);
            }
        }
    }

    /// Returns the earliest of the times that `when` returns for the job and all jobs that it depends on.
    pub(super) fn earliest_cancellation(
        &self,
        id: &JobId,
        when: impl Fn(&UserJob) -> Option<u64> + Copy,
    ) -> Option<u64> {
        let job = self.jobs.get(id)?;
        let before = job.spec.depends_on.iter().filter_map(|before| self.earliest_cancellation(before, when));
        before.chain(when(job)).min()
    }

    pub(super) fn send_invalid_request(&mut self) {
        let known: Vec<JobId> = self.jobs.iter().filter(|(_, j)| j.accepted).map(|(id, _)| id.clone()).collect();
        let mut spec = World::spec(JobKind::Array, "red", 2, 1.0);
        let defect = match self.pick(6) {
            0 if !known.is_empty() => {
                // A known job keeps its state, regardless of the content of the repeated submission.
                let id = known[self.pick(known.len() as u64) as usize].clone();
                let spec = if self.chance(2) { None } else { Some(World::spec(JobKind::Gang, "nobody", 9, 99.0)) };
                let submission = Submission { id: Some(id.clone()), spec };
                return self.send_request(PendingRequest::Submit(id), UserRequest::Submit(Box::new(submission)));
            }
            1 => {
                spec.cpus = 99.0;
                "a task fits no machine"
            }
            2 => {
                spec.depends_on = vec![JobId::new("wk-nobody")];
                "a job it depends on was never accepted"
            }
            3 => {
                spec = World::spec(JobKind::Gang, "red", 30, 1.0);
                "its team's limit is lower"
            }
            _ => "a field is missing",
        };
        let spec = (defect != "a field is missing").then_some(spec);
        let id = JobId::new(&format!("wk-odd{}", self.pick(50)));
        self.send_request(
            PendingRequest::Invalid(defect),
            UserRequest::Submit(Box::new(Submission { id: Some(id), spec })),
        );
    }

    pub(super) fn user_answer(&mut self, node: usize, request_id: u64, answer: UserAnswer) {
        if request_id == u64::MAX {
            self.test_answer = Some(answer);
            return;
        }
        let Some((requested_at, pending)) = self.nodes[node].users.remove(&request_id) else { return };
        self.longest_response_time = self.longest_response_time.max(self.now - requested_at);
        let (id, is_cancellation) = match pending {
            PendingRequest::UnknownJob => {
                if matches!(answer, UserAnswer::Status(_) | UserAnswer::Accepted(_)) {
                    self.report_violation("invented: a job that was never submitted is known".into());
                }
                return;
            }
            PendingRequest::Invalid(defect) => {
                if matches!(answer, UserAnswer::Status(_) | UserAnswer::Accepted(_)) {
                    self.report_violation(format!("invented: accepted, though {defect}"));
                }
                return;
            }
            PendingRequest::Cancel(id) => (id, true),
            PendingRequest::Submit(id) | PendingRequest::Get(id) => (id, false),
        };
        let now = self.now;
        let cancellation_due = self.earliest_cancellation(&id, |job| job.cancel_at.filter(|at| *at <= now));
        let cancellation_overdue = self
            .earliest_cancellation(&id, |job| job.cancelled)
            .is_some_and(|at| requested_at > at + self.size.times.cancel);
        let cancel_on_acceptance = self.cancel_on_acceptance > 0 && self.chance(self.cancel_on_acceptance);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let before = (job.accepted, job.reported_outcome);
        let context = RequestContext {
            requested_at,
            is_cancellation,
            cancellation_overdue,
            cancellation_due: cancellation_due.is_some(),
        };
        let violations = job.check_answer(&id, answer, &context, now);
        let cancels_now = !before.0 && job.accepted && cancel_on_acceptance && job.reported_outcome.is_none();
        if cancels_now {
            job.cancel_at = Some(now);
        }
        let is_changed = before != (job.accepted, job.reported_outcome);
        for violation in violations {
            self.report_violation(violation);
        }
        if is_changed {
            self.follow_up_on_change(&id);
        }
        if cancels_now {
            let node = self.pick(self.size.nodes as u64) as usize;
            self.schedule_job_request(node, &id, JobRequest::Cancellation);
        }
    }
}
