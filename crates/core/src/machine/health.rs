//! Health of a machine, derived from its tasks: failures, refused starts and slowness.

use corkfield_wire::JobId;
use std::time::Instant;

/// A machine counts as slow if its slowness exceeds this value. A slow machine gets only one task at
/// a time, and only of a long-waiting job for which no other machine has room.
const MAX_SLOWNESS: f64 = 1.6;
/// Number of run times that must be known before a machine can count as slow.
const MIN_SLOWNESS_SAMPLES: u32 = 4;
/// Weight of a new run time in the moving average of the slowness.
const NEW_SAMPLE_WEIGHT: f64 = 0.3;
/// Weight of the earlier run times in the moving average of the slowness.
const PREVIOUS_SAMPLES_WEIGHT: f64 = 0.7;
/// Failed tasks of this many different jobs prove that the machine is faulty.
const FAULTY_JOBS: usize = 2;
/// This many failures prove that the machine is faulty if any task of the job that failed last has
/// ever completed.
const FAULTY_FAILURES: u32 = 2;

/// Failures, refused starts and slowness of a machine.
#[derive(Debug)]
pub(crate) struct MachineHealth {
    /// Jobs whose tasks have failed on this machine since a task last completed on it.
    failed_jobs: Vec<JobId>,
    /// Number of tasks that have failed on this machine since a task last completed on it.
    failures: u32,
    /// No starts are sent before this time, because the worker refused one.
    refused_until: Option<Instant>,
    /// Moving average of the run times on this machine, relative to the mean run times of the same
    /// jobs on all machines.
    slowness: f64,
    /// Number of run times in `slowness`.
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
    /// Records that a task completed on the machine.
    pub(crate) fn record_completion(&mut self) {
        self.failures = 0;
        self.failed_jobs.clear();
    }

    /// Records that a task failed on the machine and that its job is not known to be the cause.
    pub(crate) fn record_failure(&mut self, job: &JobId) {
        self.failures += 1;
        if !self.failed_jobs.contains(job) {
            self.failed_jobs.push(job.clone());
        }
    }

    /// Returns whether the failures prove that the machine is faulty. `job_completes` is true if
    /// any task of the job that failed last has ever completed.
    pub(crate) fn is_faulty(&self, job_completes: bool) -> bool {
        self.failed_jobs.len() >= FAULTY_JOBS || (self.failures >= FAULTY_FAILURES && job_completes)
    }

    /// Records that the worker refused a start; no starts are sent to it before `until`.
    pub(crate) fn record_refusal(&mut self, until: Instant) {
        self.refused_until = Some(until);
    }

    /// Returns whether the pause after the last refused start has passed.
    pub(super) fn can_accept_starts(&self, now: Instant) -> bool {
        self.refused_until.is_none_or(|until| now >= until)
    }

    /// Records that a task ran `ratio` times as long on this machine as the job's mean run time.
    pub(crate) fn record_run_time(&mut self, ratio: f64) {
        self.slowness = self.slowness * PREVIOUS_SAMPLES_WEIGHT + ratio * NEW_SAMPLE_WEIGHT;
        self.slowness_samples += 1;
    }

    /// Returns whether a task has failed on this machine since a task last completed on it.
    pub(crate) fn has_failures(&self) -> bool {
        self.failures > 0
    }

    /// Returns whether tasks take much longer on this machine than the mean run times of their jobs.
    pub(super) fn is_slow(&self) -> bool {
        self.slowness > MAX_SLOWNESS && self.slowness_samples >= MIN_SLOWNESS_SAMPLES
    }
}
