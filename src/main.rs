//! The program: command line, settings and logging. Everything else is in the library.

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
/// The environment variable LOG_LEVEL sets the level of the log on standard error: error, warn,
/// info (the default), debug or trace.
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
    /// Show the condition of the zones, put a zone on hold or release it
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
    /// Show the condition of all zones
    List,
    /// Start nothing new in a zone and move its services to other zones
    Hold {
        /// Name of the zone
        zone: String,
    },
    /// Remove the hold, so that new work may start in the zone again
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

/// Exit code for invalid settings or arguments.
const EXIT_INVALID_INPUT: u8 = 2;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match arguments.action {
        Some(Action::Schema) => print_schema(),
        Some(Action::Defaults) => print_defaults(),
        Some(Action::Check { config, policy }) => check_settings(config, policy),
        Some(Action::Zones { config, action }) => match Platform::load(&config) {
            Ok(platform) => administer_zones(&platform, &action.into()),
            Err(error) => invalid_input(&error),
        },
        None => run_controller(arguments.config, arguments.policy),
    }
}

fn print_schema() -> ExitCode {
    print!("{}", Policy::schema());
    ExitCode::SUCCESS
}

fn print_defaults() -> ExitCode {
    println!("{}", serde_json::to_string_pretty(&Policy::default()).unwrap_or_default());
    ExitCode::SUCCESS
}

fn check_settings(config: Option<PathBuf>, policy: Option<PathBuf>) -> ExitCode {
    let platform = config.map_or(Ok(()), |path| Platform::load(&path).map(drop));
    match platform.and(load_policy(policy).map(drop)) {
        Ok(()) => {
            println!("settings are valid");
            ExitCode::SUCCESS
        }
        Err(error) => invalid_input(&error),
    }
}

fn administer_zones(platform: &Platform, action: &ZoneAction) -> ExitCode {
    let runtime = match build_runtime() {
        Ok(runtime) => runtime,
        Err(error) => return invalid_input(&error),
    };
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64);
    match runtime.block_on(zone_admin::administer(platform, action, Micros(now))) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) if error.is_bad_input() => invalid_input(&error),
        Err(error) => {
            eprintln!("burlhatch: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_controller(config: Option<PathBuf>, policy: Option<PathBuf>) -> ExitCode {
    let Some(config) = config else {
        return invalid_input(&"--config is missing, see --help");
    };
    let (platform, policy) = match (Platform::load(&config), load_policy(policy)) {
        (Ok(platform), Ok(policy)) => (platform, policy),
        (Err(error), _) | (_, Err(error)) => return invalid_input(&error),
    };
    let level = match log_level() {
        Ok(level) => level,
        Err(error) => return invalid_input(&error),
    };
    tracing_subscriber::fmt().with_max_level(level).with_ansi(false).with_writer(std::io::stderr).init();
    let runtime = match build_runtime() {
        Ok(runtime) => runtime,
        Err(error) => return invalid_input(&error),
    };
    let Err(error) = runtime.block_on(daemon::run(platform, policy));
    tracing::error!(%error, "controller failed to start");
    ExitCode::FAILURE
}

fn load_policy(path: Option<PathBuf>) -> Result<Policy, SettingsError> {
    path.map_or_else(|| Ok(Policy::default()), |path| Policy::load(&path))
}

fn invalid_input(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("burlhatch: {error}");
    ExitCode::from(EXIT_INVALID_INPUT)
}

fn log_level() -> Result<Level, String> {
    match std::env::var("LOG_LEVEL") {
        Err(_) => Ok(Level::INFO),
        Ok(text) if text.is_empty() => Ok(Level::INFO),
        Ok(text) => {
            text.parse().map_err(|_| format!("LOG_LEVEL: must be error, warn, info, debug or trace, is '{text}'"))
        }
    }
}

/// Builds a single-threaded runtime: a controller has a quarter of a CPU.
fn build_runtime() -> std::io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}
