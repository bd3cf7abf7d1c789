//! Fences and other direct orders, and terms that workers have seen above ours (S7).

use super::{ActiveLeader, Leadership};
use crate::clock::now;
use crate::completion_commits::SharedScheduler;
use crate::node::Node;
use corkfield_core::Verdict;
use corkfield_http::Client;
use corkfield_state::RequestClass;
use corkfield_wire::records::{LeaderRecord, LEADER_KEY};
use corkfield_wire::store::Transaction;
use corkfield_wire::worker::{DirectOrders, Order, WorkerHeartbeat, PATH_COMMANDS};
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// A machine that did not answer is asked again after this time.
const FENCE_AGAIN: Duration = Duration::from_millis(1500);

/// While no machine is to be asked, and no higher term to be taken.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);

const FENCE_PACE: Duration = Duration::from_millis(50);

/// So many machines are asked what they hold, then there is a pause for what their answers bring.
const FENCES_AT_ONCE: usize = 64;

const DIRECT_TIMEOUT: Duration = Duration::from_millis(2500);

impl ActiveLeader<'_> {
    /// Sends every recorded machine an empty order under our term (S7), until it has answered,
    /// lapsed or is gone. Never all at once: each takes a socket, and all answers together would
    /// hold up the reports that come at the same time.
    pub(super) async fn fence_machines(&self) {
        let mut tried: HashMap<String, Instant> = HashMap::new();
        loop {
            let mut targets = self.scheduler.borrow().fence_targets();
            let at = now();
            let under_way: HashSet<String> =
                self.node.leadership.direct_orders_in_flight.borrow().keys().cloned().collect();
            targets.retain(|(machine, ..)| {
                let soon = |before: &Instant| at.saturating_duration_since(*before) < FENCE_AGAIN;
                !under_way.contains(machine) && !tried.get(machine).is_some_and(soon)
            });
            if targets.is_empty() {
                if self.scheduler.borrow().is_reconciled() {
                    tried.clear();
                }
                self.node.env.timers.tick(IDLE_INTERVAL).await;
                continue;
            }
            // Those that never answered come after those that were never asked.
            targets.sort_by_key(|(machine, ..)| tried.get(machine).copied());
            for (machine, addr, agent_epoch) in targets.into_iter().take(FENCES_AT_ONCE) {
                tried.insert(machine.clone(), at);
                let (node, scheduler) = (self.node.clone(), self.scheduler.clone());
                tokio::task::spawn_local(async move {
                    send_direct_orders(&node, &scheduler, &machine, &addr, agent_epoch, Vec::new())
                        .await;
                });
            }
            tokio::time::sleep(FENCE_PACE).await;
        }
    }

    /// Takes a term above one that a worker has seen.
    pub(super) async fn raise_terms(&self) {
        loop {
            let seen = self.node.leadership.highest_seen_term.get();
            let term = self.scheduler.borrow().term();
            if seen <= term {
                self.node.env.timers.tick(IDLE_INTERVAL).await;
                continue;
            }
            let record = LeaderRecord {
                node: Some(self.node.env.name.clone()),
                incarnation: self.me.incarnation.clone(),
                term: seen + 1,
                successor: None,
            };
            let value = serde_json::to_value(&record).unwrap_or_default();
            let transaction =
                Transaction::default().when(LEADER_KEY, self.version.get()).put(LEADER_KEY, value);
            match self.node.env.state.transaction(RequestClass::Claim, &transaction).await {
                Ok(version) => {
                    self.version.set(version);
                    self.scheduler.borrow_mut().raise_term(seen + 1);
                }
                Err(error) => {
                    tracing::debug!(%error, "can't take a higher term");
                    tokio::time::sleep(Duration::from_millis(200)).await;
                }
            }
        }
    }
}

pub(super) async fn send_direct_orders(
    node: &Node,
    scheduler: &SharedScheduler,
    machine: &str,
    addr: &str,
    agent_epoch: u64,
    orders: Vec<Order>,
) {
    let Ok(addr) = addr.parse() else { return };
    // What is left out here goes with the answer to the machine's next report, or, if it is a
    // fence, soon again.
    let Some(_under_way) = node
        .leadership
        .begin_direct_orders(machine, node.env.settings.sockets().direct_orders_in_flight)
    else {
        tracing::debug!(machine, "too many direct orders under way");
        return;
    };
    let mut agent_epoch = agent_epoch;
    // A machine may be in a later session than we know: its refusal says which.
    for _ in 0..2 {
        let term = scheduler.borrow().term();
        let body = serde_json::to_vec(&DirectOrders { term, agent_epoch, orders: orders.clone() });
        let client = Client::new(node.env.network.clone(), addr, 1, 256 * 1024);
        let body = body.unwrap_or_default();
        let known = scheduler.borrow().known_order(machine);
        let reply = match client.request("POST", PATH_COMMANDS, &body, DIRECT_TIMEOUT).await {
            Ok(reply) => reply,
            Err(error) => {
                tracing::debug!(machine, %error, "direct orders not answered");
                scheduler.borrow_mut().unanswered(machine);
                return;
            }
        };
        let Ok(heartbeat) = serde_json::from_slice::<WorkerHeartbeat>(&reply.body) else {
            return;
        };
        if heartbeat.machine != machine {
            tracing::debug!(machine, other = %heartbeat.machine, "another machine answered");
            return;
        }
        let verdict = scheduler.borrow_mut().on_answer(&heartbeat, known, now());
        if let Verdict::HigherTerm(term) = verdict {
            node.leadership.saw_higher_term(term);
            return;
        }
        if reply.status != 409 || heartbeat.agent_epoch == agent_epoch {
            break;
        }
        agent_epoch = heartbeat.agent_epoch;
    }
    node.leadership.want_pass();
}

/// Direct orders under way to one machine.
pub(super) struct DirectOrderGuard<'a>(pub(super) &'a Leadership, pub(super) &'a str);

impl Drop for DirectOrderGuard<'_> {
    fn drop(&mut self) {
        let mut direct_orders_in_flight = self.0.direct_orders_in_flight.borrow_mut();
        if let Some(count) = direct_orders_in_flight.get_mut(self.1) {
            *count -= 1;
            if *count == 0 {
                direct_orders_in_flight.remove(self.1);
            }
        }
    }
}
