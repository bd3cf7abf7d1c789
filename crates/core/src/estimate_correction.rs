//! How wrong the owners' estimates of run times are, by class of jobs.

use std::collections::HashMap;

/// Samples of a class from which its estimates are corrected.
const MIN_SAMPLES: u32 = 3;
/// From so many samples of a class on, earlier ones count half as much.
const MAX_SAMPLES: u32 = 200;
/// Bounds of a correction: what lies beyond them is an error, not an estimate.
const MIN_CORRECTION: f64 = 0.1;
const MAX_CORRECTION: f64 = 10.0;

/// Run times seen against the estimates of one class.
#[derive(Debug, Default)]
struct Samples {
    /// How many ratios are known.
    count: u32,
    /// Their sum.
    ratio_sum: f64,
}

/// Run times seen against the estimates, by class.
#[derive(Debug, Default)]
pub(crate) struct EstimateCorrections {
    by_class: HashMap<String, Samples>,
}

impl EstimateCorrections {
    /// A task of that class ran `ratio` times as long as its owner's estimate.
    pub(crate) fn add(&mut self, class: &str, ratio: f64) {
        let samples = self.by_class.entry(class.to_owned()).or_default();
        if samples.count >= MAX_SAMPLES {
            samples.count /= 2;
            samples.ratio_sum /= 2.0;
        }
        samples.count += 1;
        samples.ratio_sum += ratio;
    }

    /// The factor by which estimates of a class were wrong on average; 1 while too few are known.
    pub(crate) fn factor(&self, class: &str) -> f64 {
        match self.by_class.get(class) {
            Some(samples) if samples.count >= MIN_SAMPLES => {
                let mean = samples.ratio_sum / f64::from(samples.count);
                mean.clamp(MIN_CORRECTION, MAX_CORRECTION)
            }
            _ => 1.0,
        }
    }
}
