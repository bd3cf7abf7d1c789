//! Run times of completed tasks, which update machine health and run time estimates.

use super::task_status::PreviousTaskState;
use super::HeartbeatContext;
use crate::estimate_correction::EstimateCorrections;
use crate::job::Job;
use crate::machine::{Machine, MachineTaskState};
use std::ops::RangeInclusive;
use std::time::Duration;

/// Bounds to which the ratio of a task's run time to the job's mean run time is clamped before it
/// updates the slowness of a machine.
const SLOWNESS_RATIO_BOUNDS: RangeInclusive<f64> = 0.2..=10.0;
/// Bounds to which the ratio of a task's run time to its estimate is clamped before it updates the
/// estimate correction of the job's class.
const ESTIMATE_RATIO_BOUNDS: RangeInclusive<f64> = 0.05..=20.0;

/// Run time of a task that has just completed, as measured by heartbeats.
pub(super) struct RunTime {
    /// Time from the heartbeat that first showed the task running to the one that shows it done.
    measured: Duration,
    /// Time since the previous message of the machine. The task may have ended this much before it
    /// was reported.
    gap: Duration,
}

impl HeartbeatContext {
    /// Returns the run time of a task that this heartbeat shows as done, given its previous state.
    ///
    /// Returns `None` if the start or the end of the run was not reported promptly: a machine that
    /// could not send heartbeats for a while is not a slow machine.
    pub(super) fn run_time(&self, previous: Option<PreviousTaskState>) -> Option<RunTime> {
        let previous = previous.filter(|previous| previous.state == MachineTaskState::Running)?;
        let gap = self.prompt_gap?;
        Some(RunTime { measured: self.received_at.duration_since(previous.since), gap })
    }
}

impl RunTime {
    /// Adds this run time to the statistics of the job, the machine, and the estimates of the job's
    /// class.
    pub(super) fn add_to_statistics(
        &self,
        corrections: &mut EstimateCorrections,
        job: &mut Job,
        machine: &mut Machine,
    ) {
        // The task may have ended at any time since the previous heartbeat. The shortest possible
        // run time is used, so that a machine whose heartbeats are delayed by seconds does not
        // count as slow.
        let shortest = self.measured.saturating_sub(self.gap);
        if let Some(ratio) = job.run_times.ratio_to_mean(shortest) {
            machine.health.record_run_time(clamp(ratio, &SLOWNESS_RATIO_BOUNDS));
        }
        let measured_s = self.measured.as_secs_f64();
        job.run_times.add(measured_s);
        let estimate_s = job.spec().estimate_s;
        if estimate_s > 0.0 {
            let ratio = clamp(measured_s / estimate_s, &ESTIMATE_RATIO_BOUNDS);
            corrections.add_sample(&job.spec().class, ratio);
        }
    }
}

/// Clamps a ratio to the given bounds.
fn clamp(ratio: f64, bounds: &RangeInclusive<f64>) -> f64 {
    ratio.clamp(*bounds.start(), *bounds.end())
}
