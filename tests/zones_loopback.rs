//! Three zones on loopback with five controllers as real processes: a zone is lost in the morning's load and comes back.
//! Longer runs by hand: `cargo run -p burlhatch-testbed -- zone --trouble killed --times 10`.

use burlhatch_testbed::scenarios::{Findings, RESTORE_LIMIT, ZoneFault, cluster_config, run_zone_scenario};
use std::path::{Path, PathBuf};
use std::process::Command;

/// Shorter than usual, so that a run takes less than a minute.
const JUDGING_ZONES: &str = r#"{"zones": {"enabled": true, "empty_return_ms": 6000, "ramp_step_ms": 2000}}"#;

fn program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_burlhatch"))
}

fn directory(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()))
}

async fn played(name: &str, fault: ZoneFault) -> Findings {
    let directory = directory(name);
    let findings = run_zone_scenario(cluster_config(program(), directory.clone(), JUDGING_ZONES), fault).await;
    let findings = findings.unwrap_or_else(|e| panic!("{name}: {e}; logs are in {}", directory.display()));
    assert!(findings.violations.is_empty(), "{name}: {:#?}", findings.violations);
    assert!(findings.restored_ms <= RESTORE_LIMIT.as_millis() as u64, "{name}: {} ms", findings.restored_ms);
    std::fs::remove_dir_all(&directory).expect("cleaned up");
    findings
}

/// The zone is gone with its machines, two controllers and all connections. Leases last 45 s; bidding is at work again
/// within 30 s, the invoices go on later, and work bound to the zone comes back with it.
#[tokio::test(flavor = "multi_thread")]
async fn bidding_answers_again_within_thirty_seconds_of_a_zones_loss() {
    let findings = played("killed", ZoneFault::Killed).await;
    assert!(findings.in_zone.iter().any(|count| *count > 0), "nothing came back: {:?}", findings.in_zone);
}

/// The zone is heard again when the first of its machines have been deleted: nothing runs twice.
#[tokio::test(flavor = "multi_thread")]
async fn a_zone_that_is_back_in_the_middle_of_the_move_runs_nothing_twice() {
    played("mid-move", ZoneFault::ReconnectedDuringEvacuation).await;
}

/// The zone is cut off twice within a minute.
#[tokio::test(flavor = "multi_thread")]
async fn two_flaps_within_a_minute_run_nothing_twice() {
    played("flaps", ZoneFault::FlapsTwice).await;
}

/// What operators type wrong is named, with exit code 2.
#[test]
fn wrong_settings_and_unknown_zones_end_with_exit_code_2() {
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
    let (code, told) = run(&["zones", "--config", config, "hold", "nowhere"]);
    assert_eq!(code, Some(2), "{told}");
    assert!(told.contains("nowhere") && told.contains("z1"), "{told}");
    for (policy, field) in [
        (r#"{"zones": {"return_part": 0.9}}"#, "zones.return_part"),
        (r#"{"zones": {"ramp_step_ms": 1}}"#, "zones.ramp_step_ms"),
        (r#"{"zones": {"ramp": 1}}"#, "ramp"),
    ] {
        let path = directory.join("policy.json");
        std::fs::write(&path, policy).expect("written");
        let (code, told) = run(&["check", "--config", config, "--policy", path.to_str().expect("plain text")]);
        assert_eq!(code, Some(2), "{told}");
        assert!(told.contains(field), "{told} should name {field}");
    }
    // Nobody listens there: not a wrong input, and said plainly.
    let (code, told) = run(&["zones", "--config", config, "list"]);
    assert_eq!(code, Some(1), "{told}");
    assert!(told.contains("state service"), "{told}");
    std::fs::remove_dir_all(&directory).expect("cleaned up");
}
