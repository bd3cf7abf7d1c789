//! The server: one task per connection, one request at a time on each.

use crate::message::{self, ReadError, MAX_HEAD, MAX_HEADERS};
use crate::net::{Listener, Stream};
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::timeout;

/// What a server takes at most.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Connections open at once.
    pub connections: usize,
    /// So many of them may be of clients that ask for other paths than [`Self::kept_for`].
    pub others: usize,
    /// The path for whose clients the rest is kept.
    pub kept_for: &'static str,
    /// Bytes of a request's body.
    pub body: usize,
    /// A connection on which nothing was asked yet is closed after this time.
    pub first: Duration,
    /// A connection without a further request is closed after this time.
    pub idle: Duration,
    /// The same once most of [`Self::others`] are taken: idle ones must not keep new clients out.
    pub crowded: Duration,
    /// A request that has begun must be complete within this time.
    pub request: Duration,
    /// A response must be taken within this time.
    pub write: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 256,
            others: usize::MAX,
            kept_for: "",
            body: 64 * 1024,
            first: Duration::from_secs(10),
            idle: Duration::from_secs(120),
            crowded: Duration::from_secs(2),
            request: Duration::from_secs(5),
            write: Duration::from_secs(5),
        }
    }
}

/// A whole request.
#[derive(Debug, Clone)]
pub struct Request {
    /// Its method, in capitals.
    pub method: String,
    /// Path and query as they came.
    pub target: String,
    /// Its body.
    pub body: Vec<u8>,
}

impl Request {
    /// The target without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }
}

/// An answer.
#[derive(Debug, Clone)]
pub struct Response {
    /// Its HTTP status.
    pub status: u16,
    /// Its body, JSON.
    pub body: Vec<u8>,
    /// Seconds after which the client should come back.
    pub retry_after: Option<u64>,
}

impl Response {
    /// An answer without `Retry-After`.
    pub fn new(status: u16, body: Vec<u8>) -> Self {
        Self { status, body, retry_after: None }
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        _ => "Service Unavailable",
    }
}

/// Accepts connections for ever. A failing accept (no free sockets, say) never ends it.
pub async fn serve<H, F>(listener: Box<dyn Listener>, limits: Limits, handler: Rc<H>)
where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = Response> + 'static,
{
    let open = Rc::new(Cell::new(0usize));
    let others = Rc::new(Cell::new(0usize));
    loop {
        match listener.accept().await {
            // Above the limit a connection is closed at once: its client goes elsewhere.
            Ok(stream) if open.get() < limits.connections => {
                open.set(open.get() + 1);
                let (limits, handler, open) = (limits.clone(), handler.clone(), open.clone());
                let others = others.clone();
                tokio::task::spawn_local(async move {
                    let mut place = Place { others: &others, taken: false };
                    let _ = connection(stream, &limits, &*handler, &mut place).await;
                    open.set(open.get() - 1);
                });
            }
            Ok(stream) => drop(stream),
            Err(error) => {
                tracing::debug!(%error, "accept failed");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// A connection's place among those that are not kept for a path.
struct Place<'a> {
    others: &'a Cell<usize>,
    taken: bool,
}

impl Place<'_> {
    /// Whether the request may be served on this connection.
    fn admits(&mut self, request: &Request, limits: &Limits) -> bool {
        if self.taken || request.path() == limits.kept_for {
            return true;
        }
        self.taken = self.others.get() < limits.others;
        self.others.set(self.others.get() + usize::from(self.taken));
        self.taken
    }

    fn is_crowded(&self, limits: &Limits) -> bool {
        self.taken && self.others.get() > limits.others / 4 * 3
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.others.set(self.others.get() - usize::from(self.taken));
    }
}

async fn connection<H, F>(
    mut stream: Stream,
    limits: &Limits,
    handler: &H,
    place: &mut Place<'_>,
) -> Result<(), ReadError>
where
    H: Fn(Request) -> F,
    F: Future<Output = Response>,
{
    let mut buffer = Vec::new();
    let mut wait = limits.first;
    loop {
        if buffer.is_empty() {
            match timeout(wait, message::fill(&mut stream, &mut buffer)).await {
                Ok(filled) => filled?,
                Err(_) => return Ok(()),
            }
        }
        let read = timeout(limits.request, read_request(&mut stream, &mut buffer, limits)).await;
        let (response, close) = match read {
            Ok(Ok((request, close))) if place.admits(&request, limits) => {
                (handler(request).await, close)
            }
            Ok(Ok(_)) => {
                let body = b"{\"error\":\"too many connections\"}".to_vec();
                (Response { retry_after: Some(1), ..Response::new(503, body) }, true)
            }
            Ok(Err(ReadError::Closed | ReadError::Io(_))) | Err(_) => return Ok(()),
            Ok(Err(error)) => {
                let body = format!("{{\"error\":\"{error}\"}}").into_bytes();
                (Response::new(400, body), true)
            }
        };
        wait = if place.is_crowded(limits) { limits.crowded } else { limits.idle };
        let bytes = encode(&response, close);
        match timeout(limits.write, stream.write_all(&bytes)).await {
            Ok(written) => written?,
            Err(_) => return Ok(()),
        }
        if close {
            let _ = stream.shutdown().await;
            return Ok(());
        }
        if buffer.capacity() > 16 * 1024 {
            buffer.shrink_to(4 * 1024);
        }
    }
}

fn encode(response: &Response, close: bool) -> Vec<u8> {
    use std::fmt::Write as _;
    let mut head = format!(
        "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
        response.status,
        reason(response.status),
        response.body.len()
    );
    if let Some(seconds) = response.retry_after {
        let _ = write!(head, "Retry-After: {seconds}\r\n");
    }
    if close {
        head.push_str("Connection: close\r\n");
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&response.body);
    bytes
}

async fn read_request(
    stream: &mut Stream,
    buffer: &mut Vec<u8>,
    limits: &Limits,
) -> Result<(Request, bool), ReadError> {
    let (method, target, framing, head) = loop {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        match parsed.parse(buffer) {
            Ok(httparse::Status::Complete(head)) => {
                let framing = message::framing(parsed.headers)?;
                let method = parsed.method.unwrap_or("").to_owned();
                break (method, parsed.path.unwrap_or("").to_owned(), framing, head);
            }
            Ok(httparse::Status::Partial) if buffer.len() > MAX_HEAD => {
                return Err(ReadError::HeadTooLarge);
            }
            Ok(httparse::Status::Partial) => message::fill(stream, buffer).await?,
            Err(httparse::Error::TooManyHeaders) => return Err(ReadError::HeadTooLarge),
            Err(_) => return Err(ReadError::Malformed),
        }
    };
    buffer.drain(..head);
    if framing.expects_continue {
        stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
    }
    let body = if framing.chunked {
        message::chunked_body(stream, buffer, limits.body).await?
    } else {
        let length = framing.length.unwrap_or(0);
        message::sized_body(stream, buffer, length, limits.body).await?
    };
    Ok((Request { method, target, body }, framing.close))
}

#[cfg(test)]
mod tests;
