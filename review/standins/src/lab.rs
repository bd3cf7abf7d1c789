//! What all cases share: the record, addresses, the controllers' processes and their settings, and
//! requests of users.

use corkfield_http::{Client, ClientResponse, Tcp};
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::fs::File;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How a script ends.
pub const EXIT_HELD: i32 = 0;
pub const EXIT_BROKEN: i32 = 1;
pub const EXIT_NOT_RUN: i32 = 2;

/// The record of what was sent, answered and run, with seconds since the start.
pub struct Record {
    file: RefCell<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Rc<Self>> {
        Ok(Rc::new(Self { file: RefCell::new(File::create(path)?), started: Instant::now() }))
    }

    pub fn elapsed_s(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn write(&self, text: &str) {
        let _ = writeln!(self.file.borrow_mut(), "{:9.3} {text}", self.elapsed_s());
    }

    /// Writes to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{:9.3} {text}", self.elapsed_s());
        self.write(text);
    }
}

/// Returns a loopback address that is free now, and that no other call of this process returned. The
/// host part comes from the process id, so that two runs don't meet; the ports are below those that
/// the system gives to outgoing connections.
pub fn free_addr() -> SocketAddr {
    thread_local!(static NEXT_PORT: Cell<u16> = const { Cell::new(12_000) });
    let id = std::process::id();
    let ip = Ipv4Addr::new(127, 64 + (id / 250 % 64) as u8, (id % 250) as u8, 1);
    loop {
        let port = NEXT_PORT.get();
        NEXT_PORT.set(port + 1);
        assert!(port < 32_000, "no free port");
        if TcpListener::bind((ip, port)).is_ok() {
            return SocketAddr::from((ip, port));
        }
    }
}

/// A small generator of pseudo-random numbers, so that no dependency is needed.
pub struct Random(Cell<u64>);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(Cell::new(seed.wrapping_mul(2).wrapping_add(0x9e37_79b9_7f4a_7c15)))
    }

    /// Returns a number from 0 up to but not including 1.
    pub fn unit(&self) -> f64 {
        let mut x = self.0.get();
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        self.0.set(x);
        (x >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// The addresses and the process of one controller.
pub struct Controller {
    pub name: String,
    pub client_addr: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: RefCell<Option<Child>>,
}

/// The deployment's part of a settings file.
pub struct Deployment {
    /// Text of the tables below `[settings]`, without `size`.
    pub settings: String,
    pub domains: Vec<&'static str>,
    pub cloud: SocketAddr,
    /// Address of the state service for each controller.
    pub state: Vec<SocketAddr>,
}

/// The controllers. Their processes are killed when this value is dropped.
pub struct Controllers {
    pub all: Vec<Controller>,
    folder: PathBuf,
    run: Vec<String>,
    record: Rc<Record>,
}

/// Reads the run command from the deploy file.
fn run_command() -> Vec<String> {
    let text = std::fs::read_to_string("deploy/service.toml").expect("the deploy file");
    let line = text.lines().find(|line| line.trim_start().starts_with("run")).expect("run");
    let (_, command) = line.split_once('=').expect("run = ...");
    command.trim().trim_matches('"').split_whitespace().map(str::to_owned).collect()
}

impl Controllers {
    pub fn new(deployment: &Deployment, folder: &Path, record: Rc<Record>) -> Self {
        let count = deployment.state.len();
        let addrs: Vec<(SocketAddr, SocketAddr)> =
            (0..count).map(|_| (free_addr(), free_addr())).collect();
        let mut all = Vec::new();
        for (number, (client_addr, back_addr)) in addrs.iter().copied().enumerate() {
            let domain = |number: usize| deployment.domains[number % deployment.domains.len()];
            let name = format!("worker-{number}");
            let mut text = format!(
                "node_name = \"{name}\"\ndomain = \"{}\"\nclient_listen = \"{client_addr}\"\n\
                 back = \"{back_addr}\"\n",
                domain(number)
            );
            for (other, (_, back)) in addrs.iter().enumerate().filter(|(o, _)| *o != number) {
                text += &format!(
                    "[[seeds]]\nnode_name = \"worker-{other}\"\ndomain = \"{}\"\n\
                     endpoint = \"{back}\"\n",
                    domain(other)
                );
            }
            text += &format!(
                "[endpoints]\ncloud = \"{}\"\nstate = \"{}\"\n[settings]\nsize = {count}\n{}",
                deployment.cloud, deployment.state[number], deployment.settings
            );
            let settings = folder.join(format!("{name}.toml"));
            std::fs::write(&settings, text).expect("the temporary folder is writable");
            let log = folder.join(format!("{name}.log"));
            let child = RefCell::new(None);
            all.push(Controller { name, client_addr, settings, log, child });
        }
        let run = run_command();
        Self { all, folder: folder.to_owned(), run, record }
    }

    /// Starts a controller with the command of the deploy file.
    pub fn start(&self, number: usize) {
        let controller = &self.all[number];
        let log = File::options().create(true).append(true).open(&controller.log).expect("log");
        let child = Command::new(&self.run[0])
            .args(&self.run[1..])
            .arg(&controller.settings)
            .env("LOG_LEVEL", std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into()))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file starts");
        // The script reads the process ids from this file and ends what is left.
        let mut pids = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("pids"))
            .expect("the temporary folder is writable");
        let _ = writeln!(pids, "{}", child.id());
        self.record.write(&format!("start {} as process {}", controller.name, child.id()));
        *controller.child.borrow_mut() = Some(child);
    }

    pub fn start_all(&self) {
        (0..self.all.len()).for_each(|number| self.start(number));
    }

    /// Kills a controller's process, as the platform does.
    pub fn kill(&self, number: usize) {
        if let Some(mut child) = self.all[number].child.borrow_mut().take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.write(&format!("kill {}", self.all[number].name));
        }
    }

    /// Sends a signal to a controller's process, for example to stop or to continue it.
    pub fn signal(&self, number: usize, signal: &str) {
        if let Some(child) = self.all[number].child.borrow().as_ref() {
            let _ = Command::new("kill").arg(signal).arg(child.id().to_string()).status();
            self.record.write(&format!("signal {signal} to {}", self.all[number].name));
        }
    }

    pub fn names_and_addrs(&self) -> Vec<(String, SocketAddr)> {
        self.all.iter().map(|c| (c.name.clone(), c.client_addr)).collect()
    }

    /// Waits until a controller leads and knows at least `machines` machines as up. Returns its
    /// position.
    pub async fn wait_for_leader(&self, machines: u64, limit: Duration) -> Option<usize> {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            for (number, controller) in self.all.iter().enumerate() {
                if controller.child.borrow().is_none() {
                    continue;
                }
                let answer =
                    request(controller.client_addr, "GET", "/operator/overview", b"").await;
                let overview = answer.and_then(|a| serde_json::from_slice::<Value>(&a.body).ok());
                let up = overview.and_then(|o| o["leading"]["machines_up"].as_u64());
                if up.is_some_and(|up| up >= machines) {
                    self.record.say(&format!("{} leads", controller.name));
                    return Some(number);
                }
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        None
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        (0..self.all.len()).for_each(|number| self.kill(number));
    }
}

/// Sends one request on a connection of its own, and waits as long as a user does.
pub async fn request(
    addr: SocketAddr,
    method: &str,
    target: &str,
    body: &[u8],
) -> Option<ClientResponse> {
    let limit = Duration::from_secs(if method == "GET" { 2 } else { 5 });
    let client = Client::new(Rc::new(Tcp), addr, 1, 1024 * 1024);
    client.request(method, target, body, limit).await.ok()
}

/// The answer to a user: HTTP status, and the job's status in the body.
pub struct Answer {
    pub status: u16,
    pub job_status: String,
    pub body: String,
}

/// Sends a user's request, and records what was sent and answered.
pub async fn user_request(
    record: &Record,
    addr: SocketAddr,
    method: &str,
    target: &str,
    body: &[u8],
) -> Option<Answer> {
    let sent = record.elapsed_s();
    let answer = request(addr, method, target, body).await;
    let text = |body: &[u8]| String::from_utf8_lossy(body).into_owned();
    match &answer {
        Some(a) => record.write(&format!(
            "user {method} {target} at {addr} (sent {sent:.3}): {} {}",
            a.status,
            text(&a.body)
        )),
        None => record.write(&format!("user {method} {target} at {addr} (sent {sent:.3}): none")),
    }
    let answer = answer?;
    let view: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
    let job_status = view["status"].as_str().unwrap_or("").to_owned();
    Some(Answer { status: answer.status, job_status, body: text(&answer.body) })
}

/// What a user submits.
pub struct Submission {
    pub id: String,
    pub pool: &'static str,
    pub owner: &'static str,
    pub rank: &'static str,
    pub pieces: u32,
    pub vcpus: f64,
    pub mem_gb: f64,
    pub flavours: Option<Vec<&'static str>>,
    pub guess_s: f64,
}

impl Submission {
    pub fn body(&self) -> Vec<u8> {
        let body = json!({
            "name_id": self.id, "pool": self.pool, "owner": self.owner, "shape": "sweep",
            "rank": self.rank, "pieces": self.pieces, "vcpus": self.vcpus, "accelerators": 0.0,
            "mem_gb": self.mem_gb, "bundle": format!("img-{}", self.pool), "image_gb": 0.6,
            "flavours": self.flavours, "site": null, "same_place": false, "apart": false,
            "loaners": true, "guess_s": self.guess_s, "snapshot_s": 0.0, "flush_s": 0.0,
            "due_s": null
        });
        body.to_string().into_bytes()
    }
}

/// Submits a job as a user does, with retries for up to 60 s, at the controllers in turn. Returns
/// whether it was accepted.
pub async fn submit(record: &Record, addrs: &[SocketAddr], submission: &Submission) -> bool {
    let body = submission.body();
    for attempt in 0..30 {
        let addr = addrs[attempt % addrs.len()];
        let answer = user_request(record, addr, "POST", "/submissions", &body).await;
        if answer.is_some_and(|answer| matches!(answer.status, 200 | 201)) {
            record.say(&format!("accepted {}", submission.id));
            return true;
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    false
}
