//! Messages of the cloud's HTTP interface: machine types, rentals, deletions and the machine list.
//!
//! The protocol calls a machine a host, a machine type a flavour, a zone a site, a spot machine a
//! loaner, and a rental request a booking.

use crate::ids::MachineName;
use serde::{Deserialize, Serialize};

/// Path that lists the machine types (GET).
pub const PATH_TYPES: &str = "/flavors";
/// Path that lists machines (GET) and rents machines (POST).
pub const PATH_MACHINES: &str = "/hosts";
/// Path that deletes machines (POST).
pub const PATH_DELETE: &str = "/hosts/delete";
/// Maximum number of machines that one request may rent.
pub const MAX_MACHINES_PER_RENTAL: u32 = 50;
/// Maximum number of machines that one request may delete.
pub const MAX_MACHINES_PER_DELETION: usize = 100;
/// Maximum number of machines in one page of the list.
pub const MAX_MACHINES_PER_PAGE: u32 = 500;

/// A machine type with its current prices.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name of the machine type (`label`).
    #[serde(rename = "label")]
    pub name: String,
    /// Number of CPUs of a machine (`vcpus`).
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// Number of GPUs of a machine (`accelerators`).
    #[serde(rename = "accelerators", default)]
    pub gpus: f64,
    /// Memory of a machine, in GB (`mem_gb`).
    #[serde(rename = "mem_gb")]
    pub memory_gb: f64,
    /// Size of a machine's image cache, in GB.
    #[serde(default)]
    pub cache_gb: f64,
    /// Rate at which a machine fetches images, in GB per second (`pull_gb_per_s`).
    #[serde(rename = "pull_gb_per_s", default)]
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand machine per hour (`rate`).
    #[serde(rename = "rate", default)]
    pub price: f64,
    /// Price of a spot machine per hour (`low_price`).
    #[serde(rename = "low_price", default)]
    pub spot_price: f64,
    /// Nominal boot time of a machine, in seconds.
    #[serde(default)]
    pub boot_s: f64,
    /// Names of the zones that offer this type (`sites`).
    #[serde(rename = "sites", default)]
    pub zones: Vec<String>,
}

/// The response that lists all machine types.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineTypes {
    /// All machine types (`flavours`).
    #[serde(rename = "flavours")]
    pub types: Vec<MachineType>,
}

/// A request to rent machines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RentRequest {
    /// Unique name of the request (`booking`). The cloud rents nothing for a name that was used
    /// before.
    #[serde(rename = "booking")]
    pub request: String,
    /// Name of the machine type (`flavour`).
    #[serde(rename = "flavour")]
    pub machine_type: String,
    /// Name of the zone (`site`).
    #[serde(rename = "site")]
    pub zone: String,
    /// Whether to rent spot machines instead of on-demand machines (`loaners`).
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Number of machines (`number`), at most [`MAX_MACHINES_PER_RENTAL`]. The cloud may rent
    /// fewer.
    #[serde(rename = "number")]
    pub count: u32,
}

/// Names of machines: the response to a rental request, and the body of a deletion request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineNames {
    /// Names of the machines (`hosts`).
    #[serde(rename = "hosts")]
    pub machines: Vec<MachineName>,
}

/// State of a machine in the machine list (`status`).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListedState {
    /// The machine is rented and not known to be up (`starting`).
    #[serde(rename = "starting")]
    Booting,
    /// The machine is up. The list also shows this state for about 30 s after the machine died.
    #[serde(rename = "running")]
    Running,
    /// The machine stopped without a deletion request and is no longer charged.
    #[serde(rename = "failed")]
    Failed,
    /// A state that is unknown to this version.
    #[serde(other)]
    Other,
}

/// A machine in the machine list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name of the machine (`name_id`). Names sort in the order of creation.
    #[serde(rename = "name_id")]
    pub name: MachineName,
    /// Address at which the machine takes direct orders, as `IP:port`.
    #[serde(default)]
    pub addr: String,
    /// Name of the machine's type (`flavour`).
    #[serde(rename = "flavour")]
    pub machine_type: String,
    /// Name of the machine's zone (`site`).
    #[serde(rename = "site")]
    pub zone: String,
    /// Whether the machine is a spot machine (`loaners`).
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// State of the machine (`status`).
    #[serde(rename = "status")]
    pub state: ListedState,
    /// Time from the rental request to the moment that the list describes, in seconds.
    #[serde(default)]
    pub age_s: f64,
}

/// A page of the machine list.
///
/// The list lags behind the machines' actual states, and a page may be older than a page that was
/// read before.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    /// Machines of this page, ordered by name (`hosts`).
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedMachine>,
    /// Whether further pages follow (`truncated`).
    #[serde(rename = "truncated", default)]
    pub has_more: bool,
}
