//! A fake worker of a machine: it runs tasks, sends heartbeats to the controllers and executes
//! direct orders. Tests can make the worker hang, block its messages, or make its tasks fail.

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

/// The number of sent heartbeats that a worker keeps, so that tests can deliver late copies.
const MAX_KEPT_HEARTBEATS: usize = 64;

/// The time that a task takes to fetch its image, unless a test sets another time.
const DEFAULT_IMAGE_FETCH_DURATION: Duration = Duration::from_millis(200);

/// The settings of a worker.
#[derive(Debug, Clone)]
pub struct WorkerSettings {
    /// The name of the machine.
    pub name: MachineName,
    /// The address at which the worker receives direct orders.
    pub addr: SocketAddr,
    /// The name of the machine type.
    pub machine_type: String,
    /// The zone of the machine.
    pub zone: String,
    /// Whether the machine is a spot machine.
    pub spot: bool,
    /// The CPUs that tasks may use.
    pub cpus: f64,
    /// The memory that tasks may use, in GB.
    pub memory_gb: f64,
    /// The time between two heartbeats if nothing changes.
    pub heartbeat_interval: Duration,
    /// The time for which the worker keeps its tasks after it sent the last heartbeat that was
    /// answered.
    pub lease_duration: Duration,
    /// Whether the worker treats each reply as a change and sends the next heartbeat soon after it.
    /// Scenarios set this to take less simulated time; a load measurement must not, because it
    /// needs the rate of the protocol.
    pub heartbeat_after_each_reply: bool,
    /// The names and addresses of all controllers.
    pub controllers: Vec<(ControllerName, SocketAddr)>,
}

struct Task {
    attempt: Attempt,
    phase: TaskPhase,
    cause: Option<ExitCause>,
    /// The time at which the current phase ends.
    phase_ends_at: Instant,
}

/// The state of the worker. The tasks are dropped when the machine is killed or the worker's lease
/// expires.
struct WorkerState {
    agent_epoch: AgentEpoch,
    sequence: u64,
    /// The highest term that the worker has seen.
    term: Term,
    /// The start of the current lease period: the time at which the last answered heartbeat was
    /// sent.
    renewed_at: Instant,
    tasks: BTreeMap<TaskId, Task>,
    /// The time until the machine is terminated, in seconds, if an interruption notice was given.
    notice_s: Option<f64>,
}

impl WorkerState {
    fn new() -> Self {
        Self {
            agent_epoch: AgentEpoch::FIRST,
            sequence: 0,
            term: Term::default(),
            renewed_at: now(),
            tasks: BTreeMap::new(),
            notice_s: None,
        }
    }
}

/// A fake worker of a machine.
pub struct FakeWorker {
    /// The settings that the worker was started with.
    pub settings: WorkerSettings,
    history: Rc<ExecutionHistory>,
    state: RefCell<WorkerState>,
    /// Wakes the task that sends heartbeats when the state has changed, so that it sends the next
    /// heartbeat early.
    state_changed: Notify,
    is_hung: Cell<bool>,
    resumed: Notify,
    /// Whether the machine has been killed.
    pub is_dead: Cell<bool>,
    /// Whether every task that the worker starts fails.
    pub is_faulty: Cell<bool>,
    /// Whether replies and direct orders to the worker are lost. Its heartbeats still arrive.
    pub is_inbound_blocked: Cell<bool>,
    /// Whether the worker can reach no controller. Direct orders still reach the worker.
    pub is_outbound_blocked: Cell<bool>,
    /// Whether heartbeats are held back by the network. The worker records each heartbeat as sent,
    /// waits for a reply until the timeout, and tries the next controller.
    pub is_holding_heartbeats: Cell<bool>,
    /// The time that a task takes to fetch its image.
    pub image_fetch_duration: Cell<Duration>,
    /// If set, direct orders are executed after this many seconds and never answered.
    pub command_delay_s: Cell<Option<f64>>,
    delayed_commands: Cell<u32>,
    /// If set, a copy of each message of direct orders that was executed arrives again after this
    /// many seconds, also after a restart of the worker.
    pub command_copy_delay_s: Cell<Option<f64>>,
    command_copies: Cell<u32>,
    direct_starts: Cell<u32>,
    /// The number of restarts; identifies the current process.
    process: Cell<u32>,
    sent_heartbeats: RefCell<VecDeque<Vec<u8>>>,
    undelivered_starts: Cell<u32>,
}

impl FakeWorker {
    /// Starts a worker on the network of its machine.
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
            state_changed: Notify::new(),
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
            command_copy_delay_s: Cell::new(None),
            command_copies: Cell::new(0),
            direct_starts: Cell::new(0),
            process: Cell::new(0),
            sent_heartbeats: RefCell::default(),
            undelivered_starts: Cell::new(0),
        });
        tokio::task::spawn_local(worker.clone().serve_commands(network.clone()));
        tokio::task::spawn_local(worker.clone().run_tasks());
        tokio::task::spawn_local(worker.clone().send_heartbeats(network));
        worker
    }

    /// Makes the machine hang or resume. While the machine hangs, its tasks make no progress.
    pub fn set_hung(&self, is_hung: bool) {
        self.is_hung.set(is_hung);
        self.resumed.notify_waiters();
    }

    /// Gives an interruption notice: the machine will be terminated after this many seconds.
    pub fn give_interruption_notice(&self, seconds: f64) {
        self.state.borrow_mut().notice_s = Some(seconds);
        self.state_changed.notify_one();
    }

    /// Returns the bodies of the latest heartbeats that the worker sent, the oldest first.
    pub fn sent_heartbeats(&self) -> Vec<Vec<u8>> {
        self.sent_heartbeats.borrow().iter().cloned().collect()
    }

    /// Makes the worker see a term, as if a controller had sent it.
    pub fn see_term(&self, term: Term) {
        let mut state = self.state.borrow_mut();
        state.term = state.term.max(term);
    }

    /// Returns the highest term that the worker has seen.
    pub fn term(&self) -> Term {
        self.state.borrow().term
    }

    /// Returns whether the worker has any task, including exited tasks and tasks that are fetching
    /// their image.
    pub fn has_tasks(&self) -> bool {
        !self.state.borrow().tasks.is_empty()
    }

    /// Returns the number of start orders in replies that were lost.
    pub fn undelivered_starts(&self) -> u32 {
        self.undelivered_starts.get()
    }

    /// Restarts the machine without downtime: the worker loses its tasks, and its agent epoch,
    /// sequence number and term start from their initial values.
    pub fn restart(&self) {
        self.drop_tasks();
        let mut state = self.state.borrow_mut();
        (state.agent_epoch, state.sequence, state.term) = (AgentEpoch::FIRST, 0, Term::default());
        state.renewed_at = now();
        self.process.set(self.process.get() + 1);
        self.state_changed.notify_one();
    }

    /// Returns the number of delayed messages of direct orders that were executed.
    pub fn delayed_commands(&self) -> u32 {
        self.delayed_commands.get()
    }

    /// Returns the number of copies of direct orders that were executed.
    pub fn command_copies(&self) -> u32 {
        self.command_copies.get()
    }

    /// Returns the number of start orders that were sent as direct orders.
    pub fn direct_starts(&self) -> u32 {
        self.direct_starts.get()
    }

    /// Returns the agent epoch, which starts at 1 and increases with each expired lease.
    pub fn agent_epoch(&self) -> AgentEpoch {
        self.state.borrow().agent_epoch
    }

    /// Kills the machine with all its tasks.
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

    /// Drops all tasks and begins a new agent epoch if the lease has expired.
    fn check_lease(&self) {
        if now() > self.state.borrow().renewed_at + self.settings.lease_duration {
            self.drop_tasks();
            let mut state = self.state.borrow_mut();
            state.agent_epoch = state.agent_epoch.next();
            state.renewed_at = now();
            self.state_changed.notify_one();
        }
    }

    /// Returns the next heartbeat, with a new sequence number.
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
            interruption_notice_s: state.notice_s,
            tasks: tasks.collect(),
        }
    }
}
