//! Measures the cost of scheduling as a function of the number of machines. The scheduler runs
//! alone in simulated time, with simulated workers that send heartbeats as the protocol requires.
//! The costs are measured in real time and therefore vary between runs; everything else is
//! deterministic.

mod cost;
mod simulation;
mod worker;
mod workload;

use clap::Parser;
use simulation::Simulation;

#[derive(Debug, Parser)]
struct Cli {
    /// Number of machines, all up at the start
    #[arg(long, default_value_t = 1700)]
    machines: usize,
    /// Submitted work as a fraction of the CPU capacity
    #[arg(long, default_value_t = 1.2)]
    load: f64,
    /// Simulated time in seconds
    #[arg(long, default_value_t = 120.0)]
    seconds: f64,
    /// Seconds between two heartbeats of a worker without status changes
    #[arg(long = "report-s", value_name = "REPORT_S", default_value_t = 5.0)]
    heartbeat_interval_s: f64,
    /// Seconds between two placement passes
    #[arg(long = "pace-s", value_name = "PACE_S", default_value_t = 0.12)]
    pass_interval_s: f64,
}

fn main() {
    let cli = Cli::parse();
    let mut simulation = Simulation::new(&cli);
    if simulation.run().is_some() {
        simulation.print();
    }
}
