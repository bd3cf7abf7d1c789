//! Jobs of which nothing ran for long.

use super::queue::StartableJob;
use crate::cluster::Cluster;
use corkfield_wire::JobId;
use std::time::{Duration, Instant};

/// So many of these get a task placed ahead of others in one pass.
const LONG_WAITING_JOBS: usize = 8;

/// A job of which nothing runs for this long gets the next room that one of its tasks fits into,
/// also if that is kept for an urgent job that needs more: such room is not free for long, but
/// under lasting overload some machine always has some.
const LONG_WAIT: Duration = Duration::from_secs(60);

impl Cluster {
    /// Jobs that are not urgent and of which nothing ran for long, the longest first.
    pub(super) fn long_waiting_jobs(&self, queue: &[StartableJob], now: Instant) -> Vec<JobId> {
        let mut waiting: Vec<(Instant, &JobId)> = queue
            .iter()
            .filter_map(|startable| {
                Some((self.long_waiting_since(&startable.id, now)?, &startable.id))
            })
            .collect();
        waiting.sort();
        waiting.into_iter().take(LONG_WAITING_JOBS).map(|(_, id)| id.clone()).collect()
    }

    fn long_waiting_since(&self, id: &JobId, now: Instant) -> Option<Instant> {
        let job = &self.jobs[id];
        let since = job.unplaced_since.filter(|_| !job.is_urgent())?;
        (now.saturating_duration_since(since) > LONG_WAIT).then_some(since)
    }
}
