//! The daemon: command line, settings, logging; everything else is in the library.

use burlhatch::settings::{Platform, Policy, SettingsError};
use burlhatch::transport::daemon;
use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;
use tracing::Level;

/// A controller of the burlhatch cluster scheduler.
///
/// LOG_LEVEL sets what is written to standard error: error, warn, info (the default), debug or
/// trace.
#[derive(Parser)]
#[command(version, about, args_conflicts_with_subcommands = true, arg_required_else_help = true)]
struct Arguments {
    #[command(subcommand)]
    action: Option<Action>,
    /// The platform's settings file (TOML)
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// The operators' own settings (JSON); see `schema`
    #[arg(long, value_name = "FILE")]
    policy: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Action {
    /// Check settings and exit: 0 if they are valid, 2 if not
    Check {
        /// The platform's settings file (TOML)
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
        /// The operators' own settings (JSON)
        #[arg(long, value_name = "FILE")]
        policy: Option<PathBuf>,
    },
    /// Print the JSON schema of the operators' settings
    Schema,
    /// Print the operators' settings with their default values
    Defaults,
}

const BAD_SETTINGS: u8 = 2;

fn load_policy(path: Option<PathBuf>) -> Result<Policy, SettingsError> {
    path.map_or_else(|| Ok(Policy::default()), |p| Policy::load(&p))
}

fn fail(e: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("burlhatch: {e}");
    ExitCode::from(BAD_SETTINGS)
}

fn level() -> Result<Level, String> {
    match std::env::var("LOG_LEVEL") {
        Err(_) => Ok(Level::INFO),
        Ok(text) if text.is_empty() => Ok(Level::INFO),
        Ok(text) => {
            text.parse().map_err(|_| format!("LOG_LEVEL: must be error, warn, info, debug or trace, is '{text}'"))
        }
    }
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match arguments.action {
        Some(Action::Schema) => {
            print!("{}", Policy::schema());
            ExitCode::SUCCESS
        }
        Some(Action::Defaults) => {
            println!("{}", serde_json::to_string_pretty(&Policy::default()).unwrap_or_default());
            ExitCode::SUCCESS
        }
        Some(Action::Check { config, policy }) => {
            let checked = config.map_or(Ok(()), |p| Platform::load(&p).map(drop)).and(load_policy(policy).map(drop));
            match checked {
                Ok(()) => {
                    println!("settings are valid");
                    ExitCode::SUCCESS
                }
                Err(e) => fail(&e),
            }
        }
        None => {
            let Some(config) = arguments.config else {
                return fail(&"--config is missing, see --help");
            };
            let (platform, policy) = match (Platform::load(&config), load_policy(arguments.policy)) {
                (Ok(platform), Ok(policy)) => (platform, policy),
                (Err(e), _) | (_, Err(e)) => return fail(&e),
            };
            let level = match level() {
                Ok(level) => level,
                Err(e) => return fail(&e),
            };
            tracing_subscriber::fmt().with_max_level(level).with_ansi(false).with_writer(std::io::stderr).init();
            run(platform, policy)
        }
    }
}

fn run(platform: Platform, policy: Policy) -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => return fail(&e),
    };
    match runtime.block_on(daemon::run(platform, policy)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            tracing::error!(error = %e, "can't go on");
            ExitCode::FAILURE
        }
    }
}
