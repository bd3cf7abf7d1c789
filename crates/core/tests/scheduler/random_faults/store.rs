//! Fake of the key-value store, and the writes with which a leader claims jobs and stores finished
//! tasks.

use corkfield_core::CompletionCommit;
use corkfield_wire::records::{JobRecord, MachineRecord, Versioned, CHUNK_TASKS};
use corkfield_wire::{Incarnation, JobId, MachineName, Revision, TaskSet};
use std::collections::BTreeMap;

/// A stored job record, and the revision that wrote it.
#[derive(Clone)]
pub struct StoredJob {
    pub record: JobRecord,
    pub version: Revision,
}

/// A conditional write of job records.
#[derive(Clone)]
pub enum Write {
    /// A claim of several jobs in one transaction: the records to store, each with the version that
    /// the write is conditional on.
    Claim(Vec<StoredJob>),
    /// A completion commit.
    Commit(Box<CompletionCommit>),
}

/// Contents of the store.
#[derive(Default)]
pub struct Store {
    revision: Revision,
    /// Unfinished jobs.
    pub jobs: BTreeMap<JobId, StoredJob>,
    /// Finished tasks of large jobs, by chunk number.
    chunks: BTreeMap<JobId, BTreeMap<u32, TaskSet>>,
    /// Number of tasks of each job that is done.
    pub done: BTreeMap<JobId, u32>,
    /// Records of machines that may hold tasks.
    pub machines: BTreeMap<MachineName, MachineRecord>,
}

impl Store {
    /// Returns the revision of the newest change.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    fn next_revision(&mut self) -> Revision {
        self.revision = self.revision.next();
        self.revision
    }

    /// Stores a record unconditionally.
    pub fn put(&mut self, record: JobRecord) {
        let version = self.next_revision();
        self.jobs.insert(record.spec.id.clone(), StoredJob { record, version });
    }

    /// Stores the record of a large job, with its finished tasks in chunks.
    pub fn put_with_chunks(&mut self, mut record: JobRecord, finished: &TaskSet) {
        record.finished_count = finished.len();
        let chunks = self.chunks.entry(record.spec.id.clone()).or_default();
        for chunk in 0..record.spec.tasks.div_ceil(CHUNK_TASKS) {
            chunks.insert(chunk, finished.slice(chunk * CHUNK_TASKS, (chunk + 1) * CHUNK_TASKS));
        }
        self.put(record);
    }

    /// Returns a job's record with its version.
    pub fn read(&self, id: &JobId) -> Option<Versioned<JobRecord>> {
        let StoredJob { record, version } = self.jobs.get(id)?.clone();
        Some(Versioned { record, version })
    }

    /// Returns the stored finished tasks of a job.
    pub fn finished_tasks(&self, id: &JobId) -> TaskSet {
        let mut finished =
            self.jobs.get(id).map(|stored| stored.record.finished.clone()).unwrap_or_default();
        for chunk in self.chunks.get(id).into_iter().flat_map(BTreeMap::values) {
            finished.extend(chunk);
        }
        finished
    }

    /// Returns whether the job is stored at that version.
    fn is_stored_at(&self, id: &JobId, version: Revision) -> bool {
        self.jobs.get(id).is_some_and(|stored| stored.version == version)
    }

    /// Applies a write if its conditions hold. Returns the new version, or `None` if the write is
    /// refused.
    pub fn apply(&mut self, write: &Write) -> Option<Revision> {
        match write {
            Write::Claim(claims) => self.apply_claims(claims),
            Write::Commit(commit) => self.apply_commit(commit),
        }
    }

    fn apply_claims(&mut self, claims: &[StoredJob]) -> Option<Revision> {
        if !claims.iter().all(|claim| self.is_stored_at(&claim.record.spec.id, claim.version)) {
            return None;
        }
        let version = self.next_revision();
        for StoredJob { record, .. } in claims {
            let stored = StoredJob { record: record.clone(), version };
            self.jobs.insert(record.spec.id.clone(), stored);
        }
        Some(version)
    }

    fn apply_commit(&mut self, commit: &CompletionCommit) -> Option<Revision> {
        let id = &commit.job;
        if !self.is_stored_at(id, commit.version) {
            return None;
        }
        if commit.completes_job {
            self.jobs.remove(id);
            self.done.insert(id.clone(), commit.record.spec.tasks);
            return Some(self.next_revision());
        }
        let chunks = self.chunks.entry(id.clone()).or_default();
        chunks.extend(commit.chunks.iter().cloned());
        self.put(commit.record.clone());
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
    ) -> Option<StoredJob> {
        let StoredJob { mut record, version } = self.jobs.get(id)?.clone();
        if record.start_watermark > 0 || starts_soon {
            record.claim(owner.clone());
        } else {
            record.claim_keeping_start_watermark(owner.clone());
        }
        record.dead_lettered |= record.claims > claim_limit;
        Some(StoredJob { record, version })
    }
}
