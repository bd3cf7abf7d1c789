//! Guarantees and limits of teams, and the check whether a job can ever be scheduled.

use crate::machine::Resources;
use corkfield_wire::cloud::MachineType;
use corkfield_wire::settings::Team;
use corkfield_wire::JobSpec;

/// Tolerance for comparing sums of floating-point amounts.
pub(crate) const AMOUNT_TOLERANCE: f64 = 1e-6;

/// Resources that count against a team's guarantee and limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Usage {
    pub cpus: f64,
    pub gpus: f64,
}

impl Usage {
    /// Returns the usage of `tasks` tasks of a job.
    pub fn of_tasks(spec: &JobSpec, tasks: u32) -> Self {
        Self { cpus: spec.cpus * f64::from(tasks), gpus: spec.gpus * f64::from(tasks) }
    }

    /// Returns the sum of both usages.
    pub fn plus(self, other: Self) -> Self {
        Self { cpus: self.cpus + other.cpus, gpus: self.gpus + other.gpus }
    }

    /// Returns this usage without `other`.
    pub fn minus(self, other: Self) -> Self {
        Self { cpus: self.cpus - other.cpus, gpus: self.gpus - other.gpus }
    }
}

/// Returns whether `used` is at most `cap`. A cap of 0 means that there is no cap.
fn is_within_cap(cap: f64, used: f64) -> bool {
    cap <= 0.0 || used <= cap + AMOUNT_TOLERANCE
}

/// Returns whether the team has a limit.
pub(crate) fn has_limit(team: &Team) -> bool {
    team.cpus_max > 0.0 || team.gpus_max > 0.0
}

/// Returns whether the usage is within the team's limit. A team without a limit may use any amount.
pub(crate) fn is_within_limit(team: &Team, used: Usage) -> bool {
    is_within_cap(team.cpus_max, used.cpus) && is_within_cap(team.gpus_max, used.gpus)
}

/// Returns how many of up to `tasks` tasks of a job the team's limit allows in addition to `used`.
pub(crate) fn tasks_within_limit(team: &Team, used: Usage, spec: &JobSpec, tasks: u32) -> u32 {
    let per_task = Usage::of_tasks(spec, 1);
    let count = |cap: f64, used: f64, need: f64| {
        if cap <= 0.0 || need <= 0.0 {
            return u32::MAX;
        }
        ((cap + AMOUNT_TOLERANCE - used) / need).max(0.0) as u32
    };
    let by_cpus = count(team.cpus_max, used.cpus, per_task.cpus);
    let by_gpus = count(team.gpus_max, used.gpus, per_task.gpus);
    tasks.min(by_cpus).min(by_gpus)
}

/// Returns whether the team has a guarantee.
fn has_guarantee(team: &Team) -> bool {
    team.cpus > 0.0 || team.gpus > 0.0
}

/// Returns whether the usage is within the team's guarantee. A guarantee of 0 CPUs and 0 GPUs means
/// that the team has no guarantee, so no usage is within it.
pub(crate) fn is_within_guarantee(team: &Team, used: Usage) -> bool {
    if !has_guarantee(team) {
        return false;
    }
    let uses_gpus = used.gpus > AMOUNT_TOLERANCE;
    let has_guaranteed_gpus = team.gpus > 0.0 && is_within_cap(team.gpus, used.gpus);
    is_within_cap(team.cpus, used.cpus) && (!uses_gpus || has_guaranteed_gpus)
}

/// The reason why a job can never be scheduled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Unschedulable {
    /// The settings have no team of this name.
    #[error("unknown team")]
    UnknownTeam,
    /// One task of the job needs more than its team's limit.
    #[error("a task needs more than the team's limit")]
    ExceedsTeamLimit,
    /// No machine type that the job allows is large enough for one of its tasks.
    #[error("a task fits no allowed machine type")]
    FitsNoMachineType,
}

/// Checks that a task of the job fits within its team's limit and into a machine type that the job
/// allows.
///
/// # Errors
///
/// Returns the first reason found in this order: the team is unknown, a task exceeds the team's
/// limit, a task fits no allowed machine type.
pub fn check_schedulable(
    spec: &JobSpec,
    teams: &[Team],
    types: &[MachineType],
) -> Result<(), Unschedulable> {
    let team =
        teams.iter().find(|team| team.name == spec.team).ok_or(Unschedulable::UnknownTeam)?;
    if !is_within_limit(team, Usage::of_tasks(spec, 1)) {
        return Err(Unschedulable::ExceedsTeamLimit);
    }
    if types.iter().any(|machine_type| fits_machine_type(spec, machine_type)) {
        Ok(())
    } else {
        Err(Unschedulable::FitsNoMachineType)
    }
}

/// Returns whether the job allows the machine type and one of its tasks fits into an empty machine
/// of that type.
fn fits_machine_type(spec: &JobSpec, machine_type: &MachineType) -> bool {
    spec.types.as_ref().is_none_or(|names| names.contains(&machine_type.name))
        && spec.zone.as_ref().is_none_or(|zone| machine_type.zones.contains(zone))
        && Resources::capacity_of(machine_type).can_fit(&Resources::per_task(spec))
}
