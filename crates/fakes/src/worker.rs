//! A machine's worker.

use crate::history::ExecutionHistory;
use crate::{json, now, sleep};
use corkfield_http::{serve, Client, ClientError, Limits, Network, Request, Response};
use corkfield_wire::worker::{
    DirectOrders, ExitCause, HeartbeatReply, Order, Redirect, TaskPhase, TaskStatus,
    WorkerHeartbeat, PATH_COMMANDS, PATH_HEARTBEAT,
};
use corkfield_wire::TaskId;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

#[derive(Debug, Clone)]
pub struct WorkerSettings {
    pub name: String,
    pub addr: SocketAddr,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub cpus: f64,
    pub heartbeat: Duration,
    pub lease: Duration,
    /// Reports again after each answer, as if something had changed, not only after changes: a
    /// scenario then takes less simulated time. A measure of load needs the protocol's own rate.
    pub heartbeats_after_answers: bool,
    /// All controllers, by name.
    pub controllers: Vec<(String, SocketAddr)>,
}

struct Task {
    attempt: u64,
    phase: TaskPhase,
    cause: Option<ExitCause>,
    until: Instant,
}

struct State {
    agent_epoch: u64,
    sequence: u64,
    term: u64,
    renewed: Instant,
    tasks: BTreeMap<TaskId, Task>,
    /// Attempts that were ever known in this session.
    notice: Option<f64>,
}

pub struct FakeWorker {
    pub settings: WorkerSettings,
    history: Rc<ExecutionHistory>,
    state: RefCell<State>,
    changed: Notify,
    hung: Cell<bool>,
    resumed: Notify,
    pub dead: Cell<bool>,
    /// Every task that it starts fails.
    pub sick: Cell<bool>,
    /// Its reports arrive, but neither answers nor commands reach it.
    pub deaf: Cell<bool>,
    /// It reaches no controller, while direct commands reach it.
    pub mute: Cell<bool>,
    /// Direct commands are not answered, and carried out once after this many seconds.
    pub command_delay_s: Cell<Option<f64>>,
    delayed_commands: Cell<u32>,
    /// The reports that it sent last, for copies that come late.
    sent: RefCell<VecDeque<Vec<u8>>>,
    unheard: Cell<u32>,
}

const KEPT_REPORTS: usize = 64;

impl FakeWorker {
    pub fn start(
        settings: WorkerSettings,
        network: Rc<dyn Network>,
        history: Rc<ExecutionHistory>,
    ) -> Rc<Self> {
        let state = State {
            agent_epoch: 1,
            sequence: 0,
            term: 0,
            renewed: now(),
            tasks: BTreeMap::new(),
            notice: None,
        };
        history.machine_up(&settings);
        let worker = Rc::new(Self {
            settings,
            history,
            state: RefCell::new(state),
            changed: Notify::new(),
            hung: Cell::new(false),
            resumed: Notify::new(),
            dead: Cell::new(false),
            sick: Cell::new(false),
            deaf: Cell::new(false),
            mute: Cell::new(false),
            command_delay_s: Cell::new(None),
            delayed_commands: Cell::new(0),
            sent: RefCell::default(),
            unheard: Cell::new(0),
        });
        tokio::task::spawn_local(worker.clone().listen(network.clone()));
        tokio::task::spawn_local(worker.clone().work());
        tokio::task::spawn_local(worker.clone().heartbeat(network));
        worker
    }

    pub fn set_hung(&self, hung: bool) {
        self.hung.set(hung);
        self.resumed.notify_waiters();
    }

    pub fn give_notice(&self, seconds: f64) {
        self.state.borrow_mut().notice = Some(seconds);
        self.changed.notify_one();
    }

    /// Reports that it sent, the oldest first, as they were.
    pub fn sent_heartbeats(&self) -> Vec<Vec<u8>> {
        self.sent.borrow().iter().cloned().collect()
    }

    /// Starts in answers that did not reach it.
    pub fn unheard_starts(&self) -> u32 {
        self.unheard.get()
    }

    /// The machine is back within an instant: its worker counts anew and knows nothing.
    pub fn restart(&self) {
        self.drop_tasks();
        let mut state = self.state.borrow_mut();
        (state.agent_epoch, state.sequence, state.term) = (1, 0, 0);
        state.renewed = now();
        self.changed.notify_one();
    }

    /// Held-up direct commands that were carried out in the end.
    pub fn delayed_commands(&self) -> u32 {
        self.delayed_commands.get()
    }

    pub fn agent_epoch(&self) -> u64 {
        self.state.borrow().agent_epoch
    }

    /// The machine is gone, with all that is on it.
    pub fn kill(&self) {
        self.dead.set(true);
        self.drop_tasks();
    }

    fn drop_tasks(&self) {
        for (task, _) in std::mem::take(&mut self.state.borrow_mut().tasks) {
            self.history.ends(&task, &self.settings.name);
        }
    }

    async fn awake(&self) {
        loop {
            let resumed = self.resumed.notified();
            if !self.hung.get() {
                return;
            }
            resumed.await;
        }
    }

    /// A lease that has run out takes all tasks with it.
    fn check_lease(&self) {
        if now() > self.state.borrow().renewed + self.settings.lease {
            self.drop_tasks();
            let mut state = self.state.borrow_mut();
            state.agent_epoch += 1;
            state.renewed = now();
            self.changed.notify_one();
        }
    }

    async fn work(self: Rc<Self>) {
        while !self.dead.get() {
            sleep(0.05).await;
            if self.hung.get() {
                // Tasks don't go on, but they are still there.
                let mut state = self.state.borrow_mut();
                for task in state.tasks.values_mut() {
                    task.until += Duration::from_millis(50);
                }
                continue;
            }
            self.check_lease();
            let mut changed = false;
            for (id, task) in &mut self.state.borrow_mut().tasks {
                let plan = self.history.plan(&id.job);
                let broken = self.sick.get() || plan.as_ref().is_some_and(|p| p.broken);
                if task.phase != TaskPhase::Exited {
                    self.history.check_cancelled(id);
                }
                if now() < task.until {
                    continue;
                }
                match task.phase {
                    TaskPhase::Fetching => {
                        task.phase = TaskPhase::Running;
                        let run_s = if broken { 0.2 } else { plan.map_or(1.0, |p| p.run_s) };
                        task.until = now() + Duration::from_secs_f64(run_s);
                        self.history.starts(id, &self.settings.name);
                    }
                    TaskPhase::Running | TaskPhase::Saving => {
                        let done = task.phase == TaskPhase::Running;
                        task.phase = TaskPhase::Exited;
                        task.cause = Some(match (done, broken) {
                            (true, false) => ExitCause::Done,
                            (true, true) => ExitCause::Error,
                            _ => ExitCause::Stopped,
                        });
                        self.history.ends(id, &self.settings.name);
                        if task.cause == Some(ExitCause::Done) {
                            self.history.completes(id);
                        }
                    }
                    _ => continue,
                }
                changed = true;
            }
            if changed {
                self.changed.notify_one();
            }
        }
    }

    fn execute(&self, orders: Vec<Order>) {
        if orders.is_empty() && !self.settings.heartbeats_after_answers {
            return;
        }
        let mut state = self.state.borrow_mut();
        for order in orders {
            match order {
                Order::Start { task, attempt } => {
                    let used: f64 = state
                        .tasks
                        .iter()
                        .filter(|(_, t)| t.phase != TaskPhase::Exited)
                        .filter_map(|(id, _)| self.history.plan(&id.job).map(|p| p.spec.cpus))
                        .sum();
                    let cause = match (state.tasks.get(&task), self.history.plan(&task.job)) {
                        (Some(known), _) if known.attempt == attempt => continue,
                        (Some(known), _) if known.phase != TaskPhase::Exited => {
                            Some(ExitCause::Busy)
                        }
                        (_, None) => Some(ExitCause::Unknown),
                        (_, Some(p)) if used + p.spec.cpus > self.settings.cpus => {
                            Some(ExitCause::NoRoom)
                        }
                        _ => None,
                    };
                    if cause == Some(ExitCause::Busy) {
                        continue;
                    }
                    let phase =
                        if cause.is_some() { TaskPhase::Exited } else { TaskPhase::Fetching };
                    let until = now() + Duration::from_millis(200);
                    state.tasks.insert(task, Task { attempt, phase, cause, until });
                }
                Order::Stop { task, attempt, .. } => {
                    if let Some(known) = state.tasks.get_mut(&task) {
                        if known.attempt == attempt && known.phase != TaskPhase::Exited {
                            known.phase = TaskPhase::Exited;
                            known.cause = Some(ExitCause::Stopped);
                            self.history.ends(&task, &self.settings.name);
                        }
                    }
                }
                Order::Forget { task, attempt } => {
                    let exited = |t: &Task| t.attempt == attempt && t.phase == TaskPhase::Exited;
                    if state.tasks.get(&task).is_some_and(exited) {
                        state.tasks.remove(&task);
                    }
                }
            }
        }
        self.changed.notify_one();
    }

    fn current(&self) -> WorkerHeartbeat {
        let mut state = self.state.borrow_mut();
        state.sequence += 1;
        let tasks = state.tasks.iter().map(|(task, t)| TaskStatus {
            task: task.clone(),
            attempt: t.attempt,
            phase: t.phase,
            cause: t.cause,
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
            notice_s: state.notice,
            tasks: tasks.collect(),
        }
    }

    async fn listen(self: Rc<Self>, network: Rc<dyn Network>) {
        let Ok(listener) = network.listen(self.settings.addr).await else { return };
        let worker = self.clone();
        let handler = move |request| worker.clone().handle(request);
        let serving = serve(listener, Limits::default(), Rc::new(handler));
        tokio::select! {
            () = serving => {}
            () = async { while !self.dead.get() { sleep(0.1).await } } => {}
        }
    }

    async fn handle(self: Rc<Self>, request: Request) -> Response {
        self.awake().await;
        if self.dead.get() || self.deaf.get() {
            return std::future::pending().await;
        }
        self.check_lease();
        if request.path() != PATH_COMMANDS {
            return json(200, &self.current());
        }
        let Ok(direct) = serde_json::from_slice::<DirectOrders>(&request.body) else {
            return Response::new(400, b"{}".to_vec());
        };
        if let Some(delay_s) = self.command_delay_s.get() {
            tokio::task::spawn_local(self.execute_late(direct, delay_s));
            return std::future::pending().await;
        }
        let status = if self.execute_direct(direct) { 200 } else { 409 };
        json(status, &self.current())
    }

    /// Carries out a held-up direct command, although its sender has long given it up.
    async fn execute_late(self: Rc<Self>, direct: DirectOrders, delay_s: f64) {
        sleep(delay_s).await;
        self.awake().await;
        if self.dead.get() {
            return;
        }
        self.check_lease();
        if self.execute_direct(direct) {
            self.delayed_commands.set(self.delayed_commands.get() + 1);
        }
    }

    /// Carries out a direct command; false if its term or its session is an old one.
    fn execute_direct(&self, direct: DirectOrders) -> bool {
        {
            let mut state = self.state.borrow_mut();
            if direct.term < state.term || direct.agent_epoch != state.agent_epoch {
                return false;
            }
            if direct.term > state.term {
                state.term = direct.term;
                self.changed.notify_one();
            }
        }
        self.execute(direct.orders);
        true
    }

    async fn heartbeat(self: Rc<Self>, network: Rc<dyn Network>) {
        let controllers = self.settings.controllers.clone();
        let clients: Vec<Client> = controllers
            .iter()
            .map(|(_, addr)| Client::new(network.clone(), *addr, 2, 1024 * 1024))
            .collect();
        let mut at = 0;
        while !self.dead.get() {
            self.awake().await;
            self.check_lease();
            if self.mute.get() {
                at = (at + 1) % controllers.len();
                sleep(1.0).await;
                continue;
            }
            let heartbeat = self.current();
            let sent = now();
            let body = serde_json::to_vec(&heartbeat).unwrap_or_default();
            let mut answer =
                clients[at].request("POST", PATH_HEARTBEAT, &body, Duration::from_secs(4)).await;
            {
                let mut kept = self.sent.borrow_mut();
                kept.push_back(body);
                if kept.len() > KEPT_REPORTS {
                    kept.pop_front();
                }
            }
            if self.deaf.get() {
                if let Ok(reply) = &answer {
                    let reply = serde_json::from_slice::<HeartbeatReply>(&reply.body);
                    let orders = reply.map(|reply| reply.orders).unwrap_or_default();
                    let starts = orders.iter().filter(|o| matches!(o, Order::Start { .. })).count();
                    self.unheard.set(self.unheard.get() + u32::try_from(starts).unwrap_or(0));
                }
                sleep((sent + Duration::from_secs(4) - now()).as_secs_f64()).await;
                answer = Err(ClientError::Timeout);
            }
            self.awake().await;
            self.check_lease();
            match answer {
                Ok(reply) if reply.status == 200 && now() < sent + Duration::from_secs(4) => {
                    let Ok(reply) = serde_json::from_slice::<HeartbeatReply>(&reply.body) else {
                        continue;
                    };
                    let valid = {
                        let state = self.state.borrow();
                        reply.term >= state.term && heartbeat.agent_epoch == state.agent_epoch
                    };
                    if valid && !self.dead.get() {
                        {
                            let mut state = self.state.borrow_mut();
                            if reply.term > state.term {
                                self.changed.notify_one();
                            }
                            state.term = reply.term;
                            state.renewed = state.renewed.max(sent);
                        }
                        self.execute(reply.orders);
                    }
                    sleep(0.5).await;
                    let left = self.settings.heartbeat.saturating_sub(Duration::from_millis(500));
                    let _ = tokio::time::timeout(left, self.changed.notified()).await;
                }
                Ok(reply) if reply.status == 421 => {
                    let redirect: Option<Redirect> = serde_json::from_slice(&reply.body).ok();
                    let name = redirect.and_then(|r| r.report_to);
                    let next = controllers.iter().position(|(n, _)| Some(n) == name.as_ref());
                    match next.filter(|next| *next != at) {
                        Some(next) => at = next,
                        None => {
                            at = (at + 1) % controllers.len();
                            sleep(1.0).await;
                        }
                    }
                }
                _ => {
                    at = (at + 1) % controllers.len();
                    sleep(1.0).await;
                }
            }
        }
    }
}
