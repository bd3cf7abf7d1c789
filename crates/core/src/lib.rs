//! Scheduling, without I/O: jobs, tasks, machines, teams, placement and scaling as state
//! machines. Time is passed in; what should happen outside comes out as [`Action`]s.
//!
//! Architecture invariant: this crate opens no connection, reads no clock and starts no thread.
//! The same calls with the same times and seed give the same answers.
#![forbid(unsafe_code)]

mod cluster;
mod config;
mod estimate_correction;
mod float_order;
mod job;
mod machine;
mod placement;
mod scaling;
mod scheduler;
mod team;

pub use config::Config;
pub use job::{Job, JobState, TaskPlacement};
pub use machine::{
    Machine, MachineState, MachineTask, MachineTaskState, MessageNumber, MessageOrigin,
    PendingDirectRequest, Reachability, RecordState,
};
pub use scaling::RentalFailure;
pub use scheduler::{
    Action, CompletionCommit, DirectOrderTarget, DirectPurpose, Overview, Scheduler, Verdict,
};
pub use team::{check_schedulable, Unschedulable};
