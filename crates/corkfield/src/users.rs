//! Answers to users. Only what is stored is answered (S1).

use crate::clock::wall_ms;
use crate::node::Node;
use crate::notifications;
use crate::responses::{error, json, later};
use corkfield_core::fits_some_type;
use corkfield_http::Response;
use corkfield_state::{RequestClass, StateError};
use corkfield_wire::records::{final_key, job_key, FinalRecord, JobRecord};
use corkfield_wire::store::Transaction;
use corkfield_wire::user::{BadSubmission, JobView};
use corkfield_wire::{JobId, JobSpec, JobStatus};
use std::time::Duration;

/// Users wait 2 s for a query and 5 s for a submission or a cancellation.
const QUERY_LIMIT: Duration = Duration::from_millis(1700);
const CHANGE_LIMIT: Duration = Duration::from_millis(4500);
const NO_STORE: &str = "the state service doesn't answer";

/// What the store holds of a job, read after the request came in.
enum Found {
    Live(Box<JobRecord>, u64),
    Final(FinalRecord),
    Nothing,
}

async fn find(node: &Node, id: &JobId) -> Result<Found, ()> {
    if let Some(record) = node.replica.contents.borrow().known_final(id) {
        return Ok(Found::Final(record));
    }
    if !node.replica.refresh(QUERY_LIMIT).await {
        return Err(());
    }
    {
        let contents = node.replica.contents.borrow();
        // Another request may have been answered with it while this one's read was under way.
        if let Some(record) = contents.known_final(id) {
            return Ok(Found::Final(record));
        }
        if let Some((record, version)) = contents.jobs.get(id).cloned() {
            return Ok(Found::Live(Box::new(record), version));
        }
    }
    // Jobs that are over are not followed. One that is neither unfinished nor over now was
    // never accepted: final records are written in the transaction that drops the others.
    let read = node.env.state.get(RequestClass::Reading, &final_key(id)).await.map_err(|_| ())?;
    let Some(item) = read else {
        return Ok(Found::Nothing);
    };
    let record: FinalRecord = serde_json::from_value(item.value).map_err(|_| ())?;
    learned(node, id, &record).await;
    Ok(Found::Final(record))
}

/// The store surely holds this final state: it was read there, or committed. Before a user hears
/// of a cancellation, whoever leads hears of it too, even if the store refuses it.
async fn learned(node: &Node, id: &JobId, record: &FinalRecord) {
    if record.status == JobStatus::Cancelled {
        notifications::notify_all(node, id).await;
    }
    node.replica.contents.borrow_mut().note_final(id, record.clone());
}

fn view(id: &JobId, status: JobStatus, done: u32, running: u32) -> JobView {
    JobView { id: id.clone(), status, done: Some(done), running: Some(running) }
}

fn answer(id: &JobId, found: &Found) -> Option<Response> {
    match found {
        Found::Live(record, _) => {
            Some(json(200, &view(id, record.status(), record.done, record.running)))
        }
        Found::Final(record) => Some(json(200, &view(id, record.status, record.done, 0))),
        Found::Nothing => None,
    }
}

pub async fn query(node: &Node, id: &JobId) -> Response {
    match tokio::time::timeout(QUERY_LIMIT, find(node, id)).await {
        Ok(Ok(found)) => answer(id, &found).unwrap_or_else(|| error(404, "no such job")),
        _ => later(NO_STORE),
    }
}

pub async fn submit(node: &Node, body: &[u8]) -> Response {
    let parsed = JobSpec::parse(body);
    let run = async {
        match parsed {
            Ok(spec) => accept(node, spec).await,
            Err(BadSubmission { id, reason }) => refuse(node, id.as_ref(), 400, &reason).await,
        }
    };
    tokio::time::timeout(CHANGE_LIMIT, run).await.unwrap_or_else(|_| later(NO_STORE))
}

/// Refuses a submission for good, unless its id was accepted before (S2).
async fn refuse(node: &Node, id: Option<&JobId>, status: u16, reason: &str) -> Response {
    let Some(id) = id else {
        return error(status, reason);
    };
    match find(node, id).await {
        Ok(found) => answer(id, &found).unwrap_or_else(|| error(status, reason)),
        Err(()) => later(NO_STORE),
    }
}

async fn accept(node: &Node, spec: JobSpec) -> Response {
    let id = spec.id.clone();
    let teams = &node.env.settings.platform.params.teams;
    let (verdict, crowded) = {
        let contents = node.replica.contents.borrow();
        let crowded = contents.jobs.len() >= node.env.settings.max_jobs();
        (contents.types.as_ref().map(|types| fits_some_type(&spec, teams, types)), crowded)
    };
    match verdict {
        Some(Ok(())) if !crowded => {}
        Some(Err(misfit)) => return refuse(node, Some(&id), 422, &misfit.to_string()).await,
        // Too much, or the machine types are not known yet: a known job is still recognised.
        _ => {
            return match find(node, &id).await {
                Ok(found) => answer(&id, &found).unwrap_or_else(|| later("not now")),
                Err(()) => later(NO_STORE),
            };
        }
    }
    let record = JobRecord::new(spec, wall_ms());
    let Ok(value) = serde_json::to_value(&record) else {
        return error(400, "unstorable");
    };
    let transaction = Transaction::default()
        .when(job_key(&id), 0)
        .when(final_key(&id), 0)
        .put(job_key(&id), value);
    loop {
        match node.env.state.transaction(RequestClass::Submission, &transaction).await {
            Ok(_) => {
                tracing::debug!(job = %id, "accepted");
                return json(201, &view(&id, JobStatus::Queued, 0, 0));
            }
            Err(StateError::Conflict(_)) => {
                // Known already, perhaps by an earlier try of ours whose answer was lost.
                return match find(node, &id).await {
                    Ok(found) => answer(&id, &found).unwrap_or_else(|| later("not now")),
                    Err(()) => later(NO_STORE),
                };
            }
            Err(StateError::NoAnswer(_) | StateError::Refused(429)) => {
                node.env.pause(50..150).await;
            }
            Err(error) => {
                tracing::debug!(job = %id, %error, "can't store a submission");
                return later(NO_STORE);
            }
        }
    }
}

pub async fn cancel(node: &Node, id: &JobId) -> Response {
    let run = async {
        loop {
            let (record, version) = match find(node, id).await {
                Ok(Found::Live(record, version)) => (record, version),
                Ok(found) => {
                    return answer(id, &found).unwrap_or_else(|| error(404, "no such job"));
                }
                Err(()) => return later(NO_STORE),
            };
            let over = FinalRecord { status: JobStatus::Cancelled, done: record.done };
            let value = serde_json::to_value(&over).unwrap_or_default();
            let transaction = Transaction::default()
                .when(job_key(id), version)
                .when(final_key(id), 0)
                .delete(job_key(id))
                .put(final_key(id), value);
            match node.env.state.transaction(RequestClass::Claim, &transaction).await {
                Ok(_) => {
                    tracing::debug!(job = %id, "cancelled");
                    learned(node, id, &over).await;
                    return json(200, &view(id, over.status, over.done, 0));
                }
                Err(
                    StateError::Conflict(_) | StateError::NoAnswer(_) | StateError::Refused(429),
                ) => {
                    node.env.pause(5..50).await;
                }
                Err(error) => {
                    tracing::debug!(job = %id, %error, "can't store a cancellation");
                    return later(NO_STORE);
                }
            }
        }
    };
    tokio::time::timeout(CHANGE_LIMIT, run).await.unwrap_or_else(|_| later(NO_STORE))
}

/// An operator lets a job that was set aside run again.
pub async fn release(node: &Node, id: &JobId) -> Response {
    let Ok(Found::Live(record, version)) = find(node, id).await else {
        return error(404, "no such unfinished job");
    };
    if !record.dead_lettered {
        return error(409, "the job is not set aside");
    }
    let record = JobRecord { dead_lettered: false, claims: 0, owner: None, ..*record };
    let value = serde_json::to_value(&record).unwrap_or_default();
    let transaction = Transaction::default().when(job_key(id), version).put(job_key(id), value);
    match node.env.state.transaction(RequestClass::Submission, &transaction).await {
        Ok(_) => json(200, &view(id, JobStatus::Queued, record.done, 0)),
        Err(error) => {
            tracing::debug!(job = %id, %error, "can't release");
            later(NO_STORE)
        }
    }
}
