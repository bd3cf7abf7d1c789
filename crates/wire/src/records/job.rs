//! Records of jobs: [`JobRecord`] for unfinished jobs, [`FinalRecord`] for ended ones.

use crate::ids::{Generation, Incarnation};
use crate::task_set::TaskSet;
use crate::user::{JobSpec, JobStatus};
use serde::{Deserialize, Serialize};

/// Number of tasks in one chunk. Jobs with more tasks store their finished tasks not in the job
/// record but in chunks, one value for each. The text of a chunk is shorter than 4 KiB, which is
/// below the value limit of the state service.
pub const CHUNK_TASKS: u32 = 1024;

/// Smallest step by which the start watermark of a job is raised, in tasks.
pub const MIN_START_WATERMARK_STEP: u32 = 128;

/// Returns the start watermark of records that don't store one. It is above all task indices,
/// because any of the tasks may have been started.
fn default_start_watermark() -> u32 {
    u32::MAX
}

/// An unfinished job.
///
/// The owner is the controller incarnation that last claimed the job. Writes that store finished
/// tasks are conditional on the record's version, and therefore on its generation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job as it was submitted.
    pub spec: JobSpec,
    /// Incarnation of the controller that last claimed the job; `None` before the first claim.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<Incarnation>,
    /// Generation of the job, raised by every claim. It is the job's fencing token.
    pub generation: Generation,
    /// Number of claims since the job last made progress. At the claim limit, the job is
    /// dead-lettered (S12).
    pub claims: u32,
    /// Unix time at which the job was accepted, in milliseconds.
    pub accepted_ms: u64,
    /// Finished tasks; empty for jobs that store them in chunks ([`Self::is_chunked`]).
    #[serde(default, skip_serializing_if = "TaskSet::is_empty")]
    pub finished: TaskSet,
    /// Number of finished tasks (`done`).
    #[serde(rename = "done", default)]
    pub finished_count: u32,
    /// Number of tasks that were running at the last write, for display (`running`).
    #[serde(rename = "running", default)]
    pub running_count: u32,
    /// Upper bound of the tasks that may have been started (`begun`): no task with this index or a
    /// higher one was ever ordered to start. The watermark is raised in the store before such a
    /// task is ordered to start, so that a new leader knows which tasks may already run (S7).
    #[serde(rename = "begun", default = "default_start_watermark")]
    pub start_watermark: u32,
    /// Start watermark at the last claim (`begun_before`). Earlier owners can't have started tasks
    /// from this index on.
    #[serde(rename = "begun_before", default = "default_start_watermark")]
    pub previous_start_watermark: u32,
    /// Whether the job is dead-lettered (`set_aside`). A job is dead-lettered at the claim limit,
    /// until an operator releases it or its user cancels it (S12).
    #[serde(rename = "set_aside", default)]
    pub dead_lettered: bool,
}

impl JobRecord {
    /// Creates the record of a newly accepted job, which is unclaimed and has no started tasks.
    /// `accepted_ms` is the Unix time in milliseconds.
    pub fn new(spec: JobSpec, accepted_ms: u64) -> Self {
        Self {
            spec,
            owner: None,
            generation: Generation::default(),
            claims: 0,
            accepted_ms,
            finished: TaskSet::default(),
            finished_count: 0,
            running_count: 0,
            start_watermark: 0,
            previous_start_watermark: 0,
            dead_lettered: false,
        }
    }

    /// Claims the job and raises its start watermark. A claim sets the owner, raises the generation
    /// and adds one to the number of claims.
    pub fn claim(&mut self, owner: Incarnation) {
        self.claim_keeping_start_watermark(owner);
        self.raise_start_watermark();
    }

    /// Claims the job as [`Self::claim`] does, but keeps the start watermark. Used for jobs that
    /// have no started tasks and can't start any soon.
    pub fn claim_keeping_start_watermark(&mut self, owner: Incarnation) {
        self.owner = Some(owner);
        self.generation = self.generation.next();
        self.claims += 1;
        self.previous_start_watermark = self.start_watermark;
    }

    /// Raises the start watermark, so that more tasks may be started for the first time. The step
    /// grows with the watermark, so that large jobs need few raises.
    pub fn raise_start_watermark(&mut self) {
        let step = MIN_START_WATERMARK_STEP.max(self.start_watermark.saturating_mul(2));
        // Records of older versions have a watermark above the number of tasks. It must not be
        // lowered.
        let max_watermark = self.spec.tasks.max(self.start_watermark);
        self.start_watermark = self.start_watermark.saturating_add(step).min(max_watermark);
    }

    /// Returns whether the finished tasks are stored outside this record, in chunks of
    /// [`CHUNK_TASKS`] tasks.
    pub fn is_chunked(&self) -> bool {
        self.spec.tasks > CHUNK_TASKS
    }

    /// Returns the status that users see. A dead-lettered job is shown as queued.
    pub fn status(&self) -> JobStatus {
        if self.running_count > 0 && !self.dead_lettered {
            JobStatus::Running
        } else {
            JobStatus::Queued
        }
    }
}

/// The final state of a job. The record is never deleted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalRecord {
    /// [`JobStatus::Done`] or [`JobStatus::Cancelled`].
    pub status: JobStatus,
    /// Number of finished tasks (`done`).
    #[serde(rename = "done")]
    pub finished_count: u32,
}
