//! The keys of the stored records. They stay as they are spelt: what an earlier version wrote
//! has to be found.

use crate::user::JobId;

/// Everything that is replicated to every controller lies below this.
pub const REPLICATED_PREFIX: &str = "c/";
/// Unfinished jobs, by id.
pub const JOBS_PREFIX: &str = "c/jobs/";
/// Memberships of controllers, by node name.
pub const CONTROLLERS_PREFIX: &str = "c/controllers/";
/// Requests for the leader's place, by the node name of the controller that asks.
pub const TRANSFER_REQUESTS_PREFIX: &str = "c/transfer_requests/";
/// The leader record.
pub const LEADER_KEY: &str = "c/planner";
/// The machine types.
pub const MACHINE_TYPES_KEY: &str = "c/types";
/// Final states of jobs, by id.
pub const FINAL_RECORDS_PREFIX: &str = "f/";
/// Finished tasks of chunked jobs, by id and chunk.
pub const FINISHED_TASKS_PREFIX: &str = "d/";
/// Machines that may hold tasks, by name.
pub const MACHINE_RECORDS_PREFIX: &str = "h/";

/// Key of an unfinished job's [`JobRecord`](super::JobRecord).
pub fn job_key(id: &JobId) -> String {
    format!("{JOBS_PREFIX}{id}")
}

/// Key of a job's [`FinalRecord`](super::FinalRecord).
pub fn final_key(id: &JobId) -> String {
    format!("{FINAL_RECORDS_PREFIX}{id}")
}

/// Prefix of all chunks of a job's finished tasks.
pub fn finished_prefix(id: &JobId) -> String {
    format!("{FINISHED_TASKS_PREFIX}{id}/")
}

/// Key of one chunk of a job's finished tasks; its value is a [`TaskSet`](crate::TaskSet).
pub fn finished_key(id: &JobId, chunk: u32) -> String {
    format!("{FINISHED_TASKS_PREFIX}{id}/{chunk:04}")
}

/// Key of a controller's [`Membership`](super::Membership).
pub fn controller_key(node: &str) -> String {
    format!("{CONTROLLERS_PREFIX}{node}")
}

/// Key of a controller's [`TransferRequest`](super::TransferRequest).
pub fn transfer_request_key(node: &str) -> String {
    format!("{TRANSFER_REQUESTS_PREFIX}{node}")
}

/// Key of a machine's [`MachineRecord`](super::MachineRecord).
pub fn machine_key(name: &str) -> String {
    format!("{MACHINE_RECORDS_PREFIX}{name}")
}
