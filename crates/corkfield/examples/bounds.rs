//! Computes bounds on time and cost that no scheduler can beat for the workload of a simulated day,
//! from the report of that day.
//!
//! The amount of work is the CPU-seconds in use according to the report, reduced by the share of
//! starts that did not lead to a finished task. The capacity is that of the machines that are up at
//! the start and, after the time of one boot, that of all machines. All figures of the deployment
//! are arguments.

use clap::Parser;
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

const SECONDS_PER_HOUR: f64 = 3600.0;

#[derive(Debug, Parser)]
struct Cli {
    /// Report of a simulated day (JSON)
    report: PathBuf,
    /// CPUs of the machines that are up at the start
    #[arg(long)]
    start_cpus: f64,
    /// CPUs of all machines that can be rented
    #[arg(long)]
    full_cpus: f64,
    /// Boot time of a machine in seconds
    #[arg(long)]
    boot_s: f64,
    /// Lowest price of one CPU per hour; 0: no cost bounds
    #[arg(long, default_value_t = 0.0)]
    cpu_price: f64,
}

/// An error from reading a report.
#[derive(Debug, thiserror::Error)]
enum ReportError {
    #[error("{0}")]
    Read(#[from] std::io::Error),
    #[error("{0}")]
    Parse(#[from] serde_json::Error),
}

fn read_report(path: &Path) -> Result<Value, ReportError> {
    let text = std::fs::read_to_string(path)?;
    Ok(serde_json::from_str(&text)?)
}

/// Returns the number at a JSON pointer of the report, or 0 if the report has none there.
fn number(value: &Value, pointer: &str) -> f64 {
    value.pointer(pointer).and_then(Value::as_f64).unwrap_or(0.0)
}

/// The CPU usage over the day.
#[derive(Default)]
struct CpuUsage {
    /// CPU-seconds in use.
    cpu_seconds: f64,
    /// The end of the last window in which a CPU was in use, in seconds.
    busy_until_s: f64,
}

impl CpuUsage {
    fn from_windows(windows: &[Value]) -> Self {
        let mut usage = Self::default();
        let mut window_start_s = 0.0;
        for window in windows {
            let window_end_s = number(window, "/at_s");
            let cpus = number(window, "/cpus");
            usage.cpu_seconds += cpus * (window_end_s - window_start_s);
            window_start_s = window_end_s;
            if cpus > 0.0 {
                usage.busy_until_s = window_end_s;
            }
        }
        usage
    }
}

fn print_bounds(cli: &Cli, report: &Value) {
    let windows = report["windows"].as_array().map_or(&[][..], Vec::as_slice);
    let CpuUsage { cpu_seconds, busy_until_s } = CpuUsage::from_windows(windows);
    let started = number(report, "/fleet/tasks_started").max(1.0);
    let done = number(report, "/fleet/tasks_done");
    let useful_cpu_seconds = cpu_seconds * (done / started).min(1.0);
    let capacity_before_boot = cli.start_cpus * cli.boot_s;
    let shortest_s =
        cli.boot_s + (useful_cpu_seconds - capacity_before_boot).max(0.0) / cli.full_cpus.max(1.0);
    println!(
        "CPU-seconds in use: {cpu_seconds:.0}, for finished tasks about {useful_cpu_seconds:.0}"
    );
    println!(
        "busy until {busy_until_s:.0} s; shortest possible time on all machines: {shortest_s:.0} s"
    );
    let available_cpu_seconds =
        capacity_before_boot + cli.full_cpus * (busy_until_s - cli.boot_s).max(0.0);
    println!(
        "useful share of the available CPU-seconds: {:.2}",
        useful_cpu_seconds / available_cpu_seconds.max(1.0)
    );
    if cli.cpu_price > 0.0 {
        print_cost_bounds(cli, useful_cpu_seconds, number(report, "/fleet/cost"));
    }
}

fn print_cost_bounds(cli: &Cli, useful_cpu_seconds: f64, paid: f64) {
    let lowest_cost = useful_cpu_seconds * cli.cpu_price / SECONDS_PER_HOUR;
    println!(
        "lowest possible cost {lowest_cost:.3}, paid {paid:.3}: ratio {:.2}",
        paid / lowest_cost
    );
    let boot_cost = cli.full_cpus * cli.boot_s * cli.cpu_price / SECONDS_PER_HOUR;
    println!(
        "lowest possible ratio with one boot of each machine: {:.2}",
        1.0 + boot_cost / lowest_cost
    );
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    match read_report(&cli.report) {
        Ok(report) => {
            print_bounds(&cli, &report);
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{}: {error}", cli.report.display());
            ExitCode::FAILURE
        }
    }
}
