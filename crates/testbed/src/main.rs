//! Long runs by hand: scenarios on loopback, and reports of measurements.

use burlhatch_testbed::report::{html, read_samples};
use burlhatch_testbed::scenarios::{ZoneTrouble, plan, play};
use clap::{Parser, Subcommand, ValueEnum};
use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;

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
        Action::Report { samples, page, title } => {
            let samples = read_samples(&std::fs::read_to_string(samples)?)?;
            std::fs::write(page, html(&title, &samples)?)?;
            Ok(true)
        }
    }
}
