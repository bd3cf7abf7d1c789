//! Messages between workers and controllers: heartbeats and orders.
//!
//! The protocol calls a term `epoch`, an agent epoch `tenure`, a task `piece` and an attempt `try`.

use crate::ids::{AgentEpoch, Attempt, ControllerName, MachineName, Term};
use crate::job_id::JobId;
use crate::parse_visitor::ParseVisitor;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;

/// Path at which a controller accepts heartbeats.
pub const PATH_HEARTBEAT: &str = "/agent/beat";
/// Path at which a worker accepts direct orders.
pub const PATH_COMMANDS: &str = "/commands";
/// Path at which a worker answers with its current heartbeat.
pub const PATH_STATUS: &str = "/inspect";

/// The id of a task, written as `{job}/{index}`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// Id of the job.
    pub job: JobId,
    /// Index of the task in its job, from 0.
    pub index: u32,
}

impl TaskId {
    /// Parses an id; returns `None` if the text is not a valid task id.
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

/// Phase of a task on a machine (`status`).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskPhase {
    /// The machine fetches the task's image.
    Fetching,
    /// The task is running.
    Running,
    /// The task was ordered to stop and is saving a checkpoint.
    Saving,
    /// The task has ended for the reason given by its [`ExitCause`], or was never started.
    Exited,
    /// A phase that is unknown to this version. The task counts as present on the machine.
    #[serde(other)]
    Other,
}

/// Reason why a task ended or was never started (`cause`).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitCause {
    /// The task completed, and its result is kept (`done`).
    #[serde(rename = "done")]
    Done,
    /// The task was stopped by an order (`halted`).
    #[serde(rename = "halted")]
    Stopped,
    /// The task failed (`error`). The usual cause is the machine, sometimes the job.
    #[serde(rename = "error")]
    Error,
    /// The worker refused the start, because the machine has too few free resources (`no_room`).
    #[serde(rename = "no_room")]
    NoRoom,
    /// The worker refused the start, because another attempt at the task is on the machine
    /// (`in_use`).
    #[serde(rename = "in_use")]
    OtherAttemptPresent,
    /// The worker refused the start, because it knows no such job or task (`no_such`).
    #[serde(rename = "no_such")]
    NoSuchTask,
    /// A cause that is unknown to this version.
    #[serde(other)]
    Other,
}

/// Status of one task in a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// Id of the task (`piece`).
    #[serde(rename = "piece")]
    pub task: TaskId,
    /// Attempt under which the task was started (`try`).
    #[serde(rename = "try")]
    pub attempt: Attempt,
    /// Phase of the task (`status`).
    #[serde(rename = "status")]
    pub phase: TaskPhase,
    /// Reason why the task ended or was never started; `None` until the task has exited.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<ExitCause>,
    /// Whether the task's progress was saved when the task was stopped (`stored`).
    #[serde(rename = "stored", default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A worker's heartbeat: a description of its machine and the status of all tasks on the machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerHeartbeat {
    /// Name of the machine (`host`).
    #[serde(rename = "host")]
    pub machine: MachineName,
    /// Address at which the worker takes direct orders, as `IP:port`.
    pub addr: String,
    /// Name of the machine's type (`flavour`).
    #[serde(rename = "flavour")]
    pub machine_type: String,
    /// Name of the machine's zone (`site`).
    #[serde(rename = "site")]
    pub zone: String,
    /// Whether the machine is a spot machine (`loaners`).
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// Agent epoch of the worker (`tenure`). It starts at 1 and is raised each time the worker's
    /// lease expires.
    #[serde(rename = "tenure")]
    pub agent_epoch: AgentEpoch,
    /// Sequence number of this message, raised with each message of the worker (`serial`). Messages
    /// are ordered by agent epoch, then by sequence number; outdated messages are ignored (S10).
    #[serde(rename = "serial")]
    pub sequence: u64,
    /// Highest term that the worker has seen (`epoch`). The worker drops orders of lower terms.
    #[serde(rename = "epoch", default)]
    pub term: Term,
    /// Time until the cloud reclaims the machine, in seconds, if the cloud has given an interruption
    /// notice (`warning_s`).
    #[serde(rename = "warning_s", default)]
    pub interruption_notice_s: Option<f64>,
    /// All tasks on the machine, including exited tasks that were not yet forgotten (`pieces`).
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskStatus>,
}

/// The id of a connection over which a controller receives a worker's heartbeats. No two
/// connections have the same id during one term, and each connection belongs to one process of one
/// worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConnectionId {
    /// Random number of the controller process that accepted the connection.
    pub process: u64,
    /// Number of the connection among those that the process accepted.
    pub number: u64,
}

/// A worker's heartbeat with its connection, as one controller relays it to another. Controllers of
/// older versions ignore the connection.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayedHeartbeat {
    /// The heartbeat, whose fields are at the same level of the JSON object as `connection`.
    #[serde(flatten)]
    pub heartbeat: WorkerHeartbeat,
    /// Connection over which the worker sent the heartbeat; `None` if relayed by an older version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub connection: Option<ConnectionId>,
}

/// An order to a worker (`verb`). Orders are idempotent, except that a start that is repeated after
/// a forget starts the task again.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb")]
pub enum Order {
    /// Starts a task (`launch`). Has no effect if the worker has this attempt in any phase.
    #[serde(rename = "launch")]
    Start {
        /// Id of the task (`piece`).
        #[serde(rename = "piece")]
        task: TaskId,
        /// Attempt under which the task is started (`try`).
        #[serde(rename = "try")]
        attempt: Attempt,
    },
    /// Stops a task (`kill`).
    #[serde(rename = "kill")]
    Stop {
        /// Id of the task (`piece`).
        #[serde(rename = "piece")]
        task: TaskId,
        /// Attempt to stop (`try`).
        #[serde(rename = "try")]
        attempt: Attempt,
        /// Time that the task may take to save a checkpoint, in seconds (`wind_down_s`). A task
        /// that needs more time exits at once. With 0, a task that is already saving exits at once,
        /// too.
        #[serde(rename = "wind_down_s")]
        grace_s: f64,
    },
    /// Drops an exited task from the worker's heartbeats (`reap`). A finished task is forgotten
    /// only after its result is stored (S9).
    #[serde(rename = "reap")]
    Forget {
        /// Id of the task (`piece`).
        #[serde(rename = "piece")]
        task: TaskId,
        /// Attempt to forget (`try`).
        #[serde(rename = "try")]
        attempt: Attempt,
    },
}

/// The response to an accepted heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// Term of the leader (`epoch`). The worker drops responses with a lower term than it has seen.
    #[serde(rename = "epoch")]
    pub term: Term,
    /// Orders, executed in sequence.
    pub orders: Vec<Order>,
}

/// The response that redirects a worker to another controller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Redirect {
    /// Node name of the controller to report to (`upstream`). With `None`, the worker tries the
    /// next controller that it knows.
    #[serde(rename = "upstream", default, skip_serializing_if = "Option::is_none")]
    pub report_to: Option<ControllerName>,
}

/// Orders that the leader sends directly to a worker, outside the responses to heartbeats.
///
/// Direct orders may be executed late, and therefore never start a task (S3). The worker rejects
/// direct orders whose term is lower than the highest term that the worker has seen, or whose agent
/// epoch is not the worker's own.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DirectOrders {
    /// Term of the leader (`epoch`).
    #[serde(rename = "epoch")]
    pub term: Term,
    /// Agent epoch of the worker to which the orders are addressed (`tenure`).
    #[serde(rename = "tenure")]
    pub agent_epoch: AgentEpoch,
    /// Orders, executed in sequence. Without orders the message is a fence, which only conveys
    /// the term to the worker.
    pub orders: Vec<Order>,
}
