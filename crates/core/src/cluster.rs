//! The state that all parts of the scheduler share: claimed jobs, known machines and machine types.

use crate::config::Config;
use crate::estimate_correction::EstimateCorrections;
use crate::job::Job;
use crate::machine::{Machine, MachineState};
use crate::team::{is_within_guarantee, Usage};
use corkfield_wire::cloud::MachineType;
use corkfield_wire::settings::Team;
use corkfield_wire::{JobId, MachineName};
use std::collections::BTreeMap;

/// The jobs, machines and machine types that one scheduler knows.
pub(crate) struct Cluster {
    pub(crate) config: Config,
    /// Machine types that the cloud offers; empty until the cloud has listed them.
    pub(crate) machine_types: Vec<MachineType>,
    /// Jobs claimed by this controller, by id.
    pub(crate) jobs: BTreeMap<JobId, Job>,
    /// Known machines, by name.
    pub(crate) machines: BTreeMap<MachineName, Machine>,
    /// Corrections of the users' run time estimates, by class of jobs.
    pub(crate) estimate_corrections: EstimateCorrections,
}

impl Cluster {
    /// Creates a cluster without jobs, machines or machine types.
    pub(crate) fn new(config: Config) -> Self {
        Self {
            config,
            machine_types: Vec::new(),
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            estimate_corrections: EstimateCorrections::default(),
        }
    }

    /// Returns the usage of each team, summed over the tasks on all machines and indexed by the
    /// team's position in the settings.
    pub(crate) fn usage_by_team(&self) -> Vec<Usage> {
        let mut usage = vec![Usage::default(); self.config.teams.len()];
        for machine in self.machines.values() {
            for (sum, used) in usage.iter_mut().zip(&machine.tasks.totals().by_team) {
                *sum = sum.plus(*used);
            }
        }
        usage
    }

    /// Returns the settings of the job's team.
    pub(crate) fn team_of(&self, job: &Job) -> &Team {
        &self.config.teams[job.team]
    }

    /// Returns whether the job's team stays within its guarantee if one more task of the job is
    /// added to `usage`.
    pub(crate) fn is_next_task_guaranteed(&self, job: &Job, usage: &[Usage]) -> bool {
        let next = usage[job.team].plus(Usage::of_tasks(job.spec(), 1));
        is_within_guarantee(self.team_of(job), next)
    }

    /// Returns the expected run time of one task of the job, in seconds.
    pub(crate) fn expected_run_s(&self, job: &Job) -> f64 {
        job.expected_run_s(self.estimate_corrections.correction_factor(&job.spec().class))
    }

    /// Drains a machine: no new task starts on it, and it is deleted once it is empty.
    pub(crate) fn drain_machine(&mut self, name: &str) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.transition_to(MachineState::Draining);
        }
    }
}
