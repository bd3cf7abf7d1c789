//! Writes of a job's record: when one is due, and what follows from it.

use super::Job;
use corkfield_wire::records::JobRecord;
use corkfield_wire::{Revision, TaskSet};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// A claim held this long without a failure is refunded (S12).
const HEALTHY_CLAIM: Duration = Duration::from_secs(10);

/// How soon a write of a job is wanted; the more urgent compares less.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CommitUrgency {
    /// Somebody waits for it: its user, or tasks that may start only once the record says so.
    Awaited,
    /// Mere progress.
    Progress,
}

impl Job {
    /// Whether something of it is to be stored, and how soon. Mere progress is stored less often
    /// than what somebody waits for.
    pub(crate) fn commit_due(&self, now: Instant) -> Option<CommitUrgency> {
        if self.completion.is_committing() || !self.is_live() {
            return None;
        }
        let unstored = !self.unstored().is_empty();
        let shown_status_changes = (self.running > 0) != (self.record.running_count > 0);
        let completes = unstored && self.finished().len() >= self.spec().tasks;
        if self.start_queue.is_watermark_raise_due() || shown_status_changes || completes {
            return Some(CommitUrgency::Awaited);
        }
        let progress = unstored || self.is_refund_due(now);
        (progress && !self.completion.was_committed_recently(now))
            .then_some(CommitUrgency::Progress)
    }

    /// When the newest write of it was begun.
    pub(crate) fn last_commit_at(&self) -> Option<Instant> {
        self.completion.last_commit_at()
    }

    /// A write of it is under way.
    pub(crate) fn begin_commit(&mut self, now: Instant) {
        self.completion.begin_commit(now);
    }

    /// A write of it was carried out: its record is stored at that version, with those tasks done.
    pub(crate) fn commit_succeeded(
        &mut self,
        record: &JobRecord,
        tasks: &[u32],
        version: Revision,
    ) {
        self.completion.end_commit();
        self.completion.note_stored(tasks);
        self.take_stored_record(record.clone(), version);
    }

    /// A write of it failed, or was not answered. It may be tried again.
    pub(crate) fn commit_failed(&mut self) {
        self.completion.end_commit();
        self.update_refunded();
    }

    /// Whether the claim was refunded, by the record that is known to be stored: a write that
    /// failed refunded nothing.
    fn update_refunded(&mut self) {
        self.refunded = self.record.claims < self.claims_when_claimed;
    }

    /// Its record was found in the store after a write that was refused or not answered. It is
    /// taken only if it is of this claim. One that an operator released since has the same
    /// generation, but no owner: its version must stay unknown, as it is by that that the job is
    /// found to be due for a claim.
    pub(crate) fn found_record(
        &mut self,
        record: JobRecord,
        finished: &TaskSet,
        version: Revision,
    ) {
        if !self.is_of_same_claim(&record) && version > self.version {
            return;
        }
        self.completion.found_stored(finished);
        self.take_stored_record(record, version);
    }

    /// Whether a record of the job is of the claim that is known.
    pub(crate) fn is_of_same_claim(&self, record: &JobRecord) -> bool {
        record.generation == self.record.generation && record.owner == self.record.owner
    }

    /// Takes a record that was stored at that version, unless a later one is known: the answer to
    /// a write, or a read, may come after that of a later claim. With the version before the claim
    /// no write of the job would be carried out any more.
    fn take_stored_record(&mut self, record: JobRecord, version: Revision) {
        if version > self.version {
            self.record = record;
            self.version = version;
            self.update_refunded();
        }
    }

    /// A claim that harmed nobody for a while didn't end because of the job (S12).
    fn is_refund_due(&self, now: Instant) -> bool {
        self.record.claims > 0
            && !self.refunded
            && self.failures.is_empty()
            && now.saturating_duration_since(self.claimed_at) > HEALTHY_CLAIM
    }

    /// Whether the record that is about to be written has to count a claim less (S12); true once
    /// for each claim.
    pub(crate) fn take_refund(&mut self, now: Instant) -> bool {
        let due = self.is_refund_due(now);
        self.refunded |= due;
        due
    }

    /// Tasks reported as done but not yet stored.
    pub(crate) fn unstored(&self) -> &BTreeSet<u32> {
        self.completion.unstored()
    }

    /// Finished numbers of a chunk.
    pub(crate) fn chunk(&self, chunk: u32) -> TaskSet {
        self.completion.chunk(chunk)
    }
}
