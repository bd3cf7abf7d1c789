//! When the record of a job is to allow its first starts.
//!
//! What a record allows counts as begun after a failover, and then has to wait until all machines
//! have shown what they hold (S7). So a record allows first starts only once there is room for
//! them, or others can be stopped for them.

use crate::cluster::Cluster;
use crate::team::{within_guarantee, Usage};
use corkfield_wire::{JobId, JobSpec, Priority};
use std::time::Instant;

/// Has the records of jobs that need not wait for room allow first starts at once.
pub(super) fn allow_without_room(cluster: &mut Cluster, usage: &[Usage]) {
    let preempting: Vec<JobId> = cluster
        .jobs
        .iter()
        .filter(|(_, job)| job.needs_first_watermark())
        .filter(|(_, job)| may_preempt_for(cluster, job.spec(), usage))
        .map(|(id, _)| id.clone())
        .collect();
    for id in preempting {
        if let Some(job) = cluster.jobs.get_mut(&id) {
            job.request_start_watermark_raise();
        }
    }
}

/// Whether a job that is claimed now may be expected to begin soon.
pub(super) fn may_start_soon(cluster: &Cluster, spec: &JobSpec, now: Instant) -> bool {
    if may_preempt_for(cluster, spec, &cluster.usage_by_team()) {
        return true;
    }
    let others_wait = cluster.jobs.values().any(|job| job.needs_first_watermark());
    !others_wait && spare_cpus(cluster, now) > 0.0
}

/// Whether others may be stopped for the job, so that it need not wait for room.
fn may_preempt_for(cluster: &Cluster, spec: &JobSpec, usage: &[Usage]) -> bool {
    let teams = &cluster.config.teams;
    let guaranteed = |team: usize| {
        let next = usage[team].plus(Usage::of_tasks(spec, 1));
        within_guarantee(&teams[team], next)
    };
    spec.priority <= Priority::High
        || teams.iter().position(|team| team.name == spec.team).is_some_and(guaranteed)
}

/// CPUs that are free beyond what waits for them and may be started.
fn spare_cpus(cluster: &Cluster, now: Instant) -> f64 {
    let waiting: f64 = cluster
        .jobs
        .values()
        .filter(|job| job.may_start())
        .map(|job| f64::from(job.waiting_below_watermark()) * job.spec().cpus)
        .sum();
    free_cpus(cluster, now) - waiting
}

/// CPUs that no task takes, on machines that take work.
fn free_cpus(cluster: &Cluster, now: Instant) -> f64 {
    let overdue_after = cluster.config.heartbeat_overdue_after();
    cluster
        .machines
        .values()
        .filter(|machine| machine.can_accept_starts(now, overdue_after))
        .filter_map(|machine| machine.free_resources())
        .map(|free| free.cpus.max(0.0))
        .sum()
}
