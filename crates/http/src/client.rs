//! The client: kept connections to one address, one request at a time on each.

use crate::message::{self, Framing, ParsedHead, ReadError, MAX_HEADERS};
use crate::net::{Network, Stream};
use crate::reply::Reply;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::{timeout, Instant};

/// Kept connections that nobody used for this long are not tried again.
const KEPT_FOR: Duration = Duration::from_secs(30);

/// Why a request has no answer.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// No whole answer came in time.
    #[error("no answer in time")]
    Timeout,
    /// Too many connections are open already.
    #[error("too many requests under way")]
    Busy,
    /// The answer is malformed, or the connection ended within it.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// The connection failed.
    #[error("connect or write: {0}")]
    Io(#[from] std::io::Error),
}

impl ClientError {
    /// Whether a kept connection may have failed only because the other side had closed it.
    fn is_closed_connection(&self) -> bool {
        matches!(self, Self::Read(ReadError::Closed | ReadError::Io(_)) | Self::Io(_))
    }
}

/// How many connections a client opens at most: enough for all requests of a rate at once, within
/// bounds.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionSizing {
    /// For how long a request is expected to take its connection, in seconds.
    pub request_s: f64,
    /// At least so many connections, however low the rate.
    pub least: usize,
    /// At most so many, however high the rate.
    pub most: usize,
}

impl ConnectionSizing {
    /// Connections for so many requests per second.
    pub fn for_rate(&self, rps: f64) -> usize {
        ((rps * self.request_s) as usize).clamp(self.least, self.most)
    }
}

/// Keeps connections to one server open and sends requests over them.
pub struct Client {
    network: Rc<dyn Network>,
    addr: SocketAddr,
    max_connections: usize,
    max_body: usize,
    idle: RefCell<Vec<IdleConnection>>,
    /// Requests under way, each on a connection of its own.
    under_way: Cell<usize>,
}

/// A connection that waits for its next request.
struct IdleConnection {
    stream: Stream,
    since: Instant,
}

/// Counts a request as under way until it is dropped.
struct RequestCount<'a>(&'a Cell<usize>);

impl<'a> RequestCount<'a> {
    fn add_one(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for RequestCount<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// An answer as it came over a connection.
struct ReceivedReply {
    reply: Reply,
    /// The connection can't be used again.
    close: bool,
}

impl Client {
    /// A client of the server at `addr` with at most so many connections, for answers up to a size
    /// in bytes.
    pub fn new(
        network: Rc<dyn Network>,
        addr: SocketAddr,
        max_connections: usize,
        max_body: usize,
    ) -> Self {
        let idle = RefCell::new(Vec::new());
        Self { network, addr, max_connections, max_body, idle, under_way: Cell::new(0) }
    }

    /// Sends a request and reads its answer. A request that timed out takes its connection
    /// with it, so a late answer can never be taken for another request's.
    ///
    /// # Errors
    ///
    /// If all connections are taken, no whole answer came within `limit`, or none that can be
    /// read. Except for [`ClientError::Busy`] the request may have been executed.
    pub async fn request(
        &self,
        method: &str,
        target: &str,
        body: &[u8],
        limit: Duration,
    ) -> Result<Reply, ClientError> {
        if self.under_way.get() >= self.max_connections {
            return Err(ClientError::Busy);
        }
        let _count = RequestCount::add_one(&self.under_way);
        let message = self.encode(method, target, body);
        timeout(limit, self.exchange(&message)).await.unwrap_or(Err(ClientError::Timeout))
    }

    fn encode(&self, method: &str, target: &str, body: &[u8]) -> Vec<u8> {
        let head = format!(
            "{method} {target} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            self.addr,
            body.len()
        );
        let mut message = head.into_bytes();
        message.extend_from_slice(body);
        message
    }

    async fn exchange(&self, message: &[u8]) -> Result<Reply, ClientError> {
        if let Some(stream) = self.take_idle() {
            // A kept connection may have been closed by the other side meanwhile. All our
            // requests can be repeated, so one more try on a fresh connection does no harm.
            match self.exchange_on(stream, message).await {
                Err(error) if error.is_closed_connection() => {}
                result => return result,
            }
        }
        let stream = self.network.connect(self.addr).await?;
        self.exchange_on(stream, message).await
    }

    /// Sends the message and reads its answer; keeps the connection if it can be used again.
    async fn exchange_on(&self, mut stream: Stream, message: &[u8]) -> Result<Reply, ClientError> {
        stream.write_all(message).await?;
        let ReceivedReply { reply, close } = read_reply(&mut stream, self.max_body).await?;
        if !close {
            self.idle.borrow_mut().push(IdleConnection { stream, since: Instant::now() });
        }
        Ok(reply)
    }

    /// The connection used last, unless it has been idle for too long: then all others have been.
    fn take_idle(&self) -> Option<Stream> {
        let mut idle = self.idle.borrow_mut();
        let IdleConnection { stream, since } = idle.pop()?;
        if since.elapsed() < KEPT_FOR {
            return Some(stream);
        }
        idle.clear();
        None
    }
}

struct ReplyHead {
    status: u16,
    framing: Framing,
}

impl ReplyHead {
    /// Whether it is a provisional answer (1xx), which the final one follows.
    fn is_provisional(&self) -> bool {
        self.status / 100 == 1
    }
}

async fn read_reply(stream: &mut Stream, max_body: usize) -> Result<ReceivedReply, ReadError> {
    let mut buffer = Vec::new();
    let ReplyHead { status, framing } = loop {
        let head = message::read_head(stream, &mut buffer, parse_head).await?;
        if !head.is_provisional() {
            break head;
        }
    };
    let body = message::read_body(stream, &mut buffer, framing, max_body).await?;
    // Bytes beyond the answer belong to no request.
    let close = framing.close || !buffer.is_empty();
    Ok(ReceivedReply { reply: Reply { status, body }, close })
}

/// The head at the front of `bytes`; none while it is incomplete.
fn parse_head(bytes: &[u8]) -> Result<Option<ParsedHead<ReplyHead>>, ReadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => {
            let framing = message::framing(parsed.headers)?;
            let head = ReplyHead { status: parsed.code.unwrap_or(0), framing };
            Ok(Some(ParsedHead { head, length }))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(ReadError::Malformed),
    }
}
