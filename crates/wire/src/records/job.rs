//! Records of jobs: one while the job is unfinished, another once it is over.

use crate::ids::{Generation, Incarnation};
use crate::task_set::TaskSet;
use crate::user::{JobSpec, JobStatus};
use serde::{Deserialize, Serialize};

/// Tasks whose finished numbers share one value; small enough for any sensible value limit.
pub const CHUNK_TASKS: u32 = 1024;

/// Tasks of a job that may be started for the first time before its record has to say more.
pub const FIRST_START_WATERMARK: u32 = 128;

/// The watermark of records that don't have one: any task may have been started.
fn all_tasks() -> u32 {
    u32::MAX
}

/// An unfinished job. Its owner is the controller incarnation that claimed it last; a write
/// that stores finished tasks is conditional on the record's version, and so on its generation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job as it was submitted.
    pub spec: JobSpec,
    /// Incarnation of the controller that claimed the job last; none before the first claim.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<Incarnation>,
    /// Raised by every claim; the guide's fencing token.
    pub generation: Generation,
    /// Claims since the job last made progress (S12).
    pub claims: u32,
    /// Time of day of the acceptance, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// Finished tasks, where the job is small enough to keep them here.
    #[serde(default, skip_serializing_if = "TaskSet::is_empty")]
    pub finished: TaskSet,
    /// How many tasks are finished.
    #[serde(rename = "done", default)]
    pub finished_count: u32,
    /// How many tasks ran at the last write, for display.
    #[serde(rename = "running", default)]
    pub running_count: u32,
    /// No task from this number on was ever ordered to start. Raised before any is (S7). Stored
    /// as `begun`.
    #[serde(rename = "begun", default = "all_tasks")]
    pub start_watermark: u32,
    /// The same when the job was claimed last: what its owner's predecessors cannot have started.
    /// Stored as `begun_before`.
    #[serde(rename = "begun_before", default = "all_tasks")]
    pub previous_start_watermark: u32,
    /// Dead-lettered at the claim limit, until an operator releases it or its user cancels it
    /// (S12). Stored as `set_aside`.
    #[serde(rename = "set_aside", default)]
    pub dead_lettered: bool,
}

impl JobRecord {
    /// The record of a job just accepted, at a time of day in milliseconds since 1970: claimed
    /// by nobody, nothing started.
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

    /// The design's claim: sets the owner, raises the generation and adds one to the count.
    pub fn claim(&mut self, owner: Incarnation) {
        self.claim_without_starts(owner);
        self.raise_start_watermark();
    }

    /// The same for a job that nothing of can start soon: no first start is announced.
    pub fn claim_without_starts(&mut self, owner: Incarnation) {
        self.owner = Some(owner);
        self.generation = self.generation.next();
        self.claims += 1;
        self.previous_start_watermark = self.start_watermark;
    }

    /// Allows more first starts: the more, the more there were.
    pub fn raise_start_watermark(&mut self) {
        let step = FIRST_START_WATERMARK.max(self.start_watermark.saturating_mul(2));
        // Never lowered, though a record without a watermark has one above the number of tasks.
        let highest = self.spec.tasks.max(self.start_watermark);
        self.start_watermark = self.start_watermark.saturating_add(step).min(highest);
    }

    /// Whether the finished tasks are kept in chunks of [`CHUNK_TASKS`], outside this record.
    pub fn is_chunked(&self) -> bool {
        self.spec.tasks > CHUNK_TASKS
    }

    /// What the job's user is told. A dead-lettered job reads as queued.
    pub fn status(&self) -> JobStatus {
        if self.running_count > 0 && !self.dead_lettered {
            JobStatus::Running
        } else {
            JobStatus::Queued
        }
    }
}

/// A job that is over; kept for good.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalRecord {
    /// [`JobStatus::Done`] or [`JobStatus::Cancelled`].
    pub status: JobStatus,
    /// How many tasks had finished.
    #[serde(rename = "done")]
    pub finished_count: u32,
}
