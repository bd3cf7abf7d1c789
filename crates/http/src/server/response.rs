//! Responses, and how they are written.

use std::fmt::Write as _;

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

    /// The whole message; with `close` it says that the connection ends after it.
    pub(super) fn encode(&self, close: bool) -> Vec<u8> {
        let mut head = format!(
            "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
            self.status,
            reason_phrase(self.status),
            self.body.len()
        );
        if let Some(seconds) = self.retry_after {
            let _ = write!(head, "Retry-After: {seconds}\r\n");
        }
        if close {
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
