//! States of a claimed job.

use std::time::Instant;

/// State of a claimed job.
///
/// | from            | event                                                   | to             |
/// |-----------------|---------------------------------------------------------|----------------|
/// | (new)           | claimed                                                 | `Active`       |
/// | (new)           | claimed at the claim limit                              | `DeadLettered` |
/// | `Active`        | failed on several machines, or wherever it may run      | `BackingOff`   |
/// | `Active`        | a worker refused a start: no such job or task           | `BackingOff`   |
/// | `BackingOff`    | the backoff has ended                                   | `NeedsReclaim` |
/// | any but Closing | claimed again                                           | `Active`       |
/// | any but Closing | claimed again, at the claim limit                       | `DeadLettered` |
/// | any             | cancelled, done, or claimed by another controller       | `Closing`      |
///
/// `Closing` is final: the job is removed once none of its tasks is placed. Every change goes
/// through `Job::transition_to`. When a job leaves `Active`, or is claimed again while `Active`, its
/// assigned tasks are released and wait again (`Scheduler::change_job`, or `stop_job_tasks` when the job
/// is closed). Tasks whose start was ordered continue or are stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobState {
    /// Tasks of the job may be started.
    Active,
    /// Tasks of the job failed on several machines, or a worker refused one: no task is started
    /// before the given time.
    BackingOff(Instant),
    /// The backoff has ended. The job has to be claimed again, which counts as a claim (S12).
    NeedsReclaim,
    /// The job has reached the claim limit; its tasks are stopped.
    DeadLettered,
    /// The job is closed, because it is done, cancelled or claimed by another controller: its tasks
    /// are stopped and no more are started.
    Closing,
}

impl JobState {
    /// Returns the state of a job that has just been claimed.
    pub(super) fn after_claim(dead_lettered: bool) -> Self {
        if dead_lettered {
            Self::DeadLettered
        } else {
            Self::Active
        }
    }
}
