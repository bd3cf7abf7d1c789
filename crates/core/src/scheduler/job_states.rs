//! Changes of a job's state, and what becomes of its assigned tasks with them.

use super::Scheduler;
use crate::cluster::Cluster;
use crate::job::{Job, JobState};
use crate::machine::{MachineTaskState, TaskAttempt};
use corkfield_wire::{JobId, MachineName, TaskId};
use std::time::Instant;

/// A task that was chosen for a machine, and that no order has left for yet.
struct AssignedTask {
    machine: MachineName,
    key: TaskAttempt,
}

impl Scheduler {
    /// Changes a job. If its tasks may no longer start under the generation that they could start
    /// under before, its assigned tasks are taken back.
    ///
    /// Their starts could not leave: the order's generation must be that of the job's record.
    /// Left where they are, they would keep room, and their team's share, for a start that never
    /// comes (a job backs off for up to a minute), and would leave with an attempt of an earlier
    /// claim after the next one.
    pub(super) fn change_job(&mut self, id: &JobId, change: impl FnOnce(&mut Job)) {
        let Some(job) = self.cluster.jobs.get_mut(id) else {
            return;
        };
        let before = job.start_generation();
        change(job);
        if before.is_some() && before != job.start_generation() {
            self.take_back_assigned_tasks_of(id);
        }
    }

    /// The job waits before any more of it is started, if anything of it may be started now.
    pub(super) fn pause_job(&mut self, id: &JobId, until: Instant) {
        self.change_job(id, |job| {
            // A refusal that comes late says nothing new of a job that waits, or is dead-lettered.
            if job.may_start() {
                job.enter(JobState::BackingOff(until));
            }
        });
    }

    /// The job failed wherever it was tried.
    pub(super) fn back_off_job(&mut self, id: &JobId, now: Instant) {
        self.change_job(id, |job| job.back_off(now));
    }

    /// Takes a job's assigned tasks off their machines: they wait again.
    fn take_back_assigned_tasks_of(&mut self, id: &JobId) {
        for AssignedTask { machine, key } in self.assigned_tasks_of(id) {
            self.release_task(machine.as_str(), &key);
        }
    }

    /// A job's assigned tasks.
    fn assigned_tasks_of(&self, id: &JobId) -> Vec<AssignedTask> {
        let Cluster { jobs, machines, .. } = &self.cluster;
        let Some(job) = jobs.get(id) else {
            return Vec::new();
        };
        let placed = job.placements().iter().map(|(index, placed)| {
            let task = TaskId { job: id.clone(), index: *index };
            let key = TaskAttempt { task, attempt: placed.attempt };
            AssignedTask { machine: placed.machine.clone(), key }
        });
        let is_assigned = |AssignedTask { machine, key }: &AssignedTask| {
            let task = machines.get(machine).and_then(|machine| machine.tasks.get(key));
            task.is_some_and(|task| task.state == MachineTaskState::Assigned)
        };
        placed.filter(is_assigned).collect()
    }
}
