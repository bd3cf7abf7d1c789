//! What the state service holds of a job.

use super::UserRequests;
use crate::responses::json;
use corkfield_http::Response;
use corkfield_state::{RequestClass, StateError};
use corkfield_wire::records::{final_record_key, FinalRecord, JobRecord, Versioned};
use corkfield_wire::user::JobView;
use corkfield_wire::{JobId, JobStatus, Revision};
use std::time::Duration;

/// Users wait 2 s for a query.
pub(super) const QUERY_LIMIT: Duration = Duration::from_millis(1700);

/// What the store holds of a job, read after the request came in (S1).
pub(super) enum StoredJob {
    /// An unfinished job.
    Unfinished {
        /// The record.
        record: Box<JobRecord>,
        /// Version of the record.
        version: Revision,
    },
    /// A job that is over.
    Final(FinalRecord),
    /// The job was never accepted.
    Unknown,
}

/// Why it is not known what the store holds of a job.
#[derive(Debug, thiserror::Error)]
pub(super) enum LookupError {
    #[error("the local copy could not be brought up to date")]
    NotFresh,
    #[error("can't read the final record: {0}")]
    Read(#[from] StateError),
    #[error("unreadable final record: {0}")]
    Unreadable(#[from] serde_json::Error),
}

impl StoredJob {
    /// The answer to a user who asks for the job; `None` if there is none.
    pub(super) fn response(&self, id: &JobId) -> Option<Response> {
        match self {
            Self::Unfinished { record, .. } => Some(json(
                200,
                &view(id, record.status(), record.finished_count, record.running_count),
            )),
            Self::Final(record) => {
                Some(json(200, &view(id, record.status, record.finished_count, 0)))
            }
            Self::Unknown => None,
        }
    }
}

/// A job as users see it, with the numbers of its tasks that are done and running.
pub(super) fn view(id: &JobId, status: JobStatus, done: u32, running: u32) -> JobView {
    JobView { id: id.clone(), status, finished_count: Some(done), running_count: Some(running) }
}

impl UserRequests {
    /// Finds out what the store holds of a job, not counting what it was before the call.
    pub(super) async fn find(&self, id: &JobId) -> Result<StoredJob, LookupError> {
        if let Some(record) = self.replica.contents.borrow().known_final(id) {
            return Ok(StoredJob::Final(record));
        }
        if !self.replica.refresh(QUERY_LIMIT).await {
            return Err(LookupError::NotFresh);
        }
        if let Some(found) = self.find_in_replica(id) {
            return Ok(found);
        }
        // Jobs that are over are not followed. One that is neither unfinished nor over now was
        // never accepted: final records are written in the transaction that drops the others.
        let read = self.env.state.get(RequestClass::Reading, &final_record_key(id)).await?;
        let Some(item) = read else {
            return Ok(StoredJob::Unknown);
        };
        let record: FinalRecord = serde_json::from_value(item.value)?;
        self.record_final(id, &record).await;
        Ok(StoredJob::Final(record))
    }

    fn find_in_replica(&self, id: &JobId) -> Option<StoredJob> {
        let contents = self.replica.contents.borrow();
        // Another request may have been answered with it while this one's read was under way.
        if let Some(record) = contents.known_final(id) {
            return Some(StoredJob::Final(record));
        }
        let Versioned { record, version } = contents.jobs.get(id).cloned()?;
        Some(StoredJob::Unfinished { record: Box::new(record), version })
    }

    /// The store surely holds this final state: it was read there, or committed. Before a user
    /// hears of a cancellation, whoever leads hears of it too, even if the store refuses it.
    pub(super) async fn record_final(&self, id: &JobId, record: &FinalRecord) {
        if record.status == JobStatus::Cancelled {
            self.notifier.notify_all(id).await;
        }
        self.replica.contents.borrow_mut().insert_final(id, record.clone());
    }
}
