//! Rate limiter with priorities, for the requests that one controller sends to a service.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Minimum burst in tokens, so that a single request can always be made.
const MIN_BURST: f64 = 1.0;
/// Lower bound of the rate from which a waiting time is computed, in tokens per second.
const MIN_RATE: f64 = 1e-3;
/// Tolerance for rounding errors when tokens are compared with a cost.
const ROUNDING_TOLERANCE: f64 = 1e-9;
/// Minimum time between two attempts of a request to acquire tokens, in seconds.
const MIN_WAIT_S: f64 = 0.002;
/// Maximum time between two attempts of a request to acquire tokens, in seconds.
const MAX_WAIT_S: f64 = 10.0;

/// The purpose of a request, in descending order of priority. The lower a class's priority, the
/// more tokens it must leave for the other classes, so that lease renewals never wait behind
/// housekeeping.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestClass {
    /// Granting and renewing leases, and other requests that must not wait behind the rest.
    Lease,
    /// Claims of jobs, and reads that other work waits for.
    Claim,
    /// Submissions of users.
    Submission,
    /// Commits of completions, and machine records.
    Completion,
    /// Reads that answer queries of users.
    Query,
    /// Deletion of records that are no longer needed, and other work that may be delayed.
    Housekeeping,
}

impl RequestClass {
    /// Returns the fraction of one second's tokens that this class leaves for classes of higher
    /// priority.
    fn reserved_share(self) -> f64 {
        match self {
            Self::Lease => 0.0,
            Self::Claim => 0.1,
            Self::Submission => 0.2,
            Self::Completion => 0.3,
            Self::Query => 0.4,
            Self::Housekeeping => 0.5,
        }
    }
}

/// A token bucket: the available tokens and the rate at which they are refilled.
#[derive(Debug)]
struct Bucket {
    /// Refill rate in tokens per second.
    rate: f64,
    /// Maximum number of tokens in the bucket.
    burst: f64,
    /// Tokens that were available at `refilled_at`.
    tokens: f64,
    refilled_at: Instant,
}

/// The bucket has too few tokens for a request.
struct InsufficientTokens {
    /// Time until the bucket has enough tokens if no other request acquires any; at least
    /// [`MIN_WAIT_S`] and at most [`MAX_WAIT_S`].
    wait: Duration,
}

impl Bucket {
    /// Adds the tokens that have accrued since the last refill.
    fn refill(&mut self) {
        let now = Instant::now();
        let added = now.duration_since(self.refilled_at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + added).min(self.burst);
        self.refilled_at = now;
    }

    /// Removes `cost` tokens if the bucket has them and keeps the reserve for classes of higher
    /// priority.
    fn try_acquire(&mut self, class: RequestClass, cost: f64) -> Result<(), InsufficientTokens> {
        self.refill();
        let cost = cost.min(self.burst);
        // The reserve is a fraction of the tokens of one second (at least one token), even if the
        // burst is larger than that.
        let reserve = class.reserved_share() * self.burst.min(self.rate.max(1.0));
        let needed = (cost + reserve).min(self.burst);
        if self.tokens + ROUNDING_TOLERANCE >= needed {
            self.tokens -= cost;
            return Ok(());
        }
        let missing_s = (needed - self.tokens) / self.rate.max(MIN_RATE);
        Err(InsufficientTokens {
            wait: Duration::from_secs_f64(missing_s.clamp(MIN_WAIT_S, MAX_WAIT_S)),
        })
    }
}

/// The position of a request in the queue: by class in descending order of priority, then by order
/// of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    class: RequestClass,
    /// Ordinal number of the request among all that have joined the queue.
    arrival: u64,
}

/// The queue of the requests that wait for tokens.
#[derive(Debug, Default)]
struct Queue {
    /// The waiting requests, each with the notification that it has become the first.
    waiting: BTreeMap<QueuePosition, Rc<Notify>>,
    /// Number of requests that have joined the queue so far.
    arrivals: u64,
}

/// A token bucket with a queue: requests of the class with the highest priority acquire tokens
/// first.
#[derive(Debug)]
pub struct RateLimiter {
    bucket: RefCell<Bucket>,
    /// The waiting requests. Only the first one polls the bucket, and the others sleep until they
    /// are first: polling by hundreds of requests every few milliseconds has used up a leader's
    /// whole processor share.
    queue: RefCell<Queue>,
}

/// A request's entry in the queue; dropping it removes the request and notifies the new first one.
struct QueuedRequest<'a> {
    queue: &'a RefCell<Queue>,
    position: QueuePosition,
    became_first: Rc<Notify>,
}

impl<'a> QueuedRequest<'a> {
    fn enqueue(queue: &'a RefCell<Queue>, class: RequestClass) -> Self {
        let became_first = Rc::new(Notify::new());
        let mut queue_ref = queue.borrow_mut();
        let position = QueuePosition { class, arrival: queue_ref.arrivals };
        queue_ref.arrivals += 1;
        queue_ref.waiting.insert(position, became_first.clone());
        Self { queue, position, became_first }
    }

    fn is_first(&self) -> bool {
        let queue = self.queue.borrow();
        queue.waiting.first_key_value().is_some_and(|(first, _)| *first == self.position)
    }

    async fn wait_until_first(&self) {
        while !self.is_first() {
            self.became_first.notified().await;
        }
    }
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        let mut queue = self.queue.borrow_mut();
        queue.waiting.remove(&self.position);
        if let Some((_, became_first)) = queue.waiting.first_key_value() {
            became_first.notify_one();
        }
    }
}

impl RateLimiter {
    /// Creates a rate limiter with a full bucket that holds up to `burst` tokens and is refilled
    /// with `rate` tokens per second.
    pub fn new(rate: f64, burst: f64) -> Self {
        let burst = burst.max(MIN_BURST);
        let bucket = Bucket { rate, burst, tokens: burst, refilled_at: Instant::now() };
        Self { bucket: RefCell::new(bucket), queue: RefCell::default() }
    }

    /// Changes the refill rate, in tokens per second, and the maximum number of tokens in the
    /// bucket.
    pub fn set_rate(&self, rate: f64, burst: f64) {
        let mut bucket = self.bucket.borrow_mut();
        bucket.refill();
        bucket.rate = rate;
        bucket.burst = burst.max(MIN_BURST);
        bucket.tokens = bucket.tokens.min(bucket.burst);
    }

    /// Waits until a request of this class may use `cost` tokens, and removes them from the bucket.
    /// A cost above the burst counts as the burst.
    pub async fn acquire(&self, class: RequestClass, cost: f64) {
        let request = QueuedRequest::enqueue(&self.queue, class);
        loop {
            // Repeated after each wait, because a request of a higher priority may have arrived.
            request.wait_until_first().await;
            let Err(insufficient) = self.try_acquire(class, cost) else { return };
            tokio::time::sleep(insufficient.wait).await;
        }
    }

    fn try_acquire(&self, class: RequestClass, cost: f64) -> Result<(), InsufficientTokens> {
        self.bucket.borrow_mut().try_acquire(class, cost)
    }
}

#[cfg(test)]
mod tests;
