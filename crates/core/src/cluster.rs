//! The view of the cluster that all parts of the scheduler share: claimed jobs, known machines
//! and machine types.

use crate::config::Config;
use crate::estimate_correction::EstimateCorrections;
use crate::job::Job;
use crate::machine::{Machine, MachineState};
use crate::team::{within_guarantee, Usage};
use corkfield_wire::cloud::MachineType;
use corkfield_wire::settings::Team;
use corkfield_wire::{JobId, MachineName};
use std::collections::BTreeMap;

/// Jobs, machines and machine types, as known to one scheduler.
pub(crate) struct Cluster {
    pub(crate) config: Config,
    /// What the cloud rents; empty until it is known.
    pub(crate) machine_types: Vec<MachineType>,
    /// Claimed jobs.
    pub(crate) jobs: BTreeMap<JobId, Job>,
    /// Known machines, by name.
    pub(crate) machines: BTreeMap<MachineName, Machine>,
    /// Run times seen against the owners' estimates.
    pub(crate) estimate_corrections: EstimateCorrections,
}

impl Cluster {
    /// A cluster of which nothing is known yet.
    pub(crate) fn new(config: Config) -> Self {
        Self {
            config,
            machine_types: Vec::new(),
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            estimate_corrections: EstimateCorrections::default(),
        }
    }

    /// What all tasks on machines use, by position of the team in the settings.
    pub(crate) fn usage_by_team(&self) -> Vec<Usage> {
        let mut usage = vec![Usage::default(); self.config.teams.len()];
        for machine in self.machines.values() {
            for (sum, used) in usage.iter_mut().zip(&machine.tasks.totals().by_team) {
                *sum = sum.plus(*used);
            }
        }
        usage
    }

    /// The team of a job.
    pub(crate) fn team_of(&self, job: &Job) -> &Team {
        &self.config.teams[job.team]
    }

    /// Whether one more task of the job is within its team's guarantee, beside this usage.
    pub(crate) fn next_task_guaranteed(&self, job: &Job, usage: &[Usage]) -> bool {
        let next = usage[job.team].plus(Usage::of_tasks(job.spec(), 1));
        within_guarantee(self.team_of(job), next)
    }

    /// The expected run time in seconds of a task of the job.
    pub(crate) fn expected_run_s(&self, job: &Job) -> f64 {
        job.expected_run_s(self.estimate_corrections.factor(&job.spec().class))
    }

    /// Takes a machine out of use: it gets no new work, and is returned once it is empty.
    pub(crate) fn drain(&mut self, name: &str) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.enter(MachineState::Draining);
        }
    }
}
