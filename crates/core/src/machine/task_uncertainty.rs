//! Machines whose heartbeats don't prove what they hold, and have to be asked.

use super::message_ordering::ANSWER_LIFETIME;
use std::time::{Duration, Instant};

/// A doubt about what a machine holds: a heartbeat lacks a start that was sent, or tasks that were
/// shown, and nothing proves that it was written after that.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TaskUncertainty {
    /// Since when there is one.
    since: Instant,
    /// From when on an answer to a question settles it.
    inspect_from: Instant,
    /// Whether that moment has come.
    pub(crate) is_inspection_due: bool,
}

impl TaskUncertainty {
    /// A doubt about starts, the newest of which left at `start_sent_at`: the answer to a question settles
    /// it once the worker no longer takes the answer that carried the start.
    pub(crate) fn from_unconfirmed_starts(start_sent_at: Instant, now: Instant) -> Self {
        let inspect_from = start_sent_at + ANSWER_LIFETIME;
        Self { since: now, inspect_from, is_inspection_due: now >= inspect_from }
    }

    /// A doubt about tasks that were shown: the answer to a question settles it at once.
    pub(crate) fn from_missing_tasks(now: Instant) -> Self {
        Self { since: now, inspect_from: now, is_inspection_due: true }
    }

    /// Time has passed.
    pub(crate) fn update_due(&mut self, now: Instant) {
        self.is_inspection_due = self.is_inspection_due || now >= self.inspect_from;
    }

    /// Whether it has lasted for longer than that.
    pub(crate) fn is_older_than(&self, age: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.since) > age
    }

    /// The same doubt, known since when the one before began.
    pub(crate) fn keeping_start_of(self, before: Option<Self>) -> Self {
        Self { since: before.map_or(self.since, |before| before.since), ..self }
    }
}
