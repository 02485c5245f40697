//! Submissions: from the first try to the batch that takes a job into the stored records.
//!
//! Who repeats a submission waits with those who sent it before. The batch's commit answers whoever asked before the
//! batch was sent; whoever came later needs evidence of their own.
//!
//! A job comes into the replica in the order of the records, with the own commit only where that is the next revision:
//! another controller may have taken the same submission, perhaps with something else in it, in an earlier batch that
//! was not read yet. The earlier counts.

use crate::coordination::api::requests::{Asked, BUSY, Question};
use crate::coordination::store_sync::evidence::Fresh;
use crate::coordination::store_sync::txns::{PRECONDITIONS_PER_WRITE, ProposedTxn, Purpose, TxnEnd};
use crate::coordination::{Controller, UserAnswer, Waiter};
use crate::protocol::user::{JobKind, JobSpec, Submission};
use crate::storage::schema::{BatchMember, DependencyListParts, JobRecord, Key, to_value};
use crate::types::{JobId, Micros, Revision};
use std::collections::{HashMap, VecDeque};

/// Part of the allowed size that a value of several entries is filled to.
pub(crate) const VALUE_FILL: f64 = 0.9;

/// What an depended on job's name takes in a list besides itself: quotes and a comma.
const LIST_ENTRY_BYTES: usize = 3;

/// How a submission can be written down.
pub(crate) enum Form {
    /// As an entry of a batch.
    Entry(BatchMember),
    /// Its list of dependencies under keys of its own, the rest as an entry.
    Parts(BatchMember),
    /// No value takes its names.
    TooLarge,
}

/// A job in a batch on its way.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Submitted {
    pub id: JobId,
    /// Whether its outcome may follow from other jobs'.
    pub has_dependencies: bool,
}

/// A submission whose lists are being written down.
struct Partial {
    /// Transactions that still have to be carried out.
    left: usize,
    member: BatchMember,
}

/// A submission that waits for the next batch.
struct Queued {
    /// By when it should go.
    latest: Micros,
    member: BatchMember,
}

#[derive(Default)]
pub(crate) struct Submissions {
    /// Who waits for which job to be taken.
    waiting: HashMap<JobId, Vec<Asked>>,
    queue: VecDeque<Queued>,
    partial: HashMap<String, Partial>,
    /// Jobs of own batches that the replica has not reached yet, with the revision at which it has.
    committed: HashMap<JobId, Revision>,
    /// When the last batch left.
    batch_at: Micros,
}

impl Submissions {
    /// Whether a batch of submissions should go now. More may join it until a pause since the last
    /// one is over.
    pub fn batch_due(&self, now: Micros, gap: Micros) -> bool {
        !self.queue.is_empty() && now.since(self.batch_at) >= gap
    }

    pub fn all_waiters(&mut self) -> Vec<Waiter> {
        self.waiting.drain().flat_map(|(_, asked)| asked).map(|asked| asked.waiter).collect()
    }

    /// Whether a batch of ours holds the job, though the replica does not show it yet.
    pub fn is_committed(&self, id: &JobId) -> bool {
        self.committed.contains_key(id)
    }

    /// The replica has reached a revision.
    pub fn reached(&mut self, applied: Revision) {
        self.committed.retain(|_, revision| *revision > applied);
    }

    fn take_waiters(&mut self, id: &JobId) -> Vec<Asked> {
        self.waiting.remove(id).unwrap_or_default()
    }
}

/// The commit itself shows that the job was not over then. Whether one fell with a job that it needs follows from that
/// one's records, of which the commit tells nothing.
fn taken_in_proof(submitted: &Submitted, asked: Asked, end: &TxnEnd) -> Option<Fresh> {
    match end {
        TxnEnd::Committed(evidence) if !submitted.has_dependencies => evidence.of_taken_in(asked.at),
        _ => None,
    }
}

impl Controller {
    pub(crate) fn submit(&mut self, asked: Asked, submission: Submission) {
        let Some(id) = submission.id else {
            return self.answer(asked.waiter, UserAnswer::Malformed);
        };
        let Some(spec) = submission.spec else {
            return self.api.ask(asked, Question::Submit(id, None), None);
        };
        let acceptable = self.refusal(&spec).is_none() && self.dependencies_exist(&spec);
        let known = self.store.replica.jobs.contains_key(&id) || self.api.submissions.is_committed(&id);
        if known || !acceptable {
            // Known, or to be refused unless it is known after all.
            return self.api.ask(asked, Question::Submit(id, Some(Box::new(spec))), None);
        }
        match self.form(id.clone(), spec) {
            Form::TooLarge => self.api.ask(asked, Question::Submit(id, None), None),
            form => self.accept(asked, form),
        }
    }

    pub(crate) fn form(&self, id: JobId, spec: JobSpec) -> Form {
        let member =
            BatchMember { id, record: JobRecord { accepted_at: self.clock.wall, dependency_list_parts: None, spec } };
        let size = serde_json::to_string(&member).map_or(0, |text| text.len());
        if size <= self.platform.deployment.store.value_bytes() {
            Form::Entry(member)
        } else if member.record.spec.depends_on.is_empty() {
            Form::TooLarge
        } else {
            Form::Parts(member)
        }
    }

    /// Has it written down, once for all who submit it meanwhile.
    pub(crate) fn accept(&mut self, asked: Asked, form: Form) {
        let id = match &form {
            Form::Entry(member) | Form::Parts(member) => member.id.clone(),
            Form::TooLarge => return self.answer(asked.waiter, UserAnswer::Malformed),
        };
        let waiting = self.api.submissions.waiting.entry(id).or_default();
        waiting.push(asked);
        if waiting.len() > 1 {
            return;
        }
        match form {
            Form::Entry(member) => self.queue_submission(member),
            Form::Parts(member) => self.write_dependency_list_parts(member),
            Form::TooLarge => {}
        }
    }

    fn queue_submission(&mut self, member: BatchMember) {
        let latest = self.now() + Micros::from_millis(self.policy.user_patience_ms);
        self.api.submissions.queue.push_back(Queued { latest, member });
    }

    /// A list too long for one value goes to keys of its own first, under a name that nobody else uses; the job's
    /// entry then says where it is.
    fn write_dependency_list_parts(&mut self, mut member: BatchMember) {
        let limits = &self.platform.deployment.store;
        let (ops, bytes) = (limits.min_txn_ops(), limits.value_bytes());
        let name = format!("{:x}", self.nonce());
        let mut lists: Vec<Vec<JobId>> = Vec::new();
        let mut size = bytes;
        for id in std::mem::take(&mut member.record.spec.depends_on) {
            let more = id.as_str().len() + LIST_ENTRY_BYTES;
            if size + more > bytes {
                lists.push(Vec::new());
                size = 2;
            }
            size += more;
            lists.last_mut().into_iter().for_each(|list| list.push(id.clone()));
        }
        let count = lists.len() as u32;
        member.record.dependency_list_parts = Some(DependencyListParts { name: name.clone(), count });
        let numbered: Vec<(u32, Vec<JobId>)> = (0..).zip(lists).collect();
        let parts = numbered.chunks(ops);
        self.api.submissions.partial.insert(name.clone(), Partial { left: parts.len(), member });
        for part in parts {
            let mut proposal = ProposedTxn::default();
            for (number, list) in part {
                proposal.unchanged(&self.store.replica, Key::DependencyListPart(name.clone(), *number));
                proposal.put(Key::DependencyListPart(name.clone(), *number), to_value(list));
            }
            self.submit_txn(proposal, Purpose::DependencyListParts(name.clone()));
        }
    }

    pub(crate) fn dependency_list_parts_over(&mut self, name: &str, committed: bool) {
        let Some(partial) = self.api.submissions.partial.get_mut(name) else { return };
        partial.left -= 1;
        if committed && partial.left > 0 {
            return;
        }
        let Some(Partial { member, .. }) = self.api.submissions.partial.remove(name) else { return };
        if committed {
            return self.queue_submission(member);
        }
        self.give_up_submission(&member.id, BUSY);
    }

    fn give_up_submission(&mut self, id: &JobId, answer: UserAnswer) {
        for asked in self.api.submissions.take_waiters(id) {
            self.answer(asked.waiter, answer.clone());
        }
    }

    /// Takes into the stored records, as one batch, what waits to be accepted.
    pub(crate) fn send_submissions(&mut self) {
        self.api.submissions.batch_at = self.now();
        let members = self.next_batch();
        let name = Key::Batch(format!("{:x}", self.nonce()));
        let mut txn = ProposedTxn::default();
        txn.unchanged(&self.store.replica, name.clone());
        for member in &members {
            txn.unchanged(&self.store.replica, Key::Outcome(member.id.clone()));
            if let Some(parts) = &member.record.dependency_list_parts {
                txn.unchanged(&self.store.replica, Key::DependencyListPart(parts.name.clone(), 0));
            }
        }
        txn.put(name, to_value(&members));
        let submitted = |member: BatchMember| {
            let has_dependencies =
                member.record.dependency_list_parts.is_some() || !member.record.spec.depends_on.is_empty();
            Submitted { id: member.id, has_dependencies }
        };
        self.send_txn(txn, Purpose::Submit(members.into_iter().map(submitted).collect()));
    }

    /// As many queued submissions as one value and one transaction's preconditions have resources for.
    fn next_batch(&mut self) -> Vec<BatchMember> {
        let limits = &self.platform.deployment.store;
        let value_bytes = (limits.min_value_kb() * 1024.0 * VALUE_FILL) as usize;
        let most = limits.min_txn_ops() * PRECONDITIONS_PER_WRITE - 1;
        let accepted = self.clock.wall;
        let mut members: Vec<BatchMember> = Vec::new();
        let (mut size, mut named) = (0, 0);
        while let Some(Queued { member, .. }) = self.api.submissions.queue.front() {
            let mut member = member.clone();
            member.record.accepted_at = accepted;
            let more = serde_json::to_string(&member).map_or(value_bytes, |text| text.len() + 1);
            // Its outcome, and perhaps its first piece.
            let preconditions = 1 + usize::from(member.record.dependency_list_parts.is_some());
            if !members.is_empty() && (size + more > value_bytes || named + preconditions > most) {
                break;
            }
            size += more;
            named += preconditions;
            members.push(member);
            self.api.submissions.queue.pop_front();
        }
        members
    }

    /// Whoever waits for the change budget for too long is told to come back.
    pub(crate) fn give_up_submissions(&mut self) {
        let patience = Micros::from_millis(self.policy.user_patience_ms);
        let longest = Micros::from_millis(self.policy.submission_wait_ms);
        let now = self.now();
        let submissions = &mut self.api.submissions.queue;
        let mut late = Vec::new();
        while submissions.front().is_some_and(|queued| (now + patience).since(queued.latest) > longest) {
            late.extend(submissions.pop_front().map(|queued| queued.member.id));
        }
        for id in late {
            self.give_up_submission(&id, UserAnswer::Unavailable { retry_after_s: 2 });
        }
    }

    /// The batch that would take a job in has ended.
    pub(crate) fn submit_over(&mut self, submitted: &Submitted, end: &TxnEnd) {
        let id = &submitted.id;
        if let TxnEnd::Committed(evidence) = end
            && evidence.revision() > self.store.replica.applied_revision
        {
            self.api.submissions.committed.insert(id.clone(), evidence.revision());
        }
        let known = self.store.replica.jobs.contains_key(id) || self.api.submissions.is_committed(id);
        for (position, asked) in self.api.submissions.take_waiters(id).into_iter().enumerate() {
            if let Some(status) = self.final_status(id) {
                self.tell(asked.waiter, status);
                continue;
            }
            let newly = end.is_committed() && position == 0;
            let question = Question::TakenIn { id: id.clone(), newly };
            match taken_in_proof(submitted, asked, end) {
                Some(fresh) => self.answer_question(asked, question, &fresh),
                // Not among the jobs known: the batch was refused on another's account, or its end is unknown.
                None if !known => self.answer(asked.waiter, BUSY),
                None => {
                    let revision = end.evidence().and_then(|evidence| evidence.revision_after(asked.at));
                    self.api.ask(asked, question, revision);
                }
            }
        }
    }

    /// Why a job that is not known can't be taken now, or ever.
    pub(crate) fn refusal(&self, spec: &JobSpec) -> Option<UserAnswer> {
        let never = |why| Some(UserAnswer::CanNeverRun(why));
        let resources = spec.resources();
        let all = match spec.kind {
            JobKind::Array => resources,
            JobKind::Gang | JobKind::Service => resources.times(u64::from(spec.tasks)),
        };
        if let Some(name) = &spec.team {
            let Some(team) = self.platform.deployment.team(name) else {
                return never("unknown team");
            };
            // A limit of 0 means none.
            let limit = team.resource_limit();
            if (limit.cpus > 0 && all.cpus > limit.cpus) || (limit.gpus > 0 && all.gpus > limit.gpus) {
                return never("needs more than the team's limit");
            }
        }
        if self.autoscaling.types.is_empty() {
            return Some(BUSY);
        }
        let fits = self.autoscaling.types.values().any(|t| {
            spec.types.as_ref().is_none_or(|allowed| allowed.contains(&t.wire.name))
                && spec.zone.as_ref().is_none_or(|z| t.wire.zones.is_empty() || t.wire.zones.contains(z))
                && resources.fits_in(&t.resources)
        });
        if fits { None } else { never("a task fits no allowed machine type") }
    }
}
