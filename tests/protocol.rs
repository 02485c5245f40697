//! Messages on the wire, compared with the examples in the protocol's documentation.

use burlhatch::protocol::agent::{AgentCommand, DirectCommands, ExitCause, Heartbeat, HeartbeatResponse, TaskState};
use burlhatch::protocol::cloud::{ListedState, MachineList, MachineTypes};
use burlhatch::protocol::peer::{RelayedRequest, RelayedResponse};
use burlhatch::protocol::store::{Changes, Event, Page, Precondition, Txn, Write};
use burlhatch::protocol::user::{JobKind, JobState, JobStatus, Priority, submission};
use burlhatch::protocol::{decode, encode};
use burlhatch::types::{FencingToken, JobId};
use ciborium::Value;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::json;

/// Encodes a message that is given as JSON, as in the documentation.
fn cbor(message: serde_json::Value) -> Vec<u8> {
    encode(&message)
}

fn to_json(body: &[u8]) -> serde_json::Value {
    decode(body).expect("valid CBOR")
}

fn example_submission() -> serde_json::Value {
    json!({"id":"wk-000412","lot":"train","crew":"vision","shape":"ensemble","rank":"high","pieces":16,
        "cores":8.0,"gpus":1.0,"memory_gb":64.0,"bundle":"img-07","pull_gb":6.2,
        "hulls":["g8"],"berth":null,"one_zone":true,"spread":false,"driftwood":true,
        "expect_s":240.0,"stow_every_s":30.0,"stow_s":4.0,"due_s":900.0})
}

#[test]
fn a_valid_submission_is_decoded() {
    let read = submission(&cbor(example_submission()));
    assert_eq!(read.id, Some(JobId::new("wk-000412")));
    let spec = read.spec.expect("valid");
    assert_eq!((spec.kind, spec.priority, spec.tasks), (JobKind::Gang, Priority::High, 16));
    assert_eq!((spec.cpus, spec.image_gb, spec.deadline_s), (8.0, 6.2, Some(900.0)));
    assert_eq!((spec.types, spec.zone), (Some(vec!["g8".to_string()]), None));
}

#[test]
fn optional_fields_may_be_missing_and_unknown_fields_are_ignored() {
    let mut message = example_submission();
    for field in ["crew", "hulls", "berth", "due_s"] {
        message.as_object_mut().expect("an object").remove(field);
    }
    message["colour"] = json!("red");
    message["cores"] = json!(8);
    let spec = submission(&cbor(message)).spec.expect("valid");
    assert_eq!((spec.team, spec.types, spec.deadline_s, spec.cpus), (None, None, None, 8.0));
}

#[test]
fn missing_required_fields_and_wrong_types_are_rejected() {
    let optional = ["id", "crew", "hulls", "berth", "due_s"];
    let fields: Vec<String> = example_submission().as_object().expect("an object").keys().cloned().collect();
    for field in fields.iter().filter(|f| !optional.contains(&f.as_str())) {
        let mut missing = example_submission();
        missing.as_object_mut().expect("an object").remove(field);
        assert!(submission(&cbor(missing)).spec.is_none(), "{field} missing");
    }
    for field in &fields {
        let mut mistyped = example_submission();
        mistyped[field] = json!({"a": 1});
        let read = submission(&cbor(mistyped));
        assert!(read.id.is_none() || read.spec.is_none(), "{field} mistyped");
    }
}

#[test]
fn duplicate_dependencies_are_merged_and_invalid_ids_rejected() {
    let with = |depends_on: serde_json::Value| {
        let mut message = example_submission();
        message["awaits"] = depends_on;
        submission(&cbor(message))
    };
    let spec = with(json!(["wk-000398", "wk-000405", "wk-000398"])).spec.expect("valid");
    assert_eq!(spec.depends_on, [JobId::new("wk-000398"), JobId::new("wk-000405")]);
    assert_eq!(with(json!(null)).spec, submission(&cbor(example_submission())).spec, "null is the same as missing");
    for bad in [json!("wk-000398"), json!([7]), json!(["wk"]), json!([null]), json!({"a": 1}), json!(["wk-000412"])] {
        let read = with(bad.clone());
        assert!(read.spec.is_none(), "{bad}");
        assert_eq!(read.id, Some(JobId::new("wk-000412")), "the ID is needed to answer a repeated submission");
    }
}

#[test]
fn values_out_of_range_are_rejected() {
    let cases = [
        ("pieces", json!(0)),
        ("pieces", json!(100_001)),
        ("pieces", json!(-1)),
        ("pieces", json!(1.5)),
        ("cores", json!(-1.0)),
        ("memory_gb", json!(1e12)),
        ("bundle", json!("")),
        ("shape", json!("blob")),
        ("rank", json!("urgent")),
    ];
    for (field, value) in cases {
        let mut message = example_submission();
        message[field] = value.clone();
        assert!(submission(&cbor(message)).spec.is_none(), "{field} = {value}");
    }
    let infinite = Value::Map(vec![(Value::Text("cores".into()), Value::Float(f64::INFINITY))]);
    assert!(submission(&encode(&infinite)).spec.is_none());
}

#[test]
fn malformed_ids_are_rejected() {
    for id in ["", "wk-", "x-1", "wk-a b", "wk-a/b", "wk-ä"] {
        let mut message = example_submission();
        message["id"] = json!(id);
        assert!(submission(&cbor(message)).id.is_none(), "{id:?}");
    }
}

#[test]
fn a_heartbeat_is_decoded_with_and_without_its_optional_fields() {
    let heartbeat: Heartbeat =
        decode(&cbor(json!({"host":"m-000231","addr":"10.1.0.232:9000","hull":"g8","berth":"a",
        "driftwood":true,"watch":1,"tally":88,"helm":41,"warning_s":null,
        "pieces":[{"piece":"wk-000412/3","try":2,"status":"running"},
                  {"piece":"wk-000398/0","try":1,"status":"ended","cause":"done"},
                  {"piece":"wk-000398/1","try":1,"status":"ended","cause":"something new"}]})))
        .expect("valid");
    assert_eq!((heartbeat.incarnation, heartbeat.seq, heartbeat.fencing_token), (1, 88, FencingToken(41)));
    assert_eq!(heartbeat.tasks[0].state, TaskState::Running);
    assert_eq!(heartbeat.tasks[1].exit_cause, Some(ExitCause::Completed));
    assert_eq!(heartbeat.tasks[2].exit_cause, Some(ExitCause::Unknown));
    let minimal: Heartbeat =
        decode(&cbor(json!({"host":"m-1","hull":"g8","berth":"a","watch":1,"tally":1,"helm":0}))).expect("valid");
    assert!(minimal.tasks.is_empty() && minimal.termination_notice_s.is_none() && !minimal.spot);
    assert_eq!(decode::<Heartbeat>(&encode(&heartbeat)).expect("round trip"), heartbeat);
}

#[test]
fn commands_are_encoded_as_documented() {
    let commands = vec![
        AgentCommand::Start { task: "wk-000412/4".into(), attempt: 2 },
        AgentCommand::Stop { task: "wk-000377/1".into(), attempt: 1, grace_s: 10.0 },
        AgentCommand::Forget { task: "wk-000398/0".into(), attempt: 1 },
    ];
    let answer = HeartbeatResponse { fencing_token: FencingToken(41), commands: commands.clone() };
    assert_eq!(
        to_json(&encode(&answer)),
        json!({"helm":41,"orders":[
            {"verb":"launch","piece":"wk-000412/4","try":2},
            {"verb":"stop","piece":"wk-000377/1","try":1,"leeway_s":10.0},
            {"verb":"reap","piece":"wk-000398/0","try":1}]})
    );
    let direct = DirectCommands { fencing_token: FencingToken(41), incarnation: 1, commands };
    assert_eq!(to_json(&encode(&direct))["watch"], json!(1));
    assert_eq!(decode::<DirectCommands>(&encode(&direct)).expect("round trip"), direct);
}

#[test]
fn job_states_are_encoded_under_their_names_on_the_wire() {
    let status = JobStatus { id: JobId::new("wk-1"), state: JobState::Cancelled, done: None, running: None };
    assert_eq!(to_json(&encode(&status)), json!({"id":"wk-1","status":"withdrawn"}));
    let status = JobStatus { id: JobId::new("wk-1"), state: JobState::Running, done: Some(3), running: Some(13) };
    assert_eq!(to_json(&encode(&status)), json!({"id":"wk-1","status":"running","done":3,"running":13}));
}

#[test]
fn a_transaction_is_encoded_as_documented() {
    let txn = Txn {
        preconditions: vec![Precondition { key: "a/b".into(), version: 0 }],
        writes: vec![
            Write::Put { key: "a/b".into(), value: Value::from(5), lease: Some(7) },
            Write::Delete { key: "c/d".into() },
        ],
    };
    assert_eq!(
        to_json(&encode(&txn)),
        json!({"if":[{"k":"a/b","mark":0}],"writes":[{"write":"a/b","v":5,"tether":7},{"remove":"c/d"}]})
    );
    assert_eq!(decode::<Txn>(&encode(&txn)).expect("round trip"), txn);
}

#[test]
fn responses_of_the_store_are_decoded() {
    let page: Page =
        decode(&cbor(json!({"rows":[{"k":"c/9","v":{"x":1},"mark":412}],"more":true,"ledger":431}))).expect("valid");
    assert_eq!((page.items[0].version, page.more, page.revision), (412, true, 431));
    let changes: Changes =
        decode(&cbor(json!({"ledger":433,"log":[{"write":"c/9","v":1,"mark":433},{"remove":"c/d","mark":432}]})))
            .expect("valid");
    let Event { put, delete, .. } = &changes.events[1];
    assert_eq!((put, delete.as_deref()), (&None, Some("c/d")));
    assert!(decode::<Changes>(&cbor(json!({"ledger":433}))).expect("valid").events.is_empty());
}

#[test]
fn responses_of_the_cloud_are_decoded() {
    let types: MachineTypes = decode(&cbor(json!({"hulls":[{"sku":"g8","cores":96,"gpus":8,"memory_gb":768,
        "cache_gb":200,"pull_gb_per_s":1.0,"hourly":12.0,"market_price":4.5,"startup_s":45,"berths":["a","b"]}]})))
    .expect("valid");
    assert_eq!((types.types[0].cpus, types.types[0].spot_price), (96.0, Some(4.5)));
    let list: MachineList = decode(&cbor(json!({"hosts":[{"id":"m-000231","addr":"10.1.0.232:9000","hull":"g8",
        "berth":"a","driftwood":true,"status":"starting","held_s":61.5}],"more":false})))
    .expect("valid");
    assert_eq!((list.machines[0].state, list.machines[0].age_s), (ListedState::Booting, 61.5));
}

#[test]
fn peer_messages_decode_to_what_was_encoded() {
    let relay = RelayedRequest { path: "/api/jobs".into(), is_post: true, body: vec![1, 2, 3] };
    assert_eq!(bitcode::decode::<RelayedRequest>(&bitcode::encode(&relay)).expect("round trip"), relay);
    let relayed = RelayedResponse { status: 503, retry_after_s: Some(2), body: vec![] };
    assert_eq!(bitcode::decode::<RelayedResponse>(&bitcode::encode(&relayed)).expect("round trip"), relayed);
}

proptest! {
    // The same cases in each run.
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a controller that panics on bytes received from outside.
    #[test]
    fn arbitrary_bytes_never_cause_a_panic(body in proptest::collection::vec(any::<u8>(), 0..300)) {
        let read = submission(&body);
        prop_assert!(read.spec.is_none() || !body.is_empty());
        let _ = decode::<Heartbeat>(&body);
        let _ = bitcode::decode::<RelayedRequest>(&body);
    }
}
