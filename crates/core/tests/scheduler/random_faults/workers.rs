//! Fake workers, which run tasks, send heartbeats and execute orders according to the protocol.

use corkfield_core::MessageOrigin;
use corkfield_wire::worker::{
    ConnectionId, ExitCause, Order, TaskPhase, TaskStatus, WorkerHeartbeat,
};
use corkfield_wire::{AgentEpoch, Attempt, JobId, MachineName, TaskId, Term};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Duration of a worker's lease, counted from the time at which it sent its last answered
/// heartbeat.
pub const LEASE: Duration = Duration::from_secs(12);
/// Time after which a worker no longer accepts the answer to a heartbeat.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum number of tasks on a machine.
const TASK_CAPACITY: usize = 4;

/// What happens to a job's tasks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum JobBehavior {
    /// The tasks complete.
    Completes,
    /// The tasks fail on every machine.
    Fails,
    /// Tasks with an odd index fail on every machine, the others complete.
    FailsOddTasks,
    /// Workers refuse to start the tasks, because they don't know the job.
    Unknown,
}

impl JobBehavior {
    /// Returns whether the task with this index completes on a sound machine.
    fn completes(self, index: u32) -> bool {
        match self {
            Self::Completes => true,
            Self::FailsOddTasks => index % 2 == 0,
            Self::Fails | Self::Unknown => false,
        }
    }
}

/// A task on a machine.
struct Task {
    phase: TaskPhase,
    cause: Option<ExitCause>,
}

/// A heartbeat for which a worker awaits the answer.
#[derive(Clone, Copy)]
pub struct PendingHeartbeat {
    pub agent_epoch: AgentEpoch,
    pub sequence: u64,
    pub sent_at: Instant,
    /// Whether the controller has answered the heartbeat; the answer may be lost.
    pub is_answered: bool,
}

/// The worker of a machine.
pub struct Worker {
    name: MachineName,
    agent_epoch: AgentEpoch,
    sequence: u64,
    term: Term,
    /// Number of the connection over which the worker sends its heartbeats.
    connection: u64,
    tasks: BTreeMap<(TaskId, Attempt), Task>,
    /// When the worker sent the last heartbeat whose answer it accepted.
    renewed_at: Instant,
    /// The worker's last heartbeat, while the worker awaits the answer.
    pub pending_heartbeat: Option<PendingHeartbeat>,
    /// Time until which the worker neither sends nor receives anything.
    pub disconnected_until: Instant,
    /// Whether every task fails on the machine.
    pub is_faulty: bool,
    /// Whether the cloud has announced that it will reclaim the machine.
    pub has_interruption_notice: bool,
}

impl Worker {
    pub fn new(name: &str, now: Instant) -> Self {
        Self {
            name: name.into(),
            agent_epoch: AgentEpoch::FIRST,
            sequence: 0,
            term: Term::default(),
            connection: 1,
            tasks: BTreeMap::new(),
            renewed_at: now,
            pending_heartbeat: None,
            disconnected_until: now,
            is_faulty: false,
            has_interruption_notice: false,
        }
    }

    /// Restarts the worker without downtime: the worker loses its tasks and its term, and numbers
    /// its messages from the beginning.
    pub fn restart(&mut self, now: Instant) {
        self.agent_epoch = AgentEpoch::FIRST;
        (self.sequence, self.term) = (0, Term::default());
        self.tasks.clear();
        self.renewed_at = now;
        self.abandon_heartbeat();
    }

    /// Stops waiting for the answer to the last heartbeat and closes the connection.
    pub fn abandon_heartbeat(&mut self) {
        self.pending_heartbeat = None;
        self.connection += 1;
    }

    /// Returns the origin of the worker's next heartbeat.
    pub fn origin(&self) -> MessageOrigin {
        let connection = ConnectionId { process: 1, number: self.connection };
        MessageOrigin::Heartbeat { connection: Some(connection) }
    }

    /// Returns the number of messages that the worker's current process has sent.
    pub fn messages_sent(&self) -> u64 {
        self.sequence
    }

    /// Returns whether the worker can send a heartbeat now.
    pub fn can_send_heartbeat(&self, now: Instant) -> bool {
        now >= self.disconnected_until && self.pending_heartbeat.is_none()
    }

    /// Stops all tasks if the lease has expired, and abandons a heartbeat that was not answered in
    /// time.
    pub fn expire_timeouts(&mut self, now: Instant) {
        if now.duration_since(self.renewed_at) > LEASE {
            self.tasks.clear();
            self.agent_epoch = self.agent_epoch.next();
            self.renewed_at = now;
        }
        if self
            .pending_heartbeat
            .is_some_and(|pending| now.duration_since(pending.sent_at) > ANSWER_TIMEOUT)
        {
            self.abandon_heartbeat();
        }
    }

    /// Marks the pending heartbeat as answered and returns it. Returns `None` if there is none or
    /// it was answered before.
    pub fn mark_answered(&mut self) -> Option<PendingHeartbeat> {
        let pending = self.pending_heartbeat.as_mut().filter(|pending| !pending.is_answered)?;
        pending.is_answered = true;
        Some(*pending)
    }

    /// Returns the worker's next message, with a new number.
    pub fn next_message(&mut self) -> WorkerHeartbeat {
        self.sequence += 1;
        let tasks = self.tasks.iter().map(|((task, attempt), state)| TaskStatus {
            task: task.clone(),
            attempt: *attempt,
            phase: state.phase,
            cause: state.cause,
            saved: None,
        });
        WorkerHeartbeat {
            machine: self.name.clone(),
            addr: "10.0.0.9:9000".into(),
            machine_type: "box".into(),
            zone: "z".into(),
            spot: false,
            agent_epoch: self.agent_epoch,
            sequence: self.sequence,
            term: self.term,
            interruption_notice_s: self.has_interruption_notice.then_some(30.0),
            tasks: tasks.collect(),
        }
    }

    /// Accepts the answer to the pending heartbeat, unless it has a lower term than the worker
    /// knows or belongs to an earlier agent epoch.
    pub fn accept_answer(
        &mut self,
        term: Term,
        orders: Vec<Order>,
        behavior_of: impl Fn(&JobId) -> JobBehavior,
    ) {
        let Some(pending) = self.pending_heartbeat.take() else { return };
        if term < self.term || pending.agent_epoch != self.agent_epoch {
            return;
        }
        self.term = term;
        self.renewed_at = self.renewed_at.max(pending.sent_at);
        self.execute_orders(orders, behavior_of);
    }

    /// Accepts direct orders, unless they have a lower term than the worker knows or are for
    /// another agent epoch.
    pub fn accept_direct_orders(
        &mut self,
        term: Term,
        agent_epoch: AgentEpoch,
        orders: Vec<Order>,
    ) {
        if term >= self.term && agent_epoch == self.agent_epoch {
            self.term = term;
            self.execute_orders(orders, |_| JobBehavior::Unknown);
        }
    }

    fn execute_orders(&mut self, orders: Vec<Order>, behavior_of: impl Fn(&JobId) -> JobBehavior) {
        for order in orders {
            match order {
                Order::Start { task, attempt } => {
                    let behavior = behavior_of(&task.job);
                    self.start_task(task, attempt, behavior);
                }
                Order::Stop { task, attempt, .. } => {
                    self.exit_task(&(task, attempt), ExitCause::Stopped)
                }
                Order::Forget { task, attempt } => {
                    let key = (task, attempt);
                    if self.tasks.get(&key).is_some_and(|state| state.phase == TaskPhase::Exited) {
                        self.tasks.remove(&key);
                    }
                }
            }
        }
    }

    fn start_task(&mut self, task: TaskId, attempt: Attempt, behavior: JobBehavior) {
        if self.tasks.contains_key(&(task.clone(), attempt)) {
            return;
        }
        let mut live_tasks =
            self.tasks.iter().filter(|(_, state)| state.phase != TaskPhase::Exited);
        let cause = if behavior == JobBehavior::Unknown {
            Some(ExitCause::NoSuchTask)
        } else if live_tasks.clone().any(|((other, _), _)| *other == task) {
            Some(ExitCause::OtherAttemptPresent)
        } else if live_tasks.by_ref().count() >= TASK_CAPACITY {
            Some(ExitCause::NoRoom)
        } else {
            None
        };
        let phase = if cause.is_some() { TaskPhase::Exited } else { TaskPhase::Fetching };
        self.tasks.insert((task, attempt), Task { phase, cause });
    }

    fn exit_task(&mut self, key: &(TaskId, Attempt), cause: ExitCause) {
        if let Some(state) = self.tasks.get_mut(key) {
            if state.phase != TaskPhase::Exited {
                (state.phase, state.cause) = (TaskPhase::Exited, Some(cause));
            }
        }
    }

    /// Advances each task to its next phase. Returns the tasks that have completed.
    pub fn advance_tasks(&mut self, behavior_of: impl Fn(&JobId) -> JobBehavior) -> Vec<TaskId> {
        let mut completed = Vec::new();
        for ((task, _), state) in &mut self.tasks {
            match state.phase {
                TaskPhase::Fetching => state.phase = TaskPhase::Running,
                TaskPhase::Running => {
                    let completes = behavior_of(&task.job).completes(task.index) && !self.is_faulty;
                    let cause = if completes { ExitCause::Done } else { ExitCause::Error };
                    if completes {
                        completed.push(task.clone());
                    }
                    (state.phase, state.cause) = (TaskPhase::Exited, Some(cause));
                }
                _ => {}
            }
        }
        completed
    }

    /// Returns the running tasks.
    pub fn running_tasks(&self) -> impl Iterator<Item = &TaskId> {
        let running = self.tasks.iter().filter(|(_, state)| state.phase == TaskPhase::Running);
        running.map(|((task, _), _)| task)
    }
}
