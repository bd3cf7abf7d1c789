//! Machines that must be inspected, because their heartbeats don't prove which tasks they hold.

use super::message_ordering::ANSWER_LIFETIME;
use std::time::{Duration, Instant};

/// Uncertainty about the tasks on a machine: a heartbeat lacks a start that was sent, or a task
/// that an earlier message reported, and nothing proves that the heartbeat was written later.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TaskUncertainty {
    /// When the uncertainty began.
    since: Instant,
    /// Earliest time at which an inspection can end the uncertainty.
    inspect_from: Instant,
    /// Whether `inspect_from` has been reached.
    pub(crate) is_inspection_due: bool,
}

impl TaskUncertainty {
    /// Creates an uncertainty about unconfirmed starts, the newest of which was sent at
    /// `start_sent_at`. An inspection ends it only once the worker would drop the answer that
    /// carried this start.
    pub(crate) fn from_unconfirmed_starts(start_sent_at: Instant, now: Instant) -> Self {
        let inspect_from = start_sent_at + ANSWER_LIFETIME;
        Self { since: now, inspect_from, is_inspection_due: now >= inspect_from }
    }

    /// Creates an uncertainty about tasks that an earlier message reported and a later one lacks.
    /// An inspection ends it at any time.
    pub(crate) fn from_absent_tasks(now: Instant) -> Self {
        Self { since: now, inspect_from: now, is_inspection_due: true }
    }

    /// Updates whether an inspection is due at `now`.
    pub(crate) fn update_inspection_due(&mut self, now: Instant) {
        self.is_inspection_due = self.is_inspection_due || now >= self.inspect_from;
    }

    /// Returns whether the uncertainty has lasted longer than `age` at `now`.
    pub(crate) fn is_older_than(&self, age: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.since) > age
    }

    /// Returns this uncertainty with the beginning of the previous one, if there was one.
    pub(crate) fn keeping_start_of(self, previous: Option<Self>) -> Self {
        Self { since: previous.map_or(self.since, |previous| previous.since), ..self }
    }
}
