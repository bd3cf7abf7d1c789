//! Order in which a job's tasks are started, and requests to raise its start watermark.
//!
//! The start watermark in a job's record is the index of the first task that must not be started
//! yet. A failover treats all tasks below the watermark as possibly started.

use super::TaskPlacement;
use corkfield_wire::records::JobRecord;
use corkfield_wire::TaskSet;
use std::collections::BTreeMap;

/// The parts of a job that decide which of its tasks may be started.
pub(super) struct StartConstraints<'a> {
    /// The job's record, with its number of tasks and its start watermark.
    pub(super) record: &'a JobRecord,
    /// Finished tasks.
    pub(super) finished: &'a TaskSet,
    /// Placed tasks.
    pub(super) placements: &'a BTreeMap<u32, TaskPlacement>,
}

impl StartConstraints<'_> {
    /// Returns whether the task is finished or placed.
    fn is_finished_or_placed(&self, index: u32) -> bool {
        self.finished.contains(index) || self.placements.contains_key(&index)
    }

    /// Returns the index from which on no task may be started yet.
    fn startable_end(&self) -> u32 {
        self.record.spec.tasks.min(self.record.start_watermark)
    }
}

/// Queue of the tasks of a job that wait for their start.
#[derive(Debug)]
pub(super) struct StartQueue {
    /// Tasks that were released and have to be started again; the last one is started first.
    retries: Vec<u32>,
    /// Index of the next task that was never placed.
    next_unplaced: u32,
    /// Index of the next task that no earlier owner of the job can have started. Until
    /// reconciliation is complete, only such tasks are started (S7).
    next_never_started: u32,
    /// Whether the next commit should raise the start watermark.
    is_watermark_raise_due: bool,
}

impl StartQueue {
    /// Creates the queue of a job whose earlier owners can have started only the tasks below
    /// `previous_start_watermark`.
    pub(super) fn new(previous_start_watermark: u32) -> Self {
        Self {
            retries: Vec::new(),
            next_unplaced: 0,
            next_never_started: previous_start_watermark,
            is_watermark_raise_due: false,
        }
    }

    /// Removes and returns the next task to place. With `only_never_started`, returns only a task
    /// that no earlier owner can have started (S7).
    pub(super) fn pop(
        &mut self,
        constraints: &StartConstraints,
        only_never_started: bool,
    ) -> Option<u32> {
        if !only_never_started {
            while let Some(index) = self.retries.pop() {
                if !constraints.is_finished_or_placed(index) {
                    return Some(index);
                }
            }
        }
        let next = self.skip_finished_or_placed(constraints, only_never_started);
        let index = (*next < constraints.startable_end()).then_some(*next);
        if index.is_some() {
            *next += 1;
        }
        let next = *next;
        self.request_watermark_raise_if_low(constraints, next);
        index
    }

    /// Returns an upper bound for the number of tasks that [`Self::pop`] would return; 0 only if it
    /// would return none.
    pub(super) fn len(&mut self, constraints: &StartConstraints, only_never_started: bool) -> u32 {
        let next = *self.skip_finished_or_placed(constraints, only_never_started);
        self.request_watermark_raise_if_low(constraints, next);
        let mut count = constraints.startable_end().saturating_sub(next);
        if !only_never_started {
            self.retries.retain(|index| !constraints.is_finished_or_placed(*index));
            count += u32::try_from(self.retries.len()).unwrap_or(u32::MAX);
        }
        count
    }

    /// Adds a task that was released and has to be started again.
    pub(super) fn push_retry(&mut self, index: u32) {
        self.retries.push(index);
    }

    /// Advances the index of the next task to the first that is neither finished nor placed, and
    /// returns the index. A placed task that is released later is added to `retries`.
    fn skip_finished_or_placed(
        &mut self,
        constraints: &StartConstraints,
        only_never_started: bool,
    ) -> &mut u32 {
        let next =
            if only_never_started { &mut self.next_never_started } else { &mut self.next_unplaced };
        let end = constraints.startable_end();
        while *next < end && constraints.is_finished_or_placed(*next) {
            *next += 1;
        }
        next
    }

    /// Requests a higher start watermark when three quarters of the tasks below it have been
    /// taken from the queue or skipped. The raise needs a commit, which is impossible while the key-value store is
    /// unavailable, so it is requested before the startable tasks run out.
    fn request_watermark_raise_if_low(&mut self, constraints: &StartConstraints, next: u32) {
        let watermark = constraints.record.start_watermark;
        self.is_watermark_raise_due |= watermark > 0
            && watermark < constraints.record.spec.tasks
            && next >= watermark - watermark / 4;
    }

    /// Returns whether the next commit should raise the start watermark.
    pub(super) fn is_watermark_raise_due(&self) -> bool {
        self.is_watermark_raise_due
    }

    /// Requests that the next commit raises the start watermark.
    pub(super) fn request_watermark_raise(&mut self) {
        self.is_watermark_raise_due = true;
    }

    /// Returns whether the commit that is being built has to raise the start watermark, and clears
    /// the request.
    pub(super) fn take_watermark_raise(&mut self) -> bool {
        std::mem::take(&mut self.is_watermark_raise_due)
    }
}
