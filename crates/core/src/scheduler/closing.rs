//! Closing jobs that have ended (are done or cancelled) or that another controller has claimed, and
//! stopping their tasks.

use super::{direct_orders_action, Scheduler};
use crate::cluster::Cluster;
use crate::job::{JobState, TaskPlacement};
use crate::machine::{Machine, MachineTaskState, TaskAttempt};
use corkfield_wire::worker::Order;
use corkfield_wire::{AgentEpoch, JobId, TaskId};

impl Scheduler {
    /// Closes all jobs, claimed by this leader or not, that have ended: those for which
    /// `is_unfinished` returns false.
    pub fn close_ended_jobs(&mut self, is_unfinished: impl Fn(&JobId) -> bool) {
        let live = self.cluster.jobs.iter().filter(|(_, job)| job.is_live()).map(|(id, _)| id);
        let ended = live.chain(&self.unclaimed_jobs).filter(|id| !is_unfinished(id)).cloned();
        for id in ended.collect::<Vec<JobId>>() {
            self.close_job(&id);
        }
    }

    /// Closes a job that is cancelled, done or claimed by another controller, whether this leader
    /// has claimed it or not. No task of the job starts any more, and those on machines are
    /// stopped.
    pub fn close_job(&mut self, id: &JobId) {
        let was_unclaimed = self.unclaimed_jobs.remove(id);
        match self.cluster.jobs.get_mut(id) {
            Some(job) if job.is_live() => job.transition_to(JobState::Closing),
            None if was_unclaimed => {}
            _ => return,
        }
        tracing::debug!(job = %id, "job closed");
        self.stop_job_tasks(id);
        self.remove_job_if_closed(id);
    }

    /// Stops all tasks of a job, and releases those whose start was not sent yet.
    pub(super) fn stop_job_tasks(&mut self, id: &JobId) {
        for machine in self.cluster.machines.values_mut().filter(|m| m.tasks.has_tasks_of(id)) {
            let stops = stop_tasks_of(machine, id);
            if !stops.is_empty()
                && machine.message_history.newest().agent_epoch > AgentEpoch::default()
            {
                self.actions.push(direct_orders_action(machine, stops));
            }
        }
        self.release_missing_tasks(id);
    }

    /// Releases the job's placed tasks that are not in their machine's list of tasks.
    fn release_missing_tasks(&mut self, id: &JobId) {
        let Cluster { jobs, machines, .. } = &mut self.cluster;
        let Some(job) = jobs.get_mut(id) else {
            return;
        };
        let is_on_machine = |index: u32, placement: &TaskPlacement| {
            let task = TaskId { job: id.clone(), index };
            let key = TaskAttempt { task, attempt: placement.attempt };
            machines.get(&placement.machine).is_some_and(|m| m.tasks.contains_key(&key))
        };
        let missing =
            job.placements().iter().filter(|(index, placement)| !is_on_machine(**index, placement));
        let missing: Vec<(u32, TaskPlacement)> =
            missing.map(|(index, placement)| (*index, placement.clone())).collect();
        for (index, placement) in missing {
            job.release_task(index, placement.machine.as_str(), placement.attempt);
        }
    }

    /// Removes the job if it is closed ([`JobState::Closing`]) and none of its tasks is placed.
    pub(super) fn remove_job_if_closed(&mut self, id: &JobId) {
        if self.cluster.jobs.get(id).is_some_and(|j| !j.is_live() && j.placements().is_empty()) {
            self.cluster.jobs.remove(id);
        }
    }
}

/// Removes a job's assigned tasks from a machine, and marks its other tasks there to be stopped
/// without a grace period. Returns the stop orders for the latter.
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
