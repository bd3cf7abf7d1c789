//! What workers send, and the orders they take.

use crate::ids::{AgentEpoch, Attempt, ControllerName, MachineName, Term};
use crate::job_id::JobId;
use crate::parse_visitor::ParseVisitor;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;

/// Path of a controller that takes heartbeats.
pub const PATH_HEARTBEAT: &str = "/agent/beat";
/// Path of a worker that takes direct orders.
pub const PATH_COMMANDS: &str = "/commands";
/// Path of a worker that answers with its heartbeat.
pub const PATH_STATUS: &str = "/inspect";

/// One task of a job; written as `{job}/{index}`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The task's number in its job, from 0.
    pub index: u32,
}

impl TaskId {
    /// Reads an id; none if the text is not of its form.
    pub fn parse(text: &str) -> Option<Self> {
        let (job, index) = text.split_once('/')?;
        Some(Self { job: JobId::parse(job)?, index: index.parse().ok()? })
    }
}

impl Serialize for TaskId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for TaskId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_str(ParseVisitor { parse: Self::parse, expected: "task id" })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// What a task on a machine does (`status`).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskPhase {
    /// It waits for its image.
    Fetching,
    /// It runs.
    Running,
    /// It was ordered to stop, and saves a checkpoint.
    Saving,
    /// It ended; see its [`ExitCause`].
    Exited,
    /// A state that this version doesn't know; treated as being on the machine.
    #[serde(other)]
    Other,
}

/// Why a task ended, or was never started (`cause`).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitCause {
    /// It completed; its result is kept.
    #[serde(rename = "done")]
    Done,
    /// It was stopped by an order (`halted`).
    #[serde(rename = "halted")]
    Stopped,
    /// It failed: mostly the machine's fault, sometimes the job's.
    #[serde(rename = "error")]
    Error,
    /// Start refused: too little is free on the machine (`no_room`).
    #[serde(rename = "no_room")]
    NoRoom,
    /// Start refused: the task is on the machine under another attempt (`in_use`).
    #[serde(rename = "in_use")]
    OtherAttemptPresent,
    /// Start refused: no such job or task (`no_such`).
    #[serde(rename = "no_such")]
    NoSuchTask,
    /// A cause that this version doesn't know.
    #[serde(other)]
    Other,
}

/// One task in a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task.
    #[serde(rename = "piece")]
    pub task: TaskId,
    /// The attempt that it was started under.
    #[serde(rename = "try")]
    pub attempt: Attempt,
    /// What it does.
    #[serde(rename = "status")]
    pub phase: TaskPhase,
    /// Why it ended, once it has.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<ExitCause>,
    /// Whether its progress was saved when it was stopped (`stored`).
    #[serde(rename = "stored", default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A worker's heartbeat: what its machine is, and which tasks are on it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerHeartbeat {
    /// Name of the machine.
    #[serde(rename = "host")]
    pub machine: MachineName,
    /// Address that takes direct orders, `IP:port`.
    pub addr: String,
    /// Name of the machine's type.
    #[serde(rename = "flavour")]
    pub machine_type: String,
    /// Name of the machine's zone.
    #[serde(rename = "site")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// From 1; raised each time the worker's lease expires.
    #[serde(rename = "tenure")]
    pub agent_epoch: AgentEpoch,
    /// Raised with each message of the worker. The message with the larger agent epoch and
    /// sequence is the newer one (S10).
    #[serde(rename = "serial")]
    pub sequence: u64,
    /// The highest term that the worker has seen (`epoch`); it drops orders of lower ones.
    #[serde(rename = "epoch", default)]
    pub term: Term,
    /// Seconds until the cloud takes the machine away; none without such a notice.
    #[serde(rename = "warning_s", default)]
    pub termination_notice_s: Option<f64>,
    /// All tasks on the machine, and those that exited and were not yet forgotten.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskStatus>,
}

/// A connection over which a worker's heartbeats come to a controller. No two are the same while a
/// leader leads, and each is of one process of one worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConnectionId {
    /// The controller's process that accepted it.
    pub process: u64,
    /// Its number among those that the process has accepted.
    pub number: u64,
}

/// A worker's heartbeat as one controller relays it to another: as it came, and over which
/// connection. A controller that does not know the field takes the heartbeat alone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayedHeartbeat {
    /// The heartbeat.
    #[serde(flatten)]
    pub heartbeat: WorkerHeartbeat,
    /// The connection that the worker sent it over; none from a controller that does not say.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub connection: Option<ConnectionId>,
}

/// An order to a worker (`verb`). Each may be repeated, but a start after a forget starts the
/// task again.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb")]
pub enum Order {
    /// Starts a task. Without effect if the worker has this task and attempt in any state.
    #[serde(rename = "launch")]
    Start {
        /// The task.
        #[serde(rename = "piece")]
        task: TaskId,
        /// The attempt to start it under.
        #[serde(rename = "try")]
        attempt: Attempt,
    },
    /// Stops a task.
    #[serde(rename = "kill")]
    Stop {
        /// The task.
        #[serde(rename = "piece")]
        task: TaskId,
        /// The attempt to stop.
        #[serde(rename = "try")]
        attempt: Attempt,
        /// Seconds that the task may take to save a checkpoint. Below what it needs, it exits
        /// at once; 0 ends one that is saving.
        #[serde(rename = "wind_down_s")]
        grace_s: f64,
    },
    /// Drops an exited task from the heartbeats (S9).
    #[serde(rename = "reap")]
    Forget {
        /// The task.
        #[serde(rename = "piece")]
        task: TaskId,
        /// The attempt to forget.
        #[serde(rename = "try")]
        attempt: Attempt,
    },
}

/// The answer to a heartbeat that was accepted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The leader's term (`epoch`); the worker drops an answer with a lower one than it has seen.
    #[serde(rename = "epoch")]
    pub term: Term,
    /// Carried out in this order.
    pub orders: Vec<Order>,
}

/// The answer that sends a worker to another controller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Redirect {
    /// Name of the node to report to; none sends the worker to the next that it knows.
    #[serde(rename = "upstream", default, skip_serializing_if = "Option::is_none")]
    pub report_to: Option<ControllerName>,
}

/// Orders sent straight to a machine. They can be carried out late, so they never start a task
/// (S3). Refused unless term and agent epoch fit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DirectOrders {
    /// The leader's term.
    #[serde(rename = "epoch")]
    pub term: Term,
    /// The agent epoch of the worker that they are meant for.
    #[serde(rename = "tenure")]
    pub agent_epoch: AgentEpoch,
    /// Carried out in this order. None: a fence, which only shows the worker the term.
    pub orders: Vec<Order>,
}
