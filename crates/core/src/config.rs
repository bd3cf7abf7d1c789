//! What the scheduler has to know of its deployment, and the intervals that follow from it.

use corkfield_wire::settings::{Objective, Team};
use std::time::Duration;

/// A worker's clock may run this many times as fast, or as slow, as ours.
const CLOCK_RATE_TOLERANCE: f64 = 1.002;
/// Room for scheduling delays of our own process before a lease is taken for expired.
const LEASE_EXPIRY_MARGIN: Duration = Duration::from_millis(1500);

/// Heartbeat intervals without a heartbeat after which one is overdue, and the margin on top.
const OVERDUE_HEARTBEAT_INTERVALS: f64 = 2.0;
const OVERDUE_HEARTBEAT_MARGIN: Duration = Duration::from_secs(1);

/// The cloud's list is at most twice its lag old; a little more, and the margin on top, for clocks
/// and requests that are under way.
const LIST_LAGS_UNTIL_SETTLED: f64 = 2.2;
const LIST_SETTLES_MARGIN: Duration = Duration::from_secs(2);

/// What the scheduler has to know of its deployment: "the platform's settings" is the settings file
/// that a controller is started with, "the operator's settings" are those of `docs/operations.md`.
#[derive(Debug, Clone)]
pub struct Config {
    /// Teams, with their guarantees and limits, from the platform's settings. Elsewhere a team
    /// is its position in this list.
    pub teams: Vec<Team>,
    /// Service-level objectives of each class of jobs, from the platform's settings.
    pub objectives: Vec<Objective>,
    /// How long a worker runs tasks after its last accepted answer, from the platform's settings.
    pub worker_lease: Duration,
    /// Time between two heartbeats of a worker, from the platform's settings.
    pub heartbeat_interval: Duration,
    /// A controller without fresh state answers heartbeats no longer than this (S6); what the
    /// time allowed for a cancellation leaves beside a worker's lease.
    pub answer_limit: Duration,
    /// How far the cloud's list lags behind, from the platform's settings: it describes a moment
    /// up to twice this long ago.
    pub list_lag: Duration,
    /// Machines looked at for one placement, from the operator's settings; more candidates than
    /// this are sampled.
    pub placement_sample: usize,
    /// How long an idle machine is kept before it is returned, from the operator's settings.
    pub idle_keep: Duration,
}

/// What an objective promises. The settings name the kinds as [`ObjectiveKind::name`] has them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ObjectiveKind {
    /// A job of the class is complete within a time from its acceptance.
    Finished,
    /// A job of the class starts within a time from its acceptance.
    Wait,
    /// What a team's guarantee holds starts within a time from its acceptance.
    Guarantee,
}

impl ObjectiveKind {
    /// Its name in the settings.
    fn name(self) -> &'static str {
        match self {
            Self::Finished => "finished",
            Self::Wait => "wait",
            Self::Guarantee => "guarantee",
        }
    }

    /// Whether an objective is of this kind.
    pub(crate) fn is_kind_of(self, objective: &Objective) -> bool {
        objective.kind == self.name()
    }
}

impl Config {
    /// The longest after its last accepted answer that a worker can still run tasks, by a
    /// clock that may be fast against it, with room for scheduling delays of our own.
    pub fn lease_expiry_after(&self) -> Duration {
        self.worker_lease.mul_f64(CLOCK_RATE_TOLERANCE) + LEASE_EXPIRY_MARGIN
    }

    /// A machine without a heartbeat for this long should have sent one.
    pub(crate) fn heartbeat_overdue_after(&self) -> Duration {
        self.heartbeat_interval.mul_f64(OVERDUE_HEARTBEAT_INTERVALS) + OVERDUE_HEARTBEAT_MARGIN
    }

    /// After this a machine that is missing in a list, and existed before, is surely gone.
    pub fn missing_machine_gone_after(&self) -> Duration {
        self.list_lag.mul_f64(LIST_LAGS_UNTIL_SETTLED) + LIST_SETTLES_MARGIN
    }

    /// The time in seconds within which an objective for jobs of that very class is to be met.
    pub(crate) fn class_objective_s(&self, kind: ObjectiveKind, class: &str) -> Option<f64> {
        self.first_objective_s(kind, |objective_class| objective_class == Some(class))
    }

    /// The same, where an objective without a class is for jobs of all classes.
    pub(crate) fn general_objective_s(&self, kind: ObjectiveKind, class: &str) -> Option<f64> {
        self.first_objective_s(kind, |objective_class| objective_class.is_none_or(|c| c == class))
    }

    fn first_objective_s(
        &self,
        kind: ObjectiveKind,
        is_for: impl Fn(Option<&str>) -> bool,
    ) -> Option<f64> {
        let matching = |objective: &&Objective| {
            kind.is_kind_of(objective) && is_for(objective.class.as_deref())
        };
        self.objectives.iter().find(matching)?.within_s
    }
}
