//! Submissions: whether a job can be accepted, and which requests wait for it to be written.
//!
//! Submissions are idempotent: a repeated submission waits together with the earlier ones. The batch's commit answers
//! the requests that were received before the batch was sent; later requests need evidence of their own.
//!
//! Jobs enter the replica in the order of the store's revisions. Our own commit is applied directly only if it is the
//! next revision: a sibling may have accepted the same submission, perhaps with another specification, in an earlier
//! batch that was not read yet. The earlier batch takes precedence.

use crate::coordination::api::{Query, ReceivedRequest, UNAVAILABLE};
use crate::coordination::scheduling::quota::TeamQuota;
use crate::coordination::store_sync::TxnEnd;
use crate::coordination::store_sync::evidence::FreshnessProof;
use crate::coordination::{Controller, RequestId, UserAnswer};
use crate::protocol::json_size;
use crate::protocol::user::{JobKind, JobSpec, Submission};
use crate::storage::schema::{JobBatchMember, JobRecord};
use crate::types::{JobId, Micros, Revision};
use std::collections::{HashMap, VecDeque};

/// Bytes of a batch with one entry besides that entry: brackets.
const BATCH_OVERHEAD_BYTES: usize = 2;

/// The form in which a submission is written to the store.
pub(crate) enum StoredForm {
    /// An entry of a batch.
    Entry(JobBatchMember),
    /// An entry of a batch whose dependency list is written in parts under keys of its own.
    WithDependencyListParts(JobBatchMember),
}

impl StoredForm {
    fn job(&self) -> &JobId {
        match self {
            StoredForm::Entry(member) | StoredForm::WithDependencyListParts(member) => &member.id,
        }
    }
}

/// The error for a submission that exceeds the store's maximum value size.
#[derive(Debug, thiserror::Error)]
#[error("the submission is larger than a value of the store may be")]
pub(crate) struct SubmissionTooLarge;

/// A job in a batch whose transaction has been sent.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct SubmittedJob {
    pub id: JobId,
    /// Whether its outcome may follow from the outcomes of other jobs.
    pub has_dependencies: bool,
}

/// A submission whose dependency list is being written.
pub(super) struct DependencyListInProgress {
    pub(super) txns_left_count: usize,
    pub(super) member: JobBatchMember,
}

/// A submission that waits for the next batch.
pub(super) struct QueuedSubmission {
    /// The time by which it should be written.
    pub(super) due_at: Micros,
    pub(super) member: JobBatchMember,
}

/// Submissions that are being written, and the requests that wait for them.
#[derive(Default)]
pub(crate) struct Submissions {
    waiting: HashMap<JobId, Vec<ReceivedRequest>>,
    pub(super) queue: VecDeque<QueuedSubmission>,
    /// Keyed by the name under which the parts of the list are written.
    pub(super) dependency_lists: HashMap<String, DependencyListInProgress>,
    /// Jobs of this controller's committed batches that the replica does not contain yet, with the revisions of the
    /// commits.
    committed: HashMap<JobId, Revision>,
    pub(super) last_batch_at: Micros,
}

impl Submissions {
    /// Whether a batch of submissions should be written now: at least `gap` after the last one, so that further
    /// submissions can join it.
    pub(crate) fn is_batch_due(&self, now: Micros, gap: Micros) -> bool {
        !self.queue.is_empty() && now.since(self.last_batch_at) >= gap
    }

    /// Whether a committed batch of this controller contains the job, though the replica does not show it yet.
    pub(crate) fn is_committed(&self, id: &JobId) -> bool {
        self.committed.contains_key(id)
    }

    pub(super) fn replica_reached(&mut self, applied: Revision) {
        self.committed.retain(|_, revision| *revision > applied);
    }

    pub(super) fn note_committed(&mut self, id: &JobId, revision: Revision) {
        self.committed.insert(id.clone(), revision);
    }

    /// Registers a request that waits for a job to be written. Returns whether it is the first, in which case the
    /// caller has to start the write.
    fn wait_for(&mut self, id: &JobId, request: ReceivedRequest) -> bool {
        let waiting = self.waiting.entry(id.clone()).or_default();
        waiting.push(request);
        waiting.len() == 1
    }

    pub(super) fn take_waiting(&mut self, id: &JobId) -> Vec<ReceivedRequest> {
        self.waiting.remove(id).unwrap_or_default()
    }

    pub(super) fn drain_pending(&mut self) -> Vec<RequestId> {
        let requests = std::mem::take(&mut self.waiting).into_values().flatten();
        requests.map(|request| request.request_id).collect()
    }
}

/// Returns the proof, given by a batch's commit, that one of its jobs had not ended at that revision. A job with
/// dependencies gets none: it may be cancelled with a dependency, whose records the commit does not cover.
fn evidence_of_commit(job: &SubmittedJob, request: ReceivedRequest, end: &TxnEnd) -> Option<FreshnessProof> {
    match end {
        TxnEnd::Committed(evidence) if !job.has_dependencies => evidence.accepted_job_proof(request.received_at),
        _ => None,
    }
}

impl Controller {
    /// Handles the submission of a job that is not known to have ended.
    pub(crate) fn submit(&mut self, request: ReceivedRequest, submission: Submission) {
        let Some(id) = submission.id else {
            return self.answer(request.request_id, UserAnswer::Malformed);
        };
        let Some(spec) = submission.spec else {
            return self.api.wait_for_replica(request, Query::Submission(id, None), None);
        };
        let is_acceptable = self.refusal(&spec).is_none() && self.dependencies_exist(&spec);
        if self.is_job_accepted(&id) || !is_acceptable {
            // The job was accepted before, or is refused unless a fresh replica shows that it was accepted.
            return self.api.wait_for_replica(request, Query::Submission(id, Some(Box::new(spec))), None);
        }
        match self.stored_form(id.clone(), spec) {
            Ok(form) => self.accept(request, form),
            Err(_) => self.api.wait_for_replica(request, Query::Submission(id, None), None),
        }
    }

    /// Whether the replica or a committed batch of this controller contains the job.
    fn is_job_accepted(&self, id: &JobId) -> bool {
        self.store.replica.jobs.contains_key(id) || self.api.submissions.is_committed(id)
    }

    pub(super) fn stored_form(&self, id: JobId, spec: JobSpec) -> Result<StoredForm, SubmissionTooLarge> {
        let member = JobBatchMember {
            id,
            record: JobRecord { accepted_at: self.clock.wall, dependency_list_parts: None, spec },
        };
        let size = json_size(&member);
        if size <= self.store.txn_limits().value_bytes - BATCH_OVERHEAD_BYTES {
            Ok(StoredForm::Entry(member))
        } else if member.record.spec.depends_on.is_empty() {
            Err(SubmissionTooLarge)
        } else {
            Ok(StoredForm::WithDependencyListParts(member))
        }
    }

    /// Writes a job, once for all requests that submit it until the write has finished.
    pub(super) fn accept(&mut self, request: ReceivedRequest, form: StoredForm) {
        if !self.api.submissions.wait_for(form.job(), request) {
            return;
        }
        match form {
            StoredForm::Entry(member) => self.queue_submission(member),
            StoredForm::WithDependencyListParts(member) => self.write_dependency_list_parts(member),
        }
    }

    /// Handles the end of a batch's transaction, whether or not it was committed. A job that the store refuses for good,
    /// alone and in the smallest form, can't be accepted.
    pub(crate) fn submission_batch_finished(&mut self, jobs: &[SubmittedJob], end: &TxnEnd) {
        match (jobs, end) {
            ([job], TxnEnd::Rejected { may_be_smaller: false }) => {
                for request in self.api.submissions.take_waiting(&job.id) {
                    self.api.wait_for_replica(request, Query::Submission(job.id.clone(), None), None);
                }
            }
            _ => jobs.iter().for_each(|job| self.submission_txn_finished(job, end)),
        }
    }

    /// Handles the end of the transaction whose batch contains the job, whether or not it was committed.
    fn submission_txn_finished(&mut self, job: &SubmittedJob, end: &TxnEnd) {
        let id = &job.id;
        if let TxnEnd::Committed(evidence) = end
            && evidence.revision() > self.store.replica.applied_revision
        {
            self.api.submissions.note_committed(id, evidence.revision());
        }
        let is_accepted = self.is_job_accepted(id);
        for (position, request) in self.api.submissions.take_waiting(id).into_iter().enumerate() {
            if let Some(status) = self.final_status(id) {
                self.answer_status(request.request_id, status);
                continue;
            }
            let is_first = end.is_committed() && position == 0;
            let query = Query::WrittenSubmission { id: id.clone(), is_first };
            match evidence_of_commit(job, request, end) {
                Some(fresh) => self.answer_query(request, query, &fresh),
                // The batch was refused because of another job, or its result is unknown.
                None if !is_accepted => self.answer(request.request_id, UNAVAILABLE),
                None => {
                    let revision = end.evidence().and_then(|evidence| evidence.revision_after(request.received_at));
                    self.api.wait_for_replica(request, query, revision);
                }
            }
        }
    }

    /// Returns the answer that refuses a job, for now or for good; `None` if the job can be accepted.
    pub(super) fn refusal(&self, spec: &JobSpec) -> Option<UserAnswer> {
        if let Err(reason) = self.check_quota(spec) {
            return Some(UserAnswer::CanNeverRun(reason));
        }
        if !self.autoscaling.has_machine_types() {
            return Some(UNAVAILABLE);
        }
        match self.fits_any_machine_type(spec) {
            true => None,
            false => Some(UserAnswer::CanNeverRun("a task fits no allowed machine type")),
        }
    }

    /// Checks that the team's quota admits the resources that the job always uses concurrently: those of one task of an
    /// array, or of all tasks of a gang or service.
    fn check_quota(&self, spec: &JobSpec) -> Result<(), &'static str> {
        let Some(name) = &spec.team else { return Ok(()) };
        let team = self.platform.deployment.team(name).ok_or("unknown team")?;
        let concurrent = match spec.kind {
            JobKind::Array => spec.resources(),
            JobKind::Gang | JobKind::Service => spec.resources().times(u64::from(spec.tasks)),
        };
        let is_admitted = TeamQuota::of_team(team).admits(&concurrent);
        if is_admitted { Ok(()) } else { Err("needs more than the team's limit") }
    }

    fn fits_any_machine_type(&self, spec: &JobSpec) -> bool {
        let resources = spec.resources();
        self.autoscaling.machine_types().any(|machine_type| {
            let wire = &machine_type.wire;
            let is_in_zone = |zone: &String| wire.zones.is_empty() || wire.zones.contains(zone);
            spec.allows_machine_type(&wire.name)
                && spec.zone.as_ref().is_none_or(is_in_zone)
                && resources.fits_in(&machine_type.resources)
        })
    }
}
