//! How long a job waits before tasks are stopped for it.

use crate::cluster::Cluster;
use crate::config::ObjectiveKind;
use crate::job::Job;
use std::time::Duration;

/// The fraction of an objective's time that passes before tasks are stopped for a job that waits.
const GRACE_FRACTION: f64 = 0.55;

/// Jobs without a due time are treated as due this long after their acceptance.
const DEFAULT_DUE_S: f64 = 25.0;

impl Cluster {
    /// How long a job waits for room to come free by itself before others are stopped for it:
    /// a part of what its class, or the guarantees, are to be served within.
    pub(super) fn preemption_grace(&self, job: &Job, guaranteed: bool) -> Duration {
        let class = job.spec().class.as_str();
        let start_s = self.config.general_objective_s(ObjectiveKind::Wait, class);
        let guarantee_s =
            self.config.general_objective_s(ObjectiveKind::Guarantee, class).filter(|_| guaranteed);
        let due_s = self.due(job).map_or(DEFAULT_DUE_S, |due| {
            due.saturating_duration_since(job.accepted_at).as_secs_f64()
        });
        let within_s = [start_s, guarantee_s].into_iter().flatten().fold(due_s, f64::min);
        Duration::try_from_secs_f64(within_s * GRACE_FRACTION).unwrap_or_default()
    }
}
