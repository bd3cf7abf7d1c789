//! Runs the program under load in real time: the controllers are processes, and fakes of the store,
//! the cloud and the workers listen on loopback addresses. Prints the CPU time of each controller,
//! and the process ids, so that a profiler or a system call tracer can be attached.
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
    /// Path of the program to measure
    #[arg(long, default_value = "target/release/corkfield")]
    program: PathBuf,
    /// Folder to which the settings files are written
    #[arg(long, default_value = "target/loopback")]
    folder: PathBuf,
    /// Number of controllers
    #[arg(long, default_value_t = 5)]
    controllers: u8,
    /// Number of machines, of 8 CPUs each, all up at the start
    #[arg(long, default_value_t = 360)]
    machines: u32,
    /// Warm-up time before the measurement, in seconds
    #[arg(long, default_value_t = 20)]
    warm_up: u64,
    /// Duration of the measurement, in seconds
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    /// Submitted work as a fraction of the CPU capacity; 0: all machines stay idle
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
        let peer_addr = controller_addr(other, PEER_PORT);
        text += &format!(
            "[[seeds]]\nnode_name = \"n{other}\"\ndomain = \"z1\"\nendpoint = \"{peer_addr}\"\n"
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

/// The controller processes, which are killed when this value is dropped.
struct Controllers(Vec<Child>);

impl Controllers {
    fn start(cli: &Cli) -> std::io::Result<Self> {
        std::fs::create_dir_all(&cli.folder)?;
        let mut controllers = Self(Vec::new());
        for controller in 0..cli.controllers {
            let path = cli.folder.join(format!("n{controller}.toml"));
            std::fs::write(&path, settings_text(controller, cli))?;
            let mut command = Command::new(&cli.program);
            command.arg("--config").arg(path).env("LOG_LEVEL", "error").stdin(Stdio::null());
            controllers.0.push(command.spawn()?);
        }
        Ok(controllers)
    }

    fn resource_usage(&self) -> Vec<ResourceUsage> {
        self.0.iter().map(|child| ResourceUsage::read(child.id())).collect()
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

/// The resource usage of a process since its start, as `/proc` states it.
#[derive(Debug, Clone, Copy, Default)]
struct ResourceUsage {
    cpu_time: Duration,
    /// Voluntary context switches: waits for events.
    voluntary_switches: u64,
    /// Peak resident memory in KiB.
    peak_memory_kib: u64,
}

impl ResourceUsage {
    fn read(process_id: u32) -> Self {
        let read_file = |file: &str| {
            std::fs::read_to_string(format!("/proc/{process_id}/{file}")).unwrap_or_default()
        };
        let status = read_file("status");
        let read_field = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name));
            line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
        };
        let schedstat = read_file("schedstat");
        let run_ns = schedstat.split_whitespace().next().and_then(|ns| ns.parse().ok());
        Self {
            cpu_time: Duration::from_nanos(run_ns.unwrap_or(0)),
            voluntary_switches: read_field("voluntary_ctxt_switches:"),
            peak_memory_kib: read_field("VmHWM:"),
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
        memory_gb: 0.0,
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

/// The fake services that the measurement reads.
struct Fakes {
    store: Rc<FakeStore>,
    history: Rc<ExecutionHistory>,
}

impl Fakes {
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

    /// Returns the name of the leader, or an empty name if there is no leader.
    fn leader_name(&self) -> String {
        let record = self.store.value(LEADER_KEY).and_then(|v| serde_json::from_value(v).ok());
        record.and_then(|record: LeaderRecord| record.node).unwrap_or_default().to_string()
    }
}

fn client(controller: u8) -> Client {
    let addr = controller_addr(controller, CLIENT_PORT);
    Client::new(Rc::new(Tcp), addr, MAX_USER_CONNECTIONS, MAX_ANSWER_BYTES)
}

/// Requests the readiness of every controller once per interval, as a load balancer does.
async fn probe_readiness(controllers: u8) {
    let clients: Vec<Client> = (0..controllers).map(client).collect();
    loop {
        for client in &clients {
            let _ = client.request("GET", PATH_READY, b"", REQUEST_LIMIT).await;
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

/// A class of jobs with equal properties.
struct JobClass {
    priority: &'static str,
    tasks: u32,
    /// CPUs per task.
    cpus: f64,
    /// Run time of a task in seconds.
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

    /// Returns the CPU-seconds that a job takes.
    fn cpu_seconds(&self) -> f64 {
        f64::from(self.tasks) * self.cpus * self.run_s
    }
}

/// Submits a job as a user does, and polls its status until it is done.
async fn submit_and_poll(spec: JobSpec, controller: u8) {
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

/// Submits jobs at the rate that the load requires: one large job, then two urgent jobs, in turn.
async fn submit_jobs(cli: &Cli, history: &ExecutionHistory) {
    let busy_cpus = f64::from(cli.machines) * MACHINE_CPUS * cli.load;
    let mut number = 0;
    loop {
        let class = if number % 3 == 0 { LARGE_JOB } else { URGENT_JOB };
        let spec = class.spec(number);
        history.add_plan(JobPlan { spec: spec.clone(), run_s: class.run_s, is_failing: false });
        let controller = u8::try_from(number % u32::from(cli.controllers)).unwrap_or(0);
        tokio::task::spawn_local(submit_and_poll(spec, controller));
        number += 1;
        tokio::time::sleep(Duration::from_secs_f64(class.cpu_seconds() / busy_cpus)).await;
    }
}

/// Returns the role of a controller as the output names it.
fn role(controller: usize, leader_name: &str) -> &'static str {
    if leader_name == format!("n{controller}") {
        "leader"
    } else {
        "standby"
    }
}

/// Prints the usage of each controller since `before`, as a mean over `seconds`.
fn print_usage(
    controllers: &Controllers,
    before: &[ResourceUsage],
    leader_name: &str,
    seconds: f64,
) {
    for (number, (after, before)) in controllers.resource_usage().iter().zip(before).enumerate() {
        println!(
            "n{number} {}: {:.2} ms CPU time per second, \
             {:.0} voluntary context switches per second, peak memory {} KiB",
            role(number, leader_name),
            (after.cpu_time - before.cpu_time).as_secs_f64() * 1000.0 / seconds,
            (after.voluntary_switches - before.voluntary_switches) as f64 / seconds,
            after.peak_memory_kib
        );
    }
}

/// Measures the resource usage of the controllers after the warm-up, and prints it.
async fn measure(cli: &Cli, fakes: &Fakes, controllers: &Controllers) {
    tokio::time::sleep(Duration::from_secs(cli.warm_up)).await;
    let leader_name = fakes.leader_name();
    for (number, child) in controllers.0.iter().enumerate() {
        println!("n{number} {}: process id {}", role(number, &leader_name), child.id());
    }
    let (before, starts_before) = (controllers.resource_usage(), fakes.history.total_starts());
    tokio::time::sleep(Duration::from_secs(cli.seconds)).await;
    let seconds = cli.seconds as f64;
    print_usage(controllers, &before, &leader_name, seconds);
    let starts = f64::from(fakes.history.total_starts() - starts_before) / seconds;
    let violations = fakes.history.violations().len();
    println!("{starts:.0} starts per second, {violations} violations of safety rules");
}

async fn run(cli: Cli) -> std::io::Result<()> {
    let fakes = Fakes::start(&cli);
    let controllers = Controllers::start(&cli)?;
    tokio::task::spawn_local(probe_readiness(cli.controllers));
    tokio::select! {
        () = measure(&cli, &fakes, &controllers) => {}
        () = submit_jobs(&cli, &fakes.history), if cli.load > 0.0 => {}
    }
    Ok(())
}

fn main() -> std::io::Result<()> {
    let cli = Cli::parse();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, run(cli))
}
