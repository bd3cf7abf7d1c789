//! Records that corkfield stores in the state service, and their keys.
//!
//! Every controller replicates the keys below `c/`: memberships, the leader record, transfer
//! requests, machine types and unfinished jobs. Final records (`f/`), finished tasks of large jobs
//! (`d/`) and machines that may hold tasks (`h/`) are read on demand.
//!
//! Records outlive the version that wrote them, so the spelling of a field in the stored JSON never
//! changes, even if the field is renamed in Rust (`tests/stored_records.rs`).

mod job;
mod keys;

pub use job::{FinalRecord, JobRecord, CHUNK_TASKS, MIN_START_WATERMARK_STEP};
pub use keys::{
    controller_key, final_record_key, finished_tasks_key, finished_tasks_prefix, job_key,
    machine_key, transfer_request_key, CONTROLLERS_PREFIX, FINAL_RECORDS_PREFIX,
    FINISHED_TASKS_PREFIX, JOBS_PREFIX, LEADER_KEY, MACHINE_RECORDS_PREFIX, MACHINE_TYPES_KEY,
    REPLICATED_PREFIX, TRANSFER_REQUESTS_PREFIX,
};

use crate::cloud::MachineType;
use crate::ids::{ControllerName, Incarnation, Revision, Term};
use serde::{Deserialize, Serialize};

/// A record with the version of its key at the time of the read or write. A conditional write of
/// the record requires this version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned<T> {
    /// The record.
    pub record: T,
    /// The version of the record's key.
    pub version: Revision,
}

/// A controller's membership of the cluster. Its key is attached to the controller's lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Incarnation of the controller, which changes with each lease.
    pub incarnation: Incarnation,
    /// Number of the lease in the state service to which the key is attached.
    pub lease: u64,
}

/// The current leader and its term.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Node of the leader; `None` after an orderly hand-over.
    pub node: Option<ControllerName>,
    /// Incarnation under which the record was claimed.
    pub incarnation: Incarnation,
    /// Term of the leader, raised by every claim of the record. It is the workers' fencing token.
    pub term: Term,
    /// Node that should become the leader after a hand-over.
    #[serde(default)]
    pub successor: Option<ControllerName>,
}

/// A machine that may hold tasks.
///
/// The record is written before the first start on the machine and deleted only once the machine
/// is known to be gone, so that a new leader finds every machine that it has to fence (S7).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Address at which the machine takes direct orders, as `IP:port`.
    pub addr: String,
    /// Name of the machine's type.
    pub machine_type: String,
    /// Name of the machine's zone.
    pub zone: String,
    /// Whether the machine is a spot machine.
    pub spot: bool,
    /// Unix time at which the record was written, in milliseconds; 0 in records of versions that
    /// did not store the time.
    #[serde(default)]
    pub recorded_ms: u64,
}

/// A controller's request that the leader hand over to it, made when workers keep reaching this
/// controller although it redirects them to the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferRequest {
    /// Number of times that a worker reached this controller in place of the known leader since the
    /// controller's process began. The number is higher in each new request.
    pub count: u64,
}

/// The machine types as last listed by the cloud.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineTypesRecord {
    /// All machine types, with their prices at the time of the listing.
    pub types: Vec<MachineType>,
}
