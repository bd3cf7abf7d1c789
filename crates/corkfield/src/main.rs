//! The `corkfield` program: parses the command line, loads the settings and runs a controller.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use corkfield::node;
use corkfield::settings::{self, Settings};
use corkfield_http::Tcp;
use std::fmt::Display;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

/// A cluster scheduler: controllers that claim jobs from a state service under a lease, rent
/// machines and run the jobs' tasks on them.
#[derive(Debug, Parser)]
#[command(name = "corkfield", version, about)]
struct Cli {
    /// The platform settings file (TOML): name, addresses, limits and teams of this controller
    #[arg(long = "config", value_name = "FILE", global = true)]
    platform_path: Option<PathBuf>,
    /// The operator settings file (JSON): optional tuning; see `corkfield schema`
    #[arg(long = "operator", value_name = "FILE", env = "CORKFIELD_OPERATOR", global = true)]
    operator_path: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a controller (the default)
    Run,
    /// Check the settings and print a summary of them; needs no running service
    Check,
    /// Print the JSON schema of the operator settings
    Schema,
}

/// Exit status for mistakes in the command line, the settings or the environment.
const USAGE_ERROR: u8 = 2;

fn main() -> ExitCode {
    let cli = Cli::parse();
    let command = cli.command.unwrap_or(Command::Run);
    if matches!(command, Command::Schema) {
        println!("{}", settings::schema());
        return ExitCode::SUCCESS;
    }
    let Some(platform_path) = cli.platform_path else {
        return exit_with_error(ExitCode::from(USAGE_ERROR), "--config FILE is required");
    };
    let settings = match Settings::load(&platform_path, cli.operator_path.as_deref()) {
        Ok(settings) => settings,
        Err(error) => return exit_with_error(ExitCode::from(USAGE_ERROR), error),
    };
    if matches!(command, Command::Check) {
        println!("{}", settings.summary());
        return ExitCode::SUCCESS;
    }
    if let Err(error) = settings::start_logging() {
        return exit_with_error(ExitCode::from(USAGE_ERROR), error);
    }
    run_controller(settings)
}

/// Runs a controller. Returns an exit status only if the controller can't start; a controller that
/// has started runs until the process is killed.
fn run_controller(settings: Settings) -> ExitCode {
    // A single-threaded runtime: the platform grants a process only a small share of one core.
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            return exit_with_error(ExitCode::FAILURE, format_args!("can't start: {error}"))
        }
    };
    let local = tokio::task::LocalSet::new();
    match local.block_on(&runtime, node::run(settings, Rc::new(Tcp), rand::random())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => exit_with_error(ExitCode::FAILURE, error),
    }
}

/// Prints the reason to standard error and returns the exit status `code`.
fn exit_with_error(code: ExitCode, reason: impl Display) -> ExitCode {
    eprintln!("corkfield: {reason}");
    code
}
