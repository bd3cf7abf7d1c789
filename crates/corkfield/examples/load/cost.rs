//! Measured duration of the scheduler's operations.

use std::time::{Duration, Instant};

/// Number and duration of the calls of one kind of operation.
#[derive(Default)]
pub struct Cost {
    /// Number of calls.
    pub count: u64,
    total: Duration,
    longest: Duration,
}

impl Cost {
    /// Runs an operation, and adds its duration to the totals.
    pub fn measure<T>(&mut self, operation: impl FnOnce() -> T) -> T {
        let started = Instant::now();
        let result = operation();
        let elapsed = started.elapsed();
        self.count += 1;
        self.total += elapsed;
        self.longest = self.longest.max(elapsed);
        result
    }

    /// Prints calls and duration per simulated second, and mean and longest duration of a call.
    pub fn print(&self, name: &str, seconds: f64) {
        let mean_us = self.total.as_secs_f64() * 1e6 / self.count.max(1) as f64;
        println!(
            "{name:10} {:8.1} per second, mean {mean_us:9.1} us, longest {:9.1} us, \
             {:6.2} ms per second",
            self.count as f64 / seconds,
            self.longest.as_secs_f64() * 1e6,
            self.total.as_secs_f64() * 1e3 / seconds
        );
    }
}

/// The cost of each kind of operation.
#[derive(Default)]
pub struct Costs {
    pub heartbeats: Cost,
    pub replies: Cost,
    pub passes: Cost,
    pub ticks: Cost,
    pub scaling: Cost,
}

impl Costs {
    /// Prints one line for each kind of operation.
    pub fn print(&self, seconds: f64) {
        self.heartbeats.print("heartbeats", seconds);
        self.replies.print("replies", seconds);
        self.passes.print("passes", seconds);
        self.ticks.print("ticks", seconds);
        self.scaling.print("scaling", seconds);
    }
}
