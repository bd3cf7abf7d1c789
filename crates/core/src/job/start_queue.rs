//! Which task of a job is started next, and when its record has to allow more first starts.

use super::TaskPlacement;
use corkfield_wire::records::JobRecord;
use corkfield_wire::TaskSet;
use std::collections::BTreeMap;

/// What of a job decides which of its tasks may be started.
pub(super) struct StartConstraints<'a> {
    /// The job's record: how many tasks it has, and how many of them may be started.
    pub(super) record: &'a JobRecord,
    /// Tasks that are done.
    pub(super) finished: &'a TaskSet,
    /// Tasks that are placed.
    pub(super) placements: &'a BTreeMap<u32, TaskPlacement>,
}

impl StartConstraints<'_> {
    /// Whether the task is finished or placed.
    fn is_finished_or_placed(&self, index: u32) -> bool {
        self.finished.contains(index) || self.placements.contains_key(&index)
    }

    /// No task from this index on may be started yet.
    fn startable_end(&self) -> u32 {
        self.record.spec.tasks.min(self.record.start_watermark)
    }
}

/// The order in which a job's tasks are started.
#[derive(Debug)]
pub(super) struct StartQueue {
    /// Tasks that came off their machines, the last of them first.
    retries: Vec<u32>,
    /// The next task that was never placed.
    next_unplaced: u32,
    /// The next of those that no earlier owner can have started (S7).
    next_never_started: u32,
    /// The record should allow more first starts.
    is_watermark_raise_due: bool,
}

impl StartQueue {
    /// The queue of a job of which earlier owners can have started only tasks below the index.
    pub(super) fn new(previous_start_watermark: u32) -> Self {
        Self {
            retries: Vec::new(),
            next_unplaced: 0,
            next_never_started: previous_start_watermark,
            is_watermark_raise_due: false,
        }
    }

    /// The next task to place. With `only_never_started`, only one that no earlier owner can have
    /// started (S7).
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

    /// How many tasks [`Self::pop`] would give, at the most; 0 only if there are none.
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

    /// The task came off its machine, and is to be tried again.
    pub(super) fn push_retry(&mut self, index: u32) {
        self.retries.push(index);
    }

    /// Passes over what is finished or placed: if it comes off its machine, it is tried again
    /// from another list. Returns the position reached.
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

    /// Has the record allow more first starts before they run out: that takes a write, and while
    /// the key-value store is away there is none.
    fn request_watermark_raise_if_low(&mut self, constraints: &StartConstraints, next: u32) {
        let watermark = constraints.record.start_watermark;
        self.is_watermark_raise_due |= watermark > 0
            && watermark < constraints.record.spec.tasks
            && next >= watermark - watermark / 4;
    }

    /// Whether the record should allow more first starts.
    pub(super) fn is_watermark_raise_due(&self) -> bool {
        self.is_watermark_raise_due
    }

    /// The record should allow more first starts with its next write.
    pub(super) fn request_watermark_raise(&mut self) {
        self.is_watermark_raise_due = true;
    }

    /// Whether the record should allow more first starts; the write that is being built does so.
    pub(super) fn take_watermark_raise(&mut self) -> bool {
        std::mem::take(&mut self.is_watermark_raise_due)
    }
}
