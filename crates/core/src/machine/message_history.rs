//! The order of a worker's messages, and which of them are outdated (S10).

use corkfield_wire::worker::WorkerHeartbeat;
use corkfield_wire::{AgentEpoch, Term};

/// So many heartbeats with low numbers, each above the one before, and no others, are a reason
/// to ask the worker whether it has restarted its numbering.
const OUTDATED_HEARTBEATS: u32 = 2;

/// The number of a worker's message: later messages of a worker compare greater.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageNumber {
    /// The agent epoch in which it was sent.
    pub agent_epoch: AgentEpoch,
    /// Its number in that epoch.
    pub sequence: u64,
}

impl From<&WorkerHeartbeat> for MessageNumber {
    fn from(heartbeat: &WorkerHeartbeat) -> Self {
        Self { agent_epoch: heartbeat.agent_epoch, sequence: heartbeat.sequence }
    }
}

/// What a worker's messages have shown so far.
#[derive(Debug, Default)]
pub(crate) struct MessageHistory {
    /// The newest message that was accepted.
    newest: MessageNumber,
    /// Agent epochs up to this one are known to have ended.
    ended_agent_epochs: AgentEpoch,
    /// The highest term that the messages have shown.
    highest_term: Term,
    /// The newest heartbeat of those that were outdated since the last accepted message.
    newest_outdated: MessageNumber,
    /// How many outdated heartbeats came in order since the last accepted message.
    outdated_count: u32,
}

impl MessageHistory {
    /// The newest message that was accepted; zeros if there was none.
    pub(crate) fn newest(&self) -> MessageNumber {
        self.newest
    }

    /// Whether a message is older than what is known, or of an agent epoch that has ended: older
    /// ones never count (S10), nor do those of agent epochs that are known to have ended (S5).
    pub(crate) fn is_outdated(&self, number: MessageNumber) -> bool {
        number.agent_epoch <= self.ended_agent_epochs || number <= self.newest
    }

    /// An outdated heartbeat came. If they go on coming, and only they, the worker may have
    /// restarted its numbering.
    pub(crate) fn record_outdated_heartbeat(&mut self, number: MessageNumber) {
        if number > self.newest_outdated {
            self.newest_outdated = number;
            self.outdated_count += 1;
        }
    }

    /// Whether the worker has to be asked if it has restarted its numbering.
    pub(crate) fn may_have_restarted_numbering(&self) -> bool {
        self.outdated_count >= OUTDATED_HEARTBEATS
    }

    /// Whether a message shows a lower term than an earlier one. The highest term that a worker
    /// has seen never falls, unless the worker has lost its state.
    pub(crate) fn has_reported_higher_term(&self, term: Term) -> bool {
        term < self.highest_term
    }

    /// Whether a message has shown that term.
    pub(crate) fn has_reported_term(&self, term: Term) -> bool {
        self.highest_term == term
    }

    /// Takes a message that is not outdated.
    pub(super) fn accept(&mut self, number: MessageNumber, term: Term) {
        self.newest = number;
        self.highest_term = term;
        self.newest_outdated = MessageNumber::default();
        self.outdated_count = 0;
    }

    /// The worker's lease has expired, and its agent epoch with it.
    pub(super) fn end_agent_epoch(&mut self) {
        self.ended_agent_epochs = self.newest.agent_epoch;
    }
}
