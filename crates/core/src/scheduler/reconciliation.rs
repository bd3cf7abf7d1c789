//! Which machines of earlier leaders have not shown yet what they hold (S7).

use corkfield_wire::MachineName;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// While others still come, the rest may be on their way: when a cut ends or hung machines go on,
/// they answer one after the other, and the last of them must not be taken for the silent few.
const QUIET_AFTER: Duration = Duration::from_secs(3);

/// Machines recorded by earlier leaders whose tasks are not known yet (S7).
#[derive(Debug, Default)]
pub(super) struct Reconciliation {
    /// Their names.
    machines: BTreeSet<MachineName>,
    /// Since when there are any.
    since: Option<Instant>,
    /// When the newest of them showed what it holds.
    last_progress_at: Option<Instant>,
}

impl Reconciliation {
    /// An earlier leader may have started tasks on that machine.
    pub(super) fn expect(&mut self, machine: &str, now: Instant) {
        self.machines.insert(MachineName::from(machine));
        self.since.get_or_insert(now);
    }

    /// The machine has shown what it holds.
    pub(super) fn note_reconciled(&mut self, machine: &str, now: Instant) {
        if self.machines.remove(machine) {
            self.last_progress_at = Some(now);
        }
    }

    /// The machine surely holds nothing: it is gone, or its worker's lease has expired.
    pub(super) fn remove(&mut self, machine: &str) {
        self.machines.remove(machine);
    }

    /// Whether all tasks that earlier leaders started are accounted for.
    pub(super) fn is_complete(&self) -> bool {
        self.machines.is_empty()
    }

    /// Whether the machine has not shown yet what it holds.
    pub(super) fn contains(&self, machine: &str) -> bool {
        self.machines.contains(machine)
    }

    /// How many machines have not shown yet what they hold.
    pub(super) fn len(&self) -> usize {
        self.machines.len()
    }

    /// The machines that have not shown yet what they hold.
    pub(super) fn machines(&self) -> impl Iterator<Item = &MachineName> {
        self.machines.iter()
    }

    /// How long this reconciliation has lasted; none if it is over, and was said to be.
    pub(super) fn waited(&self, now: Instant) -> Option<Duration> {
        self.since.map(|since| now.saturating_duration_since(since))
    }

    /// Whether no machine has shown what it holds for some time.
    pub(super) fn is_quiet(&self, now: Instant) -> bool {
        let recently = |at| now.saturating_duration_since(at) < QUIET_AFTER;
        !self.last_progress_at.is_some_and(recently)
    }

    /// The reconciliation is over.
    pub(super) fn end(&mut self) {
        self.since = None;
    }
}
