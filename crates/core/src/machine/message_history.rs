//! Order of a worker's messages, and detection of outdated messages, which must be ignored (S10).

use corkfield_wire::worker::WorkerHeartbeat;
use corkfield_wire::{AgentEpoch, Term};

/// After this many outdated heartbeats with increasing numbers, and no accepted message between
/// them, the worker is sent a direct request. Its answer shows whether the worker has restarted its
/// numbering.
const RESTART_SUSPECTED_AFTER: u32 = 2;

/// Number of a worker's message. Later messages of a worker compare greater.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageNumber {
    /// Agent epoch in which the message was sent.
    pub agent_epoch: AgentEpoch,
    /// Number of the message in that epoch.
    pub sequence: u64,
}

impl From<&WorkerHeartbeat> for MessageNumber {
    fn from(heartbeat: &WorkerHeartbeat) -> Self {
        Self { agent_epoch: heartbeat.agent_epoch, sequence: heartbeat.sequence }
    }
}

/// Numbers and terms of the messages that a worker has sent.
#[derive(Debug, Default)]
pub(crate) struct MessageHistory {
    /// Number of the newest accepted message.
    newest: MessageNumber,
    /// Newest agent epoch that is known to have ended; all earlier epochs have ended too.
    newest_ended_epoch: AgentEpoch,
    /// Highest term that an accepted message has reported.
    highest_term: Term,
    /// Highest number of an outdated heartbeat since the last accepted message.
    newest_outdated: MessageNumber,
    /// Number of outdated heartbeats that arrived in order since the last accepted message.
    outdated_count: u32,
}

impl MessageHistory {
    /// Returns the number of the newest accepted message; zeros if none was accepted yet.
    pub(crate) fn newest(&self) -> MessageNumber {
        self.newest
    }

    /// Returns whether a message must be ignored: it is not newer than the newest accepted message
    /// (S10), or its agent epoch is known to have ended (S5).
    pub(crate) fn is_outdated(&self, number: MessageNumber) -> bool {
        number.agent_epoch <= self.newest_ended_epoch || number <= self.newest
    }

    /// Records an outdated heartbeat. If several arrive in order and no message is accepted between
    /// them, the worker may have restarted its numbering.
    pub(crate) fn record_outdated_heartbeat(&mut self, number: MessageNumber) {
        if number > self.newest_outdated {
            self.newest_outdated = number;
            self.outdated_count += 1;
        }
    }

    /// Returns whether the worker may have restarted its numbering, so that a direct request has to
    /// be sent to it.
    pub(crate) fn may_have_restarted_numbering(&self) -> bool {
        self.outdated_count >= RESTART_SUSPECTED_AFTER
    }

    /// Returns whether an earlier message has reported a term above `term`. The highest term that a
    /// worker knows never falls unless the worker has lost its state.
    pub(crate) fn has_reported_higher_term(&self, term: Term) -> bool {
        term < self.highest_term
    }

    /// Returns whether `term` is the highest term that a message has reported.
    pub(crate) fn has_reported_term(&self, term: Term) -> bool {
        self.highest_term == term
    }

    /// Records a message that is not outdated.
    pub(super) fn accept(&mut self, number: MessageNumber, term: Term) {
        self.newest = number;
        self.highest_term = term;
        self.newest_outdated = MessageNumber::default();
        self.outdated_count = 0;
    }

    /// Records that the agent epoch of the newest message has ended, because the worker's lease has
    /// expired. Further messages of that epoch are outdated.
    pub(super) fn end_agent_epoch(&mut self) {
        self.newest_ended_epoch = self.newest.agent_epoch;
    }
}
