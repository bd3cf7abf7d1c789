//! The two clocks of a controller: the steady clock and the time of day.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The steady clock, as the scheduler sees it.
pub fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// The time of day, in milliseconds since 1970.
pub fn unix_time_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
