//! Jobs known to be cancelled although the replica may still show them as unfinished.

use corkfield_wire::JobId;
use std::collections::{HashMap, VecDeque};
use std::time::Instant;

/// Maximum number of cancelled jobs kept, so that a faulty controller can't exhaust memory with
/// notifications. A job is removed after the next read of the state service, and the limit is far
/// above what users of thousands of machines cancel between two reads.
const MAX_CANCELLED_JOBS: usize = 65_536;

/// Jobs that are stored as cancelled in the state service, with the time at which this controller
/// learned of the cancellation. A job is kept until the replica is newer than that time, so that a
/// lagging replica does not make the leader claim the job again.
#[derive(Default)]
pub(super) struct CancelledJobs {
    known_since: HashMap<JobId, Instant>,
    /// The same jobs, in order of insertion.
    insertion_order: VecDeque<JobId>,
}

impl CancelledJobs {
    /// Adds a job known to be cancelled since `at`, or updates its time. Evicts the job inserted
    /// first if there are too many.
    pub(super) fn insert(&mut self, id: &JobId, at: Instant) {
        if self.known_since.insert(id.clone(), at).is_none() {
            self.insertion_order.push_back(id.clone());
        }
        if self.insertion_order.len() > MAX_CANCELLED_JOBS {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.known_since.remove(&oldest);
            }
        }
    }

    /// Returns whether the job is known to be cancelled.
    pub(super) fn contains(&self, id: &JobId) -> bool {
        self.known_since.contains_key(id)
    }

    /// Returns the jobs that became known as cancelled before `moment`.
    pub(super) fn known_before(&self, moment: Instant) -> Vec<JobId> {
        let earlier = self.known_since.iter().filter(|(_, at)| **at < moment);
        earlier.map(|(id, _)| id.clone()).collect()
    }

    /// Removes the job.
    pub(super) fn remove(&mut self, id: &JobId) {
        self.known_since.remove(id);
        self.insertion_order.retain(|other| other != id);
    }
}

#[cfg(test)]
mod tests;
