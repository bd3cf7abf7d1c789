//! Names of machines that no longer exist.

use corkfield_wire::MachineName;
use std::collections::{HashSet, VecDeque};

/// The oldest names are discarded only if there are more names than this, and more than
/// [`NAMES_PER_MACHINE`] times the number of known machines.
const MIN_NAMES: usize = 20_000;
/// Names kept per known machine; see [`MIN_NAMES`].
const NAMES_PER_MACHINE: usize = 8;

/// Names of machines that no longer exist. They are kept so that delayed messages don't add the
/// machines again.
#[derive(Debug, Default)]
pub(super) struct RemovedMachines {
    /// The names, for look-ups.
    names: HashSet<MachineName>,
    /// The same names in order of removal, the oldest at the front.
    by_age: VecDeque<MachineName>,
}

impl RemovedMachines {
    /// Returns whether a machine of that name was removed.
    pub(super) fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// Adds the name of a removed machine. Discards the oldest name if there are too many for
    /// `machine_count` known machines.
    pub(super) fn insert(&mut self, name: &str, machine_count: usize) {
        if self.names.insert(MachineName::from(name)) {
            self.by_age.push_back(MachineName::from(name));
        }
        if self.by_age.len() > MIN_NAMES.max(machine_count * NAMES_PER_MACHINE) {
            if let Some(oldest) = self.by_age.pop_front() {
                self.names.remove(&oldest);
            }
        }
    }
}
