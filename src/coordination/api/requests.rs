//! Questions and cancellations, and the one place where users are answered.
//!
//! A final state is answered from memory. Anything else waits in the list of open questions for evidence that the
//! replica is fresh enough, see [`crate::coordination::store_sync::evidence`].

use crate::coordination::api::submissions::{Form, Submissions};
use crate::coordination::store_sync::evidence::{Evidence, Fresh, LogicalTime, reached};
use crate::coordination::store_sync::txns::{ProposedTxn, Purpose};
use crate::coordination::{Controller, Effect, UserAnswer, UserRequest, Waiter};
use crate::protocol::user::{JobSpec, JobState, JobStatus};
use crate::storage::schema::{Key, Outcome, OutcomeRecord, to_value};
use crate::types::{JobId, Revision};
use std::collections::HashMap;

/// Who asks, and when the question came.
#[derive(Clone, Copy)]
pub(crate) struct Asked {
    pub waiter: Waiter,
    pub at: LogicalTime,
}

/// What to answer once the replica is fresh.
pub(crate) enum Question {
    Status(JobId),
    /// Whether it is known; if not, it is taken or refused.
    Submit(JobId, Option<Box<JobSpec>>),
    /// It was written down, by this controller or another. `newly`: by the transaction that this user's submission led
    /// to.
    TakenIn {
        id: JobId,
        newly: bool,
    },
    Cancel(JobId),
}

/// A question that waits for the replica.
struct Open {
    asked: Asked,
    question: Question,
    /// A revision that the stored records are known to have had after the question came.
    known: Option<Revision>,
}

#[derive(Default)]
pub(crate) struct Users {
    open: Vec<Open>,
    pub submissions: Submissions,
    /// Who waits for cancellations on their way. They are answered with final states only.
    cancels: HashMap<JobId, Vec<Waiter>>,
}

impl Users {
    /// Whether a question waits that only a read can answer, or nothing else may.
    pub fn wants_read(&self) -> bool {
        !self.open.is_empty()
    }

    /// Adds a question; `known` is a revision that the stored records had after it came, if there is evidence already.
    pub fn ask(&mut self, asked: Asked, question: Question, known: Option<Revision>) {
        self.open.push(Open { asked, question, known });
    }

    pub fn all_waiters(&mut self) -> Vec<Waiter> {
        let questions = self.open.drain(..).map(|open| open.asked.waiter);
        let submissions = self.submissions.all_waiters();
        questions.chain(submissions).chain(self.cancels.drain().flat_map(|(_, waiters)| waiters)).collect()
    }
}

pub(crate) const BUSY: UserAnswer = UserAnswer::Unavailable { retry_after_s: 1 };

impl Controller {
    pub(crate) fn answer(&mut self, waiter: Waiter, answer: UserAnswer) {
        self.out.push(Effect::AnswerUser(waiter, answer));
    }

    /// Tells a user how a job stands; that it is cancelled only once that is known where it counts.
    pub(crate) fn tell(&mut self, waiter: Waiter, status: JobStatus) {
        match status.state {
            JobState::Cancelled => self.answer_cancelled(waiter, status.id),
            _ => self.answer(waiter, UserAnswer::Status(status)),
        }
    }

    /// The final state of a job that is over. It needs no evidence: it never changes.
    pub(crate) fn final_status(&self, id: &JobId) -> Option<JobStatus> {
        let state = match self.outcome(id)? {
            Outcome::Done => JobState::Done,
            Outcome::Cancelled => JobState::Cancelled,
        };
        Some(JobStatus { id: id.clone(), state, done: None, running: None })
    }

    /// How a job stands, whether or not it is over.
    fn status(&self, id: &JobId, _: &Fresh) -> Option<JobStatus> {
        if let Some(status) = self.final_status(id) {
            return Some(status);
        }
        if !self.store.replica.jobs.contains_key(id) && !self.api.submissions.is_committed(id) {
            return None;
        }
        let (done, running) = self.jobs.by_id.get(id).map_or((0, 0), super::super::jobs::job::Job::counts);
        let state = if running > 0 { JobState::Running } else { JobState::Queued };
        Some(JobStatus { id: id.clone(), state, done: Some(done), running: Some(running) })
    }

    pub(crate) fn user_request(&mut self, waiter: Waiter, request: UserRequest) {
        let asked = Asked { waiter, at: self.store.order.tick() };
        let known = match &request {
            UserRequest::Get(id) | UserRequest::Cancel(id) => Some(id),
            UserRequest::Submit(submission) => submission.id.as_ref(),
        };
        if !self.store.sync.done {
            return self.answer(waiter, BUSY);
        }
        if let Some(status) = known.and_then(|id| self.final_status(id)) {
            return self.tell(waiter, status);
        }
        // Without the store only final states can be told; whoever asks for more hears at
        // once that it can't be now, instead of waiting for a call that will fail.
        if !self.reaches_store() {
            return self.answer(waiter, BUSY);
        }
        match request {
            UserRequest::Get(id) => self.api.ask(asked, Question::Status(id), None),
            UserRequest::Cancel(id) if self.store.replica.jobs.contains_key(&id) => self.cancel(waiter, id),
            UserRequest::Cancel(id) => self.api.ask(asked, Question::Cancel(id), None),
            UserRequest::Submit(submission) => self.submit(asked, *submission),
        }
    }

    fn cancel(&mut self, waiter: Waiter, id: JobId) {
        let waiters = self.api.cancels.entry(id.clone()).or_default();
        waiters.push(waiter);
        if waiters.len() > 1 {
            return;
        }
        let mut txn = ProposedTxn::default();
        if let Some(known) = self.store.replica.jobs.get(&id) {
            txn.unchanged(&self.store.replica, Key::Batch(known.batch.clone()));
        }
        txn.unchanged(&self.store.replica, Key::Outcome(id.clone()));
        txn.put(Key::Outcome(id.clone()), to_value(&OutcomeRecord::cancelled(self.clock.wall)));
        self.submit_txn(txn, Purpose::Cancel(id));
    }

    pub(crate) fn cancel_over(&mut self, id: &JobId) {
        for waiter in self.api.cancels.remove(id).unwrap_or_default() {
            match self.final_status(id) {
                Some(status) => self.tell(waiter, status),
                None => self.answer(waiter, BUSY),
            }
        }
    }

    /// A read that began then has ended without an answer: whoever waited for it is told to come back.
    pub(crate) fn read_failed(&mut self, begun: LogicalTime) {
        let (failed, open) = std::mem::take(&mut self.api.open).into_iter().partition(|open| open.asked.at < begun);
        self.api.open = open;
        for Open { asked, .. } in failed {
            self.answer(asked.waiter, BUSY);
        }
    }

    /// A read has been answered.
    pub(crate) fn read_proves(&mut self, evidence: &Evidence) {
        for open in &mut self.api.open {
            open.known = open.known.or(evidence.revision_after(open.asked.at));
        }
    }

    /// Answers every question that the replica is fresh enough for.
    pub(crate) fn answer_open_questions(&mut self) {
        let applied = self.store.replica.applied_revision;
        for open in std::mem::take(&mut self.api.open) {
            match reached(open.known, applied) {
                Some(fresh) => self.answer_question(open.asked, open.question, &fresh),
                None => self.api.open.push(open),
            }
        }
    }

    /// The one place where a user is told something that is not final.
    pub(crate) fn answer_question(&mut self, asked: Asked, question: Question, fresh: &Fresh) {
        let waiter = asked.waiter;
        let id = match &question {
            Question::Status(id) | Question::Submit(id, _) | Question::Cancel(id) => id,
            Question::TakenIn { id, .. } => id,
        };
        let status = self.status(id, fresh);
        let is_final = status.as_ref().is_some_and(JobStatus::is_final);
        match (question, status) {
            (Question::Cancel(id), Some(_)) if !is_final => self.cancel(waiter, id),
            (Question::TakenIn { id, newly: true }, Some(_)) if !is_final => {
                self.answer(waiter, UserAnswer::Accepted(id));
            }
            (_, Some(status)) => self.tell(waiter, status),
            (Question::Status(_) | Question::Cancel(_), None) => self.answer(waiter, UserAnswer::NotFound),
            (Question::TakenIn { .. }, None) => self.answer(waiter, BUSY),
            (Question::Submit(_, None), None) => self.answer(waiter, UserAnswer::Malformed),
            (Question::Submit(id, Some(spec)), None) => self.take_or_refuse(asked, id, *spec, fresh),
        }
    }

    /// Nobody has taken the job.
    fn take_or_refuse(&mut self, asked: Asked, id: JobId, spec: JobSpec, _: &Fresh) {
        if let Some(answer) = self.refusal(&spec) {
            return self.answer(asked.waiter, answer);
        }
        // Whoever accepted it would have it in the stored records.
        if !self.dependencies_exist(&spec) {
            return self.answer(asked.waiter, UserAnswer::CanNeverRun("awaits a job that was never accepted"));
        }
        match self.form(id, spec) {
            Form::TooLarge => self.answer(asked.waiter, UserAnswer::Malformed),
            form => self.accept(asked, form),
        }
    }
}
