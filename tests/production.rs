//! Compatibility with the version in production (`production` in `deploy/service.toml`): stored records and peer
//! messages are encoded byte for byte as that version encodes them, and each version reads the other's. The bytes were
//! printed by that version: a test added to a checkout of it encoded the same values with `encode(&to_value(..))` and
//! `bitcode::encode(..)`.

use burlhatch::protocol::peer::{CancellationAck, CancellationNotice, CancelledJob, RelayedRequest, RelayedResponse};
use burlhatch::protocol::user::{JobKind, JobSpec, Priority};
use burlhatch::protocol::{decode, encode};
use burlhatch::storage::Replica;
use burlhatch::storage::schema::{
    ControllerRecord, CordonReason, DependencyListParts, JobBatchMember, JobRecord, Key, MachineBatchMember,
    MachineRecord, Outcome, OutcomeRecord, RecordVersion, Role, RoleRecord, RunChunk, TaskAttemptRecord, from_value,
    to_value,
};
use burlhatch::types::{FencingToken, JobId, MachineId, Micros};
use ciborium::Value;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;

const FENCING_TOKEN: &str = "1829";
const ROLE: &str = "a3616f6b68617463686c696e672d306169184d61741829";
const CONTROLLER: &str = "a26169184d6175f5";
const MACHINE: &str = "a7617302617418296168626738617a61616164f561616f31302e312e302e3233323a393030306178a1616d01";
const MACHINE_BATCH: &str = "\
    82a7616d686d2d303030323331617302617418296168626738617a61616164f561616f31302e312e302e3233323a39\
    303030a8616d686d2d303030323332617302617418296168626738617a61616164f561616f31302e312e302e3233323a39303030617861\
    6b";
const JOB_BATCH: &str = "\
    81b4616a69776b2d3030303431326261741b00060a24181e4000636c6f7465747261696e646372657766766973696f6e\
    6573686170656561727261796472616e6b687374616e64617264667069656365731065636f726573f948006467707573f90000696d656d\
    6f72795f6762f954086662756e646c6566696d672d30376770756c6c5f6762fb4018cccccccccccd6568756c6c7381626738686f6e655f\
    7a6f6e65f466737072656164f5696472696674776f6f64f5686578706563745f73f95b806c73746f775f65766572795f73f94f80667374\
    6f775f73f94400656475655f73f96308";
const RUN_CHUNK: &str = "a4616109616482820003820707617381840409686d2d30303032333102617705";
const DONE: &str = "64646f6e65";
const CANCELLED: &str = "a2616f6963616e63656c6c65646261741b00060a24181e4000";
const CANCELLATION_NOTICE: &str = "040206290109776b2d3030303431320000401e18240a060004af01";
const CANCELLATION_ACK: &str = "01";
const RELAYED_REQUEST: &str = "092f6170692f6a6f627301030639";
const RELAYED_RESPONSE: &str = "f7010104020109";

const FIRST: RecordVersion = RecordVersion::FIRST;
/// Records that the first version with dependencies stores in addition (commit 90f4811, printed in the same way): jobs
/// that depend on others, with the list of dependencies in the job or in separate keys.
const JOB_BATCH_WITH_DEPENDENCIES: &str = "\
    81b5616a69776b2d3030303431326261741b00060a24181e4000636c6f7465747261696e646372657766766973696f6e\
    6573686170656561727261796472616e6b687374616e64617264667069656365731065636f726573f948006467707573f90000696d656d\
    6f72795f6762f954086662756e646c6566696d672d30376770756c6c5f6762fb4018cccccccccccd6568756c6c7381626738686f6e655f\
    7a6f6e65f466737072656164f5696472696674776f6f64f5686578706563745f73f95b806c73746f775f65766572795f73f94f80667374\
    6f775f73f94400656475655f73f96308666177616974738269776b2d30303033393869776b2d303030343035";
const JOB_BATCH_WITH_LIST_PARTS: &str = "\
    81b5616a69776b2d3030303431326261741b00060a24181e40006170826334643202636c6f7465747261696e6463726577667669\
    73696f6e6573686170656561727261796472616e6b687374616e64617264667069656365731065636f726573f948006467707573f90000\
    696d656d6f72795f6762f954086662756e646c6566696d672d30376770756c6c5f6762fb4018cccccccccccd6568756c6c738162673868\
    6f6e655f7a6f6e65f466737072656164f5696472696674776f6f64f5686578706563745f73f95b806c73746f775f65766572795f73f94f\
    806673746f775f73f94400656475655f73f96308";
const DEPENDENCY_LIST_PART: &str = "8269776b2d30303033393869776b2d303030343035";
/// A role and a controller record with a record version, as stored since these records hold one.
const VERSIONED_ROLE: &str = "a4616f6b68617463686c696e672d306169184d61741829617601";
const VERSIONED_CONTROLLER: &str = "a36169184d6175f4617601";

const AT: Micros = Micros(1_700_000_000_000_000);

fn bytes(hex: &str) -> Vec<u8> {
    (0..hex.len() / 2).map(|i| u8::from_str_radix(&hex[2 * i..2 * i + 2], 16).expect("hex")).collect()
}

/// Asserts that the bytes written by production decode to the value, and that the value is encoded as the same bytes.
fn assert_round_trip<T: Serialize + DeserializeOwned + PartialEq + Debug>(hex: &str, value: T) {
    let stored: Value = decode(&bytes(hex)).expect("CBOR");
    assert_eq!(from_value::<T>(&stored).as_ref(), Some(&value));
    assert_eq!(encode(&to_value(&value)), bytes(hex));
}

fn machine(cordon: Option<CordonReason>) -> MachineRecord {
    MachineRecord {
        shard: 2,
        fencing_token: FencingToken(41),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        addr: "10.1.0.232:9000".into(),
        cordon,
    }
}

fn spec() -> JobSpec {
    JobSpec {
        class: "train".into(),
        team: Some("vision".into()),
        kind: JobKind::Array,
        priority: Priority::Normal,
        tasks: 16,
        cpus: 8.0,
        gpus: 0.0,
        memory_gb: 64.5,
        image: "img-07".into(),
        image_gb: 6.2,
        types: Some(vec!["g8".into()]),
        zone: None,
        one_zone: false,
        spread: true,
        spot: true,
        estimated_runtime_s: 240.0,
        checkpoint_interval_s: 30.0,
        checkpoint_duration_s: 4.0,
        deadline_s: Some(900.0),
        depends_on: Vec::new(),
    }
}

fn member(spec: JobSpec) -> JobBatchMember {
    JobBatchMember {
        id: JobId::new("wk-000412"),
        record: JobRecord { accepted_at: AT, dependency_list_parts: None, spec },
    }
}

#[test]
fn records_are_encoded_as_in_production() {
    assert_round_trip(FENCING_TOKEN, FencingToken(41));
    assert_round_trip(
        ROLE,
        RoleRecord { holder: "hatchling-0".into(), incarnation: 77, fencing_token: FencingToken(41), version: FIRST },
    );
    assert_round_trip(CONTROLLER, ControllerRecord { incarnation: 77, is_isolated: true, version: FIRST });
    assert_round_trip(MACHINE, machine(Some(CordonReason::MoveToShard(1))));
    let fleet_member = |id, cordon| MachineBatchMember { id: MachineId::new(id), record: machine(cordon) };
    assert_round_trip(
        MACHINE_BATCH,
        vec![fleet_member("m-000231", None), fleet_member("m-000232", Some(CordonReason::ForceDelete))],
    );
    assert_round_trip(JOB_BATCH, vec![member(spec())]);
    let task_attempts =
        vec![TaskAttemptRecord { task: 4, attempt: 9, machine: MachineId::new("m-000231"), incarnation: 2 }];
    assert_round_trip(
        RUN_CHUNK,
        RunChunk { last_attempt: 9, done_ranges: vec![(0, 3), (7, 7)], task_attempts, write_id: 5 },
    );
    assert_round_trip(DONE, OutcomeRecord::done());
    assert_round_trip(CANCELLED, OutcomeRecord::cancelled(AT));
}

fn dependencies() -> Vec<JobId> {
    vec![JobId::new("wk-000398"), JobId::new("wk-000405")]
}

fn member_with_list_parts() -> JobBatchMember {
    let whole = member(spec());
    JobBatchMember {
        record: JobRecord {
            dependency_list_parts: Some(DependencyListParts { name: "4d2".into(), count: 2 }),
            ..whole.record
        },
        ..whole
    }
}

#[test]
fn dependencies_are_encoded_as_in_their_first_version() {
    assert_round_trip(JOB_BATCH_WITH_DEPENDENCIES, vec![member(JobSpec { depends_on: dependencies(), ..spec() })]);
    assert_round_trip(JOB_BATCH_WITH_LIST_PARTS, vec![member_with_list_parts()]);
    assert_round_trip(DEPENDENCY_LIST_PART, dependencies());
}

/// Versions that predate record versions read records that hold one and ignore it; a record without one has the first.
#[test]
fn earlier_versions_ignore_the_record_version_in_roles_and_controller_records() {
    #[derive(Deserialize)]
    struct EarlierRole {
        o: String,
        i: u64,
        t: FencingToken,
    }
    let version = RecordVersion(1);
    assert_round_trip(
        VERSIONED_ROLE,
        RoleRecord { holder: "hatchling-0".into(), incarnation: 77, fencing_token: FencingToken(41), version },
    );
    assert_round_trip(VERSIONED_CONTROLLER, ControllerRecord { incarnation: 77, is_isolated: false, version });
    let stored: Value = decode(&bytes(VERSIONED_ROLE)).expect("CBOR");
    let earlier: EarlierRole = from_value(&stored).expect("readable");
    assert_eq!((earlier.o.as_str(), earlier.i, earlier.t), ("hatchling-0", 77, FencingToken(41)));
    let role: RoleRecord = from_value(&decode(&bytes(ROLE)).expect("CBOR")).expect("readable");
    assert_eq!(role.version, FIRST);
}

/// A job whose list of dependencies is stored in separate keys has all of them once these keys were read.
#[test]
fn a_dependency_list_in_parts_is_joined_in_the_job() {
    let mut replica = Replica::default();
    let keys = [
        (Key::DependencyListPart("4d2".into(), 0), DEPENDENCY_LIST_PART),
        (Key::DependencyListPart("4d2".into(), 1), "8169776b2d303030343036"),
        (Key::JobBatch("b1".into()), JOB_BATCH_WITH_LIST_PARTS),
    ];
    for (n, (key, hex)) in keys.into_iter().enumerate() {
        let value: Value = decode(&bytes(hex)).expect("CBOR");
        replica.apply(&key.to_string(), Some(&value), n as u64 + 1);
    }
    let mut expected = dependencies();
    expected.push(JobId::new("wk-000406"));
    assert_eq!(replica.jobs[&JobId::new("wk-000412")].record.spec.depends_on, expected);
}

#[test]
fn peer_messages_are_encoded_as_in_production() {
    let jobs = vec![CancelledJob { id: "wk-000412".into(), cancelled_at: AT.0, revision: 431 }];
    let notice = CancellationNotice { shard: 2, fencing_token: 41, jobs };
    assert_eq!(bitcode::decode::<CancellationNotice>(&bytes(CANCELLATION_NOTICE)).expect("decodes"), notice);
    assert_eq!(bitcode::encode(&notice), bytes(CANCELLATION_NOTICE));
    assert_eq!(
        bitcode::decode::<CancellationAck>(&bytes(CANCELLATION_ACK)).expect("decodes"),
        CancellationAck { holds_shard: true }
    );
    assert_eq!(bitcode::encode(&CancellationAck { holds_shard: true }), bytes(CANCELLATION_ACK));
    let request = RelayedRequest { path: "/api/jobs".into(), is_post: true, body: vec![1, 2, 3] };
    assert_eq!(bitcode::decode::<RelayedRequest>(&bytes(RELAYED_REQUEST)).expect("decodes"), request);
    assert_eq!(bitcode::encode(&request), bytes(RELAYED_REQUEST));
    let response = RelayedResponse { status: 503, retry_after_s: Some(2), body: vec![9] };
    assert_eq!(bitcode::decode::<RelayedResponse>(&bytes(RELAYED_RESPONSE)).expect("decodes"), response);
    assert_eq!(bitcode::encode(&response), bytes(RELAYED_RESPONSE));
}

/// A member of a batch as production declares it: flattened, with unknown fields ignored. A batch is written once and
/// never changed, so production can't lose the fields that it doesn't know.
#[derive(Deserialize)]
struct ProductionBatchMember {
    j: JobId,
    at: Micros,
    lot: String,
    pieces: u32,
    due_s: Option<f64>,
}

#[test]
fn production_ignores_the_dependencies_in_a_job_batch() {
    let depends_on = vec![JobId::new("wk-000398"), JobId::new("wk-000405")];
    let value = to_value(&vec![member(JobSpec { depends_on: depends_on.clone(), ..spec() })]);
    let read: Vec<ProductionBatchMember> = value.deserialized().expect("readable");
    let known = (read[0].j.clone(), read[0].at, read[0].lot.as_str(), read[0].pieces, read[0].due_s);
    assert_eq!(known, (JobId::new("wk-000412"), AT, "train", 16, Some(900.0)));
    let read: Vec<JobBatchMember> = from_value(&value).expect("readable");
    assert_eq!(read[0].record.spec.depends_on, depends_on);
}

#[test]
fn a_replica_reads_all_records_of_production() {
    let mut replica = Replica::default();
    let id = JobId::new("wk-000412");
    let keys = [
        (Key::FencingToken, FENCING_TOKEN),
        (Key::Role(Role::Shard(2)), ROLE),
        (Key::Controller("hatchling-0".into()), CONTROLLER),
        (Key::MachineBatch("f1".into()), MACHINE_BATCH),
        (Key::Machine(MachineId::new("m-000231")), MACHINE),
        (Key::JobBatch("b1".into()), JOB_BATCH),
        (Key::RunChunk(id.clone(), 0), RUN_CHUNK),
        (Key::Outcome(JobId::new("wk-000398")), DONE),
        (Key::Outcome(JobId::new("wk-000399")), CANCELLED),
    ];
    for (n, (key, hex)) in keys.into_iter().enumerate() {
        let value: Value = decode(&bytes(hex)).expect("CBOR");
        replica.apply(&key.to_string(), Some(&value), n as u64 + 1);
    }
    assert_eq!(replica.latest_fencing_token(), FencingToken(41));
    assert_eq!(replica.roles[&Role::Shard(2)].value.holder, "hatchling-0");
    assert_eq!(replica.machines[&MachineId::new("m-000231")].value.cordon, Some(CordonReason::MoveToShard(1)));
    assert_eq!(replica.machines[&MachineId::new("m-000232")].value.cordon, Some(CordonReason::ForceDelete));
    assert_eq!(replica.jobs[&id].record.spec, spec());
    assert!(replica.has_recorded_attempts(&id));
    let outcome = |id: &str| replica.outcomes[&JobId::new(id)].value.outcome;
    assert_eq!((outcome("wk-000398"), outcome("wk-000399")), (Outcome::Done, Outcome::Cancelled));
}
