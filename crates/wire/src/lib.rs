//! Wire formats of corkfield.
//!
//! Every name that an outside system uses appears in this crate and nowhere else; the rest of
//! the project speaks in the field's own terms (lease, term, generation, attempt, spot, zone,
//! image).
#![forbid(unsafe_code)]

pub mod cloud;
pub mod peer;
pub mod records;
pub mod settings;
pub mod store;
pub mod taskset;
mod text;
pub mod user;
pub mod worker;

pub use taskset::TaskSet;
pub use user::{JobId, JobSpec, JobStatus, Priority};
pub use worker::TaskId;
