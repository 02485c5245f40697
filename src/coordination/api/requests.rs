//! Status requests, cancellations, and the answers to clients.
//!
//! A final state is answered from memory. Every other request stays pending until there is evidence that the replica is
//! fresh enough, see [`crate::coordination::store_sync::evidence`].

use crate::coordination::api::{PendingRequest, Query, ReceivedRequest, UNAVAILABLE};
use crate::coordination::jobs::job::Job;
use crate::coordination::store_sync::evidence::{FreshnessProof, LogicalTime, proof_once_reached};
use crate::coordination::store_sync::{ProposedTxn, TxnPurpose};
use crate::coordination::{Controller, Effect, RequestId, UserAnswer, UserRequest};
use crate::protocol::user::{JobSpec, JobState, JobStatus};
use crate::storage::schema::{Key, Outcome, OutcomeRecord, to_value};
use crate::types::JobId;

impl Controller {
    pub(crate) fn answer(&mut self, request_id: RequestId, answer: UserAnswer) {
        self.out.push(Effect::AnswerUser(request_id, answer));
    }

    /// Answers with the status of a job. A cancelled job's status is sent only once the cancellation is confirmed.
    pub(crate) fn answer_status(&mut self, request_id: RequestId, status: JobStatus) {
        match status.state {
            JobState::Cancelled => self.answer_when_cancellation_confirmed(request_id, status.id),
            JobState::Done | JobState::Queued | JobState::Running => {
                self.answer(request_id, UserAnswer::Status(status));
            }
        }
    }

    /// Returns the status of a job that has ended. This needs no evidence of freshness, as a final state never changes.
    pub(crate) fn final_status(&self, id: &JobId) -> Option<JobStatus> {
        let state = match self.outcome(id)? {
            Outcome::Done => JobState::Done,
            Outcome::Cancelled => JobState::Cancelled,
        };
        Some(JobStatus { id: id.clone(), state, done: None, running: None })
    }

    /// Returns the status of a job, whether or not it has ended; `None` if the job was never accepted.
    fn status(&self, id: &JobId, _: &FreshnessProof) -> Option<JobStatus> {
        if let Some(status) = self.final_status(id) {
            return Some(status);
        }
        if !self.store.replica.jobs.contains_key(id) && !self.api.submissions.is_committed(id) {
            return None;
        }
        let job = self.jobs.get(id);
        let done = job.map_or(0, Job::done_count);
        let running = job.map_or(0, Job::running_count);
        let state = if running > 0 { JobState::Running } else { JobState::Queued };
        Some(JobStatus { id: id.clone(), state, done: Some(done), running: Some(running) })
    }

    /// Handles a client's request.
    pub(crate) fn user_request(&mut self, request_id: RequestId, request: UserRequest) {
        let received = ReceivedRequest { request_id, received_at: self.store.next_logical_time() };
        if !self.store.is_synced() {
            return self.answer(request_id, UNAVAILABLE);
        }
        let job = match &request {
            UserRequest::Get(id) | UserRequest::Cancel(id) => Some(id),
            UserRequest::Submit(submission) => submission.id.as_ref(),
        };
        if let Some(status) = job.and_then(|id| self.final_status(id)) {
            return self.answer_status(request_id, status);
        }
        // Without the store only final states can be answered. All other requests are answered as unavailable at once,
        // instead of waiting for a call that will fail.
        if !self.reaches_store() {
            return self.answer(request_id, UNAVAILABLE);
        }
        match request {
            UserRequest::Get(id) => self.api.wait_for_replica(received, Query::Status(id), None),
            UserRequest::Cancel(id) if self.store.replica.jobs.contains_key(&id) => self.cancel(request_id, id),
            UserRequest::Cancel(id) => self.api.wait_for_replica(received, Query::Cancellation(id), None),
            UserRequest::Submit(submission) => self.submit(received, *submission),
        }
    }

    /// Writes a job's cancellation, once for all requests that ask for it until the write has finished.
    fn cancel(&mut self, request_id: RequestId, id: JobId) {
        let cancelling = self.api.cancelling.entry(id.clone()).or_default();
        cancelling.push(request_id);
        if cancelling.len() > 1 {
            return;
        }
        let mut proposal = ProposedTxn::default();
        if let Some(known) = self.store.replica.jobs.get(&id) {
            proposal.unchanged(&self.store.replica, Key::JobBatch(known.batch.clone()));
        }
        proposal.unchanged(&self.store.replica, Key::Outcome(id.clone()));
        proposal.put(Key::Outcome(id.clone()), to_value(&OutcomeRecord::cancelled(self.clock.wall)));
        self.submit_txn(proposal, TxnPurpose::Cancel(id));
    }

    /// Answers the requests that wait for the transaction that cancels a job, whether or not it was committed.
    pub(crate) fn cancellation_txn_finished(&mut self, id: &JobId) {
        for request_id in self.api.cancelling.remove(id).unwrap_or_default() {
            match self.final_status(id) {
                Some(status) => self.answer_status(request_id, status),
                None => self.answer(request_id, UNAVAILABLE),
            }
        }
    }

    /// Handles a read that began at `begun_at` and failed: the requests that waited for it are answered as unavailable.
    pub(crate) fn read_failed(&mut self, begun_at: LogicalTime) {
        let waited_for_read = |pending: &PendingRequest| pending.request.received_at < begun_at;
        let (failed, still_pending) =
            std::mem::take(&mut self.api.pending).into_iter().partition::<Vec<_>, _>(waited_for_read);
        self.api.pending = still_pending;
        for PendingRequest { request, .. } in failed {
            self.answer(request.request_id, UNAVAILABLE);
        }
    }

    /// Answers every pending request for which the replica is fresh enough.
    pub(crate) fn answer_pending_requests(&mut self) {
        let applied = self.store.replica.applied_revision;
        for pending in std::mem::take(&mut self.api.pending) {
            match proof_once_reached(pending.required_revision, applied) {
                Some(fresh) => self.answer_query(pending.request, pending.query, &fresh),
                None => self.api.pending.push(pending),
            }
        }
    }

    /// Answers a query from the fresh replica. Only here are states reported that are not final.
    pub(crate) fn answer_query(&mut self, request: ReceivedRequest, query: Query, fresh: &FreshnessProof) {
        let request_id = request.request_id;
        match self.status(query.job(), fresh) {
            Some(status) if status.is_final() => self.answer_status(request_id, status),
            Some(status) => match query {
                Query::Cancellation(id) => self.cancel(request_id, id),
                Query::WrittenSubmission { id, is_first: true } => self.answer(request_id, UserAnswer::Accepted(id)),
                Query::WrittenSubmission { is_first: false, .. } | Query::Status(_) | Query::Submission(..) => {
                    self.answer_status(request_id, status);
                }
            },
            None => match query {
                Query::Status(_) | Query::Cancellation(_) => self.answer(request_id, UserAnswer::NotFound),
                Query::WrittenSubmission { .. } => self.answer(request_id, UNAVAILABLE),
                Query::Submission(_, None) => self.answer(request_id, UserAnswer::Malformed),
                Query::Submission(id, Some(spec)) => self.accept_or_refuse(request, id, *spec, fresh),
            },
        }
    }

    /// Accepts or refuses a job that no controller has accepted before.
    fn accept_or_refuse(&mut self, request: ReceivedRequest, id: JobId, spec: JobSpec, _: &FreshnessProof) {
        if let Some(answer) = self.refusal(&spec) {
            return self.answer(request.request_id, answer);
        }
        // An accepted dependency would be in the stored records.
        if !self.dependencies_exist(&spec) {
            let answer = UserAnswer::CanNeverRun("awaits a job that was never accepted");
            return self.answer(request.request_id, answer);
        }
        match self.stored_form(id, spec) {
            Ok(form) => self.accept(request, form),
            Err(_) => self.answer(request.request_id, UserAnswer::Malformed),
        }
    }
}
