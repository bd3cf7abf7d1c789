//! Runs placement passes at a limited rate. Requests made between two passes share the next one.

use super::active_leader::ActiveLeader;
use crate::clock::now;
use std::time::Duration;

/// Minimum pause between two passes per known machine, as a pass visits every machine.
const PAUSE_PER_MACHINE: Duration = Duration::from_micros(250);
/// Upper bound on the pause that follows from the number of machines.
const MAX_PAUSE_FOR_MACHINES: Duration = Duration::from_millis(120);
/// Minimum pause between two passes as a multiple of the last pass's duration, so that leases,
/// heartbeats and users' requests are served in between.
const PAUSE_TO_DURATION_RATIO: u32 = 3;

impl ActiveLeader {
    /// Runs a pass whenever one is requested and the pause after the last one is over.
    pub(super) async fn run_placement_passes(&self) {
        let leadership = &self.context.leadership;
        let mut next_start = tokio::time::Instant::now();
        loop {
            leadership.pass_requested.notified().await;
            tokio::time::sleep_until(next_start).await;
            let started = now();
            let machines = {
                let mut scheduler = self.scheduler.borrow_mut();
                scheduler.run_placement_pass(started);
                scheduler.machine_count()
            };
            let duration = now().saturating_duration_since(started);
            leadership.pass_done.notify_waiters();
            leadership.actions_pending.notify_one();
            leadership.commits_due.notify_one();
            next_start = tokio::time::Instant::now() + pause_after(duration, machines);
        }
    }
}

/// Returns the pause after a pass of this duration over `machines` machines.
fn pause_after(duration: Duration, machines: usize) -> Duration {
    let for_machines = PAUSE_PER_MACHINE * u32::try_from(machines).unwrap_or(u32::MAX);
    for_machines.min(MAX_PAUSE_FOR_MACHINES).max(duration * PAUSE_TO_DURATION_RATIO)
}
