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
pub(crate) struct Exchanges {
    /// The newest heartbeat that was taken, if its connection is known.
    newest_heartbeat: Option<ReceivedHeartbeat>,
    /// Which of the worker's processes may know our term.
    pub(crate) exposure: TermExposure,
}

/// What proves when a message was written.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Evidence {
    /// It was written after the exchange of that heartbeat was over: it came over the same
    /// connection. So it is of the process that sent that heartbeat, or of a later one.
    after_exchange: Option<MessageNumber>,
    /// It was written after that moment, in which a direct question was sent.
    asked_at: Option<Instant>,
    /// It is of the only process that can know our term, or of a later one: numbers tell which of
    /// two messages is the newer one.
    numbers_tell: bool,
    /// It is one of the worker's own heartbeats.
    is_own_heartbeat: bool,
}

impl Exchanges {
    /// What proves when a message was written that shows that term and came that way.
    pub(crate) fn evidence(&self, origin: MessageOrigin, shown: Term, ours: Term) -> Evidence {
        let (connection, asked_at) = match origin {
            MessageOrigin::Heartbeat { connection } => (connection, None),
            MessageOrigin::DirectAnswer { asked_at } => (None, asked_at),
        };
        let before = self.newest_heartbeat.filter(|before| Some(before.connection) == connection);
        Evidence {
            after_exchange: before.map(|before| before.number),
            asked_at,
            numbers_tell: shown == ours && self.exposure.is_single(ours),
            is_own_heartbeat: origin.is_own_heartbeat(),
        }
    }

    /// A message that is not outdated was taken.
    pub(super) fn note_taken(&mut self, origin: MessageOrigin, number: MessageNumber) {
        if let MessageOrigin::Heartbeat { connection } = origin {
            self.newest_heartbeat =
                connection.map(|connection| ReceivedHeartbeat { connection, number });
        }
    }
}

impl Evidence {
    /// Whether the message was surely written after the worker took the answer to that heartbeat,
    /// which left at `left_at`, or gave it up, and by the same process or a later one.
    ///
    /// A worker has one heartbeat under way at a time, so its own next one comes after that. A
    /// direct answer may be written while the answer to a heartbeat is on its way, and proves it
    /// only once that one is no longer taken.
    pub(crate) fn is_after_answer_to(&self, answered: MessageNumber, left_at: Instant) -> bool {
        let asked_late = |asked_at: Instant| asked_at >= left_at + ANSWER_LIFETIME;
        if self.is_own_heartbeat {
            self.numbers_tell || self.after_exchange.is_some_and(|over| over >= answered)
        } else {
            self.asked_at.is_some_and(asked_late)
        }
    }

    /// Whether the message was surely written after that one, which came at `came_at`, and by the
    /// same process or a later one.
    pub(crate) fn is_after_message(&self, newest: MessageNumber, came_at: Option<Instant>) -> bool {
        self.numbers_tell
            || self.after_exchange.is_some_and(|over| over >= newest)
            || self.asked_at.is_some_and(|asked_at| came_at.is_none_or(|came| asked_at >= came))
    }

    /// Whether the message was surely written after the exchange of the newest heartbeat was over.
    pub(crate) fn is_after_newest_exchange(&self) -> bool {
        self.numbers_tell || self.after_exchange.is_some()
    }
}
