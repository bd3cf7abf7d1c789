//! Parsing and validation of submissions.

use super::{JobSpec, MAX_TASKS};
use crate::job_id::JobId;

/// Maximum length of a name in a submission, in bytes.
const MAX_NAME_LENGTH: usize = 120;
/// Maximum number of machine types in a submission.
const MAX_TYPES: usize = 64;
/// Maximum value of an amount, in any unit.
const MAX_AMOUNT: f64 = 1e9;

/// The error of an invalid submission. The error contains the job's id if the id could be parsed,
/// so that a repetition of an accepted submission is still recognized (S2).
#[derive(Debug, thiserror::Error)]
#[error("{reason}")]
pub struct SubmissionError {
    /// Id of the job, if the submission has a valid one.
    pub id: Option<JobId>,
    /// Text of the response to the user.
    pub reason: String,
}

/// Reasons to reject a submission. The texts are shown to users and name fields as the protocol
/// spells them.
#[derive(Debug, thiserror::Error)]
enum SubmissionErrorKind {
    #[error("body is not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    #[error("body is not an object")]
    NotAnObject,
    /// A field is missing or has a wrong type.
    #[error(transparent)]
    Field(serde_json::Error),
    #[error("{field}: must have 1 to {MAX_NAME_LENGTH} bytes")]
    NameLength { field: &'static str },
    #[error("flavours: must name 1 to {MAX_TYPES} types")]
    TypeCount,
    #[error("pieces: must be 1 to {MAX_TASKS}")]
    TaskCount,
    #[error("{field}: must be an amount of 0 or more")]
    Amount { field: &'static str },
}

impl SubmissionErrorKind {
    fn with_job_id(self, id: Option<JobId>) -> SubmissionError {
        SubmissionError { id, reason: self.to_string() }
    }
}

impl JobSpec {
    /// Parses and validates the body of a submission.
    ///
    /// # Errors
    ///
    /// Returns the first error found if the body is not a JSON object or a field is missing or
    /// invalid.
    pub fn parse(body: &[u8]) -> Result<Self, SubmissionError> {
        let value: serde_json::Value = serde_json::from_slice(body)
            .map_err(|error| SubmissionErrorKind::NotJson(error).with_job_id(None))?;
        if !value.is_object() {
            return Err(SubmissionErrorKind::NotAnObject.with_job_id(None));
        }
        let id = value["name_id"].as_str().and_then(JobId::parse);
        let spec: Self = serde_json::from_value(value)
            .map_err(|error| SubmissionErrorKind::Field(error).with_job_id(id.clone()))?;
        spec.validate().map_err(|kind| kind.with_job_id(id))?;
        Ok(spec)
    }

    fn validate(&self) -> Result<(), SubmissionErrorKind> {
        self.validate_names()?;
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return Err(SubmissionErrorKind::TaskCount);
        }
        self.validate_amounts()
    }

    fn validate_names(&self) -> Result<(), SubmissionErrorKind> {
        validate_name("pool", &self.class)?;
        validate_name("owner", &self.team)?;
        validate_name("bundle", &self.image)?;
        if let Some(zone) = &self.zone {
            validate_name("site", zone)?;
        }
        if let Some(types) = &self.types {
            if types.is_empty() || types.len() > MAX_TYPES {
                return Err(SubmissionErrorKind::TypeCount);
            }
            for name in types {
                validate_name("flavours", name)?;
            }
        }
        Ok(())
    }

    fn validate_amounts(&self) -> Result<(), SubmissionErrorKind> {
        let amounts = [
            ("vcpus", self.cpus),
            ("accelerators", self.gpus),
            ("mem_gb", self.memory_gb),
            ("image_gb", self.image_gb),
            ("guess_s", self.estimate_s),
            ("snapshot_s", self.checkpoint_interval_s),
            ("flush_s", self.checkpoint_save_s),
            ("due_s", self.deadline_s.unwrap_or(0.0)),
        ];
        for (field, amount) in amounts {
            if !amount.is_finite() || !(0.0..=MAX_AMOUNT).contains(&amount) {
                return Err(SubmissionErrorKind::Amount { field });
            }
        }
        Ok(())
    }
}

fn validate_name(field: &'static str, name: &str) -> Result<(), SubmissionErrorKind> {
    if name.is_empty() || name.len() > MAX_NAME_LENGTH {
        return Err(SubmissionErrorKind::NameLength { field });
    }
    Ok(())
}
