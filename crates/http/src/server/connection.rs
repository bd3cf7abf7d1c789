//! One connection of a server, which reads and answers its requests one at a time.

use super::connections::ConnectionSlot;
use super::request::{read_request, ReceivedRequest};
use super::{Request, Response};
use crate::message::{self, ReadError};
use crate::net::Stream;
use std::future::Future;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::timeout;

/// Capacity in bytes above which the read buffer is shrunk after a request.
const MAX_IDLE_BUFFER: usize = 16 * 1024;
/// Capacity in bytes to which an oversized read buffer is shrunk.
const SHRUNK_BUFFER: usize = 4 * 1024;
/// Value of `Retry-After` in the response to a client whose connection is refused, in seconds.
const REFUSED_RETRY_AFTER_S: u64 = 1;

/// A response to write, and whether the connection is closed after it.
struct OutgoingResponse {
    response: Response,
    must_close: bool,
}

/// An open connection to a client.
pub(super) struct Connection {
    slot: ConnectionSlot,
    stream: Stream,
    /// Bytes that were received and are not yet consumed by a request.
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: Stream, slot: ConnectionSlot) -> Self {
        Self { slot, stream, buffer: Vec::new() }
    }

    /// Serves requests until the client closes the connection, the connection fails, or the server
    /// closes it because of a malformed request or one of its [`Limits`](super::Limits).
    pub async fn serve<H, F>(mut self, handler: &H) -> Result<(), ReadError>
    where
        H: Fn(Request) -> F,
        F: Future<Output = Response>,
    {
        let mut idle_timeout = self.slot.limits().first_request_timeout;
        while self.wait_for_bytes(idle_timeout).await? {
            let Some(outgoing) = self.handle_next_request(handler).await else {
                return Ok(());
            };
            idle_timeout = self.slot.idle_timeout();
            if !self.write(&outgoing).await? {
                return Ok(());
            }
            if outgoing.must_close {
                let _ = self.stream.shutdown().await;
                return Ok(());
            }
            if self.buffer.capacity() > MAX_IDLE_BUFFER {
                self.buffer.shrink_to(SHRUNK_BUFFER);
            }
        }
        Ok(())
    }

    /// Waits for the first bytes of a request; returns false if none arrive within `time_limit`.
    async fn wait_for_bytes(&mut self, time_limit: Duration) -> Result<bool, ReadError> {
        if !self.buffer.is_empty() {
            return Ok(true);
        }
        match timeout(time_limit, message::read_more(&mut self.stream, &mut self.buffer)).await {
            Ok(read) => read.map(|()| true),
            Err(_) => Ok(false),
        }
    }

    /// Reads a request, passes it to the handler and returns the response. Returns `None` if the
    /// request is not received completely, because of a timeout or because the connection ends.
    async fn handle_next_request<H, F>(&mut self, handler: &H) -> Option<OutgoingResponse>
    where
        H: Fn(Request) -> F,
        F: Future<Output = Response>,
    {
        let limits = self.slot.limits();
        let number = self.slot.number();
        let reading = read_request(&mut self.stream, &mut self.buffer, limits.max_body, number);
        match timeout(limits.request_timeout, reading).await {
            Ok(Ok(ReceivedRequest { request, is_close_requested })) => {
                if !self.slot.try_admit(&request) {
                    return Some(too_many_connections());
                }
                let response = handler(request).await;
                // Checked after the handler: the number of connections may have changed meanwhile.
                let must_close = is_close_requested || self.slot.must_close();
                Some(OutgoingResponse { response, must_close })
            }
            Ok(Err(ReadError::Closed | ReadError::Io(_))) | Err(_) => None,
            Ok(Err(error)) => Some(bad_request(&error)),
        }
    }

    /// Writes the response; returns false if the client does not accept it in time.
    async fn write(&mut self, outgoing: &OutgoingResponse) -> Result<bool, ReadError> {
        let bytes = outgoing.response.encode(outgoing.must_close);
        match timeout(self.slot.limits().write_timeout, self.stream.write_all(&bytes)).await {
            Ok(written) => Ok(written.map(|()| true)?),
            Err(_) => Ok(false),
        }
    }
}

fn too_many_connections() -> OutgoingResponse {
    let body = b"{\"error\":\"too many connections\"}".to_vec();
    let retry_after_s = Some(REFUSED_RETRY_AFTER_S);
    let response = Response { retry_after_s, ..Response::new(503, body) };
    OutgoingResponse { response, must_close: true }
}

/// Returns the response to a malformed request. The connection is closed after the response,
/// because the start of the next request can't be determined.
fn bad_request(error: &ReadError) -> OutgoingResponse {
    let body = format!("{{\"error\":\"{error}\"}}").into_bytes();
    OutgoingResponse { response: Response::new(400, body), must_close: true }
}
