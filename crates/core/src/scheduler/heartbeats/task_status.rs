//! What a heartbeat says of one task.

use super::{Receipt, Scheduler};
use crate::cluster::Cluster;
use crate::job::{Job, JobState, TaskPlacement};
use crate::machine::{Machine, MachineTask, MachineTaskState, MessageNumber, TaskAttempt};
use corkfield_wire::worker::{ExitCause, TaskPhase, TaskStatus};
use corkfield_wire::TaskId;
use std::time::Instant;

/// What was known of a task before a heartbeat.
#[derive(Clone, Copy)]
pub(super) struct KnownTask {
    /// What it was doing.
    pub(super) state: MachineTaskState,
    /// Since when.
    pub(super) since: Instant,
}

/// What a task that has not exited is to its job.
enum LiveTask {
    /// The attempt that the job knows.
    Known,
    /// Started by an earlier leader, or found again: it goes on.
    Found,
    /// It has to be stopped: its job needs none of its tasks, or not this attempt.
    Unwanted,
}

impl LiveTask {
    /// What the attempt on that machine is to its job.
    fn classify(job: &Job, machine: &str, key: &TaskAttempt) -> Self {
        let index = key.task.index;
        if !job.is_live() || job.state() == JobState::DeadLettered || job.finished().contains(index)
        {
            return Self::Unwanted;
        }
        match job.placements().get(&index) {
            None => Self::Found,
            Some(placed) if placed.machine.as_str() == machine && placed.attempt == key.attempt => {
                Self::Known
            }
            Some(placed) => {
                let other_machine = placed.machine.as_str();
                tracing::warn!(task = %key.task, machine, other_machine, "task reported twice");
                Self::Unwanted
            }
        }
    }
}

/// The state of a task that a heartbeat shows.
fn reported_state(status: &TaskStatus) -> MachineTaskState {
    match (status.phase, status.cause) {
        (TaskPhase::Fetching, _) => MachineTaskState::Fetching,
        (TaskPhase::Running | TaskPhase::Other, _) => MachineTaskState::Running,
        (TaskPhase::Saving, _) => MachineTaskState::Saving,
        (TaskPhase::Exited, Some(ExitCause::Done)) => MachineTaskState::Done,
        (TaskPhase::Exited, _) => MachineTaskState::Exited,
    }
}

/// Brings a task on a machine in line with its status; returns what was known before, and the
/// task.
fn update_machine_task<'a>(
    machine: &'a mut Machine,
    key: &TaskAttempt,
    state: MachineTaskState,
    now: Instant,
) -> (Option<KnownTask>, &'a mut MachineTask) {
    let known = machine.tasks.get(key).map(|t| KnownTask { state: t.state, since: t.state_since });
    if known.is_none_or(|known| known.state != state) {
        let TaskAttempt { task, attempt } = key;
        let attempt = attempt.get();
        let name = machine.name.as_str();
        tracing::debug!(task = %task, machine = name, attempt, ?state, "task state");
    }
    let found = || MachineTask::from_heartbeat(state, now);
    let machine_task = machine.tasks.entry(key.clone()).or_insert_with(found);
    machine_task.enter(state, now);
    (known, machine_task)
}

impl Scheduler {
    /// Takes what a heartbeat says of a task. If that shows that its start was taken, returns which
    /// heartbeat's answer carried it.
    pub(super) fn sync_task(
        &mut self,
        name: &str,
        status: &TaskStatus,
        receipt: &Receipt,
    ) -> Option<MessageNumber> {
        let key = TaskAttempt { task: status.task.clone(), attempt: status.attempt };
        let Cluster { jobs, machines, estimate_corrections, .. } = &mut self.cluster;
        let machine = machines.get_mut(name)?;
        let state = reported_state(status);
        let (known, machine_task) = update_machine_task(machine, &key, state, receipt.now);
        let start_taken = known.and_then(|known| known.state.answered_heartbeat());
        let Some(job) = jobs.get_mut(&key.task.job) else {
            // Cancelled, done, or not claimed yet; stopped once all jobs are claimed.
            return start_taken;
        };
        machine_task.set_job(job.spec(), job.team);
        match state {
            MachineTaskState::Done => {
                let known = known.filter(|_| machine_task.was_started_by_this_leader);
                let other = job.placements().get(&key.task.index).filter(|placed| {
                    placed.machine.as_str() != name || placed.attempt != key.attempt
                });
                let superseded = other.cloned();
                if job.mark_finished(key.task.index) {
                    machine.health.record_completion();
                    if let Some(run) = receipt.run_time(known) {
                        run.note(estimate_corrections, job, machine);
                    }
                    if let Some(placed) = superseded {
                        self.drop_superseded(&key.task, &placed);
                    }
                }
            }
            MachineTaskState::Exited => {
                if known.is_none_or(|known| known.state != MachineTaskState::Exited) {
                    job.release_task(key.task.index, name, key.attempt);
                    self.on_task_exit(name, status, receipt.now);
                }
            }
            _ => match LiveTask::classify(job, name, &key) {
                LiveTask::Known => {}
                LiveTask::Found => {
                    job.place_task(key.task.index, name, key.attempt);
                    machine.mark_image_used(&job.record.spec.image, job.record.spec.image_gb);
                }
                LiveTask::Unwanted => machine_task.stop_without_grace(),
            },
        }
        self.remove_if_closed(&key.task.job);
        start_taken
    }

    /// A task was done under another attempt than the placed one: a late message shows it. The
    /// placed attempt has nothing left to do.
    fn drop_superseded(&mut self, task: &TaskId, placed: &TaskPlacement) {
        let TaskPlacement { machine: name, attempt } = placed;
        let key = TaskAttempt { task: task.clone(), attempt: *attempt };
        let Some(machine) = self.cluster.machines.get_mut(name) else {
            return;
        };
        let Some(machine_task) = machine.tasks.get_mut(&key) else {
            return;
        };
        if machine_task.state == MachineTaskState::Assigned {
            self.release_task(name.as_str(), &key);
        } else {
            machine_task.stop_without_grace();
        }
    }
}
