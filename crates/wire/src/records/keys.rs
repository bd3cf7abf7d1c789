//! Keys of the stored records.
//!
//! The spelling of the keys must not change, because records that earlier versions wrote have to
//! be found.

use crate::user::JobId;

/// Prefix of all keys that every controller replicates.
pub const REPLICATED_PREFIX: &str = "c/";
/// Prefix of unfinished jobs, followed by the job id.
pub const JOBS_PREFIX: &str = "c/jobs/";
/// Prefix of memberships of controllers, followed by the node name.
pub const CONTROLLERS_PREFIX: &str = "c/controllers/";
/// Prefix of leadership transfer requests, followed by the node name of the requesting controller.
pub const TRANSFER_REQUESTS_PREFIX: &str = "c/transfer_requests/";
/// Key of the [`LeaderRecord`](super::LeaderRecord).
pub const LEADER_KEY: &str = "c/planner";
/// Key of the [`MachineTypesRecord`](super::MachineTypesRecord).
pub const MACHINE_TYPES_KEY: &str = "c/types";
/// Prefix of final records of jobs, followed by the job id.
pub const FINAL_RECORDS_PREFIX: &str = "f/";
/// Prefix of finished tasks of chunked jobs, followed by the job id and the chunk number.
pub const FINISHED_TASKS_PREFIX: &str = "d/";
/// Prefix of records of machines that may hold tasks, followed by the machine name.
pub const MACHINE_RECORDS_PREFIX: &str = "h/";

/// Returns the key of an unfinished job's [`JobRecord`](super::JobRecord).
pub fn job_key(id: &JobId) -> String {
    format!("{JOBS_PREFIX}{id}")
}

/// Returns the key of a job's [`FinalRecord`](super::FinalRecord).
pub fn final_record_key(id: &JobId) -> String {
    format!("{FINAL_RECORDS_PREFIX}{id}")
}

/// Returns the key prefix of all chunks of a job's finished tasks.
pub fn finished_tasks_prefix(id: &JobId) -> String {
    format!("{FINISHED_TASKS_PREFIX}{id}/")
}

/// Returns the key of one chunk of a job's finished tasks. Its value is a
/// [`TaskSet`](crate::TaskSet).
pub fn finished_tasks_key(id: &JobId, chunk: u32) -> String {
    format!("{FINISHED_TASKS_PREFIX}{id}/{chunk:04}")
}

/// Returns the key of a controller's [`Membership`](super::Membership).
pub fn controller_key(node: &str) -> String {
    format!("{CONTROLLERS_PREFIX}{node}")
}

/// Returns the key of a controller's [`TransferRequest`](super::TransferRequest).
pub fn transfer_request_key(node: &str) -> String {
    format!("{TRANSFER_REQUESTS_PREFIX}{node}")
}

/// Returns the key of a machine's [`MachineRecord`](super::MachineRecord).
pub fn machine_key(name: &str) -> String {
    format!("{MACHINE_RECORDS_PREFIX}{name}")
}
