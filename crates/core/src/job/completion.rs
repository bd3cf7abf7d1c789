//! Which tasks of a job are finished, and which of them are stored.

use corkfield_wire::records::CHUNK_TASKS;
use corkfield_wire::TaskSet;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Between two writes of a job for which nobody waits.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(700);

/// Finished tasks of a job, and the writes that store them (S9).
#[derive(Debug)]
pub(super) struct Completion {
    /// Everything reported as done, stored or not.
    finished: TaskSet,
    /// Reported as done but not yet stored.
    unstored: BTreeSet<u32>,
    /// A write is under way.
    committing: bool,
    /// When the newest one was begun.
    last_commit_at: Option<Instant>,
}

impl Completion {
    /// A job with these tasks finished and stored.
    pub(super) fn new(finished: TaskSet) -> Self {
        Self { finished, unstored: BTreeSet::new(), committing: false, last_commit_at: None }
    }

    /// Tasks reported as done, stored or not.
    pub(super) fn finished(&self) -> &TaskSet {
        &self.finished
    }

    /// Tasks reported as done but not yet stored.
    pub(super) fn unstored(&self) -> &BTreeSet<u32> {
        &self.unstored
    }

    /// Whether the key-value store holds that the task is done.
    pub(super) fn is_stored(&self, index: u32) -> bool {
        self.finished.contains(index) && !self.unstored.contains(&index)
    }

    /// Finished numbers of a chunk.
    pub(super) fn finished_in_chunk(&self, chunk: u32) -> TaskSet {
        self.finished.slice(chunk * CHUNK_TASKS, (chunk + 1) * CHUNK_TASKS)
    }

    /// A task was reported as done; true if that was not known.
    pub(super) fn mark_finished(&mut self, index: u32) -> bool {
        let is_new = self.finished.insert(index);
        if is_new {
            self.unstored.insert(index);
        }
        is_new
    }

    /// These finished tasks were stored.
    pub(super) fn mark_stored(&mut self, tasks: &[u32]) {
        for index in tasks {
            self.unstored.remove(index);
        }
    }

    /// Finished tasks found in the store (after a write whose answer was lost, say).
    pub(super) fn merge_stored(&mut self, stored: &TaskSet) {
        self.unstored.retain(|index| !stored.contains(*index));
        self.finished.extend(stored);
    }

    /// Whether a write is under way.
    pub(super) fn is_committing(&self) -> bool {
        self.committing
    }

    /// When the newest write was begun.
    pub(super) fn last_commit_at(&self) -> Option<Instant> {
        self.last_commit_at
    }

    /// Whether the newest write was begun so recently that mere progress waits.
    pub(super) fn was_committed_recently(&self, now: Instant) -> bool {
        let recently = |at| now.saturating_duration_since(at) < PROGRESS_INTERVAL;
        self.last_commit_at.is_some_and(recently)
    }

    /// A write is under way from now on.
    pub(super) fn begin_commit(&mut self, now: Instant) {
        self.committing = true;
        self.last_commit_at = Some(now);
    }

    /// The write was answered, or failed.
    pub(super) fn end_commit(&mut self) {
        self.committing = false;
    }
}
