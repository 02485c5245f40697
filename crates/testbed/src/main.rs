//! Command line of the testbed: runs of scenarios on loopback, and reports of measurements.

use burlhatch_testbed::faults::{PlannedFault, draw_plan};
use burlhatch_testbed::report::{html, read_samples};
use burlhatch_testbed::scenarios::{ZoneFault, cluster_config, run_zone_scenario};
use burlhatch_testbed::soak::{SoakRun, TIMING_PROFILES, run_soak};
use clap::{Parser, Subcommand, ValueEnum};
use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use tokio::task::JoinSet;

/// Runs burlhatch controllers on loopback, with stand-ins for their services, and renders reports of measurements.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    #[command(subcommand)]
    action: Action,
}

#[derive(Subcommand)]
enum Action {
    /// Run a scenario in which a zone is lost and returns, once or several times
    Zone {
        /// Path of the built controller
        #[arg(long, default_value = "target/release/burlhatch")]
        program: PathBuf,
        /// Fault of the zone
        #[arg(long = "trouble")]
        fault: FaultName,
        /// Operators' policy (JSON)
        #[arg(long, default_value = r#"{"zones": {"enabled": true}}"#)]
        policy: String,
        /// Number of runs
        #[arg(long = "times", default_value_t = 1)]
        run_count: u32,
    },
    /// Submit and cancel jobs while overlapping faults are injected, all drawn from seeds
    Soak {
        /// Path of the built controller
        #[arg(long, default_value = "target/release/burlhatch")]
        program: PathBuf,
        /// The first seed
        #[arg(long, default_value_t = 1, allow_negative_numbers = true)]
        seed: u64,
        /// Number of seeds
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1000))]
        count: u64,
        /// Maximum number of seeds that run in parallel
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=8))]
        at_once: u64,
        /// Number of controllers, 3 or 5; by default it depends on the seed
        #[arg(long, value_parser = parse_controller_count)]
        controllers: Option<usize>,
        /// Number of machines that run at the start
        #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u32).range(1..=400))]
        machines: u32,
        /// Duration of the fault injection, in seconds
        #[arg(long, default_value_t = 45, value_parser = clap::value_parser!(u64).range(5..=3600))]
        seconds: u64,
        /// JSON file with a list of faults to inject, instead of faults drawn from the seed
        #[arg(long)]
        plan: Option<PathBuf>,
    },
    /// Render samples as an HTML report
    Report {
        /// File with the samples, one JSON object per line
        samples: PathBuf,
        /// HTML file to write
        page: PathBuf,
        /// Title of the report
        #[arg(long, default_value = "Measurements")]
        title: String,
    },
}

fn parse_controller_count(text: &str) -> Result<usize, String> {
    match text.parse() {
        Ok(count @ (3 | 5)) => Ok(count),
        _ => Err("must be 3 or 5".into()),
    }
}

/// Values of `zone --trouble`.
#[derive(Clone, Copy, ValueEnum)]
enum FaultName {
    Killed,
    BackInMidMove,
    FlapsTwice,
}

impl From<FaultName> for ZoneFault {
    fn from(name: FaultName) -> ZoneFault {
        match name {
            FaultName::Killed => ZoneFault::Killed,
            FaultName::BackInMidMove => ZoneFault::ReconnectedDuringEvacuation,
            FaultName::FlapsTwice => ZoneFault::FlapsTwice,
        }
    }
}

fn main() -> ExitCode {
    match run(Arguments::parse().action) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("burlhatch-testbed: {e}");
            ExitCode::from(2)
        }
    }
}

/// Executes a command. Returns false if a run failed or violated a rule.
fn run(action: Action) -> Result<bool, Box<dyn Error>> {
    match action {
        Action::Zone { program, fault, policy, run_count } => {
            run_zone_fault(&program, fault.into(), &policy, run_count)
        }
        Action::Soak { program, seed, count, at_once, controllers, machines, seconds, plan } => {
            let plan = plan.map(|path| read_plan(&path)).transpose()?;
            let options = SoakOptions { program, controllers, machines, span: Duration::from_secs(seconds), plan };
            let runs = (seed..seed.saturating_add(count)).map(|seed| options.run(seed)).collect();
            let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
            runtime.block_on(run_soaks(runs, at_once as usize))
        }
        Action::Report { samples, page, title } => {
            let samples = read_samples(&std::fs::read_to_string(samples)?)?;
            std::fs::write(page, html(&title, &samples)?)?;
            Ok(true)
        }
    }
}

/// Runs the scenario of a zone's fault several times in sequence. Returns whether no run violated a rule.
fn run_zone_fault(program: &Path, fault: ZoneFault, policy: &str, run_count: u32) -> Result<bool, Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let mut all_passed = true;
    for n in 0..run_count {
        let directory = std::env::temp_dir().join(format!("burlhatch-testbed-{}-{n}", std::process::id()));
        let config = cluster_config(program.to_path_buf(), directory.clone(), policy);
        let findings = runtime.block_on(run_zone_scenario(config, fault))?;
        println!("{}", serde_json::to_string(&findings)?);
        all_passed &= findings.violations.is_empty();
        std::fs::remove_dir_all(&directory)?;
    }
    Ok(all_passed)
}

/// Options that all soak runs share.
struct SoakOptions {
    program: PathBuf,
    controllers: Option<usize>,
    machines: u32,
    span: Duration,
    plan: Option<Vec<PlannedFault>>,
}

impl SoakOptions {
    /// Returns the run of a seed. Options that are not given are derived from the seed.
    fn run(&self, seed: u64) -> SoakRun {
        let timing = TIMING_PROFILES[(seed / 2 % 2) as usize];
        let drawn = || draw_plan(seed, self.span, timing.lease, timing.cancel_limit);
        SoakRun {
            program: self.program.clone(),
            directory: std::env::temp_dir().join(format!("burlhatch-soak-{}-{seed}", std::process::id())),
            seed,
            controllers: self.controllers.unwrap_or(3 + (seed % 2 * 2) as usize),
            machines: self.machines,
            timing,
            span: self.span,
            plan: self.plan.clone().unwrap_or_else(drawn),
        }
    }
}

/// Executes soak runs, at most `at_once` in parallel. Returns whether all of them completed without a violation, and
/// removes the logs of those that did.
async fn run_soaks(runs: Vec<SoakRun>, at_once: usize) -> Result<bool, Box<dyn Error>> {
    let mut waiting = runs.into_iter();
    let mut running = JoinSet::new();
    let mut all_passed = true;
    loop {
        while running.len() < at_once
            && let Some(run) = waiting.next()
        {
            running.spawn(async move { (run_soak(&run).await, run) });
        }
        let Some(ended) = running.join_next().await else { return Ok(all_passed) };
        let (findings, run) = ended?;
        match findings {
            Ok(findings) => {
                println!("{}", serde_json::to_string(&findings)?);
                if findings.violations.is_empty() {
                    std::fs::remove_dir_all(&run.directory)?;
                    continue;
                }
            }
            Err(e) => println!("{}", serde_json::json!({"seed": run.seed, "failed": e.to_string()})),
        }
        all_passed = false;
        println!("{}", serde_json::json!({"seed": run.seed, "plan": run.plan, "logs": run.directory}));
    }
}

fn read_plan(path: &Path) -> Result<Vec<PlannedFault>, Box<dyn Error>> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("--plan {}: {e}", path.display()))?;
    serde_json::from_str(&text).map_err(|e| format!("--plan {}: {e}", path.display()).into())
}
