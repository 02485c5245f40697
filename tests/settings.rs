//! Settings: what is taken, what is refused and how the refusal reads.

use burlhatch::settings::{Platform, Policy};

const SETTINGS: &str = r#"
label = "node-a"
site = "z1"
public_addr = "127.0.0.1:8080"
back = "127.0.0.1:8081"
colour = "ignored"

[[siblings]]
label = "node-b"
site = "z2"
address = "127.0.0.1:9081"

[external]
cloud = "127.0.0.1:8443"
state = "127.0.0.1:2379"

[deployment]
nodes = 2
zones = ["z1", "z2"]
time_bound_ms = 100.0

[[deployment.teams]]
name = "red"
cpus = 4.0
cpus_max = 8.0

[deployment.workers]
report_s = 3.0
lease_s = 20.0
gang_wait_s = 30.0
gang_peer_s = 5.0
cancel_s = 40.0

[deployment.state]
rps = 100.0
write_rps = 20.0
value_kb = 4.0
txn_ops = 12

[deployment.cloud]
rps = 4.0
list_lag_s = 5.0

[deployment.quota]
cpu = 0.3
mem_mb = 128.0
fd_limit = 1000
"#;

#[test]
fn the_platforms_file_is_read_and_unknown_fields_are_ignored() {
    let platform = Platform::parse(SETTINGS).expect("valid");
    assert_eq!(platform.label, "node-a");
    assert_eq!(platform.siblings[0].address.port(), 9081);
    assert_eq!(platform.deployment.teams[0].cpus_max, 8.0);
    assert_eq!(platform.deployment.state.txn_ops, 12);
}

#[test]
fn refusals_name_the_field() {
    let cases = [
        ("report_s = 3.0", "report_s = -3.0", "deployment.workers.report_s"),
        ("nodes = 2", "nodes = 0", "deployment.nodes"),
        ("label = \"node-a\"", "label = \"\"", "label"),
        ("fd_limit = 1000", "fd_limit = 3", "deployment.quota.fd_limit"),
        ("cpus_max = 8.0", "cpus_max = -8.0", "deployment.teams[0].cpus_max"),
        ("label = \"node-b\"", "label = \"node-a\"", "siblings.label"),
        ("lease_s = 20.0", "", "lease_s"),
        ("cloud = \"127.0.0.1:8443\"", "cloud = \"nowhere\"", "cloud"),
    ];
    for (from, to, field) in cases {
        assert!(SETTINGS.contains(from));
        let refusal = Platform::parse(&SETTINGS.replacen(from, to, 1)).expect_err(to).to_string();
        assert!(refusal.contains(field), "{refusal} should name {field}");
    }
}

#[test]
fn the_policy_has_defaults_and_refuses_what_it_does_not_know() {
    let dir = std::env::temp_dir().join(format!("burlhatch-policy-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("temporary directory");
    let path = dir.join("policy.json");
    let load = |text: &str| {
        std::fs::write(&path, text).expect("written");
        Policy::load(&path)
    };
    assert_eq!(load("{}").expect("valid").session_ms, Policy::default().session_ms);
    assert_eq!(load(r#"{"session_ms": 4000}"#).expect("valid").session_ms, 4000);
    assert!(load(r#"{"session": 4000}"#).expect_err("unknown").to_string().contains("session"));
    assert!(load(r#"{"session_ms": 1}"#).expect_err("out of range").to_string().contains("session_ms"));
    std::fs::remove_dir_all(&dir).expect("cleaned up");
}

#[test]
fn the_schema_in_the_docs_is_the_programs() {
    let written = include_str!("../docs/policy.schema.json");
    assert_eq!(written, Policy::schema(), "run `burlhatch schema > docs/policy.schema.json`");
}
