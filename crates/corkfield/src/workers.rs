//! Answers to workers' reports.

use crate::clock::now;
use crate::node::Node;
use crate::responses::{error, json, later};
use corkfield_core::Verdict;
use corkfield_http::Response;
use corkfield_wire::worker::{HeartbeatReply, Order, Redirect, WorkerHeartbeat};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A report that comes in the middle of a failover waits this long for it.
const TAKE_OVER_WAIT: Duration = Duration::from_millis(1500);
/// A worker that is back this soon after it was sent to the leader didn't reach it.
const BACK_SOON: Duration = Duration::from_secs(12);
/// After this a worker whose reports are passed on tries the leader itself again.
const TRY_AGAIN: Duration = Duration::from_secs(60);
/// Above the number of workers; the names of a visit in the last seconds only.
const MAX_REDIRECTED: usize = 32_768;
/// A report for whose machine starts wait is kept this long for a proof of fresh state.
const START_PROOF_WAIT: Duration = Duration::from_millis(600);
/// Without any proof for this long the service is surely away: then no report waits for it.
const STORE_AWAY: Duration = Duration::from_secs(4);

/// Workers that were sent to the leader, and since when those that came back are passed on.
#[derive(Default)]
pub struct RedirectedWorkers {
    visits: RefCell<BTreeMap<String, (Instant, Option<Instant>)>>,
    swept: Cell<Option<Instant>>,
}

impl RedirectedWorkers {
    /// Notes a worker's visit; true if its report should be passed on.
    fn visits(&self, machine: &str) -> bool {
        let at = now();
        let mut redirected = self.visits.borrow_mut();
        let stale = |seen: &Instant| at.saturating_duration_since(*seen) >= BACK_SOON;
        if self.swept.get().is_none_or(|swept| stale(&swept)) {
            self.swept.set(Some(at));
            redirected.retain(|_, (seen, _)| !stale(seen));
        }
        let known = redirected.get_mut(machine).filter(|(seen, _)| !stale(seen));
        let Some((seen, since)) = known else {
            if redirected.len() < MAX_REDIRECTED || redirected.contains_key(machine) {
                redirected.insert(machine.to_owned(), (at, None));
            }
            return false;
        };
        *seen = at;
        let since = *since.get_or_insert(at);
        if at.saturating_duration_since(since) > TRY_AGAIN {
            redirected.insert(machine.to_owned(), (at, None));
            return false;
        }
        true
    }
}

/// A worker's report to this controller.
pub async fn heartbeat(node: &Node, body: &[u8]) -> Response {
    let heartbeat: WorkerHeartbeat = match serde_json::from_slice(body) {
        Ok(heartbeat) => heartbeat,
        Err(reason) => return error(400, &reason.to_string()),
    };
    if node.leadership.is_leading() && !node.leadership.is_ready() {
        let _ = tokio::time::timeout(TAKE_OVER_WAIT, node.leadership.until_ready()).await;
    }
    if node.leadership.is_ready() {
        return plan_for(node, &heartbeat).await;
    }
    let scheduler = planner_elsewhere(node);
    if let Some(scheduler) = &scheduler {
        if node.redirected.visits(&heartbeat.machine) {
            if let Some(response) = node.peers.relay(node, scheduler, body).await {
                return passed_on(node, response);
            }
        }
        node.leadership.note_stray_worker(node.replica.leader_known_for());
    }
    tracing::debug!(machine = %heartbeat.machine, sequence = heartbeat.sequence, to = ?scheduler, "worker sent on");
    json(421, &Redirect { report_to: scheduler })
}

/// A report that another controller passed on to this one, as the leader.
pub async fn relayed(node: &Node, body: &[u8]) -> Response {
    match serde_json::from_slice(body) {
        Ok(heartbeat) if node.leadership.is_ready() => plan_for(node, &heartbeat).await,
        _ => later("not the planner"),
    }
}

/// The leader's answer goes to the worker as it is, but for starts that don't match the job's
/// record as it is known here.
fn passed_on(node: &Node, response: Response) -> Response {
    if response.status != 200 {
        return later("the planner has no answer");
    }
    let Ok(mut reply) = serde_json::from_slice::<HeartbeatReply>(&response.body) else {
        return later("the planner's answer is unreadable");
    };
    let contents = node.replica.contents.borrow();
    reply.orders.retain(|order| match order {
        Order::Start { task, attempt } => {
            let record = contents.jobs.get(&task.job).map(|(record, _)| record);
            record.is_some_and(|record| record.generation == attempt >> 24)
        }
        _ => true,
    });
    json(200, &reply)
}

async fn plan_for(node: &Node, heartbeat: &WorkerHeartbeat) -> Response {
    let Some(scheduler) = node.leadership.scheduler() else {
        return json(421, &Redirect { report_to: None });
    };
    // S6: without fresh state a cancellation may have been missed; the machines' leases have
    // to run out while there is time.
    if !may_answer(node) {
        tracing::debug!(machine = %heartbeat.machine, "no fresh state to answer from");
        return later("no fresh state");
    }
    let verdict = scheduler.borrow_mut().on_heartbeat(heartbeat, true, now());
    if verdict != Verdict::Accept {
        tracing::debug!(machine = %heartbeat.machine, sequence = heartbeat.sequence, ?verdict, "report not taken");
    }
    match verdict {
        Verdict::Accept => {}
        Verdict::Stale => return later("stale report"),
        Verdict::HigherTerm(term) => {
            node.leadership.saw_higher_term(term);
            return later("a higher term is needed");
        }
    }
    node.leadership.wake_actions();
    if scheduler.borrow().may_start_on(&heartbeat.machine, now()) {
        node.leadership.wait_for_pass().await;
    }
    let hold = Duration::from_secs_f64(node.env.settings.operator.hold_s);
    // Short of sockets, an answer that waits for work would keep other workers out.
    let may_hold = !hold.is_zero() && !node.connections.are_short();
    if may_hold && scheduler.borrow().may_hold(&heartbeat.machine) {
        let run = node.leadership.hold_answer(&heartbeat.machine);
        let _ = tokio::time::timeout(hold, run.notified()).await;
        node.leadership.release(&heartbeat.machine, &run);
    }
    // S4: a start leaves on a young proof. A cancellation that another controller confirms after
    // it can then meet no more than the starts of about that time.
    let young = || node.replica.proof_age() <= node.env.settings.start_proof();
    let starts = scheduler.borrow().has_starts_for(&heartbeat.machine);
    if starts && !young() && node.replica.proof_age() < STORE_AWAY {
        node.replica.refresh(START_PROOF_WAIT).await;
    }
    // The leader may have changed while the answer was held back.
    let same = node.leadership.scheduler().is_some_and(|p| Rc::ptr_eq(&p, &scheduler));
    if !same || !may_answer(node) {
        return json(421, &Redirect { report_to: planner_elsewhere(node) });
    }
    let may_start = node.leadership.may_start(node) && young();
    let mut scheduler = scheduler.borrow_mut();
    let (agent_epoch, sequence) = (heartbeat.agent_epoch, heartbeat.sequence);
    let orders = scheduler.orders(&heartbeat.machine, agent_epoch, sequence, may_start, now());
    json(200, &HeartbeatReply { term: scheduler.term(), orders })
}

/// S6: whether a report may be answered with 200. That rests on state that was fresh a while ago,
/// or, while the state service is out for all, on the word of all other controllers; and it shows
/// no other leader.
fn may_answer(node: &Node) -> bool {
    let limit = node.env.settings.answer_limit();
    let fresh = node.replica.proof_age() < limit
        || node.peers.attestation_age(node).is_some_and(|age| age < limit);
    fresh && !node.leadership.is_replaced(&node.replica.contents.borrow())
}

/// The leader, if it is another controller that is there.
fn planner_elsewhere(node: &Node) -> Option<String> {
    let contents = node.replica.contents.borrow();
    let (record, _) = contents.scheduler.as_ref()?;
    let name = record.node.clone().filter(|name| *name != node.env.name)?;
    contents.is_present(record).then_some(name)
}
