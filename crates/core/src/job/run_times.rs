//! Run times of a job's completed tasks.

use std::time::Duration;

/// Number of known run times that is required to compare another run time with their mean.
const MIN_COMPARED_SAMPLES: u32 = 2;
/// Lower bound in seconds for the mean run time of a job with completed tasks.
const MIN_MEAN_S: f64 = 0.5;

/// Count and sum of the run times of a job's completed tasks.
#[derive(Debug, Default)]
pub(crate) struct RunTimes {
    /// Number of known run times.
    count: u32,
    /// Sum of the run times in seconds.
    sum_s: f64,
}

impl RunTimes {
    /// Adds the run time of a completed task, in seconds.
    pub(crate) fn add(&mut self, run_s: f64) {
        self.count += 1;
        self.sum_s += run_s;
    }

    /// Returns whether the run time of any task is known.
    pub(crate) fn has_any(&self) -> bool {
        self.count > 0
    }

    /// Returns the mean run time in seconds, if any run time is known.
    pub(super) fn mean_s(&self) -> Option<f64> {
        self.has_any().then(|| (self.sum_s / f64::from(self.count)).max(MIN_MEAN_S))
    }

    /// Returns the ratio of a run time to the mean, if enough run times are known.
    pub(crate) fn ratio_to_mean(&self, ran: Duration) -> Option<f64> {
        let mean_s = self.mean_s().filter(|_| self.count >= MIN_COMPARED_SAMPLES)?;
        Some(ran.as_secs_f64() / mean_s)
    }
}
