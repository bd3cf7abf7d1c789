//! How a worker's message came, which says when it was written.

use super::MessageNumber;
use corkfield_wire::worker::ConnectionId;
use std::time::Instant;

/// How a worker's message came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageOrigin {
    /// It is one of the worker's own heartbeats.
    Heartbeat {
        /// The connection that it came over, if that is known. The worker sends its next heartbeat
        /// over the same one only once it has the answer to the one before.
        connection: Option<ConnectionId>,
    },
    /// It answers a direct question or direct orders.
    DirectAnswer {
        /// When these were sent, if that is newest_known: the answer was written after that.
        request_sent_at: Option<Instant>,
    },
}

impl MessageOrigin {
    /// Whether it is one of the worker's own heartbeats.
    pub(crate) fn is_own_heartbeat(self) -> bool {
        matches!(self, Self::Heartbeat { .. })
    }
}

/// True for one of the worker's own heartbeats, false for an answer to direct orders, with nothing
/// known of when it was written.
impl From<bool> for MessageOrigin {
    fn from(own_heartbeat: bool) -> Self {
        if own_heartbeat {
            Self::Heartbeat { connection: None }
        } else {
            Self::DirectAnswer { request_sent_at: None }
        }
    }
}

/// Direct orders, or a question, on their way to a worker.
#[derive(Debug, Clone, Copy)]
pub struct PendingDirectRequest {
    /// The newest message known of the worker when they were sent.
    pub(crate) newest_known: MessageNumber,
    /// When they were sent, if that is known.
    pub(crate) sent_at: Option<Instant>,
    /// Whether another process than the known one may learn our term from them: orders carry it, a
    /// question does not.
    pub(crate) may_expose_term: bool,
}

/// Direct orders of which only the newest message known before is known.
impl From<MessageNumber> for PendingDirectRequest {
    fn from(newest_known: MessageNumber) -> Self {
        Self { newest_known, sent_at: None, may_expose_term: true }
    }
}
