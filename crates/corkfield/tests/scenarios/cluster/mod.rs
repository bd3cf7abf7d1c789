//! An in-memory deployment: three controllers, the fakes around them, and a user.

mod settings;
mod store_load;
mod users;

pub use settings::{large_machine_type, machine_type, PlatformLimits};
pub use store_load::{
    is_job_cancellation, is_job_claim, is_transaction, is_transaction_with, StoreLoad,
};

use corkfield::node;
use corkfield::settings::Operator;
use corkfield_fakes::{
    ExecutionHistory, FakeCloud, FakeStore, FakeWorker, MemoryNet, PausableProcess, PauseHandle,
    Violation,
};
use corkfield_http::Client;
use corkfield_wire::cloud::MachineType;
use corkfield_wire::records::{job_key, JobRecord, LeaderRecord, LEADER_KEY};
use corkfield_wire::{JobId, JobSpec, TaskId, Term};
use settings::{
    client_addr, cloud_addr, controller_settings, store_addr, worker_template, PEER_PORT,
    SMALL_LIMITS,
};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinHandle, LocalSet};

/// The names of the controllers.
pub const CONTROLLERS: [&str; 3] = ["n0", "n1", "n2"];
/// The time for which tasks may continue after a confirmed cancellation, in seconds.
pub const CANCEL_S: f64 = 30.0;
/// The duration of a worker's lease, in seconds.
pub const LEASE_S: f64 = 12.0;

/// The time that the deployment runs before a scenario begins, in seconds.
const WARM_UP_S: f64 = 8.0;
const MAX_USER_CONNECTIONS: usize = 50;
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// The process of a controller.
struct ControllerProcess {
    handle: JoinHandle<()>,
    pause_handle: PauseHandle,
}

/// The leader and its term, as read from the leader record.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ElectedLeader {
    /// The index of the leader in [`CONTROLLERS`].
    pub controller: usize,
    /// The term under which the controller leads.
    pub term: Term,
}

/// An in-memory deployment.
pub struct Cluster {
    limits: PlatformLimits,
    operator: Operator,
    pub net: MemoryNet,
    pub store: Rc<FakeStore>,
    pub cloud: Rc<FakeCloud>,
    pub history: Rc<ExecutionHistory>,
    /// For each controller: whether the state service refuses its requests.
    pub is_refused_by_store: Vec<Rc<Cell<bool>>>,
    processes: RefCell<Vec<Option<ControllerProcess>>>,
    clients: Vec<Client>,
    last_seed: Cell<u64>,
}

/// Runs a scenario in simulated time; at the end, asserts that no safety rule was violated.
pub fn scenario<F: Future<Output = ()>>(machines: u32, body: impl FnOnce(Rc<Cluster>) -> F) {
    scenario_with_limits(SMALL_LIMITS, machines, body);
}

/// Runs a scenario with other limits of the platform than [`SMALL_LIMITS`].
pub fn scenario_with_limits<F: Future<Output = ()>>(
    limits: PlatformLimits,
    machines: u32,
    body: impl FnOnce(Rc<Cluster>) -> F,
) {
    run_scenario(limits, Operator::default(), vec![machine_type()], machines, body);
}

/// Runs a scenario with other operator settings than the defaults.
pub fn scenario_with_operator<F: Future<Output = ()>>(
    operator: Operator,
    machines: u32,
    body: impl FnOnce(Rc<Cluster>) -> F,
) {
    run_scenario(SMALL_LIMITS, operator, vec![machine_type()], machines, body);
}

/// Runs a scenario with other machine types than the default one. The machines that are up at the
/// start are of the first type.
pub fn scenario_with_types<F: Future<Output = ()>>(
    types: Vec<MachineType>,
    machines: u32,
    body: impl FnOnce(Rc<Cluster>) -> F,
) {
    run_scenario(SMALL_LIMITS, Operator::default(), types, machines, body);
}

fn run_scenario<F: Future<Output = ()>>(
    limits: PlatformLimits,
    operator: Operator,
    types: Vec<MachineType>,
    machines: u32,
    body: impl FnOnce(Rc<Cluster>) -> F,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let cluster = Rc::new(Cluster::new(limits, operator, types, machines));
        for controller in 0..CONTROLLERS.len() {
            cluster.start_controller(controller);
        }
        sleep_s(WARM_UP_S).await;
        body(cluster.clone()).await;
        assert_eq!(cluster.history.violations(), Vec::<Violation>::new());
    });
}

/// Sleeps in simulated time.
pub async fn sleep_s(seconds: f64) {
    tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
}

/// Returns a job of the team without a quota; each of its tasks needs one CPU.
pub fn job_spec(number: u32, tasks: u32) -> JobSpec {
    let text = format!(
        "{{\"name_id\":\"j-{number:06}\",\"pool\":\"sums\",\"owner\":\"free\",\"shape\":\"sweep\",\"rank\":\"normal\",\
         \"pieces\":{tasks},\"vcpus\":1.0,\"accelerators\":0.0,\"mem_gb\":1.0,\"bundle\":\"img-1\",\"image_gb\":0.5,\
         \"same_place\":false,\"apart\":false,\"loaners\":true,\"guess_s\":5.0,\"snapshot_s\":0.0,\"flush_s\":0.0}}"
    );
    JobSpec::parse(text.as_bytes()).expect("a valid submission")
}

/// Returns the id of a task of a job.
pub fn task_id(spec: &JobSpec, index: u32) -> TaskId {
    TaskId { job: spec.id.clone(), index }
}

impl Cluster {
    fn new(
        limits: PlatformLimits,
        operator: Operator,
        types: Vec<MachineType>,
        machines: u32,
    ) -> Self {
        let net = MemoryNet::default();
        net.keep_frames(PEER_PORT);
        let history = Rc::new(ExecutionHistory::default());
        history.cancel_limit.set(Duration::from_secs_f64(CANCEL_S));
        let settings = controller_settings(0, limits, operator.clone());
        history.set_teams(settings.platform.service.teams);
        let store = Rc::new(FakeStore::default());
        store.start_lease_expiry();
        let is_refused_by_store = (0..CONTROLLERS.len()).map(|_| Rc::default()).collect::<Vec<_>>();
        for (controller, is_refusing) in is_refused_by_store.iter().enumerate() {
            store.start(net.host_network("state"), store_addr(controller), Rc::clone(is_refusing));
        }
        let cloud = start_cloud(&net, &history, types, machines);
        let user = net.host_network("user");
        let clients = (0..CONTROLLERS.len())
            .map(|controller| {
                let addr = client_addr(controller);
                Client::new(user.clone(), addr, MAX_USER_CONNECTIONS, MAX_ANSWER_BYTES)
            })
            .collect();
        let processes = RefCell::new(CONTROLLERS.iter().map(|_| None).collect());
        let last_seed = Cell::new(7);
        Self {
            limits,
            operator,
            net,
            store,
            cloud,
            history,
            is_refused_by_store,
            processes,
            clients,
            last_seed,
        }
    }

    /// Starts a controller.
    pub fn start_controller(&self, controller: usize) {
        self.last_seed.set(self.last_seed.get() + 1);
        let settings = controller_settings(controller, self.limits, self.operator.clone());
        let (network, seed) =
            (self.net.host_network(CONTROLLERS[controller]), self.last_seed.get());
        let pause_handle = PauseHandle::default();
        // The controller has its own task set: dropping the set ends all tasks of the controller.
        let controller_run = async move {
            let set = LocalSet::new();
            let _ = set.run_until(node::run(settings, network, seed)).await;
        };
        let process = PausableProcess::new(controller_run, pause_handle.clone());
        let handle = tokio::task::spawn_local(process);
        self.processes.borrow_mut()[controller] = Some(ControllerProcess { handle, pause_handle });
    }

    /// Kills a controller immediately, with all its tasks.
    pub fn kill_controller(&self, controller: usize) {
        if let Some(process) = self.processes.borrow_mut()[controller].take() {
            process.handle.abort();
        }
    }

    /// Kills a controller and starts it again after `after_s` seconds.
    pub async fn restart_controller(&self, controller: usize, after_s: f64) {
        self.kill_controller(controller);
        sleep_s(after_s).await;
        self.start_controller(controller);
    }

    /// Pauses a controller for some seconds, while time continues to pass.
    pub async fn pause_controller(&self, controller: usize, seconds: f64) {
        let pause_handle = self.pause_handle(controller);
        pause_handle.pause();
        sleep_s(seconds).await;
        pause_handle.resume();
    }

    fn pause_handle(&self, controller: usize) -> PauseHandle {
        let processes = self.processes.borrow();
        processes[controller].as_ref().expect("the controller runs").pause_handle.clone()
    }

    /// Returns the indices of all controllers except one.
    pub fn other_controllers(&self, controller: usize) -> Vec<usize> {
        (0..CONTROLLERS.len()).filter(|other| *other != controller).collect()
    }

    /// Partitions a controller from the other controllers.
    pub fn partition_from_peers(&self, controller: usize) {
        for other in self.other_controllers(controller) {
            self.net.partition(CONTROLLERS[controller], CONTROLLERS[other]);
        }
    }

    /// Heals the partition between a controller and the other controllers.
    pub fn heal_to_peers(&self, controller: usize) {
        for other in self.other_controllers(controller) {
            self.net.heal(CONTROLLERS[controller], CONTROLLERS[other]);
        }
    }

    /// Partitions a controller from the machines that have booted.
    pub fn partition_from_workers(&self, controller: usize) {
        for worker in self.cloud.workers() {
            self.net.partition(CONTROLLERS[controller], worker.settings.name.as_str());
        }
    }

    /// Heals the partition between a controller and the machines that have booted.
    pub fn heal_to_workers(&self, controller: usize) {
        for worker in self.cloud.workers() {
            self.net.heal(CONTROLLERS[controller], worker.settings.name.as_str());
        }
    }

    /// Asserts that each task of a job was started exactly once.
    pub fn assert_started_once(&self, job: &JobSpec, message: &str) {
        for index in 0..job.tasks {
            assert_eq!(self.history.start_count(&task_id(job, index)), 1, "{message}");
        }
    }

    /// Returns the worker of the machine that runs a task.
    pub fn worker_of(&self, task: &TaskId) -> Rc<FakeWorker> {
        let machine = self.history.machine_of(task).expect("the task is on a machine");
        self.cloud.worker(machine.as_str()).expect("a worker")
    }

    /// Returns the number of start orders that were sent to a machine in replies that were lost.
    pub fn undelivered_starts(&self, machine: &str) -> u32 {
        self.cloud.worker(machine).map_or(0, |worker| worker.undelivered_starts())
    }

    /// Returns the leader according to the leader record.
    pub fn elected_leader(&self) -> Option<ElectedLeader> {
        let record: LeaderRecord = serde_json::from_value(self.store.value(LEADER_KEY)?).ok()?;
        let name = record.node?;
        let controller = CONTROLLERS.iter().position(|controller| *controller == name.as_str())?;
        Some(ElectedLeader { controller, term: record.term })
    }

    /// Returns the index of the leader in [`CONTROLLERS`].
    pub fn leader(&self) -> usize {
        self.elected_leader().expect("there is a leader").controller
    }

    /// Returns the record of an unfinished job.
    pub fn job_record(&self, id: &JobId) -> Option<JobRecord> {
        serde_json::from_value(self.store.value(&job_key(id))?).ok()
    }
}

/// Starts the cloud with `machines` machines that are about to boot, in two zones.
fn start_cloud(
    net: &MemoryNet,
    history: &Rc<ExecutionHistory>,
    types: Vec<MachineType>,
    machines: u32,
) -> Rc<FakeCloud> {
    let cloud = FakeCloud::new(
        Rc::new(net.clone()),
        history.clone(),
        worker_template(),
        types,
        machines as usize,
    );
    cloud.start(net.host_network("cloud"), cloud_addr());
    for number in 0..machines {
        cloud.add_machine(if number % 2 == 0 { "z1" } else { "z2" }, false, 0.5);
    }
    cloud
}
