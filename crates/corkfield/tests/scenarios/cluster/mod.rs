//! A deployment in memory: three controllers, the stand-ins, and a user.

mod settings;
mod store_load;
mod users;

pub use settings::PlatformLimits;
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
use corkfield_wire::records::{job_key, JobRecord, LeaderRecord, LEADER_KEY};
use corkfield_wire::{JobId, JobSpec, TaskId, Term};
use settings::{
    client_addr, cloud_addr, controller_settings, machine_type, store_addr, worker_template,
    SMALL_LIMITS,
};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinHandle, LocalSet};

/// The controllers by name.
pub const CONTROLLERS: [&str; 3] = ["n0", "n1", "n2"];
/// How long tasks may run on after a cancellation, in seconds.
pub const CANCEL_S: f64 = 30.0;
/// The lease of a worker, in seconds.
pub const LEASE_S: f64 = 12.0;

/// How long the deployment runs before a scenario begins, in seconds.
const WARM_UP_S: f64 = 8.0;
const MAX_USER_CONNECTIONS: usize = 50;
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// A controller's process.
struct ControllerProcess {
    handle: JoinHandle<()>,
    pause_handle: PauseHandle,
}

/// Who leads, and under which term.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ElectedLeader {
    /// Its index among [`CONTROLLERS`].
    pub controller: usize,
    /// The term of its claim.
    pub term: Term,
}

/// The whole deployment.
pub struct Cluster {
    limits: PlatformLimits,
    operator: Operator,
    pub net: MemoryNet,
    pub store: Rc<FakeStore>,
    pub cloud: Rc<FakeCloud>,
    pub history: Rc<ExecutionHistory>,
    /// While set, the state service refuses that controller.
    pub is_refused_by_store: Vec<Rc<Cell<bool>>>,
    processes: RefCell<Vec<Option<ControllerProcess>>>,
    clients: Vec<Client>,
    last_seed: Cell<u64>,
}

/// Plays a scenario in simulated time; it ends with a look at the rules.
pub fn scenario<F: Future<Output = ()>>(machines: u32, play: impl FnOnce(Rc<Cluster>) -> F) {
    scenario_with_limits(SMALL_LIMITS, machines, play);
}

/// A scenario under other grants of the platform.
pub fn scenario_with_limits<F: Future<Output = ()>>(
    limits: PlatformLimits,
    machines: u32,
    play: impl FnOnce(Rc<Cluster>) -> F,
) {
    play_scenario(limits, Operator::default(), machines, play);
}

/// A scenario under settings that the operators changed.
pub fn scenario_with_operator<F: Future<Output = ()>>(
    operator: Operator,
    machines: u32,
    play: impl FnOnce(Rc<Cluster>) -> F,
) {
    play_scenario(SMALL_LIMITS, operator, machines, play);
}

fn play_scenario<F: Future<Output = ()>>(
    limits: PlatformLimits,
    operator: Operator,
    machines: u32,
    play: impl FnOnce(Rc<Cluster>) -> F,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let cluster = Rc::new(Cluster::new(limits, operator, machines));
        for controller in 0..CONTROLLERS.len() {
            cluster.start_controller(controller);
        }
        sleep_s(WARM_UP_S).await;
        play(cluster.clone()).await;
        assert_eq!(cluster.history.violations(), Vec::<Violation>::new());
    });
}

/// Sleeps in simulated time.
pub async fn sleep_s(seconds: f64) {
    tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
}

/// A job of tasks of one CPU each, of the team without a quota.
pub fn job_spec(number: u32, tasks: u32) -> JobSpec {
    let text = format!(
        "{{\"name_id\":\"j-{number:06}\",\"pool\":\"sums\",\"owner\":\"free\",\"shape\":\"sweep\",\"rank\":\"normal\",\
         \"pieces\":{tasks},\"vcpus\":1.0,\"accelerators\":0.0,\"mem_gb\":1.0,\"bundle\":\"img-1\",\"image_gb\":0.5,\
         \"same_place\":false,\"apart\":false,\"loaners\":true,\"guess_s\":5.0,\"snapshot_s\":0.0,\"flush_s\":0.0}}"
    );
    JobSpec::parse(text.as_bytes()).expect("a valid submission")
}

/// A task of a job.
pub fn task_id(spec: &JobSpec, index: u32) -> TaskId {
    TaskId { job: spec.id.clone(), index }
}

impl Cluster {
    fn new(limits: PlatformLimits, operator: Operator, machines: u32) -> Self {
        let net = MemoryNet::default();
        let history = Rc::new(ExecutionHistory::default());
        history.cancel_limit.set(Duration::from_secs_f64(CANCEL_S));
        let settings = controller_settings(0, limits, operator.clone());
        history.set_teams(settings.platform.params.teams);
        let store = Rc::new(FakeStore::default());
        store.start_lease_expiry();
        let is_refused_by_store = (0..CONTROLLERS.len()).map(|_| Rc::default()).collect::<Vec<_>>();
        for (controller, is_refusing) in is_refused_by_store.iter().enumerate() {
            store.start(net.host_network("state"), store_addr(controller), Rc::clone(is_refusing));
        }
        let cloud = start_cloud(&net, &history, machines);
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
        // Its own task set: when it is dropped, all that the controller had under way ends.
        let controller_run = async move {
            let set = LocalSet::new();
            let _ = set.run_until(node::run(settings, network, seed)).await;
        };
        let process = PausableProcess::new(controller_run, pause_handle.clone());
        let handle = tokio::task::spawn_local(process);
        self.processes.borrow_mut()[controller] = Some(ControllerProcess { handle, pause_handle });
    }

    /// Ends a controller at once, with all that it has under way.
    pub fn kill_controller(&self, controller: usize) {
        if let Some(process) = self.processes.borrow_mut()[controller].take() {
            process.handle.abort();
        }
    }

    /// Ends a controller, and starts it again after some seconds.
    pub async fn restart_controller(&self, controller: usize, after_s: f64) {
        self.kill_controller(controller);
        sleep_s(after_s).await;
        self.start_controller(controller);
    }

    /// Pauses a controller, while its clocks run on.
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

    /// All controllers but one.
    pub fn other_controllers(&self, controller: usize) -> Vec<usize> {
        (0..CONTROLLERS.len()).filter(|other| *other != controller).collect()
    }

    /// Cuts the links between a controller and the others.
    pub fn partition_from_peers(&self, controller: usize) {
        for other in self.other_controllers(controller) {
            self.net.partition(CONTROLLERS[controller], CONTROLLERS[other]);
        }
    }

    /// Heals the links between a controller and the others.
    pub fn heal_to_peers(&self, controller: usize) {
        for other in self.other_controllers(controller) {
            self.net.heal(CONTROLLERS[controller], CONTROLLERS[other]);
        }
    }

    /// Cuts the links between a controller and the machines that are up.
    pub fn partition_from_workers(&self, controller: usize) {
        for worker in self.cloud.workers() {
            self.net.partition(CONTROLLERS[controller], worker.settings.name.as_str());
        }
    }

    /// Heals the links between a controller and the machines that are up.
    pub fn heal_to_workers(&self, controller: usize) {
        for worker in self.cloud.workers() {
            self.net.heal(CONTROLLERS[controller], worker.settings.name.as_str());
        }
    }

    /// Each task of the job was started, and none a second time.
    pub fn assert_started_once(&self, job: &JobSpec, why: &str) {
        for index in 0..job.tasks {
            assert_eq!(self.history.start_count(&task_id(job, index)), 1, "{why}");
        }
    }

    /// The worker of the machine that a task is on.
    pub fn worker_of(&self, task: &TaskId) -> Rc<FakeWorker> {
        let machine = self.history.machine_of(task).expect("the task is on a machine");
        self.cloud.worker(machine.as_str()).expect("a worker")
    }

    /// Starts that were sent to a machine and did not reach it, as far as its worker can tell.
    pub fn undelivered_starts(&self, machine: &str) -> u32 {
        self.cloud.worker(machine).map_or(0, |worker| worker.undelivered_starts())
    }

    /// The leader that the leader record names.
    pub fn elected_leader(&self) -> Option<ElectedLeader> {
        let record: LeaderRecord = serde_json::from_value(self.store.value(LEADER_KEY)?).ok()?;
        let name = record.node?;
        let controller = CONTROLLERS.iter().position(|controller| *controller == name.as_str())?;
        Some(ElectedLeader { controller, term: record.term })
    }

    /// The index of the leader among [`CONTROLLERS`].
    pub fn leader(&self) -> usize {
        self.elected_leader().expect("there is a leader").controller
    }

    /// The record of an unfinished job.
    pub fn job_record(&self, id: &JobId) -> Option<JobRecord> {
        serde_json::from_value(self.store.value(&job_key(id))?).ok()
    }
}

/// Starts the cloud, with this many machines about to come up in two zones.
fn start_cloud(net: &MemoryNet, history: &Rc<ExecutionHistory>, machines: u32) -> Rc<FakeCloud> {
    let cloud = FakeCloud::new(
        Rc::new(net.clone()),
        history.clone(),
        worker_template(),
        vec![machine_type()],
        machines as usize,
    );
    cloud.start(net.host_network("cloud"), cloud_addr());
    for number in 0..machines {
        cloud.add_machine(if number % 2 == 0 { "z1" } else { "z2" }, false, 0.5);
    }
    cloud
}
