//! Looks up the stored state of a job.

use super::UserRequests;
use crate::responses::json;
use corkfield_http::Response;
use corkfield_state::{RequestClass, StateError};
use corkfield_wire::records::{final_key, FinalRecord, JobRecord, Versioned};
use corkfield_wire::user::JobView;
use corkfield_wire::{JobId, JobStatus, Revision};
use std::time::Duration;

/// Time limit of a query. Users wait 2 s for the answer.
pub(super) const QUERY_TIMEOUT: Duration = Duration::from_millis(1700);

/// The stored state of a job, read after the request arrived (S1).
pub(super) enum StoredJob {
    /// An unfinished job.
    Unfinished {
        /// The job's record.
        record: Box<JobRecord>,
        /// Version of the record.
        version: Revision,
    },
    /// A job with a final record.
    Final(FinalRecord),
    /// The state service holds no record of the job, so the job was never accepted.
    Unknown,
}

/// Why the stored state of a job can't be determined.
#[derive(Debug, thiserror::Error)]
pub(super) enum LookupError {
    #[error("the local copy of the state service could not be refreshed")]
    RefreshFailed,
    #[error("can't read the final record: {0}")]
    Read(#[from] StateError),
    #[error("unreadable final record: {0}")]
    Unreadable(#[from] serde_json::Error),
}

impl StoredJob {
    /// Returns the answer to a user who queries the job; `None` if the job is unknown.
    pub(super) fn response(&self, id: &JobId) -> Option<Response> {
        match self {
            Self::Unfinished { record, .. } => {
                Some(json(200, &job_view(id, record.status(), record.done, record.running)))
            }
            Self::Final(record) => Some(json(200, &job_view(id, record.status, record.done, 0))),
            Self::Unknown => None,
        }
    }
}

/// Builds the view of a job for users, with the numbers of its done and running tasks.
pub(super) fn job_view(id: &JobId, status: JobStatus, done: u32, running: u32) -> JobView {
    JobView { id: id.clone(), status, done: Some(done), running: Some(running) }
}

impl UserRequests {
    /// Looks up the stored state of a job. The result is current at some time after the call.
    pub(super) async fn find_job(&self, id: &JobId) -> Result<StoredJob, LookupError> {
        if let Some(record) = self.replica.contents.borrow().final_record(id) {
            return Ok(StoredJob::Final(record));
        }
        if !self.replica.refresh(QUERY_TIMEOUT).await {
            return Err(LookupError::RefreshFailed);
        }
        if let Some(found) = self.find_in_replica(id) {
            return Ok(found);
        }
        // The local copy doesn't follow final records. A job that has neither a record of an
        // unfinished job nor a final record was never accepted: the transaction that deletes the
        // former writes the latter.
        let read = self.env.state.get(RequestClass::Query, &final_key(id)).await?;
        let Some(item) = read else {
            return Ok(StoredJob::Unknown);
        };
        let record: FinalRecord = serde_json::from_value(item.value)?;
        self.record_final_state(id, &record).await;
        Ok(StoredJob::Final(record))
    }

    /// Looks up a job in the local copy.
    fn find_in_replica(&self, id: &JobId) -> Option<StoredJob> {
        let contents = self.replica.contents.borrow();
        // Another request may have cached the final record, and answered a user with it, while this
        // request waited for the read.
        if let Some(record) = contents.final_record(id) {
            return Some(StoredJob::Final(record));
        }
        let Versioned { record, version } = contents.jobs.get(id).cloned()?;
        Some(StoredJob::Unfinished { record: Box::new(record), version })
    }

    /// Records a final state that was read from the state service or committed to it. Notifies all
    /// controllers of a cancellation first, so that the leader knows of it before the user does,
    /// even if the leader can't reach the state service.
    pub(super) async fn record_final_state(&self, id: &JobId, record: &FinalRecord) {
        if record.status == JobStatus::Cancelled {
            self.notifier.notify_all(id).await;
        }
        self.replica.contents.borrow_mut().insert_final_record(id, record.clone());
    }
}
