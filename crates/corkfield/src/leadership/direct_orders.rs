//! Orders sent straight to a machine: stops, and fences (S7). Starts never go this way (S3).

use super::context::LeadershipContext;
use super::state::SharedScheduler;
use crate::clock::now;
use corkfield_core::{DirectOrderTarget, DirectPurpose, Verdict};
use corkfield_http::{Client, Reply};
use corkfield_wire::worker::{DirectOrders, Order, WorkerHeartbeat, PATH_COMMANDS, PATH_STATUS};
use corkfield_wire::{AgentEpoch, MachineName, Term};
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

const DIRECT_ORDER_TIMEOUT: Duration = Duration::from_millis(2500);
/// A machine may be in a later agent epoch than we know: its refusal says which.
const MAX_AGENT_EPOCHS_TRIED: usize = 2;
const MAX_ANSWER_BYTES: usize = 256 * 1024;
/// Status with which a worker refuses orders for another agent epoch than its own.
const STATUS_OTHER_AGENT_EPOCH: u16 = 409;

/// Machines to which direct orders are under way, and how many.
#[derive(Default)]
pub(super) struct DirectOrdersInFlight {
    by_machine: RefCell<HashMap<MachineName, usize>>,
}

impl DirectOrdersInFlight {
    /// Counts direct orders to a machine until the guard is dropped; `None` if too many are under
    /// way: each takes a socket, and after a failover there is one for every machine.
    fn begin<'a>(&'a self, machine: &'a str, max: usize) -> Option<DirectOrderGuard<'a>> {
        let mut by_machine = self.by_machine.borrow_mut();
        if by_machine.values().sum::<usize>() >= max {
            return None;
        }
        *by_machine.entry(MachineName::from(machine)).or_default() += 1;
        Some(DirectOrderGuard { in_flight: self, machine })
    }

    /// Machines to which direct orders are under way.
    pub(super) fn machines(&self) -> HashSet<MachineName> {
        self.by_machine.borrow().keys().cloned().collect()
    }
}

/// Direct orders under way to one machine.
struct DirectOrderGuard<'a> {
    in_flight: &'a DirectOrdersInFlight,
    machine: &'a str,
}

impl Drop for DirectOrderGuard<'_> {
    fn drop(&mut self) {
        let mut by_machine = self.in_flight.by_machine.borrow_mut();
        if let Some(count) = by_machine.get_mut(self.machine) {
            *count -= 1;
            if *count == 0 {
                by_machine.remove(self.machine);
            }
        }
    }
}

/// What came of sending direct orders once.
enum DirectOrderOutcome {
    /// The machine's answer was taken up.
    Answered,
    /// The machine refused the orders: it is in this agent epoch.
    OtherAgentEpoch(AgentEpoch),
    /// No answer, none that can be used, or one that shows a higher term than ours.
    Unusable,
}

/// What is sent straight to a machine, and where.
struct DirectRequest<'a> {
    machine: &'a str,
    addr: SocketAddr,
    agent_epoch: AgentEpoch,
    purpose: DirectPurpose,
    orders: &'a [Order],
}

/// Sends orders to a machine, or asks it what it holds, and lets the scheduler take up its answer, a
/// heartbeat. What is left out here goes with the answer to the machine's next heartbeat, or, if it
/// is a fence or a question, soon again.
pub(super) async fn send_direct_orders(
    context: &LeadershipContext,
    scheduler: &SharedScheduler,
    target: &DirectOrderTarget,
    orders: Vec<Order>,
) {
    let Ok(addr) = target.addr.parse() else { return };
    let machine = target.machine.as_str();
    let max = context.env.settings.connection_limits().direct_orders_in_flight;
    let Some(_in_flight) = context.leadership.direct_orders.begin(machine, max) else {
        tracing::debug!(machine, "too many direct orders in flight");
        return;
    };
    let DirectOrderTarget { mut agent_epoch, purpose, .. } = *target;
    for _ in 0..MAX_AGENT_EPOCHS_TRIED {
        let request = DirectRequest { machine, addr, agent_epoch, purpose, orders: &orders };
        match send_once(context, scheduler, &request).await {
            DirectOrderOutcome::Answered => break,
            DirectOrderOutcome::OtherAgentEpoch(other) => agent_epoch = other,
            DirectOrderOutcome::Unusable => return,
        }
    }
    context.leadership.request_pass();
}

/// Sends a request once; its end is noted with the scheduler whatever it is.
async fn send_once(
    context: &LeadershipContext,
    scheduler: &SharedScheduler,
    request: &DirectRequest<'_>,
) -> DirectOrderOutcome {
    let DirectRequest { machine, purpose, .. } = *request;
    let exchange = scheduler.borrow_mut().begin_direct_exchange(machine, purpose, now());
    let term = scheduler.borrow().term();
    let Some((reply, heartbeat)) = exchange_once(context, request, term).await else {
        scheduler.borrow_mut().direct_exchange_failed(machine, exchange);
        return DirectOrderOutcome::Unusable;
    };
    let verdict = scheduler.borrow_mut().on_direct_orders_answer(&heartbeat, exchange, now());
    if let Verdict::HigherTerm(term) = verdict {
        context.leadership.note_higher_term(term);
        return DirectOrderOutcome::Unusable;
    }
    let refused = reply.status == STATUS_OTHER_AGENT_EPOCH;
    if refused && heartbeat.agent_epoch != request.agent_epoch {
        return DirectOrderOutcome::OtherAgentEpoch(heartbeat.agent_epoch);
    }
    DirectOrderOutcome::Answered
}

/// The machine's answer, and the heartbeat in it; none without an answer of that machine.
async fn exchange_once(
    context: &LeadershipContext,
    request: &DirectRequest<'_>,
    term: Term,
) -> Option<(Reply, WorkerHeartbeat)> {
    let DirectRequest { machine, addr, agent_epoch, purpose, orders } = *request;
    let (method, path, body) = match purpose {
        DirectPurpose::Inspect => ("GET", PATH_STATUS, Vec::new()),
        DirectPurpose::Order => {
            let orders = DirectOrders { term, agent_epoch, orders: orders.to_vec() };
            let body = serde_json::to_vec(&orders).expect("plain structs with string keys");
            ("POST", PATH_COMMANDS, body)
        }
    };
    let client = Client::new(context.env.network.clone(), addr, 1, MAX_ANSWER_BYTES);
    let reply = match client.request(method, path, &body, DIRECT_ORDER_TIMEOUT).await {
        Ok(reply) => reply,
        Err(error) => {
            tracing::debug!(machine, ?purpose, %error, "direct orders not answered");
            return None;
        }
    };
    let heartbeat: WorkerHeartbeat = serde_json::from_slice(&reply.body).ok()?;
    if heartbeat.machine.as_str() != machine {
        tracing::debug!(machine, answered_by = %heartbeat.machine, "another machine answered");
        return None;
    }
    Some((reply, heartbeat))
}

#[cfg(test)]
mod tests;
