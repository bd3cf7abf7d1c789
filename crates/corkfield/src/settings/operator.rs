//! The operator settings (JSON).

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The operator settings. Every setting has a default; unknown settings are errors.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Operator {
    /// Time to live of a controller's lease, in seconds.
    #[schemars(range(min = 1.0, max = 120.0))]
    pub lease_s: f64,
    /// Maximum number of job records in one transaction that claims jobs.
    #[schemars(range(min = 1, max = 100))]
    pub claim_batch: u32,
    /// Number of claims without progress after which a job is dead-lettered (set aside).
    #[schemars(range(min = 1, max = 1000))]
    pub claim_limit: u32,
    /// How long the answer to an idle machine's heartbeat is delayed to wait for work, in seconds.
    #[schemars(range(min = 0.0, max = 3.0))]
    pub hold_s: f64,
    /// How long an idle machine is kept before it is returned to the cloud, in seconds.
    #[schemars(range(min = 0.0, max = 86400.0))]
    pub idle_keep_s: f64,
    /// Maximum number of machines that one placement examines; a random sample if there are more
    /// candidates.
    #[schemars(range(min = 1, max = 10000))]
    pub placement_sample: u32,
    /// Maximum number of unfinished jobs; at this number new jobs are refused temporarily. If
    /// omitted, the number is derived from the memory that the platform grants.
    #[schemars(range(min = 1, max = 1000000))]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_jobs: Option<u32>,
    /// Tasks are started only if a successful read of the state service began at most this many
    /// seconds ago.
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

/// An error in the operator settings.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// The text is not JSON, or a field is unknown or has the wrong type.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// The text is JSON, but not a JSON object.
    #[error("must be a JSON object")]
    NotAnObject,
    /// A value is out of its range.
    #[error("{field}: must be from {min} to {max}")]
    OutOfRange {
        /// Name of the setting.
        field: &'static str,
        /// The smallest value allowed.
        min: f64,
        /// The largest value allowed.
        max: f64,
    },
}

/// The value of a setting and its allowed range.
struct Range {
    field: &'static str,
    value: f64,
    min: f64,
    max: f64,
}

impl Range {
    fn new(field: &'static str, value: impl Into<f64>, min: f64, max: f64) -> Self {
        Self { field, value: value.into(), min, max }
    }
}

impl Operator {
    /// Parses and validates the settings.
    ///
    /// # Errors
    ///
    /// If `text` is not a JSON object, a field is unknown, or a value has the wrong type or is out
    /// of its range.
    pub fn parse(text: &str) -> Result<Self, OperatorError> {
        let value: serde_json::Value = serde_json::from_str(text)?;
        if !value.is_object() {
            return Err(OperatorError::NotAnObject);
        }
        let operator: Self = serde_json::from_value(value)?;
        operator.validate()?;
        Ok(operator)
    }

    /// Checks that every value is in its range.
    fn validate(&self) -> Result<(), OperatorError> {
        let ranges = [
            Range::new("lease_s", self.lease_s, 1.0, 120.0),
            Range::new("claim_batch", self.claim_batch, 1.0, 100.0),
            Range::new("claim_limit", self.claim_limit, 1.0, 1000.0),
            Range::new("hold_s", self.hold_s, 0.0, 3.0),
            Range::new("idle_keep_s", self.idle_keep_s, 0.0, 86400.0),
            Range::new("placement_sample", self.placement_sample, 1.0, 10000.0),
            Range::new("max_jobs", self.max_jobs.unwrap_or(1), 1.0, 1e6),
            Range::new("start_proof_s", self.start_proof_s, 0.05, 60.0),
        ];
        for Range { field, value, min, max } in ranges {
            if !(min..=max).contains(&value) {
                return Err(OperatorError::OutOfRange { field, min, max });
            }
        }
        Ok(())
    }
}

/// Returns the JSON schema of the operator settings.
pub fn schema() -> String {
    serde_json::to_string_pretty(&schemars::schema_for!(Operator)).unwrap_or_default()
}
