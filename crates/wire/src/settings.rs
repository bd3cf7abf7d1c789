//! The settings file that the platform provides, in TOML. Unknown fields are ignored.
//!
//! The `serde(expecting = ..)` attributes keep the texts of type errors independent of the Rust
//! names of the structs.

mod validation;

pub use validation::SettingsError;

use crate::ids::ControllerName;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

// Defaults of limits that are 0 or missing in the file, in the units of their fields.
const DEFAULT_STATE_RPS: f64 = 100.0;
const DEFAULT_STATE_WRITE_RPS: f64 = 40.0;
const DEFAULT_STATE_VALUE_KB: f64 = 16.0;
const DEFAULT_STATE_TXN_OPS: u32 = 8;
const DEFAULT_CLOUD_RPS: f64 = 2.0;

/// The content of the settings file.
#[derive(Debug, Clone, Deserialize)]
#[serde(expecting = "struct Platform")]
pub struct PlatformSettings {
    /// Node name of this controller (`node_name`).
    #[serde(rename = "node_name")]
    pub node: ControllerName,
    /// Zone of this controller (`domain`).
    #[serde(rename = "domain")]
    pub zone: String,
    /// Address on which to accept users, workers and health checks (`client_listen`).
    #[serde(rename = "client_listen")]
    pub listen: SocketAddr,
    /// Address on which to accept other controllers (`back`).
    #[serde(rename = "back")]
    pub peer_listen: SocketAddr,
    /// The other controllers (`seeds`).
    #[serde(rename = "seeds", default)]
    pub peers: Vec<Peer>,
    /// Addresses of the services that corkfield uses.
    pub endpoints: Endpoints,
    /// Targets and limits of the service (`settings`).
    #[serde(rename = "settings")]
    pub service: ServiceSettings,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    /// Node name of the controller (`node_name`).
    #[serde(rename = "node_name")]
    pub node: ControllerName,
    /// Zone of the controller (`domain`).
    #[serde(rename = "domain", default)]
    pub zone: String,
    /// Address at which the controller accepts other controllers (`endpoint`).
    #[serde(rename = "endpoint")]
    pub addr: SocketAddr,
}

/// Addresses of the services that corkfield uses.
#[derive(Debug, Clone, Deserialize)]
pub struct Endpoints {
    /// Address of the cloud's interface.
    pub cloud: SocketAddr,
    /// Address of the state service.
    pub state: SocketAddr,
}

/// Targets and limits of the service.
#[derive(Debug, Clone, Deserialize)]
pub struct ServiceSettings {
    /// Number of controllers.
    pub size: u32,
    /// Names of the zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Maximum error of a node's time of day, in milliseconds (`clock_error_ms`).
    #[serde(rename = "clock_error_ms", default)]
    pub max_clock_error_ms: f64,
    /// The teams, with their guarantees and limits.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// The service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Intervals and time limits of workers.
    pub workers: WorkerTimes,
    /// Limits of the state service.
    #[serde(default)]
    pub state: StateLimits,
    /// Limits of the cloud.
    #[serde(default)]
    pub cloud: CloudLimits,
    /// Limits of each controller's process.
    #[serde(default)]
    pub limits: ProcessLimits,
}

/// A team with its guarantee and limit. The team may use its guaranteed amount at any time, and may
/// borrow unused resources up to its limit.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Number of guaranteed CPUs.
    #[serde(default)]
    pub cpus: f64,
    /// Maximum number of CPUs in use at the same time; 0 for no limit.
    #[serde(default)]
    pub cpus_max: f64,
    /// Number of guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Maximum number of GPUs in use at the same time; 0 for no limit.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Objective {
    /// Kind of the objective: `finished`, `wait` or `guarantee`.
    pub kind: String,
    /// Class of jobs to which the objective applies; `None` for all classes.
    #[serde(default)]
    pub class: Option<String>,
    /// Target time, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Fraction of the jobs that must meet the target time, 0 to 1.
    #[serde(default)]
    pub share: Option<f64>,
}

/// Intervals and time limits of workers.
#[derive(Debug, Clone, Deserialize)]
#[serde(expecting = "struct Workers")]
pub struct WorkerTimes {
    /// Interval between a worker's heartbeats, in seconds (`report_s`).
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// Duration of a worker's lease, in seconds. A worker without an answer for this long kills its
    /// tasks.
    pub lease_s: f64,
    /// Time after the confirmation of a cancellation within which the job's tasks must be gone, in
    /// seconds.
    pub cancel_s: f64,
}

/// Limits of the state service, for all controllers together. Limits that are 0 or missing get
/// defaults that a small service can sustain.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct StateLimits {
    /// Maximum number of requests per second.
    pub rps: f64,
    /// Maximum number of puts and deletes per second.
    pub write_rps: f64,
    /// Maximum size of a value, in KiB.
    pub value_kb: f64,
    /// Maximum number of puts and deletes in one transaction.
    pub txn_ops: u32,
}

/// Limits of the cloud.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct CloudLimits {
    /// Maximum number of requests per second. If 0 or missing, a default applies.
    #[serde(default)]
    pub rps: f64,
    /// Usual lag of the machine list, in seconds. The lag may be up to twice as long.
    #[serde(default)]
    pub list_lag_s: f64,
}

/// Limits of a controller's process. With 0 or without a value, the platform states no limit.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(expecting = "struct Limits")]
pub struct ProcessLimits {
    /// Maximum CPU use, as a fraction of one core.
    #[serde(default)]
    pub cpu_share: f64,
    /// Maximum memory, in MiB (`mem_mb`).
    #[serde(rename = "mem_mb", default)]
    pub memory_mb: f64,
    /// Maximum number of open sockets (`sockets`).
    #[serde(rename = "sockets", default)]
    pub max_connections: u32,
}

impl PlatformSettings {
    /// Parses the text of the settings file, fills in defaults and validates the values.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not valid TOML, a field is missing or has a wrong type, or a
    /// value is out of range.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let mut platform: Self = toml::from_str(text)?;
        platform.service.fill_defaults();
        platform.validate()?;
        Ok(platform)
    }
}

impl ServiceSettings {
    fn fill_defaults(&mut self) {
        let limits = [
            (&mut self.state.rps, DEFAULT_STATE_RPS),
            (&mut self.state.write_rps, DEFAULT_STATE_WRITE_RPS),
            (&mut self.state.value_kb, DEFAULT_STATE_VALUE_KB),
            (&mut self.cloud.rps, DEFAULT_CLOUD_RPS),
        ];
        for (limit, default) in limits {
            if *limit == 0.0 {
                *limit = default;
            }
        }
        if self.state.txn_ops == 0 {
            self.state.txn_ops = DEFAULT_STATE_TXN_OPS;
        }
    }
}

impl WorkerTimes {
    /// Returns the duration of a worker's lease. A worker without an answer for this long kills its
    /// tasks.
    pub fn lease_duration(&self) -> Duration {
        Duration::from_secs_f64(self.lease_s)
    }

    /// Returns the interval between a worker's heartbeats.
    pub fn heartbeat_interval(&self) -> Duration {
        Duration::from_secs_f64(self.heartbeat_interval_s)
    }

    /// Returns the time after the confirmation of a cancellation within which the job's tasks must
    /// be gone.
    pub fn cancel_timeout(&self) -> Duration {
        Duration::from_secs_f64(self.cancel_s)
    }
}

#[cfg(test)]
mod tests;
