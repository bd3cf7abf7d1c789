//! Shapes of tasks: what decides on which machines a waiting task can be placed.

use super::pools::Pool;
use crate::cluster::Cluster;
use crate::job::Job;
use crate::machine::Resources;
use crate::placement::placed_tasks_by_zone;
use corkfield_wire::{JobSpec, MachineName};
use std::cmp::Ordering;
use std::collections::BTreeSet;

/// What a waiting task needs of a machine. Jobs whose waiting tasks have the same shape are counted
/// together.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct TaskShape {
    /// Resources that one task needs.
    pub(crate) need: Resources,
    /// Whether the task may run on spot machines.
    pub(crate) spot: bool,
    /// Names of the allowed machine types; `None` allows all.
    pub(crate) types: Option<Vec<String>>,
    /// Allowed zones; `None` allows all.
    pub(crate) zones: Option<BTreeSet<String>>,
    /// Machines on which the job's tasks have failed, and which placement does not use for it.
    pub(crate) failed_on: BTreeSet<MachineName>,
}

impl TaskShape {
    /// Returns the shape of the tasks of a job of which none is placed and none has failed.
    pub(super) fn of_spec(spec: &JobSpec) -> Self {
        Self {
            need: Resources::per_task(spec),
            spot: spec.spot,
            types: spec.types.clone(),
            zones: spec.zone.clone().map(|zone| BTreeSet::from([zone])),
            failed_on: BTreeSet::new(),
        }
    }

    /// Returns the shape of the job's waiting tasks. `all_zones` are the zones of the deployment.
    pub(super) fn of_waiting_tasks(job: &Job, cluster: &Cluster, all_zones: &[&str]) -> Self {
        Self {
            zones: allowed_zones(job, cluster, all_zones),
            failed_on: job.failures.machines().iter().cloned().collect(),
            ..Self::of_spec(job.spec())
        }
    }

    /// Returns whether a task of this shape may run on the pool's machines and fits into an empty
    /// one.
    pub(super) fn can_run_in(&self, pool: &Pool<'_>) -> bool {
        let allows_type = |names: &Vec<String>| names.contains(&pool.machine_type.name);
        (self.spot || !pool.spot)
            && self.types.as_ref().is_none_or(allows_type)
            && self.zones.as_ref().is_none_or(|zones| zones.contains(pool.zone))
            && Resources::capacity_of(pool.machine_type).can_fit(&self.need)
    }

    /// Returns a key by which shapes are ordered. Amounts are never negative, so their bits have the
    /// same order as the amounts.
    fn key(&self) -> impl Ord + '_ {
        let Resources { cpus, gpus, memory_gb } = self.need;
        let amounts = [cpus, gpus, memory_gb].map(f64::to_bits);
        (amounts, self.spot, &self.types, &self.zones, &self.failed_on)
    }
}

impl Eq for TaskShape {}

impl Ord for TaskShape {
    fn cmp(&self, other: &Self) -> Ordering {
        self.key().cmp(&other.key())
    }
}

impl PartialOrd for TaskShape {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Returns the zones in which placement may put the next task of the job; `None` if in any.
fn allowed_zones(job: &Job, cluster: &Cluster, all_zones: &[&str]) -> Option<BTreeSet<String>> {
    let spec = job.spec();
    if let Some(zone) = &spec.zone {
        return Some(BTreeSet::from([zone.clone()]));
    }
    if !spec.one_zone && !spec.spread {
        return None;
    }
    let placed = placed_tasks_by_zone(&cluster.machines, job);
    if spec.one_zone {
        return placed.into_keys().next().map(|zone| BTreeSet::from([zone]));
    }
    let is_full =
        |zone: &str| placed.get(zone).is_some_and(|tasks| *tasks >= spec.max_tasks_per_zone());
    let with_room = all_zones.iter().filter(|zone| !is_full(zone));
    let with_room: BTreeSet<String> = with_room.map(|zone| (*zone).to_owned()).collect();
    (with_room.len() < all_zones.len()).then_some(with_room)
}
