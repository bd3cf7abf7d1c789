//! Fences recorded machines after a failover, and raises the term above any that a worker reports
//! (S7).

use super::active_leader::ActiveLeader;
use super::direct_orders::send_direct_orders;
use crate::clock::now;
use crate::store_value::store_value;
use corkfield_core::DirectRequestTarget;
use corkfield_state::RequestClass;
use corkfield_wire::records::{LeaderRecord, Versioned, LEADER_KEY};
use corkfield_wire::{MachineName, Term};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Minimum time between two fences of a machine that does not answer.
const FENCE_RETRY_INTERVAL: Duration = Duration::from_millis(1500);
/// Interval between two checks for machines to fence, or for higher terms, while there are none.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of machines fenced in one round.
const MAX_FENCES_PER_ROUND: usize = 64;
/// Pause after each round, in which its answers are processed.
const FENCE_ROUND_PAUSE: Duration = Duration::from_millis(50);
/// Pause after a failed attempt to raise the term.
const RAISE_TERM_RETRY_PAUSE: Duration = Duration::from_millis(200);

impl ActiveLeader {
    /// Fences every recorded machine by sending it an empty list of orders under this leader's term
    /// (S7). Fences of a machine are repeated until the machine has answered, its worker's lease
    /// has expired or the machine no longer exists. Machines are fenced in rounds, as each request
    /// takes a socket, and the answers of all machines together would delay the heartbeats that
    /// arrive at the same time. Machines that the scheduler only wants to inspect are handled in
    /// the same way.
    pub(super) async fn fence_machines(&self) {
        let mut last_attempts: HashMap<MachineName, Instant> = HashMap::new();
        loop {
            let round_started = now();
            let targets = self.next_fence_targets(&last_attempts, round_started);
            if targets.is_empty() {
                if self.scheduler.borrow().is_reconciled() {
                    last_attempts.clear();
                }
                self.context.env.timers.wait_for_tick(IDLE_INTERVAL).await;
                continue;
            }
            for target in targets {
                last_attempts.insert(target.machine.clone(), round_started);
                self.send_fence(target);
            }
            tokio::time::sleep(FENCE_ROUND_PAUSE).await;
        }
    }

    /// Returns the machines to fence in the next round. Machines not tried yet come first, then the
    /// others in the order of their last attempt.
    fn next_fence_targets(
        &self,
        last_attempts: &HashMap<MachineName, Instant>,
        round_started: Instant,
    ) -> Vec<DirectRequestTarget> {
        let targets = self.scheduler.borrow().direct_request_targets();
        let in_flight = self.context.leadership.direct_orders.machines();
        let was_tried_recently = |machine: &MachineName| {
            let last_attempt = last_attempts.get(machine);
            last_attempt.is_some_and(|at| {
                round_started.saturating_duration_since(*at) < FENCE_RETRY_INTERVAL
            })
        };
        let mut targets: Vec<DirectRequestTarget> = targets
            .into_iter()
            .filter(|target| {
                !in_flight.contains(&target.machine) && !was_tried_recently(&target.machine)
            })
            .collect();
        targets.sort_by_key(|target| last_attempts.get(&target.machine).copied());
        targets.truncate(MAX_FENCES_PER_ROUND);
        targets
    }

    /// Sends a fence to a machine in the background.
    fn send_fence(&self, target: DirectRequestTarget) {
        let (context, scheduler) = (self.context.clone(), self.scheduler.clone());
        tokio::task::spawn_local(async move {
            send_direct_orders(&context, &scheduler, &target, Vec::new()).await;
        });
    }

    /// Raises the term whenever a worker has reported a higher one, in an endless loop.
    pub(super) async fn raise_term_when_exceeded(&self) {
        loop {
            self.adopt_unanswered_raise();
            let highest_seen = self.context.leadership.highest_seen_term();
            let term = self.scheduler.borrow().term();
            if highest_seen <= term {
                self.context.env.timers.wait_for_tick(IDLE_INTERVAL).await;
            } else {
                self.raise_term_to(highest_seen.next()).await;
            }
        }
    }

    /// Adopts the leader record in the replica if this leader wrote it later than the version that it
    /// knows: a raise of the term was executed but not answered. All writes of the leader are
    /// conditional on the version, so with the earlier one they would all be refused.
    fn adopt_unanswered_raise(&self) {
        let contents = self.context.replica.contents.borrow();
        let Some(Versioned { record, version }) = &contents.leader else { return };
        let is_ours = record.incarnation == self.claim.membership.incarnation;
        if is_ours && *version > self.claim.record_version.get() {
            let (term, version) = (record.term, *version);
            tracing::info!(term = term.get(), version = version.get(), "raised term adopted");
            self.claim.record_version.set(version);
            self.scheduler.borrow_mut().raise_term(term);
        }
    }

    /// Writes the leader record with a higher term, then raises the scheduler's term.
    async fn raise_term_to(&self, term: Term) {
        let record = LeaderRecord {
            node: Some(self.context.env.name.clone()),
            incarnation: self.claim.membership.incarnation.clone(),
            term,
            successor: None,
        };
        let transaction = self.leader_transaction().put(LEADER_KEY, store_value(&record));
        match self.context.env.state.commit(RequestClass::Claim, &transaction).await {
            Ok(version) => {
                self.claim.record_version.set(version);
                self.scheduler.borrow_mut().raise_term(term);
            }
            Err(error) => {
                tracing::debug!(term = term.get(), %error, "can't raise the term");
                tokio::time::sleep(RAISE_TERM_RETRY_PAUSE).await;
            }
        }
    }
}
