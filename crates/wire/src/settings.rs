//! The settings file that the platform hands over (TOML). Unknown fields are ignored.

use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

#[derive(Debug, Clone, Deserialize)]
pub struct Platform {
    #[serde(rename = "node_name")]
    pub node: String,
    #[serde(rename = "domain")]
    pub zone: String,
    #[serde(rename = "client_listen")]
    pub listen: SocketAddr,
    #[serde(rename = "back")]
    pub peer_listen: SocketAddr,
    #[serde(rename = "seeds", default)]
    pub peers: Vec<Peer>,
    pub endpoints: Endpoints,
    #[serde(rename = "settings")]
    pub params: Params,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    #[serde(rename = "node_name")]
    pub node: String,
    #[serde(rename = "domain", default)]
    pub zone: String,
    #[serde(rename = "endpoint")]
    pub addr: SocketAddr,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Endpoints {
    pub cloud: SocketAddr,
    pub state: SocketAddr,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Params {
    pub size: u32,
    #[serde(default)]
    pub zones: Vec<String>,
    #[serde(rename = "clock_error_ms", default)]
    pub clock_off_ms: f64,
    #[serde(default)]
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: Workers,
    #[serde(default)]
    pub state: StateLimits,
    #[serde(default)]
    pub cloud: CloudLimits,
    #[serde(default)]
    pub limits: Limits,
}

#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Team {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Objective {
    pub kind: String,
    #[serde(default)]
    pub class: Option<String>,
    #[serde(default)]
    pub within_s: Option<f64>,
    #[serde(default)]
    pub share: Option<f64>,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
}

/// Limits of 0, and those that are not given, get defaults that a small service bears.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: u32,
}

#[derive(Debug, Clone, Default, Deserialize)]
pub struct CloudLimits {
    #[serde(default)]
    pub rps: f64,
    #[serde(default)]
    pub list_lag_s: f64,
}

#[derive(Debug, Clone, Default, Deserialize)]
pub struct Limits {
    #[serde(default)]
    pub cpu_share: f64,
    #[serde(rename = "mem_mb", default)]
    pub memory_mb: f64,
    #[serde(rename = "sockets", default)]
    pub max_connections: u32,
}

#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("{0}")]
    Syntax(#[from] toml::de::Error),
    #[error("{field}: {reason}")]
    Field { field: &'static str, reason: &'static str },
}

impl Platform {
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let mut platform: Self = toml::from_str(text)?;
        platform.params.fill();
        platform.check()?;
        Ok(platform)
    }

    fn check(&self) -> Result<(), SettingsError> {
        let params = &self.params;
        let positive = [
            ("settings.size", f64::from(params.size)),
            ("settings.workers.report_s", params.workers.report_s),
            ("settings.workers.lease_s", params.workers.lease_s),
            ("settings.workers.cancel_s", params.workers.cancel_s),
            ("settings.state.rps", params.state.rps),
            ("settings.state.write_rps", params.state.write_rps),
            ("settings.state.value_kb", params.state.value_kb),
            ("settings.cloud.rps", params.cloud.rps),
        ];
        for (field, value) in positive {
            if !value.is_finite() || value <= 0.0 || value > 1e9 {
                return Err(SettingsError::Field { field, reason: "must be a number above 0" });
            }
        }
        if self.node.is_empty() || self.node.len() > 100 || self.node.contains([' ', '/']) {
            let reason = "must be 1 to 100 bytes without spaces or slashes";
            return Err(SettingsError::Field { field: "node_name", reason });
        }
        if params.state.txn_ops < 4 {
            let reason = "must be 4 or more";
            return Err(SettingsError::Field { field: "settings.state.txn_ops", reason });
        }
        if params.state.value_kb < 8.0 {
            let reason = "must be 8 or more";
            return Err(SettingsError::Field { field: "settings.state.value_kb", reason });
        }
        let lag = params.cloud.list_lag_s;
        if !lag.is_finite() || !(0.0..=1e6).contains(&lag) {
            let reason = "must be 0 or more";
            return Err(SettingsError::Field { field: "settings.cloud.list_lag_s", reason });
        }
        for team in &params.teams {
            let amounts = [team.cpus, team.cpus_max, team.gpus, team.gpus_max];
            if amounts.iter().any(|a| !a.is_finite() || *a < 0.0) {
                let reason = "amounts must be 0 or more";
                return Err(SettingsError::Field { field: "settings.teams", reason });
            }
        }
        Ok(())
    }
}

impl Params {
    fn fill(&mut self) {
        let limits = [
            (&mut self.state.rps, 100.0),
            (&mut self.state.write_rps, 40.0),
            (&mut self.state.value_kb, 16.0),
            (&mut self.cloud.rps, 2.0),
        ];
        for (limit, default) in limits {
            if *limit == 0.0 {
                *limit = default;
            }
        }
        if self.state.txn_ops == 0 {
            self.state.txn_ops = 8;
        }
    }
}

impl Workers {
    pub fn lease(&self) -> Duration {
        Duration::from_secs_f64(self.lease_s)
    }

    pub fn heartbeat_interval(&self) -> Duration {
        Duration::from_secs_f64(self.report_s)
    }

    /// After a user was told of a cancellation its tasks have to be gone within this time.
    pub fn cancel(&self) -> Duration {
        Duration::from_secs_f64(self.cancel_s)
    }
}

#[cfg(test)]
mod tests;
