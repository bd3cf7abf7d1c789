//! Limits of a server.

use std::time::Duration;

/// Limits of a server on its connections, the size of requests and the time of each step.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Maximum number of open connections. A connection above it is closed as soon as it is
    /// accepted.
    pub max_connections: usize,
    /// Maximum number of open connections that stay open between requests. While more are open,
    /// every connection is closed after its response, because there may be far more clients than
    /// connections.
    pub max_keep_alive: usize,
    /// Maximum number of connections that serve requests for other paths than
    /// [`Self::reserved_path`].
    pub max_unreserved: usize,
    /// Path that may be requested on any connection. The connections above
    /// [`Self::max_unreserved`] are reserved for its clients.
    pub reserved_path: &'static str,
    /// Maximum size of a request's body, in bytes.
    pub max_body: usize,
    /// Time after which a new connection is closed if it has not begun to send a request.
    pub first_request_timeout: Duration,
    /// Time after which a connection is closed if it sends no further request.
    pub idle_timeout: Duration,
    /// Idle timeout of unreserved connections while more than three quarters of
    /// [`Self::max_unreserved`] are in use, so that idle connections don't keep new clients out.
    pub short_idle_timeout: Duration,
    /// Time from the first bytes of a request within which the whole request must be received.
    pub request_timeout: Duration,
    /// Time within which the client must accept a whole response.
    pub write_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_connections: 256,
            max_keep_alive: usize::MAX,
            max_unreserved: usize::MAX,
            reserved_path: "",
            max_body: 64 * 1024,
            first_request_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(120),
            short_idle_timeout: Duration::from_secs(2),
            request_timeout: Duration::from_secs(5),
            write_timeout: Duration::from_secs(5),
        }
    }
}
