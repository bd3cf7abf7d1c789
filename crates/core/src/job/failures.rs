//! Failed tasks of a job, and the machines on which they failed.

use corkfield_wire::MachineName;

/// A job backs off after its tasks have failed on this many machines.
const BACK_OFF_MACHINES: usize = 3;
/// If tasks of a job have failed on at most this many machines, the machines may be the cause.
const MAX_SUSPECT_MACHINES: usize = 2;

/// Failures of a job's tasks since one of its tasks last completed.
#[derive(Debug, Default)]
pub(crate) struct JobFailures {
    /// Machines on which tasks have failed, in the order of the first failure.
    machines: Vec<MachineName>,
    /// Number of failed tasks.
    count: u32,
}

impl JobFailures {
    /// Adds a task that failed on a machine.
    pub(crate) fn add(&mut self, machine: &str) {
        self.count += 1;
        if !self.contains_machine(machine) {
            self.machines.push(MachineName::from(machine));
        }
    }

    /// Removes all failures, because a task has completed.
    pub(super) fn clear(&mut self) {
        self.machines.clear();
        self.count = 0;
    }

    /// Removes the machines, so that the job may run on all of them again. The number of failed
    /// tasks stays.
    pub(super) fn clear_machines(&mut self) {
        self.machines.clear();
    }

    /// Returns the machines on which tasks have failed.
    pub(crate) fn machines(&self) -> &[MachineName] {
        &self.machines
    }

    /// Returns whether tasks have failed on the machine.
    pub(super) fn contains_machine(&self, machine: &str) -> bool {
        self.machines.iter().any(|failed_on| failed_on.as_str() == machine)
    }

    /// Returns whether tasks have failed on any machine since the last claim of the job.
    pub(super) fn has_any_machine(&self) -> bool {
        !self.machines.is_empty()
    }

    /// Returns whether no task has failed since one last completed.
    pub(super) fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns whether tasks have failed on so few machines that these may be the cause.
    pub(crate) fn may_be_caused_by_machines(&self) -> bool {
        self.machines.len() <= MAX_SUSPECT_MACHINES
    }

    /// Returns whether tasks have failed on so many machines that the job should back off.
    pub(crate) fn should_back_off(&self) -> bool {
        self.machines.len() >= BACK_OFF_MACHINES
    }
}
