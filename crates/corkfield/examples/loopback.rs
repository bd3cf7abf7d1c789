//! The real program under load: controllers as processes, stand-ins for everything around them on
//! loopback addresses, in real time. It says what processor time each controller took, and prints
//! their process ids, so that a profiler or a counter of system calls can be attached.
//!
//! `cargo run --release --example loopback -- --machines 360 --seconds 30`

use clap::Parser;
use corkfield_fakes::{ExecutionHistory, FakeCloud, FakeStore, JobPlan, Loopback, WorkerSettings};
use corkfield_http::{Client, Tcp};
use corkfield_wire::cloud::MachineType;
use corkfield_wire::records::{LeaderRecord, LEADER_KEY};
use corkfield_wire::user::{JobView, PATH_JOBS, PATH_READY};
use corkfield_wire::{ControllerName, JobSpec, JobStatus, MachineName};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;

const REQUEST_LIMIT: Duration = Duration::from_secs(4);
const POLL_INTERVAL: Duration = Duration::from_secs(5);
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(5);
const WORKER_LEASE: Duration = Duration::from_secs(26);
const CANCEL_LIMIT: Duration = Duration::from_secs(46);
const MACHINE_CPUS: f64 = 8.0;
const CLIENT_PORT: u16 = 8080;
const PEER_PORT: u16 = 8081;
const MAX_USER_CONNECTIONS: usize = 64;
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

#[derive(Debug, Parser)]
struct Cli {
    /// The program to measure
    #[arg(long, default_value = "target/release/corkfield")]
    program: PathBuf,
    /// Where the settings files go
    #[arg(long, default_value = "target/loopback")]
    folder: PathBuf,
    /// Controllers
    #[arg(long, default_value_t = 5)]
    controllers: u8,
    /// Machines, of 8 CPUs each, all up at the start
    #[arg(long, default_value_t = 360)]
    machines: u32,
    /// Seconds before the measurement begins
    #[arg(long, default_value_t = 20)]
    warm_up: u64,
    /// Seconds that are measured
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    /// Tasks of one second that come each second, against the CPUs; 0: idle machines only
    #[arg(long, default_value_t = 0.8)]
    load: f64,
}

fn controller_addr(controller: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 1, controller + 1], port))
}

fn store_addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 2, 1], 2379))
}

fn cloud_addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 2, 2], 8443))
}

fn settings_text(controller: u8, cli: &Cli) -> String {
    let mut text = format!(
        "node_name = \"n{controller}\"\ndomain = \"z1\"\nclient_listen = \"{}\"\nback = \"{}\"\n",
        controller_addr(controller, CLIENT_PORT),
        controller_addr(controller, PEER_PORT)
    );
    for other in (0..cli.controllers).filter(|other| *other != controller) {
        let back = controller_addr(other, PEER_PORT);
        text += &format!(
            "[[seeds]]\nnode_name = \"n{other}\"\ndomain = \"z1\"\nendpoint = \"{back}\"\n"
        );
    }
    let sockets = 2 * cli.machines + 500;
    text + &format!(
        "[endpoints]\ncloud = \"{}\"\nstate = \"{}\"\n[settings]\nsize = {}\nzones = [\"z1\"]\n\
         [[settings.teams]]\nname = \"free\"\ncpus = 0.0\ncpus_max = 0.0\n\
         [settings.workers]\nreport_s = 5.0\nlease_s = 26.0\ncancel_s = 46.0\n\
         [settings.state]\nrps = 300.0\nwrite_rps = 120.0\nvalue_kb = 16.0\ntxn_ops = 12\n\
         [settings.cloud]\nrps = 6.0\nlist_lag_s = 4.0\n[settings.limits]\nsockets = {sockets}\n",
        cloud_addr(),
        store_addr(),
        cli.controllers
    )
}

/// Controllers, ended when this is dropped.
struct Controllers(Vec<Child>);

impl Controllers {
    fn start(cli: &Cli) -> std::io::Result<Self> {
        std::fs::create_dir_all(&cli.folder)?;
        let mut started = Self(Vec::new());
        for controller in 0..cli.controllers {
            let path = cli.folder.join(format!("n{controller}.toml"));
            std::fs::write(&path, settings_text(controller, cli))?;
            let mut command = Command::new(&cli.program);
            command.arg("--config").arg(path).env("LOG_LEVEL", "error").stdin(Stdio::null());
            started.0.push(command.spawn()?);
        }
        Ok(started)
    }

    fn usage(&self) -> Vec<Usage> {
        self.0.iter().map(|child| Usage::read(child.id())).collect()
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        for child in &mut self.0 {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// What the system says of a process.
#[derive(Debug, Clone, Copy, Default)]
struct Usage {
    processor: Duration,
    /// How often it waited for something to do.
    waits: u64,
    /// The most memory it held, in KiB.
    memory_kib: u64,
}

impl Usage {
    fn read(process: u32) -> Self {
        let read_file = |file: &str| {
            std::fs::read_to_string(format!("/proc/{process}/{file}")).unwrap_or_default()
        };
        let status = read_file("status");
        let field = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name));
            line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
        };
        let schedstat = read_file("schedstat");
        let run_ns = schedstat.split_whitespace().next().and_then(|ns| ns.parse().ok());
        Self {
            processor: Duration::from_nanos(run_ns.unwrap_or(0)),
            waits: field("voluntary_ctxt_switches:"),
            memory_kib: field("VmHWM:"),
        }
    }
}

fn worker_template(cli: &Cli) -> WorkerSettings {
    let controllers = (0..cli.controllers).map(|controller| {
        (ControllerName::from(format!("n{controller}")), controller_addr(controller, CLIENT_PORT))
    });
    WorkerSettings {
        name: MachineName::default(),
        addr: store_addr(),
        machine_type: String::new(),
        zone: String::new(),
        spot: false,
        cpus: 0.0,
        heartbeat_interval: HEARTBEAT_INTERVAL,
        lease_duration: WORKER_LEASE,
        heartbeat_after_each_reply: false,
        controllers: controllers.collect(),
    }
}

fn machine_type() -> MachineType {
    MachineType {
        name: "box".to_owned(),
        cpus: MACHINE_CPUS,
        gpus: 0.0,
        memory_gb: 64.0,
        cache_gb: 20.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.3,
        boot_s: 15.0,
        zones: vec!["z1".to_owned()],
    }
}

/// What stands around the controllers, as far as the measurement looks at it.
struct StandIns {
    store: Rc<FakeStore>,
    history: Rc<ExecutionHistory>,
}

impl StandIns {
    fn start(cli: &Cli) -> Self {
        let history = Rc::new(ExecutionHistory::default());
        history.cancel_limit.set(CANCEL_LIMIT);
        let store = Rc::new(FakeStore::default());
        store.start_lease_expiry();
        store.start(Rc::new(Tcp), store_addr(), Rc::default());
        let machines = cli.machines as usize;
        let cloud = FakeCloud::new(
            Rc::new(Loopback),
            history.clone(),
            worker_template(cli),
            vec![machine_type()],
            machines,
        );
        cloud.start(Rc::new(Tcp), cloud_addr());
        (0..machines).for_each(|_| drop(cloud.add_machine("z1", false, 0.5)));
        Self { store, history }
    }

    /// The name of the leader; empty if there is none.
    fn leader(&self) -> String {
        let record = self.store.value(LEADER_KEY).and_then(|v| serde_json::from_value(v).ok());
        record.and_then(|record: LeaderRecord| record.node).unwrap_or_default().to_string()
    }
}

fn client(controller: u8) -> Client {
    let addr = controller_addr(controller, CLIENT_PORT);
    Client::new(Rc::new(Tcp), addr, MAX_USER_CONNECTIONS, MAX_ANSWER_BYTES)
}

/// What a load balancer asks of every controller.
async fn probe(controllers: u8) {
    let clients: Vec<Client> = (0..controllers).map(client).collect();
    loop {
        for client in &clients {
            let _ = client.request("GET", PATH_READY, b"", REQUEST_LIMIT).await;
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

/// Jobs of one kind.
struct JobClass {
    priority: &'static str,
    tasks: u32,
    /// CPUs of a task.
    cpus: f64,
    /// How long a task runs, in seconds.
    run_s: f64,
}

const LARGE_JOB: JobClass = JobClass { priority: "normal", tasks: 350, cpus: 1.0, run_s: 25.0 };
const URGENT_JOB: JobClass = JobClass { priority: "urgent", tasks: 30, cpus: 4.0, run_s: 15.0 };

impl JobClass {
    fn spec(&self, number: u32) -> JobSpec {
        let Self { priority, tasks, cpus, .. } = self;
        let text = format!(
            "{{\"name_id\":\"j-{number:06}\",\"pool\":\"sums\",\"owner\":\"free\",\"shape\":\"sweep\",\"rank\":\"{priority}\",\
             \"pieces\":{tasks},\"vcpus\":{cpus:.1},\"accelerators\":0.0,\"mem_gb\":1.0,\"bundle\":\"img-1\",\"image_gb\":0.5,\
             \"same_place\":false,\"apart\":false,\"loaners\":true,\"guess_s\":20.0,\"snapshot_s\":0.0,\"flush_s\":0.0}}"
        );
        JobSpec::parse(text.as_bytes()).expect("a valid submission")
    }

    /// CPU-seconds of a job.
    fn work(&self) -> f64 {
        f64::from(self.tasks) * self.cpus * self.run_s
    }
}

/// A user submits a job and asks about it until it is done.
async fn use_job(spec: JobSpec, controller: u8) {
    let client = client(controller);
    let body = serde_json::to_vec(&spec).expect("serializable");
    while !matches!(
        client.request("POST", PATH_JOBS, &body, REQUEST_LIMIT).await,
        Ok(reply) if matches!(reply.status, 200 | 201)
    ) {
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
    let path = format!("{PATH_JOBS}/{}", spec.id);
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let reply = client.request("GET", &path, b"", REQUEST_LIMIT).await;
        let view = reply.ok().and_then(|reply| serde_json::from_slice::<JobView>(&reply.body).ok());
        if view.is_some_and(|view| view.status == JobStatus::Done) {
            return;
        }
    }
}

/// Two urgent jobs of 30 tasks and a large one in turn, as many as the load asks for.
async fn submit_jobs(cli: &Cli, history: &ExecutionHistory) {
    let busy_cpus = f64::from(cli.machines) * MACHINE_CPUS * cli.load;
    let mut number = 0;
    loop {
        let class = if number % 3 == 0 { LARGE_JOB } else { URGENT_JOB };
        let spec = class.spec(number);
        history.add_plan(JobPlan { spec: spec.clone(), run_s: class.run_s, is_failing: false });
        let controller = u8::try_from(number % u32::from(cli.controllers)).unwrap_or(0);
        tokio::task::spawn_local(use_job(spec, controller));
        number += 1;
        tokio::time::sleep(Duration::from_secs_f64(class.work() / busy_cpus)).await;
    }
}

/// The role of a controller, in the words that the output lines have always had.
fn role(controller: usize, leader: &str) -> &'static str {
    if leader == format!("n{controller}") {
        "planner"
    } else {
        "standby"
    }
}

fn print_usage(controllers: &Controllers, before: &[Usage], leader: &str, seconds: f64) {
    for (number, (after, before)) in controllers.usage().iter().zip(before).enumerate() {
        println!(
            "n{number} {}: {:.2} ms of processor time and {:.0} waits a second, {} KiB at most",
            role(number, leader),
            (after.processor - before.processor).as_secs_f64() * 1000.0 / seconds,
            (after.waits - before.waits) as f64 / seconds,
            after.memory_kib
        );
    }
}

/// Measures the controllers after the warm-up, and prints what they took.
async fn measure(cli: &Cli, stand_ins: &StandIns, controllers: &Controllers) {
    tokio::time::sleep(Duration::from_secs(cli.warm_up)).await;
    let leader = stand_ins.leader();
    for (number, child) in controllers.0.iter().enumerate() {
        println!("n{number} {}: process {}", role(number, &leader), child.id());
    }
    let (before, starts_before) = (controllers.usage(), stand_ins.history.total_starts());
    tokio::time::sleep(Duration::from_secs(cli.seconds)).await;
    let seconds = cli.seconds as f64;
    print_usage(controllers, &before, &leader, seconds);
    let starts = f64::from(stand_ins.history.total_starts() - starts_before) / seconds;
    let violations = stand_ins.history.violations().len();
    println!("{starts:.0} starts a second, {violations} broken rules");
}

async fn run(cli: Cli) -> std::io::Result<()> {
    let stand_ins = StandIns::start(&cli);
    let controllers = Controllers::start(&cli)?;
    tokio::task::spawn_local(probe(cli.controllers));
    tokio::select! {
        () = measure(&cli, &stand_ins, &controllers) => {}
        () = submit_jobs(&cli, &stand_ins.history), if cli.load > 0.0 => {}
    }
    Ok(())
}

fn main() -> std::io::Result<()> {
    let cli = Cli::parse();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, run(cli))
}
