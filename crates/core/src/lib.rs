//! Scheduling, without I/O: jobs, tasks, machines, teams, placement and renting as state
//! machines. Time is passed in; what should happen outside comes out as [`Action`]s.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod cluster;
mod config;
mod float_order;
mod job;
mod machine;
mod placement;
mod scaling;
mod scheduler;
mod team;

pub use config::Config;
pub use job::{Job, JobState, Placed};
pub use machine::{Machine, MachineState, MachineTask, MachineTaskState, Reachability, Recorded};
pub use scheduler::{Action, CompletionCommit, Overview, Scheduler, Verdict};
pub use team::{fits_some_type, Unschedulable};
