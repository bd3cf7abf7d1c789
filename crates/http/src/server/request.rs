//! Requests, and reading them from a connection.

use crate::message::{self, Framing, ParsedHead, ReadError, MAX_HEADERS};
use crate::net::Stream;
use tokio::io::AsyncWriteExt;

/// Informational response to a request with `Expect: 100-continue`.
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A complete request.
#[derive(Debug, Clone)]
pub struct Request {
    /// HTTP method, for example `GET`.
    pub method: String,
    /// Request target as received: the path and the query.
    pub target: String,
    /// Body, without its transfer encoding.
    pub body: Vec<u8>,
    /// Ordinal number of the request's connection among all that the server has accepted.
    /// The requests of one connection are served one at a time, in order.
    pub connection: u64,
}

impl Request {
    /// Returns the target without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }
}

/// A request read from a connection.
pub(super) struct ReceivedRequest {
    pub request: Request,
    /// Whether the client asks for the connection to be closed after the response.
    pub is_close_requested: bool,
}

struct RequestHead {
    method: String,
    target: String,
    framing: Framing,
}

/// Removes a request from the start of `buffer` and returns it, reading from `stream` until the
/// request is complete. The body may have up to `max_body` bytes; `connection` is the ordinal
/// number of the connection.
pub(super) async fn read_request(
    stream: &mut Stream,
    buffer: &mut Vec<u8>,
    max_body: usize,
    connection: u64,
) -> Result<ReceivedRequest, ReadError> {
    let RequestHead { method, target, framing } =
        message::read_head(stream, buffer, parse_request_head).await?;
    if framing.has_expect_continue {
        stream.write_all(CONTINUE_RESPONSE).await?;
    }
    // A request without `Content-Length` and transfer encoding has no body.
    let content_length = framing.content_length.or(Some(0));
    let framing = Framing { content_length, ..framing };
    let body = message::read_body(stream, buffer, framing, max_body).await?;
    let request = Request { method, target, body, connection };
    Ok(ReceivedRequest { request, is_close_requested: framing.has_connection_close })
}

/// Parses the request head at the start of `bytes`. Returns `None` if the head is incomplete.
fn parse_request_head(bytes: &[u8]) -> Result<Option<ParsedHead<RequestHead>>, ReadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => {
            let framing = message::parse_framing(parsed.headers)?;
            let method = parsed.method.unwrap_or("").to_owned();
            let target = parsed.path.unwrap_or("").to_owned();
            Ok(Some(ParsedHead { head: RequestHead { method, target, framing }, length }))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(ReadError::HeadTooLarge),
        Err(_) => Err(ReadError::Malformed),
    }
}
