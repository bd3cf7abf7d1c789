//! Timers for periodic work, aligned so that they fire at the same moments.
//!
//! Every wakeup of the process costs system calls, even if there is no work to do. A dozen loops
//! with independent timers would wake the process dozens of times a second.

use std::future::Future;
use std::time::Duration;
use tokio::time::{sleep_until, timeout_at, Instant};

/// Shorter periods are rounded up to this period.
const MIN_PERIOD: Duration = Duration::from_millis(50);

/// Timers that fire at whole multiples of their period, counted from the creation of this struct.
/// Timers of the same period fire together, and so do timers whose periods are multiples of each
/// other.
pub struct AlignedTimers {
    started: Instant,
}

impl Default for AlignedTimers {
    fn default() -> Self {
        Self { started: Instant::now() }
    }
}

impl AlignedTimers {
    /// Returns the multiple of `period` that is closest to one period from now. It is between half
    /// a period and one and a half periods away.
    fn next_tick(&self, period: Duration) -> Instant {
        let period = period.max(MIN_PERIOD);
        let periods = self.started.elapsed().as_secs_f64() / period.as_secs_f64();
        self.started + period.mul_f64((periods + 1.0).round())
    }

    /// Waits for the next multiple of `period`, which is about one period away.
    pub async fn wait_for_tick(&self, period: Duration) {
        sleep_until(self.next_tick(period)).await;
    }

    /// Waits for `event`, for about one period at most. Returns whether the event occurred.
    pub async fn wait_for_event(&self, period: Duration, event: impl Future<Output = ()>) -> bool {
        timeout_at(self.next_tick(period), event).await.is_ok()
    }
}

#[cfg(test)]
mod tests;
