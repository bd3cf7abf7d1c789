//! The client: kept connections to one address, one request at a time on each.

use crate::message::{self, ReadError, MAX_HEAD, MAX_HEADERS};
use crate::net::{Network, Stream};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::{timeout, Instant};

/// Kept connections that nobody used for this long are not tried again.
const KEEP: Duration = Duration::from_secs(30);

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Its HTTP status.
    pub status: u16,
    /// Its body.
    pub body: Vec<u8>,
}

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

/// Keeps connections to one server open and sends requests over them.
pub struct Client {
    network: Rc<dyn Network>,
    addr: SocketAddr,
    max_connections: usize,
    max_body: usize,
    idle: RefCell<Vec<(Stream, Instant)>>,
    open: Cell<usize>,
}

struct Slot<'a>(&'a Cell<usize>);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Client {
    /// A client of the server at `addr` with at most so many connections, for answers up to a size.
    pub fn new(
        network: Rc<dyn Network>,
        addr: SocketAddr,
        max_connections: usize,
        max_body: usize,
    ) -> Self {
        let idle = RefCell::new(Vec::new());
        Self { network, addr, max_connections, max_body, idle, open: Cell::new(0) }
    }

    /// Sends a request and reads its answer. A request that timed out takes its connection
    /// with it, so a late answer can never be taken for another request's.
    pub async fn request(
        &self,
        method: &str,
        target: &str,
        body: &[u8],
        limit: Duration,
    ) -> Result<Reply, ClientError> {
        if self.open.get() >= self.max_connections {
            return Err(ClientError::Busy);
        }
        self.open.set(self.open.get() + 1);
        let _slot = Slot(&self.open);
        let exchange = self.exchange(method, target, body);
        timeout(limit, exchange).await.unwrap_or(Err(ClientError::Timeout))
    }

    async fn exchange(
        &self,
        method: &str,
        target: &str,
        body: &[u8],
    ) -> Result<Reply, ClientError> {
        let mut bytes = format!(
            "{method} {target} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            self.addr,
            body.len()
        )
        .into_bytes();
        bytes.extend_from_slice(body);
        if let Some(mut stream) = self.kept() {
            // A kept connection may have been closed by the other side meanwhile. All our
            // requests can be repeated, so one more try on a fresh connection does no harm.
            match self.send(&mut stream, &bytes).await {
                Ok((reply, close)) => return Ok(self.finish(stream, reply, close)),
                Err(
                    ClientError::Read(ReadError::Closed | ReadError::Io(_)) | ClientError::Io(_),
                ) => {}
                Err(error) => return Err(error),
            }
        }
        let mut stream = self.network.connect(self.addr).await?;
        let (reply, close) = self.send(&mut stream, &bytes).await?;
        Ok(self.finish(stream, reply, close))
    }

    fn kept(&self) -> Option<Stream> {
        let mut idle = self.idle.borrow_mut();
        let (stream, since) = idle.pop()?;
        if since.elapsed() < KEEP {
            return Some(stream);
        }
        idle.clear();
        None
    }

    fn finish(&self, stream: Stream, reply: Reply, close: bool) -> Reply {
        if !close {
            self.idle.borrow_mut().push((stream, Instant::now()));
        }
        reply
    }

    async fn send(&self, stream: &mut Stream, bytes: &[u8]) -> Result<(Reply, bool), ClientError> {
        stream.write_all(bytes).await?;
        let mut buffer = Vec::new();
        loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut parsed = httparse::Response::new(&mut headers);
            match parsed.parse(&buffer) {
                Ok(httparse::Status::Complete(head)) => {
                    let status = parsed.code.unwrap_or(0);
                    let framing = message::framing(parsed.headers)?;
                    buffer.drain(..head);
                    if status / 100 == 1 {
                        continue;
                    }
                    let body = if framing.chunked {
                        message::chunked_body(stream, &mut buffer, self.max_body).await?
                    } else {
                        let length = framing.length.ok_or(ReadError::Malformed)?;
                        message::sized_body(stream, &mut buffer, length, self.max_body).await?
                    };
                    return Ok((Reply { status, body }, framing.close || !buffer.is_empty()));
                }
                Ok(httparse::Status::Partial) if buffer.len() > MAX_HEAD => {
                    return Err(ReadError::HeadTooLarge.into());
                }
                Ok(httparse::Status::Partial) => message::fill(stream, &mut buffer).await?,
                Err(_) => return Err(ReadError::Malformed.into()),
            }
        }
    }
}
