//! Teams: guarantees and limits, and whether a job can run at all.

use corkfield_wire::cloud::MachineType;
use corkfield_wire::settings::Team;
use corkfield_wire::JobSpec;

/// Amounts are decimal numbers; sums of them are compared with this much tolerance.
pub(crate) const EPSILON: f64 = 1e-6;

#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Usage {
    pub cpus: f64,
    pub gpus: f64,
}

impl Usage {
    pub fn of(spec: &JobSpec, tasks: u32) -> Self {
        Self { cpus: spec.cpus * f64::from(tasks), gpus: spec.gpus * f64::from(tasks) }
    }

    pub fn plus(self, other: Self) -> Self {
        Self { cpus: self.cpus + other.cpus, gpus: self.gpus + other.gpus }
    }
}

fn within(cap: f64, used: f64) -> bool {
    cap <= 0.0 || used <= cap + EPSILON
}

pub(crate) fn is_limited(team: &Team) -> bool {
    team.cpus_max > 0.0 || team.gpus_max > 0.0
}

pub(crate) fn within_limit(team: &Team, used: Usage) -> bool {
    within(team.cpus_max, used.cpus) && within(team.gpus_max, used.gpus)
}

/// A guarantee of 0 is none: nothing is within it.
pub(crate) fn within_guarantee(team: &Team, used: Usage) -> bool {
    if team.cpus <= 0.0 && team.gpus <= 0.0 {
        return false;
    }
    within(team.cpus, used.cpus)
        && (used.gpus <= EPSILON || (team.gpus > 0.0 && within(team.gpus, used.gpus)))
}

/// Why a job can never run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Unschedulable {
    /// There is no such team.
    #[error("unknown team")]
    Team,
    /// The job needs more than its team's limit.
    #[error("a task needs more than the team's limit")]
    Limit,
    /// A task fits no allowed machine type.
    #[error("a task fits no allowed machine type")]
    Machine,
}

/// Whether a task of the job fits some allowed machine type and its team's limit.
pub fn fits_some_type(
    spec: &JobSpec,
    teams: &[Team],
    types: &[MachineType],
) -> Result<(), Unschedulable> {
    let team = teams.iter().find(|t| t.name == spec.team).ok_or(Unschedulable::Team)?;
    if !within_limit(team, Usage::of(spec, 1)) {
        return Err(Unschedulable::Limit);
    }
    let fits = |t: &&MachineType| {
        spec.types.as_ref().is_none_or(|names| names.contains(&t.name))
            && spec.zone.as_ref().is_none_or(|zone| t.zones.contains(zone))
            && spec.cpus <= t.cpus + EPSILON
            && spec.gpus <= t.gpus + EPSILON
            && spec.memory_gb <= t.memory_gb + EPSILON
    };
    types.iter().find(fits).map(|_| ()).ok_or(Unschedulable::Machine)
}
