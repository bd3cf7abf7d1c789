//! One connection of a server: requests are read, answered and read on, one at a time.

use super::connections::ConnectionSlot;
use super::request::{read_request, ReceivedRequest};
use super::{Request, Response};
use crate::message::{self, ReadError};
use crate::net::Stream;
use std::future::Future;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::timeout;

/// A buffer that has grown beyond this many bytes is shrunk after its request.
const LARGE_BUFFER: usize = 16 * 1024;
/// The size in bytes that it is shrunk to.
const SHRUNK_BUFFER: usize = 4 * 1024;
/// Seconds after which a client that was refused a connection should come back.
const REFUSED_RETRY_AFTER_S: u64 = 1;

/// A response, and whether it is the connection's last.
struct Answer {
    response: Response,
    close: bool,
}

/// A client's connection.
pub(super) struct Connection {
    slot: ConnectionSlot,
    stream: Stream,
    /// What was read and is not yet taken as part of a request.
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: Stream, slot: ConnectionSlot) -> Self {
        Self { slot, stream, buffer: Vec::new() }
    }

    /// Answers requests until the client or a limit ends the connection.
    pub async fn serve<H, F>(mut self, handler: &H) -> Result<(), ReadError>
    where
        H: Fn(Request) -> F,
        F: Future<Output = Response>,
    {
        let mut idle_timeout = self.slot.limits().first_request_timeout;
        while self.wait_for_bytes(idle_timeout).await? {
            let Some(answer) = self.next_answer(handler).await else {
                return Ok(());
            };
            idle_timeout = self.slot.idle_timeout();
            if !self.write(&answer).await? {
                return Ok(());
            }
            if answer.close {
                let _ = self.stream.shutdown().await;
                return Ok(());
            }
            if self.buffer.capacity() > LARGE_BUFFER {
                self.buffer.shrink_to(SHRUNK_BUFFER);
            }
        }
        Ok(())
    }

    /// Waits for the first bytes of a request; false if none came in time.
    async fn wait_for_bytes(&mut self, limit: Duration) -> Result<bool, ReadError> {
        if !self.buffer.is_empty() {
            return Ok(true);
        }
        match timeout(limit, message::fill(&mut self.stream, &mut self.buffer)).await {
            Ok(filled) => filled.map(|()| true),
            Err(_) => Ok(false),
        }
    }

    /// Reads a request and has it answered; none if it never came in whole.
    async fn next_answer<H, F>(&mut self, handler: &H) -> Option<Answer>
    where
        H: Fn(Request) -> F,
        F: Future<Output = Response>,
    {
        let limits = self.slot.limits();
        let number = self.slot.number();
        let reading = read_request(&mut self.stream, &mut self.buffer, limits.max_body, number);
        match timeout(limits.request_timeout, reading).await {
            Ok(Ok(ReceivedRequest { request, close })) => {
                if !self.slot.admits(&request) {
                    return Some(too_many_connections());
                }
                let response = handler(request).await;
                // Asked only now: others may have come or gone meanwhile.
                Some(Answer { response, close: close || self.slot.must_close() })
            }
            Ok(Err(ReadError::Closed | ReadError::Io(_))) | Err(_) => None,
            Ok(Err(error)) => Some(bad_request(&error)),
        }
    }

    /// Sends the answer; false if the client didn't take it in time.
    async fn write(&mut self, answer: &Answer) -> Result<bool, ReadError> {
        let bytes = answer.response.encode(answer.close);
        match timeout(self.slot.limits().write_timeout, self.stream.write_all(&bytes)).await {
            Ok(written) => Ok(written.map(|()| true)?),
            Err(_) => Ok(false),
        }
    }
}

fn too_many_connections() -> Answer {
    let body = b"{\"error\":\"too many connections\"}".to_vec();
    let retry_after = Some(REFUSED_RETRY_AFTER_S);
    Answer { response: Response { retry_after, ..Response::new(503, body) }, close: true }
}

/// What follows a malformed request on its connection can't be told apart, so it is closed.
fn bad_request(error: &ReadError) -> Answer {
    let body = format!("{{\"error\":\"{error}\"}}").into_bytes();
    Answer { response: Response::new(400, body), close: true }
}
