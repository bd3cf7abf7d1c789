//! The overview for operators: queue, claims, machines and dead-lettered jobs.

use super::Leadership;
use crate::clock::now;
use crate::environment::Environment;
use crate::replica::StoreReplica;
use crate::responses::json;
use corkfield_core::{Scheduler, UnsuppliedShape};
use corkfield_http::Response;
use corkfield_wire::{ControllerName, Term};
use serde::Serialize;

/// Overview of any controller. Keys of earlier releases are kept beside the keys that replaced
/// them.
#[derive(Serialize)]
struct ControllerOverview<'a> {
    node: &'a str,
    leader: Option<&'a str>,
    /// Replaced by `leader`.
    planner: Option<&'a str>,
    unfinished_jobs: usize,
    dead_lettered: &'a [String],
    /// Replaced by `dead_lettered`.
    set_aside: &'a [String],
    /// Age of the newest proof that the replica is fresh, in seconds.
    state_age_s: f64,
    #[serde(skip_serializing_if = "Option::is_none")]
    leading: Option<&'a LeaderOverview>,
    /// Replaced by `leading`.
    #[serde(skip_serializing_if = "Option::is_none")]
    planning: Option<&'a LeaderOverview>,
}

/// Additional figures of the leader.
#[derive(Serialize)]
struct LeaderOverview {
    term: Term,
    jobs: usize,
    passes: u64,
    steps: u64,
    waiting_tasks: u64,
    running_tasks: u64,
    oldest_waiting: Option<String>,
    oldest_waiting_s: Option<f64>,
    most_claims: u32,
    /// Number of waiting jobs for which nothing is on its way.
    jobs_without_supply: u32,
    /// The shapes of their tasks, the longest-waiting first.
    without_supply: Vec<UnsuppliedView>,
    machines_up: usize,
    machines_booting: usize,
    machines_unreconciled: usize,
    /// Replaced by `machines_unreconciled`.
    machines_unfenced: usize,
}

/// Waiting jobs with tasks of the same shape for which nothing is on its way.
#[derive(Serialize)]
struct UnsuppliedView {
    cpus: f64,
    gpus: f64,
    memory_gb: f64,
    jobs: u32,
    reason: &'static str,
    longest_waiting: String,
    waited_s: f64,
}

impl From<&UnsuppliedShape> for UnsuppliedView {
    fn from(shape: &UnsuppliedShape) -> Self {
        Self {
            cpus: shape.cpus,
            gpus: shape.gpus,
            memory_gb: shape.memory_gb,
            jobs: shape.jobs,
            reason: shape.gap.name(),
            longest_waiting: shape.longest_waiting.to_string(),
            waited_s: shape.waited.as_secs_f64(),
        }
    }
}

impl LeaderOverview {
    fn new(scheduler: &Scheduler) -> Self {
        let overview = scheduler.overview(now());
        let oldest = overview.oldest_waiting.as_ref();
        Self {
            term: scheduler.term(),
            jobs: overview.jobs,
            passes: overview.passes,
            steps: overview.steps,
            waiting_tasks: overview.waiting_tasks,
            running_tasks: overview.running_tasks,
            oldest_waiting: oldest.map(|(id, _)| id.to_string()),
            oldest_waiting_s: oldest.map(|(_, age)| age.as_secs_f64()),
            most_claims: overview.most_claims,
            jobs_without_supply: overview.unsupplied.iter().map(|shape| shape.jobs).sum(),
            without_supply: overview.unsupplied.iter().map(UnsuppliedView::from).collect(),
            machines_up: overview.machines_up,
            machines_booting: overview.machines_booting,
            machines_unreconciled: overview.machines_unreconciled,
            machines_unfenced: overview.machines_unreconciled,
        }
    }
}

/// Answers an operator's request for the overview.
pub fn answer_overview_request(
    env: &Environment,
    replica: &StoreReplica,
    leadership: &Leadership,
) -> Response {
    let contents = replica.contents.borrow();
    let leader = contents
        .leader
        .as_ref()
        .and_then(|leader| leader.record.node.as_ref().map(ControllerName::as_str));
    let dead_lettered = contents.jobs.iter().filter(|(_, job)| job.record.dead_lettered);
    let dead_lettered: Vec<String> = dead_lettered.map(|(id, _)| id.to_string()).collect();
    let scheduler = leadership.scheduler();
    let leading = scheduler.map(|scheduler| LeaderOverview::new(&scheduler.borrow()));
    let body = ControllerOverview {
        node: env.name.as_str(),
        leader,
        planner: leader,
        unfinished_jobs: contents.jobs.len(),
        dead_lettered: &dead_lettered,
        set_aside: &dead_lettered,
        state_age_s: replica.proof_age().as_secs_f64(),
        leading: leading.as_ref(),
        planning: leading.as_ref(),
    };
    json(200, &body)
}

#[cfg(test)]
mod tests;
