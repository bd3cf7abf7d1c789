//! The cloud.

use crate::history::ExecutionHistory;
use crate::net::Hosts;
use crate::worker::{FakeWorker, WorkerSettings};
use crate::{json, now, param, sleep};
use corkfield_http::{serve, Limits, Network, Request, Response};
use corkfield_wire::cloud::{
    ListedMachine, ListedState, MachineList, MachineNames, MachineType, MachineTypes, RentRequest,
    PATH_DELETE, PATH_MACHINES, PATH_TYPES,
};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

struct Rented {
    machine_type: String,
    zone: String,
    spot: bool,
    at: Instant,
    worker: Option<Rc<FakeWorker>>,
}

pub struct FakeCloud {
    hosts: Rc<dyn Hosts>,
    history: Rc<ExecutionHistory>,
    template: WorkerSettings,
    pub types: Vec<MachineType>,
    pub capacity: Cell<usize>,
    pub down: Cell<bool>,
    /// How long machines take to come up.
    pub boot_s: Cell<f64>,
    /// The answers to rentals are lost.
    pub lose_answers: Cell<bool>,
    machines: RefCell<BTreeMap<String, Rented>>,
    bookings: RefCell<BTreeMap<String, Vec<String>>>,
    next: Cell<u32>,
    pub rentals: Cell<u32>,
    pub calls: Cell<u32>,
}

impl FakeCloud {
    /// Machines get addresses of the network (the first number) that the template's address is of.
    pub fn new(
        hosts: Rc<dyn Hosts>,
        history: Rc<ExecutionHistory>,
        template: WorkerSettings,
        types: Vec<MachineType>,
        capacity: usize,
    ) -> Rc<Self> {
        let boot_s = Cell::new(types[0].boot_s);
        Rc::new(Self {
            hosts,
            history,
            template,
            types,
            capacity: Cell::new(capacity),
            down: Cell::new(false),
            boot_s,
            lose_answers: Cell::new(false),
            machines: RefCell::default(),
            bookings: RefCell::default(),
            next: Cell::new(0),
            rentals: Cell::new(0),
            calls: Cell::new(0),
        })
    }

    pub fn start(self: &Rc<Self>, network: Rc<dyn Network>, addr: SocketAddr) {
        let cloud = self.clone();
        tokio::task::spawn_local(async move {
            let Ok(listener) = network.listen(addr).await else { return };
            let handler = move |request| cloud.clone().handle(request);
            serve(listener, Limits::default(), Rc::new(handler)).await;
        });
    }

    /// Rents a machine whose worker starts after a while.
    pub fn add(self: &Rc<Self>, zone: &str, spot: bool, boot_s: f64) -> String {
        let n = self.next.get();
        self.next.set(n + 1);
        let name = format!("host-{n:06}");
        let kind = &self.types[0];
        let rental_answered = Rented {
            machine_type: kind.name.clone(),
            zone: zone.to_owned(),
            spot,
            at: now(),
            worker: None,
        };
        self.machines.borrow_mut().insert(name.clone(), rental_answered);
        let network = match self.template.addr {
            SocketAddr::V4(addr) => addr.ip().octets()[0],
            SocketAddr::V6(_) => 10,
        };
        let addr = SocketAddr::from(([network, 9, (n / 250) as u8, (n % 250) as u8 + 1], 9000));
        let settings = WorkerSettings {
            name: name.clone(),
            addr,
            machine_type: kind.name.clone(),
            zone: zone.to_owned(),
            spot,
            cpus: kind.cpus,
            ..self.template.clone()
        };
        let (cloud, booted) = (self.clone(), name.clone());
        self.hosts.spawn(Box::pin(async move {
            sleep(boot_s).await;
            if let Some(rental_answered) = cloud.machines.borrow_mut().get_mut(&booted) {
                let host = cloud.hosts.host(&booted);
                rental_answered.worker =
                    Some(FakeWorker::start(settings, host, cloud.history.clone()));
            }
        }));
        name
    }

    pub fn worker(&self, name: &str) -> Option<Rc<FakeWorker>> {
        self.machines.borrow().get(name).and_then(|m| m.worker.clone())
    }

    pub fn workers(&self) -> Vec<Rc<FakeWorker>> {
        self.machines.borrow().values().filter_map(|m| m.worker.clone()).collect()
    }

    /// Takes a machine without a notice.
    pub fn take(&self, name: &str) {
        if let Some(rental_answered) = self.machines.borrow_mut().remove(name) {
            if let Some(worker) = rental_answered.worker {
                worker.kill();
            }
        }
    }

    async fn handle(self: Rc<Self>, request: Request) -> Response {
        sleep(0.05).await;
        self.calls.set(self.calls.get() + 1);
        if self.down.get() {
            return Response::new(503, b"{\"error\":\"trouble\"}".to_vec());
        }
        match (request.method.as_str(), request.path()) {
            ("GET", PATH_TYPES) => json(200, &MachineTypes { types: self.types.clone() }),
            ("GET", PATH_MACHINES) => self.list(&request.target),
            ("POST", PATH_MACHINES) => match serde_json::from_slice(&request.body) {
                Ok(rent) => {
                    let answer = self.rent(&rent);
                    if self.lose_answers.get() {
                        return std::future::pending().await;
                    }
                    answer
                }
                Err(_) => Response::new(400, b"{}".to_vec()),
            },
            ("POST", PATH_DELETE) => {
                let names: MachineNames = serde_json::from_slice(&request.body)
                    .unwrap_or(MachineNames { machines: Vec::new() });
                for name in names.machines {
                    self.take(&name);
                }
                Response::new(200, b"{}".to_vec())
            }
            _ => Response::new(404, b"{}".to_vec()),
        }
    }

    fn rent(self: &Rc<Self>, request: &RentRequest) -> Response {
        if let Some(machines) = self.bookings.borrow().get(&request.request) {
            return json(200, &MachineNames { machines: machines.clone() });
        }
        let free = self.capacity.get().saturating_sub(self.machines.borrow().len());
        let count = (request.count as usize).min(free);
        if count == 0 {
            return Response::new(503, b"{\"error\":\"no capacity\"}".to_vec());
        }
        self.rentals.set(self.rentals.get() + 1);
        let boot_s = self.boot_s.get();
        let machines: Vec<String> =
            (0..count).map(|_| self.add(&request.zone, request.spot, boot_s)).collect();
        self.bookings.borrow_mut().insert(request.request.clone(), machines.clone());
        json(200, &MachineNames { machines })
    }

    fn list(&self, target: &str) -> Response {
        let after = param(target, "after").unwrap_or("");
        let limit: usize = param(target, "limit").and_then(|l| l.parse().ok()).unwrap_or(500);
        let machines = self.machines.borrow();
        let mut listed: Vec<ListedMachine> = machines
            .iter()
            .filter(|(name, _)| name.as_str() > after)
            .map(|(name, rental_answered)| ListedMachine {
                name: name.clone(),
                addr: String::new(),
                machine_type: rental_answered.machine_type.clone(),
                zone: rental_answered.zone.clone(),
                spot: rental_answered.spot,
                state: match rental_answered.worker {
                    Some(_) => ListedState::Running,
                    None => ListedState::Booting,
                },
                age_s: now().saturating_duration_since(rental_answered.at).as_secs_f64(),
            })
            .collect();
        let more = listed.len() > limit;
        listed.truncate(limit);
        json(200, &MachineList { machines: listed, more })
    }
}
