//! A deployment in memory: three controllers, the stand-ins, and a user.

use corkfield::node;
use corkfield::settings::{Operator, Settings};
use corkfield_fakes::{
    ExecutionHistory, FakeCloud, FakeStore, FakeWorker, Freezer, MemoryNet, Plan, Process,
    WorkerSettings,
};
use corkfield_http::Client;
use corkfield_wire::cloud::MachineType;
use corkfield_wire::records::{job_key, JobRecord, LeaderRecord, LEADER_KEY};
use corkfield_wire::settings::Platform;
use corkfield_wire::user::{JobView, PATH_CANCEL, PATH_JOBS};
use corkfield_wire::{JobId, JobSpec, JobStatus, TaskId};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::{JoinHandle, LocalSet};

pub const NODES: [&str; 3] = ["n0", "n1", "n2"];
pub const CANCEL_S: f64 = 30.0;
pub const LEASE_S: f64 = 12.0;

/// What the platform grants.
#[derive(Debug, Clone, Copy)]
pub struct Grants {
    pub state_rps: f64,
    pub write_rps: f64,
    pub cloud_rps: f64,
    pub sockets: u32,
}

const SMALL: Grants = Grants { state_rps: 200.0, write_rps: 90.0, cloud_rps: 5.0, sockets: 500 };

/// A controller's process.
type Running = (JoinHandle<()>, Freezer);

pub struct Cluster {
    grants: Grants,
    operator: Operator,
    pub net: MemoryNet,
    pub store: Rc<FakeStore>,
    pub cloud: Rc<FakeCloud>,
    pub history: Rc<ExecutionHistory>,
    /// While set, the state service refuses that controller.
    pub refused: Vec<Rc<Cell<bool>>>,
    running: RefCell<Vec<Option<Running>>>,
    clients: Vec<Client>,
    seeds: Cell<u64>,
}

fn settings_of(n: usize, grants: Grants, operator: Operator) -> Settings {
    let Grants { state_rps, write_rps, cloud_rps, sockets } = grants;
    let mut text = format!(
        "node_name = \"{}\"\ndomain = \"z1\"\nclient_listen = \"10.0.0.{}:8080\"\nback = \"10.0.0.{}:8081\"\n",
        NODES[n], n + 1, n + 1
    );
    for (m, name) in NODES.iter().enumerate().filter(|(m, _)| *m != n) {
        text += &format!(
            "[[seeds]]\nnode_name = \"{name}\"\ndomain = \"z1\"\nendpoint = \"10.0.0.{}:8081\"\n",
            m + 1
        );
    }
    text += &format!(
        "[endpoints]\ncloud = \"10.2.1.1:443\"\nstate = \"10.2.0.{}:2379\"\n[settings]\nsize = 3\nzones = [\"z1\", \"z2\"]\n",
        n + 1
    );
    for (name, cpus, max) in [("free", 0.0, 0.0), ("capped", 4.0, 6.0)] {
        text += &format!(
            "[[settings.teams]]\nname = \"{name}\"\ncpus = {cpus:.1}\ncpus_max = {max:.1}\n"
        );
    }
    text += &format!(
        "[settings.workers]\nreport_s = 2.0\nlease_s = {LEASE_S:.1}\ncancel_s = {CANCEL_S:.1}\n\
         [settings.state]\nrps = {state_rps:.1}\nwrite_rps = {write_rps:.1}\nvalue_kb = 16.0\ntxn_ops = 12\n\
         [settings.cloud]\nrps = {cloud_rps:.1}\nlist_lag_s = 1.0\n[settings.limits]\nsockets = {sockets}\n"
    );
    let platform = Platform::parse(&text).expect("the settings are valid");
    Settings { platform, operator }
}

/// Plays a scenario in simulated time; it ends with a look at the rules.
pub fn scenario<F: Future<Output = ()>>(machines: u32, tell: impl FnOnce(Rc<Cluster>) -> F) {
    scenario_with(SMALL, machines, tell);
}

pub fn scenario_with<F: Future<Output = ()>>(
    grants: Grants,
    machines: u32,
    tell: impl FnOnce(Rc<Cluster>) -> F,
) {
    scenario_of(grants, Operator::default(), machines, tell);
}

/// A scenario under settings that the operators changed.
pub fn scenario_under<F: Future<Output = ()>>(
    operator: Operator,
    machines: u32,
    tell: impl FnOnce(Rc<Cluster>) -> F,
) {
    scenario_of(SMALL, operator, machines, tell);
}

fn scenario_of<F: Future<Output = ()>>(
    grants: Grants,
    operator: Operator,
    machines: u32,
    tell: impl FnOnce(Rc<Cluster>) -> F,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let cluster = Rc::new(Cluster::new(grants, operator, machines));
        for n in 0..NODES.len() {
            cluster.start(n);
        }
        secs(8.0).await;
        tell(cluster.clone()).await;
        assert_eq!(cluster.history.broken_rules(), Vec::<String>::new());
    });
}

pub async fn secs(seconds: f64) {
    tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
}

pub fn spec(number: u32, tasks: u32) -> JobSpec {
    let text = format!(
        "{{\"name_id\":\"j-{number:06}\",\"pool\":\"sums\",\"owner\":\"free\",\"shape\":\"sweep\",\"rank\":\"normal\",\
         \"pieces\":{tasks},\"vcpus\":1.0,\"accelerators\":0.0,\"mem_gb\":1.0,\"bundle\":\"img-1\",\"image_gb\":0.5,\
         \"same_place\":false,\"apart\":false,\"loaners\":true,\"guess_s\":5.0,\"snapshot_s\":0.0,\"flush_s\":0.0}}"
    );
    JobSpec::parse(text.as_bytes()).expect("a valid submission")
}

pub fn task(spec: &JobSpec, index: u32) -> TaskId {
    TaskId { job: spec.id.clone(), index }
}

impl Cluster {
    fn new(grants: Grants, operator: Operator, machines: u32) -> Self {
        let net = MemoryNet::default();
        let history = Rc::new(ExecutionHistory::default());
        history.cancel_after.set(Duration::from_secs_f64(CANCEL_S));
        history.set_teams(settings_of(0, grants, operator.clone()).platform.params.teams);
        let store = Rc::new(FakeStore::default());
        store.keep_time();
        let mut refused = Vec::new();
        for n in 0..NODES.len() {
            let flag = Rc::new(Cell::new(false));
            let addr = SocketAddr::from(([10, 2, 0, n as u8 + 1], 2379));
            store.start(net.host("state"), addr, flag.clone());
            refused.push(flag);
        }
        let users = |n: usize| SocketAddr::from(([10, 0, 0, n as u8 + 1], 8080));
        let controllers = (0..NODES.len()).map(|n| (NODES[n].to_owned(), users(n))).collect();
        let template = WorkerSettings {
            name: String::new(),
            addr: users(0),
            machine_type: String::new(),
            zone: String::new(),
            spot: false,
            cpus: 0.0,
            heartbeat: Duration::from_secs(2),
            lease: Duration::from_secs_f64(LEASE_S),
            heartbeats_after_answers: true,
            controllers,
        };
        let kind = MachineType {
            name: "box".to_owned(),
            cpus: 8.0,
            gpus: 0.0,
            memory_gb: 32.0,
            cache_gb: 20.0,
            fetch_gb_per_s: 1.0,
            price: 1.0,
            spot_price: 0.3,
            boot_s: 5.0,
            zones: vec!["z1".to_owned(), "z2".to_owned()],
        };
        let capacity = machines as usize;
        let cloud =
            FakeCloud::new(Rc::new(net.clone()), history.clone(), template, vec![kind], capacity);
        cloud.start(net.host("cloud"), SocketAddr::from(([10, 2, 1, 1], 443)));
        for n in 0..machines {
            cloud.add(if n % 2 == 0 { "z1" } else { "z2" }, false, 0.5);
        }
        let user = net.host("user");
        let clients =
            (0..NODES.len()).map(|n| Client::new(user.clone(), users(n), 50, 1024 * 1024));
        let clients = clients.collect();
        let running = RefCell::new((0..NODES.len()).map(|_| None).collect());
        let seeds = Cell::new(7);
        Self { grants, operator, net, store, cloud, history, refused, running, clients, seeds }
    }

    pub fn start(&self, n: usize) {
        self.seeds.set(self.seeds.get() + 1);
        let settings = settings_of(n, self.grants, self.operator.clone());
        let (network, seed) = (self.net.host(NODES[n]), self.seeds.get());
        let freezer = Freezer::default();
        // Its own task set: when it is dropped, all that the controller had under way ends.
        let work = async move {
            let set = LocalSet::new();
            let _ = set.run_until(node::run(settings, network, seed)).await;
        };
        let handle = tokio::task::spawn_local(Process::new(work, freezer.clone()));
        self.running.borrow_mut()[n] = Some((handle, freezer));
    }

    pub fn kill(&self, n: usize) {
        if let Some((handle, _)) = self.running.borrow_mut()[n].take() {
            handle.abort();
        }
    }

    /// The controller stands still, while its clocks run on.
    pub async fn freeze(&self, n: usize, seconds: f64) {
        let freezer = self.running.borrow()[n].as_ref().map(|(_, freezer)| freezer.clone());
        let freezer = freezer.expect("it runs");
        freezer.freeze();
        secs(seconds).await;
        freezer.thaw();
    }

    pub fn others(&self, n: usize) -> Vec<usize> {
        (0..NODES.len()).filter(|other| *other != n).collect()
    }

    /// Cuts, or heals, the links between a controller and the others.
    pub fn part(&self, n: usize, parted: bool) {
        for other in self.others(n) {
            match parted {
                true => self.net.cut(NODES[n], NODES[other]),
                false => self.net.heal(NODES[n], NODES[other]),
            }
        }
    }

    /// Each task of the job was started, and none a second time.
    pub fn assert_started_once(&self, job: &JobSpec, why: &str) {
        for index in 0..job.tasks {
            assert_eq!(self.history.started(&task(job, index)), 1, "{why}");
        }
    }

    /// The worker of the machine that a task is on.
    pub fn worker_of(&self, task: &TaskId) -> Rc<FakeWorker> {
        let machine = self.history.machine_of(task).expect("the task is on a machine");
        self.cloud.worker(&machine).expect("a worker")
    }

    pub async fn restart(&self, n: usize, after: f64) {
        self.kill(n);
        secs(after).await;
        self.start(n);
    }

    /// Starts that were sent to a machine and not taken, as far as its worker can tell.
    pub fn lost_starts(&self, machine: &str) -> u32 {
        self.cloud.worker(machine).map_or(0, |worker| worker.unheard_starts())
    }

    pub fn scheduler(&self) -> Option<(usize, u64)> {
        let record: LeaderRecord = serde_json::from_value(self.store.get(LEADER_KEY)?).ok()?;
        let node = record.node?;
        Some((NODES.iter().position(|n| *n == node)?, record.term))
    }

    pub fn planner_node(&self) -> usize {
        self.scheduler().expect("somebody plans").0
    }

    pub fn record(&self, id: &JobId) -> Option<JobRecord> {
        serde_json::from_value(self.store.get(&job_key(id))?).ok()
    }

    /// One request to one controller; `None` without an answer.
    pub async fn ask(
        &self,
        n: usize,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Option<(u16, Vec<u8>)> {
        let limit = Duration::from_secs(5);
        let reply = self.clients[n].request(method, path, body, limit).await.ok()?;
        Some((reply.status, reply.body))
    }

    /// Repeats a request, at one controller after another, until it has a lasting answer.
    async fn insist(&self, method: &str, path: &str, body: &[u8]) -> (u16, Option<JobView>) {
        for round in 0..60 {
            if let Some((status, body)) = self.ask(round % NODES.len(), method, path, body).await {
                if status < 500 && status != 429 {
                    return (status, serde_json::from_slice(&body).ok());
                }
            }
            secs(1.0).await;
        }
        panic!("no lasting answer to {method} {path}");
    }

    /// Repeats a submission to one controller; what it was told counts.
    pub async fn submit_again(&self, n: usize, spec: &JobSpec) -> Option<u16> {
        let asked = tokio::time::Instant::now().into_std();
        let body = serde_json::to_vec(spec).expect("serializable");
        let (status, body) = self.ask(n, "POST", PATH_JOBS, &body).await?;
        let accepted = matches!(status, 200 | 201);
        self.heard(&spec.id, asked, serde_json::from_slice(&body).ok().filter(|_| accepted));
        Some(status)
    }

    pub async fn submit(&self, spec: &JobSpec, run_s: f64) -> u16 {
        self.submit_plan(Plan { spec: spec.clone(), run_s, broken: false }).await
    }

    pub async fn submit_plan(&self, plan: Plan) -> u16 {
        let body = serde_json::to_vec(&plan.spec).expect("serializable");
        let id = plan.spec.id.clone();
        self.history.submitted(plan);
        let asked = tokio::time::Instant::now().into_std();
        let (status, view) = self.insist("POST", PATH_JOBS, &body).await;
        self.heard(&id, asked, view.filter(|_| matches!(status, 200 | 201)));
        status
    }

    pub async fn status(&self, id: &JobId) -> Option<JobStatus> {
        let asked = tokio::time::Instant::now().into_std();
        let (_, view) = self.insist("GET", &format!("{PATH_JOBS}/{id}"), b"").await;
        self.heard(id, asked, view)
    }

    pub async fn cancel(&self, id: &JobId) -> Option<JobStatus> {
        let path = format!("{PATH_JOBS}/{id}/{PATH_CANCEL}");
        let asked = tokio::time::Instant::now().into_std();
        let (_, view) = self.insist("POST", &path, b"").await;
        self.heard(id, asked, view)
    }

    /// One request about a job to one controller; what it was told counts.
    pub async fn ask_about(&self, n: usize, id: &JobId, verb: Option<&str>) -> Option<JobStatus> {
        let asked = tokio::time::Instant::now().into_std();
        let path = format!("{PATH_JOBS}/{id}");
        let answer = match verb {
            Some(verb) => self.ask(n, "POST", &format!("{path}/{verb}"), b"").await,
            None => self.ask(n, "GET", &path, b"").await,
        };
        let (status, body) = answer?;
        if status == 404 {
            self.history.told_unknown(id, asked);
        }
        self.heard(id, asked, serde_json::from_slice(&body).ok().filter(|_| status == 200))
    }

    /// Cancels at one controller, as often as it takes.
    pub async fn cancel_at(&self, n: usize, id: &JobId) {
        for _ in 0..60 {
            if self.ask_about(n, id, Some(PATH_CANCEL)).await == Some(JobStatus::Cancelled) {
                return;
            }
            secs(0.5).await;
        }
        panic!("{id} is not cancelled");
    }

    fn heard(&self, id: &JobId, asked: Instant, view: Option<JobView>) -> Option<JobStatus> {
        let status = view?.status;
        self.history.told(id, status, asked);
        Some(status)
    }

    /// Waits until the job is done, and says how long that took.
    pub async fn until_done(&self, id: &JobId, limit: f64) -> f64 {
        let start = tokio::time::Instant::now();
        while self.status(id).await != Some(JobStatus::Done) {
            let waited = start.elapsed().as_secs_f64();
            if waited >= limit {
                let view = self.ask(self.planner_node(), "GET", "/operator/overview", b"").await;
                let view = view.map(|(_, body)| String::from_utf8_lossy(&body).into_owned());
                panic!("{id} is not done after {waited} s: {:?}, {view:?}", self.record(id));
            }
            secs(1.0).await;
        }
        start.elapsed().as_secs_f64()
    }
}
