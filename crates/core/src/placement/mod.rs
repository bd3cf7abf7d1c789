//! Placement: assigns waiting tasks to machines on which the job may run. Machines that already hold
//! the job's image are preferred, and among these the machine with the most free CPUs.
//!
//! A [`PlacementPass`] places tasks in the order of [`queue`], reserves capacity for urgent jobs
//! ([`reservation`]) and preempts running tasks for jobs that still wait ([`preemption`]).

mod candidates;
mod capacity;
mod first_starts;
mod long_waiting;
mod pass;
mod preemption;
mod queue;
mod reservation;
mod zones;

pub(crate) use zones::placed_tasks_by_zone;

use crate::scheduler::Scheduler;
use crate::team::Usage;
use corkfield_wire::JobSpec;
use pass::PlacementPass;
use std::time::Instant;

/// Minimum number of CPUs that a task counts as in divisions, because tasks may need 0 CPUs.
const MIN_TASK_CPUS: f64 = 0.01;

/// Which of a job's waiting tasks may be placed, and whether they may use reserved capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PlacementScope {
    /// One task, which may use capacity that is reserved for urgent jobs.
    OneTask,
    /// Tasks within the team's guarantee; for an urgent job, all tasks that fit.
    Guaranteed,
    /// All tasks that fit.
    All,
}

impl Scheduler {
    /// Runs one placement pass: assigns waiting tasks to machines with room, and preempts running
    /// tasks for jobs that have waited long enough.
    pub fn run_placement_pass(&mut self, now: Instant) {
        self.passes += 1;
        if self.cluster.jobs.is_empty() {
            return;
        }
        let is_reconciled = self.is_reconciled();
        let usage = self.cluster.usage_by_team();
        let queue = self.cluster.placement_queue(&usage, is_reconciled, now);
        if queue.is_empty() {
            return;
        }
        let unaccounted_usage = self.unaccounted_usage();
        let mut pass = PlacementPass {
            capacity: capacity::ClusterCapacity::new(&self.cluster, &queue, now),
            steps: self.cluster.machines.len() as u64,
            cluster: &mut self.cluster,
            usage,
            unaccounted_usage,
            is_reconciled,
            rng: &mut self.rng,
            actions: &mut self.actions,
            now,
        };
        pass.run(&queue);
        self.steps += pass.steps;
    }

    /// Returns whether tasks of a job that is claimed at `now` are expected to start soon.
    pub fn may_start_soon(&self, spec: &JobSpec, now: Instant) -> bool {
        first_starts::may_start_soon(&self.cluster, spec, now)
    }

    /// Returns an upper bound of the usage by tasks that this leader does not know yet (S8): the
    /// full capacity of each machine that has not reported its tasks since the failover or that
    /// holds tasks of unknown jobs. A worker never exceeds its machine's capacity, and the usage
    /// may belong to any team. Returns `None` while the type of such a machine is unknown.
    fn unaccounted_usage(&self) -> Option<Usage> {
        let mut unaccounted_usage = Usage::default();
        for machine in self.cluster.machines.values() {
            if self.is_unreconciled(machine.name.as_str())
                || machine.tasks.totals().has_unknown_tasks
            {
                let machine_type = machine.machine_type.as_ref()?;
                let whole_machine = Usage { cpus: machine_type.cpus, gpus: machine_type.gpus };
                unaccounted_usage = unaccounted_usage.plus(whole_machine);
            }
        }
        Some(unaccounted_usage)
    }
}
