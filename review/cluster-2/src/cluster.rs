//! A small deployment: controllers as processes, and the stand-ins around them.

use crate::balancer::Balancer;
use crate::cloud::{Cloud, Flavour};
use crate::ports::Ports;
use crate::proxy::{Mode, Proxy};
use crate::record::Record;
use crate::worker::Machine;
use crate::world::World;
use corkfield_fakes::FakeStore;
use corkfield_http::Tcp;
use std::cell::{Cell, RefCell};
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The figures of a deployment.
#[derive(Debug, Clone)]
pub struct Plan {
    pub controllers: usize,
    pub sites: Vec<&'static str>,
    /// Name, guaranteed CPUs and limit of each team.
    pub teams: Vec<(&'static str, f64, f64)>,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub state_rps: f64,
    pub state_write_rps: f64,
    pub sockets: u32,
    pub mem_mb: f64,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub flavours: Vec<Flavour>,
    /// Flavour and site of each machine that is up at the start, and whether it is a spot machine.
    pub machines: Vec<(&'static str, &'static str, bool)>,
    pub capacity: usize,
}

impl Plan {
    /// The figures of the pressure logger fleet: `../given/docs/BRIEF-corkfield.md`.
    pub fn pressure_loggers() -> Self {
        let sites = vec!["lahore", "karachi"];
        let flavour = |label, vcpus, mem_gb, rate, low_price, boot_s| Flavour {
            label,
            vcpus,
            mem_gb,
            rate,
            low_price,
            boot_s,
            sites: vec!["lahore", "karachi"],
        };
        Self {
            controllers: 3,
            sites,
            teams: vec![("mains-team", 72.0, 232.0), ("sukkur-crew", 152.0, 536.0)],
            report_s: 3.0,
            lease_s: 26.0,
            cancel_s: 46.0,
            state_rps: 150.0,
            state_write_rps: 60.0,
            sockets: 1200,
            mem_mb: 72.0,
            cloud_rps: 6.0,
            list_lag_s: 4.0,
            flavours: vec![
                flavour("chhota", 4.0, 16.0, 0.25, 0.07, 15.0),
                flavour("darmiyana", 8.0, 64.0, 0.6, 0.18, 15.0),
                flavour("bhari", 32.0, 128.0, 2.2, 0.63, 35.0),
            ],
            machines: vec![
                ("chhota", "lahore", false),
                ("chhota", "karachi", false),
                ("chhota", "lahore", false),
                ("chhota", "karachi", false),
                ("darmiyana", "lahore", false),
                ("darmiyana", "karachi", false),
                ("chhota", "lahore", false),
            ],
            capacity: 28,
        }
    }
}

impl Plan {
    /// The figures of the union catalogue: `../given/docs/BRIEF-corkfield.md`.
    pub fn union_catalogue() -> Self {
        let sites = vec!["centro", "malvin", "salto", "paysandu"];
        let estante = Flavour {
            label: "estante",
            vcpus: 8.0,
            mem_gb: 32.0,
            rate: 0.32,
            low_price: 0.07,
            boot_s: 50.0,
            sites: sites.clone(),
        };
        Self {
            controllers: 3,
            machines: sites.iter().map(|site| ("estante", *site, false)).collect(),
            sites,
            teams: vec![("metadatos", 0.0, 0.0), ("indexacion", 0.0, 0.0), ("prestamos", 0.0, 0.0)],
            report_s: 3.0,
            lease_s: 14.0,
            cancel_s: 34.0,
            state_rps: 150.0,
            state_write_rps: 50.0,
            sockets: 900,
            mem_mb: 56.0,
            cloud_rps: 3.0,
            list_lag_s: 4.0,
            flavours: vec![estante],
            capacity: 32,
        }
    }
}

/// A controller: its process, and its proxies to the state service and to the other controllers.
pub struct Controller {
    pub name: String,
    pub client_addr: SocketAddr,
    pub to_state: Rc<Proxy>,
    /// Proxies of the links that this controller opens to the others.
    pub to_peers: Vec<Rc<Proxy>>,
    /// Proxies of the links that the others open to this controller.
    pub from_peers: RefCell<Vec<Rc<Proxy>>>,
    /// Whether the state service refuses this controller with 503.
    pub is_refused: Rc<Cell<bool>>,
    settings: PathBuf,
    child: RefCell<Option<Child>>,
}

impl Controller {
    /// Cuts the controller off from the state service and from the other controllers, or ends it.
    pub fn set_cut(&self, is_cut: bool) {
        let mode = if is_cut { Mode::Silent } else { Mode::Pass };
        self.to_state.set_mode(mode);
        self.set_peers_cut(mode);
    }

    pub fn set_peers_cut(&self, mode: Mode) {
        let from = self.from_peers.borrow();
        self.to_peers.iter().chain(from.iter()).for_each(|proxy| proxy.set_mode(mode));
    }
}

/// The deployment. The controllers are killed when it is dropped.
pub struct Cluster {
    pub record: Rc<Record>,
    pub world: Rc<World>,
    pub store: Rc<FakeStore>,
    pub cloud: Rc<Cloud>,
    pub balancer: Rc<Balancer>,
    pub controllers: Vec<Rc<Controller>>,
    folder: PathBuf,
    run: Vec<String>,
}

/// Returns the command that runs a controller, as the deploy file has it.
fn run_command(root: &Path) -> std::io::Result<Vec<String>> {
    let text = std::fs::read_to_string(root.join("deploy/service.toml"))?;
    let table: toml::Table = text.parse().map_err(std::io::Error::other)?;
    let run = table.get("run").and_then(toml::Value::as_str).unwrap_or_default();
    Ok(run.split_whitespace().map(str::to_owned).collect())
}

impl Cluster {
    /// Starts the deployment. `root` is the repository, `folder` a temporary folder.
    pub async fn start(
        plan: &Plan,
        root: &Path,
        folder: &Path,
        record: Rc<Record>,
    ) -> std::io::Result<Self> {
        let ports = Ports::default();
        let world = World::new(record.clone(), Duration::from_secs_f64(plan.cancel_s));
        plan.teams.iter().for_each(|(name, _, max)| world.add_team(name, *max));
        let store = Rc::new(FakeStore::default());
        store.start_lease_expiry();
        let names: Vec<String> = (0..plan.controllers).map(|n| format!("worker-{n}")).collect();
        let clients: Vec<SocketAddr> = names.iter().map(|_| ports.free_addr()).collect();
        let backs: Vec<SocketAddr> = names.iter().map(|_| ports.free_addr()).collect();
        let cloud_addr = ports.free_addr();
        let known: Vec<(String, SocketAddr)> =
            names.iter().cloned().zip(clients.iter().copied()).collect();
        let template = Machine {
            name: String::new(),
            flavour: String::new(),
            site: String::new(),
            loaners: false,
            vcpus: 0.0,
            mem_gb: 0.0,
            report_s: plan.report_s,
            lease_s: plan.lease_s,
            controllers: known.clone(),
        };
        let lag = Duration::from_secs_f64(plan.list_lag_s);
        let cloud = Cloud::start(
            cloud_addr,
            world.clone(),
            plan.flavours.clone(),
            template,
            lag,
            plan.capacity,
        )
        .await?;
        for (flavour, site, loaners) in &plan.machines {
            cloud.add_host(flavour, site, *loaners, 0.2);
        }
        let mut controllers: Vec<Rc<Controller>> = Vec::new();
        for (n, name) in names.iter().enumerate() {
            let (state_addr, state_proxy) = (ports.free_addr(), ports.free_addr());
            let is_refused = Rc::new(Cell::new(false));
            store.start(Rc::new(Tcp), state_addr, is_refused.clone());
            let to_state = Proxy::start(state_proxy, state_addr).await?;
            let mut seeds = String::new();
            let mut to_peers = Vec::new();
            for (other, back) in backs.iter().enumerate().filter(|(other, _)| *other != n) {
                let endpoint = ports.free_addr();
                to_peers.push(Proxy::start(endpoint, *back).await?);
                seeds += &format!(
                    "[[seeds]]\nnode_name = \"{}\"\ndomain = \"{}\"\nendpoint = \"{endpoint}\"\n\n",
                    names[other],
                    plan.sites[other % plan.sites.len()],
                );
            }
            let settings = folder.join(format!("{name}.toml"));
            let domain = plan.sites[n % plan.sites.len()];
            let text = format!(
                "node_name = \"{name}\"\ndomain = \"{domain}\"\nclient_listen = \"{}\"\n\
                 back = \"{}\"\n\n{seeds}[endpoints]\ncloud = \"{cloud_addr}\"\n\
                 state = \"{state_proxy}\"\n\n{}",
                clients[n],
                backs[n],
                shared_settings(plan),
            );
            std::fs::write(&settings, text)?;
            controllers.push(Rc::new(Controller {
                name: name.clone(),
                client_addr: clients[n],
                to_state,
                to_peers,
                from_peers: RefCell::default(),
                is_refused,
                settings,
                child: RefCell::new(None),
            }));
        }
        for (n, controller) in controllers.iter().enumerate() {
            for (other, opener) in controllers.iter().enumerate().filter(|(other, _)| *other != n) {
                let position = if n < other { n } else { n - 1 };
                controller.from_peers.borrow_mut().push(opener.to_peers[position].clone());
            }
        }
        let balancer = Balancer::start(known, record.clone());
        let run = run_command(root)?;
        let run = run
            .iter()
            .enumerate()
            .map(
                |(n, part)| {
                    if n == 0 {
                        root.join(part).display().to_string()
                    } else {
                        part.clone()
                    }
                },
            )
            .collect();
        let cluster = Self {
            record,
            world,
            store,
            cloud,
            balancer,
            controllers,
            folder: folder.to_owned(),
            run,
        };
        for n in 0..cluster.controllers.len() {
            cluster.start_controller(n)?;
        }
        Ok(cluster)
    }

    /// Starts a controller's process.
    pub fn start_controller(&self, n: usize) -> std::io::Result<()> {
        let controller = &self.controllers[n];
        if controller.child.borrow().is_some() {
            return Ok(());
        }
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", controller.name)))?;
        let level = std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".to_owned());
        let child = Command::new(&self.run[0])
            .args(&self.run[1..])
            .arg(&controller.settings)
            .env("LOG_LEVEL", level)
            .env_remove("CORKFIELD_OPERATOR")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.record.note(format!("{}: process started", controller.name));
        *controller.child.borrow_mut() = Some(child);
        Ok(())
    }

    /// Kills a controller's process.
    pub fn kill_controller(&self, n: usize) {
        let controller = &self.controllers[n];
        if let Some(mut child) = controller.child.borrow_mut().take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.note(format!("{}: process killed", controller.name));
        }
    }

    /// Sends a signal, `STOP` or `CONT`, to a controller's process.
    pub fn signal_controller(&self, n: usize, signal: &str) {
        let controller = &self.controllers[n];
        if let Some(child) = controller.child.borrow().as_ref() {
            let script = format!("kill -{signal} {}", child.id());
            let _ = Command::new("sh").arg("-c").arg(script).status();
            self.record.note(format!("{}: signal {signal}", controller.name));
        }
    }

    /// Returns the controllers whose processes have ended by themselves.
    pub fn ended_controllers(&self) -> Vec<String> {
        let has_ended = |controller: &&Rc<Controller>| {
            let mut child = controller.child.borrow_mut();
            child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
        };
        self.controllers.iter().filter(has_ended).map(|ended| ended.name.clone()).collect()
    }

    /// Returns the position of the controller that the leader record names.
    pub fn leader(&self) -> Option<usize> {
        let record = self.store.value("c/planner")?;
        let name = record["node"].as_str()?.to_owned();
        self.controllers.iter().position(|controller| controller.name == name)
    }

    /// Waits until `is_met` holds, for `limit` at most. Returns whether it holds.
    pub async fn wait_until(&self, limit: Duration, is_met: impl Fn() -> bool) -> bool {
        let started = Instant::now();
        while !is_met() {
            if started.elapsed() >= limit {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        true
    }

    /// Waits until there is a leader, all nodes are healthy and all machines of the plan are up.
    pub async fn wait_until_ready(&self, plan: &Plan) -> bool {
        let is_ready = || {
            self.leader().is_some()
                && self.store.value("c/types").is_some()
                && self.store.keys("h/").len() >= plan.machines.len()
                && self.balancer.healthy_count() == self.controllers.len()
        };
        self.wait_until(Duration::from_secs(15), is_ready).await
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        (0..self.controllers.len()).for_each(|n| self.kill_controller(n));
    }
}

fn shared_settings(plan: &Plan) -> String {
    let mut text = format!(
        "[settings]\nsize = {}\nzones = {:?}\nclock_error_ms = 1000.0\n\n",
        plan.controllers, plan.sites
    );
    for (name, cpus, cpus_max) in &plan.teams {
        text += &format!(
            "[[settings.teams]]\nname = \"{name}\"\ncpus = {cpus:.1}\ncpus_max = {cpus_max:.1}\n\
             gpus = 0.0\ngpus_max = 0.0\n\n"
        );
    }
    text + &format!(
        "[settings.workers]\nreport_s = {:.1}\nlease_s = {:.1}\ngang_wait_s = 50.0\n\
         gang_peer_s = 5.0\ncancel_s = {:.1}\n\n[settings.state]\nrps = {:.1}\n\
         write_rps = {:.1}\nvalue_kb = 16.0\ntxn_ops = 12\n\n[settings.cloud]\nrps = {:.1}\n\
         list_lag_s = {:.1}\n\n[settings.limits]\ncpu_share = 0.04\nmem_mb = {:.1}\nsockets = {}\n",
        plan.report_s,
        plan.lease_s,
        plan.cancel_s,
        plan.state_rps,
        plan.state_write_rps,
        plan.cloud_rps,
        plan.list_lag_s,
        plan.mem_mb,
        plan.sockets,
    )
}
