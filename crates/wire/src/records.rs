//! What corkfield keeps in the state service: keys, and the records below them.
//!
//! Keys below `c/` are replicated to every controller: memberships, the leader record, machine
//! types and unfinished jobs. Final states (`f/`), finished tasks of very large jobs (`d/`) and
//! machines that may hold tasks (`h/`) are read when they are needed.
//!
//! Records outlive the version that wrote them. A field may be renamed here, but its spelling in
//! the stored JSON stays (`tests/stored_records.rs`).

mod job;
mod keys;

pub use job::{FinalRecord, JobRecord, CHUNK_TASKS, FIRST_START_WATERMARK};
pub use keys::{
    controller_key, final_key, finished_key, finished_prefix, job_key, machine_key,
    transfer_request_key, CONTROLLERS_PREFIX, FINAL_RECORDS_PREFIX, FINISHED_TASKS_PREFIX,
    JOBS_PREFIX, LEADER_KEY, MACHINE_RECORDS_PREFIX, MACHINE_TYPES_KEY, REPLICATED_PREFIX,
    TRANSFER_REQUESTS_PREFIX,
};

use crate::cloud::MachineType;
use crate::ids::{ControllerName, Incarnation, Revision, Term};
use serde::{Deserialize, Serialize};

/// A record, and the version of its key as it was read or written: what a conditional write of it
/// rests on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned<T> {
    /// The record.
    pub record: T,
    /// The version of its key.
    pub version: Revision,
}

/// A controller's membership of the cluster; its key is attached to the controller's lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// The controller's incarnation: its name and a random part, new with each lease.
    pub incarnation: Incarnation,
    /// The lease in the state service that the key is attached to.
    pub lease: u64,
}

/// Who is the leader at present, and under which term.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The node that holds the record; none after an orderly hand-over.
    pub node: Option<ControllerName>,
    /// The incarnation under which the record was claimed.
    pub incarnation: Incarnation,
    /// Raised by every claim of the record, so no two leaders share one. Workers' fencing token.
    pub term: Term,
    /// The node that should take over, after a hand-over.
    #[serde(default)]
    pub successor: Option<ControllerName>,
}

/// A machine that may hold tasks. Written before the first start on the machine, and deleted
/// once the machine is surely gone, so a new leader finds every machine that it has to fence
/// (S7).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Address that takes direct orders, `IP:port`.
    pub addr: String,
    /// Name of its machine type.
    pub machine_type: String,
    /// Name of its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Time of day of this record, in milliseconds since 1970. 0 in records of versions that did
    /// not store it.
    #[serde(default)]
    pub recorded_ms: u64,
}

/// Workers came to this controller although it sent them to the leader. Asks the leader to hand
/// over to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferRequest {
    /// How many requests this controller has made; a higher one makes the request new.
    pub count: u64,
}

/// The machine types as the cloud listed them last.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineTypesRecord {
    /// All types, with the prices of that moment.
    pub types: Vec<MachineType>,
}
