//! What proves that a worker's message was written after another, or after an answer (S5a).

use super::{MessageNumber, MessageOrigin, TermExposure};
use corkfield_wire::worker::ConnectionId;
use corkfield_wire::Term;
use std::time::{Duration, Instant};

/// A worker drops an answer 4 s after it sent the heartbeat; the rest is for its clock and for the
/// time that an answer waits to be read.
pub(crate) const ANSWER_LIFETIME: Duration = Duration::from_millis(4500);

/// The newest of a worker's own heartbeats, and the connection that it came over.
#[derive(Debug, Clone, Copy)]
struct ReceivedHeartbeat {
    connection: ConnectionId,
    number: MessageNumber,
}

/// What is known of a worker's processes and exchanges.
#[derive(Debug, Default)]
pub(crate) struct OrderingTracker {
    /// The newest heartbeat that was taken, if its connection is known.
    newest_heartbeat: Option<ReceivedHeartbeat>,
    /// Which of the worker's processes may know our term.
    pub(crate) term_exposure: TermExposure,
}

/// What proves when a message was written.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MessageOrdering {
    /// It was written after the exchange of that heartbeat was over: it came over the same
    /// connection. So it is of the process that sent that heartbeat, or of a later one.
    previous_on_connection: Option<MessageNumber>,
    /// It was written after that moment, in which a direct question was sent.
    request_sent_at: Option<Instant>,
    /// It is of the only process that can know our term, or of a later one: numbers tell which of
    /// two messages is the newer one.
    is_ordered_by_number: bool,
    /// It is one of the worker's own heartbeats.
    is_own_heartbeat: bool,
}

impl OrderingTracker {
    /// What proves when a message was written that shows that term and came that way.
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

    /// A message that is not outdated was taken.
    pub(super) fn record_accepted(&mut self, origin: MessageOrigin, number: MessageNumber) {
        if let MessageOrigin::Heartbeat { connection } = origin {
            self.newest_heartbeat =
                connection.map(|connection| ReceivedHeartbeat { connection, number });
        }
    }
}

impl MessageOrdering {
    /// Whether the message was surely written after the worker took the answer to that heartbeat,
    /// which left at `answer_sent_at`, or gave it up, and by the same process or a later one.
    ///
    /// A worker has one heartbeat under way at a time, so its own next one comes after that. A
    /// direct answer may be written while the answer to a heartbeat is on its way, and proves it
    /// only once that one is no longer taken.
    pub(crate) fn is_after_answer_to(
        &self,
        answered: MessageNumber,
        answer_sent_at: Instant,
    ) -> bool {
        let asked_late =
            |request_sent_at: Instant| request_sent_at >= answer_sent_at + ANSWER_LIFETIME;
        if self.is_own_heartbeat {
            self.is_ordered_by_number
                || self.previous_on_connection.is_some_and(|previous| previous >= answered)
        } else {
            self.request_sent_at.is_some_and(asked_late)
        }
    }

    /// Whether the message was surely written after that one, which came at `received_at`, and by the
    /// same process or a later one.
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

    /// Whether the message was surely written after the exchange of the newest heartbeat was over.
    pub(crate) fn is_after_newest_answer(&self) -> bool {
        self.is_ordered_by_number || self.previous_on_connection.is_some()
    }
}
