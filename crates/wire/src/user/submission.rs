//! Reading submissions, and why one is refused as malformed.

use super::{JobSpec, MAX_TASKS};
use crate::job_id::JobId;

/// Longest name in a submission, in bytes.
const MAX_NAME: usize = 120;
/// Most machine types that a submission may name.
const MAX_TYPES: usize = 64;
/// The largest amount that is taken, of whatever unit.
const MAX_AMOUNT: f64 = 1e9;

/// Why a submission is malformed. The id is kept where it could be read, so that a repeat of
/// an accepted submission can still be recognised (S2).
#[derive(Debug, thiserror::Error)]
#[error("{reason}")]
pub struct SubmissionError {
    /// The job's id, if that much could be read.
    pub id: Option<JobId>,
    /// The text that the user is given.
    pub reason: String,
}

/// What is wrong with a submission. Users read these texts; fields have the protocol's names.
#[derive(Debug, thiserror::Error)]
enum SubmissionErrorKind {
    #[error("body is not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    #[error("body is not an object")]
    NotAnObject,
    /// A field is missing, or of another type than it should be.
    #[error(transparent)]
    Field(serde_json::Error),
    #[error("{field}: must have 1 to {MAX_NAME} bytes")]
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
    /// Reads the body of a submission.
    ///
    /// # Errors
    ///
    /// If the body is no JSON object, or a field is missing or invalid; names the first fault.
    pub fn parse(body: &[u8]) -> Result<Self, SubmissionError> {
        let value: serde_json::Value = serde_json::from_slice(body)
            .map_err(|error| SubmissionErrorKind::NotJson(error).with_job_id(None))?;
        if !value.is_object() {
            return Err(SubmissionErrorKind::NotAnObject.with_job_id(None));
        }
        let id = value["name_id"].as_str().and_then(JobId::parse);
        let spec: Self = serde_json::from_value(value)
            .map_err(|error| SubmissionErrorKind::Field(error).with_job_id(id.clone()))?;
        spec.check().map_err(|fault| fault.with_job_id(id))?;
        Ok(spec)
    }

    fn check(&self) -> Result<(), SubmissionErrorKind> {
        self.check_names()?;
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return Err(SubmissionErrorKind::TaskCount);
        }
        self.check_amounts()
    }

    fn check_names(&self) -> Result<(), SubmissionErrorKind> {
        check_name("pool", &self.class)?;
        check_name("owner", &self.team)?;
        check_name("bundle", &self.image)?;
        if let Some(zone) = &self.zone {
            check_name("site", zone)?;
        }
        if let Some(types) = &self.types {
            if types.is_empty() || types.len() > MAX_TYPES {
                return Err(SubmissionErrorKind::TypeCount);
            }
            for name in types {
                check_name("flavours", name)?;
            }
        }
        Ok(())
    }

    fn check_amounts(&self) -> Result<(), SubmissionErrorKind> {
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

fn check_name(field: &'static str, name: &str) -> Result<(), SubmissionErrorKind> {
    if name.is_empty() || name.len() > MAX_NAME {
        return Err(SubmissionErrorKind::NameLength { field });
    }
    Ok(())
}
