//! Closing jobs that are over, and stopping their tasks.

use super::{direct_orders, Scheduler};
use crate::cluster::Cluster;
use crate::job::{JobState, TaskPlacement};
use crate::machine::{Machine, MachineTaskState, TaskAttempt};
use corkfield_wire::worker::Order;
use corkfield_wire::{AgentEpoch, JobId, TaskId};

impl Scheduler {
    /// Closes all jobs that are no longer unfinished.
    pub fn close_all_but(&mut self, unfinished: impl Fn(&JobId) -> bool) {
        let live = self.cluster.jobs.iter().filter(|(_, job)| job.is_live()).map(|(id, _)| id);
        let over = live.chain(&self.unclaimed).filter(|id| !unfinished(id)).cloned();
        for id in over.collect::<Vec<JobId>>() {
            self.close_job(&id);
        }
    }

    /// The job is cancelled, done, or another's: nothing of it may start any more, and what of it
    /// is on machines is stopped, whether it was claimed yet or not.
    pub fn close_job(&mut self, id: &JobId) {
        let unclaimed = self.unclaimed.remove(id);
        match self.cluster.jobs.get_mut(id) {
            Some(job) if job.is_live() => job.enter(JobState::Closing),
            None if unclaimed => {}
            _ => return,
        }
        tracing::debug!(job = %id, "job closed");
        self.stop_job(id);
        self.remove_if_closed(id);
    }

    /// Stops all tasks of a job, and takes back those that no order has left for yet.
    pub(super) fn stop_job(&mut self, id: &JobId) {
        for machine in self.cluster.machines.values_mut().filter(|m| m.tasks.has_tasks_of(id)) {
            let stops = stop_tasks_of(machine, id);
            if !stops.is_empty()
                && machine.message_history.newest().agent_epoch > AgentEpoch::default()
            {
                self.actions.push(direct_orders(machine, stops));
            }
        }
        self.release_unknown_tasks(id);
    }

    /// Takes a job's tasks off machines that do not have them (any more).
    fn release_unknown_tasks(&mut self, id: &JobId) {
        let Cluster { jobs, machines, .. } = &mut self.cluster;
        let Some(job) = jobs.get_mut(id) else {
            return;
        };
        let is_known = |index: u32, placed: &TaskPlacement| {
            let task = TaskId { job: id.clone(), index };
            let key = TaskAttempt { task, attempt: placed.attempt };
            machines.get(&placed.machine).is_some_and(|m| m.tasks.contains_key(&key))
        };
        let unknown = job.placements().iter().filter(|(index, placed)| !is_known(**index, placed));
        let unknown: Vec<(u32, TaskPlacement)> =
            unknown.map(|(index, placed)| (*index, placed.clone())).collect();
        for (index, placed) in unknown {
            job.release_task(index, placed.machine.as_str(), placed.attempt);
        }
    }

    /// Forgets a job that is over, or another's, once none of its tasks is on a machine.
    pub(super) fn remove_if_closed(&mut self, id: &JobId) {
        if self.cluster.jobs.get(id).is_some_and(|j| !j.is_live() && j.placements().is_empty()) {
            self.cluster.jobs.remove(id);
        }
    }
}

/// Drops a job's assigned tasks from a machine, and marks its others there to be stopped at once:
/// returns the orders for these.
fn stop_tasks_of(machine: &mut Machine, id: &JobId) -> Vec<Order> {
    machine.tasks.retain(|key, machine_task| {
        !(key.task.job == *id && machine_task.state == MachineTaskState::Assigned)
    });
    let mut stops = Vec::new();
    for (key, machine_task) in machine.tasks.iter_mut() {
        if key.task.job == *id && machine_task.uses_resources() {
            machine_task.stop_without_grace();
            let TaskAttempt { task, attempt } = key.clone();
            stops.push(Order::Stop { task, attempt, grace_s: 0.0 });
        }
    }
    stops
}
