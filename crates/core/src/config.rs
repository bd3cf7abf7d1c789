//! What the leader has to know of its deployment.

use corkfield_wire::settings::{Objective, Team};
use std::time::Duration;

/// What the scheduler has to know of its deployment.
#[derive(Debug, Clone)]
pub struct Config {
    /// Teams, with their guarantees and limits.
    pub teams: Vec<Team>,
    /// What is expected of each class of jobs.
    pub objectives: Vec<Objective>,
    /// A worker's lease.
    pub worker_lease: Duration,
    /// Time between two reports of a worker.
    pub heartbeat_interval: Duration,
    /// A controller without fresh state answers reports no longer than this (S6).
    pub answer_limit: Duration,
    /// The cloud's list describes a moment up to twice this long ago.
    pub list_lag: Duration,
    /// Machines looked at for one placement; more candidates than this are sampled.
    pub placement_sample: usize,
    /// An idle machine is kept this long before it is returned.
    pub idle_keep: Duration,
}

impl Config {
    /// The longest after its last accepted answer that a worker can still run tasks, by a
    /// clock that may be fast against it, with room for scheduling delays of our own.
    pub fn lease_expiry_after(&self) -> Duration {
        self.worker_lease.mul_f64(1.002) + Duration::from_millis(1500)
    }

    /// A machine that has not reported for this long should have.
    pub(crate) fn silence(&self) -> Duration {
        self.heartbeat_interval.mul_f64(2.0) + Duration::from_secs(1)
    }

    /// After this a machine that is missing in a list, and existed before, is surely gone.
    pub fn list_settles_after(&self) -> Duration {
        self.list_lag.mul_f64(2.2) + Duration::from_secs(2)
    }
}
