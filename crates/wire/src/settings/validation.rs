//! Validation of the settings.

use super::{PlatformSettings, ServiceSettings};

/// Maximum value of a rate, size or time.
const MAX_NUMBER: f64 = 1e9;
/// Maximum lag of the machine list, in seconds.
const MAX_LIST_LAG_S: f64 = 1e6;
/// Maximum length of a node name, in bytes.
const MAX_NODE_NAME_LENGTH: usize = 100;
/// Minimum number of changes that the state service must accept in one transaction.
const MIN_TXN_OPS: u32 = 4;
/// Minimum size of a value that the state service must accept, in KiB.
const MIN_VALUE_KB: f64 = 8.0;

/// Errors of parsing the settings.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The text is not valid TOML, or a field is missing or has a wrong type.
    #[error("{0}")]
    Syntax(#[from] toml::de::Error),
    /// A value is out of range.
    #[error("{field}: {reason}")]
    Field {
        /// Path of the field, as spelled in the file.
        field: &'static str,
        /// Requirement that the value violates.
        reason: &'static str,
    },
}

/// Returns an error that names the field unless `is_valid`.
fn require(is_valid: bool, field: &'static str, reason: &'static str) -> Result<(), SettingsError> {
    if is_valid {
        Ok(())
    } else {
        Err(SettingsError::Field { field, reason })
    }
}

impl PlatformSettings {
    /// Returns an error for the first value that is out of range.
    pub(super) fn validate(&self) -> Result<(), SettingsError> {
        self.service.validate_positive_numbers()?;
        let name = self.node.as_str();
        let is_valid_name =
            !name.is_empty() && name.len() <= MAX_NODE_NAME_LENGTH && !name.contains([' ', '/']);
        require(is_valid_name, "node_name", "must be 1 to 100 bytes without spaces or slashes")?;
        self.service.validate_ranges()
    }
}

impl ServiceSettings {
    fn validate_positive_numbers(&self) -> Result<(), SettingsError> {
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
            let is_valid = value.is_finite() && value > 0.0 && value <= MAX_NUMBER;
            require(is_valid, field, "must be a number above 0")?;
        }
        Ok(())
    }

    fn validate_ranges(&self) -> Result<(), SettingsError> {
        let state = &self.state;
        require(state.txn_ops >= MIN_TXN_OPS, "settings.state.txn_ops", "must be 4 or more")?;
        require(state.value_kb >= MIN_VALUE_KB, "settings.state.value_kb", "must be 8 or more")?;
        let lag = self.cloud.list_lag_s;
        let is_valid_lag = lag.is_finite() && (0.0..=MAX_LIST_LAG_S).contains(&lag);
        require(is_valid_lag, "settings.cloud.list_lag_s", "must be 0 or more")?;
        for team in &self.teams {
            let amounts = [team.cpus, team.cpus_max, team.gpus, team.gpus_max];
            let is_valid = amounts.iter().all(|amount| amount.is_finite() && *amount >= 0.0);
            require(is_valid, "settings.teams", "amounts must be 0 or more")?;
        }
        Ok(())
    }
}
