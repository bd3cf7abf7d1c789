//! Orders sent straight to a machine: stops, and fences (S7). Starts never go this way (S3).

use super::context::LeadershipContext;
use super::state::SharedScheduler;
use crate::clock::now;
use corkfield_core::{DirectOrderTarget, Verdict};
use corkfield_http::Client;
use corkfield_wire::worker::{DirectOrders, Order, WorkerHeartbeat, PATH_COMMANDS};
use corkfield_wire::{AgentEpoch, MachineName};
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

/// Sends orders to a machine, and lets the scheduler take up its answer, a heartbeat. What is left
/// out here goes with the answer to the machine's next heartbeat, or, if it is a fence, soon again.
pub(super) async fn send_direct_orders(
    context: &LeadershipContext,
    scheduler: &SharedScheduler,
    target: &DirectOrderTarget,
    orders: Vec<Order>,
) {
    let Ok(addr) = target.addr.parse() else { return };
    let machine = target.machine.as_str();
    let max = context.env.settings.sockets().direct_orders_in_flight;
    let Some(_in_flight) = context.leadership.direct_orders.begin(machine, max) else {
        tracing::debug!(machine, "too many direct orders in flight");
        return;
    };
    let mut agent_epoch = target.agent_epoch;
    for _ in 0..MAX_AGENT_EPOCHS_TRIED {
        let term = scheduler.borrow().term();
        let orders = DirectOrders { term, agent_epoch, orders: orders.clone() };
        match send_once(context, scheduler, machine, addr, &orders).await {
            DirectOrderOutcome::Answered => break,
            DirectOrderOutcome::OtherAgentEpoch(other) => agent_epoch = other,
            DirectOrderOutcome::Unusable => return,
        }
    }
    context.leadership.request_pass();
}

async fn send_once(
    context: &LeadershipContext,
    scheduler: &SharedScheduler,
    machine: &str,
    addr: SocketAddr,
    orders: &DirectOrders,
) -> DirectOrderOutcome {
    let body = serde_json::to_vec(orders).expect("orders are plain structs with string keys");
    let client = Client::new(context.env.network.clone(), addr, 1, MAX_ANSWER_BYTES);
    let known = scheduler.borrow().newest_message(machine);
    let reply = match client.request("POST", PATH_COMMANDS, &body, DIRECT_ORDER_TIMEOUT).await {
        Ok(reply) => reply,
        Err(error) => {
            tracing::debug!(machine, %error, "direct orders not answered");
            scheduler.borrow_mut().direct_orders_unanswered(machine);
            return DirectOrderOutcome::Unusable;
        }
    };
    let Ok(heartbeat) = serde_json::from_slice::<WorkerHeartbeat>(&reply.body) else {
        return DirectOrderOutcome::Unusable;
    };
    if heartbeat.machine.as_str() != machine {
        tracing::debug!(machine, answered_by = %heartbeat.machine, "another machine answered");
        return DirectOrderOutcome::Unusable;
    }
    let verdict = scheduler.borrow_mut().on_direct_orders_answer(&heartbeat, known, now());
    if let Verdict::HigherTerm(term) = verdict {
        context.leadership.note_higher_term(term);
        return DirectOrderOutcome::Unusable;
    }
    if reply.status == STATUS_OTHER_AGENT_EPOCH && heartbeat.agent_epoch != orders.agent_epoch {
        return DirectOrderOutcome::OtherAgentEpoch(heartbeat.agent_epoch);
    }
    DirectOrderOutcome::Answered
}

#[cfg(test)]
mod tests;
