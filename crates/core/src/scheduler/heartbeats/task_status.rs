//! Updates one task from its status in a heartbeat.

use super::{HeartbeatContext, Scheduler};
use crate::cluster::Cluster;
use crate::job::{Job, JobState, TaskPlacement};
use crate::machine::{Machine, MachineTask, MachineTaskState, MessageNumber, TaskAttempt};
use corkfield_wire::worker::{ExitCause, TaskPhase, TaskStatus};
use corkfield_wire::TaskId;
use std::time::Instant;

/// State of a task on a machine as known before a heartbeat.
#[derive(Clone, Copy)]
pub(super) struct PreviousTaskState {
    /// The task's state.
    pub(super) state: MachineTaskState,
    /// When the task entered this state.
    pub(super) since: Instant,
}

/// How a reported attempt that has not exited relates to its job.
enum LiveAttempt {
    /// The job's task is placed on this machine under this attempt.
    Placed,
    /// The job's task is not placed anywhere, so the job adopts this attempt. An earlier leader
    /// started the attempt, or this leader has released it.
    Unplaced,
    /// The attempt must be stopped: the job is closed or dead-lettered, the task is finished, or the
    /// task is placed under another attempt.
    Unwanted,
}

impl LiveAttempt {
    /// Returns how an attempt on the given machine relates to its job.
    fn classify(job: &Job, machine: &str, key: &TaskAttempt) -> Self {
        let index = key.task.index;
        if !job.is_live() || job.state() == JobState::DeadLettered || job.finished().contains(index)
        {
            return Self::Unwanted;
        }
        match job.placements().get(&index) {
            None => Self::Unplaced,
            Some(placement)
                if placement.machine.as_str() == machine && placement.attempt == key.attempt =>
            {
                Self::Placed
            }
            Some(placement) => {
                let other_machine = placement.machine.as_str();
                tracing::warn!(task = %key.task, machine, other_machine, "task reported twice");
                Self::Unwanted
            }
        }
    }
}

/// Returns the state of a task as its status in a heartbeat shows it.
fn reported_state(status: &TaskStatus) -> MachineTaskState {
    match (status.phase, status.cause) {
        (TaskPhase::Fetching, _) => MachineTaskState::Fetching,
        (TaskPhase::Running | TaskPhase::Other, _) => MachineTaskState::Running,
        (TaskPhase::Saving, _) => MachineTaskState::Saving,
        (TaskPhase::Exited, Some(ExitCause::Done)) => MachineTaskState::Done,
        (TaskPhase::Exited, _) => MachineTaskState::Exited,
    }
}

/// Sets the state of a task on a machine, and adds the task if it is unknown. Returns its previous
/// state, if any, and the task.
fn update_machine_task<'a>(
    machine: &'a mut Machine,
    key: &TaskAttempt,
    state: MachineTaskState,
    now: Instant,
) -> (Option<PreviousTaskState>, &'a mut MachineTask) {
    let previous =
        machine.tasks.get(key).map(|t| PreviousTaskState { state: t.state, since: t.state_since });
    if previous.is_none_or(|previous| previous.state != state) {
        let TaskAttempt { task, attempt } = key;
        let attempt = attempt.get();
        let name = machine.name.as_str();
        tracing::debug!(task = %task, machine = name, attempt, ?state, "task state");
    }
    let new_task = || MachineTask::from_heartbeat(state, now);
    let machine_task = machine.tasks.entry(key.clone()).or_insert_with(new_task);
    machine_task.transition_to(state, now);
    (previous, machine_task)
}

impl Scheduler {
    /// Updates a task from its status in a heartbeat. If this heartbeat is the first to show the
    /// task after its start was sent, returns the heartbeat whose answer carried the start.
    pub(super) fn sync_task(
        &mut self,
        name: &str,
        status: &TaskStatus,
        context: &HeartbeatContext,
    ) -> Option<MessageNumber> {
        let key = TaskAttempt { task: status.task.clone(), attempt: status.attempt };
        let Cluster { jobs, machines, estimate_corrections, .. } = &mut self.cluster;
        let machine = machines.get_mut(name)?;
        let state = reported_state(status);
        let (previous, machine_task) =
            update_machine_task(machine, &key, state, context.received_at);
        let confirmed_start = previous.and_then(|previous| previous.state.answered_heartbeat());
        let Some(job) = jobs.get_mut(&key.task.job) else {
            // The job is done, cancelled, claimed by another controller, or not claimed yet. The
            // answer to the heartbeat stops the task unless the job is one that this leader has not
            // claimed yet (`forget_exited_or_stop_orphaned`).
            return confirmed_start;
        };
        machine_task.set_job(job.spec(), job.team);
        match state {
            MachineTaskState::Done => {
                let previous = previous.filter(|_| machine_task.was_started_by_this_leader);
                let other = job.placements().get(&key.task.index).filter(|placement| {
                    placement.machine.as_str() != name || placement.attempt != key.attempt
                });
                let superseded = other.cloned();
                if job.mark_finished(key.task.index) {
                    machine.health.record_completion();
                    if let Some(run_time) = context.run_time(previous) {
                        run_time.add_to_statistics(estimate_corrections, job, machine);
                    }
                    if let Some(placement) = superseded {
                        self.stop_superseded_attempt(&key.task, &placement);
                    }
                }
            }
            MachineTaskState::Exited => {
                if previous.is_none_or(|previous| previous.state != MachineTaskState::Exited) {
                    job.release_task(key.task.index, name, key.attempt);
                    self.on_task_exit(name, status, context.received_at);
                }
            }
            _ => match LiveAttempt::classify(job, name, &key) {
                LiveAttempt::Placed => {}
                LiveAttempt::Unplaced => {
                    job.place_task(key.task.index, name, key.attempt);
                    machine.mark_image_used(&job.record.spec.image, job.record.spec.image_gb);
                }
                LiveAttempt::Unwanted => machine_task.stop_without_grace(),
            },
        }
        self.remove_job_if_closed(&key.task.job);
        confirmed_start
    }

    /// Stops the placed attempt at a task that a delayed message shows as done under another
    /// attempt. If the start of the placed attempt was not sent yet, releases that attempt instead.
    fn stop_superseded_attempt(&mut self, task: &TaskId, placement: &TaskPlacement) {
        let TaskPlacement { machine: name, attempt } = placement;
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
