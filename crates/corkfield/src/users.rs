//! Answers users' requests. An answer contains only state that the state service holds (S1).

mod lookup;
mod submission;

use crate::environment::Environment;
use crate::notifications::CancellationNotifier;
use crate::replica::StoreReplica;
use crate::responses::{error, json, retry_later};
use crate::store_value::store_value;
use corkfield_http::Response;
use corkfield_state::{RequestClass, StateError};
use corkfield_wire::records::{final_key, job_key, FinalRecord, JobRecord};
use corkfield_wire::store::Transaction;
use corkfield_wire::{JobId, JobStatus, Revision};
use lookup::{job_view, LookupError, StoredJob, QUERY_TIMEOUT};
use std::rc::Rc;
use std::time::Duration;

/// Time limit of a submission or a cancellation. Users wait 5 s for the answer.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(4500);
/// Reason in the answers that ask users to retry.
const STORE_UNAVAILABLE: &str = "the state service doesn't answer";
/// Range of the random pause before a cancellation is retried after a conflict, a missing answer or
/// status 429, in milliseconds.
const CANCEL_RETRY_MS: std::ops::Range<u64> = 5..50;

/// Answers requests of users, and requests of operators to release a job.
pub struct UserRequests {
    /// Settings, and the client of the state service.
    pub env: Rc<Environment>,
    /// The local copy of the state service.
    pub replica: Rc<StoreReplica>,
    /// Notifies all controllers of cancellations.
    pub notifier: CancellationNotifier,
}

impl UserRequests {
    /// Answers a query for a job.
    pub async fn query(&self, id: &JobId) -> Response {
        match tokio::time::timeout(QUERY_TIMEOUT, self.find_job(id)).await {
            Ok(Ok(found)) => found.response(id).unwrap_or_else(|| error(404, "no such job")),
            Ok(Err(reason)) => self.lookup_failed_response(id, &reason),
            Err(_) => retry_later(STORE_UNAVAILABLE),
        }
    }

    /// Answers a request to cancel a job (S11).
    pub async fn cancel(&self, id: &JobId) -> Response {
        let cancellation = self.cancel_job(id);
        tokio::time::timeout(CHANGE_TIMEOUT, cancellation)
            .await
            .unwrap_or_else(|_| retry_later(STORE_UNAVAILABLE))
    }

    /// Cancels an unfinished job; retries until the transaction is committed, the job is found to
    /// have a final record, or an error can't be retried.
    async fn cancel_job(&self, id: &JobId) -> Response {
        loop {
            let (record, version) = match self.find_job(id).await {
                Ok(StoredJob::Unfinished { record, version }) => (record, version),
                Ok(found) => {
                    return found.response(id).unwrap_or_else(|| error(404, "no such job"));
                }
                Err(reason) => return self.lookup_failed_response(id, &reason),
            };
            let cancelled = FinalRecord { status: JobStatus::Cancelled, done: record.done };
            match self.store_cancelled(id, version, &cancelled).await {
                Ok(_) => {
                    tracing::debug!(job = %id, "job cancelled");
                    self.record_final_state(id, &cancelled).await;
                    return json(200, &job_view(id, cancelled.status, cancelled.done, 0));
                }
                Err(
                    StateError::Conflict(_) | StateError::NoResponse(_) | StateError::Refused(429),
                ) => {
                    self.env.sleep_random(CANCEL_RETRY_MS).await;
                }
                Err(error) => {
                    tracing::debug!(job = %id, %error, "failed to store a cancellation");
                    return retry_later(STORE_UNAVAILABLE);
                }
            }
        }
    }

    /// Replaces the job's record of this version by its final record, in one transaction.
    async fn store_cancelled(
        &self,
        id: &JobId,
        version: Revision,
        cancelled: &FinalRecord,
    ) -> Result<Revision, StateError> {
        let value = store_value(&cancelled);
        let transaction = Transaction::default()
            .when(job_key(id), version)
            .when(final_key(id), Revision::NONE)
            .delete(job_key(id))
            .put(final_key(id), value);
        self.env.state.commit(RequestClass::Claim, &transaction).await
    }

    /// Releases a dead-lettered job at the request of an operator, so that the job can be claimed
    /// again (S12).
    pub async fn release(&self, id: &JobId) -> Response {
        let Ok(StoredJob::Unfinished { record, version }) = self.find_job(id).await else {
            return error(404, "no such unfinished job");
        };
        if !record.dead_lettered {
            return error(409, "the job is not set aside");
        }
        let record = JobRecord { dead_lettered: false, claims: 0, owner: None, ..*record };
        let value = store_value(&record);
        let transaction = Transaction::default().when(job_key(id), version).put(job_key(id), value);
        match self.env.state.commit(RequestClass::Submission, &transaction).await {
            Ok(_) => json(200, &job_view(id, JobStatus::Queued, record.done, 0)),
            Err(error) => {
                tracing::debug!(job = %id, %error, "failed to release a dead-lettered job");
                retry_later(STORE_UNAVAILABLE)
            }
        }
    }

    /// Logs a failed lookup and builds the answer that asks the user to retry.
    fn lookup_failed_response(&self, id: &JobId, reason: &LookupError) -> Response {
        tracing::debug!(job = %id, error = %reason, "job lookup failed");
        retry_later(STORE_UNAVAILABLE)
    }
}
