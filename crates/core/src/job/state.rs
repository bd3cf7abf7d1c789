//! What a claimed job is doing.

use std::time::Instant;

/// What a claimed job is doing.
///
/// | from            | event                                                   | to             |
/// |-----------------|---------------------------------------------------------|----------------|
/// | (new)           | claimed                                                 | `Active`       |
/// | (new)           | claimed at the claim limit                              | `DeadLettered` |
/// | `Active`        | failed on several machines, or wherever it may run      | `BackingOff`   |
/// | `Active`        | a worker refused a start: no such job or task           | `BackingOff`   |
/// | `BackingOff`    | its time is over                                        | `NeedsReclaim` |
/// | any but Closing | claimed once more                                       | `Active`       |
/// | any but Closing | claimed once more, at the claim limit                   | `DeadLettered` |
/// | any             | cancelled, done, or claimed by another                  | `Closing`      |
///
/// `Closing` is final: the job is forgotten once none of its tasks is on a machine. Every change
/// goes through `Job::enter`. When a job leaves `Active`, and when it is claimed once more while
/// `Active`, its assigned tasks are taken off their machines and wait again
/// (`Scheduler::change_job`, or `stop_job` when it is closed); tasks whose start was ordered go on,
/// or are stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobState {
    /// Its tasks may be started.
    Active,
    /// It failed on several machines: nothing is started before the time given.
    BackingOff(Instant),
    /// It waited long enough and has to be claimed once more, which counts as a claim (S12).
    NeedsReclaim,
    /// It reached the claim limit; its tasks are stopped.
    DeadLettered,
    /// Over, or another's: its tasks are stopped and nothing is started any more.
    Closing,
}

impl JobState {
    /// The state of a job that has just been claimed.
    pub(super) fn after_claim(dead_lettered: bool) -> Self {
        if dead_lettered {
            Self::DeadLettered
        } else {
            Self::Active
        }
    }
}
