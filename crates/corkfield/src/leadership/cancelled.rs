//! Jobs known to be cancelled, whatever the copy of the store still shows.

use corkfield_wire::JobId;
use std::collections::{HashMap, VecDeque};
use std::time::Instant;

/// Cancelled jobs that were heard of, kept so that no copy of the store that is behind brings
/// them back. A job leaves with the next read of the store, so that this is far above what users
/// cancel meanwhile on thousands of machines; it bounds what a faulty controller can make us keep.
const MAX_CANCELLED: usize = 65_536;

/// Jobs that the state service holds as cancelled, whatever the copy of it still shows, and when
/// that became known.
#[derive(Default)]
pub(super) struct Cancelled {
    pub(super) since: HashMap<JobId, Instant>,
    pub(super) order: VecDeque<JobId>,
}

impl Cancelled {
    pub(super) fn insert(&mut self, id: &JobId, at: Instant) {
        if self.since.insert(id.clone(), at).is_none() {
            self.order.push_back(id.clone());
        }
        if self.order.len() > MAX_CANCELLED {
            if let Some(oldest) = self.order.pop_front() {
                self.since.remove(&oldest);
            }
        }
    }

    pub(super) fn remove(&mut self, id: &JobId) {
        self.since.remove(id);
        self.order.retain(|other| other != id);
    }
}

#[cfg(test)]
mod tests;
