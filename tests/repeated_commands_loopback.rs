//! Direct commands that were executed and answered reach the agents again, with controllers as real processes on
//! loopback that end and come back within a second, and machines that stall as long.

use burlhatch_testbed::agent::AgentFault;
use burlhatch_testbed::faults::{Fault, PlannedFault};
use burlhatch_testbed::soak::{SoakRun, TIMING_PROFILES, run_soak};
use std::path::{Path, PathBuf};
use std::time::Duration;

const SPAN: Duration = Duration::from_secs(25);
const BLINK_MS: u64 = 400;
/// Pause between two faults.
const STEP_MS: u64 = 1100;

fn plan() -> Vec<PlannedFault> {
    let span_ms = SPAN.as_millis() as u64;
    let repeats = Fault::Agents(1, AgentFault::RepeatsCommands);
    let repeated = PlannedFault { begins_at_ms: 0, duration_ms: span_ms, fault: repeats };
    let blink = |n: u64| {
        let fault = match n % 3 {
            0 => Fault::ControllerDown(n as usize),
            1 => Fault::Agents(2, AgentFault::Stalled),
            _ => Fault::ControllerPaused(n as usize),
        };
        PlannedFault { begins_at_ms: n * STEP_MS, duration_ms: BLINK_MS, fault }
    };
    std::iter::once(repeated).chain((1..span_ms / STEP_MS).map(blink)).collect()
}

/// No task runs on two machines or after its cancellation.
#[tokio::test(flavor = "multi_thread")]
async fn commands_that_were_executed_and_answered_arrive_again() {
    let seed = 31;
    let timing = TIMING_PROFILES[1];
    let soak = SoakRun {
        program: PathBuf::from(env!("CARGO_BIN_EXE_burlhatch")),
        directory: Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("repeats-{}", std::process::id())),
        seed,
        controllers: 3,
        machines: 8,
        timing,
        span: SPAN,
        plan: plan(),
    };
    let findings = run_soak(&soak).await.unwrap_or_else(|e| panic!("seed {seed}: {e}; {}", soak.directory.display()));
    assert!(findings.violations.is_empty(), "{findings:#?}\n{}", soak.directory.display());
    assert_eq!(findings.begun_after, 0, "tasks began after their cancellation: {findings:?}");
    assert!(findings.cancelled > 0, "no job was cancelled: {findings:?}");
    assert!(findings.repeated > 20, "only {} copies were accepted", findings.repeated);
    std::fs::remove_dir_all(&soak.directory).expect("cleaned up");
}
