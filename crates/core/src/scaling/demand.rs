//! Demand of the unfinished jobs, in CPUs.

use crate::cluster::Cluster;
use crate::config::ObjectiveKind;
use crate::job::Job;
use corkfield_wire::settings::Objective;
use corkfield_wire::JobSpec;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Tasks with a shorter expected run time than this can run one after another on the same CPUs. The
/// demand of a job with such tasks is the number of CPUs with which all of them complete in about
/// this time, not counting the boot time of machines.
pub(super) const TARGET_COMPLETION_S: f64 = 20.0;

/// How long the highest demand of a job with a start objective is remembered.
const RECENT_DEMAND_RETENTION: Duration = Duration::from_secs(180);

/// CPUs that the unfinished tasks could use.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Demand {
    /// Demand of all jobs.
    pub(super) cpus: f64,
    /// Demand of those jobs that may run on spot machines.
    pub(super) spot_cpus: f64,
}

/// The constraints that limit a job to a part of the machines.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Constraints {
    zone: Option<String>,
    types: Option<Vec<String>>,
    spot: bool,
}

/// Demand of all jobs with the same constraints.
pub(super) struct ConstrainedDemand {
    pub(super) cpus: f64,
    /// Specification of the job with the most CPUs per task.
    pub(super) largest_spec: JobSpec,
}

/// Returns the CPUs that the unfinished tasks of all active jobs could use.
pub(super) fn total_demand(cluster: &Cluster) -> Demand {
    let mut demand = Demand::default();
    for job in cluster.jobs.values().filter(|job| job.may_start_tasks()) {
        let cpus = job_demand_cpus(cluster, job);
        demand.cpus += cpus;
        if job.spec().spot {
            demand.spot_cpus += cpus;
        }
    }
    demand
}

/// Returns the demand of waiting jobs that are bound to a zone, to machine types or to on-demand
/// machines, by constraints.
pub(super) fn constrained_demand(cluster: &Cluster) -> Vec<ConstrainedDemand> {
    let mut by_constraints: BTreeMap<Constraints, ConstrainedDemand> = BTreeMap::new();
    for job in cluster.jobs.values().filter(|job| has_waiting_tasks(job)) {
        let spec = job.spec();
        if spec.zone.is_none() && spec.types.is_none() && spec.spot {
            continue;
        }
        let constraints =
            Constraints { zone: spec.zone.clone(), types: spec.types.clone(), spot: spec.spot };
        let demand = by_constraints
            .entry(constraints)
            .or_insert_with(|| ConstrainedDemand { cpus: 0.0, largest_spec: spec.clone() });
        demand.cpus += job_demand_cpus(cluster, job);
        if spec.cpus > demand.largest_spec.cpus {
            demand.largest_spec = spec.clone();
        }
    }
    by_constraints.into_values().collect()
}

/// Returns whether the job has unplaced tasks that may start.
pub(super) fn has_waiting_tasks(job: &Job) -> bool {
    job.may_start_tasks() && job.waiting_tasks() > 0
}

/// Returns the CPUs that the unfinished tasks of a job could use.
fn job_demand_cpus(cluster: &Cluster, job: &Job) -> f64 {
    let run_s = cluster.expected_run_s(job);
    // Tasks that run for a shorter time than the target run one after another on the same CPUs.
    let demand_cpus = job.remaining_demand().cpus * (run_s / TARGET_COMPLETION_S).min(1.0);
    demand_cpus.max(job.spec().cpus)
}

/// The highest demand of a single job with a start objective in recent time.
#[derive(Debug, Default)]
pub(super) struct RecentDemand {
    cpus: f64,
    /// When this demand was observed.
    observed_at: Option<Instant>,
}

impl RecentDemand {
    /// Updates the recent demand from the current jobs. Returns the CPUs that future jobs with a
    /// start objective are likely to need.
    pub(super) fn update(&mut self, cluster: &Cluster, now: Instant) -> f64 {
        let current_cpus = cluster
            .jobs
            .values()
            .filter(|job| has_start_objective(cluster, job))
            .map(|job| job.remaining_demand().cpus)
            .fold(0.0, f64::max);
        let is_outdated = self
            .observed_at
            .is_none_or(|at| now.saturating_duration_since(at) > RECENT_DEMAND_RETENTION);
        if current_cpus >= self.cpus || is_outdated {
            *self = Self { cpus: current_cpus, observed_at: Some(now) };
        }
        self.cpus
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
