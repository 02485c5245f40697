//! Random histories of the stored records against a plain model of what may be answered.
//!
//! A history takes jobs in, some of them twice and some that await others, ends them and clears batches away. A
//! controller reads it in pieces: by its watch, by fresh reads, in pages of different times after it fell too far
//! behind, and hears of cancellations from siblings before it reads of them. After each piece it is asked about every
//! job, and answers what the model derives from the records at the revision that its read was answered with.

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

/// Jobs that a history is about.
const JOBS: u64 = 8;
/// Waiters of siblings, apart from users'.
const SIBLING: RequestId = 1_000_000;

/// What happens next, as far as the records so far allow it.
#[derive(Clone, Debug)]
enum Step {
    /// Some jobs are taken in, each awaiting some of those before it.
    Accept(Vec<(u64, Vec<u64>)>),
    Done(u64),
    Cancel(u64),
    /// A batch is cleared away.
    Clear(usize),
}

/// How the controller learns of what happened.
#[derive(Clone, Debug)]
enum Look {
    /// Its watch is answered.
    Watch,
    /// Only the questions' own read is.
    Fresh,
    /// A sibling tells it of a cancellation, which its own reads may not have brought yet.
    Sibling(usize),
    /// It fell behind and reads everything again, in pages of so many items with some steps in between.
    StartOver(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let depends_on = || proptest::collection::vec(0..JOBS, 0..3);
    prop_oneof![
        4 => proptest::collection::vec((0..JOBS, depends_on()), 1..4).prop_map(Step::Accept),
        2 => (0..JOBS).prop_map(Step::Done),
        2 => (0..JOBS).prop_map(Step::Cancel),
        2 => (0usize..8).prop_map(Step::Clear),
    ]
}

fn look() -> impl Strategy<Value = Look> {
    prop_oneof![
        3 => Just(Look::Watch),
        3 => Just(Look::Fresh),
        1 => (0usize..4).prop_map(Look::Sibling),
        1 => (1usize..4).prop_map(Look::StartOver),
    ]
}

/// The store's records, and all that the model knows of the jobs.
#[derive(Default)]
struct History {
    revision: u64,
    log: Vec<Event>,
    keys: BTreeMap<String, (Value, u64)>,
    batches: Vec<(String, BTreeSet<u64>)>,
    depends_on: BTreeMap<u64, Vec<u64>>,
    ends: BTreeMap<u64, Outcome>,
}

impl History {
    fn write(&mut self, key: Key, value: Option<Value>) {
        self.revision += 1;
        let key = key.to_string();
        let (put, delete) = if value.is_some() { (Some(key.clone()), None) } else { (None, Some(key.clone())) };
        self.log.push(Event { put, delete, value: value.clone(), version: self.revision });
        match value {
            Some(value) => self.keys.insert(key, (value, self.revision)),
            None => self.keys.remove(&key),
        };
    }

    /// What has become of a job, by plain walks over what it depends on.
    fn outcome(&self, job: u64) -> Option<Outcome> {
        let fell =
            || self.depends_on.get(&job)?.iter().find(|before| self.outcome(**before) == Some(Outcome::Cancelled));
        self.ends.get(&job).copied().or_else(|| fell().map(|_| Outcome::Cancelled))
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
                    self.end(*job, Outcome::Done);
                }
            }
            // Also the owner of one that fell with another writes that down some time.
            Step::Cancel(job) => {
                if self.depends_on.contains_key(job) && !self.ends.contains_key(job) {
                    self.end(*job, Outcome::Cancelled);
                }
            }
            Step::Clear(nth) => {
                let over = |jobs: &BTreeSet<u64>| jobs.iter().all(|job| self.ends.contains_key(job));
                if let Some(at) = self.batches.iter().position(|(_, jobs)| over(jobs)).filter(|at| at % 8 <= *nth) {
                    let (name, _) = self.batches.remove(at);
                    self.write(Key::JobBatch(name), None);
                }
            }
        }
    }

    /// Takes in those that are not over. A job that is known keeps what it depends on, whatever the repeat says: of two
    /// batches the older counts.
    fn accept(&mut self, jobs: &[(u64, Vec<u64>)]) {
        let mut members: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
        for (job, depends_on) in jobs.iter().filter(|(job, _)| !self.ends.contains_key(job)) {
            // What it names was accepted before it, so there are no circles.
            let before = depends_on.iter().copied().filter(|other| other != job && self.depends_on.contains_key(other));
            members.entry(*job).or_insert_with(|| before.collect());
        }
        if members.is_empty() {
            return;
        }
        let name = format!("{}", self.revision + 1);
        let of = |depends_on: &[u64]| spec(&depends_on.iter().map(|job| id(*job)).collect::<Vec<_>>());
        let specs: Vec<_> = members.iter().map(|(job, depends_on)| (id(*job), of(depends_on))).collect();
        self.write(Key::JobBatch(name.clone()), Some(batch(&specs)));
        self.batches.push((name, members.keys().copied().collect()));
        for (job, depends_on) in members {
            self.depends_on.entry(job).or_insert(depends_on);
        }
    }

    fn end(&mut self, job: u64, outcome: Outcome) {
        let record = if outcome == Outcome::Done { OutcomeRecord::done() } else { OutcomeRecord::cancelled(Micros(1)) };
        self.write(Key::Outcome(id(job)), Some(to_value(&record)));
        self.ends.insert(job, outcome);
    }

    fn changes(&self, after: u64) -> ReadOutcome<Changes> {
        let events = self.log.iter().filter(|event| event.version > after).cloned().collect();
        ReadOutcome::Fetched(Changes { revision: self.revision, events })
    }

    /// Cancellations in the records, with their revisions.
    fn cancellations(&self) -> Vec<CancelledJob> {
        let cancelled = self.ends.iter().filter(|(_, outcome)| **outcome == Outcome::Cancelled);
        let told = cancelled.map(|(job, _)| {
            let key = Key::Outcome(id(*job)).to_string();
            CancelledJob { id: id(*job).to_string(), cancelled_at: 1, revision: self.keys[&key].1 }
        });
        told.collect()
    }
}

struct Day {
    history: History,
    controller: ControllerHarness,
    siblings: RequestId,
}

impl Day {
    /// Answers all calls to the store that are on their way, watches only if `watches`.
    fn answer_calls(&mut self, watches: bool) {
        for call in std::mem::take(&mut self.controller.calls) {
            match call {
                StoreCall::Changes { ticket, after, wait_ms, .. } if wait_ms == 0 || watches => {
                    let outcome = self.history.changes(after);
                    self.controller.feed(Input::Changes { ticket, outcome });
                }
                // Roles and machines are no matter here.
                StoreCall::Txn { .. } | StoreCall::GrantSession { .. } | StoreCall::KeepAlive { .. } => {}
                other => self.controller.calls.push(other),
            }
        }
    }

    /// Reads everything again: pages of different times, with steps in between.
    fn start_over(&mut self, page_items: usize, between: &mut impl Iterator<Item = Step>) {
        let watch = self.controller.take_changes(|fresh| !fresh);
        self.controller.feed(Input::Changes { ticket: watch, outcome: ReadOutcome::Compacted });
        loop {
            self.controller.pass(100);
            let Some(StoreCall::Page { ticket, after }) =
                self.controller.take(|call| matches!(call, StoreCall::Page { .. }))
            else {
                break;
            };
            let rows = self.history.keys.iter().filter(|(key, _)| after.as_ref().is_none_or(|after| *key > after));
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
            self.controller.pass(100);
        }
        panic!("it is not ready again");
    }

    fn tell(&mut self, nth: usize) {
        let told = self.history.cancellations();
        if told.is_empty() {
            return;
        }
        self.siblings += 1;
        let jobs = vec![told[nth % told.len()].clone()];
        let message = CancellationNotice { shard: 0, fencing_token: 1, jobs };
        self.controller.feed(Input::Peer(SIBLING + self.siblings, message));
    }

    /// Asks about all jobs, and about one that nobody submitted.
    fn check(&mut self) -> Result<(), TestCaseError> {
        let jobs: Vec<(u64, JobId)> = (0..=JOBS).map(|job| (job, id(job))).collect();
        let asked: Vec<(u64, RequestId)> =
            jobs.iter().map(|(job, id)| (*job, self.controller.ask(UserRequest::Get(id.clone())))).collect();
        for _ in 0..10 {
            self.controller.pass(100);
            self.answer_calls(false);
        }
        for (job, request_id) in asked {
            let answer = match self.controller.told(request_id) {
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

    #[test]
    fn answers_follow_from_the_records(
        steps in proptest::collection::vec(step(), 1..50),
        looks in proptest::collection::vec((1usize..6, look()), 1..12),
    ) {
        let controller = ControllerHarness::started(Vec::new());
        // The first revision that it knows of.
        let history = History { revision: super::controller::FIRST, ..History::default() };
        let mut day = Day { history, controller, siblings: 0 };
        let mut steps = steps.into_iter();
        for (count, look) in looks {
            for step in steps.by_ref().take(count) {
                day.history.apply(&step);
            }
            match look {
                Look::Watch => day.answer_calls(true),
                Look::Fresh => {}
                Look::Sibling(nth) => day.tell(nth),
                Look::StartOver(items) => day.start_over(items, &mut steps),
            }
            day.check()?;
        }
    }
}
