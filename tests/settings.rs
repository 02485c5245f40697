//! Settings that are accepted, settings that are rejected, and the error messages.

use burlhatch::settings::{Platform, Policy};

const SETTINGS: &str = include_str!("settings_files/two-controllers.toml");

#[test]
fn the_platform_settings_are_parsed_and_unknown_fields_ignored() {
    let platform = Platform::parse(SETTINGS).expect("valid");
    assert_eq!(platform.label, "node-a");
    assert_eq!(platform.siblings[0].address.port(), 9081);
    assert_eq!(platform.deployment.teams[0].max_cpus, 8.0);
    assert_eq!(platform.deployment.store.txn_ops, 12);
}

#[test]
fn errors_in_platform_settings_name_the_field() {
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
        let error = Platform::parse(&SETTINGS.replacen(from, to, 1)).expect_err(to).to_string();
        assert!(error.contains(field), "{error} should name {field}");
    }
}

#[test]
fn the_policy_has_defaults_and_rejects_unknown_fields_and_values_out_of_range() {
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
fn the_schema_in_the_docs_equals_the_generated_one() {
    let documented = include_str!("../docs/policy.schema.json");
    assert_eq!(documented, Policy::schema(), "run `burlhatch schema > docs/policy.schema.json`");
}
