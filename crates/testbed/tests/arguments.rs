//! Invalid arguments and plans are refused with exit code 2 and an error that names them.

use std::path::Path;
use std::process::Command;

/// Runs the testbed with invalid arguments and returns its error.
fn error_of(arguments: &[&str]) -> String {
    let output =
        Command::new(env!("CARGO_BIN_EXE_burlhatch-testbed")).args(arguments).output().expect("the testbed starts");
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{arguments:?}: {error}");
    error
}

#[test]
fn soak_arguments_out_of_range_are_named_in_the_error() {
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
        let error = error_of(&["soak", name, value]);
        assert!(error.contains(name), "{name} {value}: {error}");
    }
}

#[test]
fn unreadable_and_invalid_plans_are_named_in_the_error() {
    let missing = error_of(&["soak", "--plan", "no-such-plan.json"]);
    assert!(missing.contains("--plan no-such-plan.json"), "{missing}");
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("plan-{}.json", std::process::id()));
    for (plan, expected) in [
        ("[", "line 1"),
        (r#"[{"at_ms": 1, "for_ms": -2, "trouble": "state_down"}]"#, "invalid value"),
        (r#"[{"at_ms": 1, "for_ms": 2, "trouble": "flood"}]"#, "flood"),
        (r#"[{"at_ms": 1, "for_ms": 2, "trouble": "state_down", "share": 1}]"#, "share"),
    ] {
        std::fs::write(&path, plan).expect("written");
        let error = error_of(&["soak", "--plan", path.to_str().expect("a path in UTF-8")]);
        assert!(error.contains(expected), "{plan}: {error}");
    }
    std::fs::remove_file(&path).expect("cleaned up");
}
