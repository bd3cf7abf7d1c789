//! Jobs known to be cancelled, whatever the replica of the store still shows.

use corkfield_wire::JobId;
use std::collections::{HashMap, VecDeque};
use std::time::Instant;

/// Cancelled jobs that were heard of, kept so that no replica of the store that lags brings
/// them back. A job leaves with the next read of the store, so that this is far above what users
/// cancel meanwhile on thousands of machines; it bounds what a faulty controller can make us keep.
const MAX_CANCELLED_JOBS: usize = 65_536;

/// Jobs that the state service holds as cancelled, whatever the replica still shows, and when
/// that became known.
#[derive(Default)]
pub(super) struct CancelledJobs {
    since: HashMap<JobId, Instant>,
    /// The same jobs, oldest first.
    order: VecDeque<JobId>,
}

impl CancelledJobs {
    /// The job is known to be cancelled since that moment, or longer. The oldest makes way if there
    /// are too many.
    pub(super) fn insert(&mut self, id: &JobId, at: Instant) {
        if self.since.insert(id.clone(), at).is_none() {
            self.order.push_back(id.clone());
        }
        if self.order.len() > MAX_CANCELLED_JOBS {
            if let Some(oldest) = self.order.pop_front() {
                self.since.remove(&oldest);
            }
        }
    }

    /// Whether the job is known to be cancelled.
    pub(super) fn contains(&self, id: &JobId) -> bool {
        self.since.contains_key(id)
    }

    /// Jobs that became known as cancelled before that moment.
    pub(super) fn known_before(&self, moment: Instant) -> Vec<JobId> {
        let earlier = self.since.iter().filter(|(_, at)| **at < moment);
        earlier.map(|(id, _)| id.clone()).collect()
    }

    /// Forgets the job.
    pub(super) fn remove(&mut self, id: &JobId) {
        self.since.remove(id);
        self.order.retain(|other| other != id);
    }
}

#[cfg(test)]
mod tests;
