//! The way in which a worker's message reached the controller. It shows after which other messages
//! the message was written.

use super::MessageNumber;
use corkfield_wire::worker::ConnectionId;
use std::time::Instant;

/// The way in which a worker's message reached the controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageOrigin {
    /// A heartbeat that the worker sent by itself.
    Heartbeat {
        /// Connection over which the heartbeat arrived, if known. The worker sends the next
        /// heartbeat over the same connection only after it has received the answer to the previous
        /// one or has stopped waiting for it.
        connection: Option<ConnectionId>,
    },
    /// An answer to a direct request: direct orders or an inspection.
    DirectAnswer {
        /// When the request was sent, if known. The answer was written later.
        request_sent_at: Option<Instant>,
    },
}

impl MessageOrigin {
    /// Returns whether the message is a heartbeat that the worker sent by itself.
    pub(crate) fn is_own_heartbeat(self) -> bool {
        matches!(self, Self::Heartbeat { .. })
    }
}

/// Converts true to a heartbeat over an unknown connection, and false to an answer to a direct
/// request that was sent at an unknown time.
impl From<bool> for MessageOrigin {
    fn from(is_own_heartbeat: bool) -> Self {
        if is_own_heartbeat {
            Self::Heartbeat { connection: None }
        } else {
            Self::DirectAnswer { request_sent_at: None }
        }
    }
}

/// A direct request to a worker, either direct orders or an inspection, that awaits its answer.
#[derive(Debug, Clone, Copy)]
pub struct PendingDirectRequest {
    /// Number of the worker's newest known message when the request was sent.
    pub(crate) newest_known: MessageNumber,
    /// When the request was sent, if known.
    pub(crate) sent_at: Option<Instant>,
    /// Whether the request may tell our term to another process than the known one: direct orders
    /// carry the term, an inspection does not.
    pub(crate) may_expose_term: bool,
}

/// Creates a request with direct orders that was sent at an unknown time.
impl From<MessageNumber> for PendingDirectRequest {
    fn from(newest_known: MessageNumber) -> Self {
        Self { newest_known, sent_at: None, may_expose_term: true }
    }
}
