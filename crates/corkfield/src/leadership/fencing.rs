//! Fences of recorded machines, and terms that workers have seen above ours (S7).

use super::active_leader::ActiveLeader;
use super::direct_orders::send_direct_orders;
use crate::clock::now;
use crate::store_value::store_value;
use corkfield_core::DirectOrderTarget;
use corkfield_state::RequestClass;
use corkfield_wire::records::{LeaderRecord, LEADER_KEY};
use corkfield_wire::{MachineName, Term};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// A machine that did not answer is fenced again after this time.
const FENCE_RETRY: Duration = Duration::from_millis(1500);
/// While no machine is to be fenced, and no higher term to be taken.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);
/// So many machines are fenced, then there is a pause for what their answers bring.
const MAX_FENCES_PER_ROUND: usize = 64;
const FENCE_ROUND_PAUSE: Duration = Duration::from_millis(50);
/// After a failed attempt to raise the term.
const RAISE_TERM_RETRY: Duration = Duration::from_millis(200);

impl ActiveLeader {
    /// Sends every recorded machine an empty order under our term (S7), until it has answered,
    /// its lease has expired or it is gone. Never all at once: each takes a socket, and all answers
    /// together would hold up the heartbeats that come at the same time.
    pub(super) async fn fence_machines(&self) {
        let mut last_attempts: HashMap<MachineName, Instant> = HashMap::new();
        loop {
            let round_started = now();
            let targets = self.next_fence_targets(&last_attempts, round_started);
            if targets.is_empty() {
                if self.scheduler.borrow().is_reconciled() {
                    last_attempts.clear();
                }
                self.context.env.timers.tick(IDLE_INTERVAL).await;
                continue;
            }
            for target in targets {
                last_attempts.insert(target.machine.clone(), round_started);
                self.fence(target);
            }
            tokio::time::sleep(FENCE_ROUND_PAUSE).await;
        }
    }

    /// Machines to be fenced in one round. Those that never answered come after those that were
    /// never asked.
    fn next_fence_targets(
        &self,
        last_attempts: &HashMap<MachineName, Instant>,
        round_started: Instant,
    ) -> Vec<DirectOrderTarget> {
        let targets = self.scheduler.borrow().fence_targets();
        let in_flight = self.context.leadership.direct_orders.machines();
        let was_tried_recently = |machine: &MachineName| {
            let tried = last_attempts.get(machine);
            tried.is_some_and(|at| round_started.saturating_duration_since(*at) < FENCE_RETRY)
        };
        let mut targets: Vec<DirectOrderTarget> = targets
            .into_iter()
            .filter(|target| {
                !in_flight.contains(&target.machine) && !was_tried_recently(&target.machine)
            })
            .collect();
        targets.sort_by_key(|target| last_attempts.get(&target.machine).copied());
        targets.truncate(MAX_FENCES_PER_ROUND);
        targets
    }

    fn fence(&self, target: DirectOrderTarget) {
        let (context, scheduler) = (self.context.clone(), self.scheduler.clone());
        tokio::task::spawn_local(async move {
            send_direct_orders(&context, &scheduler, &target, Vec::new()).await;
        });
    }

    /// Takes a term above one that a worker has seen.
    pub(super) async fn raise_term_when_exceeded(&self) {
        loop {
            let seen = self.context.leadership.highest_seen_term();
            let term = self.scheduler.borrow().term();
            if seen <= term {
                self.context.env.timers.tick(IDLE_INTERVAL).await;
            } else {
                self.raise_term_to(seen.next()).await;
            }
        }
    }

    async fn raise_term_to(&self, term: Term) {
        let record = LeaderRecord {
            node: Some(self.context.env.name.clone()),
            incarnation: self.claim.membership.incarnation.clone(),
            term,
            successor: None,
        };
        let transaction = self.leader_transaction().put(LEADER_KEY, store_value(&record));
        match self.context.env.state.transaction(RequestClass::Claim, &transaction).await {
            Ok(version) => {
                self.claim.record_version.set(version);
                self.scheduler.borrow_mut().raise_term(term);
            }
            Err(error) => {
                tracing::debug!(term = term.get(), %error, "can't raise the term");
                tokio::time::sleep(RAISE_TERM_RETRY).await;
            }
        }
    }
}
