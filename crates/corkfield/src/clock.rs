//! The two clocks of a controller: the monotonic clock and the wall clock.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Returns the current time of the monotonic clock, which is also the scheduler's clock.
pub fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// Returns the wall-clock time, in milliseconds since the Unix epoch.
pub fn unix_time_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
