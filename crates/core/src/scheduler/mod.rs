//! The leader's scheduler: its view of all jobs and machines, which it rebuilds from stored records
//! and workers' heartbeats.
//!
//! Comments cite the safety rules S1 to S12, which `docs/design.md` defines.

mod action;
mod claims;
mod closing;
mod completion_commit;
mod failover;
mod heartbeats;
mod job_states;
mod machine_events;
mod machines;
mod orders;
mod overview;
mod reconciliation;
mod removed_machines;
mod tick;

pub use action::{Action, DirectPurpose, DirectRequestTarget};
pub use completion_commit::CompletionCommit;
pub use heartbeats::Verdict;
pub use overview::Overview;

pub(crate) use action::direct_orders_action;

use crate::cluster::Cluster;
use crate::config::Config;
use crate::job::Job;
use crate::machine::Machine;
use crate::scaling::Autoscaler;
use corkfield_wire::{JobId, Term};
use machine_events::MachineEventLog;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use reconciliation::Reconciliation;
use removed_machines::RemovedMachines;
use std::collections::BTreeSet;
use std::time::Instant;

/// The scheduler of one leader: tracks claimed jobs and machines, and decides what runs where.
pub struct Scheduler {
    /// Jobs and machines, shared with placement and scaling.
    pub(crate) cluster: Cluster,
    /// Term that this leader's orders carry.
    term: Term,
    /// Names of machines that no longer exist.
    removed_machines: RemovedMachines,
    /// Unfinished jobs that this leader has not claimed yet. Their tasks are neither stopped nor
    /// forgotten.
    unclaimed_jobs: BTreeSet<JobId>,
    /// Machines that have not reported their tasks since the failover (S7).
    reconciliation: Reconciliation,
    /// Side effects that the caller has not collected yet.
    pub(crate) actions: Vec<Action>,
    /// Random number generator for sampling machines.
    pub(crate) rng: SmallRng,
    /// The autoscaler: pending rentals of machines, and the outcome of earlier rentals.
    pub(crate) scaling: Autoscaler,
    /// When pending machine deletions were last requested again.
    last_deletion_retry: Option<Instant>,
    /// Number of placement passes run so far.
    pub(crate) passes: u64,
    /// Machine events that have not been logged yet.
    machine_events: MachineEventLog,
    /// Number of machines and tasks examined in all placement passes so far.
    pub(crate) steps: u64,
}

impl Scheduler {
    /// Creates a scheduler without jobs and machines. No other leader may ever hold `term`.
    pub fn new(config: Config, term: Term, seed: u64) -> Self {
        Self {
            cluster: Cluster::new(config),
            term,
            removed_machines: RemovedMachines::default(),
            unclaimed_jobs: BTreeSet::new(),
            reconciliation: Reconciliation::default(),
            actions: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            scaling: Autoscaler::new(term),
            last_deletion_retry: None,
            passes: 0,
            machine_events: MachineEventLog::default(),
            steps: 0,
        }
    }

    /// Returns the term that this leader's orders carry.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Raises this leader's term to `term`, after a worker has reported a higher term than ours.
    pub fn raise_term(&mut self, term: Term) {
        self.term = self.term.max(term);
    }

    /// Returns the side effects to carry out that were decided since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns a claimed job, or `None` if this leader has not claimed it.
    pub fn job(&self, id: &JobId) -> Option<&Job> {
        self.cluster.jobs.get(id)
    }

    /// Returns the machine with the given name, if it is known.
    pub fn machine(&self, name: &str) -> Option<&Machine> {
        self.cluster.machines.get(name)
    }

    /// Returns the number of known machines.
    pub fn machine_count(&self) -> usize {
        self.cluster.machines.len()
    }

    /// Logs an event of a machine for operators. Events of the same kind on many machines are
    /// combined into one log line.
    pub(crate) fn log_machine_event(&mut self, machine: &str, event: &'static str) {
        self.machine_events.add(machine, event);
    }
}
