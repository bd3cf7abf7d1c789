//! The operators' view: the queue, the claims, dead-lettered jobs.

use super::Leadership;
use crate::clock::now;
use crate::environment::Environment;
use crate::replica::StoreReplica;
use crate::responses::json;
use corkfield_core::Scheduler;
use corkfield_http::Response;
use corkfield_wire::{ControllerName, Term};
use serde::Serialize;

/// What every controller shows. Keys of earlier releases go on beside those that replace them.
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
    /// Age of the newest state that is known, in seconds.
    state_age_s: f64,
    #[serde(skip_serializing_if = "Option::is_none")]
    leading: Option<&'a LeaderOverview>,
    /// Replaced by `leading`.
    #[serde(skip_serializing_if = "Option::is_none")]
    planning: Option<&'a LeaderOverview>,
}

/// What the leader shows besides.
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
    machines_up: usize,
    machines_booting: usize,
    machines_unreconciled: usize,
    /// Replaced by `machines_unreconciled`.
    machines_unfenced: usize,
}

impl LeaderOverview {
    fn new(scheduler: &Scheduler) -> Self {
        let view = scheduler.overview(now());
        let oldest = view.oldest_waiting.as_ref();
        Self {
            term: scheduler.term(),
            jobs: view.jobs,
            passes: view.passes,
            steps: view.steps,
            waiting_tasks: view.waiting_tasks,
            running_tasks: view.running_tasks,
            oldest_waiting: oldest.map(|(id, _)| id.to_string()),
            oldest_waiting_s: oldest.map(|(_, age)| age.as_secs_f64()),
            most_claims: view.most_claims,
            machines_up: view.machines_up,
            machines_booting: view.machines_booting,
            machines_unreconciled: view.machines_unreconciled,
            machines_unfenced: view.machines_unreconciled,
        }
    }
}

/// Answers an operator's request for the overview.
pub fn overview(env: &Environment, replica: &StoreReplica, leadership: &Leadership) -> Response {
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
