//! What users send and receive.

mod submission;

pub use crate::job_id::JobId;
pub use submission::SubmissionError;

use serde::{Deserialize, Serialize};

/// Most tasks that one job may have.
pub const MAX_TASKS: u32 = 100_000;

/// Path of submissions; with `/{id}` added, of one job.
pub const PATH_JOBS: &str = "/submissions";
/// Last part of the path that cancels a job.
pub const PATH_CANCEL: &str = "withdraw";
/// Path of the load balancer's probes.
pub const PATH_READY: &str = "/ready";

/// The kinds of job that this service runs (`shape`).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks, each of which runs to completion: a job array.
    #[serde(rename = "sweep")]
    Array,
}

/// Priorities (`rank`), the highest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// Above all others.
    #[serde(rename = "production")]
    Production,
    /// `urgent` in the protocol.
    #[serde(rename = "urgent")]
    High,
    /// The ordinary priority.
    #[serde(rename = "normal")]
    Normal,
    /// `idle` in the protocol.
    #[serde(rename = "idle")]
    Low,
}

/// A job as its user submits it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The job's id, chosen by the user; a repeated submission carries the same one.
    #[serde(rename = "name_id")]
    pub id: JobId,
    /// The class of jobs that it belongs to; objectives are set for each class.
    #[serde(rename = "pool")]
    pub class: String,
    /// The team whose guarantee and limit apply.
    #[serde(rename = "owner")]
    pub team: String,
    /// Its kind.
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// Its priority.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks, 1 to [`MAX_TASKS`].
    #[serde(rename = "pieces")]
    pub tasks: u32,
    /// CPUs that each task takes of its machine.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// GPUs that each task takes.
    #[serde(rename = "accelerators")]
    pub gpus: f64,
    /// Memory that each task takes, in GB.
    #[serde(rename = "mem_gb")]
    pub memory_gb: f64,
    /// The image that a machine needs before a task can start.
    #[serde(rename = "bundle")]
    pub image: String,
    /// The image's size, in GB.
    pub image_gb: f64,
    /// The only machine types allowed; none allows any.
    #[serde(rename = "flavours", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// The only zone allowed; none allows any.
    #[serde(rename = "site", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// All tasks have to be in the same zone.
    #[serde(rename = "same_place")]
    pub one_zone: bool,
    /// At most half of the tasks, rounded up, may be in one zone.
    #[serde(rename = "apart")]
    pub spread: bool,
    /// Spot machines are allowed.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The user's estimate of a task's run time without the image fetch, in seconds; often wrong.
    #[serde(rename = "guess_s")]
    pub estimate_s: f64,
    /// Interval of progress between checkpoints, in seconds; 0 if tasks can't save any.
    #[serde(rename = "snapshot_s")]
    pub checkpoint_interval_s: f64,
    /// Time that a task needs to save a checkpoint when it is stopped, in seconds.
    #[serde(rename = "flush_s")]
    pub checkpoint_save_s: f64,
    /// When the job should be complete, in seconds from its submission; none without a deadline.
    #[serde(rename = "due_s", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

impl JobSpec {
    /// Most tasks that `spread` allows in one zone at a time.
    pub fn max_tasks_per_zone(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }
}

/// What a user is told of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStatus {
    /// No task runs (`pending`).
    #[serde(rename = "pending")]
    Queued,
    /// Tasks run.
    #[serde(rename = "running")]
    Running,
    /// All tasks are done. Final.
    #[serde(rename = "done")]
    Done,
    /// Cancelled by its user (`aborted`). Final.
    #[serde(rename = "aborted")]
    Cancelled,
}

impl JobStatus {
    /// Whether the job is over; a final status never changes.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::Cancelled)
    }
}

/// The answer to a submission, a query or a cancellation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// The job.
    #[serde(rename = "name_id")]
    pub id: JobId,
    /// Its status.
    #[serde(rename = "status")]
    pub status: JobStatus,
    /// How many tasks are done, for display.
    #[serde(rename = "done", default, skip_serializing_if = "Option::is_none")]
    pub finished_count: Option<u32>,
    /// How many tasks run, for display.
    #[serde(rename = "running", default, skip_serializing_if = "Option::is_none")]
    pub running_count: Option<u32>,
}

/// Any answer that is not a success.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ErrorView {
    /// What is wrong, as text for the user.
    pub error: String,
}
