//! What the tasks on a machine tell about it: failures, refusals and slowness.

use corkfield_wire::JobId;
use std::time::Instant;

/// A machine whose tasks took this many times as long as elsewhere gets no new tasks.
const SLOW: f64 = 1.6;
/// Run times that have to be known of a machine before it counts as slow.
const SLOW_SAMPLES: u32 = 4;
/// The part of the slowness that a new run time makes up.
const SLOWNESS_WEIGHT: f64 = 0.3;
/// The part of the slowness that earlier run times make up.
const SLOWNESS_MEMORY: f64 = 0.7;
/// Failed tasks of so many jobs prove that the machine is at fault.
const FAULTY_JOBS: usize = 2;
/// So many failures of a job that completes elsewhere prove it as well.
const FAULTY_FAILURES: u32 = 2;

/// What is known of a machine's health.
#[derive(Debug)]
pub(crate) struct MachineHealth {
    /// Jobs whose tasks failed here since a task last completed here.
    failed_jobs: Vec<JobId>,
    /// Tasks that failed here since a task last completed here.
    failures: u32,
    /// The worker refused a start: no more are sent to it before this time.
    refused_until: Option<Instant>,
    /// Run times here against the same jobs' run times elsewhere, smoothed.
    slowness: f64,
    /// Run times that made it up.
    slowness_samples: u32,
}

impl Default for MachineHealth {
    fn default() -> Self {
        Self {
            failed_jobs: Vec::new(),
            failures: 0,
            refused_until: None,
            slowness: 1.0,
            slowness_samples: 0,
        }
    }
}

impl MachineHealth {
    /// A task completed here.
    pub(crate) fn record_completion(&mut self) {
        self.failures = 0;
        self.failed_jobs.clear();
    }

    /// A task failed here, and its job is not known to be the cause.
    pub(crate) fn record_failure(&mut self, job: &JobId) {
        self.failures += 1;
        if !self.failed_jobs.contains(job) {
            self.failed_jobs.push(job.clone());
        }
    }

    /// Whether the failures prove that the machine is at fault; `job_completes` tells whether a
    /// task of the job that failed last has ever completed.
    pub(crate) fn is_faulty(&self, job_completes: bool) -> bool {
        self.failed_jobs.len() >= FAULTY_JOBS || (self.failures >= FAULTY_FAILURES && job_completes)
    }

    /// The worker refused a start.
    pub(crate) fn record_refusal(&mut self, until: Instant) {
        self.refused_until = Some(until);
    }

    /// Whether starts may be sent again after the last refusal.
    pub(super) fn can_accept_starts(&self, now: Instant) -> bool {
        self.refused_until.is_none_or(|until| now >= until)
    }

    /// A task took `ratio` times as long here as the same job's tasks elsewhere.
    pub(crate) fn record_run_time(&mut self, ratio: f64) {
        self.slowness = self.slowness * SLOWNESS_MEMORY + ratio * SLOWNESS_WEIGHT;
        self.slowness_samples += 1;
    }

    /// Whether a task failed here since one last completed.
    pub(crate) fn has_failures(&self) -> bool {
        self.failures > 0
    }

    /// Its tasks took much longer than the same jobs' tasks elsewhere.
    pub(super) fn is_slow(&self) -> bool {
        self.slowness > SLOW && self.slowness_samples >= SLOW_SAMPLES
    }
}
