//! Answers to users. Only what is stored is answered (S1).

mod lookup;
mod submission;

use crate::environment::Environment;
use crate::notifications::CancellationNotifier;
use crate::replica::StoreReplica;
use crate::responses::{error, json, retry_later};
use crate::store_value::store_value;
use corkfield_http::Response;
use corkfield_state::{RequestClass, StateError};
use corkfield_wire::records::{final_record_key, job_key, FinalRecord, JobRecord};
use corkfield_wire::store::Transaction;
use corkfield_wire::{JobId, JobStatus, Revision};
use lookup::{view, LookupError, StoredJob, QUERY_LIMIT};
use std::rc::Rc;
use std::time::Duration;

/// Users wait 5 s for a submission or a cancellation.
const CHANGE_LIMIT: Duration = Duration::from_millis(4500);
/// Reason given to users who are asked to come back.
const NO_STORE: &str = "the state service doesn't answer";
/// Pause after a cancellation met a newer record or no answer, in milliseconds; drawn at random.
const CANCEL_RETRY_MS: std::ops::Range<u64> = 5..50;

/// Answers the requests of users, and of operators about one job.
pub struct UserRequests {
    /// Surroundings: settings and the client of the state service.
    pub env: Rc<Environment>,
    /// The copy of the store.
    pub replica: Rc<StoreReplica>,
    /// Announces cancellations to the other controllers.
    pub notifier: CancellationNotifier,
}

impl UserRequests {
    /// The answer to a query for a job.
    pub async fn query(&self, id: &JobId) -> Response {
        match tokio::time::timeout(QUERY_LIMIT, self.find(id)).await {
            Ok(Ok(found)) => found.response(id).unwrap_or_else(|| error(404, "no such job")),
            Ok(Err(reason)) => self.unavailable(id, &reason),
            Err(_) => retry_later(NO_STORE),
        }
    }

    /// The answer to a cancellation (S11).
    pub async fn cancel(&self, id: &JobId) -> Response {
        let run = self.cancel_stored(id);
        tokio::time::timeout(CHANGE_LIMIT, run).await.unwrap_or_else(|_| retry_later(NO_STORE))
    }

    async fn cancel_stored(&self, id: &JobId) -> Response {
        loop {
            let (record, version) = match self.find(id).await {
                Ok(StoredJob::Unfinished { record, version }) => (record, version),
                Ok(found) => {
                    return found.response(id).unwrap_or_else(|| error(404, "no such job"));
                }
                Err(reason) => return self.unavailable(id, &reason),
            };
            let cancelled =
                FinalRecord { status: JobStatus::Cancelled, finished_count: record.finished_count };
            match self.store_cancelled(id, version, &cancelled).await {
                Ok(_) => {
                    tracing::debug!(job = %id, "cancelled");
                    self.record_final(id, &cancelled).await;
                    return json(200, &view(id, cancelled.status, cancelled.finished_count, 0));
                }
                Err(
                    StateError::Conflict(_) | StateError::NoAnswer(_) | StateError::Refused(429),
                ) => {
                    self.env.pause(CANCEL_RETRY_MS).await;
                }
                Err(error) => {
                    tracing::debug!(job = %id, %error, "can't store a cancellation");
                    return retry_later(NO_STORE);
                }
            }
        }
    }

    /// Replaces the job's record of this version by its final one.
    async fn store_cancelled(
        &self,
        id: &JobId,
        version: Revision,
        cancelled: &FinalRecord,
    ) -> Result<Revision, StateError> {
        let value = store_value(&cancelled);
        let transaction = Transaction::default()
            .when(job_key(id), version)
            .when(final_record_key(id), Revision::NONE)
            .delete(job_key(id))
            .put(final_record_key(id), value);
        self.env.state.transaction(RequestClass::Claim, &transaction).await
    }

    /// An operator lets a dead-lettered job run again (S12).
    pub async fn release(&self, id: &JobId) -> Response {
        let Ok(StoredJob::Unfinished { record, version }) = self.find(id).await else {
            return error(404, "no such unfinished job");
        };
        if !record.dead_lettered {
            return error(409, "the job is not set aside");
        }
        let record = JobRecord { dead_lettered: false, claims: 0, owner: None, ..*record };
        let value = store_value(&record);
        let transaction = Transaction::default().when(job_key(id), version).put(job_key(id), value);
        match self.env.state.transaction(RequestClass::Submission, &transaction).await {
            Ok(_) => json(200, &view(id, JobStatus::Queued, record.finished_count, 0)),
            Err(error) => {
                tracing::debug!(job = %id, %error, "can't release");
                retry_later(NO_STORE)
            }
        }
    }

    /// The answer while it is not known what the store holds of the job.
    fn unavailable(&self, id: &JobId, reason: &LookupError) -> Response {
        tracing::debug!(job = %id, error = %reason, "job can't be looked up");
        retry_later(NO_STORE)
    }
}
