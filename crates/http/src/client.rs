//! The client: persistent connections to one address, each with one request at a time.

use crate::client_response::ClientResponse;
use crate::message::{self, Framing, ParsedHead, ReadError, MAX_HEADERS};
use crate::net::{Network, Stream};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::{timeout, Instant};

/// Time after which an idle connection is not used again.
const MAX_IDLE_TIME: Duration = Duration::from_secs(30);

/// Why a request has no response.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// No complete response was received within the time limit.
    #[error("request timed out")]
    Timeout,
    /// The maximum number of requests is already in flight; this request was not sent.
    #[error("too many requests in flight")]
    Busy,
    /// The response is malformed, or the connection closed before the response was complete.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// Opening the connection or writing the request failed.
    #[error("failed to connect or write: {0}")]
    Io(#[from] std::io::Error),
}

impl ClientError {
    /// Returns whether the cause may be that the server had closed an idle connection.
    fn may_be_closed_connection(&self) -> bool {
        matches!(self, Self::Read(ReadError::Closed | ReadError::Io(_)) | Self::Io(_))
    }
}

/// Sizes the connection limit of a client for a rate of requests: enough connections for all
/// requests that are in flight at once, within bounds.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionSizing {
    /// Expected time for which a request occupies its connection, in seconds.
    pub request_duration_s: f64,
    /// Minimum number of connections, whatever the rate.
    pub min_connections: usize,
    /// Maximum number of connections, whatever the rate.
    pub max_connections: usize,
}

impl ConnectionSizing {
    /// Returns the number of connections for `rps` requests per second.
    pub fn connections_for_rate(&self, rps: f64) -> usize {
        ((rps * self.request_duration_s) as usize).clamp(self.min_connections, self.max_connections)
    }
}

/// Sends requests to one server over persistent connections.
pub struct Client {
    network: Rc<dyn Network>,
    addr: SocketAddr,
    max_connections: usize,
    /// Maximum size of a response's body, in bytes.
    max_body: usize,
    /// Open connections without a request, the last used one at the end.
    idle: RefCell<Vec<IdleConnection>>,
    /// Number of requests in flight, each on its own connection.
    in_flight: Cell<usize>,
}

/// An open connection without a request in flight.
struct IdleConnection {
    stream: Stream,
    idle_since: Instant,
}

/// Counts a request as in flight until the guard is dropped.
struct InFlightGuard<'a>(&'a Cell<usize>);

impl<'a> InFlightGuard<'a> {
    fn increment(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A response read from a connection.
struct ReceivedResponse {
    response: ClientResponse,
    /// Whether the connection can't be used for another request.
    must_close: bool,
}

impl Client {
    /// Creates a client of the server at `addr` that has at most `max_connections` requests in
    /// flight and accepts response bodies of up to `max_body` bytes.
    pub fn new(
        network: Rc<dyn Network>,
        addr: SocketAddr,
        max_connections: usize,
        max_body: usize,
    ) -> Self {
        let idle = RefCell::new(Vec::new());
        Self { network, addr, max_connections, max_body, idle, in_flight: Cell::new(0) }
    }

    /// Sends a request and reads its response. If the request times out, its connection is closed,
    /// so that a late response is never read as the response to another request.
    ///
    /// # Errors
    ///
    /// Returns an error if the maximum number of requests is in flight, no complete response is
    /// received within `time_limit`, the connection fails, or the response is malformed. After any
    /// error except [`ClientError::Busy`] the request may have been executed, even twice if an idle
    /// connection failed.
    pub async fn request(
        &self,
        method: &str,
        target: &str,
        body: &[u8],
        time_limit: Duration,
    ) -> Result<ClientResponse, ClientError> {
        if self.in_flight.get() >= self.max_connections {
            return Err(ClientError::Busy);
        }
        let _guard = InFlightGuard::increment(&self.in_flight);
        let message = self.encode_request(method, target, body);
        timeout(time_limit, self.exchange(&message)).await.unwrap_or(Err(ClientError::Timeout))
    }

    fn encode_request(&self, method: &str, target: &str, body: &[u8]) -> Vec<u8> {
        let head = format!(
            "{method} {target} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            self.addr,
            body.len()
        );
        let mut message = head.into_bytes();
        message.extend_from_slice(body);
        message
    }

    /// Sends the encoded request and reads its response, on an idle connection if there is one.
    async fn exchange(&self, message: &[u8]) -> Result<ClientResponse, ClientError> {
        if let Some(stream) = self.pop_idle_connection() {
            // The server may have closed the connection while it was idle. All requests of this
            // project can be repeated safely, so the request is sent again on a new connection.
            match self.exchange_on(stream, message).await {
                Err(error) if error.may_be_closed_connection() => {}
                result => return result,
            }
        }
        let stream = self.network.connect(self.addr).await?;
        self.exchange_on(stream, message).await
    }

    /// Sends the encoded request on `stream` and reads its response. Keeps the connection as idle
    /// if it can be used again.
    async fn exchange_on(
        &self,
        mut stream: Stream,
        message: &[u8],
    ) -> Result<ClientResponse, ClientError> {
        stream.write_all(message).await?;
        let ReceivedResponse { response, must_close } =
            read_response(&mut stream, self.max_body).await?;
        if !must_close {
            self.idle.borrow_mut().push(IdleConnection { stream, idle_since: Instant::now() });
        }
        Ok(response)
    }

    /// Removes and returns the idle connection that was used last. If it has been idle for too
    /// long, so have all others: closes them all and returns `None`.
    fn pop_idle_connection(&self) -> Option<Stream> {
        let mut idle = self.idle.borrow_mut();
        let IdleConnection { stream, idle_since } = idle.pop()?;
        if idle_since.elapsed() < MAX_IDLE_TIME {
            return Some(stream);
        }
        idle.clear();
        None
    }
}

struct ResponseHead {
    status: u16,
    framing: Framing,
}

impl ResponseHead {
    /// Returns whether the response is informational (1xx): the final response follows it.
    fn is_informational(&self) -> bool {
        self.status / 100 == 1
    }
}

async fn read_response(
    stream: &mut Stream,
    max_body: usize,
) -> Result<ReceivedResponse, ReadError> {
    let mut buffer = Vec::new();
    let ResponseHead { status, framing } = loop {
        let head = message::read_head(stream, &mut buffer, parse_response_head).await?;
        if !head.is_informational() {
            break head;
        }
    };
    let body = message::read_body(stream, &mut buffer, framing, max_body).await?;
    // Bytes after the response belong to no request, so the connection can't be used again.
    let must_close = framing.has_connection_close || !buffer.is_empty();
    Ok(ReceivedResponse { response: ClientResponse { status, body }, must_close })
}

/// Parses the response head at the start of `bytes`. Returns `None` if the head is incomplete.
fn parse_response_head(bytes: &[u8]) -> Result<Option<ParsedHead<ResponseHead>>, ReadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => {
            let framing = message::parse_framing(parsed.headers)?;
            let head = ResponseHead { status: parsed.code.unwrap_or(0), framing };
            Ok(Some(ParsedHead { head, length }))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(ReadError::Malformed),
    }
}
