//! The loss and return of a zone under load: three zones on loopback, with five controllers as real processes.
//! For longer runs: `cargo run -p burlhatch-testbed -- zone --trouble killed --times 10`.

use burlhatch_testbed::scenarios::{Findings, RESTORE_LIMIT, ZoneFault, cluster_config, run_zone_scenario};
use std::path::{Path, PathBuf};
use std::process::Command;

/// Enables the evaluation of zones, with shorter times than usual so that a run takes less than a minute.
const ZONES_POLICY: &str = r#"{"zones": {"enabled": true, "empty_return_ms": 6000, "ramp_step_ms": 2000}}"#;

fn program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_burlhatch"))
}

fn directory(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()))
}

async fn run_and_check(name: &str, fault: ZoneFault) -> Findings {
    let directory = directory(name);
    let findings = run_zone_scenario(cluster_config(program(), directory.clone(), ZONES_POLICY), fault).await;
    let findings = findings.unwrap_or_else(|e| panic!("{name}: {e}; logs are in {}", directory.display()));
    assert!(findings.violations.is_empty(), "{name}: {:#?}", findings.violations);
    assert!(findings.restored_ms <= RESTORE_LIMIT.as_millis() as u64, "{name}: {} ms", findings.restored_ms);
    std::fs::remove_dir_all(&directory).expect("cleaned up");
    findings
}

/// A zone fails with its machines, two controllers and all connections. All services must run again
/// within 30 s, without waiting for the agents' leases of 45 s to expire; batch jobs may resume later, and work bound
/// to the zone resumes when the zone returns.
#[tokio::test(flavor = "multi_thread")]
async fn services_run_again_within_thirty_seconds_of_the_loss_of_a_zone() {
    let findings = run_and_check("killed", ZoneFault::Killed).await;
    assert!(
        findings.in_zone.iter().any(|count| *count > 0),
        "no task ran in the zone after its return: {:?}",
        findings.in_zone
    );
}

/// Guards against tasks that run twice when a zone responds again while its machines are being deleted and replaced.
#[tokio::test(flavor = "multi_thread")]
async fn no_task_runs_twice_if_a_zone_returns_during_its_evacuation() {
    run_and_check("mid-move", ZoneFault::ReconnectedDuringEvacuation).await;
}

/// Guards against tasks that run twice when a zone is cut off twice within a minute.
#[tokio::test(flavor = "multi_thread")]
async fn no_task_runs_twice_if_a_zone_is_cut_off_twice_within_a_minute() {
    run_and_check("flaps", ZoneFault::FlapsTwice).await;
}

/// Invalid input exits with code 2 and a message that names the wrong value; an unreachable store exits with code 1.
#[test]
fn invalid_settings_and_unknown_zones_exit_with_code_2() {
    let directory = directory("wrong");
    std::fs::create_dir_all(&directory).expect("a directory");
    let config = directory.join("settings.toml");
    let text = include_str!("settings_files/two-controllers.toml");
    std::fs::write(&config, text).expect("written");
    let run = |arguments: &[&str]| {
        let output = Command::new(program()).args(arguments).output().expect("it runs");
        (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
    };
    let config = config.to_str().expect("plain text");
    let (code, message) = run(&["zones", "--config", config, "hold", "nowhere"]);
    assert_eq!(code, Some(2), "{message}");
    assert!(message.contains("nowhere") && message.contains("z1"), "{message}");
    for (policy, field) in [
        (r#"{"zones": {"return_part": 0.9}}"#, "zones.return_part"),
        (r#"{"zones": {"ramp_step_ms": 1}}"#, "zones.ramp_step_ms"),
        (r#"{"zones": {"ramp": 1}}"#, "ramp"),
    ] {
        let path = directory.join("policy.json");
        std::fs::write(&path, policy).expect("written");
        let (code, message) = run(&["check", "--config", config, "--policy", path.to_str().expect("plain text")]);
        assert_eq!(code, Some(2), "{message}");
        assert!(message.contains(field), "{message} should name {field}");
    }
    // No service listens at the store's address: the input is valid, and the message names the store.
    let (code, message) = run(&["zones", "--config", config, "list"]);
    assert_eq!(code, Some(1), "{message}");
    assert!(message.contains("state service"), "{message}");
    std::fs::remove_dir_all(&directory).expect("cleaned up");
}
