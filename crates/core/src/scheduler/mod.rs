//! The scheduler of a leader: the one view of all jobs and machines, rebuilt from records and
//! heartbeats.
//!
//! Safety rules are named S1 to S12 as in `docs/design.md`.

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

pub use action::{Action, DirectOrderTarget, DirectPurpose};
pub use completion_commit::CompletionCommit;
pub use heartbeats::Verdict;
pub use overview::Overview;

pub(crate) use action::direct_orders_action;

use crate::cluster::Cluster;
use crate::config::Config;
use crate::job::Job;
use crate::machine::Machine;
use crate::scaling::Scaling;
use corkfield_wire::{JobId, Term};
use machine_events::MachineEventLog;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use reconciliation::Reconciliation;
use removed_machines::RemovedMachines;
use std::collections::BTreeSet;
use std::time::Instant;

/// The scheduler of one leader: all claimed jobs, all machines, and the decisions.
pub struct Scheduler {
    /// The view of jobs and machines that all parts share.
    pub(crate) cluster: Cluster,
    /// The term under which its orders travel.
    term: Term,
    /// Machines that are gone.
    gone: RemovedMachines,
    /// Unfinished jobs that are not claimed yet: their tasks are neither stopped nor forgotten.
    unclaimed: BTreeSet<JobId>,
    /// Machines that have not shown what they hold since the failover (S7).
    reconciliation: Reconciliation,
    /// What is to be done outside.
    pub(crate) actions: Vec<Action>,
    /// Draws samples of machines.
    pub(crate) rng: SmallRng,
    /// Rentals under way, and what was learned of earlier ones.
    pub(crate) scaling: Scaling,
    /// When deletions were requested again last.
    last_delete: Option<Instant>,
    /// Placement passes so far.
    pub(crate) passes: u64,
    /// What happened to machines and was not logged yet.
    machine_events: MachineEventLog,
    /// Machines and tasks looked at in placement passes.
    pub(crate) steps: u64,
}

impl Scheduler {
    /// A leader without jobs and machines, under a term that nobody else ever holds.
    pub fn new(config: Config, term: Term, seed: u64) -> Self {
        Self {
            cluster: Cluster::new(config),
            term,
            gone: RemovedMachines::default(),
            unclaimed: BTreeSet::new(),
            reconciliation: Reconciliation::default(),
            actions: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            scaling: Scaling::new(term),
            last_delete: None,
            passes: 0,
            machine_events: MachineEventLog::default(),
            steps: 0,
        }
    }

    /// The term under which its orders travel.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Takes a higher term after a worker showed one that is higher than ours.
    pub fn raise_term(&mut self, term: Term) {
        self.term = self.term.max(term);
    }

    /// What is to be done outside since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// A claimed job.
    pub fn job(&self, id: &JobId) -> Option<&Job> {
        self.cluster.jobs.get(id)
    }

    /// A known machine.
    pub fn machine(&self, name: &str) -> Option<&Machine> {
        self.cluster.machines.get(name)
    }

    /// How many machines are known.
    pub fn machine_count(&self) -> usize {
        self.cluster.machines.len()
    }

    /// Notes what operators should know of a machine. Whole waves of them share a log line.
    pub(crate) fn log_machine_event(&mut self, machine: &str, event: &'static str) {
        self.machine_events.note(machine, event);
    }
}
