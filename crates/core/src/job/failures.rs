//! Failures of a job's tasks.

use corkfield_wire::MachineName;

/// A job that failed on so many machines backs off.
const BACK_OFF_MACHINES: usize = 3;
/// A job that failed on no more machines than this may have failed because of them.
const BLAMED_MACHINES: usize = 2;

/// Failures of a job's tasks since something of it last completed.
#[derive(Debug, Default)]
pub(crate) struct JobFailures {
    /// Machines on which its tasks failed, in order.
    machines: Vec<MachineName>,
    /// Tasks that failed.
    count: u32,
}

impl JobFailures {
    /// A task failed on that machine.
    pub(crate) fn add(&mut self, machine: &str) {
        self.count += 1;
        if !self.contains_machine(machine) {
            self.machines.push(MachineName::from(machine));
        }
    }

    /// A task completed.
    pub(super) fn clear(&mut self) {
        self.machines.clear();
        self.count = 0;
    }

    /// The job may be tried on all machines again; its failures are still counted.
    pub(super) fn clear_machines(&mut self) {
        self.machines.clear();
    }

    /// Whether its tasks failed on that machine.
    pub(super) fn contains_machine(&self, machine: &str) -> bool {
        self.machines.iter().any(|failed_on| failed_on.as_str() == machine)
    }

    /// Whether its tasks failed on any machine since it was claimed last.
    pub(super) fn has_any_machine(&self) -> bool {
        !self.machines.is_empty()
    }

    /// Whether no task failed since one last completed.
    pub(super) fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Whether it failed on so few machines that these may be the cause.
    pub(crate) fn may_be_caused_by_machines(&self) -> bool {
        self.machines.len() <= BLAMED_MACHINES
    }

    /// Whether it failed on so many machines that it backs off.
    pub(crate) fn should_back_off(&self) -> bool {
        self.machines.len() >= BACK_OFF_MACHINES
    }
}
