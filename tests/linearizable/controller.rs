//! One controller's state machine, driven by hand: its calls to the store wait until the test answers them.

use burlhatch::coordination::{
    Clock, CloudCall, CloudOutcome, Controller, Effect, Input, ReadOutcome, RequestId, SessionOutcome, StoreCall,
    TxnOutcome, UserAnswer, UserRequest,
};
use burlhatch::protocol::cloud::{MachineType, MachineTypes};
use burlhatch::protocol::store::{Changes, Event, Item, Page, Txn, Write};
use burlhatch::protocol::user::{JobKind, JobSpec, JobState, Priority, Submission};
use burlhatch::settings::{Platform, Policy};
use burlhatch::storage::schema::{JobBatchMember, JobRecord, Key, OutcomeRecord, to_value};
use burlhatch::types::{JobId, Micros};
use ciborium::Value;
use std::sync::Arc;

const SETTINGS: &str = r#"
label = "node-0"
public_addr = "10.0.0.1:8080"
back = "10.0.0.1:8081"
[external]
cloud = "10.2.0.2:1"
state = "10.2.0.1:1"
[deployment]
nodes = 1
zones = ["a"]
[deployment.workers]
report_s = 3.0
lease_s = 20.0
gang_wait_s = 30.0
gang_peer_s = 5.0
cancel_s = 40.0
[deployment.state]
rps = 200.0
write_rps = 50.0
value_kb = 4.0
txn_ops = 12
[deployment.cloud]
rps = 5.0
list_lag_s = 4.0
[deployment.quota]
fd_limit = 1000
"#;

/// Revision of the first page that a controller reads.
pub const FIRST: u64 = 10;

/// One controller, and the calls of its that are not answered yet.
pub struct ControllerHarness {
    pub controller: Controller,
    now: u64,
    pub calls: Vec<StoreCall>,
    answers: Vec<(RequestId, UserAnswer)>,
    waiters: RequestId,
}

impl ControllerHarness {
    /// One that has read nothing yet.
    pub fn new() -> ControllerHarness {
        let platform = Platform::parse(SETTINGS).expect("valid settings");
        let controller = Controller::new(Arc::new(platform), Arc::new(Policy::default()), 7);
        let mut controller =
            ControllerHarness { controller, now: 1_000_000, calls: Vec::new(), answers: Vec::new(), waiters: 0 };
        controller.feed(Input::Tick);
        controller
    }

    /// One that has read these records, and what has changed since the first page.
    pub fn started(items: Vec<Item>) -> ControllerHarness {
        let mut controller = ControllerHarness::new();
        controller.answer_page(items, false);
        controller.answer_changes(|_| true, FIRST, Vec::new());
        controller.settle();
        controller
    }

    /// Lets it get its session and send its watch.
    pub fn settle(&mut self) {
        if let Some(StoreCall::GrantSession { ticket, .. }) =
            self.take(|call| matches!(call, StoreCall::GrantSession { .. }))
        {
            self.feed(Input::Session { ticket, outcome: SessionOutcome::Granted(1) });
        }
        self.pass(1000);
    }

    pub fn feed(&mut self, input: Input) {
        self.now += 10;
        let clock = Clock { steady: Micros(self.now), wall: Micros(1_700_000_000_000_000 + self.now) };
        self.controller.handle(clock, input);
        for effect in self.controller.round(clock, &mut || true) {
            match effect {
                Effect::Store(call) => self.calls.push(call),
                Effect::AnswerUser(request_id, answer) => self.answers.push((request_id, answer)),
                Effect::Cloud { call, request: CloudCall::Types } => {
                    let outcome = CloudOutcome::Types(MachineTypes { types: vec![machine_type()] });
                    self.feed(Input::Cloud { call, outcome });
                }
                _ => {}
            }
        }
    }

    /// Lets time pass, in ticks.
    pub fn pass(&mut self, ms: u64) {
        for _ in 0..ms / 100 {
            self.now += 100_000;
            self.feed(Input::Tick);
        }
    }

    pub fn ask(&mut self, request: UserRequest) -> RequestId {
        self.waiters += 1;
        let request_id = self.waiters;
        self.feed(Input::User(request_id, request));
        request_id
    }

    pub fn submit(&mut self, id: &JobId, spec: JobSpec) -> RequestId {
        self.ask(UserRequest::Submit(Box::new(Submission { id: Some(id.clone()), spec: Some(spec) })))
    }

    pub fn told(&self, request_id: RequestId) -> Option<&UserAnswer> {
        self.answers.iter().find(|(to, _)| *to == request_id).map(|(_, answer)| answer)
    }

    pub fn state_told(&self, request_id: RequestId) -> Option<JobState> {
        match self.told(request_id) {
            Some(UserAnswer::Status(status)) => Some(status.state),
            Some(UserAnswer::Accepted(_)) => Some(JobState::Queued),
            _ => None,
        }
    }

    pub fn take(&mut self, wanted: impl Fn(&StoreCall) -> bool) -> Option<StoreCall> {
        let at = self.calls.iter().position(wanted)?;
        Some(self.calls.remove(at))
    }

    /// The transaction that takes in submissions.
    pub fn take_batch(&mut self) -> (u64, Txn) {
        self.take_txn("/batch/")
    }

    /// A transaction that writes a key like that.
    pub fn take_txn(&mut self, part: &str) -> (u64, Txn) {
        let writes = |txn: &Txn| txn.writes.iter().any(|w| matches!(w, Write::Put { key, .. } if key.contains(part)));
        for _ in 0..20 {
            let found = self.take(|call| matches!(call, StoreCall::Txn { txn, .. } if writes(txn)));
            if let Some(StoreCall::Txn { ticket, txn, .. }) = found {
                return (ticket, txn);
            }
            self.pass(100);
        }
        panic!("no transaction writes {part}");
    }

    pub fn commit(&mut self, ticket: u64, revision: u64) {
        self.feed(Input::Txn { ticket, outcome: TxnOutcome::Committed(revision) });
    }

    pub fn answer_page(&mut self, items: Vec<Item>, more: bool) {
        let Some(StoreCall::Page { ticket, .. }) = self.take(|call| matches!(call, StoreCall::Page { .. })) else {
            panic!("no page was asked for");
        };
        self.feed(Input::Page { ticket, outcome: ReadOutcome::Fetched(Page { items, more, revision: FIRST }) });
    }

    /// Answers the first read of changes that `wanted` says: whether it is a fresh one.
    pub fn answer_changes(&mut self, wanted: impl Fn(bool) -> bool, revision: u64, events: Vec<Event>) {
        let ticket = self.take_changes(wanted);
        self.feed(Input::Changes { ticket, outcome: ReadOutcome::Fetched(Changes { revision, events }) });
    }

    pub fn take_changes(&mut self, wanted: impl Fn(bool) -> bool) -> u64 {
        for _ in 0..30 {
            let found = self.take(|call| matches!(call, StoreCall::Changes { wait_ms, .. } if wanted(*wait_ms == 0)));
            if let Some(StoreCall::Changes { ticket, .. }) = found {
                return ticket;
            }
            self.pass(100);
        }
        panic!("no read of changes was sent");
    }
}

fn machine_type() -> MachineType {
    let text = r#"{"sku":"small","cores":8,"gpus":0,"memory_gb":32,"cache_gb":50,"pull_gb_per_s":0.5,
        "hourly":1.0,"market_price":0.4,"startup_s":30,"berths":["a"]}"#;
    serde_json::from_str(text).expect("a machine type")
}

pub fn id(number: u64) -> JobId {
    JobId::new(&format!("wk-{number:06}"))
}

pub fn spec(depends_on: &[JobId]) -> JobSpec {
    JobSpec {
        class: "any".into(),
        team: None,
        kind: JobKind::Array,
        priority: Priority::Normal,
        tasks: 1,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "img-1".into(),
        image_gb: 0.2,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimated_runtime_s: 1.0,
        checkpoint_interval_s: 0.0,
        checkpoint_duration_s: 0.0,
        deadline_s: None,
        depends_on: depends_on.to_vec(),
    }
}

pub fn batch(jobs: &[(JobId, JobSpec)]) -> Value {
    let member = |(id, spec): &(JobId, JobSpec)| {
        let record = JobRecord { accepted_at: Micros(1), dependency_list_parts: None, spec: spec.clone() };
        JobBatchMember { id: id.clone(), record }
    };
    to_value(&jobs.iter().map(member).collect::<Vec<_>>())
}

pub fn item(key: Key, value: Value, version: u64) -> Item {
    Item { key: key.to_string(), value, version }
}

pub fn put(key: Key, value: Value, version: u64) -> Event {
    Event { put: Some(key.to_string()), delete: None, value: Some(value), version }
}

pub fn cancelled(id: &JobId, version: u64) -> Event {
    put(Key::Outcome(id.clone()), to_value(&OutcomeRecord::cancelled(Micros(1))), version)
}

/// The first put of a transaction, as reads show it once it is carried out.
pub fn written(txn: &Txn, version: u64) -> Event {
    let Some(Write::Put { key, value, .. }) = txn.writes.first().cloned() else { panic!("nothing is put") };
    Event { put: Some(key), delete: None, value: Some(value), version }
}
