//! Run times of a job's completed tasks.

use std::time::Duration;

/// Completed tasks after which a machine's run times are compared with their mean.
const MIN_COMPARED_SAMPLES: u32 = 2;
/// The shortest run time that is expected, in seconds, of a job with completed tasks.
const MIN_MEAN_S: f64 = 0.5;

/// Count and sum of the run times of a job's completed tasks.
#[derive(Debug, Default)]
pub(crate) struct RunTimes {
    /// How many run times are known.
    count: u32,
    /// Their sum in seconds.
    sum_s: f64,
}

impl RunTimes {
    /// A task ran for so long.
    pub(crate) fn add(&mut self, run_s: f64) {
        self.count += 1;
        self.sum_s += run_s;
    }

    /// Whether the run time of any task is known.
    pub(crate) fn has_any(&self) -> bool {
        self.count > 0
    }

    /// The mean in seconds, if any run time is known.
    pub(super) fn mean_s(&self) -> Option<f64> {
        self.has_any().then(|| (self.sum_s / f64::from(self.count)).max(MIN_MEAN_S))
    }

    /// How many times as long as the mean a task ran, if enough run times are known.
    pub(crate) fn ratio_to_mean(&self, ran: Duration) -> Option<f64> {
        let mean_s = self.mean_s().filter(|_| self.count >= MIN_COMPARED_SAMPLES)?;
        Some(ran.as_secs_f64() / mean_s)
    }
}
