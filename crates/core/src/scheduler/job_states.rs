//! Changes of a job's state, and their effect on the job's assigned tasks.

use super::Scheduler;
use crate::cluster::Cluster;
use crate::job::{Job, JobState};
use crate::machine::{MachineTaskState, TaskAttempt};
use corkfield_wire::{JobId, MachineName, TaskId};
use std::time::Instant;

/// A task that is assigned to a machine and whose start was not sent yet.
struct AssignedTask {
    machine: MachineName,
    key: TaskAttempt,
}

impl Scheduler {
    /// Changes a job. Releases its assigned tasks if they may no longer start under the generation
    /// that applied before the change.
    ///
    /// Starts of these tasks could not be sent, because an order must carry the generation of the
    /// job's record. If they stayed assigned, they would occupy room on their machines and count
    /// against their team's limit while the job backs off (up to a minute). After the next claim
    /// they would be started under an attempt that carries the generation of the earlier claim.
    pub(super) fn change_job(&mut self, id: &JobId, change: impl FnOnce(&mut Job)) {
        let Some(job) = self.cluster.jobs.get_mut(id) else {
            return;
        };
        let previous_generation = job.start_generation();
        change(job);
        if previous_generation.is_some() && previous_generation != job.start_generation() {
            self.release_assigned_tasks_of(id);
        }
    }

    /// Pauses starts of a job until the given time, if its tasks may be started now.
    pub(super) fn pause_job(&mut self, id: &JobId, until: Instant) {
        self.change_job(id, |job| {
            // A delayed refusal must not change a job that is paused already or dead-lettered.
            if job.may_start_tasks() {
                job.transition_to(JobState::BackingOff(until));
            }
        });
    }

    /// Backs off a job that failed on several machines, or on all that it may run on.
    pub(super) fn back_off_job(&mut self, id: &JobId, now: Instant) {
        self.change_job(id, |job| job.back_off(now));
    }

    /// Releases a job's assigned tasks, so that they wait for placement again.
    fn release_assigned_tasks_of(&mut self, id: &JobId) {
        for AssignedTask { machine, key } in self.assigned_tasks_of(id) {
            self.release_task(machine.as_str(), &key);
        }
    }

    /// Returns a job's assigned tasks.
    fn assigned_tasks_of(&self, id: &JobId) -> Vec<AssignedTask> {
        let Cluster { jobs, machines, .. } = &self.cluster;
        let Some(job) = jobs.get(id) else {
            return Vec::new();
        };
        let placements = job.placements().iter().map(|(index, placement)| {
            let task = TaskId { job: id.clone(), index: *index };
            let key = TaskAttempt { task, attempt: placement.attempt };
            AssignedTask { machine: placement.machine.clone(), key }
        });
        let is_assigned = |AssignedTask { machine, key }: &AssignedTask| {
            let task = machines.get(machine).and_then(|machine| machine.tasks.get(key));
            task.is_some_and(|task| task.state == MachineTaskState::Assigned)
        };
        placements.filter(is_assigned).collect()
    }
}
