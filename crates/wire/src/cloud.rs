//! What the cloud's interface takes and answers.

use crate::ids::MachineName;
use serde::{Deserialize, Serialize};

/// Path of the machine types.
pub const PATH_TYPES: &str = "/flavors";
/// Path of the machine list (GET) and of rentals (POST).
pub const PATH_MACHINES: &str = "/hosts";
/// Path of deletions.
pub const PATH_DELETE: &str = "/hosts/delete";
/// Most machines that one request may rent.
pub const MAX_MACHINES_PER_RENTAL: u32 = 50;
/// Most machines that one request may delete.
pub const MAX_MACHINES_PER_DELETION: usize = 100;
/// Most machines that one page of the list holds.
pub const MAX_MACHINES_PER_PAGE: u32 = 500;

/// A machine type and its present prices.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name (`label`).
    #[serde(rename = "label")]
    pub name: String,
    /// CPUs of a machine.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// GPUs of a machine.
    #[serde(rename = "accelerators", default)]
    pub gpus: f64,
    /// Memory of a machine, in GB.
    #[serde(rename = "mem_gb")]
    pub memory_gb: f64,
    /// Size of its cache of images, in GB.
    #[serde(default)]
    pub cache_gb: f64,
    /// Rate at which a machine fetches images, in GB per second.
    #[serde(rename = "pull_gb_per_s", default)]
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand machine per hour (`rate`).
    #[serde(rename = "rate", default)]
    pub price: f64,
    /// Price of a spot machine per hour (`low_price`).
    #[serde(rename = "low_price", default)]
    pub spot_price: f64,
    /// Nominal boot time, in seconds.
    #[serde(default)]
    pub boot_s: f64,
    /// Names of the zones that offer it.
    #[serde(rename = "sites", default)]
    pub zones: Vec<String>,
}

/// The answer with all machine types.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineTypes {
    /// All types.
    #[serde(rename = "flavours")]
    pub types: Vec<MachineType>,
}

/// A request to rent machines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RentRequest {
    /// Name of the request (`booking`). A repeat rents nothing, so none may be used twice.
    #[serde(rename = "booking")]
    pub request: String,
    /// Name of the machine type.
    #[serde(rename = "flavour")]
    pub machine_type: String,
    /// Name of the zone.
    #[serde(rename = "site")]
    pub zone: String,
    /// Spot machines in place of on-demand ones.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// How many, at most [`MAX_MACHINES_PER_RENTAL`]; fewer may be rented.
    #[serde(rename = "number")]
    pub count: u32,
}

/// Names of machines: the answer to a rental, the body of a deletion.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names.
    #[serde(rename = "hosts")]
    pub machines: Vec<MachineName>,
}

/// What the list says of a machine (`status`).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListedState {
    /// Rented and not known to be up (`starting`).
    #[serde(rename = "starting")]
    Booting,
    /// Up; also shown for about 30 s after the machine died.
    #[serde(rename = "running")]
    Running,
    /// It stopped on its own and is not charged any more.
    #[serde(rename = "failed")]
    Failed,
    /// A state that this version doesn't know.
    #[serde(other)]
    Other,
}

/// A machine in the list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Its name; names are in the order of creation.
    #[serde(rename = "name_id")]
    pub name: MachineName,
    /// Address that takes direct orders, `IP:port`.
    #[serde(default)]
    pub addr: String,
    /// Name of its machine type.
    #[serde(rename = "flavour")]
    pub machine_type: String,
    /// Name of its zone.
    #[serde(rename = "site")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// What state it is in.
    #[serde(rename = "status")]
    pub state: ListedState,
    /// Seconds from the rental request to the moment that the list describes.
    #[serde(default)]
    pub age_s: f64,
}

/// A page of the machine list. It lags, and may be older than one read before.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    /// Machines in order of their names.
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedMachine>,
    /// Whether more follow (`truncated`).
    #[serde(rename = "truncated", default)]
    pub has_more: bool,
}
