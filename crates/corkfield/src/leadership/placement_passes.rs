//! Placement passes, one for all that asked for one meanwhile.

use super::active_leader::ActiveLeader;
use crate::clock::now;
use std::time::Duration;

/// A pass looks at every machine: there is this much time between two for each of them.
const PAUSE_PER_MACHINE: Duration = Duration::from_micros(250);
const MAX_PAUSE_FOR_MACHINES: Duration = Duration::from_millis(120);
/// And this many times as long as the last one took: leases, heartbeats and users come between.
const PAUSE_TO_DURATION_RATIO: u32 = 3;

impl ActiveLeader {
    /// Runs a pass whenever one is asked for, and the last one was long enough ago.
    pub(super) async fn run_placement_passes(&self) {
        let leadership = &self.context.leadership;
        let mut earliest = tokio::time::Instant::now();
        loop {
            leadership.pass_requested.notified().await;
            tokio::time::sleep_until(earliest).await;
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
            earliest = tokio::time::Instant::now() + pause_after(duration, machines);
        }
    }
}

/// Time without a pass after one that took so long, over so many machines.
fn pause_after(duration: Duration, machines: usize) -> Duration {
    let for_machines = PAUSE_PER_MACHINE * u32::try_from(machines).unwrap_or(u32::MAX);
    for_machines.min(MAX_PAUSE_FOR_MACHINES).max(duration * PAUSE_TO_DURATION_RATIO)
}
