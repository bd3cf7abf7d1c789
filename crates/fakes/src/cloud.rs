//! A fake cloud: it rents, boots, lists and deletes machines.

use crate::history::ExecutionHistory;
use crate::net::NetworkProvider;
use crate::worker::{FakeWorker, WorkerSettings};
use crate::{empty_response, json_response, now, numeric_parameter, query_parameter, sleep};
use corkfield_http::{serve, Limits, Network, Request, Response};
use corkfield_wire::cloud::{
    ListedMachine, ListedState, MachineList, MachineNames, MachineType, MachineTypes, RentRequest,
    PATH_DELETE, PATH_MACHINES, PATH_TYPES,
};
use corkfield_wire::MachineName;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

/// The time that the cloud takes to answer a request, in seconds.
const ANSWER_DELAY_S: f64 = 0.05;
/// The page size of the list of machines for requests without a limit.
const DEFAULT_PAGE_SIZE: usize = 500;
/// The number of machines that share the first three octets of their addresses.
const MACHINES_PER_SUBNET: u32 = 250;

struct RentedMachine {
    machine_type: String,
    zone: String,
    spot: bool,
    rented_at: Instant,
    /// The worker of the machine; `None` while the machine boots.
    worker: Option<Rc<FakeWorker>>,
}

/// A fake cloud. Machines that are not rented by a request are of the first machine type, unless a
/// type is given.
pub struct FakeCloud {
    networks: Rc<dyn NetworkProvider>,
    history: Rc<ExecutionHistory>,
    worker_template: WorkerSettings,
    /// The machine types that the cloud lists.
    pub machine_types: Vec<MachineType>,
    /// The largest number of machines that can exist at the same time.
    pub capacity: Cell<usize>,
    /// Whether the cloud answers every request with 503.
    pub is_down: Cell<bool>,
    /// The boot time of rented machines, in seconds.
    pub boot_s: Cell<f64>,
    /// Whether the answers to rental requests are lost. The requests are still executed.
    pub is_losing_answers: Cell<bool>,
    /// If set, a copy of each rental and each deletion that was executed arrives again after this
    /// many seconds.
    pub copy_delay_s: Cell<Option<f64>>,
    /// The number of copies of rentals and deletions that arrived.
    pub copies: Cell<u32>,
    machines: RefCell<BTreeMap<MachineName, RentedMachine>>,
    /// The machines that were rented for each rental request; a repeated request gets the same
    /// machines.
    answered_rentals: RefCell<BTreeMap<String, Vec<MachineName>>>,
    next_machine: Cell<u32>,
    /// The number of rental requests that were executed.
    pub executed_rentals: Cell<u32>,
    /// The number of requests that reached the cloud.
    pub requests: Cell<u32>,
}

impl FakeCloud {
    /// Creates a cloud without machines. The first octet of a machine's address is that of the
    /// template's address.
    pub fn new(
        networks: Rc<dyn NetworkProvider>,
        history: Rc<ExecutionHistory>,
        worker_template: WorkerSettings,
        machine_types: Vec<MachineType>,
        capacity: usize,
    ) -> Rc<Self> {
        let boot_s = Cell::new(machine_types[0].boot_s);
        Rc::new(Self {
            networks,
            history,
            worker_template,
            machine_types,
            capacity: Cell::new(capacity),
            is_down: Cell::new(false),
            boot_s,
            is_losing_answers: Cell::new(false),
            copy_delay_s: Cell::new(None),
            copies: Cell::new(0),
            machines: RefCell::default(),
            answered_rentals: RefCell::default(),
            next_machine: Cell::new(0),
            executed_rentals: Cell::new(0),
            requests: Cell::new(0),
        })
    }

    /// Starts to serve the cloud's HTTP interface at an address.
    pub fn start(self: &Rc<Self>, network: Rc<dyn Network>, addr: SocketAddr) {
        let cloud = self.clone();
        tokio::task::spawn_local(async move {
            let Ok(listener) = network.listen(addr).await else { return };
            let handler = move |request| cloud.clone().handle(request);
            serve(listener, Limits::default(), Rc::new(handler)).await;
        });
    }

    /// Adds a machine of the first type whose worker starts after `boot_s` seconds; returns the
    /// machine's name.
    pub fn add_machine(self: &Rc<Self>, zone: &str, spot: bool, boot_s: f64) -> MachineName {
        self.add_machine_of_type(&self.machine_types[0], zone, spot, boot_s)
    }

    /// Adds a machine of a type whose worker starts after `boot_s` seconds; returns the machine's
    /// name.
    pub fn add_machine_of_type(
        self: &Rc<Self>,
        machine_type: &MachineType,
        zone: &str,
        spot: bool,
        boot_s: f64,
    ) -> MachineName {
        let number = self.next_machine.get();
        self.next_machine.set(number + 1);
        let name = MachineName::from(format!("host-{number:06}"));
        let machine = RentedMachine {
            machine_type: machine_type.name.clone(),
            zone: zone.to_owned(),
            spot,
            rented_at: now(),
            worker: None,
        };
        self.machines.borrow_mut().insert(name.clone(), machine);
        let settings = WorkerSettings {
            name: name.clone(),
            addr: self.machine_addr(number),
            machine_type: machine_type.name.clone(),
            zone: zone.to_owned(),
            spot,
            cpus: machine_type.cpus,
            memory_gb: machine_type.memory_gb,
            ..self.worker_template.clone()
        };
        let cloud = self.clone();
        self.networks.spawn(Box::pin(async move {
            sleep(boot_s).await;
            cloud.start_worker(settings);
        }));
        name
    }

    fn machine_addr(&self, number: u32) -> SocketAddr {
        let network = match self.worker_template.addr {
            SocketAddr::V4(addr) => addr.ip().octets()[0],
            SocketAddr::V6(_) => 10,
        };
        let subnet = (number / MACHINES_PER_SUBNET) as u8;
        let host = (number % MACHINES_PER_SUBNET) as u8 + 1;
        SocketAddr::from(([network, 9, subnet, host], 9000))
    }

    /// Starts the worker of a machine that has booted, unless the machine was deleted meanwhile.
    fn start_worker(&self, settings: WorkerSettings) {
        if let Some(machine) = self.machines.borrow_mut().get_mut(&settings.name) {
            let network = self.networks.host_network(settings.name.as_str());
            machine.worker = Some(FakeWorker::start(settings, network, self.history.clone()));
        }
    }

    /// Returns the worker of a machine that has booted.
    pub fn worker(&self, name: &str) -> Option<Rc<FakeWorker>> {
        self.machines.borrow().get(name).and_then(|machine| machine.worker.clone())
    }

    /// Returns the workers of all machines that have booted, ordered by machine name.
    pub fn workers(&self) -> Vec<Rc<FakeWorker>> {
        self.machines.borrow().values().filter_map(|machine| machine.worker.clone()).collect()
    }

    /// Returns the number of machines of a type that exist at the moment.
    pub fn rented_machines(&self, machine_type: &str) -> usize {
        let machines = self.machines.borrow();
        machines.values().filter(|machine| machine.machine_type == machine_type).count()
    }

    /// Reclaims a machine without an interruption notice.
    pub fn reclaim(&self, name: &str) {
        if let Some(machine) = self.machines.borrow_mut().remove(name) {
            if let Some(worker) = machine.worker {
                worker.kill();
            }
        }
    }

    async fn handle(self: Rc<Self>, request: Request) -> Response {
        sleep(ANSWER_DELAY_S).await;
        self.requests.set(self.requests.get() + 1);
        if self.is_down.get() {
            return Response::new(503, b"{\"error\":\"trouble\"}".to_vec());
        }
        match (request.method.as_str(), request.path()) {
            ("GET", PATH_TYPES) => {
                json_response(200, &MachineTypes { types: self.machine_types.clone() })
            }
            ("GET", PATH_MACHINES) => self.list(&request.target),
            ("POST", PATH_MACHINES) => {
                self.copy_later(&request);
                self.answer_rental(&request.body).await
            }
            ("POST", PATH_DELETE) => {
                self.copy_later(&request);
                self.delete(&request.body)
            }
            _ => empty_response(404),
        }
    }

    /// Executes a copy of the request after the delay for copies, if one is set.
    fn copy_later(self: &Rc<Self>, request: &Request) {
        let Some(delay_s) = self.copy_delay_s.get() else { return };
        let is_rental = request.path() == PATH_MACHINES;
        let (cloud, body) = (self.clone(), request.body.clone());
        tokio::task::spawn_local(async move {
            sleep(delay_s).await;
            cloud.copies.set(cloud.copies.get() + 1);
            if !is_rental {
                cloud.delete(&body);
            } else if let Ok(rental) = serde_json::from_slice(&body) {
                cloud.rent(&rental);
            }
        });
    }

    async fn answer_rental(self: &Rc<Self>, body: &[u8]) -> Response {
        let Ok(request) = serde_json::from_slice(body) else { return empty_response(400) };
        let answer = self.rent(&request);
        if self.is_losing_answers.get() {
            return std::future::pending().await;
        }
        answer
    }

    fn rent(self: &Rc<Self>, request: &RentRequest) -> Response {
        if let Some(machines) = self.answered_rentals.borrow().get(&request.request) {
            return json_response(200, &MachineNames { machines: machines.clone() });
        }
        let known = self.machine_types.iter().find(|known| known.name == request.machine_type);
        let Some(machine_type) = known else { return empty_response(400) };
        let free_capacity = self.capacity.get().saturating_sub(self.machines.borrow().len());
        let count = (request.count as usize).min(free_capacity);
        if count == 0 {
            return Response::new(503, b"{\"error\":\"no capacity\"}".to_vec());
        }
        self.executed_rentals.set(self.executed_rentals.get() + 1);
        let boot_s = self.boot_s.get();
        let add_machine =
            |_| self.add_machine_of_type(machine_type, &request.zone, request.spot, boot_s);
        let machines: Vec<MachineName> = (0..count).map(add_machine).collect();
        self.answered_rentals.borrow_mut().insert(request.request.clone(), machines.clone());
        json_response(200, &MachineNames { machines })
    }

    fn delete(&self, body: &[u8]) -> Response {
        let names: MachineNames =
            serde_json::from_slice(body).unwrap_or(MachineNames { machines: Vec::new() });
        for name in names.machines {
            self.reclaim(name.as_str());
        }
        empty_response(200)
    }

    fn list(&self, target: &str) -> Response {
        let after = query_parameter(target, "after").unwrap_or("");
        let limit = numeric_parameter(target, "limit").unwrap_or(DEFAULT_PAGE_SIZE);
        let machines = self.machines.borrow();
        let mut listed: Vec<ListedMachine> = machines
            .iter()
            .filter(|(name, _)| name.as_str() > after)
            .map(|(name, machine)| machine.to_listed(name.as_str()))
            .collect();
        let more = listed.len() > limit;
        listed.truncate(limit);
        json_response(200, &MachineList { machines: listed, has_more: more })
    }
}

impl RentedMachine {
    fn to_listed(&self, name: &str) -> ListedMachine {
        let state = if self.worker.is_some() { ListedState::Running } else { ListedState::Booting };
        ListedMachine {
            name: MachineName::from(name),
            addr: String::new(),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            state,
            age_s: now().saturating_duration_since(self.rented_at).as_secs_f64(),
        }
    }
}
