//! Which settings are refused.

use super::{PlatformSettings, ServiceSettings};

/// The largest number that is taken for a rate, a size or a time.
const MAX_NUMBER: f64 = 1e9;
/// The largest lag of the machine list that is taken, in seconds.
const MAX_LIST_LAG_S: f64 = 1e6;
/// Longest name of a node, in bytes.
const MAX_NODE_NAME: usize = 100;
/// Fewest changes that a transaction must take.
const MIN_TXN_OPS: u32 = 4;
/// Smallest size of a value that the state service must take, in KiB.
const MIN_VALUE_KB: f64 = 8.0;

/// Why settings are refused.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The text is no TOML, or a field is missing or of another type.
    #[error("{0}")]
    Syntax(#[from] toml::de::Error),
    /// A value is outside its bounds.
    #[error("{field}: {reason}")]
    Field {
        /// The field, as the file spells it.
        field: &'static str,
        /// What its value must be.
        reason: &'static str,
    },
}

fn require(holds: bool, field: &'static str, reason: &'static str) -> Result<(), SettingsError> {
    if holds {
        Ok(())
    } else {
        Err(SettingsError::Field { field, reason })
    }
}

impl PlatformSettings {
    /// Names the first value that is outside its bounds.
    pub(super) fn check(&self) -> Result<(), SettingsError> {
        self.service.check_positive()?;
        let name = self.node.as_str();
        let name_fits =
            !name.is_empty() && name.len() <= MAX_NODE_NAME && !name.contains([' ', '/']);
        require(name_fits, "node_name", "must be 1 to 100 bytes without spaces or slashes")?;
        self.service.check_bounds()
    }
}

impl ServiceSettings {
    fn check_positive(&self) -> Result<(), SettingsError> {
        let positive = [
            ("settings.size", f64::from(self.size)),
            ("settings.workers.report_s", self.workers.heartbeat_interval_s),
            ("settings.workers.lease_s", self.workers.lease_s),
            ("settings.workers.cancel_s", self.workers.cancel_s),
            ("settings.state.rps", self.state.rps),
            ("settings.state.write_rps", self.state.write_rps),
            ("settings.state.value_kb", self.state.value_kb),
            ("settings.cloud.rps", self.cloud.rps),
        ];
        for (field, value) in positive {
            let holds = value.is_finite() && value > 0.0 && value <= MAX_NUMBER;
            require(holds, field, "must be a number above 0")?;
        }
        Ok(())
    }

    fn check_bounds(&self) -> Result<(), SettingsError> {
        let state = &self.state;
        require(state.txn_ops >= MIN_TXN_OPS, "settings.state.txn_ops", "must be 4 or more")?;
        require(state.value_kb >= MIN_VALUE_KB, "settings.state.value_kb", "must be 8 or more")?;
        let lag = self.cloud.list_lag_s;
        let lag_fits = lag.is_finite() && (0.0..=MAX_LIST_LAG_S).contains(&lag);
        require(lag_fits, "settings.cloud.list_lag_s", "must be 0 or more")?;
        for team in &self.teams {
            let amounts = [team.cpus, team.cpus_max, team.gpus, team.gpus_max];
            let holds = amounts.iter().all(|amount| amount.is_finite() && *amount >= 0.0);
            require(holds, "settings.teams", "amounts must be 0 or more")?;
        }
        Ok(())
    }
}
