//! The settings file that the platform hands over (TOML). Unknown fields are ignored.

mod validation;

pub use validation::SettingsError;

use crate::ids::ControllerName;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Defaults of the limits that are 0 or not given.
const DEFAULT_STATE_RPS: f64 = 100.0;
const DEFAULT_STATE_WRITE_RPS: f64 = 40.0;
const DEFAULT_STATE_VALUE_KB: f64 = 16.0;
const DEFAULT_STATE_TXN_OPS: u32 = 8;
const DEFAULT_CLOUD_RPS: f64 = 2.0;

/// The whole file.
#[derive(Debug, Clone, Deserialize)]
#[serde(expecting = "struct Platform")]
pub struct PlatformSettings {
    /// Name of this controller's node (`node_name`).
    #[serde(rename = "node_name")]
    pub node: ControllerName,
    /// The zone that it is in (`domain`).
    #[serde(rename = "domain")]
    pub zone: String,
    /// Where users, workers and health checks connect (`client_listen`).
    #[serde(rename = "client_listen")]
    pub listen: SocketAddr,
    /// Where the other controllers connect (`back`).
    #[serde(rename = "back")]
    pub peer_listen: SocketAddr,
    /// The other controllers (`seeds`).
    #[serde(rename = "seeds", default)]
    pub peers: Vec<Peer>,
    /// The services that corkfield uses.
    pub endpoints: Endpoints,
    /// What the service is to do, and within which limits (`settings`).
    #[serde(rename = "settings")]
    pub service: ServiceSettings,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    /// Name of its node.
    #[serde(rename = "node_name")]
    pub node: ControllerName,
    /// Its zone.
    #[serde(rename = "domain", default)]
    pub zone: String,
    /// Where it takes connections of controllers (`endpoint`).
    #[serde(rename = "endpoint")]
    pub addr: SocketAddr,
}

/// The services that corkfield uses.
#[derive(Debug, Clone, Deserialize)]
pub struct Endpoints {
    /// The cloud's interface.
    pub cloud: SocketAddr,
    /// The state service.
    pub state: SocketAddr,
}

/// What the service is to do, and within which limits.
#[derive(Debug, Clone, Deserialize)]
pub struct ServiceSettings {
    /// Number of controllers.
    pub size: u32,
    /// Names of the zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Most that the time of day may be wrong, in milliseconds (`clock_error_ms`).
    #[serde(rename = "clock_error_ms", default)]
    pub max_clock_error_ms: f64,
    /// The teams, with their guarantees and limits.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// The service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Times that workers keep to.
    pub workers: WorkerTimes,
    /// ProcessLimits of the state service.
    #[serde(default)]
    pub state: StateLimits,
    /// ProcessLimits of the cloud.
    #[serde(default)]
    pub cloud: CloudLimits,
    /// ProcessLimits of each controller's process.
    #[serde(default)]
    pub limits: ProcessLimits,
}

/// A team's guarantee and limit. The team may use what it is guaranteed at any time, and borrow
/// up to its limit.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// Guaranteed CPUs.
    #[serde(default)]
    pub cpus: f64,
    /// Most CPUs in use at any moment.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Most GPUs in use at any moment.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Objective {
    /// What it is about: `finished`, `wait` or `guarantee`.
    pub kind: String,
    /// The class of jobs that it is about; none for all.
    #[serde(default)]
    pub class: Option<String>,
    /// The time to keep to, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// The part of the jobs that has to keep to it, 0 to 1.
    #[serde(default)]
    pub share: Option<f64>,
}

/// Times that workers keep to.
#[derive(Debug, Clone, Deserialize)]
#[serde(expecting = "struct Workers")]
pub struct WorkerTimes {
    /// Interval between a worker's heartbeats, in seconds.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// A worker without an answer for this long kills its tasks, in seconds.
    pub lease_s: f64,
    /// Time within which the tasks of a cancelled job must be gone, in seconds.
    pub cancel_s: f64,
}

/// ProcessLimits of the state service, for all controllers together. ProcessLimits of 0, and those that are not
/// given, get defaults that a small service bears.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct StateLimits {
    /// Requests per second.
    pub rps: f64,
    /// Puts and deletes per second.
    pub write_rps: f64,
    /// Size of a value, in KiB.
    pub value_kb: f64,
    /// Puts and deletes in one transaction.
    pub txn_ops: u32,
}

/// ProcessLimits of the cloud.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct CloudLimits {
    /// Requests per second. 0 or not given: a default.
    #[serde(default)]
    pub rps: f64,
    /// Usual lag of the machine list, in seconds; it may be twice that.
    #[serde(default)]
    pub list_lag_s: f64,
}

/// ProcessLimits of a controller's process. 0 or not given: no limit is known.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(expecting = "struct Limits")]
pub struct ProcessLimits {
    /// Share of one core.
    #[serde(default)]
    pub cpu_share: f64,
    /// Memory, in MiB (`mem_mb`).
    #[serde(rename = "mem_mb", default)]
    pub memory_mb: f64,
    /// Open sockets (`sockets`).
    #[serde(rename = "sockets", default)]
    pub max_connections: u32,
}

impl PlatformSettings {
    /// Reads the file's text, fills in defaults and checks the values.
    ///
    /// # Errors
    ///
    /// If the text is no TOML, lacks a field or has one of a wrong type, or a value is outside
    /// its bounds.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let mut platform: Self = toml::from_str(text)?;
        platform.service.fill_defaults();
        platform.check()?;
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
    /// A worker without an answer for this long kills its tasks.
    pub fn lease_duration(&self) -> Duration {
        Duration::from_secs_f64(self.lease_s)
    }

    /// Interval between a worker's heartbeats.
    pub fn heartbeat_interval(&self) -> Duration {
        Duration::from_secs_f64(self.heartbeat_interval_s)
    }

    /// After a user was told of a cancellation its tasks have to be gone within this time.
    pub fn cancel_timeout(&self) -> Duration {
        Duration::from_secs_f64(self.cancel_s)
    }
}

#[cfg(test)]
mod tests;
