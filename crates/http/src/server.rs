//! The server: one task per connection, one request at a time on each.

use crate::message::{self, ReadError, MAX_HEAD, MAX_HEADERS};
use crate::net::{Listener, Stream};
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::timeout;

#[derive(Debug, Clone)]
pub struct Limits {
    pub connections: usize,
    /// So many of them may be of clients that ask for other paths than [`Self::kept_for`].
    pub others: usize,
    /// The path for whose clients the rest is kept.
    pub kept_for: &'static str,
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

#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    /// Path and query as they came.
    pub target: String,
    pub body: Vec<u8>,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }
}

#[derive(Debug, Clone)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
    /// Seconds after which the client should come back.
    pub retry_after: Option<u64>,
}

impl Response {
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
mod tests {
    use super::*;
    use crate::net::{Network, Tcp};
    use tokio::io::AsyncReadExt;
    use tokio::net::TcpListener;

    async fn exchange(bytes: &[u8]) -> String {
        exchange_with(Limits::default(), bytes).await
    }

    async fn exchange_with(limits: Limits, bytes: &[u8]) -> String {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let listener: Box<dyn Listener> = Box::new(listener);
        let handler = |r: Request| async move {
            Response::new(200, format!("{} {} {}", r.method, r.path(), r.body.len()).into_bytes())
        };
        tokio::task::spawn_local(serve(listener, limits, Rc::new(handler)));
        let mut stream = Tcp.connect(addr).await.unwrap();
        stream.write_all(bytes).await.unwrap();
        stream.shutdown().await.unwrap();
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer).await;
        answer
    }

    fn run<T>(future: impl Future<Output = T>) -> T {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        tokio::task::LocalSet::new().block_on(&runtime, future)
    }

    #[test]
    fn requests_are_answered_in_turn_and_chunks_are_joined() {
        run(async {
            let two = b"GET /a?x=1 HTTP/1.1\r\n\r\nPOST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
            let answer = exchange(two).await;
            assert!(answer.contains("GET /a 0") && answer.contains("POST /b 3"), "{answer}");
        });
    }

    #[test]
    fn bad_and_oversized_requests_get_400_and_a_closed_connection() {
        run(async {
            let long = format!("GET / HTTP/1.1\r\nX: {}\r\n\r\n", "y".repeat(20_000));
            let big = b"POST / HTTP/1.1\r\nContent-Length: 70000\r\n\r\n".to_vec();
            let twice =
                b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab".to_vec();
            for bytes in [b"\x00\x01\x02\r\n\r\n".to_vec(), long.into_bytes(), big, twice] {
                let answer = exchange(&bytes).await;
                assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 400"), "{answer}");
            }
            assert_eq!(exchange(b"GET / HT").await, "", "half a request is never answered");
        });
    }

    #[test]
    fn connections_beyond_the_others_share_are_refused_and_those_kept_are_not() {
        run(async {
            let limits = Limits { others: 0, kept_for: "/kept", ..Limits::default() };
            let kept = b"GET /kept HTTP/1.1\r\nConnection: close\r\n\r\n";
            assert!(exchange_with(limits.clone(), kept).await.starts_with("HTTP/1.1 200"));
            let other = exchange_with(limits, b"GET /other HTTP/1.1\r\n\r\n").await;
            assert!(other.starts_with("HTTP/1.1 503"), "{other}");
            assert!(other.contains("Retry-After: 1") && other.contains("Connection: close"));
        });
    }
}
