//! Placement: which waiting tasks go to which machines. A machine holding the image comes first,
//! else the roomiest in the job's zone, if it has one.
//!
//! One [`PlacementPass`] places what has room, in the order of [`queue`]; keeps room for urgent
//! jobs ([`reservation`]); and stops running tasks for jobs that still wait ([`preemption`]).

mod candidates;
mod capacity;
mod first_starts;
mod long_waiting;
mod pass;
mod preemption;
mod queue;
mod reservation;
mod zones;

use crate::scheduler::Scheduler;
use crate::team::Usage;
use corkfield_wire::JobSpec;
use pass::PlacementPass;
use std::time::Instant;

/// Tasks without need of CPUs count as needing this many, where CPUs are shared out among tasks.
const MIN_TASK_CPUS: f64 = 0.01;

/// How much of a job is placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PlacementScope {
    /// One task, in any room, reserved or not.
    OneTask,
    /// What its team's guarantee still holds; all of an urgent job.
    Guaranteed,
    /// All that has room.
    All,
}

impl Scheduler {
    /// Assigns waiting tasks to machines with room, and stops running tasks for those that have
    /// waited for long enough.
    pub fn run_placement_pass(&mut self, now: Instant) {
        self.passes += 1;
        if self.cluster.jobs.is_empty() {
            return;
        }
        let reconciled = self.is_reconciled();
        let usage = self.cluster.usage_by_team();
        let queue = self.cluster.placement_queue(&usage, reconciled, now);
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
            reconciled,
            rng: &mut self.rng,
            actions: &mut self.actions,
            now,
        };
        pass.run(&queue);
        self.steps += pass.steps;
    }

    /// Whether a job that is claimed now may be expected to begin soon.
    pub fn may_start_soon(&self, spec: &JobSpec, now: Instant) -> bool {
        first_starts::may_start_soon(&self.cluster, spec, now)
    }

    /// The most that tasks not known yet can use (S8): all of each machine that has not shown
    /// what it holds, or holds tasks of jobs that are not known. A worker starts nothing beyond
    /// its machine's size, and any team may be the one that uses it. `None` while a size is not
    /// known.
    fn unaccounted_usage(&self) -> Option<Usage> {
        let mut unaccounted_usage = Usage::default();
        for machine in self.cluster.machines.values() {
            if self.is_unreconciled(machine.name.as_str())
                || machine.tasks.totals().has_unknown_tasks
            {
                let size = machine.machine_type.as_ref()?;
                let whole_machine = Usage { cpus: size.cpus, gpus: size.gpus };
                unaccounted_usage = unaccounted_usage.plus(whole_machine);
            }
        }
        Some(unaccounted_usage)
    }
}
