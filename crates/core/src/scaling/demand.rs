//! Demand of the unfinished jobs: in CPUs, for the balance between spot and on-demand machines, and
//! in tasks by shape, for whether a task has room.

use super::pools::Pools;
use super::room::is_losing_tasks;
use super::shape::TaskShape;
use crate::cluster::Cluster;
use crate::float_order::compare_f64;
use crate::job::Job;
use crate::machine::{Machine, Resources};
use crate::team::{tasks_within_limit, Usage};
use corkfield_wire::JobId;
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Instant;

/// Tasks with a shorter expected run time than this can run one after another in the same place. A
/// job with such tasks needs as many places as let all of them complete in about this time, not
/// counting the boot time of machines.
const TARGET_COMPLETION_S: f64 = 20.0;

/// Tasks of the same shape that need a place on a machine.
#[derive(Debug, Clone)]
pub(super) struct ShapeDemand {
    pub(super) shape: TaskShape,
    /// For each pool, whether such a task can run there.
    pub(super) pools: Vec<bool>,
    pub(super) tasks: u32,
}

impl ShapeDemand {
    /// Returns `Less` if machines should be chosen for this shape before the other: for the shapes
    /// that fit into the fewest pools first, and among these for the largest.
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

/// Returns the tasks that need a place on a machine, by shape: those that wait, and those on machines
/// that probably lose them.
pub(super) fn demand_by_shape(
    cluster: &Cluster,
    pools: &Pools<'_>,
    now: Instant,
) -> Vec<ShapeDemand> {
    let losing = tasks_on_losing_machines(cluster, now);
    let mut usage = cluster.usage_by_team();
    let mut places: BTreeMap<TaskShape, f64> = BTreeMap::new();
    for (id, job) in cluster.jobs.iter().filter(|(_, job)| job.may_start_tasks()) {
        let losing = losing.get(id).copied().unwrap_or(0);
        let (team, spec) = (cluster.team_of(job), job.spec());
        let allowed = tasks_within_limit(team, usage[job.team], spec, job.remaining_tasks());
        let missing = missing_places(cluster, job, losing).min(f64::from(allowed + losing));
        if missing > 0.0 {
            usage[job.team] = usage[job.team].plus(Usage::of_tasks(spec, missing.ceil() as u32));
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

/// Jobs with short tasks that hold more places than they need: the excess is room for other tasks
/// soon.
#[derive(Debug, Default)]
pub(super) struct ShortJobs {
    /// Resources that each running task of the job counts as freeing.
    freed_per_task: BTreeMap<JobId, Resources>,
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

/// CPUs that the unfinished tasks of the active jobs could use.
#[derive(Debug, Clone)]
pub(super) struct CpuDemand {
    /// Demand of all jobs.
    cpus: f64,
    /// Demand of those jobs that may run on spot machines.
    spot_cpus: f64,
    /// Demand of the jobs whose tasks can run in the same pools: for each pool, whether they can,
    /// and their demand.
    by_pools: BTreeMap<Vec<bool>, f64>,
}

impl CpuDemand {
    /// Sums up the demand of all active jobs.
    pub(super) fn new(cluster: &Cluster, pools: &Pools<'_>) -> Self {
        let mut demand = Self { cpus: 0.0, spot_cpus: 0.0, by_pools: BTreeMap::new() };
        for job in cluster.jobs.values().filter(|job| job.may_start_tasks()) {
            let cpus = useful_places(cluster, job) * job.spec().cpus;
            demand.cpus += cpus;
            if job.spec().spot {
                demand.spot_cpus += cpus;
            }
            let can_run = pools.that_can_run(&TaskShape::of_spec(job.spec()));
            *demand.by_pools.entry(can_run).or_default() += cpus;
        }
        demand
    }

    /// Returns whether all demand may be met by spot machines.
    pub(super) fn can_all_run_on_spot(&self) -> bool {
        self.cpus <= self.spot_cpus
    }

    /// Returns the sets of pools in which tasks of the unfinished jobs can run.
    pub(super) fn pool_sets(&self) -> impl Iterator<Item = &Vec<bool>> {
        self.by_pools.keys()
    }

    /// Returns the demand of the jobs whose tasks can run in no pool but the given ones.
    pub(super) fn cpus_bound_to(&self, pools: &[bool]) -> f64 {
        let is_bound =
            |can_run: &[bool]| can_run.iter().zip(pools).all(|(run, is_in)| !run || *is_in);
        let bound = self.by_pools.iter().filter(|(can_run, _)| is_bound(can_run));
        bound.map(|(_, cpus)| cpus).sum()
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

/// Returns whether the job has unplaced tasks that may start.
pub(super) fn has_waiting_tasks(job: &Job) -> bool {
    job.may_start_tasks() && job.waiting_tasks() > 0
}
