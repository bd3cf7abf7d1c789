//! A controller's share of an interface's rate, by priority.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// What a request is for, the most important first. The less important a use, the more of the
/// burst it has to leave for the others: renewals never wait behind housekeeping.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestClass {
    /// Renewing and taking leases.
    Lease,
    /// Claims, and reads that other work waits for.
    Claim,
    /// Users' submissions.
    Submission,
    /// Settling writes and machine records.
    Completion,
    /// Reads for users' questions.
    Reading,
    /// What may wait.
    Housekeeping,
}

impl RequestClass {
    fn reserve(self) -> f64 {
        match self {
            Self::Lease => 0.0,
            Self::Claim => 0.1,
            Self::Submission => 0.2,
            Self::Completion => 0.3,
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

/// Who waits for tokens: the most important use first, and within one in order of arrival.
type Place = (RequestClass, u64);

/// A token bucket whose tokens go to the most important use first.
#[derive(Debug)]
pub struct RateLimiter {
    bucket: RefCell<Bucket>,
    /// Only the first of them looks for tokens, the others sleep until they are first: hundreds
    /// that each looked again every few milliseconds once took a leader's whole processor share.
    waiting: RefCell<BTreeMap<Place, Rc<Notify>>>,
    arrivals: Cell<u64>,
}

/// One who waits; leaves its place when it is dropped.
struct Waiter<'a> {
    budget: &'a RateLimiter,
    place: Place,
    first: Rc<Notify>,
}

impl<'a> Waiter<'a> {
    fn new(budget: &'a RateLimiter, class: RequestClass) -> Self {
        let place = (class, budget.arrivals.get());
        budget.arrivals.set(place.1 + 1);
        let first = Rc::new(Notify::new());
        budget.waiting.borrow_mut().insert(place, first.clone());
        Self { budget, place, first }
    }

    fn is_first(&self) -> bool {
        let waiting = self.budget.waiting.borrow();
        waiting.first_key_value().is_some_and(|(place, _)| *place == self.place)
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let mut waiting = self.budget.waiting.borrow_mut();
        waiting.remove(&self.place);
        if let Some((_, next)) = waiting.first_key_value() {
            next.notify_one();
        }
    }
}

impl RateLimiter {
    /// `rate` a second, with a burst worth `burst`.
    pub fn new(rate: f64, burst: f64) -> Self {
        let burst = burst.max(1.0);
        let bucket = Bucket { rate, burst, tokens: burst, at: Instant::now() };
        Self { bucket: RefCell::new(bucket), waiting: RefCell::default(), arrivals: Cell::new(0) }
    }

    /// Changes the rate, in tokens a second, and the most that may be saved up.
    pub fn set_rate(&self, rate: f64, burst: f64) {
        self.try_take(RequestClass::Lease, 0.0);
        let mut bucket = self.bucket.borrow_mut();
        bucket.rate = rate;
        bucket.burst = burst.max(1.0);
        bucket.tokens = bucket.tokens.min(bucket.burst);
    }

    /// Takes `cost` if it is there; otherwise says how long to wait.
    fn try_take(&self, class: RequestClass, cost: f64) -> Option<Duration> {
        let mut bucket = self.bucket.borrow_mut();
        let now = Instant::now();
        let gained = now.duration_since(bucket.at).as_secs_f64() * bucket.rate;
        bucket.tokens = (bucket.tokens + gained).min(bucket.burst);
        bucket.at = now;
        let cost = cost.min(bucket.burst);
        // What is left for more important uses is a part of a second's worth, however much may
        // come at once.
        let reserve = class.reserve() * bucket.burst.min(bucket.rate.max(1.0));
        let need = (cost + reserve).min(bucket.burst);
        if bucket.tokens + 1e-9 >= need {
            bucket.tokens -= cost;
            return None;
        }
        let missing = (need - bucket.tokens) / bucket.rate.max(1e-3);
        Some(Duration::from_secs_f64(missing.clamp(0.002, 10.0)))
    }

    /// Waits until the cost may be spent.
    pub async fn take(&self, class: RequestClass, cost: f64) {
        let waiter = Waiter::new(self, class);
        loop {
            if !waiter.is_first() {
                waiter.first.notified().await;
                continue;
            }
            let Some(wait) = self.try_take(class, cost) else { return };
            tokio::time::sleep(wait).await;
        }
    }
}

#[cfg(test)]
mod tests;
