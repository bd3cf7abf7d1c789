//! Submissions of jobs.

use super::lookup::view;
use super::{UserRequests, CHANGE_LIMIT, NO_STORE};
use crate::clock::unix_time_ms;
use crate::responses::{error, json, retry_later};
use corkfield_core::check_schedulable;
use corkfield_http::Response;
use corkfield_state::{RequestClass, StateError};
use corkfield_wire::records::{final_record_key, job_key, JobRecord};
use corkfield_wire::store::Transaction;
use corkfield_wire::user::SubmissionError;
use corkfield_wire::{JobId, JobSpec, JobStatus, Revision};

/// Pause after a submission could not be stored, in milliseconds; drawn at random.
const STORE_RETRY_MS: std::ops::Range<u64> = 50..150;

/// Whether a new job can be taken.
enum Admission {
    Admitted,
    /// Too many jobs are unfinished, or the machine types are not known yet.
    NotNow,
    /// The job fits no machine type, for this reason.
    NeverFits(String),
}

impl UserRequests {
    /// The answer to a submission: 201 if it is new, 200 if it was accepted before (S2).
    pub async fn submit(&self, body: &[u8]) -> Response {
        let parsed = JobSpec::parse(body);
        let run = async {
            match parsed {
                Ok(spec) => self.accept(spec).await,
                Err(SubmissionError { id, reason }) => self.refuse(id.as_ref(), 400, &reason).await,
            }
        };
        tokio::time::timeout(CHANGE_LIMIT, run).await.unwrap_or_else(|_| retry_later(NO_STORE))
    }

    /// Refuses a submission for good, unless its id was accepted before (S2).
    async fn refuse(&self, id: Option<&JobId>, status: u16, reason: &str) -> Response {
        let refusal = error(status, reason);
        match id {
            Some(id) => self.known_or(id, refusal).await,
            None => refusal,
        }
    }

    /// The answer to a repeated submission if the job is known, or else this one.
    async fn known_or(&self, id: &JobId, otherwise: Response) -> Response {
        match self.find(id).await {
            Ok(found) => found.response(id).unwrap_or(otherwise),
            Err(reason) => self.unavailable(id, &reason),
        }
    }

    async fn accept(&self, spec: JobSpec) -> Response {
        let id = spec.id.clone();
        match self.admit(&spec) {
            Admission::Admitted => {}
            Admission::NeverFits(reason) => return self.refuse(Some(&id), 422, &reason).await,
            // A known job is still recognised.
            Admission::NotNow => return self.known_or(&id, retry_later("not now")).await,
        }
        let record = JobRecord::new(spec, unix_time_ms());
        let Ok(value) = serde_json::to_value(&record) else {
            return error(400, "unstorable");
        };
        let transaction = Transaction::default()
            .when(job_key(&id), Revision::NONE)
            .when(final_record_key(&id), Revision::NONE)
            .put(job_key(&id), value);
        self.store_new(&id, &transaction).await
    }

    fn admit(&self, spec: &JobSpec) -> Admission {
        let teams = &self.env.settings.platform.service.teams;
        let contents = self.replica.contents.borrow();
        let crowded = contents.jobs.len() >= self.env.settings.max_jobs();
        match contents.types.as_ref().map(|types| check_schedulable(spec, teams, types)) {
            Some(Ok(())) if !crowded => Admission::Admitted,
            Some(Err(misfit)) => Admission::NeverFits(misfit.to_string()),
            _ => Admission::NotNow,
        }
    }

    async fn store_new(&self, id: &JobId, transaction: &Transaction) -> Response {
        loop {
            match self.env.state.transaction(RequestClass::Submission, transaction).await {
                Ok(_) => {
                    tracing::debug!(job = %id, "accepted");
                    return json(201, &view(id, JobStatus::Queued, 0, 0));
                }
                // Known already, perhaps by an earlier try of ours whose answer was lost.
                Err(StateError::Conflict(_)) => {
                    return self.known_or(id, retry_later("not now")).await
                }
                Err(StateError::NoAnswer(_) | StateError::Refused(429)) => {
                    self.env.pause(STORE_RETRY_MS).await;
                }
                Err(error) => {
                    tracing::debug!(job = %id, %error, "can't store a submission");
                    return retry_later(NO_STORE);
                }
            }
        }
    }
}
