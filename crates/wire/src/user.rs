//! What users send and receive.

use crate::text::ParsedText;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;

/// Most tasks that one job may have.
pub const MAX_TASKS: u32 = 100_000;
const MAX_NAME: usize = 120;

pub const PATH_JOBS: &str = "/submissions";
pub const PATH_CANCEL: &str = "withdraw";
pub const PATH_READY: &str = "/ready";

const JOB_ID_PREFIX: &str = "j-";
const JOB_ID_DIGITS: usize = 20;

/// The id of a job, chosen by its user. It is kept in place, without an allocation: a leader
/// compares and copies ids for every task of every report.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobId {
    /// The digits as they were sent, leading zeros too, then zero bytes: so ids are in order of
    /// their text.
    digits: [u8; JOB_ID_DIGITS],
    length: u8,
}

impl JobId {
    pub fn parse(text: &str) -> Option<Self> {
        let given = text.strip_prefix(JOB_ID_PREFIX)?.as_bytes();
        let ok = (1..=JOB_ID_DIGITS).contains(&given.len()) && given.iter().all(u8::is_ascii_digit);
        if !ok {
            return None;
        }
        let mut digits = [0; JOB_ID_DIGITS];
        digits[..given.len()].copy_from_slice(given);
        Some(Self { digits, length: u8::try_from(given.len()).ok()? })
    }

    fn digits(&self) -> &str {
        // They were taken from a text, and are ASCII.
        std::str::from_utf8(&self.digits[..usize::from(self.length)]).unwrap_or_default()
    }
}

impl fmt::Debug for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "JobId({self})")
    }
}

impl Serialize for JobId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for JobId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_str(ParsedText { parse: Self::parse, expected: "job id" })
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{JOB_ID_PREFIX}{}", self.digits())
    }
}

/// The kinds of job that this service runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    #[serde(rename = "sweep")]
    Array,
}

/// Priorities, the highest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    #[serde(rename = "production")]
    Production,
    #[serde(rename = "urgent")]
    High,
    #[serde(rename = "normal")]
    Normal,
    #[serde(rename = "idle")]
    Low,
}

/// A job as its user submits it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    #[serde(rename = "name_id")]
    pub id: JobId,
    #[serde(rename = "pool")]
    pub class: String,
    #[serde(rename = "owner")]
    pub team: String,
    #[serde(rename = "shape")]
    pub kind: Kind,
    #[serde(rename = "rank")]
    pub priority: Priority,
    #[serde(rename = "pieces")]
    pub tasks: u32,
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    #[serde(rename = "accelerators")]
    pub gpus: f64,
    #[serde(rename = "mem_gb")]
    pub memory_gb: f64,
    #[serde(rename = "bundle")]
    pub image: String,
    pub image_gb: f64,
    #[serde(rename = "flavours", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    #[serde(rename = "site", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    #[serde(rename = "same_place")]
    pub one_zone: bool,
    #[serde(rename = "apart")]
    pub spread: bool,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "guess_s")]
    pub estimate_s: f64,
    #[serde(rename = "snapshot_s")]
    pub checkpoint_s: f64,
    #[serde(rename = "flush_s")]
    pub save_s: f64,
    #[serde(rename = "due_s", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

/// Why a submission is malformed. The id is kept where it could be read, so that a repeat of
/// an accepted submission can still be recognised.
#[derive(Debug, thiserror::Error)]
#[error("{reason}")]
pub struct BadSubmission {
    pub id: Option<JobId>,
    pub reason: String,
}

impl JobSpec {
    pub fn parse(body: &[u8]) -> Result<Self, BadSubmission> {
        let bad = |id: Option<JobId>, reason: String| BadSubmission { id, reason };
        let value: serde_json::Value = serde_json::from_slice(body)
            .map_err(|e| bad(None, format!("body is not JSON: {e}")))?;
        if !value.is_object() {
            return Err(bad(None, "body is not an object".to_owned()));
        }
        let id = value["name_id"].as_str().and_then(JobId::parse);
        let spec: Self =
            serde_json::from_value(value).map_err(|e| bad(id.clone(), e.to_string()))?;
        match spec.check() {
            Ok(()) => Ok(spec),
            Err(reason) => Err(bad(id, reason)),
        }
    }

    fn check(&self) -> Result<(), String> {
        let name = |field: &str, text: &str| {
            if text.is_empty() || text.len() > MAX_NAME {
                return Err(format!("{field}: must have 1 to {MAX_NAME} bytes"));
            }
            Ok(())
        };
        name("pool", &self.class)?;
        name("owner", &self.team)?;
        name("bundle", &self.image)?;
        if let Some(zone) = &self.zone {
            name("site", zone)?;
        }
        if let Some(types) = &self.types {
            if types.is_empty() || types.len() > 64 {
                return Err("flavours: must name 1 to 64 types".to_owned());
            }
            for label in types {
                name("flavours", label)?;
            }
        }
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return Err(format!("pieces: must be 1 to {MAX_TASKS}"));
        }
        let amounts = [
            ("vcpus", self.cpus),
            ("accelerators", self.gpus),
            ("mem_gb", self.memory_gb),
            ("image_gb", self.image_gb),
            ("guess_s", self.estimate_s),
            ("snapshot_s", self.checkpoint_s),
            ("flush_s", self.save_s),
            ("due_s", self.deadline_s.unwrap_or(0.0)),
        ];
        for (field, amount) in amounts {
            if !amount.is_finite() || !(0.0..=1e9).contains(&amount) {
                return Err(format!("{field}: must be an amount of 0 or more"));
            }
        }
        Ok(())
    }

    /// Most tasks that `spread` allows in one zone at a time.
    pub fn zone_cap(&self) -> u32 {
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
    #[serde(rename = "pending")]
    Queued,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "aborted")]
    Cancelled,
}

impl JobStatus {
    pub fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::Cancelled)
    }
}

/// The answer to a submission, a query or a cancellation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    #[serde(rename = "name_id")]
    pub id: JobId,
    #[serde(rename = "status")]
    pub status: JobStatus,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

/// Any answer that is not a success.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ErrorView {
    pub error: String,
}
