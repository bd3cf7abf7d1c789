//! Reconciliation after a failover: tracks which machines recorded by earlier leaders have not
//! reported their tasks yet (S7).

use corkfield_wire::MachineName;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Reconciliation counts as stalled if no machine was reconciled for this long. When a network
/// partition ends or suspended machines resume, they report one after the other. The last of them
/// must not be mistaken for a few unresponsive machines.
const STALLED_AFTER: Duration = Duration::from_secs(3);

/// Machines recorded by earlier leaders whose tasks are not known yet (S7).
#[derive(Debug, Default)]
pub(super) struct Reconciliation {
    /// Names of the unreconciled machines.
    machines: BTreeSet<MachineName>,
    /// When this reconciliation started, or `None` if none is in progress.
    started_at: Option<Instant>,
    /// When a machine was last reconciled.
    last_progress_at: Option<Instant>,
}

impl Reconciliation {
    /// Adds a machine on which an earlier leader may have started tasks.
    pub(super) fn add(&mut self, machine: &str, now: Instant) {
        self.machines.insert(MachineName::from(machine));
        self.started_at.get_or_insert(now);
    }

    /// Marks a machine as reconciled: it has reported its tasks.
    pub(super) fn mark_reconciled(&mut self, machine: &str, now: Instant) {
        if self.machines.remove(machine) {
            self.last_progress_at = Some(now);
        }
    }

    /// Removes a machine that cannot hold tasks: it no longer exists, or its worker's lease has
    /// expired.
    pub(super) fn remove(&mut self, machine: &str) {
        self.machines.remove(machine);
    }

    /// Returns whether all tasks that earlier leaders started are accounted for.
    pub(super) fn is_complete(&self) -> bool {
        self.machines.is_empty()
    }

    /// Returns whether the machine is unreconciled.
    pub(super) fn contains(&self, machine: &str) -> bool {
        self.machines.contains(machine)
    }

    /// Returns the number of unreconciled machines.
    pub(super) fn len(&self) -> usize {
        self.machines.len()
    }

    /// Returns the names of the unreconciled machines.
    pub(super) fn machines(&self) -> impl Iterator<Item = &MachineName> {
        self.machines.iter()
    }

    /// Returns the time since this reconciliation started, or `None` if it has not started or
    /// [`Self::finish`] was called since.
    pub(super) fn elapsed(&self, now: Instant) -> Option<Duration> {
        self.started_at.map(|started_at| now.saturating_duration_since(started_at))
    }

    /// Returns whether no machine was reconciled within the last [`STALLED_AFTER`].
    pub(super) fn is_stalled(&self, now: Instant) -> bool {
        let is_recent = |at| now.saturating_duration_since(at) < STALLED_AFTER;
        !self.last_progress_at.is_some_and(is_recent)
    }

    /// Marks this reconciliation as finished. The caller has logged its completion.
    pub(super) fn finish(&mut self) {
        self.started_at = None;
    }
}
