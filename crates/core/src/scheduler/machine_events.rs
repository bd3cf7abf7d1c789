//! Log lines about machines. Events of the same kind on many machines are combined into one line.

use corkfield_wire::MachineName;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Minimum time between two calls of [`MachineEventLog::flush`] that log something.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Events of one kind since the last log line of that kind.
#[derive(Debug)]
struct EventCount {
    /// Number of events. Each event concerns one machine.
    machines: u32,
    /// Machine of the first of these events.
    first: MachineName,
}

/// Machine events that have not been logged yet.
#[derive(Debug, Default)]
pub(super) struct MachineEventLog {
    /// Event counts by kind of event, which is also the log message.
    events: BTreeMap<&'static str, EventCount>,
    /// When a line was last logged.
    last_logged_at: Option<Instant>,
    /// Number of unreachable machines that was last logged.
    logged_unreachable: usize,
}

impl MachineEventLog {
    /// Adds an event of a machine that operators should see.
    pub(super) fn add(&mut self, machine: &str, event: &'static str) {
        tracing::debug!(machine, "{event}");
        let count = self
            .events
            .entry(event)
            .or_insert_with(|| EventCount { machines: 0, first: MachineName::from(machine) });
        count.machines += 1;
    }

    /// Returns whether [`LOG_INTERVAL`] has passed since a line was last logged.
    pub(super) fn is_due(&self, now: Instant) -> bool {
        let is_recent = |at| now.saturating_duration_since(at) < LOG_INTERVAL;
        !self.last_logged_at.is_some_and(is_recent)
    }

    /// Logs the number of unreachable machines if it has changed, and all events added since the
    /// last call.
    pub(super) fn flush(&mut self, unreachable: usize, now: Instant) {
        if unreachable != std::mem::replace(&mut self.logged_unreachable, unreachable) {
            tracing::info!(machines = unreachable, "machines send heartbeats but take no orders");
            self.last_logged_at = Some(now);
        }
        for (event, EventCount { machines, first }) in std::mem::take(&mut self.events) {
            tracing::info!(machines, machine = first.as_str(), "{event}");
            self.last_logged_at = Some(now);
        }
    }
}
