//! The cost of preempting a task.

use crate::cluster::Cluster;
use crate::job::Job;
use crate::machine::{MachineTask, MachineTaskState};
use std::time::Instant;

/// A task that entered its current state less than this long ago is preempted only for urgent
/// jobs.
const MIN_TIME_IN_STATE_S: f64 = 10.0;

/// A task that is expected to end sooner than this is not preempted.
const NEARLY_DONE_S: f64 = 6.0;

/// A task that has run this many times its expected run time is overdue. Its remaining run time is
/// then unknown, so it does not count as nearly done.
const OVERDUE_RUN_TIME_RATIO: f64 = 1.3;

impl Cluster {
    /// Returns the CPU seconds lost if a task of `victim_job` is preempted for `waiting_job`, or
    /// `None` if the task must not be preempted.
    pub(super) fn preemption_cost_cpu_s(
        &self,
        waiting_job: &Job,
        victim_job: &Job,
        machine_task: &MachineTask,
        now: Instant,
    ) -> Option<f64> {
        let is_running = machine_task.state == MachineTaskState::Running;
        let is_fetching = machine_task.state == MachineTaskState::Fetching;
        if !(is_running || is_fetching) || machine_task.stop_grace.is_some() {
            return None;
        }
        let ran_s = now.saturating_duration_since(machine_task.state_since).as_secs_f64();
        // Preempting a task shortly after its start wastes the start without benefit to any job.
        if !waiting_job.is_urgent() && ran_s < MIN_TIME_IN_STATE_S {
            return None;
        }
        if is_running && self.is_nearly_done(victim_job, ran_s) {
            return None;
        }
        Some(lost_run_time_s(victim_job, is_running, ran_s) * victim_job.spec().cpus)
    }

    fn is_nearly_done(&self, victim_job: &Job, ran_s: f64) -> bool {
        let expected_run_s = self.expected_run_s(victim_job);
        let is_overdue = ran_s > expected_run_s * OVERDUE_RUN_TIME_RATIO;
        expected_run_s - ran_s < NEARLY_DONE_S && !is_overdue
    }
}

/// Returns the run time in seconds that the task has to repeat, or the time it takes to save a
/// checkpoint if it can; 0 for a task that does not run yet.
fn lost_run_time_s(victim_job: &Job, is_running: bool, ran_s: f64) -> f64 {
    if !is_running {
        0.0
    } else if victim_job.spec().checkpoint_interval_s > 0.0 {
        victim_job.spec().checkpoint_save_s
    } else {
        ran_s
    }
}
