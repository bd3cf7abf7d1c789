//! Answers submissions of jobs.

use super::lookup::job_view;
use super::{UserRequests, CHANGE_TIMEOUT, STORE_UNAVAILABLE};
use crate::clock::unix_time_ms;
use crate::responses::{error, json, retry_later};
use corkfield_core::check_schedulable;
use corkfield_http::Response;
use corkfield_state::{RequestClass, StateError};
use corkfield_wire::records::{final_key, job_key, JobRecord};
use corkfield_wire::store::Transaction;
use corkfield_wire::user::BadSubmission;
use corkfield_wire::{JobId, JobSpec, JobStatus, Revision};

/// Range of the random pause before storing a submission is retried, in milliseconds.
const STORE_RETRY_MS: std::ops::Range<u64> = 50..150;

/// Whether a new job can be accepted.
enum Admission {
    /// The job can be accepted.
    Admitted,
    /// Too many jobs are unfinished, or the machine types are unknown: the user has to retry.
    RetryLater,
    /// The job can never be scheduled, for this reason.
    Unschedulable(String),
}

impl UserRequests {
    /// Answers a submission: with status 201 if the job is new, with 200 if it was accepted before
    /// (S2).
    pub async fn submit(&self, body: &[u8]) -> Response {
        let parsed = JobSpec::parse(body);
        let submission = async {
            match parsed {
                Ok(spec) => self.accept_submission(spec).await,
                Err(BadSubmission { id, reason }) => {
                    self.refuse_submission(id.as_ref(), 400, &reason).await
                }
            }
        };
        tokio::time::timeout(CHANGE_TIMEOUT, submission)
            .await
            .unwrap_or_else(|_| retry_later(STORE_UNAVAILABLE))
    }

    /// Refuses a submission permanently, unless a job with the same id was accepted before (S2).
    async fn refuse_submission(&self, id: Option<&JobId>, status: u16, reason: &str) -> Response {
        let refusal = error(status, reason);
        match id {
            Some(id) => self.stored_job_or(id, refusal).await,
            None => refusal,
        }
    }

    /// Returns the answer to a repeated submission if the job is stored, or else `otherwise`.
    async fn stored_job_or(&self, id: &JobId, otherwise: Response) -> Response {
        match self.find_job(id).await {
            Ok(found) => found.response(id).unwrap_or(otherwise),
            Err(reason) => self.lookup_failed_response(id, &reason),
        }
    }

    /// Stores a valid submission if it is admitted.
    async fn accept_submission(&self, spec: JobSpec) -> Response {
        let id = spec.id.clone();
        match self.check_admission(&spec) {
            Admission::Admitted => {}
            Admission::Unschedulable(reason) => {
                return self.refuse_submission(Some(&id), 422, &reason).await
            }
            // A repeated submission of a stored job is answered in any case.
            Admission::RetryLater => return self.stored_job_or(&id, retry_later("not now")).await,
        }
        let record = JobRecord::new(spec, unix_time_ms());
        let Ok(value) = serde_json::to_value(&record) else {
            return error(400, "unstorable");
        };
        let transaction = Transaction::default()
            .when(job_key(&id), Revision::NONE)
            .when(final_key(&id), Revision::NONE)
            .put(job_key(&id), value);
        self.store_new_job(&id, &transaction).await
    }

    /// Returns whether a new job can be accepted.
    fn check_admission(&self, spec: &JobSpec) -> Admission {
        let teams = &self.env.settings.platform.params.teams;
        let contents = self.replica.contents.borrow();
        let at_job_limit = contents.jobs.len() >= self.env.settings.max_jobs();
        match contents.machine_types.as_ref().map(|types| check_schedulable(spec, teams, types)) {
            Some(Ok(())) if !at_job_limit => Admission::Admitted,
            Some(Err(misfit)) => Admission::Unschedulable(misfit.to_string()),
            _ => Admission::RetryLater,
        }
    }

    /// Commits the transaction that stores a new job; retries while it has no answer or is refused
    /// with status 429.
    async fn store_new_job(&self, id: &JobId, transaction: &Transaction) -> Response {
        loop {
            match self.env.state.commit(RequestClass::Submission, transaction).await {
                Ok(_) => {
                    tracing::debug!(job = %id, "job accepted");
                    return json(201, &job_view(id, JobStatus::Queued, 0, 0));
                }
                // The job is stored already, possibly by an earlier attempt whose answer was lost.
                Err(StateError::Conflict(_)) => {
                    return self.stored_job_or(id, retry_later("not now")).await
                }
                Err(StateError::NoResponse(_) | StateError::Refused(429)) => {
                    self.env.sleep_random(STORE_RETRY_MS).await;
                }
                Err(error) => {
                    tracing::debug!(job = %id, %error, "failed to store a submission");
                    return retry_later(STORE_UNAVAILABLE);
                }
            }
        }
    }
}
