//! Messages between users and controllers: submissions, queries and cancellations of jobs.

mod submission;

pub use crate::job_id::JobId;
pub use submission::SubmissionError;

use serde::{Deserialize, Serialize};

/// Maximum number of tasks of a job.
pub const MAX_TASKS: u32 = 100_000;

/// Path that submits a job (POST). With `/{id}` appended, the path of one job.
pub const PATH_JOBS: &str = "/submissions";
/// Last segment of the path that cancels a job.
pub const PATH_CANCEL: &str = "withdraw";
/// Path of the load balancer's readiness probes.
pub const PATH_READY: &str = "/ready";

/// Kind of a job (`shape`).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// A job array: independent tasks, each of which runs to completion (`sweep`).
    #[serde(rename = "sweep")]
    Array,
}

/// Priority of a job (`rank`). A higher priority compares as less than a lower one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// The highest priority (`production`).
    #[serde(rename = "production")]
    Production,
    /// Above [`Priority::Normal`] (`urgent`).
    #[serde(rename = "urgent")]
    High,
    /// The ordinary priority (`normal`).
    #[serde(rename = "normal")]
    Normal,
    /// The lowest priority (`idle`).
    #[serde(rename = "idle")]
    Low,
}

/// The specification of a job, as submitted by its user.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Id of the job, chosen by the user (`name_id`). A user repeats a submission with the same id.
    #[serde(rename = "name_id")]
    pub id: JobId,
    /// Class of the job, for which objectives are set (`pool`).
    #[serde(rename = "pool")]
    pub class: String,
    /// Name of the team whose guarantee and limit apply (`owner`).
    #[serde(rename = "owner")]
    pub team: String,
    /// Kind of the job (`shape`).
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// Priority of the job (`rank`).
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks, 1 to [`MAX_TASKS`] (`pieces`).
    #[serde(rename = "pieces")]
    pub tasks: u32,
    /// Number of CPUs that each task needs (`vcpus`).
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// Number of GPUs that each task needs (`accelerators`).
    #[serde(rename = "accelerators")]
    pub gpus: f64,
    /// Memory that each task needs, in GB (`mem_gb`).
    #[serde(rename = "mem_gb")]
    pub memory_gb: f64,
    /// Name of the image that a machine must fetch before it can run a task (`bundle`).
    #[serde(rename = "bundle")]
    pub image: String,
    /// Size of the image, in GB.
    pub image_gb: f64,
    /// Names of the allowed machine types; `None` allows all (`flavours`).
    #[serde(rename = "flavours", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// Name of the only allowed zone; `None` allows all (`site`).
    #[serde(rename = "site", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Whether all tasks must run in the same zone (`same_place`).
    #[serde(rename = "same_place")]
    pub one_zone: bool,
    /// Whether at most half of the tasks, rounded up, may be in one zone (`apart`).
    #[serde(rename = "apart")]
    pub spread: bool,
    /// Whether tasks may run on spot machines (`loaners`).
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The user's estimate of a task's run time without the image fetch, in seconds (`guess_s`). It
    /// is often wrong.
    #[serde(rename = "guess_s")]
    pub estimate_s: f64,
    /// Progress between two checkpoints, in seconds; 0 if tasks can't save checkpoints
    /// (`snapshot_s`).
    #[serde(rename = "snapshot_s")]
    pub checkpoint_interval_s: f64,
    /// Time that a task needs to save a checkpoint when it is stopped, in seconds (`flush_s`).
    #[serde(rename = "flush_s")]
    pub checkpoint_save_s: f64,
    /// Time from the submission within which the job should complete, in seconds; `None` without a
    /// deadline (`due_s`).
    #[serde(rename = "due_s", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

impl JobSpec {
    /// Returns the maximum number of tasks in one zone at the same time, as limited by `spread`.
    pub fn max_tasks_per_zone(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }
}

/// Status of a job, as shown to its user.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStatus {
    /// No task is running (`pending`).
    #[serde(rename = "pending")]
    Queued,
    /// At least one task is running (`running`).
    #[serde(rename = "running")]
    Running,
    /// All tasks are finished (`done`). This status is final.
    #[serde(rename = "done")]
    Done,
    /// The user cancelled the job (`aborted`). This status is final.
    #[serde(rename = "aborted")]
    Cancelled,
}

impl JobStatus {
    /// Returns whether the status is final, which means that it never changes.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::Cancelled)
    }
}

/// The response to a submission, a query or a cancellation of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// Id of the job (`name_id`).
    #[serde(rename = "name_id")]
    pub id: JobId,
    /// Status of the job.
    #[serde(rename = "status")]
    pub status: JobStatus,
    /// Number of finished tasks, for display (`done`).
    #[serde(rename = "done", default, skip_serializing_if = "Option::is_none")]
    pub finished_count: Option<u32>,
    /// Number of running tasks, for display (`running`).
    #[serde(rename = "running", default, skip_serializing_if = "Option::is_none")]
    pub running_count: Option<u32>,
}

/// The body of an error response.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ErrorView {
    /// Text that explains the error to the user.
    pub error: String,
}
