//! Demand of the unfinished jobs in tasks that need a place on a machine, by shape.

use super::demand::TARGET_COMPLETION_S;
use super::pools::Pools;
use super::room::is_losing_tasks;
use super::shape::TaskShape;
use crate::cluster::Cluster;
use crate::float_order::compare_f64;
use crate::job::Job;
use crate::machine::{Machine, Resources};
use corkfield_wire::JobId;
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Instant;

/// Tasks of the same shape that need a place on a machine.
#[derive(Debug, Clone)]
pub(super) struct ShapeDemand {
    pub(super) shape: TaskShape,
    /// For each pool, whether such a task can run there.
    pub(super) pools: Vec<bool>,
    pub(super) tasks: u32,
}

/// Jobs with short tasks that hold more places than they need to complete in about
/// [`TARGET_COMPLETION_S`]: the excess is room for other tasks soon.
#[derive(Debug, Default)]
pub(super) struct ShortJobs {
    /// Resources that each running task of the job counts as freeing.
    freed_per_task: BTreeMap<JobId, Resources>,
}

/// Returns the tasks that need a place on a machine, by shape: those that wait, and those on machines
/// that probably lose them. The shapes that fit into the fewest pools come first, and among these
/// the largest.
pub(super) fn demand_by_shape(
    cluster: &Cluster,
    pools: &Pools<'_>,
    now: Instant,
) -> Vec<ShapeDemand> {
    let losing = tasks_on_losing_machines(cluster, now);
    let mut places: BTreeMap<TaskShape, f64> = BTreeMap::new();
    for (id, job) in cluster.jobs.iter().filter(|(_, job)| job.may_start_tasks()) {
        let losing = losing.get(id).copied().unwrap_or(0);
        let missing = missing_places(cluster, job, losing);
        if missing > 0.0 {
            let shape = TaskShape::of_waiting_tasks(job, cluster, pools.zones());
            *places.entry(shape).or_default() += missing;
        }
    }
    let mut demand: Vec<ShapeDemand> = places
        .into_iter()
        .map(|(shape, places)| ShapeDemand {
            pools: pools.that_can_run(&shape),
            shape,
            tasks: places.ceil() as u32,
        })
        .collect();
    demand.sort_by(ShapeDemand::compare);
    demand
}

impl ShapeDemand {
    /// Returns `Less` if machines should be chosen for this shape before the other.
    fn compare(&self, other: &Self) -> Ordering {
        let pools = |demand: &Self| demand.pools.iter().filter(|can_run| **can_run).count();
        let (left, right) = (&self.shape.need, &other.shape.need);
        pools(self)
            .cmp(&pools(other))
            .then(compare_f64(right.gpus, left.gpus))
            .then(compare_f64(right.cpus, left.cpus))
            .then(compare_f64(right.memory_gb, left.memory_gb))
    }
}

impl ShortJobs {
    /// Finds the jobs with short tasks that hold more places than they need.
    pub(super) fn new(cluster: &Cluster) -> Self {
        let mut freed_per_task = BTreeMap::new();
        for (id, job) in cluster.jobs.iter().filter(|(_, job)| job.may_start_tasks()) {
            let placed = f64::from(job.placed_count());
            let excess = placed - useful_places(cluster, job);
            if excess > 0.0 {
                let need = Resources::per_task(job.spec());
                freed_per_task.insert(id.clone(), need.scaled(excess / placed));
            }
        }
        Self { freed_per_task }
    }

    /// Returns the resources that count as free soon on the machine.
    pub(super) fn soon_free_on(&self, machine: &Machine) -> Resources {
        let mut soon_free = Resources::default();
        if self.freed_per_task.is_empty() {
            return soon_free;
        }
        for running in &machine.tasks.totals().running {
            if let Some(freed) = self.freed_per_task.get(&running.job) {
                soon_free.add(&freed.multiplied_by(running.count));
            }
        }
        soon_free
    }
}

/// Returns the number of places that the unfinished tasks of a job can use, at least one.
fn useful_places(cluster: &Cluster, job: &Job) -> f64 {
    let run_s = cluster.expected_run_s(job);
    // Tasks that run for a shorter time than the target run one after another in the same place.
    let places = f64::from(job.remaining_tasks()) * (run_s / TARGET_COMPLETION_S).min(1.0);
    places.max(1.0)
}

/// Returns the number of places that the job's unfinished tasks lack, if those of `losing` placed
/// tasks don't count.
fn missing_places(cluster: &Cluster, job: &Job, losing: u32) -> f64 {
    let held = job.placed_count().saturating_sub(losing);
    let unplaced = job.remaining_tasks().saturating_sub(held);
    if unplaced == 0 {
        return 0.0;
    }
    let missing = useful_places(cluster, job) - f64::from(held);
    missing.clamp(0.0, f64::from(unplaced))
}

/// Returns the number of each job's tasks that are on machines which probably lose them.
fn tasks_on_losing_machines(cluster: &Cluster, now: Instant) -> BTreeMap<&JobId, u32> {
    let heartbeat_timeout = cluster.config.heartbeat_timeout();
    let mut tasks: BTreeMap<&JobId, u32> = BTreeMap::new();
    for machine in cluster.machines.values() {
        if !is_losing_tasks(machine, heartbeat_timeout, now) {
            continue;
        }
        for (key, _) in machine.tasks.iter().filter(|(_, task)| task.uses_resources()) {
            *tasks.entry(&key.task.job).or_default() += 1;
        }
    }
    tasks
}
