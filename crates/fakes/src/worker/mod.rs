//! A stand-in for a machine's worker: it runs tasks, heartbeats to the controllers, and takes
//! direct orders. Tests make it hang, cut it off, or let it fail.

mod commands;
mod execution;
mod heartbeats;

use crate::history::ExecutionHistory;
use crate::{now, sleep};
use corkfield_http::Network;
use corkfield_wire::worker::{ExitCause, TaskPhase, TaskStatus, WorkerHeartbeat};
use corkfield_wire::{AgentEpoch, Attempt, ControllerName, MachineName, TaskId, Term};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// How many of its heartbeats a worker keeps for copies that come late.
const KEPT_HEARTBEATS: usize = 64;

/// How long a task waits for its image unless a test sets another time.
const DEFAULT_IMAGE_FETCH_DURATION: Duration = Duration::from_millis(200);

/// What a worker is started with.
#[derive(Debug, Clone)]
pub struct WorkerSettings {
    /// The machine by name.
    pub name: MachineName,
    /// Where it takes direct orders.
    pub addr: SocketAddr,
    /// Its machine type by name.
    pub machine_type: String,
    /// The zone that it is in.
    pub zone: String,
    /// It is a spot machine.
    pub spot: bool,
    /// How many CPUs its tasks may use.
    pub cpus: f64,
    /// The time between two heartbeats without changes.
    pub heartbeat_interval: Duration,
    /// How long it keeps its tasks after the heartbeat that was answered last.
    pub lease_duration: Duration,
    /// Heartbeats again after each answer, as if something had changed, not only after changes: a
    /// scenario then takes less simulated time. A measure of load needs the protocol's own rate.
    pub heartbeat_after_each_reply: bool,
    /// All controllers, by name.
    pub controllers: Vec<(ControllerName, SocketAddr)>,
}

struct Task {
    attempt: Attempt,
    phase: TaskPhase,
    cause: Option<ExitCause>,
    /// When its present phase ends.
    until: Instant,
}

/// What the worker knows; it loses its tasks when its machine is gone or its lease expires.
struct WorkerState {
    agent_epoch: AgentEpoch,
    sequence: u64,
    /// The highest term it has seen.
    term: Term,
    /// When its lease was renewed: the moment it sent the heartbeat that was answered last.
    renewed: Instant,
    tasks: BTreeMap<TaskId, Task>,
    /// Seconds until its machine is taken away, if it was given notice.
    notice_s: Option<f64>,
}

impl WorkerState {
    fn new() -> Self {
        Self {
            agent_epoch: AgentEpoch::FIRST,
            sequence: 0,
            term: Term::default(),
            renewed: now(),
            tasks: BTreeMap::new(),
            notice_s: None,
        }
    }
}

/// A machine's worker.
pub struct FakeWorker {
    /// What it was started with.
    pub settings: WorkerSettings,
    history: Rc<ExecutionHistory>,
    state: RefCell<WorkerState>,
    /// Something has changed that the next heartbeat tells.
    changed: Notify,
    is_hung: Cell<bool>,
    resumed: Notify,
    /// Its machine is gone.
    pub is_dead: Cell<bool>,
    /// Every task that it starts fails.
    pub is_faulty: Cell<bool>,
    /// Its heartbeats arrive, but neither replies nor direct orders reach it.
    pub is_inbound_blocked: Cell<bool>,
    /// It reaches no controller, while direct orders reach it.
    pub is_outbound_blocked: Cell<bool>,
    /// Its heartbeats are held back on their way: they are kept, and it gives them up one by one.
    pub is_holding_heartbeats: Cell<bool>,
    /// How long a task waits for its image.
    pub image_fetch_duration: Cell<Duration>,
    /// Direct orders are not answered, and executed once after this many seconds.
    pub command_delay_s: Cell<Option<f64>>,
    delayed_commands: Cell<u32>,
    /// Counts its processes: one more with each restart.
    process: Cell<u32>,
    sent_heartbeats: RefCell<VecDeque<Vec<u8>>>,
    undelivered_starts: Cell<u32>,
}

impl FakeWorker {
    /// Starts a worker on its machine's network.
    pub fn start(
        settings: WorkerSettings,
        network: Rc<dyn Network>,
        history: Rc<ExecutionHistory>,
    ) -> Rc<Self> {
        history.record_machine(&settings);
        let worker = Rc::new(Self {
            settings,
            history,
            state: RefCell::new(WorkerState::new()),
            changed: Notify::new(),
            is_hung: Cell::new(false),
            resumed: Notify::new(),
            is_dead: Cell::new(false),
            is_faulty: Cell::new(false),
            is_inbound_blocked: Cell::new(false),
            is_outbound_blocked: Cell::new(false),
            is_holding_heartbeats: Cell::new(false),
            image_fetch_duration: Cell::new(DEFAULT_IMAGE_FETCH_DURATION),
            command_delay_s: Cell::new(None),
            delayed_commands: Cell::new(0),
            process: Cell::new(0),
            sent_heartbeats: RefCell::default(),
            undelivered_starts: Cell::new(0),
        });
        tokio::task::spawn_local(worker.clone().serve_commands(network.clone()));
        tokio::task::spawn_local(worker.clone().run_tasks());
        tokio::task::spawn_local(worker.clone().send_heartbeats(network));
        worker
    }

    /// Lets the machine hang, or go on. While it hangs, its tasks stand still as well.
    pub fn set_hung(&self, hung: bool) {
        self.is_hung.set(hung);
        self.resumed.notify_waiters();
    }

    /// Gives notice that the machine will be taken away.
    pub fn give_termination_notice(&self, seconds: f64) {
        self.state.borrow_mut().notice_s = Some(seconds);
        self.changed.notify_one();
    }

    /// Heartbeats that it sent, the oldest first, as they were.
    pub fn sent_heartbeats(&self) -> Vec<Vec<u8>> {
        self.sent_heartbeats.borrow().iter().cloned().collect()
    }

    /// The highest term that it has seen.
    pub fn term(&self) -> Term {
        self.state.borrow().term
    }

    /// Whether any task is on it, be it only fetching its image.
    pub fn has_tasks(&self) -> bool {
        !self.state.borrow().tasks.is_empty()
    }

    /// Starts in replies that did not reach it.
    pub fn undelivered_starts(&self) -> u32 {
        self.undelivered_starts.get()
    }

    /// The machine is back within an instant: its worker counts anew and knows nothing.
    pub fn restart(&self) {
        self.drop_tasks();
        let mut state = self.state.borrow_mut();
        (state.agent_epoch, state.sequence, state.term) = (AgentEpoch::FIRST, 0, Term::default());
        state.renewed = now();
        self.process.set(self.process.get() + 1);
        self.changed.notify_one();
    }

    /// Delayed direct orders that were executed in the end.
    pub fn delayed_commands(&self) -> u32 {
        self.delayed_commands.get()
    }

    /// Its agent epoch: 1, and one more after each lease that expired.
    pub fn agent_epoch(&self) -> AgentEpoch {
        self.state.borrow().agent_epoch
    }

    /// The machine is gone, with all that is on it.
    pub fn kill(&self) {
        self.is_dead.set(true);
        self.drop_tasks();
    }

    fn drop_tasks(&self) {
        for (task, _) in std::mem::take(&mut self.state.borrow_mut().tasks) {
            self.history.record_end(&task, self.settings.name.as_str());
        }
    }

    async fn wait_while_hung(&self) {
        loop {
            let resumed = self.resumed.notified();
            if !self.is_hung.get() {
                return;
            }
            resumed.await;
        }
    }

    async fn wait_until_dead(&self) {
        while !self.is_dead.get() {
            sleep(0.1).await;
        }
    }

    /// A lease that has expired takes all tasks with it, and a new agent epoch begins.
    fn check_lease(&self) {
        if now() > self.state.borrow().renewed + self.settings.lease_duration {
            self.drop_tasks();
            let mut state = self.state.borrow_mut();
            state.agent_epoch = state.agent_epoch.next();
            state.renewed = now();
            self.changed.notify_one();
        }
    }

    /// The next heartbeat, with a new sequence number.
    fn next_heartbeat(&self) -> WorkerHeartbeat {
        let mut state = self.state.borrow_mut();
        state.sequence += 1;
        let tasks = state.tasks.iter().map(|(id, task)| TaskStatus {
            task: id.clone(),
            attempt: task.attempt,
            phase: task.phase,
            cause: task.cause,
            saved: None,
        });
        WorkerHeartbeat {
            machine: self.settings.name.clone(),
            addr: self.settings.addr.to_string(),
            machine_type: self.settings.machine_type.clone(),
            zone: self.settings.zone.clone(),
            spot: self.settings.spot,
            agent_epoch: state.agent_epoch,
            sequence: state.sequence,
            term: state.term,
            notice_s: state.notice_s,
            tasks: tasks.collect(),
        }
    }
}
