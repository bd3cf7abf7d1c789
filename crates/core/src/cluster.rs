//! The view of the cluster that all parts of the scheduler share: claimed jobs, known machines
//! and machine types.

use crate::config::Config;
use crate::job::Job;
use crate::machine::Machine;
use crate::team::Usage;
use corkfield_wire::cloud::MachineType;
use corkfield_wire::JobId;
use std::collections::{BTreeMap, HashMap};

/// Completed tasks of a class from which its estimates are corrected.
const MIN_CORRECTION_SAMPLES: u32 = 3;

/// Jobs, machines and machine types, as known to one scheduler.
pub(crate) struct Cluster {
    pub(crate) config: Config,
    pub(crate) machine_types: Vec<MachineType>,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    pub(crate) machines: BTreeMap<String, Machine>,
    /// Run time seen against the owners' estimates, by class: count and sum of ratios.
    pub(crate) run_time_corrections: HashMap<String, (u32, f64)>,
}

impl Cluster {
    /// A cluster of which nothing is known yet.
    pub(crate) fn new(config: Config) -> Self {
        Self {
            config,
            machine_types: Vec::new(),
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            run_time_corrections: HashMap::new(),
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

    /// The factor by which estimates of a class were wrong on average; 1 while too few are known.
    pub(crate) fn run_time_correction(&self, class: &str) -> f64 {
        match self.run_time_corrections.get(class) {
            Some((count, sum)) if *count >= MIN_CORRECTION_SAMPLES => {
                (sum / f64::from(*count)).clamp(0.1, 10.0)
            }
            _ => 1.0,
        }
    }
}
