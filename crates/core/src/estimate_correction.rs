//! Corrects the users' run time estimates by measured run times, separately for each class of jobs.

use std::collections::HashMap;

/// Number of samples of a class that are needed before its estimates are corrected.
const MIN_SAMPLES: u32 = 3;
/// When a class has this many samples, the weight of the earlier ones is halved.
const MAX_SAMPLES: u32 = 200;
/// Bounds of the correction factor. A mean ratio outside these bounds is treated as an error in the
/// data rather than as the error of the estimates.
const MIN_CORRECTION: f64 = 0.1;
const MAX_CORRECTION: f64 = 10.0;

/// Ratios of measured to estimated run times in one class.
#[derive(Debug, Default)]
struct Samples {
    /// Number of ratios in the sum.
    count: u32,
    /// Sum of the ratios.
    ratio_sum: f64,
}

/// Ratios of measured to estimated run times, by class of jobs.
#[derive(Debug, Default)]
pub(crate) struct EstimateCorrections {
    by_class: HashMap<String, Samples>,
}

impl EstimateCorrections {
    /// Records that a task of the class ran `ratio` times as long as estimated by the user.
    pub(crate) fn add_sample(&mut self, class: &str, ratio: f64) {
        let samples = self.by_class.entry(class.to_owned()).or_default();
        if samples.count >= MAX_SAMPLES {
            samples.count /= 2;
            samples.ratio_sum /= 2.0;
        }
        samples.count += 1;
        samples.ratio_sum += ratio;
    }

    /// Returns the factor by which estimates of the class have to be multiplied; 1 while there are
    /// fewer than [`MIN_SAMPLES`] samples.
    pub(crate) fn correction_factor(&self, class: &str) -> f64 {
        match self.by_class.get(class) {
            Some(samples) if samples.count >= MIN_SAMPLES => {
                let mean = samples.ratio_sum / f64::from(samples.count);
                mean.clamp(MIN_CORRECTION, MAX_CORRECTION)
            }
            _ => 1.0,
        }
    }
}
