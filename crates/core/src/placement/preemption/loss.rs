//! What is lost if a task is stopped.

use crate::cluster::Cluster;
use crate::job::Job;
use crate::machine::{MachineTask, MachineTaskState};
use std::time::Instant;

/// Jobs that are not urgent stop nothing that was placed more recently than this.
const MIN_TIME_ON_MACHINE_S: f64 = 10.0;

/// A task expected to end sooner than this is not stopped for another.
const NEARLY_DONE_S: f64 = 6.0;

/// A task that ran this many times as long as expected is overdue: that says nothing about its end.
const OVERDUE_RUN_TIME_RATIO: f64 = 1.3;

impl Cluster {
    /// CPU seconds lost if a task of the job `owner` is stopped for the job `waiting`; `None` if it
    /// should not be.
    pub(super) fn preemption_loss(
        &self,
        waiting: &Job,
        owner: &Job,
        machine_task: &MachineTask,
        now: Instant,
    ) -> Option<f64> {
        let running = machine_task.state == MachineTaskState::Running;
        let fetching = machine_task.state == MachineTaskState::Fetching;
        if !(running || fetching) || machine_task.stop.is_some() {
            return None;
        }
        let ran_s = now.saturating_duration_since(machine_task.since).as_secs_f64();
        // Starts that are soon undone help nobody.
        if !waiting.is_urgent() && ran_s < MIN_TIME_ON_MACHINE_S {
            return None;
        }
        if running && self.is_nearly_done(owner, ran_s) {
            return None;
        }
        Some(lost_run_time_s(owner, running, ran_s) * owner.spec().cpus)
    }

    fn is_nearly_done(&self, owner: &Job, ran_s: f64) -> bool {
        let run_s = self.expected_run_s(owner);
        let overdue = ran_s > run_s * OVERDUE_RUN_TIME_RATIO;
        run_s - ran_s < NEARLY_DONE_S && !overdue
    }
}

/// The run time that a task has to repeat, or takes to save.
fn lost_run_time_s(owner: &Job, running: bool, ran_s: f64) -> f64 {
    if !running {
        0.0
    } else if owner.spec().checkpoint_interval_s > 0.0 {
        owner.spec().checkpoint_save_s
    } else {
        ran_s
    }
}
