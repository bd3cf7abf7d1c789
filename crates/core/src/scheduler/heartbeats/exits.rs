//! Tasks that exited without completing: whether the job or the machine is the cause.

use super::Scheduler;
use crate::cluster::Cluster;
use crate::machine::MachineState;
use corkfield_wire::worker::{ExitCause, TaskStatus};
use corkfield_wire::JobId;
use std::time::{Duration, Instant};

/// After a worker has refused a start, because it has no room or because the task is already on the
/// machine under another attempt, no start is sent to it for this long.
const REFUSAL_PAUSE: Duration = Duration::from_secs(2);
/// After a worker has refused a start because it knows no such job or task, no task of the job is
/// started for this long.
const UNKNOWN_TASK_PAUSE: Duration = Duration::from_secs(3);

impl Scheduler {
    /// Handles a task that exited without completing.
    pub(super) fn on_task_exit(&mut self, name: &str, status: &TaskStatus, now: Instant) {
        let id = &status.task.job;
        match status.cause {
            Some(ExitCause::Error) => {
                tracing::debug!(
                    task = %status.task,
                    machine = name,
                    attempt = status.attempt.get(),
                    "task failed"
                );
                self.on_task_failure(name, id, now);
            }
            Some(ExitCause::NoRoom | ExitCause::OtherAttemptPresent) => {
                if let Some(machine) = self.cluster.machines.get_mut(name) {
                    machine.health.record_refusal(now + REFUSAL_PAUSE);
                }
            }
            Some(ExitCause::NoSuchTask) => {
                self.pause_job(id, now + UNKNOWN_TASK_PAUSE);
            }
            _ => {}
        }
    }

    /// Handles a task that failed: counts a failure of its job, and of the machine unless the job
    /// fails on many machines.
    fn on_task_failure(&mut self, name: &str, id: &JobId, now: Instant) {
        let Cluster { jobs, machines, .. } = &mut self.cluster;
        let (Some(job), Some(machine)) = (jobs.get_mut(id), machines.get_mut(name)) else {
            return;
        };
        job.failures.add(name);
        // Failures of a job that never completed a task and fails on many machines don't indicate
        // that a machine is faulty.
        let has_completed_tasks = job.run_times.has_any();
        if job.failures.may_be_caused_by_machines() || has_completed_tasks {
            machine.health.record_failure(id);
        }
        let must_back_off = job.failures.should_back_off();
        if machine.health.is_faulty(has_completed_tasks) && machine.state() == MachineState::Up {
            machine.transition_to(MachineState::Draining);
            self.log_machine_event(name, "machine fails its tasks; drained and returned");
        }
        if must_back_off {
            self.back_off_job(id, now);
        }
    }
}
