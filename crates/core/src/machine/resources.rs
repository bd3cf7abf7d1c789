//! Amounts of CPUs, GPUs and memory.

use crate::team::AMOUNT_TOLERANCE;
use corkfield_wire::cloud::MachineType;
use corkfield_wire::JobSpec;

/// An amount of resources, for example the need of a task or the free capacity of a machine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Resources {
    /// Number of CPUs.
    pub cpus: f64,
    /// Number of GPUs.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
}

impl Resources {
    /// Returns the resources that one task of a job needs.
    pub fn per_task(spec: &JobSpec) -> Self {
        Self { cpus: spec.cpus, gpus: spec.gpus, memory_gb: spec.memory_gb }
    }

    /// Returns the total resources of a machine of the given type.
    pub(crate) fn capacity_of(machine_type: &MachineType) -> Self {
        Self { cpus: machine_type.cpus, gpus: machine_type.gpus, memory_gb: machine_type.memory_gb }
    }

    /// Adds another amount to this one.
    pub(crate) fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }

    /// Subtracts another amount from this one; the result may be negative.
    pub(crate) fn subtract(&mut self, other: &Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
    }

    /// Returns this amount multiplied by `count`.
    pub(crate) fn multiplied_by(&self, count: u32) -> Resources {
        self.scaled(f64::from(count))
    }

    /// Returns this amount multiplied by a factor, which must not be negative.
    pub(crate) fn scaled(&self, factor: f64) -> Resources {
        Resources {
            cpus: self.cpus * factor,
            gpus: self.gpus * factor,
            memory_gb: self.memory_gb * factor,
        }
    }

    /// Returns the smaller amount of each resource.
    pub(crate) fn minimum(&self, other: &Resources) -> Resources {
        Resources {
            cpus: self.cpus.min(other.cpus),
            gpus: self.gpus.min(other.gpus),
            memory_gb: self.memory_gb.min(other.memory_gb),
        }
    }

    /// Returns whether `need` fits into this amount, with a tolerance for rounding errors of sums.
    pub(crate) fn can_fit(&self, need: &Resources) -> bool {
        need.cpus <= self.cpus + AMOUNT_TOLERANCE
            && need.gpus <= self.gpus + AMOUNT_TOLERANCE
            && need.memory_gb <= self.memory_gb + AMOUNT_TOLERANCE
    }

    /// Returns how many tasks with this need fit into this amount together, in every resource.
    pub(crate) fn fitting_tasks(&self, need: &Resources) -> u32 {
        if !self.can_fit(need) {
            return 0;
        }
        let amounts =
            [(self.cpus, need.cpus), (self.gpus, need.gpus), (self.memory_gb, need.memory_gb)];
        let needed = amounts.into_iter().filter(|(_, need)| *need > 0.0);
        let counts = needed.map(|(amount, need)| ((amount + AMOUNT_TOLERANCE) / need).floor());
        counts.fold(f64::from(u32::MAX), f64::min) as u32
    }
}
