//! The scheduling core, free of I/O: jobs, tasks, machines, teams, placement and scaling as state
//! machines. The caller passes the current time in, and receives the side effects to carry out as
//! [`Action`]s.
//!
//! Architecture invariant: this crate opens no connection, reads no clock and starts no thread.
//! The same sequence of calls with the same times and seed produces the same results.
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
mod unanswered_claim;

pub use config::Config;
pub use job::{Job, JobState, TaskPlacement};
pub use machine::{
    Machine, MachineState, MachineTask, MachineTaskState, MessageNumber, MessageOrigin,
    PendingDirectRequest, Reachability, RecordState,
};
pub use scaling::{RentalFailure, SupplyGap, UnsuppliedShape};
pub use scheduler::{
    Action, CompletionCommit, DirectPurpose, DirectRequestTarget, Overview, Scheduler, Verdict,
};
pub use team::{check_schedulable, Unschedulable};
pub use unanswered_claim::confirm_claim;
