//! The tasks on a machine, and what they come to.

use super::{MessageNumber, Resources};
use crate::team::Usage;
use corkfield_wire::worker::WorkerHeartbeat;
use corkfield_wire::{AgentEpoch, Attempt, JobId, JobSpec, Priority, TaskId};
use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Deref, DerefMut};
use std::time::{Duration, Instant};

/// What a task on a machine is doing.
///
/// | from                     | event                                             | to          |
/// |--------------------------|---------------------------------------------------|-------------|
/// | (new)                    | chosen in a placement pass                        | `Assigned`  |
/// | `Assigned`               | its start leaves with the answer to a heartbeat   | `Ordered`   |
/// | (new), any but `Assigned`| a heartbeat shows that its image is being fetched | `Fetching`  |
/// | (new), any but `Assigned`| a heartbeat shows that it runs                    | `Running`   |
/// | (new), any but `Assigned`| a heartbeat shows that it saves                   | `Saving`    |
/// | (new), any but `Assigned`| a heartbeat shows that it exited as done          | `Done`      |
/// | (new), any but `Assigned`| a heartbeat shows that it exited otherwise        | `Exited`    |
///
/// A task is removed once it is surely not on the machine (S5): a later heartbeat lacks it, the
/// machine is gone, or the worker's lease has expired. An `Assigned` one is removed when its
/// machine takes no more starts or its job is stopped. Every change goes through
/// `MachineTask::enter`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineTaskState {
    /// Chosen, but no order has left yet.
    Assigned,
    /// The start was sent as the answer to the heartbeat with this agent epoch and number (S3).
    Ordered {
        /// Agent epoch of the heartbeat that was answered.
        agent_epoch: AgentEpoch,
        /// Number of that heartbeat.
        sequence: u64,
    },
    /// Its image is being fetched.
    Fetching,
    /// It runs.
    Running,
    /// It saves a checkpoint, as it was ordered to stop.
    Saving,
    /// Exited as done; kept on the machine until the result is stored (S9).
    Done,
    /// Exited otherwise.
    Exited,
}

impl MachineTaskState {
    /// The heartbeat whose answer carried the start, if nothing was heard of the task since.
    pub(crate) fn answered_heartbeat(self) -> Option<MessageNumber> {
        match self {
            Self::Ordered { agent_epoch, sequence } => {
                Some(MessageNumber { agent_epoch, sequence })
            }
            _ => None,
        }
    }
}

/// One attempt at a task; what a task on a machine is known by.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskAttempt {
    /// The task.
    pub task: TaskId,
    /// The number of the attempt.
    pub attempt: Attempt,
}

/// What a task takes, and on whose account.
#[derive(Debug, Clone)]
pub(crate) struct TaskDemand {
    /// The resources that it takes.
    pub(crate) need: Resources,
    /// Position of its team in the settings.
    pub(crate) team: usize,
    /// Priority of its job.
    pub(crate) priority: Priority,
}

impl TaskDemand {
    /// The demand of one task of a job of that team.
    pub(crate) fn per_task(spec: &JobSpec, team: usize) -> Self {
        Self { need: Resources::per_task(spec), team, priority: spec.priority }
    }
}

/// A task that is, or may be, on a machine.
#[derive(Debug, Clone)]
pub struct MachineTask {
    /// What it is doing.
    pub state: MachineTaskState,
    /// Since when.
    pub state_since: Instant,
    /// What it takes; unknown for tasks of jobs that are not known (any more).
    pub(crate) demand: Option<TaskDemand>,
    /// Started by this leader, so that its run time is known.
    pub(crate) started_by_this_leader: bool,
    /// The grace to stop it with, once it has to go.
    pub stop_grace: Option<Duration>,
}

impl MachineTask {
    /// A task that was chosen for the machine; no order has left yet.
    pub(super) fn assigned(demand: TaskDemand, now: Instant) -> Self {
        Self {
            state: MachineTaskState::Assigned,
            state_since: now,
            demand: Some(demand),
            started_by_this_leader: true,
            stop_grace: None,
        }
    }

    /// A task that a heartbeat shows, and that this leader did not start.
    pub(crate) fn from_heartbeat(state: MachineTaskState, now: Instant) -> Self {
        Self {
            state,
            state_since: now,
            demand: None,
            started_by_this_leader: false,
            stop_grace: None,
        }
    }

    /// The one place where the state of a task on a machine changes.
    pub(crate) fn enter(&mut self, state: MachineTaskState, now: Instant) {
        if self.state != state {
            self.state = state;
            self.state_since = now;
        }
    }

    /// It has to go at once, with no time to save.
    pub(crate) fn stop_without_grace(&mut self) {
        self.stop_grace = Some(Duration::ZERO);
    }

    /// It need not go: its job has been claimed.
    pub(crate) fn cancel_stop(&mut self) {
        self.stop_grace = None;
    }

    /// The job that it is of has become known.
    pub(crate) fn set_job(&mut self, spec: &JobSpec, team: usize) {
        self.demand = Some(TaskDemand::per_task(spec, team));
    }

    /// Whether its start was sent, and nothing was heard of it since.
    pub(crate) fn is_ordered(&self) -> bool {
        matches!(self.state, MachineTaskState::Ordered { .. })
    }

    /// Whether the newest message showed it, and not as exited.
    pub(super) fn was_reported_live(&self) -> bool {
        matches!(
            self.state,
            MachineTaskState::Fetching | MachineTaskState::Running | MachineTaskState::Saving
        )
    }

    /// Whether a message has shown it.
    pub(super) fn was_reported(&self) -> bool {
        !matches!(self.state, MachineTaskState::Assigned | MachineTaskState::Ordered { .. })
    }

    /// Whether it takes room on the machine and of its team's limit.
    pub fn uses_resources(&self) -> bool {
        !matches!(self.state, MachineTaskState::Done | MachineTaskState::Exited)
    }

    /// Whether it runs, or saves before it stops.
    fn is_running(&self) -> bool {
        matches!(self.state, MachineTaskState::Running | MachineTaskState::Saving)
    }

    /// The grace to stop it with, if the order to stop has to be sent (again).
    pub(super) fn stop_grace_to_send(&self) -> Option<Duration> {
        let grace = self.stop_grace?;
        let send = match self.state {
            MachineTaskState::Ordered { .. }
            | MachineTaskState::Fetching
            | MachineTaskState::Running => true,
            // A task that saves is let be, unless it has to go at once.
            MachineTaskState::Saving => grace.is_zero(),
            MachineTaskState::Assigned | MachineTaskState::Done | MachineTaskState::Exited => false,
        };
        send.then_some(grace)
    }
}

/// How many tasks of a job run on a machine.
#[derive(Debug)]
pub(crate) struct RunningTasks {
    /// The job.
    pub(crate) job: JobId,
    /// How many of its tasks run.
    pub(crate) count: u32,
}

/// What the tasks on a machine come to.
#[derive(Debug, Default)]
pub(crate) struct TaskTotals {
    /// Tasks that take room.
    pub tasks: u32,
    /// What they take, as far as it is known.
    pub used: Resources,
    /// A task takes room of which neither the size nor the team is known.
    pub has_unknown_tasks: bool,
    /// What each team's tasks take, by position of the team in the settings.
    pub by_team: Vec<Usage>,
    /// Of jobs that are known, by priority, the highest first.
    pub by_priority: [Resources; 4],
    /// CPUs of what is being stopped.
    pub stopping_cpus: f64,
    /// Tasks that run, by job.
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

    /// Counts a task that takes room.
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

/// The tasks on a machine, with their totals. A look at every task of hundreds of machines in
/// each placement pass costs more than a controller's processor share, so totals are kept until
/// the tasks may have changed: any mutable access drops them.
#[derive(Debug, Default)]
pub struct MachineTasks {
    /// The tasks, by attempt.
    tasks: BTreeMap<TaskAttempt, MachineTask>,
    /// What they come to, once that was asked for.
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
    /// Whether any task of the job is, or may be, here.
    pub(crate) fn has_tasks_of(&self, job: &JobId) -> bool {
        let first = TaskAttempt {
            task: TaskId { job: job.clone(), index: 0 },
            attempt: Attempt::default(),
        };
        self.tasks.range(first..).next().is_some_and(|(key, _)| key.task.job == *job)
    }

    /// The tasks that a heartbeat does not show.
    pub(crate) fn absent_from(&self, heartbeat: &WorkerHeartbeat) -> Vec<TaskAttempt> {
        let shown = heartbeat.tasks.iter().map(|status| (&status.task, status.attempt));
        let shown: BTreeSet<(&TaskId, Attempt)> = shown.collect();
        let keys = self.tasks.keys();
        keys.filter(|key| !shown.contains(&(&key.task, key.attempt))).cloned().collect()
    }

    /// What the tasks come to.
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
