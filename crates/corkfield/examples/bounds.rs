//! What no scheduler could beat on a day that was played, from the day's report.
//!
//! The work is taken from the report: CPU-seconds in use, less the share of starts that did not
//! end in a finished task. Capacity is what was up at the start and, after a boot, all there is.
//! Numbers of the deployment come as arguments; none is built in.

use clap::Parser;
use serde_json::Value;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Debug, Parser)]
struct Cli {
    /// Report of a day (JSON)
    heartbeat: PathBuf,
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

fn main() -> ExitCode {
    let cli = Cli::parse();
    let read = std::fs::read_to_string(&cli.heartbeat).map_err(|e| e.to_string());
    let heartbeat: Value =
        match read.and_then(|t| serde_json::from_str(&t).map_err(|e| e.to_string())) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                eprintln!("{}: {error}", cli.heartbeat.display());
                return ExitCode::FAILURE;
            }
        };
    let number = |path: &str| heartbeat.pointer(path).and_then(Value::as_f64).unwrap_or(0.0);
    let empty = Vec::new();
    let windows = heartbeat["windows"].as_array().unwrap_or(&empty);
    let mut used = 0.0;
    let mut before = 0.0;
    let mut last_busy = 0.0;
    for window in windows {
        let at = window["at_s"].as_f64().unwrap_or(0.0);
        let cpus = window["cpus"].as_f64().unwrap_or(0.0);
        used += cpus * (at - before);
        before = at;
        if cpus > 0.0 {
            last_busy = at;
        }
    }
    let started = number("/fleet/tasks_started").max(1.0);
    let done = number("/fleet/tasks_done");
    let work = used * (done / started).min(1.0);
    let early = cli.start_cpus * cli.boot_s;
    let least = cli.boot_s + (work - early).max(0.0) / cli.full_cpus.max(1.0);
    println!("CPU-seconds in use {used:.0}, of them for finished tasks about {work:.0}");
    println!(
        "busy until {last_busy:.0} s; all of it on all machines at once would take {least:.0} s"
    );
    let offered = early + cli.full_cpus * (last_busy - cli.boot_s).max(0.0);
    println!("share of the CPUs on offer that worked: {:.2}", work / offered.max(1.0));
    if cli.cpu_price > 0.0 {
        let cheapest = work * cli.cpu_price / 3600.0;
        let cost = number("/fleet/cost");
        println!(
            "cheapest price of that work {cheapest:.3}, paid {cost:.3}: {:.2} times",
            cost / cheapest
        );
        let boots = cli.full_cpus * cli.boot_s * cli.cpu_price / 3600.0;
        println!("with one boot of each machine: {:.2} times at the least", 1.0 + boots / cheapest);
    }
    ExitCode::SUCCESS
}
