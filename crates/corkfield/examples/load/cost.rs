//! Processor time of the scheduler, by what it does.

use std::time::{Duration, Instant};

/// Times and counts of one kind of work.
#[derive(Default)]
pub struct Cost {
    /// How often it was done.
    pub count: u64,
    total: Duration,
    longest: Duration,
}

impl Cost {
    /// Does the work, and adds the time that it takes.
    pub fn measure<T>(&mut self, work: impl FnOnce() -> T) -> T {
        let started = Instant::now();
        let result = work();
        let elapsed = started.elapsed();
        self.count += 1;
        self.total += elapsed;
        self.longest = self.longest.max(elapsed);
        result
    }

    /// Prints the cost for each simulated second.
    pub fn print(&self, name: &str, seconds: f64) {
        let mean_us = self.total.as_secs_f64() * 1e6 / self.count.max(1) as f64;
        println!(
            "{name:9} {:8.1} a second, {mean_us:9.1} us each, {:9.1} at most, {:6.2} ms a second",
            self.count as f64 / seconds,
            self.longest.as_secs_f64() * 1e6,
            self.total.as_secs_f64() * 1e3 / seconds
        );
    }
}

/// The cost of each kind of work.
#[derive(Default)]
pub struct Costs {
    pub heartbeats: Cost,
    pub replies: Cost,
    pub passes: Cost,
    pub ticks: Cost,
    pub scaling: Cost,
}

impl Costs {
    /// Prints one line for each kind of work.
    pub fn print(&self, seconds: f64) {
        self.heartbeats.print("reports", seconds);
        self.replies.print("answers", seconds);
        self.passes.print("passes", seconds);
        self.ticks.print("ticks", seconds);
        self.scaling.print("renting", seconds);
    }
}
