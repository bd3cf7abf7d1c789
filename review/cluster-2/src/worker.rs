//! A stand-in for the worker of one machine, after the protocol page.

use crate::http1::{exchange, Answer};
use crate::world::{split_piece, Job, World};
use corkfield_http::net::LocalFuture;
use corkfield_http::{serve, Limits, Listener, Request, Response, Stream};
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
const RETRY_PAUSE: Duration = Duration::from_secs(1);
const MIN_REPORT_PAUSE: Duration = Duration::from_millis(500);
const STEP: Duration = Duration::from_millis(50);
const FETCH_S: f64 = 0.3;
const FAILING_RUN_S: f64 = 0.2;

/// What a worker knows of its machine and of the controllers.
#[derive(Debug, Clone)]
pub struct Machine {
    pub name: String,
    pub flavour: String,
    pub site: String,
    pub loaners: bool,
    pub vcpus: f64,
    pub mem_gb: f64,
    pub report_s: f64,
    pub lease_s: f64,
    /// Names and addresses of all controllers.
    pub controllers: Vec<(String, SocketAddr)>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Fetching,
    Running,
    Saving,
    Exited,
}

impl Phase {
    fn name(self) -> &'static str {
        match self {
            Self::Fetching => "fetching",
            Self::Running => "running",
            Self::Saving => "saving",
            Self::Exited => "exited",
        }
    }
}

#[derive(Debug, Clone)]
struct Task {
    phase: Phase,
    ends_at: Instant,
    will_fail: bool,
    cause: &'static str,
    stored: bool,
}

type Key = (String, u64);

struct State {
    tenure: u64,
    serial: u64,
    epoch: u64,
    renewed_at: Instant,
    tasks: BTreeMap<Key, Task>,
}

/// The worker.
pub struct Worker {
    pub machine: Machine,
    pub addr: SocketAddr,
    world: Rc<World>,
    state: RefCell<State>,
    changed: Notify,
    pub is_gone: Cell<bool>,
    is_hung: Cell<bool>,
    /// Whether answers and direct commands to the worker are lost.
    pub is_deaf: Cell<bool>,
    /// Whether the worker reaches no controller.
    pub is_mute: Cell<bool>,
    /// If set, direct commands are held up for this time and not answered.
    pub command_delay: Cell<Option<Duration>>,
    /// If set, copies of the reports arrive again at all controllers after this time.
    pub copy_delay: Cell<Option<Duration>>,
    /// If set, copies of the reports are kept for [`Self::deliver_kept_reports`].
    pub keeps_reports: Cell<bool>,
    kept_reports: RefCell<Vec<Vec<u8>>>,
    /// The controllers that the worker reaches and that reach it; `None`: all.
    reachable: RefCell<Option<Vec<SocketAddr>>>,
    process: Cell<u32>,
    /// How many times as long as usual the tasks run that start now.
    pub slowdown: Cell<f64>,
    /// Whether every task that starts now fails.
    pub is_faulty: Cell<bool>,
}

struct Bound(TcpListener);

impl Listener for Bound {
    fn accept(&self) -> LocalFuture<'_, std::io::Result<Stream>> {
        Box::pin(async move { self.0.accept().await.map(|(stream, _)| Box::new(stream) as Stream) })
    }
}

/// Serves HTTP on a listener that is bound already.
pub async fn serve_bound<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request) -> F + 'static,
    F: std::future::Future<Output = Response> + 'static,
{
    let limits = Limits { max_connections: 4096, ..Limits::default() };
    serve(Box::new(Bound(listener)), limits, Rc::new(handler)).await;
}

pub fn json_response(status: u16, body: &Value) -> Response {
    Response::new(status, body.to_string().into_bytes())
}

impl Worker {
    pub async fn start(machine: Machine, world: Rc<World>) -> std::io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let state = State {
            tenure: 1,
            serial: 0,
            epoch: 0,
            renewed_at: Instant::now(),
            tasks: BTreeMap::new(),
        };
        let worker = Rc::new(Self {
            machine,
            addr,
            world,
            state: RefCell::new(state),
            changed: Notify::new(),
            is_gone: Cell::new(false),
            is_hung: Cell::new(false),
            is_deaf: Cell::new(false),
            is_mute: Cell::new(false),
            command_delay: Cell::new(None),
            copy_delay: Cell::new(None),
            keeps_reports: Cell::new(false),
            kept_reports: RefCell::default(),
            reachable: RefCell::default(),
            process: Cell::new(0),
            slowdown: Cell::new(1.0),
            is_faulty: Cell::new(false),
        });
        let properties = json!({"site": worker.machine.site, "flavour": worker.machine.flavour,
            "loaners": worker.machine.loaners});
        worker.world.add_machine(&worker.machine.name, properties);
        let serving = worker.clone();
        tokio::task::spawn_local(async move {
            let handled = serving.clone();
            let handler = move |request| handled.clone().answer(request);
            tokio::select! {
                () = serve_bound(listener, handler) => {}
                () = serving.wait_until_gone() => {}
            }
        });
        tokio::task::spawn_local(worker.clone().run_tasks());
        tokio::task::spawn_local(worker.clone().report());
        Ok(worker)
    }

    async fn wait_until_gone(&self) {
        while !self.is_gone.get() {
            tokio::time::sleep(STEP).await;
        }
    }

    /// The machine is deleted, with all that is on it.
    pub fn delete(&self) {
        self.is_gone.set(true);
        self.drop_tasks("machine gone");
    }

    /// Makes the machine hang, or go on.
    pub fn set_hung(&self, is_hung: bool) {
        self.world.record.note(format!("{}: hung {is_hung}", self.machine.name));
        self.is_hung.set(is_hung);
    }

    /// The worker's process restarts at once, and numbers its messages from the beginning.
    pub fn restart(&self) {
        self.world.record.note(format!("{}: restarted", self.machine.name));
        self.drop_tasks("restarted");
        let mut state = self.state.borrow_mut();
        (state.tenure, state.serial, state.epoch) = (1, 0, 0);
        state.renewed_at = Instant::now();
        self.process.set(self.process.get() + 1);
        drop(state);
        self.changed.notify_one();
    }

    /// Returns whether the machine has room for one more task of the job.
    pub fn has_room_for(&self, job: &Job) -> bool {
        let state = self.state.borrow();
        let live = state.tasks.iter().filter(|(_, task)| task.phase != Phase::Exited);
        let jobs: Vec<Job> =
            live.filter_map(|(key, _)| self.world.job(&split_piece(&key.0).0)).collect();
        let used = |field: &str| jobs.iter().map(|on| on.number(field)).sum::<f64>();
        !self.is_gone.get()
            && used("vcpus") + job.number("vcpus") <= self.machine.vcpus
            && used("mem_gb") + job.number("mem_gb") <= self.machine.mem_gb
    }

    pub fn task_count(&self) -> usize {
        self.state.borrow().tasks.len()
    }

    fn drop_tasks(&self, why: &str) {
        let tasks = std::mem::take(&mut self.state.borrow_mut().tasks);
        for ((piece, _), task) in tasks {
            if matches!(task.phase, Phase::Running | Phase::Saving) {
                self.world.on_end(&piece, &self.machine.name, why);
            }
        }
    }

    fn check_lease(&self) {
        let lease = Duration::from_secs_f64(self.machine.lease_s);
        if self.state.borrow().renewed_at.elapsed() <= lease {
            return;
        }
        let held = self.task_count();
        self.world
            .record
            .note(format!("{}: lease expired, {held} tasks killed", self.machine.name));
        self.drop_tasks("lease expired");
        let mut state = self.state.borrow_mut();
        state.tenure += 1;
        state.renewed_at = Instant::now();
        drop(state);
        self.changed.notify_one();
    }

    /// Returns the worker's report, with a new number.
    fn next_report(&self) -> Value {
        let mut state = self.state.borrow_mut();
        state.serial += 1;
        let pieces: Vec<Value> = state
            .tasks
            .iter()
            .map(|((piece, attempt), task)| {
                let mut value =
                    json!({"piece": piece, "try": attempt, "status": task.phase.name()});
                if task.phase == Phase::Exited {
                    value["cause"] = json!(task.cause);
                    if task.stored {
                        value["stored"] = json!(true);
                    }
                }
                value
            })
            .collect();
        json!({
            "host": self.machine.name, "addr": self.addr.to_string(),
            "flavour": self.machine.flavour, "site": self.machine.site,
            "loaners": self.machine.loaners, "tenure": state.tenure, "serial": state.serial,
            "epoch": state.epoch, "warning_s": null, "pieces": pieces
        })
    }

    async fn report(self: Rc<Self>) {
        let mut node = self.world.record.elapsed_s() as usize % self.machine.controllers.len();
        let mut connection: Option<TcpStream> = None;
        while !self.is_gone.get() {
            while self.is_hung.get() {
                tokio::time::sleep(STEP).await;
            }
            self.check_lease();
            let process = self.process.get();
            let report = self.next_report();
            let tenure = report["tenure"].as_u64().unwrap_or(0);
            let sent_at = Instant::now();
            let body = report.to_string().into_bytes();
            if self.keeps_reports.get() {
                self.kept_reports.borrow_mut().push(body.clone());
            }
            if let Some(delay) = self.copy_delay.get() {
                self.copy_late(body.clone(), delay);
            }
            let addr = self.machine.controllers[node].1;
            let is_unreachable =
                self.reachable.borrow().as_ref().is_some_and(|known| !known.contains(&addr));
            if is_unreachable {
                connection = None;
                tokio::time::sleep(ANSWER_TIMEOUT).await;
            }
            let is_cut = self.is_mute.get() || is_unreachable;
            let answer = if is_cut {
                Ok(Err(std::io::ErrorKind::TimedOut.into()))
            } else {
                let sending = self.send_report(node, &mut connection, &body);
                tokio::time::timeout(ANSWER_TIMEOUT, sending).await
            };
            let answer = if self.is_deaf.get() {
                tokio::time::sleep(ANSWER_TIMEOUT.saturating_sub(sent_at.elapsed())).await;
                Ok(Err(std::io::ErrorKind::TimedOut.into()))
            } else {
                answer
            };
            while self.is_hung.get() {
                tokio::time::sleep(STEP).await;
            }
            let in_time = sent_at.elapsed() < ANSWER_TIMEOUT;
            if process != self.process.get() {
                connection = None;
                continue;
            }
            match answer {
                Ok(Ok(answer)) if answer.status == 200 && in_time => {
                    if answer.closes {
                        connection = None;
                    }
                    self.apply_answer(&answer.json(), tenure, sent_at);
                    self.wait_for_next_report().await;
                }
                Ok(Ok(answer)) if answer.status == 421 && in_time => {
                    connection = None;
                    let upstream = answer.json()["upstream"].as_str().map(str::to_owned);
                    let named = upstream.and_then(|name| {
                        self.machine.controllers.iter().position(|(known, _)| *known == name)
                    });
                    match named.filter(|named| *named != node) {
                        Some(named) => node = named,
                        None => node = self.next_node(node).await,
                    }
                }
                other => {
                    let why = match other {
                        Ok(Ok(answer)) => format!("status {}", answer.status),
                        Ok(Err(error)) => error.to_string(),
                        Err(_) => "no answer within 4 s".to_owned(),
                    };
                    let (name, _) = &self.machine.controllers[node];
                    self.world.record.note(format!(
                        "{}: report of {} bytes to {name}: {why}",
                        self.machine.name,
                        body.len()
                    ));
                    connection = None;
                    node = self.next_node(node).await;
                }
            }
        }
    }

    /// Sends a copy of a report to all controllers, later.
    fn copy_late(&self, body: Vec<u8>, delay: Duration) {
        for (_, addr) in self.machine.controllers.clone() {
            let body = body.clone();
            tokio::task::spawn_local(async move {
                tokio::time::sleep(delay).await;
                let Ok(mut stream) = TcpStream::connect(addr).await else { return };
                let sending = exchange(&mut stream, "POST", "/agent/beat", &body);
                let _ = tokio::time::timeout(ANSWER_TIMEOUT, sending).await;
            });
        }
    }

    pub fn set_reachable(&self, addrs: Option<Vec<SocketAddr>>) {
        *self.reachable.borrow_mut() = addrs;
    }

    /// Sends the kept reports to all controllers.
    pub fn deliver_kept_reports(&self) {
        let kept = std::mem::take(&mut *self.kept_reports.borrow_mut());
        kept.into_iter().for_each(|body| self.copy_late(body, Duration::ZERO));
    }

    async fn next_node(&self, node: usize) -> usize {
        tokio::time::sleep(RETRY_PAUSE).await;
        (node + 1) % self.machine.controllers.len()
    }

    async fn send_report(
        &self,
        node: usize,
        connection: &mut Option<TcpStream>,
        body: &[u8],
    ) -> std::io::Result<Answer> {
        let mut stream = match connection.take() {
            Some(stream) => stream,
            None => {
                let stream = TcpStream::connect(self.machine.controllers[node].1).await?;
                stream.set_nodelay(true)?;
                stream
            }
        };
        let answer = exchange(&mut stream, "POST", "/agent/beat", body).await?;
        *connection = Some(stream);
        Ok(answer)
    }

    /// Renews the lease and executes the orders, unless the answer has a lower token or belongs to
    /// an earlier session.
    fn apply_answer(&self, answer: &Value, tenure: u64, sent_at: Instant) {
        let epoch = answer["epoch"].as_u64();
        {
            let mut state = self.state.borrow_mut();
            let Some(epoch) = epoch.filter(|epoch| *epoch >= state.epoch) else { return };
            if tenure != state.tenure {
                return;
            }
            if epoch > state.epoch {
                self.changed.notify_one();
            }
            state.epoch = epoch;
            state.renewed_at = state.renewed_at.max(sent_at);
        }
        self.execute(&answer["orders"]);
    }

    async fn wait_for_next_report(&self) {
        tokio::time::sleep(MIN_REPORT_PAUSE).await;
        let share = 0.75 + 0.5 * f64::from(self.state.borrow().serial as u32 * 7 % 11) / 10.0;
        let pause = Duration::from_secs_f64(self.machine.report_s * share);
        let remaining = pause.saturating_sub(MIN_REPORT_PAUSE);
        let _ = tokio::time::timeout(remaining, self.changed.notified()).await;
    }

    async fn answer(self: Rc<Self>, request: Request) -> Response {
        while self.is_hung.get() {
            tokio::time::sleep(STEP).await;
        }
        if self.is_gone.get() || self.is_deaf.get() || self.reachable.borrow().is_some() {
            return std::future::pending().await;
        }
        if let Some(delay) = self.command_delay.get().filter(|_| request.path() == "/commands") {
            let late = self.clone();
            tokio::task::spawn_local(async move {
                tokio::time::sleep(delay).await;
                while late.is_hung.get() {
                    tokio::time::sleep(STEP).await;
                }
                if !late.is_gone.get() {
                    late.check_lease();
                    late.apply_commands(&request.body);
                }
            });
            return std::future::pending().await;
        }
        self.check_lease();
        if request.path() == "/inspect" {
            return json_response(200, &self.next_report());
        }
        match self.apply_commands(&request.body) {
            Some(true) => json_response(200, &self.next_report()),
            Some(false) => json_response(409, &self.next_report()),
            None => json_response(400, &json!({})),
        }
    }

    /// Executes direct commands. Returns whether token and session match; `None` if one is missing.
    fn apply_commands(&self, body: &[u8]) -> Option<bool> {
        let orders: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let (epoch, tenure) = (orders["epoch"].as_u64()?, orders["tenure"].as_u64()?);
        {
            let mut state = self.state.borrow_mut();
            if epoch < state.epoch || tenure != state.tenure {
                return Some(false);
            }
            if epoch > state.epoch {
                self.changed.notify_one();
            }
            state.epoch = epoch;
        }
        self.execute(&orders["orders"]);
        Some(true)
    }

    fn execute(&self, orders: &Value) {
        for order in orders.as_array().map(Vec::as_slice).unwrap_or_default() {
            let piece = order["piece"].as_str().unwrap_or_default().to_owned();
            let attempt = order["try"].as_u64().unwrap_or(0);
            match order["verb"].as_str() {
                Some("launch") => self.launch(piece, attempt),
                Some("kill") => {
                    self.kill(&(piece, attempt), order["wind_down_s"].as_f64().unwrap_or(0.0));
                }
                Some("reap") => {
                    let key = (piece, attempt);
                    let mut state = self.state.borrow_mut();
                    if state.tasks.get(&key).is_some_and(|task| task.phase == Phase::Exited) {
                        state.tasks.remove(&key);
                    }
                }
                _ => {}
            }
            self.changed.notify_one();
        }
    }

    fn launch(&self, piece: String, attempt: u64) {
        let key = (piece, attempt);
        let (job, index) = split_piece(&key.0);
        let job = self.world.job(&job).filter(|job| f64::from(index) < job.number("pieces"));
        let mut state = self.state.borrow_mut();
        if state.tasks.contains_key(&key) {
            return;
        }
        let live = |task: &&Task| task.phase != Phase::Exited;
        let other = state.tasks.iter().any(|(other, task)| other.0 == key.0 && live(&task));
        let refusal = match &job {
            None => Some("no_such"),
            Some(_) if other => Some("in_use"),
            Some(job) => {
                let used = |field: &str| -> f64 {
                    let on = state.tasks.iter().filter(|(_, task)| live(task));
                    let jobs = on.filter_map(|(on, _)| self.world.job(&split_piece(&on.0).0));
                    jobs.map(|job| job.number(field)).sum()
                };
                let fits = used("vcpus") + job.number("vcpus") <= self.machine.vcpus + 1e-6
                    && used("mem_gb") + job.number("mem_gb") <= self.machine.mem_gb + 1e-6;
                (!fits).then_some("no_room")
            }
        };
        let task = Task {
            phase: if refusal.is_some() { Phase::Exited } else { Phase::Fetching },
            ends_at: Instant::now() + Duration::from_secs_f64(FETCH_S),
            will_fail: false,
            cause: refusal.unwrap_or(""),
            stored: false,
        };
        if let Some(refusal) = refusal {
            let name = &self.machine.name;
            self.world.record.note(format!("{name}: launch {} refused: {refusal}", key.0));
        }
        state.tasks.insert(key, task);
    }

    fn kill(&self, key: &Key, wind_down_s: f64) {
        let job = self.world.job(&split_piece(&key.0).0);
        let mut state = self.state.borrow_mut();
        let Some(task) = state.tasks.get_mut(key) else { return };
        let flush_s = job.as_ref().map_or(0.0, |job| job.number("flush_s"));
        let saves = job.is_some_and(|job| job.number("snapshot_s") > 0.0);
        match task.phase {
            Phase::Exited => {}
            Phase::Saving if wind_down_s > 0.0 => {}
            Phase::Running if saves && wind_down_s >= flush_s => {
                task.phase = Phase::Saving;
                task.ends_at = Instant::now() + Duration::from_secs_f64(flush_s);
            }
            phase => {
                task.phase = Phase::Exited;
                task.cause = "halted";
                drop(state);
                if phase != Phase::Fetching {
                    self.world.on_end(&key.0, &self.machine.name, "halted");
                }
            }
        }
    }

    async fn run_tasks(self: Rc<Self>) {
        while !self.is_gone.get() {
            tokio::time::sleep(STEP).await;
            if self.is_hung.get() {
                // A machine resumes within its lease only: after it, its tasks are gone.
                self.check_lease();
                for task in self.state.borrow_mut().tasks.values_mut() {
                    task.ends_at += STEP;
                }
                continue;
            }
            self.check_lease();
            let due: Vec<Key> = {
                let state = self.state.borrow();
                let now = Instant::now();
                let live = state.tasks.iter().filter(|(_, task)| task.phase != Phase::Exited);
                live.filter(|(_, task)| now >= task.ends_at).map(|(key, _)| key.clone()).collect()
            };
            for key in &due {
                self.advance(key);
            }
            if !due.is_empty() {
                self.changed.notify_one();
            }
            let running: Vec<String> = {
                let state = self.state.borrow();
                let on = state.tasks.iter();
                on.filter(|(_, task)| matches!(task.phase, Phase::Running | Phase::Saving))
                    .map(|(key, _)| key.0.clone())
                    .collect()
            };
            running.iter().for_each(|piece| self.world.check_cancelled(piece));
        }
    }

    fn advance(&self, key: &Key) {
        let (piece, attempt) = key;
        let name = &self.machine.name;
        let mut state = self.state.borrow_mut();
        let Some(task) = state.tasks.get_mut(key) else { return };
        match task.phase {
            Phase::Fetching if self.world.is_completed(piece) => {
                (task.phase, task.cause) = (Phase::Exited, "done");
            }
            Phase::Fetching => {
                let run_s = self.world.job(&split_piece(piece).0).map_or(1.0, |job| job.run_s);
                task.phase = Phase::Running;
                task.will_fail = self.is_faulty.get();
                let run_s = if task.will_fail { FAILING_RUN_S } else { run_s };
                task.ends_at =
                    Instant::now() + Duration::from_secs_f64(run_s * self.slowdown.get());
                drop(state);
                self.world.on_start(piece, *attempt, name);
            }
            Phase::Running => {
                let cause = if task.will_fail { "error" } else { "done" };
                (task.phase, task.cause) = (Phase::Exited, cause);
                drop(state);
                self.world.on_end(piece, name, cause);
            }
            Phase::Saving => {
                (task.phase, task.cause, task.stored) = (Phase::Exited, "halted", true);
                drop(state);
                self.world.on_end(piece, name, "halted");
            }
            Phase::Exited => {}
        }
    }
}
