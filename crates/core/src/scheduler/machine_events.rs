//! Log lines of what happens to machines: whole waves of them share a line.

use corkfield_wire::MachineName;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Between two rounds of log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Events of one kind since the last log line of that kind.
#[derive(Debug)]
struct EventCount {
    /// How many machines it happened to.
    machines: u32,
    /// The first machine that it happened to.
    first: MachineName,
}

/// What happened to machines and was not logged yet.
#[derive(Debug, Default)]
pub(super) struct MachineEventLog {
    /// By kind of event.
    events: BTreeMap<&'static str, EventCount>,
    /// When a line was written last.
    logged_at: Option<Instant>,
    /// Machines that take no orders, as logged last.
    unreachable: usize,
}

impl MachineEventLog {
    /// Notes what operators should know of a machine.
    pub(super) fn note(&mut self, machine: &str, event: &'static str) {
        tracing::debug!(machine, "{event}");
        let count = self
            .events
            .entry(event)
            .or_insert_with(|| EventCount { machines: 0, first: MachineName::from(machine) });
        count.machines += 1;
    }

    /// Whether the last log lines are old enough.
    pub(super) fn is_due(&self, now: Instant) -> bool {
        let recently = |at| now.saturating_duration_since(at) < LOG_INTERVAL;
        !self.logged_at.is_some_and(recently)
    }

    /// Writes what was noted, and how many machines take no orders if that has changed.
    pub(super) fn write(&mut self, unreachable: usize, now: Instant) {
        if unreachable != std::mem::replace(&mut self.unreachable, unreachable) {
            tracing::info!(machines = unreachable, "machines send heartbeats but take no orders");
            self.logged_at = Some(now);
        }
        for (event, EventCount { machines, first }) in std::mem::take(&mut self.events) {
            tracing::info!(machines, machine = first.as_str(), "{event}");
            self.logged_at = Some(now);
        }
    }
}
