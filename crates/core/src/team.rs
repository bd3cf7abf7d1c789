//! Teams: guarantees and limits, and whether a job can run at all.

use corkfield_wire::cloud::MachineType;
use corkfield_wire::settings::Team;
use corkfield_wire::JobSpec;

/// Amounts are decimal numbers; sums of them are compared with this much tolerance.
pub(crate) const EPSILON: f64 = 1e-6;

/// What counts against a team's guarantee and limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Usage {
    pub cpus: f64,
    pub gpus: f64,
}

impl Usage {
    /// What so many tasks of a job use.
    pub fn of_tasks(spec: &JobSpec, tasks: u32) -> Self {
        Self { cpus: spec.cpus * f64::from(tasks), gpus: spec.gpus * f64::from(tasks) }
    }

    /// The sum of both.
    pub fn plus(self, other: Self) -> Self {
        Self { cpus: self.cpus + other.cpus, gpus: self.gpus + other.gpus }
    }

    /// What is left once the other is gone.
    pub fn minus(self, other: Self) -> Self {
        Self { cpus: self.cpus - other.cpus, gpus: self.gpus - other.gpus }
    }
}

/// Whether an amount keeps to a cap, where a cap of 0 is none.
fn within_cap(cap: f64, used: f64) -> bool {
    cap <= 0.0 || used <= cap + EPSILON
}

/// Whether the team has a limit.
pub(crate) fn is_limited(team: &Team) -> bool {
    team.cpus_max > 0.0 || team.gpus_max > 0.0
}

/// Whether a usage keeps to the team's limit, if it has one.
pub(crate) fn within_limit(team: &Team, used: Usage) -> bool {
    within_cap(team.cpus_max, used.cpus) && within_cap(team.gpus_max, used.gpus)
}

/// Whether the team has a guarantee.
fn is_guaranteed(team: &Team) -> bool {
    team.cpus > 0.0 || team.gpus > 0.0
}

/// Whether a usage is within the team's guarantee. A guarantee of 0 is none: nothing is within it.
pub(crate) fn within_guarantee(team: &Team, used: Usage) -> bool {
    if !is_guaranteed(team) {
        return false;
    }
    let uses_gpus = used.gpus > EPSILON;
    let guaranteed_gpus = team.gpus > 0.0 && within_cap(team.gpus, used.gpus);
    within_cap(team.cpus, used.cpus) && (!uses_gpus || guaranteed_gpus)
}

/// Why a job can never run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Unschedulable {
    /// There is no such team.
    #[error("unknown team")]
    UnknownTeam,
    /// The job needs more than its team's limit.
    #[error("a task needs more than the team's limit")]
    ExceedsTeamLimit,
    /// A task fits no allowed machine type.
    #[error("a task fits no allowed machine type")]
    FitsNoMachineType,
}

/// Whether a task of the job fits some allowed machine type and its team's limit.
///
/// # Errors
///
/// The first reason found why it does not: no such team, the team's limit, the machine types.
pub fn check_schedulable(
    spec: &JobSpec,
    teams: &[Team],
    types: &[MachineType],
) -> Result<(), Unschedulable> {
    let team =
        teams.iter().find(|team| team.name == spec.team).ok_or(Unschedulable::UnknownTeam)?;
    if !within_limit(team, Usage::of_tasks(spec, 1)) {
        return Err(Unschedulable::ExceedsTeamLimit);
    }
    if types.iter().any(|machine_type| fits_type(spec, machine_type)) {
        Ok(())
    } else {
        Err(Unschedulable::FitsNoMachineType)
    }
}

/// Whether the job allows the machine type, and a task fits into an empty machine of it.
fn fits_type(spec: &JobSpec, machine_type: &MachineType) -> bool {
    spec.types.as_ref().is_none_or(|names| names.contains(&machine_type.name))
        && spec.zone.as_ref().is_none_or(|zone| machine_type.zones.contains(zone))
        && spec.cpus <= machine_type.cpus + EPSILON
        && spec.gpus <= machine_type.gpus + EPSILON
        && spec.memory_gb <= machine_type.memory_gb + EPSILON
}
