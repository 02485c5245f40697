//! Cancellations under troubles that meet, with controllers as real processes on loopback; a short form.
//! Long runs by hand: `cargo run -p burlhatch-testbed -- soak --count 50 --at-once 4`.

use burlhatch_testbed::faults::draw_plan;
use burlhatch_testbed::soak::{SoakRun, TIMING_PROFILES, run_soak};
use std::path::{Path, PathBuf};
use std::time::Duration;

const SPAN: Duration = Duration::from_secs(20);

/// Whatever fails, nothing of a cancelled job is left in time, nothing runs twice, no state goes back, and all is served
/// or known in the end. One seed with three controllers and short leases, one with five and longer ones.
#[tokio::test(flavor = "multi_thread")]
async fn cancelled_tasks_end_while_troubles_meet() {
    for (seed, controllers, timing) in [(11, 5, TIMING_PROFILES[0]), (12, 3, TIMING_PROFILES[1])] {
        let name = format!("soak-{seed}-{}", std::process::id());
        let soak = SoakRun {
            program: PathBuf::from(env!("CARGO_BIN_EXE_burlhatch")),
            directory: Path::new(env!("CARGO_TARGET_TMPDIR")).join(name),
            seed,
            controllers,
            machines: 8,
            timing,
            span: SPAN,
            plan: draw_plan(seed, SPAN, timing.lease, timing.cancel_limit),
        };
        let findings =
            run_soak(&soak).await.unwrap_or_else(|e| panic!("seed {seed}: {e}; {}", soak.directory.display()));
        assert!(findings.violations.is_empty(), "{findings:#?}\n{:?}\n{}", soak.plan, soak.directory.display());
        assert!(findings.begun > 0 && findings.cancelled > 0, "nothing was tested: {findings:?}");
        std::fs::remove_dir_all(&soak.directory).expect("cleaned up");
    }
}
