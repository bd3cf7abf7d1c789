//! What the cloud's interface takes and answers.

use serde::{Deserialize, Serialize};

pub const PATH_TYPES: &str = "/flavors";
pub const PATH_MACHINES: &str = "/hosts";
pub const PATH_DELETE: &str = "/hosts/delete";
pub const MAX_RENT: u32 = 50;
pub const MAX_DELETE: usize = 100;
pub const MAX_LIST: u32 = 500;

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    #[serde(rename = "label")]
    pub name: String,
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    #[serde(rename = "accelerators", default)]
    pub gpus: f64,
    #[serde(rename = "mem_gb")]
    pub memory_gb: f64,
    #[serde(default)]
    pub cache_gb: f64,
    #[serde(rename = "pull_gb_per_s", default)]
    pub fetch_gb_per_s: f64,
    #[serde(rename = "rate", default)]
    pub price: f64,
    #[serde(rename = "low_price", default)]
    pub spot_price: f64,
    #[serde(default)]
    pub boot_s: f64,
    #[serde(rename = "sites", default)]
    pub zones: Vec<String>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineTypes {
    #[serde(rename = "flavours")]
    pub types: Vec<MachineType>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RentRequest {
    #[serde(rename = "booking")]
    pub request: String,
    #[serde(rename = "flavour")]
    pub machine_type: String,
    #[serde(rename = "site")]
    pub zone: String,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "number")]
    pub count: u32,
}

/// Names of machines: the answer to a rental, the body of a deletion.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineNames {
    #[serde(rename = "hosts")]
    pub machines: Vec<String>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListedState {
    #[serde(rename = "starting")]
    Booting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "failed")]
    Failed,
    #[serde(other)]
    Other,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    #[serde(rename = "name_id")]
    pub name: String,
    #[serde(default)]
    pub addr: String,
    #[serde(rename = "flavour")]
    pub machine_type: String,
    #[serde(rename = "site")]
    pub zone: String,
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    #[serde(rename = "status")]
    pub state: ListedState,
    #[serde(default)]
    pub age_s: f64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedMachine>,
    #[serde(rename = "truncated", default)]
    pub more: bool,
}
