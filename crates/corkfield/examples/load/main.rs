//! What placement costs, against the number of machines: the scheduler alone, with workers that
//! heartbeat as the protocol says, in simulated time. The costs are real processor time, and so
//! differ from machine to machine; all the rest repeats.

mod cost;
mod simulation;
mod worker;
mod workload;

use clap::Parser;
use simulation::Simulation;

#[derive(Debug, Parser)]
struct Cli {
    /// Machines, all of them up
    #[arg(long, default_value_t = 1700)]
    machines: usize,
    /// Work that comes, against what the machines can do
    #[arg(long, default_value_t = 1.2)]
    load: f64,
    /// Simulated seconds
    #[arg(long, default_value_t = 120.0)]
    seconds: f64,
    /// Seconds between two heartbeats of a worker without changes
    #[arg(long, default_value_t = 5.0)]
    report_s: f64,
    /// Seconds between two placement passes
    #[arg(long, default_value_t = 0.12)]
    pace_s: f64,
}

fn main() {
    let cli = Cli::parse();
    let mut simulation = Simulation::new(&cli);
    if simulation.run().is_some() {
        simulation.print();
    }
}
