//! Names of machines that are gone.

use corkfield_wire::MachineName;
use std::collections::{HashSet, VecDeque};

/// So many names are kept at the least, and several times as many as there are machines.
const MIN_KEPT: usize = 20_000;
/// See [`MIN_KEPT`].
const KEPT_PER_MACHINE: usize = 8;

/// Names of machines that are gone, kept so that late messages don't bring them back.
#[derive(Debug, Default)]
pub(super) struct RemovedMachines {
    /// For look-ups.
    names: HashSet<MachineName>,
    /// The same names, the first to go at the front.
    by_age: VecDeque<MachineName>,
}

impl RemovedMachines {
    /// Whether a machine of that name is gone.
    pub(super) fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// Notes that a machine is gone, beside `machines` that are known, and forgets the oldest
    /// name if there are too many.
    pub(super) fn insert(&mut self, name: &str, machines: usize) {
        if self.names.insert(MachineName::from(name)) {
            self.by_age.push_back(MachineName::from(name));
        }
        if self.by_age.len() > MIN_KEPT.max(machines * KEPT_PER_MACHINE) {
            if let Some(oldest) = self.by_age.pop_front() {
                self.names.remove(&oldest);
            }
        }
    }
}
