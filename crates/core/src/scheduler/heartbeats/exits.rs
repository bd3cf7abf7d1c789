//! Tasks that exited without being done: whether the job or the machine is the cause.

use super::Scheduler;
use crate::cluster::Cluster;
use crate::machine::MachineState;
use corkfield_wire::worker::{ExitCause, TaskStatus};
use corkfield_wire::JobId;
use std::time::{Duration, Instant};

/// No start is sent to a worker for so long after it refused one.
const REFUSAL_PAUSE: Duration = Duration::from_secs(2);
/// A job waits so long after a start of it was refused as of no such job or task.
const UNKNOWN_TASK_PAUSE: Duration = Duration::from_secs(3);

impl Scheduler {
    /// A task exited otherwise than as done.
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
            Some(ExitCause::NoRoom | ExitCause::Busy) => {
                if let Some(machine) = self.cluster.machines.get_mut(name) {
                    machine.health.record_refusal(now + REFUSAL_PAUSE);
                }
            }
            Some(ExitCause::Unknown) => {
                self.pause_job(id, now + UNKNOWN_TASK_PAUSE);
            }
            _ => {}
        }
    }

    /// A task failed: blames its job, and the machine unless the job fails everywhere.
    fn on_task_failure(&mut self, name: &str, id: &JobId, now: Instant) {
        let Cluster { jobs, machines, .. } = &mut self.cluster;
        let (Some(job), Some(machine)) = (jobs.get_mut(id), machines.get_mut(name)) else {
            return;
        };
        job.failures.add(name);
        // A job that fails everywhere says nothing about the machines it fails on.
        let job_completes = job.run_times.has_any();
        if job.failures.may_be_caused_by_machines() || job_completes {
            machine.health.record_failure(id);
        }
        let backs_off = job.failures.should_back_off();
        if machine.health.is_faulty(job_completes) && machine.state() == MachineState::Up {
            machine.enter(MachineState::Draining);
            self.note_machine_event(name, "machine fails its tasks; drained and returned");
        }
        if backs_off {
            self.back_off_job(id, now);
        }
    }
}
