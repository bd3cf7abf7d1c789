//! Timers of periodic work, aligned so that they fire together.
//!
//! Each time a process wakes costs it system calls, whatever it then finds to do. A dozen loops
//! with timers of their own would wake it dozens of times a second.

use std::future::Future;
use std::time::Duration;
use tokio::time::{sleep_until, timeout_at, Instant};

/// The shortest period that is aligned; shorter ones are rounded up to it.
const MIN_PERIOD: Duration = Duration::from_millis(50);

/// Moments at which periodic work is due: whole multiples of its period, counted from the start of
/// the process. So timers of one period fire together, and so do those whose periods are multiples
/// of each other.
pub struct AlignedTimers {
    started: Instant,
}

impl Default for AlignedTimers {
    fn default() -> Self {
        Self { started: Instant::now() }
    }
}

impl AlignedTimers {
    /// The multiple of `period` that is nearest to one period from now: half a period away at
    /// least, one and a half at most.
    fn next(&self, period: Duration) -> Instant {
        let period = period.max(MIN_PERIOD);
        let periods = self.started.elapsed().as_secs_f64() / period.as_secs_f64();
        self.started + period.mul_f64((periods + 1.0).round())
    }

    /// Waits for about one period.
    pub async fn tick(&self, period: Duration) {
        sleep_until(self.next(period)).await;
    }

    /// Waits for an event, for about one period at most; true if it came.
    pub async fn wait_for_event(&self, period: Duration, event: impl Future<Output = ()>) -> bool {
        timeout_at(self.next(period), event).await.is_ok()
    }
}

#[cfg(test)]
mod tests;
