//! Fences and other direct orders, and terms that workers have seen above ours (S7).

use super::{Leader, Planning};
use crate::node::{now, Node};
use crate::settling::Shared;
use corkfield_core::Verdict;
use corkfield_http::Client;
use corkfield_state::Use;
use corkfield_wire::records::{PlannerRecord, PLANNER};
use corkfield_wire::store::Txn;
use corkfield_wire::worker::{DirectOrders, Order, Report, PATH_COMMANDS};
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

impl Planning<'_> {
    /// Sends every recorded machine an empty order under our term (S7), until it has answered,
    /// lapsed or is gone. Never all at once: each takes a socket, and all answers together would
    /// hold up the reports that come at the same time.
    pub(super) async fn fencing(&self) {
        let mut tried: HashMap<String, Instant> = HashMap::new();
        loop {
            let mut targets = self.planner.borrow().fence_targets();
            let at = now();
            let under_way: HashSet<String> =
                self.node.leader.directs.borrow().keys().cloned().collect();
            targets.retain(|(machine, ..)| {
                let soon = |before: &Instant| at.saturating_duration_since(*before) < FENCE_AGAIN;
                !under_way.contains(machine) && !tried.get(machine).is_some_and(soon)
            });
            if targets.is_empty() {
                if self.planner.borrow().is_complete() {
                    tried.clear();
                }
                self.node.timers.tick(IDLE_INTERVAL).await;
                continue;
            }
            // Those that never answered come after those that were never asked.
            targets.sort_by_key(|(machine, ..)| tried.get(machine).copied());
            for (machine, addr, session) in targets.into_iter().take(FENCES_AT_ONCE) {
                tried.insert(machine.clone(), at);
                let (node, planner) = (self.node.clone(), self.planner.clone());
                tokio::task::spawn_local(async move {
                    direct(&node, &planner, &machine, &addr, session, Vec::new()).await;
                });
            }
            tokio::time::sleep(FENCE_PACE).await;
        }
    }

    /// Takes a term above one that a worker has seen.
    pub(super) async fn raise_terms(&self) {
        loop {
            let seen = self.node.leader.highest_seen_term.get();
            let term = self.planner.borrow().term();
            if seen <= term {
                self.node.timers.tick(IDLE_INTERVAL).await;
                continue;
            }
            let record = PlannerRecord {
                node: Some(self.node.name.clone()),
                incarnation: self.me.incarnation.clone(),
                term: seen + 1,
                successor: None,
            };
            let value = serde_json::to_value(&record).unwrap_or_default();
            let txn = Txn::default().when(PLANNER, self.version.get()).put(PLANNER, value);
            match self.node.state.txn(Use::Claim, &txn).await {
                Ok(version) => {
                    self.version.set(version);
                    self.planner.borrow_mut().raise_term(seen + 1);
                }
                Err(error) => {
                    tracing::debug!(%error, "can't take a higher term");
                    tokio::time::sleep(Duration::from_millis(200)).await;
                }
            }
        }
    }
}

pub(super) async fn direct(
    node: &Node,
    planner: &Shared,
    machine: &str,
    addr: &str,
    session: u64,
    orders: Vec<Order>,
) {
    let Ok(addr) = addr.parse() else { return };
    // What is left out here goes with the answer to the machine's next report, or, if it is a
    // fence, soon again.
    let Some(_under_way) = node.leader.directing(machine, node.settings.sockets().directs) else {
        tracing::debug!(machine, "too many direct orders under way");
        return;
    };
    let mut session = session;
    // A machine may be in a later session than we know: its refusal says which.
    for _ in 0..2 {
        let term = planner.borrow().term();
        let body = serde_json::to_vec(&DirectOrders { term, session, orders: orders.clone() });
        let client = Client::new(node.network.clone(), addr, 1, 256 * 1024);
        let body = body.unwrap_or_default();
        let known = planner.borrow().known_order(machine);
        let reply = match client.request("POST", PATH_COMMANDS, &body, DIRECT_TIMEOUT).await {
            Ok(reply) => reply,
            Err(error) => {
                tracing::debug!(machine, %error, "direct orders not answered");
                planner.borrow_mut().unanswered(machine);
                return;
            }
        };
        let Ok(report) = serde_json::from_slice::<Report>(&reply.body) else {
            return;
        };
        if report.machine != machine {
            tracing::debug!(machine, other = %report.machine, "another machine answered");
            return;
        }
        let verdict = planner.borrow_mut().on_answer(&report, known, now());
        if let Verdict::HigherTerm(term) = verdict {
            node.leader.saw_higher_term(term);
            return;
        }
        if reply.status != 409 || report.session == session {
            break;
        }
        session = report.session;
    }
    node.leader.want_pass();
}

/// Direct orders under way to one machine.
pub(super) struct Directing<'a>(pub(super) &'a Leader, pub(super) &'a str);

impl Drop for Directing<'_> {
    fn drop(&mut self) {
        let mut directs = self.0.directs.borrow_mut();
        if let Some(count) = directs.get_mut(self.1) {
            *count -= 1;
            if *count == 0 {
                directs.remove(self.1);
            }
        }
    }
}
