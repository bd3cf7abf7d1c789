//! Fake of the key-value store, and the writes with which a leader claims jobs and stores finished
//! tasks.

use corkfield_core::CompletionCommit;
use corkfield_wire::records::{JobRecord, MachineRecord};
use corkfield_wire::{Incarnation, JobId, MachineName, Revision};
use std::collections::{BTreeMap, BTreeSet};

/// A stored job record, and the revision that wrote it.
#[derive(Clone)]
pub struct StoredJob {
    pub record: JobRecord,
    pub version: Revision,
}

/// A conditional write of one job's record.
#[derive(Clone)]
pub enum Write {
    /// A claim: the record to store, and the version that the write is conditional on.
    Claim(Box<StoredJob>),
    /// A completion commit.
    Commit(Box<CompletionCommit>),
}

/// Contents of the store.
#[derive(Default)]
pub struct Store {
    revision: Revision,
    /// Unfinished jobs.
    pub jobs: BTreeMap<JobId, StoredJob>,
    /// Jobs that are done.
    pub done: BTreeSet<JobId>,
    /// Records of machines that may hold tasks.
    pub machines: BTreeMap<MachineName, MachineRecord>,
}

impl Store {
    fn next_revision(&mut self) -> Revision {
        self.revision = self.revision.next();
        self.revision
    }

    /// Stores a record unconditionally.
    pub fn put(&mut self, record: JobRecord) {
        let version = self.next_revision();
        self.jobs.insert(record.spec.id.clone(), StoredJob { record, version });
    }

    /// Returns whether the job is stored at that version.
    fn is_stored_at(&self, id: &JobId, version: Revision) -> bool {
        self.jobs.get(id).is_some_and(|stored| stored.version == version)
    }

    /// Applies a write if its condition holds. Returns the new version, or `None` if the write is
    /// refused.
    pub fn apply(&mut self, write: &Write) -> Option<Revision> {
        let (id, condition) = match write {
            Write::Claim(claim) => (&claim.record.spec.id, claim.version),
            Write::Commit(commit) => (&commit.job, commit.version),
        };
        if !self.is_stored_at(id, condition) {
            return None;
        }
        match write {
            Write::Commit(commit) if commit.completes_job => {
                self.jobs.remove(id);
                self.done.insert(id.clone());
                return Some(self.next_revision());
            }
            Write::Commit(commit) => self.put(commit.record.clone()),
            Write::Claim(claim) => self.put(claim.record.clone()),
        }
        Some(self.revision)
    }

    /// Builds a claim of the job for that owner, conditional on the current version of its record.
    /// Returns `None` if the job is not stored.
    pub fn build_claim(
        &self,
        id: &JobId,
        owner: &Incarnation,
        starts_soon: bool,
        claim_limit: u32,
    ) -> Option<Write> {
        let StoredJob { mut record, version } = self.jobs.get(id)?.clone();
        if record.start_watermark > 0 || starts_soon {
            record.claim(owner.clone());
        } else {
            record.claim_keeping_start_watermark(owner.clone());
        }
        record.dead_lettered |= record.claims > claim_limit;
        Some(Write::Claim(Box::new(StoredJob { record, version })))
    }
}
