//! Commits of a job's record to the key-value store: when one is due, and how its result is
//! processed.

use super::Job;
use corkfield_wire::records::JobRecord;
use corkfield_wire::{Revision, TaskSet};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// A claim that is held for longer than this without a failed task is refunded: it no longer counts
/// towards the claim limit (S12).
const CLAIM_REFUND_AFTER: Duration = Duration::from_secs(10);

/// Urgency of a commit; a more urgent one compares less.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CommitUrgency {
    /// The job's user, or tasks that may start only after the commit, wait for it.
    Awaited,
    /// The commit only stores progress.
    Progress,
}

impl Job {
    /// Returns the urgency of the commit that is due, or `None` if none is. Commits that only store
    /// progress are made less often than awaited ones.
    pub(crate) fn commit_urgency(&self, now: Instant) -> Option<CommitUrgency> {
        if self.completion.is_committing() || !self.is_live() {
            return None;
        }
        let unstored = !self.unstored().is_empty();
        let visible_status_changes = (self.running_tasks > 0) != (self.record.running_count > 0);
        let completes = unstored && self.finished().len() >= self.spec().tasks;
        if self.start_queue.is_watermark_raise_due() || visible_status_changes || completes {
            return Some(CommitUrgency::Awaited);
        }
        let has_progress = unstored || self.is_refund_due(now);
        (has_progress && !self.completion.was_committed_recently(now))
            .then_some(CommitUrgency::Progress)
    }

    /// Returns when the newest commit began.
    pub(crate) fn last_commit_at(&self) -> Option<Instant> {
        self.completion.last_commit_at()
    }

    /// Records that a commit begins.
    pub(crate) fn begin_commit(&mut self, now: Instant) {
        self.completion.begin_commit(now);
    }

    /// Processes a successful commit, which stored `record` at `version` with `tasks` as done.
    pub(crate) fn on_commit_succeeded(
        &mut self,
        record: &JobRecord,
        tasks: &[u32],
        version: Revision,
    ) {
        self.completion.end_commit();
        self.completion.mark_stored(tasks);
        self.replace_record(record.clone(), version);
    }

    /// Processes a commit that failed or was not answered. It may be retried.
    pub(crate) fn on_commit_failed(&mut self) {
        self.completion.end_commit();
        self.update_refunded();
    }

    /// Derives from the newest stored record whether the claim was refunded. A failed commit
    /// refunds nothing.
    fn update_refunded(&mut self) {
        self.is_refunded = self.record.claims < self.claims_when_claimed;
    }

    /// Merges a record that was read from the store after a commit was refused or not answered.
    ///
    /// A newer record is merged only if it belongs to this claim. If an operator has released the
    /// job since, the record has the same generation but no owner. Its version must not be
    /// adopted, because the newer version in the store is what shows that the job has to be
    /// claimed.
    pub(crate) fn merge_stored_record(
        &mut self,
        record: JobRecord,
        finished: &TaskSet,
        version: Revision,
    ) {
        if !self.is_of_same_claim(&record) && version > self.version {
            return;
        }
        self.completion.merge_stored(finished);
        self.replace_record(record, version);
    }

    /// Returns whether a record of the job belongs to the claim that this controller holds.
    pub(crate) fn is_of_same_claim(&self, record: &JobRecord) -> bool {
        record.generation == self.record.generation && record.owner == self.record.owner
    }

    /// Replaces the record by one that was stored at `version`, unless a newer version is known.
    ///
    /// The answer to a commit or a read may arrive after that of a later claim. If it replaced the
    /// version of that claim, the store would refuse all further commits of the job.
    fn replace_record(&mut self, record: JobRecord, version: Revision) {
        if version > self.version {
            self.record = record;
            self.version = version;
            self.update_refunded();
        }
    }

    /// Returns whether the claim should be refunded: it has lasted longer than
    /// [`CLAIM_REFUND_AFTER`] without a failed task, so if it ends later, the job is not the cause
    /// (S12).
    fn is_refund_due(&self, now: Instant) -> bool {
        self.record.claims > 0
            && !self.is_refunded
            && self.failures.is_empty()
            && now.saturating_duration_since(self.claimed_at) > CLAIM_REFUND_AFTER
    }

    /// Returns whether the record that is about to be committed has to count one claim less (S12),
    /// and marks the claim as refunded. Returns true at most once per claim, unless the commit
    /// fails.
    pub(crate) fn take_refund(&mut self, now: Instant) -> bool {
        let due = self.is_refund_due(now);
        self.is_refunded |= due;
        due
    }

    /// Returns the tasks that are reported as done but not stored yet.
    pub(crate) fn unstored(&self) -> &BTreeSet<u32> {
        self.completion.unstored()
    }

    /// Returns the number of tasks that the key-value store is known to have as done.
    pub(crate) fn stored_count(&self) -> u32 {
        self.completion.stored_count()
    }

    /// Returns the indices of the finished tasks in a chunk.
    pub(crate) fn finished_in_chunk(&self, chunk: u32) -> TaskSet {
        self.completion.finished_in_chunk(chunk)
    }
}
