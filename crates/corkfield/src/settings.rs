//! Settings of a controller: the platform settings (TOML file with the controller's name,
//! addresses, limits and teams), the operator settings (JSON file with optional tuning), and
//! logging.

mod logging;
mod operator;

pub use logging::{start_logging, LoggingError};
pub use operator::{schema, Operator, OperatorError};

use corkfield_core::Config;
use corkfield_wire::settings::{PlatformSettings, SettingsError};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Maximum unfinished jobs per MB of memory, which allows 8 KiB for each job.
const JOBS_PER_MB: f64 = 128.0;
/// Bounds of the maximum number of unfinished jobs that is derived from the memory.
const MIN_MAX_JOBS: f64 = 1000.0;
const MAX_MAX_JOBS: f64 = 100_000.0;
/// Maximum unfinished jobs if the platform doesn't state how much memory it grants.
const DEFAULT_MAX_JOBS: usize = 20_000;

/// The memory is divided by this to get the maximum length of an answer of the state service.
const ANSWER_MEMORY_DIVISOR: usize = 32;
/// Lower bound of the maximum answer length, in bytes. A page of a list has 512 KiB at most.
const MIN_STATE_ANSWER_BYTES: usize = 1024 * 1024;
/// Upper bound of the maximum answer length, in bytes.
const MAX_STATE_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Factor by which a worker's lease may exceed its time to live, because of clock drift.
const LEASE_DRIFT_FACTOR: f64 = 1.002;
/// Allowance for delays between a controller's answer and the end of a worker's lease, in seconds.
const ANSWER_MARGIN_S: f64 = 4.0;
/// The shortest answer limit, in seconds.
const MIN_ANSWER_LIMIT_S: f64 = 1.0;

/// The answer limit is divided by this to get the time that a watch stays open.
const WATCH_TIMEOUT_DIVISOR: u32 = 4;
/// Bounds of the time that a watch stays open.
const MIN_WATCH_TIMEOUT: Duration = Duration::from_millis(100);
const MAX_WATCH_TIMEOUT: Duration = Duration::from_millis(1500);

/// Maximum open connections of a process if the platform sets no limit.
const DEFAULT_MAX_CONNECTIONS: usize = 900;
/// Lower bound of the limit for each kind of connection.
const MIN_CONNECTIONS_PER_KIND: usize = 8;
/// Limits of the kinds of connections, in percent of all connections; see [`ConnectionLimits`].
const ACCEPTED_PERCENT: usize = 65;
const KEEP_ALIVE_PERCENT: usize = 62;
const USERS_PERCENT: usize = 25;
const DIRECT_ORDERS_PERCENT: usize = 22;

/// An error that occurs while settings are loaded.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// A file can't be read.
    #[error("{path}: {error}")]
    Read {
        /// The file.
        path: PathBuf,
        /// The operating system's error.
        error: std::io::Error,
    },
    /// The platform settings are not valid.
    #[error("{path}: {error}")]
    Platform {
        /// The file.
        path: PathBuf,
        /// The invalid setting.
        error: SettingsError,
    },
    /// The operator settings are not valid.
    #[error("{path}: {error}")]
    Operator {
        /// The file.
        path: PathBuf,
        /// The invalid setting.
        error: OperatorError,
    },
}

/// Maximum numbers of connections that may be open at once, by kind.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// Connections accepted from users and workers.
    pub accepted: usize,
    /// While more accepted connections than this are open, each one is closed after its answer.
    pub keep_alive: usize,
    /// Accepted connections of clients other than workers.
    pub users: usize,
    /// Connections to machines, for direct orders.
    pub direct_orders_in_flight: usize,
}

/// The settings of one controller.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The platform settings: names, addresses, limits, teams.
    pub platform: PlatformSettings,
    /// The operator settings: optional tuning.
    pub operator: Operator,
}

impl Settings {
    /// Reads and checks the file of platform settings, and the file of operator settings if there
    /// is one.
    ///
    /// # Errors
    ///
    /// If a file can't be read or its settings are not valid.
    pub fn load(platform_path: &Path, operator_path: Option<&Path>) -> Result<Self, LoadError> {
        let platform = PlatformSettings::parse(&read_file(platform_path)?)
            .map_err(|error| LoadError::Platform { path: platform_path.to_owned(), error })?;
        let operator = match operator_path {
            Some(path) => Operator::parse(&read_file(path)?)
                .map_err(|error| LoadError::Operator { path: path.to_owned(), error })?,
            None => Operator::default(),
        };
        Ok(Self { platform, operator })
    }

    /// Returns the maximum number of unfinished jobs. A job takes some KiB of memory, in the
    /// replica and in the leader's scheduler.
    pub fn max_jobs(&self) -> usize {
        self.operator.max_jobs.map_or_else(|| self.max_jobs_for_memory(), |max| max as usize)
    }

    /// Returns the maximum number of unfinished jobs that the granted memory allows.
    fn max_jobs_for_memory(&self) -> usize {
        self.memory_mb().map_or(DEFAULT_MAX_JOBS, |memory_mb| {
            (memory_mb * JOBS_PER_MB).clamp(MIN_MAX_JOBS, MAX_MAX_JOBS) as usize
        })
    }

    /// Returns the memory that the platform grants, in MB; `None` if the platform doesn't state it.
    fn memory_mb(&self) -> Option<f64> {
        let memory_mb = self.platform.service.limits.memory_mb;
        (memory_mb.is_finite() && memory_mb > 0.0).then_some(memory_mb)
    }

    /// Returns the maximum length of an answer of the state service, in bytes. Decoding an answer
    /// briefly takes several times its length in memory, so a process with little memory accepts
    /// only short answers. State that exceeds the maximum is read again page by page.
    pub fn max_state_answer_bytes(&self) -> usize {
        self.memory_mb().map_or(MAX_STATE_ANSWER_BYTES, |memory_mb| {
            let memory = (memory_mb * 1024.0 * 1024.0) as usize;
            (memory / ANSWER_MEMORY_DIVISOR).clamp(MIN_STATE_ANSWER_BYTES, MAX_STATE_ANSWER_BYTES)
        })
    }

    /// Returns how long a controller without fresh state continues to answer heartbeats (S6). After
    /// this time a worker's whole lease can still expire within the time limit of a cancellation.
    pub fn answer_limit(&self) -> Duration {
        let workers = &self.platform.service.workers;
        let remaining_s = workers.cancel_s - workers.lease_s * LEASE_DRIFT_FACTOR - ANSWER_MARGIN_S;
        Duration::from_secs_f64(remaining_s.max(MIN_ANSWER_LIMIT_S))
    }

    /// Returns the maximum age of the proof of fresh state under which tasks are started (S4).
    pub fn max_start_proof_age(&self) -> Duration {
        Duration::from_secs_f64(self.operator.start_proof_s)
    }

    /// Returns how long a watch may stay open.
    ///
    /// A watch proves that the state was fresh when the watch started, so a watch must be short
    /// compared with the answer limit. Otherwise, if the time limit of a cancellation is hardly
    /// longer than a worker's lease, a leader whose watches return no changes would refuse its
    /// workers' heartbeats between two watches. Two consecutive watches and the pause between them
    /// are also shorter than the age of the proof at which a controller considers the state service
    /// unreachable.
    pub fn watch_timeout(&self) -> Duration {
        (self.answer_limit() / WATCH_TIMEOUT_DIVISOR).clamp(MIN_WATCH_TIMEOUT, MAX_WATCH_TIMEOUT)
    }

    /// Returns the limits of each kind of connection. The remaining connections are for the state
    /// service, the cloud and the other controllers.
    pub fn connection_limits(&self) -> ConnectionLimits {
        let total = match self.platform.service.limits.max_connections {
            0 => DEFAULT_MAX_CONNECTIONS,
            limit => limit as usize,
        };
        let share = |percent: usize| (total * percent / 100).max(MIN_CONNECTIONS_PER_KIND);
        ConnectionLimits {
            accepted: share(ACCEPTED_PERCENT),
            keep_alive: share(KEEP_ALIVE_PERCENT),
            users: share(USERS_PERCENT),
            direct_orders_in_flight: share(DIRECT_ORDERS_PERCENT),
        }
    }

    /// Returns the configuration of the scheduler.
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

    /// Returns a summary of the settings for operators, one line for each subject.
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
            self.connection_limits().summary(),
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

impl ConnectionLimits {
    /// Returns a summary of the limits for operators, in one line.
    fn summary(&self) -> String {
        format!(
            "connections: {} accepted, {} of them kept between requests, {} of users, {} to machines",
            self.accepted, self.keep_alive, self.users, self.direct_orders_in_flight,
        )
    }
}

/// Reads a settings file.
fn read_file(path: &Path) -> Result<String, LoadError> {
    std::fs::read_to_string(path).map_err(|error| LoadError::Read { path: path.to_owned(), error })
}

#[cfg(test)]
pub(crate) mod tests;
