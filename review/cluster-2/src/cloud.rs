//! A stand-in for the cloud, after the protocol page: its list lags.

use crate::record::Record;
use crate::worker::{json_response, serve_bound, Machine, Worker};
use crate::world::World;
use corkfield_http::{Request, Response};
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

const ANSWER_DELAY: Duration = Duration::from_millis(50);

/// A machine type.
#[derive(Debug, Clone)]
pub struct Flavour {
    pub label: &'static str,
    pub vcpus: f64,
    pub mem_gb: f64,
    pub rate: f64,
    pub low_price: f64,
    pub boot_s: f64,
    pub sites: Vec<&'static str>,
}

struct Rented {
    machine: Machine,
    rented_at: Instant,
    gone_at: Option<Instant>,
    worker: Option<Rc<Worker>>,
}

/// The cloud.
pub struct Cloud {
    world: Rc<World>,
    record: Rc<Record>,
    flavours: Vec<Flavour>,
    template: Machine,
    list_lag: Duration,
    capacity: usize,
    next: Cell<u32>,
    hosts: RefCell<BTreeMap<String, Rented>>,
    bookings: RefCell<BTreeMap<String, Vec<String>>>,
    booked: RefCell<Vec<(String, usize)>>,
}

impl Cloud {
    pub async fn start(
        addr: SocketAddr,
        world: Rc<World>,
        flavours: Vec<Flavour>,
        template: Machine,
        list_lag: Duration,
        capacity: usize,
    ) -> std::io::Result<Rc<Self>> {
        let listener = TcpListener::bind(addr).await?;
        let cloud = Rc::new(Self {
            record: world.record.clone(),
            world,
            flavours,
            template,
            list_lag,
            capacity,
            next: Cell::new(1),
            hosts: RefCell::default(),
            bookings: RefCell::default(),
            booked: RefCell::default(),
        });
        let handled = cloud.clone();
        let handler = move |request| handled.clone().answer(request);
        tokio::task::spawn_local(serve_bound(listener, handler));
        Ok(cloud)
    }

    /// Adds a machine that is up after `boot_s`, and was rented longer ago than the list lags.
    pub fn add_host(
        self: &Rc<Self>,
        flavour: &str,
        site: &str,
        loaners: bool,
        boot_s: f64,
    ) -> String {
        let number = self.next.get();
        self.next.set(number + 1);
        let name = format!("host-{number:06}");
        let Some(kind) = self.flavours.iter().find(|kind| kind.label == flavour) else {
            return String::new();
        };
        let machine = Machine {
            name: name.clone(),
            flavour: flavour.to_owned(),
            site: site.to_owned(),
            loaners,
            vcpus: kind.vcpus,
            mem_gb: kind.mem_gb,
            ..self.template.clone()
        };
        let rented = Rented {
            machine: machine.clone(),
            rented_at: Instant::now(),
            gone_at: None,
            worker: None,
        };
        self.hosts.borrow_mut().insert(name.clone(), rented);
        let cloud = self.clone();
        let up = name.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(Duration::from_secs_f64(boot_s)).await;
            let is_gone = cloud.hosts.borrow().get(&up).is_none_or(|host| host.gone_at.is_some());
            if is_gone {
                return;
            }
            if let Ok(worker) = Worker::start(machine, cloud.world.clone()).await {
                cloud.record.note(format!("{up}: up, worker at {}", worker.addr));
                if let Some(host) = cloud.hosts.borrow_mut().get_mut(&up) {
                    host.worker = Some(worker);
                }
            }
        });
        name
    }

    /// Returns the workers of the machines that are up.
    pub fn workers(&self) -> Vec<Rc<Worker>> {
        let hosts = self.hosts.borrow();
        let up = hosts.values().filter(|host| host.gone_at.is_none());
        up.filter_map(|host| host.worker.clone()).collect()
    }

    /// The cloud takes a spot machine back, without a notice.
    pub fn take_back(&self, name: &str) {
        let mut hosts = self.hosts.borrow_mut();
        let Some(host) = hosts.get_mut(name) else { return };
        host.gone_at = Some(Instant::now());
        let worker = host.worker.take();
        drop(hosts);
        self.record.note(format!("cloud: {name} taken back"));
        if let Some(worker) = worker {
            worker.delete();
        }
    }

    /// Returns the bookings so far: their machine types, and how many machines each brought.
    pub fn booked(&self) -> Vec<(String, usize)> {
        self.booked.borrow().clone()
    }

    /// A machine dies, with all that is on it; it is listed for 30 s more.
    pub fn kill_host(self: &Rc<Self>, name: &str) {
        let worker = self.hosts.borrow_mut().get_mut(name).and_then(|host| host.worker.clone());
        if let Some(worker) = worker {
            self.record.note(format!("cloud: {name} dies"));
            worker.delete();
            let (cloud, name) = (self.clone(), name.to_owned());
            tokio::task::spawn_local(async move {
                tokio::time::sleep(Duration::from_secs(30)).await;
                if let Some(host) = cloud.hosts.borrow_mut().get_mut(&name) {
                    host.gone_at.get_or_insert(Instant::now());
                    host.worker = None;
                }
            });
        }
    }

    fn live_count(&self) -> usize {
        self.hosts.borrow().values().filter(|host| host.gone_at.is_none()).count()
    }

    async fn answer(self: Rc<Self>, request: Request) -> Response {
        tokio::time::sleep(ANSWER_DELAY).await;
        match (request.method.as_str(), request.path()) {
            ("GET", "/flavors") => self.list_flavours(),
            ("GET", "/hosts") => self.list(&request.target),
            ("POST", "/hosts") => self.rent(&request.body),
            ("POST", "/hosts/delete") => self.delete(&request.body),
            _ => json_response(404, &json!({})),
        }
    }

    fn list_flavours(&self) -> Response {
        let flavours: Vec<Value> = self
            .flavours
            .iter()
            .map(|kind| {
                json!({"label": kind.label, "vcpus": kind.vcpus, "accelerators": 0.0,
                    "mem_gb": kind.mem_gb, "cache_gb": 35.0, "pull_gb_per_s": 2.0,
                    "rate": kind.rate, "low_price": kind.low_price, "boot_s": kind.boot_s,
                    "sites": kind.sites})
            })
            .collect();
        json_response(200, &json!({"flavours": flavours}))
    }

    fn rent(self: &Rc<Self>, body: &[u8]) -> Response {
        let request: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let booking = request["booking"].as_str().unwrap_or_default().to_owned();
        if let Some(names) = self.bookings.borrow().get(&booking) {
            return json_response(200, &json!({"hosts": names}));
        }
        let (Some(flavour), Some(site)) = (request["flavour"].as_str(), request["site"].as_str())
        else {
            return json_response(400, &json!({}));
        };
        let free = self.capacity.saturating_sub(self.live_count());
        let number = request["number"].as_u64().unwrap_or(0).min(50).min(free as u64);
        if number == 0 {
            return json_response(503, &json!({"error": "no capacity"}));
        }
        let boot_s =
            self.flavours.iter().find(|kind| kind.label == flavour).map_or(15.0, |k| k.boot_s);
        let loaners = request["loaners"].as_bool().unwrap_or(false);
        let names: Vec<String> =
            (0..number).map(|_| self.add_host(flavour, site, loaners, boot_s)).collect();
        self.record.note(format!("cloud: booking {booking} of {flavour}: {names:?}"));
        self.booked.borrow_mut().push((flavour.to_owned(), names.len()));
        self.bookings.borrow_mut().insert(booking, names.clone());
        json_response(200, &json!({"hosts": names}))
    }

    fn delete(&self, body: &[u8]) -> Response {
        let request: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        for name in request["hosts"].as_array().map(Vec::as_slice).unwrap_or_default() {
            let name = name.as_str().unwrap_or_default();
            let mut hosts = self.hosts.borrow_mut();
            let Some(host) = hosts.get_mut(name).filter(|host| host.gone_at.is_none()) else {
                continue;
            };
            host.gone_at = Some(Instant::now());
            let worker = host.worker.take();
            drop(hosts);
            self.record.note(format!("cloud: {name} deleted"));
            if let Some(worker) = worker {
                worker.delete();
            }
        }
        json_response(200, &json!({}))
    }

    fn list(&self, target: &str) -> Response {
        let parameter = |name: &str| {
            let (_, query) = target.split_once('?')?;
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
        };
        let after = parameter("after").unwrap_or("");
        let limit = parameter("limit").and_then(|text| text.parse().ok()).unwrap_or(500_usize);
        let hosts = self.hosts.borrow();
        let visible: Vec<Value> = hosts
            .iter()
            .filter(|(name, _)| name.as_str() > after)
            .filter(|(_, host)| host.rented_at.elapsed() >= self.list_lag)
            .filter(|(_, host)| host.gone_at.is_none_or(|at| at.elapsed() < self.list_lag))
            .map(|(name, host)| {
                let status = if host.worker.is_some() { "running" } else { "starting" };
                let addr = host.worker.as_ref().map(|worker| worker.addr.to_string());
                json!({"name_id": name, "addr": addr.unwrap_or_default(),
                    "flavour": host.machine.flavour, "site": host.machine.site,
                    "loaners": host.machine.loaners, "status": status,
                    "age_s": host.rented_at.elapsed().as_secs_f64()})
            })
            .collect();
        let truncated = visible.len() > limit;
        let page: Vec<Value> = visible.into_iter().take(limit).collect();
        json_response(200, &json!({"hosts": page, "truncated": truncated}))
    }
}
