//! Orders sent directly to a machine's worker instead of with the answer to its heartbeat: stops
//! and fences (S7). Start orders are never sent this way (S3).

use super::context::LeadershipContext;
use super::state::SharedScheduler;
use crate::clock::now;
use corkfield_core::{DirectOrderTarget, DirectPurpose, Verdict};
use corkfield_http::{Client, ClientResponse};
use corkfield_wire::worker::{DirectOrders, Order, WorkerHeartbeat, PATH_COMMANDS, PATH_STATUS};
use corkfield_wire::{AgentEpoch, MachineName, Term};
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Time limit of one request to a machine.
const DIRECT_ORDER_TIMEOUT: Duration = Duration::from_millis(2500);
/// Maximum number of agent epochs tried per call. A worker in a later agent epoch than the one
/// known here refuses the orders, and its refusal contains its current agent epoch.
const MAX_AGENT_EPOCHS_TRIED: usize = 2;
/// Maximum size of a machine's answer.
const MAX_ANSWER_BYTES: usize = 256 * 1024;
/// HTTP status with which a worker refuses orders for another agent epoch than its own.
const STATUS_OTHER_AGENT_EPOCH: u16 = 409;

/// Counts the requests with direct orders in flight, by machine.
#[derive(Default)]
pub(super) struct DirectOrdersInFlight {
    by_machine: RefCell<HashMap<MachineName, usize>>,
}

impl DirectOrdersInFlight {
    /// Counts a request to `machine` until the guard is dropped. Returns `None` if `max` requests
    /// to all machines are in flight: each takes a socket, and after a failover every machine gets
    /// one.
    fn try_begin<'a>(&'a self, machine: &'a str, max: usize) -> Option<DirectOrderGuard<'a>> {
        let mut by_machine = self.by_machine.borrow_mut();
        if by_machine.values().sum::<usize>() >= max {
            return None;
        }
        *by_machine.entry(MachineName::from(machine)).or_default() += 1;
        Some(DirectOrderGuard { in_flight: self, machine })
    }

    /// Returns the machines to which direct orders are in flight.
    pub(super) fn machines(&self) -> HashSet<MachineName> {
        self.by_machine.borrow().keys().cloned().collect()
    }
}

/// Counts as one request in flight to the machine until it is dropped.
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

/// Outcome of sending direct orders once.
enum DirectOrderOutcome {
    /// The machine answered, and its answer was passed to the scheduler.
    Answered,
    /// The machine refused the orders, as it is in this agent epoch.
    OtherAgentEpoch(AgentEpoch),
    /// The machine gave no usable answer, or one with a higher term than this leader's.
    NoUsableAnswer,
}

/// A request with direct orders to one machine.
struct DirectRequest<'a> {
    machine: &'a str,
    addr: SocketAddr,
    agent_epoch: AgentEpoch,
    purpose: DirectPurpose,
    orders: &'a [Order],
}

/// Sends direct orders to a machine, or inspects which tasks it holds, and passes its answer, a
/// heartbeat, to the scheduler. If this fails, orders are sent again with the answer to the
/// machine's next heartbeat, and fences and inspections are repeated soon after.
pub(super) async fn send_direct_orders(
    context: &LeadershipContext,
    scheduler: &SharedScheduler,
    target: &DirectOrderTarget,
    orders: Vec<Order>,
) {
    let Ok(addr) = target.addr.parse() else { return };
    let machine = target.machine.as_str();
    let max = context.env.settings.connection_limits().direct_orders_in_flight;
    let Some(_in_flight) = context.leadership.direct_orders.try_begin(machine, max) else {
        tracing::debug!(machine, "direct orders not sent: too many in flight");
        return;
    };
    let DirectOrderTarget { mut agent_epoch, purpose, .. } = *target;
    for _ in 0..MAX_AGENT_EPOCHS_TRIED {
        let request = DirectRequest { machine, addr, agent_epoch, purpose, orders: &orders };
        match send_and_apply_answer(context, scheduler, &request).await {
            DirectOrderOutcome::Answered => break,
            DirectOrderOutcome::OtherAgentEpoch(other) => agent_epoch = other,
            DirectOrderOutcome::NoUsableAnswer => return,
        }
    }
    context.leadership.request_pass();
}

/// Sends a request once and reports its outcome to the scheduler.
async fn send_and_apply_answer(
    context: &LeadershipContext,
    scheduler: &SharedScheduler,
    request: &DirectRequest<'_>,
) -> DirectOrderOutcome {
    let DirectRequest { machine, purpose, .. } = *request;
    let exchange = scheduler.borrow_mut().begin_direct_exchange(machine, purpose, now());
    let term = scheduler.borrow().term();
    let Some((reply, heartbeat)) = send_http_request(context, request, term).await else {
        scheduler.borrow_mut().on_direct_exchange_failed(machine, exchange);
        return DirectOrderOutcome::NoUsableAnswer;
    };
    let verdict = scheduler.borrow_mut().on_direct_orders_answer(&heartbeat, exchange, now());
    if let Verdict::HigherTerm(term) = verdict {
        context.leadership.record_higher_term(term);
        return DirectOrderOutcome::NoUsableAnswer;
    }
    let is_refused = reply.status == STATUS_OTHER_AGENT_EPOCH;
    if is_refused && heartbeat.agent_epoch != request.agent_epoch {
        return DirectOrderOutcome::OtherAgentEpoch(heartbeat.agent_epoch);
    }
    DirectOrderOutcome::Answered
}

/// Sends the HTTP request. Returns the answer and the heartbeat in its body, or `None` if there is
/// no readable answer from that machine.
async fn send_http_request(
    context: &LeadershipContext,
    request: &DirectRequest<'_>,
    term: Term,
) -> Option<(ClientResponse, WorkerHeartbeat)> {
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
        let answered_by = &heartbeat.machine;
        tracing::debug!(machine, %answered_by, "direct orders answered by another machine");
        return None;
    }
    Some((reply, heartbeat))
}

#[cfg(test)]
mod tests;
