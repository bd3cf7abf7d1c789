//! Requests, and reading them off a connection.

use crate::message::{self, Framing, ParsedHead, ReadError, MAX_HEADERS};
use crate::net::Stream;
use tokio::io::AsyncWriteExt;

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A whole request.
#[derive(Debug, Clone)]
pub struct Request {
    /// Its method, in capitals.
    pub method: String,
    /// Path and query as they came.
    pub target: String,
    /// Its body.
    pub body: Vec<u8>,
    /// The number of the connection that it came over, among those that the server has accepted.
    /// Requests of one connection are served one after the other.
    pub connection: u64,
}

impl Request {
    /// The target without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }
}

/// A request as it came over a connection.
pub(super) struct ReceivedRequest {
    pub request: Request,
    /// The client asks for the connection to be closed after the response.
    pub close: bool,
}

struct RequestHead {
    method: String,
    target: String,
    framing: Framing,
}

/// Takes a request off the front of `buffer`, reading what is missing from the connection with
/// that number. Its body may have up to `max_body` bytes.
pub(super) async fn read_request(
    stream: &mut Stream,
    buffer: &mut Vec<u8>,
    max_body: usize,
    connection: u64,
) -> Result<ReceivedRequest, ReadError> {
    let RequestHead { method, target, framing } =
        message::read_head(stream, buffer, parse_head).await?;
    if framing.expects_continue {
        stream.write_all(CONTINUE).await?;
    }
    // A request without a length has no body.
    let framing = Framing { length: framing.length.or(Some(0)), ..framing };
    let body = message::read_body(stream, buffer, framing, max_body).await?;
    let request = Request { method, target, body, connection };
    Ok(ReceivedRequest { request, close: framing.close })
}

/// The head at the front of `bytes`; none while it is incomplete.
fn parse_head(bytes: &[u8]) -> Result<Option<ParsedHead<RequestHead>>, ReadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => {
            let framing = message::framing(parsed.headers)?;
            let method = parsed.method.unwrap_or("").to_owned();
            let target = parsed.path.unwrap_or("").to_owned();
            Ok(Some(ParsedHead { head: RequestHead { method, target, framing }, length }))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(ReadError::HeadTooLarge),
        Err(_) => Err(ReadError::Malformed),
    }
}
