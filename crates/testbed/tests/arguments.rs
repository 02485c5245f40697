//! What is wrong about arguments and plans is named, with exit code 2.

use std::path::Path;
use std::process::Command;

fn refusal(arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_burlhatch-testbed")).args(arguments).output().expect("it runs");
    let told = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{arguments:?}: {told}");
    told
}

#[test]
fn soak_arguments_out_of_range_are_named() {
    for (name, value) in [
        ("--count", "0"),
        ("--count", "1001"),
        ("--at-once", "9"),
        ("--controllers", "4"),
        ("--machines", "0"),
        ("--machines", "401"),
        ("--seconds", "4"),
        ("--seed", "-1"),
    ] {
        let told = refusal(&["soak", name, value]);
        assert!(told.contains(name), "{name} {value}: {told}");
    }
}

#[test]
fn plans_that_cannot_be_read_are_named() {
    let missing = refusal(&["soak", "--plan", "no-such-plan.json"]);
    assert!(missing.contains("--plan no-such-plan.json"), "{missing}");
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("plan-{}.json", std::process::id()));
    for (text, named) in [
        ("[", "line 1"),
        (r#"[{"at_ms": 1, "for_ms": -2, "trouble": "state_down"}]"#, "invalid value"),
        (r#"[{"at_ms": 1, "for_ms": 2, "trouble": "flood"}]"#, "flood"),
        (r#"[{"at_ms": 1, "for_ms": 2, "trouble": "state_down", "share": 1}]"#, "share"),
    ] {
        std::fs::write(&path, text).expect("written");
        let told = refusal(&["soak", "--plan", path.to_str().expect("plain text")]);
        assert!(told.contains(named), "{text}: {told}");
    }
    std::fs::remove_file(&path).expect("cleaned up");
}
