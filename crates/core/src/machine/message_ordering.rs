//! Proofs that a worker wrote a message after another message, or after it received an answer. Only
//! a message with such a proof shows that a task which it lacks is not on the machine (S5a).

use super::{MessageNumber, MessageOrigin, TermExposure};
use corkfield_wire::worker::ConnectionId;
use corkfield_wire::Term;
use std::time::{Duration, Instant};

/// Time after which a worker no longer accepts an answer. A worker drops answers that arrive more
/// than 4 s after it sent the heartbeat. The additional time allows for the error of the worker's
/// clock and for the time that an answer waits to be read.
pub(crate) const ANSWER_LIFETIME: Duration = Duration::from_millis(4500);

/// A heartbeat that was accepted, with the connection over which it arrived.
#[derive(Debug, Clone, Copy)]
struct ReceivedHeartbeat {
    connection: ConnectionId,
    number: MessageNumber,
}

/// State that is kept per machine to order the messages of its worker.
#[derive(Debug, Default)]
pub(crate) struct OrderingTracker {
    /// Newest accepted heartbeat, if its connection is known.
    newest_heartbeat: Option<ReceivedHeartbeat>,
    /// How many processes of the worker may know our term.
    pub(crate) term_exposure: TermExposure,
}

/// What is proved about the time at which a message was written.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MessageOrdering {
    /// Number of the previous heartbeat on the same connection. The worker wrote the message after
    /// it had received the answer to that heartbeat, or had stopped waiting for it. So the message
    /// comes from the process that sent that heartbeat, or from a later one.
    previous_on_connection: Option<MessageNumber>,
    /// When the direct request that the message answers was sent: the message was written later.
    request_sent_at: Option<Instant>,
    /// Whether the numbers of two messages tell which one was written later. This holds if the
    /// message comes from the only process that can know our term, or from a later one.
    is_ordered_by_number: bool,
    /// Whether the message is a heartbeat that the worker sent by itself.
    is_own_heartbeat: bool,
}

impl OrderingTracker {
    /// Returns what is proved about the time at which a message was written. The message arrived
    /// as `origin` says and reports `reported_term`.
    pub(crate) fn order_message(
        &self,
        origin: MessageOrigin,
        reported_term: Term,
        our_term: Term,
    ) -> MessageOrdering {
        let (connection, request_sent_at) = match origin {
            MessageOrigin::Heartbeat { connection } => (connection, None),
            MessageOrigin::DirectAnswer { request_sent_at } => (None, request_sent_at),
        };
        let previous =
            self.newest_heartbeat.filter(|previous| Some(previous.connection) == connection);
        MessageOrdering {
            previous_on_connection: previous.map(|previous| previous.number),
            request_sent_at,
            is_ordered_by_number: reported_term == our_term
                && self.term_exposure.is_known_to_one_process(our_term),
            is_own_heartbeat: origin.is_own_heartbeat(),
        }
    }

    /// Records that a message was accepted.
    pub(super) fn record_accepted(&mut self, origin: MessageOrigin, number: MessageNumber) {
        if let MessageOrigin::Heartbeat { connection } = origin {
            self.newest_heartbeat =
                connection.map(|connection| ReceivedHeartbeat { connection, number });
        }
    }
}

impl MessageOrdering {
    /// Returns whether the message was provably written by the same process or a later one, after
    /// the worker had received the answer to the heartbeat `answered` or had stopped waiting for
    /// it. The answer was sent at `answer_sent_at`.
    ///
    /// A worker has at most one heartbeat in flight, so its next heartbeat always follows the
    /// answer. It may write a direct answer while the answer to a heartbeat is still in flight. So
    /// a direct answer is proof only if the worker would already drop the answer to the heartbeat.
    pub(crate) fn is_after_answer_to(
        &self,
        answered: MessageNumber,
        answer_sent_at: Instant,
    ) -> bool {
        let is_sent_late_enough =
            |request_sent_at: Instant| request_sent_at >= answer_sent_at + ANSWER_LIFETIME;
        if self.is_own_heartbeat {
            self.is_ordered_by_number
                || self.previous_on_connection.is_some_and(|previous| previous >= answered)
        } else {
            self.request_sent_at.is_some_and(is_sent_late_enough)
        }
    }

    /// Returns whether the message was provably written by the same process or a later one, after
    /// the message `newest`, which arrived at `received_at`.
    pub(crate) fn is_after_message(
        &self,
        newest: MessageNumber,
        received_at: Option<Instant>,
    ) -> bool {
        self.is_ordered_by_number
            || self.previous_on_connection.is_some_and(|previous| previous >= newest)
            || self.request_sent_at.is_some_and(|request_sent_at| {
                received_at.is_none_or(|received_at| request_sent_at >= received_at)
            })
    }

    /// Returns whether the message was provably written after the worker had received the answer
    /// to its newest known heartbeat, or had stopped waiting for it.
    pub(crate) fn is_after_newest_answer(&self) -> bool {
        self.is_ordered_by_number || self.previous_on_connection.is_some()
    }
}
