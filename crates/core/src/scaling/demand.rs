//! What the unfinished jobs could use.

use crate::cluster::Cluster;
use crate::config::ObjectiveKind;
use crate::job::Job;
use corkfield_wire::settings::Objective;
use corkfield_wire::JobSpec;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Tasks are spread over machines so that they would take about this long besides the boot.
const HORIZON_S: f64 = 20.0;

/// For how long the highest demand of a job with an early start is remembered.
const RECENT_DEMAND_KEEP: Duration = Duration::from_secs(180);

/// CPUs that the unfinished tasks could use.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Demand {
    /// Of all jobs.
    pub(super) cpus: f64,
    /// Of those jobs that may run on spot machines.
    pub(super) spot_cpus: f64,
}

/// What binds a job to a part of the machines.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Constraints {
    zone: Option<String>,
    types: Option<Vec<String>>,
    spot: bool,
}

/// What jobs under the same constraints could use.
pub(super) struct ConstrainedDemand {
    pub(super) cpus: f64,
    /// What the job with the largest tasks asks for.
    pub(super) largest: JobSpec,
}

/// CPUs that the unfinished tasks could use.
pub(super) fn wanted_cpus(cluster: &Cluster) -> Demand {
    let mut demand = Demand::default();
    for job in cluster.jobs.values().filter(|job| job.may_start()) {
        let cpus = wanted_by(cluster, job);
        demand.cpus += cpus;
        if job.spec().spot {
            demand.spot_cpus += cpus;
        }
    }
    demand
}

/// The demand of waiting jobs that are bound to a zone, to machine types or to on-demand machines.
pub(super) fn constrained_demand(cluster: &Cluster) -> Vec<ConstrainedDemand> {
    let mut by_constraints: BTreeMap<Constraints, ConstrainedDemand> = BTreeMap::new();
    for job in cluster.jobs.values().filter(|job| waits(job)) {
        let spec = job.spec();
        if spec.zone.is_none() && spec.types.is_none() && spec.spot {
            continue;
        }
        let constraints =
            Constraints { zone: spec.zone.clone(), types: spec.types.clone(), spot: spec.spot };
        let demand = by_constraints
            .entry(constraints)
            .or_insert_with(|| ConstrainedDemand { cpus: 0.0, largest: spec.clone() });
        demand.cpus += wanted_by(cluster, job);
        if spec.cpus > demand.largest.cpus {
            demand.largest = spec.clone();
        }
    }
    by_constraints.into_values().collect()
}

/// Whether some of the job's tasks may start and have no place.
pub(super) fn waits(job: &Job) -> bool {
    job.may_start() && job.waiting_tasks() > 0
}

/// CPUs that the unfinished tasks of a job could use.
fn wanted_by(cluster: &Cluster, job: &Job) -> f64 {
    let run_s = cluster.expected_run_s(job);
    // Tasks shorter than the horizon can follow one another on the same machine.
    let wanted = job.remaining_demand().cpus * (run_s / HORIZON_S).min(1.0);
    wanted.max(job.spec().cpus)
}

/// The most CPUs that one job with an early start to reach asked for lately.
#[derive(Debug, Default)]
pub(super) struct RecentDemand {
    cpus: f64,
    /// When so many were asked for.
    asked_at: Option<Instant>,
}

impl RecentDemand {
    /// Takes the present demand into account; CPUs that jobs which start soon are likely to need.
    pub(super) fn update(&mut self, cluster: &Cluster, now: Instant) -> f64 {
        let present_cpus = cluster
            .jobs
            .values()
            .filter(|job| has_start_objective(cluster, job))
            .map(|job| job.remaining_demand().cpus)
            .fold(0.0, f64::max);
        let outdated =
            self.asked_at.is_none_or(|at| now.saturating_duration_since(at) > RECENT_DEMAND_KEEP);
        if present_cpus >= self.cpus || outdated {
            *self = Self { cpus: present_cpus, asked_at: Some(now) };
        }
        self.cpus
    }
}

/// Whether the job is to start soon: by its class's objective, or by that for guarantees.
fn has_start_objective(cluster: &Cluster, job: &Job) -> bool {
    let class = job.spec().class.as_str();
    let guaranteed = cluster.team_of(job).cpus > 0.0;
    let applies = |objective: &Objective| {
        let of_class = objective.class.as_deref() == Some(class);
        (ObjectiveKind::Wait.is_kind_of(objective) && of_class)
            || (ObjectiveKind::Guarantee.is_kind_of(objective) && guaranteed)
    };
    cluster.config.objectives.iter().any(applies)
}
