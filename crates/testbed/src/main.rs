//! Long runs by hand: scenarios on loopback, and reports of measurements.

use burlhatch_testbed::report::{html, read_samples};
use burlhatch_testbed::scenarios::{ZoneTrouble, plan, play};
use burlhatch_testbed::soak::{self, SHAPES, Soak};
use burlhatch_testbed::troubles::{Planned, draw};
use clap::{Parser, Subcommand, ValueEnum};
use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use tokio::task::JoinSet;

/// Runs burlhatch's controllers among stand-ins on loopback, and makes reports of measurements.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    #[command(subcommand)]
    action: Action,
}

#[derive(Subcommand)]
enum Action {
    /// Play the loss and return of a zone, several times
    Zone {
        /// The built controller
        #[arg(long, default_value = "target/release/burlhatch")]
        program: PathBuf,
        /// What happens to the zone
        #[arg(long)]
        trouble: TroubleName,
        /// The operators' settings
        #[arg(long, default_value = r#"{"zones": {"enabled": true}}"#)]
        policy: String,
        /// How often
        #[arg(long, default_value_t = 1)]
        times: u32,
    },
    /// Let users submit and call off jobs while troubles meet that are drawn from seeds
    Soak {
        /// The built controller
        #[arg(long, default_value = "target/release/burlhatch")]
        program: PathBuf,
        /// The first seed
        #[arg(long, default_value_t = 1, allow_negative_numbers = true)]
        seed: u64,
        /// How many seeds
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1000))]
        count: u64,
        /// Seeds at a time
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=8))]
        at_once: u64,
        /// Controllers, 3 or 5; in turn if it is not said
        #[arg(long, value_parser = controllers)]
        controllers: Option<usize>,
        /// Machines up at the start
        #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u32).range(1..=400))]
        machines: u32,
        /// Seconds of troubles
        #[arg(long, default_value_t = 45, value_parser = clap::value_parser!(u64).range(5..=3600))]
        seconds: u64,
        /// Troubles as a list in JSON, in place of drawn ones
        #[arg(long)]
        plan: Option<PathBuf>,
    },
    /// Make an HTML page of samples, one JSON object a line
    Report {
        /// The samples
        samples: PathBuf,
        /// The page
        page: PathBuf,
        /// Its title
        #[arg(long, default_value = "Measurements")]
        title: String,
    },
}

/// How many controllers a deployment has.
fn controllers(text: &str) -> Result<usize, String> {
    match text.parse() {
        Ok(count @ (3 | 5)) => Ok(count),
        _ => Err("3 or 5".into()),
    }
}

#[derive(Clone, Copy, ValueEnum)]
enum TroubleName {
    Killed,
    BackInMidMove,
    FlapsTwice,
}

impl From<TroubleName> for ZoneTrouble {
    fn from(name: TroubleName) -> ZoneTrouble {
        match name {
            TroubleName::Killed => ZoneTrouble::Killed,
            TroubleName::BackInMidMove => ZoneTrouble::BackInMidMove,
            TroubleName::FlapsTwice => ZoneTrouble::FlapsTwice,
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

/// Whether no rule was broken.
fn run(action: Action) -> Result<bool, Box<dyn Error>> {
    match action {
        Action::Zone { program, trouble, policy, times } => {
            let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
            let mut clean = true;
            for n in 0..times {
                let directory = std::env::temp_dir().join(format!("burlhatch-testbed-{}-{n}", std::process::id()));
                let plan = plan(program.clone(), directory.clone(), &policy);
                let findings = runtime.block_on(play(plan, trouble.into()))?;
                println!("{}", serde_json::to_string(&findings)?);
                clean &= findings.violations.is_empty();
                std::fs::remove_dir_all(&directory)?;
            }
            Ok(clean)
        }
        Action::Soak { program, seed, count, at_once, controllers, machines, seconds, plan } => {
            let plan = plan.map(|path| read_plan(&path)).transpose()?;
            let span = Duration::from_secs(seconds);
            let runs = (seed..seed.saturating_add(count)).map(|seed| {
                let times = SHAPES[(seed / 2 % 2) as usize];
                let drawn = || draw(seed, span, times.lease, times.cancel);
                Soak {
                    program: program.clone(),
                    directory: std::env::temp_dir().join(format!("burlhatch-soak-{}-{seed}", std::process::id())),
                    seed,
                    controllers: controllers.unwrap_or(3 + (seed % 2 * 2) as usize),
                    machines,
                    times,
                    span,
                    plan: plan.clone().unwrap_or_else(drawn),
                }
            });
            let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
            runtime.block_on(soak_all(runs.collect(), at_once as usize))
        }
        Action::Report { samples, page, title } => {
            let samples = read_samples(&std::fs::read_to_string(samples)?)?;
            std::fs::write(page, html(&title, &samples)?)?;
            Ok(true)
        }
    }
}

/// Plays runs, a few at a time. The logs of a run that broke no rule are removed.
async fn soak_all(runs: Vec<Soak>, at_once: usize) -> Result<bool, Box<dyn Error>> {
    let mut waiting = runs.into_iter();
    let mut playing = JoinSet::new();
    let mut clean = true;
    loop {
        while playing.len() < at_once
            && let Some(run) = waiting.next()
        {
            playing.spawn(async move { (soak::play(&run).await, run) });
        }
        let Some(played) = playing.join_next().await else { return Ok(clean) };
        let (findings, run) = played?;
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
        clean = false;
        println!("{}", serde_json::json!({"seed": run.seed, "plan": run.plan, "logs": run.directory}));
    }
}

fn read_plan(path: &Path) -> Result<Vec<Planned>, Box<dyn Error>> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("--plan {}: {e}", path.display()))?;
    serde_json::from_str(&text).map_err(|e| format!("--plan {}: {e}", path.display()).into())
}
