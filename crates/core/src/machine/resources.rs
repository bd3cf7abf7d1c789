//! Amounts of CPUs, GPUs and memory.

use crate::team::AMOUNT_TOLERANCE;
use corkfield_wire::cloud::MachineType;
use corkfield_wire::JobSpec;

/// An amount of resources: what a task needs, or what a machine has free.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Need {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory, in GB.
    pub memory_gb: f64,
}

impl Need {
    /// What one task of a job needs.
    pub fn per_task(spec: &JobSpec) -> Self {
        Self { cpus: spec.cpus, gpus: spec.gpus, memory_gb: spec.memory_gb }
    }

    /// All that a machine of that type has.
    pub(super) fn size_of(machine_type: &MachineType) -> Self {
        Self { cpus: machine_type.cpus, gpus: machine_type.gpus, memory_gb: machine_type.memory_gb }
    }

    /// Adds another amount to this one.
    pub(crate) fn add(&mut self, other: &Need) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }

    /// Takes another amount off this one; the result may be negative.
    pub(crate) fn subtract(&mut self, other: &Need) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
    }

    /// What that many tasks need.
    pub(crate) fn times(&self, count: u32) -> Need {
        let count = f64::from(count);
        Need { cpus: self.cpus * count, gpus: self.gpus * count, memory_gb: self.memory_gb * count }
    }

    /// The smaller amount of each resource.
    pub(crate) fn minimum(&self, other: &Need) -> Need {
        Need {
            cpus: self.cpus.min(other.cpus),
            gpus: self.gpus.min(other.gpus),
            memory_gb: self.memory_gb.min(other.memory_gb),
        }
    }

    /// Whether `need` fits into this amount, with a tolerance for sums of decimal numbers.
    pub(crate) fn holds(&self, need: &Need) -> bool {
        need.cpus <= self.cpus + AMOUNT_TOLERANCE
            && need.gpus <= self.gpus + AMOUNT_TOLERANCE
            && need.memory_gb <= self.memory_gb + AMOUNT_TOLERANCE
    }
}
