//! Decides when a job's record gets its first start watermark, which permits the job's first
//! starts.
//!
//! After a failover, every task below the watermark counts as possibly started and has to wait
//! until all machines have reported what they run (S7). A job therefore gets a watermark only once
//! there is room for its tasks or other tasks may be preempted for them.

use crate::cluster::Cluster;
use crate::team::{is_within_guarantee, Usage};
use corkfield_wire::{JobId, JobSpec, Priority};
use std::time::Instant;

/// Requests the first start watermark for all jobs that need not wait for room because they may
/// preempt other tasks.
pub(super) fn request_watermarks_of_preempting_jobs(cluster: &mut Cluster, usage: &[Usage]) {
    let preempting_jobs: Vec<JobId> = cluster
        .jobs
        .iter()
        .filter(|(_, job)| job.needs_first_watermark())
        .filter(|(_, job)| may_preempt(cluster, job.spec(), usage))
        .map(|(id, _)| id.clone())
        .collect();
    for id in preempting_jobs {
        if let Some(job) = cluster.jobs.get_mut(&id) {
            job.request_start_watermark_raise();
        }
    }
}

/// Returns whether tasks of a job that is claimed at `now` are expected to start soon: the job may
/// preempt other tasks, or CPUs are spare and no claimed job waits for its first watermark.
pub(super) fn may_start_soon(cluster: &Cluster, spec: &JobSpec, now: Instant) -> bool {
    if may_preempt(cluster, spec, &cluster.usage_by_team()) {
        return true;
    }
    let has_job_without_watermark = cluster.jobs.values().any(|job| job.needs_first_watermark());
    !has_job_without_watermark && spare_cpus(cluster, now) > 0.0
}

/// Returns whether the job may preempt other tasks, so that it need not wait for room.
fn may_preempt(cluster: &Cluster, spec: &JobSpec, usage: &[Usage]) -> bool {
    let teams = &cluster.config.teams;
    let is_guaranteed = |team: usize| {
        let usage_with_next_task = usage[team].plus(Usage::of_tasks(spec, 1));
        is_within_guarantee(&teams[team], usage_with_next_task)
    };
    spec.priority <= Priority::High
        || teams.iter().position(|team| team.name == spec.team).is_some_and(is_guaranteed)
}

/// Returns the free CPUs that remain after all waiting tasks below their jobs' start watermarks
/// have been placed. The result may be negative.
fn spare_cpus(cluster: &Cluster, now: Instant) -> f64 {
    let waiting_cpus: f64 = cluster
        .jobs
        .values()
        .filter(|job| job.may_start_tasks())
        .map(|job| f64::from(job.waiting_below_watermark()) * job.spec().cpus)
        .sum();
    free_cpus(cluster, now) - waiting_cpus
}

/// Returns the CPUs that no task uses on machines that accept starts.
fn free_cpus(cluster: &Cluster, now: Instant) -> f64 {
    let heartbeat_timeout = cluster.config.heartbeat_timeout();
    cluster
        .machines
        .values()
        .filter(|machine| machine.can_accept_starts(now, heartbeat_timeout))
        .filter_map(|machine| machine.free_resources())
        .map(|free| free.cpus.max(0.0))
        .sum()
}
