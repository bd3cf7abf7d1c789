//! What workers send, and the orders they take.

use crate::text::ParsedText;
use crate::user::JobId;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;

pub const PATH_HEARTBEAT: &str = "/agent/beat";
pub const PATH_COMMANDS: &str = "/commands";
pub const PATH_STATUS: &str = "/inspect";

/// One task of a job.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    pub job: JobId,
    pub index: u32,
}

impl TaskId {
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
        deserializer.deserialize_str(ParsedText { parse: Self::parse, expected: "task id" })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskPhase {
    Fetching,
    Running,
    Saving,
    Exited,
    /// A state that this version doesn't know; treated as being on the machine.
    #[serde(other)]
    Other,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitCause {
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "halted")]
    Stopped,
    #[serde(rename = "error")]
    Error,
    #[serde(rename = "no_room")]
    NoRoom,
    #[serde(rename = "in_use")]
    Busy,
    #[serde(rename = "no_such")]
    Unknown,
    #[serde(other)]
    Other,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStatus {
    #[serde(rename = "piece")]
    pub task: TaskId,
    #[serde(rename = "try")]
    pub attempt: u64,
    #[serde(rename = "status")]
    pub phase: TaskPhase,
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<ExitCause>,
    #[serde(rename = "stored", default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A worker's report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerHeartbeat {
    #[serde(rename = "host")]
    pub machine: String,
    pub addr: String,
    #[serde(rename = "flavour")]
    pub machine_type: String,
    #[serde(rename = "site")]
    pub zone: String,
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    #[serde(rename = "tenure")]
    pub agent_epoch: u64,
    #[serde(rename = "serial")]
    pub sequence: u64,
    #[serde(rename = "epoch", default)]
    pub term: u64,
    #[serde(rename = "warning_s", default)]
    pub notice_s: Option<f64>,
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskStatus>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb")]
pub enum Order {
    #[serde(rename = "launch")]
    Start {
        #[serde(rename = "piece")]
        task: TaskId,
        #[serde(rename = "try")]
        attempt: u64,
    },
    #[serde(rename = "kill")]
    Stop {
        #[serde(rename = "piece")]
        task: TaskId,
        #[serde(rename = "try")]
        attempt: u64,
        #[serde(rename = "wind_down_s")]
        grace_s: f64,
    },
    #[serde(rename = "reap")]
    Forget {
        #[serde(rename = "piece")]
        task: TaskId,
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// The answer to a report that was accepted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    #[serde(rename = "epoch")]
    pub term: u64,
    pub orders: Vec<Order>,
}

/// The answer that sends a worker to another controller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Redirect {
    #[serde(rename = "upstream", default, skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}

/// Orders sent straight to a machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DirectOrders {
    #[serde(rename = "epoch")]
    pub term: u64,
    #[serde(rename = "tenure")]
    pub agent_epoch: u64,
    pub orders: Vec<Order>,
}
