//! Run times of completed tasks: what they tell of machines and of estimates.

use super::task_status::KnownTask;
use super::Receipt;
use crate::estimate_correction::EstimateCorrections;
use crate::job::Job;
use crate::machine::{Machine, MachineTaskState};
use std::ops::RangeInclusive;
use std::time::Duration;

/// Bounds of what one run time tells of a machine, against the mean elsewhere.
const SLOWNESS_RATIO: RangeInclusive<f64> = 0.2..=10.0;
/// Bounds of what one run time tells of its class's estimates.
const ESTIMATE_RATIO: RangeInclusive<f64> = 0.05..=20.0;

/// Run time of a task that has just completed.
pub(super) struct RunTime {
    /// From the heartbeat that showed it running to the one that shows it done.
    ran: Duration,
    /// It may have ended this much earlier.
    gap: Duration,
}

impl Receipt {
    /// The run time of a task that this heartbeat shows as done, given what was known of it. It
    /// is known only if its beginning and its end were reported at once: a machine that couldn't
    /// send heartbeats for a while is not a slow one.
    pub(super) fn run_time(&self, known: Option<KnownTask>) -> Option<RunTime> {
        let known = known.filter(|known| known.state == MachineTaskState::Running)?;
        let gap = self.prompt_gap?;
        Some(RunTime { ran: self.now.duration_since(known.since), gap })
    }
}

impl RunTime {
    /// Takes it into the figures of the job, the machine, and the class's estimates.
    pub(super) fn note(
        &self,
        corrections: &mut EstimateCorrections,
        job: &mut Job,
        machine: &mut Machine,
    ) {
        // It may have ended at any moment since the heartbeat before: a machine whose heartbeats
        // are held up for seconds is not a slow one.
        let shortest = self.ran.saturating_sub(self.gap);
        if let Some(ratio) = job.run_times.ratio_to_mean(shortest) {
            machine.health.record_run_time(clamp(ratio, &SLOWNESS_RATIO));
        }
        let ran_s = self.ran.as_secs_f64();
        job.run_times.add(ran_s);
        let estimate_s = job.spec().estimate_s;
        if estimate_s > 0.0 {
            let ratio = clamp(ran_s / estimate_s, &ESTIMATE_RATIO);
            corrections.add(&job.spec().class, ratio);
        }
    }
}

/// The ratio, or the bound that it is beyond.
fn clamp(ratio: f64, bounds: &RangeInclusive<f64>) -> f64 {
    ratio.clamp(*bounds.start(), *bounds.end())
}
