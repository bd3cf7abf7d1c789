//! Constraints on the zones of one job's tasks relative to each other. They must hold for all placed
//! tasks of the job, including those that earlier controllers started (S8).

use super::capacity::MachineCapacity;
use super::MIN_TASK_CPUS;
use crate::float_order::compare_f64;
use crate::job::Job;
use crate::machine::{Machine, Resources};
use corkfield_wire::{JobSpec, MachineName};
use std::collections::BTreeMap;

/// Returns whether the zones of the job's tasks depend on each other: they have to be in one zone,
/// or spread over several.
pub(super) fn has_zone_constraint(spec: &JobSpec) -> bool {
    spec.one_zone || spec.spread
}

/// The zones in which the next task of a job may be placed.
pub(super) struct ZoneConstraint {
    /// Placed tasks of the job, by zone. For a job without a zone constraint, only the tasks placed
    /// in this pass.
    tasks_by_zone: BTreeMap<String, u32>,
    /// The only zone allowed, if the tasks have to be in one zone.
    required_zone: Option<String>,
    max_tasks_per_zone: u32,
}

impl ZoneConstraint {
    /// Creates the constraint for a job. If its tasks have to be in one zone, that is the zone of
    /// the tasks already placed, or else the zone where the candidates have room for the most
    /// tasks.
    pub(super) fn new<'a>(
        job: &Job,
        machines: &BTreeMap<MachineName, Machine>,
        capacity: &[MachineCapacity],
        candidates: impl Iterator<Item = &'a usize>,
    ) -> Self {
        let spec = job.spec();
        let tasks_by_zone = if has_zone_constraint(spec) {
            placed_tasks_by_zone(machines, job)
        } else {
            BTreeMap::new()
        };
        let required_zone = spec.one_zone.then(|| match tasks_by_zone.keys().next() {
            Some(zone) => zone.clone(),
            None => zone_with_most_slots(capacity, candidates, &Resources::per_task(spec)),
        });
        Self { tasks_by_zone, required_zone, max_tasks_per_zone: spec.max_tasks_per_zone() }
    }

    /// Returns whether another task may be placed in the zone.
    pub(super) fn allows(&self, zone: &str) -> bool {
        self.required_zone.as_deref().is_none_or(|required_zone| required_zone == zone)
            && !self.is_full(zone)
    }

    /// Returns whether the zone has the maximum number of the job's tasks.
    pub(super) fn is_full(&self, zone: &str) -> bool {
        self.tasks_by_zone.get(zone).copied().unwrap_or(0) >= self.max_tasks_per_zone
    }

    /// Counts a task of the job that was placed in the zone.
    pub(super) fn add_task(&mut self, zone: &str) {
        *self.tasks_by_zone.entry(zone.to_owned()).or_default() += 1;
    }
}

/// Returns the number of the job's placed tasks in each zone.
pub(crate) fn placed_tasks_by_zone(
    machines: &BTreeMap<MachineName, Machine>,
    job: &Job,
) -> BTreeMap<String, u32> {
    let mut tasks_by_zone = BTreeMap::new();
    for placement in job.placements().values() {
        if let Some(machine) = machines.get(&placement.machine) {
            *tasks_by_zone.entry(machine.zone.clone()).or_default() += 1;
        }
    }
    tasks_by_zone
}

/// Returns the zone in which the candidates have room for the most tasks with this need.
fn zone_with_most_slots<'a>(
    capacity: &[MachineCapacity],
    candidates: impl Iterator<Item = &'a usize>,
    need: &Resources,
) -> String {
    let mut slots_by_zone: BTreeMap<&str, f64> = BTreeMap::new();
    for &position in candidates {
        let machine = &capacity[position];
        let slots = (machine.free.cpus / need.cpus.max(MIN_TASK_CPUS)).floor();
        *slots_by_zone.entry(&machine.zone).or_default() += slots;
    }
    let most_slots = slots_by_zone.into_iter().max_by(|left, right| compare_f64(left.1, right.1));
    most_slots.map(|(zone, _)| zone.to_owned()).unwrap_or_default()
}
