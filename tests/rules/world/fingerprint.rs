//! Fingerprint of the behaviour of all controllers: one hash over their effects in the order of execution, each with
//! its time and encoded as on the wire or in the store, so that renaming a type doesn't change it.
//!
//! With `BURLHATCH_WORLD_FINGERPRINTS=FILE` every world appends its fingerprint to that file when it is dropped. Two
//! versions of the sources with the same behaviour write the same lines, in any order.

use super::World;
use burlhatch::coordination::{AgentAnswer, CloudCall, Effect, ReadKind, StoreCall, UserAnswer};
use burlhatch::protocol::agent::Redirect;
use burlhatch::protocol::{cloud, encode, store};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::Write;

/// Hash over the effects of all controllers of a world.
#[derive(Default)]
pub struct Fingerprint {
    hasher: DefaultHasher,
    effects: u64,
}

impl Fingerprint {
    /// Adds an effect of a controller that is executed at the time `now`.
    pub(super) fn add(&mut self, now: u64, node: usize, effect: &Effect) {
        self.effects += 1;
        (now, node).hash(&mut self.hasher);
        encoded(effect).hash(&mut self.hasher);
    }
}

impl std::fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x} {} effects", self.hasher.finish(), self.effects)
    }
}

impl Drop for World {
    fn drop(&mut self) {
        let Ok(path) = std::env::var("BURLHATCH_WORLD_FINGERPRINTS") else { return };
        if std::thread::panicking() {
            return;
        }
        let file = std::fs::OpenOptions::new().create(true).append(true).open(path);
        let line = format!("{} until {}\n", self.fingerprint, self.now);
        file.and_then(|mut file| file.write_all(line.as_bytes())).expect("the file of fingerprints can be written");
    }
}

/// Encoded effect: kind, number of the request, further parameters, and the bytes sent.
type Encoded = (&'static str, u64, String, Vec<u8>);

fn encoded(effect: &Effect) -> Encoded {
    match effect {
        Effect::AnswerUser(request_id, answer) => {
            let (status, body) = user_answer(answer);
            ("user", *request_id, status, body)
        }
        Effect::AnswerAgent(request_id, answer) => {
            let (status, body) = agent_answer(answer);
            ("worker", *request_id, status, body)
        }
        Effect::AnswerPeer(request_id, answer) => ("peer answer", *request_id, String::new(), bitcode::encode(answer)),
        Effect::Peer { call, to, message } => ("peer", *call, to.clone(), bitcode::encode(message)),
        Effect::Store(call) => store_call(call),
        Effect::DirectCommands { machine, addr, commands } => {
            ("direct", 0, format!("{machine} {addr}"), encode(commands))
        }
        Effect::Cloud { call, request } => {
            let (path, body) = cloud_call(request);
            ("cloud", *call, path, body)
        }
    }
}

fn user_answer(answer: &UserAnswer) -> (String, Vec<u8>) {
    match answer {
        UserAnswer::Accepted(id) => (format!("201 {id}"), Vec::new()),
        UserAnswer::Status(status) => ("200".into(), encode(status)),
        UserAnswer::Malformed => ("400".into(), Vec::new()),
        UserAnswer::CanNeverRun(why) => (format!("422 {why}"), Vec::new()),
        UserAnswer::NotFound => ("404".into(), Vec::new()),
        UserAnswer::Unavailable { retry_after_s } => (format!("503 {retry_after_s}"), Vec::new()),
    }
}

fn agent_answer(answer: &AgentAnswer) -> (String, Vec<u8>) {
    match answer {
        AgentAnswer::Response(commands) => ("200".into(), encode(commands)),
        AgentAnswer::Redirect(to) => ("409".into(), encode(&Redirect { controller: to.clone() })),
        AgentAnswer::Unavailable => ("503".into(), Vec::new()),
    }
}

fn store_call(call: &StoreCall) -> Encoded {
    match call {
        StoreCall::Txn { ticket, txn, urgent } => ("txn", *ticket, urgent.to_string(), encode(txn)),
        StoreCall::Changes { ticket, kind, after, wait_ms } => {
            let kind = match kind {
                ReadKind::Watch => "watch",
                ReadKind::Fresh => "fresh",
            };
            (kind, *ticket, store::changes_path("", *after, *wait_ms), Vec::new())
        }
        StoreCall::Page { ticket, after } => ("page", *ticket, store::page_path("", after.as_deref()), Vec::new()),
        StoreCall::GrantSession { ticket, ttl_ms } => ("new lease", *ticket, ttl_ms.to_string(), Vec::new()),
        StoreCall::KeepAlive { ticket, lease } => ("keep alive", *ticket, store::keep_alive_path(*lease), Vec::new()),
    }
}

fn cloud_call(call: &CloudCall) -> (String, Vec<u8>) {
    match call {
        CloudCall::Types => (cloud::TYPES_PATH.into(), Vec::new()),
        CloudCall::List { after } => (cloud::list_path(after.as_ref()), Vec::new()),
        CloudCall::CreateInstances(request) => (cloud::INSTANCES_PATH.into(), encode(request)),
        CloudCall::Delete(machines) => {
            let names = cloud::MachineNames { machines: machines.clone() };
            (cloud::DELETE_PATH.into(), encode(&names))
        }
    }
}
