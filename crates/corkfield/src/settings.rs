//! Settings: the platform's file (TOML), the operators' own (JSON), and logging.

mod logging;
mod operator;

pub use logging::{start_logging, LoggingError};
pub use operator::{schema, Operator, OperatorError};

use corkfield_core::Config;
use corkfield_wire::settings::{PlatformSettings, SettingsError};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Unfinished jobs for each MB of memory: 8 KiB for each. An allowance, not a measurement.
const JOBS_PER_MB: f64 = 128.0;
const MIN_MAX_JOBS: f64 = 1000.0;
const MAX_MAX_JOBS: f64 = 100_000.0;
/// Where the platform doesn't say how much memory it grants.
const DEFAULT_MAX_JOBS: usize = 20_000;

/// One answer of the state service may take this part of the memory: one in so many bytes.
const ANSWER_MEMORY_DIVISOR: usize = 32;
/// In bytes. A page of a list has 512 KiB at most.
const MIN_ANSWER_LIMIT: usize = 1024 * 1024;
/// In bytes.
const MAX_ANSWER_LIMIT: usize = 8 * 1024 * 1024;

/// A worker's lease may last longer than its time to live by this factor: clocks drift.
const LEASE_DRIFT_FACTOR: f64 = 1.002;
/// Allowance for delays between a controller's answer and the end of a worker's lease, in seconds.
const ANSWER_MARGIN_S: f64 = 4.0;
/// The shortest answer limit, in seconds.
const MIN_ANSWER_LIMIT_S: f64 = 1.0;

/// A watch stays open for this part of the answer limit, within these bounds.
const WATCH_WAIT_DIVISOR: u32 = 4;
const MIN_WATCH_WAIT: Duration = Duration::from_millis(100);
const MAX_WATCH_WAIT: Duration = Duration::from_millis(1500);

/// Connections that a process may have open where the platform sets no limit.
const DEFAULT_MAX_CONNECTIONS: usize = 900;
/// Connections of each kind, at the least.
const MIN_SOCKETS: usize = 8;
/// Percentages of all connections; see [`Sockets`].
const ACCEPTED_PERCENT: usize = 65;
const KEPT_PERCENT: usize = 62;
const USERS_PERCENT: usize = 25;
const DIRECT_ORDERS_PERCENT: usize = 22;

/// Why the settings can't be loaded.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// A file can't be read.
    #[error("{path}: {error}")]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system says.
        error: std::io::Error,
    },
    /// The platform's settings are not valid.
    #[error("{path}: {error}")]
    Platform {
        /// The file.
        path: PathBuf,
        /// What is wrong with them.
        error: SettingsError,
    },
    /// The operators' settings are not valid.
    #[error("{path}: {error}")]
    Operator {
        /// The file.
        path: PathBuf,
        /// What is wrong with them.
        error: OperatorError,
    },
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

/// The settings of one controller.
#[derive(Debug, Clone)]
pub struct Settings {
    /// What the platform says: names, addresses, limits, teams.
    pub platform: PlatformSettings,
    /// What the operators chose.
    pub operator: Operator,
}

impl Settings {
    /// Reads and checks the platform's file and, if there is one, the operators'.
    pub fn load(config: &Path, operator: Option<&Path>) -> Result<Self, LoadError> {
        let platform = PlatformSettings::parse(&read(config)?)
            .map_err(|error| LoadError::Platform { path: config.to_owned(), error })?;
        let operator = match operator {
            Some(path) => Operator::parse(&read(path)?)
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
            (memory_mb * JOBS_PER_MB).clamp(MIN_MAX_JOBS, MAX_MAX_JOBS) as usize
        })
    }

    /// The memory that the platform grants, in MB, if it says so.
    fn memory_mb(&self) -> Option<f64> {
        let memory_mb = self.platform.service.limits.memory_mb;
        (memory_mb.is_finite() && memory_mb > 0.0).then_some(memory_mb)
    }

    /// Bytes that an answer of the state service may have. Read into records it takes several
    /// times as much for a moment, so a small process takes small ones: what is larger is read
    /// anew, page by page.
    pub fn state_answer_limit(&self) -> usize {
        self.memory_mb().map_or(MAX_ANSWER_LIMIT, |memory_mb| {
            let memory = (memory_mb * 1024.0 * 1024.0) as usize;
            (memory / ANSWER_MEMORY_DIVISOR).clamp(MIN_ANSWER_LIMIT, MAX_ANSWER_LIMIT)
        })
    }

    /// How long a controller without fresh state goes on answering heartbeats (S6): after that a
    /// worker's whole lease still has to pass before a cancellation's time is over.
    pub fn answer_limit(&self) -> Duration {
        let workers = &self.platform.service.workers;
        let left = workers.cancel_s - workers.lease_s * LEASE_DRIFT_FACTOR - ANSWER_MARGIN_S;
        Duration::from_secs_f64(left.max(MIN_ANSWER_LIMIT_S))
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
        (self.answer_limit() / WATCH_WAIT_DIVISOR).clamp(MIN_WATCH_WAIT, MAX_WATCH_WAIT)
    }

    /// The parts of the sockets that this process may have open. What is left is for the state
    /// service, the cloud and the other controllers.
    pub fn sockets(&self) -> Sockets {
        let all = match self.platform.service.limits.max_connections {
            0 => DEFAULT_MAX_CONNECTIONS,
            given => given as usize,
        };
        let part = |percent: usize| (all * percent / 100).max(MIN_SOCKETS);
        Sockets {
            accepted: part(ACCEPTED_PERCENT),
            kept: part(KEPT_PERCENT),
            users: part(USERS_PERCENT),
            direct_orders_in_flight: part(DIRECT_ORDERS_PERCENT),
        }
    }

    /// The configuration of the scheduler.
    pub fn scheduler_config(&self) -> Config {
        let params = &self.platform.service;
        Config {
            teams: params.teams.clone(),
            objectives: params.objectives.clone(),
            worker_lease: params.workers.lease_duration(),
            heartbeat_interval: params.workers.heartbeat_interval(),
            answer_limit: self.answer_limit(),
            list_lag: Duration::from_secs_f64(params.cloud.list_lag_s),
            placement_sample: self.operator.placement_sample as usize,
            idle_keep: Duration::from_secs_f64(self.operator.idle_keep_s),
        }
    }

    /// What the settings come to, for operators: one line for each subject.
    pub fn summary(&self) -> String {
        let platform = &self.platform;
        let operator = serde_json::to_string_pretty(&self.operator).unwrap_or_default();
        let lines = [
            format!(
                "controller {} in zone {}, {} controllers, {} teams",
                platform.node,
                platform.zone,
                platform.service.size,
                platform.service.teams.len(),
            ),
            self.sockets().summary(),
            format!("users and workers: {}", platform.listen),
            format!("unfinished jobs: {} at most", self.max_jobs()),
            format!("controllers: {}", platform.peer_listen),
            format!("state service: {}", platform.endpoints.state),
            format!("cloud: {}", platform.endpoints.cloud),
            format!("operators' settings: {operator}"),
            "settings are valid".to_owned(),
        ];
        lines.join("\n")
    }
}

impl Sockets {
    fn summary(&self) -> String {
        format!(
            "connections: {} accepted, {} of them kept between requests, {} of users, {} to machines",
            self.accepted, self.kept, self.users, self.direct_orders_in_flight,
        )
    }
}

/// The contents of a file of settings.
fn read(path: &Path) -> Result<String, LoadError> {
    std::fs::read_to_string(path).map_err(|error| LoadError::Read { path: path.to_owned(), error })
}

#[cfg(test)]
pub(crate) mod tests;
