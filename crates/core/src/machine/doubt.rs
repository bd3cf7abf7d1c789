//! Machines whose heartbeats don't prove what they hold, and have to be asked.

use super::evidence::ANSWER_LIFETIME;
use std::time::{Duration, Instant};

/// A doubt about what a machine holds: a heartbeat lacks a start that was sent, or tasks that were
/// shown, and nothing proves that it was written after that.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Doubt {
    /// Since when there is one.
    since: Instant,
    /// From when on an answer to a question settles it.
    ask_from: Instant,
    /// Whether that moment has come.
    pub(crate) is_due: bool,
}

impl Doubt {
    /// A doubt about starts, the newest of which left at `left_at`: the answer to a question settles
    /// it once the worker no longer takes the answer that carried the start.
    pub(crate) fn of_starts(left_at: Instant, now: Instant) -> Self {
        let ask_from = left_at + ANSWER_LIFETIME;
        Self { since: now, ask_from, is_due: now >= ask_from }
    }

    /// A doubt about tasks that were shown: the answer to a question settles it at once.
    pub(crate) fn of_shown_tasks(now: Instant) -> Self {
        Self { since: now, ask_from: now, is_due: true }
    }

    /// Time has passed.
    pub(crate) fn tick(&mut self, now: Instant) {
        self.is_due = self.is_due || now >= self.ask_from;
    }

    /// Whether it has lasted for longer than that.
    pub(crate) fn is_older_than(&self, age: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.since) > age
    }

    /// The same doubt, known since when the one before began.
    pub(crate) fn continuing(self, before: Option<Self>) -> Self {
        Self { since: before.map_or(self.since, |before| before.since), ..self }
    }
}
