//! Responses of the server, and their encoding.

use std::fmt::Write as _;

/// A response to a request.
#[derive(Debug, Clone)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// JSON body.
    pub body: Vec<u8>,
    /// Value of the `Retry-After` header, in seconds.
    pub retry_after_s: Option<u64>,
}

impl Response {
    /// Creates a response without a `Retry-After` header.
    pub fn new(status: u16, body: Vec<u8>) -> Self {
        Self { status, body, retry_after_s: None }
    }

    /// Encodes the response as an HTTP message, with the header `Connection: close` if `must_close`
    /// is set.
    pub(super) fn encode(&self, must_close: bool) -> Vec<u8> {
        let mut head = format!(
            "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
            self.status,
            reason_phrase(self.status),
            self.body.len()
        );
        if let Some(seconds) = self.retry_after_s {
            let _ = write!(head, "Retry-After: {seconds}\r\n");
        }
        if must_close {
            head.push_str("Connection: close\r\n");
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

fn reason_phrase(status: u16) -> &'static str {
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
