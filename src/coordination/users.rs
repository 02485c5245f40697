//! Submissions, questions and cancellations.
//!
//! A final state is answered from memory. Anything else needs a fresh read that began after the
//! request came; a new job's transaction is such a read in itself.

use super::txns::{CONDITIONS_PER_WRITE, Draft, Purpose};
use super::{Core, Effect, UserAnswer, UserRequest, Waiter};
use crate::bookkeeping::schema::{BatchMember, EndRecord, JobRecord, Key, Outcome, to_value};
use crate::protocol::user::{JobSpec, JobState, JobStatus, Kind, Submission};
use crate::units::{JobId, Micros, Room};
use std::collections::{HashMap, VecDeque};

/// What to do once the replica is fresh.
enum Question {
    Status(JobId),
    Submit(JobId, Option<Box<JobSpec>>),
    /// Somebody else's submission of it was there first.
    Known(JobId),
    Cancel(JobId),
}

#[derive(Default)]
pub(super) struct Users {
    /// Asked after the read in flight was sent.
    next: Vec<(Waiter, Question)>,
    /// Answered by the read in flight.
    current: Vec<(Waiter, Question)>,
    submits: HashMap<JobId, Vec<Waiter>>,
    /// Submissions that go into the next batch, and by when they should.
    queue: VecDeque<(Micros, BatchMember)>,
    /// Submissions whose lists are being written down, and transactions that still have to be.
    large: HashMap<String, (usize, BatchMember)>,
    /// When the last batch left.
    batch_at: Micros,
    cancels: HashMap<JobId, Vec<Waiter>>,
}

impl Users {
    pub fn wants_read(&self) -> bool {
        !self.next.is_empty()
    }

    /// Whether a batch of submissions should go now. More may join it until a pause since the last
    /// one is over.
    pub fn batch_due(&self, now: Micros, gap: Micros) -> bool {
        !self.queue.is_empty() && now.since(self.batch_at) >= gap
    }

    pub fn read_started(&mut self) {
        debug_assert!(self.current.is_empty());
        self.current = std::mem::take(&mut self.next);
    }

    pub fn all_waiters(&mut self) -> Vec<Waiter> {
        let questions = self.next.drain(..).chain(self.current.drain(..)).map(|(w, _)| w);
        let writes = self.submits.drain().chain(self.cancels.drain()).flat_map(|(_, w)| w);
        questions.chain(writes).collect()
    }
}

/// Part of the allowed size that a value of several entries is filled to.
pub(super) const VALUE_FILL: f64 = 0.9;

pub(super) const BUSY: UserAnswer = UserAnswer::Unavailable { retry_after_s: 1 };

impl Core {
    pub(super) fn answer(&mut self, waiter: Waiter, answer: UserAnswer) {
        self.out.push(Effect::AnswerUser(waiter, answer));
    }

    /// Tells a user how a job stands; that it is cancelled only once that is known where it counts.
    fn tell(&mut self, waiter: Waiter, status: JobStatus) {
        match status.state {
            JobState::Cancelled => self.answer_cancelled(waiter, status.id),
            _ => self.answer(waiter, UserAnswer::Status(status)),
        }
    }

    /// The final state of a job that is over.
    pub(super) fn final_status(&self, id: &JobId) -> Option<JobStatus> {
        let state = match self.outcome(id)? {
            Outcome::Done => JobState::Done,
            Outcome::Cancelled => JobState::Cancelled,
        };
        Some(JobStatus { id: id.clone(), state, done: None, running: None })
    }

    /// As the replica has it; for others than final states it must be fresh.
    fn status(&self, id: &JobId) -> Option<JobStatus> {
        if let Some(status) = self.final_status(id) {
            return Some(status);
        }
        self.replica.jobs.get(id)?;
        let (done, running) = self.jobs.get(id).map_or((0, 0), |job| job.counts());
        let state = if running > 0 { JobState::Running } else { JobState::Queued };
        Some(JobStatus { id: id.clone(), state, done: Some(done), running: Some(running) })
    }

    pub(super) fn user_request(&mut self, waiter: Waiter, request: UserRequest) {
        let known = match &request {
            UserRequest::Get(id) | UserRequest::Cancel(id) => Some(id),
            UserRequest::Submit(submission) => submission.id.as_ref(),
        };
        // Without the state service only final states can be told; whoever asks for more hears at
        // once that it can't be now, instead of waiting for a call that will fail.
        let final_state = known.is_some_and(|id| self.outcome(id).is_some());
        if !self.sync.done || (!self.reaches_state() && !final_state) {
            return self.answer(waiter, BUSY);
        }
        match request {
            UserRequest::Get(id) => match self.final_status(&id) {
                Some(status) => self.tell(waiter, status),
                None => self.users.next.push((waiter, Question::Status(id))),
            },
            UserRequest::Cancel(id) => match self.final_status(&id) {
                Some(status) => self.tell(waiter, status),
                None if self.replica.jobs.contains_key(&id) => self.cancel(waiter, id),
                None => self.users.next.push((waiter, Question::Cancel(id))),
            },
            UserRequest::Submit(submission) => self.submit(waiter, *submission),
        }
    }

    fn submit(&mut self, waiter: Waiter, submission: Submission) {
        let Some(id) = submission.id else {
            return self.answer(waiter, UserAnswer::Malformed);
        };
        if let Some(status) = self.final_status(&id) {
            return self.tell(waiter, status);
        }
        let spec = submission.spec;
        let fine = spec.as_ref().is_some_and(|s| self.refusal(s).is_none() && self.awaited_exist(s));
        if self.replica.jobs.contains_key(&id) || !fine {
            // Known, or to be refused unless it is known after all.
            self.users.next.push((waiter, Question::Submit(id, spec.map(Box::new))));
            return;
        }
        if let Some(spec) = spec {
            self.accept(waiter, id, spec);
        }
    }

    fn accept(&mut self, waiter: Waiter, id: JobId, spec: JobSpec) {
        let waiters = self.users.submits.entry(id.clone()).or_default();
        waiters.push(waiter);
        if waiters.len() > 1 {
            return;
        }
        let latest = self.now() + Micros::from_millis(self.policy.user_patience_ms);
        let record = JobRecord { accepted: self.clock.wall, pieces: None, spec };
        let member = BatchMember { id, record };
        let size = serde_json::to_string(&member).map_or(0, |text| text.len());
        if size > self.platform.deployment.state.value_bytes() {
            if member.record.spec.awaits.is_empty() {
                // Names beyond all measure: no value takes them.
                for waiter in self.users.submits.remove(&member.id).unwrap_or_default() {
                    self.answer(waiter, UserAnswer::Malformed);
                }
                return;
            }
            self.write_awaited_parts(member);
        } else {
            self.users.queue.push_back((latest, member));
        }
    }

    /// A list too long for one value goes to keys of its own first, under a name that nobody else uses; the job's
    /// entry then says where it is.
    fn write_awaited_parts(&mut self, mut member: BatchMember) {
        let limits = &self.platform.deployment.state;
        let (ops, bytes) = (limits.ops(), limits.value_bytes());
        let name = format!("{:x}", self.nonce());
        let mut lists: Vec<Vec<JobId>> = Vec::new();
        let mut size = bytes;
        for id in std::mem::take(&mut member.record.spec.awaits) {
            // Quotes and a comma.
            let more = id.as_str().len() + 3;
            if size + more > bytes {
                lists.push(Vec::new());
                size = 2;
            }
            size += more;
            lists.last_mut().into_iter().for_each(|list| list.push(id.clone()));
        }
        member.record.pieces = Some((name.clone(), lists.len() as u32));
        let numbered: Vec<(u32, Vec<JobId>)> = (0..).zip(lists).collect();
        let parts = numbered.chunks(ops);
        self.users.large.insert(name.clone(), (parts.len(), member));
        for part in parts {
            let mut draft = Draft::default();
            for (number, list) in part {
                draft.unchanged(&self.replica, Key::AwaitedPart(name.clone(), *number));
                draft.put(Key::AwaitedPart(name.clone(), *number), to_value(list));
            }
            self.submit_txn(draft, Purpose::AwaitedParts(name.clone()));
        }
    }

    pub(super) fn awaited_parts_over(&mut self, name: &str, committed: bool) {
        let Some((left, _)) = self.users.large.get_mut(name) else { return };
        *left -= 1;
        if committed && *left > 0 {
            return;
        }
        let Some((_, member)) = self.users.large.remove(name) else { return };
        if committed {
            let latest = self.now() + Micros::from_millis(self.policy.user_patience_ms);
            self.users.queue.push_back((latest, member));
            return;
        }
        for waiter in self.users.submits.remove(&member.id).unwrap_or_default() {
            self.answer(waiter, BUSY);
        }
    }

    /// Takes into the stored records, as one batch, what waits to be accepted.
    pub(super) fn send_submissions(&mut self) {
        let limits = &self.platform.deployment.state;
        let room = (limits.least_value_kb() * 1024.0 * VALUE_FILL) as usize;
        let most = limits.ops() * CONDITIONS_PER_WRITE - 1;
        let accepted = self.clock.wall;
        self.users.batch_at = self.now();
        let mut members: Vec<BatchMember> = Vec::new();
        let (mut size, mut named) = (0, 0);
        while let Some((_, member)) = self.users.queue.front() {
            let mut member = member.clone();
            member.record.accepted = accepted;
            let more = serde_json::to_string(&member).map_or(room, |text| text.len() + 1);
            // Its outcome, and perhaps its first piece.
            let conditions = 1 + usize::from(member.record.pieces.is_some());
            if !members.is_empty() && (size + more > room || named + conditions > most) {
                break;
            }
            size += more;
            named += conditions;
            members.push(member);
            self.users.queue.pop_front();
        }
        let name = Key::Batch(format!("{:x}", self.nonce()));
        let mut txn = Draft::default();
        txn.unchanged(&self.replica, name.clone());
        for member in &members {
            txn.unchanged(&self.replica, Key::End(member.id.clone()));
            if let Some((name, _)) = &member.record.pieces {
                txn.unchanged(&self.replica, Key::AwaitedPart(name.clone(), 0));
            }
        }
        txn.put(name, to_value(&members));
        self.send_txn(txn, Purpose::Submit(members.into_iter().map(|m| m.id).collect()));
    }

    /// Whoever waits for the change budget for too long is told to come back.
    pub(super) fn give_up_submissions(&mut self) {
        let patience = Micros::from_millis(self.policy.user_patience_ms);
        let longest = Micros::from_millis(self.policy.submission_wait_ms);
        let now = self.now();
        while self.users.queue.front().is_some_and(|(latest, ..)| (now + patience).since(*latest) > longest) {
            let Some((_, member)) = self.users.queue.pop_front() else { break };
            for waiter in self.users.submits.remove(&member.id).unwrap_or_default() {
                self.answer(waiter, UserAnswer::Unavailable { retry_after_s: 2 });
            }
        }
    }

    fn cancel(&mut self, waiter: Waiter, id: JobId) {
        let waiters = self.users.cancels.entry(id.clone()).or_default();
        waiters.push(waiter);
        if waiters.len() > 1 {
            return;
        }
        let mut txn = Draft::default();
        if let Some(known) = self.replica.jobs.get(&id) {
            txn.unchanged(&self.replica, Key::Batch(known.batch.clone()));
        }
        txn.unchanged(&self.replica, Key::End(id.clone()));
        txn.put(Key::End(id.clone()), to_value(&EndRecord::cancelled(self.clock.wall)));
        self.submit_txn(txn, Purpose::Cancel(id));
    }

    pub(super) fn submit_over(&mut self, id: &JobId, committed: bool) {
        let status = self.status(id);
        for (i, waiter) in self.users.submits.remove(id).unwrap_or_default().into_iter().enumerate() {
            let answer = match &status {
                Some(status) if committed && i == 0 => UserAnswer::Accepted(status.clone()),
                Some(status) => UserAnswer::Status(status.clone()),
                None => BUSY,
            };
            // A refused transaction proves nothing about a state that isn't final.
            let sure = committed || status.as_ref().is_some_and(|s| s.done.is_none());
            match answer {
                UserAnswer::Status(_) if !sure => {
                    self.users.next.push((waiter, Question::Known(id.clone())));
                }
                UserAnswer::Status(status) => self.tell(waiter, status),
                answer => self.answer(waiter, answer),
            }
        }
    }

    pub(super) fn cancel_over(&mut self, id: &JobId, _committed: bool) {
        for waiter in self.users.cancels.remove(id).unwrap_or_default() {
            match self.final_status(id) {
                Some(status) => self.tell(waiter, status),
                None => self.answer(waiter, BUSY),
            }
        }
    }

    /// The fresh read in flight has ended.
    pub(super) fn read_done(&mut self, fresh: bool) {
        for (waiter, question) in std::mem::take(&mut self.users.current) {
            if !fresh {
                self.answer(waiter, BUSY);
                continue;
            }
            match question {
                Question::Status(id) => match self.status(&id) {
                    Some(status) => self.tell(waiter, status),
                    None => self.answer(waiter, UserAnswer::NotFound),
                },
                Question::Known(id) => match self.status(&id) {
                    Some(status) => self.tell(waiter, status),
                    None => self.answer(waiter, BUSY),
                },
                Question::Cancel(id) => match self.status(&id) {
                    None => self.answer(waiter, UserAnswer::NotFound),
                    Some(_) => self.user_request(waiter, UserRequest::Cancel(id)),
                },
                Question::Submit(id, spec) => {
                    let answer = match (self.status(&id), spec) {
                        (Some(status), _) => {
                            self.tell(waiter, status);
                            continue;
                        }
                        (None, None) => UserAnswer::Malformed,
                        (None, Some(spec)) => match self.refusal(&spec) {
                            Some(answer) => answer,
                            // The read was fresh: whoever accepted it would have it in the stored records.
                            None if !self.awaited_exist(&spec) => {
                                UserAnswer::CanNeverRun("awaits a job that was never accepted")
                            }
                            None => {
                                self.accept(waiter, id, *spec);
                                continue;
                            }
                        },
                    };
                    self.answer(waiter, answer);
                }
            }
        }
    }

    /// Why a job that is not known can't be taken now, or ever.
    fn refusal(&self, spec: &JobSpec) -> Option<UserAnswer> {
        let never = |why| Some(UserAnswer::CanNeverRun(why));
        let room = spec.room();
        let all = match spec.kind {
            Kind::Array => room,
            Kind::Gang | Kind::Service => room.times(u64::from(spec.tasks)),
        };
        if let Some(name) = &spec.team {
            let Some(team) = self.platform.deployment.team(name) else {
                return never("unknown team");
            };
            // A limit of 0 means none.
            let limit = Room::new(team.cpus_max, team.gpus_max, 0.0);
            if (limit.cpus > 0 && all.cpus > limit.cpus) || (limit.gpus > 0 && all.gpus > limit.gpus) {
                return never("needs more than the team's limit");
            }
        }
        if self.types.is_empty() {
            return Some(BUSY);
        }
        let fits = self.types.values().any(|t| {
            spec.types.as_ref().is_none_or(|allowed| allowed.contains(&t.wire.name))
                && spec.zone.as_ref().is_none_or(|z| t.wire.zones.is_empty() || t.wire.zones.contains(z))
                && room.fits_in(&t.room)
        });
        if fits { None } else { never("a task fits no allowed machine type") }
    }
}
