//! What a server takes at most.

use std::time::Duration;

/// What a server takes at most.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Connections open at once. One beyond them is closed as soon as it is accepted.
    pub connections: usize,
    /// While more than this are open, each is closed after its answer. Connections are then for
    /// exchanges, not for clients, of which there may be far more.
    pub kept: usize,
    /// So many of them may be of clients that ask for other paths than [`Self::kept_for`].
    pub others: usize,
    /// The path for whose clients the rest is kept.
    pub kept_for: &'static str,
    /// Bytes of a request's body.
    pub max_body: usize,
    /// A connection on which nothing was asked yet is closed after this time.
    pub first_request_timeout: Duration,
    /// A connection without a further request is closed after this time.
    pub idle_timeout: Duration,
    /// The same once most of [`Self::others`] are taken: idle ones must not keep new clients out.
    pub crowded_idle_timeout: Duration,
    /// A request that has begun must be complete within this time.
    pub request_timeout: Duration,
    /// A response must be taken within this time.
    pub write_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 256,
            kept: usize::MAX,
            others: usize::MAX,
            kept_for: "",
            max_body: 64 * 1024,
            first_request_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(120),
            crowded_idle_timeout: Duration::from_secs(2),
            request_timeout: Duration::from_secs(5),
            write_timeout: Duration::from_secs(5),
        }
    }
}
