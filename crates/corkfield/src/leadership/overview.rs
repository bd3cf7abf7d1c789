//! The operators' view.

use crate::clock::now;
use crate::node::Node;
use crate::responses::json;
use corkfield_http::Response;

/// What operators see: the queue, the claims, what was set aside.
pub fn overview(node: &Node) -> Response {
    let contents = node.replica.contents.borrow();
    let scheduler = contents.scheduler.as_ref().and_then(|(record, _)| record.node.clone());
    let mut body = serde_json::json!({
        "node": node.env.name,
        "planner": scheduler,
        "unfinished_jobs": contents.jobs.len(),
        "set_aside": contents.jobs.iter().filter(|(_, (r, _))| r.dead_lettered).map(|(id, _)| id.to_string()).collect::<Vec<_>>(),
        "state_age_s": node.replica.proof_age().as_secs_f64(),
    });
    if let Some(scheduler) = node.leadership.scheduler() {
        let view = scheduler.borrow().overview(now());
        let oldest = view.oldest_waiting.as_ref();
        body["planning"] = serde_json::json!({
            "term": scheduler.borrow().term(),
            "jobs": view.jobs,
            "passes": view.passes,
            "steps": view.steps,
            "waiting_tasks": view.waiting_tasks,
            "running_tasks": view.running_tasks,
            "oldest_waiting": oldest.map(|(id, _)| id.to_string()),
            "oldest_waiting_s": oldest.map(|(_, age)| age.as_secs_f64()),
            "most_claims": view.most_claims,
            "machines_up": view.machines_up,
            "machines_booting": view.machines_booting,
            "machines_unfenced": view.unreconciled,
        });
    }
    json(200, &body)
}
