//! Settings: the platform's file (TOML), the operators' own (JSON), and the log level.

use corkfield_core::Config;
use corkfield_wire::settings::{Platform, SettingsError};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tracing_subscriber::filter::LevelFilter;

/// The operators' own settings. All have defaults; unknown ones are errors.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Operator {
    /// Time to live of a controller's lease, in seconds.
    #[schemars(range(min = 1.0, max = 120.0))]
    pub lease_s: f64,
    /// Records in one claiming transaction.
    #[schemars(range(min = 1, max = 100))]
    pub claim_batch: u32,
    /// Claims that a job may have without progress before it is set aside.
    #[schemars(range(min = 1, max = 1000))]
    pub claim_limit: u32,
    /// How long the answer to an idle machine's report may wait for work, in seconds.
    #[schemars(range(min = 0.0, max = 3.0))]
    pub hold_s: f64,
    /// How long an idle machine is kept before it is returned, in seconds.
    #[schemars(range(min = 0.0, max = 86400.0))]
    pub idle_keep_s: f64,
    /// Machines looked at for one placement; more candidates than this are sampled.
    #[schemars(range(min = 1, max = 10000))]
    pub placement_sample: u32,
    /// Unfinished jobs above which new ones are refused for the time being; left out, it follows
    /// from the memory that the platform grants.
    #[schemars(range(min = 1, max = 1000000))]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_jobs: Option<u32>,
    /// Tasks are started only if the state service was heard of this recently, in seconds.
    #[schemars(range(min = 0.05, max = 60.0))]
    pub start_proof_s: f64,
}

impl Default for Operator {
    fn default() -> Self {
        Self {
            lease_s: 10.0,
            claim_batch: 4,
            claim_limit: 12,
            hold_s: 2.0,
            idle_keep_s: 60.0,
            placement_sample: 64,
            max_jobs: None,
            start_proof_s: 1.0,
        }
    }
}

impl Operator {
    fn check(&self) -> Result<(), String> {
        let ranges = [
            ("lease_s", self.lease_s, 1.0, 120.0),
            ("claim_batch", f64::from(self.claim_batch), 1.0, 100.0),
            ("claim_limit", f64::from(self.claim_limit), 1.0, 1000.0),
            ("hold_s", self.hold_s, 0.0, 3.0),
            ("idle_keep_s", self.idle_keep_s, 0.0, 86400.0),
            ("placement_sample", f64::from(self.placement_sample), 1.0, 10000.0),
            ("max_jobs", f64::from(self.max_jobs.unwrap_or(1)), 1.0, 1e6),
            ("start_proof_s", self.start_proof_s, 0.05, 60.0),
        ];
        for (field, value, least, most) in ranges {
            if !(least..=most).contains(&value) {
                return Err(format!("{field}: must be from {least} to {most}"));
            }
        }
        Ok(())
    }
}

/// Unfinished jobs for each MB of memory: 8 KiB for each. An allowance, not a measurement.
const JOBS_A_MB: f64 = 128.0;
const LEAST_MAX_JOBS: f64 = 1000.0;
const MOST_MAX_JOBS: f64 = 100_000.0;
const DEFAULT_MAX_JOBS: usize = 20_000;

/// One answer of the state service may be this part of the memory.
const ANSWER_MEMORY_PART: usize = 32;
/// A page of a list has 512 KiB at most.
const LEAST_ANSWER: usize = 1024 * 1024;
const MOST_ANSWER: usize = 8 * 1024 * 1024;

#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    #[error("{path}: {error}")]
    Read { path: PathBuf, error: std::io::Error },
    #[error("{path}: {error}")]
    Platform { path: PathBuf, error: SettingsError },
    #[error("{path}: {error}")]
    Operator { path: PathBuf, error: String },
}

/// How many connections of each kind may be open at once.
#[derive(Debug, Clone, Copy)]
pub struct Sockets {
    /// Accepted from users and workers.
    pub accepted: usize,
    /// While more of these are open, each is closed after its answer.
    pub kept: usize,
    /// Of these, from others than workers.
    pub users: usize,
    /// To machines.
    pub direct_orders_in_flight: usize,
}

#[derive(Debug, Clone)]
pub struct Settings {
    pub platform: Platform,
    pub operator: Operator,
}

impl Settings {
    pub fn load(config: &Path, operator: Option<&Path>) -> Result<Self, LoadError> {
        let read = |path: &Path| {
            std::fs::read_to_string(path)
                .map_err(|error| LoadError::Read { path: path.to_owned(), error })
        };
        let platform = Platform::parse(&read(config)?)
            .map_err(|error| LoadError::Platform { path: config.to_owned(), error })?;
        let operator = match operator {
            Some(path) => parse_operator(&read(path)?)
                .map_err(|error| LoadError::Operator { path: path.to_owned(), error })?,
            None => Operator::default(),
        };
        Ok(Self { platform, operator })
    }

    /// Unfinished jobs that this controller keeps. A job takes some KiB, in the copy of the state
    /// service and in the leader.
    pub fn max_jobs(&self) -> usize {
        self.operator.max_jobs.map_or_else(|| self.jobs_in_memory(), |most| most as usize)
    }

    fn jobs_in_memory(&self) -> usize {
        self.memory_mb().map_or(DEFAULT_MAX_JOBS, |memory_mb| {
            (memory_mb * JOBS_A_MB).clamp(LEAST_MAX_JOBS, MOST_MAX_JOBS) as usize
        })
    }

    /// The memory that the platform grants, if it says so.
    fn memory_mb(&self) -> Option<f64> {
        let memory_mb = self.platform.params.limits.memory_mb;
        (memory_mb.is_finite() && memory_mb > 0.0).then_some(memory_mb)
    }

    /// Bytes that an answer of the state service may have. Read into records it takes several
    /// times as much for a moment, so a small process takes small ones: what is larger is read
    /// anew, page by page.
    pub fn state_answer_limit(&self) -> usize {
        self.memory_mb().map_or(MOST_ANSWER, |memory_mb| {
            let memory = (memory_mb * 1024.0 * 1024.0) as usize;
            (memory / ANSWER_MEMORY_PART).clamp(LEAST_ANSWER, MOST_ANSWER)
        })
    }

    /// How long a controller without fresh state goes on answering reports (S6): after that a
    /// worker's whole lease still has to pass before a cancellation's time is over.
    pub fn answer_limit(&self) -> Duration {
        let workers = &self.platform.params.workers;
        let left = workers.cancel_s - workers.lease_s * 1.002 - 4.0;
        Duration::from_secs_f64(left.max(1.0))
    }

    /// How young a proof of fresh state has to be for a start to leave (S4).
    pub fn start_proof(&self) -> Duration {
        Duration::from_secs_f64(self.operator.start_proof_s)
    }

    /// How long a watch may stay open. Only its beginning proves fresh state, so it has to be
    /// short against the answer limit: where a cancellation has little more time than a lease,
    /// a quiet leader would otherwise refuse its workers between two watches. One and its
    /// predecessor, with a pause between them, also stay below the time after which a controller
    /// takes the service to be away.
    pub fn watch_wait(&self) -> Duration {
        (self.answer_limit() / 4).clamp(Duration::from_millis(100), Duration::from_millis(1500))
    }

    /// The parts of the sockets that this process may have open. What is left is for the state
    /// service, the cloud and the other controllers.
    pub fn sockets(&self) -> Sockets {
        let all = match self.platform.params.limits.max_connections {
            0 => 900,
            given => given as usize,
        };
        let part = |percent: usize| (all * percent / 100).max(8);
        Sockets {
            accepted: part(65),
            kept: part(62),
            users: part(25),
            direct_orders_in_flight: part(22),
        }
    }

    pub fn scheduler_config(&self) -> Config {
        let params = &self.platform.params;
        Config {
            teams: params.teams.clone(),
            objectives: params.objectives.clone(),
            worker_lease: params.workers.lease(),
            heartbeat_interval: params.workers.heartbeat_interval(),
            answer_limit: self.answer_limit(),
            list_lag: Duration::from_secs_f64(params.cloud.list_lag_s),
            placement_sample: self.operator.placement_sample as usize,
            idle_keep: Duration::from_secs_f64(self.operator.idle_keep_s),
        }
    }

    pub fn summary(&self) -> String {
        let platform = &self.platform;
        let sockets = self.sockets();
        let operator = serde_json::to_string_pretty(&self.operator).unwrap_or_default();
        format!(
            "controller {} in zone {}, {} controllers, {} teams\nconnections: {} accepted, {} of them kept between requests, {} of users, {} to machines\nusers and workers: {}\nunfinished jobs: {} at most\ncontrollers: {}\nstate service: {}\ncloud: {}\noperators' settings: {operator}\nsettings are valid",
            platform.node,
            platform.zone,
            platform.params.size,
            platform.params.teams.len(),
            sockets.accepted,
            sockets.kept,
            sockets.users,
            sockets.direct_orders_in_flight,
            platform.listen,
            self.max_jobs(),
            platform.peer_listen,
            platform.endpoints.state,
            platform.endpoints.cloud,
        )
    }
}

fn parse_operator(text: &str) -> Result<Operator, String> {
    let value: serde_json::Value = serde_json::from_str(text).map_err(|e| e.to_string())?;
    if !value.is_object() {
        return Err("must be a JSON object".to_owned());
    }
    let operator: Operator = serde_json::from_value(value).map_err(|e| e.to_string())?;
    operator.check()?;
    Ok(operator)
}

pub fn schema() -> String {
    serde_json::to_string_pretty(&schemars::schema_for!(Operator)).unwrap_or_default()
}

/// Logs go to standard error, at the level that `LOG_LEVEL` names.
pub fn start_logging() -> Result<(), String> {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("error") => LevelFilter::ERROR,
        Ok("warn") => LevelFilter::WARN,
        Ok("info" | "") | Err(_) => LevelFilter::INFO,
        Ok("debug") => LevelFilter::DEBUG,
        Ok(other) => return Err(format!("LOG_LEVEL: `{other}` is not error, warn, info or debug")),
    };
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_max_level(level)
        .with_target(false)
        .with_ansi(false)
        .init();
    Ok(())
}

#[cfg(test)]
mod tests;
