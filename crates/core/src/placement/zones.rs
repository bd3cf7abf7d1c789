//! Where the tasks of one job may be, relative to each other (S8).

use super::capacity::MachineCapacity;
use super::MIN_TASK_CPUS;
use crate::float_order::compare;
use crate::job::Job;
use crate::machine::{Machine, Need};
use corkfield_wire::{JobSpec, MachineName};
use std::collections::BTreeMap;

/// Whether the job's tasks are bound to one zone, or to several.
pub(super) fn binds_zones(spec: &JobSpec) -> bool {
    spec.one_zone || spec.spread
}

/// The zones that the next task of a job may be placed in.
pub(super) struct ZoneRule {
    /// Placed tasks of the job by zone; of a job that its zones do not matter to, only those placed
    /// in this pass.
    tasks_by_zone: BTreeMap<String, u32>,
    /// The only zone allowed.
    required: Option<String>,
    max_tasks_per_zone: u32,
}

impl ZoneRule {
    /// The rule for a job. If its tasks have to be in one zone, that is the one where some are, else
    /// the one where the machines given have room for most.
    pub(super) fn new<'a>(
        job: &Job,
        machines: &BTreeMap<MachineName, Machine>,
        capacity: &[MachineCapacity],
        candidates: impl Iterator<Item = &'a usize>,
    ) -> Self {
        let spec = job.spec();
        let tasks_by_zone =
            if binds_zones(spec) { zones_in_use(machines, job) } else { BTreeMap::new() };
        let required = spec.one_zone.then(|| match tasks_by_zone.keys().next() {
            Some(zone) => zone.clone(),
            None => roomiest_zone(capacity, candidates, &Need::per_task(spec)),
        });
        Self { tasks_by_zone, required, max_tasks_per_zone: spec.max_tasks_per_zone() }
    }

    /// Whether another task may be placed in that zone.
    pub(super) fn allows(&self, zone: &str) -> bool {
        self.required.as_deref().is_none_or(|required| required == zone) && !self.is_full(zone)
    }

    /// Whether the zone holds as many of the job's tasks as it may.
    pub(super) fn is_full(&self, zone: &str) -> bool {
        self.tasks_by_zone.get(zone).copied().unwrap_or(0) >= self.max_tasks_per_zone
    }

    /// A task of the job was placed in that zone.
    pub(super) fn count_task(&mut self, zone: &str) {
        *self.tasks_by_zone.entry(zone.to_owned()).or_default() += 1;
    }
}

/// How many placed tasks of the job each zone holds.
fn zones_in_use(machines: &BTreeMap<MachineName, Machine>, job: &Job) -> BTreeMap<String, u32> {
    let mut zones = BTreeMap::new();
    for placed in job.active().values() {
        if let Some(machine) = machines.get(&placed.machine) {
            *zones.entry(machine.zone.clone()).or_default() += 1;
        }
    }
    zones
}

/// The zone where the machines have room for most tasks of that need.
fn roomiest_zone<'a>(
    capacity: &[MachineCapacity],
    candidates: impl Iterator<Item = &'a usize>,
    need: &Need,
) -> String {
    let mut slots_by_zone: BTreeMap<&str, f64> = BTreeMap::new();
    for &position in candidates {
        let machine = &capacity[position];
        let slots = (machine.free.cpus / need.cpus.max(MIN_TASK_CPUS)).floor();
        *slots_by_zone.entry(&machine.zone).or_default() += slots;
    }
    let roomiest = slots_by_zone.into_iter().max_by(|left, right| compare(left.1, right.1));
    roomiest.map(|(zone, _)| zone.to_owned()).unwrap_or_default()
}
