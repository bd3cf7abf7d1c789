//! Wire formats of corkfield.
//!
//! Every name that an outside system uses appears in this crate and nowhere else; the rest of
//! the project speaks in the field's own terms (lease, term, generation, attempt, spot, zone,
//! image). Where a field's spelling in the protocol differs, its `serde` attribute holds it.
//!
//! Architecture invariant: this crate depends on no other of the project, and does no I/O.
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
