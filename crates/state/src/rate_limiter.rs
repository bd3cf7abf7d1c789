//! A controller's share of an interface's rate, by priority.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The burst is at least this, so that a single request can always be made.
const MIN_BURST: f64 = 1.0;
/// Rates below this, in tokens a second, count as this where a wait is worked out.
const MIN_RATE: f64 = 1e-3;
/// What tokens may lack for the sake of rounding.
const ROUNDING: f64 = 1e-9;
/// Shortest and longest time between two looks for tokens, in seconds.
const MIN_WAIT_S: f64 = 0.002;
const MAX_WAIT_S: f64 = 10.0;

/// What a request is for, the most important first. The less important a class, the more of the
/// burst it has to leave for the others: renewals never wait behind housekeeping.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestClass {
    /// Renewing and taking leases.
    Lease,
    /// Claims, and reads that other work waits for.
    Claim,
    /// Users' submissions.
    Submission,
    /// Completion commits and machine records.
    Completion,
    /// Reads for users' questions.
    Reading,
    /// What may wait.
    Housekeeping,
}

impl RequestClass {
    /// The part of the burst that this class leaves for more important ones.
    fn reserved_share(self) -> f64 {
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

/// The tokens that are there, and how they grow.
#[derive(Debug)]
struct Bucket {
    /// Tokens a second.
    rate: f64,
    /// The most tokens that are saved up.
    burst: f64,
    tokens: f64,
    refilled_at: Instant,
}

/// Too few tokens are there.
struct Shortage {
    /// How long it takes until enough are, if nobody else takes any.
    lasts: Duration,
}

impl Bucket {
    fn refill(&mut self) {
        let now = Instant::now();
        let gained = now.duration_since(self.refilled_at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.refilled_at = now;
    }

    /// Takes `cost` tokens if they are there and enough remain for more important classes.
    fn try_take(&mut self, class: RequestClass, cost: f64) -> Result<(), Shortage> {
        self.refill();
        let cost = cost.min(self.burst);
        // What is left for more important classes is a part of a second's worth, however much may
        // come at once.
        let reserve = class.reserved_share() * self.burst.min(self.rate.max(1.0));
        let needed = (cost + reserve).min(self.burst);
        if self.tokens + ROUNDING >= needed {
            self.tokens -= cost;
            return Ok(());
        }
        let missing_s = (needed - self.tokens) / self.rate.max(MIN_RATE);
        Err(Shortage { lasts: Duration::from_secs_f64(missing_s.clamp(MIN_WAIT_S, MAX_WAIT_S)) })
    }
}

/// Where a request stands in the queue: the most important class first, and within one in order
/// of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    class: RequestClass,
    arrival: u64,
}

/// The requests that wait for tokens.
#[derive(Debug, Default)]
struct Queue {
    /// Each is notified when it becomes the first.
    waiting: BTreeMap<QueuePosition, Rc<Notify>>,
    arrivals: u64,
}

/// A token bucket whose tokens go to the most important class first.
#[derive(Debug)]
pub struct RateLimiter {
    bucket: RefCell<Bucket>,
    /// Only the first of them looks for tokens, the others sleep until they are first: hundreds
    /// that each looked again every few milliseconds once took a leader's whole processor share.
    queue: RefCell<Queue>,
}

/// A request in the queue; leaves it when it is dropped.
struct QueuedRequest<'a> {
    queue: &'a RefCell<Queue>,
    position: QueuePosition,
    became_first: Rc<Notify>,
}

impl<'a> QueuedRequest<'a> {
    fn join(queue: &'a RefCell<Queue>, class: RequestClass) -> Self {
        let became_first = Rc::new(Notify::new());
        let mut joined = queue.borrow_mut();
        let position = QueuePosition { class, arrival: joined.arrivals };
        joined.arrivals += 1;
        joined.waiting.insert(position, became_first.clone());
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
    /// `rate` tokens a second, of which up to `burst` may be saved up. All of them are there at
    /// first.
    pub fn new(rate: f64, burst: f64) -> Self {
        let burst = burst.max(MIN_BURST);
        let bucket = Bucket { rate, burst, tokens: burst, refilled_at: Instant::now() };
        Self { bucket: RefCell::new(bucket), queue: RefCell::default() }
    }

    /// Changes the rate, in tokens a second, and the most that may be saved up.
    pub fn set_rate(&self, rate: f64, burst: f64) {
        let mut bucket = self.bucket.borrow_mut();
        bucket.refill();
        bucket.rate = rate;
        bucket.burst = burst.max(MIN_BURST);
        bucket.tokens = bucket.tokens.min(bucket.burst);
    }

    /// Waits until `cost` tokens may be spent, and spends them. A cost above the burst counts as
    /// the burst.
    pub async fn take(&self, class: RequestClass, cost: f64) {
        let request = QueuedRequest::join(&self.queue, class);
        loop {
            // Also after each wait: a more important request may have come meanwhile.
            request.wait_until_first().await;
            let Err(shortage) = self.try_take(class, cost) else { return };
            tokio::time::sleep(shortage.lasts).await;
        }
    }

    fn try_take(&self, class: RequestClass, cost: f64) -> Result<(), Shortage> {
        self.bucket.borrow_mut().try_take(class, cost)
    }
}

#[cfg(test)]
mod tests;
