//! A controller's share of an interface's rate, by priority.

use std::cell::RefCell;
use std::time::Duration;
use tokio::time::Instant;

/// What a request is for, the most important first. The less important a use, the more of the
/// burst it has to leave for the others: renewals never wait behind housekeeping.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Use {
    Lease,
    Claim,
    Submission,
    Settling,
    Reading,
    Housekeeping,
}

impl Use {
    fn reserve(self) -> f64 {
        match self {
            Self::Lease => 0.0,
            Self::Claim => 0.1,
            Self::Submission => 0.2,
            Self::Settling => 0.3,
            Self::Reading => 0.4,
            Self::Housekeeping => 0.5,
        }
    }
}

#[derive(Debug)]
struct Bucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    at: Instant,
}

#[derive(Debug)]
pub struct Budget(RefCell<Bucket>);

impl Budget {
    /// `rate` a second, with a burst worth `burst`.
    pub fn new(rate: f64, burst: f64) -> Self {
        let burst = burst.max(1.0);
        Self(RefCell::new(Bucket { rate, burst, tokens: burst, at: Instant::now() }))
    }

    pub fn set_rate(&self, rate: f64, burst: f64) {
        self.try_take(Use::Lease, 0.0);
        let mut bucket = self.0.borrow_mut();
        bucket.rate = rate;
        bucket.burst = burst.max(1.0);
        bucket.tokens = bucket.tokens.min(bucket.burst);
    }

    /// Takes `cost` if it is there; otherwise says how long to wait.
    fn try_take(&self, for_use: Use, cost: f64) -> Option<Duration> {
        let mut bucket = self.0.borrow_mut();
        let now = Instant::now();
        let gained = now.duration_since(bucket.at).as_secs_f64() * bucket.rate;
        bucket.tokens = (bucket.tokens + gained).min(bucket.burst);
        bucket.at = now;
        let cost = cost.min(bucket.burst);
        // What is left for more important uses is a part of a second's worth, however much may
        // come at once.
        let reserve = for_use.reserve() * bucket.burst.min(bucket.rate.max(1.0));
        let need = (cost + reserve).min(bucket.burst);
        if bucket.tokens + 1e-9 >= need {
            bucket.tokens -= cost;
            return None;
        }
        let missing = (need - bucket.tokens) / bucket.rate.max(1e-3);
        Some(Duration::from_secs_f64(missing.clamp(0.002, 10.0)))
    }

    pub async fn take(&self, for_use: Use, cost: f64) {
        while let Some(wait) = self.try_take(for_use, cost) {
            tokio::time::sleep(wait).await;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test(start_paused = true)]
    async fn housekeeping_leaves_room_for_renewals() {
        let budget = Budget::new(10.0, 10.0);
        let mut taken = 0;
        while budget.try_take(Use::Housekeeping, 1.0).is_none() {
            taken += 1;
        }
        assert_eq!(taken, 5);
        assert!(budget.try_take(Use::Lease, 1.0).is_none());
        let start = Instant::now();
        budget.take(Use::Settling, 2.0).await;
        assert!(start.elapsed() > Duration::from_millis(50));
    }

    #[tokio::test(start_paused = true)]
    async fn many_submissions_at_once_find_the_burst_that_nobody_used() {
        let budget = Budget::new(12.0, 12.0 * 5.0);
        let start = Instant::now();
        for _ in 0..50 {
            budget.take(Use::Submission, 1.0).await;
        }
        assert!(start.elapsed() < Duration::from_millis(10));
        budget.take(Use::Submission, 10.0).await;
        assert!(start.elapsed() > Duration::from_millis(100), "but no more than that");
    }
}
