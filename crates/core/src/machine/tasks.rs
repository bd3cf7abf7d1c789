//! The tasks on a machine, and the sums over them.

use super::{MessageNumber, Resources};
use crate::team::Usage;
use corkfield_wire::worker::WorkerHeartbeat;
use corkfield_wire::{AgentEpoch, Attempt, JobId, JobSpec, Priority, TaskId};
use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Deref, DerefMut};
use std::time::{Duration, Instant};

/// State of a task on a machine.
///
/// | from                     | event                                             | to          |
/// |--------------------------|---------------------------------------------------|-------------|
/// | (new)                    | a placement pass chooses the machine              | `Assigned`  |
/// | `Assigned`               | the answer to a heartbeat carries the start       | `Ordered`   |
/// | (new), any but `Assigned`| a heartbeat reports that the image is fetched     | `Fetching`  |
/// | (new), any but `Assigned`| a heartbeat reports that the task runs            | `Running`   |
/// | (new), any but `Assigned`| a heartbeat reports that the task saves           | `Saving`    |
/// | (new), any but `Assigned`| a heartbeat reports that the task exited as done  | `Done`      |
/// | (new), any but `Assigned`| a heartbeat reports that the task exited otherwise| `Exited`    |
///
/// A task is released once it is provably not on the machine (S5): a later heartbeat lacks it, the
/// machine no longer exists, or the worker's lease has expired. An `Assigned` task is also released
/// when the machine accepts no more starts, when its job may no longer start it, or when the task
/// is reported as done under another attempt. Every change goes through
/// `MachineTask::transition_to`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineTaskState {
    /// The machine was chosen for the task, but its start was not ordered yet.
    Assigned,
    /// The start was sent with the answer to the heartbeat with this agent epoch and number (S3).
    Ordered {
        /// Agent epoch of the answered heartbeat.
        agent_epoch: AgentEpoch,
        /// Number of the answered heartbeat.
        sequence: u64,
    },
    /// The worker fetches the image of the task.
    Fetching,
    /// The task runs.
    Running,
    /// The task saves a checkpoint because it was ordered to stop.
    Saving,
    /// The task exited as done; it stays on the machine until its result is stored (S9).
    Done,
    /// The task exited for another reason.
    Exited,
}

impl MachineTaskState {
    /// Returns the number of the heartbeat whose answer carried the start, if the start was sent and
    /// no message has reported the task since.
    pub(crate) fn answered_heartbeat(self) -> Option<MessageNumber> {
        match self {
            Self::Ordered { agent_epoch, sequence } => {
                Some(MessageNumber { agent_epoch, sequence })
            }
            _ => None,
        }
    }
}

/// One attempt at a task; identifies a task on a machine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskAttempt {
    /// The task.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: Attempt,
}

/// Resources that a task uses, with the team and the priority under which they are counted.
#[derive(Debug, Clone)]
pub(crate) struct TaskDemand {
    /// Resources that the task uses.
    pub(crate) need: Resources,
    /// Position of the job's team in the settings.
    pub(crate) team: usize,
    /// Priority of the job.
    pub(crate) priority: Priority,
}

impl TaskDemand {
    /// Returns the demand of one task of a job that belongs to `team`.
    pub(crate) fn per_task(spec: &JobSpec, team: usize) -> Self {
        Self { need: Resources::per_task(spec), team, priority: spec.priority }
    }
}

/// A task that is, or may be, on a machine.
#[derive(Debug, Clone)]
pub struct MachineTask {
    /// Current state of the task.
    pub state: MachineTaskState,
    /// When the task entered `state`.
    pub state_since: Instant,
    /// Demand of the task; `None` if its job is not known to this leader.
    pub(crate) demand: Option<TaskDemand>,
    /// Whether this leader started the task, so that its run time is known.
    pub(crate) was_started_by_this_leader: bool,
    /// Grace period, in which a stopped task may save a checkpoint; `None` if the task is not to be
    /// stopped.
    pub stop_grace: Option<Duration>,
}

impl MachineTask {
    /// Creates a task whose machine was chosen, but whose start was not ordered yet.
    pub(super) fn assigned(demand: TaskDemand, now: Instant) -> Self {
        Self {
            state: MachineTaskState::Assigned,
            state_since: now,
            demand: Some(demand),
            was_started_by_this_leader: true,
            stop_grace: None,
        }
    }

    /// Creates a task that a heartbeat reports and that this leader did not start.
    pub(crate) fn from_heartbeat(state: MachineTaskState, now: Instant) -> Self {
        Self {
            state,
            state_since: now,
            demand: None,
            was_started_by_this_leader: false,
            stop_grace: None,
        }
    }

    /// Changes the state of the task. All changes go through this method.
    pub(crate) fn transition_to(&mut self, state: MachineTaskState, now: Instant) {
        if self.state != state {
            self.state = state;
            self.state_since = now;
        }
    }

    /// Marks the task to be stopped at once, with no time to save a checkpoint.
    pub(crate) fn stop_without_grace(&mut self) {
        self.stop_grace = Some(Duration::ZERO);
    }

    /// Cancels the stop of the task, because its job has been claimed.
    pub(crate) fn cancel_stop(&mut self) {
        self.stop_grace = None;
    }

    /// Sets the demand of the task from its job, which has become known.
    pub(crate) fn set_job(&mut self, spec: &JobSpec, team: usize) {
        self.demand = Some(TaskDemand::per_task(spec, team));
    }

    /// Returns whether the start was sent and no message has reported the task since.
    pub(crate) fn is_ordered(&self) -> bool {
        matches!(self.state, MachineTaskState::Ordered { .. })
    }

    /// Returns whether the newest message reported the task as not exited.
    pub(super) fn was_reported_live(&self) -> bool {
        matches!(
            self.state,
            MachineTaskState::Fetching | MachineTaskState::Running | MachineTaskState::Saving
        )
    }

    /// Returns whether any message has reported the task.
    pub(super) fn was_reported(&self) -> bool {
        !matches!(self.state, MachineTaskState::Assigned | MachineTaskState::Ordered { .. })
    }

    /// Returns whether the task uses resources of the machine and counts towards its team's limit.
    pub fn uses_resources(&self) -> bool {
        !matches!(self.state, MachineTaskState::Done | MachineTaskState::Exited)
    }

    /// Returns whether the task runs, or saves a checkpoint before it stops.
    fn is_running(&self) -> bool {
        matches!(self.state, MachineTaskState::Running | MachineTaskState::Saving)
    }

    /// Returns the grace period for the order to stop the task; `None` if no order has to be sent.
    pub(super) fn stop_grace_to_send(&self) -> Option<Duration> {
        let grace = self.stop_grace?;
        let is_stop_needed = match self.state {
            MachineTaskState::Ordered { .. }
            | MachineTaskState::Fetching
            | MachineTaskState::Running => true,
            // A task that already saves a checkpoint may finish saving, unless it must stop at once.
            MachineTaskState::Saving => grace.is_zero(),
            MachineTaskState::Assigned | MachineTaskState::Done | MachineTaskState::Exited => false,
        };
        is_stop_needed.then_some(grace)
    }
}

/// Number of tasks of one job that run on a machine.
#[derive(Debug)]
pub(crate) struct RunningTasks {
    /// The job.
    pub(crate) job: JobId,
    /// Number of its tasks that run.
    pub(crate) count: u32,
}

/// Sums over the tasks on a machine.
#[derive(Debug, Default)]
pub(crate) struct TaskTotals {
    /// Number of tasks that use resources.
    pub tasks: u32,
    /// Resources that the tasks of known jobs use.
    pub used: Resources,
    /// Whether any task that uses resources has an unknown demand and team.
    pub has_unknown_tasks: bool,
    /// Usage of each team, indexed by the team's position in the settings.
    pub by_team: Vec<Usage>,
    /// Resources that the tasks of known jobs use, by priority, highest first.
    pub by_priority: [Resources; 4],
    /// CPUs of tasks that are being stopped.
    pub stopping_cpus: f64,
    /// Number of running tasks of each job.
    pub running: Vec<RunningTasks>,
}

impl TaskTotals {
    /// Counts a running task of a job.
    fn add_running(&mut self, job: &JobId) {
        match self.running.iter_mut().find(|running| running.job == *job) {
            Some(running) => running.count += 1,
            None => self.running.push(RunningTasks { job: job.clone(), count: 1 }),
        }
    }

    /// Adds a task that uses resources.
    fn add(&mut self, machine_task: &MachineTask) {
        self.tasks += 1;
        let Some(demand) = &machine_task.demand else {
            self.has_unknown_tasks = true;
            return;
        };
        let need = &demand.need;
        self.used.add(need);
        if machine_task.stop_grace.is_some() {
            self.stopping_cpus += need.cpus;
        }
        if self.by_team.len() <= demand.team {
            self.by_team.resize(demand.team + 1, Usage::default());
        }
        let usage = &mut self.by_team[demand.team];
        *usage = usage.plus(Usage { cpus: need.cpus, gpus: need.gpus });
        self.by_priority[demand.priority as usize].add(need);
    }
}

/// The tasks on a machine, with cached sums over them.
///
/// Summing over the tasks of hundreds of machines in each placement pass would exceed the processor
/// share of a controller. So the sums are cached until the next mutable access to the tasks.
#[derive(Debug, Default)]
pub struct MachineTasks {
    /// The tasks, by attempt.
    tasks: BTreeMap<TaskAttempt, MachineTask>,
    /// Cached sums over the tasks.
    totals: OnceCell<TaskTotals>,
}

impl Deref for MachineTasks {
    type Target = BTreeMap<TaskAttempt, MachineTask>;
    fn deref(&self) -> &Self::Target {
        &self.tasks
    }
}

impl DerefMut for MachineTasks {
    fn deref_mut(&mut self) -> &mut Self::Target {
        self.totals.take();
        &mut self.tasks
    }
}

impl MachineTasks {
    /// Returns whether any task of the job is, or may be, on the machine.
    pub(crate) fn has_tasks_of(&self, job: &JobId) -> bool {
        let first = TaskAttempt {
            task: TaskId { job: job.clone(), index: 0 },
            attempt: Attempt::default(),
        };
        self.tasks.range(first..).next().is_some_and(|(key, _)| key.task.job == *job)
    }

    /// Returns the tasks that a heartbeat does not report.
    pub(crate) fn absent_from(&self, heartbeat: &WorkerHeartbeat) -> Vec<TaskAttempt> {
        let reported = heartbeat.tasks.iter().map(|status| (&status.task, status.attempt));
        let reported: BTreeSet<(&TaskId, Attempt)> = reported.collect();
        let keys = self.tasks.keys();
        keys.filter(|key| !reported.contains(&(&key.task, key.attempt))).cloned().collect()
    }

    /// Returns the sums over the tasks.
    pub(crate) fn totals(&self) -> &TaskTotals {
        self.totals.get_or_init(|| {
            let mut totals = TaskTotals::default();
            for (key, machine_task) in &self.tasks {
                if machine_task.is_running() {
                    totals.add_running(&key.task.job);
                }
                if machine_task.uses_resources() {
                    totals.add(machine_task);
                }
            }
            totals
        })
    }
}
