//! Finished tasks of a job, and which of them are stored.

use corkfield_wire::records::CHUNK_TASKS;
use corkfield_wire::TaskSet;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Minimum time between two commits of a job that only store progress.
const MIN_PROGRESS_INTERVAL: Duration = Duration::from_millis(700);

/// Finished tasks of a job, and the commits that store them. A worker may forget a finished task only
/// after the task is stored (S9).
#[derive(Debug)]
pub(super) struct Completion {
    /// Tasks that are reported as done, stored or not.
    finished: TaskSet,
    /// Tasks that are reported as done but not stored yet.
    unstored: BTreeSet<u32>,
    /// Whether a commit is in flight.
    is_committing: bool,
    /// When the newest commit began.
    last_commit_at: Option<Instant>,
}

impl Completion {
    /// Creates the state of a job whose `finished` tasks are all stored.
    pub(super) fn new(finished: TaskSet) -> Self {
        Self { finished, unstored: BTreeSet::new(), is_committing: false, last_commit_at: None }
    }

    /// Returns the tasks that are reported as done, stored or not.
    pub(super) fn finished(&self) -> &TaskSet {
        &self.finished
    }

    /// Returns the tasks that are reported as done but not stored yet.
    pub(super) fn unstored(&self) -> &BTreeSet<u32> {
        &self.unstored
    }

    /// Returns whether the key-value store has the task as done.
    pub(super) fn is_stored(&self, index: u32) -> bool {
        self.finished.contains(index) && !self.unstored.contains(&index)
    }

    /// Returns the number of tasks that the key-value store is known to have as done.
    pub(super) fn stored_count(&self) -> u32 {
        let unstored = u32::try_from(self.unstored.len()).unwrap_or(u32::MAX);
        self.finished.len().saturating_sub(unstored)
    }

    /// Returns the indices of the finished tasks in a chunk.
    pub(super) fn finished_in_chunk(&self, chunk: u32) -> TaskSet {
        self.finished.slice(chunk * CHUNK_TASKS, (chunk + 1) * CHUNK_TASKS)
    }

    /// Marks a task as finished. Returns true if it was not finished before.
    pub(super) fn mark_finished(&mut self, index: u32) -> bool {
        let is_new = self.finished.insert(index);
        if is_new {
            self.unstored.insert(index);
        }
        is_new
    }

    /// Marks finished tasks as stored.
    pub(super) fn mark_stored(&mut self, tasks: &[u32]) {
        for index in tasks {
            self.unstored.remove(index);
        }
    }

    /// Merges the finished tasks that were read from the store, for example after the answer to a
    /// commit was lost.
    pub(super) fn merge_stored(&mut self, stored: &TaskSet) {
        self.unstored.retain(|index| !stored.contains(*index));
        self.finished.extend(stored);
    }

    /// Returns whether a commit is in flight.
    pub(super) fn is_committing(&self) -> bool {
        self.is_committing
    }

    /// Returns when the newest commit began.
    pub(super) fn last_commit_at(&self) -> Option<Instant> {
        self.last_commit_at
    }

    /// Returns whether the newest commit began so recently that a commit of progress has to wait.
    pub(super) fn was_committed_recently(&self, now: Instant) -> bool {
        let is_recent = |at| now.saturating_duration_since(at) < MIN_PROGRESS_INTERVAL;
        self.last_commit_at.is_some_and(is_recent)
    }

    /// Records that a commit begins.
    pub(super) fn begin_commit(&mut self, now: Instant) {
        self.is_committing = true;
        self.last_commit_at = Some(now);
    }

    /// Records that the commit in flight was answered or failed.
    pub(super) fn end_commit(&mut self) {
        self.is_committing = false;
    }
}
