//! Wire formats of corkfield: messages, stored records and the settings file.
//!
//! This crate is the only one that holds the names of outside protocols. Rust names follow the
//! usual terms of cluster scheduling (lease, term, generation, attempt, spot, zone, image). Where
//! the protocol spells a name differently, a `serde` attribute holds the protocol's spelling, and
//! the doc comment of the field or variant gives it in parentheses.
//!
//! Architecture invariant: this crate depends on no other crate of the project and does no I/O.
#![forbid(unsafe_code)]

pub mod cloud;
pub mod ids;
mod job_id;
mod parse_visitor;
pub mod peer;
pub mod records;
pub mod settings;
pub mod store;
pub mod task_set;
pub mod user;
pub mod worker;

pub use ids::{
    AgentEpoch, Attempt, ControllerName, Generation, Incarnation, MachineName, Revision, Term,
};
pub use job_id::JobId;
pub use task_set::TaskSet;
pub use user::{JobSpec, JobStatus, Priority};
pub use worker::TaskId;
