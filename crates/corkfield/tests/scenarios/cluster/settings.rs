//! The settings of the three controllers, the machine type and the worker settings.

use super::{CANCEL_S, CONTROLLERS, LEASE_S};
use corkfield::settings::{Operator, Settings};
use corkfield_fakes::WorkerSettings;
use corkfield_wire::cloud::MachineType;
use corkfield_wire::settings::PlatformSettings;
use corkfield_wire::{ControllerName, MachineName};
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

/// The limits that the platform sets for a deployment.
#[derive(Debug, Clone, Copy)]
pub struct PlatformLimits {
    /// Requests to the state service per second.
    pub state_rps: f64,
    /// Changes written to the state service per second.
    pub write_rps: f64,
    /// Requests to the cloud per second.
    pub cloud_rps: f64,
    /// Open sockets of each controller.
    pub sockets: u32,
}

/// Limits that suffice for the few machines of most scenarios.
pub const SMALL_LIMITS: PlatformLimits =
    PlatformLimits { state_rps: 200.0, write_rps: 90.0, cloud_rps: 5.0, sockets: 500 };

/// The port of the connections between controllers.
pub const PEER_PORT: u16 = 8081;

/// Returns the address at which users and workers reach a controller.
pub fn client_addr(controller: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, controller as u8 + 1], 8080))
}

/// Returns the address at which a controller reaches the state service. Each controller uses
/// an address of its own, so that the state service can refuse a single controller.
pub fn store_addr(controller: usize) -> SocketAddr {
    SocketAddr::from(([10, 2, 0, controller as u8 + 1], 2379))
}

pub fn cloud_addr() -> SocketAddr {
    SocketAddr::from(([10, 2, 1, 1], 443))
}

/// Returns the settings of a controller.
pub fn controller_settings(
    controller: usize,
    limits: PlatformLimits,
    operator: Operator,
) -> Settings {
    let text = settings_text(controller, limits);
    let platform = PlatformSettings::parse(&text).expect("the settings are valid");
    Settings { platform, operator }
}

fn settings_text(controller: usize, limits: PlatformLimits) -> String {
    let PlatformLimits { state_rps, write_rps, cloud_rps, sockets } = limits;
    let mut text = String::new();
    let number = controller + 1;
    let name = CONTROLLERS[controller];
    let _ = write!(
        text,
        "node_name = \"{name}\"\ndomain = \"z1\"\nclient_listen = \"10.0.0.{number}:8080\"\nback = \"10.0.0.{number}:{PEER_PORT}\"\n",
    );
    for (other, name) in CONTROLLERS.iter().enumerate().filter(|(other, _)| *other != controller) {
        let _ = write!(
            text,
            "[[seeds]]\nnode_name = \"{name}\"\ndomain = \"z1\"\nendpoint = \"10.0.0.{}:{PEER_PORT}\"\n",
            other + 1
        );
    }
    let _ = write!(
        text,
        "[endpoints]\ncloud = \"10.2.1.1:443\"\nstate = \"10.2.0.{number}:2379\"\n[settings]\nsize = 3\nzones = [\"z1\", \"z2\"]\n",
    );
    for (name, cpus, max) in [("free", 0.0, 0.0), ("capped", 4.0, 6.0)] {
        let _ = write!(
            text,
            "[[settings.teams]]\nname = \"{name}\"\ncpus = {cpus:.1}\ncpus_max = {max:.1}\n"
        );
    }
    let _ = write!(
        text,
        "[settings.workers]\nreport_s = 2.0\nlease_s = {LEASE_S:.1}\ncancel_s = {CANCEL_S:.1}\n\
         [settings.state]\nrps = {state_rps:.1}\nwrite_rps = {write_rps:.1}\nvalue_kb = 16.0\ntxn_ops = 12\n\
         [settings.cloud]\nrps = {cloud_rps:.1}\nlist_lag_s = 1.0\n[settings.limits]\nsockets = {sockets}\n"
    );
    text
}

/// Returns the first machine type, which has eight CPUs. In most scenarios it is the only one.
pub fn machine_type() -> MachineType {
    MachineType {
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
    }
}

/// Returns a machine type with 32 CPUs, of which no machine is up at the start.
pub fn large_machine_type() -> MachineType {
    MachineType {
        name: "rack".to_owned(),
        cpus: 32.0,
        memory_gb: 128.0,
        price: 4.5,
        spot_price: 1.4,
        ..machine_type()
    }
}

/// Returns the settings that all workers share; the cloud sets the others for each machine.
pub fn worker_template() -> WorkerSettings {
    let controllers = CONTROLLERS.iter().enumerate();
    WorkerSettings {
        name: MachineName::default(),
        addr: client_addr(0),
        machine_type: String::new(),
        zone: String::new(),
        spot: false,
        cpus: 0.0,
        memory_gb: 0.0,
        heartbeat_interval: Duration::from_secs(2),
        lease_duration: Duration::from_secs_f64(LEASE_S),
        heartbeat_after_each_reply: true,
        controllers: controllers
            .map(|(number, name)| (ControllerName::from(*name), client_addr(number)))
            .collect(),
    }
}
