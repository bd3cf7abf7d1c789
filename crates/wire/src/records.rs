//! What corkfield keeps in the state service.
//!
//! Keys below `c/` are followed by every controller: presence, the leader record, machine
//! types and unfinished jobs. Final states (`f/`), finished tasks of very large jobs (`d/`) and
//! machines that may hold tasks (`h/`) are read when they are needed.

use crate::cloud::MachineType;
use crate::taskset::TaskSet;
use crate::user::{JobId, JobSpec, JobStatus};
use serde::{Deserialize, Serialize};

pub const REPLICATED_PREFIX: &str = "c/";
pub const JOBS_PREFIX: &str = "c/jobs/";
pub const CONTROLLERS_PREFIX: &str = "c/controllers/";
pub const TRANSFER_REQUESTS_PREFIX: &str = "c/transfer_requests/";
pub const LEADER_KEY: &str = "c/planner";
pub const MACHINE_TYPES_KEY: &str = "c/types";
pub const FINAL_RECORDS_PREFIX: &str = "f/";
pub const FINISHED_TASKS_PREFIX: &str = "d/";
pub const MACHINE_RECORDS_PREFIX: &str = "h/";

/// Tasks whose finished numbers share one value; small enough for any sensible value limit.
pub const CHUNK_TASKS: u32 = 1024;

/// Tasks of a job that may be started for the first time before its record has to say more.
pub const FIRST_START_WATERMARK: u32 = 128;

fn all() -> u32 {
    u32::MAX
}

pub fn job_key(id: &JobId) -> String {
    format!("{JOBS_PREFIX}{id}")
}

pub fn final_key(id: &JobId) -> String {
    format!("{FINAL_RECORDS_PREFIX}{id}")
}

pub fn finished_prefix(id: &JobId) -> String {
    format!("{FINISHED_TASKS_PREFIX}{id}/")
}

pub fn finished_key(id: &JobId, chunk: u32) -> String {
    format!("{FINISHED_TASKS_PREFIX}{id}/{chunk:04}")
}

pub fn controller_key(node: &str) -> String {
    format!("{CONTROLLERS_PREFIX}{node}")
}

pub fn transfer_request_key(node: &str) -> String {
    format!("{TRANSFER_REQUESTS_PREFIX}{node}")
}

pub fn machine_key(name: &str) -> String {
    format!("{MACHINE_RECORDS_PREFIX}{name}")
}

/// An unfinished job. Its owner is the controller incarnation that claimed it last; a write
/// that settles tasks is conditional on the record's version, and so on its generation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    pub spec: JobSpec,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<String>,
    /// Raised by every claim; the guide's fencing token.
    pub generation: u64,
    /// Claims since the job last made progress.
    pub claims: u32,
    /// Time of day of the acceptance, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// Finished tasks, where the job is small enough to keep them here.
    #[serde(default, skip_serializing_if = "TaskSet::is_empty")]
    pub finished: TaskSet,
    #[serde(default)]
    pub done: u32,
    #[serde(default)]
    pub running: u32,
    /// No task from this number on was ever ordered to start. Raised before any is.
    #[serde(rename = "begun", default = "all")]
    pub start_watermark: u32,
    /// The same when the job was claimed last: what its owner's predecessors cannot have started.
    #[serde(rename = "begun_before", default = "all")]
    pub previous_start_watermark: u32,
    /// Set aside at the claim limit, until an operator releases it or its user cancels it.
    #[serde(rename = "set_aside", default)]
    pub dead_lettered: bool,
}

impl JobRecord {
    pub fn new(spec: JobSpec, accepted_ms: u64) -> Self {
        Self {
            spec,
            owner: None,
            generation: 0,
            claims: 0,
            accepted_ms,
            finished: TaskSet::default(),
            done: 0,
            running: 0,
            start_watermark: 0,
            previous_start_watermark: 0,
            dead_lettered: false,
        }
    }

    /// The design's claim: sets the owner, raises the generation and adds one to the count.
    pub fn claim(&mut self, owner: String) {
        self.claim_without_starts(owner);
        self.raise_start_watermark();
    }

    /// The same for a job that nothing of can start soon: no first start is announced.
    pub fn claim_without_starts(&mut self, owner: String) {
        self.owner = Some(owner);
        self.generation += 1;
        self.claims += 1;
        self.previous_start_watermark = self.start_watermark;
    }

    /// Makes room for more first starts: the more, the more there were.
    pub fn raise_start_watermark(&mut self) {
        let step = FIRST_START_WATERMARK.max(self.start_watermark.saturating_mul(2));
        self.start_watermark = self
            .start_watermark
            .saturating_add(step)
            .min(self.spec.tasks.max(self.start_watermark));
    }

    pub fn is_chunked(&self) -> bool {
        self.spec.tasks > CHUNK_TASKS
    }

    pub fn status(&self) -> JobStatus {
        if self.running > 0 && !self.dead_lettered {
            JobStatus::Running
        } else {
            JobStatus::Queued
        }
    }
}

/// A job that is over; kept for good.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalRecord {
    pub status: JobStatus,
    pub done: u32,
}

/// A controller's presence; attached to its lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    pub incarnation: String,
    pub lease: u64,
}

/// Who plans at present, and under which term.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The node that holds the record; none after an orderly hand-over.
    pub node: Option<String>,
    pub incarnation: String,
    pub term: u64,
    /// The node that should take over, after a hand-over.
    #[serde(default)]
    pub successor: Option<String>,
}

/// A machine that may hold tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineRecord {
    pub addr: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    /// Time of day of this record, in milliseconds since 1970.
    #[serde(default)]
    pub recorded_ms: u64,
}

/// Workers came to this controller although it sent them to the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferRequest {
    pub count: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineTypesRecord {
    pub types: Vec<MachineType>,
}
