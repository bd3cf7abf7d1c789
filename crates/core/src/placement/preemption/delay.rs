//! How long a job waits before other tasks are preempted for it.

use crate::cluster::Cluster;
use crate::config::ObjectiveKind;
use crate::job::Job;
use std::time::Duration;

/// Tasks are preempted for a waiting job after this fraction of the shortest applicable time limit.
const PREEMPTION_DELAY_FRACTION: f64 = 0.55;

/// A job without a due time is treated as due this long after its acceptance.
const DEFAULT_DEADLINE_S: f64 = 25.0;

impl Cluster {
    /// Returns how long a job waits for capacity to become free before tasks are preempted for it:
    /// a fraction of the shortest of its due time, the wait objective of its class and, if
    /// `is_guaranteed`, the objective for guarantees.
    pub(super) fn preemption_delay(&self, job: &Job, is_guaranteed: bool) -> Duration {
        let class = job.spec().class.as_str();
        let wait_s = self.config.applicable_objective_s(ObjectiveKind::Wait, class);
        let guarantee_s = self
            .config
            .applicable_objective_s(ObjectiveKind::Guarantee, class)
            .filter(|_| is_guaranteed);
        let deadline_s = self.due_at(job).map_or(DEFAULT_DEADLINE_S, |due_at| {
            due_at.saturating_duration_since(job.accepted_at).as_secs_f64()
        });
        let objective_s = [wait_s, guarantee_s].into_iter().flatten().fold(deadline_s, f64::min);
        Duration::try_from_secs_f64(objective_s * PREEMPTION_DELAY_FRACTION).unwrap_or_default()
    }
}
