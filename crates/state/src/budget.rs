//! A controller's share of an interface's rate, by priority.

use std::cell::RefCell;
use std::time::Duration;
use tokio::time::Instant;

/// What a request is for, the most important first. The less important a use, the more of the
/// burst it has to leave for the others: renewals never wait behind housekeeping.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Use {
    /// Renewing and taking leases.
    Lease,
    /// Claims, and reads that other work waits for.
    Claim,
    /// Users' submissions.
    Submission,
    /// Settling writes and machine records.
    Settling,
    /// Reads for users' questions.
    Reading,
    /// What may wait.
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

/// A token bucket whose tokens go to the most important use first.
#[derive(Debug)]
pub struct Budget(RefCell<Bucket>);

impl Budget {
    /// `rate` a second, with a burst worth `burst`.
    pub fn new(rate: f64, burst: f64) -> Self {
        let burst = burst.max(1.0);
        Self(RefCell::new(Bucket { rate, burst, tokens: burst, at: Instant::now() }))
    }

    /// Changes the rate, in tokens a second, and the most that may be saved up.
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

    /// Waits until the cost may be spent.
    pub async fn take(&self, for_use: Use, cost: f64) {
        while let Some(wait) = self.try_take(for_use, cost) {
            tokio::time::sleep(wait).await;
        }
    }
}

#[cfg(test)]
mod tests;
