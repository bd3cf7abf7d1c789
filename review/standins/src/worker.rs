//! A stand-in worker, as the protocol page describes it: reports, orders, tokens and its lease.

use crate::lab::{free_addr, Random, Record};
use corkfield_http::{serve, Client, Limits, Network, Request, Response, Tcp};
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

const ANSWER_LIMIT: Duration = Duration::from_secs(4);
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(500);
const NEXT_NODE_DELAY: Duration = Duration::from_secs(1);
const TASK_CHECK: Duration = Duration::from_millis(20);
const FETCH: Duration = Duration::from_millis(100);
const FAILING_RUN: Duration = Duration::from_millis(100);

/// A job as workers know it: users upload its description.
#[derive(Clone)]
pub struct Plan {
    pub pieces: u32,
    pub vcpus: f64,
    pub mem_gb: f64,
    /// When a task that started at the given time ends.
    pub ends_at: Rc<dyn Fn(u32, Instant) -> Instant>,
}

/// What the machines ran, for the checks.
#[derive(Default)]
pub struct Ledger {
    pub plans: RefCell<BTreeMap<String, Plan>>,
    /// Tasks that completed, by job.
    pub completed: RefCell<BTreeMap<String, BTreeSet<u32>>>,
    /// The machine that a task is on, from when it has its image.
    pub on_machine: RefCell<BTreeMap<(String, u32), String>>,
    /// Tasks that started on one machine while they were on another.
    pub ran_twice: RefCell<Vec<String>>,
    pub starts: RefCell<BTreeMap<String, u32>>,
    /// Machines on which tasks of a job failed, by job.
    pub failed_on: RefCell<BTreeMap<String, BTreeSet<String>>>,
}

impl Ledger {
    pub fn completed_count(&self, job: &str) -> usize {
        self.completed.borrow().get(job).map_or(0, BTreeSet::len)
    }

    pub fn start_count(&self, job: &str) -> u32 {
        self.starts.borrow().get(job).copied().unwrap_or(0)
    }

    /// Returns on how many machines tasks of the job failed.
    pub fn failed_machines(&self, job: &str) -> usize {
        self.failed_on.borrow().get(job).map_or(0, BTreeSet::len)
    }
}

#[derive(Clone)]
pub struct WorkerSettings {
    pub flavour: &'static str,
    pub site: &'static str,
    pub cpus: f64,
    pub mem_gb: f64,
    pub report: Duration,
    pub lease: Duration,
    pub nodes: Vec<(String, SocketAddr)>,
}

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Fetching,
    Running,
    Exited(&'static str),
}

struct Task {
    phase: Phase,
    /// When the phase began.
    since: Instant,
}

struct State {
    tenure: u64,
    serial: u64,
    epoch: u64,
    renewed_at: Instant,
    /// By job, task and attempt.
    tasks: BTreeMap<(String, u32, u64), Task>,
}

pub struct Worker {
    pub host: String,
    pub addr: SocketAddr,
    pub settings: WorkerSettings,
    ledger: Rc<Ledger>,
    record: Rc<Record>,
    state: RefCell<State>,
    changed: Notify,
    gone: Cell<bool>,
    /// The controller whose 200 was accepted last, and when, in seconds of the record.
    last_answer: RefCell<Option<(String, f64)>>,
    /// Whether every task that the worker starts fails.
    pub is_sick: Cell<bool>,
    /// Whether the machine hangs: it executes nothing, and may go on within its lease.
    pub is_hung: Cell<bool>,
    random: Random,
}

impl Worker {
    pub fn start(
        host: String,
        settings: WorkerSettings,
        ledger: Rc<Ledger>,
        record: Rc<Record>,
        seed: u64,
    ) -> Rc<Self> {
        let worker = Rc::new(Self {
            host,
            addr: free_addr(),
            settings,
            ledger,
            record,
            state: RefCell::new(State {
                tenure: 1,
                serial: 0,
                epoch: 0,
                renewed_at: Instant::now(),
                tasks: BTreeMap::new(),
            }),
            changed: Notify::new(),
            gone: Cell::new(false),
            last_answer: RefCell::default(),
            is_sick: Cell::new(false),
            is_hung: Cell::new(false),
            random: Random::new(seed),
        });
        tokio::task::spawn_local(worker.clone().serve_commands());
        tokio::task::spawn_local(worker.clone().run_tasks());
        tokio::task::spawn_local(worker.clone().send_reports());
        worker
    }

    /// The cloud deletes the machine, with all that is on it.
    pub fn delete(&self) {
        self.gone.set(true);
        self.drop_tasks("machine deleted");
    }

    pub fn tenure(&self) -> u64 {
        self.state.borrow().tenure
    }

    pub fn last_answer(&self) -> Option<(String, f64)> {
        self.last_answer.borrow().clone()
    }

    pub fn is_gone(&self) -> bool {
        self.gone.get()
    }

    /// Returns the CPUs that no task uses; a task that fetches its image counts.
    pub fn free_cpus(&self) -> f64 {
        self.settings.cpus - self.used().0
    }

    pub fn free_mem_gb(&self) -> f64 {
        self.settings.mem_gb - self.used().1
    }

    fn used(&self) -> (f64, f64) {
        let (state, plans) = (self.state.borrow(), self.ledger.plans.borrow());
        let live = state.tasks.iter().filter(|(_, task)| !matches!(task.phase, Phase::Exited(_)));
        let amounts = live.filter_map(|((job, _, _), _)| plans.get(job));
        amounts.fold((0.0, 0.0), |sum, plan| (sum.0 + plan.vcpus, sum.1 + plan.mem_gb))
    }

    fn drop_tasks(&self, why: &str) {
        let tasks = std::mem::take(&mut self.state.borrow_mut().tasks);
        for ((job, piece, attempt), task) in tasks {
            if !matches!(task.phase, Phase::Exited(_)) {
                self.record
                    .write(&format!("{}: {job}/{piece} try {attempt} ends: {why}", self.host));
                self.leave(&job, piece);
            }
        }
    }

    fn leave(&self, job: &str, piece: u32) {
        let key = (job.to_owned(), piece);
        let mut on_machine = self.ledger.on_machine.borrow_mut();
        if on_machine.get(&key).is_some_and(|host| *host == self.host) {
            on_machine.remove(&key);
        }
    }

    fn check_lease(&self) {
        if self.state.borrow().renewed_at.elapsed() > self.settings.lease {
            self.record.write(&format!("{}: lease ended", self.host));
            self.drop_tasks("lease ended");
            let mut state = self.state.borrow_mut();
            state.tenure += 1;
            state.renewed_at = Instant::now();
            self.changed.notify_one();
        }
    }

    async fn wait_while_hung(&self) {
        while self.is_hung.get() && !self.gone.get() {
            tokio::time::sleep(TASK_CHECK).await;
        }
    }

    async fn run_tasks(self: Rc<Self>) {
        while !self.gone.get() {
            tokio::time::sleep(TASK_CHECK).await;
            if self.is_hung.get() {
                for task in self.state.borrow_mut().tasks.values_mut() {
                    task.since += TASK_CHECK;
                }
                continue;
            }
            self.check_lease();
            let due: Vec<(String, u32, u64)> = {
                let (now, state) = (Instant::now(), self.state.borrow());
                let due =
                    state.tasks.iter().filter(|(key, task)| self.phase_end(key, task) <= Some(now));
                let due = due.filter(|(_, task)| !matches!(task.phase, Phase::Exited(_)));
                due.map(|(key, _)| key.clone()).collect()
            };
            for key in due {
                self.advance(&key);
                self.changed.notify_one();
            }
        }
    }

    /// Returns when the current phase of a task ends; `None` for an exited task.
    fn phase_end(&self, key: &(String, u32, u64), task: &Task) -> Option<Instant> {
        match task.phase {
            Phase::Fetching => Some(task.since + FETCH),
            Phase::Running if self.is_sick.get() => Some(task.since + FAILING_RUN),
            Phase::Running => {
                let plans = self.ledger.plans.borrow();
                Some(plans.get(&key.0).map_or(task.since, |p| (p.ends_at)(key.1, task.since)))
            }
            Phase::Exited(_) => None,
        }
    }

    fn advance(&self, key: &(String, u32, u64)) {
        let (job, piece, attempt) = key;
        let mut state = self.state.borrow_mut();
        let Some(task) = state.tasks.get_mut(key) else { return };
        match task.phase {
            Phase::Fetching => {
                task.phase = Phase::Running;
                task.since = Instant::now();
                let place = (job.clone(), *piece);
                let before = self.ledger.on_machine.borrow_mut().insert(place, self.host.clone());
                if let Some(other) = before {
                    let text = format!("{job}/{piece} starts on {} while on {other}", self.host);
                    self.record.say(&text);
                    self.ledger.ran_twice.borrow_mut().push(text);
                }
                *self.ledger.starts.borrow_mut().entry(job.clone()).or_default() += 1;
                self.record.write(&format!("{}: {job}/{piece} try {attempt} runs", self.host));
            }
            Phase::Running => {
                let cause = if self.is_sick.get() { "error" } else { "done" };
                task.phase = Phase::Exited(cause);
                self.leave(job, *piece);
                if cause == "done" {
                    let mut completed = self.ledger.completed.borrow_mut();
                    completed.entry(job.clone()).or_default().insert(*piece);
                } else {
                    let mut failed_on = self.ledger.failed_on.borrow_mut();
                    failed_on.entry(job.clone()).or_default().insert(self.host.clone());
                }
                self.record.write(&format!("{}: {job}/{piece} try {attempt} {cause}", self.host));
            }
            Phase::Exited(_) => {}
        }
    }

    fn next_report(&self) -> Value {
        let mut state = self.state.borrow_mut();
        state.serial += 1;
        let pieces = state.tasks.iter().map(|((job, piece, attempt), task)| {
            let piece = format!("{job}/{piece}");
            match task.phase {
                Phase::Fetching => json!({"piece": piece, "try": attempt, "status": "fetching"}),
                Phase::Running => json!({"piece": piece, "try": attempt, "status": "running"}),
                Phase::Exited(cause) => {
                    json!({"piece": piece, "try": attempt, "status": "exited", "cause": cause})
                }
            }
        });
        let pieces: Vec<Value> = pieces.collect();
        json!({
            "host": self.host, "addr": self.addr.to_string(), "flavour": self.settings.flavour,
            "site": self.settings.site, "loaners": false, "tenure": state.tenure,
            "serial": state.serial, "epoch": state.epoch, "warning_s": null, "pieces": pieces
        })
    }

    fn execute(&self, orders: &Value) {
        for order in orders.as_array().into_iter().flatten() {
            let Some((job, piece)) = order["piece"].as_str().and_then(|p| p.split_once('/')) else {
                continue;
            };
            let Ok(piece) = piece.parse::<u32>() else { continue };
            let key = (job.to_owned(), piece, order["try"].as_u64().unwrap_or(0));
            match order["verb"].as_str() {
                Some("launch") => self.launch(key),
                Some("kill") => self.stop(&key),
                Some("reap") => {
                    let mut state = self.state.borrow_mut();
                    let is_exited =
                        state.tasks.get(&key).is_some_and(|t| matches!(t.phase, Phase::Exited(_)));
                    if is_exited {
                        state.tasks.remove(&key);
                    }
                }
                _ => {}
            }
            self.changed.notify_one();
        }
    }

    fn launch(&self, key: (String, u32, u64)) {
        if self.state.borrow().tasks.contains_key(&key) {
            return;
        }
        let plan = self.ledger.plans.borrow().get(&key.0).cloned();
        let has_other_attempt = self.state.borrow().tasks.iter().any(|(other, task)| {
            (&other.0, other.1) == (&key.0, key.1) && !matches!(task.phase, Phase::Exited(_))
        });
        let phase = match plan {
            Some(plan) if key.1 < plan.pieces => {
                if has_other_attempt {
                    Phase::Exited("in_use")
                } else if plan.vcpus > self.free_cpus() + 1e-9
                    || plan.mem_gb > self.free_mem_gb() + 1e-9
                {
                    Phase::Exited("no_room")
                } else {
                    Phase::Fetching
                }
            }
            _ => Phase::Exited("no_such"),
        };
        if let Phase::Exited(cause) = phase {
            self.record.write(&format!("{}: {}/{} refused: {cause}", self.host, key.0, key.1));
        }
        self.state.borrow_mut().tasks.insert(key, Task { phase, since: Instant::now() });
    }

    fn stop(&self, key: &(String, u32, u64)) {
        let mut state = self.state.borrow_mut();
        let Some(task) = state.tasks.get_mut(key) else { return };
        if !matches!(task.phase, Phase::Exited(_)) {
            task.phase = Phase::Exited("halted");
            self.leave(&key.0, key.1);
            self.record.write(&format!("{}: {}/{} try {} halted", self.host, key.0, key.1, key.2));
        }
    }

    async fn serve_commands(self: Rc<Self>) {
        let Ok(listener) = Tcp.listen(self.addr).await else { return };
        let worker = self.clone();
        let handler = move |request| worker.clone().handle(request);
        let gone = async {
            while !self.gone.get() {
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        };
        tokio::select! {
            () = serve(listener, Limits::default(), Rc::new(handler)) => {}
            () = gone => {}
        }
    }

    async fn handle(self: Rc<Self>, request: Request) -> Response {
        self.wait_while_hung().await;
        if self.gone.get() {
            return std::future::pending().await;
        }
        self.check_lease();
        let mut status = 200;
        if request.path() == "/commands" {
            let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
            let (Some(epoch), Some(tenure)) = (body["epoch"].as_u64(), body["tenure"].as_u64())
            else {
                return Response::new(400, b"{}".to_vec());
            };
            let is_valid = {
                let mut state = self.state.borrow_mut();
                let is_valid = epoch >= state.epoch && tenure == state.tenure;
                if is_valid && epoch > state.epoch {
                    state.epoch = epoch;
                    self.changed.notify_one();
                }
                is_valid
            };
            if is_valid {
                self.execute(&body["orders"]);
            } else {
                status = 409;
            }
        }
        Response::new(status, self.next_report().to_string().into_bytes())
    }

    async fn send_reports(self: Rc<Self>) {
        let mut node = 0;
        let mut client = self.client(node);
        while !self.gone.get() {
            self.wait_while_hung().await;
            self.check_lease();
            let (sent_at, tenure) = (Instant::now(), self.state.borrow().tenure);
            let body = self.next_report().to_string().into_bytes();
            let answer = client.request("POST", "/agent/beat", &body, ANSWER_LIMIT).await;
            self.wait_while_hung().await;
            self.check_lease();
            match answer {
                Ok(answer) if answer.status == 200 => {
                    let reply: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
                    if self.accept(&reply, sent_at, tenure) {
                        let node = self.settings.nodes[node].0.clone();
                        *self.last_answer.borrow_mut() = Some((node, self.record.elapsed_s()));
                    }
                    let wait = self.settings.report.mul_f64(0.75 + 0.5 * self.random.unit());
                    tokio::time::sleep(MIN_REPORT_INTERVAL).await;
                    let rest = wait.saturating_sub(MIN_REPORT_INTERVAL);
                    let _ = tokio::time::timeout(rest, self.changed.notified()).await;
                    continue;
                }
                Ok(answer) if answer.status == 421 => {
                    let reply: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
                    let upstream = reply["upstream"].as_str();
                    let next =
                        self.settings.nodes.iter().position(|n| Some(n.0.as_str()) == upstream);
                    match next.filter(|next| *next != node) {
                        Some(next) => node = next,
                        None => {
                            tokio::time::sleep(NEXT_NODE_DELAY).await;
                            node = (node + 1) % self.settings.nodes.len();
                        }
                    }
                }
                _ => {
                    tokio::time::sleep(NEXT_NODE_DELAY).await;
                    node = (node + 1) % self.settings.nodes.len();
                }
            }
            client = self.client(node);
        }
    }

    fn client(&self, node: usize) -> Client {
        Client::new(Rc::new(Tcp), self.settings.nodes[node].1, 1, 1024 * 1024)
    }

    fn accept(&self, reply: &Value, sent_at: Instant, tenure: u64) -> bool {
        {
            let mut state = self.state.borrow_mut();
            let Some(epoch) = reply["epoch"].as_u64() else { return false };
            if epoch < state.epoch || tenure != state.tenure || sent_at.elapsed() > ANSWER_LIMIT {
                return false;
            }
            if epoch > state.epoch {
                state.epoch = epoch;
                self.changed.notify_one();
            }
            state.renewed_at = state.renewed_at.max(sent_at);
        }
        self.execute(&reply["orders"]);
        true
    }
}
