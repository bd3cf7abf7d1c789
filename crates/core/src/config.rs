//! Deployment settings that the scheduler needs, and the timeouts derived from them.

use corkfield_wire::settings::{Objective, Team};
use std::time::Duration;

/// Largest ratio allowed between the rate of a worker's clock and that of the controller's clock,
/// in either direction.
const CLOCK_RATE_TOLERANCE: f64 = 1.002;
/// Time added to the worker lease, because the controller's own process may be scheduled late.
const LEASE_EXPIRY_MARGIN: Duration = Duration::from_millis(1500);

/// A heartbeat is overdue after this many heartbeat intervals, plus the margin.
const HEARTBEAT_TIMEOUT_INTERVALS: f64 = 2.0;
const HEARTBEAT_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);

/// The cloud's machine list is at most twice its lag old. The factor exceeds 2, and the margin is
/// added, to allow for clock errors and requests in flight.
const MISSING_MACHINE_TIMEOUT_LAGS: f64 = 2.2;
const MISSING_MACHINE_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);

/// Deployment settings that the scheduler needs. "The platform's settings" are the settings file
/// that a controller is started with; "the operator's settings" are those of `docs/operations.md`.
#[derive(Debug, Clone)]
pub struct Config {
    /// Teams with their guarantees and limits, from the platform's settings. The rest of this crate
    /// identifies a team by its position in this list.
    pub teams: Vec<Team>,
    /// Service-level objectives of the job classes, from the platform's settings.
    pub objectives: Vec<Objective>,
    /// How long a worker keeps running tasks after the last heartbeat answer that it accepted, from
    /// the platform's settings.
    pub worker_lease: Duration,
    /// Time between two heartbeats of a worker, from the platform's settings.
    pub heartbeat_interval: Duration,
    /// How long a controller without fresh state keeps answering heartbeats (S6): the time allowed
    /// for a cancellation minus the worker lease.
    pub answer_limit: Duration,
    /// Lag of the cloud's machine list, from the platform's settings. A list describes the state of
    /// up to twice this long ago.
    pub list_lag: Duration,
    /// Number of machines examined for one placement, from the operator's settings. If there are
    /// more candidates, a random sample of this size is examined.
    pub placement_sample: usize,
    /// How long an idle machine is kept before it may be drained, from the operator's settings.
    /// Machines that are not likely to be needed are kept for only a fraction of this time.
    pub idle_keep: Duration,
}

/// What a service-level objective promises. [`ObjectiveKind::name`] returns the name of each kind
/// in the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ObjectiveKind {
    /// A job of the class completes within a given time of its acceptance.
    Finished,
    /// A job of the class starts within a given time of its acceptance.
    Wait,
    /// Tasks within their team's guarantee start within a given time of the job's acceptance.
    Guarantee,
}

impl ObjectiveKind {
    /// Returns the name of this kind in the settings.
    fn name(self) -> &'static str {
        match self {
            Self::Finished => "finished",
            Self::Wait => "wait",
            Self::Guarantee => "guarantee",
        }
    }

    /// Returns whether the objective is of this kind.
    pub(crate) fn matches(self, objective: &Objective) -> bool {
        objective.kind == self.name()
    }
}

impl Config {
    /// Returns how long after its last accepted answer a worker may still run tasks, as measured by
    /// the controller's clock: the worker lease plus a margin. The result allows for the difference between the clock rates and for
    /// scheduling delays of the controller's own process.
    pub fn lease_expiry_timeout(&self) -> Duration {
        self.worker_lease.mul_f64(CLOCK_RATE_TOLERANCE) + LEASE_EXPIRY_MARGIN
    }

    /// Returns the time since the last heartbeat after which a machine's next heartbeat is overdue.
    pub(crate) fn heartbeat_timeout(&self) -> Duration {
        self.heartbeat_interval.mul_f64(HEARTBEAT_TIMEOUT_INTERVALS) + HEARTBEAT_TIMEOUT_MARGIN
    }

    /// Returns how long after a machine was first known a list has to be requested so that the
    /// absence of the machine from the list proves that it no longer exists.
    pub fn missing_machine_timeout(&self) -> Duration {
        self.list_lag.mul_f64(MISSING_MACHINE_TIMEOUT_LAGS) + MISSING_MACHINE_TIMEOUT_MARGIN
    }

    /// Returns the time limit in seconds of the first objective of this kind that names the class.
    pub(crate) fn class_objective_s(&self, kind: ObjectiveKind, class: &str) -> Option<f64> {
        self.first_objective_s(kind, |objective_class| objective_class == Some(class))
    }

    /// Returns the time limit in seconds of the first objective of this kind that names the class
    /// or applies to all classes.
    pub(crate) fn applicable_objective_s(&self, kind: ObjectiveKind, class: &str) -> Option<f64> {
        self.first_objective_s(kind, |objective_class| objective_class.is_none_or(|c| c == class))
    }

    fn first_objective_s(
        &self,
        kind: ObjectiveKind,
        is_for: impl Fn(Option<&str>) -> bool,
    ) -> Option<f64> {
        let matching =
            |objective: &&Objective| kind.matches(objective) && is_for(objective.class.as_deref());
        self.objectives.iter().find(matching)?.within_s
    }
}
