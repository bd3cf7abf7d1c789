//! What no scheduler could beat on a day that was played, from the day's report.
//!
//! The work is taken from the report: CPU-seconds in use, less the share of starts that did not
//! end in a finished task. Capacity is what was up at the start and, after a boot, all there is.
//! Numbers of the deployment come as arguments; none is built in.

use clap::Parser;
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

const SECONDS_PER_HOUR: f64 = 3600.0;

#[derive(Debug, Parser)]
struct Cli {
    /// Report of a day (JSON)
    report: PathBuf,
    /// CPUs up at the start
    #[arg(long)]
    start_cpus: f64,
    /// CPUs of all machines that can be had
    #[arg(long)]
    full_cpus: f64,
    /// Seconds that a machine takes to boot
    #[arg(long)]
    boot_s: f64,
    /// Lowest price of a CPU for an hour
    #[arg(long, default_value_t = 0.0)]
    cpu_price: f64,
}

/// Why a report could not be read.
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

/// A number of the report; 0 if it is not there.
fn number(value: &Value, pointer: &str) -> f64 {
    value.pointer(pointer).and_then(Value::as_f64).unwrap_or(0.0)
}

/// The use of CPUs over the day.
#[derive(Default)]
struct CpuUsage {
    /// CPU-seconds in use.
    used: f64,
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
            usage.used += cpus * (window_end_s - window_start_s);
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
    let CpuUsage { used, busy_until_s } = CpuUsage::from_windows(windows);
    let started = number(report, "/fleet/tasks_started").max(1.0);
    let done = number(report, "/fleet/tasks_done");
    let work = used * (done / started).min(1.0);
    let before_boot = cli.start_cpus * cli.boot_s;
    let shortest_s = cli.boot_s + (work - before_boot).max(0.0) / cli.full_cpus.max(1.0);
    println!("CPU-seconds in use {used:.0}, of them for finished tasks about {work:.0}");
    println!(
        "busy until {busy_until_s:.0} s; all of it on all machines at once would take {shortest_s:.0} s"
    );
    let offered = before_boot + cli.full_cpus * (busy_until_s - cli.boot_s).max(0.0);
    println!("share of the CPUs on offer that worked: {:.2}", work / offered.max(1.0));
    if cli.cpu_price > 0.0 {
        print_cost_bounds(cli, work, number(report, "/fleet/cost"));
    }
}

fn print_cost_bounds(cli: &Cli, work: f64, paid: f64) {
    let cheapest = work * cli.cpu_price / SECONDS_PER_HOUR;
    println!(
        "cheapest price of that work {cheapest:.3}, paid {paid:.3}: {:.2} times",
        paid / cheapest
    );
    let boots = cli.full_cpus * cli.boot_s * cli.cpu_price / SECONDS_PER_HOUR;
    println!("with one boot of each machine: {:.2} times at the least", 1.0 + boots / cheapest);
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
