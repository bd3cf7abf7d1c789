//! Jobs that have had no placed task for a long time.

use super::queue::StartableJob;
use crate::cluster::Cluster;
use corkfield_wire::JobId;
use std::time::{Duration, Instant};

/// Maximum number of long-waiting jobs that get a task placed ahead of other jobs in one pass.
const MAX_LONG_WAITING_JOBS: usize = 8;

/// A job without a placed task for longer than this gets the next free capacity that fits one of
/// its tasks, even if that capacity is reserved for an urgent job with larger tasks. Each
/// reservation leaves capacity idle only briefly, but under sustained overload some machine always
/// has idle reserved capacity.
const LONG_WAIT_THRESHOLD: Duration = Duration::from_secs(60);

impl Cluster {
    /// Returns the jobs that are not urgent and have had no placed task for longer than
    /// [`LONG_WAIT_THRESHOLD`], the longest-waiting job first.
    pub(super) fn long_waiting_jobs(&self, queue: &[StartableJob], now: Instant) -> Vec<JobId> {
        let mut waiting: Vec<(Instant, &JobId)> = queue
            .iter()
            .filter_map(|startable| {
                Some((self.long_waiting_since(&startable.id, now)?, &startable.id))
            })
            .collect();
        waiting.sort();
        waiting.into_iter().take(MAX_LONG_WAITING_JOBS).map(|(_, id)| id.clone()).collect()
    }

    fn long_waiting_since(&self, id: &JobId, now: Instant) -> Option<Instant> {
        let job = &self.jobs[id];
        let since = job.unplaced_since.filter(|_| !job.is_urgent())?;
        (now.saturating_duration_since(since) > LONG_WAIT_THRESHOLD).then_some(since)
    }
}
