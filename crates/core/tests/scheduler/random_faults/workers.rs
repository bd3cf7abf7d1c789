//! Stand-ins for workers: they run tasks, send heartbeats and carry out orders as the protocol
//! says.

use corkfield_core::MessageOrigin;
use corkfield_wire::worker::{
    ConnectionId, ExitCause, Order, TaskPhase, TaskStatus, WorkerHeartbeat,
};
use corkfield_wire::{AgentEpoch, Attempt, JobId, MachineName, TaskId, Term};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// How long a worker keeps its tasks after the heartbeat that was answered last.
pub const LEASE: Duration = Duration::from_secs(12);
/// An answer that takes longer is not taken.
const ANSWER_LIMIT: Duration = Duration::from_secs(4);
/// How many one-CPU tasks fit on a machine.
const PLACES: usize = 4;

/// What becomes of a job's tasks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fate {
    /// They complete.
    Completes,
    /// They fail on every machine.
    Fails,
    /// Workers know no such job.
    Unknown,
}

/// A task on a machine.
struct Task {
    phase: TaskPhase,
    cause: Option<ExitCause>,
}

/// A heartbeat that waits for its answer.
#[derive(Clone, Copy)]
pub struct Exchange {
    pub agent_epoch: AgentEpoch,
    pub sequence: u64,
    pub sent_at: Instant,
    /// It was answered; the worker does not know if the answer is lost.
    pub is_answered: bool,
}

/// A machine's worker.
pub struct Worker {
    name: MachineName,
    agent_epoch: AgentEpoch,
    sequence: u64,
    term: Term,
    /// The number of the connection that its heartbeats go over.
    connection: u64,
    tasks: BTreeMap<(TaskId, Attempt), Task>,
    renewed_at: Instant,
    /// The heartbeat that it sent last, while it waits for the answer.
    pub exchange: Option<Exchange>,
    /// It neither sends nor receives anything until then.
    pub silent_until: Instant,
    /// Every task that it starts fails.
    pub is_faulty: bool,
    /// The cloud has announced that it takes the machine back.
    pub has_notice: bool,
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
            exchange: None,
            silent_until: now,
            is_faulty: false,
            has_notice: false,
        }
    }

    /// The machine is back within an instant: its worker counts anew and knows nothing.
    pub fn restart(&mut self, now: Instant) {
        self.agent_epoch = AgentEpoch::FIRST;
        (self.sequence, self.term) = (0, Term::default());
        self.tasks.clear();
        self.renewed_at = now;
        self.give_up_exchange();
    }

    /// It waits for no answer any more, and closes its connection.
    pub fn give_up_exchange(&mut self) {
        self.exchange = None;
        self.connection += 1;
    }

    /// How its next heartbeat goes.
    pub fn origin(&self) -> MessageOrigin {
        let connection = ConnectionId { process: 1, number: self.connection };
        MessageOrigin::Heartbeat { connection: Some(connection) }
    }

    /// Messages that its present process has sent.
    pub fn messages_sent(&self) -> u64 {
        self.sequence
    }

    /// Whether it sends a heartbeat if it is its turn.
    pub fn may_send(&self, now: Instant) -> bool {
        now >= self.silent_until && self.exchange.is_none()
    }

    /// Ends its lease if that is over, and a heartbeat that was not answered in time.
    pub fn pass_time(&mut self, now: Instant) {
        if now.duration_since(self.renewed_at) > LEASE {
            self.tasks.clear();
            self.agent_epoch = self.agent_epoch.next();
            self.renewed_at = now;
        }
        if self.exchange.is_some_and(|sent| now.duration_since(sent.sent_at) > ANSWER_LIMIT) {
            self.give_up_exchange();
        }
    }

    /// The heartbeat that is to be answered; from now on it counts as answered.
    pub fn begin_answer(&mut self) -> Option<Exchange> {
        let sent = self.exchange.as_mut().filter(|sent| !sent.is_answered)?;
        sent.is_answered = true;
        Some(*sent)
    }

    /// Its next message, with a new number.
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
            termination_notice_s: self.has_notice.then_some(30.0),
            tasks: tasks.collect(),
        }
    }

    /// Takes the answer to the heartbeat that it waits for.
    pub fn take_answer(&mut self, term: Term, orders: Vec<Order>, fate: impl Fn(&JobId) -> Fate) {
        let Some(sent) = self.exchange.take() else { return };
        if term < self.term || sent.agent_epoch != self.agent_epoch {
            return;
        }
        self.term = term;
        self.renewed_at = self.renewed_at.max(sent.sent_at);
        self.execute(orders, fate);
    }

    /// Takes direct orders, unless their term or agent epoch is not the present one.
    pub fn take_direct_orders(&mut self, term: Term, agent_epoch: AgentEpoch, orders: Vec<Order>) {
        if term >= self.term && agent_epoch == self.agent_epoch {
            self.term = term;
            self.execute(orders, |_| Fate::Unknown);
        }
    }

    fn execute(&mut self, orders: Vec<Order>, fate: impl Fn(&JobId) -> Fate) {
        for order in orders {
            match order {
                Order::Start { task, attempt } => {
                    let job_fate = fate(&task.job);
                    self.start(task, attempt, job_fate);
                }
                Order::Stop { task, attempt, .. } => self.end(&(task, attempt), ExitCause::Stopped),
                Order::Forget { task, attempt } => {
                    let key = (task, attempt);
                    if self.tasks.get(&key).is_some_and(|state| state.phase == TaskPhase::Exited) {
                        self.tasks.remove(&key);
                    }
                }
            }
        }
    }

    fn start(&mut self, task: TaskId, attempt: Attempt, fate: Fate) {
        if self.tasks.contains_key(&(task.clone(), attempt)) {
            return;
        }
        let mut present = self.tasks.iter().filter(|(_, state)| state.phase != TaskPhase::Exited);
        let cause = if fate == Fate::Unknown {
            Some(ExitCause::NoSuchTask)
        } else if present.clone().any(|((other, _), _)| *other == task) {
            Some(ExitCause::OtherAttemptPresent)
        } else if present.by_ref().count() >= PLACES {
            Some(ExitCause::NoRoom)
        } else {
            None
        };
        let phase = if cause.is_some() { TaskPhase::Exited } else { TaskPhase::Fetching };
        self.tasks.insert((task, attempt), Task { phase, cause });
    }

    fn end(&mut self, key: &(TaskId, Attempt), cause: ExitCause) {
        if let Some(state) = self.tasks.get_mut(key) {
            if state.phase != TaskPhase::Exited {
                (state.phase, state.cause) = (TaskPhase::Exited, Some(cause));
            }
        }
    }

    /// Takes each task to its next phase.
    pub fn advance_tasks(&mut self, fate: impl Fn(&JobId) -> Fate) {
        for ((task, _), state) in &mut self.tasks {
            match state.phase {
                TaskPhase::Fetching => state.phase = TaskPhase::Running,
                TaskPhase::Running => {
                    let completes = fate(&task.job) == Fate::Completes && !self.is_faulty;
                    let cause = if completes { ExitCause::Done } else { ExitCause::Error };
                    (state.phase, state.cause) = (TaskPhase::Exited, Some(cause));
                }
                _ => {}
            }
        }
    }

    /// The tasks that run.
    pub fn running_tasks(&self) -> impl Iterator<Item = &TaskId> {
        let running = self.tasks.iter().filter(|(_, state)| state.phase == TaskPhase::Running);
        running.map(|((task, _), _)| task)
    }
}
