//! The recent demand of jobs with a start objective, for which idle machines are kept.

use super::pools::Pools;
use super::shape::TaskShape;
use crate::cluster::Cluster;
use crate::config::ObjectiveKind;
use crate::float_order::compare_f64;
use crate::job::Job;
use corkfield_wire::settings::Objective;
use corkfield_wire::JobSpec;
use std::time::{Duration, Instant};

/// How long the highest demand of a job with a start objective is remembered.
const RECENT_DEMAND_RETENTION: Duration = Duration::from_secs(180);

/// The highest demand of a single job with a start objective in recent time.
#[derive(Debug)]
struct HighestDemand {
    cpus: f64,
    tasks: u32,
    spec: JobSpec,
    observed_at: Instant,
}

/// Remembers the highest demand of a single job with a start objective in recent time.
#[derive(Debug, Default)]
pub(super) struct RecentDemand {
    highest: Option<HighestDemand>,
}

/// Room to keep for future jobs with a start objective.
pub(super) struct Headroom {
    pub(super) shape: TaskShape,
    /// For each pool, whether a task of this shape can run there.
    pub(super) pools: Vec<bool>,
    pub(super) tasks: u64,
}

impl RecentDemand {
    /// Updates the recent demand from the current jobs. Returns the room that future jobs with a
    /// start objective are likely to need.
    pub(super) fn update(
        &mut self,
        cluster: &Cluster,
        pools: &Pools<'_>,
        now: Instant,
    ) -> Option<Headroom> {
        let cpus = |job: &Job| job.remaining_demand().cpus;
        let current = cluster
            .jobs
            .values()
            .filter(|job| has_start_objective(cluster, job))
            .max_by(|left, right| compare_f64(cpus(left), cpus(right)));
        let is_outdated = |highest: &HighestDemand| {
            now.saturating_duration_since(highest.observed_at) > RECENT_DEMAND_RETENTION
        };
        let current_cpus = current.map_or(0.0, cpus);
        let is_replaced =
            |highest: &HighestDemand| current_cpus >= highest.cpus || is_outdated(highest);
        if self.highest.as_ref().is_none_or(is_replaced) {
            self.highest = current.map(|job| HighestDemand {
                cpus: current_cpus,
                tasks: job.remaining_tasks(),
                spec: job.spec().clone(),
                observed_at: now,
            });
        }
        let highest = self.highest.as_ref()?;
        let shape = TaskShape::of_spec(&highest.spec);
        let pools = pools.that_can_run(&shape);
        Some(Headroom { shape, pools, tasks: u64::from(highest.tasks) })
    }
}

/// Returns whether the job has an objective for its start: a wait objective of its class, or the
/// objective for guarantees if its team has a guarantee.
fn has_start_objective(cluster: &Cluster, job: &Job) -> bool {
    let class = job.spec().class.as_str();
    let has_guarantee = cluster.team_of(job).cpus > 0.0;
    let applies = |objective: &Objective| {
        let is_of_class = objective.class.as_deref() == Some(class);
        (ObjectiveKind::Wait.matches(objective) && is_of_class)
            || (ObjectiveKind::Guarantee.matches(objective) && has_guarantee)
    };
    cluster.config.objectives.iter().any(applies)
}
