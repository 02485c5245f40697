//! A short soak test of cancellations under overlapping faults, with controllers as real processes on loopback.
//! For long runs: `cargo run -p burlhatch-testbed -- soak --count 50 --at-once 4`.

use burlhatch_testbed::faults::draw_plan;
use burlhatch_testbed::soak::{SoakRun, TIMING_PROFILES, run_soak};
use std::path::{Path, PathBuf};
use std::time::Duration;

const SPAN: Duration = Duration::from_secs(20);

/// Under overlapping faults, the tasks of a cancelled job end in time, no task runs twice, no job's state goes
/// backwards, and no accepted job is lost. One seed has five controllers and long leases, the other three controllers
/// and short leases.
#[tokio::test(flavor = "multi_thread")]
async fn cancelled_tasks_end_in_time_under_overlapping_faults() {
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
        assert!(findings.begun > 0 && findings.cancelled > 0, "no task began or no job was cancelled: {findings:?}");
        std::fs::remove_dir_all(&soak.directory).expect("cleaned up");
    }
}
