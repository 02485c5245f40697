//! The daemon: command line, settings, logging; everything else is in the library.

use burlhatch::settings::{Platform, Policy, SettingsError};
use burlhatch::transport::daemon;
use burlhatch::transport::zone_admin::{self, ZoneAction};
use burlhatch::types::Micros;
use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::runtime::{Builder, Runtime};
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
    /// See how zones stand, hold a zone or release it
    Zones {
        /// The platform's settings file (TOML)
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        #[command(subcommand)]
        action: ZonesCommand,
    },
}

#[derive(Subcommand)]
enum ZonesCommand {
    /// How all zones stand
    List,
    /// Start nothing new in a zone, and let its services leave it
    Hold {
        /// Name of the zone
        zone: String,
    },
    /// Let a zone take work again
    Release {
        /// Name of the zone
        zone: String,
    },
}

impl From<ZonesCommand> for ZoneAction {
    fn from(command: ZonesCommand) -> ZoneAction {
        match command {
            ZonesCommand::List => ZoneAction::List,
            ZonesCommand::Hold { zone } => ZoneAction::Hold(zone),
            ZonesCommand::Release { zone } => ZoneAction::Release(zone),
        }
    }
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
        Some(Action::Zones { config, action }) => match Platform::load(&config) {
            Ok(platform) => administer_zones(&platform, &action.into()),
            Err(e) => fail(&e),
        },
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

fn runtime() -> std::io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}

fn administer_zones(platform: &Platform, action: &ZoneAction) -> ExitCode {
    let runtime = match runtime() {
        Ok(runtime) => runtime,
        Err(e) => return fail(&e),
    };
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64);
    match runtime.block_on(zone_admin::administer(platform, action, Micros(now))) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(e) if e.is_bad_input() => fail(&e),
        Err(e) => {
            eprintln!("burlhatch: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run(platform: Platform, policy: Policy) -> ExitCode {
    let runtime = match runtime() {
        Ok(runtime) => runtime,
        Err(e) => return fail(&e),
    };
    let Err(error) = runtime.block_on(daemon::run(platform, policy));
    tracing::error!(%error, "controller failed to start");
    ExitCode::FAILURE
}
