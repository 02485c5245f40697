//! Random histories of the stored records: compares a controller's answers with a reference model.
//!
//! A history accepts jobs, some of them twice and some with dependencies, records their outcomes and deletes batches. A
//! controller observes it in parts: through its watch, through fresh reads, through pages of different revisions when
//! its watch is too old, and through notices of siblings about cancellations that it has not read yet. After each part
//! it is asked for the state of every job and must answer what the model derives from the records at the revision of
//! its last read.

use super::controller::{ControllerHarness, batch, id, spec};
use burlhatch::coordination::{Input, ReadOutcome, RequestId, StoreCall, UserAnswer, UserRequest};
use burlhatch::protocol::peer::{CancellationNotice, CancelledJob};
use burlhatch::protocol::store::{Changes, Event, Item, Page};
use burlhatch::protocol::user::JobState;
use burlhatch::storage::schema::{Key, Outcome, OutcomeRecord, to_value};
use burlhatch::types::{JobId, Micros};
use ciborium::Value;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};

/// Number of jobs in a history.
const JOBS: u64 = 8;
/// Base of the request IDs of siblings' notices, distinct from the IDs of users' requests.
const FIRST_NOTICE_REQUEST: RequestId = 1_000_000;

/// A change of the stored records. A step that the records don't permit is skipped.
#[derive(Clone, Debug)]
enum Step {
    /// Accepts jobs, each with dependencies among the jobs accepted before it.
    Accept(Vec<(u64, Vec<u64>)>),
    Done(u64),
    Cancel(u64),
    /// Deletes a batch whose jobs have all finished.
    DeleteBatch(usize),
}

/// How the controller learns of the steps.
#[derive(Clone, Debug)]
enum Observation {
    /// Its watch and its fresh reads are answered.
    Watch,
    /// Only its fresh reads are answered.
    FreshRead,
    /// A sibling notifies it of a cancellation, which its own reads may not have returned yet.
    SiblingNotice(usize),
    /// Its watch is too old, and it reads all records again, in pages of this many items with steps in between.
    Resync(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let depends_on = || proptest::collection::vec(0..JOBS, 0..3);
    prop_oneof![
        4 => proptest::collection::vec((0..JOBS, depends_on()), 1..4).prop_map(Step::Accept),
        2 => (0..JOBS).prop_map(Step::Done),
        2 => (0..JOBS).prop_map(Step::Cancel),
        2 => (0usize..8).prop_map(Step::DeleteBatch),
    ]
}

fn observation() -> impl Strategy<Value = Observation> {
    prop_oneof![
        3 => Just(Observation::Watch),
        3 => Just(Observation::FreshRead),
        1 => (0usize..4).prop_map(Observation::SiblingNotice),
        1 => (1usize..4).prop_map(Observation::Resync),
    ]
}

/// The records of the store, and the reference model of the jobs.
#[derive(Default)]
struct History {
    revision: u64,
    events: Vec<Event>,
    records: BTreeMap<String, (Value, u64)>,
    batches: Vec<(String, BTreeSet<u64>)>,
    depends_on: BTreeMap<u64, Vec<u64>>,
    outcomes: BTreeMap<u64, Outcome>,
}

impl History {
    fn write(&mut self, key: Key, value: Option<Value>) {
        self.revision += 1;
        let key = key.to_string();
        let (put, delete) = if value.is_some() { (Some(key.clone()), None) } else { (None, Some(key.clone())) };
        self.events.push(Event { put, delete, value: value.clone(), version: self.revision });
        match value {
            Some(value) => self.records.insert(key, (value, self.revision)),
            None => self.records.remove(&key),
        };
    }

    /// Returns a job's outcome, found by a recursive walk over its dependencies.
    fn outcome(&self, job: u64) -> Option<Outcome> {
        let cancelled_dependency =
            || self.depends_on.get(&job)?.iter().find(|before| self.outcome(**before) == Some(Outcome::Cancelled));
        self.outcomes.get(&job).copied().or_else(|| cancelled_dependency().map(|_| Outcome::Cancelled))
    }

    fn state(&self, job: u64) -> Option<JobState> {
        self.depends_on.get(&job)?;
        Some(match self.outcome(job) {
            Some(Outcome::Done) => JobState::Done,
            Some(Outcome::Cancelled) => JobState::Cancelled,
            None => JobState::Queued,
        })
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Accept(jobs) => self.accept(jobs),
            Step::Done(job) => {
                let ready = self.depends_on.get(job).is_some_and(|depends_on| {
                    depends_on.iter().all(|before| self.outcome(*before) == Some(Outcome::Done))
                });
                if ready && self.outcome(*job).is_none() {
                    self.record_outcome(*job, Outcome::Done);
                }
            }
            // Also if a dependency was cancelled: the shard's holder then records the cancellation of the job itself.
            Step::Cancel(job) => {
                if self.depends_on.contains_key(job) && !self.outcomes.contains_key(job) {
                    self.record_outcome(*job, Outcome::Cancelled);
                }
            }
            Step::DeleteBatch(nth) => {
                let has_finished = |jobs: &BTreeSet<u64>| jobs.iter().all(|job| self.outcomes.contains_key(job));
                if let Some(at) =
                    self.batches.iter().position(|(_, jobs)| has_finished(jobs)).filter(|at| at % 8 <= *nth)
                {
                    let (name, _) = self.batches.remove(at);
                    self.write(Key::JobBatch(name), None);
                }
            }
        }
    }

    /// Accepts the jobs that have no outcome. A known job keeps its dependencies if it is submitted again with others,
    /// because of two batches the older is valid.
    fn accept(&mut self, jobs: &[(u64, Vec<u64>)]) {
        let mut members: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
        for (job, depends_on) in jobs.iter().filter(|(job, _)| !self.outcomes.contains_key(job)) {
            // Dependencies must have been accepted before, so there are no cycles.
            let before = depends_on.iter().copied().filter(|other| other != job && self.depends_on.contains_key(other));
            members.entry(*job).or_insert_with(|| before.collect());
        }
        if members.is_empty() {
            return;
        }
        let name = format!("{}", self.revision + 1);
        let spec_of = |depends_on: &[u64]| spec(&depends_on.iter().map(|job| id(*job)).collect::<Vec<_>>());
        let specs: Vec<_> = members.iter().map(|(job, depends_on)| (id(*job), spec_of(depends_on))).collect();
        self.write(Key::JobBatch(name.clone()), Some(batch(&specs)));
        self.batches.push((name, members.keys().copied().collect()));
        for (job, depends_on) in members {
            self.depends_on.entry(job).or_insert(depends_on);
        }
    }

    fn record_outcome(&mut self, job: u64, outcome: Outcome) {
        let record = if outcome == Outcome::Done { OutcomeRecord::done() } else { OutcomeRecord::cancelled(Micros(1)) };
        self.write(Key::Outcome(id(job)), Some(to_value(&record)));
        self.outcomes.insert(job, outcome);
    }

    fn changes(&self, after: u64) -> ReadOutcome<Changes> {
        let events = self.events.iter().filter(|event| event.version > after).cloned().collect();
        ReadOutcome::Fetched(Changes { revision: self.revision, events })
    }

    /// Returns the cancellations in the records, with their revisions.
    fn cancellations(&self) -> Vec<CancelledJob> {
        let cancelled = self.outcomes.iter().filter(|(_, outcome)| **outcome == Outcome::Cancelled);
        let notices = cancelled.map(|(job, _)| {
            let key = Key::Outcome(id(*job)).to_string();
            CancelledJob { id: id(*job).to_string(), cancelled_at: 1, revision: self.records[&key].1 }
        });
        notices.collect()
    }
}

struct Simulation {
    history: History,
    controller: ControllerHarness,
    notice_count: RequestId,
}

impl Simulation {
    /// Answers all pending calls to the store, but watches only if `answers_watches`.
    fn answer_calls(&mut self, answers_watches: bool) {
        for call in std::mem::take(&mut self.controller.calls) {
            match call {
                StoreCall::Changes { ticket, after, wait_ms, .. } if wait_ms == 0 || answers_watches => {
                    let outcome = self.history.changes(after);
                    self.controller.feed(Input::Changes { ticket, outcome });
                }
                // Writes and sessions are irrelevant here: they stay unanswered.
                StoreCall::Txn { .. } | StoreCall::GrantSession { .. } | StoreCall::KeepAlive { .. } => {}
                other => self.controller.calls.push(other),
            }
        }
    }

    /// Has the controller read all records again, in pages of different revisions with steps in between.
    fn resync(&mut self, page_items: usize, between: &mut impl Iterator<Item = Step>) {
        let watch = self.controller.take_changes(|fresh| !fresh);
        self.controller.feed(Input::Changes { ticket: watch, outcome: ReadOutcome::Compacted });
        loop {
            self.controller.advance_time(100);
            let Some(StoreCall::Page { ticket, after }) =
                self.controller.take_call(|call| matches!(call, StoreCall::Page { .. }))
            else {
                break;
            };
            let rows = self.history.records.iter().filter(|(key, _)| after.as_ref().is_none_or(|after| *key > after));
            let mut items: Vec<Item> = rows
                .map(|(key, (value, version))| Item { key: key.clone(), value: value.clone(), version: *version })
                .collect();
            let more = items.len() > page_items;
            items.truncate(page_items);
            let page = Page { items, more, revision: self.history.revision };
            self.controller.feed(Input::Page { ticket, outcome: ReadOutcome::Fetched(page) });
            if let Some(step) = between.next() {
                self.history.apply(&step);
            }
        }
        for _ in 0..20 {
            if self.controller.controller.is_ready() {
                return;
            }
            self.answer_calls(false);
            self.controller.advance_time(100);
        }
        panic!("the controller is not ready after the resync");
    }

    /// Sends the controller a sibling's notice of one of the cancellations.
    fn send_notice(&mut self, nth: usize) {
        let cancelled = self.history.cancellations();
        if cancelled.is_empty() {
            return;
        }
        self.notice_count += 1;
        let jobs = vec![cancelled[nth % cancelled.len()].clone()];
        let message = CancellationNotice { shard: 0, fencing_token: 1, jobs };
        self.controller.feed(Input::Peer(FIRST_NOTICE_REQUEST + self.notice_count, message));
    }

    /// Asks for the state of every job, and of one that was never submitted, and compares the answers with the model.
    fn check(&mut self) -> Result<(), TestCaseError> {
        let jobs: Vec<(u64, JobId)> = (0..=JOBS).map(|job| (job, id(job))).collect();
        let requests: Vec<(u64, RequestId)> =
            jobs.iter().map(|(job, id)| (*job, self.controller.request(UserRequest::Get(id.clone())))).collect();
        for _ in 0..10 {
            self.controller.advance_time(100);
            self.answer_calls(false);
        }
        for (job, request_id) in requests {
            let answer = match self.controller.answer(request_id) {
                Some(UserAnswer::Status(status)) => Some(status.state),
                Some(UserAnswer::NotFound) => None,
                other => return Err(TestCaseError::fail(format!("{job}: {other:?}"))),
            };
            prop_assert_eq!(answer, self.history.state(job), "job {}", job);
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(11), failure_persistence: None, cases: 400, ..ProptestConfig::default() })]

    /// Guards against answers that are older than the records at the time of the request.
    #[test]
    fn answers_match_the_records_at_the_latest_revision(
        steps in proptest::collection::vec(step(), 1..50),
        observations in proptest::collection::vec((1usize..6, observation()), 1..12),
    ) {
        let controller = ControllerHarness::started(Vec::new());
        // The history begins at the revision of the controller's initial sync.
        let history = History { revision: super::controller::FIRST_PAGE_REVISION, ..History::default() };
        let mut simulation = Simulation { history, controller, notice_count: 0 };
        let mut steps = steps.into_iter();
        for (step_count, observation) in observations {
            for step in steps.by_ref().take(step_count) {
                simulation.history.apply(&step);
            }
            match observation {
                Observation::Watch => simulation.answer_calls(true),
                Observation::FreshRead => {}
                Observation::SiblingNotice(nth) => simulation.send_notice(nth),
                Observation::Resync(items) => simulation.resync(items, &mut steps),
            }
            simulation.check()?;
        }
    }
}
